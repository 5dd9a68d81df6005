//! The undo log: how to take back what a change that is made whole or not at all has done so far.
//!
//! Each primitive write to the nodes enters what it replaced; a change that fails takes them back in reverse order. So
//! a multi costs what it touches, and not a copy of the tree.

use super::{Node, Stat, Tree};

/// What one primitive write replaced.
#[derive(Clone, Debug)]
pub(super) enum Undo {
    /// A node was entered at this path.
    Entered(String),
    /// This node was taken from this path.
    Removed(String, Node),
    /// A node's data was written; what they were, and its stat.
    Written(String, Vec<u8>, Stat),
    /// A child came to a node, or went from it; the node's stat before.
    ChildCame(String, String, Stat),
    /// See [`Undo::ChildCame`].
    ChildWent(String, String, Stat),
}

/// The primitive writes of the present change, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct UndoLog(Vec<Undo>);

impl UndoLog {
    /// Enters what a write replaced.
    pub fn enter(&mut self, undo: Undo) {
        self.0.push(undo);
    }

    /// The change stands.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

impl Tree {
    /// Takes back all that the undo log has.
    pub(super) fn roll_back(&mut self) {
        let log = std::mem::take(&mut self.undo);
        for undo in log.0.into_iter().rev() {
            match undo {
                Undo::Entered(path) => drop(self.take_node(&path)),
                Undo::Removed(path, node) => self.enter_node(path, node),
                Undo::Written(path, data, stat) => {
                    if let Some(node) = self.nodes.get_mut(&path) {
                        (node.data, node.stat) = (data, stat);
                    }
                }
                Undo::ChildCame(parent, name, stat) => {
                    if let Some(node) = self.nodes.get_mut(&parent) {
                        node.children.remove(&name);
                        node.stat = stat;
                    }
                }
                Undo::ChildWent(parent, name, stat) => {
                    if let Some(node) = self.nodes.get_mut(&parent) {
                        node.children.insert(name);
                        node.stat = stat;
                    }
                }
            }
        }
    }

    /// Enters a node, and where it is ephemeral its session's hold on it.
    pub(super) fn enter_node(&mut self, path: String, node: Node) {
        if let Some(session) = self.sessions.get_mut(&node.stat.ephemeral_owner) {
            session.ephemerals.insert(path.clone());
        }
        self.nodes.insert(path, node);
    }

    /// Takes a node, and its session's hold on it.
    pub(super) fn take_node(&mut self, path: &str) -> Option<Node> {
        let node = self.nodes.remove(path)?;
        if let Some(session) = self.sessions.get_mut(&node.stat.ephemeral_owner) {
            session.ephemerals.remove(path);
        }
        Some(node)
    }
}
