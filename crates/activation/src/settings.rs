//! The bounds: those that the fleet agrees on stand in the board, the others are a node's own.

use serde::{Deserialize, Serialize};

use crate::clock::Micros;
use crate::Refusal;

/// Bounds of the fleet, in the [`Board`](crate::Board). None of them carries the promise that nobody answers by the old
/// version after anybody answers by the new one; they say for how long who is cut off goes on, and when an attempt ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// How far ahead of its writer's clock a floor or a moment is written.
    pub lead: Micros,
    /// For how long an attempt may be undecided.
    pub patience: Micros,
    /// The widest interval of a clock by which anything is done.
    pub widest: Micros,
    /// Most of the roster, in percent, whose end is proven; an attempt with more of it missing ends.
    pub most_missing_percent: u8,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules { lead: 2_000_000, patience: 30_000_000, widest: 50_000, most_missing_percent: 20 }
    }
}

impl Rules {
    /// # Errors
    /// Which bound can't be kept, and what to give.
    pub fn check(&self) -> Result<(), Refusal> {
        let wrong = |text: &str| Err(Refusal::Bound(text.into()));
        if self.lead < self.widest.saturating_mul(4).max(1) {
            return wrong(
                "lead is under four times widest: nodes would be in doubt at each switch; give more",
            );
        }
        if self.patience < self.lead {
            return wrong("patience is under lead: no attempt could be decided in time; give more");
        }
        match self.most_missing_percent {
            0..=99 => Ok(()),
            _ => wrong("most_missing_percent is 100 or more: a fleet of nobody would switch; give 0 to 99"),
        }
    }
}

/// Bounds of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// How often the board is read; under `lead / 8`, or the node is in doubt now and then while an attempt is open.
    pub poll: Micros,
    /// Requests that wait for a moment, at most.
    pub most_held: usize,
    /// How long after the first began to wait any may: beyond it, they are refused at once.
    pub hold_for: Micros,
    /// The longest time between two turns of a node that did not sleep.
    pub longest_turn: Micros,
    /// Without the service and most of the roster for longer, a node gives up its seat; `permits`' `alone_s`.
    pub alone: Micros,
    /// How long after the switch a server that the new version drops may get a request's further attempts by the old.
    pub drain: Micros,
    /// Versions whose tables are in memory, at most: served, aside, and those with requests.
    pub most_built: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            poll: 200_000,
            most_held: 1_024,
            hold_for: 100_000,
            longest_turn: 250_000,
            alone: 30_000_000,
            drain: 500_000,
            most_built: 4,
        }
    }
}

impl Limits {
    /// # Errors
    /// Which bound would refuse requests at each switch, and what to give.
    pub fn check(&self, rules: &Rules) -> Result<(), Refusal> {
        let wrong = |text: &str| Err(Refusal::Bound(text.into()));
        if self.poll == 0 || self.poll > rules.lead / 8 {
            return wrong("poll is 0 or over an eighth of lead: this node would be in doubt while others are not; give less");
        }
        if self.hold_for < rules.widest.saturating_mul(2) {
            return wrong(
                "hold_for is under twice widest: requests would be refused at each switch; give more",
            );
        }
        if self.longest_turn == 0 || self.alone < self.longest_turn {
            return wrong(
                "longest_turn is 0 or over alone: each turn would count as a sleep; give 50 ms or more",
            );
        }
        if self.most_held == 0 || self.most_built < 3 {
            return wrong(
                "most_held is 0 or most_built under 3: the served, the next and the last one; give more",
            );
        }
        Ok(())
    }
}
