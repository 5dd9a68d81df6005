//! A client's socket, which is read ahead of hyper while a request is open, in order to notice a disconnect.
//!
//! ```text
//!   client ─▶ stream ─▶ read_ahead (at most MAX_READ_AHEAD_BYTES) ─▶ hyper ─▶ service ─▶ PendingRequest
//!               │                                                                            ▲
//!               └──── disconnect, at once ─▶ DisconnectWatch ─▶ `serve_http1` drops ─────────┘
//! ```
//!
//! While a request is open, hyper reads on only if its buffer is empty: a disconnect behind buffered bytes
//! stays undetected until the response is written. Nothing may be sent to a server for a request whose client
//! has disconnected, so the disconnect is detected here.

use std::cell::RefCell;
use std::future::Future;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::time::{sleep, Sleep};

use super::connection::{ClientConnection, ConnectionPhase};
use crate::stream::RetryingTcpStream;

/// Maximum number of bytes read ahead on a connection with an open request, for clients that pipeline many
/// requests.
const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;
/// Maximum number of bytes read ahead at a time.
const READ_AHEAD_CHUNK_BYTES: usize = 4 * 1024;
/// How often the kernel is asked for a disconnect once [`MAX_READ_AHEAD_BYTES`] are buffered, as nothing more
/// is read then. No work for a request may begin 0.1 s after its client disconnected.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A stream whose end can be detected before the bytes in front of it are read.
pub trait ClientStream: AsyncRead + AsyncWrite + Unpin {
    /// Whether the kernel has received the end of the stream, or a reset.
    fn is_read_closed(&self) -> bool;
}

impl ClientStream for RetryingTcpStream {
    fn is_read_closed(&self) -> bool {
        let ready =
            pin!(self.get_ref().ready(Interest::READABLE)).poll(&mut Context::from_waker(Waker::noop()));
        // Unknown readiness does not count as the end of the stream.
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }
}

#[cfg(feature = "hosted")]
impl ClientStream for tokio_rustls::server::TlsStream<RetryingTcpStream> {
    fn is_read_closed(&self) -> bool {
        self.get_ref().0.is_read_closed()
    }
}

/// The state that a [`ClientSocket`] shares with its [`DisconnectWatch`].
struct SharedSocket<S> {
    stream: S,
    conn: Rc<ClientConnection>,
    /// Bytes that hyper has not read yet; empty and without allocated memory on an idle connection.
    read_ahead: Vec<u8>,
    /// Whether hyper waits for bytes. It then detects the end of the stream itself, and nothing may be read
    /// ahead.
    read_pending: bool,
    /// Timer for the next check, while [`MAX_READ_AHEAD_BYTES`] are buffered.
    disconnect_check: Option<Pin<Box<Sleep>>>,
}

/// A client's socket, or TLS on it. It updates the phase of its connection when a request begins to arrive.
pub struct ClientSocket<S>(Rc<RefCell<SharedSocket<S>>>);

/// Detects that the client disconnected while its request is open. Polled by the task of the connection.
pub struct DisconnectWatch<S>(Rc<RefCell<SharedSocket<S>>>);

impl<S: ClientStream> ClientSocket<S> {
    /// Wraps a stream, and returns the watch for its disconnect as well.
    pub fn new(stream: S, conn: Rc<ClientConnection>) -> (Self, DisconnectWatch<S>) {
        let shared = SharedSocket {
            stream,
            conn,
            read_ahead: Vec::new(),
            read_pending: false,
            disconnect_check: None,
        };
        let shared = Rc::new(RefCell::new(shared));
        (ClientSocket(shared.clone()), DisconnectWatch(shared))
    }
}

impl<S: ClientStream> DisconnectWatch<S> {
    /// Ready once the client has closed its connection while a request is open. To be polled before and after
    /// hyper.
    pub fn poll(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.0.borrow_mut().poll_disconnect(cx)
    }
}

impl<S: ClientStream> SharedSocket<S> {
    fn poll_disconnect(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.read_pending || !self.conn.has_open_request() {
            return Poll::Pending;
        }
        while self.read_ahead.len() < MAX_READ_AHEAD_BYTES {
            let mut chunk = [MaybeUninit::<u8>::uninit(); READ_AHEAD_CHUNK_BYTES];
            let capacity = READ_AHEAD_CHUNK_BYTES.min(MAX_READ_AHEAD_BYTES - self.read_ahead.len());
            let mut chunk = ReadBuf::uninit(&mut chunk[..capacity]);
            match ready!(Pin::new(&mut self.stream).poll_read(cx, &mut chunk)) {
                Ok(()) if !chunk.filled().is_empty() => self.read_ahead.extend_from_slice(chunk.filled()),
                Ok(()) | Err(_) => return Poll::Ready(()),
            }
        }
        loop {
            if self.stream.is_read_closed() {
                return Poll::Ready(());
            }
            ready!(self
                .disconnect_check
                .get_or_insert_with(|| Box::pin(sleep(DISCONNECT_CHECK_INTERVAL)))
                .as_mut()
                .poll(cx));
            self.disconnect_check = None;
        }
    }

    fn poll_read(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.read_ahead.is_empty() {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        let count = buf.remaining().min(self.read_ahead.len());
        buf.put_slice(&self.read_ahead[..count]);
        self.read_ahead.drain(..count);
        self.disconnect_check = None;
        if self.read_ahead.is_empty() {
            self.read_ahead = Vec::new();
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: ClientStream> AsyncRead for ClientSocket<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut shared = self.0.borrow_mut();
        let before = buf.filled().len();
        let ready = shared.poll_read(cx, buf);
        shared.read_pending = ready.is_pending();
        shared.conn.content_lengths.scan(&buf.filled()[before..]);
        if buf.filled().len() > before {
            shared.conn.record_receive();
            if shared.conn.idle_duration().is_some() {
                shared.conn.enter_phase(ConnectionPhase::ReadingHead);
            }
        }
        ready
    }
}

impl<S: ClientStream> AsyncWrite for ClientSocket<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let mut shared = self.0.borrow_mut();
        let written = Pin::new(&mut shared.stream).poll_write(cx, data);
        shared.conn.record_write(written.is_ready());
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut shared = self.0.borrow_mut();
        let flushed = Pin::new(&mut shared.stream).poll_flush(cx);
        shared.conn.record_flush(flushed.is_ready());
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut shared = self.0.borrow_mut();
        let written = Pin::new(&mut shared.stream).poll_write_vectored(cx, parts);
        shared.conn.record_write(written.is_ready());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().stream.is_write_vectored()
    }
}

#[cfg(test)]
mod tests;
