//! Handlers of tenants.

use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::IntoResponse;
use axum::{Extension, Json};
use woodgap_tenancy::catalogue::{Change, Tenant};
use woodgap_tenancy::{Condition, Edit, TenantSpec, TenantState};

use super::auth::Caller;
use super::documents::{tenant_document, TenantDocument, TenantLine, TenantPage, TenantsQuery};
use super::parse::{
    page_limit, parse_condition, parse_document, parse_query, response_with_etag, tenant_not_found,
    QueryResult,
};
use super::problem::Problem;
use super::state::{ApiResult, ApiState};

/// Lists the tenants by name, one page at a time.
#[utoipa::path(get, path = "/v1/tenants", params(TenantsQuery),
    responses((status = 200, body = TenantPage), (status = "default", body = Problem)))]
pub(super) async fn list_tenants(
    State(api): State<ApiState>,
    Extension(caller): Extension<Caller>,
    query: QueryResult<TenantsQuery>,
) -> ApiResult {
    caller.require_operator()?;
    let TenantsQuery { after, limit, state } = parse_query(query)?;
    let limit = page_limit(limit)?;
    let summary = |tenant: &Tenant| TenantLine {
        name: tenant.name.clone(),
        uid: tenant.uid,
        revision: tenant.revision,
        state: tenant.state,
        backends: tenant.backends.len(),
    };
    let page = api.control.read(|catalogue| {
        let revision = catalogue.revision();
        if state == Some(TenantState::Draining) {
            let draining = catalogue.tenants().filter(|tenant| tenant.state == TenantState::Draining);
            return TenantPage { tenants: draining.take(limit).map(summary).collect(), next: None, revision };
        }
        let mut tenants: Vec<TenantLine> = catalogue.page(after.as_deref(), limit + 1).map(summary).collect();
        let more = tenants.len() > limit;
        tenants.truncate(limit);
        let next = tenants.last().filter(|_| more).map(|tenant| tenant.name.clone());
        TenantPage { tenants, next, revision }
    });
    Ok(Json(page).into_response())
}

/// Returns the document of a tenant, with its ETag.
#[utoipa::path(get, path = "/v1/tenants/{tenant}", params(("tenant" = String, Path)),
    responses((status = 200, body = TenantDocument), (status = "default", body = Problem)))]
pub(super) async fn get_tenant(
    State(api): State<ApiState>,
    Extension(caller): Extension<Caller>,
    Path(name): Path<String>,
) -> ApiResult {
    caller.require_tenant_access(&name)?;
    let found = api.control.read(|catalogue| catalogue.active_tenant(&name).map(tenant_document));
    let document = found.ok_or_else(|| tenant_not_found(&name))?;
    Ok(response_with_etag(StatusCode::OK, document.revision, document))
}

/// Creates a tenant (`If-None-Match: *`) or replaces its document (`If-Match`).
#[utoipa::path(put, path = "/v1/tenants/{tenant}", params(("tenant" = String, Path)),
    request_body = TenantSpec,
    responses((status = 200, body = TenantDocument), (status = 201, body = TenantDocument),
        (status = "default", body = Problem)))]
pub(super) async fn put_tenant(
    State(api): State<ApiState>,
    Extension(caller): Extension<Caller>,
    Path(tenant): Path<String>,
    headers: HeaderMap,
    body: Body,
) -> ApiResult {
    caller.require_operator()?;
    let condition = parse_condition(&headers)?;
    let spec: TenantSpec = parse_document(&headers, body).await?;
    let edit = Edit::PutTenant { tenant: tenant.clone(), spec: spec.clone() };
    let Change { uid, revision, .. } = api.control.change(edit, condition, caller.name).await?;
    let status = if condition == Condition::IfNoneMatch { StatusCode::CREATED } else { StatusCode::OK };
    // The document as this request wrote it: another write may have replaced it since.
    Ok(response_with_etag(
        status,
        revision,
        TenantDocument { name: tenant, uid, revision, state: TenantState::Active, spec },
    ))
}

/// Deletes a tenant. Its name can be used again at once, and its requests in flight may finish.
#[utoipa::path(delete, path = "/v1/tenants/{tenant}", params(("tenant" = String, Path)),
    responses((status = 202, body = Change), (status = "default", body = Problem)))]
pub(super) async fn delete_tenant(
    State(api): State<ApiState>,
    Extension(caller): Extension<Caller>,
    Path(tenant): Path<String>,
    headers: HeaderMap,
) -> ApiResult {
    caller.require_operator()?;
    let condition = parse_condition(&headers)?;
    let change = api.control.change(Edit::DeleteTenant { tenant }, condition, caller.name).await?;
    Ok((StatusCode::ACCEPTED, Json(change)).into_response())
}
