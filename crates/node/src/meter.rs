//! Measures how much of the core's time each tenant's work takes, for the fair sharing of a hosted node.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use woodgap_tenancy::shares::CoreTime;
use woodgap_tenancy::Uid;

/// Interval at which the scheduling lag is measured.
const LAG_SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Use of the node's core by tenant. Only a hosted node records it.
pub struct CoreUsage {
    start: Instant,
    time: RefCell<CoreTime>,
}

impl CoreUsage {
    /// Creates an empty record of the core's use, starting now.
    pub fn new() -> Rc<Self> {
        Rc::new(CoreUsage { start: Instant::now(), time: RefCell::default() })
    }

    /// Microseconds since the node's start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// Whether new work of a tenant may be admitted.
    pub fn admit(&self, uid: Uid) -> bool {
        self.time.borrow().admit(self.now(), uid)
    }

    /// The share of the core that all tenants use together, and that one tenant uses: 0 to about 1.
    pub fn usage_of(&self, uid: Uid) -> (f64, f64) {
        let time = self.time.borrow();
        (time.utilization(self.now()), time.used_by(self.now(), uid))
    }

    /// Measures how long a ready task waits until it is run, by a timer that waits like any other task.
    /// Returns once the record is dropped.
    pub async fn sample_lag(core: Weak<CoreUsage>) {
        loop {
            let due = tokio::time::Instant::now() + LAG_SAMPLE_INTERVAL;
            tokio::time::sleep_until(due).await;
            let Some(core) = core.upgrade() else { return };
            // The runtime's timers count whole milliseconds, rounded up.
            let lag = due.elapsed().saturating_sub(Duration::from_millis(1));
            core.time.borrow_mut().record_lag(lag.as_micros() as u64);
        }
    }

    /// Removes the records of tenants that have used no time for long.
    pub fn forget_idle_tenants(&self) {
        self.time.borrow_mut().forget_idle_users(self.now());
    }
}

/// Charges the time of some work to a tenant.
pub struct TenantMeter {
    core: Rc<CoreUsage>,
    /// The tenant and its weight; for a client connection those of its latest request.
    tenant: Cell<(Uid, u32)>,
}

impl TenantMeter {
    /// Creates a meter that charges this tenant, of this weight.
    pub fn new(core: Rc<CoreUsage>, uid: Uid, weight: u32) -> Rc<Self> {
        Rc::new(TenantMeter { core, tenant: Cell::new((uid, weight)) })
    }

    /// Charges another tenant from now on.
    pub fn set_tenant(&self, uid: Uid, weight: u32) {
        self.tenant.set((uid, weight));
    }

    /// Charges the time since `since` to the tenant.
    fn charge(&self, since: Instant) {
        let (uid, weight) = self.tenant.get();
        let spent = since.elapsed().as_secs_f64() * 1e6;
        self.core.time.borrow_mut().charge(self.core.now(), uid, weight, spent);
    }
}

/// Runs a future and charges the time of its polls, if there is a meter.
pub async fn metered<F: Future>(meter: Option<Rc<TenantMeter>>, future: F) -> F::Output {
    let Some(meter) = meter else { return future.await };
    let mut future = std::pin::pin!(future);
    std::future::poll_fn(move |cx| {
        let since = Instant::now();
        let poll = future.as_mut().poll(cx);
        meter.charge(since);
        poll
    })
    .await
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn time_of_polls_is_charged_to_the_tenant_of_the_meter() {
        let core = CoreUsage::new();
        let meter = TenantMeter::new(core.clone(), Uid(1), 1);
        metered(Some(meter.clone()), async {
            let since = Instant::now();
            while since.elapsed().as_millis() < 5 {}
            tokio::task::yield_now().await;
        })
        .await;
        let (total, of_tenant) = core.usage_of(Uid(1));
        assert!(total > 0.0 && of_tenant > 0.0 && core.usage_of(Uid(2)).1 == 0.0);
    }
}
