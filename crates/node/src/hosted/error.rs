//! Why a hosted node does not start, or has ended.

use std::io;
use std::net::SocketAddr;

use crate::store::StoreError;

/// Why a listener cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// The address cannot be used. It may be in use, or not be one of this machine's.
    #[error("{0}: choose another address, or end the process that listens there")]
    Bind(#[from] io::Error),
    /// The certificate, its key or the clients' authorities cannot be used.
    #[error("{0}: check the listener's certificate, key and client authorities")]
    Tls(String),
}

impl ListenError {
    /// Whether another process uses the address.
    pub(super) fn is_address_in_use(&self) -> bool {
        matches!(self, ListenError::Bind(error) if error.kind() == io::ErrorKind::AddrInUse)
    }
}

/// Why a hosted node does not start, or has ended without being asked to.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// A file that the configuration names cannot be used. The text names it and what is wrong.
    #[error("{0}")]
    File(String),
    /// The client of the coordination service cannot be started.
    #[error("zookeeper: {0}")]
    CoordinationService(#[source] io::Error),
    /// The catalogue cannot be read.
    #[error("{store}: {source}")]
    Store {
        /// The store as the configuration names it.
        store: String,
        /// Why it cannot be read.
        source: StoreError,
    },
    /// The configuration names a shared store and no coordination service.
    #[error("store.zookeeper needs [zookeeper]: add that section, or use store.path")]
    NoCoordinationService,
    /// A listener cannot be opened.
    #[error("listen '{name}' at {address}: {source}")]
    Listen {
        /// The listener's name.
        name: String,
        /// The address that the configuration gives.
        address: SocketAddr,
        /// Why it cannot be opened.
        source: ListenError,
    },
    /// The administration API's address cannot be used.
    #[error("admin at {address}: {source}: choose another address")]
    Admin {
        /// The address that the configuration gives.
        address: SocketAddr,
        /// Why it cannot be used.
        source: io::Error,
    },
    /// The node is to be registered, and has no listener.
    #[error("no listener to register: add one, or remove the registration")]
    NoListener,
    /// The node cannot take part in its fleet.
    #[error("{0}")]
    Fleet(String),
    /// The system denies a thread, a runtime or a signal handler: see the process's limits.
    #[error("cannot start a part of the node: {0}: check the limits of this process")]
    System(#[source] io::Error),
    /// The control thread ended; the node is to be started again.
    #[error("the control thread ended: {0}")]
    ControlEnded(String),
    /// The node's thread ended; its log has the reason.
    #[error("the node ended unexpectedly: see its log")]
    Ended,
}
