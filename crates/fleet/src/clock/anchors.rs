//! The anchor document, which lists the clocks that define fleet time, and the results of fleet time queries.

use std::sync::Arc;

use super::interval::MAX_MICROS;
use super::MAX_ANCHORS;

/// A clock that contributes to fleet time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Anchor {
    /// Name of the node.
    pub name: Arc<str>,
    /// Run of the node's clock; another run is another clock.
    pub run: u64,
    /// Offset added to the clock, in microseconds.
    pub offset: i64,
}

/// The anchors of an epoch of fleet time. Agreed by a conditional write, never by datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnchorDocument {
    /// Higher with each document. An instant of one epoch has no meaning in another.
    pub epoch: u64,
    /// The anchors; each name occurs once.
    pub anchors: Vec<Anchor>,
}

/// Why an anchor document is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AnchorsError {
    /// The number of anchors is 0 or above the maximum.
    #[error("{0} anchors; expected 1 to {MAX_ANCHORS}: four tolerate one faulty anchor, seven tolerate two")]
    Count(usize),
    /// A name occurs twice.
    #[error("{0} is listed as an anchor twice; list it once")]
    DuplicateName(Arc<str>),
    /// An offset is out of range.
    #[error("the offset of {0} exceeds 2^60 microseconds; propose the anchors again")]
    OffsetTooLarge(Arc<str>),
    /// The epoch is not later than the current one.
    #[error(
        "epoch {0} is not later than the current epoch {1}; read the document again and write conditionally on its version"
    )]
    StaleEpoch(u64, u64),
}

impl AnchorDocument {
    /// Checks the document.
    ///
    /// # Errors
    /// The first problem found.
    pub fn validate(&self) -> Result<(), AnchorsError> {
        if !(1..=MAX_ANCHORS).contains(&self.anchors.len()) {
            return Err(AnchorsError::Count(self.anchors.len()));
        }
        for (at, anchor) in self.anchors.iter().enumerate() {
            if self.anchors[..at].iter().any(|other| other.name == anchor.name) {
                return Err(AnchorsError::DuplicateName(anchor.name.clone()));
            }
            if !(-MAX_MICROS..=MAX_MICROS).contains(&anchor.offset) {
                return Err(AnchorsError::OffsetTooLarge(anchor.name.clone()));
            }
        }
        Ok(())
    }
}

/// An instant of fleet time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FleetInstant {
    /// Epoch of the anchor document.
    pub epoch: u64,
    /// Fleet time in microseconds.
    pub micros: i64,
}

/// Whether an instant has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InstantStatus {
    /// It has passed, for every correct node.
    Passed,
    /// It may have passed, or fleet time is not known well enough.
    Uncertain,
    /// It has not passed yet, for any correct node.
    NotPassed,
}

/// Why fleet time is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClockUncertain {
    /// No anchor document is set.
    #[error(
        "no anchors are set; check that the coordination service is reachable and holds an anchor document"
    )]
    NoAnchors,
    /// The instant belongs to an epoch whose document is not retained.
    #[error("epoch {0} of fleet time is not known here; read the anchor document again, or compute the instant again")]
    UnknownEpoch(u64),
    /// Too few anchors answered since the start, a pause or a step without contradicting their earlier
    /// replies.
    #[error("{known} anchors are known, {required} are needed; check which are down, unreachable or refused, and propose new ones")]
    TooFewAnchors {
        /// Number of known anchors.
        known: usize,
        /// Number of anchors needed.
        required: usize,
    },
    /// The interval is wider than the limit.
    #[error("fleet time is known to {width} us, {max_width} us are allowed; check which anchors answer late or drifted apart, and propose new ones")]
    TooWide {
        /// Width in microseconds.
        width: i64,
        /// Maximum width in microseconds.
        max_width: i64,
    },
}
