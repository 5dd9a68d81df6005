//! The bounds, as formulas that whoever checks a fleet can compute.

use crate::whole::{Kind, Micros, Whole, MOST_WHOLES};
use crate::{Settings, MESSAGE_BYTES};

/// Requests of a strict whole that a fleet lets in, at most, in any window, whatever fails; slots in use at a moment, at most.
/// The roster had `least` to `most` members in it (two equal numbers, but for a moment).
///
/// For a rate `W x window + max(B, most) + (most - least)`, with the burst `B = W x burst_ms`: each member keeps one request,
/// and the rest of the burst is split by parts.
pub fn strict_most(whole: &Whole, window: Micros, least: u64, most: u64) -> u64 {
    match whole.kind {
        Kind::Rate { per_s, .. } => {
            let steady = (u128::from(per_s) * u128::from(window)).div_ceil(1_000_000);
            let burst = whole.burst().max(most) + most.saturating_sub(least);
            u64::try_from(steady).unwrap_or(u64::MAX).saturating_add(burst)
        }
        Kind::Slots { count } => count,
    }
}

/// By how much of the whole, in thousandths, a fleet is acting at most on a generous one, that fell into `parts`: sets of nodes
/// each of which lost its grantor at one moment, and the rest. `first` and `last` are the times since the first and the last
/// of them did.
///
/// `1 + (parts - 1) x (1 - x(last - term)) + x(first)`, where `x(t)` goes from 0 to 1 from `keep` to `keep + decay`: a part
/// keeps what it held at most, all of it at the worst, and comes down to its even share; all even shares are one whole.
/// For one part alone that is 1: nobody is cut off.
pub fn generous_factor(settings: &Settings, parts: u64, first: Micros, last: Micros) -> u64 {
    let gone = |since: Micros, round_up: bool| {
        let gone = u128::from(since.saturating_sub(settings.keep).min(settings.decay)) * 1_000;
        let decay = u128::from(settings.decay.max(1));
        (if round_up { gone.div_ceil(decay) } else { gone / decay }) as u64
    };
    let cut = parts.saturating_sub(1);
    let even = if cut == 0 { 0 } else { gone(first, true) };
    1_000 + cut * (1_000 - gone(last.saturating_sub(settings.term), false)) + even
}

/// Within this time from the moment that its grantor knows of it, a lowered whole holds at all nodes: nobody gets more than
/// it in a later answer, and earlier ones end.
pub fn lowered_within(settings: &Settings) -> Micros {
    settings.term
}

/// For so long from a new epoch on, wholes that have a new grantor are acted on by what is held and by safe parts alone.
pub fn waited_out(settings: &Settings, whole: &Whole) -> Micros {
    settings.authority + if whole.is_slots() { settings.longest } else { 0 }
}

/// Units of a whole that members who can't be told may act on beyond what it was lowered to, where no grantor was left that
/// knew what it was: the safe parts of the difference.
pub fn untold_over(was: u64, is: u64, safe_ppb: u64) -> u64 {
    crate::whole::part_of(was.saturating_sub(is), safe_ppb)
}

/// Bytes a second that a node sends and gets at most as a holder, each, without the headers of the network: no answer is
/// longer than its ask is reckoned.
pub fn holder_bytes_s(settings: &Settings) -> u64 {
    settings.ask_bytes_s
}

/// Bytes a second that a grantor sends and gets, each, where `members` ask for all they may and wholes are even over `seats`.
pub fn grantor_bytes_s(settings: &Settings, members: u64, seats: u64) -> u64 {
    settings.ask_bytes_s.saturating_mul(members) / seats.max(1)
}

/// Messages of a holder in a round, at most.
pub fn messages_a_round(settings: &Settings, seats: u64) -> u64 {
    let long = (settings.ask_bytes_s / (MESSAGE_BYTES as u64 / 2)).min(MOST_WHOLES as u64);
    seats + long
}
