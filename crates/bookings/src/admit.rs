//! New reservations, and the checks that a request has to pass.

use std::collections::BTreeSet;

use crate::calendar::{first_conflict, next_available_start, Conflict, Constraint};
use crate::command::{ReservationRequest, TenantNotice};
use crate::error::ReservationError;
use crate::interval::{Micros, TimeInterval};
use crate::ledger::ReservationLedger;
use crate::reservation::{ChangeCause, IdempotencyKey, Reservation, ReservationPhase, MAX_TIME};
use crate::settings::{MAX_GROUPS_PER_RESERVATION, MAX_RESERVATIONS, MAX_SLOTS};
use crate::timeline::Timeline;

impl ReservationLedger {
    /// Creates a reservation, held or confirmed.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn create(
        &mut self,
        tenant: String,
        request: ReservationRequest,
        rank: u8,
        displace: bool,
        hold: Option<Micros>,
        key: IdempotencyKey,
        now: TimeInterval,
        notices: &mut BTreeSet<TenantNotice>,
    ) -> Result<u64, ReservationError> {
        let settings = self.document.settings.clone();
        let allowance = settings.allowance(&tenant);
        let highest = allowance.highest_rank.min(settings.ranks.len() as u8 - 1);
        if rank > highest {
            return Err(ReservationError::RankTooHigh { rank, highest });
        }
        self.validate_request(&request, now)?;
        let earliest_change = now.latest.saturating_add(settings.propagation_time);
        if request.window.lead_start() < earliest_change {
            return Err(ReservationError::StartsTooSoon {
                from: request.window.lead_start(),
                earliest: earliest_change,
            });
        }
        let tenant_reservations =
            self.reservations().filter(|reservation| reservation.is_live() && reservation.tenant == tenant);
        if tenant_reservations.count() >= allowance.reservations as usize {
            return Err(ReservationError::TooManyTenantReservations { limit: allowance.reservations });
        }
        if self.document.reservations.len() - self.totals.ended >= MAX_RESERVATIONS {
            return Err(ReservationError::LedgerFull);
        }
        let id = self.next_number();
        if let Err(error) = self.check_fit(&tenant, &request, now) {
            if !displace {
                return Err(error);
            }
            self.displace_lower_ranks(&tenant, &request, (id, rank), error, now, notices)?;
        }
        let mut reservation = Reservation {
            id,
            tenant,
            slots_by_group: request.slots_by_group,
            window: request.window,
            rank,
            phase: ReservationPhase::Held,
            final_phase: ReservationPhase::Done,
            hold_until: 0,
            displaceable_until: self.displaceable_until(rank, request.window.lead_start()),
            order: 0,
            keys: vec![key],
            history: Vec::new(),
            shortfall: None,
        };
        match hold {
            // The hold ends before any node may act on the reservation, so that its slots are free at once.
            Some(hold) => {
                let hold = now.latest.saturating_add(hold.min(settings.max_hold));
                reservation.hold_until = hold.min(request.window.lead_start() - settings.propagation_time);
                reservation.record_event(now.latest, ReservationPhase::Held, ChangeCause::Asked);
            }
            None => {
                reservation.order = self.next_number();
                reservation.record_event(now.latest, ReservationPhase::Confirmed, ChangeCause::Asked);
            }
        }
        self.upsert(reservation);
        Ok(id)
    }

    /// Moment from which a reservation of this rank can't be displaced.
    pub(crate) fn displaceable_until(&self, rank: u8, from: Micros) -> Micros {
        let ranks = &self.document.settings.ranks;
        let notice = ranks.get(usize::from(rank)).or(ranks.last()).map_or(0, |rank| rank.notice);
        from.saturating_sub(notice)
    }

    /// Checks that a request is well-formed and within the limits.
    pub(crate) fn validate_request(
        &self,
        request: &ReservationRequest,
        now: TimeInterval,
    ) -> Result<(), ReservationError> {
        let ReservationRequest { slots_by_group, window } = request;
        let invalid_window = |reason| Err(ReservationError::InvalidValue { what: "window", reason });
        if slots_by_group.is_empty() {
            return Err(ReservationError::InvalidValue {
                what: "parts",
                reason: "no group is given: name at least one group and its slots",
            });
        }
        if slots_by_group.len() > MAX_GROUPS_PER_RESERVATION {
            let actual = slots_by_group.len() as u64;
            return Err(ReservationError::LimitExceeded {
                what: "groups of a reservation",
                limit: MAX_GROUPS_PER_RESERVATION as u64,
                actual,
            });
        }
        for (group, slots) in slots_by_group {
            if !self.document.groups.contains_key(group) {
                return Err(ReservationError::UnknownGroup(group.clone()));
            }
            if *slots == 0 {
                return Err(ReservationError::InvalidValue {
                    what: "slots",
                    reason: "0 slots are requested: request 1 or more",
                });
            }
            if *slots > MAX_SLOTS {
                let actual = u64::from(*slots);
                return Err(ReservationError::LimitExceeded {
                    what: "slots of a reservation",
                    limit: MAX_SLOTS.into(),
                    actual,
                });
            }
        }
        if window.start >= window.end {
            return invalid_window("the end is not after the start: give a later end");
        }
        if window.lead_percent > 100 || window.taper_percent > 100 {
            return invalid_window("lead_percent and taper_percent have to be 0 to 100");
        }
        if window.lead > window.start
            || window.end.checked_add(window.taper).is_none_or(|until| until >= MAX_TIME)
        {
            return invalid_window(
                "the lead or the taper extends beyond the representable time: give a shorter one",
            );
        }
        let (length, max_length) =
            (window.taper_end() - window.lead_start(), self.document.settings.max_length);
        if length > max_length {
            return Err(ReservationError::LimitExceeded {
                what: "microseconds of a reservation",
                limit: max_length,
                actual: length,
            });
        }
        let latest = now.latest.saturating_add(self.document.settings.horizon);
        if window.taper_end() > latest {
            return Err(ReservationError::EndsBeyondHorizon { until: window.taper_end(), latest });
        }
        Ok(())
    }

    /// Checks that a tenant's request fits beside all reservations in the ledger, from `earliest_change` on.
    pub(crate) fn check_fit(
        &self,
        tenant: &str,
        request: &ReservationRequest,
        now: TimeInterval,
    ) -> Result<(), ReservationError> {
        let tenant_reservations =
            self.reservations().filter(|reservation| reservation.is_live() && reservation.tenant == tenant);
        let tenant_used = Reservation::total_timeline(tenant_reservations);
        let limit = Timeline::constant(self.document.settings.allowance(tenant).slots);
        let mut constraints = self.constraints(request);
        constraints.push(Constraint {
            group: None,
            limit: &limit,
            used: &tenant_used,
            wanted: request.slots_by_group.values().sum(),
        });
        let earliest_change = now.latest.saturating_add(self.document.settings.propagation_time);
        let Some(Conflict { group, at, remaining, wanted }) =
            first_conflict(&constraints, &request.window, earliest_change)
        else {
            return Ok(());
        };
        let horizon = now.latest.saturating_add(self.document.settings.horizon);
        // A reservation that has begun can't be moved.
        let movable = request.window.lead_start() >= earliest_change;
        let next = if movable { next_available_start(&constraints, &request.window, horizon) } else { None };
        Err(match group.map(str::to_owned) {
            Some(group) => ReservationError::GroupFull { group, at, remaining, wanted, next },
            None => ReservationError::TenantSlotsExceeded { at, remaining, wanted, next },
        })
    }

    /// Checks that the capacity for a held reservation is still available: servers may have been lost since.
    pub(crate) fn check_still_available(
        &self,
        reservation: &Reservation,
        now: TimeInterval,
    ) -> Result<(), ReservationError> {
        for group in reservation.slots_by_group.keys() {
            let Some(timelines) = self.timelines.get(group.as_str()) else { continue };
            let (from, until) =
                (reservation.window.lead_start().max(now.earliest), reservation.window.taper_end());
            let mut pairs = timelines.capacity.guaranteed.zip_segments(&timelines.used, from, until);
            if let Some(pair) = pairs.find(|pair| pair.first < pair.second) {
                let wanted = reservation.wanted_at(group, pair.from);
                let remaining = pair.first.saturating_sub(pair.second - wanted);
                return Err(ReservationError::GroupFull {
                    group: group.clone(),
                    at: pair.from,
                    remaining,
                    wanted,
                    next: None,
                });
            }
        }
        Ok(())
    }

    pub(crate) fn constraints<'a>(&'a self, request: &'a ReservationRequest) -> Vec<Constraint<'a>> {
        let constraint = |(group, slots): (&'a String, &u32)| {
            let timelines = self.timelines.get(group.as_str())?;
            let (limit, used) = (&timelines.capacity.reservable, &*timelines.used);
            Some(Constraint { group: Some(group), limit, used, wanted: *slots })
        };
        request.slots_by_group.iter().filter_map(constraint).collect()
    }
}
