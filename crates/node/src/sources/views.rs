//! What sources tell of a pool's servers, merged into the lists that pools take.
//!
//! ```text
//!   platform: watch ─▶ List ─┐
//!   catalogue: MemberView ───┼─▶ Views (woodgap_membership::Merge) ─▶ List ─▶ upstream::servers ─▶ module
//!   ephemeral nodes: Told ───┘
//! ```

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;
use woodgap_decisions::ServerState;
use woodgap_membership::{Bounds, Entry, Member, Merge, Source, SourceId, Standing, Told};

use super::discovery::{Entry as Listed, List};

/// The list that rules where nothing else knows better: the platform's, or the catalogue's.
pub const LISTED: SourceId = SourceId(0);

/// Bounds of a source that is believed at once in everything, as the platform's is.
pub fn believed() -> Bounds {
    Bounds { vanish: 1.0, flaps: 0, ..Bounds::default() }
}

/// The sources of one pool.
pub struct Views {
    merge: Merge,
    start: Instant,
}

impl Views {
    /// With the source [`LISTED`], which goes by this name.
    pub fn new(name: &str, bounds: Bounds) -> Self {
        let mut views = Views { merge: Merge::new(bounds), start: Instant::now() };
        let (name, rank, kept) = (name.to_owned(), 0, true);
        views.merge.add(LISTED, Source { name, rank, kept });
        views
    }

    /// Goes by other bounds from now on.
    pub fn bounded(&mut self, bounds: Bounds) {
        self.merge.bound(bounds);
    }

    /// Adds a source of signs of life, which rules over [`LISTED`] and over those added before it.
    pub fn add(&mut self, source: SourceId, name: &str) {
        let (name, rank, kept) = (name.to_owned(), source.0, false);
        self.merge.add(source, Source { name, rank, kept });
    }

    /// Drops a source.
    pub fn remove(&mut self, source: SourceId) {
        self.merge.remove(source);
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Takes what a source tells.
    pub fn told(&mut self, source: SourceId, told: Told) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        self.merge.told(self.now(), unix, source, told);
    }

    /// Takes a list of the source [`LISTED`].
    pub fn listed(&mut self, list: &List) {
        let here = list.entries.iter().filter(|entry| entry.state != ServerState::Terminated);
        let entries = here.map(entry).collect();
        let gone = list.entries.iter().filter(|entry| entry.state == ServerState::Terminated);
        let told = match list.complete {
            true => Told::Full(entries),
            false => Told::Delta { entries, gone: gone.map(|entry| entry.id.clone()).collect() },
        };
        self.told(LISTED, told);
    }

    /// The servers as they are now.
    pub fn list(&mut self) -> List {
        let now = self.now();
        let entries = self.merge.members(now).iter().map(listed).collect();
        List { revision: None, complete: true, entries }
    }

    /// Takes a list and gives what becomes of it: all servers for a whole one, and those that it names for
    /// one of changes.
    pub fn pass(&mut self, list: &List) -> List {
        self.listed(list);
        let whole = self.list();
        if list.complete {
            return List { revision: list.revision, ..whole };
        }
        let mut here: BTreeMap<String, Listed> =
            whole.entries.into_iter().map(|entry| (entry.id.clone(), entry)).collect();
        let gone = |entry: &Listed| Listed { state: ServerState::Terminated, ..entry.clone() };
        let entries = list.entries.iter().map(|entry| here.remove(&entry.id).unwrap_or_else(|| gone(entry)));
        List { revision: list.revision, complete: false, entries: entries.collect() }
    }

    /// Whether the list has changed by itself since the last look, and when it will, if it does.
    pub fn due(&self) -> Option<Duration> {
        let now = self.now();
        self.merge.due(now).map(|at| Duration::from_millis(at.saturating_sub(now)))
    }

    /// How the sources stand; times are ages in milliseconds.
    pub fn status(&self) -> Vec<Standing> {
        let now = self.now();
        let age = |standing: Standing| Standing {
            lost_since: standing.lost_since.map(|since| now.saturating_sub(since)),
            ..standing
        };
        self.merge.status().into_iter().map(age).collect()
    }
}

fn entry(listed: &Listed) -> Entry {
    Entry {
        id: listed.id.clone(),
        address: listed.addr,
        transport: listed.transport.clone(),
        zone: listed.zone.clone(),
        cell: listed.cell,
        kind: listed.kind.clone(),
        size: listed.size,
        started_ms: Some(listed.up_since_ms),
        draining: listed.state == ServerState::Terminating,
    }
}

fn listed(member: &Member) -> Listed {
    Listed {
        id: member.id.clone(),
        addr: member.address,
        transport: member.transport.clone(),
        zone: member.zone.clone(),
        cell: member.cell,
        kind: member.kind.clone(),
        state: if member.in_service { ServerState::InService } else { ServerState::Terminating },
        size: member.size,
        up_since_ms: member.since_ms,
    }
}

#[cfg(all(test, feature = "hosted"))]
mod tests {
    use super::*;

    fn one(id: &str, state: ServerState, up_since_ms: u64) -> Listed {
        let addr = ([127, 0, 0, 1], 9).into();
        Listed {
            id: id.into(),
            addr,
            transport: Default::default(),
            zone: "z".into(),
            cell: 3,
            kind: "large".into(),
            state,
            size: 2.0,
            up_since_ms,
        }
    }

    fn plain(list: &List) -> Vec<(String, ServerState, u64)> {
        list.entries.iter().map(|e| (e.id.clone(), e.state, e.up_since_ms)).collect()
    }

    // What the platform tells reaches the pool as it was told: whole lists, changes, drains and restarts.
    #[test]
    fn the_platforms_lists_pass_unchanged() {
        use ServerState::{InService, Terminated, Terminating};
        let mut views = Views::new("discovery", believed());
        let mut held: BTreeMap<String, Listed> = BTreeMap::new();
        let mut random = fastrand::Rng::with_seed(11);
        for round in 0..2_000u64 {
            let complete = random.u8(..8) == 0;
            let mut entries: BTreeMap<String, Listed> = BTreeMap::new();
            for _ in 0..random.usize(..6) {
                let state = [InService, InService, Terminating, Terminated][random.usize(..4)];
                let id = format!("s-{}", random.u8(..12));
                let since = [0, round][random.usize(..2)];
                if !(complete && state == Terminated) {
                    entries.insert(id.clone(), one(&id, state, since));
                }
            }
            let list = List { revision: Some(round), complete, entries: entries.into_values().collect() };
            if complete {
                held.clear();
            }
            for entry in &list.entries {
                match entry.state {
                    Terminated => drop(held.remove(&entry.id)),
                    _ => drop(held.insert(entry.id.clone(), entry.clone())),
                }
            }
            let passed = views.pass(&list);
            assert_eq!((passed.revision, passed.complete), (Some(round), complete));
            assert_eq!(plain(&passed), plain(&list), "round {round}");
            let all = List { entries: held.values().cloned().collect(), ..List::default() };
            assert_eq!(plain(&views.list()), plain(&all), "round {round}");
        }
    }
}
