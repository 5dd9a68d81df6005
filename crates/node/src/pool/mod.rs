//! A pool of servers: one balancer with its settings, the driver task that feeds it, and the handle through
//! which client connections send requests to it.
//!
//! ```text
//!   front ──DriverMessage::Request──▶ Driver ──Event──▶ Balancer (decisions)
//!     ▲                                 │ ◀──Action──
//!     └──────────FinalResponse──────────┤
//!   sources ──WatchUpdate, MergedList──▶│
//!                                       └─▶ Servers: connections, attempts (upstream)
//! ```
//!
//! A pool lives as long as something can send to it: the [`PoolHandle`] that the front and the directory
//! hold, and the attempts in flight. When the last sender is dropped, the driver ends and drops its timers,
//! its balancer and its connections; no shutdown message is needed.

#[cfg(feature = "hosted")]
pub mod admission;
pub mod driver;

use std::cell::Cell;
#[cfg(feature = "hosted")]
use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::mpsc;
use woodgap_decisions::settings::ClassTenantNames;
use woodgap_decisions::BalancerSettings;
use woodgap_tenancy::Uid;

use driver::DriverMessage;

/// Open requests, connections and request counters of one tenant on this node, over all of its pools.
#[derive(Default)]
pub struct TenantUsage {
    /// The tenant's identifier.
    pub uid: Uid,
    /// Number of open requests: those whose head was read and whose response is not sent yet.
    pub held_requests: Cell<usize>,
    /// Number of the open requests whose body has been received, and that may be sent to a server.
    pub submitted_requests: Cell<usize>,
    /// Number of client connections whose latest request was for this tenant.
    pub connections: Cell<usize>,
    /// Number of requests that a server responded to.
    pub served: Cell<u64>,
    /// Number of requests that were refused.
    pub refused: Cell<u64>,
    /// Number of requests that failed.
    pub failed: Cell<u64>,
    /// Whether the tenant was deleted; new requests are then not accepted.
    pub is_deleted: Cell<bool>,
}

/// Handle of a pool: what client connections need to know of it, and the channel to its driver.
pub struct PoolHandle {
    /// Settings of the pool's balancer.
    pub settings: BalancerSettings,
    /// Names of the classes and tenants of the settings, by which requests refer to them.
    pub names: ClassTenantNames,
    /// Whether `X-Org` names one of the balancer's tenants. If not, the balancer ignores it.
    pub org_is_tenant: bool,
    /// Sends messages to the pool's driver.
    pub tx: mpsc::UnboundedSender<DriverMessage>,
    /// Usage counters of the tenant that owns the pool.
    pub usage: Rc<TenantUsage>,
    /// Weight of the tenant against other tenants.
    pub weight: Cell<u32>,
    /// Admission queue of the pool and the source of client keys, if admission is enabled. Both can change
    /// while the pool runs.
    #[cfg(feature = "hosted")]
    pub admission:
        RefCell<Option<(Rc<admission::PoolAdmission>, Rc<crate::front::client_key::ClientKeySources>)>>,
}

/// Increments a counter of [`TenantUsage`] and decrements it again when dropped.
pub struct CountGuard(Rc<TenantUsage>, fn(&TenantUsage) -> &Cell<usize>);

impl CountGuard {
    /// Increments the counter that `counter` selects.
    pub fn new(usage: Rc<TenantUsage>, counter: fn(&TenantUsage) -> &Cell<usize>) -> Self {
        counter(&usage).set(counter(&usage).get() + 1);
        CountGuard(usage, counter)
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let cell = self.1(&self.0);
        cell.set(cell.get() - 1);
    }
}

/// Increments an event counter.
pub fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}
