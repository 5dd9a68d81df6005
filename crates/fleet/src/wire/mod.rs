//! Datagrams: at most 256 bytes, told apart from forged, replayed and garbled ones.
//!
//! ```text
//!   0xF1 │ key id │ head: name, epoch, number │ body │ update │ update … │ tag
//!                                                                          HMAC-SHA256 over all before it,
//!                                                                          16 bytes (RFC 2104, section 5)
//! ```
//!
//! Head, body and updates are `postcard`. Without keys (id 0) there is no tag, and anybody who reaches the port is
//! believed.
//!
//! **Replays.** Each sender numbers its datagrams within its epoch, a number that is higher after each start; a
//! receiver takes each number once, and none further back than 64 (the window of RFC 4303, section 3.4.3). A
//! receiver that has just started knows no numbers and may take an old datagram: what it tells is older than what
//! others tell by incarnation, and an old acknowledgement answers no probe.

mod form;
mod keys;
mod window;

use hmac::Mac;
use serde::Serialize;

pub use form::{Body, Head, Update};
pub use keys::{BadKeys, Keys};
pub use window::Window;

/// Bytes of a datagram, at most: as many as the platform's peers carry.
pub const LONGEST: usize = 256;
/// Bytes of a node's name, at most.
pub const LONGEST_NAME: usize = 30;
/// Bytes of a zone's name, at most.
pub const LONGEST_ZONE: usize = 20;
/// Bytes of the program's version, at most.
pub const LONGEST_VERSION: usize = 16;
/// Bytes of a role, at most.
pub const LONGEST_ROLE: usize = 12;
/// Bytes of a key's secret, at least.
pub const SHORTEST_SECRET: usize = 32;
/// Parts that members are compared in, by the hash of their names.
pub const SECTIONS: usize = 16;
/// Keys that are taken at a time, at most.
pub const MOST_KEYS: usize = 8;

const FORM: u8 = 0xF1;
const TAG: usize = 16;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Drop {
    /// It is too long, or not of this form.
    Garbled,
    /// Its key is none of ours, or it has none where keys are asked for.
    Keyless,
    /// Its tag is wrong.
    Forged,
    /// Its number was there before, or is of an earlier epoch.
    Replayed,
    /// Its sender is not known and does not say who it is.
    Stranger,
    /// It is for a node of another name, or our own come back.
    Misled,
}

/// A datagram that is being written.
pub struct Writer {
    bytes: [u8; LONGEST],
    length: usize,
    tag: usize,
}

impl Writer {
    /// Begins one. A head or body that is too long leaves it empty, which no receiver takes.
    pub fn new(keys: &Keys, head: &Head<'_>, body: &Body<'_>) -> Writer {
        let mut writer = Writer { bytes: [0; LONGEST], length: 2, tag: keys.tag() };
        writer.bytes[0] = FORM;
        writer.bytes[1] = keys.0.first().map_or(0, |(id, _)| *id);
        if !(writer.put(head) && writer.put(body)) {
            writer.length = 0;
        }
        writer
    }

    fn put(&mut self, value: &impl Serialize) -> bool {
        let end = LONGEST - self.tag;
        match postcard::to_slice(value, &mut self.bytes[self.length..end]) {
            Ok(written) => {
                self.length += written.len();
                true
            }
            Err(_) => false,
        }
    }

    /// Adds what fits; `false` for what does not.
    pub fn add(&mut self, update: &Update<'_>) -> bool {
        self.length > 0 && self.put(update)
    }

    /// Adds all of these or nothing.
    pub fn add_all(&mut self, updates: &[Update<'_>]) -> bool {
        let before = self.length;
        let all = updates.iter().all(|update| self.add(update));
        if !all {
            self.length = before;
        }
        all
    }

    /// The datagram with its tag.
    pub fn done(mut self, keys: &Keys) -> Vec<u8> {
        if let (Some((_, mac)), true) = (keys.0.first(), self.length > 0) {
            let mac = mac.clone().chain_update(&self.bytes[..self.length]).finalize().into_bytes();
            self.bytes[self.length..self.length + TAG].copy_from_slice(&mac[..TAG]);
            self.length += TAG;
        }
        self.bytes[..self.length].to_vec()
    }
}

/// A datagram that was read.
#[derive(Debug, PartialEq, Eq)]
pub struct Datagram<'a> {
    /// From whom.
    pub head: Head<'a>,
    /// What for.
    pub body: Body<'a>,
    /// What it tells.
    pub updates: Vec<Update<'a>>,
}

/// Reads one, if its tag is right.
///
/// # Errors
/// Why it is dropped. Whether its number came before is for the caller to know.
pub fn open<'a>(bytes: &'a [u8], keys: &Keys) -> Result<Datagram<'a>, Drop> {
    if bytes.len() > LONGEST || bytes.len() < 2 || bytes[0] != FORM {
        return Err(Drop::Garbled);
    }
    let mut rest = &bytes[2..];
    if !keys.0.is_empty() {
        let (_, mac) = keys.0.iter().find(|(id, _)| *id == bytes[1]).ok_or(Drop::Keyless)?;
        let end = bytes.len().checked_sub(TAG).filter(|end| *end >= 2).ok_or(Drop::Garbled)?;
        let mac = mac.clone().chain_update(&bytes[..end]);
        mac.verify_truncated_left(&bytes[end..]).map_err(|_| Drop::Forged)?;
        rest = &bytes[2..end];
    } else if bytes[1] != 0 {
        return Err(Drop::Keyless);
    }
    let (head, after) = postcard::take_from_bytes::<Head<'_>>(rest).map_err(|_| Drop::Garbled)?;
    let (body, after) = postcard::take_from_bytes::<Body<'_>>(after).map_err(|_| Drop::Garbled)?;
    rest = after;
    let mut updates = Vec::new();
    while !rest.is_empty() {
        let (update, after) = postcard::take_from_bytes::<Update<'_>>(rest).map_err(|_| Drop::Garbled)?;
        if !update.bounded() {
            return Err(Drop::Garbled);
        }
        updates.push(update);
        rest = after;
    }
    if head.from.is_empty() || head.from.len() > LONGEST_NAME {
        return Err(Drop::Garbled);
    }
    Ok(Datagram { head, body, updates })
}
