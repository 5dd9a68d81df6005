//! What has arrived on a client connection, and which of its requests are incomplete.

use std::rc::Rc;

use tokio::time::Instant;

use super::ClientConnection;

impl ClientConnection {
    /// Records that bytes arrived from the client.
    pub fn record_receive(&self) {
        self.last_receive.set(Some(Instant::now()));
    }

    /// Whether bytes have arrived from the client.
    pub fn has_received(&self) -> bool {
        self.last_receive.get().is_some()
    }

    /// Counts an open request as incomplete until the guard is dropped.
    pub fn start_receiving(self: &Rc<Self>) -> IncompleteRequest {
        self.incomplete_requests.set(self.incomplete_requests.get() + 1);
        IncompleteRequest(self.clone())
    }
}

/// Counts as an incomplete request of its connection until dropped.
pub struct IncompleteRequest(Rc<ClientConnection>);

impl Drop for IncompleteRequest {
    fn drop(&mut self) {
        self.0.incomplete_requests.set(self.0.incomplete_requests.get() - 1);
    }
}
