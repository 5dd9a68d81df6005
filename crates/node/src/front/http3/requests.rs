//! Tracks the open requests of an HTTP/3 connection, and those that its client cancelled.

use std::cell::Cell;
use std::rc::Rc;

use tokio::time::Instant;

use crate::front::connection::{ClientConnection, ConnectionPhase};
use crate::quic::StopSignals;

/// Maximum number of requests that a client may cancel in excess of its completed ones. Above it the
/// connection is closed.
pub const MAX_CANCELLED_REQUESTS: u32 = 256;

/// The requests of one QUIC connection.
pub(super) struct RequestTracker {
    pub(super) conn: Rc<ClientConnection>,
    /// Number of requests whose response was written completely.
    pub(super) completed: Cell<u32>,
    /// Number of requests that the client cancelled.
    cancelled: Cell<u32>,
    /// Reports streams whose client no longer wants the response.
    pub(super) stop_signals: StopSignals,
}

impl RequestTracker {
    /// Creates the tracker of a connection that has no request yet.
    pub(super) fn new(conn: Rc<ClientConnection>, stop_signals: StopSignals) -> Rc<Self> {
        Rc::new(RequestTracker { conn, completed: Cell::new(0), cancelled: Cell::new(0), stop_signals })
    }

    /// Whether the client has cancelled more than [`MAX_CANCELLED_REQUESTS`] in excess of its completed
    /// requests.
    pub(super) fn exceeds_cancellation_limit(&self) -> bool {
        self.cancelled.get() > MAX_CANCELLED_REQUESTS.saturating_add(self.completed.get())
    }

    /// Counts a cancelled request, and closes the connection above the limit.
    pub(super) fn record_cancellation(&self) {
        self.cancelled.set(self.cancelled.get().saturating_add(1));
        if self.exceeds_cancellation_limit() {
            self.conn.request_close(true);
        }
    }
}

/// Counts as an open request until dropped.
pub(super) struct OpenRequest(pub(super) Rc<RequestTracker>);

impl OpenRequest {
    /// Counts a request as open. Returns the deadline for its body.
    pub(super) fn new(tracker: &Rc<RequestTracker>) -> (Self, Instant) {
        let body_deadline = tracker.conn.start_request();
        (OpenRequest(tracker.clone()), body_deadline)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.0.conn.end_request() == 0 {
            self.0.conn.enter_phase(ConnectionPhase::Idle);
        }
    }
}
