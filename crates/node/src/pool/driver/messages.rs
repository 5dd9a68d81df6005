//! Messages to a pool's driver and the final responses that it sends for requests.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use tokio::sync::oneshot;
use tokio::time::Instant;
use woodgap_decisions::{ClassId, Key, Micros, ServerId, TenantId};

use crate::sources::discovery::ServerList;
use crate::sources::watch::WatchUpdate;
use crate::upstream::exchange::UpstreamRequest;
use crate::upstream::server_status::ServerStatus;
use crate::upstream::servers::AttemptResult;

/// The one response that a client receives for its request.
pub enum FinalResponse {
    /// A server's response: headers and body.
    Served(HeaderMap, Bytes),
    /// The request had no effect. Contains the delay after which a retry may succeed, if known.
    Refused(Option<Duration>),
    /// The request failed and may have had an effect.
    Failed,
    /// The balancer made no decision by the deadline, so the node responds that the request failed.
    DeadlineExceeded,
}

/// A final response, and the server that sent it or received the last attempt.
pub type DriverReply = (FinalResponse, Option<ServerId>);

/// A client's request as it enters the pool.
pub struct RequestArrival {
    /// Number that is never used twice, unlike the identifier that the client chose (`X-Txn`).
    pub id: u64,
    /// Class of the request (`X-Lane`).
    pub class: ClassId,
    /// The balancer's tenant (`X-Org`), if the pool has several.
    pub tenant: Option<TenantId>,
    /// Routing key of the request.
    pub key: Option<Key>,
    /// Whether the client sent this request before (`X-Resent`).
    pub is_retry: bool,
    /// Processing time that the client expects, in microseconds (`X-Estimate`).
    pub cost: Option<Micros>,
    /// Time by which the final response must be sent.
    pub deadline: Instant,
    /// Method, target, headers and body to send to a server.
    pub payload: Rc<UpstreamRequest>,
    /// Receives the final response. It is closed when the client disconnects.
    pub reply: oneshot::Sender<DriverReply>,
}

/// Messages to the driver. The channel is unbounded, as its length is limited otherwise: each request,
/// attempt, probe and watch has at most two messages in it, and the numbers of these are bounded.
pub enum DriverMessage {
    /// A client sent a request.
    Request(Box<RequestArrival>),
    /// The client of a request no longer waits for its response.
    ClientDisconnected(u64),
    /// An attempt has ended.
    AttemptClosed { id: u64, attempt: u32, result: AttemptResult },
    /// A probe has ended after the time `elapsed`.
    ProbeFinished { server: ServerId, result: AttemptResult, elapsed: Duration },
    /// A call to discovery received a list, went silent or failed.
    WatchUpdate { call: u64, update: WatchUpdate },
    /// Another node sent data.
    PeerMessage { from: u32, data: Vec<u8> },
    /// Discovery is at this address from now on.
    DiscoveryMoved(SocketAddr),
    /// The complete list of the pool's servers, merged from the catalogue and other sources.
    MergedList(ServerList),
    /// Requests the current status of all servers.
    InspectServers(oneshot::Sender<Vec<ServerStatus>>),
}
