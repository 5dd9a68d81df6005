//! Calls to discovery: when the driver makes them, how it applies the lists that they return, and when it
//! calls again.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;
use woodgap_decisions::{DiscoveryMode, Event, ServerState, SyncKind};
use woodgap_membership::SourceUpdate;

use super::{Driver, DriverMessage, DueItem};
use crate::sources::discovery::ServerList;
use crate::sources::merged_sources::LIST_SOURCE;
use crate::sources::subscription::{ListAge, ListOrigin};
use crate::sources::watch::{watch, WatchCall, WatchUpdate};
use crate::task::AbortOnDrop;

/// Delay before discovery is called at a new address in [`DiscoveryMode::Subscribe`] mode. Several reload
/// signals often follow one another, and each call delays the calls of other nodes. The lists of the new
/// address must be applied within 4 s of the signal; lists of the old address are applied until then.
const RELOCATION_DELAY: Duration = Duration::from_millis(500);

impl Driver {
    /// Handles an event of a call to discovery.
    pub(super) fn handle_watch_update(&mut self, call: u64, update: WatchUpdate) {
        match update {
            WatchUpdate::List(list) => self.handle_list(call, list),
            WatchUpdate::Silent => self.on_silent(call),
            WatchUpdate::Failed => self.on_failed(call),
        }
    }

    fn handle_list(&mut self, call: u64, list: ServerList) {
        let (age, subscribed) = match self.subscription.on_list(call, &list) {
            ListOrigin::Subscribed(age) => (age, true),
            ListOrigin::Superseded(age) => (age, false),
            ListOrigin::Closed => return,
        };
        let since_last = std::mem::replace(&mut self.last_list_at, Instant::now()).elapsed();
        log_list(call, &list, age, since_last);
        let list = match age {
            ListAge::UpToDate => list,
            ListAge::Outdated => keep_only_removals(list),
        };
        if subscribed {
            self.apply_current_list(&list);
        } else {
            self.apply_superseded_list(&list);
        }
    }

    /// Applies a list that responds to the balancer's call.
    pub(super) fn apply_current_list(&mut self, list: &ServerList) {
        let (kind, members) = self.servers.apply_list(&self.merged_sources.apply_and_filter(list));
        self.events.push_back(Event::Sync { kind, entries: members });
    }

    /// Applies a list of a superseded call. The balancer sees it as cached and keeps calling discovery.
    fn apply_superseded_list(&mut self, list: &ServerList) {
        self.merged_sources.apply_list(list);
        let (_, members) = self.servers.apply_list(&self.merged_sources.merged_list());
        self.events.push_back(Event::Sync { kind: SyncKind::Cached, entries: members });
    }

    fn on_silent(&mut self, call: u64) {
        // The response has begun, but a long list may be slow or never complete.
        self.hedge_discovery_call(call);
        if !self.subscription.on_silent(call) {
            return;
        }
        tracing::info!("discovery call {call} is silent; making another call");
        self.merged_sources.apply_update(LIST_SOURCE, SourceUpdate::Unreachable);
        let spread = self.watch_timing.successor_spread.mul_f64(self.rng.f64());
        self.schedule_discovery_call(spread);
    }

    fn on_failed(&mut self, call: u64) {
        if !self.subscription.on_failed(call) {
            return;
        }
        self.merged_sources.apply_update(LIST_SOURCE, SourceUpdate::Unreachable);
        match self.discovery_mode {
            // The balancer schedules the next call, since discovery has many callers.
            DiscoveryMode::Subscribe => {
                self.events.push_back(Event::Sync { kind: SyncKind::Failed, entries: Vec::new() })
            }
            DiscoveryMode::Push => self.schedule_discovery_call(self.watch_timing.reconnect_pause),
        }
    }

    /// Schedules a call unless one is scheduled already.
    fn schedule_discovery_call(&mut self, pause: Duration) {
        if !std::mem::replace(&mut self.discovery_call_scheduled, true) {
            self.due_queue.insert(DueItem::CallDiscovery, pause);
        }
    }

    /// Uses this address of discovery from now on.
    pub(super) fn relocate_discovery(&mut self, addr: SocketAddr) {
        let moved = self.discovery != Some(addr);
        // In this mode discovery has many callers, so an open watch is kept; a silent one is detected anyway.
        if !moved && self.discovery_mode == DiscoveryMode::Subscribe {
            return;
        }
        self.discovery = Some(addr);
        self.subscription.relocate(moved);
        match self.discovery_mode {
            DiscoveryMode::Subscribe => self.schedule_discovery_call(RELOCATION_DELAY),
            DiscoveryMode::Push => self.call_discovery(),
        }
    }

    /// Calls discovery unless a call waits for its response or a watch is open. Each SIGHUP and each failure
    /// may request a call. When each request made a call of its own, discovery was so busy that it responded
    /// to none of them.
    pub(super) fn ensure_discovery_call(&mut self) {
        if !self.subscription.is_open() {
            self.call_discovery();
        }
    }

    /// Makes one more call if this one still has no response and may be lost.
    pub(super) fn hedge_discovery_call(&mut self, call: u64) {
        if self.subscription.is_waiting(call) {
            self.call_discovery();
        }
    }

    /// Calls discovery unless too many calls already wait for a response.
    pub(super) fn call_discovery(&mut self) {
        let (Some(addr), Some(tx)) = (self.discovery, self.tx.upgrade()) else { return };
        let response_timeout = self.watch_timing.response_timeout;
        let new_call = self.subscription.begin(|number, revision| {
            let report = move |update| drop(tx.send(DriverMessage::WatchUpdate { call: number, update }));
            AbortOnDrop::spawn(watch(WatchCall { number, addr, revision, response_timeout }, report))
        });
        if let (Some(call), Some(hedge)) = (new_call, self.watch_timing.hedge_delay) {
            self.due_queue.insert(DueItem::HedgeDiscoveryCall(call), hedge);
        }
    }
}

/// Logs a list and the time since the previous one. Empty lines, which have no revision, are not logged.
fn log_list(call: u64, list: &ServerList, age: ListAge, since_last: Duration) {
    let Some(revision) = list.revision else { return };
    let servers = list.entries.len();
    let in_service = list.entries.iter().filter(|entry| entry.state == ServerState::InService).count();
    let (removed, extent) = (servers - in_service, if list.complete { "complete list" } else { "changes" });
    let since_last = since_last.as_millis();
    match age {
        ListAge::UpToDate => tracing::info!(
            "discovery call {call}: revision {revision}, {extent}: {in_service} servers in service, {removed} draining \
            or removed; {since_last} ms after the previous list"
        ),
        ListAge::Outdated => tracing::info!(
            "discovery call {call}: revision {revision} is older than the current one: of its {extent}, only the \
            {removed} servers that are draining or removed are applied"
        ),
    }
}

/// Keeps only the draining and removed servers of an outdated list, which must not return servers to service.
fn keep_only_removals(mut list: ServerList) -> ServerList {
    list.entries.retain(|entry| entry.state != ServerState::InService);
    list.complete = false;
    list
}
