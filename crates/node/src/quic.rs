//! QUIC streams as `h3` wants them, over `quinn`, on both sides of the node, with two things more:
//!
//! - a client that gives its request up (STOP_SENDING, RFC 9000, section 3.5; RFC 9114, section 4.1.1) is heard of
//!   while a server still works on it; `h3-quinn` keeps that to itself until something is written;
//! - a stream that is being read may be given up; `h3-quinn` 0.0.10 panics then, as the read has the stream.

mod stops;
mod streams;

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use bytes::Buf;
use h3::error::Code;
use h3::quic::{self, ConnectionErrorIncoming, StreamErrorIncoming, StreamId};
use quinn::{ConnectionError, VarInt};

pub use stops::Stops;
pub use streams::{Both, Receive, Send};

type Boxed<T> = Pin<Box<dyn Future<Output = T> + std::marker::Send>>;

fn id(id: quinn::StreamId) -> StreamId {
    // Every id of QUIC is one of HTTP/3: both are below 2^62.
    u64::from(id).try_into().expect("an id of QUIC is below 2^62")
}

fn lost(error: ConnectionError) -> ConnectionErrorIncoming {
    match error {
        ConnectionError::ApplicationClosed(close) => {
            ConnectionErrorIncoming::ApplicationClose { error_code: close.error_code.into_inner() }
        }
        ConnectionError::TimedOut => ConnectionErrorIncoming::Timeout,
        other => ConnectionErrorIncoming::Undefined(Arc::new(other)),
    }
}

fn cut(error: ConnectionError) -> StreamErrorIncoming {
    StreamErrorIncoming::ConnectionErrorIncoming { connection_error: lost(error) }
}

/// A connection.
pub struct Connection {
    conn: quinn::Connection,
    stops: Stops,
    accepting: Option<Boxed<Result<(quinn::SendStream, quinn::RecvStream), ConnectionError>>>,
    accepting_uni: Option<Boxed<Result<quinn::RecvStream, ConnectionError>>>,
    open: Open,
}

/// Opens streams.
pub struct Open {
    conn: quinn::Connection,
    bidi: Option<Boxed<Result<(quinn::SendStream, quinn::RecvStream), ConnectionError>>>,
    uni: Option<Boxed<Result<quinn::SendStream, ConnectionError>>>,
}

/// Another one, which opens streams of its own.
impl Clone for Open {
    fn clone(&self) -> Self {
        Open::new(self.conn.clone())
    }
}

impl Open {
    fn new(conn: quinn::Connection) -> Self {
        Open { conn, bidi: None, uni: None }
    }
}

impl Connection {
    /// A connection, and what tells of streams that its client gives up.
    pub fn new(conn: quinn::Connection) -> (Self, Stops) {
        let stops = Stops::default();
        let open = Open::new(conn.clone());
        (Connection { conn, stops: stops.clone(), accepting: None, accepting_uni: None, open }, stops)
    }
}

/// Polls what is under way, or begins it.
fn drive<T>(
    under_way: &mut Option<Boxed<T>>,
    cx: &mut Context<'_>,
    begin: impl FnOnce() -> Boxed<T>,
) -> Poll<T> {
    let done = ready!(under_way.get_or_insert_with(begin).as_mut().poll(cx));
    *under_way = None;
    Poll::Ready(done)
}

impl<B: Buf> quic::Connection<B> for Connection {
    type RecvStream = Receive;
    type OpenStreams = Open;

    fn poll_accept_recv(&mut self, cx: &mut Context<'_>) -> Poll<Result<Receive, ConnectionErrorIncoming>> {
        let conn = &self.conn;
        let begin = || {
            let conn = conn.clone();
            Box::pin(async move { conn.accept_uni().await }) as Boxed<_>
        };
        let accepted = ready!(drive(&mut self.accepting_uni, cx, begin));
        Poll::Ready(accepted.map(Receive).map_err(lost))
    }

    fn poll_accept_bidi(&mut self, cx: &mut Context<'_>) -> Poll<Result<Both<B>, ConnectionErrorIncoming>> {
        let conn = &self.conn;
        let begin = || {
            let conn = conn.clone();
            Box::pin(async move { conn.accept_bi().await }) as Boxed<_>
        };
        let (send, receive) = ready!(drive(&mut self.accepting, cx, begin)).map_err(lost)?;
        let listed = self.stops.list(&send);
        Poll::Ready(Ok(Both { send: Send::listed(send, listed), receive: Receive(receive) }))
    }

    fn opener(&self) -> Open {
        Open::new(self.conn.clone())
    }
}

impl<B: Buf> quic::OpenStreams<B> for Connection {
    type BidiStream = Both<B>;
    type SendStream = Send<B>;

    fn poll_open_bidi(&mut self, cx: &mut Context<'_>) -> Poll<Result<Both<B>, StreamErrorIncoming>> {
        self.open.poll_open_bidi(cx)
    }

    fn poll_open_send(&mut self, cx: &mut Context<'_>) -> Poll<Result<Send<B>, StreamErrorIncoming>> {
        self.open.poll_open_send(cx)
    }

    fn close(&mut self, code: Code, reason: &[u8]) {
        quic::OpenStreams::<B>::close(&mut self.open, code, reason);
    }
}

impl<B: Buf> quic::OpenStreams<B> for Open {
    type BidiStream = Both<B>;
    type SendStream = Send<B>;

    fn poll_open_bidi(&mut self, cx: &mut Context<'_>) -> Poll<Result<Both<B>, StreamErrorIncoming>> {
        let conn = &self.conn;
        let begin = || {
            let conn = conn.clone();
            Box::pin(async move { conn.open_bi().await }) as Boxed<_>
        };
        let (send, receive) = ready!(drive(&mut self.bidi, cx, begin)).map_err(cut)?;
        Poll::Ready(Ok(Both { send: Send::new(send), receive: Receive(receive) }))
    }

    fn poll_open_send(&mut self, cx: &mut Context<'_>) -> Poll<Result<Send<B>, StreamErrorIncoming>> {
        let conn = &self.conn;
        let begin = || {
            let conn = conn.clone();
            Box::pin(async move { conn.open_uni().await }) as Boxed<_>
        };
        Poll::Ready(ready!(drive(&mut self.uni, cx, begin)).map(Send::new).map_err(cut))
    }

    fn close(&mut self, code: Code, reason: &[u8]) {
        self.conn.close(VarInt::from_u64(code.value()).unwrap_or(VarInt::MAX), reason);
    }
}
