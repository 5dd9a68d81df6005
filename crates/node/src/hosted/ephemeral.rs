//! Paths of the coordination service whose servers tenants share, on the data path's thread.
//!
//! ```text
//!   session's thread: Pool ── News ──Command::Ephemeral──▶ Paths::heard ─▶ each tenant's Views ─▶ its pools
//! ```
//!
//! A path is read and watched once, however many tenants name it, and only while one does. Tenants that share
//! a server share it by their number: a cold one gets from all of them together what it would get from one.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use tokio::sync::{mpsc, watch};
use woodgap_membership::{Bounds, Entry, SourceId, Told};
use woodgap_tenancy::Uid;
use woodgap_zookeeper::pool::Pool;
use woodgap_zookeeper::session::{Going, Service};
use woodgap_zookeeper::view::{Fault, News};

use super::Command;

/// Paths that a node watches, at most. A tenant beyond goes by its documents alone.
pub const MOST_PATHS: usize = 20_000;
/// Entries that are left out and logged for one change, at most; the status shows all.
const MOST_LOGGED: usize = 8;

/// A path that tenants name.
struct Path {
    /// New with each path that is begun to be watched: later ones rule over earlier ones.
    source: SourceId,
    entries: BTreeMap<String, Entry>,
    lost: bool,
    /// Whether it was ever read.
    read: bool,
    faults: Vec<Fault>,
    tenants: BTreeSet<Uid>,
    _going: Going,
}

/// The paths that are watched.
pub struct Paths {
    service: Service,
    /// Beneath this all of them are.
    root: String,
    /// How much of what goes at once is believed.
    pub bounds: Bounds,
    plane: mpsc::WeakUnboundedSender<Command>,
    paths: HashMap<String, Path>,
    next: u32,
    /// How many paths have not been read yet.
    unread: watch::Sender<usize>,
}

impl Paths {
    /// None yet. News go to `plane` and come back by [`Paths::heard`].
    pub fn new(
        service: Service,
        root: String,
        bounds: Bounds,
        plane: &mpsc::UnboundedSender<Command>,
    ) -> Self {
        let (plane, unread) = (plane.downgrade(), watch::Sender::new(0));
        Paths { service, root, bounds, plane, paths: HashMap::new(), next: 0, unread }
    }

    /// Waits until every path has been read.
    pub fn unread(&self) -> watch::Receiver<usize> {
        self.unread.subscribe()
    }

    /// A tenant names a path from now on. Gives its source, and whether anything was read of it so far; `None`
    /// where there are too many.
    pub fn join(&mut self, path: &str, uid: Uid) -> Option<(SourceId, bool)> {
        if !self.paths.contains_key(path) {
            if self.paths.len() >= MOST_PATHS {
                return None;
            }
            self.next += 1;
            let (source, plane, of) = (SourceId(self.next), self.plane.clone(), path.to_owned());
            let pool = Pool::new(format!("{}/{path}", self.root), move |news| {
                if let Some(plane) = plane.upgrade() {
                    let _ = plane.send(Command::Ephemeral(of.clone(), source, news));
                }
            });
            let going = self.service.go(pool);
            self.unread.send_modify(|unread| *unread += 1);
            let new = Path {
                source,
                entries: BTreeMap::new(),
                lost: true,
                read: false,
                faults: Vec::new(),
                tenants: BTreeSet::new(),
                _going: going,
            };
            self.paths.insert(path.to_owned(), new);
        }
        let held = self.paths.get_mut(path)?;
        held.tenants.insert(uid);
        Some((held.source, held.read))
    }

    /// A tenant names a path no more. The last one to leave takes the watches with it.
    pub fn leave(&mut self, path: &str, uid: Uid) {
        let Some(held) = self.paths.get_mut(path) else { return };
        held.tenants.remove(&uid);
        if held.tenants.is_empty() {
            if !held.read {
                self.unread.send_modify(|unread| *unread = unread.saturating_sub(1));
            }
            self.paths.remove(path);
        }
    }

    /// The tenants that name a path.
    pub fn tenants(&self, path: &str) -> Vec<Uid> {
        self.paths.get(path).map(|held| held.tenants.iter().copied().collect()).unwrap_or_default()
    }

    /// Takes what is new of a path; `false` for one that nobody names any more.
    pub fn heard(&mut self, path: &str, source: SourceId, news: News) -> bool {
        let Some(held) = self.paths.get_mut(path).filter(|held| held.source == source) else { return false };
        if !held.read && news.told != Told::Lost {
            held.read = true;
            self.unread.send_modify(|unread| *unread = unread.saturating_sub(1));
        }
        held.lost = news.told == Told::Lost;
        match news.told {
            Told::Lost => {}
            Told::Full(entries) => {
                held.entries = entries.into_iter().map(|entry| (entry.id.clone(), entry)).collect();
            }
            Told::Delta { entries, gone } => {
                gone.iter().for_each(|id| drop(held.entries.remove(id)));
                held.entries.extend(entries.into_iter().map(|entry| (entry.id.clone(), entry)));
            }
        }
        let new: Vec<&Fault> = news.faults.iter().filter(|fault| !held.faults.contains(fault)).collect();
        for Fault { child, problem } in new.iter().take(MOST_LOGGED) {
            crate::log::line(format_args!("zookeeper {}/{path}/{child} is left out: {problem}", self.root));
        }
        if new.len() > MOST_LOGGED {
            let more = new.len() - MOST_LOGGED;
            crate::log::line(format_args!("zookeeper {}/{path}: {more} more are left out", self.root));
        }
        held.faults = news.faults;
        true
    }

    /// What a tenant is to be told of a path: its servers, each shared with the other tenants that name it.
    /// `None` where nothing was read yet.
    pub fn told(&self, path: &str) -> Option<(SourceId, Told, bool)> {
        let held = self.paths.get(path).filter(|held| held.read)?;
        let sharers = held.tenants.len().max(1) as f64;
        let shared = |entry: &Entry| Entry { size: entry.size / sharers, ..entry.clone() };
        Some((held.source, Told::Full(held.entries.values().map(shared).collect()), held.lost))
    }

    /// What is left out of a path.
    pub fn faults(&self, path: &str) -> Vec<Fault> {
        self.paths.get(path).map(|held| held.faults.clone()).unwrap_or_default()
    }
}
