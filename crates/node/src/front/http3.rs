//! HTTP/3 from clients (RFC 9114), over QUIC.
//!
//! ```text
//!   endpoint ─▶ handshakes (bounded; Retry under pressure) ─▶ connection ─▶ streams ─▶ Clients::handle
//! ```
//!
//! Requests are read by the same code as those of HTTP/1.1. What HTTP/3 adds is put into its form first:
//! `:authority` becomes `Host`; what it forbids is turned away before anything of it goes on.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes};
use h3::error::Code;
use h3::server::{RequestResolver, RequestStream};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use quinn::{Endpoint, Incoming, VarInt};
use rustls::pki_types::CertificateDer;
use tokio::task::spawn_local;
use tokio::time::{timeout, Instant};
use woodgap_tenancy::shares::NOBODY;

use super::clients::{plain, Clients, LONGEST_HEAD, MOST_HEADERS};
use super::conn::{Conn, Peer, Phase, SLOW};
use super::places::HANDOVER;
use super::request::Fault;
use crate::meter::{metered, Meter};
use crate::quic::{self, Stops};
use crate::task::{Budget, Permit};
use crate::upstream::exchange::LONGEST_BODY;

/// Requests that may be open on one connection.
pub const MOST_STREAMS: u32 = 64;
/// Handshakes that may be in progress; from half of it on an address has to prove itself first (Retry,
/// RFC 9000, section 8.1.2), and past it newcomers are turned away.
pub const MOST_HANDSHAKES: usize = 256;
/// How long a handshake may take.
const HANDSHAKE: Duration = Duration::from_secs(3);
/// How often a newcomer waits for the place of a connection that is being closed.
const HANDOVERS: usize = 8;
/// A connection on which nothing comes for this long is over.
const IDLE: Duration = Duration::from_secs(30);
/// After a GOAWAY, for so long something may come that was sent before it was heard; it is rejected then, which tells
/// more than a connection that ends.
const LINGER: Duration = Duration::from_millis(200);
/// An answer that its client does not read for this long is given up on.
const UNREAD: Duration = Duration::from_secs(5);
/// Requests that a client may give up beyond those that it let be answered; one that goes on is cut off.
pub const MOST_GIVEN_UP: u32 = 256;
/// Bytes that a client may send ahead on one stream, and on all of a connection.
const STREAM_WINDOW: u32 = (LONGEST_BODY + LONGEST_HEAD) as u32;
const WINDOW: u32 = 4 * STREAM_WINDOW;
/// Bytes of answers that are held for a client that reads slowly.
const SEND_WINDOW: u32 = 4 * LONGEST_BODY as u32;
/// Bytes of datagrams that are kept of a handshake before it is taken up, and of all of them.
const INCOMING_BYTES: u64 = 8 * 1024;
const ALL_INCOMING_BYTES: u64 = 1 << 20;
/// Fields that belong to one connection of HTTP/1.1: a message that bears one is malformed (RFC 9114, section
/// 4.2).
const FORBIDDEN: [&str; 5] = ["connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade"];

/// Bytes that may be under way on a connection each way, of what memory there is for it: an eighth, and never
/// less than one request or answer needs.
fn window(memory: usize, least: u32, most: u32) -> u32 {
    u32::try_from(memory / 8).unwrap_or(u32::MAX).clamp(least, most)
}

/// How a listener speaks QUIC, with so many bytes of memory for each connection.
///
/// # Errors
/// As the TLS library says.
pub fn config(tls: rustls::ServerConfig, memory: usize) -> Result<quinn::ServerConfig, String> {
    let crypto = quinn::crypto::rustls::QuicServerConfig::try_from(tls).map_err(|error| error.to_string())?;
    let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    let mut transport = quinn::TransportConfig::default();
    transport
        .max_concurrent_bidi_streams(MOST_STREAMS.into())
        // Control, and two of QPACK; what grease adds is room for one more.
        .max_concurrent_uni_streams(4u32.into())
        .stream_receive_window(STREAM_WINDOW.into())
        .receive_window(window(memory, STREAM_WINDOW, WINDOW).into())
        .send_window(window(memory, LONGEST_BODY as u32, SEND_WINDOW).into())
        .datagram_receive_buffer_size(None)
        .max_idle_timeout(IDLE.try_into().ok());
    config
        .transport_config(Arc::new(transport))
        .max_incoming(MOST_HANDSHAKES)
        .incoming_buffer_size(INCOMING_BYTES)
        .incoming_buffer_size_total(ALL_INCOMING_BYTES);
    Ok(config)
}

/// A request's body as it comes on its stream, held against the length that its head gives.
struct Incoming3 {
    stream: RequestStream<quic::Receive, Bytes>,
    /// What its head says, if it says.
    length: Option<u64>,
    seen: u64,
}

impl Drop for Incoming3 {
    /// What is left of it is not wanted, which is no error: the answer stands (RFC 9114, section 4.1).
    fn drop(&mut self) {
        self.stream.stop_sending(Code::H3_NO_ERROR);
    }
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

impl http_body::Body for Incoming3 {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let mut data = match ready!(self.stream.poll_recv_data(cx)) {
            Ok(Some(data)) => data,
            Ok(None) => {
                // Shorter than it says: malformed (RFC 9114, section 4.1.2).
                let short = self.length.is_some_and(|length| length != self.seen);
                return Poll::Ready(short.then(|| Err("shorter than its Content-Length".into())));
            }
            Err(error) => return Poll::Ready(Some(Err(error.into()))),
        };
        let data = data.copy_to_bytes(data.remaining());
        self.seen += data.len() as u64;
        if self.length.is_some_and(|length| self.seen > length) {
            return Poll::Ready(Some(Err("longer than its Content-Length".into())));
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map(SizeHint::with_exact).unwrap_or_default()
    }
}

/// Puts a head into the form that all requests are read in.
///
/// # Errors
/// What HTTP/3 forbids, and what it says in two ways.
fn plainly(request: Request<()>) -> Result<Request<()>, Fault> {
    let bad = |why| Err((StatusCode::BAD_REQUEST, why));
    let (mut parts, ()) = request.into_parts();
    let headers = &mut parts.headers;
    if headers.len() > MOST_HEADERS {
        return Err((StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "too many fields\n"));
    }
    if FORBIDDEN.iter().any(|name| headers.contains_key(*name)) {
        return bad("a field of HTTP/1.1 connections has no place here\n");
    }
    if headers.get_all(header::TE).iter().any(|value| value != "trailers") {
        return bad("TE may only say trailers here\n");
    }
    // One name of the server, whichever way it is said (RFC 9114, section 4.3.1).
    if let Some(authority) = parts.uri.authority() {
        if authority.as_str().contains('@') {
            return bad("no user belongs in :authority\n");
        }
        match headers.get(header::HOST) {
            Some(host) if host.as_bytes() != authority.as_str().as_bytes() => {
                return bad("Host and :authority differ\n");
            }
            Some(_) => {}
            None => {
                let Ok(host) = HeaderValue::from_str(authority.as_str()) else {
                    return bad(":authority cannot be read\n");
                };
                headers.insert(header::HOST, host);
            }
        }
    }
    Ok(Request::from_parts(parts, ()))
}

/// The length that a head gives.
fn length(headers: &HeaderMap) -> Result<Option<u64>, Fault> {
    let mut values = headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let digits =
        value.to_str().ok().filter(|text| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit()));
    // That it stands once is seen to with the other fields.
    let length = digits.and_then(|text| text.parse().ok());
    length.map(Some).ok_or((StatusCode::BAD_REQUEST, "Content-Length is no length\n"))
}

/// A QUIC connection and what is open on it.
struct Streams {
    conn: Rc<Conn>,
    open: Cell<usize>,
    /// Requests that were answered, and those that their client gave up.
    answered: Cell<u32>,
    given_up: Cell<u32>,
    stops: Stops,
}

impl Streams {
    /// Whether the client gives up more than [`MOST_GIVEN_UP`] beyond what it waits for.
    fn is_too_much(&self) -> bool {
        self.given_up.get() > MOST_GIVEN_UP.saturating_add(self.answered.get())
    }

    fn gave_up(&self) {
        self.given_up.set(self.given_up.get().saturating_add(1));
        if self.is_too_much() {
            self.conn.shut(true);
        }
    }
}

/// One open request, until dropped.
struct Open(Rc<Streams>);

impl Open {
    /// Counts one more; gives by when its body must have come.
    fn new(streams: &Rc<Streams>) -> (Self, Instant) {
        let by = streams.conn.opened();
        streams.open.set(streams.open.get() + 1);
        (Open(streams.clone()), by)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let left = self.0.open.get() - 1;
        self.0.open.set(left);
        if left == 0 {
            self.0.conn.enter(Phase::Idle);
        }
    }
}

impl Clients {
    /// Accepts HTTP/3 for as long as the node lives. `name` is what tenants may be named by.
    pub async fn accept3(self: Rc<Self>, endpoint: Endpoint, name: Rc<str>) {
        let handshakes = Budget::new(MOST_HANDSHAKES);
        while let Some(incoming) = endpoint.accept().await {
            if handshakes.part() > 0.5 && !incoming.remote_address_validated() && incoming.may_retry() {
                // Nothing is kept of it: the address proves itself by coming back with what it is sent.
                let _ = incoming.retry();
                continue;
            }
            let Some(handshake) = handshakes.take() else {
                incoming.refuse();
                continue;
            };
            spawn_local(self.clone().serve3(incoming, handshake, name.clone()));
        }
    }

    /// A place for one more connection: it has no descriptor of its own, but memory as others have. Waits for that of
    /// a connection which is closed for it, as long as one may be.
    async fn place3(&self) -> Option<Permit> {
        for _ in 0..HANDOVERS {
            if let Some(place) = self.budget.take() {
                return Some(place);
            }
            if !self.evict() && !self.conns.borrow().values().any(|conn| conn.is_abrupt()) {
                return None;
            }
            let _ = timeout(HANDOVER, self.ended.notified()).await;
        }
        None
    }

    async fn serve3(self: Rc<Self>, incoming: Incoming, handshake: Permit, listener: Rc<str>) {
        let Some(place) = self.place3().await else { return incoming.refuse() };
        let Ok(connecting) = incoming.accept() else { return };
        let Ok(Ok(connection)) = timeout(HANDSHAKE, connecting).await else { return };
        drop(handshake);
        let held = connection.clone();
        let shown =
            connection.peer_identity().and_then(|any| any.downcast::<Vec<CertificateDer<'static>>>().ok());
        let subject = shown.and_then(|chain| super::keys::subject(chain.first()?));
        let peer = Peer { subject, ..Peer::at(connection.remote_address()) };
        let (adapted, stops) = quic::Connection::new(connection);
        let mut builder = h3::server::builder();
        builder.max_field_section_size(LONGEST_HEAD as u64).send_grease(false);
        let Ok(Ok(mut served)) = timeout(HANDSHAKE, builder.build::<_, Bytes>(adapted)).await else {
            return;
        };
        let conn = Conn::new(SLOW, peer);
        let number = self.next_conn.replace(self.next_conn.get() + 1);
        self.conns.borrow_mut().insert(number, conn.clone());
        let meter = self.directory.core().map(|core| Meter::new(core.clone(), NOBODY, 1));
        let streams = Rc::new(Streams {
            conn: conn.clone(),
            open: Cell::new(0),
            answered: Cell::new(0),
            given_up: Cell::new(0),
            stops,
        });
        metered(meter.clone(), async {
            // One that comes while the node closes is told so at once; what it has sent is answered.
            let mut told = false;
            if self.closing.get() {
                conn.shut(false);
            }
            loop {
                tokio::select! {
                    accepted = served.accept() => match accepted {
                        Ok(Some(resolver)) => {
                            let (open, by) = Open::new(&streams);
                            let (clients, listener, turns) = (self.clone(), listener.clone(), meter.clone());
                            spawn_local(metered(meter.clone(), async move {
                                clients.request3(resolver, by, &open, &listener, turns).await;
                            }));
                        }
                        Ok(None) | Err(_) => break,
                    },
                    () = conn.close.notified() => {
                        if conn.is_abrupt() {
                            break;
                        }
                        // GOAWAY (RFC 9114, section 5.2): what comes after it is rejected, which proves to the
                        // client that nothing ran.
                        if !std::mem::replace(&mut told, true) && served.shutdown(0).await.is_err() {
                            break;
                        }
                    }
                    // A client need not close on it. With nothing open and nothing that may be on its way the
                    // connection is over (RFC 9114, section 5.2).
                    () = tokio::time::sleep(LINGER), if told => {
                        if streams.open.get() == 0 {
                            break;
                        }
                    }
                }
            }
        })
        .await;
        // Who asks only to give up takes what others need (RFC 9114, section 10.5).
        let code = if streams.is_too_much() { Code::H3_EXCESSIVE_LOAD } else { Code::H3_NO_ERROR };
        held.close(VarInt::from_u32(code.value() as u32), b"");
        self.conns.borrow_mut().remove(&number);
        drop(place);
        self.ended.notify_waiters();
    }

    async fn request3(
        &self,
        resolver: RequestResolver<quic::Connection, Bytes>,
        body_by: Instant,
        open: &Open,
        listener: &str,
        meter: Option<Rc<Meter>>,
    ) {
        // A head that cannot be read ends its stream, and one that breaks the protocol its connection.
        let resolved = tokio::time::timeout_at(body_by, resolver.resolve_request()).await;
        let Ok(Ok((request, stream))) = resolved else { return open.0.gave_up() };
        let stopped = open.0.stops.take(stream.id());
        let (mut send, mut receive) = stream.split();
        let read = plainly(request).and_then(|request| Ok((length(request.headers())?, request)));
        let response = match read {
            Ok((length, request)) => {
                // A GET has no body here: one that comes all the same is longer than that.
                let length = length.or((request.method() == Method::GET).then_some(0));
                let request = request.map(|()| Incoming3 { stream: receive, length, seen: 0 });
                let handled = self.handle(request, body_by, &open.0.conn, listener, meter);
                let stopped = stopped.unwrap_or_else(|| Box::pin(std::future::pending()));
                // Dropped, the request is withdrawn: its attempt ends and its place is free.
                tokio::select! {
                    (response, _) = handled => response,
                    () = stopped => {
                        send.stop_stream(Code::H3_REQUEST_CANCELLED);
                        return open.0.gave_up();
                    }
                }
            }
            Err((status, why)) => {
                receive.stop_sending(Code::H3_NO_ERROR);
                plain(status, why)
            }
        };
        // A client that does not read its answer holds its stream, of which it has so many.
        let sent = timeout(UNREAD, answer(&mut send, response)).await;
        match sent {
            Ok(Ok(())) => open.0.answered.set(open.0.answered.get().saturating_add(1)),
            Ok(Err(_)) => open.0.gave_up(),
            Err(_) => {
                send.stop_stream(Code::H3_REQUEST_CANCELLED);
                open.0.gave_up();
            }
        }
    }
}

async fn answer(
    send: &mut RequestStream<quic::Send<Bytes>, Bytes>,
    response: Response<http_body_util::Full<Bytes>>,
) -> Result<(), h3::error::StreamError> {
    let (mut head, body) = response.into_parts();
    head.headers.remove(HeaderName::from_static("connection"));
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(never) => match never {},
    };
    head.headers.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    send.send_response(Response::from_parts(head, ())).await?;
    if !body.is_empty() {
        send.send_data(body).await?;
    }
    send.finish().await
}

#[cfg(test)]
mod tests {
    use super::*;

    fn request(fields: &[(&str, &str)], uri: &str) -> Request<()> {
        let mut request = Request::builder().method("GET").uri(uri);
        for (name, value) in fields {
            request = request.header(*name, *value);
        }
        request.body(()).unwrap()
    }

    #[test]
    fn what_http3_forbids_is_turned_away() {
        for fields in [
            [("connection", "close")],
            [("transfer-encoding", "chunked")],
            [("upgrade", "h2c")],
            [("keep-alive", "5")],
            [("proxy-connection", "close")],
            [("te", "gzip")],
            [("host", "other.example")],
        ] {
            let read = plainly(request(&fields, "https://clubs.example/api"));
            assert_eq!(read.unwrap_err().0, StatusCode::BAD_REQUEST, "{fields:?}");
        }
        assert!(plainly(request(&[], "https://me@clubs.example/api")).is_err());
    }

    #[test]
    fn windows_follow_the_memory_that_there_is() {
        assert_eq!(window(1 << 30, STREAM_WINDOW, WINDOW), WINDOW);
        assert_eq!(window(1 << 20, STREAM_WINDOW, WINDOW), 1 << 17);
        assert_eq!(window(0, STREAM_WINDOW, WINDOW), STREAM_WINDOW);
    }

    #[test]
    fn the_authority_is_the_host() {
        let read = plainly(request(&[("te", "trailers")], "https://clubs.example/api")).unwrap();
        assert_eq!(read.headers()["host"], "clubs.example");
        let read = plainly(request(&[("host", "clubs.example")], "https://clubs.example/api")).unwrap();
        assert_eq!(read.headers().get_all("host").iter().count(), 1);
    }

    #[test]
    fn a_length_is_digits_alone() {
        let of = |value: &str| {
            let mut headers = HeaderMap::new();
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from_str(value).unwrap());
            length(&headers)
        };
        assert_eq!((of("0"), of("17")), (Ok(Some(0)), Ok(Some(17))));
        assert_eq!(length(&HeaderMap::new()), Ok(None));
        for odd in ["", "+1", "-1", "1 ", "0x10", "1,1", "99999999999999999999999"] {
            assert!(of(odd).is_err(), "{odd}");
        }
    }
}
