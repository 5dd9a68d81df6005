//! Why a command was not taken, and what can be done.

use crate::clock::Micros;

/// The board is as it was.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// One attempt at a time.
    #[error(
        "version {number} is being prepared by {author} (attempt {fence}): wait for its end, or withdraw it"
    )]
    Another {
        /// Who began it.
        author: String,
        /// Its version.
        number: u64,
        /// Its attempt.
        fence: u64,
    },
    /// The last decision's moment is not surely past.
    #[error("version {number} is decided and switches at {moment}: open the next one after it")]
    Switching {
        /// What is decided.
        number: u64,
        /// When, in microseconds.
        moment: Micros,
    },
    /// It is not newer than what was decided or withdrawn.
    #[error("version {number} is not newer than {least}, which was decided or withdrawn: give the whole a new number")]
    Stale {
        /// The version asked for.
        number: u64,
        /// The last one that is over.
        least: u64,
    },
    /// The attempt is over.
    #[error("attempt {0} is over: read the board again")]
    Fenced(u64),
    /// It was decided: no way back.
    #[error("attempt {fence} is decided for {moment}: the way back is a new version with the old whole")]
    Decided {
        /// The attempt.
        fence: u64,
        /// Its moment.
        moment: Micros,
    },
    /// Not everybody said that it is ready.
    #[error("not ready yet: {0:?}; wait, or prove their end and have it written")]
    Waits(Vec<String>),
    /// Only the author or an operator withdraws one whose time is not over.
    #[error("attempt {fence} is {author}'s until {until}: have it withdrawn, or wait until then")]
    Early {
        /// The attempt.
        fence: u64,
        /// Whose.
        author: String,
        /// Its time-out.
        until: Micros,
    },
    /// Its time is over.
    #[error("attempt {0} has timed out: open it again once all nodes answer")]
    Late(u64),
    /// Too much of the roster is gone.
    #[error("{missing} of {of} nodes are missing, {most} percent at most: bring them back or strike them")]
    Missing {
        /// Whose end is proven.
        missing: usize,
        /// The roster.
        of: usize,
        /// The bound.
        most: u8,
    },
    /// The clock of who asks can't tell.
    #[error("this node's clock is not known to within {0} us: see its clock's state, or ask another node")]
    Clock(Micros),
    /// Nobody of that name and entry.
    #[error("{0} has no such seat: it left, came back, or never joined; read the board again")]
    Stranger(String),
    /// Somebody else has the seat and may still answer.
    #[error("{0} has a seat from another disk: prove the end of that process, or take another name")]
    Taken(String),
    /// Its end was proven: it enters anew.
    #[error("{0} was taken for ended: enter again under a new entry")]
    Ended(String),
    /// A bound is reached.
    #[error("{0}")]
    Bound(String),
}
