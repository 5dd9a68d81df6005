//! This node's membership in a fleet: which nodes are alive, and when this node may leave service. Used by
//! the hosted node at startup and shutdown and by the administration API.
//!
//! ```text
//!   UDP ─▶ members: woodgap_fleet ─▶ FleetView: serving nodes ─┐
//!   zookeeper: names ─ registered nodes, without [fleet] ──────┤
//!              document ─ the ledger ──────────────────────────┴─▶ Permits::run: advance the ledger ─▶ document
//!   SIGTERM, PUT /v1/drain ─▶ Permits::acquire_permit: Ask ─ granted ─ Begin ─▶ drain ─▶ Permits::finish_drain
//!   orders to drain servers ─▶ ServerDrains ─▶ Tenants::set_drain_filter, progress in this node's metadata ─▶ members
//!   GET /v1/fleet, woodgap fleet ─▶ Fleet: members, ledger, blocked requests
//! ```
//!
//! `woodgap_fleet` and `woodgap_permits` make the decisions; this module sends datagrams and writes commands.
//! Requests do not pass through it: it runs in its own tasks, with its own socket and watched documents.

pub mod members;
pub mod permits;
pub mod servers;

use tokio::sync::watch;

pub use members::{FleetConfig, FleetMembership};
pub use permits::{Permits, PermitsConfig};
pub use servers::{DrainsConfig, ServerDrains};

/// Handles of this node's fleet membership, permits and server drains, as the administration API uses them.
#[derive(Clone)]
pub struct Fleet {
    /// Gossip membership, if `[fleet]` is configured.
    pub members: Option<FleetMembership>,
    /// Drain permits, if `[permits]` is configured.
    pub permits: Option<Permits>,
    /// Drains of servers at all nodes, if `[permits.servers]` is configured.
    pub server_drains: Option<ServerDrains>,
    drain: watch::Sender<bool>,
}

impl Fleet {
    /// Combines the configured parts; this node is not draining at first.
    pub fn new(
        members: Option<FleetMembership>,
        permits: Option<Permits>,
        drains: Option<ServerDrains>,
    ) -> Fleet {
        Fleet { members, permits, server_drains: drains, drain: watch::Sender::new(false) }
    }

    /// Records whether an operator wants this node to drain and stop.
    pub fn set_draining(&self, drain: bool) {
        self.drain.send_replace(drain);
    }

    /// Whether an operator wants this node to drain and stop.
    pub fn is_draining(&self) -> bool {
        *self.drain.borrow()
    }

    /// Waits until [`Fleet::is_draining`] equals `drain`.
    pub(crate) async fn wait_for_draining(&self, drain: bool) {
        let mut drain_requests = self.drain.subscribe();
        if drain_requests.wait_for(|now| *now == drain).await.is_err() {
            std::future::pending().await
        }
    }
}
