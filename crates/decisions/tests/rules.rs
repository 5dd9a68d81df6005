//! The four rules over random legal sequences of events, as far as one node can see them.
//!
//! The host here keeps the books of a legal host: what is out, what has ended, which timers run.
//! It models no server: what comes of an attempt is drawn at random.

mod common;

use std::collections::BTreeMap;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use woodgap_decisions::*;

/// One step of a random day.
#[derive(Clone, Debug)]
enum Step {
    Ask { class: usize, key: u64, patience: Micros },
    Close { pick: usize, outcome: u8 },
    Lapse { pick: usize },
    List { full: bool, servers: Vec<(u32, u8)> },
    ListFails,
    Probe { server: u32, ok: bool },
    Wait { span: Micros },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4usize, prop_oneof![0..4u64, 0..40u64], 1..3 * SECOND)
            .prop_map(|(class, key, patience)| Step::Ask { class, key, patience }),
        6 => (any::<usize>(), 0..7u8).prop_map(|(pick, outcome)| Step::Close { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Step::Lapse { pick }),
        1 => (any::<bool>(), prop::collection::vec((0..12u32, 0..5u8), 0..12))
            .prop_map(|(full, servers)| Step::List { full, servers }),
        1 => Just(Step::ListFails),
        1 => (0..12u32, any::<bool>()).prop_map(|(server, ok)| Step::Probe { server, ok }),
        4 => (1..400_000u64).prop_map(|span| Step::Wait { span }),
    ]
}

struct Sent {
    member: Member,
    at: Micros,
    ends: Micros,
    /// `None` while it is out, then whether it may have run.
    ran: Option<bool>,
}

struct Held {
    class: usize,
    /// Its key, where its class runs in order.
    ordered: Option<u64>,
    deadline: Micros,
    sent: Vec<Sent>,
    ended: bool,
}

struct Host {
    node: Node,
    settings: Settings,
    held: BTreeMap<u64, Held>,
    members: BTreeMap<u32, Member>,
    timers: BTreeMap<(Micros, u64), TimerId>,
    /// Until when a key rests.
    rests: BTreeMap<u64, Micros>,
    next: u64,
    finals: u64,
}

impl Host {
    fn new(settings: Settings) -> Self {
        let mut host = Host {
            node: Node { balancer: Balancer::new(settings.clone(), 3), now: 50 * SECOND },
            settings,
            held: BTreeMap::new(),
            members: BTreeMap::new(),
            timers: BTreeMap::new(),
            rests: BTreeMap::new(),
            next: 0,
            finals: 0,
        };
        host.list(SyncKind::Cached, (0..6).map(member).collect());
        host
    }

    fn number(id: RequestId) -> u64 {
        std::str::from_utf8(&id.0[..20]).unwrap().parse().unwrap()
    }

    fn event(&mut self, event: Event) {
        let actions = self.node.event(event);
        for action in actions {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        let now = self.node.now;
        match action {
            Action::Send { id, server, limit } => {
                let member = self.members.get(&server.0).expect("on the list").clone();
                assert_eq!(member.state, ServerState::InService, "drains are kept");
                let n = Self::number(id);
                if let Some(key) = self.held[&n].ordered {
                    let mut earlier = self.held.range(..n).filter(|(_, h)| h.ordered == Some(key));
                    assert!(earlier.all(|(_, h)| h.ended && h.sent.iter().all(|s| s.ran.is_some())), "order");
                    let rest = self.rests.get(&key).is_some_and(|rest| now < *rest);
                    assert!(!rest || !self.held[&n].sent.is_empty(), "the key rests");
                }
                let held = self.held.get_mut(&n).expect("known");
                assert!(!held.ended, "nothing goes out for what has ended");
                assert!(limit > 0 && now + limit <= held.deadline, "in time");
                assert!(held.sent.len() < self.settings.max_attempts as usize);
                let out = held.sent.iter().any(|s| s.ran.is_none());
                assert!(!out || self.settings.second_copies, "two copies at once");
                let first = held.sent.iter().find(|s| s.ran != Some(false));
                if let Some(first) = first {
                    match self.settings.classes[held.class].semantics {
                        Semantics::Safe => {}
                        Semantics::Unsafe => panic!("an effect may happen twice"),
                        Semantics::Keyed { scope, ttl } => {
                            assert!(now <= first.at + ttl, "past the time it is remembered");
                            match scope {
                                KeyScope::All => {}
                                KeyScope::Zone => assert_eq!(first.member.zone, member.zone),
                                KeyScope::Cell => assert_eq!(first.member.cell, member.cell),
                            }
                        }
                    }
                }
                held.sent.push(Sent { member, at: now, ends: now + limit, ran: None });
            }
            Action::Refuse { id, .. } => {
                let held = self.held.get_mut(&Self::number(id)).expect("known");
                assert!(!held.ended, "one final answer");
                let lawful = match self.settings.classes[held.class].semantics {
                    Semantics::Safe | Semantics::Keyed { scope: KeyScope::All, .. } => true,
                    _ => held.sent.iter().all(|s| s.ran == Some(false)),
                };
                assert!(lawful, "a refusal says that trying again is harmless");
                held.ended = true;
                self.finals += 1;
            }
            Action::Fail { id } => {
                let held = self.held.get_mut(&Self::number(id)).expect("known");
                assert!(!held.ended, "one final answer");
                held.ended = true;
                self.finals += 1;
            }
            Action::Cancel { id, attempt } => {
                assert!(self.settings.cancelling);
                let held = &self.held[&Self::number(id)];
                assert!((attempt as usize) < held.sent.len(), "an attempt that was made");
            }
            Action::SetTimer { delay, timer } => {
                self.next += 1;
                self.timers.insert((now + delay, self.next), timer);
            }
            Action::Probe(server) => {
                assert!(self.settings.may_probe);
                assert!(self.members.contains_key(&server.0));
            }
            Action::Tell { data, .. } => {
                assert!(data.len() <= 256, "longer than a message");
            }
            Action::CloseIdle(_) | Action::Subscribe | Action::Log(_) => {}
        }
    }

    fn list(&mut self, kind: SyncKind, members: Vec<Member>) {
        if kind != SyncKind::Delta {
            self.members.values_mut().for_each(|m| m.state = ServerState::Terminated);
        }
        for member in &members {
            self.members.insert(member.server.0, member.clone());
        }
        self.event(Event::Sync { kind, members });
    }

    fn out(&self) -> Vec<(u64, usize)> {
        let all = self.held.iter().flat_map(|(n, h)| {
            h.sent.iter().enumerate().filter(|(_, s)| s.ran.is_none()).map(move |(a, _)| (*n, a))
        });
        all.collect()
    }

    fn close(&mut self, n: u64, attempt: usize, outcome: Outcome) {
        let held = self.held.get_mut(&n).unwrap();
        let done = held.ended || outcome == Outcome::Ok;
        held.ended = done;
        let sent = &mut held.sent[attempt];
        sent.ran = Some(match outcome {
            Outcome::Full => self.settings.full_may_have_run,
            Outcome::ConnectFailed | Outcome::Moot => false,
            _ => true,
        });
        if let Some(key) = held.ordered.filter(|_| matches!(outcome, Outcome::Timeout | Outcome::Reset)) {
            self.rests.insert(key, self.node.now + self.settings.settle_after_doubt);
        }
        let (server, spent) = (sent.member.server, self.node.now - sent.at);
        let (id, attempt, load) = (id(n), attempt as u32, vec![]);
        self.event(Event::Closed(Closed { id, attempt, server, outcome, spent, done, load }));
    }

    /// Runs timers and time-outs that fall due on the way, in their order.
    fn wait(&mut self, span: Micros) {
        let end = self.node.now + span;
        loop {
            let timer = self.timers.keys().next().copied();
            let attempt = self.out().into_iter().min_by_key(|&(n, a)| self.held[&n].sent[a].ends);
            let ends = attempt.map(|(n, a)| self.held[&n].sent[a].ends);
            let due = timer.map_or(u64::MAX, |t| t.0).min(ends.unwrap_or(u64::MAX));
            if due > end {
                break;
            }
            self.node.now = self.node.now.max(due);
            if ends == Some(due) {
                let (n, a) = attempt.unwrap();
                self.close(n, a, Outcome::Timeout);
            } else if let Some(timer) = timer.and_then(|t| self.timers.remove(&t)) {
                self.event(Event::Timer(timer));
            }
        }
        self.node.now = end;
        let now = self.node.now;
        assert!(self.held.values().all(|h| h.ended || h.deadline > now), "an answer is overdue");
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Ask { class, key, patience } => {
                self.next += 1;
                let n = self.next;
                let deadline = self.node.now + patience;
                let ordered = self.settings.classes[class].in_order.then_some(key);
                self.held.insert(n, Held { class, ordered, deadline, sent: Vec::new(), ended: false });
                self.event(Event::Request(Request { patience, ..request(n, class, key) }));
                let held = &self.held[&n];
                assert!(held.ended || !held.sent.is_empty() || ordered.is_some(), "held for no reason");
            }
            Step::Close { pick, outcome } => {
                let out = self.out();
                if out.is_empty() {
                    return;
                }
                let (n, attempt) = out[pick % out.len()];
                let outcome = [
                    Outcome::Ok,
                    Outcome::Error,
                    Outcome::Full,
                    Outcome::Timeout,
                    Outcome::ConnectFailed,
                    Outcome::Reset,
                    Outcome::Ok,
                ][usize::from(outcome)];
                self.close(n, attempt, outcome);
            }
            Step::Lapse { pick } => {
                let open: Vec<u64> = self.held.iter().filter(|(_, h)| !h.ended).map(|(n, _)| *n).collect();
                if !open.is_empty() {
                    let n = open[pick % open.len()];
                    self.held.get_mut(&n).unwrap().ended = true;
                    self.event(Event::Lapsed(id(n)));
                }
            }
            Step::List { full, servers } => {
                let now = self.node.now;
                let mut members = BTreeMap::new();
                for (server, state) in servers {
                    let state = match state {
                        0 => ServerState::Terminating,
                        1 if !full => ServerState::Terminated,
                        _ => ServerState::InService,
                    };
                    let since = if server % 3 == 0 { now } else { 0 };
                    members.insert(server, Member { state, since, ..member(server) });
                }
                let kind = if full { SyncKind::Full } else { SyncKind::Delta };
                self.list(kind, members.into_values().collect());
            }
            Step::ListFails => self.event(Event::Sync { kind: SyncKind::Failed, members: vec![] }),
            Step::Probe { server, ok } => {
                let outcome = if ok { Outcome::Ok } else { Outcome::Timeout };
                let (server, load) = (ServerId(server), vec![]);
                self.event(Event::Probed { server, outcome, spent: 1_000, load });
            }
            Step::Wait { span } => self.wait(span),
        }
    }
}

fn days(settings: Settings) {
    let config = Config { cases: 96, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let finals = std::cell::Cell::new(0);
    runner
        .run(&prop::collection::vec(step(), 1..300), |steps| {
            let mut host = Host::new(settings.clone());
            for step in steps {
                host.step(step);
            }
            host.wait(10 * SECOND);
            assert!(host.held.values().all(|h| h.ended), "something is still held");
            finals.set(finals.get().max(host.finals));
            Ok(())
        })
        .unwrap();
    assert!(finals.get() > 0, "the days end requests in all ways");
}

#[test]
fn with_second_copies_and_push() {
    days(settings());
}

#[test]
fn in_order_classes_and_full_as_no_proof() {
    let mut settings = Settings { settle_after_doubt: 200_000, full_may_have_run: true, ..settings() };
    settings.classes[1].in_order = true;
    settings.classes[2].in_order = true;
    settings.classes[2].semantics = Semantics::Keyed { scope: KeyScope::Zone, ttl: SECOND };
    days(settings.clone());
    days(Settings { full_may_have_run: false, cancelling: false, second_copies: false, ..settings });
}

#[test]
fn one_copy_at_a_time_with_probes_and_ask() {
    days(Settings {
        second_copies: false,
        cancelling: false,
        may_probe: true,
        discovery: Discovery::Ask,
        group_size: 60,
        ..settings()
    });
}

#[test]
fn identical_events_give_identical_actions() {
    let run = || {
        let mut node = Node::fleet(9);
        let mut all = Vec::new();
        for n in 0..500 {
            let actions = node.ask(n, (n % 4) as usize, n % 17);
            if let Some(server) = sent(&actions) {
                all.extend(node.close(n, 0, server, [Outcome::Ok, Outcome::Full][n as usize % 2]));
            }
            all.extend(actions);
            node.pass(50_000);
        }
        all
    };
    assert_eq!(run(), run());
}

/// Rule 4, as far as a node alone can keep it: in each window what it sends a cold server stays under
/// the fall multiple of the capacity that the server surely has, by the part of a warm one of its size,
/// also when much of the fleet is cold at once and one key brings much of the traffic.
#[test]
fn cold_servers_are_sent_less_than_topples_them() {
    for (cold, multiple) in [(1, 1.5), (4, 1.5), (8, 1.5), (8, 3.0), (11, 1.5)] {
        let mut members: Vec<Member> = (0..12).map(member).collect();
        members[..cold].iter_mut().for_each(|m| m.since = 100 * SECOND);
        let settings = Settings { fall_multiple: multiple, ..settings() };
        let mut node = Node::new(settings.clone(), members);
        for window in 0..9 {
            let (per_window, mut counts) = (2_000u64, [0u32; 12]);
            for n in 0..per_window {
                node.pass(if n % 200 == 0 { 100_000 } else { 0 });
                let n = window * per_window + n;
                let Some(server) = sent(&node.ask(n, SAFE_CLASS, if n % 5 == 0 { 7 } else { n })) else {
                    continue;
                };
                counts[server.0 as usize] += 1;
                node.close(n, 0, server, Outcome::Ok);
            }
            // The requests are what the fleet does when it is warm.
            let warmth = settings.start_capacity + (1.0 - settings.start_capacity) * window as f64 / 10.0;
            let most = multiple * warmth * per_window as f64 / 12.0;
            for count in &counts[..cold] {
                assert!(f64::from(*count) < most, "{cold} cold, window {window}: {count} of at most {most}");
            }
        }
    }
}

const SAFE_CLASS: usize = 0;

/// A subscription that is refused or cut is asked for again, with a pause, well inside the bound.
#[test]
fn a_node_that_must_ask_never_goes_long_without_asking() {
    let settings = Settings { discovery: Discovery::Ask, group_size: 60, ..settings() };
    let mut node = Node { balancer: Balancer::new(settings.clone(), 9), now: SECOND };
    let mut first = node.sync(SyncKind::Cached, vec![member(1)]);
    for _ in 0..12 {
        let due = first.iter().find_map(|a| match a {
            Action::SetTimer { delay, timer: TimerId(2) } => Some(*delay),
            _ => None,
        });
        let due = due.expect("a timer to ask by");
        assert!(due < settings.ask_within, "{due}");
        node.now += due;
        assert_eq!(node.event(Event::Timer(TimerId(2))), vec![Action::Subscribe]);
        first = node.sync(SyncKind::Failed, vec![]);
    }
}
