//! HTTP/1.1 connections to servers, for attempts: sends one request at a time, reads its response and
//! classifies it.
//!
//! The classification says whether the server may have run the request.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use tokio::time::{timeout, Instant};
use woodgap_decisions::Outcome;

use crate::body::BodyBuffer;
use crate::meter::{metered, TenantMeter};
use crate::stream::RetryingTcpStream;
use crate::task::{AbortOnDrop, LocalPermit};
use crate::upstream::guarded_socket::{GuardedSocket, SocketState, WritePermission};

/// Maximum size of the body of a request or a response.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of the head of a response.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Maximum number of bytes received for one request. Without it, an endless head or an endless series of 1xx
/// responses would keep the node reading until the deadline.
const MAX_RESPONSE_BYTES: usize = MAX_BODY_BYTES + 2 * MAX_HEAD_BYTES;
/// A response whose body makes no progress for this long is treated as broken.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection is not reused for this long after a response. A duplicate response that follows at once would
/// otherwise be taken as the response to the next request, and a close by the server would lose that request.
pub const REUSE_DELAY: Duration = Duration::from_millis(10);

/// A client's request as it is forwarded to servers, without hop-by-hop headers.
pub struct UpstreamRequest {
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Header fields to forward.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// An HTTP/1.1 connection to a server. Closed when dropped.
pub struct Http1Connection {
    sender: SendRequest<Full<Bytes>>,
    socket_state: Rc<SocketState>,
    _driver: AbortOnDrop,
    /// The server's epoch when the connection was opened.
    pub epoch: u64,
    /// Time at which the connection was opened or its last exchange ended.
    pub idle_since: Instant,
}

/// How an exchange on a connection ended.
pub enum ExchangeResult {
    /// Nothing of the request was written.
    Unsent,
    /// The connection broke or the response is unusable; the server may have run the request.
    Broken,
    /// The server responded.
    Response {
        /// Status of the response.
        status: StatusCode,
        /// Header fields of the response.
        headers: HeaderMap,
        /// Complete body of the response; empty if the status and headers suffice.
        body: Bytes,
        /// Whether the connection may be reused.
        reusable: bool,
    },
}

impl Http1Connection {
    /// Opens a connection, which holds `permit` until its socket is closed.
    pub async fn dial(
        addr: SocketAddr,
        epoch: u64,
        permit: LocalPermit,
        meter: Option<Rc<TenantMeter>>,
    ) -> io::Result<Http1Connection> {
        let stream = RetryingTcpStream::connect(addr).await?;
        let socket_state = SocketState::new(stream, permit);
        let (sender, driver) = http1::Builder::new()
            .max_headers(64)
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(GuardedSocket(socket_state.clone())))
            .await
            .map_err(io::Error::other)?;
        let driver = AbortOnDrop::spawn(metered(meter, async move {
            let _ = driver.await;
        }));
        Ok(Http1Connection { sender, socket_state, _driver: driver, epoch, idle_since: Instant::now() })
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether the connection is open and has received nothing since its last response.
    pub fn is_reusable(&self) -> bool {
        !self.is_closed() && self.socket_state.has_no_pending_input()
    }

    /// Whether no byte of the current request has been written.
    pub fn is_unsent(&self) -> bool {
        self.socket_state.is_unsent()
    }

    /// Whether any byte was received for the last request that was written.
    pub fn response_started(&self) -> bool {
        self.socket_state.response_started()
    }

    /// Waits until the connection can take a request.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Sends a request, if the permission holds when its first byte is written, and reads the response.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        write_permission: WritePermission,
    ) -> ExchangeResult {
        self.socket_state.prepare_request(MAX_RESPONSE_BYTES, write_permission);
        let response = self.sender.try_send_request(request).await;
        // Only the socket knows what was sent: a request that failed in the library may be partly written.
        let unsent = self.socket_state.is_unsent();
        let result = match response {
            Ok(response) => read_response(response).await,
            Err(_) => None,
        };
        let flushed = self.socket_state.is_flushed();
        self.socket_state.finish_request();
        self.idle_since = Instant::now();
        match result {
            _ if unsent => ExchangeResult::Unsent,
            // A server runs a request once it has its last byte: nothing was served before that.
            Some(ExchangeResult::Response { status: StatusCode::OK, .. }) if !flushed => {
                ExchangeResult::Broken
            }
            // The rest of the request must not follow, as it may already have been sent to another server.
            Some(ExchangeResult::Response { status, headers, body, reusable }) => {
                ExchangeResult::Response { status, headers, body, reusable: reusable && flushed }
            }
            _ => ExchangeResult::Broken,
        }
    }
}

/// Reads a response to its end before any of it goes to the client: a response that breaks half-way is still
/// a failed attempt of which the client has seen nothing. `None` for a response that is broken, too long or
/// ambiguously framed.
async fn read_response(response: Response<Incoming>) -> Option<ExchangeResult> {
    let (head, mut incoming) = response.into_parts();
    let framings = [CONTENT_LENGTH, TRANSFER_ENCODING].map(|name| head.headers.contains_key(name));
    let upgraded = head.status == StatusCode::SWITCHING_PROTOCOLS;
    // A response with both framings is ambiguous. A declared length above the limit is rejected before the
    // first byte of the body.
    if framings == [true, true] || upgraded || incoming.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return None;
    }
    // The body ends with the connection (RFC 9112, section 6.3): a FIN completes it, a reset is an error
    // below.
    let ends_with_connection = framings == [false, false] && !incoming.is_end_stream();
    if ends_with_connection && head.status != StatusCode::OK {
        // The status and headers suffice; the body is not read.
        let (status, headers, body) = (head.status, head.headers, Bytes::new());
        return Some(ExchangeResult::Response { status, headers, body, reusable: false });
    }
    let mut body = BodyBuffer::new(&incoming.size_hint(), MAX_BODY_BYTES);
    while let Some(frame) = timeout(STALL_TIMEOUT, incoming.frame()).await.ok()? {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        body.append(data).ok()?;
    }
    let (status, headers, body) = (head.status, head.headers, body.into_bytes());
    Some(ExchangeResult::Response { status, headers, body, reusable: !ends_with_connection })
}

/// Builds the request for a server, with the remaining time until the deadline and a `Host` header.
pub fn build_request(
    original: &UpstreamRequest,
    addr: SocketAddr,
    deadline: Instant,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(original.body.clone()));
    *request.method_mut() = original.method.clone();
    *request.uri_mut() = original.target.clone();
    *request.headers_mut() = original.headers.clone();
    let remaining_ms = deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
    let headers = request.headers_mut();
    headers.insert("x-remaining-ms", HeaderValue::from(remaining_ms.max(1)));
    if !headers.contains_key(HOST) {
        if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
            headers.insert(HOST, host);
        }
    }
    request
}

/// Determines the outcome of an attempt from its response. Only the `X-Turned-Away` header proves that the
/// server did not run the request: 503 and 504 without it may come from a request that ran.
pub fn classify_response(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let turned_away = headers.get("x-turned-away").is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => Outcome::Full,
        _ => Outcome::Error,
    }
}

/// Parses the load report of a response, in the order of the settings; empty if any field is missing or
/// invalid.
pub fn parse_load_report(headers: &HeaderMap, fields: &[String]) -> Vec<f64> {
    let Some(text) = headers.get("x-pressure") else { return Vec::new() };
    let report: HashMap<String, f64> = serde_json::from_slice(text.as_bytes()).unwrap_or_default();
    let is_valid = |value: &f64| (0.0..1e6).contains(value);
    let values = fields.iter().map(|field| report.get(field).copied().filter(is_valid));
    values.collect::<Option<_>>().unwrap_or_default()
}

#[cfg(test)]
mod tests;
