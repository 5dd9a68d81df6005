//! Whether a window fits, where it first does not, and when it next would.
//!
//! All grounds (the groups of a booking, its tenant's allowance) are looked at together: a booking is taken in all of
//! them or not at all. One walk over the segments that the window meets answers the first question; one walk over all
//! later segments the last: each segment that is too full forbids an interval of beginnings, and the intervals of each
//! ground and step come in order, so the first beginning that none forbids is found by merging them.

use crate::line::{Line, Pair, Pairs};
use crate::when::{Micros, Window};

/// Something that a booking has to fit into.
pub(crate) struct Ground<'a> {
    /// A group's name; `None` is the tenant's allowance.
    pub group: Option<&'a str>,
    pub most: &'a Line,
    pub used: &'a Line,
    pub wants: u32,
}

/// The first moment that is too full.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Full<'a> {
    pub group: Option<&'a str>,
    pub at: Micros,
    pub left: u32,
    pub wants: u32,
}

/// Where a window first does not fit, from a moment on.
pub(crate) fn first_full<'a>(grounds: &[Ground<'a>], window: &Window, since: Micros) -> Option<Full<'a>> {
    let mut first: Option<Full<'a>> = None;
    for ground in grounds {
        for step in window.steps(ground.wants).into_iter().filter(|step| step.slots > 0) {
            let until = first.as_ref().map_or(step.until, |full| full.at.min(step.until));
            let mut pairs = ground.most.pairs(ground.used, step.from.max(since), until);
            if let Some(pair) = pairs.find(|pair| pair.one < pair.other.saturating_add(step.slots)) {
                let left = pair.one.saturating_sub(pair.other);
                first = Some(Full { group: ground.group, at: pair.from, left, wants: step.slots });
                break;
            }
        }
    }
    first
}

/// The next start at which a window fits that is over by the horizon, not before the one it has.
pub(crate) fn next_fit(grounds: &[Ground<'_>], window: &Window, horizon: Micros) -> Option<Micros> {
    let mut from = window.from();
    let mut all: Vec<Forbidden<'_>> = Vec::new();
    for ground in grounds {
        for step in window.steps(ground.wants).iter().filter(|step| step.slots > 0 && step.from < step.until)
        {
            all.push(Forbidden {
                pairs: ground.most.pairs(ground.used, step.from, Micros::MAX),
                slots: step.slots,
                offset: step.from - from,
                length: step.until - step.from,
                now: None,
                next: None,
            });
        }
    }
    // Who wants most finds out soonest that nothing fits.
    all.sort_by_key(|forbidden| std::cmp::Reverse(forbidden.slots));
    loop {
        let before = from;
        for forbidden in &mut all {
            from = forbidden.leave(from)?;
        }
        let moved = window.moved(from);
        if moved.until() > horizon {
            return None;
        }
        if from == before {
            return Some(moved.start);
        }
    }
}

/// The beginnings that a ground forbids for one of the steps, in their order.
struct Forbidden<'a> {
    pairs: Pairs<'a>,
    slots: u32,
    offset: Micros,
    length: Micros,
    now: Option<(Micros, Micros)>,
    /// A segment that is past the step where it begins by now.
    next: Option<Pair>,
}

impl Forbidden<'_> {
    /// The first beginning from one on that this does not forbid; `None` if there is none for ever.
    fn leave(&mut self, mut from: Micros) -> Option<Micros> {
        loop {
            match self.now {
                Some((first, _)) if from < first => return Some(from),
                Some((_, last)) => {
                    from = from.max(last.checked_add(1).filter(|next| *next < Micros::MAX - self.offset)?);
                    self.now = None;
                }
                None => {
                    let Some(pair) = self.next.take().or_else(|| self.pairs.next()) else {
                        return Some(from);
                    };
                    if pair.from >= from.saturating_add(self.offset + self.length) {
                        self.next = Some(pair);
                        return Some(from);
                    }
                    if pair.one >= pair.other.saturating_add(self.slots) {
                        continue;
                    }
                    // A step that meets the segment [a, b) begins after a - length and before b.
                    let first = (pair.from + 1).saturating_sub(self.offset + self.length);
                    let last = pair.until.saturating_sub(self.offset + 1);
                    self.now = Some((first, last));
                }
            }
        }
    }
}
