//! Paths of the coordination service at which servers register and which tenants share, on the data path's thread.
//!
//! ```text
//!   session thread: WatchedPool ── ChildrenUpdate ──Command::PathUpdate──▶ EphemeralPools::apply ─▶ MergedSources ─▶ pools
//! ```
//!
//! A path is read and watched once, however many tenants name it, and only while one does. Tenants that share
//! a path divide the server sizes: a server in slow start gets from all tenants together what it would get
//! from one.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use tokio::sync::{mpsc, watch};
use woodgap_membership::{MergeLimits, SourceEntry, SourceId, SourceUpdate};
use woodgap_tenancy::Uid;
use woodgap_zookeeper::pool::WatchedPool;
use woodgap_zookeeper::session::{SessionHandle, TaskGuard};
use woodgap_zookeeper::view::{ChildrenUpdate, OmittedChild};

use super::Command;

/// Maximum number of paths that a node watches. Tenants beyond it use the catalogue's servers alone.
pub const MAX_WATCHED_PATHS: usize = 20_000;
/// Maximum number of left-out entries logged for one update; the status shows all.
const MAX_LOGGED_OMISSIONS: usize = 8;

/// A watched path that at least one tenant names.
struct WatchedPath {
    /// Source identifier, new each time a watch begins; later sources take precedence over earlier ones.
    source: SourceId,
    entries: BTreeMap<String, SourceEntry>,
    unreachable: bool,
    /// Whether the path has been read at least once.
    read: bool,
    omitted: Vec<OmittedChild>,
    tenants: BTreeSet<Uid>,
    _watch_task: TaskGuard,
}

/// All watched paths of a node.
pub struct EphemeralPools {
    session: SessionHandle,
    /// Parent of all watched paths.
    root: String,
    /// Limits on removals and flapping that tenants' merged sources apply.
    pub merge_limits: MergeLimits,
    commands: mpsc::WeakUnboundedSender<Command>,
    paths: HashMap<String, WatchedPath>,
    next: u32,
    /// Number of paths that have not been read yet.
    unread: watch::Sender<usize>,
}

impl EphemeralPools {
    /// Creates an empty set. Updates are sent to `commands` and come back through [`EphemeralPools::apply`].
    pub fn new(
        session: SessionHandle,
        root: String,
        merge_limits: MergeLimits,
        commands: &mpsc::UnboundedSender<Command>,
    ) -> Self {
        let (commands, unread) = (commands.downgrade(), watch::Sender::new(0));
        EphemeralPools { session, root, merge_limits, commands, paths: HashMap::new(), next: 0, unread }
    }

    /// Subscribes to the number of paths that have not been read yet.
    pub fn unread_count(&self) -> watch::Receiver<usize> {
        self.unread.subscribe()
    }

    /// Adds a tenant to a path and watches the path if it is new. Returns its source and whether the path has
    /// been read; `None` at the limit of watched paths.
    pub fn add_tenant(&mut self, path: &str, uid: Uid) -> Option<(SourceId, bool)> {
        if !self.paths.contains_key(path) {
            if self.paths.len() >= MAX_WATCHED_PATHS {
                return None;
            }
            self.next += 1;
            let (source, commands, name) = (SourceId(self.next), self.commands.clone(), path.to_owned());
            let pool = WatchedPool::new(format!("{}/{path}", self.root), move |update| {
                if let Some(commands) = commands.upgrade() {
                    let _ = commands.send(Command::PathUpdate(name.clone(), source, update));
                }
            });
            let watch_task = self.session.spawn_task(pool);
            self.unread.send_modify(|unread| *unread += 1);
            let new_path = WatchedPath {
                source,
                entries: BTreeMap::new(),
                unreachable: true,
                read: false,
                omitted: Vec::new(),
                tenants: BTreeSet::new(),
                _watch_task: watch_task,
            };
            self.paths.insert(path.to_owned(), new_path);
        }
        let state = self.paths.get_mut(path)?;
        state.tenants.insert(uid);
        Some((state.source, state.read))
    }

    /// Removes a tenant from a path; the watch ends with the last tenant.
    pub fn remove_tenant(&mut self, path: &str, uid: Uid) {
        let Some(state) = self.paths.get_mut(path) else { return };
        state.tenants.remove(&uid);
        if state.tenants.is_empty() {
            if !state.read {
                self.unread.send_modify(|unread| *unread = unread.saturating_sub(1));
            }
            self.paths.remove(path);
        }
    }

    /// Returns the tenants that name a path.
    pub fn tenants(&self, path: &str) -> Vec<Uid> {
        self.paths.get(path).map(|state| state.tenants.iter().copied().collect()).unwrap_or_default()
    }

    /// Applies an update of a path; returns `false` if no tenant names the path any more.
    pub fn apply(&mut self, path: &str, source: SourceId, update: ChildrenUpdate) -> bool {
        let Some(state) = self.paths.get_mut(path).filter(|state| state.source == source) else {
            return false;
        };
        if !state.read && update.update != SourceUpdate::Unreachable {
            state.read = true;
            self.unread.send_modify(|unread| *unread = unread.saturating_sub(1));
        }
        state.unreachable = update.update == SourceUpdate::Unreachable;
        match update.update {
            SourceUpdate::Unreachable => {}
            SourceUpdate::Full(entries) => {
                state.entries = entries.into_iter().map(|entry| (entry.id.clone(), entry)).collect();
            }
            SourceUpdate::Delta { entries, removed } => {
                removed.iter().for_each(|id| drop(state.entries.remove(id)));
                state.entries.extend(entries.into_iter().map(|entry| (entry.id.clone(), entry)));
            }
        }
        let newly_omitted: Vec<&OmittedChild> =
            update.omitted.iter().filter(|child| !state.omitted.contains(child)).collect();
        for OmittedChild { child, problem } in newly_omitted.iter().take(MAX_LOGGED_OMISSIONS) {
            tracing::info!("zookeeper {}/{path}/{child} is left out: {problem}", self.root);
        }
        if newly_omitted.len() > MAX_LOGGED_OMISSIONS {
            let unlogged = newly_omitted.len() - MAX_LOGGED_OMISSIONS;
            tracing::info!("zookeeper {}/{path}: {unlogged} more entries are left out", self.root);
        }
        state.omitted = update.omitted;
        true
    }

    /// Returns the path's source, the update for each of its tenants and whether the path is unreachable. The
    /// update has each server's size divided by the number of tenants. `None` before the first read.
    pub fn source_update(&self, path: &str) -> Option<(SourceId, SourceUpdate, bool)> {
        let state = self.paths.get(path).filter(|state| state.read)?;
        let tenant_count = state.tenants.len().max(1) as f64;
        let shared = |entry: &SourceEntry| SourceEntry { size: entry.size / tenant_count, ..entry.clone() };
        Some((
            state.source,
            SourceUpdate::Full(state.entries.values().map(shared).collect()),
            state.unreachable,
        ))
    }

    /// Returns the entries of a path that are left out, with the reasons.
    pub fn omitted(&self, path: &str) -> Vec<OmittedChild> {
        self.paths.get(path).map(|state| state.omitted.clone()).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;
    use woodgap_zookeeper::session::SessionSettings;

    fn paths() -> (EphemeralPools, mpsc::UnboundedReceiver<Command>) {
        let settings = SessionSettings {
            // Nothing listens at this address: the tests create the updates themselves.
            addresses: vec!["127.0.0.1:1".into()],
            chroot: String::new(),
            digest: None,
            session_timeout: Duration::from_secs(4),
        };
        let (command_sender, commands) = mpsc::unbounded_channel();
        let session = SessionHandle::start(settings).unwrap();
        (EphemeralPools::new(session, "/pools".into(), MergeLimits::default(), &command_sender), commands)
    }

    fn update(sizes: &[f64]) -> ChildrenUpdate {
        let entry = |(n, &size): (usize, &f64)| SourceEntry {
            id: format!("s{n}"),
            address: ([127, 0, 0, 1], 1_000 + n as u16).into(),
            transport: Default::default(),
            zone: String::new(),
            cell: 0,
            kind: String::new(),
            size,
            started_ms: Some(7),
            draining: false,
        };
        ChildrenUpdate {
            update: SourceUpdate::Full(sizes.iter().enumerate().map(entry).collect()),
            omitted: Vec::new(),
        }
    }

    fn sizes(paths: &EphemeralPools) -> Vec<f64> {
        match paths.source_update("web") {
            Some((_, SourceUpdate::Full(entries), _)) => entries.iter().map(|entry| entry.size).collect(),
            unexpected => panic!("{unexpected:?}"),
        }
    }

    // A server in slow start gets from all tenants that share it together what it would get from one tenant.
    #[test]
    fn tenants_that_share_a_path_divide_the_size_of_its_servers() {
        let (mut paths, _commands) = paths();
        let (source, read) = paths.add_tenant("web", Uid(1)).unwrap();
        assert!(!read && paths.source_update("web").is_none());
        assert_eq!(*paths.unread_count().borrow(), 1);
        assert!(paths.apply("web", source, update(&[1.0, 3.0])));
        assert_eq!((sizes(&paths), *paths.unread_count().borrow()), (vec![1.0, 3.0], 0));
        assert_eq!(paths.add_tenant("web", Uid(2)), Some((source, true)));
        assert_eq!((sizes(&paths), paths.tenants("web")), (vec![0.5, 1.5], vec![Uid(1), Uid(2)]));
        paths.remove_tenant("web", Uid(1));
        assert_eq!(sizes(&paths), [1.0, 3.0]);
        paths.remove_tenant("web", Uid(2));
        // A late update of a path that no tenant names is ignored.
        assert!(!paths.apply("web", source, update(&[1.0])) && paths.source_update("web").is_none());
        // Named again, the path is a new source that has not been read.
        let (again, read) = paths.add_tenant("web", Uid(3)).unwrap();
        assert!(again > source && !read && !paths.apply("web", source, update(&[1.0])));
    }

    #[test]
    fn unreachable_path_keeps_the_servers_read_before() {
        let (mut paths, _commands) = paths();
        let (source, _) = paths.add_tenant("web", Uid(1)).unwrap();
        // Unreachable before the first read: there is no update for tenants.
        paths.apply("web", source, ChildrenUpdate { update: SourceUpdate::Unreachable, omitted: Vec::new() });
        assert!(paths.source_update("web").is_none() && *paths.unread_count().borrow() == 1);
        paths.apply("web", source, update(&[1.0]));
        paths.apply("web", source, ChildrenUpdate { update: SourceUpdate::Unreachable, omitted: Vec::new() });
        assert!(
            matches!(paths.source_update("web"), Some((_, SourceUpdate::Full(entries), true)) if entries.len() == 1)
        );
    }
}
