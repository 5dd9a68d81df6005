//! Displacement of reservations by a higher rank.
//!
//! A reservation may be displaced by a higher rank until its rank's notice (`lead_start - notice`), and never
//! once a node may act on it. At the first conflict, the weakest reservation that has slots there is removed:
//! the lowest rank first, within it held ones, then the one confirmed last. Afterwards, those that turn out
//! not to be in the way are restored, the strongest first.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::calendar::first_conflict;
use crate::command::{ReservationRequest, TenantNotice};
use crate::error::ReservationError;
use crate::interval::TimeInterval;
use crate::ledger::ReservationLedger;
use crate::reservation::{ChangeCause, Reservation, ReservationPhase};
use crate::settings::MAX_DISPLACED;

/// Sort key: the weakest reservation comes first.
fn displacement_key(reservation: &Reservation) -> (u8, bool, Reverse<u64>, Reverse<u64>) {
    (reservation.rank, reservation.order > 0, Reverse(reservation.order), Reverse(reservation.id))
}

impl ReservationLedger {
    /// Displaces lower ranks so that the request of `displacer` (its number and rank) fits; `error` says why
    /// it does not fit yet.
    pub(crate) fn displace_lower_ranks(
        &mut self,
        tenant: &str,
        request: &ReservationRequest,
        displacer: (u64, u8),
        error: ReservationError,
        now: TimeInterval,
        notices: &mut BTreeSet<TenantNotice>,
    ) -> Result<(), ReservationError> {
        let earliest_change = now.latest.saturating_add(self.document.settings.propagation_time);
        let mut displaced: Vec<Arc<Reservation>> = Vec::new();
        let conflict = |ledger: &ReservationLedger| {
            let conflict = first_conflict(&ledger.constraints(request), &request.window, earliest_change)?;
            Some((conflict.group?.to_owned(), conflict.at))
        };
        while let Some((group, at)) = conflict(self) {
            let is_displaceable = |reservation: &&Reservation| {
                reservation.rank < displacer.1
                    && reservation.phase <= ReservationPhase::Confirmed
                    && now.latest < reservation.displaceable_until
                    && earliest_change <= reservation.window.lead_start()
                    && reservation.wanted_at(&group, at) > 0
            };
            let Some(weakest) = self
                .reservations()
                .filter(is_displaceable)
                .min_by_key(|reservation| displacement_key(reservation))
            else {
                return Err(error);
            };
            if displaced.len() >= MAX_DISPLACED {
                return Err(ReservationError::DisplacesTooMany);
            }
            let id = weakest.id;
            displaced.extend(self.remove(id));
        }
        displaced.sort_by_key(|reservation| Reverse(displacement_key(reservation)));
        for reservation in displaced {
            let mut displaced_reservation = Reservation::clone(&reservation);
            self.upsert(Reservation::clone(&reservation));
            if conflict(self).is_none() {
                continue;
            }
            displaced_reservation.shortfall = None;
            displaced_reservation.record_event(
                now.latest,
                ReservationPhase::Displaced,
                ChangeCause::DisplacedBy { reservation: displacer.0, rank: displacer.1 },
            );
            notices.insert(TenantNotice {
                tenant: displaced_reservation.tenant.clone(),
                reservation: displaced_reservation.id,
            });
            self.upsert(displaced_reservation);
        }
        // Displacing others does not extend the tenant's own allowance.
        self.check_fit(tenant, request, now)
    }
}
