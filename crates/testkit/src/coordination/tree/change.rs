//! Transactions: one operation, or a multi of several that applies completely or not at all.

use std::collections::BTreeSet;

use super::undo::Undo;
use super::{
    is_valid_path, split, Acl, CreateMode, ErrorCode, EventType, Millis, Op, OpResult, Permission, Stat,
    Tree, WatchEvent, Znode, MAX_DATA_LEN,
};

/// The result of an operation, and the changes that trigger watches.
type Applied = (OpResult, Vec<(EventType, String)>);

impl Tree {
    /// Applies one operation as a transaction.
    ///
    /// # Errors
    /// The reason why the operation fails; the tree is unchanged then.
    pub fn apply(
        &mut self,
        now: Millis,
        session: i64,
        op: &Op,
    ) -> Result<(OpResult, Vec<WatchEvent>), ErrorCode> {
        let applied = self.multi(now, session, std::slice::from_ref(op));
        let (results, events) = applied.map_err(|(_, code)| code)?;
        results.into_iter().next().map(|result| (result, events)).ok_or(ErrorCode::BadArguments)
    }

    /// Applies all operations or none of them, under one zxid.
    ///
    /// # Errors
    /// The index of the operation that fails, and the reason; the tree is unchanged then.
    pub fn multi(
        &mut self,
        now: Millis,
        session: i64,
        ops: &[Op],
    ) -> Result<(Vec<OpResult>, Vec<WatchEvent>), (usize, ErrorCode)> {
        if !self.sessions.contains_key(&session) {
            return Err((0, ErrorCode::SessionExpired));
        }
        self.zxid += 1;
        let (mut results, mut changes) = (Vec::new(), Vec::new());
        for (index, op) in ops.iter().enumerate() {
            match self.apply_op(now, session, op) {
                Ok((result, op_changes)) => {
                    results.push(result);
                    changes.extend(op_changes);
                }
                Err(code) => {
                    self.roll_back();
                    self.zxid -= 1;
                    return Err((index, code));
                }
            }
        }
        self.undo.clear();
        Ok((results, self.watches.fire(changes)))
    }

    /// Applies one operation under the current zxid, and returns its result and the changes that trigger
    /// watches.
    fn apply_op(&mut self, now: Millis, session: i64, op: &Op) -> Result<Applied, ErrorCode> {
        match op {
            Op::Create { path, data, acl, mode } => self.create(now, session, path, data, acl, *mode),
            Op::Delete { path, version } => {
                let (parent, _) = split(path).ok_or(ErrorCode::BadArguments)?;
                self.check_permission(session, parent, Permission::Delete)?;
                self.delete(path, *version)
            }
            Op::Set { path, data, version } => {
                self.check_permission(session, path, Permission::Write)?;
                self.set(now, path, data, *version)
            }
            Op::Check { path, version } => {
                self.znode_at(path, *version).map(|_| (OpResult::Checked, Vec::new()))
            }
        }
    }

    fn set(&mut self, now: Millis, path: &str, data: &[u8], version: i32) -> Result<Applied, ErrorCode> {
        if data.len() > MAX_DATA_LEN {
            return Err(ErrorCode::BadArguments);
        }
        let zxid = self.zxid;
        let znode = self.znode_at(path, version)?;
        let before = (std::mem::replace(&mut znode.data, data.to_vec()), znode.stat);
        (znode.stat.mzxid, znode.stat.mtime) = (zxid, now);
        znode.stat.version += 1;
        znode.stat.data_length = data.len() as i32;
        let stat = znode.stat;
        self.undo.push(Undo::DataWritten(path.to_owned(), before.0, before.1));
        Ok((OpResult::Written(stat), vec![(EventType::DataChanged, path.to_owned())]))
    }

    pub(super) fn delete(&mut self, path: &str, version: i32) -> Result<Applied, ErrorCode> {
        let znode = self.znode_at(path, version)?;
        let has_children = !znode.children.is_empty();
        let (parent, name) = split(path).filter(|_| path != "/").ok_or(ErrorCode::BadArguments)?;
        if has_children {
            return Err(ErrorCode::NotEmpty);
        }
        let znode = self.remove_znode(path).ok_or(ErrorCode::NoNode)?;
        self.undo.push(Undo::ZnodeRemoved(path.to_owned(), znode));
        self.update_children(parent, name, false);
        let (path, parent) = (path.to_owned(), parent.to_owned());
        Ok((OpResult::Deleted, vec![(EventType::Deleted, path), (EventType::ChildrenChanged, parent)]))
    }

    /// The ACL that a znode stores: entries of the scheme `auth` are replaced by the session's identities.
    fn resolve_acl(&self, session: i64, acl: &[Acl]) -> Result<Vec<Acl>, ErrorCode> {
        let mut resolved = Vec::new();
        for entry in acl {
            if entry.scheme != "auth" {
                resolved.push(entry.clone());
                continue;
            }
            let identities = self.sessions.get(&session).map(|session| &session.identities);
            let identities =
                identities.filter(|identities| !identities.is_empty()).ok_or(ErrorCode::InvalidAcl)?;
            let digest_entry =
                |id: &String| Acl { perms: entry.perms, scheme: "digest".into(), id: id.clone() };
            resolved.extend(identities.iter().map(digest_entry));
        }
        Ok(resolved)
    }

    fn create(
        &mut self,
        now: Millis,
        session: i64,
        path: &str,
        data: &[u8],
        acl: &[Acl],
        mode: CreateMode,
    ) -> Result<Applied, ErrorCode> {
        let (parent, _) = split(path).ok_or(ErrorCode::BadArguments)?;
        let acl = self.resolve_acl(session, acl)?;
        self.check_permission(session, parent, Permission::Create)?;
        let parent_znode = self.znodes.get(parent).ok_or(ErrorCode::NoNode)?;
        if parent_znode.stat.ephemeral_owner != 0 {
            return Err(ErrorCode::NoChildrenForEphemerals);
        }
        let path = match mode.sequential {
            true => format!("{path}{:010}", parent_znode.stat.cversion),
            false => path.to_owned(),
        };
        if !is_valid_path(&path) || data.len() > MAX_DATA_LEN {
            return Err(ErrorCode::BadArguments);
        }
        if self.znodes.contains_key(&path) {
            return Err(ErrorCode::NodeExists);
        }
        let (parent, name) = split(&path).ok_or(ErrorCode::BadArguments)?;
        let (parent, name) = (parent.to_owned(), name.to_owned());
        let stat = Stat {
            czxid: self.zxid,
            mzxid: self.zxid,
            pzxid: self.zxid,
            ctime: now,
            mtime: now,
            ephemeral_owner: if mode.ephemeral { session } else { 0 },
            data_length: data.len() as i32,
            ..Stat::default()
        };
        self.undo.push(Undo::ZnodeInserted(path.clone()));
        self.insert_znode(path.clone(), Znode { data: data.to_vec(), acl, stat, children: BTreeSet::new() });
        self.update_children(&parent, &name, true);
        let changes = vec![(EventType::Created, path.clone()), (EventType::ChildrenChanged, parent)];
        Ok((OpResult::Created(path, stat), changes))
    }

    /// Adds a child to the parent's list of children, or removes it, and updates the parent's stat.
    fn update_children(&mut self, parent: &str, name: &str, added: bool) {
        let zxid = self.zxid;
        let Some(znode) = self.znodes.get_mut(parent) else { return };
        let before = znode.stat;
        if added {
            znode.children.insert(name.to_owned());
        } else {
            znode.children.remove(name);
        }
        znode.stat.cversion += 1;
        znode.stat.pzxid = zxid;
        znode.stat.num_children = znode.children.len() as i32;
        let (parent, name) = (parent.to_owned(), name.to_owned());
        self.undo.push(match added {
            true => Undo::ChildAdded(parent, name, before),
            false => Undo::ChildRemoved(parent, name, before),
        });
    }

    /// The znode at a path, if it is at this version; -1 for any version.
    fn znode_at(&mut self, path: &str, version: i32) -> Result<&mut Znode, ErrorCode> {
        let znode = self.znodes.get_mut(path).ok_or(ErrorCode::NoNode)?;
        if version != -1 && version != znode.stat.version {
            return Err(ErrorCode::BadVersion);
        }
        Ok(znode)
    }
}
