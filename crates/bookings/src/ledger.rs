//! The reservation ledger: its stored document, and what is derived from it to make decisions fast.

use std::collections::BTreeMap;
use std::ops::{Add, Sub};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::capacity::{GroupCapacity, ServerGroup};
use crate::encoding::encoded_size;
use crate::error::ReservationError;
use crate::interval::Micros;
use crate::reservation::Reservation;
use crate::settings::{LedgerConfiguration, ReservationSettings, MAX_GROUPS, MAX_HEADER_BYTES};
use crate::timeline::Timeline;

/// Stored part of a ledger. Two ledgers are equal if their documents are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LedgerDocument {
    pub settings: Arc<ReservationSettings>,
    pub groups: Arc<BTreeMap<String, ServerGroup>>,
    /// Last number assigned, to a reservation or as a position in the order of confirmation.
    #[serde(rename = "last")]
    pub last_number: u64,
    /// Sorted by their numbers.
    #[serde(rename = "bookings")]
    pub reservations: Arc<Vec<Arc<Reservation>>>,
}

/// Capacity and use of a group over time.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupTimelines {
    pub capacity: Arc<GroupCapacity>,
    pub used: Arc<Timeline>,
}

/// All reservations of a fleet, stored as one document. Cloning it is cheap.
#[derive(Clone, Debug)]
pub struct ReservationLedger {
    pub(crate) document: LedgerDocument,
    pub(crate) timelines: BTreeMap<Arc<str>, GroupTimelines>,
    /// Next moment at which time alone changes a reservation; 0 if it has to be computed.
    pub(crate) next_transition_at: Micros,
    header_bytes: usize,
    pub(crate) totals: LedgerTotals,
}

/// Totals over all reservations.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LedgerTotals {
    /// Encoded bytes.
    reservation_bytes: usize,
    /// Bytes that would be needed if every live reservation had a shortfall.
    shortfall_bytes: usize,
    /// Reservations that have ended.
    pub ended: usize,
    /// Reservations that have a shortfall.
    pub short: usize,
}

impl LedgerTotals {
    fn update(&mut self, reservation: &Reservation, operation: fn(usize, usize) -> usize) {
        self.reservation_bytes = operation(self.reservation_bytes, encoded_size(reservation));
        self.shortfall_bytes = operation(self.shortfall_bytes, reservation.max_shortfall_bytes());
        self.ended = operation(self.ended, usize::from(!reservation.is_live()));
        self.short = operation(self.short, usize::from(reservation.shortfall.is_some()));
    }
}

impl PartialEq for ReservationLedger {
    fn eq(&self, other: &ReservationLedger) -> bool {
        self.document == other.document
    }
}

impl Eq for ReservationLedger {}

impl ReservationLedger {
    /// Creates a ledger with these groups. They have no servers until [`ReservationLedger::advance`] is
    /// called.
    ///
    /// # Errors
    /// If the settings or groups are invalid or exceed a limit.
    pub fn new(configuration: LedgerConfiguration) -> Result<ReservationLedger, ReservationError> {
        let groups = configuration
            .groups
            .into_iter()
            .map(|(name, policy)| (name, ServerGroup { policy, ..ServerGroup::default() }));
        let (settings, groups) = (Arc::new(configuration.settings), Arc::new(groups.collect()));
        ReservationLedger::from_document(LedgerDocument {
            settings,
            groups,
            last_number: 0,
            reservations: Arc::default(),
        })
    }

    pub(crate) fn from_document(document: LedgerDocument) -> Result<ReservationLedger, ReservationError> {
        let mut ledger = ReservationLedger {
            document,
            timelines: BTreeMap::new(),
            next_transition_at: 0,
            header_bytes: 0,
            totals: LedgerTotals::default(),
        };
        ledger.rebuild_capacity()?;
        for (name, timelines) in &mut ledger.timelines {
            let live = ledger.document.reservations.iter().filter(|reservation| reservation.is_live());
            timelines.used = Arc::new(Timeline::from_segments(
                live.filter_map(|reservation| reservation.segments(name)).flatten(),
            ));
        }
        ledger
            .document
            .reservations
            .iter()
            .for_each(|reservation| ledger.totals.update(reservation, usize::add));
        Ok(ledger)
    }

    /// Checks settings and groups and recomputes the capacity of each group; the use of the groups is kept.
    pub(crate) fn rebuild_capacity(&mut self) -> Result<(), ReservationError> {
        let document = &self.document;
        document.settings.check()?;
        if document.groups.len() > MAX_GROUPS {
            let actual = document.groups.len() as u64;
            return Err(ReservationError::LimitExceeded { what: "groups", limit: MAX_GROUPS as u64, actual });
        }
        document.groups.iter().try_for_each(|(name, group)| group.check(name))?;
        let timelines = document.groups.iter().map(|(name, group)| {
            let used =
                self.timelines.get(name.as_str()).map(|timelines| timelines.used.clone()).unwrap_or_default();
            (Arc::from(name.as_str()), GroupTimelines { capacity: Arc::new(group.capacity()), used })
        });
        self.timelines = timelines.collect();
        self.header_bytes = encoded_size(&*document.settings) + encoded_size(&*document.groups);
        match self.header_bytes {
            ..=MAX_HEADER_BYTES => Ok(()),
            actual => {
                let what = "bytes of settings, groups and servers";
                Err(ReservationError::LimitExceeded {
                    what,
                    limit: MAX_HEADER_BYTES as u64,
                    actual: actual as u64,
                })
            }
        }
    }

    /// Settings that apply to all groups.
    pub fn settings(&self) -> &ReservationSettings {
        &self.document.settings
    }

    /// Groups by name.
    pub fn groups(&self) -> &BTreeMap<String, ServerGroup> {
        &self.document.groups
    }

    /// All reservations sorted by number, with the ended ones that are still retained.
    pub fn reservations(&self) -> impl Iterator<Item = &Reservation> {
        self.document.reservations.iter().map(|reservation| &**reservation)
    }

    /// Reservation with this number.
    pub fn reservation(&self, id: u64) -> Option<&Reservation> {
        self.position(id).ok().map(|position| &*self.document.reservations[position])
    }

    fn position(&self, id: u64) -> Result<usize, usize> {
        self.document.reservations.binary_search_by_key(&id, |reservation| reservation.id)
    }

    /// Maximum bytes of the encoded ledger.
    pub fn max_encoded_bytes(&self) -> usize {
        // Format version (1 byte), last number and number of reservations (10 bytes each at most).
        self.header_bytes + self.totals.reservation_bytes + 1 + 10 + 10
    }

    /// Bytes that the reservations need, with a shortfall for each live one.
    pub(crate) fn required_bytes(&self) -> usize {
        self.totals.reservation_bytes + self.totals.shortfall_bytes + 1 + 10 + 10
    }

    /// Reservable slots of a group at a moment, and how many of them are reserved.
    pub fn load(&self, group: &str, at: Micros) -> Option<(u32, u32)> {
        self.timelines
            .get(group)
            .map(|timelines| (timelines.capacity.reservable.value_at(at), timelines.used.value_at(at)))
    }

    pub(crate) fn next_number(&mut self) -> u64 {
        self.document.last_number += 1;
        self.document.last_number
    }

    /// Inserts a reservation, or replaces the one with its number.
    pub(crate) fn upsert(&mut self, reservation: Reservation) {
        self.next_transition_at =
            self.next_transition_at.min(reservation.next_transition().map_or(Micros::MAX, |due| due.0));
        self.totals.update(&reservation, usize::add);
        let position = match self.position(reservation.id) {
            Ok(position) if self.document.reservations[position].has_same_slots_as(&reservation) => {
                self.totals.update(&self.document.reservations[position], usize::sub);
                Arc::make_mut(&mut self.document.reservations)[position] = Arc::new(reservation);
                return;
            }
            Ok(position) => {
                self.remove(reservation.id);
                position
            }
            Err(position) => position,
        };
        self.apply_to_timelines(&reservation, Timeline::add);
        Arc::make_mut(&mut self.document.reservations).insert(position, Arc::new(reservation));
    }

    /// Removes a reservation.
    pub(crate) fn remove(&mut self, id: u64) -> Option<Arc<Reservation>> {
        let position = self.position(id).ok()?;
        let reservation = Arc::make_mut(&mut self.document.reservations).remove(position);
        self.apply_to_timelines(&reservation, Timeline::sub);
        self.totals.update(&reservation, usize::sub);
        Some(reservation)
    }

    fn apply_to_timelines(
        &mut self,
        reservation: &Reservation,
        operation: fn(&mut Timeline, crate::interval::Segment),
    ) {
        for group in reservation.slots_by_group.keys().filter(|_| reservation.is_live()) {
            let Some(timelines) = self.timelines.get_mut(group.as_str()) else { continue };
            let used = Arc::make_mut(&mut timelines.used);
            reservation.segments(group).into_iter().flatten().for_each(|segment| operation(used, segment));
        }
    }
}
