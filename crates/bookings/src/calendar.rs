//! Finds whether a window fits, its first conflict, and the next start at which it would fit.
//!
//! All constraints (the groups of a reservation, its tenant's allowance) are examined together, as a
//! reservation is made in all of them or not at all. One pass over the segments that the window overlaps
//! finds the first conflict. One pass over all later segments finds the next start: each segment that is too
//! full forbids an interval of starts, and the intervals of each constraint and window segment come in order,
//! so merging them yields the first start that none forbids.

use crate::interval::{Micros, ReservationWindow};
use crate::timeline::{SegmentPair, SegmentPairs, Timeline};

/// Capacity that a reservation has to fit into.
pub(crate) struct Constraint<'a> {
    /// Name of the group; `None` for the tenant's allowance.
    pub group: Option<&'a str>,
    pub limit: &'a Timeline,
    pub used: &'a Timeline,
    pub wanted: u32,
}

/// First moment at which a constraint has too few slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Conflict<'a> {
    pub group: Option<&'a str>,
    pub at: Micros,
    pub remaining: u32,
    pub wanted: u32,
}

/// First conflict of a window with the constraints at or after `since`.
pub(crate) fn first_conflict<'a>(
    constraints: &[Constraint<'a>],
    window: &ReservationWindow,
    since: Micros,
) -> Option<Conflict<'a>> {
    let mut first: Option<Conflict<'a>> = None;
    for constraint in constraints {
        for segment in window.segments(constraint.wanted).into_iter().filter(|segment| segment.slots > 0) {
            let until = first.as_ref().map_or(segment.until, |conflict| conflict.at.min(segment.until));
            let mut pairs = constraint.limit.zip_segments(constraint.used, segment.from.max(since), until);
            if let Some(pair) = pairs.find(|pair| pair.first < pair.second.saturating_add(segment.slots)) {
                let remaining = pair.first.saturating_sub(pair.second);
                first = Some(Conflict {
                    group: constraint.group,
                    at: pair.from,
                    remaining,
                    wanted: segment.slots,
                });
                break;
            }
        }
    }
    first
}

/// Next start, not before the window's own, at which the window fits and ends by the horizon.
pub(crate) fn next_available_start(
    constraints: &[Constraint<'_>],
    window: &ReservationWindow,
    horizon: Micros,
) -> Option<Micros> {
    let mut from = window.lead_start();
    let mut all: Vec<ForbiddenStarts<'_>> = Vec::new();
    for constraint in constraints {
        for segment in window
            .segments(constraint.wanted)
            .iter()
            .filter(|segment| segment.slots > 0 && segment.from < segment.until)
        {
            all.push(ForbiddenStarts {
                pairs: constraint.limit.zip_segments(constraint.used, segment.from, Micros::MAX),
                slots: segment.slots,
                offset: segment.from - from,
                length: segment.until - segment.from,
                current: None,
                next: None,
            });
        }
    }
    // The segments with most slots detect soonest that nothing fits.
    all.sort_by_key(|forbidden| std::cmp::Reverse(forbidden.slots));
    loop {
        let before = from;
        for forbidden in &mut all {
            from = forbidden.first_allowed(from)?;
        }
        let moved = window.shifted_to(from);
        if moved.taper_end() > horizon {
            return None;
        }
        if from == before {
            return Some(moved.start);
        }
    }
}

/// Starts that a constraint forbids for one segment of the window, in ascending order.
struct ForbiddenStarts<'a> {
    pairs: SegmentPairs<'a>,
    slots: u32,
    offset: Micros,
    length: Micros,
    current: Option<(Micros, Micros)>,
    /// A pair that begins after the end of the segment at the start under examination.
    next: Option<SegmentPair>,
}

impl ForbiddenStarts<'_> {
    /// First start at or after `from` that is not forbidden; `None` if all are.
    fn first_allowed(&mut self, mut from: Micros) -> Option<Micros> {
        loop {
            match self.current {
                Some((first, _)) if from < first => return Some(from),
                Some((_, last)) => {
                    from = from.max(last.checked_add(1).filter(|next| *next < Micros::MAX - self.offset)?);
                    self.current = None;
                }
                None => {
                    let Some(pair) = self.next.take().or_else(|| self.pairs.next()) else {
                        return Some(from);
                    };
                    if pair.from >= from.saturating_add(self.offset + self.length) {
                        self.next = Some(pair);
                        return Some(from);
                    }
                    if pair.first >= pair.second.saturating_add(self.slots) {
                        continue;
                    }
                    // A segment that overlaps [a, b) begins after a - length and before b.
                    let first = (pair.from + 1).saturating_sub(self.offset + self.length);
                    let last = pair.until.saturating_sub(self.offset + 1);
                    self.current = Some((first, last));
                }
            }
        }
    }
}
