//! HTTP/3 connections to servers (RFC 9114), for attempts: one connection per server, which all its requests
//! share.
//!
//! The server did not run a request whose stream it reset with `H3_REQUEST_REJECTED` (section 4.1.1), whose
//! stream id is at or above the id of a GOAWAY, or that was not begun because of a GOAWAY (section 5.2). It
//! may have run a request whose stream or connection ended in any other way, or for which part of a response
//! was received.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use h3::client::{RequestStream, SendRequest};
use h3::error::{Code, StreamError};
use http_body_util::{BodyExt, Full};
use hyper::header::{HeaderMap, CONTENT_LENGTH, HOST};
use hyper::{Request, StatusCode};
use quinn::VarInt;
use tokio::sync::watch;
use tokio::time::{timeout, Instant};

use crate::sockets::SocketBudget;
use crate::task::{AbortOnDrop, LocalPermit};
use crate::upstream::control_stream::GoawayConnection;
use crate::upstream::exchange::MAX_BODY_BYTES;
pub use crate::upstream::trust::Authorities;
use crate::upstream::trust::HandshakeConfig;

/// Maximum number of times that one attempt asks for the connection, as it may end before the request is
/// sent.
pub const MAX_DIALS_PER_ATTEMPT: usize = 3;
/// Maximum size of the head of a response.
const MAX_HEAD_BYTES: u64 = 32 * 1024;
/// A response whose body makes no progress for this long is treated as broken.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Flow-control window of a stream: bytes that a server may send ahead on it.
pub(super) const STREAM_WINDOW: u32 = MAX_BODY_BYTES as u32 + 2 * MAX_HEAD_BYTES as u32;
/// Flow-control window of a connection, for all its streams.
pub(super) const CONNECTION_WINDOW: u32 = 16 * STREAM_WINDOW;
/// A connection on which nothing is received for this long is closed.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

type Sender = SendRequest<crate::quic::OpenStreams, Bytes>;
type Stream = RequestStream<crate::quic::BidiStream<Bytes>, Bytes>;

/// An HTTP/3 connection to a server. Closed when its last user drops it.
pub struct Http3Connection {
    sender: Sender,
    quic: quinn::Connection,
    /// Time at which the last request on the connection began or ended.
    last_used: Cell<Instant>,
    /// Lowest id of the server's GOAWAY frames: the server does not process requests from this id on.
    goaway_id: watch::Receiver<Option<u64>>,
    /// The server's epoch when the connection was opened.
    pub epoch: u64,
    _driver: AbortOnDrop,
    _endpoint: quinn::Endpoint,
    _permit: LocalPermit,
}

impl Drop for Http3Connection {
    fn drop(&mut self) {
        self.quic.close(VarInt::from_u32(Code::H3_NO_ERROR.value() as u32), b"");
    }
}

/// The one HTTP/3 connection to a server, which is opened on demand and shared by its requests.
#[derive(Default)]
pub struct SharedConnection {
    current: RefCell<Option<Rc<Http3Connection>>>,
    /// Locked while a task opens the connection; other tasks wait for the lock.
    opening: tokio::sync::Mutex<()>,
    /// Whether a failure to connect was logged since the last success.
    failure_logged: Cell<bool>,
}

impl SharedConnection {
    /// Returns the open connection, or opens one.
    ///
    /// # Errors
    /// If the handshake fails, the certificate is not accepted or no file descriptor is free.
    pub async fn get_or_dial(
        &self,
        addr: SocketAddr,
        handshake_config: impl FnOnce() -> io::Result<HandshakeConfig>,
        epoch: u64,
        sockets: &SocketBudget,
    ) -> io::Result<Rc<Http3Connection>> {
        let usable = || self.current.borrow().clone().filter(|open| open.is_open() && open.epoch == epoch);
        if let Some(connection) = usable() {
            return Ok(connection);
        }
        let _opening = self.opening.lock().await;
        if let Some(connection) = usable() {
            return Ok(connection);
        }
        let permit = sockets.acquire().await.ok_or_else(|| io::Error::other("no socket is free"))?;
        let dial_result = match handshake_config() {
            Ok(config) => Http3Connection::dial(addr, config, epoch, permit).await,
            Err(error) => Err(error),
        };
        let connection = match dial_result {
            Ok(connection) => Rc::new(connection),
            Err(error) => {
                if !self.failure_logged.replace(true) {
                    tracing::info!("server {addr}: cannot open an HTTP/3 connection: {error}");
                }
                return Err(error);
            }
        };
        self.failure_logged.set(false);
        *self.current.borrow_mut() = Some(connection.clone());
        Ok(connection)
    }

    /// Drops the connection: the next request opens another one, while requests in flight may finish on this
    /// one.
    pub fn discard(&self) {
        self.current.borrow_mut().take();
    }

    /// Drops the connection if it has ended, or has had no request for `max_idle` and has none in flight.
    pub fn close_if_idle(&self, max_idle: Duration) {
        let is_expired = |connection: &Rc<Http3Connection>| {
            !connection.is_open()
                || (Rc::strong_count(connection) == 1 && connection.last_used.get().elapsed() >= max_idle)
        };
        if self.current.borrow().as_ref().is_some_and(is_expired) {
            self.discard();
        }
    }
}

/// How the exchange on a stream ended.
pub enum StreamResult {
    /// The server did not run the request: it was not sent, or a GOAWAY excludes it.
    Unsent,
    /// The server rejected the request without processing it.
    Rejected,
    /// There is no usable response; the server may have run the request.
    Broken,
    /// The server responded.
    Response {
        /// Status of the response.
        status: StatusCode,
        /// Header fields of the response.
        headers: HeaderMap,
        /// Complete body of the response.
        body: Bytes,
    },
}

/// A request's stream. Cancels the request at the server if dropped before the response is complete.
struct CancelOnDrop {
    stream: Stream,
    complete: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.complete {
            self.stream.stop_sending(Code::H3_REQUEST_CANCELLED);
            self.stream.stop_stream(Code::H3_REQUEST_CANCELLED);
        }
    }
}

impl Http3Connection {
    async fn dial(
        addr: SocketAddr,
        config: HandshakeConfig,
        epoch: u64,
        permit: LocalPermit,
    ) -> io::Result<Http3Connection> {
        let local_addr: SocketAddr = match addr {
            SocketAddr::V4(_) => ([0u8; 4], 0).into(),
            SocketAddr::V6(_) => ([0u16; 8], 0).into(),
        };
        let endpoint = quinn::Endpoint::client(local_addr)?;
        let connecting =
            endpoint.connect_with(config.quic, addr, &config.server_name).map_err(io::Error::other)?;
        let quic = connecting.await?;
        let mut builder = h3::client::builder();
        builder.max_field_section_size(MAX_HEAD_BYTES).send_grease(false);
        let (goaway_connection, goaway_id) = GoawayConnection::new(quic.clone());
        let (mut driver, sender) = builder.build(goaway_connection).await.map_err(io::Error::other)?;
        let driver = AbortOnDrop::spawn(async move {
            let _ = std::future::poll_fn(|cx| driver.poll_close(cx)).await;
        });
        let last_used = Cell::new(Instant::now());
        Ok(Http3Connection {
            sender,
            quic,
            last_used,
            goaway_id,
            epoch,
            _driver: driver,
            _endpoint: endpoint,
            _permit: permit,
        })
    }

    /// Whether the connection is open.
    pub fn is_open(&self) -> bool {
        self.quic.close_reason().is_none()
    }

    /// Sends a request and reads its response. `response_started` is set once part of a response was
    /// received. Dropping the future cancels the request at the server.
    pub async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        response_started: &Cell<bool>,
    ) -> StreamResult {
        self.last_used.set(Instant::now());
        let (mut parts, body) = request.into_parts();
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(infallible) => match infallible {},
        };
        let host = parts.headers.remove(HOST);
        let host = host.as_ref().and_then(|host| host.to_str().ok()).unwrap_or("server");
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let Ok(uri) = format!("https://{host}{path}").parse() else { return StreamResult::Unsent };
        parts.uri = uri;
        if !body.is_empty() {
            parts.headers.insert(CONTENT_LENGTH, body.len().into());
        }
        let mut sender = self.sender.clone();
        let stream = match sender.send_request(Request::from_parts(parts, ())).await {
            Ok(stream) => stream,
            // The server accepts no new requests, and this one was not begun.
            Err(StreamError::RemoteClosing { .. }) => return StreamResult::Unsent,
            Err(_) => return StreamResult::Broken,
        };
        let id = stream.id().into_inner();
        let mut request_stream = CancelOnDrop { stream, complete: false };
        let mut goaway_id = self.goaway_id.clone();
        // The response is polled first: one that arrives in spite of the GOAWAY is used.
        let result = tokio::select! {
            biased;
            result = send_body_and_read_response(&mut request_stream, body, response_started) => result,
            () = wait_for_goaway(&mut goaway_id, id) => Ok(StreamResult::Unsent),
        };
        self.last_used.set(Instant::now());
        let excluded = self.goaway_id.borrow().is_some_and(|lowest| id >= lowest);
        match result {
            Ok(StreamResult::Unsent) | Err(_) if response_started.get() => StreamResult::Broken,
            Ok(result) => result,
            // The GOAWAY proves that the request was not processed, whatever the error is.
            Err(_) if excluded => StreamResult::Unsent,
            Err(StreamError::RemoteTerminate { code, .. }) if code == Code::H3_REQUEST_REJECTED => {
                StreamResult::Rejected
            }
            Err(_) => StreamResult::Broken,
        }
    }
}

/// Waits until a GOAWAY of the server excludes the stream of this id.
async fn wait_for_goaway(goaway_id: &mut watch::Receiver<Option<u64>>, id: u64) {
    if goaway_id.wait_for(|lowest| lowest.is_some_and(|lowest| id >= lowest)).await.is_err() {
        // The connection has ended, which the stream reports.
        std::future::pending::<()>().await;
    }
}

/// Writes the body and reads the response to its end. A response that cannot be trusted counts as broken.
async fn send_body_and_read_response(
    request_stream: &mut CancelOnDrop,
    body: Bytes,
    response_started: &Cell<bool>,
) -> Result<StreamResult, StreamError> {
    let stream = &mut request_stream.stream;
    if !body.is_empty() {
        // A server may respond to a request or reject it before it has read the whole body.
        if let Err(error) = stream.send_data(body).await {
            if let StreamError::ConnectionError { .. } = error {
                return Err(error);
            }
        }
    }
    let _ = stream.finish().await;
    let mut head = stream.recv_response().await?;
    response_started.set(true);
    // Informational responses (1xx) are skipped.
    for _ in 0..8 {
        if !head.status().is_informational() {
            break;
        }
        head = stream.recv_response().await?;
    }
    let length =
        head.headers().get(CONTENT_LENGTH).map(|value| value.to_str().ok().and_then(|t| t.parse().ok()));
    let mut body = BytesMut::new();
    loop {
        let Ok(data) = timeout(STALL_TIMEOUT, stream.recv_data()).await else {
            return Ok(StreamResult::Broken);
        };
        let Some(mut data) = data? else { break };
        if body.len() + data.remaining() > MAX_BODY_BYTES {
            return Ok(StreamResult::Broken);
        }
        let data = data.copy_to_bytes(data.remaining());
        body.extend_from_slice(&data);
    }
    if length.is_some_and(|length| length != Some(body.len())) {
        return Ok(StreamResult::Broken);
    }
    request_stream.complete = true;
    let (head, ()) = head.into_parts();
    Ok(StreamResult::Response { status: head.status, headers: head.headers, body: body.freeze() })
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::Ipv4Addr;
    use woodgap_membership::{parse_pin, Trust};
    use woodgap_testkit::backend::{Backend, BackendOptions, ServerBehavior};
    use woodgap_testkit::script::Ending;

    use crate::task::LocalSemaphore;

    // Once a response has started, H3_REQUEST_REJECTED does not prove that the request was not run.
    #[tokio::test]
    async fn rejection_after_the_response_started_is_reported_as_broken() {
        let run = async {
            let rejected = Code::H3_REQUEST_REJECTED.value();
            let options = BackendOptions { http3: true, ..BackendOptions::default() };
            // After the head, which is some 70 bytes, and within the body.
            let behavior = ServerBehavior::TruncateResponse {
                after_bytes: 120,
                ending: Ending::HoldThenReset(rejected),
            };
            let backend = Backend::start_with(behavior, options).await.unwrap();
            let trust = Trust::Pin(parse_pin(backend.pin.as_deref().unwrap()).unwrap());
            let config = Authorities::default().handshake_config(&trust, backend.addr).unwrap();
            let permit = LocalSemaphore::new(1).try_acquire().unwrap();
            let connection =
                Http3Connection::dial((Ipv4Addr::LOCALHOST, backend.addr.port()).into(), config, 1, permit);
            let connection = connection.await.unwrap();
            let request = Request::builder().method("POST").uri("/api").header("x-txn", "x".repeat(200));
            let request = request.body(Full::new(Bytes::from_static(b"hello"))).unwrap();
            let response_started = Cell::new(false);
            let fail_after_head = async {
                while !response_started.get() {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                backend.set_behavior(ServerBehavior::Error);
            };
            let (result, ()) = tokio::join!(connection.exchange(request, &response_started), fail_after_head);
            assert!(matches!(result, StreamResult::Broken));
        };
        tokio::task::LocalSet::new().run_until(run).await;
    }
}
