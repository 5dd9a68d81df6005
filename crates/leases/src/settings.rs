//! How long and how often, and why something was refused.

use crate::whole::{Micros, WholeId, MOST_AMOUNT, MOST_BURST_MS};

/// How long what lasts. All of a fleet's nodes have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// How long a part is held, from the sending of the ask.
    pub term: Micros,
    /// How long a grantor may grant, from the sending of the operation that confirmed its epoch. A new one waits so long.
    pub authority: Micros,
    /// How often a node asks.
    pub round: Micros,
    /// How far off the pace of true time any clock is, at most, in millionths.
    pub drift_ppm: u64,
    /// The longest that a request holds a slot: the node ends it by then.
    pub longest: Micros,
    /// How long a cut off node keeps its last part of a generous whole.
    pub keep: Micros,
    /// How long it then takes to come to the even part.
    pub decay: Micros,
    /// Bytes of asks that a node sends in a second, at most.
    pub ask_bytes_s: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            term: 2_000_000,
            authority: 4_000_000,
            round: 200_000,
            drift_ppm: 1_000,
            longest: 60_000_000,
            keep: 10_000_000,
            decay: 30_000_000,
            ask_bytes_s: 98_304,
        }
    }
}

/// Drift that may be allowed for, at most, in millionths.
pub const MOST_DRIFT_PPM: u64 = 100_000;

impl Settings {
    /// Whether one can live by them.
    ///
    /// # Errors
    /// What does not fit.
    pub fn check(&self) -> Result<(), Refusal> {
        let wrong = |what| Err(Refusal::Settings(what));
        match self {
            _ if self.drift_ppm > MOST_DRIFT_PPM => wrong("drift_ppm: 100000 at most"),
            _ if self.round == 0 => wrong("round: 1 or more"),
            _ if self.term < self.round.saturating_mul(3) => {
                wrong("term: three rounds or more, or a lost ask ends a part")
            }
            _ if self.authority < self.term => wrong("authority: a term or more"),
            _ if self.decay == 0 => wrong("decay: 1 or more"),
            _ if self.ask_bytes_s < 2_400 => wrong("ask_bytes_s: 2400 or more, two messages"),
            _ => Ok(()),
        }
    }

    /// How long one may act whose clock may be slow, where others wait the whole of it by clocks that may be fast:
    /// `span x (1 - 2 drift)`, since `(1 - 2d) / (1 - d) <= 1 / (1 + d)`.
    pub fn shrink(&self, span: Micros) -> Micros {
        span - (u128::from(span) * u128::from(2 * self.drift_ppm)).div_ceil(1_000_000) as u64
    }
}

/// Why something was not done.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Settings that can't be lived by.
    #[error("leases: {0}")]
    Settings(&'static str),
    /// A whole out of bounds.
    #[error(
        "whole {id}: amount {amount} (at most {MOST_AMOUNT}), burst {burst_ms} ms (at most {MOST_BURST_MS}), least part \
         {least} (1 or more): correct the tenant's limits"
    )]
    Whole {
        /// Which.
        id: WholeId,
        /// Its amount.
        amount: u64,
        /// Its burst.
        burst_ms: u64,
        /// Its least part.
        least: u64,
    },
    /// A table is full.
    #[error("{there} {what}: {most} at most; remove some")]
    TooMany {
        /// Of what.
        what: &'static str,
        /// How many there would be.
        there: usize,
        /// How many there may be.
        most: usize,
    },
    /// A name is empty or too long.
    #[error("the name of a member has {0} bytes: 1 to {most}; shorten it", most = crate::epoch::LONGEST_NAME)]
    Name(usize),
    /// No such member.
    #[error("{0} is no member of the roster: let it join first")]
    Stranger(String),
    /// What safe parts may come to is over the bound.
    #[error("safe parts could come to {would} of 1000000000: {most} at most; wait until members have seen the epoch, \
             or strike off those that are gone", most = crate::epoch::MOST_SAFE_PPB)]
    Safe {
        /// What they could come to.
        would: u64,
    },
    /// Somebody goes by another epoch.
    #[error("epoch {epoch} is not {current}: read the document again")]
    Epoch {
        /// Theirs.
        epoch: u64,
        /// The document's.
        current: u64,
    },
    /// A message that is too long, or is none.
    #[error("a message of {0} bytes is not understood: are all nodes of one version?")]
    Garbled(usize),
}
