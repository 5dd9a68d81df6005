//! Learns the capacity of each kind of server where the list gives no weights, and the share of traffic that
//! stays in the node's zone. In a fleet of hundreds a node sees few responses of one server and many of its
//! kind.

use super::*;

/// Maximum number of kinds that are distinguished. Servers of any further kind count as the first one.
const MAX_KINDS: usize = 16;
/// How far the mean slowness of a sweep's responses moves a load factor.
const LOAD_FACTOR_STEP: f64 = 0.1;
/// Minimum load factor, relative to the largest.
const MIN_LOAD_FACTOR: f64 = 0.03;
/// From this price of leaving the zone on, servers of the own zone go first, on as many slots as make them as
/// slow as the others.
pub(super) const CROSS_ZONE_PRICE_THRESHOLD: f64 = 0.05;
/// How far each sweep moves the share of those slots by the difference in latency.
const LOCAL_ZONE_SHARE_STEP: f64 = 0.1;
/// Maximum of that share: some requests always leave the zone, for comparison.
const MAX_LOCAL_ZONE_SHARE: f64 = 0.95;

/// A kind of servers, with what was learned about its capacity.
pub(super) struct ServerKind {
    id: KindId,
    /// Fraction of their slots that its servers carry.
    pub(super) load_factor: f64,
    /// Number of responses since the last sweep, and the sum of how much slower than usual they were.
    recent: (f64, f64),
}

impl ServerKind {
    /// Records a response whose latency is `latency_ratio` times the mean of its class, where `mean_ratio` is
    /// usual.
    pub(super) fn record_response(&mut self, latency_ratio: f64, mean_ratio: f64) {
        self.recent = (self.recent.0 + 1.0, self.recent.1 + (latency_ratio / mean_ratio - 1.0).min(2.0));
    }
}

impl Balancer {
    /// Index of a kind, which is added if it is new.
    pub(super) fn kind_index(&mut self, id: KindId) -> usize {
        let known = self.kinds.iter().position(|kind| kind.id == id);
        if known.is_none() && self.kinds.len() < MAX_KINDS {
            self.kinds.push(ServerKind { id, load_factor: 1.0, recent: (0.0, 0.0) });
            return self.kinds.len() - 1;
        }
        known.unwrap_or(0)
    }

    /// Lowers the load factor of kinds that respond slower than the others, until all respond alike, and
    /// adjusts the share of slots on which the own zone goes first.
    pub(super) fn adjust_load_factors(&mut self) {
        for kind in &mut self.kinds {
            let (responses, slowness) = std::mem::take(&mut kind.recent);
            kind.load_factor *= (-LOAD_FACTOR_STEP / responses.max(1.0) * slowness).exp();
        }
        let max_share = if self.settings.cross_zone_price < CROSS_ZONE_PRICE_THRESHOLD {
            0.0
        } else {
            MAX_LOCAL_ZONE_SHARE
        };
        let slowdown = self.traffic.zone_latency_ratios[0] / self.traffic.zone_latency_ratios[1] - 1.0;
        self.traffic.local_zone_share =
            (self.traffic.local_zone_share - LOCAL_ZONE_SHARE_STEP * slowdown).clamp(0.0, max_share);
        let max_factor = self.kinds.iter().map(|kind| kind.load_factor).fold(0.0, f64::max);
        self.kinds
            .iter_mut()
            .for_each(|kind| kind.load_factor = (kind.load_factor / max_factor).max(MIN_LOAD_FACTOR));
    }
}
