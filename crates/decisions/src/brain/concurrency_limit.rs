//! Limits how many requests a node keeps in flight and selects which requests it refuses first.

use super::*;

/// How much a sign of overload takes off the limit, as a fraction of a second's attempts. A faster decrease
/// refuses more requests.
pub(super) const LIMIT_DECREASE: f64 = 0.9;
/// Factor by which each sweep raises the limit. A slower recovery refuses more requests.
pub(super) const LIMIT_RECOVERY_FACTOR: f64 = 1.02;
/// Minimum of the limit.
pub(super) const MIN_CONCURRENCY_LIMIT: f64 = 0.5;
/// Fraction of the limit that requests of the lowest worth leave free for requests of higher worth.
pub(super) const RESERVED_LIMIT_FRACTION: f64 = 0.3;
/// Spread of the limit over the keys. Every node refuses the same keys first, so servers keep remembering the
/// other keys and serve them at lower cost. A higher value serves overloads better and refuses some keys
/// needlessly.
pub(super) const KEY_LIMIT_SPREAD: f64 = 0.5;

impl Balancer {
    /// Requests in flight that count against the limit.
    pub(super) fn limited_in_flight(&self) -> f64 {
        f64::from(self.in_flight.saturating_sub(self.traffic.ejected_in_flight))
    }

    /// Reduces the limit below the requests now in flight. Servers that are overloaded slow down together, so
    /// the whole node sends less.
    pub(super) fn reduce_concurrency_limit(&mut self) {
        let keep = 1.0 - (LIMIT_DECREASE * self.stats_window_s / self.traffic.sent_count.max(1.0)).min(0.2);
        let baseline = self.traffic.smoothed_in_flight.max(self.limited_in_flight()) + 1.0;
        self.traffic.concurrency_limit =
            (self.traffic.concurrency_limit.min(baseline) * keep).max(MIN_CONCURRENCY_LIMIT);
    }

    /// Counts a tenant's request and returns whether it is beyond the tenant's quota, of which this node has
    /// an equal part. Retries of a client are not counted: otherwise each refusal would put more requests
    /// beyond the quota. The slot decides which requests are beyond, so the retry of one that is beyond is
    /// beyond as well.
    pub(super) fn count_tenant_request(
        &mut self,
        tenant: Option<TenantId>,
        is_retry: bool,
        slot: usize,
    ) -> bool {
        let Some(TenantId(t)) = tenant else { return false };
        let Some(rate) = self.tenant_request_counts.get_mut(t) else { return false };
        *rate += f64::from(u8::from(!is_retry));
        let rate = *rate / self.stats_window_s;
        let quota = self.settings.tenants[t].quota_per_s / f64::from(self.settings.node_count);
        quota > 0.0 && rate > quota && slot_level(slot) > quota / rate
    }

    /// Worth of a request per unit of work, estimated by the mean latency of its class.
    pub(super) fn worth_per_work(&self, class: usize, over_quota: bool) -> f64 {
        let worth = self.settings.classes[class].worth;
        let work = if self.settings.worth_basis == WorthBasis::Work {
            1.0
        } else {
            self.class_stats[class].mean_latency.max(1.0)
        };
        worth / work * if over_quota { self.settings.over_quota_worth } else { 1.0 }
    }

    /// Whether to refuse a new request: the requests in flight exceed the limit that its worth and its key's
    /// slot leave to it.
    pub(super) fn should_refuse(&mut self, class: usize, slot: usize, over_quota: bool) -> bool {
        let own_worth = self.worth_per_work(class, over_quota);
        let (mut lower, mut higher) = (0.0, 0.0);
        for (c, stats) in self.class_stats.iter().enumerate() {
            for (over_quota, rate) in [(false, stats.request_counts[0]), (true, stats.request_counts[1])] {
                let other_worth = self.worth_per_work(c, over_quota);
                lower += if other_worth < own_worth { rate } else { 0.0 };
                higher += if other_worth > own_worth { rate } else { 0.0 };
            }
        }
        let reserve = if higher > 0.0 { RESERVED_LIMIT_FRACTION * higher / (lower + higher) } else { 0.0 };
        let spread = if self.settings.key_affinity { KEY_LIMIT_SPREAD } else { 0.0 };
        self.limited_in_flight() + self.rng.f64()
            >= self.traffic.concurrency_limit * (1.0 - reserve) * (1.0 + spread * (0.5 - slot_level(slot)))
    }
}
