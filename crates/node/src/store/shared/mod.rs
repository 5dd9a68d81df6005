//! The store that the nodes of a fleet share, kept in versioned nodes of the coordination service
//! (ZooKeeper).
//!
//! ```text
//!   ROOT                 {"format", "catalogue", "revision"}: its version guards every commit
//!   ROOT/t/UID           a tenant's record
//!   ROOT/t/UID/ID        a server's record
//!   ROOT/log/REVISION    a commit, with the token of the write that made it; the last MAX_LOG_ENTRIES of them
//! ```
//!
//! A commit is one `multi`: the root at the version that was read, the records, and an entry of the log. The
//! service rejects the write if the root has changed since it was read, so two nodes never build on the same
//! revision (ZooKeeper Programmer's Guide, "Consistency Guarantees": atomicity, and conditional updates by
//! version).
//!
//! A write whose response is lost is read back: after `sync`, the log has this write's token under its
//! revision, or another write's token, or no entry. The write is repeated only if there is no entry.
//!
//! A node follows the catalogue by a watch on the root and reads the commits that it lacks from the log. A
//! node that starts or lacks too many commits reads all records while other nodes write, then replays the
//! commits that the log received meanwhile: they write whole records, so the result is exactly the last
//! revision.

mod client;
mod commit;
mod interruption;
mod load;
mod records;
mod replica;

pub use client::SharedStore;
pub use commit::MAX_COMMIT_BYTES;
pub use records::{FORMAT, MAX_LOG_ENTRIES};
