//! Decides in memory whether a request is admitted. All callers of a node share one limiter per resource.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::held_lease::HeldLease;
use crate::resource::{Micros, Resource, ResourceId, ResourceKind};

/// Tokens of a request: one token is one unit of a rate (a thousandth of a request a second) for a
/// microsecond.
const REQUEST_TOKENS: u64 = 1_000_000_000;

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("over the limit: retry after {retry_after_us:?} microseconds")]
pub struct OverLimit {
    /// Microseconds until there would be capacity, by the present rate; `None` where that is unknown.
    pub retry_after_us: Option<Micros>,
}

/// Resources with new requests that the holder does not handle yet. Bounded by the number of resources.
pub(crate) type ActivationQueue = Arc<Mutex<Vec<ResourceId>>>;

/// Admits requests up to the node's share of a resource. Clones share their state and are cheap.
#[derive(Clone, Debug)]
pub struct Limiter(Arc<(ResourceId, ActivationQueue, Mutex<LimiterState>)>);

/// A limiter's state: a token bucket for rates, a counter for slots.
#[derive(Debug)]
pub(crate) struct LimiterState {
    pub resource: Resource,
    pub lease: HeldLease,
    /// Members of the roster, each of which keeps one request of the burst.
    pub members: u64,
    pub drift_ppm: u64,
    pub is_active: bool,
    /// Requests since the holder last measured demand.
    pub attempts: u64,
    /// Maximum slots in use since the holder last measured demand.
    pub peak_in_use: u64,
    pub in_use: u64,
    tokens: u64,
    filled_at: Micros,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl LimiterState {
    /// An empty bucket, which fills from `since` on.
    pub fn new(resource: Resource, members: u64, drift_ppm: u64, since: Micros) -> LimiterState {
        let (lease, is_active, attempts, peak_in_use, in_use) = (HeldLease::default(), false, 0, 0, 0);
        LimiterState {
            resource,
            lease,
            members,
            drift_ppm,
            is_active,
            attempts,
            peak_in_use,
            in_use,
            tokens: 0,
            filled_at: since,
        }
    }

    /// Fills the bucket up to now at the present rate, allowing for a clock that may be fast; then applies a
    /// change to the state.
    pub fn update(&mut self, now: Micros, edit: impl FnOnce(&mut LimiterState)) {
        self.fill(now);
        edit(self);
        self.tokens = self.tokens.min(self.max_tokens(now));
    }

    /// Capacity of the bucket: one request for each member, and the rest of the burst by shares. So all nodes
    /// together stay within the burst, and no bucket is too small for one request.
    fn max_tokens(&self, now: Micros) -> u64 {
        let rest =
            u128::from(self.resource.burst().saturating_sub(self.members)) * u128::from(REQUEST_TOKENS);
        let share =
            rest * u128::from(self.lease.usable_units(now)) / u128::from(self.resource.units().max(1));
        REQUEST_TOKENS.saturating_add(u64::try_from(share).unwrap_or(u64::MAX))
    }

    fn fill(&mut self, now: Micros) {
        if now <= self.filled_at || self.resource.is_slots() {
            return;
        }
        let [ends, kept, even] = self.lease.breakpoints();
        let mut from = self.filled_at;
        for to in [ends, kept, even, Micros::MAX].map(|breakpoint| breakpoint.min(now)) {
            if to <= from {
                continue;
            }
            let slopes = from >= kept && to <= even;
            let first = self.lease.usable_units(from);
            let rate = if slopes { (first + self.lease.usable_units(to)) / 2 } else { first };
            let slow = u128::from(1_000_000 - self.drift_ppm.min(1_000_000));
            let added = u128::from(rate) * u128::from(to - from) * slow / 1_000_000;
            self.tokens = self.tokens.saturating_add(u64::try_from(added).unwrap_or(u64::MAX));
            from = to;
        }
        self.filled_at = now;
        self.tokens = self.tokens.min(self.max_tokens(now));
    }

    fn try_acquire(&mut self, now: Micros) -> Result<(), OverLimit> {
        self.attempts += 1;
        match self.resource.kind {
            ResourceKind::Rate { .. } => {
                self.fill(now);
                if self.tokens >= REQUEST_TOKENS {
                    self.tokens -= REQUEST_TOKENS;
                    return Ok(());
                }
                Err(OverLimit {
                    retry_after_us: (REQUEST_TOKENS - self.tokens).checked_div(self.lease.usable_units(now)),
                })
            }
            ResourceKind::Slots { .. } => {
                if self.in_use >= self.lease.usable_units(now) {
                    return Err(OverLimit { retry_after_us: None });
                }
                self.in_use += 1;
                self.peak_in_use = self.peak_in_use.max(self.in_use);
                Ok(())
            }
        }
    }
}

impl Limiter {
    pub(crate) fn new(id: ResourceId, activations: ActivationQueue, state: LimiterState) -> Limiter {
        Limiter(Arc::new((id, activations, Mutex::new(state))))
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, LimiterState> {
        lock(&self.0 .2)
    }

    /// Admits a request or refuses it. A slot that was acquired is returned with [`Limiter::release_slot`].
    ///
    /// # Errors
    /// The request is over what this node may use.
    pub fn try_acquire(&self, now: Micros) -> Result<(), OverLimit> {
        let (id, activations, state) = &*self.0;
        let (result, new) = {
            let mut state = lock(state);
            (state.try_acquire(now), !std::mem::replace(&mut state.is_active, true))
        };
        if new {
            lock(activations).push(*id);
        }
        result
    }

    /// Returns the slot of a request that has ended.
    pub fn release_slot(&self) {
        let mut state = self.state();
        state.in_use = state.in_use.saturating_sub(1);
    }

    /// Units that this node may use now.
    pub fn usable_units(&self, now: Micros) -> u64 {
        self.state().lease.usable_units(now)
    }

    /// Units that this node may use now beyond the safe share.
    pub fn held(&self, now: Micros) -> u64 {
        self.state().lease.held(now)
    }

    /// Slots in use.
    pub fn in_use(&self) -> u64 {
        self.state().in_use
    }
}
