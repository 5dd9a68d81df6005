//! Leases a node's shares of all resources: requests them in rounds by demand and gives granted shares to limiters.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use crate::demand::{Demand, DEMAND_ROUNDS};
use crate::epoch::{EpochDoc, MemberId};
use crate::held_lease::HeldLease;
use crate::lease_client::{LeaseClient, ResponseOutcome, SafeCapacity};
use crate::limiter::{lock, ActivationQueue, Limiter, LimiterState};
use crate::message::{LeaseRequest, LeaseResponse, ResponseBody, ShareRequest, MAX_MESSAGE_BYTES};
use crate::resource::{share_of, Micros, Resource, ResourceId, Resources};
use crate::{LeaseError, LeaseSettings, MAX_HEADER_BYTES};

/// Requests that are being filled, by grantor, with the maximum length of each in bytes.
type Open = BTreeMap<MemberId, (LeaseRequest, usize)>;
/// Requests to send, each with the grantor that receives it.
type Outgoing = Vec<(MemberId, LeaseRequest)>;

/// The leases of one process.
#[derive(Debug)]
pub struct Holder {
    settings: LeaseSettings,
    client: LeaseClient,
    resources: Arc<Resources>,
    /// Time from which the buckets of resources without an earlier limiter fill.
    since: Micros,
    limiters: BTreeMap<ResourceId, Limiter>,
    active: BTreeMap<ResourceId, Demand>,
    woken: ActivationQueue,
    last: Option<Micros>,
    bytes: u64,
    /// Resources of which less was granted than was held: reporting that at once frees the rest for another holder.
    urgent: BTreeSet<ResourceId>,
    /// The resource at which the next round begins, since the bytes may not have sufficed for all.
    next: ResourceId,
}

impl Holder {
    /// The holder of a member's process, with the last safe share of rates of its name, from disk; 0 if it has none.
    ///
    /// # Errors
    /// The settings do not fit together.
    pub fn new(id: MemberId, run: u64, settings: LeaseSettings, rates: u64) -> Result<Holder, LeaseError> {
        settings.validate()?;
        let (limiters, active, woken) = (BTreeMap::new(), BTreeMap::new(), Arc::new(Mutex::new(Vec::new())));
        let (client, resources) = (LeaseClient::new(id, run, settings, rates), Arc::default());
        let (since, last, bytes, next) = (Micros::MAX, None, settings.bytes_s, 0);
        let urgent = BTreeSet::new();
        Ok(Holder { settings, client, resources, since, limiters, active, woken, last, bytes, urgent, next })
    }

    /// Its safe shares, which have to be on disk, with the document, before any request is sent under them.
    pub fn safe(&self) -> SafeCapacity {
        self.client.safe()
    }

    /// The epoch that it uses; 0 for none.
    pub fn epoch(&self) -> u64 {
        self.client.doc().map_or(0, EpochDoc::epoch)
    }

    /// Adopts a later document.
    pub fn adopt_epoch(&mut self, now: Micros, doc: &EpochDoc) {
        if self.client.adopt_epoch(now, doc) {
            self.refresh_limiters(now);
        }
    }

    /// Adopts later resources. A removed one's limiter admits nothing; it is fetched anew if the resource returns.
    pub fn update_resources(&mut self, now: Micros, resources: Arc<Resources>) {
        if resources.revision() <= self.resources.revision() {
            return;
        }
        (self.resources, self.since) = (resources, now);
        lock(&self.woken).reserve(self.resources.len());
        self.active.retain(|id, _| self.resources.get(*id).is_some());
        self.refresh_limiters(now);
        // A limiter with slots in use stays, so that they are counted if the resource returns.
        self.limiters.retain(|id, limiter| self.resources.get(*id).is_some() || limiter.in_use() > 0);
    }

    fn refresh_limiters(&mut self, now: Micros) {
        for (id, limiter) in &self.limiters {
            limiter.state().update(now, |state| match self.resources.get(*id) {
                Some(resource) => self.configure(state, resource),
                None => (state.lease, state.is_active) = (HeldLease::default(), false),
            });
        }
    }

    /// The safe share of a resource, in units.
    pub fn safe_units_of(&self, id: ResourceId) -> u64 {
        let safe = self.client.safe();
        let of = |r: &Resource| share_of(r.units(), if r.is_slots() { safe.slots } else { safe.rates });
        self.resources.get(id).map_or(0, of)
    }

    fn configure(&self, state: &mut LimiterState, resource: &Resource) {
        let (units, safe) = (resource.units(), self.client.safe());
        let members = self.client.doc().map_or(1, EpochDoc::member_count).max(1) as u64;
        let safe = share_of(units, if resource.is_slots() { safe.slots } else { safe.rates });
        let even = matches!(resource.mode, crate::OutageMode::Generous).then_some(units / members);
        (state.resource, state.members) = (*resource, members);
        state.lease.set_safe(safe, even, &self.settings);
    }

    /// The limiter of a resource.
    pub fn limiter(&mut self, id: ResourceId) -> Option<Limiter> {
        if let Some(limiter) = self.limiters.get(&id) {
            return Some(limiter.clone());
        }
        let resource = *self.resources.get(id)?;
        let mut state = LimiterState::new(resource, 1, self.settings.drift_ppm, self.since);
        self.configure(&mut state, &resource);
        let limiter = Limiter::new(id, Arc::clone(&self.woken), state);
        self.limiters.insert(id, limiter.clone());
        Some(limiter)
    }

    /// The requests to send now. Called at least once a round, and after responses, whose cuts are reported at once.
    pub fn poll(&mut self, now: Micros) -> Vec<(MemberId, LeaseRequest)> {
        if self.client.raise_safe(now) {
            self.refresh_limiters(now);
        }
        let elapsed = self.last.map_or(self.settings.round, |at| now.saturating_sub(at));
        let urgent = std::mem::take(&mut self.urgent);
        // A timer that fires a little early does not put the round off to the next one.
        if elapsed < self.settings.round / 8 * 7 {
            return self.build_requests(now, urgent.into_iter().collect(), None);
        }
        self.last = Some(now);
        let more = u128::from(self.settings.bytes_s) * u128::from(elapsed) / 1_000_000;
        self.bytes = self.bytes.saturating_add(more as u64).min(self.settings.bytes_s);
        let activated: Vec<ResourceId> = lock(&self.woken).drain(..).collect();
        self.active.extend(activated.into_iter().map(|id| (id, Demand::default())));
        let rotated = self.active.range(self.next..).chain(self.active.range(..self.next));
        let order = rotated.map(|(id, _)| *id).collect();
        self.build_requests(now, order, Some(elapsed))
    }

    /// Builds requests for resources in this order, as far as the bytes suffice; `round` is the time since the last.
    fn build_requests(&mut self, now: Micros, order: Vec<ResourceId>, round: Option<Micros>) -> Outgoing {
        let (mut out, mut open, mut full) = (Vec::new(), Open::new(), false);
        for id in order {
            let Some(share) = self.share_request(now, round, id) else { continue };
            if full || !self.append(now, share, &mut open, &mut out) {
                self.next = if full || round.is_none() { self.next } else { id };
                full = true;
            }
        }
        out.extend(open.into_iter().map(|(to, (message, _))| (to, message)));
        out
    }

    /// Measures the demand for a resource and returns idle units; `None` where there is nothing to request or report.
    fn share_request(&mut self, now: Micros, round: Option<Micros>, id: ResourceId) -> Option<ShareRequest> {
        let limiter = self.limiters.get(&id)?;
        let demand = self.active.get_mut(&id)?;
        let mut state = limiter.state();
        if let Some(elapsed) = round {
            demand.measure(&mut state, elapsed, self.settings.round);
        }
        let total = demand.total;
        let wanted = total.saturating_sub(state.lease.safe_units()).min(state.resource.units());
        // Without a grantor, the last share of a generous resource is kept.
        let kept = state.lease.is_unanswered() && matches!(state.resource.mode, crate::OutageMode::Generous);
        if !kept && wanted < state.lease.held(now) / 4 * 3 {
            state.update(now, |state| state.lease.reduce_to(wanted));
        }
        let held = state.lease.held(now).max(state.in_use.saturating_sub(state.lease.safe_units()));
        if wanted == 0 && held == 0 && demand.rounds == [0; DEMAND_ROUNDS] && !kept && demand.reported_idle {
            state.update(now, |state| state.lease.release());
            state.is_active = false;
            drop(state);
            self.active.remove(&id);
            return None;
        }
        Some(ShareRequest { resource: id, wanted, held, grant_age: state.lease.granted_seq() })
    }

    /// Adds a share request to the message for its grantor; `false` where the bytes do not suffice.
    fn append(&mut self, now: Micros, mut share: ShareRequest, open: &mut Open, out: &mut Outgoing) -> bool {
        let Some((epoch, to)) = self.client.doc().and_then(|d| Some((d.epoch(), d.grantor(share.resource)?)))
        else {
            return true;
        };
        let granted_seq = std::mem::take(&mut share.grant_age);
        // The largest value that it can have in any open message.
        let grant_age = |seq: u64| if granted_seq == 0 { 0 } else { seq - granted_seq };
        share.grant_age = grant_age(self.client.latest_seq() + 1);
        let share_bytes = share.bytes();
        let is_new_message = open.get(&to).is_none_or(|(_, bytes)| bytes + share_bytes > MAX_MESSAGE_BYTES);
        let cost = (share_bytes + if is_new_message { MAX_HEADER_BYTES } else { 0 }) as u64;
        if cost > self.bytes {
            return false;
        }
        self.bytes -= cost;
        if is_new_message {
            let seq = self.client.register_request(now, to);
            let (from, run, revision) = (self.client.id(), self.client.run(), self.resources.revision());
            let message = LeaseRequest { epoch, revision, from, run, seq, requests: Vec::new() };
            out.extend(open.insert(to, (message, MAX_HEADER_BYTES)).map(|(full, _)| (to, full)));
        }
        let Some((message, bytes)) = open.get_mut(&to) else { return true };
        *bytes += share_bytes;
        share.grant_age = grant_age(message.seq);
        if let (Some(limiter), Some(demand)) =
            (self.limiters.get(&share.resource), self.active.get_mut(&share.resource))
        {
            let silent = self.client.silent_since(to).unwrap_or(now);
            limiter.state().update(now, |state| state.lease.record_request(now, silent));
            demand.reported_idle = share.wanted == 0 && share.held == 0;
        }
        message.requests.push(share);
        true
    }

    /// Handles a grantor's response.
    pub fn handle_response(&mut self, now: Micros, response: &LeaseResponse) -> ResponseOutcome {
        let result = self.client.handle_response(response);
        let (ResponseOutcome::Granted(sent, term), ResponseBody::Grant { shares, .. }) =
            (result, &response.body)
        else {
            return result;
        };
        for share in shares {
            let owner = self.client.doc().and_then(|doc| doc.grantor(share.resource));
            if let Some(limiter) = self.limiters.get(&share.resource).filter(|_| owner == Some(response.from))
            {
                let mut state = limiter.state();
                let held_before = state.lease.held(now);
                // A share granted by an earlier revision may exceed the present amount.
                let granted = share.share.min(state.resource.units());
                state.update(now, |state| {
                    state.lease.accept_grant(sent, response.seq, granted, term);
                });
                if state.lease.held(now) < held_before / 8 * 7 {
                    self.urgent.insert(share.resource);
                }
            }
        }
        result
    }

    /// Resources that are requested now.
    pub fn active(&self) -> BTreeSet<ResourceId> {
        self.active.keys().copied().collect()
    }
}
