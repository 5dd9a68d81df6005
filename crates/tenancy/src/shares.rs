//! Divides a node's resources among tenants: sockets, held requests, body bytes and time on the core.
//!
//! [`Shares`] is max-min fair with a reserve. A tenant that holds units, or did within [`IDLE_RETENTION`], is
//! active. Its share is the resource, less the reserve, by its weight among the active tenants. Within its
//! share a tenant always finds units; beyond it, only units outside the reserve. The reserve is kept for
//! tenants that come back from being idle, so that a quiet tenant never waits for an aggressive one to
//! release something. Units that a tenant holds beyond its share are released as its requests end, within the
//! longest deadline; it gets no more until then.
//!
//! The time to decide does not grow with the number of idle tenants.

use std::collections::{BTreeMap, BTreeSet};

use crate::quota::Micros;
use crate::Uid;

/// Stands for work whose tenant is not known yet: a connection's before its first request. No tenant has this
/// uid.
pub const UNATTRIBUTED: Uid = Uid(0);
/// How long a tenant that holds nothing keeps its share, in microseconds.
pub const IDLE_RETENTION: Micros = 2_000_000;
/// Fraction of a resource that is reserved for tenants within their share.
pub const RESERVED_FRACTION: f64 = 0.1;

#[derive(Clone, Debug, Default)]
struct ActiveTenant {
    weight: u32,
    held: u64,
    last_seen: Micros,
}

/// A resource whose units are acquired and released.
#[derive(Clone, Debug)]
pub struct Shares {
    total: u64,
    reserve: u64,
    held: u64,
    weights: u64,
    active: BTreeMap<Uid, ActiveTenant>,
    /// Tenants that hold nothing, by the time they were last seen: one entry each, so no more than in
    /// `active`.
    idle: BTreeSet<(Micros, Uid)>,
}

impl Shares {
    /// A resource of `total` units, of which a tenth is the reserve.
    pub fn new(total: u64) -> Self {
        let reserve = ((total as f64 * RESERVED_FRACTION) as u64).min(total.saturating_sub(1));
        Shares { total, reserve, held: 0, weights: 0, active: BTreeMap::new(), idle: BTreeSet::new() }
    }

    /// The units that a tenant of this weight may count on now; at least one.
    pub fn fair_share(&self, uid: Uid, weight: u32) -> u64 {
        let present_weight = self.active.get(&uid).map_or(0, |tenant| u64::from(tenant.weight));
        let weights = self.weights - present_weight + u64::from(weight.max(1));
        ((self.total - self.reserve) * u64::from(weight.max(1)) / weights).max(1)
    }

    /// Units that a tenant holds.
    pub fn held_by(&self, uid: Uid) -> u64 {
        self.active.get(&uid).map_or(0, |tenant| tenant.held)
    }

    /// Units that all tenants hold.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Number of active tenants.
    pub fn active_tenants(&self) -> usize {
        self.active.len()
    }

    /// Whether a tenant holds more than its share.
    pub fn is_over_share(&self, uid: Uid) -> bool {
        self.active.get(&uid).is_some_and(|tenant| tenant.held > self.fair_share(uid, tenant.weight))
    }

    /// Acquires units for a tenant; `false` where it may not have them.
    pub fn try_acquire(&mut self, now: Micros, uid: Uid, weight: u32, units: u64) -> bool {
        self.mark_active(now, uid, weight);
        let share = self.fair_share(uid, weight);
        let free = self.total.saturating_sub(self.held);
        let holds = self.held_by(uid);
        let is_within_share = holds + units <= share && units <= free;
        let is_unreserved = units <= free.saturating_sub(self.reserve);
        if !(is_within_share || is_unreserved) {
            return false;
        }
        self.held += units;
        if let Some(tenant) = self.active.get_mut(&uid) {
            if units > 0 {
                self.idle.remove(&(tenant.last_seen, uid));
            }
            tenant.held += units;
        }
        true
    }

    /// Releases a tenant's units.
    pub fn release(&mut self, now: Micros, uid: Uid, units: u64) {
        let Some(tenant) = self.active.get_mut(&uid) else { return };
        let units = units.min(tenant.held);
        self.idle.remove(&(tenant.last_seen, uid));
        tenant.held -= units;
        tenant.last_seen = now;
        self.held -= units;
        if tenant.held == 0 {
            self.idle.insert((now, uid));
        }
        self.forget_idle(now);
    }

    /// Marks a tenant as active, with its present weight.
    fn mark_active(&mut self, now: Micros, uid: Uid, weight: u32) {
        let weight = weight.max(1);
        let tenant = self.active.entry(uid).or_default();
        self.weights = self.weights - u64::from(tenant.weight) + u64::from(weight);
        self.idle.remove(&(tenant.last_seen, uid));
        (tenant.weight, tenant.last_seen) = (weight, now);
        if tenant.held == 0 {
            self.idle.insert((now, uid));
        }
        self.forget_idle(now);
    }

    /// Removes tenants that have held nothing for [`IDLE_RETENTION`].
    fn forget_idle(&mut self, now: Micros) {
        while let Some(&(last_seen, uid)) = self.idle.first() {
            if now.saturating_sub(last_seen) < IDLE_RETENTION {
                break;
            }
            self.idle.pop_first();
            if let Some(tenant) = self.active.remove(&uid) {
                self.weights -= u64::from(tenant.weight);
            }
        }
    }
}

/// Time on the core, which is not released but decays.
///
/// Each tenant's use is a decaying sum. A busy core alone limits nobody: while tasks that are ready run soon,
/// all of the core may be used. When they wait longer than [`CoreTime::LAG_THRESHOLD`] (the criterion of
/// CoDel, RFC 8289, section 3: the time in the queue, not its length), new work of a tenant that uses more
/// than its share is refused. Refusals cost little, so the wait shrinks.
#[derive(Clone, Debug, Default)]
pub struct CoreTime {
    total_use: f64,
    updated_at: Micros,
    /// Weights of all users, including decayed ones until the next [`CoreTime::forget_idle_users`].
    weights: u64,
    /// How long tasks that are ready wait to run, smoothed, in microseconds.
    lag: f64,
    users: BTreeMap<Uid, CoreUser>,
}

#[derive(Clone, Debug)]
struct CoreUser {
    used: f64,
    at: Micros,
    weight: u32,
}

impl CoreTime {
    /// Time constant of the decay: use counts by 1/e after this many microseconds.
    pub const DECAY_TIME: Micros = 200_000;
    /// Above this wait of ready tasks, in microseconds, the core's time is divided by share.
    pub const LAG_THRESHOLD: Micros = 4_000;
    /// Below this fraction of the core in use by tenants, a wait has another cause than the tenants.
    pub const BUSY_THRESHOLD: f64 = 0.5;
    /// A tenant that uses less than this fraction of the core is not a cause of the wait.
    pub const NEGLIGIBLE_USE: f64 = 0.05;
    /// A tenant may use this multiple of its share, since measured use fluctuates.
    pub const SHARE_TOLERANCE: f64 = 1.15;
    /// Weight of a new lag sample in the smoothed lag: a single late task is no sign of overload.
    const LAG_SMOOTHING: f64 = 0.2;
    /// Users whose decayed sum is below this many microseconds are forgotten.
    const MIN_USE_US: f64 = 20.0;

    fn decayed(sum: f64, since: Micros, now: Micros) -> f64 {
        sum * (-(now.saturating_sub(since) as f64) / Self::DECAY_TIME as f64).exp()
    }

    /// Charges microseconds that a tenant's work took.
    pub fn charge(&mut self, now: Micros, uid: Uid, weight: u32, spent: f64) {
        self.total_use = Self::decayed(self.total_use, self.updated_at, now) + spent;
        self.updated_at = now;
        // Work without a tenant takes no share.
        let weight = if uid == UNATTRIBUTED { 0 } else { weight.max(1) };
        let user = self.users.entry(uid).or_insert(CoreUser { used: 0.0, at: now, weight: 0 });
        self.weights = self.weights - u64::from(user.weight) + u64::from(weight);
        user.used = Self::decayed(user.used, user.at, now) + spent;
        (user.at, user.weight) = (now, weight);
    }

    /// Fraction of the core in use, 0 to about 1.
    pub fn utilization(&self, now: Micros) -> f64 {
        Self::decayed(self.total_use, self.updated_at, now) / Self::DECAY_TIME as f64
    }

    /// Fraction of the core that a tenant uses, 0 to about 1.
    pub fn used_by(&self, now: Micros, uid: Uid) -> f64 {
        let used = self.users.get(&uid).map_or(0.0, |user| Self::decayed(user.used, user.at, now));
        used / Self::DECAY_TIME as f64
    }

    /// Adds a sample of how long ready tasks wait to run, in microseconds.
    pub fn record_lag(&mut self, lag: Micros) {
        self.lag += Self::LAG_SMOOTHING * (lag as f64 - self.lag);
    }

    /// How long ready tasks wait to run, smoothed, in microseconds.
    pub fn lag(&self) -> f64 {
        self.lag
    }

    /// Whether a tenant's new work may run.
    pub fn admit(&self, now: Micros, uid: Uid) -> bool {
        let utilization = self.utilization(now);
        if self.lag <= Self::LAG_THRESHOLD as f64 || utilization <= Self::BUSY_THRESHOLD {
            return true;
        }
        let Some(user) = self.users.get(&uid) else { return true };
        let share = f64::from(user.weight) / (self.weights as f64).max(1.0);
        self.used_by(now, uid) <= (share * Self::SHARE_TOLERANCE * utilization).max(Self::NEGLIGIBLE_USE)
    }

    /// Forgets users whose use has decayed; has to be called from time to time.
    pub fn forget_idle_users(&mut self, now: Micros) {
        self.users.retain(|_, user| Self::decayed(user.used, user.at, now) >= Self::MIN_USE_US);
        self.weights = self.users.values().map(|user| u64::from(user.weight)).sum();
    }

    /// Number of tenants with recorded use.
    pub fn user_count(&self) -> usize {
        self.users.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const A: Uid = Uid(1);
    const B: Uid = Uid(2);

    // A single tenant that keeps the core busy competes with nobody, also where its connections used time
    // before their first request.
    #[test]
    fn unattributed_work_takes_no_share_of_the_core() {
        let mut time = CoreTime::default();
        for n in 0..400u64 {
            time.charge(n * 1_000, A, 1, 900.0);
            time.charge(n * 1_000, UNATTRIBUTED, 1, 50.0);
            time.record_lag(20_000);
        }
        let now = 400_000;
        assert!(
            time.lag() > CoreTime::LAG_THRESHOLD as f64 && time.utilization(now) > CoreTime::BUSY_THRESHOLD
        );
        assert!(time.admit(now, A));
        // Against another tenant it is over its share.
        time.charge(now, B, 1, 5_000.0);
        assert!(!time.admit(now, A) && time.admit(now, B));
    }

    fn fill(shares: &mut Shares, now: Micros, uid: Uid) -> u64 {
        (0..10_000).take_while(|_| shares.try_acquire(now, uid, 1, 1)).count() as u64
    }

    #[test]
    fn quiet_tenant_gets_its_share_while_another_requests_more() {
        let mut shares = Shares::new(100);
        // A single tenant may use all but the reserve.
        assert_eq!(fill(&mut shares, 0, A), 90);
        // The other tenant gets the reserve at once.
        assert_eq!(fill(&mut shares, 1, B), 10);
        // Units that the first tenant releases go to the other one until it has its share, whichever requests
        // them first.
        for _ in 0..35 {
            shares.release(2, A, 1);
            assert!(!shares.try_acquire(2, A, 1, 1));
            assert!(shares.try_acquire(2, B, 1, 1));
        }
        // Beyond its share neither tenant gets units of the reserve.
        assert!(!shares.try_acquire(3, A, 1, 1) && !shares.try_acquire(3, B, 1, 1));
        assert_eq!((shares.held_by(A), shares.held_by(B)), (55, 45));
        assert!(shares.is_over_share(A) && !shares.is_over_share(B));
    }

    #[test]
    fn idle_share_goes_to_others_after_the_retention_time() {
        let mut shares = Shares::new(100);
        assert_eq!(fill(&mut shares, 0, B), 90);
        for _ in 0..90 {
            shares.release(10, B, 1);
        }
        // The idle tenant's share is kept for a while and then goes to the other tenant; the reserve stays.
        assert_eq!(shares.fair_share(A, 1), 45);
        assert!(shares.try_acquire(10 + IDLE_RETENTION, A, 1, 1));
        assert_eq!(shares.active_tenants(), 1);
        assert_eq!(fill(&mut shares, 10 + IDLE_RETENTION, A), 89);
    }

    #[test]
    fn shares_are_proportional_to_weight() {
        let mut shares = Shares::new(100);
        assert!(shares.try_acquire(0, A, 1, 1) && shares.try_acquire(0, B, 2, 1));
        assert_eq!((shares.fair_share(A, 1), shares.fair_share(B, 2)), (30, 60));
        // A changed weight counts from the next request on.
        assert!(shares.try_acquire(0, A, 4, 1));
        assert_eq!((shares.fair_share(A, 4), shares.fair_share(B, 2)), (60, 30));
    }

    #[test]
    fn last_unit_is_granted_only_once() {
        let mut shares = Shares::new(10);
        let mut acquired = 0;
        for uid in 0..1_000 {
            acquired += u64::from(shares.try_acquire(0, Uid(uid), 1, 1));
        }
        assert_eq!((acquired, shares.held()), (10, 10));
        assert!(!shares.try_acquire(0, Uid(5_000), 1, 1));
    }

    #[test]
    fn memory_grows_with_active_tenants_only() {
        let mut shares = Shares::new(10);
        for n in 0..100_000 {
            let now = n * 1_000;
            assert!(shares.try_acquire(now, Uid(n), 1, 1));
            shares.release(now, Uid(n), 1);
        }
        assert!(shares.active_tenants() <= 2_001, "{}", shares.active_tenants());
        assert_eq!(
            (shares.idle.len(), shares.weights),
            (shares.active_tenants(), shares.active_tenants() as u64)
        );
    }

    // Where many tenants are refused in turn, each of them has one entry, however often it requests units.
    #[test]
    fn repeatedly_refused_tenant_has_one_entry() {
        let mut shares = Shares::new(1);
        assert!(shares.try_acquire(0, Uid(999), 1, 1));
        for n in 0..100_000 {
            assert!(!shares.try_acquire(n, Uid(n % 50), 1, 1));
        }
        assert_eq!((shares.active_tenants(), shares.idle.len()), (51, 50));
        shares.release(100_000, Uid(999), 1);
        assert!(shares.try_acquire(100_000 + 2 * IDLE_RETENTION, A, 1, 1));
        assert_eq!((shares.active_tenants(), shares.idle.len(), shares.weights), (1, 0, 1));
    }

    #[test]
    fn core_time_is_limited_by_share_only_while_the_core_is_overloaded() {
        let mut core = CoreTime::default();
        let mut now = 0;
        let mut run = |core: &mut CoreTime, a: f64, b: f64| {
            for _ in 0..1_000 {
                now += 1_000;
                core.charge(now, A, 1, a * 1_000.0);
                core.charge(now, B, 1, b * 1_000.0);
            }
            now
        };
        let now = run(&mut core, 0.9, 0.05);
        assert!((core.utilization(now) - 0.95).abs() < 0.02, "{}", core.utilization(now));
        assert!(core.admit(now, A) && core.admit(now, B));
        // One late task is no sign of overload; a wait that lasts is.
        core.record_lag(10_000);
        assert!(core.admit(now, A));
        (0..10).for_each(|_| core.record_lag(10_000));
        assert!(!core.admit(now, A) && core.admit(now, B) && core.admit(now, Uid(3)));
        // Where all tenants use their share, none is over it.
        let now = run(&mut core, 0.5, 0.5);
        assert!(core.admit(now, A) && core.admit(now, B));
        // Where all tenants use little, the wait has another cause.
        let now = run(&mut core, 0.4, 0.02);
        assert!(core.admit(now, A) && core.admit(now, B));
        let now = run(&mut core, 0.9, 0.05);
        assert!(!core.admit(now, A));
        (0..10).for_each(|_| core.record_lag(100));
        assert!(core.admit(now, A));
        core.forget_idle_users(now + 60 * CoreTime::DECAY_TIME);
        assert_eq!(core.user_count(), 0);
    }
}
