//! One connection to a server, one request on it, and what its answer proves.

use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};
use woodgap_decisions::Outcome;

use crate::meter::{metered, Meter};
use crate::task::{AbortOnDrop, Permit};

/// The longest body of a request or an answer.
pub const LONGEST_BODY: usize = 64 * 1024;
/// The longest head of an answer, and all that may come for one request: heads that don't end, or
/// 1xx answers without number, would keep the node reading until the deadline.
const LONGEST_HEAD: usize = 32 * 1024;
const LONGEST_ANSWER: usize = LONGEST_BODY + 2 * LONGEST_HEAD;
/// An answer's body that stands still for this long will not be whole.
const STALL: Duration = Duration::from_millis(500);
/// A connection rests this long after an answer: what comes right behind one, a second copy or the
/// server's close, would else be taken for the answer to the next request, or lose it.
pub const SETTLE: Duration = Duration::from_millis(10);

/// A client's request as it goes on to servers, headers of one connection left out.
pub struct Call {
    pub method: Method,
    pub target: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A socket that the library's connection reads and the node looks at before it is used again.
struct Wire {
    stream: TcpStream,
    /// Bytes that may still come; none while no request is out.
    left: Cell<usize>,
    /// Whether anything came since the request was written.
    heard: Cell<bool>,
}

struct Socket(Rc<Wire>);

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let wire = &self.0;
        loop {
            ready!(wire.stream.poll_read_ready(cx))?;
            match wire.stream.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    let left = wire.left.get().checked_sub(count);
                    let left = left.ok_or_else(|| io::Error::other("more than an answer may have"))?;
                    wire.left.set(left);
                    wire.heard.set(wire.heard.get() || count > 0);
                    buf.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl Socket {
    fn write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match write(&self.0.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        self.write(cx, |stream| stream.try_write(data))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write(cx, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}

/// A connection to a server. Closed when dropped.
pub struct Link {
    sender: SendRequest<Full<Bytes>>,
    wire: Rc<Wire>,
    _connection: AbortOnDrop,
    /// The server's epoch when it was opened.
    pub epoch: u64,
    pub idle_since: Instant,
}

/// What a request on a connection came to.
pub enum Exchange {
    /// Nothing of it was written.
    Unsent,
    /// The connection broke or no answer can come of what came; it may have run.
    Broken,
    Answer {
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
        /// Whether the connection may be used again.
        reusable: bool,
    },
}

impl Link {
    pub async fn dial(
        addr: SocketAddr,
        epoch: u64,
        permit: Permit,
        meter: Option<Rc<Meter>>,
    ) -> io::Result<Link> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let wire = Rc::new(Wire { stream, left: Cell::new(0), heard: Cell::new(false) });
        let (sender, connection) = http1::Builder::new()
            .max_headers(64)
            .max_buf_size(LONGEST_HEAD)
            .handshake(TokioIo::new(Socket(wire.clone())))
            .await
            .map_err(io::Error::other)?;
        let connection = AbortOnDrop::spawn(metered(meter, async move {
            let _permit = permit;
            let _ = connection.await;
        }));
        Ok(Link { sender, wire, _connection: connection, epoch, idle_since: Instant::now() })
    }

    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether it is open and nothing came on it unasked. Asks the system: what the runtime knows of
    /// the socket may be older than a second copy that waits on it.
    pub fn is_clean(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let nothing = SockRef::from(&self.wire.stream).peek(&mut byte);
        !self.is_closed() && nothing.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether anything came back for the request that was written last.
    pub fn heard(&self) -> bool {
        self.wire.heard.get()
    }

    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    pub async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Exchange {
        self.wire.left.set(LONGEST_ANSWER);
        self.wire.heard.set(false);
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            // Only a message that comes back is certain not to have gone out.
            Err(error) if error.message().is_some() => return Exchange::Unsent,
            Err(_) => return Exchange::Broken,
        };
        let whole = whole(response).await;
        self.wire.left.set(0);
        whole.unwrap_or(Exchange::Broken)
    }
}

/// Reads an answer to its end, the whole body first: one that breaks half-way is still an outcome, and
/// the client has seen nothing of it. `None` for one that can't be trusted.
async fn whole(response: Response<Incoming>) -> Option<Exchange> {
    let (head, mut incoming) = response.into_parts();
    let framings = [CONTENT_LENGTH, TRANSFER_ENCODING].map(|name| head.headers.contains_key(name));
    let upgraded = head.status == StatusCode::SWITCHING_PROTOCOLS;
    // Two framings may be read in two ways. A length beyond what bodies may have is known for wrong
    // before the first byte of it.
    if framings == [true, true] || upgraded || incoming.size_hint().lower() > LONGEST_BODY as u64 {
        return None;
    }
    if framings == [false, false] && !incoming.is_end_stream() {
        // Its end is the connection's, which does not prove that it is whole. Only what the head
        // says by itself counts.
        let (status, headers, body) = (head.status, head.headers, Bytes::new());
        return (status != StatusCode::OK).then_some(Exchange::Answer {
            status,
            headers,
            body,
            reusable: false,
        });
    }
    let mut body = BytesMut::new();
    while let Some(frame) = timeout(STALL, incoming.frame()).await.ok()? {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        if body.len() + data.len() > LONGEST_BODY {
            return None;
        }
        body.extend_from_slice(&data);
    }
    let (status, headers, body) = (head.status, head.headers, body.freeze());
    Some(Exchange::Answer { status, headers, body, reusable: true })
}

/// The request as it goes to a server.
pub fn request(call: &Call, addr: SocketAddr, until: Instant) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    *request.headers_mut() = call.headers.clone();
    let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
    let headers = request.headers_mut();
    headers.insert("x-remaining-ms", HeaderValue::from(left.max(1)));
    if !headers.contains_key(HOST) {
        if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
            headers.insert(HOST, host);
        }
    }
    request
}

/// What an answer means. Only the header proves that a request was turned away unseen: 503 and
/// 504 without it may come from a request that ran.
pub fn outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let turned_away = headers.get("x-turned-away").is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => Outcome::Full,
        _ => Outcome::Error,
    }
}

/// A load report, in the order of the settings; one that can't be read whole is none.
pub fn load(headers: &HeaderMap, fields: &[String]) -> Vec<f64> {
    let Some(text) = headers.get("x-pressure") else { return Vec::new() };
    let report: HashMap<String, f64> = serde_json::from_slice(text.as_bytes()).unwrap_or_default();
    let sound = |value: &f64| (0.0..1e6).contains(value);
    let figures = fields.iter().map(|field| report.get(field).copied().filter(sound));
    figures.collect::<Option<_>>().unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_header_proves_that_a_request_was_turned_away() {
        let mut headers = HeaderMap::new();
        assert_eq!(outcome(StatusCode::SERVICE_UNAVAILABLE, &headers), Outcome::Error);
        headers.insert("x-turned-away", HeaderValue::from_static("1"));
        assert_eq!(outcome(StatusCode::SERVICE_UNAVAILABLE, &headers), Outcome::Full);
        assert_eq!(outcome(StatusCode::GATEWAY_TIMEOUT, &headers), Outcome::Full);
        assert_eq!(outcome(StatusCode::INTERNAL_SERVER_ERROR, &headers), Outcome::Error);
        assert_eq!(outcome(StatusCode::OK, &headers), Outcome::Ok);
    }

    #[test]
    fn a_report_is_read_whole_or_not_at_all() {
        let fields = ["queue".to_owned(), "util".to_owned()];
        let read = |text: &'static str| {
            let mut headers = HeaderMap::new();
            headers.insert("x-pressure", HeaderValue::from_static(text));
            load(&headers, &fields)
        };
        assert_eq!(read(r#"{"util":0.5,"queue":3,"more":1}"#), [3.0, 0.5]);
        for odd in [
            r#"{"queue":3}"#,
            r#"{"queue":3,"util":-1}"#,
            r#"{"queue":3,"util":1e99}"#,
            r#"{"queue":3,"util":NaN}"#,
            r#"{"queue":3,"util":0."#,
            "[3,0.5]",
        ] {
            assert!(read(odd).is_empty(), "{odd}");
        }
    }
}
