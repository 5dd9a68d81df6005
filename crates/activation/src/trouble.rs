//! Why a node does not answer, for an operator.

use crate::clock::Micros;
use crate::version::FORMAT;

/// What stands in the way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Trouble {
    /// The board was not written since the start or since it was alone.
    #[error(
        "no seat at the board yet: the coordination service must be reached before anything is answered"
    )]
    NoSeat,
    /// Another disk has the seat.
    #[error("the seat of this name belongs to another disk: prove that process's end, or give this node another name")]
    SeatTaken,
    /// A decision may exist that it can't see.
    #[error("attempt {fence} may be decided and the board was not read since {floor}: restore the link to the service")]
    Doubt {
        /// The attempt.
        fence: u64,
        /// Until when the old version was safe.
        floor: Micros,
    },
    /// The moment comes or came and the clock can't tell.
    #[error(
        "the clock is not known to within {widest} us while version {number} switches: see the clock's peers"
    )]
    Clock {
        /// The bound.
        widest: Micros,
        /// What switches.
        number: u64,
    },
    /// The moment is near.
    #[error("version {number} switches at {moment}: come back in a moment")]
    Switching {
        /// What switches.
        number: u64,
        /// When.
        moment: Micros,
    },
    /// What is served is not here.
    #[error("version {0} is served and not built here yet: see why it can't be fetched")]
    NotBuilt(u64),
    /// Nothing was ever decided.
    #[error("no version is decided yet: open the first one")]
    Nothing,
    /// Another program wrote the board.
    #[error("the board has format {0}, this program reads {FORMAT}: renew this node's program")]
    Format(u32),
}
