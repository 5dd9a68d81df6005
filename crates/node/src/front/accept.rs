//! Accepts client connections over TCP.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::connection::{ClientConnection, ClientIdentity, REQUEST_READ_TIMEOUT};
use super::http1::ListenerSettings;
use super::manager::{ConnectionManager, REFUSED_CONNECTION_TIMEOUT};
use crate::system::{accept_error_action, AcceptErrorAction};

/// Pause after a failed accept that would fail again at once.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

impl ConnectionManager {
    /// Accepts connections until the process ends: a request in the kernel's accept queue counts as accepted.
    pub async fn accept_http1(self: Rc<Self>, listener: TcpListener, settings: ListenerSettings) {
        loop {
            match listener.accept().await {
                Ok((stream, client_address)) => {
                    let accepted_marker = self.accepted_marker.clone();
                    let _ = stream.set_nodelay(true);
                    let (permits, refuse) = self.acquire_connection_permits().await;
                    let client = ClientIdentity::from_address(client_address);
                    // A connection that arrives while others are closed still has one request served: it counts
                    // as accepted.
                    let is_short = refuse || self.closing.get();
                    let timeout = if is_short { REFUSED_CONNECTION_TIMEOUT } else { REQUEST_READ_TIMEOUT };
                    let connection =
                        self.register_connection(ClientConnection::new(timeout, client), permits);
                    let serving =
                        self.clone().handshake_and_serve(stream.into(), connection, refuse, settings.clone());
                    spawn_local(async move {
                        serving.await;
                        drop(accepted_marker);
                    });
                }
                Err(error) => self.handle_accept_error(&error).await,
            }
        }
    }

    /// Handles a failed accept: frees a descriptor where none is left, and pauses. The connection stays in
    /// the accept queue, so that accept fails again at once; a loop without a pause would take the CPU time
    /// that closing connections needs.
    async fn handle_accept_error(&self, error: &std::io::Error) {
        let failure = accept_error_action(error);
        if failure == AcceptErrorAction::AcceptNext {
            return;
        }
        tracing::info!("accept failed: {error}");
        if failure == AcceptErrorAction::FreeDescriptor {
            let _ = self.evict_lingering() || self.sockets.evict_idle() || self.evict_connection();
        }
        sleep(ACCEPT_RETRY_DELAY).await;
    }
}
