//! Error responses of the administration API, as `application/problem+json` (RFC 9457).

use axum::http::{header, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use serde::Serialize;
use utoipa::ToSchema;
use woodgap_tenancy::catalogue::Refusal;
use woodgap_tenancy::{Etag, FieldFault};

use crate::control::ChangeError;
use crate::store::StoreError;

/// An error response (RFC 9457).
#[derive(Debug, Serialize, ToSchema)]
pub struct Problem {
    /// Type of the problem, as a URN.
    #[serde(rename = "type")]
    kind: &'static str,
    /// Short title of the type, for people.
    title: &'static str,
    /// HTTP status code of the response.
    status: u16,
    /// Explanation of this occurrence and, where there is one, its remedy.
    detail: String,
    /// Invalid fields; absent if there are none.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    errors: Vec<FieldFault>,
    /// Current ETag of the document, if it was changed concurrently.
    #[serde(skip_serializing_if = "Option::is_none")]
    etag: Option<String>,
}

impl Problem {
    /// Creates a problem with the type and title that belong to `status`.
    pub fn new(status: StatusCode, detail: impl Into<String>) -> Self {
        let (kind, title) = match status.as_u16() {
            400 => ("urn:woodgap:problem:unreadable", "The request cannot be read"),
            401 => ("urn:woodgap:problem:unauthorized", "The token is missing or unknown"),
            403 => ("urn:woodgap:problem:forbidden", "The token does not permit the operation"),
            404 => ("urn:woodgap:problem:not-found", "The resource does not exist"),
            405 => ("urn:woodgap:problem:method", "The path does not support the method"),
            408 => ("urn:woodgap:problem:slow", "The request exceeded its time limit"),
            409 => ("urn:woodgap:problem:conflict", "The request conflicts with the current state"),
            410 => ("urn:woodgap:problem:history", "The history does not reach back that far"),
            412 => ("urn:woodgap:problem:changed", "The document has changed"),
            413 => ("urn:woodgap:problem:too-long", "The body is too large"),
            415 => ("urn:woodgap:problem:media-type", "The body is not JSON"),
            422 => ("urn:woodgap:problem:invalid", "The document is invalid"),
            428 => ("urn:woodgap:problem:condition", "The write has no precondition"),
            503 => ("urn:woodgap:problem:unavailable", "Changes cannot be made now"),
            507 => ("urn:woodgap:problem:full", "A limit is reached"),
            _ => ("about:blank", "Unexpected error"),
        };
        let detail = detail.into();
        Problem { kind, title, status: status.as_u16(), detail, errors: Vec::new(), etag: None }
    }

    /// Adds the current ETag of a document that was changed concurrently.
    pub fn with_etag(self, etag: String) -> Self {
        Problem { etag: Some(etag), ..self }
    }

    /// Creates a problem about one invalid field of a document.
    pub fn field(status: StatusCode, field: impl Into<String>, problem: impl Into<String>) -> Self {
        let fault = FieldFault::new(field, problem);
        let detail = format!("{}: {}", fault.field, fault.problem);
        Problem { errors: vec![fault], ..Problem::new(status, detail) }
    }
}

impl From<ChangeError> for Problem {
    fn from(failure: ChangeError) -> Self {
        let detail = failure.to_string();
        match failure {
            ChangeError::Refused(Refusal::NotFound(_)) => Problem::new(StatusCode::NOT_FOUND, detail),
            ChangeError::Refused(Refusal::NoCondition) => Problem::new(StatusCode::PRECONDITION_REQUIRED, detail),
            ChangeError::Refused(Refusal::Full(_)) => Problem::new(StatusCode::INSUFFICIENT_STORAGE, detail),
            ChangeError::Refused(Refusal::Changed(etag)) => Problem {
                etag: etag.as_ref().map(Etag::to_string),
                ..Problem::new(StatusCode::PRECONDITION_FAILED, detail)
            },
            ChangeError::Refused(Refusal::Invalid(errors)) => {
                let first = errors.first().map_or(detail, |fault| format!("{}: {}", fault.field, fault.problem));
                Problem { errors, ..Problem::new(StatusCode::UNPROCESSABLE_ENTITY, first) }
            }
            ChangeError::Store(StoreError::Conflict { .. }) => {
                let detail = "another node has changed the catalogue meanwhile: read the document again before you retry";
                Problem::new(StatusCode::PRECONDITION_FAILED, detail)
            }
            ChangeError::Store(StoreError::Unwritable(why)) => Problem::new(
                StatusCode::SERVICE_UNAVAILABLE,
                format!("the store cannot be written ({why}); traffic continues; read the document before you retry"),
            ),
            ChangeError::Store(StoreError::TooLong { .. }) => Problem::new(StatusCode::PAYLOAD_TOO_LARGE, detail),
            ChangeError::Store(_) | ChangeError::TooManyWaiting | ChangeError::ShuttingDown => {
                Problem::new(StatusCode::SERVICE_UNAVAILABLE, detail)
            }
        }
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let body = serde_json::to_vec(&self).unwrap_or_default();
        let mut response = (status, body).into_response();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Some(etag) = self.etag.and_then(|etag| HeaderValue::from_str(&etag).ok()) {
            headers.insert(header::ETAG, etag);
        }
        match self.status {
            401 => drop(headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"))),
            503 => drop(headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"))),
            _ => {}
        }
        response
    }
}
