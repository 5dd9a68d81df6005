//! What a cold server may be sent, by all nodes together.

use super::*;

/// A cold server may be sent this part of what topples it, by what the fleet serves for its size
/// and warmth. It remembers no key yet, so it does less than that.
pub(super) const COLD_CARE: f64 = 0.45;

impl Balancer {
    /// A part of capacity that a cold server surely has: it grows evenly from its start.
    pub(super) fn warmth(&self, server: &Server) -> f64 {
        let ramp = self.settings.ramp_time;
        let age = self.now.saturating_sub(server.member.since);
        if server.member.since == 0 || age >= ramp {
            return 1.0;
        }
        let start = self.settings.start_capacity.clamp(0.0, 1.0);
        start + (1.0 - start) * age as f64 / ramp as f64
    }

    /// The part of its slots that a server carries now.
    pub(super) fn share(&self, server: &Server) -> f64 {
        let warmth = self.warmth(server);
        let spent = warmth < 1.0 && server.budget < 1.0;
        let ejected = server.ejected.is_some() && !self.mood.panic;
        if spent || ejected {
            return 0.0;
        }
        let most = warmth * (COLD_CARE * self.settings.fall_multiple).max(1.0);
        (server.share * self.kinds[server.kind].pull).min(most)
    }
}
