//! Fleet handlers of the administration API: members, permits and their budgets, drains of this node and of
//! servers, and the operators' commands on them.
//!
//! The doc comments of documents and handlers are part of the published OpenAPI description.

use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::{header, HeaderMap, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post, put};
use axum::{Extension, Json, Router};
use serde::{Deserialize, Serialize};
use utoipa::{OpenApi, ToSchema};
use woodgap_permits::servers::{DrainOrder, ServerPool, StopReadiness};
use woodgap_permits::{
    Budget, BudgetLimit, Command, HistoryEntry, LedgerLimits, PermitPhase, Refusal, Scope,
};

use super::api::{parse_document, ApiResult, ApiState};
use super::auth::Caller;
use super::problem::Problem;
use crate::fleet::permits::{LimitsDigest, PermitsError, PermitsStatus};
use crate::fleet::{Permits, ServerDrains};

/// A member of the fleet, as this node sees it.
#[derive(Debug, Serialize, ToSchema)]
struct MemberLine {
    /// Name of the member.
    name: String,
    /// Zone of the member; empty if it has none.
    zone: String,
    /// Liveness of the member: `alive`, `suspect` or `dead`; `missing` if it is on the roster and has not
    /// been heard of; `registered` if this node has no `[fleet]` and knows the member only from its session.
    life: String,
    /// Lifecycle phase: `starting`, `ready`, `draining` or `out`; absent if unknown.
    #[serde(skip_serializing_if = "Option::is_none")]
    phase: Option<String>,
    /// Time since `life` last changed, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    since_ms: Option<u64>,
    /// Version of the program that the member runs.
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<String>,
    /// Digest of the member's configuration.
    #[serde(skip_serializing_if = "Option::is_none")]
    config: Option<String>,
    /// Time at which the member started, in Unix milliseconds by its own clock.
    #[serde(skip_serializing_if = "Option::is_none")]
    boot_ms: Option<u64>,
    /// Names of the members that suspect it.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    suspected_by: Vec<String>,
    /// Number of servers that the member reports as ejected; at most 4.
    ejects: usize,
}

/// A permit to be out of service, or a request for one.
#[derive(Debug, Serialize, ToSchema)]
struct PermitLine {
    /// Name of the node that holds or requests the permit.
    holder: String,
    /// Phase of the permit: `asked`, `granted`, `draining`, `out` or `returning`.
    phase: String,
    /// Time at which the phase began, in Unix milliseconds by the clock of the node that wrote it.
    since_ms: u64,
    /// Number of the grant; 0 before the permit is granted.
    fence: u64,
    /// Reason for which the permit was granted over a budget; absent if it was not.
    #[serde(skip_serializing_if = "Option::is_none")]
    forced: Option<String>,
    /// Obstacle to the grant; absent if the permit does not wait.
    #[serde(skip_serializing_if = "Option::is_none")]
    blocked: Option<Obstacle>,
}

/// The reason why a permit is not granted yet.
#[derive(Debug, Serialize, ToSchema)]
struct Obstacle {
    /// Scope of the exhausted budget: `fleet`, `zone NAME` or `pool NAME`; absent if grants are frozen or
    /// earlier requests go first.
    #[serde(skip_serializing_if = "Option::is_none")]
    budget: Option<String>,
    /// Number of members that the budget allows to be out now.
    allowed: u32,
    /// Names of the members that are out, with or without a permit, or whose requests go first; the reason if
    /// grants are frozen.
    by: Vec<String>,
}

/// A budget and its present use.
#[derive(Debug, Serialize, ToSchema)]
struct BudgetLine {
    /// Members that the budget applies to: `fleet`, `zone NAME` or `pool NAME`.
    scope: String,
    /// Maximum number of members that may be out at a time, as a count (`2`) or a percentage (`10%`).
    most_out: String,
    /// Minimum number of members that must stay up.
    least_up: u32,
    /// Names of the members that are out now, with or without a permit; absent while this node does not know
    /// which members are up.
    #[serde(skip_serializing_if = "Option::is_none")]
    out: Option<Vec<String>>,
}

/// An entry of the ledger's history: a grant by force, a permit that ended without the node's return, or a
/// member's removal.
#[derive(Debug, Serialize, ToSchema)]
#[schema(as = KeptLine)]
struct HistoryLine {
    /// Name of the node that the entry concerns.
    holder: String,
    /// Time of the entry, in Unix milliseconds.
    at_ms: u64,
    /// What happened and the reason.
    what: String,
}

/// The permit ledger.
#[derive(Debug, Serialize, ToSchema)]
struct PermitsDocument {
    /// Whether the coordination service is unreachable; if so, nothing is granted and the ledger is shown as
    /// last read.
    stale: bool,
    /// Whether this node does not know which members are up; if so, it grants nothing.
    unsure: bool,
    /// Reason for which grants are frozen; absent if they are not.
    #[serde(skip_serializing_if = "Option::is_none")]
    frozen: Option<String>,
    /// Budgets and their present use.
    budgets: Vec<BudgetLine>,
    /// Time for which a member that returned has to stay up before its permit ends, in milliseconds.
    hold_ms: u64,
    /// Maximum time from a grant until its node begins to drain, in milliseconds.
    act_ms: u64,
    /// Permits and requests for one, in the order of the requests.
    permits: Vec<PermitLine>,
    /// Latest entries of the ledger's history, oldest first.
    kept: Vec<HistoryLine>,
}

/// State of the fleet, as this node sees it.
#[derive(Debug, Serialize, ToSchema)]
struct FleetDocument {
    /// Name of this node.
    me: String,
    /// Standing of this node: `alone`, `together`, `catching` (catching up after a pause or a disconnection),
    /// `isolated` (it hears from no other member), or `unknown` without `[fleet]`.
    standing: String,
    /// Whether an operator has ordered this node to drain and exit.
    drains: bool,
    /// Members that are known or on the roster, in the order of their names.
    members: Vec<MemberLine>,
    /// Number of dropped datagrams, by reason.
    #[serde(skip_serializing_if = "std::collections::BTreeMap::is_empty")]
    dropped: std::collections::BTreeMap<String, u64>,
    /// The permit ledger; absent without `[permits]`.
    #[serde(skip_serializing_if = "Option::is_none")]
    permits: Option<PermitsDocument>,
}

/// An operator's reason for a command.
#[derive(Debug, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
struct Reason {
    /// Text of the reason; it is recorded with the caller's name and must not be blank.
    reason: String,
}

/// A budget as an operator writes it.
#[derive(Debug, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
struct BudgetSpec {
    /// Members that the budget applies to: `fleet`, `zone NAME` or `pool NAME`.
    scope: String,
    /// Maximum number of members that may be out at a time, as a count (`"2"`) or a percentage (`"10%"`).
    most_out: String,
    /// Minimum number of members that must stay up.
    #[serde(default)]
    least_up: u32,
}

/// Limits of the permit ledger.
#[derive(Debug, Serialize, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
struct BoundsSpec {
    /// Budgets, one for each scope.
    budgets: Vec<BudgetSpec>,
    /// Time for which a member that returned has to stay up before its permit ends, in milliseconds.
    hold_ms: u64,
    /// Maximum time from a grant until its node begins to drain, in milliseconds.
    act_ms: u64,
}

/// The OpenAPI description of the fleet's paths, which is merged into the description of the API.
#[derive(OpenApi)]
#[openapi(paths(
    fleet,
    get_bounds,
    set_bounds,
    freeze,
    unfreeze,
    cancel,
    force,
    forget,
    remove_member,
    drain,
    cancel_drain,
    servers,
    drain_server,
    end_server_drain
))]
pub(super) struct Description;

/// Routes of the fleet, which are merged into the API's router.
pub(super) fn router() -> Router<ApiState> {
    Router::new()
        .route("/v1/fleet", get(fleet))
        .route("/v1/fleet/bounds", get(get_bounds).put(set_bounds))
        .route("/v1/fleet/freeze", put(freeze).delete(unfreeze))
        .route("/v1/fleet/permits/{holder}", delete(cancel))
        .route("/v1/fleet/permits/{holder}/force", post(force))
        .route("/v1/fleet/permits/{holder}/forget", post(forget))
        .route("/v1/fleet/members/{member}/strike", post(remove_member))
        .route("/v1/drain", put(drain).delete(cancel_drain))
        .route("/v1/servers", get(servers))
        .route("/v1/servers/{address}/drain", put(drain_server).delete(end_server_drain))
}

impl From<PermitsError> for Problem {
    fn from(error: PermitsError) -> Problem {
        let detail = error.to_string();
        match error {
            PermitsError::Unreadable(_) | PermitsError::Unreachable => {
                Problem::new(StatusCode::SERVICE_UNAVAILABLE, detail)
            }
            PermitsError::LimitExceeded(_) => Problem::new(StatusCode::INSUFFICIENT_STORAGE, detail),
            PermitsError::LimitsChanged(tag) => {
                Problem::new(StatusCode::PRECONDITION_FAILED, detail).with_etag(format_etag(tag))
            }
            PermitsError::Refused(refusal) => {
                let status = match refusal {
                    Refusal::UnknownMember(_) | Refusal::NoPermit(_) => StatusCode::NOT_FOUND,
                    Refusal::OtherPermitExists { .. }
                    | Refusal::StaleFence { .. }
                    | Refusal::AlreadyBegun { .. } => StatusCode::CONFLICT,
                    Refusal::BudgetExceeded { .. } | Refusal::OutOfBounds(_) => {
                        StatusCode::UNPROCESSABLE_ENTITY
                    }
                };
                Problem::new(status, detail)
            }
        }
    }
}

fn format_etag(tag: LimitsDigest) -> String {
    format!("\"p{tag:016x}\"")
}

fn phase_name(phase: PermitPhase) -> String {
    format!("{phase:?}").to_lowercase()
}

fn permits_document(standing: &PermitsStatus) -> Option<PermitsDocument> {
    let ledger = standing.ledger.as_ref()?;
    let snapshot = standing.up.as_ref().map(|up| ledger.snapshot(crate::control::now_ms(), up));
    let budget = |budget: &Budget| BudgetLine {
        scope: budget.scope.to_string(),
        most_out: budget.most_out.to_string(),
        least_up: budget.least_up,
        out: snapshot.as_ref().map(|snapshot| ledger.members_out(snapshot, &budget.scope)),
    };
    let obstacle = |holder: &str| {
        let blocked = standing.blocked.get(holder)?;
        Some(Obstacle {
            budget: blocked.scope.as_ref().map(Scope::to_string),
            allowed: blocked.allowed,
            by: blocked.by.clone(),
        })
    };
    let permits = ledger.permits.iter().map(|permit| PermitLine {
        holder: permit.holder.clone(),
        phase: phase_name(permit.phase),
        since_ms: permit.since,
        fence: permit.fence,
        forced: permit.forced.clone(),
        blocked: obstacle(&permit.holder),
    });
    let kept = |kept: &HistoryEntry| HistoryLine {
        holder: kept.holder.clone(),
        at_ms: kept.at,
        what: kept.what.clone(),
    };
    Some(PermitsDocument {
        stale: standing.stale,
        unsure: standing.up.is_none(),
        frozen: ledger.frozen.clone(),
        budgets: ledger.budgets.iter().map(budget).collect(),
        hold_ms: ledger.hold_ms,
        act_ms: ledger.act_ms,
        permits: permits.collect(),
        kept: ledger.kept.iter().map(kept).collect(),
    })
}

/// Returns the members of the fleet and the permit ledger. The ETag covers the whole document.
#[utoipa::path(get, path = "/v1/fleet",
    responses((status = 200, body = FleetDocument),
        (status = 304, description = "The document still has the ETag in If-None-Match."),
        (status = "default", body = Problem)))]
async fn fleet(
    State(api): State<ApiState>,
    Extension(caller): Extension<Caller>,
    headers: HeaderMap,
) -> ApiResult {
    caller.require_operator()?;
    let fleet = &api.control.fleet;
    let view = fleet.members.as_ref().map(|members| members.view().borrow().clone());
    let standing = fleet.permits.as_ref().map(Permits::status);
    if view.is_none() && standing.is_none() {
        let detail = "this node belongs to no fleet: see [fleet] and [permits] in its configuration";
        return Err(Problem::new(StatusCode::NOT_FOUND, detail));
    }
    let mut lines: std::collections::BTreeMap<String, MemberLine> = std::collections::BTreeMap::new();
    let unknown_member = |name: &str, life: &str| MemberLine {
        name: name.to_owned(),
        zone: String::new(),
        life: life.to_owned(),
        phase: None,
        since_ms: None,
        version: None,
        config: None,
        boot_ms: None,
        suspected_by: Vec::new(),
        ejects: 0,
    };
    if let Some(standing) = &standing {
        let roster = standing.ledger.iter().flat_map(|ledger| &ledger.roster);
        for (name, scopes) in roster {
            let is_up = standing.up.as_ref().is_some_and(|up| up.contains(name));
            let mut line =
                unknown_member(name, if is_up && view.is_none() { "registered" } else { "missing" });
            let zone = scopes.iter().find_map(|scope| match scope {
                Scope::Zone(zone) => Some(zone.clone()),
                _ => None,
            });
            line.zone = zone.unwrap_or_default();
            lines.insert(name.clone(), line);
        }
    }
    for member in view.iter().flat_map(|view| &view.members) {
        let line = lines.entry(member.name.clone()).or_insert_with(|| unknown_member(&member.name, ""));
        if line.zone.is_empty() {
            line.zone = member.zone.clone();
        }
        line.life = format!("{:?}", member.life).to_lowercase();
        line.phase = Some(format!("{:?}", member.phase).to_lowercase());
        line.since_ms = Some(member.since_ms);
        line.version = Some(member.version.clone());
        line.config = Some(member.config.clone());
        line.boot_ms = Some(member.boot_ms);
        line.suspected_by = member.suspected_by.clone();
        line.ejects = member.ejects.iter().filter(|mark| **mark != 0).count();
    }
    let me = view.as_ref().map(|view| view.me.clone());
    let document = FleetDocument {
        me: me
            .or_else(|| fleet.permits.as_ref().map(|permits| permits.node_name().to_owned()))
            .unwrap_or_default(),
        standing: view.as_ref().map_or("unknown", |view| view.standing).to_owned(),
        drains: fleet.is_draining(),
        members: lines.into_values().collect(),
        dropped: view.map(|view| view.dropped).unwrap_or_default(),
        permits: standing.as_ref().and_then(permits_document),
    };
    let text = serde_json::to_vec(&document).unwrap_or_default();
    let tag = format_etag(xxhash_rust::xxh3::xxh3_64(&text));
    Ok(with_etag_header(
        if headers.get(header::IF_NONE_MATCH).is_some_and(|seen| seen.as_bytes() == tag.as_bytes()) {
            StatusCode::NOT_MODIFIED.into_response()
        } else {
            ([(header::CONTENT_TYPE, "application/json")], text).into_response()
        },
        &tag,
    ))
}

fn with_etag_header(mut response: Response, tag: &str) -> Response {
    if let Ok(value) = HeaderValue::from_str(tag) {
        response.headers_mut().insert(header::ETAG, value);
    }
    response
}

fn permits(api: &ApiState) -> Result<&Permits, Problem> {
    let not_configured = || {
        let detail = "this node uses no permits: see [permits] in its configuration";
        Problem::new(StatusCode::NOT_FOUND, detail)
    };
    api.control.fleet.permits.as_ref().ok_or_else(not_configured)
}

/// Applies an operator's command to the permit ledger and logs it. `expected` is the ETag that the caller has
/// read.
async fn command(
    api: &ApiState,
    caller: &Caller,
    command: Command,
    expected: Option<LimitsDigest>,
) -> ApiResult {
    caller.require_operator()?;
    let permits = permits(api)?;
    let description = format!("{command:?}");
    permits.command(command, expected).await?;
    tracing::info!("permits: {} applied {description}", caller.name);
    Ok(StatusCode::NO_CONTENT.into_response())
}

/// Reads the operator's reason from the body and appends the caller's name, since the ledger keeps both.
async fn reason(caller: &Caller, headers: &HeaderMap, body: Body) -> Result<String, Problem> {
    caller.require_operator()?;
    let Reason { reason } = parse_document(headers, body).await?;
    if reason.trim().is_empty() {
        return Err(Problem::field(
            StatusCode::UNPROCESSABLE_ENTITY,
            "reason",
            "give a reason: it is recorded",
        ));
    }
    Ok(format!("{reason} ({})", caller.name))
}

fn budget(spec: &BudgetSpec) -> Result<Budget, Problem> {
    let invalid = |field: &str, hint: &str| {
        Problem::field(StatusCode::UNPROCESSABLE_ENTITY, format!("budgets.{}.{field}", spec.scope), hint)
    };
    let scope = match spec.scope.split_once(' ') {
        None if spec.scope == "fleet" => Scope::Fleet,
        Some(("zone", name)) if !name.is_empty() => Scope::Zone(name.to_owned()),
        Some(("pool", name)) if !name.is_empty() => Scope::Pool(name.to_owned()),
        _ => return Err(invalid("scope", "give fleet, zone NAME or pool NAME")),
    };
    let most_out = match spec.most_out.strip_suffix('%') {
        Some(part) => part.parse().ok().filter(|part| (1..=100).contains(part)).map(BudgetLimit::Percent),
        None => spec.most_out.parse().ok().map(BudgetLimit::Count),
    };
    let most_out =
        most_out.ok_or_else(|| invalid("most_out", "give a count (\"2\") or a percentage (\"10%\")"))?;
    Ok(Budget { scope, most_out, least_up: spec.least_up })
}

/// Returns the limits of the permit ledger, with the ETag that a change of them requires.
#[utoipa::path(get, path = "/v1/fleet/bounds",
    responses((status = 200, body = BoundsSpec), (status = "default", body = Problem)))]
async fn get_bounds(State(api): State<ApiState>, Extension(caller): Extension<Caller>) -> ApiResult {
    caller.require_operator()?;
    let ledger = permits(&api)?.status().ledger.ok_or_else(|| {
        let detail = "the ledger has not been read yet: the coordination service is unreachable";
        Problem::new(StatusCode::SERVICE_UNAVAILABLE, detail)
    })?;
    let (bounds, tag) = crate::fleet::permits::ledger_limits(&ledger);
    let budget = |budget: &Budget| BudgetSpec {
        scope: budget.scope.to_string(),
        most_out: budget.most_out.to_string(),
        least_up: budget.least_up,
    };
    let budgets = bounds.budgets.iter().map(budget).collect();
    let spec = BoundsSpec { budgets, hold_ms: bounds.hold_ms, act_ms: bounds.act_ms };
    Ok(with_etag_header(Json(spec).into_response(), &format_etag(tag)))
}

/// Replaces the limits of the permit ledger, if they still have the ETag in `If-Match`.
#[utoipa::path(put, path = "/v1/fleet/bounds", request_body = BoundsSpec,
    responses((status = 204, description = "The limits are replaced."),
        (status = "default", body = Problem)))]
async fn set_bounds(
    State(api): State<ApiState>,
    Extension(caller): Extension<Caller>,
    headers: HeaderMap,
    body: Body,
) -> ApiResult {
    caller.require_operator()?;
    let expected = headers.get(header::IF_MATCH).and_then(|value| value.to_str().ok());
    let Some(expected) = expected else {
        let detail = "send If-Match with the ETag of GET /v1/fleet/bounds, so that no other change is lost";
        return Err(Problem::new(StatusCode::PRECONDITION_REQUIRED, detail));
    };
    // An ETag of another form is replaced by one that matches no version.
    let expected = expected.strip_prefix("\"p").and_then(|etag| etag.strip_suffix('"'));
    let expected =
        expected.and_then(|etag| LimitsDigest::from_str_radix(etag, 16).ok()).unwrap_or(LimitsDigest::MAX);
    let spec: BoundsSpec = parse_document(&headers, body).await?;
    let budgets = spec.budgets.iter().map(budget).collect::<Result<_, _>>()?;
    let bounds = LedgerLimits { budgets, hold_ms: spec.hold_ms, act_ms: spec.act_ms };
    command(&api, &caller, Command::Bounds(bounds), Some(expected)).await
}

/// Freezes grants: no further permit is granted.
#[utoipa::path(put, path = "/v1/fleet/freeze", request_body = Reason,
    responses((status = 204, description = "Grants are frozen."), (status = "default", body = Problem)))]
async fn freeze(
    State(api): State<ApiState>,
    Extension(caller): Extension<Caller>,
    headers: HeaderMap,
    body: Body,
) -> ApiResult {
    let reason = reason(&caller, &headers, body).await?;
    command(&api, &caller, Command::Freeze(Some(reason)), None).await
}

/// Ends a freeze of grants.
#[utoipa::path(delete, path = "/v1/fleet/freeze", operation_id = "thaw",
    responses((status = 204, description = "Grants continue."), (status = "default", body = Problem)))]
async fn unfreeze(State(api): State<ApiState>, Extension(caller): Extension<Caller>) -> ApiResult {
    command(&api, &caller, Command::Freeze(None), None).await
}

/// Cancels a permit that is requested or granted and whose drain has not begun.
#[utoipa::path(delete, path = "/v1/fleet/permits/{holder}", params(("holder" = String, Path)),
    responses((status = 204, description = "The permit is cancelled."),
        (status = "default", body = Problem)))]
async fn cancel(
    State(api): State<ApiState>,
    Extension(caller): Extension<Caller>,
    Path(holder): Path<String>,
) -> ApiResult {
    command(&api, &caller, Command::Cancel { holder }, None).await
}

/// Grants a permit regardless of the budgets.
#[utoipa::path(post, path = "/v1/fleet/permits/{holder}/force", params(("holder" = String, Path)),
    request_body = Reason,
    responses((status = 204, description = "The permit is granted."), (status = "default", body = Problem)))]
async fn force(
    State(api): State<ApiState>,
    Extension(caller): Extension<Caller>,
    Path(holder): Path<String>,
    headers: HeaderMap,
    body: Body,
) -> ApiResult {
    let reason = reason(&caller, &headers, body).await?;
    command(&api, &caller, Command::Force { holder, reason }, None).await
}

/// Ends the permit of a node that will not return.
#[utoipa::path(post, path = "/v1/fleet/permits/{holder}/forget", params(("holder" = String, Path)),
    request_body = Reason,
    responses((status = 204, description = "The permit has ended."), (status = "default", body = Problem)))]
async fn forget(
    State(api): State<ApiState>,
    Extension(caller): Extension<Caller>,
    Path(holder): Path<String>,
    headers: HeaderMap,
    body: Body,
) -> ApiResult {
    let reason = reason(&caller, &headers, body).await?;
    command(&api, &caller, Command::Forget { holder, reason }, None).await
}

/// Removes a member from the roster permanently, so that it no longer counts as missing.
#[utoipa::path(post, path = "/v1/fleet/members/{member}/strike", operation_id = "strike",
    params(("member" = String, Path)), request_body = Reason,
    responses((status = 204, description = "The member is removed from the roster."),
        (status = "default", body = Problem)))]
async fn remove_member(
    State(api): State<ApiState>,
    Extension(caller): Extension<Caller>,
    Path(member): Path<String>,
    headers: HeaderMap,
    body: Body,
) -> ApiResult {
    let reason = reason(&caller, &headers, body).await?;
    command(&api, &caller, Command::Strike { holder: member, reason }, None).await
}

/// Orders this node to request a permit and, once it is granted, to drain and exit.
#[utoipa::path(put, path = "/v1/drain",
    responses((status = 202, description = "The order is accepted; the node requests a permit."),
        (status = "default", body = Problem)))]
async fn drain(State(api): State<ApiState>, Extension(caller): Extension<Caller>) -> ApiResult {
    caller.require_operator()?;
    api.control.fleet.set_draining(true);
    tracing::info!("{} ordered this node to drain", caller.name);
    Ok(StatusCode::ACCEPTED.into_response())
}

/// Withdraws the order to drain this node, unless the drain has begun.
#[utoipa::path(delete, path = "/v1/drain", operation_id = "stay",
    responses((status = 202, description = "The order is withdrawn, unless the drain has begun."),
        (status = "default", body = Problem)))]
async fn cancel_drain(
    State(api): State<ApiState>,
    Extension(caller): Extension<Caller>,
) -> Result<Response, Problem> {
    caller.require_operator()?;
    api.control.fleet.set_draining(false);
    Ok(StatusCode::ACCEPTED.into_response())
}

/// A server with a drain order.
#[derive(Debug, Serialize, ToSchema)]
struct ServerLine {
    /// Address on which the server listens, with its port.
    address: String,
    /// Number of the order.
    number: u64,
    /// Time of the order, in Unix milliseconds by the clock of the node that wrote it.
    since_ms: u64,
    /// Reason for the order, with the name of the caller.
    reason: String,
    /// State of the drain. `safe`: the server may be stopped. `waits`: the nodes in `nodes` are alive and
    /// have not finished with it. `not_known`: the nodes in `nodes` may still send to it, and their state is
    /// unknown. `back`: the drain was ended and the server is in service again.
    state: String,
    /// Names of the nodes that keep the server from being safe to stop; absent if there are none.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    nodes: Vec<String>,
}

/// The servers with a drain order.
#[derive(Debug, Serialize, ToSchema)]
struct ServersDocument {
    /// Servers, in the order of their addresses.
    servers: Vec<ServerLine>,
}

fn drains(api: &ApiState) -> Result<&ServerDrains, Problem> {
    let not_configured = || {
        let detail = "this node does not drain servers by order: see [permits.servers] in its configuration";
        Problem::new(StatusCode::NOT_FOUND, detail)
    };
    api.control.fleet.server_drains.as_ref().ok_or_else(not_configured)
}

fn servers_document(drains: &ServerDrains) -> Result<ServersDocument, Problem> {
    let (orders, readiness) = drains.readiness_by_server()?;
    let line = |(address, order): (&String, &DrainOrder)| {
        let (state, nodes) = match readiness.get(address) {
            None => ("back", Vec::new()),
            Some(StopReadiness::Safe) => ("safe", Vec::new()),
            Some(StopReadiness::Waits { nodes }) => ("waits", nodes.clone()),
            Some(StopReadiness::NotKnown { nodes }) => ("not_known", nodes.clone()),
        };
        ServerLine {
            address: address.clone(),
            number: order.number,
            since_ms: order.since,
            reason: order.reason.clone(),
            state: state.to_owned(),
            nodes,
        }
    };
    Ok(ServersDocument { servers: orders.servers.iter().map(line).collect() })
}

/// Lists the servers with a drain order and whether they may be stopped.
#[utoipa::path(get, path = "/v1/servers",
    responses((status = 200, body = ServersDocument), (status = "default", body = Problem)))]
async fn servers(State(api): State<ApiState>, Extension(caller): Extension<Caller>) -> ApiResult {
    caller.require_operator()?;
    Ok(Json(servers_document(drains(&api)?)?).into_response())
}

/// Orders a drain of a server at all nodes, or ends it if `back`, and responds with the order's number.
async fn order(api: &ApiState, caller: &Caller, address: &str, reason: String, back: bool) -> ApiResult {
    caller.require_operator()?;
    let drains = drains(api)?;
    let server: std::net::SocketAddr = address.parse().map_err(|_| {
        let hint = "give the server's address and port as the nodes have it, such as 10.0.0.7:8080";
        Problem::field(StatusCode::UNPROCESSABLE_ENTITY, "address", hint)
    })?;
    let mut budgets = drains.budgets()?;
    let lists = api.control.servers(budgets.keys().cloned().collect()).await;
    let pool = |(name, servers): crate::hosted::TenantServers| {
        let budget = budgets.remove(&name)?;
        let in_service = |(addr, listed): (std::net::SocketAddr, bool)| {
            (addr.to_string(), listed && !drains.is_ejected_by_majority(&addr))
        };
        let servers = servers.into_iter().map(in_service).collect();
        Some(ServerPool { name, budget, servers })
    };
    let pools = lists.into_iter().filter_map(pool).collect();
    let number = drains.change_order(server, reason, back, pools).await?;
    let action = if back { "ended the drain of" } else { "drains" };
    tracing::info!("drains: {} {action} {server}, order {number}", caller.name);
    Ok((StatusCode::ACCEPTED, Json(serde_json::json!({ "number": number }))).into_response())
}

/// Orders a drain of a server at all nodes, if the budgets of its pools allow it. The server gets no new
/// requests, and `/v1/servers` reports when it may be stopped.
#[utoipa::path(put, path = "/v1/servers/{address}/drain", params(("address" = String, Path)),
    request_body = Reason,
    responses((status = 202, description = "The drain is ordered; the body has the number of the order."),
        (status = "default", body = Problem)))]
async fn drain_server(
    State(api): State<ApiState>,
    Extension(caller): Extension<Caller>,
    Path(address): Path<String>,
    headers: HeaderMap,
    body: Body,
) -> ApiResult {
    let reason = reason(&caller, &headers, body).await?;
    order(&api, &caller, &address, reason, false).await
}

/// Ends the drain of a server: all nodes treat it as one that has just started.
#[utoipa::path(delete, path = "/v1/servers/{address}/drain", operation_id = "take_back",
    params(("address" = String, Path)),
    responses(
        (status = 202, description = "The end of the drain is ordered; the body has the number of the order."),
        (status = "default", body = Problem)
    ))]
async fn end_server_drain(
    State(api): State<ApiState>,
    Extension(caller): Extension<Caller>,
    Path(address): Path<String>,
) -> ApiResult {
    let reason = format!("taken back ({})", caller.name);
    order(&api, &caller, &address, reason, true).await
}
