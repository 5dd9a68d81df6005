//! Time intervals as nodes know them, and the window of a reservation.

use serde::{Deserialize, Serialize};

use crate::timeline::percent_rounded_up;

/// Microseconds of Unix time, or a duration in microseconds.
pub type Micros = u64;

/// A moment as a node's clock knows it: the true time is within this interval, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TimeInterval {
    /// Earliest possible time.
    pub earliest: Micros,
    /// Latest possible time.
    pub latest: Micros,
}

impl TimeInterval {
    /// The smallest interval that contains both moments, in either order.
    pub fn new(one: Micros, other: Micros) -> TimeInterval {
        TimeInterval { earliest: one.min(other), latest: one.max(other) }
    }
}

impl From<Micros> for TimeInterval {
    fn from(at: Micros) -> TimeInterval {
        TimeInterval { earliest: at, latest: at }
    }
}

/// Time for which a reservation has its slots.
///
/// ```text
///            ┌───────────────┐            slots
///      ┌─────┘               └────┐       lead_percent, taper_percent of the slots, rounded up
///   ───┘                          └───
/// lead_start start          end taper_end lead_start = start - lead, taper_end = end + taper
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReservationWindow {
    /// Start of the window, from which all slots are reserved.
    pub start: Micros,
    /// End of the window, not included.
    pub end: Micros,
    /// Duration of the warm-up before the start.
    pub lead: Micros,
    /// Duration of the run-down after the end.
    pub taper: Micros,
    /// Percentage of the slots that is reserved during the lead.
    pub lead_percent: u8,
    /// Percentage of the slots that is reserved during the taper.
    pub taper_percent: u8,
}

/// A constant number of slots for a span of time, the end not included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Segment {
    pub from: Micros,
    pub until: Micros,
    pub slots: u32,
}

impl ReservationWindow {
    /// A window without lead and taper.
    pub fn flat(start: Micros, end: Micros) -> ReservationWindow {
        ReservationWindow { start, end, lead: 0, taper: 0, lead_percent: 100, taper_percent: 100 }
    }

    /// Begin of the lead.
    pub fn lead_start(&self) -> Micros {
        self.start.saturating_sub(self.lead)
    }

    /// End of the taper.
    pub fn taper_end(&self) -> Micros {
        self.end.saturating_add(self.taper)
    }

    /// Segments of the lead, the window and the taper for a reservation of this many slots.
    pub(crate) fn segments(&self, slots: u32) -> [Segment; 3] {
        let slots_of = |percent| percent_rounded_up(slots, percent);
        [
            Segment { from: self.lead_start(), until: self.start, slots: slots_of(self.lead_percent) },
            Segment { from: self.start, until: self.end, slots },
            Segment { from: self.end, until: self.taper_end(), slots: slots_of(self.taper_percent) },
        ]
    }

    /// Slots that are reserved at a moment, for a reservation of this many slots.
    pub(crate) fn slots_at(&self, slots: u32, at: Micros) -> u32 {
        let covers = |segment: &&Segment| (segment.from..segment.until).contains(&at);
        self.segments(slots).iter().find(covers).map_or(0, |segment| segment.slots)
    }

    /// The same window, truncated so that its taper ends at `at` or before.
    pub(crate) fn truncated_at(&self, at: Micros) -> ReservationWindow {
        let (from, until) = (self.lead_start(), self.taper_end().min(at).max(self.lead_start()));
        let (start, end) = (self.start.min(until), self.end.min(until));
        ReservationWindow { start, end, lead: start - from, taper: until - end, ..*self }
    }

    /// The same window, shifted so that its lead begins at `from`.
    pub(crate) fn shifted_to(&self, from: Micros) -> ReservationWindow {
        let length = self.end - self.start;
        let start = from.saturating_add(self.lead);
        ReservationWindow { start, end: start.saturating_add(length), ..*self }
    }
}
