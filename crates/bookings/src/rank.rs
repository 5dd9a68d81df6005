//! Who has to go for a higher rank, and until when.
//!
//! A booking may be displaced by a higher rank before its notice (`from - notice` of its rank), and never once a node may
//! be acting on it. At the first moment that is too full the weakest goes that has slots there: the lowest rank, in it
//! what is only held, then who was confirmed last. Who turns out not to be needed, the strongest first, stays.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::book::Book;
use crate::booking::{Booking, Cause, Phase};
use crate::calendar::first_full;
use crate::command::{Told, Wish};
use crate::refusal::Refusal;
use crate::settings::MOST_DISPLACED;
use crate::when::Interval;

/// From the weakest on.
fn strength(booking: &Booking) -> (u8, bool, Reverse<u64>, Reverse<u64>) {
    (booking.rank, booking.order > 0, Reverse(booking.order), Reverse(booking.id))
}

impl Book {
    /// Displaces lower ranks so that a wish of `by` (its number and rank) fits; `refusal` is why it does not yet.
    pub(crate) fn displace(
        &mut self,
        tenant: &str,
        wish: &Wish,
        by: (u64, u8),
        refusal: Refusal,
        now: Interval,
        told: &mut BTreeSet<Told>,
    ) -> Result<(), Refusal> {
        let settled = now.latest.saturating_add(self.form.settings.spread);
        let mut out: Vec<Arc<Booking>> = Vec::new();
        let full = |book: &Book| {
            let full = first_full(&book.grounds(wish), &wish.window, settled)?;
            Some((full.group?.to_owned(), full.at))
        };
        while let Some((group, at)) = full(self) {
            let may = |booking: &&Booking| {
                booking.rank < by.1
                    && booking.phase <= Phase::Confirmed
                    && now.latest < booking.firm_at
                    && settled <= booking.window.from()
                    && booking.wants(&group, at) > 0
            };
            let Some(weakest) = self.bookings().filter(may).min_by_key(|booking| strength(booking)) else {
                return Err(refusal);
            };
            if out.len() >= MOST_DISPLACED {
                return Err(Refusal::DisplacesTooMany);
            }
            let id = weakest.id;
            out.extend(self.remove(id));
        }
        out.sort_by_key(|booking| Reverse(strength(booking)));
        for booking in out {
            let mut gone = Booking::clone(&booking);
            self.put(Booking::clone(&booking));
            if full(self).is_none() {
                continue;
            }
            gone.short = None;
            gone.mark(now.latest, Phase::Displaced, Cause::DisplacedBy { booking: by.0, rank: by.1 });
            told.insert(Told { tenant: gone.tenant.clone(), booking: gone.id });
            self.put(gone);
        }
        // The tenant's own allowance is not widened by it.
        self.fits(tenant, wish, now)
    }
}
