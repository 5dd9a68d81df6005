//! Time readings: fleet time as an interval that contains the true time, and the node's own monotonic count.

use serde::{Deserialize, Serialize};

/// Microseconds, of fleet time since 1970 or of a node's own count.
pub type Micros = u64;

/// Fleet time at one instant, as the node's clock knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClockReading {
    /// The true time is in this interval, ends included.
    Sure {
        /// Earliest possible time.
        earliest: Micros,
        /// Latest possible time.
        latest: Micros,
    },
    /// The clock gives no reliable bound.
    Unsure,
}

impl ClockReading {
    /// Returns both ends if the interval is no wider than `widest`.
    pub fn within(self, widest: Micros) -> Option<(Micros, Micros)> {
        match self {
            ClockReading::Sure { earliest, latest } if latest.checked_sub(earliest)? <= widest => {
                Some((earliest, latest))
            }
            _ => None,
        }
    }
}

/// Both clocks of a node. They must be read in the same scheduling turn that acts on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NodeTime {
    /// The node's own monotonic count; it continues while the process is stopped (`CLOCK_BOOTTIME`).
    pub local: Micros,
    /// Fleet time.
    pub clock: ClockReading,
}
