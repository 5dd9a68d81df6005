//! Graceful shutdown of client connections, from SIGTERM to the end of the process.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout, Instant};

use super::connection::REQUEST_READ_TIMEOUT;
use super::manager::ConnectionManager;

/// How long the node goes on serving as usual after SIGTERM, as new connections and requests arrive for up to
/// 0.4 s.
const DRAIN_PERIOD: Duration = Duration::from_millis(600);
/// How long a connection on which a request may be arriving is kept open when idle connections are closed:
/// its client may have no other connection to send the request on again.
const ARRIVAL_GRACE: Duration = Duration::from_millis(250);
/// How long the node waits for further connections before it ends: a request on a connection in the kernel's
/// accept queue counts as accepted, and the acceptor task needs time to accept it.
const BACKLOG_SETTLE_TIME: Duration = Duration::from_millis(5);

impl ConnectionManager {
    /// Drains the node after SIGTERM: goes on serving while clients still arrive, then closes idle
    /// connections and returns once all connections have ended.
    pub async fn drain(&self) {
        let max_request_duration = self.directory.max_request_duration();
        self.draining.set(true);
        self.shutdown_deadline.set(Some(Instant::now() + max_request_duration + DRAIN_PERIOD));
        sleep(DRAIN_PERIOD).await;
        self.closing.set(true);
        self.close_except_arriving(REQUEST_READ_TIMEOUT);
        let close_late_connections = async {
            sleep(ARRIVAL_GRACE).await;
            self.close_except_arriving(ARRIVAL_GRACE);
            std::future::pending().await
        };
        // A client that sends a request very slowly must not keep the node running: every accepted request
        // has its response by the longest deadline.
        let all_ended = async {
            loop {
                sleep(BACKLOG_SETTLE_TIME).await;
                if self.connections.borrow().is_empty() && Rc::strong_count(&self.accepted_marker) == 1 {
                    break;
                }
                self.connection_ended.notified().await;
            }
        };
        let _ = timeout(max_request_duration + DRAIN_PERIOD, async {
            tokio::select!(() = all_ended => {}, () = close_late_connections => {})
        })
        .await;
    }

    /// Closes all connections, those with an open request after its response, except those on which a request
    /// may have been arriving for no longer than `arrival_grace`.
    pub(super) fn close_except_arriving(&self, arrival_grace: Duration) {
        let connections = self.connections.borrow();
        connections
            .values()
            .filter(|conn| !conn.is_request_arriving(arrival_grace))
            .for_each(|conn| conn.request_close(false));
    }
}
