//! Follows a request from its arrival to its final response and keeps in-order requests of one key in order.
//!
//! The next request of an in-order key waits until no attempt of the previous one is in flight, so a silent
//! server blocks its keys. Requests that wait are refused while their clients can still be served elsewhere.

use super::*;

/// Retry-after for refused clients. A longer one eases an overload but delays clients that could be served
/// sooner.
pub(super) const DEFAULT_RETRY_AFTER: Micros = 20_000;

/// What is known about an attempt's effect.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum AttemptFate {
    /// The attempt has not ended.
    InFlight,
    /// The server did not run the request.
    NeverRan,
    /// The server may have run the request.
    MayHaveRun,
}

/// What an outcome proves about an attempt. Resends and refusals are decided by this alone.
pub(super) fn attempt_fate(outcome: Outcome, full_may_have_run: bool) -> AttemptFate {
    match outcome {
        Outcome::ConnectFailed | Outcome::Moot => AttemptFate::NeverRan,
        Outcome::Full if !full_may_have_run => AttemptFate::NeverRan,
        _ => AttemptFate::MayHaveRun,
    }
}

/// An attempt of a request.
pub(super) struct Attempt {
    /// The server as it was listed when the attempt was sent.
    pub(super) listed: ListedServer,
    pub(super) sent_at: Micros,
    pub(super) fate: AttemptFate,
}

/// A request that has no final response or still has attempts in flight.
pub(super) struct PendingRequest {
    pub(super) class: usize,
    pub(super) slot: usize,
    pub(super) key: Option<Key>,
    /// Key whose queue the request waits in, if its class is in order.
    pub(super) ordering_key: Option<Key>,
    /// A response earns its full worth until then.
    pub(super) full_worth_until: Micros,
    pub(super) deadline: Micros,
    pub(super) attempts: Vec<Attempt>,
    /// The request has its final response or has lapsed.
    pub(super) ended: bool,
}

/// Requests of an in-order key that have not ended, in order of arrival. The first one may be sent.
#[derive(Default)]
pub(super) struct KeyQueue {
    pub(super) requests: VecDeque<RequestId>,
    /// An earlier request that may still be running has time until then to finish.
    pub(super) settled_at: Micros,
}

impl Balancer {
    /// Accepts a request: sends it, queues it by its key or refuses it.
    pub(super) fn on_request(&mut self, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        if request.class.0 >= self.settings.classes.len() {
            return out.push(Action::Refuse { id, retry_after: 0 });
        }
        self.traffic.request_count += 1.0;
        request.key.into_iter().for_each(|key| self.count_key(key));
        self.retry_budget = (self.retry_budget + RETRY_BUDGET_RATIO).min(MAX_RETRY_BUDGET);
        let slot = self.choose_slot(request.key);
        let over_quota = self.count_tenant_request(request.tenant, request.is_retry, slot);
        self.class_stats[request.class.0].request_counts[usize::from(over_quota)] += 1.0;
        let class = &self.settings.classes[request.class.0];
        let ordering_key = request.key.filter(|_| class.in_order);
        // Where a late response earns nothing, waiting for it only lengthens a server's queue.
        let useful_time = if class.late_worth_share > 0.0 {
            class.deadline
        } else {
            class.target_latency - class.target_latency / 32
        };
        let pending = PendingRequest {
            class: request.class.0,
            slot,
            key: request.key,
            ordering_key,
            full_worth_until: self.now + class.target_latency.min(request.timeout),
            deadline: self.now + request.timeout.min(useful_time),
            attempts: Vec::new(),
            ended: false,
        };
        self.requests.insert(id, pending);
        ordering_key
            .into_iter()
            .for_each(|key| self.key_queues.entry(key).or_default().requests.push_back(id));
        if self.should_refuse(request.class.0, slot, over_quota) {
            self.refuse_or_fail(id, out);
        } else {
            self.send_or_respond(id, out);
        }
    }

    /// Sends the next attempt of a request that has none in flight, or gives its final response.
    pub(super) fn send_or_respond(&mut self, id: RequestId, out: &mut Vec<Action>) {
        match self.key_queue_wait(id) {
            Some(wait) if self.is_worth_queuing(&self.requests[&id], wait) => return,
            Some(_) => return self.refuse_or_fail(id, out),
            None => {}
        }
        let target = if self.may_send(&self.requests[&id]) { self.choose_server(id) } else { None };
        let Some(target) = target else { return self.refuse_or_fail(id, out) };
        let now = self.now;
        let timeout = self.attempt_timeout(&self.requests[&id], target);
        let server = &mut self.servers[target];
        if server.in_flight == 0 {
            server.silent_since = now;
        }
        server.trial_in_flight |= server.ejected_until.is_some();
        server.slow_start_budget -= 1.0;
        server.in_flight += 1;
        server.class_health_mut(self.requests[&id].class).record_send(now);
        self.in_flight += 1;
        self.traffic.sent_count += 1.0;
        let listed = server.listed.clone();
        out.push(Action::Send { id, server: listed.server.clone(), timeout });
        let pending = self.requests.get_mut(&id).expect("the request is pending");
        pending.attempts.push(Attempt { listed, sent_at: now, fate: AttemptFate::InFlight });
    }

    /// Gives the final response when nothing more is tried: a refusal if that is safe, a failure otherwise.
    pub(super) fn refuse_or_fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.may_refuse(&self.requests[&id]) {
            // Without advice a refused client returns at once, to a node in the same state. Where a late
            // response earns nothing, a client that waits for the whole deadline returns too late to be worth
            // serving.
            let class = &self.settings.classes[self.requests[&id].class];
            let never_returns =
                class.late_worth_share == 0.0 && self.settings.max_retry_after >= class.deadline;
            let advice = if never_returns {
                class.deadline
            } else {
                DEFAULT_RETRY_AFTER.min(self.settings.max_retry_after)
            };
            let retry_after = if self.settings.advises_retry_after { advice } else { 0 };
            out.push(Action::Refuse { id, retry_after });
        } else {
            out.push(Action::Fail { id });
        }
        self.end_request(id, out);
    }

    /// Marks a request as ended: no further attempt is sent, and attempts in flight are cancelled.
    pub(super) fn end_request(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let in_flight = pending.attempts.iter().enumerate().filter(|(_, a)| a.fate == AttemptFate::InFlight);
        let in_flight: Vec<u32> = in_flight.map(|(n, _)| n as u32).collect();
        if self.settings.can_cancel && !pending.ended {
            out.extend(in_flight.iter().map(|&attempt| Action::Cancel { id, attempt }));
        }
        pending.ended = true;
        let ordering_key = pending.ordering_key;
        if in_flight.is_empty() {
            self.requests.remove(&id);
            if let Some(queue) = ordering_key.and_then(|key| self.key_queues.get_mut(&key)) {
                queue.requests.retain(|&queued| queued != id);
            }
            ordering_key.into_iter().for_each(|key| self.dispatch_key_queue(key, out));
        }
    }

    /// About how long a request must wait in its key's queue, or `None` if it may be sent now.
    pub(super) fn key_queue_wait(&self, id: RequestId) -> Option<Micros> {
        let pending = &self.requests[&id];
        let queue = self.key_queues.get(&pending.ordering_key?)?;
        let position = queue.requests.iter().position(|&queued| queued == id)?;
        let settling = queue.settled_at.saturating_sub(self.now);
        let is_next = position == 0 && (settling == 0 || !pending.attempts.is_empty());
        (!is_next)
            .then(|| settling + position as u64 * self.class_stats[pending.class].mean_latency as Micros)
    }

    /// Whether a queued request may still be answered before its full worth expires. The sweep must run twice
    /// before the deadline, so that it can refuse those that cannot.
    pub(super) fn is_worth_queuing(&self, pending: &PendingRequest, wait: Micros) -> bool {
        let response_at = self.now + wait + self.class_stats[pending.class].mean_latency as Micros;
        response_at < pending.full_worth_until && self.now + 2 * SWEEP_INTERVAL < pending.deadline
    }

    /// Sends the first request of a key's queue if the key has settled; removes the queue of an idle key.
    pub(super) fn dispatch_key_queue(&mut self, key: Key, out: &mut Vec<Action>) {
        let Some(queue) = self.key_queues.get(&key) else { return };
        match queue.requests.front() {
            Some(&id) if self.requests[&id].attempts.is_empty() => self.send_or_respond(id, out),
            None if self.now >= queue.settled_at => drop(self.key_queues.remove(&key)),
            _ => {}
        }
    }

    /// Sends queued requests that are next in their queue and refuses those that can no longer wait.
    pub(super) fn recheck_queued_requests(&mut self, out: &mut Vec<Action>) {
        let queued: Vec<RequestId> =
            self.key_queues.values().flat_map(|queue| queue.requests.iter().copied()).collect();
        for id in queued {
            if self.requests.get(&id).is_some_and(|p| p.attempts.is_empty()) {
                self.send_or_respond(id, out);
            }
        }
    }
}
