//! The tree of znodes with its sessions and watches. It does no I/O: the current time is an argument.
//!
//! It keeps the guarantees of the Programmer's Guide ("Consistency Guarantees", "ZooKeeper Watches",
//! "Ephemeral Nodes", "Sequence Nodes"): every transaction has its own zxid, greater than all earlier ones; a
//! watch fires once; an ephemeral node is deleted with its session; a multi applies completely or not at all.
//!
//! The cost of a transaction depends on what it touches and not on the size of the tree: an undo log rolls
//! back a failed multi, and ephemeral nodes and watches are indexed by session.

mod change;
mod model;
mod sessions;
mod undo;
mod watches;

use std::collections::{BTreeMap, BTreeSet};

pub use model::{
    Acl, CreateMode, ErrorCode, EventType, Millis, Op, OpResult, Permission, Stat, WatchEvent, WatchKind,
};

use sessions::Session;
use undo::UndoLog;
use watches::Watches;

/// Maximum length of a znode's data in bytes: the default of `jute.maxbuffer` (Administrator's Guide, "Unsafe
/// Options").
pub const MAX_DATA_LEN: usize = 0xf_ffff;
/// Minimum and maximum session timeout: 2 and 20 ticks of 2 s. Requested timeouts are clamped to this range.
pub const SESSION_TIMEOUTS: (Millis, Millis) = (4_000, 40_000);

#[derive(Clone, Debug, Default)]
struct Znode {
    data: Vec<u8>,
    /// Empty if everyone has all permissions.
    acl: Vec<Acl>,
    stat: Stat,
    children: BTreeSet<String>,
}

/// The whole state of the service: znodes, sessions and watches.
#[derive(Clone, Debug)]
pub struct Tree {
    znodes: BTreeMap<String, Znode>,
    zxid: i64,
    sessions: BTreeMap<i64, Session>,
    next_session: i64,
    /// Distinguishes services that started with an empty tree, so that a session of one is unknown to the
    /// others.
    incarnation: u16,
    watches: Watches,
    /// How to roll back what the current transaction has done so far.
    undo: UndoLog,
}

impl Default for Tree {
    fn default() -> Self {
        Tree::new(0)
    }
}

/// Splits a path into its parent and its last component.
fn split(path: &str) -> Option<(&str, &str)> {
    let (parent, name) = path.rsplit_once('/')?;
    Some((if parent.is_empty() { "/" } else { parent }, name))
}

/// Whether a path is valid: absolute, without empty, `.` or `..` components, trailing `/` or NUL.
pub fn is_valid_path(path: &str) -> bool {
    let is_valid = |component: &str| {
        !component.is_empty() && component != "." && component != ".." && !component.contains('\0')
    };
    path == "/" || path.strip_prefix('/').is_some_and(|rest| rest.split('/').all(is_valid))
}

impl Tree {
    /// A tree of only the root. Sessions of one incarnation are unknown to all others.
    pub fn new(incarnation: u16) -> Self {
        Tree {
            znodes: BTreeMap::from([("/".to_owned(), Znode::default())]),
            zxid: 0,
            sessions: BTreeMap::new(),
            next_session: (i64::from(incarnation) + 1) << 32,
            incarnation,
            watches: Watches::default(),
            undo: UndoLog::default(),
        }
    }

    /// The incarnation of this tree.
    pub fn incarnation(&self) -> u16 {
        self.incarnation
    }

    /// The zxid of the last transaction.
    pub fn zxid(&self) -> i64 {
        self.zxid
    }

    /// Number of znodes, including the root.
    pub fn len(&self) -> usize {
        self.znodes.len()
    }

    /// Always false: the root exists at all times.
    pub fn is_empty(&self) -> bool {
        self.znodes.is_empty()
    }

    /// A znode's data and stat.
    ///
    /// # Errors
    /// [`ErrorCode::NoNode`].
    pub fn get(&self, path: &str) -> Result<(&[u8], Stat), ErrorCode> {
        self.znodes.get(path).map(|znode| (znode.data.as_slice(), znode.stat)).ok_or(ErrorCode::NoNode)
    }

    /// The names of a znode's children in their order, and its stat.
    ///
    /// # Errors
    /// [`ErrorCode::NoNode`].
    pub fn children(&self, path: &str) -> Result<(Vec<String>, Stat), ErrorCode> {
        let znode = self.znodes.get(path).ok_or(ErrorCode::NoNode)?;
        Ok((znode.children.iter().cloned().collect(), znode.stat))
    }
}
