//! New bookings, and what a wish is held against.

use std::collections::BTreeSet;

use crate::book::Book;
use crate::booking::{Booking, Cause, Key, Phase, LAST};
use crate::calendar::{first_full, next_fit, Full, Ground};
use crate::command::{Told, Wish};
use crate::line::Line;
use crate::refusal::Refusal;
use crate::settings::{MOST_BOOKINGS, MOST_PARTS, MOST_SLOTS};
use crate::when::{Interval, Micros};

impl Book {
    /// Takes a wish as a new booking, held or confirmed.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn admit(
        &mut self,
        tenant: String,
        wish: Wish,
        rank: u8,
        displace: bool,
        hold: Option<Micros>,
        key: Key,
        now: Interval,
        told: &mut BTreeSet<Told>,
    ) -> Result<u64, Refusal> {
        let settings = self.form.settings.clone();
        let allowance = settings.allowance(&tenant);
        let highest = allowance.highest_rank.min(settings.ranks.len() as u8 - 1);
        if rank > highest {
            return Err(Refusal::RankTooHigh { rank, highest });
        }
        self.sensible(&wish, now)?;
        let settled = now.latest.saturating_add(settings.spread);
        if wish.window.from() < settled {
            return Err(Refusal::TooLate { from: wish.window.from(), earliest: settled });
        }
        let own = self.bookings().filter(|booking| booking.occupies() && booking.tenant == tenant);
        if own.count() >= allowance.bookings as usize {
            return Err(Refusal::TenantBookings { most: allowance.bookings });
        }
        if self.form.bookings.len() - self.tally.over >= MOST_BOOKINGS {
            return Err(Refusal::BookFull);
        }
        let id = self.next_number();
        if let Err(refusal) = self.fits(&tenant, &wish, now) {
            if !displace {
                return Err(refusal);
            }
            self.displace(&tenant, &wish, (id, rank), refusal, now, told)?;
        }
        let mut booking = Booking {
            id,
            tenant,
            parts: wish.parts,
            window: wish.window,
            rank,
            phase: Phase::Held,
            ends: Phase::Done,
            hold_until: 0,
            firm_at: self.firm_at(rank, wish.window.from()),
            order: 0,
            keys: vec![key],
            trail: Vec::new(),
            short: None,
        };
        match hold {
            // It ends before any node may act on the booking, so that what was held is free at once.
            Some(hold) => {
                let hold = now.latest.saturating_add(hold.min(settings.longest_hold));
                booking.hold_until = hold.min(wish.window.from() - settings.spread);
                booking.mark(now.latest, Phase::Held, Cause::Asked);
            }
            None => {
                booking.order = self.next_number();
                booking.mark(now.latest, Phase::Confirmed, Cause::Asked);
            }
        }
        self.put(booking);
        Ok(id)
    }

    /// From when on a booking of a rank is displaced no more.
    pub(crate) fn firm_at(&self, rank: u8, from: Micros) -> Micros {
        let ranks = &self.form.settings.ranks;
        let notice = ranks.get(usize::from(rank)).or(ranks.last()).map_or(0, |rank| rank.notice);
        from.saturating_sub(notice)
    }

    /// Whether a wish says something that could be.
    pub(crate) fn sensible(&self, wish: &Wish, now: Interval) -> Result<(), Refusal> {
        let Wish { parts, window } = wish;
        let wrong = |why| Err(Refusal::Setting { what: "window", why });
        if parts.is_empty() {
            return Err(Refusal::Setting { what: "parts", why: "there is none: name a group and its slots" });
        }
        if parts.len() > MOST_PARTS {
            let is = parts.len() as u64;
            return Err(Refusal::Bound { what: "groups of a booking", most: MOST_PARTS as u64, is });
        }
        for (group, slots) in parts {
            if !self.form.groups.contains_key(group) {
                return Err(Refusal::NoGroup(group.clone()));
            }
            if *slots == 0 {
                return Err(Refusal::Setting { what: "slots", why: "0 are wanted: ask for 1 or more" });
            }
            if *slots > MOST_SLOTS {
                let is = u64::from(*slots);
                return Err(Refusal::Bound { what: "slots of a booking", most: MOST_SLOTS.into(), is });
            }
        }
        if window.start >= window.end {
            return wrong("it ends before it starts: give an end after the start");
        }
        if window.lead_percent > 100 || window.taper_percent > 100 {
            return wrong("lead and taper take 0 to 100 percent of the slots");
        }
        if window.lead > window.start
            || window.end.checked_add(window.taper).is_none_or(|until| until >= LAST)
        {
            return wrong("its lead or its taper is longer than time: give a shorter one");
        }
        let (length, longest) = (window.until() - window.from(), self.form.settings.longest);
        if length > longest {
            return Err(Refusal::Bound { what: "microseconds of a booking", most: longest, is: length });
        }
        let latest = now.latest.saturating_add(self.form.settings.horizon);
        if window.until() > latest {
            return Err(Refusal::TooFar { until: window.until(), latest });
        }
        Ok(())
    }

    /// Whether a wish of a tenant fits beside all that is in the book, from `settled` on.
    pub(crate) fn fits(&self, tenant: &str, wish: &Wish, now: Interval) -> Result<(), Refusal> {
        let own = self.bookings().filter(|booking| booking.occupies() && booking.tenant == tenant);
        let own = Booking::sum(own);
        let most = Line::level(self.form.settings.allowance(tenant).slots);
        let mut grounds = self.grounds(wish);
        grounds.push(Ground { group: None, most: &most, used: &own, wants: wish.parts.values().sum() });
        let settled = now.latest.saturating_add(self.form.settings.spread);
        let Some(Full { group, at, left, wants }) = first_full(&grounds, &wish.window, settled) else {
            return Ok(());
        };
        let horizon = now.latest.saturating_add(self.form.settings.horizon);
        // One that has begun can't be moved.
        let movable = wish.window.from() >= settled;
        let next = if movable { next_fit(&grounds, &wish.window, horizon) } else { None };
        Err(match group.map(str::to_owned) {
            Some(group) => Refusal::TooFull { group, at, left, wanted: wants, next },
            None => Refusal::TenantFull { at, left, wanted: wants, next },
        })
    }

    /// Whether what is held can still be promised: servers may have gone since.
    pub(crate) fn still_there(&self, booking: &Booking, now: Interval) -> Result<(), Refusal> {
        for group in booking.parts.keys() {
            let Some(lines) = self.lines.get(group.as_str()) else { continue };
            let (from, until) = (booking.window.from().max(now.earliest), booking.window.until());
            let mut pairs = lines.capacity.firm.pairs(&lines.used, from, until);
            if let Some(pair) = pairs.find(|pair| pair.one < pair.other) {
                let wanted = booking.wants(group, pair.from);
                let left = pair.one.saturating_sub(pair.other - wanted);
                return Err(Refusal::TooFull {
                    group: group.clone(),
                    at: pair.from,
                    left,
                    wanted,
                    next: None,
                });
            }
        }
        Ok(())
    }

    pub(crate) fn grounds<'a>(&'a self, wish: &'a Wish) -> Vec<Ground<'a>> {
        let part = |(group, slots): (&'a String, &u32)| {
            let lines = self.lines.get(group.as_str())?;
            let (most, used) = (&lines.capacity.bookable, &*lines.used);
            Some(Ground { group: Some(group), most, used, wants: *slots })
        };
        wish.parts.iter().filter_map(part).collect()
    }
}
