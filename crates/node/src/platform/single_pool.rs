//! The directory of the platform's node: one tenant with one pool.

use std::rc::Rc;
use std::time::Duration;

use hyper::http::request::Parts;
use tokio::sync::mpsc;
use woodgap_decisions::settings::ClassTenantNames;
use woodgap_decisions::BalancerSettings;

use super::limits::{body_memory, BODY_MEMORY_SHARE, RESPONSE_MEMORY};
use crate::front::refusal::OVERLOADED;
use crate::front::request::RequestError;
use crate::front::{PoolDirectory, Rejection, RequestPermit};
use crate::pool::driver::DriverMessage;
use crate::pool::{CountGuard, PoolHandle, TenantUsage};
use crate::task::LocalSemaphore;

/// The limits of open requests.
pub(super) struct RequestLimits {
    /// Maximum number of open requests.
    max_open: usize,
    /// Memory of open requests, in bytes.
    memory: Rc<LocalSemaphore>,
    /// The part of it that bodies may take.
    bodies: Rc<LocalSemaphore>,
}

impl RequestLimits {
    /// Creates the limits for a number of requests, and for the memory of all of them in bytes.
    pub(super) fn new(max_open: usize, memory: usize) -> Self {
        let bodies = LocalSemaphore::new((memory as f64 * BODY_MEMORY_SHARE) as usize);
        RequestLimits { max_open, memory: LocalSemaphore::new(memory), bodies }
    }
}

/// The directory of the platform's node, with its only pool.
pub(super) struct SinglePool {
    pool: Rc<PoolHandle>,
    limits: RequestLimits,
}

impl SinglePool {
    /// Creates the directory of a pool that `tx` leads to.
    pub(super) fn new(
        settings: BalancerSettings,
        names: ClassTenantNames,
        limits: RequestLimits,
        tx: mpsc::UnboundedSender<DriverMessage>,
    ) -> Rc<Self> {
        let usage = Rc::new(TenantUsage::default());
        let pool = PoolHandle {
            settings,
            names,
            org_is_tenant: true,
            tx,
            usage,
            weight: 1.into(),
            #[cfg(feature = "hosted")]
            admission: Default::default(),
        };
        Rc::new(SinglePool { pool: Rc::new(pool), limits })
    }
}

impl PoolDirectory for SinglePool {
    fn find_pool(&self, _: &str, _: &Parts) -> Result<Rc<PoolHandle>, RequestError> {
        Ok(self.pool.clone())
    }

    fn reserve_body(&self, pool: &Rc<PoolHandle>, max_bytes: u64) -> Result<RequestPermit, Rejection> {
        let memory = body_memory(max_bytes);
        let bodies = self.limits.bodies.try_acquire_many(memory).ok_or(OVERLOADED)?;
        let memory = self.limits.memory.try_acquire_many(memory).ok_or(OVERLOADED)?;
        let count = CountGuard::new(pool.usage.clone(), |usage| &usage.held_requests);
        Ok(Box::new((bodies, memory, count)))
    }

    fn reserve_request(&self, pool: &Rc<PoolHandle>) -> Result<RequestPermit, Rejection> {
        if pool.usage.submitted_requests.get() >= self.limits.max_open {
            return Err(OVERLOADED);
        }
        let memory = self.limits.memory.try_acquire_many(RESPONSE_MEMORY).ok_or(OVERLOADED)?;
        let count = CountGuard::new(pool.usage.clone(), |usage| &usage.submitted_requests);
        Ok(Box::new((memory, count)))
    }

    fn max_request_duration(&self) -> Duration {
        let classes = &self.pool.settings.classes;
        Duration::from_micros(classes.iter().map(|class| class.deadline).max().unwrap_or(0))
    }
}
