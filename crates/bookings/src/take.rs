//! Commands, one by one. Each works on a copy, so one that is refused loses nothing.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::book::Book;
use crate::booking::{Booking, Cause, Key, Phase};
use crate::command::{Answer, Command, Told};
use crate::refusal::Refusal;
use crate::settings::{text, Setup, MOST_BYTES, MOST_HEAD};
use crate::when::Interval;

impl Book {
    /// Does what a command says, at a moment as the writer knows it; what comes out is written over the version that was
    /// read, and over no other.
    ///
    /// What is nearer than `spread` stands: no command changes what any node may already be acting on.
    ///
    /// # Errors
    /// Why it is not done.
    pub fn take(&self, command: Command, now: impl Into<Interval>) -> Result<(Book, Answer), Refusal> {
        let now = now.into();
        let hashes = command.hashes();
        if let Some((tenant, key)) = command.key() {
            text("tenant", tenant)?;
            text("key", key)?;
            if let Some(booking) = self.known(tenant, hashes)? {
                let answer = Answer { booking: Some(booking), again: true, told: Vec::new() };
                return Ok((self.clone(), answer));
            }
        }
        let mut book = self.clone();
        let mut told = BTreeSet::new();
        book.pass(now, &mut told);
        let booking = match command {
            Command::Book { tenant, wish, rank, displace, hold, .. } => {
                Some(book.admit(tenant, wish, rank, displace, hold, hashes, now, &mut told)?)
            }
            Command::Confirm { tenant, booking, .. } => {
                let found = book.own(&tenant, booking)?;
                Some(book.confirm(found, hashes, now)?)
            }
            Command::Change { tenant, booking, wish, .. } => {
                let found = book.own(&tenant, booking)?;
                Some(book.change(found, wish, hashes, now)?)
            }
            Command::Cancel { tenant, booking, reason, .. } => {
                text("reason", &reason)?;
                let found = book.own(&tenant, booking)?;
                Some(book.cancel(found, reason, hashes, now))
            }
            Command::Configure(setup) => {
                book.configure(setup)?;
                None
            }
        };
        if booking.is_none() || book.tally.short > 0 {
            book.reckon(now, &mut told);
        }
        book.retire(now);
        if book.needs() > MOST_BYTES - MOST_HEAD && book.needs() > self.needs() {
            return Err(Refusal::BookLong { bytes: book.needs() });
        }
        let told: Vec<Told> = told.into_iter().filter(|told| Some(told.booking) != booking).collect();
        Ok((book, Answer { booking, again: false, told }))
    }

    /// The booking that a command with this key was about, if it was taken.
    fn known(&self, tenant: &str, hashes: Key) -> Result<Option<u64>, Refusal> {
        let mut own = self.bookings().filter(|booking| booking.tenant == tenant);
        let known = own.find_map(|booking| {
            let key = booking.keys.iter().find(|key| key.key == hashes.key)?;
            Some((booking.id, key.body == hashes.body))
        });
        match known {
            Some((booking, false)) => Err(Refusal::KeyReused { booking }),
            known => Ok(known.map(|(booking, _)| booking)),
        }
    }

    /// A tenant's booking that is not over.
    fn own(&self, tenant: &str, id: u64) -> Result<Booking, Refusal> {
        let found = self.booking(id).filter(|booking| booking.tenant == tenant);
        let found = found.ok_or(Refusal::NoBooking(id))?;
        match found.phase {
            Phase::Expired => Err(Refusal::HoldOver { booking: id, at: found.hold_until }),
            phase if !found.occupies() => Err(Refusal::Over { booking: id, phase }),
            _ => Ok(found.clone()),
        }
    }

    fn confirm(&mut self, mut booking: Booking, key: Key, now: Interval) -> Result<u64, Refusal> {
        let id = booking.id;
        if booking.phase == Phase::Held {
            if now.latest >= booking.hold_until {
                return Err(Refusal::HoldOver { booking: id, at: booking.hold_until });
            }
            self.still_there(&booking, now)?;
            booking.order = self.next_number();
            booking.hold_until = 0;
            booking.mark(now.latest, Phase::Confirmed, Cause::Confirmed);
        }
        booking.know(key);
        self.put(booking);
        Ok(id)
    }

    fn cancel(&mut self, mut booking: Booking, reason: String, key: Key, now: Interval) -> u64 {
        let id = booking.id;
        if booking.begun(now, &self.form.settings) {
            // Other nodes may act on it until then, so its slots are free only after that.
            booking.window = booking.window.cut(now.latest.saturating_add(self.form.settings.spread));
            booking.ends = Phase::Cancelled;
            booking.mark(now.latest, booking.phase, Cause::Cancelled(reason));
        } else {
            booking.short = None;
            booking.mark(now.latest, Phase::Cancelled, Cause::Cancelled(reason));
        }
        booking.know(key);
        self.put(booking);
        id
    }

    fn configure(&mut self, setup: Setup) -> Result<(), Refusal> {
        let in_use = |group: &String| {
            self.bookings().find(|booking| booking.occupies() && booking.parts.contains_key(group))
        };
        for group in self.form.groups.keys().filter(|group| !setup.groups.contains_key(*group)) {
            if let Some(booking) = in_use(group) {
                return Err(Refusal::GroupInUse { group: group.clone(), booking: booking.id });
            }
        }
        let groups = setup.groups.into_iter().map(|(name, rule)| {
            let mut group = self.form.groups.get(&name).cloned().unwrap_or_default();
            group.rule = rule;
            (name, group)
        });
        self.form.groups = Arc::new(groups.collect());
        self.form.settings = Arc::new(setup.settings);
        self.measure()
    }
}
