//! The interface between a host and the [`Balancer`](crate::Balancer): identifiers, settings, events and
//! actions.
//!
//! All times are in microseconds. The clock may start anywhere and never runs backwards: a time earlier than
//! the last one seen counts as the last one seen.
//!
//! Invalid input never panics. An outcome for an attempt that was never made, an event for an unknown or
//! ended request and a second request under an id still in use are ignored. A request whose class is not in
//! the settings is refused; a tenant that is not in the settings has no quota.

mod balancer_settings;
mod events;
mod server_id;

pub use balancer_settings::BalancerSettings;
pub use events::{Action, Closed, Event, Outcome, Request};
pub use server_id::ServerId;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Id of a request, opaque to the balancer. The host pads shorter ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub [u8; 36]);

/// Routing key of a request, below 2^53. Requests with the same key go to the same server where possible.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

/// Index of a class in [`BalancerSettings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`BalancerSettings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// Id of a zone, derived from its name alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u64);

/// Id of a cell: a group of servers that share what they remember of the keys that they served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);

/// Id of a kind of servers, derived from its name alone. Servers of one kind have about the same capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u64);

/// Id of a timer, chosen by the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

/// The servers that recognize and drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every server.
    All,
    /// The servers in the zone of the first attempt.
    Zone,
    /// The servers in the cell of the first attempt.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// It may run any number of times.
    Safe,
    /// Servers in `scope` drop repeats for `ttl` after the first send that may have run.
    Keyed {
        /// The servers that drop repeats.
        scope: KeyScope,
        /// How long they remember the request.
        ttl: Micros,
    },
    /// It must never run twice.
    Unsafe,
}

/// A class of requests with common limits and worth.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// A response within this time earns the full worth.
    pub target_latency: Micros,
    /// How long a client waits in all, over its retries.
    pub deadline: Micros,
    /// Worth of a request, or of a unit of its work (see [`WorthBasis`]).
    pub worth: f64,
    /// Fraction of the worth that a response after the target latency still earns.
    pub late_worth_share: f64,
    /// Whether a request may run more than once.
    pub semantics: Semantics,
    /// Requests of in-order classes that share a key run one at a time, in order of arrival.
    pub in_order: bool,
}

/// A tenant's quota.
#[derive(Clone, Debug)]
pub struct TenantQuota {
    /// Requests per second within the quota, over all nodes; 0 means no limit.
    pub quota_per_s: f64,
}

/// Meaning of the weights on the server list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightSource {
    /// No information: each server counts as weight 1.
    #[default]
    Off,
    /// The registered capacity.
    Nominal,
    /// Approximately the registered capacity.
    Rough,
    /// The capacity divided by a recent load. It varies from list to list.
    Live,
}

/// Unit in which worth is counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorthBasis {
    /// Each request counts the same.
    #[default]
    Request,
    /// Each unit of work counts the same.
    Work,
}

/// How a node receives changes of the server list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery sends changes unasked.
    #[default]
    Push,
    /// Discovery sends changes to subscribers only.
    Subscribe,
}

/// State of a server according to discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Its process runs.
    #[default]
    InService,
    /// It completes its work and accepts no new requests.
    Terminating,
    /// It has been removed.
    Terminated,
}

/// A server on discovery's list.
#[derive(Clone, Debug, Default)]
pub struct ListedServer {
    /// Id of the server.
    pub server: ServerId,
    /// Zone of the server.
    pub zone: ZoneId,
    /// Cell of the server.
    pub cell: CellId,
    /// Kind of the server; the default kind if discovery names none.
    pub kind: KindId,
    /// State of the server.
    pub state: ServerState,
    /// Capacity relative to other servers.
    pub weight: f64,
    /// Time at which its process last started; 0 if that is long ago.
    pub started_at: Micros,
}

/// What a list update contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncKind {
    /// The entries that changed.
    Delta,
    /// The complete list.
    Full,
    /// A complete list that is not a response to a call: the list this node last had, which may be old, or
    /// the list that remains after updates from a subscription.
    Cached,
    /// A call failed or the subscription broke. The previous list stays in force.
    Failed,
}
