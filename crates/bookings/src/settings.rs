//! What operators set, and the bounds of a book.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::capacity::Rule;
use crate::refusal::Refusal;
use crate::when::Micros;

/// Bookings that are not over, at most.
pub const MOST_BOOKINGS: usize = 4_096;
/// Bookings that are over and kept to be read, at most; the oldest of the tenant that has most goes.
pub const MOST_ENDED: usize = 512;
/// Of these one tenant's, at most; its oldest goes.
pub const MOST_ENDED_A_TENANT: usize = 32;
/// Bookings of one tenant that are not over, at most, whatever its allowance says.
pub const MOST_A_TENANT: u32 = 256;
/// Groups of a book, at most.
pub const MOST_GROUPS: usize = 64;
/// Groups of one booking, at most.
pub const MOST_PARTS: usize = 8;
/// Servers of all groups together, at most.
pub const MOST_SERVERS: usize = 1_024;
/// Times in which one server is out, at most.
pub const MOST_OUTS: usize = 4;
/// Slots of a server, or of a booking in a group, at most.
pub const MOST_SLOTS: u32 = 262_144;
/// Ranks, at most.
pub const MOST_RANKS: usize = 16;
/// Tenants with an allowance of their own, at most.
pub const MOST_ALLOWANCES: usize = 1_024;
/// Bookings that one may displace, at most.
pub const MOST_DISPLACED: usize = 16;
/// Commands of a booking that are known again, at most: the first and the latest.
pub const MOST_KEYS: usize = 8;
/// Changes that a booking remembers, at most: the first and the latest.
pub const MOST_TRAIL: usize = 8;
/// Bytes of a name, a key or a reason, at most.
pub const LONGEST_TEXT: usize = 128;
/// Bytes of a written book, at most: what the board takes for one document.
pub const MOST_BYTES: usize = 512 * 1024;
/// Bytes of it that settings, groups and servers take, at most. So much is kept free for them, and for each booking what
/// it takes to say that it is short; the rest is the bookings'. So there is room for what time and lost servers write.
pub const MOST_HEAD: usize = 48 * 1024;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
const DAY: Micros = 24 * HOUR;

/// What a rank is good for. A higher one may displace a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rank {
    /// So long before it begins to take slots a booking of this rank is displaced no more.
    pub notice: Micros,
}

/// What a tenant may book.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allowance {
    /// Bookings that are not over.
    pub bookings: u32,
    /// Slots at any moment, all groups together.
    pub slots: u32,
    /// The highest rank that it may ask for.
    pub highest_rank: u8,
}

/// How unused slots are lent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lending {
    /// A lent slot is back after so long.
    pub back: Micros,
    /// The part of the entitlement that is never lent, in percent, rounded up.
    pub keep_percent: u8,
}

/// What holds for all groups.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// From the lowest on; a rank is its place here.
    pub ranks: Vec<Rank>,
    /// For tenants that have none of their own.
    pub allowance: Allowance,
    /// By tenant.
    pub tenants: BTreeMap<String, Allowance>,
    /// Bookings are over by so long from now.
    pub horizon: Micros,
    /// The longest booking, lead and taper included.
    pub longest: Micros,
    /// The longest hold.
    pub longest_hold: Micros,
    /// After a write no node acts on an older book for longer than this: it has read the new one or has fenced itself,
    /// and what it let through has ended. At least the age of a book, plus the longest request, plus twice the widest
    /// interval of a clock.
    pub spread: Micros,
    /// A dead server is taken as away for so long from now.
    pub mend: Micros,
    /// What is over is kept for so long.
    pub kept: Micros,
    /// How unused slots are lent.
    pub lending: Lending,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            ranks: vec![Rank { notice: DAY }; 3],
            allowance: Allowance { bookings: 64, slots: 10_000, highest_rank: 0 },
            tenants: BTreeMap::new(),
            horizon: 400 * DAY,
            longest: 31 * DAY,
            longest_hold: DAY,
            spread: 30 * SECOND,
            mend: HOUR,
            kept: DAY,
            lending: Lending { back: SECOND, keep_percent: 10 },
        }
    }
}

impl Settings {
    /// What a tenant may book.
    pub fn allowance(&self, tenant: &str) -> Allowance {
        let own = self.tenants.get(tenant).copied().unwrap_or(self.allowance);
        Allowance { bookings: own.bookings.min(MOST_A_TENANT), ..own }
    }

    pub(crate) fn check(&self) -> Result<(), Refusal> {
        let bound = |what: &'static str, most: usize, is: usize| match is > most {
            true => Err(Refusal::Bound { what, most: most as u64, is: is as u64 }),
            false => Ok(()),
        };
        bound("ranks", MOST_RANKS, self.ranks.len())?;
        bound("tenants with an allowance", MOST_ALLOWANCES, self.tenants.len())?;
        bound("lending.keep_percent", 100, usize::from(self.lending.keep_percent))?;
        self.tenants.keys().try_for_each(|name| text("tenant", name))?;
        if self.ranks.is_empty() {
            return Err(Refusal::Setting { what: "ranks", why: "there is none: give at least one" });
        }
        if self.longest > self.horizon || self.mend == 0 {
            return Err(Refusal::Setting {
                what: "longest, horizon, mend",
                why: "longest has to be within horizon, and mend more than 0",
            });
        }
        Ok(())
    }
}

/// What an operator gives as a whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// What holds for all groups.
    pub settings: Settings,
    /// The groups, by name.
    pub groups: BTreeMap<String, Rule>,
}

/// That a text is there and not too long.
pub(crate) fn text(what: &'static str, text: &str) -> Result<(), Refusal> {
    match text.len() {
        0 => Err(Refusal::Setting { what, why: "it is empty: give a text" }),
        1..=LONGEST_TEXT => Ok(()),
        is => Err(Refusal::Bound { what, most: LONGEST_TEXT as u64, is: is as u64 }),
    }
}
