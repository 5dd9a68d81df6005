//! Slots that a node may use: numbers that hold for its clock's whole interval, so that two nodes whose
//! clocks differ never give out the same slot twice.
//!
//! A tenant's entitlement is its *minimum* over all moments that may be the present. The true time is one of
//! them at every node, so the entitlements of all tenants together never exceed the group's capacity at that
//! time: a node begins the next reservation only once the previous one has surely ended, and ends one as soon
//! as it may have ended.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::interval::{Micros, ReservationWindow, TimeInterval};
use crate::ledger::ReservationLedger;
use crate::shortfall::allocate_shortage;
use crate::timeline::Timeline;

/// Slots of a group for leases to divide among nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EntitlementPlan {
    /// Reserved slots by tenant.
    pub reserved: BTreeMap<String, LeasableSlots>,
    /// Slots that are open to all tenants.
    #[serde(rename = "open")]
    pub unreserved: LeasableSlots,
}

/// A number of slots that leases divide, and how long it holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LeasableSlots {
    /// Number of slots.
    pub slots: u32,
    /// No lease term may extend beyond this moment, as the number may be lower afterwards.
    pub until: Micros,
}

impl ReservationLedger {
    /// Slots of a group that a tenant may use now.
    pub fn entitlement(&self, group: &str, tenant: &str, now: impl Into<TimeInterval>) -> u32 {
        self.entitlements(group, now.into()).get(tenant).copied().unwrap_or(0)
    }

    /// Slots of a group for leases to divide now, where no request on unreserved slots takes longer than
    /// `longest_request`.
    pub fn entitlement_plan(
        &self,
        group: &str,
        now: impl Into<TimeInterval>,
        longest_request: Micros,
    ) -> Option<EntitlementPlan> {
        let now = now.into();
        let timelines = self.timelines.get(group)?;
        let guaranteed = &timelines.capacity.guaranteed;
        // After the first moment at which a reservation gets fewer slots than it wants, any edge may change
        // all shares.
        let mut segments = guaranteed.zip_segments(&timelines.used, now.earliest, Micros::MAX);
        let scarce_from =
            segments.find(|pair| pair.first < pair.second).map_or(Micros::MAX, |pair| pair.from);
        let next = || self.edges(group, now.latest, Micros::MAX).first().copied().unwrap_or(Micros::MAX);
        let scarce_from = if scarce_from <= now.latest { next() } else { scarce_from };
        let reserved = self.entitlements(group, now).into_iter().map(|(tenant, slots)| {
            let tenant_reservations = self
                .reservations()
                .filter(|reservation| reservation.grants_slots() && reservation.tenant == tenant);
            let timeline = Timeline::from_segments(
                tenant_reservations.filter_map(|reservation| reservation.segments(group)).flatten(),
            );
            let decreases_at = timeline.edges(now.latest).find(|at| timeline.value_at(*at) < slots);
            (tenant, LeasableSlots { slots, until: decreases_at.unwrap_or(Micros::MAX).min(scarce_from) })
        });
        let reserved = reserved.collect();
        let unreserved = self.unreserved_slots(group, now, longest_request)?;
        let (total, used) = (&timelines.capacity.total, &timelines.used);
        let decreases = total.edges(now.latest).chain(used.edges(now.latest)).filter(|at| {
            let reserved_slots = used.value_at(*at).min(timelines.capacity.guaranteed.value_at(*at));
            total.value_at(*at) - reserved_slots < unreserved
        });
        // The longest request of a lease term has to end by then too, not only the term.
        let until = decreases.min().map_or(Micros::MAX, |at| at.saturating_sub(longest_request));
        Some(EntitlementPlan { reserved, unreserved: LeasableSlots { slots: unreserved, until } })
    }

    /// Slots of a group that stay unreserved until a request of this duration that begins now has surely
    /// ended.
    pub fn unreserved_slots(
        &self,
        group: &str,
        now: impl Into<TimeInterval>,
        duration: Micros,
    ) -> Option<u32> {
        let now = now.into();
        let timelines = self.timelines.get(group)?;
        let until = now.latest.saturating_add(duration).saturating_add(1);
        let unreserved_at = |at: Micros| {
            let reserved_slots = timelines.used.value_at(at).min(timelines.capacity.guaranteed.value_at(at));
            timelines.capacity.total.value_at(at).saturating_sub(reserved_slots)
        };
        let used_edges = timelines.used.edges(now.earliest).take_while(|at| *at < until);
        let total_edges = timelines.capacity.total.edges(now.earliest).take_while(|at| *at < until);
        Some(used_edges.chain(total_edges).chain([now.earliest]).map(unreserved_at).min().unwrap_or(0))
    }

    /// Slots of a group that each tenant may use now.
    fn entitlements(&self, group: &str, now: TimeInterval) -> BTreeMap<String, u32> {
        let mut minimum: Option<BTreeMap<String, u32>> = None;
        let edges = self.edges(group, now.earliest, now.latest.saturating_add(1));
        for at in [now.earliest].into_iter().chain(edges) {
            let allotments = self.allotments_at(group, at);
            let lowest = match minimum {
                None => allotments.into_iter().map(|(tenant, slots)| (tenant.to_owned(), slots)).collect(),
                Some(before) => before
                    .into_iter()
                    .filter_map(|(tenant, slots)| {
                        allotments.get(tenant.as_str()).map(|now| (tenant, slots.min(*now)))
                    })
                    .collect(),
            };
            minimum = Some(lowest);
        }
        minimum.unwrap_or_default().into_iter().filter(|(_, slots)| *slots > 0).collect()
    }

    /// Slots that each tenant gets at a moment, by the group's shortfall policy if there are too few.
    fn allotments_at(&self, group: &str, at: Micros) -> BTreeMap<&str, u32> {
        let mut by_tenant = BTreeMap::new();
        let (Some(timelines), Some(server_group)) =
            (self.timelines.get(group), self.document.groups.get(group))
        else {
            return by_tenant;
        };
        let demand = self.demand(group, at);
        let shortened: BTreeMap<u64, u32> = allocate_shortage(
            server_group.policy.shortfall_policy,
            &demand,
            timelines.capacity.guaranteed.value_at(at),
        )
        .into_iter()
        .collect();
        for ((_, _, id), wanted) in demand {
            let granted = shortened.get(&id).copied().unwrap_or(wanted);
            if let Some(reservation) = self.reservation(id) {
                *by_tenant.entry(reservation.tenant.as_str()).or_default() += granted;
            }
        }
        by_tenant
    }

    /// Moments between `after` and `before`, both excluded, at which a reservation's share of a group may
    /// change.
    fn edges(&self, group: &str, after: Micros, before: Micros) -> BTreeSet<Micros> {
        let is_between = |at: &Micros| (after.saturating_add(1)..before).contains(at);
        let mut edges = BTreeSet::new();
        let overlaps =
            |window: &ReservationWindow| window.taper_end() > after && window.lead_start() < before;
        let entitled = self
            .reservations()
            .filter(|reservation| overlaps(&reservation.window) && reservation.grants_slots());
        for segment in entitled.filter_map(|reservation| reservation.segments(group)).flatten() {
            edges.extend([segment.from, segment.until].into_iter().filter(is_between));
        }
        if let Some(timelines) = self.timelines.get(group) {
            edges.extend(timelines.capacity.guaranteed.edges(after).take_while(is_between));
        }
        edges
    }
}
