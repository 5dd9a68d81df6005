//! Changes of reservations. They are checked like new ones, without the reservation's own slots; a rejected
//! change loses nothing.

use std::collections::BTreeSet;

use crate::command::ReservationRequest;
use crate::error::ReservationError;
use crate::interval::{Micros, ReservationWindow, TimeInterval};
use crate::ledger::ReservationLedger;
use crate::reservation::{ChangeCause, IdempotencyKey, Reservation, ReservationPhase};
use crate::timeline::Timeline;

impl ReservationLedger {
    pub(crate) fn change(
        &mut self,
        mut reservation: Reservation,
        request: ReservationRequest,
        key: IdempotencyKey,
        now: TimeInterval,
    ) -> Result<u64, ReservationError> {
        let id = reservation.id;
        self.validate_request(&request, now)?;
        if reservation.final_phase == ReservationPhase::Cancelled {
            return Err(ReservationError::AlreadyBegun {
                reservation: id,
                reason: "it was cancelled and ends soon: make a new reservation",
            });
        }
        let earliest_change = now.latest.saturating_add(self.document.settings.propagation_time);
        if !is_unchanged_between(&reservation, &request, now.earliest, earliest_change) {
            let reason = "what it has within the propagation time from now can't be changed: change what comes after, or make another reservation for the rest";
            return Err(ReservationError::AlreadyBegun { reservation: id, reason });
        }
        self.remove(id);
        self.check_fit(&reservation.tenant, &request, now)?;
        reservation.displaceable_until =
            self.displaceable_until(reservation.rank, request.window.lead_start());
        if reservation.phase == ReservationPhase::Held {
            reservation.hold_until = reservation
                .hold_until
                .min(request.window.lead_start() - self.document.settings.propagation_time);
        }
        (reservation.slots_by_group, reservation.window) = (request.slots_by_group, request.window);
        reservation.record_event(now.latest, reservation.phase, ChangeCause::Changed);
        reservation.remember_key(key);
        self.upsert(reservation);
        Ok(id)
    }
}

/// Whether a reservation and the request that replaces it are the same in every group between two moments,
/// and no edge before the latter moves, since what has begun can't be changed.
fn is_unchanged_between(
    reservation: &Reservation,
    request: &ReservationRequest,
    from: Micros,
    until: Micros,
) -> bool {
    let edges =
        |window: &ReservationWindow| [window.lead_start(), window.start, window.end, window.taper_end()];
    let mut moved =
        edges(&reservation.window).into_iter().zip(edges(&request.window)).filter(|(old, new)| old != new);
    if moved.any(|(old, new)| old.min(new) < until) {
        return false;
    }
    let groups: BTreeSet<&String> =
        reservation.slots_by_group.keys().chain(request.slots_by_group.keys()).collect();
    groups.into_iter().all(|group| {
        let old = Timeline::from_segments(reservation.segments(group).into_iter().flatten());
        let new = Timeline::from_segments(
            request.slots_by_group.get(group).into_iter().flat_map(|slots| request.window.segments(*slots)),
        );
        let same = old.zip_segments(&new, from, until).all(|pair| pair.first == pair.second);
        same
    })
}
