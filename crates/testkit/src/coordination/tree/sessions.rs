//! Sessions: opening, heartbeats, resumption on another connection, expiry.

use std::collections::BTreeSet;

use super::{ErrorCode, Millis, Permission, Tree, WatchEvent, SESSION_TIMEOUTS};

#[derive(Clone, Debug)]
pub(super) struct Session {
    password: [u8; 16],
    timeout: Millis,
    /// When the last request of the session arrived.
    last_heard: Millis,
    /// Identities of the scheme `digest` that were authenticated on the current connection.
    pub(super) identities: BTreeSet<String>,
    /// Paths of the session's ephemeral nodes.
    pub(super) ephemerals: BTreeSet<String>,
}

impl Tree {
    /// Opens a session, and returns its id, its password and its negotiated timeout.
    pub fn open_session(&mut self, now: Millis, timeout: Millis) -> (i64, [u8; 16], Millis) {
        self.next_session += 1;
        self.zxid += 1;
        let id = self.next_session;
        let mut password = [0; 16];
        password[..8].copy_from_slice(&(id.wrapping_mul(0x5851_F42D_4C95_7F2D)).to_be_bytes());
        let timeout = timeout.clamp(SESSION_TIMEOUTS.0, SESSION_TIMEOUTS.1);
        let session = Session {
            password,
            timeout,
            last_heard: now,
            identities: BTreeSet::new(),
            ephemerals: BTreeSet::new(),
        };
        self.sessions.insert(id, session);
        (id, password, timeout)
    }

    /// Resumes a session on a new connection and returns its timeout, or `None` if the session does not exist
    /// or the password is wrong.
    pub fn resume_session(&mut self, now: Millis, id: i64, password: &[u8]) -> Option<Millis> {
        let session = self.sessions.get_mut(&id).filter(|session| session.password == password)?;
        session.last_heard = now;
        session.identities.clear();
        Some(session.timeout)
    }

    /// Records a sign of life of a session; `false` if the session does not exist.
    pub fn touch_session(&mut self, now: Millis, id: i64) -> bool {
        self.sessions.get_mut(&id).map(|session| session.last_heard = now).is_some()
    }

    /// Adds an authenticated identity of the scheme `digest` to a session.
    pub fn authenticate(&mut self, id: i64, identity: String) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.identities.insert(identity);
        }
    }

    /// The ids of all sessions.
    pub fn sessions(&self) -> impl Iterator<Item = i64> + '_ {
        self.sessions.keys().copied()
    }

    /// Restarts the timeout of every session and drops all watches, as a service does that restarts with its
    /// data.
    pub fn touch_all_sessions(&mut self, now: Millis) {
        self.sessions.values_mut().for_each(|session| session.last_heard = session.last_heard.max(now));
        self.watches.clear();
    }

    /// Checks whether a znode's ACL gives a session a permission. A missing znode denies nothing.
    ///
    /// # Errors
    /// [`ErrorCode::NoAuth`].
    pub fn check_permission(
        &self,
        session: i64,
        path: &str,
        permission: Permission,
    ) -> Result<(), ErrorCode> {
        let Some(znode) = self.znodes.get(path).filter(|znode| !znode.acl.is_empty()) else { return Ok(()) };
        let identities = self.sessions.get(&session).map(|session| &session.identities);
        let applies = |acl: &super::Acl| match acl.scheme.as_str() {
            "world" => acl.id == "anyone",
            _ => identities.is_some_and(|identities| identities.contains(&acl.id)),
        };
        let permitted = znode.acl.iter().any(|acl| acl.perms & permission as i32 != 0 && applies(acl));
        permitted.then_some(()).ok_or(ErrorCode::NoAuth)
    }

    /// Closes a session, or expires it: deletes its ephemeral nodes, drops its watches and returns the watch
    /// events for other sessions.
    pub fn close_session(&mut self, id: i64) -> Vec<WatchEvent> {
        let Some(session) = self.sessions.remove(&id) else { return Vec::new() };
        self.watches.drop_session(id);
        self.zxid += 1;
        let mut changes = Vec::new();
        for path in session.ephemerals {
            // Cannot fail: an ephemeral node has no children.
            if let Ok((_, node_changes)) = self.delete(&path, -1) {
                changes.extend(node_changes);
            }
        }
        self.undo.clear();
        self.watches.fire(changes)
    }

    /// Sessions that sent nothing for their timeout.
    pub fn expired_sessions(&self, now: Millis) -> Vec<i64> {
        let is_expired = |session: &Session| now - session.last_heard >= session.timeout;
        self.sessions.iter().filter(|(_, session)| is_expired(session)).map(|(id, _)| *id).collect()
    }
}
