//! A reservation of slots and its lifecycle. In any phase, its state is `short` while lost capacity cuts its slots.
//!
//! ```text
//!   held ─ Confirm ─▶ confirmed ─ lead ─▶ arming ─ start ─▶ active ─ end ─▶ tapering ─ taper over ─▶ done
//!     │ hold over: expired   │              └───────────────┴─ Cancel: its window is truncated ─▶ cancelled
//!     ├─ Cancel: cancelled ◀─┤
//!     └─ displaced by a higher rank ◀─ until its rank's notice
//! ```

use crate::interval::{Micros, ReservationWindow, Segment, TimeInterval};
use crate::settings::{ReservationSettings, MAX_GROUPS_PER_RESERVATION, MAX_HISTORY, MAX_KEYS, MAX_SLOTS};
use crate::timeline::Timeline;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use ReservationPhase::*;

/// Lifecycle phase of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReservationPhase {
    /// Its slots are held until the hold expires; it is not confirmed yet.
    Held,
    /// Confirmed; its lead has not begun.
    Confirmed,
    /// Its lead has begun.
    Arming,
    /// Its window has started: it has all its slots.
    Active,
    /// Its window has ended, its taper has not.
    Tapering,
    /// It has ended in the regular way.
    Done,
    /// It was cancelled.
    Cancelled,
    /// It was not confirmed in time.
    Expired,
    /// A reservation of a higher rank took its slots.
    Displaced,
}

/// Cause of an event in a reservation's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeCause {
    /// Its tenant requested it.
    Asked,
    /// Its tenant confirmed it.
    Confirmed,
    /// Its tenant changed it.
    Changed,
    /// The time of its next phase was reached.
    Time,
    /// It was cancelled, for this reason.
    Cancelled(String),
    /// A reservation of a higher rank took its slots.
    DisplacedBy {
        /// Number of that reservation.
        #[serde(rename = "booking")]
        reservation: u64,
        /// Rank of that reservation.
        rank: u8,
    },
    /// Capacity was lost, or restored in part; the text names the servers that were out. See [`Shortfall`].
    #[serde(rename = "short")]
    CapacityLost(String),
    /// It gets all its slots again.
    #[serde(rename = "whole")]
    CapacityRestored,
}

/// Event in a reservation's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReservationEvent {
    /// Time of the event.
    pub at: Micros,
    /// Phase after the event.
    pub phase: ReservationPhase,
    /// Cause of the event.
    pub cause: ChangeCause,
}

/// Time in which a reservation gets fewer slots than it reserved.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shortfall {
    /// Group that has too little capacity.
    pub group: String,
    /// Start of the shortfall.
    pub from: Micros,
    /// Latest end of the shortfall, as far as is known.
    pub until: Micros,
    /// Fewest slots that the reservation gets in that time.
    #[serde(rename = "left")]
    pub remaining: u32,
}

const MAX_SHORTFALL_BYTES_WITHOUT_GROUP: usize = 1 + 1 + 8 + 8 + 3;
/// Bound of all moments: with seven bits a byte, eight bytes encode any of them.
pub(crate) const MAX_TIME: Micros = 1 << 56;

/// Hashes by which a repeated command is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// Hash of the command's key.
    #[serde(rename = "key")]
    pub key_hash: [u8; 8],
    /// Hash of the whole command.
    #[serde(rename = "body")]
    pub body_hash: [u8; 4],
}

/// Slots of one or more groups that a tenant has reserved for a window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// Number of the reservation; later ones have higher numbers.
    pub id: u64,
    /// Tenant that it belongs to.
    pub tenant: String,
    /// Slots by group name.
    #[serde(rename = "parts")]
    pub slots_by_group: BTreeMap<String, u32>,
    /// Time for which it has its slots.
    pub window: ReservationWindow,
    /// Rank; a higher one may displace a lower one.
    pub rank: u8,
    /// Current phase.
    pub phase: ReservationPhase,
    /// Phase after the end of its window: done or cancelled.
    #[serde(rename = "ends")]
    pub final_phase: ReservationPhase,
    /// End of its hold; 0 if it is not held.
    pub hold_until: Micros,
    /// Time from which it can't be displaced.
    #[serde(rename = "firm_at")]
    pub displaceable_until: Micros,
    /// Position in the order of confirmation; 0 before it is confirmed.
    pub order: u64,
    /// Commands that created and changed it: the first and the latest.
    pub keys: Vec<IdempotencyKey>,
    /// Events of its history: the first and the latest.
    #[serde(rename = "trail")]
    pub history: Vec<ReservationEvent>,
    /// Its shortfall, if it gets fewer slots than it reserved.
    #[serde(rename = "short")]
    pub shortfall: Option<Shortfall>,
}

impl Reservation {
    /// Whether it takes up capacity: it is held, confirmed or running.
    pub fn is_live(&self) -> bool {
        self.phase <= Tapering
    }

    /// Whether its tenant may use its slots once its window begins.
    pub fn grants_slots(&self) -> bool {
        (Confirmed..=Tapering).contains(&self.phase)
    }

    /// Name of its state: its phase, or `short`.
    pub fn state(&self) -> &'static str {
        match self.phase {
            _ if self.shortfall.is_some() => "short",
            Held => "held",
            Confirmed => "confirmed",
            Arming => "arming",
            Active => "active",
            Tapering => "tapering",
            Done => "done",
            Cancelled => "cancelled",
            Expired => "expired",
            Displaced => "displaced",
        }
    }

    pub(crate) fn is_within_bounds(&self) -> bool {
        let window = &self.window;
        let ordered = window.lead <= window.start && window.start <= window.end;
        let bounded = self.slots_by_group.len() <= MAX_GROUPS_PER_RESERVATION
            && self.slots_by_group.values().all(|slots| *slots <= MAX_SLOTS);
        ordered && bounded && window.end.checked_add(window.taper).is_some_and(|until| until < MAX_TIME)
    }

    pub(crate) fn has_same_slots_as(&self, other: &Reservation) -> bool {
        self.is_live() == other.is_live()
            && self.window == other.window
            && self.slots_by_group == other.slots_by_group
    }

    pub(crate) fn segments(&self, group: &str) -> Option<[Segment; 3]> {
        self.slots_by_group.get(group).map(|slots| self.window.segments(*slots))
    }

    pub(crate) fn wanted_at(&self, group: &str, at: Micros) -> u32 {
        let inside = self.window.lead_start() <= at && at < self.window.taper_end();
        self.slots_by_group.get(group).filter(|_| inside).map_or(0, |slots| self.window.slots_at(*slots, at))
    }

    pub(crate) fn total_slots(&self) -> u32 {
        self.slots_by_group.values().sum()
    }

    pub(crate) fn total_timeline<'a>(reservations: impl Iterator<Item = &'a Reservation>) -> Timeline {
        Timeline::from_segments(reservations.flat_map(|each| each.window.segments(each.total_slots())))
    }

    /// Whether its slots can't be freed at once, as some node may still act on an older ledger.
    pub(crate) fn may_be_in_use(&self, now: TimeInterval, settings: &ReservationSettings) -> bool {
        self.phase != Held && self.window.lead_start() < now.latest.saturating_add(settings.propagation_time)
    }

    /// Time and phase of its next transition, if only time passes.
    pub(crate) fn next_transition(&self) -> Option<(Micros, ReservationPhase)> {
        let window = &self.window;
        match self.phase {
            _ if self.is_live() && self.final_phase == Cancelled => {
                Some((window.taper_end(), self.final_phase))
            }
            Held => Some((self.hold_until, Expired)),
            Confirmed if window.lead > 0 => Some((window.lead_start(), Arming)),
            Confirmed | Arming => Some((window.start, Active)),
            Active if window.taper == 0 => Some((window.end, self.final_phase)),
            Active => Some((window.end, Tapering)),
            Tapering => Some((window.taper_end(), self.final_phase)),
            _ => None,
        }
    }

    pub(crate) fn max_shortfall_bytes(&self) -> usize {
        let longest_name = self.slots_by_group.keys().map(String::len).max().unwrap_or(0);
        usize::from(self.is_live()) * (MAX_SHORTFALL_BYTES_WITHOUT_GROUP + longest_name)
    }

    pub(crate) fn ended_at(&self) -> Option<Micros> {
        (!self.is_live()).then(|| self.history.last().map_or(0, |event| event.at))
    }

    pub(crate) fn record_event(&mut self, at: Micros, phase: ReservationPhase, cause: ChangeCause) {
        self.phase = phase;
        if self.history.len() >= MAX_HISTORY {
            self.history.remove(1);
        }
        self.history.push(ReservationEvent { at, phase, cause });
    }

    pub(crate) fn remember_key(&mut self, key: IdempotencyKey) {
        if self.keys.len() >= MAX_KEYS {
            self.keys.remove(1);
        }
        self.keys.push(key);
    }
}
