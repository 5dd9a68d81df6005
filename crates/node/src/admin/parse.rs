//! Parses the parts of requests to the administration API, and builds responses that have an ETag.

use axum::body::Body;
use axum::extract::Query;
use axum::http::{header, HeaderMap, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::Json;
use serde::de::DeserializeOwned;
use serde::Serialize;
use woodgap_tenancy::catalogue::{Etag, Revision};
use woodgap_tenancy::Condition;

use super::problem::Problem;
use crate::body::{read_body, ReadBodyError};

/// Maximum size of a request body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of entries of a page.
pub const MAX_PAGE_ENTRIES: usize = 500;
/// Number of entries of a page if the request gives no limit.
const DEFAULT_PAGE_ENTRIES: usize = 100;

/// Reads the condition of a write from `If-Match` and `If-None-Match`.
pub(super) fn parse_condition(headers: &HeaderMap) -> Result<Condition, Problem> {
    let bad_request = |why| Err(Problem::new(StatusCode::BAD_REQUEST, why));
    let single_value = |name: header::HeaderName| {
        let mut values = headers.get_all(name).iter();
        (values.next(), values.next().is_some())
    };
    match (single_value(header::IF_MATCH), single_value(header::IF_NONE_MATCH)) {
        ((_, true), _) | (_, (_, true)) => {
            bad_request("send each of If-Match and If-None-Match once at most")
        }
        ((Some(_), _), (Some(_), _)) => bad_request("send If-Match or If-None-Match, not both"),
        ((None, _), (None, _)) => Ok(Condition::None),
        (_, (Some(none), _)) if none.as_bytes() == b"*" => Ok(Condition::IfNoneMatch),
        (_, (Some(_), _)) => {
            bad_request("the only accepted value of If-None-Match is *, to create a document")
        }
        ((Some(tag), _), _) => match tag.to_str().unwrap_or("").trim() {
            // `*` matches any version, so it does not show which version the client has read.
            "*" => Ok(Condition::None),
            tag if tag.contains(',') => bad_request("give one ETag"),
            // A weak ETag, or one that this API does not issue, matches no version: revision 0 has no
            // document.
            tag => Ok(Condition::IfMatch(tag.parse().unwrap_or(Etag(0)))),
        },
    }
}

/// Parses a JSON body of at most `MAX_BODY_BYTES`; the problem names the invalid field.
pub(super) async fn parse_document<T: DeserializeOwned>(
    headers: &HeaderMap,
    body: Body,
) -> Result<T, Problem> {
    let kind = headers.get(header::CONTENT_TYPE).and_then(|kind| kind.to_str().ok()).unwrap_or("");
    if kind.split(';').next().map(str::trim) != Some("application/json") {
        let detail = "send Content-Type: application/json";
        return Err(Problem::new(StatusCode::UNSUPPORTED_MEDIA_TYPE, detail));
    }
    let too_long = || {
        Problem::new(StatusCode::PAYLOAD_TOO_LARGE, format!("a document has at most {MAX_BODY_BYTES} bytes"))
    };
    let length =
        headers.get(header::CONTENT_LENGTH).and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(too_long());
    }
    let bytes = read_body(body, MAX_BODY_BYTES).await.map_err(|error| match error {
        ReadBodyError::TooLong(_) => too_long(),
        ReadBodyError::Broken(error) => {
            Problem::new(StatusCode::BAD_REQUEST, format!("the body does not arrive completely: {error}"))
        }
    })?;
    let mut reader = serde_json::Deserializer::from_slice(&bytes);
    let read = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let field = error.path().to_string().replace('.', "/");
        Problem::field(StatusCode::BAD_REQUEST, field, error.inner().to_string())
    })?;
    reader.end().map_err(|error| Problem::field(StatusCode::BAD_REQUEST, ".", error.to_string()))?;
    Ok(read)
}

pub(super) fn response_with_etag(
    status: StatusCode,
    revision: Revision,
    document: impl Serialize,
) -> Response {
    let mut response = (status, Json(document)).into_response();
    if let Ok(etag) = HeaderValue::from_str(&Etag(revision).to_string()) {
        response.headers_mut().insert(header::ETAG, etag);
    }
    response
}

pub(super) fn page_limit(limit: Option<usize>) -> Result<usize, Problem> {
    let limit = limit.unwrap_or(DEFAULT_PAGE_ENTRIES);
    if (1..=MAX_PAGE_ENTRIES).contains(&limit) {
        return Ok(limit);
    }
    Err(Problem::field(StatusCode::BAD_REQUEST, "limit", format!("give 1 to {MAX_PAGE_ENTRIES}")))
}

/// Query parameters, or why they cannot be parsed.
pub(super) type QueryResult<T> = Result<Query<T>, axum::extract::rejection::QueryRejection>;

pub(super) fn parse_query<T>(query: QueryResult<T>) -> Result<T, Problem> {
    query.map(|Query(query)| query).map_err(|error| Problem::new(StatusCode::BAD_REQUEST, error.body_text()))
}

pub(super) fn tenant_not_found(name: &str) -> Problem {
    Problem::new(StatusCode::NOT_FOUND, format!("there is no tenant {name}"))
}

#[cfg(test)]
mod tests;
