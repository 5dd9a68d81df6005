//! Decides what a node does with its requests; `src/api.rs` holds the settings, events and actions.
//!
//! A request's key selects a slot of the Maglev table, and the owner of that slot serves the request. If that
//! owner cannot take the request, the request walks on from its slot to the next owner that can: see
//! `Balancer::choose_server`.

mod concurrency_limit;
mod health;
mod idle_connections;
mod outcome;
mod requests;
mod retry;
mod routing;
mod server;
mod server_kinds;
mod slow_start;
mod table;

use std::collections::{BTreeMap, HashMap, VecDeque};

use fastrand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use self::{
    concurrency_limit::*, health::*, requests::*, retry::*, routing::*, server::*, server_kinds::*,
    slow_start::*, table::*,
};
use crate::api::*;

pub use table::{build_table, TABLE_SLOTS};

/// Interval between two checks of all servers.
const SWEEP_INTERVAL: Micros = 100_000;
const SWEEP_TIMER: TimerId = TimerId(1);
const SUBSCRIBE_TIMER: TimerId = TimerId(2);
/// A timer with this id plus a key marks the end of that key's settle time.
const KEY_SETTLE_TIMER_BASE: u64 = 16;

/// Latency and traffic of a class.
struct ClassStats {
    mean_latency: f64,
    /// Decayed counts of requests within and beyond their tenant's quota.
    request_counts: [f64; 2],
    /// Smoothed fraction of responses of all servers that were errors.
    error_rate: f64,
}

/// Statistics of this node's traffic over all classes and servers.
#[derive(Default)]
struct TrafficStats {
    /// Smoothed fraction of attempts that were answered late or not at all.
    late_rate: f64,
    /// Smoothed fraction of answered or failed attempts that failed.
    failure_rate: f64,
    /// Smoothed fraction of attempts that got no connection.
    connect_failure_rate: f64,
    /// Smoothed latency relative to the mean latencies of the classes.
    latency_ratio: f64,
    /// Fraction of slots on which servers of the node's own zone go first.
    local_zone_share: f64,
    /// Smoothed latency ratios of the own zone's servers and of the others.
    zone_latency_ratios: [f64; 2],
    /// Maximum number of requests that this node keeps in flight; infinite until the first sign of overload.
    concurrency_limit: f64,
    /// Smoothed number of requests in flight.
    smoothed_in_flight: f64,
    /// Requests in flight at ejected servers. They do not count against the limit, since the other servers
    /// have capacity for as many.
    ejected_in_flight: u32,
    /// Fraction of the fleet, by weight, that is ejected.
    ejected_fraction: f64,
    /// Whether so much of the fleet is ejected that ejections are ignored.
    panic_mode: bool,
    /// Weights of the servers in use, adjusted by kind and slow start. It falls no faster than the served
    /// count decays; otherwise each server of a shrinking fleet would seem to serve more than it does.
    serving_capacity: f64,
    /// Decayed count of requests received.
    request_count: f64,
    /// Decayed count of attempts sent.
    sent_count: f64,
    /// Decayed count of attempts served.
    served_count: f64,
}

/// Makes the decisions of one node for one pool.
pub struct Balancer {
    settings: BalancerSettings,
    rng: Rng,
    now: Micros,
    servers: Vec<Server>,
    server_indices: HashMap<ServerId, usize>,
    kinds: Vec<ServerKind>,
    table: Vec<u32>,
    table_is_stale: bool,
    total_weight: f64,
    in_flight: u32,
    requests: HashMap<RequestId, PendingRequest>,
    key_queues: BTreeMap<Key, KeyQueue>,
    class_stats: Vec<ClassStats>,
    tenant_request_counts: Vec<f64>,
    key_counts: Vec<KeyCount>,
    /// Time that the decayed counts cover, in seconds.
    stats_window_s: f64,
    retry_budget: f64,
    traffic: TrafficStats,
    started: bool,
    subscribed: bool,
    /// Time of the next subscription. Timers set after earlier failures still expire and then do nothing.
    subscribe_due: Option<Micros>,
}

impl Balancer {
    /// Creates a balancer. `seed` feeds its random choices and nothing that the nodes must agree on.
    pub fn new(settings: BalancerSettings, seed: u64) -> Self {
        let initial_stats = |c: &RequestClass| ClassStats {
            mean_latency: c.target_latency as f64 / 4.0,
            request_counts: [0.0; 2],
            error_rate: 0.0,
        };
        let local_zone_share = f64::from(u8::from(settings.cross_zone_price >= CROSS_ZONE_PRICE_THRESHOLD));
        Balancer {
            tenant_request_counts: vec![0.0; settings.tenants.len()],
            rng: Rng::with_seed(seed),
            now: 0,
            servers: Vec::new(),
            server_indices: HashMap::new(),
            kinds: Vec::new(),
            table: Vec::new(),
            table_is_stale: false,
            total_weight: 0.0,
            in_flight: 0,
            requests: HashMap::new(),
            key_queues: BTreeMap::new(),
            class_stats: settings.classes.iter().map(initial_stats).collect(),
            key_counts: Vec::new(),
            stats_window_s: 1.0,
            retry_budget: MAX_RETRY_BUDGET,
            traffic: TrafficStats {
                concurrency_limit: f64::INFINITY,
                latency_ratio: 1.0,
                zone_latency_ratios: [1.0; 2],
                local_zone_share,
                ..TrafficStats::default()
            },
            started: false,
            subscribed: false,
            subscribe_due: None,
            settings,
        }
    }

    /// The servers that are ejected now, for status reports.
    pub fn ejected_servers(&self) -> impl Iterator<Item = &ServerId> + '_ {
        self.servers
            .iter()
            .filter(|server| server.ejected_until.is_some())
            .map(|server| &server.listed.server)
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn on_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Sync { kind, entries } => self.on_sync(kind, entries, out),
            Event::Request(request) => self.on_request(request, out),
            Event::Closed(closed) => self.on_closed(closed, out),
            Event::Lapsed(id) => self.end_request(id, out),
            Event::Probed { server, outcome, .. } => self.on_probed(server, outcome),
            Event::Timer(SWEEP_TIMER) => self.sweep(out),
            Event::Timer(TimerId(n)) if n >= KEY_SETTLE_TIMER_BASE => {
                self.dispatch_key_queue(Key(n - KEY_SETTLE_TIMER_BASE), out)
            }
            Event::Timer(SUBSCRIBE_TIMER) => self.on_subscribe_timer(out),
            Event::Timer(_) | Event::Started { .. } | Event::Peer { .. } => {}
        }
    }

    /// Random duration between 0.5 and 1.5 times `duration`, so that nodes do not act in lockstep.
    fn jitter(&mut self, duration: Micros) -> Micros {
        duration / 2 + self.rng.u64(0..=duration)
    }
}
