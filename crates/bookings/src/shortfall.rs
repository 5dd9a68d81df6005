//! Shortfalls: which reservations get fewer slots when a group has less capacity than is reserved. Every node
//! computes the same.
//!
//! By rank: reservations get all they want in their precedence (higher rank, then confirmed first) as long as
//! slots remain. Pro rata: `floor(wanted * guaranteed / sum)` each, and the remainder one by one in the same
//! precedence. Held reservations get nothing.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::capacity::ShortfallPolicy;
use crate::command::TenantNotice;
use crate::interval::{Micros, TimeInterval};
use crate::ledger::ReservationLedger;
use crate::reservation::{ChangeCause, Reservation, Shortfall};
use crate::timeline::Timeline;

/// Sort key: the reservation that gets its slots first comes first.
type Precedence = (Reverse<u8>, u64, u64);

fn precedence(reservation: &Reservation) -> Precedence {
    (Reverse(reservation.rank), reservation.order, reservation.id)
}

/// Shares of the available slots for each reservation that gets fewer than it wants; one that is not listed
/// gets all.
pub(crate) fn allocate_shortage(
    policy: ShortfallPolicy,
    demand: &BTreeMap<Precedence, u32>,
    available: u32,
) -> Vec<(u64, u32)> {
    let sum: u32 = demand.values().sum();
    if sum <= available {
        return Vec::new();
    }
    match policy {
        ShortfallPolicy::Rank => {
            let mut missing = sum - available;
            let weakest = demand.iter().rev().map_while(|(precedence, wanted)| {
                let reduction = missing.min(*wanted);
                missing -= reduction;
                (reduction > 0).then_some((precedence.2, wanted - reduction))
            });
            weakest.collect()
        }
        ShortfallPolicy::ProRata => {
            let floor = |wanted: u32| (u64::from(wanted) * u64::from(available) / u64::from(sum)) as u32;
            let mut remainder = available - demand.values().map(|wanted| floor(*wanted)).sum::<u32>();
            let share = |(precedence, wanted): (&Precedence, &u32)| {
                let extra = remainder.min(1).min(wanted - floor(*wanted));
                remainder -= extra;
                (precedence.2, floor(*wanted) + extra)
            };
            demand.iter().map(share).collect()
        }
    }
}

impl ReservationLedger {
    /// Slots of a group that confirmed reservations want at a moment, in their precedence.
    pub(crate) fn demand(&self, group: &str, at: Micros) -> BTreeMap<Precedence, u32> {
        let entitled = self.reservations().filter(|reservation| reservation.grants_slots());
        let demand = entitled.map(|reservation| (precedence(reservation), reservation.wanted_at(group, at)));
        demand.filter(|(_, wanted)| *wanted > 0).collect()
    }

    /// Shortfalls in a group from `since` on, where `available` is the capacity for reservations.
    pub(crate) fn shortfalls(
        &self,
        group: &str,
        available: &Timeline,
        since: Micros,
    ) -> BTreeMap<u64, Shortfall> {
        let mut shortfalls = BTreeMap::new();
        let (Some(timelines), Some(server_group)) =
            (self.timelines.get(group), self.document.groups.get(group))
        else {
            return shortfalls;
        };
        if available.zip_segments(&timelines.used, since, Micros::MAX).all(|pair| pair.first >= pair.second) {
            return shortfalls;
        }
        let entitled = self.reservations().filter(|reservation| reservation.grants_slots());
        let mut changes: Vec<(Micros, Precedence, u32)> = Vec::new();
        for reservation in entitled.filter(|reservation| reservation.window.taper_end() > since) {
            let timeline = Timeline::from_segments(reservation.segments(group).into_iter().flatten());
            changes.extend(timeline.edges(0).map(|at| (at, precedence(reservation), timeline.value_at(at))));
        }
        changes.sort_unstable();
        let mut moments: BTreeSet<Micros> = changes.iter().map(|change| change.0).collect();
        moments.extend(available.edges(0).chain([0]));
        let (mut changes, mut demand) = (changes.into_iter().peekable(), BTreeMap::new());
        let mut moments = moments.into_iter().peekable();
        while let Some(at) = moments.next() {
            while let Some((_, precedence, wanted)) = changes.next_if(|change| change.0 <= at) {
                match wanted {
                    0 => demand.remove(&precedence),
                    wanted => demand.insert(precedence, wanted),
                };
            }
            let until = moments.peek().copied().unwrap_or(Micros::MAX);
            if until <= since {
                continue;
            }
            let shares =
                allocate_shortage(server_group.policy.shortfall_policy, &demand, available.value_at(at));
            for (id, remaining) in shares {
                shortfalls
                    .entry(id)
                    .and_modify(|shortfall: &mut Shortfall| {
                        (shortfall.until, shortfall.remaining) = (until, shortfall.remaining.min(remaining))
                    })
                    .or_insert_with(|| Shortfall { group: group.to_owned(), from: at, until, remaining });
            }
        }
        shortfalls
    }

    /// Recomputes all shortfalls, and records and notifies each change.
    pub(crate) fn update_shortfalls(&mut self, now: TimeInterval, notices: &mut BTreeSet<TenantNotice>) {
        let mut shortfalls: BTreeMap<u64, Shortfall> = BTreeMap::new();
        for (group, timelines) in &self.timelines {
            for (id, current) in self.shortfalls(group, &timelines.capacity.guaranteed, now.earliest) {
                let is_first = shortfalls.get(&id).is_none_or(|old| current.from < old.from);
                if is_first {
                    shortfalls.insert(id, current);
                }
            }
        }
        let differs = |reservation: &&Arc<Reservation>| {
            reservation.shortfall.as_ref() != shortfalls.get(&reservation.id)
        };
        let changed: Vec<Arc<Reservation>> =
            self.document.reservations.iter().filter(differs).cloned().collect();
        for old in changed {
            let mut reservation = Reservation::clone(&old);
            reservation.shortfall = shortfalls.remove(&old.id);
            let cause = match (&old.shortfall, &reservation.shortfall) {
                (Some(old), Some(current))
                    if (&old.group, old.remaining) == (&current.group, current.remaining) =>
                {
                    None
                }
                (_, Some(current)) => {
                    let group = self.document.groups.get(&current.group);
                    let reason = group.map(|group| group.outage_summary(current.from.max(now.earliest)));
                    Some(ChangeCause::CapacityLost(reason.unwrap_or_default()))
                }
                (_, None) => old.is_live().then_some(ChangeCause::CapacityRestored),
            };
            if let Some(cause) = cause {
                reservation.record_event(now.latest, old.phase, cause);
                notices
                    .insert(TenantNotice { tenant: reservation.tenant.clone(), reservation: reservation.id });
            }
            self.upsert(reservation);
        }
    }
}
