//! Ejects servers (outlier detection), bars servers from single classes, and runs the regular sweep over all
//! servers.

use super::*;

/// A server is barred from a class when the smoothed fraction of errors and time-outs among its responses to
/// that class exceeds this rate, which takes two in a row, unless the class fails on all servers.
pub(super) const MAX_CLASS_ERROR_RATE: f64 = 0.5;
/// Weight of one response in that fraction.
pub(super) const CLASS_ERROR_SMOOTHING: f64 = 0.3;
/// Mean duration of a server's first ejection. Each further ejection doubles it.
pub(super) const BASE_EJECTION_TIME: Micros = 700_000;
/// Maximum mean duration of an ejection.
pub(super) const MAX_EJECTION_TIME: Micros = 8_000_000;
/// With more than this fraction of the fleet ejected the cause is a common one, so ejections are ignored.
pub(super) const PANIC_THRESHOLD: f64 = 0.5;

/// Health of one server for one class.
#[derive(Clone, Default)]
pub(super) struct ClassHealth {
    /// Smoothed fraction of its attempts that ended in an error or, while the server answered others, in a
    /// time-out.
    pub(super) error_rate: f64,
    /// Time until which the server gets no requests of the class.
    pub(super) barred_until: Micros,
    /// Time at which the server was last barred from the class.
    pub(super) barred_since: Micros,
    /// Number of times that it was barred since its error rate was last below 0.05.
    pub(super) bar_count: u32,
    /// Whether the server has not answered a request of the class since it was barred. One attempt at a time
    /// is sent as a trial.
    pub(super) on_trial: bool,
    /// Attempts in flight.
    pub(super) outstanding: u32,
    /// Time since which attempts are in flight without any response of this class.
    pub(super) silent_since: Micros,
}

impl ClassHealth {
    /// Whether the server gets no further request of the class now.
    pub(super) fn is_barred(&self, now: Micros) -> bool {
        now < self.barred_until || (self.on_trial && self.outstanding > 0)
    }

    /// Records that an attempt was sent.
    pub(super) fn record_send(&mut self, now: Micros) {
        if self.outstanding == 0 {
            self.silent_since = now;
        }
        self.outstanding += 1;
    }

    /// Records the end of an attempt. Returns whether it timed out in a silence for which the class was
    /// barred already.
    pub(super) fn record_close(
        &mut self,
        now: Micros,
        sent_at: Micros,
        responded: bool,
        timed_out: bool,
    ) -> bool {
        self.outstanding = self.outstanding.saturating_sub(1);
        if responded {
            self.silent_since = now;
        }
        timed_out && self.bar_count > 0 && sent_at < self.barred_since
    }

    /// Bars the class for `duration`.
    pub(super) fn bar(&mut self, now: Micros, duration: Micros) {
        (self.barred_since, self.barred_until, self.on_trial) = (now, now + duration, true);
        self.bar_count += 1;
        self.error_rate = CLASS_ERROR_SMOOTHING;
    }
}

/// A server is ejected when it is silent for this multiple of the highest mean latency of a class.
pub(super) const SILENCE_LATENCY_MULTIPLE: f64 = 4.0;
/// A server is never ejected for a shorter silence.
pub(super) const MIN_SILENCE: Micros = 300_000;

impl Balancer {
    /// Records a response or failure for its class. Returns whether the server is barred from the class.
    pub(super) fn record_class_outcome(&mut self, i: usize, class: usize, error: bool) -> bool {
        let stats = &mut self.class_stats[class];
        let sample = f64::from(u8::from(error));
        stats.error_rate += 0.02 * (sample - stats.error_rate);
        let fails_everywhere = stats.error_rate > PANIC_THRESHOLD;
        let health = self.servers[i].class_health_mut(class);
        health.error_rate += CLASS_ERROR_SMOOTHING * (sample - health.error_rate);
        if !error {
            health.on_trial = false;
            if health.error_rate < 0.05 {
                health.bar_count = 0;
            }
        }
        let barred = error && health.error_rate > MAX_CLASS_ERROR_RATE && !fails_everywhere;
        if barred && self.now >= health.barred_until {
            self.bar_class(i, class);
        }
        barred
    }

    /// Bars a server from a class, for longer each time.
    pub(super) fn bar_class(&mut self, i: usize, class: usize) {
        let duration = (BASE_EJECTION_TIME << self.servers[i].class_health_mut(class).bar_count.min(6))
            .min(MAX_EJECTION_TIME);
        let duration = self.jitter(duration);
        self.servers[i].class_health_mut(class).bar(self.now, duration);
    }

    /// Ejects a server until a trial or a probe succeeds.
    pub(super) fn eject_server(&mut self, i: usize) {
        let duration = (BASE_EJECTION_TIME << self.servers[i].ejections.min(6)).min(MAX_EJECTION_TIME);
        let ejected_until = self.now + self.jitter(duration);
        let server = &mut self.servers[i];
        (server.ejected_until, server.trial_in_flight, server.ejected_at) =
            (Some(ejected_until), false, self.now);
        server.ejections += 1;
    }

    /// Reinstates a server whose probe succeeded and ejects one whose probe failed.
    pub(super) fn on_probed(&mut self, id: ServerId, outcome: Outcome) {
        match self.server_indices.get(&id) {
            Some(&i) if outcome == Outcome::Ok => self.servers[i].reinstate(),
            Some(&i) => self.eject_server(i),
            None => {}
        }
    }

    /// Checks all servers: ejects silent ones, refills budgets, probes ejected ones and updates the limits.
    pub(super) fn sweep(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { delay: SWEEP_INTERVAL, timer: SWEEP_TIMER });
        self.recheck_queued_requests(out);
        let slowest = self.class_stats.iter().map(|stats| stats.mean_latency).fold(0.0, f64::max);
        let max_silence = ((SILENCE_LATENCY_MULTIPLE * slowest) as Micros).max(MIN_SILENCE);
        let (mut ejected_weight, mut in_service_weight, mut serving_capacity, mut ejected_in_flight) =
            (0.0, 0.0, 0.0, 0);
        // The fleet's rate of served requests per capacity shows what a server can do. Where hardly anything
        // is served, as when all servers are in slow start, a server can do at least one request of the
        // slowest class at a time, over all nodes.
        let served_rate =
            self.traffic.served_count / self.stats_window_s / self.traffic.serving_capacity.max(1.0);
        let min_rate = 1e6 / slowest.max(1.0) / f64::from(self.settings.node_count);
        let refill_rate =
            SLOW_START_SAFETY_FACTOR * self.settings.overload_multiple * served_rate.max(min_rate) / 10.0;
        for i in 0..self.servers.len() {
            if !self.servers[i].in_service {
                continue;
            }
            self.close_expired_idle(i, 0, out);
            let server = &self.servers[i];
            let weight = server.listed.weight;
            let capacity = weight * self.slow_start_capacity(server) * self.kinds[server.kind].load_factor;
            in_service_weight += weight;
            serving_capacity +=
                capacity * f64::from(u8::from(server.ejected_until.is_none() || self.traffic.panic_mode));
            let silent = server.in_flight > 0 && self.now > server.silent_since + max_silence;
            if silent && server.ejected_until.is_none() {
                self.eject_server(i);
            }
            self.refill_slow_start_budget(i, refill_rate * capacity);
            // The server responds, but not to this class: a faulty release may hang on one class and serve
            // the others. Time-outs would count against the whole server, so the class is barred before them.
            // A single attempt may just be slow, so it takes more than one.
            for class in 0..self.servers[i].class_health.len() {
                let health = &self.servers[i].class_health[class];
                let class_silent = health.outstanding > 1 && self.now > health.silent_since + max_silence;
                if class_silent
                    && !silent
                    && self.now >= health.barred_until
                    && self.class_stats[class].error_rate <= PANIC_THRESHOLD
                {
                    self.bar_class(i, class);
                }
            }
            let budget_spent = self.slow_start_budget_spent(&self.servers[i]);
            let server = &mut self.servers[i];
            match server.ejected_until {
                Some(until) => {
                    (ejected_weight, ejected_in_flight) =
                        (ejected_weight + weight, ejected_in_flight + server.in_flight);
                    if self.settings.can_probe
                        && self.now >= until
                        && !server.trial_in_flight
                        && !budget_spent
                    {
                        (server.trial_in_flight, server.slow_start_budget) =
                            (true, server.slow_start_budget - 1.0);
                        out.push(Action::Probe(server.listed.server.clone()));
                    }
                }
                None => server.adjust_slot_share(),
            }
        }
        self.adjust_load_factors();
        self.traffic.serving_capacity = serving_capacity.max(
            self.traffic.serving_capacity
                + (1.0 - COUNTER_DECAY) * (serving_capacity - self.traffic.serving_capacity),
        );
        self.traffic.concurrency_limit *= LIMIT_RECOVERY_FACTOR;
        self.traffic.ejected_in_flight = ejected_in_flight;
        self.traffic.smoothed_in_flight += 0.1 * (self.limited_in_flight() - self.traffic.smoothed_in_flight);
        self.traffic.ejected_fraction = ejected_weight / in_service_weight.max(f64::MIN_POSITIVE);
        self.traffic.panic_mode = self.traffic.ejected_fraction > PANIC_THRESHOLD;
        self.decay_counters();
    }

    /// Decays the counts of traffic.
    pub(super) fn decay_counters(&mut self) {
        self.stats_window_s = self.stats_window_s * COUNTER_DECAY + SWEEP_INTERVAL as f64 / 1e6;
        for key_count in &mut self.key_counts {
            key_count.count *= COUNTER_DECAY;
            key_count.overcount *= COUNTER_DECAY;
        }
        self.key_counts.retain(|entry| entry.count > 0.3);
        let counts =
            [&mut self.traffic.request_count, &mut self.traffic.sent_count, &mut self.traffic.served_count];
        let request_counts = self
            .class_stats
            .iter_mut()
            .flat_map(|stats| &mut stats.request_counts)
            .chain(&mut self.tenant_request_counts);
        request_counts.chain(counts).for_each(|count| *count *= COUNTER_DECAY);
    }
}
