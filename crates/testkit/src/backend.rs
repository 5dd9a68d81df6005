//! A stand-in upstream server: serves the server side of the protocol over HTTP/1.1 or HTTP/3, and records
//! which requests it received and ran.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinHandle;

use crate::script::{self, ConnectionScript, Ending, TruncatingStream, Truncation};

/// How long new requests may still reach a server after the node learned that it drains or was removed.
pub const DRAIN_GRACE: Duration = Duration::from_millis(550);

/// What a server does with a request that it has received completely.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerBehavior {
    /// Runs the request for this long on one of its cores, and responds 200 with its `X-Txn` as the body.
    Serve(Duration),
    /// Runs the request and does not respond until the behavior changes, then applies the new one.
    HoldRequests,
    /// Runs the request and closes the connection without a response.
    CloseConnection,
    /// Responds 500; the request may have run.
    Error,
    /// Over HTTP/3: resets the stream with `H3_REQUEST_REJECTED`, which says that the request was not
    /// processed. Over HTTP/1.1 as [`ServerBehavior::TurnAway`].
    Reject,
    /// Responds 503 with `X-Turned-Away` and does not run the request.
    TurnAway,
    /// Runs the request and sends a truncated response.
    TruncateResponse {
        /// Bytes of the response that are sent, head and framing included.
        after_bytes: usize,
        /// How the response ends after these bytes.
        ending: Ending,
    },
    /// Over HTTP/3: sends a GOAWAY that excludes this request and all later ones, and never responds to it.
    Goaway,
    /// Over HTTP/3: sends a GOAWAY that includes this request and excludes all later ones, and responds 50 ms
    /// later.
    GoawayThenServe,
    /// Over HTTP/3: sends the GOAWAY of [`ServerBehavior::GoawayThenServe`], and resets the request's stream
    /// instead of responding.
    GoawayThenReset,
    /// Over HTTP/3: runs the request when its head arrives, and reads nothing of its body until the behavior
    /// changes.
    IgnoreBody,
}

/// A request that a server received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// When its last byte arrived.
    pub received_at: Instant,
    /// The client's id of the request (`X-Txn`).
    pub txn: String,
    /// Its class (`X-Lane`).
    pub class: String,
    /// Its path and query.
    pub target: String,
    /// Whether the server may have run it.
    pub executed: bool,
    /// The number of its connection; connections are numbered from 1 in the order in which they were opened.
    pub connection: u64,
}

/// What a server records about the requests that it received.
#[derive(Default)]
struct RequestLog {
    received: Vec<ReceivedRequest>,
    /// Number of executions of each request that must run at most once, by its id.
    executions: HashMap<String, u32>,
    /// When the node learned that this server drains or was removed.
    removed_at: Option<Instant>,
}

struct Shared {
    behavior: watch::Sender<ServerBehavior>,
    cores: Semaphore,
    queue_limit: usize,
    queued: AtomicUsize,
    open_connections: AtomicUsize,
    connections_opened: AtomicU64,
    requests: AtomicU64,
    late_requests: AtomicU64,
    record_requests: bool,
    log: Mutex<RequestLog>,
}

/// The parts of a request that the log needs.
struct RequestInfo {
    txn: String,
    class: String,
    target: String,
    /// Whether the request must run at most once: it is neither safe nor has an idempotency key.
    at_most_once: bool,
}

impl RequestInfo {
    fn of<B>(request: &Request<B>) -> RequestInfo {
        let text = |name: &str| {
            let value = request.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        RequestInfo {
            txn: text("x-txn"),
            class: text("x-lane"),
            target: request.uri().to_string(),
            at_most_once: request.method() == Method::POST
                && !request.headers().contains_key("idempotency-key"),
        }
    }
}

impl Shared {
    fn behavior(&self) -> ServerBehavior {
        *self.behavior.borrow()
    }

    /// Waits until the behavior differs from `current`, and returns the new one.
    async fn behavior_change(&self, current: ServerBehavior) -> ServerBehavior {
        let mut changes = self.behavior.subscribe();
        // The sender lives in this state, which outlives its requests, so the wait does not fail.
        let changed = changes.wait_for(|behavior| *behavior != current).await.map(|behavior| *behavior);
        changed.unwrap_or(ServerBehavior::CloseConnection)
    }

    /// Records a request in the log.
    fn record(&self, info: &RequestInfo, received_at: Instant, executed: bool, connection: u64) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        if log.removed_at.is_some_and(|removed_at| received_at > removed_at + DRAIN_GRACE) {
            self.late_requests.fetch_add(1, Ordering::Relaxed);
        }
        if executed && info.at_most_once {
            *log.executions.entry(info.txn.clone()).or_default() += 1;
        }
        if self.record_requests {
            let (txn, class, target) = (info.txn.clone(), info.class.clone(), info.target.clone());
            log.received.push(ReceivedRequest { received_at, txn, class, target, executed, connection });
        }
    }
}

/// A server on a loopback port. It stops when it is dropped.
pub struct Backend {
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// SHA-256 of its certificate, if it speaks HTTP/3.
    pub pin: Option<String>,
    /// Its certificate for [`crate::http3::SERVER_NAME`], if it speaks HTTP/3.
    pub certificate: Option<rustls::pki_types::CertificateDer<'static>>,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

/// How a server is set up.
#[derive(Clone, Copy, Debug)]
pub struct BackendOptions {
    /// Number of requests that it runs at the same time.
    pub cores: usize,
    /// Number of requests that may wait for a core; the server turns further ones away.
    pub queue_limit: usize,
    /// Whether it records each request. Switched off under load.
    pub record_requests: bool,
    /// Whether it speaks HTTP/3 instead of HTTP/1.1.
    pub http3: bool,
    /// Over HTTP/3: flow-control window of a stream in bytes; the QUIC library's default if absent.
    pub stream_window: Option<u32>,
}

impl Default for BackendOptions {
    fn default() -> Self {
        BackendOptions {
            cores: 64,
            queue_limit: 1_024,
            record_requests: true,
            http3: false,
            stream_window: None,
        }
    }
}

impl Backend {
    /// Starts an HTTP/1.1 server with the default options.
    ///
    /// # Errors
    /// If the listener cannot be bound.
    pub async fn start(behavior: ServerBehavior) -> std::io::Result<Backend> {
        Backend::start_with(behavior, BackendOptions::default()).await
    }

    /// Starts a server with these options.
    ///
    /// # Errors
    /// If the listener cannot be bound.
    pub async fn start_with(behavior: ServerBehavior, options: BackendOptions) -> std::io::Result<Backend> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            behavior: watch::Sender::new(behavior),
            cores: Semaphore::new(options.cores),
            queue_limit: options.queue_limit,
            queued: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
            connections_opened: AtomicU64::new(0),
            requests: AtomicU64::new(0),
            late_requests: AtomicU64::new(0),
            record_requests: options.record_requests,
            log: Mutex::default(),
        });
        if options.http3 {
            let (endpoint, certificate) = crate::http3::server_endpoint(options.stream_window)?;
            let addr = endpoint.local_addr()?;
            let task = tokio::spawn(serve_http3(endpoint, shared.clone()));
            let pin = Some(crate::http3::certificate_pin(&certificate));
            return Ok(Backend { addr, pin, certificate: Some(certificate), shared, task });
        }
        let state = shared.clone();
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { continue };
                        let _ = stream.set_nodelay(true);
                        let number = state.connections_opened.fetch_add(1, Ordering::Relaxed) + 1;
                        state.open_connections.fetch_add(1, Ordering::Relaxed);
                        let state = state.clone();
                        connections.spawn(async move {
                            let (shared, truncation) = (state.clone(), Arc::new(Truncation::default()));
                            let stream = TruncatingStream::new(stream, truncation.clone());
                            let service = service_fn(move |request| {
                                let (shared, truncation) = (shared.clone(), truncation.clone());
                                async move {
                                    let response = respond(shared.clone(), request, number).await;
                                    if let ServerBehavior::TruncateResponse { after_bytes, ending } =
                                        shared.behavior()
                                    {
                                        truncation.arm(after_bytes, ending);
                                    }
                                    response
                                }
                            });
                            // `CloseConnection` ends the connection with an error, which is expected here.
                            let _ =
                                http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                            state.open_connections.fetch_sub(1, Ordering::Relaxed);
                        });
                    }
                    Some(_) = connections.join_next() => {}
                }
            }
        });
        Ok(Backend { addr, pin: None, certificate: None, shared, task })
    }

    fn with_log<T>(&self, use_log: impl FnOnce(&mut RequestLog) -> T) -> T {
        use_log(&mut self.shared.log.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes the server's behavior, also for the requests that it holds.
    pub fn set_behavior(&self, behavior: ServerBehavior) {
        self.shared.behavior.send_replace(behavior);
    }

    /// Records that the node has learned that this server drains or was removed. Requests that arrive more
    /// than [`DRAIN_GRACE`] later count as late.
    pub fn mark_removed(&self) {
        self.with_log(|log| log.removed_at = Some(Instant::now()));
    }

    /// Records that this server is in service again.
    pub fn mark_in_service(&self) {
        self.with_log(|log| log.removed_at = None);
    }

    /// Number of requests received.
    pub fn requests(&self) -> u64 {
        self.shared.requests.load(Ordering::Relaxed)
    }

    /// Number of requests that were received more than [`DRAIN_GRACE`] after [`Backend::mark_removed`].
    pub fn late_requests(&self) -> u64 {
        self.shared.late_requests.load(Ordering::Relaxed)
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.shared.open_connections.load(Ordering::Relaxed)
    }

    /// Number of connections that were ever opened.
    pub fn connections_opened(&self) -> u64 {
        self.shared.connections_opened.load(Ordering::Relaxed)
    }

    /// The requests received, if the server records them.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.with_log(|log| log.received.clone())
    }

    /// Number of executions of each request that must run at most once, by its id.
    pub fn execution_counts(&self) -> HashMap<String, u32> {
        self.with_log(|log| log.executions.clone())
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Number of executions beyond the first of each request that must run at most once, summed over all given
/// servers.
pub fn duplicate_effects<'a>(backends: impl IntoIterator<Item = &'a Backend>) -> u64 {
    let mut executions: HashMap<String, u32> = HashMap::new();
    for backend in backends {
        for (txn, count) in backend.execution_counts() {
            *executions.entry(txn).or_default() += count;
        }
    }
    executions.values().map(|&count| u64::from(count.saturating_sub(1))).sum()
}

/// Counts a request as queued until it is dropped.
struct QueuedGuard<'a>(&'a AtomicUsize);

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn response(status: u16, turned_away: bool, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    if turned_away {
        response.headers_mut().insert("x-turned-away", hyper::header::HeaderValue::from_static("1"));
    }
    response
}

/// Ends the connection without a response.
#[derive(Debug)]
struct ConnectionReset;

impl std::fmt::Display for ConnectionReset {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("reset")
    }
}

impl std::error::Error for ConnectionReset {}

/// Accepts HTTP/3 connections until the task is aborted.
async fn serve_http3(endpoint: quinn::Endpoint, state: Arc<Shared>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            Some(incoming) = endpoint.accept() => {
                let number = state.connections_opened.fetch_add(1, Ordering::Relaxed) + 1;
                state.open_connections.fetch_add(1, Ordering::Relaxed);
                let state = state.clone();
                connections.spawn(async move {
                    let _ = serve_http3_connection(incoming, state.clone(), number).await;
                    state.open_connections.fetch_sub(1, Ordering::Relaxed);
                });
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_http3_connection(
    incoming: quinn::Incoming,
    state: Arc<Shared>,
    number: u64,
) -> std::io::Result<()> {
    let quic = incoming.await?;
    let (scripted, script) = script::ScriptedConnection::new(quic);
    let connection = h3::server::Connection::new(scripted).await;
    let mut connection = connection.map_err(std::io::Error::other)?;
    let mut requests = tokio::task::JoinSet::new();
    while let Some(resolver) = connection.accept().await.map_err(std::io::Error::other)? {
        let (state, script) = (state.clone(), script.clone());
        requests.spawn(async move { drop(serve_http3_request(resolver, state, number, script).await) });
        while requests.try_join_next().is_some() {}
    }
    Ok(())
}

async fn serve_http3_request(
    resolver: h3::server::RequestResolver<script::ScriptedConnection, Bytes>,
    state: Arc<Shared>,
    number: u64,
    script: ConnectionScript,
) -> Result<(), h3::error::StreamError> {
    use bytes::Buf;
    use h3::error::Code;
    let (request, mut stream) = resolver.resolve_request().await?;
    let truncation = script.take_truncation(stream.id());
    match state.behavior() {
        ServerBehavior::Goaway => {
            state.record(&RequestInfo::of(&request), Instant::now(), false, number);
            let _ = script.send_goaway(stream.id().into_inner()).await;
            return std::future::pending().await;
        }
        ServerBehavior::GoawayThenServe | ServerBehavior::GoawayThenReset => {
            drop(script.send_goaway(stream.id().into_inner() + 4).await)
        }
        ServerBehavior::IgnoreBody => {
            state.record(&RequestInfo::of(&request), Instant::now(), true, number);
            state.behavior_change(ServerBehavior::IgnoreBody).await;
            return Ok(());
        }
        _ => {}
    }
    let mut body = Vec::new();
    while let Some(mut data) = stream.recv_data().await? {
        body.extend_from_slice(&data.copy_to_bytes(data.remaining()));
    }
    let behavior = state.behavior();
    if let (ServerBehavior::TruncateResponse { after_bytes, ending }, Some(truncation)) =
        (behavior, truncation)
    {
        truncation.arm(after_bytes, ending);
        if let Ending::HoldThenReset(_) = ending {
            let state = state.clone();
            tokio::spawn(async move {
                state.behavior_change(behavior).await;
                truncation.release();
            });
        }
    }
    let rejects = behavior == ServerBehavior::Reject;
    let result = respond(state, request.map(|()| Full::new(Bytes::from(body))), number).await;
    let response = match result {
        Ok(response) if !rejects => response,
        failed => {
            let code = if failed.is_ok() { Code::H3_REQUEST_REJECTED } else { Code::H3_INTERNAL_ERROR };
            stream.stop_stream(code);
            return Ok(());
        }
    };
    let (head, body) = response.into_parts();
    stream.send_response(Response::from_parts(head, ())).await?;
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    if !body.is_empty() {
        stream.send_data(body).await?;
    }
    stream.finish().await
}

/// Reads the whole request, records it and applies the current behavior to it.
async fn respond<B>(
    state: Arc<Shared>,
    request: Request<B>,
    connection: u64,
) -> Result<Response<Full<Bytes>>, ConnectionReset>
where
    B: hyper::body::Body<Data = Bytes>,
{
    let info = RequestInfo::of(&request);
    if request.uri().path().starts_with("/-/") {
        return Ok(response(200, false, ""));
    }
    request.into_body().collect().await.map_err(|_| ConnectionReset)?;
    let received_at = Instant::now();
    let mut behavior = state.behavior();
    let record = |executed: bool| state.record(&info, received_at, executed, connection);
    if matches!(behavior, ServerBehavior::TurnAway | ServerBehavior::Reject)
        || state.queued.load(Ordering::Relaxed) >= state.queue_limit
    {
        record(false);
        return Ok(response(503, true, ""));
    }
    record(true);
    if behavior == ServerBehavior::HoldRequests {
        behavior = state.behavior_change(ServerBehavior::HoldRequests).await;
    }
    match behavior {
        ServerBehavior::Serve(work) => {
            if !work.is_zero() {
                state.queued.fetch_add(1, Ordering::Relaxed);
                let queued = QueuedGuard(&state.queued);
                let _core = state.cores.acquire().await.map_err(|_| ConnectionReset)?;
                drop(queued);
                tokio::time::sleep(work).await;
            }
            Ok(response(200, false, info.txn))
        }
        ServerBehavior::TruncateResponse { .. } => Ok(response(200, false, info.txn)),
        ServerBehavior::GoawayThenServe => {
            tokio::time::sleep(Duration::from_millis(50)).await;
            Ok(response(200, false, info.txn))
        }
        ServerBehavior::Error => Ok(response(500, false, "")),
        ServerBehavior::TurnAway | ServerBehavior::Reject => Ok(response(503, true, "")),
        ServerBehavior::CloseConnection
        | ServerBehavior::GoawayThenReset
        | ServerBehavior::HoldRequests
        | ServerBehavior::Goaway
        | ServerBehavior::IgnoreBody => Err(ConnectionReset),
    }
}
