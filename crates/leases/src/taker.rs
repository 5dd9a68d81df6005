//! What a request meets: a look at numbers in memory. One whole's at one node, shared by all who take.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::hand::Hand;
use crate::whole::{Kind, Micros, Whole, WholeId};

/// A request in the unit of a bucket: a unit of a rate (a thousandth of a request a second) for a microsecond is one.
const ONE: u64 = 1_000_000_000;

/// Why a request was not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("over the limit: come again in {again_us:?} microseconds")]
pub struct Over {
    /// When there would be room, as it stands: microseconds from now; `None` where it isn't known.
    pub again_us: Option<Micros>,
}

/// The wholes that were asked for and are not looked after by the holder yet. Bounded by their number.
pub(crate) type Bell = Arc<Mutex<Vec<WholeId>>>;

/// Lets requests in, or not. Cheap to clone; all clones are one.
#[derive(Clone, Debug)]
pub struct Taker(Arc<(WholeId, Bell, Mutex<Bucket>)>);

/// The numbers.
#[derive(Debug)]
pub(crate) struct Bucket {
    pub whole: Whole,
    pub hand: Hand,
    /// Members of the roster, each of which keeps one request of the burst.
    pub members: u64,
    pub drift_ppm: u64,
    pub listed: bool,
    /// Requests that came since the holder looked.
    pub tried: u64,
    /// Slots in use, at most, since it looked.
    pub peak: u64,
    pub in_use: u64,
    tokens: u64,
    filled: Micros,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Bucket {
    /// Empty, as of then.
    pub fn new(whole: Whole, members: u64, drift_ppm: u64, since: Micros) -> Bucket {
        let (hand, listed, tried, peak, in_use) = (Hand::default(), false, 0, 0, 0);
        Bucket { whole, hand, members, drift_ppm, listed, tried, peak, in_use, tokens: 0, filled: since }
    }

    /// Fills it up to now by what it acted on, by a clock that may be fast; then changes what that is.
    pub fn change(&mut self, now: Micros, how: impl FnOnce(&mut Bucket)) {
        self.fill(now);
        how(self);
        self.tokens = self.tokens.min(self.most(now));
    }

    /// One request for each member, and the rest of the burst by parts: so that all together never are over the burst, and
    /// none is too small for one request.
    fn most(&self, now: Micros) -> u64 {
        let rest = u128::from(self.whole.burst().saturating_sub(self.members)) * u128::from(ONE);
        let own = rest * u128::from(self.hand.acts_on(now)) / u128::from(self.whole.units().max(1));
        ONE.saturating_add(u64::try_from(own).unwrap_or(u64::MAX))
    }

    fn fill(&mut self, now: Micros) {
        if now <= self.filled || self.whole.is_slots() {
            return;
        }
        let [ends, kept, even] = self.hand.knees();
        let mut from = self.filled;
        for to in [ends, kept, even, Micros::MAX].map(|knee| knee.min(now)) {
            if to <= from {
                continue;
            }
            let slopes = from >= kept && to <= even;
            let first = self.hand.acts_on(from);
            let pace = if slopes { (first + self.hand.acts_on(to)) / 2 } else { first };
            let slow = u128::from(1_000_000 - self.drift_ppm.min(1_000_000));
            let more = u128::from(pace) * u128::from(to - from) * slow / 1_000_000;
            self.tokens = self.tokens.saturating_add(u64::try_from(more).unwrap_or(u64::MAX));
            from = to;
        }
        self.filled = now;
        self.tokens = self.tokens.min(self.most(now));
    }

    fn take(&mut self, now: Micros) -> Result<(), Over> {
        self.tried += 1;
        match self.whole.kind {
            Kind::Rate { .. } => {
                self.fill(now);
                if self.tokens >= ONE {
                    self.tokens -= ONE;
                    return Ok(());
                }
                Err(Over { again_us: (ONE - self.tokens).checked_div(self.hand.acts_on(now)) })
            }
            Kind::Slots { .. } => {
                if self.in_use >= self.hand.acts_on(now) {
                    return Err(Over { again_us: None });
                }
                self.in_use += 1;
                self.peak = self.peak.max(self.in_use);
                Ok(())
            }
        }
    }
}

impl Taker {
    pub(crate) fn new(id: WholeId, bell: Bell, bucket: Bucket) -> Taker {
        Taker(Arc::new((id, bell, Mutex::new(bucket))))
    }

    pub(crate) fn bucket(&self) -> MutexGuard<'_, Bucket> {
        lock(&self.0 .2)
    }

    /// Whether a request may go on. A slot that was taken is given back with [`Taker::give_back`].
    ///
    /// # Errors
    /// It is over what this node may act on.
    pub fn take(&self, now: Micros) -> Result<(), Over> {
        let (id, bell, bucket) = &*self.0;
        let (taken, new) = {
            let mut bucket = lock(bucket);
            (bucket.take(now), !std::mem::replace(&mut bucket.listed, true))
        };
        if new {
            lock(bell).push(*id);
        }
        taken
    }

    /// A request that took a slot has ended.
    pub fn give_back(&self) {
        let mut bucket = self.bucket();
        bucket.in_use = bucket.in_use.saturating_sub(1);
    }

    /// What this node may act on now, in units.
    pub fn acts_on(&self, now: Micros) -> u64 {
        self.bucket().hand.acts_on(now)
    }

    /// What of it is beyond the safe part.
    pub fn held(&self, now: Micros) -> u64 {
        self.bucket().hand.held(now)
    }

    /// Slots in use.
    pub fn in_use(&self) -> u64 {
        self.bucket().in_use
    }
}
