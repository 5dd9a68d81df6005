//! Who gets short when a group can do less than it promised: one rule, the same at every node.
//!
//! By rank: the strongest get all they want as long as it lasts (higher rank, then who was confirmed first). Pro rata:
//! `floor(want * firm / sum)` each, and what rounding leaves one by one to the strongest. What is only held gets nothing.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::book::Book;
use crate::booking::{Booking, Cause, Short};
use crate::capacity::ShortBy;
use crate::command::Told;
use crate::line::Line;
use crate::when::{Interval, Micros};

/// The strongest first.
type Place = (Reverse<u8>, u64, u64);

fn place(booking: &Booking) -> Place {
    (Reverse(booking.rank), booking.order, booking.id)
}

/// What each gets of what is there, the strongest first; whoever is not named gets what it wants.
pub(crate) fn share(rule: ShortBy, wants: &BTreeMap<Place, u32>, there: u32) -> Vec<(u64, u32)> {
    let sum: u32 = wants.values().sum();
    if sum <= there {
        return Vec::new();
    }
    match rule {
        ShortBy::Rank => {
            let mut missing = sum - there;
            let weakest = wants.iter().rev().map_while(|(place, want)| {
                let less = missing.min(*want);
                missing -= less;
                (less > 0).then_some((place.2, want - less))
            });
            weakest.collect()
        }
        ShortBy::ProRata => {
            let floor = |want: u32| (u64::from(want) * u64::from(there) / u64::from(sum)) as u32;
            let mut over = there - wants.values().map(|want| floor(*want)).sum::<u32>();
            let part = |(place, want): (&Place, &u32)| {
                let one = over.min(1).min(want - floor(*want));
                over -= one;
                (place.2, floor(*want) + one)
            };
            wants.iter().map(part).collect()
        }
    }
}

impl Book {
    /// What those who may use slots of a group want at a moment, the strongest first.
    pub(crate) fn wants(&self, group: &str, at: Micros) -> BTreeMap<Place, u32> {
        let entitled = self.bookings().filter(|booking| booking.entitles());
        let wants = entitled.map(|booking| (place(booking), booking.wants(group, at)));
        wants.filter(|(_, want)| *want > 0).collect()
    }

    /// Who gets short of a group where `there` is what bookings can have of it, from a moment on.
    pub(crate) fn shortage(&self, group: &str, there: &Line, since: Micros) -> BTreeMap<u64, Short> {
        let mut short = BTreeMap::new();
        let (Some(lines), Some(of)) = (self.lines.get(group), self.form.groups.get(group)) else {
            return short;
        };
        if there.pairs(&lines.used, since, Micros::MAX).all(|pair| pair.one >= pair.other) {
            return short;
        }
        let entitled = self.bookings().filter(|booking| booking.entitles());
        let mut changes: Vec<(Micros, Place, u32)> = Vec::new();
        for booking in entitled.filter(|booking| booking.window.until() > since) {
            let line = Line::sum(booking.steps(group).into_iter().flatten());
            changes.extend(line.edges(0).map(|at| (at, place(booking), line.at(at))));
        }
        changes.sort_unstable();
        let mut moments: BTreeSet<Micros> = changes.iter().map(|change| change.0).collect();
        moments.extend(there.edges(0).chain([0]));
        let (mut changes, mut wants) = (changes.into_iter().peekable(), BTreeMap::new());
        let mut moments = moments.into_iter().peekable();
        while let Some(at) = moments.next() {
            while let Some((_, place, want)) = changes.next_if(|change| change.0 <= at) {
                match want {
                    0 => wants.remove(&place),
                    want => wants.insert(place, want),
                };
            }
            let until = moments.peek().copied().unwrap_or(Micros::MAX);
            if until <= since {
                continue;
            }
            let shares = share(of.rule.short_by, &wants, there.at(at));
            for (id, left) in shares {
                short
                    .entry(id)
                    .and_modify(|short: &mut Short| (short.until, short.left) = (until, short.left.min(left)))
                    .or_insert_with(|| Short { group: group.to_owned(), from: at, until, left });
            }
        }
        short
    }

    /// Works out who is short, and marks and tells whose bookings changed by it.
    pub(crate) fn reckon(&mut self, now: Interval, told: &mut BTreeSet<Told>) {
        let mut short: BTreeMap<u64, Short> = BTreeMap::new();
        for (group, lines) in &self.lines {
            for (id, new) in self.shortage(group, &lines.capacity.firm, now.earliest) {
                let first = short.get(&id).is_none_or(|old| new.from < old.from);
                if first {
                    short.insert(id, new);
                }
            }
        }
        let differs = |booking: &&Arc<Booking>| booking.short.as_ref() != short.get(&booking.id);
        let changed: Vec<Arc<Booking>> = self.form.bookings.iter().filter(differs).cloned().collect();
        for old in changed {
            let mut booking = Booking::clone(&old);
            booking.short = short.remove(&old.id);
            let cause = match (&old.short, &booking.short) {
                (Some(old), Some(new)) if (&old.group, old.left) == (&new.group, new.left) => None,
                (_, Some(new)) => {
                    let group = self.form.groups.get(&new.group);
                    let why = group.map(|group| group.why(new.from.max(now.earliest)));
                    Some(Cause::Short(why.unwrap_or_default()))
                }
                (_, None) => old.occupies().then_some(Cause::Whole),
            };
            if let Some(cause) = cause {
                booking.mark(now.latest, old.phase, cause);
                told.insert(Told { tenant: booking.tenant.clone(), booking: booking.id });
            }
            self.put(booking);
        }
    }
}
