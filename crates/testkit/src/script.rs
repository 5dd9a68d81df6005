//! Faults of stand-in servers below the HTTP libraries: responses that are truncated after an exact number of
//! bytes, over HTTP/1.1 and HTTP/3, and GOAWAY frames with any id.
//!
//! ```text
//!   Backend: behavior for a request ──arm──▶ Truncation (one per HTTP/3 stream or HTTP/1.1 connection)
//!                                              │ counts the bytes sent
//!   h3 ────▶ RequestStream ───┐                │
//!   hyper ─▶ TruncatingStream ┴── bytes ───────┴──▶ the network, up to the limit; then the Ending
//! ```

use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{ready, Context, Poll, Waker};

use bytes::{Buf, Bytes};
use h3::error::Code;
use h3::quic::{
    self, ConnectionErrorIncoming, SendStream as _, SendStreamUnframed as _, StreamErrorIncoming, StreamId,
    WriteBuf,
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// How a truncated response ends. Over HTTP/1.1, [`Ending::Reset`] and [`Ending::Close`] both close the
/// connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The stream is reset with this code.
    Reset(u64),
    /// The connection is closed with this code.
    Close(u64),
    /// Nothing more is sent, and stream and connection stay open.
    Stall,
    /// Over HTTP/3: nothing more is sent until the server's behavior changes; then the stream is reset with
    /// this code. Over HTTP/1.1 as [`Ending::Stall`].
    HoldThenReset(u64),
}

/// Where a response is truncated: after a number of bytes, head and framing included.
#[derive(Debug, Default)]
pub struct Truncation {
    /// Bytes that may still be sent, and what follows them; absent until armed.
    limit: Mutex<Option<(usize, Ending)>>,
    /// Whether [`Truncation::release`] was called, and the task that waits for it.
    released: Mutex<(bool, Option<Waker>)>,
}

impl Truncation {
    /// Truncates what is sent from now on.
    pub fn arm(&self, after_bytes: usize, ending: Ending) {
        *self.limit.lock().unwrap_or_else(PoisonError::into_inner) = Some((after_bytes, ending));
    }

    /// How many of `bytes` bytes may be sent, and the ending that follows them, if they reach the limit.
    fn allowance(&self, bytes: usize) -> (usize, Option<Ending>) {
        match *self.limit.lock().unwrap_or_else(PoisonError::into_inner) {
            Some((remaining, ending)) if bytes >= remaining => (remaining, Some(ending)),
            _ => (bytes, None),
        }
    }

    /// Lets a stream that is held by [`Ending::HoldThenReset`] end.
    pub fn release(&self) {
        let mut released = self.released.lock().unwrap_or_else(PoisonError::into_inner);
        released.0 = true;
        if let Some(waker) = released.1.take() {
            waker.wake();
        }
    }

    fn poll_released(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut released = self.released.lock().unwrap_or_else(PoisonError::into_inner);
        if released.0 {
            return Poll::Ready(());
        }
        released.1 = Some(cx.waker().clone());
        Poll::Pending
    }

    fn record_sent(&self, bytes: usize) {
        if let Some((remaining, _)) = &mut *self.limit.lock().unwrap_or_else(PoisonError::into_inner) {
            *remaining = remaining.saturating_sub(bytes);
        }
    }
}

/// The byte stream of an HTTP/1.1 connection, whose responses can be truncated.
pub struct TruncatingStream<S> {
    inner: S,
    truncation: Arc<Truncation>,
}

impl<S> TruncatingStream<S> {
    /// Wraps a stream; `truncation` limits what is sent on it.
    pub fn new(inner: S, truncation: Arc<Truncation>) -> Self {
        TruncatingStream { inner, truncation }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TruncatingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TruncatingStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let (allowed, ending) = self.truncation.allowance(data.len());
        if let (0, Some(ending)) = (allowed, ending) {
            return match ending {
                Ending::Stall | Ending::HoldThenReset(_) => Poll::Pending,
                Ending::Reset(_) | Ending::Close(_) => Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
            };
        }
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, &data[..allowed]));
        if let Ok(count) = &written {
            self.truncation.record_sent(*count);
        }
        Poll::Ready(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

type SharedSendStream = Arc<Mutex<h3_quinn::SendStream<Bytes>>>;

/// Injects faults into an HTTP/3 connection, beside the `h3` library that serves it.
#[derive(Clone, Default)]
pub struct ConnectionScript {
    /// The truncations of request streams that were not taken yet, by stream id.
    truncations: Arc<Mutex<BTreeMap<u64, Arc<Truncation>>>>,
    /// The server's control stream, once it is open.
    control: Arc<Mutex<Option<SharedSendStream>>>,
}

impl ConnectionScript {
    /// Takes the truncation of a request's stream; `None` when it was taken before.
    pub fn take_truncation(&self, id: StreamId) -> Option<Arc<Truncation>> {
        self.truncations.lock().unwrap_or_else(PoisonError::into_inner).remove(&id.into_inner())
    }

    /// Sends a GOAWAY frame with any id (RFC 9114, section 7.2.6).
    ///
    /// # Errors
    /// If the control stream is not open yet or has ended.
    pub async fn send_goaway(&self, id: u64) -> io::Result<()> {
        let control = self.control.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let control = control.ok_or(io::ErrorKind::NotConnected)?;
        // Frame type, length, and the id as a variable-length integer of eight bytes (RFC 9000, section 16).
        let id = (id | 0xc000_0000_0000_0000).to_be_bytes();
        let mut frame = Bytes::from([&[0x07, 8][..], &id].concat());
        std::future::poll_fn(|cx| {
            let mut control = control.lock().unwrap_or_else(PoisonError::into_inner);
            while frame.has_remaining() {
                ready!(control.poll_send(cx, &mut frame)).map_err(io::Error::other)?;
            }
            Poll::Ready(Ok(()))
        })
        .await
    }
}

/// The server side of an HTTP/3 connection, whose responses can be truncated.
pub struct ScriptedConnection {
    inner: h3_quinn::Connection,
    quic: quinn::Connection,
    script: ConnectionScript,
}

impl ScriptedConnection {
    /// Wraps a QUIC connection; the script injects faults into it.
    pub fn new(quic: quinn::Connection) -> (Self, ConnectionScript) {
        let script = ConnectionScript::default();
        let inner = h3_quinn::Connection::new(quic.clone());
        (ScriptedConnection { inner, quic, script: script.clone() }, script)
    }
}

/// Opens streams on a [`ScriptedConnection`].
pub struct StreamOpener {
    inner: h3_quinn::OpenStreams,
    quic: quinn::Connection,
    script: ConnectionScript,
}

impl quic::Connection<Bytes> for ScriptedConnection {
    type RecvStream = h3_quinn::RecvStream;
    type OpenStreams = StreamOpener;

    fn poll_accept_recv(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<h3_quinn::RecvStream, ConnectionErrorIncoming>> {
        quic::Connection::<Bytes>::poll_accept_recv(&mut self.inner, cx)
    }

    fn poll_accept_bidi(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<RequestStream, ConnectionErrorIncoming>> {
        let accepted = ready!(quic::Connection::<Bytes>::poll_accept_bidi(&mut self.inner, cx));
        Poll::Ready(accepted.map(|inner| {
            let truncation = Arc::new(Truncation::default());
            let id = inner.send_id().into_inner();
            self.script
                .truncations
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .insert(id, truncation.clone());
            RequestStream { inner, truncation, quic: self.quic.clone(), pending: Bytes::new() }
        }))
    }

    fn opener(&self) -> StreamOpener {
        let inner = quic::Connection::<Bytes>::opener(&self.inner);
        StreamOpener { inner, quic: self.quic.clone(), script: self.script.clone() }
    }
}

macro_rules! impl_open_streams {
    ($opener:ty) => {
        impl quic::OpenStreams<Bytes> for $opener {
            type BidiStream = RequestStream;
            type SendStream = ServerStream;

            fn poll_open_bidi(
                &mut self,
                cx: &mut Context<'_>,
            ) -> Poll<Result<RequestStream, StreamErrorIncoming>> {
                let opened = ready!(quic::OpenStreams::<Bytes>::poll_open_bidi(&mut self.inner, cx));
                let (truncation, quic) = (Arc::default(), self.quic.clone());
                Poll::Ready(opened.map(|inner| RequestStream {
                    inner,
                    truncation,
                    quic,
                    pending: Bytes::new(),
                }))
            }

            fn poll_open_send(
                &mut self,
                cx: &mut Context<'_>,
            ) -> Poll<Result<ServerStream, StreamErrorIncoming>> {
                let opened = ready!(quic::OpenStreams::<Bytes>::poll_open_send(&mut self.inner, cx));
                Poll::Ready(opened.map(|inner| ServerStream {
                    inner: Arc::new(Mutex::new(inner)),
                    script: self.script.clone(),
                    pending: Bytes::new(),
                }))
            }

            fn close(&mut self, code: Code, reason: &[u8]) {
                quic::OpenStreams::<Bytes>::close(&mut self.inner, code, reason);
            }
        }
    };
}

impl_open_streams!(ScriptedConnection);
impl_open_streams!(StreamOpener);

fn into_bytes<T: Into<WriteBuf<Bytes>>>(data: T) -> Bytes {
    let mut data: WriteBuf<Bytes> = data.into();
    data.copy_to_bytes(data.remaining())
}

/// The stream of a request, whose response can be truncated.
pub struct RequestStream {
    inner: h3_quinn::BidiStream<Bytes>,
    truncation: Arc<Truncation>,
    quic: quinn::Connection,
    pending: Bytes,
}

impl quic::SendStream<Bytes> for RequestStream {
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        loop {
            let (allowed, ending) = self.truncation.allowance(self.pending.len());
            if let (0, Some(ending)) = (allowed, ending) {
                let code = match ending {
                    Ending::Stall => return Poll::Pending,
                    Ending::HoldThenReset(code) => {
                        ready!(self.truncation.poll_released(cx));
                        self.inner.reset(code);
                        code
                    }
                    Ending::Reset(code) => {
                        self.inner.reset(code);
                        code
                    }
                    Ending::Close(code) => {
                        let close_code = quinn::VarInt::from_u64(code).unwrap_or_default();
                        self.quic.close(close_code, b"");
                        code
                    }
                };
                return Poll::Ready(Err(StreamErrorIncoming::StreamTerminated { error_code: code }));
            }
            if self.pending.is_empty() {
                return Poll::Ready(Ok(()));
            }
            let mut part = self.pending.slice(..allowed);
            let written = ready!(self.inner.poll_send(cx, &mut part))?;
            self.truncation.record_sent(written);
            self.pending.advance(written);
        }
    }

    fn send_data<T: Into<WriteBuf<Bytes>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        self.pending = into_bytes(data);
        Ok(())
    }

    fn poll_finish(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.inner.poll_finish(cx)
    }

    fn reset(&mut self, code: u64) {
        self.inner.reset(code);
    }

    fn send_id(&self) -> StreamId {
        self.inner.send_id()
    }
}

impl quic::RecvStream for RequestStream {
    type Buf = Bytes;

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        self.inner.poll_data(cx)
    }

    fn stop_sending(&mut self, code: u64) {
        self.inner.stop_sending(code);
    }

    fn recv_id(&self) -> StreamId {
        self.inner.recv_id()
    }
}

/// A unidirectional stream that the server opened.
pub struct ServerStream {
    inner: SharedSendStream,
    script: ConnectionScript,
    pending: Bytes,
}

impl quic::SendStream<Bytes> for ServerStream {
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        while self.pending.has_remaining() {
            ready!(inner.poll_send(cx, &mut self.pending))?;
        }
        Poll::Ready(Ok(()))
    }

    fn send_data<T: Into<WriteBuf<Bytes>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        self.pending = into_bytes(data);
        // The first byte is the type of the stream: 0 for the control stream (RFC 9114, section 6.2.1).
        let mut control = self.script.control.lock().unwrap_or_else(PoisonError::into_inner);
        if control.is_none() && self.pending.first() == Some(&0) {
            *control = Some(self.inner.clone());
        }
        Ok(())
    }

    fn poll_finish(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner).poll_finish(cx)
    }

    fn reset(&mut self, code: u64) {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner).reset(code);
    }

    fn send_id(&self) -> StreamId {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner).send_id()
    }
}
