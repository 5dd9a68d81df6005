//! The list of changes to the catalogue.

use std::time::Duration;

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::{Extension, Json};
use woodgap_tenancy::catalogue::Change;

use super::auth::Caller;
use super::documents::{ChangePage, ChangesQuery};
use super::parse::{page_limit, parse_query, QueryResult};
use super::problem::Problem;
use super::state::{ApiResult, ApiState};

/// Maximum time that `GET /v1/changes` waits for a new change.
pub const CHANGES_WAIT: Duration = Duration::from_secs(30);

/// Lists the changes after a revision; if there is none yet, waits for one, at most 30 s.
#[utoipa::path(get, path = "/v1/changes", params(ChangesQuery),
    responses((status = 200, body = ChangePage), (status = "default", body = Problem)))]
pub(super) async fn changes(
    State(api): State<ApiState>,
    Extension(caller): Extension<Caller>,
    query: QueryResult<ChangesQuery>,
) -> ApiResult {
    caller.require_operator()?;
    let ChangesQuery { after, limit } = parse_query(query)?;
    let limit = page_limit(limit)?;
    let mut revisions = api.control.revisions();
    let newer = tokio::time::timeout(CHANGES_WAIT, revisions.wait_for(|&revision| revision > after)).await;
    drop(newer);
    let page = api.control.read(|catalogue| {
        let changes: Option<Vec<Change>> =
            catalogue.changes_after(after).map(|c| c.take(limit).cloned().collect());
        let changes = changes.ok_or_else(|| {
            let detail = format!(
                "the history no longer reaches back to {after}: read all tenants, then continue from {}",
                catalogue.revision()
            );
            Problem::new(StatusCode::GONE, detail)
        })?;
        let revision = changes.last().map_or(after, |change| change.revision);
        Ok::<_, Problem>(ChangePage { changes, revision })
    })?;
    Ok(Json(page).into_response())
}
