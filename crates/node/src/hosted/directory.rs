//! Tenants of a hosted node and their server pools, on the data path's thread. The front end finds a
//! request's pool here and acquires permits for quotas and shares. A tenant's pool starts with its first
//! request and stops when it is idle.

mod entry;
mod pools;
mod requests;
mod settings;
mod status;
mod updates;

use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::StatusCode;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::Instant;
use woodgap_admission::queue::AdmissionSettings;
use woodgap_decisions::settings::ClassTenantNames;
use woodgap_decisions::{
    BalancerSettings, DiscoveryMode, KeyScope, RequestClass, Semantics, ServerState, WeightSource, WorthBasis,
};
use woodgap_membership::{SourceEntry, SourceId, SourceStatus, SourceUpdate};
use woodgap_tenancy::catalogue::{route_matches_of, MemberView};
use woodgap_tenancy::quota::Quota;
use woodgap_tenancy::route::{find_tenant, RouteError, RouteMatch};
use woodgap_tenancy::shares::Shares;
use woodgap_tenancy::spec::{Repeat, Scope};
use woodgap_tenancy::{TenantSpec, TenantState, Uid};
use woodgap_zookeeper::view::{ChildrenUpdate, OmittedChild};

use super::config::AdmissionConfig;
use super::ephemeral::EphemeralPools;
use super::SharedLimits;
use crate::config::UpstreamSettings;
use crate::fleet::servers::DrainFilter;
use crate::front::manager::ConnectionManager;
use crate::front::request::RequestError;
use crate::front::{PoolDirectory, Rejection, RequestPermit, NO_TENANT};
use crate::meter::{metered, CoreUsage, TenantMeter};
use crate::pool::admission::{AdmissionSnapshot, PoolAdmission};
use crate::pool::driver::{Driver, DriverMessage, ServerStatus};
use crate::pool::{CountGuard, PoolHandle, TenantUsage};
use crate::sockets::SocketBudget;
use crate::sources::discovery::ServerList;
use crate::sources::merged_sources::{trusting_limits, MergedSources, LIST_SOURCE};
use crate::upstream::servers::Servers;
use settings::{balancer_settings, catalogue_update, is_empty};

/// Retry-After of a request that the node rejects for lack of capacity or CPU time.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Interval at which idle pools and draining tenants are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Grace period of attempts at a server that is draining or was removed.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Share of the bytes of bodies that those may take which are not short.
const LONG_BODY_SHARE: f64 = 0.5;
/// Maximum Retry-After that is sent.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// A tenant's state in the catalogue, as it is sent to the data path.
#[derive(Clone, Debug)]
pub struct TenantView {
    /// Identifier of the tenant.
    pub uid: Uid,
    /// Name of the tenant.
    pub name: String,
    /// Lifecycle state.
    pub state: TenantState,
    /// Specification of the tenant.
    pub spec: Arc<TenantSpec>,
    /// Servers that the catalogue lists for the tenant.
    pub members: Vec<MemberView>,
}

/// Status of a tenant on this node.
#[derive(Clone, Debug, Default)]
pub struct TenantStatus {
    /// Number of pools: the one that takes new requests, and earlier ones that still hold requests.
    pub pools: usize,
    /// Number of requests held.
    pub held_requests: usize,
    /// Number of client connections whose latest request was the tenant's.
    pub connections: usize,
    /// Numbers of requests answered by a server, refused and failed since the node started.
    pub request_counts: [u64; 3],
    /// Share of the CPU core that the tenant's work uses, 0 to 1.
    pub core: f64,
    /// Status of its servers, if a pool runs.
    pub servers: Vec<ServerStatus>,
    /// Status of its server sources, if it uses more than the catalogue; times are ages in milliseconds.
    pub sources: Vec<SourceStatus>,
    /// Registrations that are left out of the server list, with the reason.
    pub omitted: Vec<OmittedChild>,
    /// Snapshot of its pool's admission queue, if it has one.
    pub admission: Option<AdmissionSnapshot>,
}

/// A tenant with its pools and server sources.
struct TenantEntry {
    view: TenantView,
    usage: Rc<TenantUsage>,
    quota: RefCell<Option<Quota>>,
    /// The pool that takes requests; the first request starts it.
    active_pool: Option<Rc<PoolHandle>>,
    /// Admission queues of its pools that are still in use.
    admissions: Vec<Weak<PoolAdmission>>,
    /// Message channels of all pools of the tenant that have not ended.
    pools: Vec<mpsc::WeakUnboundedSender<DriverMessage>>,
    /// Meter of the pool's CPU time.
    meter: Option<Rc<TenantMeter>>,
    /// Number of pool drivers that have not ended.
    drivers: Rc<Cell<usize>>,
    last_used: Cell<Instant>,
    /// Merged server sources; present while a pool runs or the servers register at a path.
    sources: Option<Box<MergedSources>>,
    /// Path at which the servers register, with its source.
    path: Option<(String, SourceId)>,
    /// Earlier registration path, which counts until the new one has been read.
    previous_path: Option<(String, SourceId)>,
    /// Time at which the merged list changes without an update from a source.
    next_change: Option<Instant>,
    /// Drain orders of operators, for the servers of all tenants.
    drain_filter: Rc<RefCell<DrainFilter>>,
}

/// All tenants of a node, with the shares and limits that they have in common.
pub struct Tenants {
    limits: SharedLimits,
    sockets: Rc<SocketBudget>,
    core: Rc<CoreUsage>,
    entries: RefCell<HashMap<Uid, TenantEntry>>,
    routes: RefCell<BTreeMap<RouteMatch, Uid>>,
    /// Tenants that have a pool or are draining.
    live: RefCell<BTreeSet<Uid>>,
    request_shares: Rc<RefCell<Shares>>,
    body_shares: Rc<RefCell<Shares>>,
    /// The part of the bytes that bodies may take which are not short, so that requests with short ones find room
    /// beside bodies that arrive slowly.
    long_body_shares: Rc<RefCell<Shares>>,
    connection_shares: Rc<RefCell<Shares>>,
    clients: RefCell<Weak<ConnectionManager>>,
    /// Receives each deleted tenant that holds no more requests or connections.
    drained: mpsc::UnboundedSender<Uid>,
    seed_rng: RefCell<fastrand::Rng>,
    /// Watched registration paths, if a coordination service is configured.
    paths: RefCell<Option<EphemeralPools>>,
    /// Drain orders of operators.
    drain_filter: Rc<RefCell<DrainFilter>>,
}

impl Tenants {
    /// Creates an empty directory. `drained` receives each deleted tenant that holds no more requests or
    /// connections.
    pub fn new(
        limits: SharedLimits,
        sockets: Rc<SocketBudget>,
        drained: mpsc::UnboundedSender<Uid>,
        paths: Option<EphemeralPools>,
    ) -> Rc<Self> {
        let shares = |total: usize| Rc::new(RefCell::new(Shares::new(total.max(1) as u64)));
        let tenants = Rc::new(Tenants {
            sockets,
            core: CoreUsage::new(),
            entries: RefCell::default(),
            routes: RefCell::default(),
            live: RefCell::default(),
            request_shares: shares(limits.held_requests),
            body_shares: shares(limits.body_bytes),
            long_body_shares: shares((limits.body_bytes as f64 * LONG_BODY_SHARE) as usize),
            connection_shares: shares(limits.connections),
            clients: RefCell::default(),
            drained,
            seed_rng: RefCell::new(fastrand::Rng::with_seed(limits.seed)),
            paths: RefCell::new(paths),
            drain_filter: Rc::default(),
            limits,
        });
        spawn_local(Self::sweep(Rc::downgrade(&tenants)));
        spawn_local(CoreUsage::sample_lag(Rc::downgrade(&tenants.core)));
        tenants
    }

    /// Sets the connection manager, which closes the connections of deleted tenants.
    pub fn set_connection_manager(&self, clients: &Rc<ConnectionManager>) {
        *self.clients.borrow_mut() = Rc::downgrade(clients);
    }

    /// Sets the drain filter, which keeps new requests from servers regardless of their sources.
    pub fn set_drain_filter(&self, drain_filter: DrainFilter) {
        if drain_filter == *self.drain_filter.borrow() {
            return;
        }
        *self.drain_filter.borrow_mut() = drain_filter;
        self.entries.borrow_mut().values_mut().for_each(TenantEntry::send_server_list);
    }

    /// Waits until every registration path has been read, at most for `max_wait`.
    pub async fn wait_until_read(&self, max_wait: Duration) {
        let unread = self.paths.borrow().as_ref().map(EphemeralPools::unread_count);
        if let Some(mut unread) = unread {
            let _ = tokio::time::timeout(max_wait, unread.wait_for(|unread| *unread == 0)).await;
        }
    }
}
