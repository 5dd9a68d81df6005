//! QUIC streams as `h3` wants them, over `quinn`, on both sides of the node, with two things more:
//!
//! - a client that gives its request up (STOP_SENDING, RFC 9000, section 3.5; RFC 9114, section 4.1.1) is heard of
//!   while a server still works on it; `h3-quinn` keeps that to itself until something is written;
//! - a stream that is being read may be given up; `h3-quinn` 0.0.10 panics then, as the read has the stream.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{ready, Context, Poll};

use bytes::{Buf, Bytes, BytesMut};
use h3::error::Code;
use h3::quic::{self, ConnectionErrorIncoming, StreamErrorIncoming, StreamId, WriteBuf};
use quinn::{ConnectionError, ReadError, VarInt, WriteError};

/// Bytes that are read of a stream at a time.
const READ: usize = 4_096;

type Boxed<T> = Pin<Box<dyn Future<Output = T> + std::marker::Send>>;

/// Done when the client wants the answer no more.
pub type Stopped = Boxed<()>;

/// The streams of a connection whose client may yet give them up, by their ids.
#[derive(Clone, Default)]
pub struct Stops(Arc<Mutex<BTreeMap<u64, Stopped>>>);

/// Streams that are remembered without a request that was read on them, at most; the oldest are forgotten.
const MOST_UNREAD: usize = 256;

impl Stops {
    fn put(&self, id: StreamId, stopped: Stopped) {
        let mut stops = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        stops.insert(id.into_inner(), stopped);
        // Of those that were rejected or could not be read nobody asks.
        while stops.len() > MOST_UNREAD {
            stops.pop_first();
        }
    }

    /// What tells of one stream; it is there once.
    pub fn take(&self, id: StreamId) -> Option<Stopped> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(&id.into_inner())
    }
}

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
        let stopped = send.stopped();
        self.stops.put(
            id(send.id()),
            Box::pin(async move {
                // All was acknowledged: there is nothing left to give up.
                if let Ok(None) = stopped.await {
                    std::future::pending::<()>().await;
                }
            }),
        );
        Poll::Ready(Ok(Both { send: Send::new(send), receive: Receive(receive) }))
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

/// A stream both ways.
pub struct Both<B> {
    send: Send<B>,
    receive: Receive,
}

impl<B: Buf> quic::BidiStream<B> for Both<B> {
    type SendStream = Send<B>;
    type RecvStream = Receive;

    fn split(self) -> (Send<B>, Receive) {
        (self.send, self.receive)
    }
}

impl<B: Buf> quic::RecvStream for Both<B> {
    type Buf = Bytes;

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        self.receive.poll_data(cx)
    }

    fn stop_sending(&mut self, error_code: u64) {
        self.receive.stop_sending(error_code);
    }

    fn recv_id(&self) -> StreamId {
        self.receive.recv_id()
    }
}

impl<B: Buf> quic::SendStream<B> for Both<B> {
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.send.poll_ready(cx)
    }

    fn send_data<T: Into<WriteBuf<B>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        self.send.send_data(data)
    }

    fn poll_finish(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.send.poll_finish(cx)
    }

    fn reset(&mut self, reset_code: u64) {
        self.send.reset(reset_code);
    }

    fn send_id(&self) -> StreamId {
        self.send.send_id()
    }
}

/// The receiving side of a stream.
pub struct Receive(quinn::RecvStream);

impl quic::RecvStream for Receive {
    type Buf = Bytes;

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        let mut data = BytesMut::zeroed(READ);
        let read = match ready!(self.0.poll_read(cx, &mut data)) {
            Ok(read) => read,
            Err(ReadError::Reset(code)) => {
                return Poll::Ready(Err(StreamErrorIncoming::StreamTerminated {
                    error_code: code.into_inner(),
                }))
            }
            Err(ReadError::ConnectionLost(error)) => return Poll::Ready(Err(cut(error))),
            Err(other) => return Poll::Ready(Err(StreamErrorIncoming::Unknown(Box::new(other)))),
        };
        data.truncate(read);
        Poll::Ready(Ok((read > 0).then(|| data.freeze())))
    }

    fn stop_sending(&mut self, error_code: u64) {
        // One that has ended by itself has nothing to stop.
        let _ = self.0.stop(VarInt::from_u64(error_code).unwrap_or(VarInt::MAX));
    }

    fn recv_id(&self) -> StreamId {
        id(self.0.id())
    }
}

/// The sending side of a stream.
pub struct Send<B> {
    stream: quinn::SendStream,
    /// What is being written.
    writing: Option<WriteBuf<B>>,
}

impl<B> Send<B> {
    fn new(stream: quinn::SendStream) -> Self {
        Send { stream, writing: None }
    }
}

impl<B: Buf> quic::SendStream<B> for Send<B> {
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        while let Some(data) = &mut self.writing {
            if !data.has_remaining() {
                self.writing = None;
                break;
            }
            match ready!(Pin::new(&mut self.stream).poll_write(cx, data.chunk())) {
                Ok(written) => data.advance(written),
                Err(WriteError::Stopped(code)) => {
                    let error_code = code.into_inner();
                    return Poll::Ready(Err(StreamErrorIncoming::StreamTerminated { error_code }));
                }
                Err(WriteError::ConnectionLost(error)) => return Poll::Ready(Err(cut(error))),
                Err(other) => return Poll::Ready(Err(StreamErrorIncoming::Unknown(Box::new(other)))),
            }
        }
        Poll::Ready(Ok(()))
    }

    fn send_data<T: Into<WriteBuf<B>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        if self.writing.is_some() {
            return Err(StreamErrorIncoming::Unknown("data before the last was written".into()));
        }
        self.writing = Some(data.into());
        Ok(())
    }

    fn poll_finish(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        ready!(self.poll_ready(cx))?;
        Poll::Ready(self.stream.finish().map_err(|error| StreamErrorIncoming::Unknown(Box::new(error))))
    }

    fn reset(&mut self, reset_code: u64) {
        // One that has ended by itself has nothing to reset.
        let _ = self.stream.reset(VarInt::from_u64(reset_code).unwrap_or(VarInt::MAX));
    }

    fn send_id(&self) -> StreamId {
        id(self.stream.id())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // A client whose streams are all rejected, or never bear a head that can be read.
    #[test]
    fn streams_that_nobody_asks_for_are_forgotten() {
        let stops = Stops::default();
        let id = |n: u64| StreamId::try_from(4 * n).unwrap();
        for n in 0..10_000 {
            stops.put(id(n), Box::pin(std::future::pending()));
        }
        assert_eq!(stops.0.lock().unwrap().len(), MOST_UNREAD);
        assert!(stops.take(id(9_999)).is_some() && stops.take(id(9_999)).is_none());
        assert!(stops.take(id(0)).is_none());
    }
}
