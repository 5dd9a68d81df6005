//! The servers of a pool as the latest lists give them, which of them may be sent requests, and their connections.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use woodgap_decisions::settings::{kind_id, zone_id};
use woodgap_decisions::{CellId, ListedServer, Micros, ServerId, ServerState, SyncKind};
use woodgap_membership::Transport;

use crate::config::UpstreamSettings;
use crate::meter::TenantMeter;
use crate::sockets::SocketBudget;
use crate::sources::discovery::ServerList;
use crate::upstream::exchange::Http1Connection;
#[cfg(feature = "hosted")]
use crate::upstream::http3;
use crate::upstream::server_status::ServerStatus;
use crate::upstream::start_times::{DecisionClock, StartTimes};

pub use crate::upstream::attempt::AttemptResult;
pub use crate::upstream::idle::IDLE_SWEEP_INTERVAL;

/// A listed server with its connections.
pub(super) struct ServerSlot {
    pub(super) addr: SocketAddr,
    pub(super) transport: Transport,
    /// Start time that the list gives, in Unix milliseconds.
    pub(super) up_since_ms: u64,
    /// Time at which the server started, by the decision module's clock.
    pub(super) started_at: Micros,
    /// Changes with each restart, move or return to the list: connections of earlier epochs lead to an ended process.
    pub(super) epoch: u64,
    /// Idle HTTP/1.1 connections, the most recently used last.
    pub(super) idle_connections: Vec<Http1Connection>,
    /// The connection that all requests to the server share, if it speaks HTTP/3.
    #[cfg(feature = "hosted")]
    pub(super) http3_connection: Rc<http3::SharedConnection>,
    /// Time since which the server is not in service; `None` while it is.
    pub(super) draining_since: Option<Instant>,
    /// Whether another server listens at this server's address now.
    pub(super) address_taken: bool,
}

/// All listed servers of a pool, with their connections.
pub struct Servers {
    pub(super) settings: UpstreamSettings,
    pub(super) sockets: Rc<SocketBudget>,
    pub(super) meter: Option<Rc<TenantMeter>>,
    pub(super) slots: RefCell<HashMap<ServerId, ServerSlot>>,
    pub(super) last_epoch: Cell<u64>,
    clock: DecisionClock,
    start_times: RefCell<StartTimes>,
    pub(super) list_applied: Notify,
    #[cfg(feature = "hosted")]
    pub(super) authorities: RefCell<std::sync::Arc<http3::Authorities>>,
}

impl Servers {
    /// Creates an empty set of servers, whose idle connections `sockets` may evict.
    pub fn new(
        settings: UpstreamSettings,
        sockets: Rc<SocketBudget>,
        meter: Option<Rc<TenantMeter>>,
    ) -> Rc<Self> {
        let clock = DecisionClock::new();
        let servers = Rc::new(Servers {
            settings,
            sockets,
            meter,
            slots: RefCell::default(),
            last_epoch: Cell::new(0),
            clock,
            start_times: RefCell::new(StartTimes::new(clock)),
            list_applied: Notify::new(),
            #[cfg(feature = "hosted")]
            authorities: RefCell::default(),
        });
        servers.sockets.register_pool(&servers);
        servers
    }

    /// Returns the clock of the start times that [`Servers::apply_list`] returns.
    pub fn clock(&self) -> DecisionClock {
        self.clock
    }

    /// Time after the start of a server's drain from which no request is written to the server.
    pub fn drain_grace(&self) -> Duration {
        self.settings.drain_grace
    }

    /// Time from the start of a server's drain in which a request that waits for a connection may still be written.
    pub(super) fn send_grace(&self) -> Duration {
        self.settings.drain_grace / 2
    }

    /// Applies a server list and returns it in the decision module's form.
    pub fn apply_list(&self, list: &ServerList) -> (SyncKind, Vec<ListedServer>) {
        let applied = self.apply_entries(list);
        self.list_applied.notify_waiters();
        applied
    }

    fn apply_entries(&self, list: &ServerList) -> (SyncKind, Vec<ListedServer>) {
        let initial = self.is_initial_list(list);
        let mut start_times = self.start_times.borrow_mut();
        let mut slots = self.slots.borrow_mut();
        let mut members = Vec::with_capacity(list.entries.len());
        let mut active = Vec::new();
        for entry in &list.entries {
            let server = ServerId::new(&entry.id);
            let member = |started_at| ListedServer {
                server: server.clone(),
                zone: zone_id(&entry.zone),
                cell: CellId(entry.cell),
                kind: kind_id(&entry.kind),
                state: entry.state,
                weight: entry.size,
                started_at,
            };
            if entry.state == ServerState::Terminated {
                let removed = slots.remove(&server);
                members.push(member(removed.as_ref().map_or(0, |slot| slot.started_at)));
                if let Some(slot) = removed {
                    start_times.record_removal(server, slot.up_since_ms, slot.started_at);
                }
                continue;
            }
            let slot = slots.entry(server.clone()).or_insert_with(|| ServerSlot {
                addr: entry.addr,
                transport: entry.transport.clone(),
                up_since_ms: entry.up_since_ms,
                started_at: start_times.start_time(&server, entry.up_since_ms, initial),
                epoch: self.next_epoch(),
                idle_connections: Vec::new(),
                #[cfg(feature = "hosted")]
                http3_connection: Rc::default(),
                draining_since: None,
                address_taken: false,
            });
            if slot.up_since_ms != entry.up_since_ms {
                slot.started_at = start_times.start_time(&server, entry.up_since_ms, initial);
            }
            members.push(member(slot.started_at));
            let same_transport = slot.transport == entry.transport;
            if !same_transport || (slot.addr, slot.up_since_ms) != (entry.addr, entry.up_since_ms) {
                (slot.addr, slot.up_since_ms) = (entry.addr, entry.up_since_ms);
                slot.transport = entry.transport.clone();
                slot.epoch = self.next_epoch();
                slot.idle_connections.clear(); // Old connections do not lead to a process that restarted or moved.
                #[cfg(feature = "hosted")]
                slot.http3_connection.discard();
            }
            if entry.state == ServerState::InService {
                (slot.draining_since, slot.address_taken) = (None, false);
                active.push((server, entry.addr));
            } else {
                slot.draining_since.get_or_insert_with(Instant::now);
                slot.idle_connections.clear();
            }
        }
        let owners: HashMap<SocketAddr, ServerId> =
            active.into_iter().map(|(server, addr)| (addr, server)).collect();
        for (server, slot) in slots.iter_mut() {
            if owners.get(&slot.addr).is_some_and(|owner| owner != server) {
                slot.address_taken = true; // Requests must not reach the server that took over the address.
                slot.idle_connections.clear();
            }
        }
        if list.complete {
            let listed: HashSet<&ServerId> = members.iter().map(|member| &member.server).collect();
            slots.retain(|server, slot| {
                let is_listed = listed.contains(server);
                if !is_listed {
                    start_times.record_removal(server.clone(), slot.up_since_ms, slot.started_at);
                }
                is_listed
            });
            return (SyncKind::Full, members);
        }
        (SyncKind::Delta, members)
    }

    /// Whether a list shows servers that were up before this process.
    fn is_initial_list(&self, list: &ServerList) -> bool {
        let slots = self.slots.borrow();
        let is_unknown = |id: &str| !slots.contains_key(&ServerId::new(id));
        let unknown = list.entries.iter().filter(|entry| is_unknown(&entry.id)).count();
        self.start_times.borrow_mut().is_initial_list(list.complete, list.entries.len(), unknown)
    }

    fn next_epoch(&self) -> u64 {
        self.last_epoch.set(self.last_epoch.get() + 1);
        self.last_epoch.get()
    }

    /// Address and epoch of a server; `None` if it may not be sent requests because it was removed, has drained for
    /// too long or lost its address to another server. Checked for requests that waited for a connection.
    pub(super) fn eligible_addr(&self, server: &ServerId) -> Option<(SocketAddr, u64)> {
        let slots = self.slots.borrow();
        let slot = slots.get(server)?;
        let grace_expired = slot.draining_since.is_some_and(|since| since.elapsed() > self.send_grace());
        (!grace_expired && !slot.address_taken).then_some((slot.addr, slot.epoch))
    }

    /// Current status of each server, ordered by the ids that the sources give them.
    pub fn server_statuses(&self) -> Vec<(ServerId, ServerStatus)> {
        let slots = self.slots.borrow();
        let status = |(server, slot): (&ServerId, &ServerSlot)| {
            let status = ServerStatus {
                id: server.name().to_owned(),
                addr: slot.addr,
                attempts_in_flight: 0,
                ejected: false,
                in_service: slot.draining_since.is_none() && !slot.address_taken,
                idle_connections: slot.idle_connections.len(),
            };
            (server.clone(), status)
        };
        let mut statuses: Vec<(ServerId, ServerStatus)> = slots.iter().map(status).collect();
        statuses.sort_by(|(_, a), (_, b)| a.id.cmp(&b.id));
        statuses
    }

    /// Sets the authorities that are trusted for servers that are authenticated by name.
    #[cfg(feature = "hosted")]
    pub fn set_authorities(&self, authorities: std::sync::Arc<http3::Authorities>) {
        *self.authorities.borrow_mut() = authorities;
    }
}

#[cfg(test)]
mod identity_tests;
#[cfg(test)]
pub(super) mod tests;
