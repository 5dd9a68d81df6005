//! Reservations that a drain would harm. The permits' service asks for these before it lets servers stop.

use serde::Serialize;

use crate::capacity::Outage;
use crate::interval::TimeInterval;
use crate::ledger::ReservationLedger;

/// How a drain harms a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainHarm {
    /// The reservation would get fewer slots than it reserved.
    #[serde(rename = "short")]
    Shortfall,
    /// The reservation would get all its slots, but the group could no longer survive the losses that its
    /// policy provides for.
    #[serde(rename = "thin")]
    RedundancyLost,
}

/// A reservation that a drain would harm.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct DrainImpact {
    /// How it is harmed.
    pub harm: DrainHarm,
    /// Number of the reservation.
    #[serde(rename = "booking")]
    pub reservation: u64,
    /// Its tenant.
    pub tenant: String,
    /// Group that has too little capacity.
    pub group: String,
    /// Start of the harm.
    pub from: u64,
    /// Slots that the reservation would get, or that the group could still promise it.
    #[serde(rename = "left")]
    pub remaining: u32,
}

impl ReservationLedger {
    /// Reservations that would be worse off if these servers had this outage, the worst harm first; empty if
    /// it is harmless. A drain by a permit uses up part of `permits_out` and is harmless as long as that
    /// lasts.
    pub fn drain_impacts(
        &self,
        servers: &[&str],
        outage: &Outage,
        now: impl Into<TimeInterval>,
    ) -> Vec<DrainImpact> {
        let since = now.into().earliest;
        let mut impacts = Vec::new();
        for (name, group) in self.document.groups.iter() {
            let mut after = group.clone();
            let affected = after.servers.iter_mut().filter(|(server, _)| servers.contains(&server.as_str()));
            if affected.map(|(_, server)| server.outages.push(outage.clone())).count() == 0 {
                continue;
            }
            let (before, after) = (group.capacity(), after.capacity());
            let mut reported = Vec::new();
            let checks = [
                (DrainHarm::Shortfall, &before.guaranteed, &after.guaranteed),
                (DrainHarm::RedundancyLost, &before.reservable, &after.reservable),
            ];
            for (harm, before, after) in checks {
                let before = self.shortfalls(name, before, since);
                for (id, shortfall) in self.shortfalls(name, after, since) {
                    let worse = before.get(&id).is_none_or(|old| {
                        (shortfall.remaining, shortfall.from) < (old.remaining, old.from)
                            || shortfall.until > old.until
                    });
                    if worse && !reported.contains(&id) {
                        reported.push(id);
                        let tenant = self
                            .reservation(id)
                            .map(|reservation| reservation.tenant.clone())
                            .unwrap_or_default();
                        let (group, remaining, from) = (name.clone(), shortfall.remaining, shortfall.from);
                        impacts.push(DrainImpact { harm, reservation: id, tenant, group, from, remaining });
                    }
                }
            }
        }
        impacts.sort();
        impacts
    }
}
