//! Durable storage of the tenant catalogue: the `Store` trait, which the control thread uses, and its
//! implementations for a single node (`embedded`) and for a fleet (`shared`).
//!
//! ```text
//!   control ── Commit { base, change, writes } ──▶ Store::commit ── atomic and durable
//!      ▲                                             │ Conflict: another node has written; load again
//!      └────────────── Store::load ◀─────────────────┘
//! ```
//!
//! A store that other nodes write too reports their writes ([`Store::remote_status`]); the control thread
//! then fetches them with [`Store::commits_after`].
//!
//! A store keeps records and one revision, and accepts a commit only if the commit's base is that revision. A
//! shared store therefore needs no more than a conditional write.

pub mod embedded;
pub mod shared;

use woodgap_tenancy::catalogue::Revision;
use woodgap_tenancy::{Catalogue, Commit};

/// Reason for which a store operation failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store is not at the commit's base revision. Nothing was written.
    #[error("the store is at revision {present}, not at {base}")]
    Conflict {
        /// The store's revision.
        present: Revision,
        /// The revision that the commit builds on.
        base: Revision,
    },
    /// The store cannot be written now. Whether the commit is durable is unknown until the store can be read
    /// again.
    #[error("the store cannot be written: {0}")]
    Unwritable(String),
    /// The store's content cannot be read or is invalid. It is left unchanged.
    #[error("the store cannot be read: {0}")]
    Unreadable(String),
    /// The commit is larger than the store accepts. Nothing was written.
    #[error("the change has {bytes} bytes, the store accepts at most {max_bytes}: make it smaller")]
    TooLong {
        /// Size of the commit.
        bytes: usize,
        /// Maximum size of a commit.
        max_bytes: usize,
    },
}

/// State of a store that other nodes write too.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemoteStatus {
    /// The revision that was last read.
    pub revision: Revision,
    /// Since when the store has been unreachable or invalid, and why; `None` while it is available.
    pub unavailable: Option<(std::time::Instant, String)>,
}

/// Stores the catalogue durably. Calls may block; the caller makes them one at a time.
pub trait Store: Send {
    /// Reads the whole catalogue.
    ///
    /// # Errors
    /// [`StoreError::Unreadable`]; the store's content is not overwritten in that case.
    fn load(&mut self) -> Result<Catalogue, StoreError>;

    /// Writes a commit durably and atomically, on top of its base revision.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] if the store is at another revision, [`StoreError::Unwritable`] if it
    /// cannot be written.
    fn commit(&mut self, commit: &Commit) -> Result<(), StoreError>;

    /// The commits after a revision, oldest first; `None` if the store does not have them all, so that it has
    /// to be loaded.
    ///
    /// # Errors
    /// [`StoreError::Unreadable`] if the store cannot be read.
    fn commits_after(&mut self, _revision: Revision) -> Result<Option<Vec<Commit>>, StoreError> {
        Ok(None)
    }

    /// The store's state, if other nodes write it too.
    fn remote_status(&self) -> Option<tokio::sync::watch::Receiver<RemoteStatus>> {
        None
    }
}
