//! Routes of the administration API under `/v1`, their authentication, and the API's OpenAPI 3.1 description, which is
//! generated from the types.
//!
//! The doc comments of documents and handlers are part of the published description.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Request, State};
use axum::http::{header, HeaderValue, StatusCode};
use axum::middleware::{from_fn_with_state, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use utoipa::openapi::security::{Http, HttpAuthScheme, SecurityScheme};
use utoipa::OpenApi;
use woodgap_tenancy::{BackendSpec, FieldFault, TenantSpec};

use super::auth::Tokens;
// The derived description needs a generated item beside each handler, which has no documented name.
use super::backends::*;
use super::changes::*;
pub(super) use super::parse::parse_document;
use super::problem::Problem;
pub(super) use super::state::{ApiResult, ApiState};
use super::status::*;
use super::tenants::*;
use crate::control::Control;

/// Header of responses to reads while the shared store is unreachable: for how many seconds it has been
/// unreachable.
pub const STALE_HEADER: header::HeaderName = header::HeaderName::from_static("x-catalogue-stale");
/// Maximum duration of a request; `GET /v1/changes` has this in addition to its wait.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

#[derive(OpenApi)]
#[openapi(
    info(
        title = "woodgap administration",
        description = "Manages the tenants, the servers and the fleet of a running node."
    ),
    paths(
        list_tenants, get_tenant, put_tenant, delete_tenant,
        list_backends, get_backend, put_backend, delete_backend,
        status, changes, openapi
    ),
    components(schemas(Problem, FieldFault, TenantSpec, BackendSpec)),
    security(("token" = []))
)]
/// The OpenAPI description of the paths of this module and of the API as a whole.
struct Description;

/// The OpenAPI description of the whole API, the fleet's paths included.
pub(crate) fn description() -> utoipa::openapi::OpenApi {
    let mut description = Description::openapi();
    description.merge(super::fleet::Description::openapi());
    let token = SecurityScheme::Http(Http::new(HttpAuthScheme::Bearer));
    description.components.get_or_insert_default().security_schemes.insert("token".to_owned(), token.into());
    description
}

/// Routes of the whole API; all of them require a token.
pub(crate) fn router(control: Arc<Control>, tokens: Tokens) -> Router {
    let api = ApiState { control, tokens: Arc::new(tokens) };
    let tenant = get(get_tenant).put(put_tenant).delete(delete_tenant);
    let backend = get(get_backend).put(put_backend).delete(delete_backend);
    let method_not_allowed = || async {
        Problem::new(StatusCode::METHOD_NOT_ALLOWED, "/v1/openapi.json lists the methods of each path")
    };
    let not_found = || async {
        Problem::new(StatusCode::NOT_FOUND, "there is no such path; /v1/openapi.json lists them")
    };
    Router::new()
        .route("/v1/tenants", get(list_tenants))
        .route("/v1/tenants/{tenant}", tenant)
        .route("/v1/tenants/{tenant}/status", get(status))
        .route("/v1/tenants/{tenant}/backends", get(list_backends))
        .route("/v1/tenants/{tenant}/backends/{backend}", backend)
        .route("/v1/changes", get(changes))
        .route("/v1/openapi.json", get(openapi))
        .merge(super::fleet::router())
        .method_not_allowed_fallback(method_not_allowed)
        .fallback(not_found)
        .layer(from_fn_with_state(api.clone(), authenticate))
        .with_state(api)
}

/// Middleware that admits requests with a known token, limits their duration and marks reads from a stale
/// catalogue.
async fn authenticate(State(api): State<ApiState>, mut request: Request, next: Next) -> Response {
    let bearer = |value: &HeaderValue| {
        let (scheme, secret) = value.to_str().ok()?.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| secret.trim().to_owned())
    };
    let secret = request.headers().get(header::AUTHORIZATION).and_then(bearer);
    let Some(caller) = secret.and_then(|secret| api.tokens.caller(&secret)) else {
        let problem =
            Problem::new(StatusCode::UNAUTHORIZED, "send Authorization: Bearer with a token of this node");
        let mut response = problem.into_response();
        // The body is not read, so the connection cannot be reused.
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        return response;
    };
    request.extensions_mut().insert(caller);
    let is_read = request.method() == axum::http::Method::GET;
    let timeout =
        if request.uri().path() == "/v1/changes" { CHANGES_WAIT + REQUEST_TIMEOUT } else { REQUEST_TIMEOUT };
    match tokio::time::timeout(timeout, next.run(request)).await {
        Ok(mut response) => {
            if let Some((since, _)) = api.control.staleness().filter(|_| is_read) {
                response.headers_mut().insert(STALE_HEADER, HeaderValue::from(since.elapsed().as_secs()));
            }
            response
        }
        Err(_) => {
            Problem::new(StatusCode::REQUEST_TIMEOUT, "send the whole request without pauses").into_response()
        }
    }
}

/// Returns the OpenAPI description of the API.
#[utoipa::path(get, path = "/v1/openapi.json",
    responses((status = 200, description = "The description, in OpenAPI 3.1.")))]
async fn openapi() -> Response {
    Json(description()).into_response()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn description_is_openapi_3_1_and_lists_every_path() {
        let text = serde_json::to_value(description()).unwrap();
        assert!(text["openapi"].as_str().unwrap().starts_with("3.1"), "{}", text["openapi"]);
        let paths = text["paths"].as_object().unwrap();
        assert_eq!(paths.len(), 17);
        assert!(paths["/v1/tenants/{tenant}"].get("put").is_some());
        let fields = &text["components"]["schemas"]["TenantSpec"]["properties"];
        assert!(fields.get("quota_per_s").is_some() && fields.get("match").is_some(), "{fields}");
        assert_eq!(text["components"]["securitySchemes"]["token"]["scheme"], "bearer");
    }
}
