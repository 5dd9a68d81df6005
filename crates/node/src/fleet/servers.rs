//! Drains of servers at all nodes at once. Orders are read from the coordination service, applied to this
//! node's tenants, and their completion is reported in this node's gossip metadata. The administration API
//! writes the orders here and asks which servers may be stopped.
//!
//! ```text
//!   document: orders ─▶ file (last orders read) ─▶ Tenants::set_drain_filter ─ 500 ms, nothing in flight
//!                                                 ─▶ FleetMembership::report_completed_order
//!   neither service nor majority of the fleet for `isolation_timeout` ─▶ Tenants::set_drain_filter: all
//!   GET /v1/servers ─▶ ServerDrains::readiness_by_server: roster, view, sessions ─▶ safe, waits, not known
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use woodgap_decisions::ServerState;
use woodgap_fleet::{LifecyclePhase, MemberState, MAX_EJECTED_MARKS};
use woodgap_permits::servers::{
    is_isolated, stop_readiness, DrainOrders, LastContact, NodeEvidence, ServerPool, StopReadiness,
};
use woodgap_permits::{Budget, Refusal, Scope};
use woodgap_zookeeper::document::{DocumentState, VersionedDocument};
use woodgap_zookeeper::names::RegisteredNames;
use woodgap_zookeeper::session::SessionHandle;

use super::members::{FleetMembership, MemberStatus};
use super::permits::{Permits, PermitsError};
use crate::control::now_ms;
use crate::hosted::directory::Tenants;
use crate::sources::discovery::ServerList;

/// Poll interval for requests in flight and for contact with the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after an order was read from which no new request may go to its server.
const STOP_SENDING_DELAY: Duration = Duration::from_millis(500);
/// Maximum duration of a write, with all its attempts.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval in which this node reports the servers that it ejects.
const EJECTION_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of the saved orders file.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Settings of `[permits.servers]` in the operator's configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainsConfig {
    /// File that holds the orders that were read last.
    pub file: PathBuf,
    /// How long this node sends new requests without the service and without a majority of the fleet.
    pub isolation_timeout: Duration,
    /// Maximum duration of a request.
    pub max_request_duration: Duration,
}

/// State of a server that takes precedence over its discovery sources.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerOverride {
    /// The server receives no new requests.
    Draining,
    /// The server counts as started at this Unix time in milliseconds, unless it started later.
    RestartedAt(u64),
}

/// Servers that receive no new requests or count as restarted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct DrainFilter {
    /// Whether every server is drained: this node may send no new requests at all.
    pub all: bool,
    /// Overrides by address.
    pub servers: BTreeMap<SocketAddr, ServerOverride>,
}

impl DrainFilter {
    /// Applies the overrides to a server list.
    pub fn apply(&self, list: &mut ServerList) {
        for server in &mut list.entries {
            let server_override = self.servers.get(&server.addr);
            if let Some(ServerOverride::RestartedAt(since)) = server_override {
                // Every node treats the server as a new process: it is in slow start and old connections are
                // not reused.
                server.up_since_ms = server.up_since_ms.max(*since);
            }
            let is_drained = self.all || server_override == Some(&ServerOverride::Draining);
            if is_drained && server.state == ServerState::InService {
                server.state = ServerState::Terminating;
            }
        }
    }
}

struct Inner {
    node_name: String,
    config: DrainsConfig,
    document: VersionedDocument,
    names: RegisteredNames,
    members: FleetMembership,
    permits: Permits,
    start: Instant,
    contact: Mutex<LastContact>,
    /// Last orders that were read, by this process or an earlier one.
    orders: Mutex<DrainOrders>,
    /// Number of nodes on the roster when it was last read.
    roster: AtomicUsize,
}

/// Handle of this node's server drains.
#[derive(Clone)]
pub struct ServerDrains(Arc<Inner>);

/// Content of the file of saved orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct SavedOrders {
    /// Last orders that were read.
    orders: DrainOrders,
    /// Number of nodes on the roster at that time; 0 if it was never known.
    roster: usize,
}

fn read_saved_orders(path: &Path) -> Result<SavedOrders, String> {
    let location = path.display();
    match std::fs::metadata(path) {
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(SavedOrders::default()),
        Err(error) => return Err(format!("permits.servers.file {location}: {error}")),
        Ok(meta) if meta.len() > MAX_FILE_BYTES => {
            return Err(format!(
                "permits.servers.file {location}: {} bytes exceed the maximum size of this file",
                meta.len()
            ));
        }
        Ok(_) => {}
    }
    let text = std::fs::read(path).map_err(|error| format!("permits.servers.file {location}: {error}"))?;
    let parse_error =
        |error| format!("permits.servers.file {location}: {error}; delete it only if no server is draining");
    serde_json::from_slice(&text).map_err(parse_error)
}

/// Writes and syncs a temporary file and renames it, so that a reader finds either the old or the new
/// content, complete.
fn write_saved_orders(path: &Path, saved: &SavedOrders) -> std::io::Result<()> {
    use std::io::Write;
    let temporary = path.with_extension("new");
    let mut file = std::fs::File::create(&temporary)?;
    file.write_all(&serde_json::to_vec(saved)?)?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)?;
    std::fs::File::open(
        path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new(".")),
    )?
    .sync_all()
}

impl ServerDrains {
    /// Watches the orders at `path` and the nodes' registrations at `register`.
    ///
    /// # Errors
    /// Returns a message if the file exists and cannot be read.
    pub fn start(
        session: &SessionHandle,
        config: DrainsConfig,
        (node_name, path, register): (String, String, String),
        members: FleetMembership,
        permits: Permits,
    ) -> Result<ServerDrains, String> {
        let SavedOrders { orders, roster } = read_saved_orders(&config.file)?;
        let document = VersionedDocument::start(session, path);
        let names = RegisteredNames::start(session, register);
        let contact = Mutex::new(LastContact { service: 0, majority: 0 });
        let (start, orders) = (Instant::now(), Mutex::new(orders));
        Ok(ServerDrains(Arc::new(Inner {
            node_name,
            config,
            document,
            names,
            members,
            permits,
            start,
            contact,
            orders,
            roster: AtomicUsize::new(roster),
        })))
    }

    fn now(&self) -> u64 {
        self.0.start.elapsed().as_millis() as u64
    }

    fn orders(&self) -> DrainOrders {
        self.0.orders.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Current orders at the service; `None` while they are unknown, an error if they cannot be parsed.
    fn current_orders(&self) -> Option<Result<DrainOrders, String>> {
        match &*self.0.document.subscribe().borrow() {
            DocumentState::Document { text: Some(text), stale: false, .. } => {
                Some(serde_json::from_slice(text).map_err(|error| error.to_string()))
            }
            DocumentState::Document { text: None, stale: false, .. } => Some(Ok(DrainOrders::default())),
            _ => None,
        }
    }

    /// Waits until the orders were read, for at most `time_limit`.
    pub async fn wait_until_loaded(&self, time_limit: Duration) {
        let mut states = self.0.document.subscribe();
        drop(
            tokio::time::timeout(time_limit, states.wait_for(|state| *state != DocumentState::Unknown)).await,
        );
    }

    /// Whether this node is in direct contact with more than half of the roster.
    fn sees_majority(&self) -> bool {
        let view = self.0.members.view().borrow().clone();
        if let Some(ledger) = self.0.permits.status().ledger {
            self.0.roster.store(ledger.roster.len(), Ordering::Relaxed);
        }
        // Without a known roster, this node cannot tell whether it reaches a majority.
        let roster = self.0.roster.load(Ordering::Relaxed);
        // A node that has just started relies on other nodes' reports of who is alive; only direct datagrams
        // are contact.
        let alive =
            view.members.iter().filter(|member| member.life == MemberState::Alive && member.heard).count();
        view.standing == "together" && roster > 0 && alive * 2 > roster
    }

    /// Whether this node must send no new requests, because it is isolated from the service and the majority.
    fn has_lost_contact(&self) -> bool {
        let now = self.now();
        let mut contact = self.0.contact.lock().unwrap_or_else(PoisonError::into_inner);
        if self.0.names.subscribe().borrow().is_some() {
            contact.service = now;
        }
        if self.sees_majority() {
            contact.majority = now;
        }
        is_isolated(now, *contact, self.0.config.isolation_timeout.as_millis() as u64)
    }

    /// Applies the known orders before the first request.
    pub(crate) fn apply_known_orders(&self, tenants: &Tenants) {
        if let Some(Ok(orders)) = self.current_orders() {
            *self.0.orders.lock().unwrap_or_else(PoisonError::into_inner) = orders;
        }
        tenants.set_drain_filter(drain_filter(&self.orders(), false));
    }

    /// Applies the orders and reports their completion until the node stops.
    pub(crate) async fn run(self, tenants: Rc<Tenants>) {
        let mut states = self.0.document.subscribe();
        let (mut applied, mut filter, mut reported_order) =
            (None::<(Instant, DrainOrders)>, DrainFilter::default(), 0);
        let (mut last_read_error, mut last_state, mut unsaved) = (None, None, None);
        let (mut reported_marks, mut reported_at) = ([0; MAX_EJECTED_MARKS], Instant::now());
        loop {
            if let Some(current) = self.current_orders() {
                match current {
                    Ok(orders) => *self.0.orders.lock().unwrap_or_else(PoisonError::into_inner) = orders,
                    Err(reason) if last_read_error.as_ref() != Some(&reason) => {
                        tracing::info!(
                            "drains: the orders cannot be read; the previous orders stay in force: {reason}"
                        );
                        last_read_error = Some(reason);
                    }
                    Err(_) => {}
                }
            }
            let orders = self.orders();
            let lost_contact = self.has_lost_contact();
            if lost_contact != filter.all {
                let reason = if lost_contact {
                    "sends nothing new: it reaches neither the service nor a majority of the fleet"
                } else {
                    "sends again"
                };
                tracing::info!("drains: {} {reason}", self.0.node_name);
            }
            let now = drain_filter(&orders, lost_contact);
            if now != filter || applied.is_none() {
                tenants.set_drain_filter(now.clone());
                filter = now;
            }
            let saved = SavedOrders { orders: orders.clone(), roster: self.0.roster.load(Ordering::Relaxed) };
            if applied.as_ref().is_none_or(|(_, last)| *last != orders) {
                applied = Some((Instant::now(), orders.clone()));
            }
            if last_state != Some(saved.clone()) {
                last_state = Some(saved.clone());
                unsaved = Some(saved);
            }
            // The orders are on disk before completion is reported, since the next process of this name
            // starts from them.
            if let Some(saved) = unsaved.clone() {
                let path = self.0.config.file.clone();
                let written = tokio::task::spawn_blocking(move || write_saved_orders(&path, &saved)).await;
                match written {
                    Ok(Ok(())) => unsaved = None,
                    Ok(Err(error)) => {
                        let location = self.0.config.file.display();
                        tracing::info!("drains: {location}: {error}; completion of orders is not reported");
                    }
                    Err(_) => {}
                }
            }
            let stopped = applied.as_ref().is_some_and(|(at, _)| at.elapsed() >= STOP_SENDING_DELAY);
            if stopped && unsaved.is_none() && reported_order < orders.number {
                let completed = self.completed_order(&orders, &tenants).await;
                if completed > reported_order {
                    reported_order = completed;
                    self.0
                        .members
                        .report_completed_order(u32::try_from(reported_order).unwrap_or(u32::MAX))
                        .await;
                }
            }
            if reported_at.elapsed() >= EJECTION_REPORT_INTERVAL {
                reported_at = Instant::now();
                let statuses = tenants.server_statuses().await;
                let ejected =
                    lowest_marks(statuses.iter().filter(|server| server.ejected).map(|server| server.addr));
                if ejected != reported_marks {
                    reported_marks = ejected;
                    self.0.members.report_ejected_marks(reported_marks).await;
                }
            }
            tokio::select! {
                _ = states.changed() => {}
                () = tokio::time::sleep(if unsaved.is_some() { STOP_SENDING_DELAY } else { POLL_INTERVAL }) => {}
            }
        }
    }

    /// Number of the last order up to which no drained server has requests in flight.
    async fn completed_order(&self, orders: &DrainOrders, tenants: &Tenants) -> u64 {
        let draining: Vec<(SocketAddr, u64)> =
            orders.draining().filter_map(|(addr, order)| Some((addr.parse().ok()?, order.number))).collect();
        let statuses = tenants.server_statuses().await;
        let busy: BTreeSet<SocketAddr> = statuses
            .into_iter()
            .filter(|server| server.attempts_in_flight > 0)
            .map(|server| server.addr)
            .collect();
        let first = draining.iter().filter(|(addr, _)| busy.contains(addr)).map(|(_, number)| *number).min();
        first.map_or(orders.number, |first| first - 1)
    }

    /// The orders, and whether each draining server may be stopped.
    ///
    /// # Errors
    /// Returns an error while the orders or the ledger are unknown.
    pub fn readiness_by_server(
        &self,
    ) -> Result<(DrainOrders, BTreeMap<String, StopReadiness>), PermitsError> {
        let orders =
            self.current_orders().ok_or(PermitsError::Unreachable)?.map_err(PermitsError::Unreadable)?;
        let status = self.0.permits.status();
        let ledger = status.ledger.filter(|_| !status.stale).ok_or(PermitsError::Unreachable)?;
        let view = self.0.members.view().borrow().clone();
        let sessions = self.0.names.subscribe().borrow().clone();
        let names: BTreeSet<&String> =
            ledger.roster.keys().chain(view.members.iter().map(|member| &member.name)).collect();
        let evidence = |name: &String| {
            let member = view.members.iter().find(|member| member.name == *name);
            NodeEvidence {
                completed_order: member.map(|member| u64::from(member.done)),
                has_left: member.is_some_and(|member| member.phase == LifecyclePhase::Out),
                // While registrations are unknown, the node counts as registered.
                is_registered: sessions.as_ref().is_none_or(|sessions| sessions.contains(name)),
                dead_for: member
                    .filter(|member| member.life == MemberState::Dead)
                    .map(|member| member.since_ms),
            }
        };
        let (has_majority, send_timeout) = (self.sees_majority(), self.send_timeout_ms(names.len()));
        let readiness = orders.draining().map(|(server, order)| {
            let roster = names.iter().map(|name| (*name, evidence(name)));
            (server.clone(), stop_readiness(order.number, roster, has_majority, send_timeout))
        });
        let readiness = readiness.collect();
        Ok((orders, readiness))
    }

    /// Time in milliseconds after which a dead node cannot send any more: it has noticed its isolation,
    /// `isolation_timeout` has passed and its requests have ended.
    fn send_timeout_ms(&self, members: usize) -> u64 {
        let DrainsConfig { isolation_timeout, max_request_duration, .. } = &self.0.config;
        self.0.members.max_suspicion_ms(members)
            + (*isolation_timeout + *max_request_duration).as_millis() as u64
    }

    /// Whether more than half of the serving nodes report that they eject the server.
    pub fn is_ejected_by_majority(&self, server: &SocketAddr) -> bool {
        let view = self.0.members.view().borrow().clone();
        let serves = |member: &&MemberStatus| {
            member.life == MemberState::Alive && member.phase == LifecyclePhase::Ready
        };
        let serving: Vec<&MemberStatus> = view.members.iter().filter(serves).collect();
        let mark = server_mark(server);
        serving.iter().filter(|member| member.ejects.contains(&mark)).count() * 2 > serving.len()
    }

    /// Budgets of server pools, by tenant.
    ///
    /// # Errors
    /// Returns an error while the ledger is unknown.
    pub fn budgets(&self) -> Result<BTreeMap<String, Budget>, PermitsError> {
        let status = self.0.permits.status();
        let ledger = status.ledger.filter(|_| !status.stale).ok_or(PermitsError::Unreachable)?;
        let pool = |budget: Budget| match &budget.scope {
            Scope::Pool(tenant) => Some((tenant.clone(), budget)),
            Scope::Fleet | Scope::Zone(_) => None,
        };
        Ok(ledger.budgets.into_iter().filter_map(pool).collect())
    }

    /// Writes an order that drains a server, if the budgets of `pools` allow it, or returns it to service
    /// with `back`. Returns the number of the order.
    ///
    /// # Errors
    /// Returns why the order was not written.
    pub async fn change_order(
        &self,
        server: SocketAddr,
        reason: String,
        back: bool,
        pools: Vec<ServerPool>,
    ) -> Result<u64, PermitsError> {
        let hold_ms = self.0.permits.status().ledger.map_or(0, |ledger| ledger.hold_ms);
        let change = move |read: Option<&[u8]>| {
            let before: DrainOrders = match read {
                None => DrainOrders::default(),
                Some(text) => serde_json::from_slice(text)
                    .map_err(|error| PermitsError::Unreadable(error.to_string()))?,
            };
            let mut orders = before.clone();
            let (now, server) = (now_ms(), server.to_string());
            let number = match back {
                true => orders.return_to_service(now, &server, &reason),
                false => orders.drain(now, &server, &reason, &pools, hold_ms),
            };
            let number = number.map_err(|refusal: Refusal| PermitsError::Refused(refusal))?;
            let write = (orders != before).then(|| serde_json::to_vec(&orders).unwrap_or_default());
            Ok((write, number))
        };
        Ok(self.0.document.change(WRITE_TIMEOUT, change).await?)
    }
}

/// Hash of a server's address that fits into the gossip metadata; never 0.
fn server_mark(server: &SocketAddr) -> u16 {
    (xxhash_rust::xxh3::xxh3_64(server.to_string().as_bytes()) as u16).max(1)
}

/// Lowest marks of the servers, so that nodes that eject the same servers report the same marks.
fn lowest_marks(servers: impl Iterator<Item = SocketAddr>) -> [u16; MAX_EJECTED_MARKS] {
    let all: BTreeSet<u16> = servers.map(|server| server_mark(&server)).collect();
    let mut lowest = [0; MAX_EJECTED_MARKS];
    lowest.iter_mut().zip(all).for_each(|(slot, mark)| *slot = mark);
    lowest
}

/// Returns the filter that the orders require; `all` drains every server.
fn drain_filter(orders: &DrainOrders, all: bool) -> DrainFilter {
    let parse_override = |(addr, order): (&String, &woodgap_permits::servers::DrainOrder)| {
        let server_override =
            if order.back { ServerOverride::RestartedAt(order.since) } else { ServerOverride::Draining };
        Some((addr.parse().ok()?, server_override))
    };
    DrainFilter { all, servers: orders.servers.iter().filter_map(parse_override).collect() }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::sources::discovery::DiscoveryEntry;

    #[test]
    fn server_returned_to_service_counts_as_restarted_at_the_order() {
        let server = |addr: &str, up_since_ms| DiscoveryEntry {
            id: addr.to_owned(),
            addr: addr.parse().unwrap(),
            transport: Default::default(),
            zone: String::new(),
            cell: 0,
            kind: String::new(),
            state: ServerState::InService,
            size: 1.0,
            up_since_ms,
        };
        let all = || ServerList {
            entries: vec![server("127.0.0.1:1", 5), server("127.0.0.1:2", 5), server("127.0.0.1:3", 90)],
            ..ServerList::default()
        };
        let mut orders = DrainOrders::default();
        orders.drain(10, "127.0.0.1:1", "x", &[], 0).unwrap();
        for back in ["127.0.0.1:2", "127.0.0.1:3"] {
            orders.drain(10, back, "x", &[], 0).unwrap();
            orders.return_to_service(50, back, "x").unwrap();
        }
        let in_service_and_start = |list: &ServerList| {
            list.entries
                .iter()
                .map(|e| (e.state == ServerState::InService, e.up_since_ms))
                .collect::<Vec<_>>()
        };
        let mut list = all();
        drain_filter(&orders, false).apply(&mut list);
        assert_eq!(in_service_and_start(&list), [(false, 5), (true, 50), (true, 90)]);
        drain_filter(&orders, true).apply(&mut list);
        assert!(in_service_and_start(&list).iter().all(|(in_service, _)| !in_service));
    }

    #[test]
    fn saved_orders_are_replaced_atomically_and_a_broken_file_is_refused() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("drains.json");
        assert_eq!(read_saved_orders(&path).unwrap(), SavedOrders::default());
        let mut saved = SavedOrders { roster: 3, ..SavedOrders::default() };
        saved.orders.drain(1, "127.0.0.1:9", "x", &[], 0).unwrap();
        write_saved_orders(&path, &saved).unwrap();
        assert_eq!(read_saved_orders(&path).unwrap(), saved);
        // An interrupted write leaves its temporary file behind.
        std::fs::write(path.with_extension("new"), b"{").unwrap();
        assert_eq!(read_saved_orders(&path).unwrap(), saved);
        std::fs::write(&path, b"{").unwrap();
        assert!(read_saved_orders(&path).unwrap_err().contains("delete it only if no server is draining"));
    }
}
