//! Updates of the ledger by the passing of time and by changes of the servers, without a command.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::capacity::{GroupServer, Outage, OutageCause};
use crate::command::TenantNotice;
use crate::error::ReservationError;
use crate::interval::{Micros, TimeInterval};
use crate::ledger::ReservationLedger;
use crate::reservation::{ChangeCause, Reservation, ReservationEvent};
use crate::settings::{MAX_DOCUMENT_BYTES, MAX_ENDED, MAX_ENDED_PER_TENANT, MAX_SERVERS};

/// A server as the fleet observes it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObservedServer {
    /// Zone of the server.
    pub zone: String,
    /// Maximum number of requests in flight.
    pub slots: u32,
    /// Known outages by permits and operators.
    pub outages: Vec<Outage>,
    /// Reason why the server is considered dead, if it is: `silent`, `zone b is lost`.
    pub dead: Option<String>,
}

/// All servers as the nodes agree on them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetSnapshot {
    /// Servers by group and name; a group that is missing here keeps its servers.
    pub groups: BTreeMap<String, BTreeMap<String, ObservedServer>>,
}

impl ReservationLedger {
    /// Advances the ledger to the present and applies the observed servers. The result has to be written if
    /// it differs.
    ///
    /// # Errors
    /// If the snapshot exceeds a limit; this ledger is unchanged.
    pub fn advance(
        &self,
        now: impl Into<TimeInterval>,
        snapshot: &FleetSnapshot,
    ) -> Result<(ReservationLedger, Vec<TenantNotice>), ReservationError> {
        let now = now.into();
        let (mut ledger, mut notices) = (self.clone(), BTreeSet::new());
        ledger.apply_time(now, &mut notices);
        ledger.update_servers(now, snapshot)?;
        ledger.update_shortfalls(now, &mut notices);
        ledger.remove_ended(now);
        ledger.shrink_to_limit();
        Ok((ledger, notices.into_iter().collect()))
    }

    /// Applies the transitions that are surely past, at the times that the reservations define.
    pub(crate) fn apply_time(&mut self, now: TimeInterval, notices: &mut BTreeSet<TenantNotice>) {
        if self.next_transition_at > now.earliest {
            return;
        }
        let due = |reservation: &&Arc<Reservation>| {
            reservation.next_transition().is_some_and(|(at, _)| at <= now.earliest)
        };
        let due: Vec<Arc<Reservation>> = self.document.reservations.iter().filter(due).cloned().collect();
        for reservation in due {
            let mut reservation = Reservation::clone(&reservation);
            while let Some((at, phase)) = reservation.next_transition().filter(|(at, _)| *at <= now.earliest)
            {
                reservation.record_event(at, phase, ChangeCause::Time);
            }
            if !reservation.is_live() {
                reservation.shortfall = None;
            }
            notices.insert(TenantNotice { tenant: reservation.tenant.clone(), reservation: reservation.id });
            self.upsert(reservation);
        }
        self.next_transition_at = self
            .reservations()
            .filter_map(|reservation| reservation.next_transition().map(|due| due.0))
            .min()
            .unwrap_or(Micros::MAX);
    }

    /// Applies the observed servers. A dead server counts as out for `repair_time` from now, and longer while
    /// it stays dead; the end is moved only every half of that time, to avoid needless writes of the
    /// document.
    fn update_servers(
        &mut self,
        now: TimeInterval,
        snapshot: &FleetSnapshot,
    ) -> Result<(), ReservationError> {
        let repair_time = self.document.settings.repair_time;
        let mut groups = BTreeMap::clone(&self.document.groups);
        for (name, observed) in &snapshot.groups {
            let Some(group) = groups.get_mut(name) else { continue };
            let servers = observed.iter().map(|(name, observed)| {
                let known_outage = group.servers.get(name).and_then(|server| {
                    server.outages.iter().find(|outage| outage.cause == OutageCause::Dead)
                });
                let outages = observed
                    .outages
                    .iter()
                    .filter(|outage| outage.until > now.earliest && outage.cause != OutageCause::Dead);
                let dead = observed.dead.as_ref().map(|reason| match known_outage {
                    Some(known_outage)
                        if known_outage.until >= now.latest.saturating_add(repair_time / 2) =>
                    {
                        known_outage.clone()
                    }
                    known_outage => Outage {
                        from: known_outage.map_or(now.earliest, |outage| outage.from),
                        until: now.latest.saturating_add(repair_time),
                        cause: OutageCause::Dead,
                        reason: reason.clone(),
                    },
                });
                let outages = outages.cloned().chain(dead).collect();
                (name.clone(), GroupServer { zone: observed.zone.clone(), slots: observed.slots, outages })
            });
            group.servers = servers.collect();
        }
        let servers: usize = groups.values().map(|group| group.servers.len()).sum();
        if servers > MAX_SERVERS {
            return Err(ReservationError::LimitExceeded {
                what: "servers",
                limit: MAX_SERVERS as u64,
                actual: servers as u64,
            });
        }
        if groups != *self.document.groups {
            self.document.groups = Arc::new(groups);
            self.rebuild_capacity()?;
        }
        Ok(())
    }

    /// Removes ended reservations past their retention or beyond the limits.
    pub(crate) fn remove_ended(&mut self, now: TimeInterval) {
        if self.totals.ended == 0 {
            return;
        }
        let retention = self.document.settings.retention;
        let mut ended: BTreeMap<&str, BTreeSet<(Micros, u64)>> = BTreeMap::new();
        for reservation in self.reservations() {
            if let Some(at) = reservation.ended_at() {
                ended.entry(&reservation.tenant).or_default().insert((at, reservation.id));
            }
        }
        let mut expired_ids: Vec<u64> = Vec::new();
        for tenant_ended in ended.values_mut() {
            while tenant_ended.first().is_some_and(|(at, _)| {
                at.saturating_add(retention) <= now.earliest || tenant_ended.len() > MAX_ENDED_PER_TENANT
            }) {
                expired_ids.extend(tenant_ended.pop_first().map(|(_, id)| id));
            }
        }
        let mut ended_count: usize = ended.values().map(BTreeSet::len).sum();
        while ended_count > MAX_ENDED {
            let largest = ended.values_mut().max_by_key(|tenant_ended| tenant_ended.len());
            expired_ids.extend(largest.and_then(BTreeSet::pop_first).map(|(_, id)| id));
            ended_count -= 1;
        }
        expired_ids.into_iter().for_each(|id| drop(self.remove(id)));
    }

    /// Shrinks a document that is too long: removes ended reservations, the oldest first, then histories and
    /// reasons.
    fn shrink_to_limit(&mut self) {
        while self.max_encoded_bytes() > MAX_DOCUMENT_BYTES {
            let ended =
                self.reservations().filter_map(|reservation| Some((reservation.ended_at()?, reservation.id)));
            if let Some((_, id)) = ended.min() {
                self.remove(id);
                continue;
            }
            let has_reason = |reservation: &Reservation| matches!(reservation.history.last(), Some(ReservationEvent { cause: ChangeCause::CapacityLost(reason), .. }) if !reason.is_empty());
            let reducible = self
                .reservations()
                .filter(|reservation| reservation.history.len() > 1 || has_reason(reservation));
            let Some(longest) = reducible.max_by_key(|reservation| reservation.history.len()) else { return };
            let mut reservation = longest.clone();
            reservation.history.drain(..reservation.history.len() - 1);
            if let Some(ReservationEvent { cause: ChangeCause::CapacityLost(reason), .. }) =
                reservation.history.last_mut()
            {
                reason.clear();
            }
            self.upsert(reservation);
        }
    }
}
