//! Admission queue of one pool: fair queueing between tenants by weight, then between the keys of a tenant.
//!
//! Both levels are start-time fair queueing (Goyal, Vin, Cheng 1996) over expected work. A flow (a tenant, or
//! a queue of keys) has a start tag: the virtual time at which its next request starts. The flow with the
//! lowest tag is served, and its tag advances by the request's work divided by the flow's weight. A flow that
//! was idle starts at the current virtual time, so unused service is not saved up. Over any interval in which
//! two flows are both backlogged, the work served to them differs by at most one request of each.
//!
//! A salt that changes every [`SALT_PERIOD`] assigns each key [`QUEUES_PER_KEY`] of a fixed number of queues.
//! A request joins the one of them in which it is served first (shuffle sharding, as in the API priority and
//! fairness of Kubernetes). Keys that were neither admitted nor seen lately use only [`UNKNOWN_KEY_QUEUES`]
//! queues, so a client that takes a new identity with each request gets no more than the share of those
//! queues. Waiting requests are stored in a slab of fixed size and linked by queue. When the slab is full,
//! the longest queue evicts its last request in favour of the request of another queue.
//!
//! Within a queue, requests that return at their promised time are served first, then requests of higher
//! worth, then requests in order of arrival.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::concurrency::{ConcurrencyLimit, RequestOutcome};
use crate::recent_keys::RecentKeys;
use crate::retry_after::{RetryCalendar, RetrySchedule};
use crate::slab::{Slab, Waiter, NO_SLOT};
use crate::Micros;

/// Number of queues per tenant.
pub const QUEUES_PER_TENANT: usize = 256;
/// Number of a tenant's queues that are reserved for keys that were neither admitted nor seen lately.
pub const UNKNOWN_KEY_QUEUES: usize = 16;
/// Number of queues that a key may use at a time.
pub const QUEUES_PER_KEY: usize = 2;
/// Period after which keys are assigned to other queues, and duration of a generation of recent keys.
pub const SALT_PERIOD: Micros = 10_000_000;
/// Maximum number of tenants in an admission queue. If all of them have waiting requests, a further tenant
/// shares the state of the last one.
pub const MAX_TENANTS: usize = 1_024;
/// Maximum weight of a tenant. A weight of 0 counts as 1.
pub const MAX_WEIGHT: u32 = 1_000_000;
/// Bounds of a request's expected work, in microseconds.
pub const WORK_BOUNDS: (Micros, Micros) = (100, 120_000_000);
/// Maximum number of waiting requests in an admission queue, whatever its settings say.
pub const MAX_WAITING: u32 = 1 << 20;
/// Unit of virtual time: one microsecond of work at weight 1.
const VIRTUAL_TIME_UNIT: u64 = 1 << 20;
/// Virtual time at which tags are rebased, long before they would overflow.
const REBASE_THRESHOLD: u64 = 1 << 60;
/// Number of priority bands in a queue: requests that return at their promised time, requests of higher
/// worth, and all others.
const PRIORITY_BANDS: usize = 3;
/// Weight of a newly admitted request in the moving average of expected work.
const WORK_SMOOTHING: f64 = 0.05;

/// Settings of an admission queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Maximum number of waiting requests, 1 to [`MAX_WAITING`]. Memory of 64 bytes per request is allocated
    /// when the queue is created.
    pub max_waiting: u32,
    /// Maximum time that a request waits.
    pub max_wait: Micros,
    /// Maximum retry delay that a refusal advises.
    pub max_retry_after: Micros,
    /// Maximum number of admitted requests in the pool, whatever the learned limit is.
    pub max_in_flight: u32,
    /// Time reserved for returning the response to the client.
    pub response_margin: Micros,
    /// Seed of the salts that assign keys to queues.
    pub seed: u64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        AdmissionSettings {
            max_waiting: 1_024,
            max_wait: 500_000,
            max_retry_after: 30_000_000,
            max_in_flight: 20_000,
            response_margin: 20_000,
            seed: 0,
        }
    }
}

/// A request that arrives at the queue.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Number of the request, unique among waiting and admitted requests.
    pub id: u64,
    /// Tenant of the request.
    pub tenant: u64,
    /// Weight of the tenant, 1 to [`MAX_WEIGHT`].
    pub weight: u32,
    /// Hash of the client's key.
    pub key: u64,
    /// Expected work, in microseconds.
    pub work: Micros,
    /// Worth as a fraction of the highest worth of the tenant's requests, 0 to 1. A request above one half is
    /// served before requests of lower worth in the same queue.
    pub worth: f64,
    /// Whether the request may be repeated. One that may not be repeated gets more time reserved: admitted
    /// too late, it would be executed without being answered.
    pub is_repeatable: bool,
    /// Whether the client says that it sent the request before. If a retry time promised to its key is due,
    /// the request is served before new requests of the key.
    pub is_retry: bool,
    /// Time of the first arrival. A request that the pool refused had no effect and may arrive again.
    pub first_arrival: Micros,
    /// Time at which the client gives up.
    pub deadline: Micros,
}

/// Decision on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalDecision {
    /// The request goes to the pool; the caller reports its end with [`AdmissionQueue::record_end`].
    Admit,
    /// The request waits in this slot; a [`QueueDecision`] follows.
    Enqueue(u32),
    /// The request is refused at once, with the delay after which a retry may succeed, if known.
    Refuse(Option<Micros>),
}

/// Decision on a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// The request goes to the pool; the caller reports its end with [`AdmissionQueue::record_end`].
    Admit(u64),
    /// The request is refused at once, with the delay after which a retry may succeed, if known.
    Refuse(u64, Option<Micros>),
}

/// Linked list of the requests in one priority band of a queue, by slots of the slab.
#[derive(Clone, Copy, Debug)]
struct Band {
    first: u32,
    last: u32,
    work: u64,
}

/// State of one queue of keys. 64 bytes.
#[derive(Clone, Copy, Debug)]
struct Queue {
    start_tag: u64,
    bands: [Band; PRIORITY_BANDS],
    length: u32,
}

const EMPTY_QUEUE: Queue = Queue {
    start_tag: 0,
    bands: [Band { first: NO_SLOT, last: NO_SLOT, work: 0 }; PRIORITY_BANDS],
    length: 0,
};

impl Queue {
    fn work(&self) -> u64 {
        self.bands.iter().map(|band| band.work).sum()
    }

    /// Returns the work that is served before a request that joins this band now.
    fn work_ahead(&self, band: usize) -> u64 {
        self.bands[..=band].iter().map(|band| band.work).sum()
    }

    fn first(&self) -> Option<u32> {
        self.bands.iter().map(|band| band.first).find(|first| *first != NO_SLOT)
    }

    /// Returns the last request of the lowest band that is not empty, and the band's index.
    fn last(&self) -> Option<(u32, usize)> {
        let bands = self.bands.iter().enumerate().rev();
        bands.map(|(at, band)| (band.last, at)).find(|(last, _)| *last != NO_SLOT)
    }
}

struct Tenant {
    tenant_id: u64,
    weight: u64,
    start_tag: u64,
    /// Virtual time of the tenant's queues.
    virtual_time: u64,
    length: u32,
    work: u64,
    queues: Vec<Queue>,
    /// Promised retry times, by queue numbers that do not change with the salt.
    retry_schedules: Vec<RetrySchedule>,
    /// Keys that were admitted lately, and keys that arrived lately.
    admitted_keys: RecentKeys,
    arrived_keys: RecentKeys,
    /// Start of the current period in which the tenant has had waiting requests without a pause.
    backlogged_since: Micros,
    /// Queues that have waiting requests.
    active: Vec<u16>,
    /// Time of the tenant's last arrival.
    last_arrival: Micros,
}

/// Queue and priority band of a request, and the retry schedule of its key.
#[derive(Clone, Copy)]
struct QueuePosition {
    tenant: u32,
    queue: u16,
    schedule: u16,
    band: u8,
}

/// Admission queue of one pool.
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    limit: ConcurrencyLimit,
    now: Micros,
    virtual_time: u64,
    tenants: Vec<Tenant>,
    tenant_indexes: BTreeMap<u64, u32>,
    slab: Slab,
    calendar: RetryCalendar,
    /// Moving average of the expected work of admitted requests.
    mean_work: f64,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(settings: AdmissionSettings) -> AdmissionQueue {
        let settings =
            AdmissionSettings { max_waiting: settings.max_waiting.clamp(1, MAX_WAITING), ..settings };
        AdmissionQueue {
            limit: ConcurrencyLimit::new(settings.max_in_flight),
            now: 0,
            virtual_time: 0,
            tenants: Vec::new(),
            tenant_indexes: BTreeMap::new(),
            slab: Slab::new(settings.max_waiting as usize),
            calendar: RetryCalendar::new(settings.max_retry_after),
            mean_work: 0.0,
            settings,
        }
    }

    /// Applies new settings and keeps the learned limit and the waiting requests. Requests that may no longer
    /// wait are refused at once.
    pub fn configure(
        &mut self,
        now: Micros,
        settings: AdmissionSettings,
        decisions: &mut Vec<QueueDecision>,
    ) {
        self.now = self.now.max(now);
        let settings =
            AdmissionSettings { max_waiting: settings.max_waiting.clamp(1, MAX_WAITING), ..settings };
        self.slab.grow(settings.max_waiting as usize);
        if settings.max_retry_after != self.settings.max_retry_after {
            self.calendar = RetryCalendar::new(settings.max_retry_after);
        }
        if settings.max_wait < self.settings.max_wait {
            self.slab.limit_expiry(self.now.saturating_add(settings.max_wait));
        }
        self.limit.set_max(settings.max_in_flight);
        self.settings = settings;
        while self.slab.len() > self.settings.max_waiting as usize {
            let Some((tenant, queue)) = self.longest_queue() else { break };
            self.evict_last(tenant, queue, decisions);
        }
        self.dispatch(now, decisions);
    }

    /// Changes the weight of a tenant, also for its waiting requests. The work by which the tenant has been
    /// served ahead of others is unchanged.
    pub fn set_weight(&mut self, tenant: u64, weight: u32) {
        let weight = u64::from(weight.clamp(1, MAX_WEIGHT));
        let Some(&index) = self.tenant_indexes.get(&tenant) else { return };
        let tenant_state = &mut self.tenants[index as usize];
        let ahead = u128::from(tenant_state.start_tag.saturating_sub(self.virtual_time))
            * u128::from(tenant_state.weight)
            / u128::from(weight);
        tenant_state.start_tag = self.virtual_time + ahead.min(u128::from(REBASE_THRESHOLD)) as u64;
        tenant_state.weight = weight;
    }

    /// Returns the concurrency limit of the pool.
    pub fn concurrency_limit(&self) -> &ConcurrencyLimit {
        &self.limit
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.slab.len()
    }

    /// Returns the time at which [`AdmissionQueue::dispatch`] has to be called if nothing else happens
    /// before.
    pub fn next_due(&self) -> Option<Micros> {
        self.slab.first_expiring().map(|slot| self.slab.get(slot).expires_at)
    }

    /// Handles an arriving request. If the queue is full, the longest queue may have to evict its last
    /// request; the decision on that one is added to `decisions`.
    pub fn arrive(
        &mut self,
        now: Micros,
        arrival: Arrival,
        decisions: &mut Vec<QueueDecision>,
    ) -> ArrivalDecision {
        self.now = self.now.max(now);
        let now = self.now;
        let work = arrival.work.clamp(WORK_BOUNDS.0, WORK_BOUNDS.1);
        let tenant = self.tenant_index(arrival.tenant, arrival.weight);
        let position = self.assign_position(tenant, &arrival);
        if self.slab.len() == 0 && self.limit.has_capacity() {
            self.admit(tenant, position.queue, arrival.key, work);
            return ArrivalDecision::Admit;
        }
        // Twice the recent response time, as responses may take longer; three times for a request that may
        // not be repeated.
        let multiple = if arrival.is_repeatable { 2 } else { 3 };
        let reserved_time =
            multiple * self.limit.response_time().min(WORK_BOUNDS.1) + self.settings.response_margin;
        let last = arrival.deadline.saturating_sub(reserved_time);
        let expires_at = last.min(arrival.first_arrival.saturating_add(self.settings.max_wait));
        let wait = self.expected_wait(tenant, position.queue, position.band);
        if now.saturating_add(wait) > expires_at {
            return ArrivalDecision::Refuse(self.retry_after(position, wait));
        }
        if self.slab.len() >= self.settings.max_waiting as usize && !self.evict_for(position, decisions) {
            return ArrivalDecision::Refuse(self.retry_after(position, wait));
        }
        let waiter = Waiter {
            tenant,
            queue: position.queue,
            band: position.band,
            ..Waiter::new(arrival.id, arrival.key, work, expires_at)
        };
        match self.push(waiter) {
            Some(at) => ArrivalDecision::Enqueue(at),
            None => ArrivalDecision::Refuse(self.retry_after(position, wait)),
        }
    }

    /// Records the end of an admitted request after the time `took` in the pool. `server` is the server that
    /// ended it, if any. The caller has to call [`AdmissionQueue::dispatch`] afterwards.
    pub fn record_end(&mut self, now: Micros, outcome: RequestOutcome, took: Micros, server: Option<u64>) {
        self.now = self.now.max(now);
        self.limit.record_end(self.now, outcome, took, server);
    }

    /// Removes a waiting request whose client has disconnected. Returns `false` if the request does not wait
    /// in this slot.
    pub fn remove_waiting(&mut self, slot: u32, id: u64) -> bool {
        let is_waiting = self.slab.contains(slot, id);
        if is_waiting {
            self.unlink(slot);
        }
        is_waiting
    }

    /// Refuses all waiting requests of a tenant at once, because it was deleted or its pool is empty.
    pub fn refuse_tenant(&mut self, now: Micros, tenant: u64, decisions: &mut Vec<QueueDecision>) {
        self.now = self.now.max(now);
        let Some(&index) = self.tenant_indexes.get(&tenant) else { return };
        while let Some(&queue) = self.tenants[index as usize].active.first() {
            while let Some(first) = self.tenants[index as usize].queues[queue as usize].first() {
                decisions.push(QueueDecision::Refuse(self.slab.get(first).id, None));
                self.unlink(first);
            }
        }
    }

    /// Admits requests while the pool has capacity, and refuses those that can no longer be served in time.
    pub fn dispatch(&mut self, now: Micros, decisions: &mut Vec<QueueDecision>) {
        self.now = self.now.max(now);
        while let Some(slot) =
            self.slab.first_expiring().filter(|slot| self.slab.get(*slot).expires_at <= self.now)
        {
            let waiter = *self.slab.get(slot);
            let wait = self.expected_wait(waiter.tenant, waiter.queue, waiter.band);
            self.unlink(slot);
            let position = self.position_of(&waiter);
            decisions.push(QueueDecision::Refuse(waiter.id, self.retry_after(position, wait)));
        }
        while self.limit.has_capacity() {
            let Some((tenant, queue)) = self.next_queue() else { break };
            let Some(first) = self.tenants[tenant as usize].queues[queue as usize].first() else { break };
            let waiter = *self.slab.get(first);
            self.unlink(first);
            self.admit(tenant, queue, waiter.key, waiter.work);
            decisions.push(QueueDecision::Admit(waiter.id));
        }
    }

    /// Returns the tenant with the most waiting work for its weight, and its longest queue.
    fn longest_queue(&self) -> Option<(u32, u16)> {
        let work_per_weight = |(n, tenant_state): &(usize, &Tenant)| {
            (tenant_state.work / tenant_state.weight, tenant_state.length, std::cmp::Reverse(*n))
        };
        let backlogged = self.tenants.iter().enumerate().filter(|(_, tenant_state)| tenant_state.length > 0);
        let (index, tenant_state) = backlogged.max_by_key(work_per_weight)?;
        let longest =
            tenant_state.active.iter().max_by_key(|at| (tenant_state.queues[**at as usize].work(), **at))?;
        Some((index as u32, *longest))
    }

    fn evict_last(&mut self, tenant: u32, queue: u16, decisions: &mut Vec<QueueDecision>) {
        let Some((last, _)) = self.tenants[tenant as usize].queues[queue as usize].last() else { return };
        let waiter = *self.slab.get(last);
        self.unlink(last);
        let wait = self.expected_wait(tenant, queue, waiter.band);
        let position = self.position_of(&waiter);
        decisions.push(QueueDecision::Refuse(waiter.id, self.retry_after(position, wait)));
    }

    /// Evicts a request to free a slot for an arriving one, and returns whether it did. If the arriving
    /// request's own queue holds a request of a lower band, that one is evicted. Otherwise the longest queue
    /// of the tenant with the most waiting work for its weight evicts its last request, unless the arriving
    /// request's queue or tenant is at least as long.
    fn evict_for(&mut self, position: QueuePosition, decisions: &mut Vec<QueueDecision>) -> bool {
        let Some((index, longest)) = self.longest_queue() else { return false };
        let (tenant_state, requester) =
            (&self.tenants[index as usize], &self.tenants[position.tenant as usize]);
        let own = &requester.queues[position.queue as usize];
        if own.last().is_some_and(|(_, band)| band > position.band as usize) {
            self.evict_last(position.tenant, position.queue, decisions);
            return true;
        }
        let shorter = own.work() < tenant_state.queues[longest as usize].work();
        let lighter = requester.work / requester.weight < tenant_state.work / tenant_state.weight;
        let evicts = if index == position.tenant { shorter } else { lighter };
        if evicts {
            self.evict_last(index, longest, decisions);
        }
        evicts
    }

    /// Returns the index of the tenant. If the table is full, the idle tenant with the oldest last arrival is
    /// replaced.
    fn tenant_index(&mut self, tenant_id: u64, weight: u32) -> u32 {
        if let Some(&index) = self.tenant_indexes.get(&tenant_id) {
            self.tenants[index as usize].last_arrival = self.now;
            if self.tenants[index as usize].weight != u64::from(weight.clamp(1, MAX_WEIGHT)) {
                self.set_weight(tenant_id, weight);
            }
            return index;
        }
        let new_tenant = || Tenant {
            tenant_id,
            weight: u64::from(weight.clamp(1, MAX_WEIGHT)),
            start_tag: 0,
            virtual_time: 0,
            length: 0,
            work: 0,
            queues: vec![EMPTY_QUEUE; QUEUES_PER_TENANT],
            retry_schedules: vec![RetrySchedule::default(); QUEUES_PER_TENANT],
            admitted_keys: RecentKeys::new(SALT_PERIOD),
            arrived_keys: RecentKeys::new(SALT_PERIOD),
            backlogged_since: self.now,
            active: Vec::with_capacity(QUEUES_PER_TENANT),
            last_arrival: self.now,
        };
        if self.tenants.len() < MAX_TENANTS {
            let new_tenant = new_tenant();
            self.tenants.push(new_tenant);
            let index = (self.tenants.len() - 1) as u32;
            self.tenant_indexes.insert(tenant_id, index);
            return index;
        }
        let idle = self.tenants.iter().enumerate().filter(|(_, tenant)| tenant.length == 0);
        let Some((index, _)) = idle.min_by_key(|(_, tenant)| tenant.last_arrival) else {
            return (MAX_TENANTS - 1) as u32;
        };
        let new_tenant = new_tenant();
        let old = std::mem::replace(&mut self.tenants[index], new_tenant);
        self.tenant_indexes.remove(&old.tenant_id);
        self.tenant_indexes.insert(tenant_id, index as u32);
        index as u32
    }

    /// Returns the queue for a hash, among the queues of known or unknown keys.
    fn queue_for_hash(is_unknown: bool, hash: u64) -> u16 {
        let (first, count) = if is_unknown {
            (0, UNKNOWN_KEY_QUEUES)
        } else {
            (UNKNOWN_KEY_QUEUES, QUEUES_PER_TENANT - UNKNOWN_KEY_QUEUES)
        };
        (first as u64 + hash % count as u64) as u16
    }

    /// Chooses the queue and band in which an arriving request waits if it has to.
    fn assign_position(&mut self, tenant: u32, arrival: &Arrival) -> QueuePosition {
        let (key, seed, now) = (arrival.key.to_le_bytes(), self.settings.seed, self.now);
        let tenant_state = &mut self.tenants[tenant as usize];
        let is_unknown = !tenant_state.admitted_keys.contains(now, arrival.key)
            && !tenant_state.arrived_keys.contains(now, arrival.key);
        tenant_state.arrived_keys.insert(now, arrival.key);
        let schedule = Self::queue_for_hash(is_unknown, xxh3_64_with_seed(&key, seed));
        let salt = seed.wrapping_add(1 + now / SALT_PERIOD);
        let hash = xxh3_64_with_seed(&key, salt);
        let shard: [u16; QUEUES_PER_KEY] =
            [hash & 0xffff_ffff, hash >> 32].map(|hash| Self::queue_for_hash(is_unknown, hash));
        let finish_tag = |at: &u16| {
            let queue = &tenant_state.queues[*at as usize];
            (queue.start_tag.max(tenant_state.virtual_time) / VIRTUAL_TIME_UNIT + queue.work(), *at)
        };
        let queue = shard.into_iter().min_by_key(finish_tag).unwrap_or(shard[0]);
        let promised = arrival.is_retry
            && tenant_state.retry_schedules[schedule as usize].claim(now, self.settings.max_retry_after);
        let band = if promised { 0 } else { 1 + u8::from(arrival.worth <= 0.5) };
        QueuePosition { tenant, queue, schedule, band }
    }

    /// Returns the position of a waiting request.
    fn position_of(&mut self, waiter: &Waiter) -> QueuePosition {
        let is_unknown = (waiter.queue as usize) < UNKNOWN_KEY_QUEUES;
        let hash = xxh3_64_with_seed(&waiter.key.to_le_bytes(), self.settings.seed);
        let schedule = Self::queue_for_hash(is_unknown, hash);
        QueuePosition { tenant: waiter.tenant, queue: waiter.queue, schedule, band: waiter.band }
    }

    /// Admits a request and advances the tags of its queue and its tenant by its work.
    fn admit(&mut self, tenant: u32, queue: u16, key: u64, work: u64) {
        self.limit.record_start();
        self.mean_work = if self.mean_work == 0.0 {
            work as f64
        } else {
            self.mean_work + WORK_SMOOTHING * (work as f64 - self.mean_work)
        };
        let tenant_state = &mut self.tenants[tenant as usize];
        tenant_state.admitted_keys.insert(self.now, key);
        self.virtual_time = self.virtual_time.max(tenant_state.start_tag);
        tenant_state.start_tag =
            tenant_state.start_tag.max(self.virtual_time) + work * VIRTUAL_TIME_UNIT / tenant_state.weight;
        let flow = &mut tenant_state.queues[queue as usize];
        tenant_state.virtual_time = tenant_state.virtual_time.max(flow.start_tag);
        flow.start_tag = flow.start_tag.max(tenant_state.virtual_time) + work * VIRTUAL_TIME_UNIT;
        if tenant_state.virtual_time > REBASE_THRESHOLD {
            let base = std::mem::take(&mut tenant_state.virtual_time);
            tenant_state
                .queues
                .iter_mut()
                .for_each(|queue| queue.start_tag = queue.start_tag.saturating_sub(base));
        }
        if self.virtual_time > REBASE_THRESHOLD {
            let base = std::mem::take(&mut self.virtual_time);
            self.tenants.iter_mut().for_each(|tenant_state| {
                tenant_state.start_tag = tenant_state.start_tag.saturating_sub(base)
            });
        }
    }

    /// Returns the tenant and the queue to serve next.
    fn next_queue(&self) -> Option<(u32, u16)> {
        let backlogged = self.tenants.iter().enumerate().filter(|(_, tenant)| tenant.length > 0);
        let (index, tenant) = backlogged.min_by_key(|(index, tenant)| (tenant.start_tag, *index))?;
        let queue =
            tenant.active.iter().min_by_key(|queue| (tenant.queues[**queue as usize].start_tag, **queue))?;
        Some((index as u32, *queue))
    }

    /// Estimates how long a request that joins this band of this queue now would wait: the work served before
    /// it, at the rate at which the pool serves.
    fn expected_wait(&self, tenant: u32, queue: u16, band: u8) -> Micros {
        let rate = self.limit.rate();
        // The rate is unknown before the first response, so the request waits to find out.
        if rate <= 0.0 {
            return 0;
        }
        let tenant_state = &self.tenants[tenant as usize];
        let flow = &tenant_state.queues[queue as usize];
        // Tag of the queue once the requests ahead in the same queue have been served.
        let own = flow.work_ahead(band as usize);
        let start = flow.start_tag.max(tenant_state.virtual_time) / VIRTUAL_TIME_UNIT + own;
        let work_ahead = |at: &u16| {
            if *at == queue {
                return own;
            }
            let other = &tenant_state.queues[*at as usize];
            let lead =
                start.saturating_sub(other.start_tag.max(tenant_state.virtual_time) / VIRTUAL_TIME_UNIT);
            lead.min(other.work())
        };
        let inside: u64 = tenant_state.active.iter().map(work_ahead).sum();
        // Tag of the tenant at that time, compared with the work of the other tenants.
        let finish_tag =
            tenant_state.start_tag.max(self.virtual_time) / VIRTUAL_TIME_UNIT + inside / tenant_state.weight;
        let others =
            self.tenants.iter().enumerate().filter(|(n, other)| *n != tenant as usize && other.length > 0);
        let outside: u64 = others
            .map(|(_, other)| {
                let lead = finish_tag
                    .saturating_sub(other.start_tag.max(self.virtual_time) / VIRTUAL_TIME_UNIT)
                    .saturating_mul(other.weight);
                // A tenant that has been backlogged for long will receive more requests before its share is
                // served.
                match self.now.saturating_sub(other.backlogged_since) > self.settings.max_wait {
                    true => lead,
                    false => lead.min(other.work),
                }
            })
            .fold(0, u64::saturating_add);
        let ahead = inside.saturating_add(outside) as f64 / self.mean_work.max(WORK_BOUNDS.0 as f64);
        (ahead * 1e6 / rate) as Micros
    }

    /// Returns the advised retry delay: after the requests ahead are served, after those of the same schedule
    /// that were refused before, at the rate of the key's share, and at a time when the pool has capacity
    /// that is not promised yet.
    fn retry_after(&mut self, position: QueuePosition, wait: Micros) -> Option<Micros> {
        let rate = self.limit.rate();
        if rate <= 0.0 {
            return None;
        }
        let weights: u64 =
            self.tenants.iter().filter(|other| other.length > 0).map(|other| other.weight).sum();
        let tenant_state = &mut self.tenants[position.tenant as usize];
        let tenant_share = tenant_state.weight as f64 / weights.max(tenant_state.weight) as f64;
        // The requests of a refused key may use all of its queues.
        let key_rate = rate * tenant_share * QUEUES_PER_KEY as f64
            / tenant_state.active.len().max(QUEUES_PER_KEY) as f64;
        let interval = (1e6 / key_rate.max(1e-6)) as Micros;
        let (now, max_delay) = (self.now, self.settings.max_retry_after);
        let schedule = &mut tenant_state.retry_schedules[position.schedule as usize];
        let earliest = schedule.earliest_time(now, wait, interval, max_delay)?;
        let time = self.calendar.reserve(earliest, now.saturating_add(max_delay), rate)?;
        schedule.promise(now, time, max_delay);
        Some(time - now)
    }

    fn push(&mut self, waiter: Waiter) -> Option<u32> {
        let tenant_state = &mut self.tenants[waiter.tenant as usize];
        let last = tenant_state.queues[waiter.queue as usize].bands[waiter.band as usize].last;
        let slot = self.slab.insert(Waiter { prev: last, ..waiter })?;
        // A flow that was idle starts at the current virtual time.
        if tenant_state.length == 0 {
            tenant_state.start_tag = tenant_state.start_tag.max(self.virtual_time);
            tenant_state.backlogged_since = self.now;
        }
        let flow = &mut tenant_state.queues[waiter.queue as usize];
        if flow.length == 0 {
            flow.start_tag = flow.start_tag.max(tenant_state.virtual_time);
            tenant_state.active.push(waiter.queue);
        }
        let band = &mut flow.bands[waiter.band as usize];
        match last {
            NO_SLOT => band.first = slot,
            last => self.slab.get_mut(last).next = slot,
        }
        band.last = slot;
        band.work += waiter.work;
        flow.length += 1;
        tenant_state.length += 1;
        tenant_state.work += waiter.work;
        Some(slot)
    }

    fn unlink(&mut self, slot: u32) {
        let waiter = *self.slab.get(slot);
        let tenant_state = &mut self.tenants[waiter.tenant as usize];
        let flow = &mut tenant_state.queues[waiter.queue as usize];
        let band = &mut flow.bands[waiter.band as usize];
        match waiter.prev {
            NO_SLOT => band.first = waiter.next,
            prev => self.slab.get_mut(prev).next = waiter.next,
        }
        match waiter.next {
            NO_SLOT => band.last = waiter.prev,
            next => self.slab.get_mut(next).prev = waiter.prev,
        }
        band.work -= waiter.work;
        flow.length -= 1;
        if flow.length == 0 {
            if let Some(at) = tenant_state.active.iter().position(|queue| *queue == waiter.queue) {
                tenant_state.active.swap_remove(at);
            }
        }
        tenant_state.length -= 1;
        tenant_state.work -= waiter.work;
        self.slab.remove(slot);
    }
}
