//! Durations and limits of the lease protocol, and the errors of this crate.

use crate::resource::{Micros, ResourceId, MAX_AMOUNT, MAX_BURST_MS};

/// Durations and limits of the protocol, in microseconds where they are times. All nodes of a fleet use the
/// same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// How long a share is held, counted from the sending of the request.
    pub term: Micros,
    /// How long a grantor may grant, counted from the sending of the operation that confirmed its epoch. A
    /// new grantor waits for as long.
    pub authority: Micros,
    /// Interval between a node's lease requests.
    pub round: Micros,
    /// Maximum rate error of any node's clock, in millionths.
    pub drift_ppm: u64,
    /// Maximum time for which a request occupies a slot; the node ends the request by then.
    pub max_hold: Micros,
    /// How long a node without a grantor keeps its last share of a generous resource.
    pub keep: Micros,
    /// How long the node then takes to move to the even share.
    pub decay: Micros,
    /// Maximum bytes of lease requests that a node sends per second.
    pub bytes_s: u64,
}

impl Default for LeaseSettings {
    fn default() -> LeaseSettings {
        LeaseSettings {
            term: 2_000_000,
            authority: 4_000_000,
            round: 200_000,
            drift_ppm: 1_000,
            max_hold: 60_000_000,
            keep: 10_000_000,
            decay: 30_000_000,
            bytes_s: 98_304,
        }
    }
}

/// Maximum of [`LeaseSettings::drift_ppm`].
pub const MAX_DRIFT_PPM: u64 = 100_000;

impl LeaseSettings {
    /// Checks that the settings fit together.
    ///
    /// # Errors
    /// [`LeaseError::InvalidSettings`] names the setting and the values that are allowed.
    pub fn validate(&self) -> Result<(), LeaseError> {
        let invalid = |what| Err(LeaseError::InvalidSettings(what));
        match self {
            _ if self.drift_ppm > MAX_DRIFT_PPM => invalid("drift_ppm: 100000 at most"),
            _ if self.round == 0 => invalid("round: 1 or more"),
            _ if self.term < self.round.saturating_mul(3) => {
                invalid("term: three rounds or more, or one lost request ends a lease")
            }
            _ if self.authority < self.term => invalid("authority: a term or more"),
            _ if self.decay == 0 => invalid("decay: 1 or more"),
            _ if self.bytes_s < 2_400 => invalid("bytes_s: 2400 or more, two messages"),
            _ => Ok(()),
        }
    }

    /// The time for which a node with a possibly slow clock may act, where others wait for `duration` by
    /// clocks that may be fast: `duration x (1 - 2 drift)`, since `(1 - 2d) / (1 - d) <= 1 / (1 + d)`.
    pub fn shorten_for_drift(&self, duration: Micros) -> Micros {
        duration - (u128::from(duration) * u128::from(2 * self.drift_ppm)).div_ceil(1_000_000) as u64
    }
}

/// Why an operation was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseError {
    /// The settings do not fit together.
    #[error("leases: {0}")]
    InvalidSettings(&'static str),
    /// A resource is out of bounds.
    #[error(
        "resource {id}: amount {amount} (at most {MAX_AMOUNT}), burst {burst_ms} ms (at most {MAX_BURST_MS}), minimum share \
         {min_share} (1 or more): correct the tenant's limits"
    )]
    Resource {
        /// The resource.
        id: ResourceId,
        /// Its amount: requests a second, or slots.
        amount: u64,
        /// Its burst, in milliseconds of the rate.
        burst_ms: u64,
        /// Its minimum share.
        min_share: u64,
    },
    /// A table is full.
    #[error("{count} {what}: {max} at most; remove some")]
    TooMany {
        /// The kind of entries.
        what: &'static str,
        /// Number of entries that there would be.
        count: usize,
        /// Maximum number of entries.
        max: usize,
    },
    /// The name of a member is empty or too long; its length in bytes.
    #[error("the name of a member has {0} bytes: 1 to {max}; shorten it", max = crate::epoch::MAX_NAME_BYTES)]
    NameLength(usize),
    /// No member of the roster has this name.
    #[error("{0} is not a member of the roster: let it join first")]
    UnknownMember(String),
    /// The safe shares could exceed [`MAX_SAFE_PPB`](crate::MAX_SAFE_PPB) together.
    #[error("safe shares could add up to {total_ppb} of 1000000000: {max} at most; wait until members have confirmed the epoch, \
             or remove members that have ended", max = crate::epoch::MAX_SAFE_PPB)]
    SafeCapacityExceeded {
        /// What they could add up to, in parts of [`PPB`](crate::PPB).
        total_ppb: u64,
    },
    /// The sender uses another epoch than the document's.
    #[error("epoch {epoch} is not the current epoch {current}: read the document again")]
    StaleEpoch {
        /// Epoch of the sender.
        epoch: u64,
        /// Epoch of the document.
        current: u64,
    },
    /// The bytes are too long or are not exactly one message.
    #[error("a message of {0} bytes cannot be decoded: check that all nodes run the same version")]
    InvalidMessage(usize),
}
