//! The socket of an HTTP/1.1 connection to a server, under `hyper`'s connection.
//!
//! It checks whether a request may still be sent in the poll that writes its first byte, limits the bytes
//! that are received for a request, and records what was written and received.

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::stream::RetryingTcpStream;
use crate::task::LocalPermit;

/// Returns whether a response is still awaited: the client is connected, and no other attempt has brought a
/// response.
pub type IsAwaited = Rc<dyn Fn() -> bool>;

/// Returns whether the first byte of a request may be written.
pub type MayStart = Box<dyn Fn() -> bool>;

/// Permission to write a request. Checked after the system has reported the socket as writable and before the
/// write: `hyper`'s task is polled later than the attempt, and in between the client may have disconnected,
/// the server list may have changed or the deadline may have passed.
pub struct WritePermission {
    /// Checked before the first byte is written.
    pub may_start: MayStart,
    /// Checked before any later byte is written: a server runs a request once it has its last byte.
    pub may_continue: IsAwaited,
}

/// State of a socket, shared by `hyper`'s connection, which reads and writes it, and by the attempts that use
/// it.
pub(super) struct SocketState {
    pub(super) stream: RetryingTcpStream,
    /// Bytes that may still be received; 0 while no request is in flight.
    response_bytes_left: Cell<usize>,
    /// Whether any byte was received since the request was written.
    response_started: Cell<bool>,
    /// Response size limit and permission of a request of which nothing is written yet.
    unstarted: RefCell<Option<(usize, MayStart)>>,
    /// Permission for the rest of the request.
    may_continue: RefCell<Option<IsAwaited>>,
    /// Whether everything that `hyper` had buffered is written.
    flushed: Cell<bool>,
    /// Counts the file descriptor for as long as the socket is open.
    _permit: LocalPermit,
}

impl SocketState {
    pub(super) fn new(stream: RetryingTcpStream, permit: LocalPermit) -> Rc<Self> {
        Rc::new(SocketState {
            stream,
            response_bytes_left: Cell::new(0),
            response_started: Cell::new(false),
            unstarted: RefCell::default(),
            may_continue: RefCell::default(),
            flushed: Cell::new(false),
            _permit: permit,
        })
    }

    /// Prepares for a request; from its first byte on, up to `max_response_bytes` may be received for it.
    pub(super) fn prepare_request(&self, max_response_bytes: usize, permission: WritePermission) {
        self.response_started.set(false);
        self.flushed.set(false);
        self.response_bytes_left.set(0);
        *self.unstarted.borrow_mut() = Some((max_response_bytes, permission.may_start));
        *self.may_continue.borrow_mut() = Some(permission.may_continue);
    }

    /// Ends the request, whether or not it received a response.
    pub(super) fn finish_request(&self) {
        self.response_bytes_left.set(0);
        (*self.unstarted.borrow_mut(), *self.may_continue.borrow_mut()) = (None, None);
    }

    /// Whether no byte of the request has been written.
    pub(super) fn is_unsent(&self) -> bool {
        self.unstarted.borrow().is_some()
    }

    /// Whether the request was written completely.
    pub(super) fn is_flushed(&self) -> bool {
        self.flushed.get()
    }

    /// Whether any byte was received for the last request that was written.
    pub(super) fn response_started(&self) -> bool {
        self.response_started.get()
    }

    /// Whether nothing waits to be read, not even the end of the stream. Asks the system, as the runtime may
    /// not have noticed a duplicate response on the socket yet.
    pub(super) fn has_no_pending_input(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let socket = SockRef::from(self.stream.get_ref());
        loop {
            match socket.peek(&mut byte).map_err(|error| error.kind()) {
                Err(io::ErrorKind::Interrupted) => {}
                result => return result == Err(io::ErrorKind::WouldBlock),
            }
        }
    }

    /// Whether the request, or the rest of it, may be written.
    fn may_write(&self) -> bool {
        match &*self.unstarted.borrow() {
            Some((_, may_start)) => self.has_no_pending_input() && may_start(),
            None => self.may_continue.borrow().as_ref().is_none_or(|may_continue| may_continue()),
        }
    }

    /// Records that the first byte of the request is written: its response may be received from here on.
    fn mark_started(&self) {
        if let Some((max_response_bytes, _)) = self.unstarted.take() {
            self.response_bytes_left.set(max_response_bytes);
        }
    }
}

/// The socket as `hyper`'s connection uses it.
pub(super) struct GuardedSocket(pub(super) Rc<SocketState>);

impl AsyncRead for GuardedSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let state = &self.0;
        let count = ready!(state.stream.poll_read_some(cx, buf))?;
        let response_bytes_left = state.response_bytes_left.get().checked_sub(count);
        let response_bytes_left =
            response_bytes_left.ok_or_else(|| io::Error::other("the response exceeds its size limit"))?;
        state.response_bytes_left.set(response_bytes_left);
        state.response_started.set(state.response_started.get() || count > 0);
        Poll::Ready(Ok(()))
    }
}

impl GuardedSocket {
    fn write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let state = &self.0;
        // Checked for each call, as the call may be made in a later poll.
        let written = ready!(state.stream.poll_write_some(cx, |stream| match state.may_write() {
            true => write(stream),
            false => Err(io::Error::other("the request may no longer be sent")),
        }))?;
        if written > 0 {
            state.mark_started();
        }
        Poll::Ready(Ok(written))
    }
}

impl AsyncWrite for GuardedSocket {
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

    /// Called by `hyper` once everything that it had buffered is written.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.flushed.set(!self.0.is_unsent());
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(self.0.stream.get_ref()).shutdown(std::net::Shutdown::Write))
    }
}
