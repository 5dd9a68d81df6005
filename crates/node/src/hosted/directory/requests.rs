//! Admits requests and connections: routing, quotas and the tenants' shares of the node.

use super::*;
use crate::front::MAX_SHORT_BODY_BYTES;

/// Memory of a request whose body is arriving, beside the body: a head of 16 KiB in 64 fields, its stream and its task.
const INCOMPLETE_REQUEST_BYTES: u64 = 32 * 1024;

/// Units of a share; dropping the guard releases them.
struct ShareGuard {
    shares: Rc<RefCell<Shares>>,
    core: Rc<CoreUsage>,
    uid: Uid,
    units: u64,
}

impl Drop for ShareGuard {
    fn drop(&mut self) {
        self.shares.borrow_mut().release(self.core.now(), self.uid, self.units);
    }
}

impl Tenants {
    /// Acquires units of a share for a pool's tenant; `None` if none are available.
    fn acquire_share(
        &self,
        shares: &Rc<RefCell<Shares>>,
        pool: &PoolHandle,
        units: u64,
    ) -> Option<ShareGuard> {
        let (uid, core) = (pool.usage.uid, self.core.clone());
        let acquired = shares.borrow_mut().try_acquire(core.now(), uid, pool.weight.get(), units);
        acquired.then(|| ShareGuard { shares: shares.clone(), core, uid, units })
    }
}

/// Builds a rejection with a bounded Retry-After.
fn rejection(status: StatusCode, why: &'static str, wait: Duration) -> Rejection {
    Rejection { status, reason: why, retry_after: wait.min(MAX_RETRY_AFTER) }
}

/// Builds the rejection of a request for which the node, or the tenant's share of it, has no capacity.
fn overloaded(why: &'static str) -> Rejection {
    rejection(StatusCode::SERVICE_UNAVAILABLE, why, OVERLOAD_RETRY_AFTER)
}

impl PoolDirectory for Tenants {
    fn find_pool(&self, listener: &str, head: &Parts) -> Result<Rc<PoolHandle>, RequestError> {
        let text =
            |name: header::HeaderName| head.headers.get(name).and_then(|v| HeaderValue::to_str(v).ok());
        let authority = head.uri.authority().map(|a| a.as_str()).or_else(|| text(header::HOST));
        let org = text(header::HeaderName::from_static("x-org"));
        let uid = match find_tenant(&self.routes.borrow(), listener, authority, org) {
            Ok(uid) => uid,
            Err(RouteError::Unknown) => return Err(NO_TENANT),
            Err(RouteError::Ambiguous) => {
                return Err((StatusCode::BAD_REQUEST, "Host or listener and X-Org name two tenants\n"))
            }
        };
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(&uid).ok_or(NO_TENANT)?;
        entry.last_used.set(Instant::now());
        match &entry.active_pool {
            Some(pool) => Ok(pool.clone()),
            None => Ok(self.start_pool(entry)),
        }
    }

    fn admit_request(&self, pool: &Rc<PoolHandle>) -> Result<(), Rejection> {
        let uid = pool.usage.uid;
        let entries = self.entries.borrow();
        if let Some(quota) = entries
            .get(&uid)
            .and_then(|e| e.quota.borrow_mut().as_mut().map(|q| q.try_acquire(self.core.now())))
        {
            let over_quota = |wait| {
                rejection(StatusCode::TOO_MANY_REQUESTS, "beyond the quota\n", Duration::from_micros(wait))
            };
            quota.map_err(over_quota)?;
        }
        if !self.core.admit(uid) {
            return Err(rejection(
                StatusCode::SERVICE_UNAVAILABLE,
                "the node is busy\n",
                OVERLOAD_RETRY_AFTER,
            ));
        }
        Ok(())
    }

    fn quota_headers(&self, pool: &Rc<PoolHandle>) -> Option<(HeaderValue, HeaderValue)> {
        let entries = self.entries.borrow();
        let remaining = entries.get(&pool.usage.uid)?.quota.borrow().as_ref()?.remaining(self.core.now());
        let policy = format!("\"quota\";q={};w={}", remaining.quota, remaining.window_s);
        let quota_state = format!("\"quota\";r={};t={}", remaining.requests, remaining.reset_s);
        Some((HeaderValue::try_from(policy).ok()?, HeaderValue::try_from(quota_state).ok()?))
    }

    fn reserve_body(&self, pool: &Rc<PoolHandle>, max_bytes: u64) -> Result<RequestPermit, Rejection> {
        let no_capacity = || overloaded("no room for the body\n");
        let bytes = max_bytes + INCOMPLETE_REQUEST_BYTES;
        let long_bytes = if max_bytes > MAX_SHORT_BODY_BYTES { bytes } else { 0 };
        let long_body =
            self.acquire_share(&self.long_body_shares, pool, long_bytes).ok_or_else(no_capacity)?;
        let body = self.acquire_share(&self.body_shares, pool, bytes).ok_or_else(no_capacity)?;
        let count = CountGuard::new(pool.usage.clone(), |usage| &usage.held_requests);
        Ok(Box::new((long_body, body, count)) as Box<dyn Any>)
    }

    fn reserve_request(&self, pool: &Rc<PoolHandle>) -> Result<RequestPermit, Rejection> {
        let max_held = self.entries.borrow().get(&pool.usage.uid).map_or(0, |e| e.view.spec.share.max_held);
        if max_held > 0 && pool.usage.submitted_requests.get() >= max_held as usize {
            return Err(overloaded("the tenant holds as many requests as it may\n"));
        }
        let request = self
            .acquire_share(&self.request_shares, pool, 1)
            .ok_or_else(|| overloaded("no room for more requests\n"))?;
        let count = CountGuard::new(pool.usage.clone(), |usage| &usage.submitted_requests);
        Ok(Box::new((request, count)) as Box<dyn Any>)
    }

    fn reserve_connection(&self, pool: &Rc<PoolHandle>) -> Option<RequestPermit> {
        let guard = self.acquire_share(&self.connection_shares, pool, 1);
        let count = CountGuard::new(pool.usage.clone(), |usage| &usage.connections);
        guard.map(|guard| Box::new((guard, count)) as Box<dyn Any>)
    }

    fn exceeds_connection_share(&self, uid: Uid) -> bool {
        self.connection_shares.borrow().is_over_share(uid)
    }

    fn max_request_duration(&self) -> Duration {
        let entries = self.entries.borrow();
        let max_ms = entries.values().map(|entry| entry.view.spec.max_deadline_ms()).max();
        Duration::from_millis(max_ms.unwrap_or(0))
    }

    fn core(&self) -> Option<&Rc<CoreUsage>> {
        Some(&self.core)
    }
}
