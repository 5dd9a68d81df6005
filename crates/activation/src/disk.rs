//! What a node keeps on disk, replaced as a whole and flushed before it says that it is kept.

use serde::{Deserialize, Serialize};

use crate::board::Decision;

/// What a restart knows. The order on disk: the life before the seat is written; a version's whole before the word; a
/// decision as soon as it is read, and nobody waits for that. The promise that goes with a word is not here: it binds
/// a process, and the next one answers nothing before it has its own seat, by which the word counts no more.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Disk {
    /// Of this disk; a directory has one process at a time, by a lock that lasts as long as the process.
    pub life: u64,
    /// What is served.
    pub served: Option<Decision>,
    /// What is decided and not served yet.
    pub next: Option<Decision>,
}
