//! State that a node stores on disk; it is replaced as a whole and flushed before it is reported as stored.

use serde::{Deserialize, Serialize};

use crate::record::ActivationDecision;

/// State from which a process restarts. Order of writes: `life` is on disk before the node registers, a
/// version's data before the node reports ready, and a decision as soon as it is read, without anything
/// waiting for it. The promise that goes with a report is not stored: it binds one process, and the next
/// process serves nothing before it has its own entry, which invalidates the report.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PersistedState {
    /// Identifies this disk; a lock held for the life of the process ensures that one process at a time uses
    /// its directory.
    pub life: u64,
    /// Decision that is served.
    pub served: Option<ActivationDecision>,
    /// Decision whose moment has not passed yet.
    pub next: Option<ActivationDecision>,
}
