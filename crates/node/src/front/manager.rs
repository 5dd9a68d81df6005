//! State shared by all client connections, whichever protocol they speak.
//!
//! Accepting is in `accept`, connection limits and eviction in `connection_limits`, the handling of one request in
//! `request_handler`, refusals in `refusal`, the shutdown after SIGTERM in `shutdown`.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::Instant;
use woodgap_tenancy::Uid;

use super::connection::ClientConnection;
use super::deduplication::DeduplicationCache;
use super::linger::MAX_LINGERING_CONNECTIONS;
use super::PoolDirectory;
use crate::sockets::SocketBudget;
use crate::task::{LocalPermit, LocalSemaphore};

/// Maximum size of a request's head in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of header fields of a request.
pub(super) const MAX_HEADER_FIELDS: usize = 64;
/// Time in which a connection over the budget, which is only refused, and one that is accepted while the node
/// closes connections have to send their request.
pub(super) const REFUSED_CONNECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// `Retry-After` of a node that has no capacity left.
pub const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Accepts, limits and closes client connections, and handles their requests.
pub struct ConnectionManager {
    pub(super) directory: Rc<dyn PoolDirectory>,
    /// Whether refusals carry `Retry-After`.
    pub(super) send_retry_after: bool,
    pub(super) sockets: Rc<SocketBudget>,
    /// Limits the connections that are served.
    pub(super) connection_budget: Rc<LocalSemaphore>,
    /// Limits the connections over the first budget, which only receive a refusal.
    pub(super) refusal_budget: Rc<LocalSemaphore>,
    /// Limits the connections that the node has closed for writing and the client has not closed yet.
    pub(super) lingering_budget: Rc<LocalSemaphore>,
    /// Memory of HTTP/3 connections and streams.
    #[cfg(feature = "hosted")]
    pub(super) http3_memory: super::http3::Http3Memory,
    /// The clients' ids of requests that are open or were used lately.
    pub(super) deduplication: DeduplicationCache,
    pub(super) next_request_id: Cell<u64>,
    pub(super) next_connection_id: Cell<u64>,
    /// The open connections by their ids.
    pub(super) connections: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    /// Cloned by each HTTP/1.1 connection from the moment it is accepted until it has ended, so that the
    /// reference count shows whether there is any.
    pub(super) accepted_marker: Rc<()>,
    /// Set with SIGTERM: every response then closes its connection.
    pub(super) draining: Cell<bool>,
    /// Set once idle connections are closed as well.
    pub(super) closing: Cell<bool>,
    /// Set with SIGTERM: upper bound on the deadlines of all requests, as SIGKILL may follow.
    pub(super) shutdown_deadline: Cell<Option<Instant>>,
    /// Notified whenever a connection ends, or only waits for its client to close it.
    pub(super) connection_ended: Notify,
}

impl ConnectionManager {
    /// Creates a manager. The first of the `budgets` limits the connections that are served, the second one
    /// those that are only refused. `memory` is that of the node, in bytes.
    pub fn new(
        directory: Rc<dyn PoolDirectory>,
        send_retry_after: bool,
        sockets: Rc<SocketBudget>,
        budgets: (Rc<LocalSemaphore>, Rc<LocalSemaphore>),
        memory: usize,
    ) -> Rc<Self> {
        let manager = Rc::new(ConnectionManager {
            directory,
            send_retry_after,
            sockets,
            connection_budget: budgets.0,
            refusal_budget: budgets.1,
            lingering_budget: LocalSemaphore::new(MAX_LINGERING_CONNECTIONS),
            #[cfg(feature = "hosted")]
            http3_memory: super::http3::Http3Memory::new(memory),
            deduplication: DeduplicationCache::new(memory),
            next_request_id: Cell::new(1),
            next_connection_id: Cell::new(0),
            connections: RefCell::default(),
            accepted_marker: Rc::default(),
            draining: Cell::new(false),
            closing: Cell::new(false),
            shutdown_deadline: Cell::new(None),
            connection_ended: Notify::new(),
        });
        let weak_manager = Rc::downgrade(&manager);
        manager.sockets.set_lingering_closer(move || {
            weak_manager.upgrade().is_some_and(|manager| manager.evict_lingering())
        });
        spawn_local(manager.clone().close_overdue_connections());
        manager
    }

    /// Registers a connection, which may be evicted from now on, until the returned guard is dropped.
    pub(super) fn register_connection(
        self: &Rc<Self>,
        conn: Rc<ClientConnection>,
        permits: ConnectionPermits,
    ) -> RegisteredConnection {
        let id = self.next_connection_id.replace(self.next_connection_id.get() + 1);
        self.connections.borrow_mut().insert(id, conn.clone());
        RegisteredConnection { conn, manager: self.clone(), id, permits: Some(permits) }
    }

    /// Closes the connections of a deleted tenant: idle ones at once, others after their response.
    pub fn close_tenant_connections(&self, uid: Uid) {
        let connections = self.connections.borrow();
        connections
            .values()
            .filter(|conn| conn.tenant() == Some(uid))
            .for_each(|conn| conn.request_close(false));
    }
}

/// The permits of a connection: one of a budget of connections, and one for its socket if it uses a descriptor of
/// the node's socket budget, or for its memory over HTTP/3.
pub(super) type ConnectionPermits = (LocalPermit, Option<LocalPermit>);

/// A connection that its manager knows. To be dropped after its socket is closed, as others then use its permits.
pub(super) struct RegisteredConnection {
    /// The state of the connection.
    pub(super) conn: Rc<ClientConnection>,
    manager: Rc<ConnectionManager>,
    id: u64,
    permits: Option<ConnectionPermits>,
}

impl Drop for RegisteredConnection {
    fn drop(&mut self) {
        self.manager.connections.borrow_mut().remove(&self.id);
        drop(self.permits.take());
        self.manager.connection_ended.notify_waiters();
    }
}
