//! Errors of commands, each with what the operator can do.

use crate::clock::Micros;

/// Reason for which a command was rejected; the record is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// Another attempt is open; there is one at a time.
    #[error(
        "version {number} is being prepared by {author} (attempt {fence}): wait until that attempt ends, or withdraw it"
    )]
    AttemptOpen {
        /// Author of the open attempt.
        author: String,
        /// Number of its version.
        number: u64,
        /// Fence of that attempt.
        fence: u64,
    },
    /// The moment of the last decision has not certainly passed.
    #[error("version {number} is decided and switches at {moment}: open the next version after that moment")]
    Switching {
        /// Number of the decided version.
        number: u64,
        /// Moment of the switch, in microseconds.
        moment: Micros,
    },
    /// The version is not newer than the last one that was decided or withdrawn.
    #[error("version {number} is not newer than {highest}, which was decided or withdrawn: give the data a new version number")]
    StaleVersion {
        /// Number of the requested version.
        number: u64,
        /// Highest number that was decided or withdrawn.
        highest: u64,
    },
    /// The attempt is not open any more.
    #[error("attempt {0} is not open any more: read the activation record again")]
    AttemptOver(u64),
    /// The attempt was decided and cannot be undone.
    #[error("attempt {fence} is decided for {moment}: to roll back, open a new version with the old data")]
    AlreadyDecided {
        /// Fence of the attempt.
        fence: u64,
        /// Moment of the switch.
        moment: Micros,
    },
    /// Not all nodes reported ready.
    #[error("nodes are not ready yet: {0:?}; wait, or record a proof that they have ended")]
    NotReady(Vec<String>),
    /// Before the time-out, only the author may end an attempt and only an operator may withdraw it.
    #[error("attempt {fence} belongs to {author} until {until}: withdraw it, or wait until then")]
    NotTimedOut {
        /// Fence of the attempt.
        fence: u64,
        /// Author of the attempt.
        author: String,
        /// Time-out of the attempt.
        until: Micros,
    },
    /// The attempt has timed out.
    #[error("attempt {0} has timed out: open it again once all nodes respond")]
    TimedOut(u64),
    /// Too large a part of the roster has ended.
    #[error("{missing} of {total} nodes are missing, at most {max_percent} percent may be: bring them back or strike them")]
    TooManyMissing {
        /// Number of nodes whose end is proven.
        missing: usize,
        /// Number of nodes in the roster.
        total: usize,
        /// Maximum share that may be missing, in percent.
        max_percent: u8,
    },
    /// The clock of the node that issues the command is too uncertain.
    #[error(
        "this node's clock is not known to within {0} us: check the state of its clock, or use another node"
    )]
    ClockUncertain(Micros),
    /// The roster has no entry of that name and process.
    #[error("the roster has no such entry of {0}: the node left, registered again, or never joined; read the activation record again")]
    UnknownNode(String),
    /// Another process has the entry of this name and may still serve requests.
    #[error("{0} is registered from another disk: prove the end of that process, or use another name")]
    NameTaken(String),
    /// The process's end was proven; it must register as a new process.
    #[error("{0} was recorded as ended: register again as a new process")]
    NodeEnded(String),
    /// A limit is exceeded.
    #[error("{0}")]
    LimitExceeded(String),
}
