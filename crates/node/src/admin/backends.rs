//! Handlers of the servers of a tenant.

use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::IntoResponse;
use axum::{Extension, Json};
use woodgap_tenancy::catalogue::Change;
use woodgap_tenancy::{BackendSpec, Condition, Edit};

use super::auth::Caller;
use super::documents::{backend_document, BackendDocument, BackendPage};
use super::parse::{parse_condition, parse_document, response_with_etag, tenant_not_found};
use super::problem::Problem;
use super::state::{ApiResult, ApiState};

/// Lists the servers of a tenant.
#[utoipa::path(get, path = "/v1/tenants/{tenant}/backends", params(("tenant" = String, Path)),
    responses((status = 200, body = BackendPage), (status = "default", body = Problem)))]
pub(super) async fn list_backends(
    State(api): State<ApiState>,
    Extension(caller): Extension<Caller>,
    Path(name): Path<String>,
) -> ApiResult {
    caller.require_tenant_access(&name)?;
    let found = api.control.read(|catalogue| {
        let tenant = catalogue.active_tenant(&name)?;
        Some(tenant.backends.iter().map(backend_document).collect())
    });
    let backends = found.ok_or_else(|| tenant_not_found(&name))?;
    Ok(Json(BackendPage { backends }).into_response())
}

/// Returns the document of a server, with its ETag.
#[utoipa::path(get, path = "/v1/tenants/{tenant}/backends/{backend}",
    params(("tenant" = String, Path), ("backend" = String, Path)),
    responses((status = 200, body = BackendDocument), (status = "default", body = Problem)))]
pub(super) async fn get_backend(
    State(api): State<ApiState>,
    Extension(caller): Extension<Caller>,
    Path((name, id)): Path<(String, String)>,
) -> ApiResult {
    caller.require_tenant_access(&name)?;
    let found =
        api.control.read(|catalogue| {
            let tenant = catalogue.active_tenant(&name).ok_or_else(|| tenant_not_found(&name))?;
            tenant.backends.get_key_value(&id).map(backend_document).ok_or_else(|| {
                Problem::new(StatusCode::NOT_FOUND, format!("tenant {name} has no server {id}"))
            })
        });
    let document = found?;
    Ok(response_with_etag(StatusCode::OK, document.revision, document))
}

/// Adds a server (`If-None-Match: *`) or replaces its document (`If-Match`).
#[utoipa::path(put, path = "/v1/tenants/{tenant}/backends/{backend}",
    params(("tenant" = String, Path), ("backend" = String, Path)), request_body = BackendSpec,
    responses((status = 200, body = BackendDocument), (status = 201, body = BackendDocument),
        (status = "default", body = Problem)))]
pub(super) async fn put_backend(
    State(api): State<ApiState>,
    Extension(caller): Extension<Caller>,
    Path((tenant, backend)): Path<(String, String)>,
    headers: HeaderMap,
    body: Body,
) -> ApiResult {
    caller.require_tenant_access(&tenant)?;
    let condition = parse_condition(&headers)?;
    let spec: BackendSpec = parse_document(&headers, body).await?;
    let edit = Edit::PutBackend { tenant: tenant.clone(), backend: backend.clone(), spec: spec.clone() };
    let Change { uid, revision, at_ms, .. } = api.control.change(edit, condition, caller.name).await?;
    let status = if condition == Condition::IfNoneMatch { StatusCode::CREATED } else { StatusCode::OK };
    let present = api.control.read(|catalogue| {
        let backend = catalogue.tenant(uid)?.backends.get(&backend)?;
        (backend.revision == revision).then_some(backend.added_ms)
    });
    let added_ms = present.unwrap_or(at_ms);
    Ok(response_with_etag(status, revision, BackendDocument { id: backend, revision, added_ms, spec }))
}

/// Removes a server: it gets no new requests, and requests in flight may finish.
#[utoipa::path(delete, path = "/v1/tenants/{tenant}/backends/{backend}",
    params(("tenant" = String, Path), ("backend" = String, Path)),
    responses((status = 200, body = Change), (status = "default", body = Problem)))]
pub(super) async fn delete_backend(
    State(api): State<ApiState>,
    Extension(caller): Extension<Caller>,
    Path((tenant, backend)): Path<(String, String)>,
    headers: HeaderMap,
) -> ApiResult {
    caller.require_tenant_access(&tenant)?;
    let condition = parse_condition(&headers)?;
    let change = api.control.change(Edit::DeleteBackend { tenant, backend }, condition, caller.name).await?;
    Ok(Json(change).into_response())
}
