//! Merges what several sources report of a pool's servers into one list. Pure: no sockets and no clock; the
//! caller passes in updates with their times and reads the merged list.
//!
//! ```text
//!   discovery ─┐
//!   static    ─┼─ SourceUpdate ─▶ Merge: one view per source ─▶ merged_servers(now) ─▶ the pool's decision module
//!   ephemeral ─┘                  │
//!                                 └─ next_change(): when the list changes without an update
//! ```
//!
//! Each source owns its view. [`Merge`] derives the list from all views by these rules:
//!
//! - **Authority.** Of the sources that have ever listed a server, the one with the highest [`Source::rank`]
//!   decides. A server that it removed stays removed, however long a slower source still lists it.
//! - **Drains.** A drain that any source reports takes effect.
//! - **An unreachable source.** Its last view stays in force, and [`Merge::status`] reports since when it is
//!   unreachable. The absence of a response never empties the list.
//! - **A restart.** A server with a new start time is a new process, which begins with a slow start. A server
//!   that registers again with the same start time never stopped, and stays warmed up.
//! - **One server per address.** Of two servers at one address the one whose source has the higher rank is
//!   listed; at equal ranks the one that started last.
//! - **Mass removal.** If more than [`MergeLimits::max_removal_share`] of a source's servers disappear within
//!   [`MergeLimits::removal_window`], a fault of the source is more likely than one of the servers: the first
//!   of them are removed, the others stay, under suspicion, for [`MergeLimits::suspicion_timeout`]. A removed
//!   server receives no new requests.
//! - **Flapping.** A server that keeps coming back has to stay listed for a while before it receives
//!   requests.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Milliseconds on any clock that does not run backwards.
pub type Millis = u64;

/// Number of a source, assigned by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceId(pub u32);

/// Properties of a source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Name shown in the status.
    pub name: String,
    /// Of the sources that list a server the one of the highest rank decides; of equal ranks the one added
    /// first.
    pub rank: u32,
    /// Whether an operator or the platform maintains the list, as opposed to one of live sessions. Removals
    /// by a managed source are applied at once, regardless of their number and frequency.
    pub managed: bool,
}

/// Protocol that a server is reached by.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum Transport {
    /// HTTP/1.1 over TCP.
    #[default]
    Http1,
    /// HTTP/3, to a server whose identity is verified.
    Http3 {
        /// What its certificate is checked against.
        trust: Trust,
    },
}

/// What a server's certificate is checked against.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Trust {
    /// The certificate's SHA-256 digest, over its DER encoding.
    Pin([u8; 32]),
    /// The DNS name or IP address that the certificate is issued for, by an authority that the node trusts
    /// (RFC 6125).
    Name(Arc<str>),
}

/// Maximum length of a server name: that of a DNS name (RFC 1035, section 2.3.4).
pub const MAX_SERVER_NAME_LEN: usize = 253;

/// Parses the fields `pin` and `server_name` of an entry into the server's [`Trust`]; `None` if neither is
/// given.
///
/// # Errors
/// Returns the name of the invalid field and what to write there.
pub fn parse_trust(
    pin: Option<&str>,
    server_name: Option<&str>,
) -> Result<Option<Trust>, (&'static str, &'static str)> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || ".-:".contains(c);
    match (pin, server_name) {
        (None, None) => Ok(None),
        (Some(pin), None) => {
            let pin =
                parse_pin(pin).ok_or(("pin", "give the certificate's SHA-256: 64 hexadecimal digits"))?;
            Ok(Some(Trust::Pin(pin)))
        }
        (None, Some(name)) => {
            let is_valid = (1..=MAX_SERVER_NAME_LEN).contains(&name.len()) && name.chars().all(is_allowed);
            let expected = "give the DNS name or the address that its certificate is for";
            is_valid.then(|| Some(Trust::Name(name.into()))).ok_or(("server_name", expected))
        }
        (Some(_), Some(_)) => Err(("server_name", "give either it or pin, not both")),
    }
}

/// Parses a certificate's SHA-256 digest, written as 64 hexadecimal digits.
pub fn parse_pin(text: &str) -> Option<[u8; 32]> {
    let mut pin = [0; 32];
    if text.len() != 64 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    for (index, byte) in pin.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(pin)
}

/// A server as a source lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceEntry {
    /// Id of the server, the same at every node and across restarts.
    pub id: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Protocol that it is reached by.
    pub transport: Transport,
    /// Zone that it runs in.
    pub zone: String,
    /// Cell that it belongs to.
    pub cell: u64,
    /// Kind as its source names it; servers of one kind have about the same capacity. May be empty.
    pub kind: String,
    /// Relative capacity.
    pub size: f64,
    /// Start time of its process, Unix time in milliseconds, 0 for long ago; `None` if the source does not
    /// know it.
    pub started_ms: Option<u64>,
    /// Whether it finishes its requests and accepts no new ones.
    pub draining: bool,
}

/// An update from a source.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceUpdate {
    /// The complete list.
    Full(Vec<SourceEntry>),
    /// Changes since the last update.
    Delta {
        /// New or changed servers.
        entries: Vec<SourceEntry>,
        /// Ids of servers that are no longer listed.
        removed: Vec<String>,
    },
    /// The source cannot be reached, so nothing is known of its present list.
    Unreachable,
}

/// Limits on the removals and returns that are applied without delay.
#[derive(Clone, Debug, PartialEq)]
pub struct MergeLimits {
    /// Share of a source's servers that may be removed within [`MergeLimits::removal_window`]; 1 sets no
    /// limit.
    pub max_removal_share: f64,
    /// Number of servers that may be removed regardless of the share, so that small pools can lose one at a
    /// time.
    pub min_removals: usize,
    /// Time over which removals are counted together, in milliseconds.
    pub removal_window: Millis,
    /// How long a server stays listed whose removal exceeds the share, in milliseconds.
    pub suspicion_timeout: Millis,
    /// Returns within [`MergeLimits::flap_window`] that are applied at once; a server with more is held down.
    /// 0 sets no limit.
    pub max_flaps: usize,
    /// Time over which returns are counted, in milliseconds.
    pub flap_window: Millis,
    /// How long a flapping server has to stay listed before it receives requests, in milliseconds.
    pub flap_hold_down: Millis,
}

impl Default for MergeLimits {
    fn default() -> Self {
        MergeLimits {
            max_removal_share: 0.5,
            min_removals: 1,
            removal_window: 2_000,
            suspicion_timeout: 30_000,
            max_flaps: 3,
            flap_window: 60_000,
            flap_hold_down: 10_000,
        }
    }
}

/// Maximum number of servers whose history is kept over all sources; the longest absent are forgotten first.
pub const MAX_REMEMBERED_SERVERS: usize = 65_536;

/// A server on the merged list.
#[derive(Clone, Debug, PartialEq)]
pub struct MergedServer {
    /// Id of the server.
    pub id: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Protocol that it is reached by.
    pub transport: Transport,
    /// Zone that it runs in.
    pub zone: String,
    /// Cell that it belongs to.
    pub cell: u64,
    /// Kind as its source names it; servers of one kind have about the same capacity. May be empty.
    pub kind: String,
    /// Relative capacity.
    pub size: f64,
    /// Start time of its process, Unix time in milliseconds; 0 is long ago.
    pub running_since_ms: u64,
    /// Whether it may receive new requests.
    pub in_service: bool,
}

/// Status of a source.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceStatus {
    /// Name of the source.
    pub name: String,
    /// Number of servers in its view.
    pub servers: usize,
    /// Time since which it is unreachable; `None` if it is reachable.
    pub unreachable_since: Option<Millis>,
    /// Number of servers that it has removed and that stay listed under suspicion.
    pub suspected: usize,
}

/// A server in a source's view.
#[derive(Clone, Debug)]
struct ViewEntry {
    entry: SourceEntry,
    /// Set if the source removed it along with too many others: it stays listed until this time.
    suspected_until: Option<Millis>,
}

/// The present list of a source.
#[derive(Clone, Debug)]
struct SourceView {
    source: Source,
    servers: BTreeMap<String, ViewEntry>,
    unreachable_since: Option<Millis>,
    /// Removals applied within the removal window, except of servers that came back.
    recent_removals: VecDeque<(Millis, String)>,
    /// Number of servers in the view when the present removal window began.
    window_start_count: usize,
}

/// History of a server across its sessions.
#[derive(Clone, Debug, Default)]
struct ServerHistory {
    /// Sources that have ever listed it.
    listed_by: BTreeSet<SourceId>,
    /// Start time of its process, as last reported or, where unknown, when it was first seen.
    running_since_ms: u64,
    /// Times of its returns within the flap window.
    recent_returns: VecDeque<Millis>,
    /// If it flaps, it receives no requests before this time.
    held_down_until: Millis,
    /// Time since which its authoritative source no longer lists it.
    absent_since: Option<Millis>,
}

/// The views of all sources of a pool, merged into one list.
#[derive(Clone, Debug)]
pub struct Merge {
    limits: MergeLimits,
    views: BTreeMap<SourceId, SourceView>,
    histories: BTreeMap<String, ServerHistory>,
}

impl Merge {
    /// Creates a merge without sources.
    pub fn new(limits: MergeLimits) -> Self {
        Merge { limits, views: BTreeMap::new(), histories: BTreeMap::new() }
    }

    /// Applies other limits from now on.
    pub fn set_limits(&mut self, limits: MergeLimits) {
        self.limits = limits;
    }

    /// Adds a source with an empty view.
    pub fn add_source(&mut self, id: SourceId, source: Source) {
        let view = SourceView {
            source,
            servers: BTreeMap::new(),
            unreachable_since: None,
            recent_removals: VecDeque::new(),
            window_start_count: 0,
        };
        self.views.insert(id, view);
    }

    /// Removes a source and its view. Its servers fall to the remaining sources that have listed them.
    pub fn remove_source(&mut self, id: SourceId) {
        self.views.remove(&id);
        for history in self.histories.values_mut() {
            history.listed_by.remove(&id);
        }
        self.histories.retain(|_, history| !history.listed_by.is_empty());
    }

    /// Applies an update of a source. `unix_ms` is the present Unix time, used as the start time of servers
    /// whose start is unknown. Updates of a source that was never added are ignored.
    pub fn apply_update(&mut self, now: Millis, unix_ms: u64, source: SourceId, update: SourceUpdate) {
        self.expire_suspicions(now);
        let Some(view) = self.views.get_mut(&source) else { return };
        let (entries, removed) = match update {
            SourceUpdate::Unreachable => {
                view.unreachable_since.get_or_insert(now);
                return;
            }
            SourceUpdate::Full(entries) => {
                let full_ids: BTreeSet<&str> = entries.iter().map(|entry| entry.id.as_str()).collect();
                let removed =
                    view.servers.keys().filter(|id| !full_ids.contains(id.as_str())).cloned().collect();
                (entries, removed)
            }
            SourceUpdate::Delta { entries, removed } => (entries, removed),
        };
        view.unreachable_since = None;
        // Removals come first: they are counted against the servers present before the new ones are added.
        self.apply_removals(now, source, removed);
        for entry in entries {
            self.apply_entry(now, unix_ms, source, entry);
        }
        self.prune_histories(now);
    }

    /// The source that decides about a server: of those that have ever listed it, the one of the highest
    /// rank.
    fn authoritative_source(&self, history: &ServerHistory) -> Option<SourceId> {
        let rank = |id: &&SourceId| self.views.get(id).map(|view| (view.source.rank, Reverse(**id)));
        history.listed_by.iter().max_by_key(rank).copied()
    }

    fn apply_entry(&mut self, now: Millis, unix_ms: u64, source: SourceId, entry: SourceEntry) {
        let new_history = ServerHistory {
            running_since_ms: entry.started_ms.unwrap_or(unix_ms),
            ..ServerHistory::default()
        };
        let mut history = self.histories.remove(&entry.id).unwrap_or(new_history);
        history.listed_by.insert(source);
        if self.authoritative_source(&history) == Some(source) {
            let has_returned = history.absent_since.take().is_some();
            history.running_since_ms = match entry.started_ms {
                Some(started) => started,
                // Its process may have restarted while it was absent.
                None if has_returned => unix_ms,
                None => history.running_since_ms,
            };
            let managed = self.views.get(&source).is_some_and(|view| view.source.managed);
            if has_returned && self.limits.max_flaps > 0 && !managed {
                let window = self.limits.flap_window;
                history.recent_returns.retain(|at| now.saturating_sub(*at) <= window);
                history.recent_returns.push_back(now);
                if history.recent_returns.len() > self.limits.max_flaps {
                    history.recent_returns.pop_front();
                    history.held_down_until = now + self.limits.flap_hold_down;
                }
            }
        } else if let Some(started) = entry.started_ms {
            // Any source may be the first to see a restart, so the latest start time counts.
            history.running_since_ms = history.running_since_ms.max(started);
        }
        self.histories.insert(entry.id.clone(), history);
        if let Some(view) = self.views.get_mut(&source) {
            // A server that keeps leaving and returning counts once as a removal; its returns count as flaps.
            view.recent_removals.retain(|(_, id)| *id != entry.id);
            view.servers.insert(entry.id.clone(), ViewEntry { entry, suspected_until: None });
        }
    }

    fn apply_removals(&mut self, now: Millis, source: SourceId, removed: Vec<String>) {
        let Some(view) = self.views.get_mut(&source) else { return };
        let removal_window = self.limits.removal_window;
        view.recent_removals.retain(|(at, _)| now.saturating_sub(*at) < removal_window);
        if view.recent_removals.is_empty() {
            view.window_start_count = view.servers.len();
        }
        let max_removals = match self.limits.max_removal_share {
            // Without a limit, as the same few servers may leave and return any number of times.
            all if all >= 1.0 || view.source.managed => usize::MAX,
            part => ((view.window_start_count as f64 * part) as usize).max(self.limits.min_removals),
        };
        let mut accepted = Vec::new();
        for id in removed {
            let Some(view_entry) = view.servers.get_mut(&id) else { continue };
            // A draining server announced its removal, so it does not count as suspicious.
            if view_entry.entry.draining {
                accepted.push(id);
            } else if view_entry.suspected_until.is_none() && view.recent_removals.len() < max_removals {
                view.recent_removals.push_back((now, id.clone()));
                accepted.push(id);
            } else {
                view_entry.suspected_until.get_or_insert(now + self.limits.suspicion_timeout);
            }
        }
        self.remove_servers(now, source, accepted);
    }

    /// Removes servers from a view.
    fn remove_servers(&mut self, now: Millis, source: SourceId, ids: Vec<String>) {
        for id in ids {
            if let Some(view) = self.views.get_mut(&source) {
                view.servers.remove(&id);
            }
            let is_authoritative =
                self.histories.get(&id).and_then(|history| self.authoritative_source(history))
                    == Some(source);
            if let Some(history) = self.histories.get_mut(&id).filter(|_| is_authoritative) {
                history.absent_since.get_or_insert(now);
            }
        }
    }

    /// Removes the servers whose suspicion timeout has passed.
    fn expire_suspicions(&mut self, now: Millis) {
        let sources: Vec<SourceId> = self.views.keys().copied().collect();
        for source in sources {
            let Some(view) = self.views.get(&source) else { continue };
            let is_expired =
                |view_entry: &ViewEntry| view_entry.suspected_until.is_some_and(|until| until <= now);
            let ids = view
                .servers
                .iter()
                .filter(|(_, view_entry)| is_expired(view_entry))
                .map(|(id, _)| id.clone())
                .collect();
            self.remove_servers(now, source, ids);
        }
    }

    /// Drops histories of servers that no view lists and that were absent for longer than the flap window,
    /// and the oldest ones over [`MAX_REMEMBERED_SERVERS`].
    fn prune_histories(&mut self, now: Millis) {
        let window = self.limits.flap_window;
        let views = &self.views;
        let is_listed = |id: &String| views.values().any(|view| view.servers.contains_key(id));
        self.histories.retain(|id, history| {
            let is_forgettable = history.absent_since.is_some_and(|since| now.saturating_sub(since) > window);
            !is_forgettable || is_listed(id)
        });
        let excess = self.histories.len().saturating_sub(MAX_REMEMBERED_SERVERS);
        if excess > 0 {
            let absent = self.histories.iter().filter(|(id, _)| !is_listed(id));
            let mut absent: Vec<(Option<Millis>, String)> =
                absent.map(|(id, h)| (h.absent_since, id.clone())).collect();
            absent.sort();
            for (_, id) in absent.into_iter().take(excess) {
                self.histories.remove(&id);
            }
        }
    }

    /// The entry of a server that belongs on the merged list: its authoritative source lists it and, if that
    /// source is unreachable, no reachable source has dropped it.
    fn listed_entry(&self, id: &str, history: &ServerHistory) -> Option<&SourceEntry> {
        let authority = self.views.get(&self.authoritative_source(history)?)?;
        let view_entry = authority.servers.get(id)?;
        let dropped = |other: &SourceId| {
            let view = self.views.get(other);
            view.is_some_and(|view| view.unreachable_since.is_none() && !view.servers.contains_key(id))
        };
        let contradicted = authority.unreachable_since.is_some() && history.listed_by.iter().any(dropped);
        (!contradicted).then_some(&view_entry.entry)
    }

    /// The merged list, ordered by id.
    pub fn merged_servers(&mut self, now: Millis) -> Vec<MergedServer> {
        self.expire_suspicions(now);
        let merge_server = |(id, history): (&String, &ServerHistory)| {
            let entry = self.listed_entry(id, history)?;
            // A drain reported for an earlier process does not apply to the present one.
            let is_draining = |view: &SourceView| {
                let entry = view.servers.get(id).map(|view_entry| &view_entry.entry);
                entry
                    .is_some_and(|e| e.draining && e.started_ms.is_none_or(|t| t >= history.running_since_ms))
            };
            Some(MergedServer {
                id: id.clone(),
                address: entry.address,
                transport: entry.transport.clone(),
                zone: entry.zone.clone(),
                cell: entry.cell,
                kind: entry.kind.clone(),
                size: entry.size,
                running_since_ms: history.running_since_ms,
                in_service: now >= history.held_down_until && !self.views.values().any(is_draining),
            })
        };
        let mut merged: Vec<MergedServer> = self.histories.iter().filter_map(merge_server).collect();
        if self.views.len() > 1 {
            self.keep_one_per_address(&mut merged);
        }
        merged
    }

    /// Drops servers at the address of another one that has precedence.
    fn keep_one_per_address(&self, merged: &mut Vec<MergedServer>) {
        let precedence = |server: &MergedServer| {
            let authority =
                self.histories.get(&server.id).and_then(|history| self.authoritative_source(history));
            let rank = authority.and_then(|id| self.views.get(&id)).map_or(0, |view| view.source.rank);
            (rank, server.running_since_ms, Reverse(server.id.clone()))
        };
        let mut best: BTreeMap<SocketAddr, (u32, u64, Reverse<String>)> = BTreeMap::new();
        for server in merged.iter() {
            let precedence = precedence(server);
            let best_here = best.entry(server.address).or_insert_with(|| precedence.clone());
            if precedence > *best_here {
                *best_here = precedence;
            }
        }
        merged.retain(|server| best.get(&server.address).is_some_and(|(.., id)| id.0 == server.id));
    }

    /// Time of the next change of the list that needs no update, if there is one.
    pub fn next_change(&self, now: Millis) -> Option<Millis> {
        let suspicions = self
            .views
            .values()
            .flat_map(|view| view.servers.values())
            .filter_map(|view_entry| view_entry.suspected_until);
        let hold_downs = self.histories.values().map(|history| history.held_down_until);
        suspicions.chain(hold_downs).filter(|at| *at > now).min()
    }

    /// Status of the sources, ordered by id.
    pub fn status(&self) -> Vec<SourceStatus> {
        let source_status = |view: &SourceView| SourceStatus {
            name: view.source.name.clone(),
            servers: view.servers.len(),
            unreachable_since: view.unreachable_since,
            suspected: view
                .servers
                .values()
                .filter(|view_entry| view_entry.suspected_until.is_some())
                .count(),
        };
        self.views.values().map(source_status).collect()
    }
}
