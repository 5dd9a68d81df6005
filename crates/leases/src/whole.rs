//! What is divided: so many requests a second, or so many slots in flight, of one tenant or key.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Refusal;

/// Microseconds on a node's own clock: one that only goes on and runs while the process sleeps (`CLOCK_BOOTTIME`).
pub type Micros = u64;
/// The number of a whole, the same at every node. It is of one kind for good: a rate that becomes slots gets another.
pub type WholeId = u32;

/// Units of a part in one request a second: parts of a rate are counted in thousandths.
pub const RATE_UNITS: u64 = 1_000;
/// What parts of one are counted in.
pub const PPB: u64 = 1_000_000_000;
/// Requests a second, or slots, of one whole, at most.
pub const MOST_AMOUNT: u64 = 10_000_000;
/// Milliseconds of burst, at most.
pub const MOST_BURST_MS: u64 = 60_000;
/// Wholes, at most.
pub const MOST_WHOLES: usize = 65_536;

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Requests begun.
    Rate {
        /// So many a second, over the fleet.
        per_s: u64,
        /// What may come at once, in milliseconds of the rate, over the fleet.
        burst_ms: u64,
    },
    /// Requests in flight.
    Slots {
        /// So many at a time, over the fleet.
        count: u64,
    },
}

/// What a node does that nobody renews.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Its part ends with its term, and its safe part is left: never over.
    Strict,
    /// It keeps its last part for a while and comes down to the even part of the roster: see
    /// [`generous_factor`](crate::generous_factor).
    Generous,
}

/// One thing that is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Whole {
    /// How much of what.
    pub kind: Kind,
    /// What cut off nodes do.
    pub mode: Mode,
    /// A part smaller than this helps nobody, in units: where there is too little for all, some get it and the others
    /// nothing, in turns. 1 where every part is of use.
    pub least: u64,
}

impl Whole {
    /// All of it, in units: thousandths of a request a second, or slots.
    pub fn units(&self) -> u64 {
        match self.kind {
            Kind::Rate { per_s, .. } => per_s.saturating_mul(RATE_UNITS),
            Kind::Slots { count } => count,
        }
    }

    /// Requests that may come at once over the fleet; 0 for slots.
    pub fn burst(&self) -> u64 {
        match self.kind {
            Kind::Rate { per_s, burst_ms } => per_s.saturating_mul(burst_ms) / 1_000,
            Kind::Slots { .. } => 0,
        }
    }

    /// Whether slots are counted.
    pub fn is_slots(&self) -> bool {
        matches!(self.kind, Kind::Slots { .. })
    }

    fn check(&self, id: WholeId) -> Result<(), Refusal> {
        let (amount, burst_ms) = match self.kind {
            Kind::Rate { per_s, burst_ms } => (per_s, burst_ms),
            Kind::Slots { count } => (count, 0),
        };
        if amount > MOST_AMOUNT || burst_ms > MOST_BURST_MS || self.least == 0 {
            return Err(Refusal::Whole { id, amount, burst_ms, least: self.least });
        }
        Ok(())
    }
}

/// A part of an amount, in parts of [`PPB`], rounded down.
pub fn part_of(amount: u64, ppb: u64) -> u64 {
    (u128::from(amount) * u128::from(ppb) / u128::from(PPB)) as u64
}

/// All wholes, as a revision of the documents has them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Wholes {
    revision: u64,
    list: BTreeMap<WholeId, Whole>,
}

impl Wholes {
    /// Those of a revision, a number that only grows.
    ///
    /// # Errors
    /// There are too many, or one is out of bounds.
    pub fn new(revision: u64, list: BTreeMap<WholeId, Whole>) -> Result<Wholes, Refusal> {
        if list.len() > MOST_WHOLES {
            return Err(Refusal::TooMany { what: "wholes", there: list.len(), most: MOST_WHOLES });
        }
        list.iter().try_for_each(|(id, whole)| whole.check(*id))?;
        Ok(Wholes { revision, list })
    }

    /// The revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// How many.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// One of them.
    pub fn get(&self, id: WholeId) -> Option<&Whole> {
        self.list.get(&id)
    }

    /// All, by number.
    pub fn iter(&self) -> impl Iterator<Item = (WholeId, &Whole)> {
        self.list.iter().map(|(id, whole)| (*id, whole))
    }
}
