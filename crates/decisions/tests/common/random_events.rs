//! Random legal sequences of events, with a random outcome for each attempt.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::host::*;
use super::*;

/// One event of a random sequence.
#[derive(Clone, Debug)]
pub enum RandomEvent {
    SendRequest { class: usize, key: u64, timeout: Micros },
    CloseAttempt { pick: usize, outcome: u8 },
    LapseRequest { pick: usize },
    UpdateList { full: bool, servers: Vec<(u32, u8)> },
    FailList,
    Probe { server: u32, ok: bool },
    Wait { duration: Micros },
}

pub fn event_strategy() -> impl Strategy<Value = RandomEvent> {
    prop_oneof![
        6 => (0..4usize, prop_oneof![0..4u64, 0..40u64], 1..3 * SECOND)
            .prop_map(|(class, key, timeout)| RandomEvent::SendRequest { class, key, timeout }),
        6 => (any::<usize>(), 0..8u8).prop_map(|(pick, outcome)| RandomEvent::CloseAttempt { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| RandomEvent::LapseRequest { pick }),
        1 => (any::<bool>(), prop::collection::vec((0..12u32, 0..5u8), 0..12))
            .prop_map(|(full, servers)| RandomEvent::UpdateList { full, servers }),
        1 => Just(RandomEvent::FailList),
        1 => (0..12u32, any::<bool>()).prop_map(|(server, ok)| RandomEvent::Probe { server, ok }),
        4 => (1..400_000u64).prop_map(|duration| RandomEvent::Wait { duration }),
    ]
}

impl Host {
    pub fn attempts_in_flight(&self) -> Vec<(u64, usize)> {
        let all = self.requests.iter().flat_map(|(n, request)| {
            request
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, attempt)| attempt.may_have_run.is_none())
                .map(move |(a, _)| (*n, a))
        });
        all.collect()
    }

    pub fn close_attempt(&mut self, n: u64, attempt: usize, outcome: Outcome) {
        let request = self.requests.get_mut(&n).unwrap();
        let done = request.ended || outcome == Outcome::Ok;
        request.ended = done;
        let attempt_sent = &mut request.attempts[attempt];
        attempt_sent.may_have_run = Some(match outcome {
            Outcome::Full => self.settings.full_may_have_run,
            Outcome::ConnectFailed | Outcome::Moot => false,
            _ => true,
        });
        if let Some(key) = request
            .ordering_key
            .filter(|_| matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled))
        {
            self.settle_times.insert(key, self.node.now + self.settings.key_settle_time);
        }
        let (server, elapsed) = (attempt_sent.server.server.clone(), self.node.now - attempt_sent.sent_at);
        let (id, attempt, load) = (request_id(n), attempt as u32, vec![]);
        let closed = Closed { id, attempt, server, outcome, elapsed, done, load };
        self.handle_event(Event::Closed(closed.clone()));
        // A repeated report of the same outcome has no effect.
        assert_eq!(self.node.event(Event::Closed(closed)), vec![]);
    }

    /// Advances the time and runs the timers and time-outs that expire, in their order.
    pub fn wait(&mut self, duration: Micros) {
        let end = self.node.now + duration;
        loop {
            let timer = self.timers.keys().next().copied();
            let attempt = self
                .attempts_in_flight()
                .into_iter()
                .min_by_key(|&(n, a)| self.requests[&n].attempts[a].times_out_at);
            let attempt_due = attempt.map(|(n, a)| self.requests[&n].attempts[a].times_out_at);
            let due = timer.map_or(u64::MAX, |t| t.0).min(attempt_due.unwrap_or(u64::MAX));
            if due > end {
                break;
            }
            self.node.now = self.node.now.max(due);
            if attempt_due == Some(due) {
                let (n, a) = attempt.unwrap();
                self.close_attempt(n, a, Outcome::Timeout);
            } else if let Some(timer) = timer.and_then(|t| self.timers.remove(&t)) {
                self.handle_event(Event::Timer(timer));
            }
        }
        self.node.now = end;
        let now = self.node.now;
        assert!(
            self.requests.values().all(|request| request.ended || request.deadline > now),
            "every request is answered by its deadline"
        );
    }

    pub fn apply_event(&mut self, event: RandomEvent) {
        match event {
            RandomEvent::SendRequest { class, key, timeout } => {
                self.next_number += 1;
                let n = self.next_number;
                let deadline = self.node.now + timeout;
                let ordering_key = self.settings.classes[class].in_order.then_some(key);
                self.requests.insert(
                    n,
                    TrackedRequest { class, ordering_key, deadline, attempts: Vec::new(), ended: false },
                );
                self.handle_event(Event::Request(Request { timeout, ..new_request(n, class, key) }));
                let request = &self.requests[&n];
                assert!(
                    request.ended || !request.attempts.is_empty() || ordering_key.is_some(),
                    "a request waits only in the queue of its key"
                );
            }
            RandomEvent::CloseAttempt { pick, outcome } => {
                let in_flight = self.attempts_in_flight();
                if in_flight.is_empty() {
                    return;
                }
                let (n, attempt) = in_flight[pick % in_flight.len()];
                let outcome = [
                    Outcome::Ok,
                    Outcome::Error,
                    Outcome::Full,
                    Outcome::Timeout,
                    Outcome::ConnectFailed,
                    Outcome::Reset,
                    Outcome::Cancelled,
                    Outcome::Moot,
                ][usize::from(outcome)];
                self.close_attempt(n, attempt, outcome);
            }
            RandomEvent::LapseRequest { pick } => {
                let unanswered: Vec<u64> =
                    self.requests.iter().filter(|(_, request)| !request.ended).map(|(n, _)| *n).collect();
                if !unanswered.is_empty() {
                    let n = unanswered[pick % unanswered.len()];
                    self.requests.get_mut(&n).unwrap().ended = true;
                    self.handle_event(Event::Lapsed(request_id(n)));
                }
            }
            RandomEvent::UpdateList { full, servers } => {
                let now = self.node.now;
                let mut entries = BTreeMap::new();
                for (server, state) in servers {
                    let state = match state {
                        0 => ServerState::Terminating,
                        1 if !full => ServerState::Terminated,
                        _ => ServerState::InService,
                    };
                    let started_at = if server % 3 == 0 { now } else { 0 };
                    // Some servers return in another zone and cell.
                    let (zone, cell) = (ZoneId(now / 1_000 % 2), CellId(now / 1_000 % 3));
                    let moved = ListedServer { zone, cell, ..listed_server(server) };
                    let entry = if server % 2 == 0 { moved } else { listed_server(server) };
                    entries.insert(server, ListedServer { state, started_at, ..entry });
                }
                let kind = if full { SyncKind::Full } else { SyncKind::Delta };
                self.apply_list(kind, entries.into_values().collect());
            }
            RandomEvent::FailList => {
                self.handle_event(Event::Sync { kind: SyncKind::Failed, entries: vec![] })
            }
            RandomEvent::Probe { server, ok } => {
                let outcome = if ok { Outcome::Ok } else { Outcome::Timeout };
                let (server, load) = (ServerId::from_number(server), vec![]);
                self.handle_event(Event::Probed { server, outcome, elapsed: 1_000, load });
            }
            RandomEvent::Wait { duration } => self.wait(duration),
        }
    }
}

pub fn check_random_events(settings: BalancerSettings) {
    let config = Config { cases: 96, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let final_responses = std::cell::Cell::new(0);
    runner
        .run(&prop::collection::vec(event_strategy(), 1..300), |events| {
            let mut host = Host::new(settings.clone());
            for event in events {
                host.apply_event(event);
            }
            host.wait(10 * SECOND);
            assert!(host.requests.values().all(|request| request.ended), "every request has ended");
            final_responses.set(final_responses.get().max(host.final_responses));
            Ok(())
        })
        .unwrap();
    assert!(final_responses.get() > 0, "the events lead to final responses");
}
