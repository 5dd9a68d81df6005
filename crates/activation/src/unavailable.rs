//! Reasons for which a node does not serve requests, with what an operator can do.

use crate::clock::Micros;
use crate::version::FORMAT;

/// Reason for which a node does not serve requests by the version that the fleet agreed on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Unavailable {
    /// The node's entry was not written since its start or since it was isolated.
    #[error(
        "not registered in the activation record yet: the coordination service must be reached before requests are served"
    )]
    NotRegistered,
    /// The entry of this name belongs to another disk.
    #[error("the roster entry of this name belongs to another disk: prove the end of that process, or give this node another name")]
    NameTaken,
    /// A decision may exist that the node cannot see.
    #[error("attempt {fence} may be decided and the activation record was not read since {floor}: restore the connection to the service")]
    InDoubt {
        /// Fence of the attempt.
        fence: u64,
        /// Time until which responses by the old version were safe.
        floor: Micros,
    },
    /// The moment of the switch is near, and the clock cannot tell whether it has passed.
    #[error(
        "the clock is not known to within {widest} us while version {number} switches: check the peers of the clock"
    )]
    ClockUncertain {
        /// Maximum width of the clock interval.
        widest: Micros,
        /// Number of the version that switches.
        number: u64,
    },
    /// The moment of a switch is near.
    #[error("version {number} switches at {moment}: retry shortly")]
    Switching {
        /// Number of the version that switches.
        number: u64,
        /// Moment of the switch.
        moment: Micros,
    },
    /// The served version is not built on this node.
    #[error("version {0} is decided but not built on this node yet: find out why it cannot be fetched")]
    NotBuilt(u64),
    /// No version was ever decided.
    #[error("no version is decided yet: open the first one")]
    NothingDecided,
    /// The record has a format that this program cannot read.
    #[error("the activation record has format {0}, this program reads up to {FORMAT}: upgrade this node's program")]
    UnknownFormat(u32),
}
