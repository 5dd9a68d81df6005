//! What time it is: of the fleet as an interval that surely holds it, and of the node as a count.

use serde::{Deserialize, Serialize};

/// Microseconds: of fleet time since 1970, or of a node's own count.
pub type Micros = u64;

/// The fleet's time at this moment, as the node's clocks know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Clock {
    /// Surely in this interval, ends included.
    Sure {
        /// It is no earlier.
        earliest: Micros,
        /// It is no later.
        latest: Micros,
    },
    /// Nothing that could be relied on.
    Unsure,
}

impl Clock {
    /// Both ends, where they are no further apart than `widest`.
    pub fn within(self, widest: Micros) -> Option<(Micros, Micros)> {
        match self {
            Clock::Sure { earliest, latest } if latest.checked_sub(earliest)? <= widest => {
                Some((earliest, latest))
            }
            _ => None,
        }
    }
}

/// A moment as a node has it. Both must be taken in the very turn that acts on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Now {
    /// The node's own count; it goes on while the process is stopped (`CLOCK_BOOTTIME`), and never back.
    pub local: Micros,
    /// The fleet's time.
    pub clock: Clock,
}
