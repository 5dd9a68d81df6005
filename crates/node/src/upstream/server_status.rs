//! The status of a server in its pool, for the administration API and for drains of the whole fleet.

use std::net::SocketAddr;

/// A server as its pool sees it.
#[derive(Clone, Debug)]
pub struct ServerStatus {
    /// Id of the server in the server list.
    pub id: String,
    /// Address that the server listens on.
    pub addr: SocketAddr,
    /// Number of attempts that are in flight at the server.
    pub attempts_in_flight: usize,
    /// Whether the pool has ejected the server because of failed or slow attempts.
    pub ejected: bool,
    /// Whether the server may be sent new requests.
    pub in_service: bool,
    /// Number of idle connections that are kept open to the server.
    pub idle_connections: usize,
}
