//! Decides whether a request may be resent or refused, and how long an attempt may take.

use super::*;

/// Retries that each received request adds to the retry budget, which pays for resends of requests that may
/// have run or were rejected as full.
pub(super) const RETRY_BUDGET_RATIO: f64 = 0.2;
/// Maximum of the retry budget.
pub(super) const MAX_RETRY_BUDGET: f64 = 20.0;
/// An attempt is given up after this multiple of its class's mean latency. A lower value repeats more work:
/// heavy requests are heavy on the next server too, and a time-out need not stop the first attempt.
pub(super) const ATTEMPT_TIMEOUT_MULTIPLE: f64 = 8.0;

impl Balancer {
    /// Whether `candidate` would recognize and drop a repeat: it is in the deduplication scope of the first
    /// attempt that may have run. True also if no attempt may have run or the request is not keyed.
    pub(super) fn dedup_scope_includes(&self, pending: &PendingRequest, candidate: &ListedServer) -> bool {
        let first = pending.attempts.iter().find(|a| a.fate != AttemptFate::NeverRan);
        match (self.settings.classes[pending.class].semantics, first) {
            (Semantics::Keyed { scope: KeyScope::Zone, .. }, Some(a)) => a.listed.zone == candidate.zone,
            (Semantics::Keyed { scope: KeyScope::Cell, .. }, Some(a)) => a.listed.cell == candidate.cell,
            _ => true,
        }
    }

    /// Whether another attempt of a request is allowed now.
    pub(super) fn may_send(&self, pending: &PendingRequest) -> bool {
        let in_flight = pending.attempts.iter().any(|a| a.fate == AttemptFate::InFlight);
        self.now < self.resend_deadline(pending)
            && pending.attempts.len() < self.settings.max_attempts as usize
            && (self.settings.allows_hedging || !in_flight)
    }

    /// Time at which the next attempt must have ended; 0 if none is allowed. A keyed request that may have
    /// run is repeated only while servers remember it, less a tenth for the transfer: an attempt that waits
    /// for a connection is written late, at the latest when its time-out ends.
    pub(super) fn resend_deadline(&self, pending: &PendingRequest) -> Micros {
        let first = pending.attempts.iter().find(|a| a.fate != AttemptFate::NeverRan);
        match (self.settings.classes[pending.class].semantics, first) {
            (Semantics::Unsafe, Some(_)) => 0,
            (Semantics::Keyed { ttl, .. }, Some(a)) => pending.deadline.min(a.sent_at + ttl - ttl / 10),
            _ => pending.deadline,
        }
    }

    /// Whether a request may be refused, which promises the client that a retry is safe.
    pub(super) fn may_refuse(&self, pending: &PendingRequest) -> bool {
        match self.settings.classes[pending.class].semantics {
            Semantics::Safe | Semantics::Keyed { scope: KeyScope::All, .. } => true,
            _ => pending.attempts.iter().all(|a| a.fate == AttemptFate::NeverRan),
        }
    }

    /// Time-out of the next attempt: the remaining time, or less if another attempt could follow.
    pub(super) fn attempt_timeout(&self, pending: &PendingRequest, target: usize) -> Micros {
        let remaining = self.resend_deadline(pending).saturating_sub(self.now).max(1);
        let last = pending.attempts.len() + 1 >= self.settings.max_attempts as usize
            || !self.has_other_server(pending, target);
        // Resends within a small cell would overload the neighbours of a slow server.
        let semantics = self.settings.classes[pending.class].semantics;
        let narrow_scope =
            matches!(semantics, Semantics::Unsafe | Semantics::Keyed { scope: KeyScope::Cell, .. });
        let early =
            ((ATTEMPT_TIMEOUT_MULTIPLE * self.class_stats[pending.class].mean_latency) as Micros).max(1);
        // A second attempt whose response cannot arrive in time only wastes work.
        [early, remaining][usize::from(last || narrow_scope || early * 2 > remaining)]
    }

    /// Whether a server other than `target` could take another attempt. If none could, an early time-out
    /// would only refuse a request that is being served.
    pub(super) fn has_other_server(&self, pending: &PendingRequest, target: usize) -> bool {
        self.servers.iter().enumerate().any(|(i, server)| {
            let unavailable = (server.ejected_until.is_some() && !self.traffic.panic_mode)
                || server.class_health.get(pending.class).is_some_and(|health| health.is_barred(self.now));
            let tried = pending.attempts.iter().any(|a| a.listed.server == server.listed.server);
            i != target
                && server.in_service
                && !unavailable
                && !tried
                && self.dedup_scope_includes(pending, &server.listed)
        })
    }
}
