//! A client of the protocol, over HTTP/1.1.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// A request as a client of the protocol sends it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// `X-Txn`.
    pub txn: String,
    /// `X-Lane`.
    pub class: String,
    /// `X-Org`, if sent.
    pub org: Option<String>,
    /// `Host`.
    pub host: String,
    /// The routing key in the query.
    pub key: String,
    /// Whether the class is safe: `GET`, otherwise `POST` with a small body.
    pub safe: bool,
    /// How long the client waits for the response (`X-Remaining-Ms`).
    pub timeout: Duration,
    /// Whether the request declares itself a retry (`X-Resent`).
    pub resent: bool,
    /// Name and value of one more header, if any.
    pub extra_header: Option<(String, String)>,
}

impl ClientRequest {
    /// A safe request of the class `lookup`.
    pub fn lookup(org: &str, txn: impl Into<String>) -> ClientRequest {
        let txn = txn.into();
        ClientRequest {
            key: txn.clone(),
            txn,
            class: "lookup".into(),
            org: Some(org.into()),
            host: "clubs.example".into(),
            safe: true,
            timeout: Duration::from_secs(2),
            resent: false,
            extra_header: None,
        }
    }

    /// An unsafe request of the class `renew`.
    pub fn renew(org: &str, txn: impl Into<String>) -> ClientRequest {
        ClientRequest { class: "renew".into(), safe: false, ..ClientRequest::lookup(org, txn) }
    }

    /// The same request with another timeout.
    pub fn with_timeout(self, timeout: Duration) -> ClientRequest {
        ClientRequest { timeout, ..self }
    }

    fn to_http(&self) -> io::Result<Request<Full<Bytes>>> {
        let body = if self.safe { Bytes::new() } else { Bytes::from_static(b"hello") };
        let mut request = Request::builder()
            .method(if self.safe { Method::GET } else { Method::POST })
            .uri(format!("/api?key={}", self.key))
            .header("host", &self.host)
            .header("x-txn", &self.txn)
            .header("x-lane", &self.class)
            .header("x-remaining-ms", self.timeout.as_millis().to_string());
        if let Some(org) = &self.org {
            request = request.header("x-org", org);
        }
        if self.resent {
            request = request.header("x-resent", "1");
        }
        if let Some((name, value)) = &self.extra_header {
            request = request.header(name, value);
        }
        request.body(Full::new(body)).map_err(io::Error::other)
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Time from the start of sending the request until the last byte of the response arrived.
    pub elapsed: Duration,
}

impl ClientResponse {
    /// `Retry-After`, in seconds.
    pub fn retry_after(&self) -> Option<f64> {
        self.headers.get("retry-after")?.to_str().ok()?.parse().ok()
    }
}

/// A request body of two parts; the second part is sent when the test calls [`BodyRemainder::send`].
pub struct DelayedBody {
    first: Option<Bytes>,
    second: tokio::sync::oneshot::Receiver<Bytes>,
    length: u64,
    done: bool,
}

/// The second part of a [`DelayedBody`] and the channel that releases it.
pub struct BodyRemainder(tokio::sync::oneshot::Sender<Bytes>, Bytes);

impl BodyRemainder {
    /// Sends the second part.
    pub fn send(self) {
        let _ = self.0.send(self.1);
    }
}

impl DelayedBody {
    /// Creates a body from its two parts.
    pub fn new(first: &'static [u8], second: &'static [u8]) -> (DelayedBody, BodyRemainder) {
        let (tx, rx) = tokio::sync::oneshot::channel();
        let length = (first.len() + second.len()) as u64;
        let body = DelayedBody { first: Some(Bytes::from_static(first)), second: rx, length, done: false };
        (body, BodyRemainder(tx, Bytes::from_static(second)))
    }
}

impl hyper::body::Body for DelayedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<io::Result<hyper::body::Frame<Bytes>>>> {
        use std::task::Poll;
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(hyper::body::Frame::data(first))));
        }
        if self.done {
            return Poll::Ready(None);
        }
        let second = std::task::ready!(std::future::Future::poll(std::pin::Pin::new(&mut self.second), cx));
        self.done = true;
        let second = second.map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof));
        Poll::Ready(Some(second.map(hyper::body::Frame::data)))
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        hyper::body::SizeHint::with_exact(self.length)
    }
}

type AnyBody = http_body_util::combinators::BoxBody<Bytes, io::Error>;

/// A task that waits for a response.
pub type PendingResponse = tokio::task::JoinHandle<io::Result<ClientResponse>>;

/// A connection to a node.
pub struct Connection {
    sender: SendRequest<AnyBody>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects over TCP.
    ///
    /// # Errors
    /// If the connection cannot be established.
    pub async fn open(addr: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        Connection::handshake(stream).await
    }

    /// Connects over TLS and verifies the server name [`crate::http3::SERVER_NAME`].
    ///
    /// # Errors
    /// If the connection cannot be established or the TLS handshake fails.
    pub async fn open_tls(addr: SocketAddr, config: Arc<rustls::ClientConfig>) -> io::Result<Connection> {
        Connection::open_tls_from(std::net::Ipv4Addr::LOCALHOST, addr, config).await
    }

    /// Connects over TLS like [`Connection::open_tls`], from another local address.
    ///
    /// # Errors
    /// As [`Connection::open_tls`].
    pub async fn open_tls_from(
        from: std::net::Ipv4Addr,
        addr: SocketAddr,
        config: Arc<rustls::ClientConfig>,
    ) -> io::Result<Connection> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.bind((from, 0).into())?;
        let stream = socket.connect(addr).await?;
        stream.set_nodelay(true)?;
        let name = crate::http3::SERVER_NAME.try_into().map_err(io::Error::other)?;
        Connection::handshake(tokio_rustls::TlsConnector::from(config).connect(name, stream).await?).await
    }

    async fn handshake(
        stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    ) -> io::Result<Connection> {
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let task = tokio::spawn(async move { drop(connection.await) });
        Ok(Connection { sender, task })
    }

    /// Whether the connection can carry another request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    /// `TimedOut` 250 ms after the request's timeout, `WouldBlock` if the request was never written, or the
    /// error that ended the connection.
    pub async fn send_request(&mut self, request: &ClientRequest) -> io::Result<ClientResponse> {
        let limit = request.timeout + Duration::from_millis(250);
        tokio::time::timeout(limit, self.send_http(request.to_http()?))
            .await
            .map_err(|_| io::ErrorKind::TimedOut)?
    }

    /// Sends an HTTP request and reads the complete response.
    ///
    /// # Errors
    /// `WouldBlock` if the request was never written, or the error that ended the connection.
    pub async fn send_http(&mut self, request: Request<Full<Bytes>>) -> io::Result<ClientResponse> {
        let sent_at = Instant::now();
        self.sender.ready().await.map_err(|_| io::ErrorKind::WouldBlock)?;
        let request = request.map(|body| body.map_err(|never| match never {}).boxed());
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(error) if error.message().is_some() => return Err(io::ErrorKind::WouldBlock.into()),
            Err(error) => return Err(io::Error::other(error.into_error())),
        };
        read_response(response, sent_at).await
    }

    /// Sends a request whose body is completed later, and waits for the response in a task of its own.
    ///
    /// # Errors
    /// `WouldBlock` if the connection is closed. The task returns the error that ends the connection.
    pub async fn send_delayed(&mut self, request: Request<DelayedBody>) -> io::Result<PendingResponse> {
        let sent_at = Instant::now();
        self.sender.ready().await.map_err(|_| io::ErrorKind::WouldBlock)?;
        let response = self.sender.send_request(request.map(BodyExt::boxed));
        Ok(tokio::spawn(
            async move { read_response(response.await.map_err(io::Error::other)?, sent_at).await },
        ))
    }
}

async fn read_response(
    response: hyper::Response<hyper::body::Incoming>,
    sent_at: Instant,
) -> io::Result<ClientResponse> {
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    Ok(ClientResponse { status: head.status, headers: head.headers, body, elapsed: sent_at.elapsed() })
}

/// Sends a request on a new connection and waits for the complete response.
///
/// # Errors
/// As [`Connection::open`] and [`Connection::send_request`].
pub async fn send_request(addr: SocketAddr, request: &ClientRequest) -> io::Result<ClientResponse> {
    Connection::open(addr).await?.send_request(request).await
}
