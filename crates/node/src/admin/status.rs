//! The status of a tenant on this node.

use axum::extract::{Path, State};
use axum::response::IntoResponse;
use axum::{Extension, Json};
use serde::Serialize;
use utoipa::ToSchema;
use woodgap_tenancy::{TenantState, Uid};

use super::auth::Caller;
use super::parse::tenant_not_found;
use super::problem::Problem;
use super::state::{ApiResult, ApiState};

/// Status of a tenant on this node.
#[derive(Debug, Serialize, ToSchema)]
#[schema(as = Status)]
struct TenantStatus {
    /// Name of the tenant.
    name: String,
    /// Unique id of the tenant, which tells tenants of the same name apart.
    uid: Uid,
    /// Lifecycle state of the tenant.
    state: TenantState,
    /// Number of connection pools that run for the tenant: 0 until its first request, and 0 again when it is
    /// idle.
    pools: usize,
    /// Number of requests held.
    held: usize,
    /// Number of client connections whose latest request was the tenant's.
    connections: usize,
    /// Number of requests answered by a server since the node's start.
    served: u64,
    /// Number of requests refused since the node's start.
    refused: u64,
    /// Number of requests that failed since the node's start.
    failed: u64,
    /// Share of the CPU core that the tenant's work uses, 0 to 1.
    core: f64,
    /// Servers of the tenant; empty if no pool runs.
    servers: Vec<ServerStatus>,
    /// Sources at which the tenant's servers register; empty if they do not register at a path.
    sources: Vec<SourceStatus>,
    /// Registrations at the sources that are not used.
    left_out: Vec<OmittedRegistration>,
    /// State of the pool's admission queue; absent if no pool runs or the pool has no queue.
    #[serde(skip_serializing_if = "Option::is_none")]
    admission: Option<AdmissionStatus>,
}

/// State of a pool's admission queue.
#[derive(Debug, Serialize, ToSchema)]
#[schema(as = GateStatus)]
struct AdmissionStatus {
    /// Number of requests that wait in the queue.
    waiting: usize,
    /// Number of admitted requests in the pool.
    out: u32,
    /// Maximum number of admitted requests in the pool, as the node has learned it.
    room: u32,
    /// Recent rate of served requests, in requests per second.
    rate_per_s: f64,
    /// Number of requests that the queue refused since the pool's start.
    refused: u64,
}

/// Status of a source of servers.
#[derive(Debug, Serialize, ToSchema)]
struct SourceStatus {
    /// Name of the source.
    name: String,
    /// Number of servers that the node has from the source, including those in doubt.
    servers: usize,
    /// Time for which the source has been unreachable, in milliseconds; absent while it is reachable.
    #[serde(skip_serializing_if = "Option::is_none")]
    lost_ms: Option<u64>,
    /// Number of servers that the source has removed and that are kept for now, since too many were removed
    /// at once.
    in_doubt: usize,
}

/// A registration that is not used.
#[derive(Debug, Serialize, ToSchema)]
#[schema(as = LeftOut)]
struct OmittedRegistration {
    /// Name of the registration's node at the path.
    child: String,
    /// Reason for which the registration is not used.
    problem: String,
}

/// Status of a server in a pool.
#[derive(Debug, Serialize, ToSchema)]
struct ServerStatus {
    /// Id of the server.
    id: String,
    /// Whether the server accepts new requests.
    in_service: bool,
    /// Number of idle connections that are kept open to the server.
    idle_connections: usize,
}

/// Returns the status of a tenant on this node.
#[utoipa::path(get, path = "/v1/tenants/{tenant}/status", params(("tenant" = String, Path)),
    responses((status = 200, body = TenantStatus), (status = "default", body = Problem)))]
pub(super) async fn status(
    State(api): State<ApiState>,
    Extension(caller): Extension<Caller>,
    Path(name): Path<String>,
) -> ApiResult {
    caller.require_tenant_access(&name)?;
    let found =
        api.control.read(|catalogue| catalogue.active_tenant(&name).map(|tenant| (tenant.uid, tenant.state)));
    let (uid, state) = found.ok_or_else(|| tenant_not_found(&name))?;
    let tenant_status = api.control.tenant_status(uid).await.unwrap_or_default();
    let server = |observed: crate::pool::driver::ServerStatus| ServerStatus {
        id: observed.id,
        in_service: observed.in_service,
        idle_connections: observed.idle_connections,
    };
    let source = |source: woodgap_membership::SourceStatus| SourceStatus {
        name: source.name,
        servers: source.servers,
        lost_ms: source.unreachable_since,
        in_doubt: source.suspected,
    };
    let omitted = |omitted: woodgap_zookeeper::view::OmittedChild| OmittedRegistration {
        child: omitted.child,
        problem: omitted.problem,
    };
    let [served, refused, failed] = tenant_status.request_counts;
    let status = TenantStatus {
        name,
        uid,
        state,
        pools: tenant_status.pools,
        held: tenant_status.held_requests,
        connections: tenant_status.connections,
        served,
        refused,
        failed,
        core: tenant_status.core,
        servers: tenant_status.servers.into_iter().map(server).collect(),
        sources: tenant_status.sources.into_iter().map(source).collect(),
        left_out: tenant_status.omitted.into_iter().map(omitted).collect(),
        admission: tenant_status.admission.map(|queue| AdmissionStatus {
            waiting: queue.waiting,
            out: queue.in_flight,
            room: queue.concurrency_limit,
            rate_per_s: queue.rate_per_s,
            refused: queue.refused,
        }),
    };
    Ok(Json(status).into_response())
}
