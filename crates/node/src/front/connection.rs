//! The state of a client connection: its phase, its timeouts, and whether it is to be closed. Which connections
//! give way to others is in `eviction`.

mod eviction;
mod receiving;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use woodgap_tenancy::Uid;

pub use super::client_identity::ClientIdentity;
use super::content_length::ContentLengthTracker;
pub use super::phase::ConnectionPhase;
use crate::front::RequestPermit;
pub use eviction::ImmediateClose;

/// Maximum time from the connect, or from the first byte of a later request, to the last byte of the request,
/// as clients that send nothing, or send slowly, occupy connections that others need.
pub const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum idle time between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// A response is abandoned if its client reads nothing of it for this long.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// The state of a connection, shared by its socket, its request service and the connection manager.
pub struct ClientConnection {
    phase: Cell<ConnectionPhase>,
    /// Time at which the phase began, or at which progress was last made in it.
    phase_since: Cell<Instant>,
    /// Whether the connection is to be closed at once, unless a request has arrived meanwhile.
    close_now: Cell<bool>,
    /// Whether the connection is to be closed after the response to an open request, or at once without one.
    close_after_response: Cell<bool>,
    /// Requests received on the connection.
    request_count: Cell<u32>,
    /// Time at which bytes last arrived from the client; `None` before the first ones.
    last_receive: Cell<Option<Instant>>,
    /// Requests that have no response yet. Over HTTP/1.1 there is at most one.
    open_requests: Cell<usize>,
    /// Those of the open requests that have not been received completely.
    incomplete_requests: Cell<usize>,
    /// Notified to have an incomplete request refused.
    refusal_requested: Notify,
    /// Notified when one of the two flags above is set.
    pub close_requested: Notify,
    /// Time for the first request, from the connect or from the end of the handshake.
    first_request_timeout: Duration,
    /// Time at which the first request has to be complete.
    first_request_deadline: Cell<Instant>,
    /// The tenant of the latest request, and the permit for one of that tenant's connections.
    pub tenant_permit: RefCell<Option<(Uid, RequestPermit)>>,
    /// The permit of the latest request with a response, held until the system has the whole response.
    response_permit: RefCell<Option<RequestPermit>>,
    /// Whether it is a QUIC connection.
    is_quic: Cell<bool>,
    /// Tracks the `Content-Length` fields received on the connection.
    pub content_lengths: ContentLengthTracker,
    /// The client at the other end.
    pub identity: Cell<ClientIdentity>,
}

impl ClientConnection {
    /// Creates the state of a new connection, whose first request has to be complete within the given time.
    pub fn new(first_request_timeout: Duration, identity: ClientIdentity) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(ClientConnection {
            phase: Cell::new(ConnectionPhase::New),
            phase_since: Cell::new(now),
            close_now: Cell::new(false),
            close_after_response: Cell::new(false),
            request_count: Cell::new(0),
            last_receive: Cell::new(None),
            open_requests: Cell::new(0),
            incomplete_requests: Cell::new(0),
            refusal_requested: Notify::new(),
            close_requested: Notify::new(),
            first_request_timeout,
            first_request_deadline: Cell::new(now + first_request_timeout),
            tenant_permit: RefCell::default(),
            response_permit: RefCell::default(),
            is_quic: Cell::new(false),
            content_lengths: ContentLengthTracker::default(),
            identity: Cell::new(identity),
        })
    }

    /// Records that it is a QUIC connection, which holds memory for HTTP/3.
    #[cfg(feature = "hosted")]
    pub fn set_quic(&self) {
        self.is_quic.set(true);
    }

    /// Whether it is a QUIC connection.
    pub fn is_quic(&self) -> bool {
        self.is_quic.get()
    }

    /// Records that a TLS or QUIC handshake begins, which precedes the first request.
    #[cfg(feature = "hosted")]
    pub fn start_handshake(&self) {
        self.enter_phase(ConnectionPhase::Handshake);
    }

    /// Records that the handshake is complete, and whom it has identified. The time for the first request begins.
    #[cfg(feature = "hosted")]
    pub fn finish_handshake(&self, identity: ClientIdentity) {
        self.enter_phase(ConnectionPhase::New);
        self.first_request_deadline.set(Instant::now() + self.first_request_timeout);
        self.identity.set(identity);
    }

    /// Enters a phase, or restarts the time of the present one.
    pub fn enter_phase(&self, phase: ConnectionPhase) {
        self.phase.set(phase);
        self.phase_since.set(Instant::now());
        if !matches!(phase, ConnectionPhase::RequestOpen | ConnectionPhase::WritingResponse) {
            self.response_permit.take();
        }
    }

    /// Holds the permit of a request until its response is written.
    pub fn hold_until_written(&self, permit: RequestPermit) {
        self.response_permit.replace(Some(permit));
    }

    /// Records that a request's head is complete. Returns the deadline for its body.
    pub fn start_request(&self) -> Instant {
        let body_deadline = match self.phase.get() {
            ConnectionPhase::New => self.first_request_deadline.get(),
            ConnectionPhase::ReadingHead => self.phase_since.get() + REQUEST_READ_TIMEOUT,
            _ => Instant::now() + REQUEST_READ_TIMEOUT,
        };
        self.enter_phase(ConnectionPhase::RequestOpen);
        self.request_count.set(self.request_count.get().saturating_add(1));
        self.open_requests.set(self.open_requests.get() + 1);
        body_deadline
    }

    /// Records that a request has its response. Returns how many are still open.
    pub fn end_request(&self) -> usize {
        let remaining = self.open_requests.get().saturating_sub(1);
        self.open_requests.set(remaining);
        remaining
    }

    /// Number of requests that have no response yet.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Whether a request is being handled.
    pub fn has_open_request(&self) -> bool {
        self.phase.get() == ConnectionPhase::RequestOpen
    }

    /// Whether the open request is the first one on the connection.
    pub fn is_first_request(&self) -> bool {
        self.request_count.get() == 1
    }

    /// Whether the connection has exceeded the timeout of its phase.
    pub fn is_overdue(&self) -> bool {
        match self.phase.get() {
            _ if self.close_now.get() => false,
            ConnectionPhase::New => Instant::now() > self.first_request_deadline.get(),
            ConnectionPhase::ReadingHead => self.phase_since.get().elapsed() > REQUEST_READ_TIMEOUT,
            ConnectionPhase::WritingResponse => self.phase_since.get().elapsed() > RESPONSE_WRITE_TIMEOUT,
            ConnectionPhase::Idle => self.phase_since.get().elapsed() > IDLE_TIMEOUT,
            ConnectionPhase::Handshake | ConnectionPhase::RequestOpen | ConnectionPhase::Lingering => false,
        }
    }

    /// Whether a later request is being received, or the first one may have been for no longer than `within`, or
    /// follows a handshake in progress.
    pub fn is_request_arriving(&self, within: Duration) -> bool {
        match self.phase.get() {
            ConnectionPhase::Handshake | ConnectionPhase::ReadingHead => true,
            ConnectionPhase::New => self.phase_since.get().elapsed() < within,
            _ => false,
        }
    }

    /// The tenant of the latest request.
    pub fn tenant(&self) -> Option<Uid> {
        self.tenant_permit.borrow().as_ref().map(|(uid, _)| *uid)
    }

    /// For how long the connection has been idle; `None` if it is not idle.
    pub fn idle_duration(&self) -> Option<Duration> {
        (self.phase.get() == ConnectionPhase::Idle).then(|| self.phase_since.get().elapsed())
    }

    /// Asks the connection's task to close it: at once (only without an open request), or after the response.
    pub fn request_close(&self, immediately: bool) {
        let flag = if immediately { &self.close_now } else { &self.close_after_response };
        flag.set(true);
        self.close_requested.notify_one();
    }

    /// Records that the node has shut down its sending side. The connection may be evicted at any time from
    /// now on.
    pub fn start_lingering(&self) {
        self.close_now.set(false);
        self.enter_phase(ConnectionPhase::Lingering);
    }

    /// Records a write. If the kernel accepted bytes of a response (`progress`), the client is still reading
    /// it.
    pub(super) fn record_write(&self, progress: bool) {
        if progress && self.phase.get() == ConnectionPhase::WritingResponse {
            self.enter_phase(ConnectionPhase::WritingResponse);
        }
    }

    /// Records a flush. Once it is `complete`, the kernel has the whole response, as hyper flushes only then.
    pub(super) fn record_flush(&self, complete: bool) {
        if complete && self.phase.get() == ConnectionPhase::WritingResponse {
            self.enter_phase(ConnectionPhase::Idle);
        }
    }

    /// Waits for a request to close the connection at once.
    pub async fn wait_for_immediate_close(&self) {
        while !self.close_now.get() {
            self.close_requested.notified().await;
        }
    }

    /// Whether the connection is to be closed after the response to a request that is open or arriving, or
    /// now.
    pub fn closes_after_response(&self) -> bool {
        self.close_after_response.get()
    }

    /// Whether the connection is to be closed at once.
    pub fn closes_immediately(&self) -> bool {
        self.close_now.get()
    }
}

#[cfg(test)]
mod tests;
