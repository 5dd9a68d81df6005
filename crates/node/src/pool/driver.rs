//! The task that owns a pool's balancer: it turns messages and timers into the balancer's events and executes
//! the resulting actions in order.

mod discovery_calls;
mod messages;
mod requests;
mod response_sender;

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio_util::time::DelayQueue;
use woodgap_decisions::{
    Action, Balancer, BalancerSettings, DiscoveryMode, Event, Micros, ServerId, SyncKind, TimerId,
};

use crate::meter::TenantMeter;
use crate::peers::PeerSocket;
use crate::sources::discovery::ServerList;
use crate::sources::merged_sources::{trusting_limits, MergedSources};
use crate::sources::subscription::Subscription;
use crate::sources::watch::WatchTiming;
use crate::task::AbortOnDrop;
use crate::upstream::servers::{AttemptResult, Servers, IDLE_SWEEP_INTERVAL};
use crate::upstream::start_times::DecisionClock;
use requests::{request_number, TrackedRequest};

pub use crate::upstream::server_status::ServerStatus;
pub use messages::{DriverMessage, DriverReply, FinalResponse, RequestArrival};

/// Work of the driver that is scheduled for a point in time.
enum DueItem {
    /// A timer that the balancer has set expires.
    Timer(TimerId),
    /// A request is past its deadline and has no response yet.
    RequestOverdue(u64),
    /// Idle connections are checked, see [`Servers::sweep_idle_connections`].
    ConnectionCleanup,
    /// Discovery has to be called again.
    CallDiscovery,
    /// A call to discovery may be lost if it still has no response.
    HedgeDiscoveryCall(u64),
}

/// Runs the balancer of one pool. It owns the pool's pending requests, timers and calls to discovery.
pub struct Driver {
    balancer: Balancer,
    clock: DecisionClock,
    /// Requests that have no response yet or have attempts in flight, by number.
    requests: HashMap<u64, TrackedRequest>,
    due_queue: DelayQueue<DueItem>,
    /// Events that the balancer has not handled yet, including those that result from its actions.
    events: VecDeque<Event>,
    servers: Rc<Servers>,
    peers: Option<Rc<PeerSocket>>,
    /// Address of discovery, or `None` if lists arrive as [`DriverMessage::MergedList`].
    discovery: Option<SocketAddr>,
    /// State of the servers, merged from discovery's lists. Lists that arrive as
    /// [`DriverMessage::MergedList`] are already merged.
    merged_sources: MergedSources,
    discovery_mode: DiscoveryMode,
    watch_timing: WatchTiming,
    max_attempts: usize,
    /// The open calls to discovery.
    subscription: Subscription<AbortOnDrop>,
    /// Time at which discovery last sent a list.
    last_list_at: Instant,
    /// Whether [`DueItem::CallDiscovery`] is scheduled. At most one is, however many calls have failed.
    discovery_call_scheduled: bool,
    rng: fastrand::Rng,
    /// Weak, so that the driver ends when no other sender is left.
    tx: mpsc::WeakUnboundedSender<DriverMessage>,
    meter: Option<Rc<TenantMeter>>,
}

impl Driver {
    /// Creates a driver that has no servers yet. `seed` seeds the balancer and the spread of calls to
    /// discovery.
    pub fn new(
        settings: &BalancerSettings,
        seed: u64,
        discovery: Option<SocketAddr>,
        servers: Rc<Servers>,
        peers: Option<Rc<PeerSocket>>,
        tx: &mpsc::UnboundedSender<DriverMessage>,
        meter: Option<Rc<TenantMeter>>,
    ) -> Self {
        Driver {
            balancer: Balancer::new(settings.clone(), seed),
            watch_timing: WatchTiming::from_settings(settings, servers.drain_grace()),
            clock: servers.clock(),
            requests: HashMap::new(),
            due_queue: DelayQueue::new(),
            events: VecDeque::new(),
            servers,
            peers,
            discovery,
            merged_sources: MergedSources::new("discovery", trusting_limits()),
            discovery_mode: settings.discovery,
            max_attempts: settings.max_attempts as usize,
            subscription: Subscription::new(None),
            last_list_at: Instant::now(),
            discovery_call_scheduled: false,
            rng: fastrand::Rng::with_seed(seed),
            tx: tx.downgrade(),
            meter,
        }
    }

    /// Starts the balancer with the list of servers that the node already has.
    pub fn start(&mut self, known: &ServerList) {
        self.subscription = Subscription::new(known.revision);
        if self.discovery.is_some() {
            self.merged_sources.apply_list(&ServerList { complete: true, ..known.clone() });
        }
        let (_, members) = self.servers.apply_list(known);
        self.events.push_back(Event::Sync { kind: SyncKind::Cached, entries: members });
        self.due_queue.insert(DueItem::ConnectionCleanup, IDLE_SWEEP_INTERVAL);
        if self.discovery_mode == DiscoveryMode::Push {
            self.call_discovery();
        }
        self.process_events();
    }

    /// Handles messages and timers until all senders are dropped.
    pub async fn run(mut self, mut rx: mpsc::UnboundedReceiver<DriverMessage>) {
        loop {
            tokio::select! {
                msg = rx.recv() => match msg {
                    Some(msg) => self.handle_message(msg),
                    None => return,
                },
                Some(due) = std::future::poll_fn(|cx| self.due_queue.poll_expired(cx)) => {
                    self.handle_due(due.into_inner());
                }
            }
            self.process_events();
        }
    }

    /// Performs work that has fallen due.
    fn handle_due(&mut self, due: DueItem) {
        match due {
            DueItem::Timer(timer) => self.events.push_back(Event::Timer(timer)),
            DueItem::ConnectionCleanup => {
                self.servers.sweep_idle_connections();
                self.due_queue.insert(DueItem::ConnectionCleanup, IDLE_SWEEP_INTERVAL);
            }
            DueItem::CallDiscovery => {
                self.discovery_call_scheduled = false;
                self.ensure_discovery_call();
            }
            DueItem::HedgeDiscoveryCall(call) => self.hedge_discovery_call(call),
            DueItem::RequestOverdue(id) => self.respond_to_overdue(id),
        }
    }

    /// Handles a message, mostly by passing it to the balancer as an event.
    fn handle_message(&mut self, msg: DriverMessage) {
        match msg {
            DriverMessage::Request(arrival) => self.accept_request(*arrival),
            DriverMessage::ClientDisconnected(id) => self.client_disconnected(id),
            DriverMessage::AttemptClosed { id, attempt, result } => self.attempt_closed(id, attempt, result),
            DriverMessage::ProbeFinished { server, result, elapsed } => {
                let AttemptResult { outcome, load, .. } = result;
                let elapsed = elapsed.as_micros() as Micros;
                self.events.push_back(Event::Probed { server, outcome, elapsed, load });
            }
            DriverMessage::WatchUpdate { call, update } => self.handle_watch_update(call, update),
            DriverMessage::PeerMessage { from, data } => self.events.push_back(Event::Peer { from, data }),
            DriverMessage::MergedList(list) => {
                let (kind, members) = self.servers.apply_list(&list);
                self.events.push_back(Event::Sync { kind, entries: members });
            }
            DriverMessage::InspectServers(reply) => drop(reply.send(self.server_statuses())),
            DriverMessage::DiscoveryMoved(addr) => self.relocate_discovery(addr),
        }
    }

    /// Returns the status of all servers, with their attempts in flight and ejections.
    fn server_statuses(&self) -> Vec<ServerStatus> {
        let mut statuses = self.servers.server_statuses();
        let attempts = self.requests.values().flat_map(|request| request.attempts.iter().flatten());
        let mut in_flight: HashMap<&ServerId, usize> = HashMap::new();
        attempts.for_each(|attempt| *in_flight.entry(&attempt.server).or_default() += 1);
        let ejected: HashSet<&ServerId> = self.balancer.ejected_servers().collect();
        for (server, status) in &mut statuses {
            status.attempts_in_flight = in_flight.get(&*server).copied().unwrap_or(0);
            status.ejected = ejected.contains(&*server);
        }
        statuses.into_iter().map(|(_, status)| status).collect()
    }

    /// Passes pending events to the balancer and executes its actions until no event is left.
    fn process_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.balancer.on_event(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.execute_action(action);
            }
        }
    }

    /// Executes an action of the balancer.
    fn execute_action(&mut self, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send_attempt(request_number(&id), server, timeout),
            Action::Cancel { id, attempt } => self.cancel_attempt(request_number(&id), attempt),
            Action::Refuse { id, retry_after } => {
                let wait = (retry_after > 0).then(|| Duration::from_micros(retry_after));
                self.respond(request_number(&id), FinalResponse::Refused(wait));
            }
            Action::Fail { id } => self.respond(request_number(&id), FinalResponse::Failed),
            Action::Probe(server) => {
                let (servers, tx) = (self.servers.clone(), self.tx.upgrade());
                spawn_local(async move {
                    let sent = Instant::now();
                    let result = servers.probe(&server).await;
                    if let Some(tx) = tx {
                        let _ =
                            tx.send(DriverMessage::ProbeFinished { server, result, elapsed: sent.elapsed() });
                    }
                });
            }
            Action::CloseIdle(server) => self.servers.close_idle_connections(&server),
            Action::SetTimer { delay, timer } => {
                self.due_queue.insert(DueItem::Timer(timer), Duration::from_micros(delay));
            }
            Action::Subscribe => self.ensure_discovery_call(),
            Action::Tell { peer, data } => {
                if let Some(peers) = &self.peers {
                    peers.send(peer, &data);
                }
            }
            Action::Log(line) => tracing::info!("{line}"),
        }
    }
}

#[cfg(test)]
mod tests;
