//! Handles the end of an attempt: resends its request or responds to it, and updates the statistics of its
//! server.

use super::*;

/// Late responses below this fraction are no sign of overload.
pub(super) const MAX_LATE_RATE: f64 = 0.15;
/// With at most this fraction of the fleet ejected and of the attempts failing, the other servers can take
/// the work of the failed ones.
pub(super) const MAX_ISOLATED_FAULT_RATE: f64 = 0.2;
/// A server is ejected when more than this fraction of its attempts failed.
pub(super) const EJECTION_FAILURE_RATE: f64 = 0.4;
/// A server is ejected only if its failure rate exceeds the fleet's by this factor.
pub(super) const EJECTION_FAILURE_MULTIPLE: f64 = 2.5;

impl Balancer {
    /// Handles the end of an attempt.
    pub(super) fn on_closed(&mut self, closed: Closed, out: &mut Vec<Action>) {
        let Closed { id, outcome, .. } = closed;
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = pending.attempts.get_mut(closed.attempt as usize) else { return };
        if attempt.fate != AttemptFate::InFlight || attempt.listed.server != closed.server {
            return;
        }
        attempt.fate = attempt_fate(outcome, self.settings.full_may_have_run);
        let (class, ended) = (pending.class, pending.ended);
        let any_in_flight = pending.attempts.iter().any(|a| a.fate == AttemptFate::InFlight);
        let may_still_run = matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        if let Some(key) = pending.ordering_key.filter(|_| may_still_run) {
            let delay = self.settings.key_settle_time;
            self.key_queues.entry(key).or_default().settled_at = self.now + delay;
            out.push(Action::SetTimer { delay, timer: TimerId(KEY_SETTLE_TIMER_BASE.wrapping_add(key.0)) });
        }
        self.record_outcome(class, &closed, out);
        if ended || closed.done || outcome == Outcome::Ok {
            self.end_request(id, out);
        } else if !any_in_flight {
            // Resending attempts that may have run or were rejected as full increases an overload, so they
            // draw on the retry budget.
            let is_free = outcome == Outcome::ConnectFailed;
            let allowed = is_free || self.retry_budget >= 1.0;
            self.retry_budget -= f64::from(u8::from(allowed && !is_free));
            if allowed && outcome != Outcome::Moot {
                self.send_or_respond(id, out);
            } else {
                self.refuse_or_fail(id, out);
            }
        }
    }

    /// Updates the statistics of a server by the outcome of an attempt.
    pub(super) fn record_outcome(&mut self, class: usize, closed: &Closed, out: &mut Vec<Action>) {
        let Some(&i) = self.server_indices.get(&closed.server) else { return };
        let elapsed = closed.elapsed as f64;
        let timed_out = closed.outcome == Outcome::Timeout;
        let stats = &mut self.class_stats[class];
        let server = &mut self.servers[i];
        self.in_flight = self.in_flight.saturating_sub(1);
        server.in_flight = server.in_flight.saturating_sub(1);
        // Attempts that were in flight when the server was ejected are no new evidence: one fault would count
        // many times.
        let sent_at = self.now.saturating_sub(closed.elapsed);
        let predates_ejection = server.ejected_until.is_some() && sent_at < server.ejected_at;
        server.trial_in_flight &= predates_ejection;
        let responded = matches!(closed.outcome, Outcome::Ok | Outcome::Full | Outcome::Error);
        let known_silence =
            server.class_health_mut(class).record_close(self.now, sent_at, responded, timed_out);
        if responded {
            server.silent_since = self.now;
        }
        // A connect time-out says nothing about the server's capacity. A refused connection means that the
        // server is full if it has requests of this node in flight. One full owner is a local matter; a
        // second one in a row may mean that the fleet is full.
        let no_connection = closed.outcome == Outcome::ConnectFailed;
        let connect_timed_out = no_connection && closed.elapsed >= self.settings.connect_timeout;
        server.connect_timeouts = if connect_timed_out { server.connect_timeouts + 1 } else { 0 };
        let full =
            closed.outcome == Outcome::Full || (no_connection && !connect_timed_out && server.in_flight > 0);
        if full || closed.outcome == Outcome::Ok {
            server.rejection_rate += 0.15 * (f64::from(u8::from(full)) - server.rejection_rate);
        }
        let reported = self.settings.utilization_field.and_then(|field| closed.load.get(field));
        server.utilization = reported.copied().or(server.utilization);
        let answered = closed.outcome == Outcome::Ok;
        let mut is_late = false;
        // An attempt that timed out took at least that long. If its server sent no response since then
        // and few servers have failed, the server hangs, which is no sign of overload elsewhere.
        let silent = server.silent_since + closed.elapsed <= self.now;
        let hung = timed_out
            && silent
            && self.traffic.ejected_fraction.max(self.traffic.failure_rate) <= MAX_ISOLATED_FAULT_RATE;
        if answered || (timed_out && !known_silence) {
            is_late = !hung && (timed_out || closed.elapsed > self.settings.classes[class].target_latency);
            let sample = if hung { self.traffic.late_rate } else { f64::from(u8::from(is_late)) };
            self.traffic.late_rate += 0.03 * (sample - self.traffic.late_rate);
            let latency_ratio = (elapsed / stats.mean_latency.max(1.0)).min(5.0);
            server.latency_ratio += 0.15 * (latency_ratio - server.latency_ratio);
            server.responses += 1;
            let zone_ratio = &mut self.traffic.zone_latency_ratios
                [usize::from(self.settings.zone != Some(server.listed.zone))];
            *zone_ratio += 0.05 * (latency_ratio - *zone_ratio);
            self.traffic.latency_ratio += 0.02 * (latency_ratio - self.traffic.latency_ratio);
            self.kinds[server.kind].record_response(latency_ratio, self.traffic.latency_ratio);
        }
        if answered {
            self.traffic.served_count += 1.0;
            stats.mean_latency += 0.02 * (elapsed - stats.mean_latency);
        }
        let crowded = full && !server.rejects_while_idle();
        let share_factor = if full { server.share_factor_when_full() } else { 1.0 };
        server.slot_share = (server.slot_share * share_factor).max(MIN_SLOT_SHARE);
        if answered || full {
            server.reinstate();
        }
        self.traffic.connect_failure_rate += 0.03
            * (f64::from(u8::from(no_connection && !connect_timed_out)) - self.traffic.connect_failure_rate);
        self.servers[i].idle_since = Some(self.now);
        self.close_expired_idle(i, SWEEP_INTERVAL, out);
        // When the whole fleet fails, moving requests does not help, so only outliers are ejected. A failed
        // connection to a server that has no requests of this node in flight is proof by itself, and so is
        // any failure of a trial.
        let failed = matches!(closed.outcome, Outcome::Error | Outcome::Reset | Outcome::Timeout);
        let counts_for_class =
            matches!(closed.outcome, Outcome::Ok | Outcome::Error) || (timed_out && !silent);
        let class_barred =
            known_silence || (counts_for_class && self.record_class_outcome(i, class, !answered));
        let server = &mut self.servers[i];
        // Failures that bar one class do not count against the server's other classes.
        if (failed || answered) && !class_barred {
            let failed = f64::from(u8::from(failed));
            server.failure_rate += 0.15 * (failed - server.failure_rate);
            self.traffic.failure_rate += 0.01 * (failed - self.traffic.failure_rate);
        }
        let unreachable = no_connection
            && !full
            && (!connect_timed_out || server.connect_timeouts > 1 || server.ejected_until.is_some());
        let is_outlier = server.failure_rate
            > EJECTION_FAILURE_RATE.max(EJECTION_FAILURE_MULTIPLE * self.traffic.failure_rate);
        if !predates_ejection && (unreachable || (failed && (is_outlier || server.ejected_until.is_some()))) {
            self.eject_server(i);
        }
        if (is_late && self.traffic.late_rate > MAX_LATE_RATE) || (crowded && closed.attempt > 0) {
            self.reduce_concurrency_limit();
        }
    }
}
