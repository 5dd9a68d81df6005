//! The records that the shared store keeps in the coordination service, and their paths.

use serde::{Deserialize, Serialize};
use woodgap_tenancy::catalogue::Revision;
use woodgap_tenancy::{Commit, Uid};

/// Version of the record format that this program reads and writes.
pub const FORMAT: u64 = 1;
/// Number of commits that the log keeps.
pub const MAX_LOG_ENTRIES: u64 = 1_000;

/// Data of the store's root node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RootRecord {
    /// Version of the record format.
    pub format: u64,
    /// Random identity of the catalogue, by which a node detects that another catalogue has replaced its own.
    pub catalogue: u64,
    /// The catalogue's revision.
    pub revision: Revision,
}

/// An entry of the commit log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct LogEntry {
    /// Random identity of the write, by which its writer recognizes it after a lost response.
    pub token: u64,
    /// The commit as written.
    pub commit: Commit,
}

/// Serializes a record.
pub(super) fn json(record: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_default()
}

/// Paths of the records under the store's root.
#[derive(Clone, Debug)]
pub(super) struct StorePaths {
    /// Path of the root node.
    pub root: String,
}

impl StorePaths {
    /// Path of the log entry of a revision.
    pub fn log(&self, revision: Revision) -> String {
        format!("{}/log/{revision:020}", self.root)
    }

    /// Path of the parent of all tenants.
    pub fn tenants(&self) -> String {
        format!("{}/t", self.root)
    }

    /// Path of a tenant's record, which is the parent of its servers' records.
    pub fn tenant(&self, uid: Uid) -> String {
        format!("{}/t/{}", self.root, uid.0)
    }

    /// Path of a server's record.
    pub fn backend(&self, uid: Uid, id: &str) -> String {
        format!("{}/{id}", self.tenant(uid))
    }
}
