//! A booking and its life.
//!
//! ```text
//!   held ─ Confirm ─▶ confirmed ─ from ─▶ arming ─ start ─▶ active ─ end ─▶ tapering ─ until ─▶ done
//!     │ hold over: expired   │                └───────────────┴─ Cancel: its window is cut ─▶ cancelled
//!     ├─ Cancel: cancelled ◀─┤
//!     └─ a higher rank: displaced ◀─ before its notice
//! ```
//!
//! `short` stands beside all: capacity went, and it gets less than it booked for a time.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::line::Line;
use crate::settings::{Settings, MOST_KEYS, MOST_PARTS, MOST_SLOTS, MOST_TRAIL};
use crate::when::{Interval, Micros, Step, Window};

/// How far a booking is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Its slots are kept until its hold is over.
    Held,
    /// It will have its slots.
    Confirmed,
    /// Its lead has begun.
    Arming,
    /// It has its slots.
    Active,
    /// Its end has passed, its taper not.
    Tapering,
    /// It had what it booked.
    Done,
    /// It was taken back.
    Cancelled,
    /// It was not confirmed in time.
    Expired,
    /// A higher rank has its slots.
    Displaced,
}

/// Why something happened to a booking.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It was asked for.
    Asked,
    /// Its tenant confirmed it.
    Confirmed,
    /// Its tenant changed it.
    Changed,
    /// Its time came.
    Time,
    /// It was taken back, for this reason.
    Cancelled(String),
    /// A booking of a higher rank took its slots.
    DisplacedBy {
        /// Which.
        booking: u64,
        /// Of which rank.
        rank: u8,
    },
    /// Capacity went, or came back in part: what was out then. See its [`Short`].
    Short(String),
    /// It gets all again.
    Whole,
}

/// Something that happened to a booking.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// When.
    pub at: Micros,
    /// How far it was from then on.
    pub phase: Phase,
    /// Why.
    pub cause: Cause,
}

/// How a booking gets less than it booked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Short {
    /// The group that can do too little.
    pub group: String,
    /// From here on.
    pub from: Micros,
    /// Up to here at the latest, as far as is known.
    pub until: Micros,
    /// The fewest slots that it gets in between.
    pub left: u32,
}

/// Bytes of a [`Short`] beside its group's name, at most.
const SHORT_BYTES: usize = 1 + 1 + 8 + 8 + 3;
/// Moments are before this, so that seven bits a byte are enough for eight bytes.
pub(crate) const LAST: Micros = 1 << 56;

/// A command that was taken: hashes of its key and of what it said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Of the key.
    pub key: [u8; 8],
    /// Of the rest.
    pub body: [u8; 4],
}

/// Slots of one or more groups for a window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Booking {
    /// Its number; later ones have higher ones.
    pub id: u64,
    /// Whose.
    pub tenant: String,
    /// Slots by group.
    pub parts: BTreeMap<String, u32>,
    /// When.
    pub window: Window,
    /// Its rank.
    pub rank: u8,
    /// How far it is.
    pub phase: Phase,
    /// What it is once its window is over: done, or cancelled.
    pub ends: Phase,
    /// When its hold is over; 0 where it is not held.
    pub hold_until: Micros,
    /// From here on it is displaced no more.
    pub firm_at: Micros,
    /// Its place among the confirmed; 0 before.
    pub order: u64,
    /// The commands that made it what it is.
    pub keys: Vec<Key>,
    /// What happened to it.
    pub trail: Vec<Mark>,
    /// How it gets less than it booked, where it does.
    pub short: Option<Short>,
}

impl Booking {
    /// Whether it takes slots of the calendar.
    pub fn occupies(&self) -> bool {
        self.phase <= Phase::Tapering
    }

    /// Whether its tenant may use its slots once their time comes.
    pub fn entitles(&self) -> bool {
        (Phase::Confirmed..=Phase::Tapering).contains(&self.phase)
    }

    /// What it is, in a word: its phase, or `short`.
    pub fn state(&self) -> &'static str {
        match self.phase {
            _ if self.short.is_some() => "short",
            Phase::Held => "held",
            Phase::Confirmed => "confirmed",
            Phase::Arming => "arming",
            Phase::Active => "active",
            Phase::Tapering => "tapering",
            Phase::Done => "done",
            Phase::Cancelled => "cancelled",
            Phase::Expired => "expired",
            Phase::Displaced => "displaced",
        }
    }

    /// Whether its window and its slots are within what is ever written.
    pub(crate) fn sound(&self) -> bool {
        let window = &self.window;
        let order = window.lead <= window.start && window.start <= window.end;
        let parts = self.parts.len() <= MOST_PARTS && self.parts.values().all(|slots| *slots <= MOST_SLOTS);
        order && parts && window.end.checked_add(window.taper).is_some_and(|until| until < LAST)
    }

    /// Whether it takes the same slots as another.
    pub(crate) fn takes_like(&self, other: &Booking) -> bool {
        self.occupies() == other.occupies() && self.window == other.window && self.parts == other.parts
    }

    /// What it takes of a group.
    pub(crate) fn steps(&self, group: &str) -> Option<[Step; 3]> {
        self.parts.get(group).map(|slots| self.window.steps(*slots))
    }

    /// What it wants of a group at a moment.
    pub(crate) fn wants(&self, group: &str, at: Micros) -> u32 {
        let near = self.window.from() <= at && at < self.window.until();
        self.parts.get(group).filter(|_| near).map_or(0, |slots| self.window.slots_at(*slots, at))
    }

    /// All groups together.
    pub(crate) fn total(&self) -> u32 {
        self.parts.values().sum()
    }

    /// The slots of a tenant's bookings together.
    pub(crate) fn sum<'a>(bookings: impl Iterator<Item = &'a Booking>) -> Line {
        Line::sum(bookings.flat_map(|booking| booking.window.steps(booking.total())))
    }

    /// Whether its slots are not free at once, as an older book may still be acted on.
    pub(crate) fn begun(&self, now: Interval, settings: &Settings) -> bool {
        self.phase != Phase::Held && self.window.from() < now.latest.saturating_add(settings.spread)
    }

    /// Its next phase and when, if only time passes.
    pub(crate) fn due(&self) -> Option<(Micros, Phase)> {
        let window = &self.window;
        match self.phase {
            _ if self.occupies() && self.ends == Phase::Cancelled => Some((window.until(), self.ends)),
            Phase::Held => Some((self.hold_until, Phase::Expired)),
            Phase::Confirmed if window.lead > 0 => Some((window.from(), Phase::Arming)),
            Phase::Confirmed | Phase::Arming => Some((window.start, Phase::Active)),
            Phase::Active if window.taper == 0 => Some((window.end, self.ends)),
            Phase::Active => Some((window.end, Phase::Tapering)),
            Phase::Tapering => Some((window.until(), self.ends)),
            _ => None,
        }
    }

    /// Bytes that a [`Short`] would take, at most, where it can have one.
    pub(crate) fn spare(&self) -> usize {
        let longest = self.parts.keys().map(String::len).max().unwrap_or(0);
        usize::from(self.occupies()) * (SHORT_BYTES + longest)
    }

    /// When it was over, if it is.
    pub(crate) fn ended(&self) -> Option<Micros> {
        (!self.occupies()).then(|| self.trail.last().map_or(0, |mark| mark.at))
    }

    /// Remembers what happened.
    pub(crate) fn mark(&mut self, at: Micros, phase: Phase, cause: Cause) {
        self.phase = phase;
        if self.trail.len() >= MOST_TRAIL {
            self.trail.remove(1);
        }
        self.trail.push(Mark { at, phase, cause });
    }

    /// Remembers a command.
    pub(crate) fn know(&mut self, key: Key) {
        if self.keys.len() >= MOST_KEYS {
            self.keys.remove(1);
        }
        self.keys.push(key);
    }
}
