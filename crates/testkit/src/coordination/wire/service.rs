//! The service as tests control it: starting, changing the tree, injecting faults, reading counters.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::super::tree::{ErrorCode, Op, OpResult, Stat, Tree};
use super::connection::accept;
use super::state::{Faults, Shared, Traffic};
use super::CutPoint;

/// How often sessions are checked for expiry.
const SESSION_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The service on one or more loopback ports. It stops when it is dropped.
pub struct Coordination {
    /// The first address that it listens on.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Coordination {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Coordination {
    /// Starts the service with an empty tree.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let (faults, _) = watch::channel(Faults::default());
        let shared = Arc::new(Shared { state: Mutex::default(), start: Instant::now(), faults });
        let accept_task = accept(&shared, listener, addr);
        let expiry_shared = shared.clone();
        let expiry_task = tokio::spawn(async move {
            loop {
                tokio::time::sleep(SESSION_CHECK_INTERVAL).await;
                let now = expiry_shared.now();
                let expired = expiry_shared.with(|state| state.tree.expired_sessions(now));
                expiry_shared.close_sessions(&expired);
            }
        });
        Ok(Coordination { addr, shared, tasks: vec![accept_task, expiry_task] })
    }

    /// Listens on one more port, like another member of the ensemble with the same tree and the same
    /// sessions.
    ///
    /// # Errors
    /// If the listener cannot be bound.
    pub async fn add_listener(&mut self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let addr = listener.local_addr()?;
        self.tasks.push(accept(&self.shared, listener, addr));
        Ok(addr)
    }

    /// The names of the ephemeral nodes among a znode's children, each with the session that owns it.
    pub fn ephemeral_owners(&self, path: &str) -> Vec<(String, i64)> {
        self.shared.with(|state| {
            let names = state.tree.children(path).map(|(names, _)| names).unwrap_or_default();
            let with_owner = |name: String| {
                let (_, stat) = state.tree.get(&format!("{}/{name}", path.trim_end_matches('/'))).ok()?;
                (stat.ephemeral_owner != 0).then_some((name, stat.ephemeral_owner))
            };
            names.into_iter().filter_map(with_owner).collect()
        })
    }

    /// A znode's data and stat.
    pub fn node(&self, path: &str) -> Option<(Vec<u8>, Stat)> {
        self.shared.with(|state| state.tree.get(path).ok().map(|(data, stat)| (data.to_vec(), stat)))
    }

    /// Applies an operation on behalf of a session that the test opened, like a server or an operator does.
    ///
    /// # Errors
    /// As [`Tree::apply`].
    pub fn apply(&self, session: i64, op: &Op) -> Result<OpResult, ErrorCode> {
        let now = self.shared.now();
        self.shared.with(|state| {
            let (result, events) = state.tree.apply(now, session, op)?;
            state.send_events(events);
            Ok(result)
        })
    }

    /// Opens a session without a connection, which lasts until it is closed.
    pub fn open_session(&self) -> i64 {
        // A time of opening in the far future, so that the session never expires.
        self.shared.with(|state| state.tree.open_session(i64::MAX / 2, 0).0)
    }

    /// Closes a session, like its expiry does.
    pub fn close_session(&self, session: i64) {
        self.shared.close_sessions(&[session]);
    }

    /// Closes several sessions at the same moment.
    pub fn close_sessions(&self, sessions: &[i64]) {
        self.shared.close_sessions(sessions);
    }

    /// Closes every connection. The sessions live on, and clients may resume them.
    pub fn disconnect_all(&self) {
        self.shared.with(|state| state.attachments.clear());
    }

    /// The sessions that are connected.
    pub fn connected_sessions(&self) -> Vec<i64> {
        self.shared.with(|state| state.attachments.keys().copied().collect())
    }

    /// The address of the service that a session is connected to.
    pub fn session_address(&self, session: i64) -> Option<SocketAddr> {
        self.shared.with(|state| state.attachments.get(&session).map(|attachment| attachment.address))
    }

    /// Stops processing requests and sending, or resumes; connections stay open.
    pub fn set_silent(&self, silent: bool) {
        self.shared.faults.send_modify(|faults| faults.silent = silent);
    }

    /// Delays everything that is sent, including events, in its order.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.faults.send_modify(|faults| faults.delay = delay);
    }

    /// Refuses connections at an address and closes the existing ones, or accepts them again. A session may
    /// continue at another address.
    pub fn set_refused(&self, addr: SocketAddr, refuse: bool) {
        self.shared.with(|state| {
            if refuse {
                state.refused_addresses.insert(addr);
                state.attachments.retain(|_, attachment| attachment.address != addr);
            } else {
                state.refused_addresses.remove(&addr);
            }
        });
    }

    /// Serves reads and refuses writes, like a member without a quorum does for clients that accept a
    /// read-only mode; or serves writes again.
    pub fn set_read_only(&self, read_only: bool) {
        self.shared.with(|state| state.read_only = read_only);
    }

    /// Closes the connection on which the next request of this type ([`super::op`]) arrives.
    pub fn cut_next_request(&self, kind: i32, cut: CutPoint) {
        self.shared.with(|state| state.pending_cut = Some((kind, cut)));
    }

    /// Whether [`Coordination::cut_next_request`] has not met its request yet.
    pub fn is_cut_pending(&self) -> bool {
        self.shared.with(|state| state.pending_cut.is_some())
    }

    /// Loses the next event and closes the connection that it was for; the protocol allows the loss of an
    /// event in no other way.
    pub fn lose_next_event(&self) {
        self.shared.with(|state| state.lose_next_event = true);
    }

    /// Holds the replies to pings, or sends those that are held.
    pub fn hold_ping_replies(&self, hold: bool) {
        self.shared.with(|state| {
            let held = std::mem::replace(&mut state.held_ping_replies, hold.then(Vec::new));
            for (session, frame) in held.into_iter().flatten() {
                state.send(session, frame);
            }
        });
    }

    /// Restarts the service, with its data and sessions or with an empty tree.
    pub fn restart(&self, with_data: bool) {
        let now = self.shared.now();
        self.shared.with(|state| {
            state.attachments.clear();
            match with_data {
                true => state.tree.touch_all_sessions(now),
                false => state.tree = Tree::new(state.tree.incarnation() + 1),
            }
        });
    }

    /// Number of requests of a type ([`super::op`]) that were applied or refused so far.
    pub fn request_count(&self, kind: i32) -> u64 {
        self.shared.with(|state| state.requests.get(&kind).copied().unwrap_or(0))
    }

    /// Number of watch events sent so far.
    pub fn event_count(&self) -> u64 {
        self.shared.with(|state| state.events)
    }

    /// Totals over all connections so far.
    pub fn traffic(&self) -> Traffic {
        self.shared.with(|state| state.traffic)
    }

    /// A function that returns [`Coordination::traffic`], for observers that do not own the service.
    pub fn traffic_counter(&self) -> impl Fn() -> Traffic + Send + Sync + 'static {
        let shared = self.shared.clone();
        move || shared.with(|state| state.traffic)
    }

    /// Bytes sent to each session so far.
    pub fn bytes_by_session(&self) -> HashMap<i64, u64> {
        self.shared.with(|state| state.bytes_sent.clone())
    }

    /// Number of watches that are set.
    pub fn watch_count(&self) -> usize {
        self.shared.with(|state| state.tree.watch_count())
    }
}
