//! Simulates many nodes and one server in slow start in small steps. No node sees what the others send it.

use std::collections::VecDeque;

use super::*;

pub const STEP: Micros = 5_000;
const RESPONSE_TIME: Micros = 20_000;
/// Time at which the server starts, after the nodes have measured their traffic.
const SERVER_START: Micros = 105 * SECOND;
const SIMULATION_START: Micros = 100 * SECOND;

/// A fleet, its load and its faults.
#[derive(Clone)]
pub struct SlowStartCase {
    pub nodes: usize,
    pub servers: u32,
    /// Requests of mean work per second that a warmed-up server can serve, and the fraction of that capacity
    /// that is requested.
    pub capacity: f64,
    pub load_fraction: f64,
    pub overload_multiple: f64,
    /// The window within which a server in slow start is overloaded.
    pub overload_window: Micros,
    /// Fraction of the traffic that is for keys of the starting server.
    pub hot_fraction: f64,
    /// Factor of the traffic between two times after the start. The additional traffic is for keys of the
    /// starting server.
    pub burst: (f64, Micros, Micros),
    /// The nodes learn of the start at random times within this span.
    pub notification_spread: Micros,
    /// The server refuses connections until this time after its start.
    pub refuses_connections_until: Micros,
    /// A tenth of the nodes restarts each second.
    pub restarts_nodes: bool,
    /// Number of other servers that are removed from the list, and the time after the start.
    pub removed_servers: (u32, Micros),
    /// Capacity of the server at its start, and when it is warmed up, as in the settings.
    pub initial_capacity: f64,
    pub slow_start_window: Micros,
    /// Simulated time from the start on.
    pub duration: Micros,
}

impl SlowStartCase {
    pub fn new(nodes: usize, servers: u32, capacity: f64) -> Self {
        SlowStartCase {
            nodes,
            servers,
            capacity,
            load_fraction: 0.8,
            overload_multiple: 1.5,
            overload_window: SECOND,
            hot_fraction: 0.0,
            burst: (1.0, 0, 0),
            notification_spread: STEP,
            refuses_connections_until: 0,
            restarts_nodes: false,
            removed_servers: (0, 0),
            initial_capacity: 0.2,
            slow_start_window: 10 * SECOND,
            duration: 9 * SECOND,
        }
    }

    fn settings(&self) -> BalancerSettings {
        BalancerSettings {
            overload_multiple: self.overload_multiple,
            overload_window: self.overload_window,
            initial_capacity: self.initial_capacity,
            slow_start_window: self.slow_start_window,
            node_count: self.nodes as u32,
            ..settings()
        }
    }

    fn listed_servers(&self, is_notified: bool) -> Vec<ListedServer> {
        let started_at = if is_notified { SERVER_START } else { 0 };
        (0..self.servers)
            .map(|s| ListedServer { started_at: if s == 0 { started_at } else { 0 }, ..listed_server(s) })
            .collect()
    }

    /// Simulates the fleet and returns the requests that reach the starting server: the time after its start,
    /// and whether the sender had been notified of the start.
    pub fn simulate(&self, seed: u64) -> Vec<(Micros, bool)> {
        let hot_keys = self.keys_of_starting_server();
        let start_node = |now: Micros, n: usize, is_notified: bool| {
            let mut node = Node { balancer: Balancer::new(self.settings(), seed + n as u64 + now), now };
            node.sync(SyncKind::Cached, self.listed_servers(is_notified));
            node
        };
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut nodes: Vec<Node> = (0..self.nodes).map(|n| start_node(SIMULATION_START, n, false)).collect();
        let notified_at: Vec<Micros> =
            nodes.iter().map(|_| SERVER_START + rng.u64(..self.notification_spread)).collect();
        let (mut due_requests, mut number) = (0.0, 0);
        let mut responses: VecDeque<(Micros, usize, u64, ServerId, Outcome)> = VecDeque::new();
        let mut arrivals = Vec::new();
        for now in (SIMULATION_START..SERVER_START + self.duration).step_by(STEP as usize) {
            let age = now.saturating_sub(SERVER_START);
            for (n, node) in nodes.iter_mut().enumerate() {
                let is_notified = now >= notified_at[n];
                if self.restarts_nodes && is_notified && (age + n as u64 * SECOND / 10) % (10 * SECOND) < STEP
                {
                    *node = start_node(now, n, true);
                }
                node.now = now;
                if (now + n as u64 * STEP) % 100_000 < STEP {
                    node.event(Event::Timer(TimerId(1)));
                }
                if is_notified && now - notified_at[n] < STEP {
                    node.sync(
                        SyncKind::Delta,
                        vec![ListedServer { started_at: SERVER_START, ..listed_server(0) }],
                    );
                }
                if self.removed_servers.0 > 0 && now == SERVER_START + self.removed_servers.1 {
                    let removed = |s| ListedServer { state: ServerState::Terminated, ..listed_server(s) };
                    node.sync(SyncKind::Delta, (1..=self.removed_servers.0).map(removed).collect());
                }
            }
            while responses.front().is_some_and(|response| response.0 <= now) {
                let (_, n, id, server, outcome) = responses.pop_front().expect("a response");
                let actions = nodes[n].close_attempt(id, 0, &server, outcome);
                if let Some(server) = sent_to(&actions) {
                    nodes[n].close_attempt(id, 1, &server, Outcome::Ok);
                }
            }
            let in_burst = now >= SERVER_START + self.burst.1 && now < SERVER_START + self.burst.2;
            let load_multiple = if in_burst { self.burst.0 } else { 1.0 };
            let current_hot_fraction =
                if in_burst { 1.0 - (1.0 - self.hot_fraction) / self.burst.0 } else { self.hot_fraction };
            let rate = self.capacity * self.load_fraction * f64::from(self.servers);
            due_requests += load_multiple * rate * STEP as f64 / SECOND as f64;
            while due_requests >= rng.f64() * 2.0 {
                (due_requests, number) = (due_requests - 1.0, number + 1);
                let key = if rng.f64() < current_hot_fraction {
                    hot_keys[rng.usize(..hot_keys.len())]
                } else {
                    rng.u64(1_000_000..1_000_000_000)
                };
                let n = rng.usize(..self.nodes);
                let Some(server) = sent_to(&nodes[n].send_request(number, 0, key)) else { continue };
                let to_starting_server = server == ServerId::from_number(0) && now >= SERVER_START;
                let refused = to_starting_server && age < self.refuses_connections_until;
                let outcome = if refused { Outcome::ConnectFailed } else { Outcome::Ok };
                responses.push_back((now + RESPONSE_TIME, n, number, server, outcome));
                if to_starting_server && !refused {
                    arrivals.push((age, now >= notified_at[n]));
                }
            }
        }
        arrivals
    }

    fn keys_of_starting_server(&self) -> Vec<u64> {
        let mut node = Node::with_servers(self.servers);
        let last = u64::from(self.servers) * 20;
        (0..last).filter(|&key| node.route_request(key, 0, key) == ServerId::from_number(0)).collect()
    }

    /// Finds an overload of the server in slow start: the first window with more requests than the server
    /// withstands, if over two thirds of them came from notified nodes. The number that it withstands is
    /// computed at the start of the window.
    pub fn find_overload(&self, arrivals: &[(Micros, bool)]) -> Option<String> {
        let settings = self.settings();
        arrivals.iter().enumerate().find_map(|(i, &(from, _))| {
            let allowed = max_arrivals(&settings, self.capacity, from);
            let within = || arrivals[i..].iter().take_while(|&&(at, _)| at < from + self.overload_window);
            let (all, informed) = (within().count(), within().filter(|&&(_, notified)| notified).count());
            let overloads = all as f64 > allowed && informed * 3 > all * 2;
            overloads
                .then(|| format!("{all} of {allowed:.1} from {from} us on, {informed} by nodes that knew"))
        })
    }
}

/// How many requests a server withstands within the overload window at this time after its start, if it
/// serves `capacity` requests of mean work per second once warmed up.
pub fn max_arrivals(settings: &BalancerSettings, capacity: f64, age: Micros) -> f64 {
    let progress = (age as f64 / settings.slow_start_window as f64).min(1.0);
    let available_capacity = settings.initial_capacity + (1.0 - settings.initial_capacity) * progress;
    let window = settings.overload_window as f64 / SECOND as f64;
    let expected = settings.overload_multiple * available_capacity * capacity * window;
    expected + 2.0 * expected.sqrt() + 2.0
}
