//! Responses that the node itself gives: refusals, and texts with a status.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

use super::manager::{ConnectionManager, OVERLOAD_RETRY_AFTER};
use super::Rejection;

/// Body of the refusal of a request that no server has received.
pub const REFUSED: &str = "refused\n";
/// The refusal of a request for which the node has no capacity.
pub const OVERLOADED: Rejection =
    Rejection { status: StatusCode::SERVICE_UNAVAILABLE, reason: REFUSED, retry_after: OVERLOAD_RETRY_AFTER };
/// Time in which a refusal of a few bytes is handed to the system, which has room for it.
const WRITE_TIMEOUT: Duration = Duration::from_millis(5);

impl ConnectionManager {
    /// Returns the response to a request that was not admitted.
    pub(super) fn rejection_response(&self, rejection: Rejection) -> Response<Full<Bytes>> {
        self.refusal_response(rejection.status, rejection.reason, Some(rejection.retry_after))
    }

    /// Returns the refusal of a request that no server has received, with `Retry-After` if that is enabled.
    pub(super) fn refusal_response(
        &self,
        status: StatusCode,
        reason: &'static str,
        delay: Option<Duration>,
    ) -> Response<Full<Bytes>> {
        let mut response = text_response(status, reason);
        // Rounded up, as a client that retries too early is refused again.
        let millis = |delay: Duration| delay.as_micros().div_ceil(1_000);
        let retry_after = delay.filter(|_| self.send_retry_after).map(millis);
        let retry_after = retry_after.map(|millis| format!("{}.{:03}", millis / 1_000, millis % 1_000));
        if let Some(value) = retry_after.and_then(|text| HeaderValue::from_str(&text).ok()) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }

    /// Returns the refusal of a request for which the node has no capacity.
    pub(super) fn overload_response(&self) -> Response<Full<Bytes>> {
        self.rejection_response(OVERLOADED)
    }

    /// Writes the refusal of a request whose head has not arrived completely, on a connection that is closed
    /// afterwards.
    pub(super) async fn write_refusal(&self, stream: &mut (impl AsyncWrite + Unpin)) {
        let response = self.overload_response();
        let mut text = format!("HTTP/1.1 {}\r\n", response.status());
        for (name, value) in response.headers() {
            text += &format!("{name}: {}\r\n", value.to_str().unwrap_or_default());
        }
        text += &format!("connection: close\r\ncontent-length: {}\r\n\r\n{REFUSED}", REFUSED.len());
        // A connection that is broken, or whose client reads nothing, is closed without it.
        let _ = timeout(WRITE_TIMEOUT, stream.write_all(text.as_bytes())).await;
    }
}

/// Returns a response with this status and body.
pub(super) fn text_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
