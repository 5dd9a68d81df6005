//! The undo log of a transaction: how to roll back what it has done so far.
//!
//! Each primitive write to the znodes pushes what it replaced; a transaction that fails undoes these writes
//! in reverse order. A multi therefore costs what it touches, and needs no copy of the tree.

use super::{Stat, Tree, Znode};

/// What one primitive write replaced.
#[derive(Clone, Debug)]
pub(super) enum Undo {
    /// A znode was inserted at this path.
    ZnodeInserted(String),
    /// This znode was removed from this path.
    ZnodeRemoved(String, Znode),
    /// The data of the znode at this path was written; its previous data and stat.
    DataWritten(String, Vec<u8>, Stat),
    /// A child was added to a znode: the parent's path, the child's name and the parent's previous stat.
    ChildAdded(String, String, Stat),
    /// A child was removed from a znode; the fields are those of [`Undo::ChildAdded`].
    ChildRemoved(String, String, Stat),
}

/// The primitive writes of the current transaction, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct UndoLog(Vec<Undo>);

impl UndoLog {
    /// Adds what a write replaced.
    pub fn push(&mut self, undo: Undo) {
        self.0.push(undo);
    }

    /// Drops the log after the transaction has succeeded.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

impl Tree {
    /// Undoes all writes of the current transaction.
    pub(super) fn roll_back(&mut self) {
        let log = std::mem::take(&mut self.undo);
        for undo in log.0.into_iter().rev() {
            match undo {
                Undo::ZnodeInserted(path) => drop(self.remove_znode(&path)),
                Undo::ZnodeRemoved(path, znode) => self.insert_znode(path, znode),
                Undo::DataWritten(path, data, stat) => {
                    if let Some(znode) = self.znodes.get_mut(&path) {
                        (znode.data, znode.stat) = (data, stat);
                    }
                }
                Undo::ChildAdded(parent, name, stat) => {
                    if let Some(znode) = self.znodes.get_mut(&parent) {
                        znode.children.remove(&name);
                        znode.stat = stat;
                    }
                }
                Undo::ChildRemoved(parent, name, stat) => {
                    if let Some(znode) = self.znodes.get_mut(&parent) {
                        znode.children.insert(name);
                        znode.stat = stat;
                    }
                }
            }
        }
    }

    /// Inserts a znode, and adds it to the ephemeral nodes of its session if it is ephemeral.
    pub(super) fn insert_znode(&mut self, path: String, znode: Znode) {
        if let Some(session) = self.sessions.get_mut(&znode.stat.ephemeral_owner) {
            session.ephemerals.insert(path.clone());
        }
        self.znodes.insert(path, znode);
    }

    /// Removes a znode, and removes it from the ephemeral nodes of its session if it is ephemeral.
    pub(super) fn remove_znode(&mut self, path: &str) -> Option<Znode> {
        let znode = self.znodes.remove(path)?;
        if let Some(session) = self.sessions.get_mut(&znode.stat.ephemeral_owner) {
            session.ephemerals.remove(path);
        }
        Some(znode)
    }
}
