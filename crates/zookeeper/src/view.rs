//! The children of a path as last read, and the changes since the last update. Pure.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use woodgap_membership::{SourceEntry, SourceUpdate};

use crate::server::parse_server;

/// Maximum number of children of a path that are used: those whose names sort first.
pub const MAX_CHILDREN: usize = 1_024;

/// A child that is omitted, with the reason.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OmittedChild {
    /// Name of the child; empty for the path itself.
    pub child: String,
    /// Reason for the omission.
    pub problem: String,
}

/// A change of the servers under a path.
#[derive(Clone, Debug, PartialEq)]
pub struct ChildrenUpdate {
    /// Change of the entries, for the merge of sources.
    pub update: SourceUpdate,
    /// All children that are now omitted, by name; empty if there are none.
    pub omitted: Vec<OmittedChild>,
}

#[derive(Clone, Debug)]
struct Child {
    /// Transaction that created the node (`czxid`); another value means another node.
    created: i64,
    /// Version of the data, which increases with each write (`version`).
    version: i32,
    entry: Result<SourceEntry, String>,
}

/// Known children of a path.
#[derive(Clone, Debug, Default)]
pub struct ChildrenView {
    children: BTreeMap<String, Child>,
    /// Children beyond [`MAX_CHILDREN`].
    over_limit: Vec<String>,
    /// Entries as last reported, by id.
    reported: BTreeMap<String, SourceEntry>,
    omitted: Vec<OmittedChild>,
    /// Whether a first update was returned.
    started: bool,
}

impl ChildrenView {
    /// Sets the names of all children and removes known children that are not among them. Returns the names
    /// to read, in order.
    pub fn set_names(&mut self, mut names: Vec<String>) -> BTreeSet<String> {
        names.sort();
        self.over_limit = names.split_off(names.len().min(MAX_CHILDREN));
        let names: BTreeSet<String> = names.into_iter().collect();
        self.children.retain(|name, _| names.contains(name));
        names
    }

    /// Stores a child as read. Data of the known creation and version is not parsed again, and older data is ignored:
    /// a member of the ensemble that lags behind would otherwise return a draining server to service.
    pub fn put(&mut self, name: &str, created: i64, version: i32, data: &[u8]) {
        let known = self.children.get(name);
        if known.is_some_and(|known| (known.created, known.version) >= (created, version)) {
            return;
        }
        let child = Child { created, version, entry: parse_server(name, data) };
        self.children.insert(name.to_owned(), child);
    }

    /// Marks a child whose data this node is not allowed to read.
    pub fn mark_unreadable(&mut self, name: &str, problem: &str) {
        let child = Child { created: 0, version: -1, entry: Err(problem.to_owned()) };
        self.children.insert(name.to_owned(), child);
    }

    /// Removes a child that no longer existed when it was read.
    pub fn remove_child(&mut self, name: &str) {
        self.children.remove(name);
    }

    /// Returns the changes since the last call, or `None` if there are none. Of two children with the same id
    /// or address the one created last counts: it is the process that listens there now.
    pub fn diff(&mut self) -> Option<ChildrenUpdate> {
        let mut by_age: Vec<(&String, &Child)> = self.children.iter().collect();
        by_age.sort_by_key(|(name, child)| (std::cmp::Reverse(child.created), *name));
        let mut entries: BTreeMap<String, SourceEntry> = BTreeMap::new();
        let mut addresses: BTreeMap<SocketAddr, &String> = BTreeMap::new();
        let mut names: BTreeMap<&String, &String> = BTreeMap::new();
        let mut omitted = Vec::new();
        for (name, child) in by_age {
            let entry = match &child.entry {
                Ok(entry) => entry,
                Err(problem) => {
                    omitted.push(OmittedChild { child: name.clone(), problem: problem.clone() });
                    continue;
                }
            };
            let newer = names.get(&entry.id).or_else(|| addresses.get(&entry.address));
            if let Some(newer) = newer {
                let problem = format!("{newer} was created later with the same id or address");
                omitted.push(OmittedChild { child: name.clone(), problem });
                continue;
            }
            names.insert(&entry.id, name);
            addresses.insert(entry.address, name);
            entries.insert(entry.id.clone(), entry.clone());
        }
        let over_limit = |name: &String| OmittedChild {
            child: name.clone(),
            problem: format!("a path has {MAX_CHILDREN} servers at most"),
        };
        omitted.extend(self.over_limit.iter().map(over_limit));
        omitted.sort();
        let update = if self.started {
            let new = entries.values().filter(|entry| self.reported.get(&entry.id) != Some(*entry));
            let removed = self.reported.keys().filter(|id| !entries.contains_key(*id));
            SourceUpdate::Delta { entries: new.cloned().collect(), removed: removed.cloned().collect() }
        } else {
            SourceUpdate::Full(entries.values().cloned().collect())
        };
        let unchanged = matches!(&update, SourceUpdate::Delta { entries, removed } if entries.is_empty() && removed.is_empty());
        let same = unchanged && omitted == self.omitted;
        (self.reported, self.omitted, self.started) = (entries, omitted, true);
        (!same).then(|| ChildrenUpdate { update, omitted: self.omitted.clone() })
    }

    /// Returns the changes after a reconnect, when everything was read again; the update is empty if there are none.
    pub fn diff_or_empty(&mut self) -> ChildrenUpdate {
        let none = SourceUpdate::Delta { entries: Vec::new(), removed: Vec::new() };
        self.diff().unwrap_or_else(|| ChildrenUpdate { update: none, omitted: self.omitted.clone() })
    }

    /// Children that were omitted as of the last update.
    pub fn omitted(&self) -> &[OmittedChild] {
        &self.omitted
    }

    /// Number of known children.
    pub fn len(&self) -> usize {
        self.children.len()
    }

    /// Whether no child is known.
    pub fn is_empty(&self) -> bool {
        self.children.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::{ChildrenUpdate as Update, *};

    fn data(port: u16, phase: &str) -> Vec<u8> {
        format!(r#"{{"address": "10.0.0.1:{port}", "phase": "{phase}"}}"#).into_bytes()
    }

    fn names(names: &[&str]) -> Vec<String> {
        names.iter().map(|name| (*name).to_owned()).collect()
    }

    fn ids(entries: &[SourceEntry]) -> Vec<&str> {
        entries.iter().map(|entry| entry.id.as_str()).collect()
    }

    #[test]
    fn update_contains_only_changes() {
        let mut view = ChildrenView::default();
        view.set_names(names(&["a", "b"]));
        view.put("a", 1, 0, &data(1, "in_service"));
        view.put("b", 2, 0, &data(2, "in_service"));
        let Update { update: SourceUpdate::Full(entries), omitted } = view.diff().unwrap() else { panic!() };
        assert_eq!((ids(&entries), omitted.len()), (vec!["a", "b"], 0));
        assert_eq!(view.diff(), None);
        // Read again after a reconnect with the same creation and version: nothing is reported twice.
        view.set_names(names(&["a", "b"]));
        view.put("a", 1, 0, &data(1, "in_service"));
        view.put("b", 2, 1, &data(2, "terminating"));
        let Update { update: SourceUpdate::Delta { entries, removed }, .. } = view.diff_or_empty() else {
            panic!()
        };
        assert_eq!((ids(&entries), removed.len()), (vec!["b"], 0));
        assert!(entries[0].draining);
        view.set_names(names(&["a"]));
        let Update { update: SourceUpdate::Delta { entries, removed }, .. } = view.diff().unwrap() else {
            panic!()
        };
        assert_eq!((entries.len(), removed), (0, names(&["b"])));
        assert_eq!(
            view.diff_or_empty().update,
            SourceUpdate::Delta { entries: Vec::new(), removed: Vec::new() }
        );
    }

    // After a reconnect another member of the ensemble may respond that lags behind the one that reported the drain.
    #[test]
    fn older_version_returns_no_server_to_service() {
        let mut view = ChildrenView::default();
        view.set_names(names(&["a", "b"]));
        view.put("a", 1, 1, &data(1, "terminating"));
        view.put("b", 5, 0, &data(2, "terminating"));
        view.diff();
        view.put("a", 1, 0, &data(1, "in_service"));
        view.put("b", 4, 9, &data(2, "in_service"));
        assert_eq!(view.diff(), None);
        // A new registration is another process.
        view.put("a", 6, 0, &data(1, "in_service"));
        let Update { update: SourceUpdate::Delta { entries, .. }, .. } = view.diff().unwrap() else {
            panic!()
        };
        assert_eq!(ids(&entries), ["a"]);
        assert!(!entries[0].draining);
    }

    #[test]
    fn invalid_child_is_left_out_alone() {
        let mut view = ChildrenView::default();
        view.set_names(names(&["bad", "good", "old", "young"]));
        view.put("bad", 1, 0, b"{");
        view.put("good", 2, 0, &data(1, "in_service"));
        view.put("old", 3, 0, &data(2, "in_service"));
        view.put("young", 4, 0, &data(2, "in_service"));
        let Update { update: SourceUpdate::Full(entries), omitted } = view.diff().unwrap() else { panic!() };
        assert_eq!(ids(&entries), ["good", "young"]);
        let omitted_names: Vec<&str> = omitted.iter().map(|fault| fault.child.as_str()).collect();
        assert_eq!(omitted_names, ["bad", "old"]);
        assert!(omitted[1].problem.contains("young"), "{omitted:?}");
        // The younger child is removed: the older one remains at the address.
        view.set_names(names(&["bad", "good", "old"]));
        let Update { update: SourceUpdate::Delta { entries, removed }, omitted } = view.diff().unwrap()
        else {
            panic!()
        };
        assert_eq!((ids(&entries), removed, omitted.len()), (vec!["old"], names(&["young"]), 1));
    }

    #[test]
    fn number_of_children_is_limited() {
        let mut view = ChildrenView::default();
        let all: Vec<String> = (0..MAX_CHILDREN + 2).map(|n| format!("s{n:05}")).collect();
        assert_eq!(view.set_names(all).len(), MAX_CHILDREN);
        let update = view.diff().unwrap();
        assert_eq!(update.omitted.len(), 2);
    }
}
