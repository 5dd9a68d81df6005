//! What time and the servers do to a book, without anybody's command.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::book::Book;
use crate::booking::{Booking, Cause, Mark};
use crate::capacity::{By, Out, Server};
use crate::command::Told;
use crate::refusal::Refusal;
use crate::settings::{MOST_BYTES, MOST_ENDED, MOST_ENDED_A_TENANT, MOST_SERVERS};
use crate::when::{Interval, Micros};

/// A server as the fleet sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Its zone.
    pub zone: String,
    /// What it can have in flight.
    pub slots: u32,
    /// When permits or operators have it out, as far as is known.
    pub outs: Vec<Out>,
    /// That it is dead, and why that is held: `silent`, `zone b is lost`.
    pub dead: Option<String>,
}

/// All servers as the fleet agrees on them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scene {
    /// By group and name; a group that is not here stays as it was.
    pub groups: BTreeMap<String, BTreeMap<String, Seen>>,
}

impl Book {
    /// Lets time pass and takes in what is seen of the servers. What comes out is to be written if it differs.
    ///
    /// # Errors
    /// Where the scene is over a bound; the book stands.
    pub fn settle(&self, now: impl Into<Interval>, scene: &Scene) -> Result<(Book, Vec<Told>), Refusal> {
        let now = now.into();
        let (mut book, mut told) = (self.clone(), BTreeSet::new());
        book.pass(now, &mut told);
        book.see(now, scene)?;
        book.reckon(now, &mut told);
        book.retire(now);
        book.shed();
        Ok((book, told.into_iter().collect()))
    }

    /// Lets time pass: whatever is surely past has happened, at the moment that the booking says.
    pub(crate) fn pass(&mut self, now: Interval, told: &mut BTreeSet<Told>) {
        if self.due > now.earliest {
            return;
        }
        let ripe = |booking: &&Arc<Booking>| booking.due().is_some_and(|(at, _)| at <= now.earliest);
        let ripe: Vec<Arc<Booking>> = self.form.bookings.iter().filter(ripe).cloned().collect();
        for booking in ripe {
            let mut booking = Booking::clone(&booking);
            while let Some((at, phase)) = booking.due().filter(|(at, _)| *at <= now.earliest) {
                booking.mark(at, phase, Cause::Time);
            }
            if !booking.occupies() {
                booking.short = None;
            }
            told.insert(Told { tenant: booking.tenant.clone(), booking: booking.id });
            self.put(booking);
        }
        self.due = self.bookings().filter_map(|b| b.due().map(|due| due.0)).min().unwrap_or(Micros::MAX);
    }

    /// Takes in the servers. One that died is held to be away for `mend` from now, and longer while it stays dead; that is
    /// written on only every half of it, so that the document is not written for nothing.
    fn see(&mut self, now: Interval, scene: &Scene) -> Result<(), Refusal> {
        let mend = self.form.settings.mend;
        let mut groups = BTreeMap::clone(&self.form.groups);
        for (name, seen) in &scene.groups {
            let Some(group) = groups.get_mut(name) else { continue };
            let servers = seen.iter().map(|(name, seen)| {
                let old =
                    group.servers.get(name).and_then(|old| old.outs.iter().find(|out| out.by == By::Dead));
                let outs = seen.outs.iter().filter(|out| out.until > now.earliest && out.by != By::Dead);
                let dead = seen.dead.as_ref().map(|why| match old {
                    Some(old) if old.until >= now.latest.saturating_add(mend / 2) => old.clone(),
                    old => Out {
                        from: old.map_or(now.earliest, |old| old.from),
                        until: now.latest.saturating_add(mend),
                        by: By::Dead,
                        why: why.clone(),
                    },
                });
                let outs = outs.cloned().chain(dead).collect();
                (name.clone(), Server { zone: seen.zone.clone(), slots: seen.slots, outs })
            });
            group.servers = servers.collect();
        }
        let servers: usize = groups.values().map(|group| group.servers.len()).sum();
        if servers > MOST_SERVERS {
            return Err(Refusal::Bound { what: "servers", most: MOST_SERVERS as u64, is: servers as u64 });
        }
        if groups != *self.form.groups {
            self.form.groups = Arc::new(groups);
            self.measure()?;
        }
        Ok(())
    }

    /// Forgets what was over long ago, or is too much to keep.
    pub(crate) fn retire(&mut self, now: Interval) {
        if self.tally.over == 0 {
            return;
        }
        let kept = self.form.settings.kept;
        let mut ended: BTreeMap<&str, BTreeSet<(Micros, u64)>> = BTreeMap::new();
        for booking in self.bookings() {
            if let Some(at) = booking.ended() {
                ended.entry(&booking.tenant).or_default().insert((at, booking.id));
            }
        }
        let mut gone: Vec<u64> = Vec::new();
        for of_one in ended.values_mut() {
            while of_one.first().is_some_and(|(at, _)| {
                at.saturating_add(kept) <= now.earliest || of_one.len() > MOST_ENDED_A_TENANT
            }) {
                gone.extend(of_one.pop_first().map(|(_, id)| id));
            }
        }
        let mut all: usize = ended.values().map(BTreeSet::len).sum();
        while all > MOST_ENDED {
            let most = ended.values_mut().max_by_key(|of_one| of_one.len());
            gone.extend(most.and_then(BTreeSet::pop_first).map(|(_, id)| id));
            all -= 1;
        }
        gone.into_iter().for_each(|id| drop(self.remove(id)));
    }

    /// Makes a document that grew too long fit again: what is over goes, the oldest first, then what was remembered.
    fn shed(&mut self) {
        while self.bytes() > MOST_BYTES {
            let over = self.bookings().filter_map(|booking| Some((booking.ended()?, booking.id)));
            if let Some((_, id)) = over.min() {
                self.remove(id);
                continue;
            }
            let texts = |booking: &Booking| matches!(booking.trail.last(), Some(Mark { cause: Cause::Short(why), .. }) if !why.is_empty());
            let long = self.bookings().filter(|booking| booking.trail.len() > 1 || texts(booking));
            let Some(longest) = long.max_by_key(|booking| booking.trail.len()) else { return };
            let mut booking = longest.clone();
            booking.trail.drain(..booking.trail.len() - 1);
            if let Some(Mark { cause: Cause::Short(why), .. }) = booking.trail.last_mut() {
                why.clear();
            }
            self.put(booking);
        }
    }
}
