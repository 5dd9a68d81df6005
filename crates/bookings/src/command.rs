//! What may be done to a book, and what comes of it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::booking::Key;
use crate::settings::Setup;
use crate::when::{Micros, Window};

/// What a tenant wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Wish {
    /// Slots by group, taken together or not at all.
    pub parts: BTreeMap<String, u32>,
    /// When.
    pub window: Window,
}

/// What may be done. A command with a key is taken once: given again with the same key and the same words it changes
/// nothing and is answered with the booking as it is by then.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// A tenant books.
    Book {
        /// Who.
        tenant: String,
        /// What it calls this command.
        key: String,
        /// What it wants.
        wish: Wish,
        /// With which rank.
        rank: u8,
        /// Lower ranks may be displaced for it.
        displace: bool,
        /// Only held, and for so long at most; `None` confirms it at once.
        hold: Option<Micros>,
    },
    /// A tenant confirms what is held.
    Confirm {
        /// Who.
        tenant: String,
        /// What it calls this command.
        key: String,
        /// Which booking.
        booking: u64,
    },
    /// A tenant wants something else instead: longer, larger, moved, or less.
    Change {
        /// Who.
        tenant: String,
        /// What it calls this command.
        key: String,
        /// Which booking.
        booking: u64,
        /// What it wants.
        wish: Wish,
    },
    /// A tenant, or an operator in its name, takes a booking back.
    Cancel {
        /// Who.
        tenant: String,
        /// What it calls this command.
        key: String,
        /// Which booking.
        booking: u64,
        /// Why: kept.
        reason: String,
    },
    /// An operator gives other settings and groups. What is booked stays booked.
    Configure(Setup),
}

impl Command {
    /// Who gives it, and what it calls it; `None` for an operator's.
    pub fn key(&self) -> Option<(&str, &str)> {
        match self {
            Command::Book { tenant, key, .. }
            | Command::Confirm { tenant, key, .. }
            | Command::Change { tenant, key, .. }
            | Command::Cancel { tenant, key, .. } => Some((tenant, key)),
            Command::Configure(_) => None,
        }
    }

    /// Hashes of its key and of itself. A tenant that makes two that collide deceives itself alone.
    pub(crate) fn hashes(&self) -> Key {
        let key = self.key().map_or("", |(_, key)| key);
        let body = postcard::to_allocvec(self).unwrap_or_default();
        let hash = |bytes: &[u8]| xxhash_rust::xxh3::xxh3_64(bytes).to_le_bytes();
        let [a, b, c, d, ..] = hash(&body);
        Key { key: hash(key.as_bytes()), body: [a, b, c, d] }
    }
}

/// Something that a tenant has to be told: its booking's trail says what and why.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Told {
    /// Whom.
    pub tenant: String,
    /// Of which booking.
    pub booking: u64,
}

/// What came of a command.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Answer {
    /// The booking that was made or changed; `None` for an operator's.
    pub booking: Option<u64>,
    /// It was taken before, and nothing was changed now: there is nothing to write.
    pub again: bool,
    /// Whose bookings something else happened to by it: displaced, short, or their time came.
    pub told: Vec<Told>,
}
