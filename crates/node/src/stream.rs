//! A TCP stream for all connections of the node that tolerates short and interrupted system calls.
//!
//! After a read that does not fill its buffer the runtime assumes that the socket is empty, after a write
//! that takes only part of the bytes that it is full, and waits for the next edge from epoll(7). A call may
//! return short for other reasons (read(2), write(2)), and then no edge follows. Here only EAGAIN ends a
//! socket's readiness, and a call that fails with EINTR is retried at once.

use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::BufMut;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP stream that retries interrupted calls and stays ready after short ones.
#[derive(Debug)]
pub struct RetryingTcpStream(TcpStream);

impl RetryingTcpStream {
    /// Connects to an address and sets TCP_NODELAY.
    pub async fn connect(addr: SocketAddr) -> io::Result<RetryingTcpStream> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        Ok(RetryingTcpStream(stream))
    }

    /// The underlying stream of the runtime.
    pub fn get_ref(&self) -> &TcpStream {
        &self.0
    }

    /// Reads the available bytes into the free part of the buffer.
    pub fn poll_read_some(&self, cx: &mut Context<'_>, buf: &mut impl BufMut) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read_buf(buf) {
                Err(error) if is_transient(&error) => {}
                done => return Poll::Ready(done),
            }
        }
    }

    /// Writes with `write`, which is called again after an interruption, or once the socket is writable.
    pub fn poll_write_some(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match write(&self.0) {
                Err(error) if is_transient(&error) => {}
                done => return Poll::Ready(done),
            }
        }
    }
}

impl From<TcpStream> for RetryingTcpStream {
    fn from(stream: TcpStream) -> Self {
        RetryingTcpStream(stream)
    }
}

/// Whether a call has to be repeated, at once or when the socket is ready.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

impl AsyncRead for RetryingTcpStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        self.poll_read_some(cx, buf).map_ok(drop)
    }
}

impl AsyncWrite for RetryingTcpStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_some(cx, |stream| stream.try_write(data))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_some(cx, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
