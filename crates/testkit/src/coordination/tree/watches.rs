//! One-shot watches, indexed by path and by session.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use super::{ErrorCode, EventType, Tree, WatchEvent, WatchKind};

/// All watches that are set.
#[derive(Clone, Debug, Default)]
pub(super) struct Watches {
    by_path: HashMap<Arc<str>, BTreeSet<(WatchKind, i64)>>,
    by_session: HashMap<i64, HashSet<(Arc<str>, WatchKind)>>,
    count: usize,
}

impl Watches {
    fn set(&mut self, session: i64, kind: WatchKind, path: &str) {
        let path: Arc<str> = match self.by_path.get_key_value(path) {
            Some((path, _)) => path.clone(),
            None => Arc::from(path),
        };
        if self.by_path.entry(path.clone()).or_default().insert((kind, session)) {
            self.count += 1;
            self.by_session.entry(session).or_default().insert((path, kind));
        }
    }

    fn remove(&mut self, session: i64, kind: WatchKind, path: &str) -> bool {
        let Some((path, watches)) = self.by_path.get_key_value(path) else { return false };
        if !watches.contains(&(kind, session)) {
            return false;
        }
        let path = path.clone();
        self.remove_from_path(session, kind, &path);
        if let Some(of_session) = self.by_session.get_mut(&session) {
            of_session.remove(&(path, kind));
            if of_session.is_empty() {
                self.by_session.remove(&session);
            }
        }
        true
    }

    /// Removes a watch from the index by path only.
    fn remove_from_path(&mut self, session: i64, kind: WatchKind, path: &Arc<str>) {
        let Some(watches) = self.by_path.get_mut(path) else { return };
        if watches.remove(&(kind, session)) {
            self.count -= 1;
        }
        if watches.is_empty() {
            self.by_path.remove(path);
        }
    }

    fn is_set(&self, session: i64, kind: WatchKind, path: &str) -> bool {
        self.by_path.get(path).is_some_and(|watches| watches.contains(&(kind, session)))
    }

    /// Drops all watches of a session.
    pub fn drop_session(&mut self, session: i64) {
        for (path, kind) in self.by_session.remove(&session).unwrap_or_default() {
            self.remove_from_path(session, kind, &path);
        }
    }

    /// Drops all watches.
    pub fn clear(&mut self) {
        *self = Watches::default();
    }

    /// Returns the events of the watches that observe these changes, and drops these watches.
    pub fn fire(&mut self, changes: Vec<(EventType, String)>) -> Vec<WatchEvent> {
        let mut events = Vec::new();
        for (event_type, path) in changes {
            let observes = |kind: WatchKind| match event_type {
                EventType::Created | EventType::DataChanged => kind == WatchKind::Data,
                EventType::Deleted => true,
                EventType::ChildrenChanged => kind == WatchKind::Children,
            };
            let watches = self.by_path.get(path.as_str()).into_iter().flatten();
            let fired: Vec<(WatchKind, i64)> = watches.filter(|(kind, _)| observes(*kind)).copied().collect();
            let mut notified = BTreeSet::new();
            for (kind, session) in fired {
                // Two watches of one session on one znode report its deletion once.
                if notified.insert(session) {
                    events.push(WatchEvent { session, event_type, path: path.clone() });
                }
                self.remove(session, kind, &path);
            }
        }
        events
    }
}

/// This kind of watches, or all kinds for `None`.
fn kinds(kind: Option<WatchKind>) -> impl Iterator<Item = WatchKind> {
    [WatchKind::Data, WatchKind::Children]
        .into_iter()
        .filter(move |each| kind.is_none_or(|kind| kind == *each))
}

impl Tree {
    /// Sets a one-shot watch. The caller sets it together with the read that it belongs to.
    pub fn set_watch(&mut self, session: i64, kind: WatchKind, path: &str) {
        self.watches.set(session, kind, path);
    }

    /// Whether a session has a watch of this kind on a path, or of any kind for `None`.
    pub fn is_watched(&self, session: i64, kind: Option<WatchKind>, path: &str) -> bool {
        kinds(kind).any(|each| self.watches.is_set(session, each, path))
    }

    /// Removes a session's watches of this kind from a path, or of all kinds for `None`.
    ///
    /// # Errors
    /// [`ErrorCode::NoWatcher`] if the session has no such watch.
    pub fn remove_watch(
        &mut self,
        session: i64,
        kind: Option<WatchKind>,
        path: &str,
    ) -> Result<(), ErrorCode> {
        let removed = kinds(kind).filter(|each| self.watches.remove(session, *each, path)).count();
        (removed > 0).then_some(()).ok_or(ErrorCode::NoWatcher)
    }

    /// Number of watches that are set.
    pub fn watch_count(&self) -> usize {
        self.watches.count
    }
}
