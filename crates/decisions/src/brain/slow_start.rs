//! Limits what all nodes together send a server in slow start.

use super::*;

/// Fraction of the overload threshold that a server in slow start is sent, judged by what the fleet serves
/// for its weight and progress. The server does less than that, since it remembers no keys yet.
pub(super) const SLOW_START_SAFETY_FACTOR: f64 = 0.45;

impl Balancer {
    /// Adds one sweep's gain to a server's slow-start budget. An unused attempt is saved only up to a node's
    /// part of a common reserve; otherwise all nodes would save one and could spend them at the same moment.
    /// Of the N + 2 x root of N + 2 requests that a server in slow start withstands per window, the refill
    /// uses `SLOW_START_SAFETY_FACTOR` x N and the reserve of all nodes is N / 3 + root of N + 1.
    pub(super) fn refill_slow_start_budget(&mut self, i: usize, gain: f64) {
        let nodes = f64::from(self.settings.node_count);
        let window_sends = gain * nodes / SLOW_START_SAFETY_FACTOR * self.settings.overload_window as f64
            / SWEEP_INTERVAL as f64;
        let reserve = (window_sends / 3.0 + window_sends.sqrt() + 1.0) / nodes;
        let caps_at_one = reserve >= 1.0;
        let budget = &mut self.servers[i].slow_start_budget;
        *budget = (*budget + gain).min(1.0 + gain + if caps_at_one { 0.0 } else { reserve });
        *budget -= f64::from(u8::from(!caps_at_one && *budget > 1.0 + reserve));
    }

    /// Fraction of its capacity that a server in slow start has at least. It grows linearly from its start.
    pub(super) fn slow_start_capacity(&self, server: &Server) -> f64 {
        let slow_start_window = self.settings.slow_start_window;
        let age = self.now.saturating_sub(server.listed.started_at);
        let progress = if server.listed.started_at == 0 || age >= slow_start_window {
            1.0
        } else {
            age as f64 / slow_start_window as f64
        };
        let start = self.settings.initial_capacity.clamp(0.0, 1.0);
        start + (1.0 - start) * progress
    }

    /// Whether a server in slow start has used up this node's budget. A trial or a probe counts like any
    /// other attempt.
    pub(super) fn slow_start_budget_spent(&self, server: &Server) -> bool {
        self.slow_start_capacity(server) < 1.0 && server.slow_start_budget < 1.0
    }

    /// Fraction of its slots that a server carries now.
    pub(super) fn effective_share(&self, server: &Server) -> f64 {
        if self.slow_start_budget_spent(server)
            || (server.ejected_until.is_some() && !self.traffic.panic_mode)
        {
            return 0.0;
        }
        let max_share = self.slow_start_capacity(server)
            * (SLOW_START_SAFETY_FACTOR * self.settings.overload_multiple).max(1.0);
        (server.slot_share * self.kinds[server.kind].load_factor).min(max_share)
    }
}
