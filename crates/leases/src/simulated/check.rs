//! Checks the invariants of a simulated fleet: counts by true time what all nodes use and admit.

use std::collections::{BTreeMap, BTreeSet};

use super::events::SimulationEvent;
use super::{Simulation, MAX_MESSAGE_DELAY};
use crate::resource::{share_of, Micros, OutageMode, ResourceId, ResourceKind, Resources, RATE_UNITS};
use crate::{max_unnotified_excess, LeaseSettings};

/// Tokens of a request: one token is a thousandth of a request a second for a microsecond.
const REQUEST_UNITS: u128 = 1_000_000_000;

/// Counts of one resource.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceCounts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were admitted.
    pub admitted: u64,
    /// Slots in use.
    in_use: u64,
    /// A leaky bucket of the resource's rate by true time.
    level: u128,
    metered_at: Micros,
}

/// Counts what a simulated fleet does and records violations of the bounds.
#[derive(Clone, Debug, Default)]
pub struct InvariantChecker {
    /// The counts of each resource.
    pub counts: BTreeMap<ResourceId, ResourceCounts>,
    /// The first violations.
    pub violations: Vec<String>,
    /// Number of sums that were checked.
    pub checks: u64,
    holders: BTreeMap<ResourceId, BTreeSet<usize>>,
    /// Lowered resources: the larger amount, and the time until which it may be used by nodes that receive
    /// the new one.
    larger: BTreeMap<ResourceId, (u64, Micros)>,
    /// The largest amount that each lowered resource ever had.
    max_before_lowering: BTreeMap<ResourceId, u64>,
    units: BTreeMap<ResourceId, u64>,
}

impl InvariantChecker {
    pub(super) fn record_violation(&mut self, what: &str) {
        if self.violations.len() < 8 {
            self.violations.push(what.to_owned());
        }
    }

    pub(super) fn record_end(&mut self, resource: ResourceId) {
        let count = self.counts.entry(resource).or_default();
        count.in_use = count.in_use.saturating_sub(1);
    }

    /// Records lowered resources. The lower amount applies one term after all running nodes know of it; each
    /// is notified in a round.
    pub(super) fn record_lowering(&mut self, now: Micros, resources: &Resources, settings: &LeaseSettings) {
        let until = now + 2 * settings.round + MAX_MESSAGE_DELAY + 2 * settings.term;
        for (id, resource) in resources.iter() {
            if let Some(former_units) = self
                .units
                .insert(id, resource.units())
                .filter(|former_units| *former_units > resource.units())
            {
                let former_units = self
                    .larger
                    .get(&id)
                    .filter(|(_, until)| now < *until)
                    .map_or(former_units, |(units, _)| former_units.max(*units));
                self.larger.insert(id, (former_units, until));
                self.max_before_lowering
                    .entry(id)
                    .and_modify(|max_units| *max_units = former_units.max(*max_units))
                    .or_insert(former_units);
            }
        }
    }
}

impl Simulation {
    /// Gives a process the document and the resources of the coordination service, and confirms its epoch
    /// where it is current.
    pub(super) fn sync_with_service(&mut self, process_index: usize, now: Micros) {
        let process = &mut self.processes[process_index];
        process.holder.update_resources(now, std::sync::Arc::clone(&self.resources));
        process.grantor.update_resources(now, std::sync::Arc::clone(&self.resources));
        if process.read_version != self.version {
            process.read_version = self.version;
            // A process that lost the disk to another one does not adopt what it cannot store.
            if process.owns_disk {
                process.holder.adopt_epoch(now, &self.doc);
            }
            process.grantor.adopt_epoch(now, &self.doc);
        }
        if self.doc.grantor_run(process.id) == Some(process.run) {
            let at = self.now + self.random.u64(100..MAX_MESSAGE_DELAY);
            self.schedule(at, SimulationEvent::EpochConfirmed(process_index, now, self.doc.epoch()));
        }
        if let Some(seen) = self.processes[process_index].grantor.confirmation_change(now) {
            self.version += u64::from(self.doc.apply(seen).unwrap_or(false));
        }
    }

    /// Runs the requests that came to a node in the last interval, one after the other.
    pub(super) fn run_requests(&mut self, process_index: usize, now: Micros) {
        let node = self.processes[process_index].node;
        if !self.processes[process_index].owns_disk {
            return;
        }
        let (from, to) = ((node, 0), (node, ResourceId::MAX));
        let local_traffic: Vec<(ResourceId, u64)> =
            self.traffic.range(from..=to).map(|((_, id), rate)| (*id, *rate)).collect();
        for (id, rate) in local_traffic {
            let Some(limiter) = self.processes[process_index].holder.limiter(id) else { continue };
            let tokens = u128::from(rate) * u128::from(self.arrival_interval);
            let full_requests = u64::try_from(tokens / REQUEST_UNITS).unwrap_or(0);
            let has_extra_request = self.random.u64(..1_000_000_000) < (tokens % REQUEST_UNITS) as u64;
            for _ in 0..full_requests + u64::from(has_extra_request) {
                let admitted = limiter.try_acquire(now).is_ok();
                self.count_request(process_index, id, admitted);
            }
        }
    }

    fn count_request(&mut self, process_index: usize, id: ResourceId, admitted: bool) {
        let Some(resource) = self.resources.get(id).copied() else { return };
        let units = self.max_usable_units(id, resource.units());
        let count = self.check.counts.entry(id).or_default();
        count.arrived += 1;
        if !admitted {
            return;
        }
        count.admitted += 1;
        // Requests admitted before the lower amount applied are not part of a window after that.
        let larger_until = self.check.larger.get(&id).map_or(0, |(_, until)| *until);
        if count.metered_at < larger_until && larger_until <= self.now {
            count.level = 0;
        }
        let scaled_burst =
            u128::from(resource.burst()) * u128::from(units) / u128::from(resource.units().max(1));
        let burst = (scaled_burst as u64).max(self.members.1) + self.members.1 - self.members.0;
        let is_exceeded = match resource.kind {
            ResourceKind::Rate { .. } => {
                let leaked = u128::from(units) * u128::from(self.now - count.metered_at);
                count.level = count.level.saturating_sub(leaked) + REQUEST_UNITS;
                count.metered_at = self.now;
                count.level > u128::from(burst) * REQUEST_UNITS
            }
            ResourceKind::Slots { .. } => {
                count.in_use += 1;
                count.in_use > units
            }
        };
        if resource.is_slots() {
            let ends = self.now + self.random.u64(..self.settings.max_hold);
            self.schedule(ends, SimulationEvent::RequestEnd(process_index, id));
        }
        if is_exceeded && resource.mode == OutageMode::Strict {
            let now = self.now;
            self.check.record_violation(&format!("resource {id}: admitted above the bound at {now}"));
        }
    }

    /// Returns all units of a resource that the fleet may use now.
    pub fn usable_units(&mut self, id: ResourceId) -> u64 {
        let Some(resource) = self.resources.get(id).copied() else { return 0 };
        let now = self.now;
        let (mut ppb, mut safe_units) = (0, 0);
        for process in self.processes.iter().filter(|process| process.owns_disk && !process.ended) {
            match self.check.max_before_lowering.contains_key(&id) {
                true => safe_units += process.holder.safe_units_of(id),
                false if resource.is_slots() => ppb += process.holder.safe().slots,
                false => ppb += process.holder.safe().rates,
            }
        }
        let holders = self.check.holders.entry(id).or_default();
        let mut held_units = 0;
        holders.retain(|index| {
            let process = &mut self.processes[*index];
            let local = process.local_time(now);
            let process_units = process
                .holder
                .limiter(id)
                .filter(|_| !process.ended)
                .map_or(0, |limiter| limiter.held(local));
            held_units += process_units;
            process_units > 0
        });
        share_of(resource.units(), ppb) + safe_units + held_units
    }

    /// Returns the maximum units of a resource that may be used now.
    fn max_usable_units(&self, id: ResourceId, units: u64) -> u64 {
        let larger = self
            .check
            .larger
            .get(&id)
            .filter(|(_, until)| self.now < *until)
            .map(|(max_units, _)| *max_units);
        // Members that have not been notified may use safe shares of the former amount, which a grantor that
        // began since does not know.
        let excess = self
            .check
            .max_before_lowering
            .get(&id)
            .map_or(0, |former_units| max_unnotified_excess(*former_units, units, self.share_ppb));
        larger.unwrap_or(0).max(units + excess)
    }

    /// Checks the sum of one resource's shares after a process accepted one.
    pub(super) fn check_sum(&mut self, process_index: usize, id: ResourceId) {
        self.check.holders.entry(id).or_default().insert(process_index);
        let Some(resource) =
            self.resources.get(id).copied().filter(|resource| resource.mode == OutageMode::Strict)
        else {
            return;
        };
        let (sum, now) = (self.usable_units(id), self.now);
        let max_units = self.max_usable_units(id, resource.units());
        self.check.checks += 1;
        if sum > max_units {
            self.check.record_violation(&format!(
                "resource {id}: {sum} units usable at {now}, {max_units} at most"
            ));
        }
    }

    /// Admitted requests since a time, in thousandths of what the resource's rate allows.
    pub fn utilization(&self, id: ResourceId, admitted_before: u64, span: Micros) -> u64 {
        let admitted =
            self.check.counts.get(&id).map_or(0, |count| count.admitted).saturating_sub(admitted_before);
        let units = self.resources.get(id).map_or(1, |resource| resource.units()).max(1);
        let max_requests = u128::from(units) * u128::from(span) / u128::from(RATE_UNITS) / 1_000_000;
        (u128::from(admitted) * 1_000 / max_requests.max(1)) as u64
    }
}
