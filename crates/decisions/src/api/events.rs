//! Events that a host passes to the balancer and actions that it returns.

use super::*;

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Unique id of the request.
    pub id: RequestId,
    /// Time left before the client gives up.
    pub timeout: Micros,
    /// Class of the request.
    pub class: ClassId,
    /// Expected work, if known.
    pub cost: Option<Micros>,
    /// Whether the client marks the request as a retry.
    pub is_retry: bool,
    /// The request's tenant, if there are tenants.
    pub tenant: Option<TenantId>,
    /// Routing key of the request, if it has one.
    pub key: Option<Key>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was served.
    Ok,
    /// The server answered with an error. The request may have run.
    Error,
    /// The server rejected the request without running it (but see [`BalancerSettings::full_may_have_run`]).
    Full,
    /// No response in time. The request may still be running.
    Timeout,
    /// No connection was established.
    ConnectFailed,
    /// The connection broke. The request may have run.
    Reset,
    /// The attempt was cancelled. The request may have run.
    Cancelled,
    /// The attempt was never sent.
    Moot,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Closed {
    /// Id of the request.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Server of the attempt.
    pub server: ServerId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// Whether the request has ended and needs no final response.
    pub done: bool,
    /// The server's load report, in wire order. The balancer reads [`BalancerSettings::utilization_field`].
    pub load: Vec<f64>,
}

/// Something that happened at the node and that the balancer has to take into account.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the server list. The first one, of kind [`SyncKind::Cached`], starts the balancer.
    Sync {
        /// What the update contains.
        kind: SyncKind,
        /// The entries of the update.
        entries: Vec<ListedServer>,
    },
    /// A request arrived. It needs one final response.
    Request(Request),
    /// An attempt ended. Each [`Action::Send`] gets exactly one such event.
    Closed(Closed),
    /// A streamed response started: the attempt can no longer be replaced.
    Started {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The request ended without a final response from the balancer.
    Lapsed(RequestId),
    /// A probe ended.
    Probed {
        /// The probed server.
        server: ServerId,
        /// How the probe ended.
        outcome: Outcome,
        /// Time since the probe was sent.
        elapsed: Micros,
        /// The server's load report.
        load: Vec<f64>,
    },
    /// A timer expired.
    Timer(TimerId),
    /// A message from another node.
    Peer {
        /// Number of the sender.
        from: u32,
        /// Contents of the message.
        data: Vec<u8>,
    },
}

/// What the node has to do. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt. The attempts of a request are numbered from 0 in this order.
    Send {
        /// Id of the request.
        id: RequestId,
        /// Server to send to.
        server: ServerId,
        /// Time limit of the attempt.
        timeout: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Id of the request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final response: the request is refused and safe to retry.
    Refuse {
        /// Id of the request.
        id: RequestId,
        /// How long the client should wait before it retries; 0 gives no advice.
        retry_after: Micros,
    },
    /// Final response: the request failed and may have run.
    Fail {
        /// Id of the request.
        id: RequestId,
    },
    /// Probe a server.
    Probe(ServerId),
    /// Close the idle connections to a server.
    CloseIdle(ServerId),
    /// Wake the balancer after a delay, with the first events at or after that time.
    SetTimer {
        /// Delay from now.
        delay: Micros,
        /// Id that comes back with the event.
        timer: TimerId,
    },
    /// Subscribe to changes of the server list.
    Subscribe,
    /// Send a message to one node, or to all nodes.
    Tell {
        /// Number of the node; `None` sends to all.
        peer: Option<u32>,
        /// Contents of the message, at most 256 bytes.
        data: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
}
