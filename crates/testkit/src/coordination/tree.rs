//! The tree of nodes, its sessions and its watches. Pure: times come in as arguments.
//!
//! What it promises, by the Programmer's Guide ("Consistency Guarantees", "ZooKeeper Watches", "Ephemeral
//! Nodes", "Sequence Nodes"): every change has its own number (zxid), greater than all before; a watch fires
//! once; an ephemeral node goes with its session; a multi is made whole or not at all.

use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds.
pub type Millis = i64;
/// Bytes of a node's data, at most: `jute.maxbuffer` is a mebibyte unless set.
pub const LONGEST_DATA: usize = (1 << 20) - 1;
/// Sessions last from 2 to 20 ticks of 2 s, whatever is asked for.
pub const TIMEOUTS: (Millis, Millis) = (4_000, 40_000);

/// Error codes of replies (`KeeperException.Code`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(i32)]
pub enum Code {
    /// Another operation of the same multi failed.
    RuntimeInconsistency = -2,
    /// The operation makes no sense.
    BadArguments = -8,
    /// There is no such node.
    NoNode = -101,
    /// The node's list of who may do what does not name the session.
    NoAuth = -102,
    /// The node is at another version.
    BadVersion = -103,
    /// Ephemeral nodes have no children.
    NoChildrenForEphemerals = -108,
    /// There is such a node already.
    NodeExists = -110,
    /// The node has children.
    NotEmpty = -111,
    /// The session is over.
    SessionExpired = -112,
    /// The list of who may do what names nobody.
    InvalidAcl = -114,
    /// There is no such watch.
    NoWatcher = -121,
}

/// What is known of a node beside its data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stat {
    /// The change that created it.
    pub czxid: i64,
    /// The change that last wrote its data.
    pub mzxid: i64,
    /// The change that last added or took a child.
    pub pzxid: i64,
    /// When it was created.
    pub ctime: Millis,
    /// When its data was last written.
    pub mtime: Millis,
    /// How often its data was written.
    pub version: i32,
    /// How often children came or went.
    pub cversion: i32,
    /// The session that it goes with; 0 for none.
    pub ephemeral_owner: i64,
    /// Bytes of data.
    pub data_length: i32,
    /// Children.
    pub children: i32,
}

/// What may be done to a node (`ZooDefs.Perms`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(i32)]
pub enum Perm {
    /// Reading its data and children.
    Read = 1,
    /// Writing its data.
    Write = 2,
    /// Creating children.
    Create = 4,
    /// Deleting children.
    Delete = 8,
}

/// Who may do what to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Acl {
    /// Bits of [`Perm`].
    pub perms: i32,
    /// `world`, `digest`, or `auth` for whoever creates the node.
    pub scheme: String,
    /// `anyone`, or `USER:HASH`.
    pub id: String,
}

#[derive(Clone, Debug, Default)]
struct Node {
    data: Vec<u8>,
    /// Empty: anyone may do anything.
    acl: Vec<Acl>,
    stat: Stat,
    children: BTreeSet<String>,
}

/// How a node is created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mode {
    /// It goes with its session.
    pub ephemeral: bool,
    /// Its name gets a number that grows.
    pub sequential: bool,
}

/// A change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Creates a node.
    Create {
        /// Where.
        path: String,
        /// With what.
        data: Vec<u8>,
        /// Who may do what to it; empty for anyone and anything.
        acl: Vec<Acl>,
        /// How.
        mode: Mode,
    },
    /// Deletes a node.
    Delete {
        /// Which.
        path: String,
        /// At this version; -1 for any.
        version: i32,
    },
    /// Writes a node's data.
    Set {
        /// Which.
        path: String,
        /// The data.
        data: Vec<u8>,
        /// At this version; -1 for any.
        version: i32,
    },
    /// Only holds the version against the node's.
    Check {
        /// Which.
        path: String,
        /// This version; -1 for any.
        version: i32,
    },
}

/// What a change came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Done {
    /// Created, under this path.
    Created(String, Stat),
    /// Deleted.
    Deleted,
    /// Written.
    Written(Stat),
    /// The version is the node's.
    Checked,
}

/// What a watch is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Watch {
    /// Data, and whether the node is there (`exists`, `getData`).
    Data,
    /// Children (`getChildren`).
    Children,
}

/// What a watch tells (`Watcher.Event.EventType`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(i32)]
pub enum Kind {
    /// The node was created.
    Created = 1,
    /// The node was deleted.
    Deleted = 2,
    /// Its data was written.
    DataChanged = 3,
    /// Children came or went.
    ChildrenChanged = 4,
}

/// An event for a session.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Event {
    /// The session whose watch it was.
    pub session: i64,
    /// What happened.
    pub kind: Kind,
    /// To which node.
    pub path: String,
}

#[derive(Clone, Debug)]
struct Session {
    password: [u8; 16],
    timeout: Millis,
    heard: Millis,
    /// Identities of the `digest` scheme that it has shown on its present connection.
    ids: BTreeSet<String>,
}

/// All of it.
#[derive(Clone, Debug)]
pub struct Tree {
    nodes: BTreeMap<String, Node>,
    zxid: i64,
    sessions: BTreeMap<i64, Session>,
    next_session: i64,
    /// Tells apart services that were started with nothing: what they open is strange to one another.
    incarnation: u16,
    watches: BTreeSet<(String, Watch, i64)>,
}

impl Default for Tree {
    fn default() -> Self {
        Tree::new(0)
    }
}

/// The parent of a path, and its last name.
fn split(path: &str) -> Option<(&str, &str)> {
    let (parent, name) = path.rsplit_once('/')?;
    Some((if parent.is_empty() { "/" } else { parent }, name))
}

/// Whether a path is one: absolute, no empty, `.` or `..` parts, no end in `/`, no NUL.
pub fn is_path(path: &str) -> bool {
    let good = |part: &str| !part.is_empty() && part != "." && part != ".." && !part.contains('\0');
    path == "/" || path.strip_prefix('/').is_some_and(|rest| rest.split('/').all(good))
}

impl Tree {
    /// The root alone. Sessions of one incarnation are not known to another.
    pub fn new(incarnation: u16) -> Self {
        let next_session = (i64::from(incarnation) + 1) << 32;
        let nodes = BTreeMap::from([("/".to_owned(), Node::default())]);
        let (sessions, watches) = (BTreeMap::new(), BTreeSet::new());
        Tree { nodes, zxid: 0, sessions, next_session, incarnation, watches }
    }

    /// Which incarnation it is.
    pub fn incarnation(&self) -> u16 {
        self.incarnation
    }

    /// The number of the last change.
    pub fn zxid(&self) -> i64 {
        self.zxid
    }

    // Sessions.

    /// Opens a session: its id, password and the time-out that it gets.
    pub fn open(&mut self, now: Millis, timeout: Millis) -> (i64, [u8; 16], Millis) {
        self.next_session += 1;
        self.zxid += 1;
        let id = self.next_session;
        let mut password = [0; 16];
        password[..8].copy_from_slice(&(id.wrapping_mul(0x5851_F42D_4C95_7F2D)).to_be_bytes());
        let timeout = timeout.clamp(TIMEOUTS.0, TIMEOUTS.1);
        self.sessions.insert(id, Session { password, timeout, heard: now, ids: BTreeSet::new() });
        (id, password, timeout)
    }

    /// Takes a session up again, from wherever; its time-out. `None` for one that is over or whose password
    /// is another's.
    pub fn reattach(&mut self, now: Millis, id: i64, password: &[u8]) -> Option<Millis> {
        let session = self.sessions.get_mut(&id).filter(|session| session.password == password)?;
        session.heard = now;
        session.ids.clear();
        Some(session.timeout)
    }

    /// Hears from a session; `false` if it is over.
    pub fn heard(&mut self, now: Millis, id: i64) -> bool {
        self.sessions.get_mut(&id).map(|session| session.heard = now).is_some()
    }

    /// Takes an identity of the `digest` scheme that a session has shown.
    pub fn authenticate(&mut self, id: i64, identity: String) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.ids.insert(identity);
        }
    }

    /// Sessions that are not over.
    pub fn sessions(&self) -> impl Iterator<Item = i64> + '_ {
        self.sessions.keys().copied()
    }

    /// Every session is as if just heard of: what a service does that starts again with its data.
    pub fn hear_all(&mut self, now: Millis) {
        self.sessions.values_mut().for_each(|session| session.heard = session.heard.max(now));
        self.watches.clear();
    }

    /// Whether a session may do this to a node; a node that is not there forbids nothing.
    ///
    /// # Errors
    /// [`Code::NoAuth`].
    pub fn may(&self, session: i64, path: &str, perm: Perm) -> Result<(), Code> {
        let Some(node) = self.nodes.get(path).filter(|node| !node.acl.is_empty()) else { return Ok(()) };
        let ids = self.sessions.get(&session).map(|session| &session.ids);
        let names = |acl: &Acl| match acl.scheme.as_str() {
            "world" => acl.id == "anyone",
            _ => ids.is_some_and(|ids| ids.contains(&acl.id)),
        };
        let may = node.acl.iter().any(|acl| acl.perms & perm as i32 != 0 && names(acl));
        may.then_some(()).ok_or(Code::NoAuth)
    }

    /// Ends a session, by its own wish or another's: its nodes go, its watches are dropped.
    pub fn end(&mut self, id: i64) -> Vec<Event> {
        if self.sessions.remove(&id).is_none() {
            return Vec::new();
        }
        self.watches.retain(|(_, _, session)| *session != id);
        self.zxid += 1;
        let theirs = self.nodes.iter().filter(|(_, node)| node.stat.ephemeral_owner == id);
        let theirs: Vec<String> = theirs.map(|(path, _)| path.clone()).collect();
        let mut events = Vec::new();
        for path in theirs {
            // An ephemeral node has no children, so nothing stands against it.
            if let Ok((_, told)) = self.delete(&path, -1) {
                events.extend(told);
            }
        }
        self.fire(events)
    }

    /// Sessions that nothing was heard of for their time-out.
    pub fn overdue(&self, now: Millis) -> Vec<i64> {
        let over = |session: &Session| now - session.heard >= session.timeout;
        self.sessions.iter().filter(|(_, session)| over(session)).map(|(id, _)| *id).collect()
    }

    // Changes.

    /// Makes a change.
    ///
    /// # Errors
    /// Why not; nothing has changed then.
    pub fn change(&mut self, now: Millis, session: i64, op: &Op) -> Result<(Done, Vec<Event>), Code> {
        if !self.sessions.contains_key(&session) {
            return Err(Code::SessionExpired);
        }
        self.zxid += 1;
        // One change is held against everything before it touches anything.
        let (done, told) = self.one(now, session, op).inspect_err(|_| self.zxid -= 1)?;
        Ok((done, self.fire(told)))
    }

    /// Makes changes, all of them or none, under one number.
    ///
    /// # Errors
    /// The place of the one that cannot be made, and why.
    pub fn multi(
        &mut self,
        now: Millis,
        session: i64,
        ops: &[Op],
    ) -> Result<(Vec<Done>, Vec<Event>), (usize, Code)> {
        if !self.sessions.contains_key(&session) {
            return Err((0, Code::SessionExpired));
        }
        let before = (self.nodes.clone(), self.zxid);
        self.zxid += 1;
        let (mut done, mut events) = (Vec::new(), Vec::new());
        for (place, op) in ops.iter().enumerate() {
            match self.one(now, session, op) {
                Ok((one, told)) => {
                    done.push(one);
                    events.extend(told);
                }
                Err(code) => {
                    (self.nodes, self.zxid) = before;
                    return Err((place, code));
                }
            }
        }
        Ok((done, self.fire(events)))
    }

    /// One change under the present number, and what watches are to hear of it.
    fn one(&mut self, now: Millis, session: i64, op: &Op) -> Result<(Done, Vec<(Kind, String)>), Code> {
        match op {
            Op::Create { path, data, acl, mode } => self.create(now, session, path, data, acl, *mode),
            Op::Delete { path, version } => {
                let (parent, _) = split(path).ok_or(Code::BadArguments)?;
                self.may(session, parent, Perm::Delete)?;
                self.delete(path, *version)
            }
            Op::Set { path, data, version } => {
                if data.len() > LONGEST_DATA {
                    return Err(Code::BadArguments);
                }
                let zxid = self.zxid;
                self.may(session, path, Perm::Write)?;
                let node = self.at(path, *version)?;
                node.data.clone_from(data);
                (node.stat.mzxid, node.stat.mtime) = (zxid, now);
                node.stat.version += 1;
                node.stat.data_length = data.len() as i32;
                Ok((Done::Written(node.stat), vec![(Kind::DataChanged, path.clone())]))
            }
            Op::Check { path, version } => self.at(path, *version).map(|_| (Done::Checked, Vec::new())),
        }
    }

    fn delete(&mut self, path: &str, version: i32) -> Result<(Done, Vec<(Kind, String)>), Code> {
        self.at(path, version)?;
        let (parent, name) = split(path).filter(|_| path != "/").ok_or(Code::BadArguments)?;
        if !self.nodes[path].children.is_empty() {
            return Err(Code::NotEmpty);
        }
        self.nodes.remove(path);
        self.child(parent, name, false);
        let (path, parent) = (path.to_owned(), parent.to_owned());
        Ok((Done::Deleted, vec![(Kind::Deleted, path), (Kind::ChildrenChanged, parent)]))
    }

    /// A list as the node keeps it: `auth` stands for what the session has shown.
    fn acl(&self, session: i64, acl: &[Acl]) -> Result<Vec<Acl>, Code> {
        let mut kept = Vec::new();
        for one in acl {
            if one.scheme != "auth" {
                kept.push(one.clone());
                continue;
            }
            let ids = self.sessions.get(&session).map(|session| &session.ids).filter(|ids| !ids.is_empty());
            let owner = |id: &String| Acl { perms: one.perms, scheme: "digest".into(), id: id.clone() };
            kept.extend(ids.ok_or(Code::InvalidAcl)?.iter().map(owner));
        }
        Ok(kept)
    }

    fn create(
        &mut self,
        now: Millis,
        session: i64,
        path: &str,
        data: &[u8],
        acl: &[Acl],
        mode: Mode,
    ) -> Result<(Done, Vec<(Kind, String)>), Code> {
        let (parent, _) = split(path).ok_or(Code::BadArguments)?;
        let acl = self.acl(session, acl)?;
        self.may(session, parent, Perm::Create)?;
        let above = self.nodes.get(parent).ok_or(Code::NoNode)?;
        if above.stat.ephemeral_owner != 0 {
            return Err(Code::NoChildrenForEphemerals);
        }
        let path = match mode.sequential {
            true => format!("{path}{:010}", above.stat.cversion),
            false => path.to_owned(),
        };
        if !is_path(&path) || data.len() > LONGEST_DATA {
            return Err(Code::BadArguments);
        }
        if self.nodes.contains_key(&path) {
            return Err(Code::NodeExists);
        }
        let (parent, name) = split(&path).ok_or(Code::BadArguments)?;
        let (parent, name) = (parent.to_owned(), name.to_owned());
        let (zxid, owner) = (self.zxid, if mode.ephemeral { session } else { 0 });
        let stat = Stat {
            czxid: zxid,
            mzxid: zxid,
            pzxid: zxid,
            ctime: now,
            mtime: now,
            ephemeral_owner: owner,
            data_length: data.len() as i32,
            ..Stat::default()
        };
        self.nodes.insert(path.clone(), Node { data: data.to_vec(), acl, stat, children: BTreeSet::new() });
        self.child(&parent, &name, true);
        let events = vec![(Kind::Created, path.clone()), (Kind::ChildrenChanged, parent)];
        Ok((Done::Created(path, stat), events))
    }

    fn child(&mut self, parent: &str, name: &str, comes: bool) {
        let zxid = self.zxid;
        let Some(node) = self.nodes.get_mut(parent) else { return };
        if comes {
            node.children.insert(name.to_owned());
        } else {
            node.children.remove(name);
        }
        node.stat.cversion += 1;
        node.stat.pzxid = zxid;
        node.stat.children = node.children.len() as i32;
    }

    fn at(&mut self, path: &str, version: i32) -> Result<&mut Node, Code> {
        let node = self.nodes.get_mut(path).ok_or(Code::NoNode)?;
        if version != -1 && version != node.stat.version {
            return Err(Code::BadVersion);
        }
        Ok(node)
    }

    // Reads and watches.

    /// A node's data and what is known of it.
    ///
    /// # Errors
    /// [`Code::NoNode`].
    pub fn get(&self, path: &str) -> Result<(&[u8], Stat), Code> {
        self.nodes.get(path).map(|node| (node.data.as_slice(), node.stat)).ok_or(Code::NoNode)
    }

    /// A node's children, by name.
    ///
    /// # Errors
    /// [`Code::NoNode`].
    pub fn children(&self, path: &str) -> Result<(Vec<String>, Stat), Code> {
        let node = self.nodes.get(path).ok_or(Code::NoNode)?;
        Ok((node.children.iter().cloned().collect(), node.stat))
    }

    /// Sets a watch, which fires once. To be set with the read that it belongs to, at the same moment.
    pub fn watch(&mut self, session: i64, watch: Watch, path: &str) {
        self.watches.insert((path.to_owned(), watch, session));
    }

    /// Whether a session watches a path, in this way or in any.
    pub fn is_watched(&self, session: i64, watch: Option<Watch>, path: &str) -> bool {
        let ways = [Watch::Data, Watch::Children].into_iter().filter(|one| watch.is_none_or(|w| w == *one));
        ways.into_iter().any(|one| self.watches.contains(&(path.to_owned(), one, session)))
    }

    /// Takes a session's watches of this kind off a path, of all kinds for `None`.
    ///
    /// # Errors
    /// [`Code::NoWatcher`] where there is none.
    pub fn unwatch(&mut self, session: i64, watch: Option<Watch>, path: &str) -> Result<(), Code> {
        let mut removed = false;
        for one in [Watch::Data, Watch::Children].into_iter().filter(|one| watch.is_none_or(|w| w == *one)) {
            removed |= self.watches.remove(&(path.to_owned(), one, session));
        }
        removed.then_some(()).ok_or(Code::NoWatcher)
    }

    /// Watches that are set.
    pub fn watches(&self) -> usize {
        self.watches.len()
    }

    /// Turns what happened into the events of the watches that were set, and drops those.
    fn fire(&mut self, happened: Vec<(Kind, String)>) -> Vec<Event> {
        let mut events = Vec::new();
        for (kind, path) in happened {
            let hears = |watch: Watch| match kind {
                Kind::Created | Kind::DataChanged => watch == Watch::Data,
                Kind::Deleted => true,
                Kind::ChildrenChanged => watch == Watch::Children,
            };
            let from = (path.clone(), Watch::Data, i64::MIN)..=(path.clone(), Watch::Children, i64::MAX);
            let fired: Vec<_> =
                self.watches.range(from).filter(|(_, watch, _)| hears(*watch)).cloned().collect();
            let mut told = BTreeSet::new();
            for watch in fired {
                // Two watches of one session on one node tell of its end once.
                if told.insert(watch.2) {
                    events.push(Event { session: watch.2, kind, path: path.clone() });
                }
                self.watches.remove(&watch);
            }
        }
        events
    }
}
