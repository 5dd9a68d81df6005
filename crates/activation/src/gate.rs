//! Snapshot of a node's activation state by which a request is admitted and each of its attempts is sent.

use crate::clock::{ClockReading, Micros, NodeTime};
use crate::record::ActivationDecision;
use crate::NodeLimits;

/// Version by which requests are served at one instant, identified by the fence of its decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Serving {
    /// Requests are served by the version with this fence.
    Version(u64),
    /// Requests are served by no version: either the node is in doubt, or the switch moment is near, or the
    /// clock cannot tell whether it has passed.
    NoVersion {
        /// Whether a decision may exist that this node cannot see.
        in_doubt: bool,
    },
}

/// Version to which a request is bound for all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct VersionBinding {
    /// Fence of the decision whose version serves the request.
    pub fence: u64,
    /// Fence of the attempt whose version treats the request in the same way; 0 for none.
    pub alike_fence: u64,
    /// Whether the request was admitted in doubt, by the policy of its tenant.
    pub by_policy: bool,
    /// Time of admission, by the node's own count.
    pub admitted_at: Micros,
}

/// Kind of attempt that is about to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendKind {
    /// First attempt of the request.
    First,
    /// A further attempt, allowed only before the request's deadline.
    Retry {
        /// Deadline of the request, by the node's own count.
        deadline: Micros,
    },
}

/// Result of [`ServingGate::may_send`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendVerdict {
    /// The attempt may be written.
    Send,
    /// The version is no longer served and nothing was sent: submit the request again as a new one.
    Readmit,
    /// No further attempt: the deadline has passed, or the process was suspended past the end of its version.
    Abandon,
}

/// Snapshot of a node's state for the connection handlers. The node publishes it before it carries out the
/// actions of the same event, so that a promise binds before the report of it is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServingGate {
    /// Whether the node's entry is in the roster.
    pub registered: bool,
    /// Last contact with the service or most of the roster, by the node's own count.
    pub last_contact: Micros,
    /// Maximum time without such contact; after it the node's end may be proven and its entry counts no more.
    pub isolation_timeout: Micros,
    /// Fence of the served version whose tables are in memory; 0 for none.
    pub current: u64,
    /// The current version is served before this time; `u64::MAX` while nothing is promised.
    pub current_until: Micros,
    /// Fence of the promised or decided next version; 0 for none.
    pub next: u64,
    /// Switch moment of the next version; `u64::MAX` while it is not decided.
    pub next_from: Micros,
    /// Maximum width of a clock interval that is relied on.
    pub max_clock_width: Micros,
    /// Time of the last event, by the node's own count.
    pub last_event_at: Micros,
    /// Time at which the process last resumed after a suspension.
    pub resumed_at: Micros,
    /// Maximum time between two events; a longer gap counts as a suspension.
    pub max_event_gap: Micros,
}

impl ServingGate {
    /// Returns the version that is served now: the old one while the latest possible time is before
    /// `current_until`, the new one once the earliest possible time is at or after `next_from`. Every
    /// `current_until` is at or before the moment and all intervals contain the true time, so no response by
    /// the old version anywhere follows one by the new version.
    pub fn serving(&self, now: NodeTime) -> Serving {
        if !self.has_valid_entry(now.local) {
            return Serving::NoVersion { in_doubt: true };
        }
        let in_doubt = self.next != 0 && self.next_from == Micros::MAX;
        if self.next == 0 {
            return match self.current {
                0 => Serving::NoVersion { in_doubt: false },
                current => Serving::Version(current),
            };
        }
        match now.clock.within(self.max_clock_width) {
            Some((earliest, _)) if self.next_from != Micros::MAX && earliest >= self.next_from => {
                Serving::Version(self.next)
            }
            Some((_, latest)) if latest < self.current_until && self.current != 0 => {
                Serving::Version(self.current)
            }
            _ => Serving::NoVersion { in_doubt },
        }
    }

    /// Returns whether an attempt may be written. Call it in the scheduling turn that writes, with the clocks
    /// of that turn.
    pub fn may_send(&self, binding: &VersionBinding, sending: SendKind, now: NodeTime) -> SendVerdict {
        let served = match self.serving(now) {
            Serving::Version(fence) => {
                fence == binding.fence || (binding.alike_fence != 0 && fence == binding.alike_fence)
            }
            Serving::NoVersion { in_doubt } => {
                let alike = binding.alike_fence != 0
                    && binding.alike_fence == self.next
                    && self.has_valid_entry(now.local);
                binding.fence == self.current && (alike || (binding.by_policy && in_doubt))
            }
        };
        match sending {
            _ if served => SendVerdict::Send,
            SendKind::First => SendVerdict::Readmit,
            SendKind::Retry { deadline }
                if self.was_suspended_since(binding, now.local) || now.local >= deadline =>
            {
                SendVerdict::Abandon
            }
            SendKind::Retry { .. } => SendVerdict::Send,
        }
    }

    /// Whether the node's entry in the roster still counts: the node is registered and was not isolated for
    /// too long.
    pub(crate) fn has_valid_entry(&self, local: Micros) -> bool {
        self.registered && local.saturating_sub(self.last_contact) <= self.isolation_timeout
    }

    /// Whether the process was suspended since the request was admitted, also if this is the first scheduling
    /// turn after it resumed.
    fn was_suspended_since(&self, binding: &VersionBinding, local: Micros) -> bool {
        binding.admitted_at < self.resumed_at || local.saturating_sub(self.last_event_at) > self.max_event_gap
    }
}

/// Filter for servers that a switch drops or drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DroppedServers {
    /// Fence of the decision that drops them.
    pub fence: u64,
    /// Switch moment of that decision.
    pub moment: Micros,
    /// Time after the moment during which they may still receive attempts.
    pub drain: Micros,
}

impl DroppedServers {
    /// Creates the filter for the servers that this decision drops.
    pub fn for_decision(decision: &ActivationDecision, limits: &NodeLimits) -> DroppedServers {
        DroppedServers { fence: decision.fence, moment: decision.moment, drain: limits.drain }
    }

    /// Returns whether an attempt of a request must not go to a dropped server: at once for requests of the
    /// new version; for requests of the old version, as soon as `moment + drain` may have passed. With an
    /// uncertain clock nothing is sent there.
    pub fn is_blocked(&self, binding: &VersionBinding, clock: ClockReading, max_clock_width: Micros) -> bool {
        let end = self.moment.saturating_add(self.drain);
        binding.fence >= self.fence || clock.within(max_clock_width).is_none_or(|(_, latest)| latest >= end)
    }
}
