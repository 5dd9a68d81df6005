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

use std::net::SocketAddr;

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::{Phase, EJECTED};

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

/// Why keys cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadKeys {
    /// A line is not of the form.
    #[error("line {0}: write ID SECRET, the id from 1 to 255")]
    Form(usize),
    /// A secret is too short.
    #[error(
        "line {0}: the secret has fewer than {SHORTEST_SECRET} bytes: make one with `openssl rand -hex 32`"
    )]
    Short(usize),
    /// An id comes twice.
    #[error("line {0}: the id is there already: give each key its own")]
    Twice(usize),
    /// There is none, or there are too many.
    #[error("{0} keys: give 1 to {MOST_KEYS}, the one to sign with first")]
    Count(usize),
}

/// The keys that are taken; the first one signs.
#[derive(Clone, Default)]
pub struct Keys(Vec<(u8, Hmac<Sha256>)>);

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_list().entries(self.0.iter().map(|(id, _)| id)).finish()
    }
}

impl Keys {
    /// No keys: everything of the right form is believed.
    pub fn none() -> Keys {
        Keys::default()
    }

    /// Reads a key a line, `ID SECRET`; empty lines and those that begin with `#` are left out. A key is changed in
    /// three steps, each at all nodes before the next: the new one is added below, moved to the top, and the old one
    /// taken out.
    ///
    /// # Errors
    /// The first line at fault and what to do. Secrets are not repeated.
    pub fn read(text: &str) -> Result<Keys, BadKeys> {
        let mut keys: Vec<(u8, Hmac<Sha256>)> = Vec::new();
        for (number, line) in (1..).zip(text.lines()) {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let (id, secret) = line.split_once(char::is_whitespace).ok_or(BadKeys::Form(number))?;
            let id = id.parse().ok().filter(|id| *id > 0).ok_or(BadKeys::Form(number))?;
            let secret = secret.trim();
            if secret.len() < SHORTEST_SECRET {
                return Err(BadKeys::Short(number));
            }
            if keys.iter().any(|(other, _)| *other == id) {
                return Err(BadKeys::Twice(number));
            }
            let mac = Hmac::new_from_slice(secret.as_bytes()).map_err(|_| BadKeys::Short(number))?;
            keys.push((id, mac));
        }
        match keys.len() {
            1..=MOST_KEYS => Ok(Keys(keys)),
            count => Err(BadKeys::Count(count)),
        }
    }

    fn tag(&self) -> usize {
        if self.0.is_empty() {
            0
        } else {
            TAG
        }
    }
}

/// Who sends, and which of its datagrams this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head<'a> {
    /// The sender's name.
    pub from: &'a str,
    /// Higher after each start of the sender.
    pub epoch: u64,
    /// Higher with each datagram of an epoch.
    pub number: u64,
}

/// What a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body<'a> {
    /// Answer with [`Body::Ack`].
    Ping {
        /// For this probe.
        nonce: u32,
        /// Whoever else has the address by now does not answer for it.
        to: &'a str,
    },
    /// Probe this one and tell.
    Ask {
        /// For this probe.
        nonce: u32,
        /// Whom to probe.
        target: &'a str,
    },
    /// The target of the probe answered.
    Ack {
        /// Of this probe.
        nonce: u32,
        /// Of all that the sender knows: see [`crate::Fleet`].
        digest: u32,
    },
    /// The helper answers, the target does not.
    Nack {
        /// Of this probe.
        nonce: u32,
    },
    /// Which sections do we differ in?
    Compare {
        /// Digests of what the sender knows, by section.
        sums: [u32; SECTIONS],
    },
    /// In these.
    Differ {
        /// A bit a section.
        sections: u16,
    },
    /// Tell whom you know, by name from after this one on.
    Pull {
        /// The last name that came.
        after: &'a str,
        /// Of these sections, a bit each.
        sections: u16,
    },
    /// What was pulled.
    Page {
        /// There are no more.
        last: bool,
    },
    /// Updates alone.
    Gossip,
}

/// What is told of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update<'a> {
    /// It says of itself that it lives, and how.
    Alive {
        /// Who.
        name: &'a str,
        /// Its word that this is.
        incarnation: u64,
        /// When it started, in its own Unix time in milliseconds.
        boot: u64,
        /// Where it is reached.
        addr: SocketAddr,
        /// Its zone; empty where it has none.
        zone: &'a str,
        /// The program's version.
        version: &'a str,
        /// The digest of its configuration.
        config: u32,
        /// What it is in the fleet.
        role: &'a str,
        /// How far it is.
        phase: Phase,
        /// Up to which order it has done all.
        done: u32,
        /// Marks of servers that it ejects.
        ejects: [u16; EJECTED],
    },
    /// It did not answer.
    Suspect {
        /// Who.
        name: &'a str,
        /// Its last word that was known.
        incarnation: u64,
        /// Who says so.
        by: &'a str,
    },
    /// It did not answer, and did not contradict in time.
    Dead {
        /// Who.
        name: &'a str,
        /// Its last word that was known.
        incarnation: u64,
    },
}

impl Update<'_> {
    /// Whether its texts are within the bounds.
    fn bounded(&self) -> bool {
        let name = |name: &str| !name.is_empty() && name.len() <= LONGEST_NAME;
        match self {
            Update::Alive { name: of, zone, version, role, .. } => {
                name(of)
                    && zone.len() <= LONGEST_ZONE
                    && version.len() <= LONGEST_VERSION
                    && role.len() <= LONGEST_ROLE
            }
            Update::Suspect { name: of, by, .. } => name(of) && name(by),
            Update::Dead { name: of, .. } => name(of),
        }
    }
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

/// Which numbers of a sender came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Window {
    epoch: u64,
    top: u64,
    /// Bit n: `top - n` came.
    came: u64,
}

impl Window {
    /// Whether this epoch is over: a later one was heard of.
    pub fn over(&self, epoch: u64) -> bool {
        epoch < self.epoch
    }

    /// Whether this epoch begins.
    pub fn before(&self, epoch: u64) -> bool {
        epoch > self.epoch
    }

    /// Takes a number once.
    pub fn take(&mut self, epoch: u64, number: u64) -> bool {
        if epoch < self.epoch {
            return false;
        }
        if epoch > self.epoch {
            *self = Window { epoch, top: number, came: 1 };
            return true;
        }
        if number > self.top {
            let on = number - self.top;
            self.came = if on >= 64 { 0 } else { self.came << on };
            self.came |= 1;
            self.top = number;
            return true;
        }
        let back = self.top - number;
        if back >= 64 || self.came & (1 << back) != 0 {
            return false;
        }
        self.came |= 1 << back;
        true
    }
}
