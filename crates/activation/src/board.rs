//! The board: one document at the coordination service, written back only over the version that was read.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Micros;
use crate::version::{Version, FORMAT, LONGEST_TEXT};
use crate::{Refusal, Rules};

/// Seats of a roster, at most.
pub const MOST_SEATS: usize = 4_096;
/// Attempts that ended and are kept to be read, at most; the oldest goes.
pub const MOST_KEPT: usize = 32;

/// A node's place in the roster. Whoever answers anything has one: a node that is on no roster is waited for by nobody.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Seat {
    /// The disk that it lives on, by a number drawn when that was empty.
    pub life: u64,
    /// The process, by a number that each start and each return from solitude draws.
    pub entry: u64,
    /// What it reads.
    pub format: u32,
    /// How its end was proven, if it was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gone: Option<String>,
}

/// What a node says of an attempt; it binds the node until it reads how the attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Word {
    /// Built aside, on disk, of this digest.
    Ready(String),
    /// Not to be had here, and why.
    Cannot(String),
}

/// A version that is being prepared.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Its number, which only grows.
    pub fence: u64,
    /// What is to be served.
    pub version: Version,
    /// Who opened it.
    pub author: String,
    /// Undecided then, anybody ends it.
    pub until: Micros,
    /// No moment before it is ever decided: until then whoever said its word may answer by the old version. It only grows.
    pub floor: Micros,
    /// Who is ready, and as which entry it said so.
    pub ready: BTreeMap<String, u64>,
}

/// What is served, and since when.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Decision {
    /// The attempt that it was.
    pub fence: u64,
    /// What.
    pub version: Version,
    /// From then on.
    pub moment: Micros,
    /// The decision that it ends; 0 for the first. Who serves another than that one waits for the moment.
    pub after: u64,
}

/// An attempt that was not decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Kept {
    /// Which.
    pub fence: u64,
    /// Its version.
    pub number: u64,
    /// Why it ended.
    pub why: String,
}

/// All that is agreed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Board {
    /// Of this document: a program that knows only older ones writes nothing.
    pub format: u32,
    /// Grows with each change: an older copy is known by it.
    pub revision: u64,
    /// The bounds.
    pub rules: Rules,
    /// The last attempt's number.
    pub fence: u64,
    /// Versions up to this number are over: decided or withdrawn.
    pub least: u64,
    /// Who has to be ready.
    pub roster: BTreeMap<String, Seat>,
    /// What is served.
    pub decided: Option<Decision>,
    /// What is being prepared.
    pub attempt: Option<Attempt>,
    /// What was not decided, the last ones.
    #[serde(default)]
    pub kept: Vec<Kept>,
}

impl Board {
    /// An empty one.
    ///
    /// # Errors
    /// Where a rule can't be kept.
    pub fn new(rules: Rules) -> Result<Board, Refusal> {
        rules.check()?;
        let (roster, kept) = (BTreeMap::new(), Vec::new());
        let (decided, attempt) = (None, None);
        Ok(Board { format: FORMAT, revision: 0, rules, fence: 0, least: 0, roster, decided, attempt, kept })
    }

    /// Who has to be ready for the open attempt and is not.
    pub fn waited_for(&self) -> Vec<String> {
        let Some(attempt) = &self.attempt else { return Vec::new() };
        let ready = |name: &str, seat: &Seat| attempt.ready.get(name) == Some(&seat.entry);
        let waited = self.roster.iter().filter(|(name, seat)| seat.gone.is_none() && !ready(name, seat));
        waited.map(|(name, _)| name.clone()).collect()
    }

    /// Whether too much of the roster is gone; a roster without anybody is.
    pub(crate) fn missing(&self) -> Result<(), Refusal> {
        let (of, most) = (self.roster.len(), self.rules.most_missing_percent);
        let missing = self.roster.values().filter(|seat| seat.gone.is_some()).count();
        if missing * 100 > of * usize::from(most) || missing == of {
            return Err(Refusal::Missing { missing, of, most });
        }
        Ok(())
    }

    /// Ends the open attempt.
    pub(crate) fn end(&mut self, why: String) {
        if let Some(attempt) = self.attempt.take() {
            let mut why = why;
            while why.len() > LONGEST_TEXT {
                why.pop();
            }
            self.kept.push(Kept { fence: attempt.fence, number: attempt.version.number, why });
            let over = self.kept.len().saturating_sub(MOST_KEPT);
            self.kept.drain(..over);
        }
    }
}
