//! Changes: checked like new bookings, with their own slots counted out, and lost by nothing when refused.

use std::collections::BTreeSet;

use crate::book::Book;
use crate::booking::{Booking, Cause, Key, Phase};
use crate::command::Wish;
use crate::line::Line;
use crate::refusal::Refusal;
use crate::when::{Interval, Micros, Window};

impl Book {
    pub(crate) fn change(
        &mut self,
        mut booking: Booking,
        wish: Wish,
        key: Key,
        now: Interval,
    ) -> Result<u64, Refusal> {
        let id = booking.id;
        self.sensible(&wish, now)?;
        if booking.ends == Phase::Cancelled {
            return Err(Refusal::Begun { booking: id, why: "it was cancelled and ends soon: book anew" });
        }
        let settled = now.latest.saturating_add(self.form.settings.spread);
        if !same_until(&booking, &wish, now.earliest, settled) {
            let why = "what it has within the spread from now stands: change what comes after, or book the rest beside it";
            return Err(Refusal::Begun { booking: id, why });
        }
        self.remove(id);
        self.fits(&booking.tenant, &wish, now)?;
        booking.firm_at = self.firm_at(booking.rank, wish.window.from());
        if booking.phase == Phase::Held {
            booking.hold_until = booking.hold_until.min(wish.window.from() - self.form.settings.spread);
        }
        (booking.parts, booking.window) = (wish.parts, wish.window);
        booking.mark(now.latest, booking.phase, Cause::Changed);
        booking.know(key);
        self.put(booking);
        Ok(id)
    }
}

/// Whether a booking and what is wanted in its place are the same in every group from one moment to another, and every
/// edge before the latter stands where it stood: what has begun has begun.
fn same_until(booking: &Booking, wish: &Wish, from: Micros, until: Micros) -> bool {
    let edges = |window: &Window| [window.from(), window.start, window.end, window.until()];
    let mut moved =
        edges(&booking.window).into_iter().zip(edges(&wish.window)).filter(|(old, new)| old != new);
    if moved.any(|(old, new)| old.min(new) < until) {
        return false;
    }
    let groups: BTreeSet<&String> = booking.parts.keys().chain(wish.parts.keys()).collect();
    groups.into_iter().all(|group| {
        let old = Line::sum(booking.steps(group).into_iter().flatten());
        let new = Line::sum(wish.parts.get(group).into_iter().flat_map(|slots| wish.window.steps(*slots)));
        let same = old.pairs(&new, from, until).all(|pair| pair.one == pair.other);
        same
    })
}
