//! The document, and what is worked out from it to decide quickly.

use std::collections::BTreeMap;
use std::ops::{Add, Sub};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::booking::Booking;
use crate::capacity::{Capacity, Group};
use crate::form::size;
use crate::line::Line;
use crate::refusal::Refusal;
use crate::settings::{Settings, Setup, MOST_GROUPS, MOST_HEAD};
use crate::when::Micros;

/// What is written. Two books are equal where this is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Form {
    pub settings: Arc<Settings>,
    pub groups: Arc<BTreeMap<String, Group>>,
    /// The last number that was given, to a booking or as a place among the confirmed.
    pub last: u64,
    /// By their numbers.
    pub bookings: Arc<Vec<Arc<Booking>>>,
}

/// A group's lines.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lines {
    pub capacity: Arc<Capacity>,
    pub used: Arc<Line>,
}

/// All bookings of a fleet: one document, read and written as a whole. Copying it is cheap.
#[derive(Clone, Debug)]
pub struct Book {
    pub(crate) form: Form,
    pub(crate) lines: BTreeMap<Arc<str>, Lines>,
    /// When time next changes something; 0 where that has to be looked up.
    pub(crate) due: Micros,
    head: usize,
    pub(crate) tally: Tally,
}

/// Sums over all bookings.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    /// Bytes.
    body: usize,
    /// Bytes that it would take to say that each is short.
    spare: usize,
    /// Those that are over.
    pub over: usize,
    /// Those that are short.
    pub short: usize,
}

impl Tally {
    fn count(&mut self, booking: &Booking, how: fn(usize, usize) -> usize) {
        self.body = how(self.body, size(booking));
        self.spare = how(self.spare, booking.spare());
        self.over = how(self.over, usize::from(!booking.occupies()));
        self.short = how(self.short, usize::from(booking.short.is_some()));
    }
}

impl PartialEq for Book {
    fn eq(&self, other: &Book) -> bool {
        self.form == other.form
    }
}

impl Eq for Book {}

impl Book {
    /// A book with these groups, which have no servers yet: see [`Book::settle`].
    ///
    /// # Errors
    /// What of it can't be.
    pub fn new(setup: Setup) -> Result<Book, Refusal> {
        let groups = setup.groups.into_iter().map(|(name, rule)| (name, Group { rule, ..Group::default() }));
        let (settings, groups) = (Arc::new(setup.settings), Arc::new(groups.collect()));
        Book::of(Form { settings, groups, last: 0, bookings: Arc::default() })
    }

    pub(crate) fn of(form: Form) -> Result<Book, Refusal> {
        let mut book = Book { form, lines: BTreeMap::new(), due: 0, head: 0, tally: Tally::default() };
        book.measure()?;
        for (name, lines) in &mut book.lines {
            let on_it = book.form.bookings.iter().filter(|booking| booking.occupies());
            lines.used = Arc::new(Line::sum(on_it.filter_map(|booking| booking.steps(name)).flatten()));
        }
        book.form.bookings.iter().for_each(|booking| book.tally.count(booking, usize::add));
        Ok(book)
    }

    /// Checks settings and groups and works their lines out anew; what is used of the groups stays.
    pub(crate) fn measure(&mut self) -> Result<(), Refusal> {
        let form = &self.form;
        form.settings.check()?;
        if form.groups.len() > MOST_GROUPS {
            let is = form.groups.len() as u64;
            return Err(Refusal::Bound { what: "groups", most: MOST_GROUPS as u64, is });
        }
        form.groups.iter().try_for_each(|(name, group)| group.check(name))?;
        let lines = form.groups.iter().map(|(name, group)| {
            let used = self.lines.get(name.as_str()).map(|lines| lines.used.clone()).unwrap_or_default();
            (Arc::from(name.as_str()), Lines { capacity: Arc::new(group.capacity()), used })
        });
        self.lines = lines.collect();
        self.head = size(&*form.settings) + size(&*form.groups);
        match self.head {
            ..=MOST_HEAD => Ok(()),
            is => {
                let what = "bytes of settings, groups and servers";
                Err(Refusal::Bound { what, most: MOST_HEAD as u64, is: is as u64 })
            }
        }
    }

    /// What holds for all groups.
    pub fn settings(&self) -> &Settings {
        &self.form.settings
    }

    /// The groups, by name.
    pub fn groups(&self) -> &BTreeMap<String, Group> {
        &self.form.groups
    }

    /// All bookings by their numbers, those that are over too while they are kept.
    pub fn bookings(&self) -> impl Iterator<Item = &Booking> {
        self.form.bookings.iter().map(|booking| &**booking)
    }

    /// A booking by its number.
    pub fn booking(&self, id: u64) -> Option<&Booking> {
        self.place(id).ok().map(|place| &*self.form.bookings[place])
    }

    fn place(&self, id: u64) -> Result<usize, usize> {
        self.form.bookings.binary_search_by_key(&id, |booking| booking.id)
    }

    /// Bytes of the written book, at most.
    pub fn bytes(&self) -> usize {
        // Its mark, the last number, and how many bookings there are.
        self.head + self.tally.body + 1 + 10 + 10
    }

    /// Bytes that the bookings need, with what each needs to say that it is short.
    pub(crate) fn needs(&self) -> usize {
        self.tally.body + self.tally.spare + 1 + 10 + 10
    }

    /// Slots that can be booked in a group at a moment, and how many of them are.
    pub fn load(&self, group: &str, at: Micros) -> Option<(u32, u32)> {
        self.lines.get(group).map(|lines| (lines.capacity.bookable.at(at), lines.used.at(at)))
    }

    pub(crate) fn next_number(&mut self) -> u64 {
        self.form.last += 1;
        self.form.last
    }

    /// Writes a booking, in place of the one with its number.
    pub(crate) fn put(&mut self, booking: Booking) {
        self.due = self.due.min(booking.due().map_or(Micros::MAX, |due| due.0));
        self.tally.count(&booking, usize::add);
        let place = match self.place(booking.id) {
            Ok(place) if self.form.bookings[place].takes_like(&booking) => {
                self.tally.count(&self.form.bookings[place], usize::sub);
                Arc::make_mut(&mut self.form.bookings)[place] = Arc::new(booking);
                return;
            }
            Ok(place) => {
                self.remove(booking.id);
                place
            }
            Err(place) => place,
        };
        self.draw(&booking, Line::add);
        Arc::make_mut(&mut self.form.bookings).insert(place, Arc::new(booking));
    }

    /// Takes a booking out.
    pub(crate) fn remove(&mut self, id: u64) -> Option<Arc<Booking>> {
        let place = self.place(id).ok()?;
        let booking = Arc::make_mut(&mut self.form.bookings).remove(place);
        self.draw(&booking, Line::sub);
        self.tally.count(&booking, usize::sub);
        Some(booking)
    }

    fn draw(&mut self, booking: &Booking, how: fn(&mut Line, crate::when::Step)) {
        for group in booking.parts.keys().filter(|_| booking.occupies()) {
            let Some(lines) = self.lines.get_mut(group.as_str()) else { continue };
            let used = Arc::make_mut(&mut lines.used);
            booking.steps(group).into_iter().flatten().for_each(|step| how(used, step));
        }
    }
}
