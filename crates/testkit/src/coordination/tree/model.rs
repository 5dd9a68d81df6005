//! The types of the service's requests and events, after ZooKeeper's public protocol files (`zookeeper.jute`,
//! `KeeperException`).

/// A time or a duration in milliseconds.
pub type Millis = i64;

/// Error codes of replies (`KeeperException.Code`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(i32)]
pub enum ErrorCode {
    /// Another operation of the same multi failed.
    RuntimeInconsistency = -2,
    /// The operation's arguments are not valid.
    BadArguments = -8,
    /// The znode does not exist.
    NoNode = -101,
    /// The znode's ACL does not permit the operation to this session.
    NoAuth = -102,
    /// The znode is at another version.
    BadVersion = -103,
    /// Ephemeral nodes cannot have children.
    NoChildrenForEphemerals = -108,
    /// The znode exists already.
    NodeExists = -110,
    /// The znode has children.
    NotEmpty = -111,
    /// The session has expired or was closed.
    SessionExpired = -112,
    /// The ACL uses the scheme `auth`, and the session has not authenticated.
    InvalidAcl = -114,
    /// The watch does not exist.
    NoWatcher = -121,
}

/// The metadata of a znode.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stat {
    /// The zxid of its creation.
    pub czxid: i64,
    /// The zxid of the last write of its data.
    pub mzxid: i64,
    /// The zxid of the last creation or deletion of a child.
    pub pzxid: i64,
    /// When it was created.
    pub ctime: Millis,
    /// When its data was last written.
    pub mtime: Millis,
    /// Number of writes of its data.
    pub version: i32,
    /// Number of creations and deletions of children.
    pub cversion: i32,
    /// The session that owns it, if it is ephemeral; otherwise 0.
    pub ephemeral_owner: i64,
    /// Length of its data in bytes.
    pub data_length: i32,
    /// Number of its children.
    pub num_children: i32,
}

/// Permissions of an ACL (`ZooDefs.Perms`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(i32)]
pub enum Permission {
    /// Reading the data and the children.
    Read = 1,
    /// Writing the data.
    Write = 2,
    /// Creating children.
    Create = 4,
    /// Deleting children.
    Delete = 8,
}

/// An entry of a znode's ACL.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Acl {
    /// Bits of [`Permission`].
    pub perms: i32,
    /// `world`, `digest`, or `auth` for the identities of the session that creates the znode.
    pub scheme: String,
    /// `anyone`, or `USER:HASH`.
    pub id: String,
}

/// How a znode is created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CreateMode {
    /// Whether the znode is deleted with its session.
    pub ephemeral: bool,
    /// Whether an increasing number is appended to the name.
    pub sequential: bool,
}

/// An operation that changes the tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Creates a znode.
    Create {
        /// Its path.
        path: String,
        /// Its data.
        data: Vec<u8>,
        /// Its ACL; empty if everyone has all permissions.
        acl: Vec<Acl>,
        /// Whether it is ephemeral or sequential.
        mode: CreateMode,
    },
    /// Deletes a znode.
    Delete {
        /// Its path.
        path: String,
        /// The version that it must be at; -1 for any.
        version: i32,
    },
    /// Writes a znode's data.
    Set {
        /// Its path.
        path: String,
        /// The new data.
        data: Vec<u8>,
        /// The version that it must be at; -1 for any.
        version: i32,
    },
    /// Checks a znode's version and changes nothing.
    Check {
        /// Its path.
        path: String,
        /// The version that it must be at; -1 for any.
        version: i32,
    },
}

/// The result of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpResult {
    /// The znode was created at this path.
    Created(String, Stat),
    /// The znode was deleted.
    Deleted,
    /// The data was written.
    Written(Stat),
    /// The version matches.
    Checked,
}

/// What a watch observes.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq, PartialOrd, Ord)]
pub enum WatchKind {
    /// The data and the existence of a znode (`exists`, `getData`).
    Data,
    /// The children of a znode (`getChildren`).
    Children,
}

/// The type of a watch event (`Watcher.Event.EventType`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(i32)]
pub enum EventType {
    /// The znode was created.
    Created = 1,
    /// The znode was deleted.
    Deleted = 2,
    /// The znode's data was written.
    DataChanged = 3,
    /// A child was created or deleted.
    ChildrenChanged = 4,
}

/// A watch event for a session.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WatchEvent {
    /// The session whose watch fired.
    pub session: i64,
    /// The type of the event.
    pub event_type: EventType,
    /// The path of the znode.
    pub path: String,
}
