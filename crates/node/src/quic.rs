//! Implements the QUIC traits of `h3` over `quinn`, for connections to clients and to servers. It differs
//! from `h3-quinn` in two respects:
//!
//! - a client's cancellation of a request (STOP_SENDING, RFC 9000, section 3.5; RFC 9114, section 4.1.1) is
//!   reported while a server still processes the request; `h3-quinn` reports it only when something is
//!   written;
//! - a stream may be stopped while it is being read; `h3-quinn` 0.0.10 panics in this case, since the pending
//!   read owns the stream.

mod stop_signals;
mod streams;

use std::any::Any;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use bytes::Buf;
use h3::error::Code;
use h3::quic::{self, ConnectionErrorIncoming, StreamErrorIncoming, StreamId};
use quinn::{ConnectionError, VarInt};

pub use stop_signals::StopSignals;
pub use streams::{BidiStream, RecvStream, SendStream};

type Boxed<T> = Pin<Box<dyn Future<Output = T> + std::marker::Send>>;

/// What a stream that the client opened holds for as long as it is open.
pub type StreamPermit = Box<dyn Any>;

/// Decides whether a stream that the client opens is admitted.
type StreamAdmission = Box<dyn FnMut() -> Option<StreamPermit>>;

/// Converts a stream id of `quinn` to one of `h3`.
fn stream_id(id: quinn::StreamId) -> StreamId {
    // Every QUIC stream id is a valid HTTP/3 stream id: both are below 2^62.
    u64::from(id).try_into().expect("a QUIC stream id is below 2^62")
}

/// Converts the error that ended a connection.
fn connection_error(error: ConnectionError) -> ConnectionErrorIncoming {
    match error {
        ConnectionError::ApplicationClosed(close) => {
            ConnectionErrorIncoming::ApplicationClose { error_code: close.error_code.into_inner() }
        }
        ConnectionError::TimedOut => ConnectionErrorIncoming::Timeout,
        other => ConnectionErrorIncoming::Undefined(Arc::new(other)),
    }
}

/// Converts the error that ended a connection into an error of one of its streams.
fn stream_error(error: ConnectionError) -> StreamErrorIncoming {
    StreamErrorIncoming::ConnectionErrorIncoming { connection_error: connection_error(error) }
}

/// A QUIC connection for `h3`.
pub struct Connection {
    conn: quinn::Connection,
    stop_signals: StopSignals,
    accepting: Option<Boxed<Result<(quinn::SendStream, quinn::RecvStream), ConnectionError>>>,
    accepting_uni: Option<Boxed<Result<quinn::RecvStream, ConnectionError>>>,
    open: OpenStreams,
    /// Decides on the streams that the client opens; all are admitted without it.
    admission: Option<StreamAdmission>,
}

/// Opens streams on a connection.
pub struct OpenStreams {
    conn: quinn::Connection,
    bidi: Option<Boxed<Result<(quinn::SendStream, quinn::RecvStream), ConnectionError>>>,
    uni: Option<Boxed<Result<quinn::SendStream, ConnectionError>>>,
}

/// A clone opens streams independently of the original.
impl Clone for OpenStreams {
    fn clone(&self) -> Self {
        OpenStreams::new(self.conn.clone())
    }
}

impl OpenStreams {
    fn new(conn: quinn::Connection) -> Self {
        OpenStreams { conn, bidi: None, uni: None }
    }
}

impl Connection {
    /// Wraps a connection, and returns it with the stop signals of the streams that the client opens.
    pub fn new(conn: quinn::Connection) -> (Self, StopSignals) {
        let stop_signals = StopSignals::default();
        let open = OpenStreams::new(conn.clone());
        (
            Connection {
                conn,
                stop_signals: stop_signals.clone(),
                accepting: None,
                accepting_uni: None,
                open,
                admission: None,
            },
            stop_signals,
        )
    }

    /// Has `admission` decide on the streams that the client opens. The others are rejected with
    /// `H3_REQUEST_REJECTED`, which says that their requests were not processed (RFC 9114, section 4.1.1).
    pub fn admit_streams(&mut self, admission: impl FnMut() -> Option<StreamPermit> + 'static) {
        self.admission = Some(Box::new(admission));
    }
}

/// Rejects the request on a stream.
fn reject(mut send: quinn::SendStream, mut receive: quinn::RecvStream) {
    let code = VarInt::from_u64(Code::H3_REQUEST_REJECTED.value()).unwrap_or(VarInt::MAX);
    // Both fail only if the stream has already ended.
    let _ = receive.stop(code);
    let _ = send.reset(code);
}

/// Polls the pending future, or starts one.
fn poll_or_start<T>(
    pending: &mut Option<Boxed<T>>,
    cx: &mut Context<'_>,
    start: impl FnOnce() -> Boxed<T>,
) -> Poll<T> {
    let output = ready!(pending.get_or_insert_with(start).as_mut().poll(cx));
    *pending = None;
    Poll::Ready(output)
}

impl<B: Buf> quic::Connection<B> for Connection {
    type RecvStream = RecvStream;
    type OpenStreams = OpenStreams;

    fn poll_accept_recv(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<RecvStream, ConnectionErrorIncoming>> {
        let conn = &self.conn;
        let start = || {
            let conn = conn.clone();
            Box::pin(async move { conn.accept_uni().await }) as Boxed<_>
        };
        let accepted = ready!(poll_or_start(&mut self.accepting_uni, cx, start));
        Poll::Ready(accepted.map(RecvStream).map_err(connection_error))
    }

    fn poll_accept_bidi(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<BidiStream<B>, ConnectionErrorIncoming>> {
        loop {
            let conn = &self.conn;
            let start = || {
                let conn = conn.clone();
                Box::pin(async move { conn.accept_bi().await }) as Boxed<_>
            };
            let (send, receive) =
                ready!(poll_or_start(&mut self.accepting, cx, start)).map_err(connection_error)?;
            let permit = match &mut self.admission {
                None => None,
                Some(admission) => match admission() {
                    Some(permit) => Some(permit),
                    None => {
                        reject(send, receive);
                        continue;
                    }
                },
            };
            let registration = self.stop_signals.register(&send);
            return Poll::Ready(Ok(BidiStream {
                send: SendStream::with_registration(send, registration, permit),
                receive: RecvStream(receive),
            }));
        }
    }

    fn opener(&self) -> OpenStreams {
        OpenStreams::new(self.conn.clone())
    }
}

impl<B: Buf> quic::OpenStreams<B> for Connection {
    type BidiStream = BidiStream<B>;
    type SendStream = SendStream<B>;

    fn poll_open_bidi(&mut self, cx: &mut Context<'_>) -> Poll<Result<BidiStream<B>, StreamErrorIncoming>> {
        self.open.poll_open_bidi(cx)
    }

    fn poll_open_send(&mut self, cx: &mut Context<'_>) -> Poll<Result<SendStream<B>, StreamErrorIncoming>> {
        self.open.poll_open_send(cx)
    }

    fn close(&mut self, code: Code, reason: &[u8]) {
        quic::OpenStreams::<B>::close(&mut self.open, code, reason);
    }
}

impl<B: Buf> quic::OpenStreams<B> for OpenStreams {
    type BidiStream = BidiStream<B>;
    type SendStream = SendStream<B>;

    fn poll_open_bidi(&mut self, cx: &mut Context<'_>) -> Poll<Result<BidiStream<B>, StreamErrorIncoming>> {
        let conn = &self.conn;
        let start = || {
            let conn = conn.clone();
            Box::pin(async move { conn.open_bi().await }) as Boxed<_>
        };
        let (send, receive) = ready!(poll_or_start(&mut self.bidi, cx, start)).map_err(stream_error)?;
        Poll::Ready(Ok(BidiStream { send: SendStream::new(send), receive: RecvStream(receive) }))
    }

    fn poll_open_send(&mut self, cx: &mut Context<'_>) -> Poll<Result<SendStream<B>, StreamErrorIncoming>> {
        let conn = &self.conn;
        let start = || {
            let conn = conn.clone();
            Box::pin(async move { conn.open_uni().await }) as Boxed<_>
        };
        Poll::Ready(
            ready!(poll_or_start(&mut self.uni, cx, start)).map(SendStream::new).map_err(stream_error),
        )
    }

    fn close(&mut self, code: Code, reason: &[u8]) {
        self.conn.close(VarInt::from_u64(code.value()).unwrap_or(VarInt::MAX), reason);
    }
}
