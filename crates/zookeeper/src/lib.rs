//! Service discovery over ZooKeeper: servers registered as ephemeral nodes, this node's own registration, and
//! documents changed by compare-and-set.
//!
//! ```text
//!   SessionHandle (a thread of its own) ── a connection; its end ends all tasks that ran on it
//!      │                     │
//!      │ SessionTask::run    │ SessionTask::on_disconnect
//!      ▼ on each connection  ▼
//!   pool::WatchedPool ── list, data, watches ─▶ view::ChildrenView ── changes ─▶ SourceUpdate ─▶ woodgap_membership::Merge
//!   document::VersionedDocument ── one document that many nodes change by compare-and-set (permits)
//!   register::Registration ── this node's ephemeral node: present while wanted, deleted when it drains
//!   names::RegisteredNames ── the names of the children of a path
//!   (tasks of the host: a store of the catalogue)
//! ```
//!
//! [`session::SessionHandle`] owns the session, which survives connections; when it expires, the next one
//! starts without any assumption. A task that runs on a connection ([`session::SessionTask`]) is dropped with
//! it and starts again on the next one by reading the current state. So there is one way to recover from
//! every failure, and no write is repeated before its previous attempt was checked.
//!
//! Watches are one-shot and set by the reads that they belong to, so that no change falls between a read and
//! its watch (ZooKeeper Programmer's Guide, "ZooKeeper Watches"). [`view`] and [`server`] are pure.

pub mod document;
pub mod names;
pub mod pool;
pub mod register;
pub mod server;
pub mod session;
pub mod view;

pub use zookeeper_client;

/// Whether a text is an absolute path below the root, such as `/a/b`, without empty, `.` or `..` parts and
/// without control characters.
pub fn is_valid_path(path: &str) -> bool {
    let is_valid_part =
        |part: &str| !part.is_empty() && part != "." && part != ".." && !part.chars().any(|c| c.is_control());
    path.len() <= MAX_PATH_LEN
        && path.strip_prefix('/').is_some_and(|rest| rest.split('/').all(is_valid_part))
}

/// Maximum length of a path, in bytes.
pub const MAX_PATH_LEN: usize = 512;
