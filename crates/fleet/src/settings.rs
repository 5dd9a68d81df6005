//! How soon what is done.

use crate::fleet::MOST_DOUBT;
use crate::{clock, Millis};

/// How soon what is done. All times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// One other is probed in each.
    pub interval: Millis,
    /// For an answer; then helpers are asked. Less than half of `interval`.
    pub timeout: Millis,
    /// Helpers that are asked.
    pub helpers: usize,
    /// Probes in a row that a member may miss before it is suspected.
    pub doubts: u32,
    /// The shortest suspicion, in intervals, times log10 of the members (at least 1).
    pub suspicion: f64,
    /// The longest, in shortest ones.
    pub patience: f64,
    /// How often an update is told, times log10 of the members, rounded up.
    pub tellings: u32,
    /// Members that news is sent to at a time, beside what goes with probes.
    pub fanout: usize,
    /// How often that is.
    pub gossip: Millis,
    /// Nothing heard from anybody for so long: isolated.
    pub isolated: Millis,
    /// A dead one is forgotten.
    pub forget: Millis,
    /// Whether and how fleet time is kept; `None`: nobody is asked and nobody answered.
    pub clocks: Option<clock::Settings>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            interval: 500,
            timeout: 150,
            helpers: 3,
            doubts: 1,
            suspicion: 4.0,
            patience: 4.0,
            tellings: 4,
            fanout: 3,
            gossip: 100,
            isolated: 2_500,
            forget: 3_600_000,
            clocks: None,
        }
    }
}

impl Settings {
    /// The longest that a member can hold others for alive, or itself for one of them, that it hears no more, among so many
    /// members: the longest suspicion, of one that doubts itself most, and the time until it is isolated.
    pub fn longest_suspicion(&self, members: usize) -> Millis {
        let least = self.suspicion * (members as f64).log10().max(1.0) * self.interval as f64;
        let most = least * self.patience * f64::from(MOST_DOUBT + 1);
        most as Millis + self.isolated + (2 + Millis::from(MOST_DOUBT)) * self.interval
    }
}
