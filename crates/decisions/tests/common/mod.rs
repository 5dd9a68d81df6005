//! A node under test, and the short names that the tests use.
#![allow(dead_code)]

pub mod days;
pub mod fleet;
pub mod host;

use woodgap_decisions::*;

pub const SECOND: Micros = 1_000_000;

pub fn class(semantics: Semantics) -> Class {
    Class { aim: 500_000, deadline: 2 * SECOND, points: 1.0, late_share: 0.2, semantics, in_order: false }
}

pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Semantics::Safe),
            class(Semantics::Unsafe),
            class(Semantics::Keyed { scope: KeyScope::Cell, ttl: SECOND }),
            class(Semantics::Keyed { scope: KeyScope::All, ttl: SECOND }),
        ],
        weight_source: WeightSource::Nominal,
        warm_keys: true,
        cancelling: true,
        second_copies: true,
        max_attempts: 3,
        start_capacity: 0.2,
        ramp_time: 10 * SECOND,
        fall_multiple: 3.0,
        ..Settings::default()
    }
}

pub fn member(server: u32) -> Member {
    Member {
        server: ServerId(server),
        zone: ZoneId(u64::from(server % 2)),
        kind: KindId::default(),
        cell: CellId(u64::from(server / 4)),
        state: ServerState::InService,
        size: 1.0,
        since: 0,
    }
}

pub fn id(n: u64) -> RequestId {
    let mut bytes = [b'0'; 36];
    bytes[..20].copy_from_slice(format!("{n:020}").as_bytes());
    RequestId(bytes)
}

pub fn request(n: u64, class: usize, key: u64) -> Request {
    Request {
        id: id(n),
        patience: SECOND,
        class: ClassId(class),
        cost: None,
        repeat: false,
        tenant: None,
        key: Some(Key(key)),
    }
}

pub struct Node {
    pub balancer: Balancer,
    pub now: Micros,
}

impl Node {
    pub fn new(settings: Settings, members: Vec<Member>) -> Self {
        let mut node = Node { balancer: Balancer::new(settings, 1), now: 100 * SECOND };
        node.event(Event::Sync { kind: SyncKind::Cached, members });
        node
    }

    pub fn fleet(servers: u32) -> Self {
        Node::new(settings(), (0..servers).map(member).collect())
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.balancer.on_event(self.now, event, &mut out);
        out
    }

    pub fn ask(&mut self, n: u64, class: usize, key: u64) -> Vec<Action> {
        self.event(Event::Request(request(n, class, key)))
    }

    /// Asks and tells where the attempt went.
    pub fn place(&mut self, n: u64, class: usize, key: u64) -> ServerId {
        let actions = self.ask(n, class, key);
        sent(&actions).unwrap_or_else(|| panic!("not sent: {actions:?}"))
    }

    pub fn close(&mut self, n: u64, attempt: u32, server: ServerId, outcome: Outcome) -> Vec<Action> {
        self.close_after(n, attempt, server, outcome, 20_000)
    }

    pub fn close_after(
        &mut self,
        n: u64,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        spent: Micros,
    ) -> Vec<Action> {
        let (id, done) = (id(n), outcome == Outcome::Ok);
        self.event(Event::Closed(Closed { id, attempt, server, outcome, spent, done, load: vec![] }))
    }

    pub fn sync(&mut self, kind: SyncKind, members: Vec<Member>) -> Vec<Action> {
        self.event(Event::Sync { kind, members })
    }

    /// Lets time pass as a host would: the look-over timer fires on its way.
    pub fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += 100_000;
            self.event(Event::Timer(TimerId(1)));
        }
    }
}

pub fn sent(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}
