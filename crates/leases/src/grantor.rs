//! Grants shares of the resources that a node owns in an epoch, while its authority lasts and after the
//! grants of earlier grantors are over.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::allocation::{Allocation, GrantTerms};
use crate::epoch::{EpochChange, EpochDoc, MemberId};
use crate::message::{GrantedShare, LeaseRequest, LeaseResponse, ResponseBody};
use crate::resource::{share_of, Micros, Resource, ResourceId, Resources};
use crate::{LeaseError, LeaseSettings};

/// A member's process as a possible grantor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Grantor {
    id: MemberId,
    run: u64,
    settings: LeaseSettings,
    doc: Option<EpochDoc>,
    /// Time at which its authority ends.
    authority_until: Micros,
    resources: Arc<Resources>,
    /// Time from which all grants of earlier epochs have expired.
    takeover_at: Micros,
    /// Its own resources, each with the time from which the grants of earlier grantors have expired; slots
    /// last [`LeaseSettings::max_hold`] longer.
    own_resources: BTreeMap<ResourceId, Micros>,
    allocations: BTreeMap<ResourceId, Allocation>,
    /// Resources that were lowered: the larger amount, and the revision that lowered it.
    lowered_resources: BTreeMap<ResourceId, (u64, u64)>,
    /// Members that sent requests under this epoch: since when, and the latest revision that each used.
    members_seen: BTreeMap<MemberId, (Micros, u64)>,
    /// Maximum sum of safe shares: of rates, and of slots, which may stay in use for a while longer.
    reserved_ppb: (u64, u64),
}

impl Grantor {
    /// A grantor that has no document and grants nothing yet.
    ///
    /// # Errors
    /// The settings do not fit together.
    pub fn new(id: MemberId, run: u64, settings: LeaseSettings) -> Result<Grantor, LeaseError> {
        settings.validate()?;
        let (resources, own_resources, allocations) = (Arc::default(), BTreeMap::new(), BTreeMap::new());
        let (lowered_resources, members_seen) = (BTreeMap::new(), BTreeMap::new());
        let (doc, authority_until, takeover_at, reserved_ppb) = (None, 0, 0, (0, 0));
        Ok(Grantor {
            id,
            run,
            settings,
            doc,
            authority_until,
            takeover_at,
            resources,
            own_resources,
            allocations,
            lowered_resources,
            members_seen,
            reserved_ppb,
        })
    }

    /// The epoch that it uses; 0 for none.
    pub fn epoch(&self) -> u64 {
        self.doc.as_ref().map_or(0, EpochDoc::epoch)
    }

    /// Adopts a later epoch's document, at a time after it was read. Resources that it did not own in the
    /// epoch just before wait for one authority.
    pub fn adopt_epoch(&mut self, now: Micros, doc: &EpochDoc) {
        let before = self.doc.take();
        if before.as_ref().is_some_and(|old| old.epoch() >= doc.epoch()) {
            // A document of the same epoch may record that more members were seen.
            let later = before.filter(|old| old.epoch() > doc.epoch());
            self.doc = Some(later.unwrap_or_else(|| doc.clone()));
            return self.update_reserve(now);
        }
        // It knows nothing of what happened in epochs that it did not adopt.
        let next =
            |old: &EpochDoc| old.epoch() + 1 == doc.epoch() && old.grantor_run(self.id) == Some(self.run);
        let continues = before.as_ref().is_some_and(next);
        let old = std::mem::take(&mut self.own_resources);
        self.takeover_at = now.saturating_add(self.settings.authority);
        if doc.grantor_run(self.id) == Some(self.run) {
            let owned = self.resources.iter().filter(|(id, _)| doc.grantor(*id) == Some(self.id));
            let since = |id| old.get(&id).copied().filter(|_| continues).unwrap_or(self.takeover_at);
            self.own_resources = owned.map(|(id, _)| (id, since(id))).collect();
        }
        let kept = |id: &ResourceId| continues && old.contains_key(id) && self.own_resources.contains_key(id);
        self.allocations.retain(|id, _| kept(id));
        // Its authority was for the previous epoch.
        (self.doc, self.authority_until) = (Some(doc.clone()), 0);
        self.members_seen.retain(|id, _| doc.has_member(*id));
        self.members_seen.values_mut().for_each(|(since, _)| *since = Micros::MAX);
        self.update_reserve(now);
    }

    /// Extends its authority after its epoch was confirmed: by an operation at the coordination service, sent
    /// at or after `sent`, that succeeds only if the document still has this epoch with this process as
    /// grantor. A read does not confirm it, since it may return an old copy.
    pub fn confirm_epoch(&mut self, sent: Micros, epoch: u64) {
        let is_grantor = |doc: &EpochDoc| doc.epoch() == epoch && doc.grantor_run(self.id) == Some(self.run);
        if self.doc.as_ref().is_some_and(is_grantor) {
            self.authority_until = self
                .authority_until
                .max(sent.saturating_add(self.settings.shorten_for_drift(self.settings.authority)));
        }
    }

    /// Adopts a later revision of the resources.
    pub fn update_resources(&mut self, now: Micros, resources: Arc<Resources>) {
        if resources.revision() <= self.resources.revision() {
            return;
        }
        for (id, old) in self.resources.iter() {
            let (old, new) = (old.units(), resources.get(id).map_or(0, Resource::units));
            let former = self.lowered_resources.get(&id).map_or(old, |(former, _)| old.max(*former));
            if new < former {
                self.lowered_resources.insert(id, (former, resources.revision()));
            }
        }
        let before = std::mem::replace(&mut self.resources, resources);
        self.own_resources.retain(|id, _| self.resources.get(*id).is_some());
        if let Some(doc) = self.doc.as_ref().filter(|doc| doc.grantor_run(self.id) == Some(self.run)) {
            let new = self.resources.iter().filter(|(id, _)| before.get(*id).is_none());
            let owned = new.filter(|(id, _)| doc.grantor(*id) == Some(self.id));
            self.own_resources.extend(owned.map(|(id, _)| (id, self.takeover_at)));
        }
        // The allocation of a removed resource ends with its grants, since the resource may be added again.
        self.update_reserve(now);
    }

    /// Whether it may grant.
    pub fn can_grant(&self, now: Micros) -> bool {
        now < self.authority_until
    }

    /// Responds to a request; `None` if there is no response.
    pub fn handle_request(&mut self, now: Micros, request: &LeaseRequest) -> Option<LeaseResponse> {
        let doc = self.doc.as_ref()?;
        let response = |body| {
            let (epoch, from, to) = (doc.epoch(), self.id, request.from);
            Some(LeaseResponse { epoch, from, to, run: request.run, seq: request.seq, body })
        };
        if request.epoch < doc.epoch() {
            return response(ResponseBody::NewerEpoch);
        }
        if request.epoch > doc.epoch() || !self.can_grant(now) || !doc.has_member(request.from) {
            return None;
        }
        let seen = self.members_seen.entry(request.from).or_insert((Micros::MAX, 0));
        (seen.0, seen.1) = (seen.0.min(now), seen.1.max(request.revision));
        // No grant outlives its authority.
        let term = self.settings.term.min(self.authority_until - now);
        let mut shares = Vec::with_capacity(request.requests.len());
        for wanted in &request.requests {
            let Some(resource) = self.resources.get(wanted.resource) else { continue };
            let tail = if resource.is_slots() { self.settings.max_hold } else { 0 };
            if self.own_resources.get(&wanted.resource).is_none_or(|from| now < from.saturating_add(tail)) {
                continue;
            }
            let terms = GrantTerms {
                pool: self.grantable_units(wanted.resource, resource),
                min_share: resource.min_share,
                term,
                tail,
            };
            let allocation = self.allocations.entry(wanted.resource).or_default();
            if allocation.record_request(now, (request.from, request.run, request.seq), wanted, terms) {
                let share = allocation.grant(now, request.from, request.seq, terms);
                shares.push(GrantedShare { resource: wanted.resource, share });
            }
        }
        response(ResponseBody::Grant { term, shares })
    }

    /// Units of a resource that it may grant: the amount, less the safe shares of the larger amount that
    /// members may still use.
    fn grantable_units(&self, id: ResourceId, resource: &Resource) -> u64 {
        let units = resource.units();
        let largest = self.lowered_resources.get(&id).map_or(units, |(former, _)| units.max(*former));
        let ppb = if resource.is_slots() { self.reserved_ppb.1 } else { self.reserved_ppb.0 };
        units.saturating_sub(share_of(largest, ppb))
    }

    /// Removes what has expired. Called in each round.
    pub fn remove_expired(&mut self, now: Micros) {
        let term = self.settings.term;
        self.allocations.retain(|_, allocation| allocation.remove_expired(now, term));
        self.update_reserve(now);
    }

    fn update_reserve(&mut self, now: Micros) {
        let Some(doc) = &self.doc else { return };
        let max_hold = self.settings.max_hold;
        let since = |id: MemberId| self.members_seen.get(&id).map_or(Micros::MAX, |(since, _)| *since);
        let rates = doc.reserved_ppb(|id| since(id) <= now);
        self.reserved_ppb = (rates, doc.reserved_ppb(|id| since(id).saturating_add(max_hold) <= now));
        let revision = |id: MemberId| self.members_seen.get(&id).map_or(0, |(_, revision)| *revision);
        let known = doc.roster().values().map(|member| revision(member.id)).min().unwrap_or(0);
        self.lowered_resources.retain(|_, (_, since)| known < *since);
    }

    /// The change to write into the document: members that use this epoch, and only its safe shares.
    pub fn confirmation_change(&self, now: Micros) -> Option<EpochChange> {
        let doc = self.doc.as_ref()?;
        let settled = |id: MemberId| {
            self.members_seen
                .get(&id)
                .is_some_and(|(since, _)| since.saturating_add(self.settings.max_hold) <= now)
        };
        let late = doc.roster().values().filter(|m| m.max_safe_ppb > doc.safe_share_ppb() && settled(m.id));
        let ids: Vec<MemberId> = late.map(|member| member.id).collect();
        (!ids.is_empty()).then_some(EpochChange::ConfirmMembers { epoch: doc.epoch(), ids })
    }

    /// Charged units of one of its own resources, and the maximum that may be charged.
    pub fn account(&self, id: ResourceId) -> Option<(u64, u64)> {
        let resource = self.resources.get(id).filter(|_| self.own_resources.contains_key(&id))?;
        Some((self.allocations.get(&id).map_or(0, Allocation::charged), self.grantable_units(id, resource)))
    }
}
