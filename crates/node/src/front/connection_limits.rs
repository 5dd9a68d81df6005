//! Limits on client connections: permits for new ones, eviction of dispensable ones, and timeouts.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout, Instant};
use woodgap_tenancy::Uid;

use super::connection::ClientConnection;
use super::manager::{ConnectionManager, ConnectionPermits};
use super::{Rejection, RequestPermit};
use crate::pool::PoolHandle;

/// Utilization of the connection budget above which a connection is closed after its first response. Many
/// clients that send one request and keep their connection would otherwise shut others out until they may be
/// evicted.
pub(super) const CLOSE_AFTER_FIRST_REQUEST_RATIO: f64 = 0.6;
/// Utilization of the connection budget above which a connection is closed after any response.
pub(super) const CLOSE_AFTER_ANY_REQUEST_RATIO: f64 = 0.9;
/// How often the connections are checked for exceeded timeouts.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a new connection waits for the end of one that is being evicted in its favour.
pub(super) const HANDOVER_TIMEOUT: Duration = Duration::from_millis(5);
/// How many times a request, or a QUIC connection, waits for such an end.
pub(super) const MAX_HANDOVER_WAITS: usize = 8;
/// A new connection that waits for as long as this for its permits is logged.
const LOGGED_WAIT: Duration = Duration::from_millis(20);

impl ConnectionManager {
    /// Acquires permits for a new connection, if necessary by evicting one without a complete request. If none
    /// can be evicted, the connection gets a permit to be refused, and the flag in the result is set. The
    /// wait for such a permit is short, as a refusal takes a second at most.
    pub(super) async fn acquire_connection_permits(&self) -> (ConnectionPermits, bool) {
        let start = Instant::now();
        let (permits, refuse) = loop {
            if let Some(connection_permit) = self.connection_budget.try_acquire() {
                if let Some(socket_permit) = self.sockets.acquire().await {
                    break ((connection_permit, Some(socket_permit)), false);
                }
            }
            if !self.evict_connection() {
                if let Some(permit) = self.refusal_budget.try_acquire() {
                    break ((permit, None), true);
                }
            }
            let _ = timeout(HANDOVER_TIMEOUT, self.connection_ended.notified()).await;
        };
        let waited = start.elapsed();
        if waited >= LOGGED_WAIT {
            self.log_scarcity(waited);
        }
        (permits, refuse)
    }

    /// Logs what the connections do for which a new one had to wait.
    fn log_scarcity(&self, waited: Duration) {
        let connections = self.connections.borrow();
        let open = connections.values().filter(|conn| conn.has_open_request()).count();
        let incomplete = connections.values().filter(|conn| conn.is_receiving()).count();
        tracing::info!(
            "client connections are scarce: a new one waited for {} ms, as {} are open, {open} with an open request \
            and {incomplete} in the middle of receiving one",
            waited.as_millis(),
            connections.len(),
        );
    }

    /// Reserves capacity for a body that is to be received.
    pub(super) async fn reserve_body(
        &self,
        pool: &Rc<PoolHandle>,
        max_bytes: u64,
    ) -> Result<RequestPermit, Rejection> {
        self.reserve_from_stalled(pool, || self.directory.reserve_body(pool, max_bytes)).await
    }

    /// Reserves capacity for sending a request that has been received.
    pub(super) async fn reserve_request(&self, pool: &Rc<PoolHandle>) -> Result<RequestPermit, Rejection> {
        self.reserve_from_stalled(pool, || self.directory.reserve_request(pool)).await
    }

    /// Reserves capacity. If there is none, requests of the same tenant are refused whose bodies have stopped to
    /// arrive, the longest stalled first, as they hold capacity that others need.
    async fn reserve_from_stalled(
        &self,
        pool: &Rc<PoolHandle>,
        reserve: impl Fn() -> Result<RequestPermit, Rejection>,
    ) -> Result<RequestPermit, Rejection> {
        let mut reserved = reserve();
        for _ in 0..MAX_HANDOVER_WAITS {
            if reserved.is_ok() || !self.refuse_stalled_body(pool.usage.uid) {
                break;
            }
            let _ = timeout(HANDOVER_TIMEOUT, self.connection_ended.notified()).await;
            reserved = reserve();
        }
        reserved
    }

    /// Has the request refused whose body has stalled for longest among those of a tenant. Returns whether there
    /// was one.
    fn refuse_stalled_body(&self, uid: Uid) -> bool {
        let connections = self.connections.borrow();
        let of_tenant = connections.values().filter(|conn| conn.tenant() == Some(uid));
        let stalled = of_tenant.filter_map(|conn| Some((conn.stalled_body()?, conn)));
        stalled.max_by_key(|(stall, _)| *stall).inspect(|(_, conn)| conn.request_close(true)).is_some()
    }

    /// Closes the connection with the highest eviction score, if one may be evicted: one that has been idle
    /// for long, or any idle one of a tenant with more connections than its share. Returns whether there was
    /// one.
    pub(super) fn evict_connection(&self) -> bool {
        self.evict_connection_where(|_| true)
    }

    /// Like [`ConnectionManager::evict_connection`], among the connections that match.
    pub(super) fn evict_connection_where(&self, matches: impl Fn(&ClientConnection) -> bool) -> bool {
        let connections = self.connections.borrow();
        let score = |conn: &ClientConnection| match (conn.tenant(), conn.idle_duration()) {
            (Some(uid), Some(idle)) if self.directory.exceeds_connection_share(uid) => {
                1.0 + idle.as_secs_f64()
            }
            _ => conn.eviction_score(),
        };
        let candidates = connections.values().filter(|conn| matches(conn));
        let most_dispensable = candidates.map(|conn| (score(conn), conn)).max_by(|a, b| a.0.total_cmp(&b.0));
        most_dispensable
            .filter(|(score, _)| *score >= 1.0)
            .inspect(|(_, conn)| conn.request_close(true))
            .is_some()
    }

    /// Closes connections that exceed a timeout, for as long as the node runs. Clients that send nothing, or
    /// send very slowly, would otherwise occupy all connections.
    pub(super) async fn close_overdue_connections(self: Rc<Self>) {
        loop {
            sleep(TIMEOUT_CHECK_INTERVAL).await;
            self.connections
                .borrow()
                .values()
                .filter(|conn| conn.is_overdue())
                .for_each(|conn| conn.request_close(true));
        }
    }
}
