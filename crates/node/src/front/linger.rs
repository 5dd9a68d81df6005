//! Lingering close of connections whose client may still be sending.
//!
//! Closing a socket with unread bytes resets the connection, and a reset discards the part of the response
//! that the kernel still holds. The node therefore shuts down its sending side first and goes on reading for
//! a while. It handles no request among those bytes, as it could no longer respond.

use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

use super::connection::ClientConnection;
use super::manager::ConnectionManager;
use crate::upstream::exchange::MAX_BODY_BYTES;

/// How long a client may go on sending after the node has shut down its side. Clients that notice the end
/// close at once.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes read meanwhile: a whole request that was sent while the node shut down its side,
/// and one that was rejected at its head.
const MAX_LINGER_BYTES: usize = 2 * MAX_BODY_BYTES + 2 * super::manager::MAX_HEAD_BYTES;
/// Maximum number of lingering connections. They count against the connection budget and are evicted before
/// any other; at this number further connections are closed at once.
pub(super) const MAX_LINGERING_CONNECTIONS: usize = 64;
/// Size of the buffer for discarded bytes.
const READ_CHUNK_BYTES: usize = 4096;

impl ConnectionManager {
    /// Shuts down the sending side of a connection and discards what arrives, until the client closes its
    /// side, a limit above is reached or the connection is evicted.
    pub(super) async fn linger(
        &self,
        mut stream: impl AsyncRead + AsyncWrite + Unpin,
        conn: &ClientConnection,
    ) {
        let Some(_permit) = self.lingering_budget.try_acquire() else { return };
        conn.start_lingering();
        // A new connection that waits for a permit may evict this one at once.
        self.connection_ended.notify_waiters();
        let discard_input = async {
            let mut remaining = MAX_LINGER_BYTES;
            let mut buffer = vec![0; READ_CHUNK_BYTES];
            if stream.shutdown().await.is_err() {
                return;
            }
            while remaining > 0 {
                match stream.read(&mut buffer).await {
                    Ok(0) | Err(_) => return,
                    Ok(read) => remaining = remaining.saturating_sub(read),
                }
            }
        };
        tokio::select! {
            _ = timeout(LINGER_TIMEOUT, discard_input) => {}
            () = conn.wait_for_immediate_close() => {}
        }
    }

    /// Closes a lingering connection, if there is one, to free its socket. Returns whether there was one.
    pub(super) fn evict_lingering(&self) -> bool {
        let connections = self.connections.borrow();
        let mut lingering = connections.values().filter(|conn| conn.eviction_score() == f64::INFINITY);
        self.lingering_budget.utilization() > 0.0
            && lingering.next().inspect(|conn| conn.request_close(true)).is_some()
    }
}
