//! Upper bounds of the protocol as formulas, for checkers of a fleet to compute.

use crate::resource::{Micros, Resource, ResourceKind, MAX_RESOURCES};
use crate::{LeaseSettings, MAX_MESSAGE_BYTES};

/// Maximum requests of a strict resource that a fleet admits in any window, whatever fails; for slots, the
/// maximum in use at a time. The roster had `min_members` to `max_members` members within the window (equal
/// numbers while it does not change).
///
/// For a rate the bound is `W x window + max(B, max_members) + (max_members - min_members)`, with the burst
/// `B = W x burst_ms`: each member keeps one request of the burst, and the rest is split by shares.
pub fn max_strict_admissions(resource: &Resource, window: Micros, min_members: u64, max_members: u64) -> u64 {
    match resource.kind {
        ResourceKind::Rate { per_s, .. } => {
            let steady = (u128::from(per_s) * u128::from(window)).div_ceil(1_000_000);
            let burst = resource.burst().max(max_members) + max_members.saturating_sub(min_members);
            u64::try_from(steady).unwrap_or(u64::MAX).saturating_add(burst)
        }
        ResourceKind::Slots { count } => count,
    }
}

/// Maximum use of a generous resource, in thousandths of it, by a fleet that is split into `partitions`: sets
/// of nodes that lost their grantor at one moment each, and the remaining nodes. `first` and `last` are the
/// times since the first and the last set lost it.
///
/// `1 + (partitions - 1) x (1 - x(last - term)) + x(first)`, where `x(t)` grows from 0 to 1 from `keep` to
/// `keep + decay`. A partition keeps what it held at most, all of it in the worst case, and moves to its even
/// share; all even shares are one whole resource. For a single partition the factor is 1, since no node is
/// cut off.
pub fn max_generous_factor(settings: &LeaseSettings, partitions: u64, first: Micros, last: Micros) -> u64 {
    let decayed = |since: Micros, round_up: bool| {
        let decayed = u128::from(since.saturating_sub(settings.keep).min(settings.decay)) * 1_000;
        let decay = u128::from(settings.decay.max(1));
        (if round_up { decayed.div_ceil(decay) } else { decayed / decay }) as u64
    };
    let cut_off = partitions.saturating_sub(1);
    let even = if cut_off == 0 { 0 } else { decayed(first, true) };
    1_000 + cut_off * (1_000 - decayed(last.saturating_sub(settings.term), false)) + even
}

/// Maximum time from the moment at which the grantor knows of a lowered resource until all nodes obey the
/// lower amount: later responses grant no more than that, and earlier grants end.
pub fn max_lowering_delay(settings: &LeaseSettings) -> Micros {
    settings.term
}

/// Time after a new epoch for which a resource with a new grantor is usable only by held grants and by safe
/// shares.
pub fn takeover_wait(settings: &LeaseSettings, resource: &Resource) -> Micros {
    settings.authority + if resource.is_slots() { settings.max_hold } else { 0 }
}

/// Maximum units of a lowered resource that members that have not been notified may use beyond the new
/// amount, where no grantor is left that knew the previous amount: the safe shares of the difference.
pub fn max_unnotified_excess(previous: u64, current: u64, safe_ppb: u64) -> u64 {
    crate::resource::share_of(previous.saturating_sub(current), safe_ppb)
}

/// Maximum bytes a second that a node sends, and receives, as a holder, without network headers: no response
/// is longer than the estimate for its request.
pub fn holder_bytes_s(settings: &LeaseSettings) -> u64 {
    settings.bytes_s
}

/// Maximum bytes a second that a grantor sends, and receives, where `members` each request all that they may
/// and the resources are spread evenly over `grantors`.
pub fn grantor_bytes_s(settings: &LeaseSettings, members: u64, grantors: u64) -> u64 {
    settings.bytes_s.saturating_mul(members) / grantors.max(1)
}

/// Maximum messages of a holder in a round.
pub fn max_messages_per_round(settings: &LeaseSettings, grantors: u64) -> u64 {
    let full_messages = (settings.bytes_s / (MAX_MESSAGE_BYTES as u64 / 2)).min(MAX_RESOURCES as u64);
    grantors + full_messages
}
