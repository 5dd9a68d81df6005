//! The hosted node: serves many tenants, which the administration API changes while traffic flows.
//!
//! ```text
//!   control thread                                data thread
//!   admin API ─▶ Control: Catalogue, Store ──Command──▶ directory::Tenants ─▶ pools
//!                    ▲                      ◀──done────      │
//!                    └────────────── drained Uid ────────────┘
//!   listeners ───────────────────────────────────▶ front ────┘
//! ```
//!
//! With a coordination service ([`woodgap_zookeeper`]) a third thread runs its session: it notifies the data
//! thread of servers that register, and carries the reads and writes of a shared store.
//!
//! A change is made durable, then applied by the data thread, and only then answered, so that an answered
//! change is in effect. The data thread never waits for a disk or an administrator.

pub mod config;
pub(crate) mod directory;
pub(crate) mod ephemeral;
mod error;
mod listeners;
mod node_handle;
mod registration;
mod serve;
mod stop;
mod tasks;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use woodgap_membership::SourceId;
use woodgap_tenancy::Uid;
use woodgap_zookeeper::view::ChildrenUpdate;

use crate::upstream::trust::Authorities;
use directory::{TenantStatus, TenantView};
pub use error::{ListenError, NodeError};
pub(crate) use node_handle::runtime;
pub use node_handle::{spawn, NodeHandle};
pub use serve::serve;

/// Limits and settings that all tenants of a node share.
#[derive(Clone, Debug)]
pub(crate) struct SharedLimits {
    /// Number of nodes that share the tenants' traffic.
    pub nodes: u32,
    /// Maximum number of requests held at a time.
    pub held_requests: usize,
    /// Maximum bytes of request bodies held at a time.
    pub body_bytes: usize,
    /// Maximum number of client connections.
    pub connections: usize,
    /// Idle time after which a pool is stopped.
    pub pool_idle: Duration,
    /// Seed of random choices.
    pub seed: u64,
    /// Certificate authorities that verify HTTP/3 servers with a server name.
    pub authorities: Arc<Authorities>,
    /// Default admission settings of pools; `None` if admission is off.
    pub admission: Option<config::AdmissionConfig>,
}

/// Commands to the data thread.
pub(crate) enum Command {
    /// Applies tenants' current state in the catalogue; replies once that is done.
    Update(Vec<TenantView>, oneshot::Sender<()>),
    /// Applies an update of a registration path.
    PathUpdate(String, SourceId, ChildrenUpdate),
    /// Asks for the servers of the named tenants, and whether each accepts new requests.
    Servers(BTreeSet<String>, oneshot::Sender<Vec<TenantServers>>),
    /// Asks for the status of a tenant.
    TenantStatus(Uid, oneshot::Sender<Option<TenantStatus>>),
}

/// Name of a tenant and its servers; `true` for those that accept new requests.
pub(crate) type TenantServers = (String, BTreeMap<SocketAddr, bool>);

/// Addresses of a running node.
#[derive(Clone, Debug)]
pub struct NodeAddresses {
    /// Listeners' names and addresses.
    pub listeners: Vec<(String, SocketAddr)>,
    /// Address of the administration API, if it is on.
    pub admin: Option<SocketAddr>,
}
