//! What is agreed by document: whose clocks make fleet time.

use std::sync::Arc;

use super::interval::FARTHEST;
use super::MOST_ANCHORS;

/// A clock that fleet time is made of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Anchor {
    /// Whose.
    pub name: Arc<str>,
    /// Of which run: another run is another clock.
    pub run: u64,
    /// What is added to it, in microseconds.
    pub offset: i64,
}

/// The anchors of an epoch of fleet time. Agreed by a conditional write, never by datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Anchors {
    /// Higher with each document. A moment of one epoch is none of another's.
    pub epoch: u64,
    /// Whose clocks; each name once.
    pub anchors: Vec<Anchor>,
}

/// Why a document of anchors is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadAnchors {
    /// There is none, or there are too many.
    #[error("{0} anchors: name 1 to {MOST_ANCHORS}; four bear one that is wrong, seven bear two")]
    Count(usize),
    /// One is named twice.
    #[error("{0} is an anchor twice: name it once")]
    Twice(Arc<str>),
    /// An offset is beyond all bounds.
    #[error("the offset of {0} is beyond 2^60 microseconds: lay the anchors again")]
    Far(Arc<str>),
    /// It is not later than the one that holds.
    #[error(
        "epoch {0} is not after epoch {1}, which holds: read the document again and write over its version"
    )]
    Epoch(u64, u64),
}

impl Anchors {
    /// Whether it can be taken.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn check(&self) -> Result<(), BadAnchors> {
        if !(1..=MOST_ANCHORS).contains(&self.anchors.len()) {
            return Err(BadAnchors::Count(self.anchors.len()));
        }
        for (at, anchor) in self.anchors.iter().enumerate() {
            if self.anchors[..at].iter().any(|other| other.name == anchor.name) {
                return Err(BadAnchors::Twice(anchor.name.clone()));
            }
            if !(-FARTHEST..=FARTHEST).contains(&anchor.offset) {
                return Err(BadAnchors::Far(anchor.name.clone()));
            }
        }
        Ok(())
    }
}

/// A moment of fleet time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Moment {
    /// By the anchors of this epoch.
    pub epoch: u64,
    /// In microseconds.
    pub at: i64,
}

/// Whether a moment is past.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Passed {
    /// It is, for everybody.
    Surely,
    /// It may be, or fleet time is not known well enough.
    Maybe,
    /// It is not yet, for anybody.
    SurelyNot,
}

/// Why fleet time is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unsure {
    /// No document was taken.
    #[error("no anchors are agreed yet: see that the coordination service is reached and a document of anchors is there")]
    NoAnchors,
    /// The moment is by anchors that are not kept.
    #[error("epoch {0} of fleet time is not known here: read the document of anchors again, or name the moment anew")]
    Epoch(u64),
    /// Too few answered since the start, a sleep or a step, and kept to what they had told.
    #[error("{heard} anchors are known and {needed} needed: see which are down, cut off or refused, and lay new ones")]
    Unheard {
        /// So many.
        heard: usize,
        /// Of so many.
        needed: usize,
    },
    /// The interval is wider than may be.
    #[error("fleet time is known to {width} us and {widest} allowed: see which anchors answer late or parted, and lay new ones")]
    TooWide {
        /// In microseconds.
        width: i64,
        /// In microseconds.
        widest: i64,
    },
}
