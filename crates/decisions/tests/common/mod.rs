//! A node under test, and helpers for the tests.
#![allow(dead_code)]

pub mod fleet;
pub mod host;
pub mod random_events;

use woodgap_decisions::*;

pub const SECOND: Micros = 1_000_000;

/// Indices of the classes of [`settings`].
pub const SAFE: usize = 0;
pub const UNSAFE: usize = 1;
pub const KEYED_CELL: usize = 2;
pub const KEYED_ALL: usize = 3;

pub fn request_class(semantics: Semantics) -> RequestClass {
    RequestClass {
        target_latency: 500_000,
        deadline: 2 * SECOND,
        worth: 1.0,
        late_worth_share: 0.2,
        semantics,
        in_order: false,
    }
}

pub fn settings() -> BalancerSettings {
    BalancerSettings {
        classes: vec![
            request_class(Semantics::Safe),
            request_class(Semantics::Unsafe),
            request_class(Semantics::Keyed { scope: KeyScope::Cell, ttl: SECOND }),
            request_class(Semantics::Keyed { scope: KeyScope::All, ttl: SECOND }),
        ],
        weight_source: WeightSource::Nominal,
        key_affinity: true,
        can_cancel: true,
        allows_hedging: true,
        max_attempts: 3,
        initial_capacity: 0.2,
        slow_start_window: 10 * SECOND,
        overload_multiple: 3.0,
        ..BalancerSettings::default()
    }
}

pub fn listed_server(server: u32) -> ListedServer {
    ListedServer {
        server: ServerId::from_number(server),
        zone: ZoneId(u64::from(server % 2)),
        kind: KindId::default(),
        cell: CellId(u64::from(server / 4)),
        state: ServerState::InService,
        weight: 1.0,
        started_at: 0,
    }
}

pub fn request_id(n: u64) -> RequestId {
    let mut bytes = [b'0'; 36];
    bytes[..20].copy_from_slice(format!("{n:020}").as_bytes());
    RequestId(bytes)
}

pub fn new_request(n: u64, class: usize, key: u64) -> Request {
    Request {
        id: request_id(n),
        timeout: SECOND,
        class: ClassId(class),
        cost: None,
        is_retry: false,
        tenant: None,
        key: Some(Key(key)),
    }
}

pub struct Node {
    pub balancer: Balancer,
    pub now: Micros,
}

impl Node {
    pub fn new(settings: BalancerSettings, entries: Vec<ListedServer>) -> Self {
        let mut node = Node { balancer: Balancer::new(settings, 1), now: 100 * SECOND };
        node.event(Event::Sync { kind: SyncKind::Cached, entries });
        node
    }

    pub fn with_servers(servers: u32) -> Self {
        Node::new(settings(), (0..servers).map(listed_server).collect())
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.balancer.on_event(self.now, event, &mut out);
        out
    }

    pub fn send_request(&mut self, n: u64, class: usize, key: u64) -> Vec<Action> {
        self.event(Event::Request(new_request(n, class, key)))
    }

    /// Sends a request and returns the server that its attempt went to.
    pub fn route_request(&mut self, n: u64, class: usize, key: u64) -> ServerId {
        let actions = self.send_request(n, class, key);
        sent_to(&actions).unwrap_or_else(|| panic!("not sent: {actions:?}"))
    }

    pub fn close_attempt(
        &mut self,
        n: u64,
        attempt: u32,
        server: &ServerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.close_attempt_after(n, attempt, server, outcome, 20_000)
    }

    pub fn close_attempt_after(
        &mut self,
        n: u64,
        attempt: u32,
        server: &ServerId,
        outcome: Outcome,
        elapsed: Micros,
    ) -> Vec<Action> {
        let (id, server, done) = (request_id(n), server.clone(), outcome == Outcome::Ok);
        self.event(Event::Closed(Closed { id, attempt, server, outcome, elapsed, done, load: vec![] }))
    }

    pub fn sync(&mut self, kind: SyncKind, entries: Vec<ListedServer>) -> Vec<Action> {
        self.event(Event::Sync { kind, entries })
    }

    /// Advances the time as a host would: the sweep timer expires on the way.
    pub fn advance(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now += 100_000;
            self.event(Event::Timer(TimerId(1)));
        }
    }
}

pub fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(server.clone()),
        _ => None,
    })
}

pub fn is_refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// Sends `count` requests within a second, ends their attempts with the outcome after `elapsed`, and returns
/// how many requests were refused.
pub fn simulate_second(node: &mut Node, base: u64, count: u64, outcome: Outcome, elapsed: Micros) -> u64 {
    let mut refusals = 0;
    for n in base..base + count {
        node.now += SECOND / count;
        match sent_to(&node.send_request(n, UNSAFE, n)) {
            Some(server) => {
                node.close_attempt_after(n, 0, &server, outcome, elapsed);
            }
            None => refusals += 1,
        }
    }
    refusals
}
