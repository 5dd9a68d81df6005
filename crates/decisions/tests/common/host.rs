//! A test host that records its attempts in flight, ended requests and timers, and checks each action of the
//! balancer against the invariants. It simulates no server.

use std::collections::BTreeMap;

use super::*;

pub struct SentAttempt {
    pub server: ListedServer,
    pub sent_at: Micros,
    pub times_out_at: Micros,
    /// `None` while the attempt is in flight, then whether it may have run.
    pub may_have_run: Option<bool>,
}

pub struct TrackedRequest {
    pub class: usize,
    /// The request's key, if its class is in order.
    pub ordering_key: Option<u64>,
    pub deadline: Micros,
    pub attempts: Vec<SentAttempt>,
    pub ended: bool,
}

pub struct Host {
    pub node: Node,
    pub settings: BalancerSettings,
    pub requests: BTreeMap<u64, TrackedRequest>,
    pub servers: BTreeMap<ServerId, ListedServer>,
    pub timers: BTreeMap<(Micros, u64), TimerId>,
    /// Time until which a key pauses after an attempt that may still run.
    pub settle_times: BTreeMap<u64, Micros>,
    pub next_number: u64,
    pub final_responses: u64,
}

impl Host {
    pub fn new(settings: BalancerSettings) -> Self {
        let mut host = Host {
            node: Node { balancer: Balancer::new(settings.clone(), 3), now: 50 * SECOND },
            settings,
            requests: BTreeMap::new(),
            servers: BTreeMap::new(),
            timers: BTreeMap::new(),
            settle_times: BTreeMap::new(),
            next_number: 0,
            final_responses: 0,
        };
        host.apply_list(SyncKind::Cached, (0..6).map(listed_server).collect());
        host
    }

    pub fn request_number(id: RequestId) -> u64 {
        std::str::from_utf8(&id.0[..20]).unwrap().parse().unwrap()
    }

    pub fn handle_event(&mut self, event: Event) {
        let actions = self.node.event(event);
        for action in actions {
            self.check_action(action);
        }
    }

    pub fn check_action(&mut self, action: Action) {
        let now = self.node.now;
        match action {
            Action::Send { id, server, timeout } => {
                let listed = self.servers.get(&server).expect("a listed server").clone();
                assert_eq!(listed.state, ServerState::InService, "a draining server gets no attempt");
                let n = Self::request_number(id);
                if let Some(key) = self.requests[&n].ordering_key {
                    let mut earlier =
                        self.requests.range(..n).filter(|(_, other)| other.ordering_key == Some(key));
                    assert!(
                        earlier.all(|(_, other)| other.ended
                            && other.attempts.iter().all(|attempt| attempt.may_have_run.is_some())),
                        "every earlier request of the key has ended"
                    );
                    let settling = self.settle_times.get(&key).is_some_and(|until| now < *until);
                    assert!(!settling || !self.requests[&n].attempts.is_empty(), "the key has settled");
                }
                let request = self.requests.get_mut(&n).expect("a known request");
                assert!(!request.ended, "no attempt is sent for an ended request");
                assert!(
                    timeout > 0 && now + timeout <= request.deadline,
                    "the attempt ends before the deadline"
                );
                assert!(request.attempts.len() < self.settings.max_attempts as usize);
                let any_in_flight = request.attempts.iter().any(|attempt| attempt.may_have_run.is_none());
                assert!(!any_in_flight || self.settings.allows_hedging, "only one attempt is in flight");
                let first = request.attempts.iter().find(|attempt| attempt.may_have_run != Some(false));
                if let Some(first) = first {
                    match self.settings.classes[request.class].semantics {
                        Semantics::Safe => {}
                        Semantics::Unsafe => panic!("an unsafe request may run twice"),
                        Semantics::Keyed { scope, ttl } => {
                            // An attempt may wait for a connection; it is written at the latest when its
                            // time-out ends.
                            assert!(
                                now + timeout <= first.sent_at + ttl,
                                "a repeat is sent while servers remember the request"
                            );
                            match scope {
                                KeyScope::All => {}
                                KeyScope::Zone => assert_eq!(first.server.zone, listed.zone),
                                KeyScope::Cell => assert_eq!(first.server.cell, listed.cell),
                            }
                        }
                    }
                }
                request.attempts.push(SentAttempt {
                    server: listed,
                    sent_at: now,
                    times_out_at: now + timeout,
                    may_have_run: None,
                });
            }
            Action::Refuse { id, .. } => {
                let request = self.requests.get_mut(&Self::request_number(id)).expect("a known request");
                assert!(!request.ended, "one final response");
                let is_safe = match self.settings.classes[request.class].semantics {
                    Semantics::Safe | Semantics::Keyed { scope: KeyScope::All, .. } => true,
                    _ => request.attempts.iter().all(|attempt| attempt.may_have_run == Some(false)),
                };
                assert!(is_safe, "a refusal promises that a retry is safe");
                request.ended = true;
                self.final_responses += 1;
            }
            Action::Fail { id } => {
                let request = self.requests.get_mut(&Self::request_number(id)).expect("a known request");
                assert!(!request.ended, "one final response");
                request.ended = true;
                self.final_responses += 1;
            }
            Action::Cancel { id, attempt } => {
                assert!(self.settings.can_cancel);
                let request = &self.requests[&Self::request_number(id)];
                assert!((attempt as usize) < request.attempts.len(), "the cancelled attempt exists");
            }
            Action::SetTimer { delay, timer } => {
                self.next_number += 1;
                self.timers.insert((now + delay, self.next_number), timer);
            }
            Action::Probe(server) => {
                assert!(self.settings.can_probe);
                assert!(self.servers.contains_key(&server));
            }
            Action::Tell { data, .. } => {
                assert!(data.len() <= 256, "a message has at most 256 bytes");
            }
            Action::CloseIdle(_) | Action::Subscribe | Action::Log(_) => {}
        }
    }

    pub fn apply_list(&mut self, kind: SyncKind, entries: Vec<ListedServer>) {
        if kind != SyncKind::Delta {
            self.servers.values_mut().for_each(|server| server.state = ServerState::Terminated);
        }
        for entry in &entries {
            self.servers.insert(entry.server.clone(), entry.clone());
        }
        self.handle_event(Event::Sync { kind, entries });
    }
}
