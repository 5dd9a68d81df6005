//! Merges what several sources report about a pool's servers into the lists that the pool uses.
//!
//! ```text
//!   platform: watch ──────▶ ServerList ─┐
//!   catalogue: documents ─▶ SourceUpdate┼─▶ MergedSources ─▶ ServerList ─▶ upstream::servers ─▶ balancer
//!   ephemeral nodes: ─────▶ SourceUpdate┘   (woodgap_membership::Merge)
//! ```

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;
use woodgap_decisions::ServerState;
use woodgap_membership::{
    Merge, MergeLimits, MergedServer, Source, SourceEntry, SourceId, SourceStatus, SourceUpdate,
};

use super::discovery::{DiscoveryEntry, ServerList};

/// The source of lowest rank, which decides about servers that no other source has listed: the platform's
/// discovery or the catalogue.
pub const LIST_SOURCE: SourceId = SourceId(0);

/// Returns the limits for a source whose updates are all applied at once, such as the platform's discovery.
pub fn trusting_limits() -> MergeLimits {
    MergeLimits { max_removal_share: 1.0, max_flaps: 0, ..MergeLimits::default() }
}

/// The sources of one pool, merged.
pub struct MergedSources {
    merge: Merge,
    start: Instant,
}

impl MergedSources {
    /// Creates a merge with the single source [`LIST_SOURCE`], which has this name in status reports.
    pub fn new(name: &str, limits: MergeLimits) -> Self {
        let mut sources = MergedSources { merge: Merge::new(limits), start: Instant::now() };
        let (name, rank, managed) = (name.to_owned(), 0, true);
        sources.merge.add_source(LIST_SOURCE, Source { name, rank, managed });
        sources
    }

    /// Applies other limits from now on.
    pub fn set_limits(&mut self, limits: MergeLimits) {
        self.merge.set_limits(limits);
    }

    /// Adds a source of live registrations. Its rank is the number of `source`; [`LIST_SOURCE`] has the
    /// lowest.
    pub fn add_source(&mut self, source: SourceId, name: &str) {
        let (name, rank, managed) = (name.to_owned(), source.0, false);
        self.merge.add_source(source, Source { name, rank, managed });
    }

    /// Removes a source.
    pub fn remove_source(&mut self, source: SourceId) {
        self.merge.remove_source(source);
    }

    /// Milliseconds since the merge was created.
    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Applies an update of a source.
    pub fn apply_update(&mut self, source: SourceId, update: SourceUpdate) {
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        self.merge.apply_update(self.now(), unix_ms, source, update);
    }

    /// Applies a list of [`LIST_SOURCE`].
    pub fn apply_list(&mut self, list: &ServerList) {
        let present = list.entries.iter().filter(|entry| entry.state != ServerState::Terminated);
        let entries = present.map(source_entry).collect();
        let removed = list.entries.iter().filter(|entry| entry.state == ServerState::Terminated);
        let update = match list.complete {
            true => SourceUpdate::Full(entries),
            false => {
                SourceUpdate::Delta { entries, removed: removed.map(|entry| entry.id.clone()).collect() }
            }
        };
        self.apply_update(LIST_SOURCE, update);
    }

    /// Returns the current list of all servers.
    pub fn merged_list(&mut self) -> ServerList {
        let now = self.now();
        let entries = self.merge.merged_servers(now).iter().map(discovery_entry).collect();
        ServerList { revision: None, complete: true, entries }
    }

    /// Applies a list of [`LIST_SOURCE`] and returns the merged list of the same extent: all servers if the
    /// list is complete, otherwise only the servers that it names.
    pub fn apply_and_filter(&mut self, list: &ServerList) -> ServerList {
        self.apply_list(list);
        let merged = self.merged_list();
        if list.complete {
            return ServerList { revision: list.revision, ..merged };
        }
        let mut by_id: BTreeMap<String, DiscoveryEntry> =
            merged.entries.into_iter().map(|entry| (entry.id.clone(), entry)).collect();
        let terminated =
            |entry: &DiscoveryEntry| DiscoveryEntry { state: ServerState::Terminated, ..entry.clone() };
        let entries =
            list.entries.iter().map(|entry| by_id.remove(&entry.id).unwrap_or_else(|| terminated(entry)));
        ServerList { revision: list.revision, complete: false, entries: entries.collect() }
    }

    /// Returns the time until the merged list changes without a further update, or `None` if it does not
    /// change. Zero means that the list has changed already.
    pub fn time_to_change(&self) -> Option<Duration> {
        let now = self.now();
        self.merge.next_change(now).map(|change_at| Duration::from_millis(change_at.saturating_sub(now)))
    }

    /// Returns the status of all sources. Times are ages in milliseconds.
    pub fn status(&self) -> Vec<SourceStatus> {
        let now = self.now();
        let with_age = |status: SourceStatus| SourceStatus {
            unreachable_since: status.unreachable_since.map(|since| now.saturating_sub(since)),
            ..status
        };
        self.merge.status().into_iter().map(with_age).collect()
    }
}

/// Converts an entry of a list into a source's entry.
fn source_entry(listed: &DiscoveryEntry) -> SourceEntry {
    SourceEntry {
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

/// Converts a server of the merged list into an entry of a list.
fn discovery_entry(server: &MergedServer) -> DiscoveryEntry {
    DiscoveryEntry {
        id: server.id.clone(),
        addr: server.address,
        transport: server.transport.clone(),
        zone: server.zone.clone(),
        cell: server.cell,
        kind: server.kind.clone(),
        state: if server.in_service { ServerState::InService } else { ServerState::Terminating },
        size: server.size,
        up_since_ms: server.running_since_ms,
    }
}

#[cfg(all(test, feature = "hosted"))]
mod tests {
    use super::*;

    fn server(id: &str, state: ServerState, up_since_ms: u64) -> DiscoveryEntry {
        let addr = ([127, 0, 0, 1], 9).into();
        DiscoveryEntry {
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

    fn summary(list: &ServerList) -> Vec<(String, ServerState, u64)> {
        list.entries.iter().map(|e| (e.id.clone(), e.state, e.up_since_ms)).collect()
    }

    // The platform's lists must reach the pool as they were sent: complete lists, changes, drains and
    // restarts.
    #[test]
    fn lists_of_the_only_trusted_source_are_merged_unchanged() {
        use ServerState::{InService, Terminated, Terminating};
        let mut sources = MergedSources::new("discovery", trusting_limits());
        let mut expected: BTreeMap<String, DiscoveryEntry> = BTreeMap::new();
        let mut rng = fastrand::Rng::with_seed(11);
        for round in 0..2_000u64 {
            let complete = rng.u8(..8) == 0;
            let mut entries: BTreeMap<String, DiscoveryEntry> = BTreeMap::new();
            for _ in 0..rng.usize(..6) {
                let state = [InService, InService, Terminating, Terminated][rng.usize(..4)];
                let id = format!("s-{}", rng.u8(..12));
                let since = [0, round][rng.usize(..2)];
                if !(complete && state == Terminated) {
                    entries.insert(id.clone(), server(&id, state, since));
                }
            }
            let list =
                ServerList { revision: Some(round), complete, entries: entries.into_values().collect() };
            if complete {
                expected.clear();
            }
            for entry in &list.entries {
                match entry.state {
                    Terminated => drop(expected.remove(&entry.id)),
                    _ => drop(expected.insert(entry.id.clone(), entry.clone())),
                }
            }
            let merged = sources.apply_and_filter(&list);
            assert_eq!((merged.revision, merged.complete), (Some(round), complete));
            assert_eq!(summary(&merged), summary(&list), "round {round}");
            let all = ServerList { entries: expected.values().cloned().collect(), ..ServerList::default() };
            assert_eq!(summary(&sources.merged_list()), summary(&all), "round {round}");
        }
    }
}
