//! Encoding and authentication of the protocol's datagrams. A datagram has at most 256 bytes; forged,
//! replayed and garbled ones are detected and dropped.
//!
//! ```text
//!   0xF1 │ key id │ header: name, epoch, number │ body │ update │ update … │ tag
//!                                                                            HMAC-SHA256 over all before it,
//!                                                                            16 bytes (RFC 2104, section 5)
//! ```
//!
//! Header, body and updates are encoded with `postcard`. Without keys (key id 0) there is no tag, and every
//! sender that reaches the port is believed.
//!
//! **Replays.** Each sender numbers its datagrams within its epoch, which is higher after each of its starts.
//! A receiver accepts each number once and none more than 64 behind the highest (the window of RFC 4303,
//! section 3.4.3). A receiver that has just started knows no numbers and may accept an old datagram; its
//! updates carry lower incarnations than those of other members, and an old acknowledgement matches no probe.

mod keys;
mod message;
mod replay_window;

use hmac::Mac;
use serde::Serialize;

pub use keys::{GossipKeys, KeysError};
pub use message::{Body, DatagramHeader, MemberUpdate};
pub use replay_window::ReplayWindow;

/// Maximum bytes of a datagram: what the platform's peers carry.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Maximum bytes of a node's name.
pub const MAX_NAME_BYTES: usize = 30;
/// Maximum bytes of a zone's name.
pub const MAX_ZONE_BYTES: usize = 20;
/// Maximum bytes of the program's version.
pub const MAX_VERSION_BYTES: usize = 16;
/// Maximum bytes of a role.
pub const MAX_ROLE_BYTES: usize = 12;
/// Minimum bytes of a key's secret.
pub const MIN_SECRET_BYTES: usize = 32;
/// Number of sections in which membership tables are compared; a member belongs to one by the hash of its
/// name.
pub const SECTIONS: usize = 16;
/// Maximum number of keys accepted at a time.
pub const MAX_KEYS: usize = 8;

/// First byte of every datagram.
const FORMAT_BYTE: u8 = 0xF1;
/// Bytes of the truncated HMAC.
const TAG_BYTES: usize = 16;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropReason {
    /// The datagram is too long or malformed.
    Garbled,
    /// Its key is unknown, or it is unsigned although keys are configured.
    Keyless,
    /// Its tag is wrong.
    Forged,
    /// Its number was received before or is of an earlier epoch.
    Replayed,
    /// Its sender is unknown and the datagram carries no announcement of the sender.
    Stranger,
    /// It is addressed to a node of another name, or carries this node's own name as the sender.
    Misled,
}

/// A datagram under construction.
pub struct DatagramWriter {
    bytes: [u8; MAX_DATAGRAM_BYTES],
    length: usize,
    tag_len: usize,
}

impl DatagramWriter {
    /// Starts a datagram. If header or body do not fit, the datagram stays empty, which no receiver accepts.
    pub fn new(keys: &GossipKeys, header: &DatagramHeader<'_>, body: &Body<'_>) -> DatagramWriter {
        let mut writer =
            DatagramWriter { bytes: [0; MAX_DATAGRAM_BYTES], length: 2, tag_len: keys.tag_len() };
        writer.bytes[0] = FORMAT_BYTE;
        writer.bytes[1] = keys.0.first().map_or(0, |(id, _)| *id);
        if !(writer.append(header) && writer.append(body)) {
            writer.length = 0;
        }
        writer
    }

    /// Appends an encoded value if it fits.
    fn append(&mut self, value: &impl Serialize) -> bool {
        let end = MAX_DATAGRAM_BYTES - self.tag_len;
        match postcard::to_slice(value, &mut self.bytes[self.length..end]) {
            Ok(written) => {
                self.length += written.len();
                true
            }
            Err(_) => false,
        }
    }

    /// Appends an update if it fits; returns `false` otherwise.
    pub fn add(&mut self, update: &MemberUpdate<'_>) -> bool {
        self.length > 0 && self.append(update)
    }

    /// Appends all of these updates or none.
    pub fn add_all(&mut self, updates: &[MemberUpdate<'_>]) -> bool {
        let before = self.length;
        let all = updates.iter().all(|update| self.add(update));
        if !all {
            self.length = before;
        }
        all
    }

    /// Returns the datagram with its tag.
    pub fn finish(mut self, keys: &GossipKeys) -> Vec<u8> {
        if let (Some((_, mac)), true) = (keys.0.first(), self.length > 0) {
            let mac = mac.clone().chain_update(&self.bytes[..self.length]).finalize().into_bytes();
            self.bytes[self.length..self.length + TAG_BYTES].copy_from_slice(&mac[..TAG_BYTES]);
            self.length += TAG_BYTES;
        }
        self.bytes[..self.length].to_vec()
    }
}

/// A decoded datagram.
#[derive(Debug, PartialEq, Eq)]
pub struct Datagram<'a> {
    /// Sender and sequence number.
    pub header: DatagramHeader<'a>,
    /// Purpose of the datagram.
    pub body: Body<'a>,
    /// Gossip carried by the datagram.
    pub updates: Vec<MemberUpdate<'a>>,
}

/// Decodes a datagram and verifies its tag.
///
/// # Errors
/// The reason to drop it. The caller checks the number against its [`ReplayWindow`].
pub fn decode<'a>(bytes: &'a [u8], keys: &GossipKeys) -> Result<Datagram<'a>, DropReason> {
    if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() < 2 || bytes[0] != FORMAT_BYTE {
        return Err(DropReason::Garbled);
    }
    let mut rest = &bytes[2..];
    if !keys.0.is_empty() {
        let (_, mac) = keys.0.iter().find(|(id, _)| *id == bytes[1]).ok_or(DropReason::Keyless)?;
        let end = bytes.len().checked_sub(TAG_BYTES).filter(|end| *end >= 2).ok_or(DropReason::Garbled)?;
        let mac = mac.clone().chain_update(&bytes[..end]);
        mac.verify_truncated_left(&bytes[end..]).map_err(|_| DropReason::Forged)?;
        rest = &bytes[2..end];
    } else if bytes[1] != 0 {
        return Err(DropReason::Keyless);
    }
    let (header, after) =
        postcard::take_from_bytes::<DatagramHeader<'_>>(rest).map_err(|_| DropReason::Garbled)?;
    let (body, after) = postcard::take_from_bytes::<Body<'_>>(after).map_err(|_| DropReason::Garbled)?;
    rest = after;
    let mut updates = Vec::new();
    while !rest.is_empty() {
        let (update, after) =
            postcard::take_from_bytes::<MemberUpdate<'_>>(rest).map_err(|_| DropReason::Garbled)?;
        if !update.is_within_limits() {
            return Err(DropReason::Garbled);
        }
        updates.push(update);
        rest = after;
    }
    if header.from.is_empty() || header.from.len() > MAX_NAME_BYTES {
        return Err(DropReason::Garbled);
    }
    Ok(Datagram { header, body, updates })
}
