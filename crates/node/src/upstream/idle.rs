//! Opens HTTP/1.1 connections to servers, and keeps idle ones for reuse by later attempts.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::sleep;
use woodgap_decisions::{Outcome, ServerId};

use crate::system::is_local_error;
use crate::upstream::exchange::{Http1Connection, REUSE_DELAY};
use crate::upstream::servers::Servers;

/// Fraction of the servers' keep-alive time for which an idle connection is reused. A request that is sent
/// while the server closes the connection ends with a reset, after which an unsafe request can't be sent
/// again.
const REUSE_FRACTION: f64 = 0.6;

/// Maximum number of dials for one connection while this machine lacks a resource for it.
const MAX_DIALS: u32 = 6;
/// Pause after the first such dial. Each further pause is twice as long; all of them add up to 63 ms.
const FIRST_DIAL_PAUSE: Duration = Duration::from_millis(1);

/// Interval between calls of [`Servers::sweep_idle_connections`].
pub const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(500);

impl Servers {
    /// Closes the idle connections to a server.
    pub fn close_idle_connections(&self, server: &ServerId) {
        if let Some(slot) = self.slots.borrow_mut().get_mut(server) {
            slot.idle_connections.clear();
        }
    }

    /// Closes connections that have been idle for too long or were closed by the server. Due every
    /// [`IDLE_SWEEP_INTERVAL`].
    pub fn sweep_idle_connections(&self) {
        let max_idle = self.settings.keepalive.mul_f64(REUSE_FRACTION);
        for slot in self.slots.borrow_mut().values_mut() {
            slot.idle_connections
                .retain(|connection| !connection.is_closed() && connection.idle_since.elapsed() < max_idle);
            #[cfg(feature = "hosted")]
            slot.http3_connection.close_if_idle(max_idle);
        }
    }

    /// Closes the connection that has been idle for longest; returns `false` if no connection is idle.
    pub fn evict_idle_connection(&self) -> bool {
        let mut slots = self.slots.borrow_mut();
        let oldest = slots
            .values_mut()
            .filter(|slot| !slot.idle_connections.is_empty())
            .min_by_key(|slot| slot.idle_connections[0].idle_since);
        oldest.map(|slot| drop(slot.idle_connections.remove(0))).is_some()
    }

    /// Takes the most recently used connection that has been idle for [`REUSE_DELAY`] and has received
    /// nothing.
    pub(super) fn take_idle_connection(&self, server: &ServerId) -> Option<Http1Connection> {
        let max_idle = self.settings.keepalive.mul_f64(REUSE_FRACTION);
        let mut slots = self.slots.borrow_mut();
        let slot = slots.get_mut(server)?;
        while let Some(index) = slot
            .idle_connections
            .iter()
            .rposition(|connection| connection.idle_since.elapsed() >= REUSE_DELAY)
        {
            let connection = slot.idle_connections.remove(index);
            if connection.is_reusable() && connection.idle_since.elapsed() < max_idle {
                return Some(connection);
            }
        }
        None
    }

    /// Stores a connection for reuse. Its idle time is not reset, as the server counts it from the last
    /// request.
    pub(super) fn store_idle_connection(&self, server: &ServerId, connection: Http1Connection) {
        let mut slots = self.slots.borrow_mut();
        let Some(slot) = slots.get_mut(server) else { return };
        let accepts_requests = slot.draining_since.is_none() && !slot.address_taken;
        if slot.epoch == connection.epoch && accepts_requests && !connection.is_closed() {
            let index =
                slot.idle_connections.partition_point(|other| other.idle_since <= connection.idle_since);
            slot.idle_connections.insert(index, connection);
        }
    }

    /// Number of idle connections to all servers.
    pub fn idle_connection_count(&self) -> usize {
        self.slots.borrow().values().map(|slot| slot.idle_connections.len()).sum()
    }

    /// Opens a new connection. A failure for lack of a resource of this machine says nothing about the
    /// server: the dial is repeated for a moment, and then ends with an outcome that is not charged to the
    /// server.
    pub(super) async fn dial(&self, addr: SocketAddr, epoch: u64) -> Result<Http1Connection, Outcome> {
        let mut pause = FIRST_DIAL_PAUSE;
        for _ in 0..MAX_DIALS {
            let permit = self.sockets.acquire().await.ok_or(Outcome::Moot)?;
            let error = match Http1Connection::dial(addr, epoch, permit, self.meter.clone()).await {
                Ok(connection) => return Ok(connection),
                Err(error) => error,
            };
            if !is_local_error(&error) {
                return Err(Outcome::ConnectFailed);
            }
            tracing::info!(
                "cannot open a connection to {addr}, as this machine lacks a resource for it: {error}"
            );
            sleep(pause).await;
            pause *= 2;
        }
        Err(Outcome::Moot)
    }
}
