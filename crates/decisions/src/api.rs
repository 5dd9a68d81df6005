//! The interface of the decision module: what a host tells it and what it answers.
//!
//! All times are microseconds. The clock may begin anywhere; it never runs backwards (an earlier
//! time than the last one seen is taken as the last one seen).
//!
//! Uses that make no sense are ignored, never a panic: an outcome for an attempt that was never
//! made, an event for a request that is unknown or has ended, a class or tenant number outside
//! the settings (the request is refused), a second request under an id still held.

/// A point in time or a span, in microseconds.
pub type Micros = u64;

/// A server, as discovery names it. Stable over restarts of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// A request, opaque to the module. Shorter ids are padded by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub [u8; 36]);

/// The subject of a request: requests with one key go together. Below 2^53.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

/// Place of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Place of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// A zone. Made from its name alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u64);

/// A cell: servers that share their knowledge of the keys they met.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);

/// A kind of server: those of one kind are of about one size. Made from the kind's name alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u64);

/// Number of a timer, chosen by the module.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

/// Which servers drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every server.
    All,
    /// Those of the zone it was first sent to.
    Zone,
    /// Those of the cell it was first sent to.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// Safe to repeat at will.
    Safe,
    /// Repeats are dropped inside `scope` for `ttl` from the first send that may have run.
    Keyed {
        /// The servers that drop repeats.
        scope: KeyScope,
        /// For how long they do.
        ttl: Micros,
    },
    /// Must never run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time earns full worth.
    pub aim: Micros,
    /// A client's whole wait, over all of its tries.
    pub deadline: Micros,
    /// Worth of a request, or of a unit of its work (see [`WorthBy`]).
    pub points: f64,
    /// Part of the worth that a late answer still earns.
    pub late_share: f64,
    /// Whether it may be repeated.
    pub semantics: Semantics,
    /// Requests of such classes that share a key run one at a time, in the order they came.
    pub in_order: bool,
}

/// A tenant and its share.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second inside its share, over all nodes; 0 means no limit.
    pub quota_per_s: f64,
}

/// What the `size` of a server means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightSource {
    /// It is always 1.
    #[default]
    Off,
    /// The registered size.
    Nominal,
    /// About the registered size.
    Rough,
    /// The size divided by a load of some time ago; it varies from list to list.
    Live,
}

/// What worth is counted by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorthBy {
    /// Each request alike.
    #[default]
    Request,
    /// Each unit of work.
    Work,
}

/// How a node comes by the server list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come unasked.
    #[default]
    Push,
    /// Changes come to subscribers only.
    Ask,
}

/// What a node is told at its start. Begin from [`Settings::default`] and set what is known.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many nodes there are, this one included.
    pub group_size: u32,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a part of the usual.
    pub over_share_worth: f64,
    /// What worth is counted by.
    pub worth_by: WorthBy,
    /// What `size` means.
    pub weight_source: WeightSource,
    /// How the list arrives.
    pub discovery: Discovery,
    /// A server that met a key lately does less work for it.
    pub warm_keys: bool,
    /// Attempts may be cancelled.
    pub cancelling: bool,
    /// Servers may be probed.
    pub may_probe: bool,
    /// Two attempts of a request may be out together.
    pub second_copies: bool,
    /// Most attempts for a request.
    pub max_attempts: u32,
    /// Clients are told how long to keep away.
    pub retry_after: bool,
    /// The longest such advice that clients heed.
    pub max_retry_after: Micros,
    /// The node's own zone, where it is known.
    pub zone: Option<ZoneId>,
    /// Points taken off for an attempt that leaves it, per first try.
    pub far_price: f64,
    /// Points taken off for a new connection per first try.
    pub handshake_price: f64,
    /// Points taken off for a hundred open connections a server.
    pub connection_price: f64,
    /// Capacity of a server at its start, as a part of its full one.
    pub start_capacity: f64,
    /// It is warm after this time.
    pub ramp_time: Micros,
    /// Sent more than this multiple of its present capacity, a cold server falls over.
    pub fall_multiple: f64,
    /// Longest time without a subscription and without asking for one.
    pub ask_within: Micros,
    /// A key of an in-order class rests this long after an attempt that may still be running.
    pub settle_after_doubt: Micros,
    /// A connection that is not there by then failed.
    pub dial_timeout: Micros,
    /// [`Outcome::Full`] does not prove that the attempt never ran.
    pub full_may_have_run: bool,
    /// Place of the part of its cores in use in a server's load report.
    pub util_field: Option<usize>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            group_size: 1,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_worth: 1.0,
            worth_by: WorthBy::Request,
            weight_source: WeightSource::Off,
            discovery: Discovery::Push,
            warm_keys: false,
            cancelling: false,
            may_probe: false,
            second_copies: false,
            max_attempts: 1,
            retry_after: false,
            max_retry_after: 0,
            zone: None,
            far_price: 0.0,
            handshake_price: 0.0,
            connection_price: 0.0,
            start_capacity: 1.0,
            ramp_time: 0,
            fall_multiple: 1.0,
            ask_within: 10_000_000,
            settle_after_doubt: 0,
            dial_timeout: 250_000,
            full_may_have_run: false,
            util_field: None,
        }
    }
}

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Its process runs.
    #[default]
    InService,
    /// It completes its work and takes nothing new.
    Terminating,
    /// It was taken away.
    Terminated,
}

/// A server on a list.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// Which server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its kind; the default where nobody tells.
    pub kind: KindId,
    /// Its state.
    pub state: ServerState,
    /// Its weight against other servers.
    pub size: f64,
    /// When its process last started; 0 is long ago.
    pub since: Micros,
}

/// What a list event brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncKind {
    /// The entries that changed.
    Delta,
    /// The complete list.
    Full,
    /// The list this node last held, perhaps long ago.
    Cached,
    /// A call failed or the subscription broke; the old list stands.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id, never used twice.
    pub id: RequestId,
    /// Time left before the client gives up.
    pub patience: Micros,
    /// Its class.
    pub class: ClassId,
    /// Expected work, where known.
    pub cost: Option<Micros>,
    /// The client marks it as a repeat.
    pub repeat: bool,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// Its subject.
    pub key: Option<Key>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error; it may have run.
    Error,
    /// Turned away unseen (but see [`Settings::full_may_have_run`]).
    Full,
    /// No answer in time; it may run yet.
    Timeout,
    /// No connection was made.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Closed {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// The server.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub spent: Micros,
    /// The request has ended; nothing more is owed.
    pub done: bool,
    /// The server's load report, in the order of the wire; [`Settings::util_field`] is read.
    pub load: Vec<f64>,
}

/// What a node learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the servers. The first one, of kind [`SyncKind::Cached`], starts the node.
    Sync {
        /// What it brings.
        kind: SyncKind,
        /// The entries.
        members: Vec<Member>,
    },
    /// A request came in; one final answer is owed for it.
    Request(Request),
    /// An attempt ended. Each [`Action::Send`] gets exactly one.
    Closed(Closed),
    /// A streamed answer began: the attempt belongs to the client now.
    Started {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// The request has ended without us.
    Lapsed(RequestId),
    /// A probe ended.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        spent: Micros,
        /// The server's load report.
        load: Vec<f64>,
    },
    /// A timer fell due.
    Timer(TimerId),
    /// A message from another node.
    Peer {
        /// The sender.
        from: u32,
        /// What it says.
        data: Vec<u8>,
    },
}

/// What a node does. Carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt; those of a request are numbered from 0 in this order.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// Its time-out.
        limit: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Final answer: refused, trying again is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client ought to keep away; 0 is no advice.
        retry_after: Micros,
    },
    /// Final answer: failed, which promises nothing.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Probe a server.
    Probe(ServerId),
    /// Close the idle connections to a server.
    CloseIdle(ServerId),
    /// Wake the module after this time, in the first batch at or past it.
    SetTimer {
        /// From now.
        delay: Micros,
        /// Comes back with the event.
        timer: TimerId,
    },
    /// Subscribe to changes of the list.
    Subscribe,
    /// Send bytes to one node, or to all with `None`.
    Tell {
        /// Which node.
        peer: Option<u32>,
        /// The bytes, 256 at most.
        data: Vec<u8>,
    },
    /// A line for the log.
    Log(String),
}
