//! What may be done to a board.

use crate::board::{Seat, Word};
use crate::version::Version;
use crate::Rules;

/// What may be done to a board. The same command taken again changes nothing, so one whose answer was lost is taken again.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// A process takes its seat, before it answers anything.
    Join {
        /// Its name.
        node: String,
        /// Its seat; never one that is gone.
        seat: Seat,
    },
    /// A process has ended or sends nothing until it enters anew: it left, `permits` has its end proven, or an operator
    /// swears to it. Who does so falsely lets that process answer by the old version until it next reads the board.
    Gone {
        /// Its name.
        node: String,
        /// Which process.
        entry: u64,
        /// How that is known.
        proof: String,
    },
    /// One that is gone does not come back: it counts no more.
    Strike(String),
    /// Begins to prepare.
    Open {
        /// Who.
        author: String,
        /// What.
        version: Version,
    },
    /// A node's word, after it is on its disk.
    Say {
        /// Who.
        node: String,
        /// Which process.
        entry: u64,
        /// Of which attempt.
        fence: u64,
        /// What.
        word: Word,
    },
    /// Puts the floor off, so that those who are ready go on by the old version.
    Extend(u64),
    /// Everybody is ready: the moment is set.
    Decide(u64),
    /// Ends an attempt without a decision: its author at any time, anybody once its time is over or too many are missing.
    End {
        /// Who.
        by: String,
        /// Which.
        fence: u64,
    },
    /// An operator withdraws a version that is not decided; its number is never taken again.
    Withdraw {
        /// Which attempt.
        fence: u64,
        /// Why: kept.
        why: String,
    },
    /// An operator gives other bounds, while nothing is open.
    Rules(Rules),
}
