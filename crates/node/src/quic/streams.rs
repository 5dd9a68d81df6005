//! Sending, receiving and bidirectional QUIC streams that implement the traits of `h3`.

use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::{Buf, Bytes, BytesMut};
use h3::quic::{self, StreamErrorIncoming, StreamId, WriteBuf};
use quinn::{ReadError, VarInt, WriteError};

use super::stop_signals::StopRegistration;
use super::{stream_error, stream_id, StreamPermit};

/// Size of the buffer for one read of a stream, in bytes.
const READ_BYTES: usize = 4_096;

/// A bidirectional stream.
pub struct BidiStream<B> {
    pub(super) send: SendStream<B>,
    pub(super) receive: RecvStream,
}

impl<B: Buf> quic::BidiStream<B> for BidiStream<B> {
    type SendStream = SendStream<B>;
    type RecvStream = RecvStream;

    fn split(self) -> (SendStream<B>, RecvStream) {
        (self.send, self.receive)
    }
}

impl<B: Buf> quic::RecvStream for BidiStream<B> {
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

impl<B: Buf> quic::SendStream<B> for BidiStream<B> {
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
pub struct RecvStream(pub(super) quinn::RecvStream);

impl quic::RecvStream for RecvStream {
    type Buf = Bytes;

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        let mut data = BytesMut::zeroed(READ_BYTES);
        let read = match ready!(self.0.poll_read(cx, &mut data)) {
            Ok(read) => read,
            Err(ReadError::Reset(code)) => {
                return Poll::Ready(Err(StreamErrorIncoming::StreamTerminated {
                    error_code: code.into_inner(),
                }))
            }
            Err(ReadError::ConnectionLost(error)) => return Poll::Ready(Err(stream_error(error))),
            Err(other) => return Poll::Ready(Err(StreamErrorIncoming::Unknown(Box::new(other)))),
        };
        data.truncate(read);
        Poll::Ready(Ok((read > 0).then(|| data.freeze())))
    }

    fn stop_sending(&mut self, error_code: u64) {
        // Fails only if the stream has already ended.
        let _ = self.0.stop(VarInt::from_u64(error_code).unwrap_or(VarInt::MAX));
    }

    fn recv_id(&self) -> StreamId {
        stream_id(self.0.id())
    }
}

/// The sending side of a stream.
pub struct SendStream<B> {
    stream: quinn::SendStream,
    /// Data that is being written.
    writing: Option<WriteBuf<B>>,
    _registration: Option<StopRegistration>,
    _permit: Option<StreamPermit>,
}

impl<B> SendStream<B> {
    /// Creates the sending side of a stream that the node opened.
    pub(super) fn new(stream: quinn::SendStream) -> Self {
        SendStream { stream, writing: None, _registration: None, _permit: None }
    }

    /// Creates the sending side of a stream whose client may stop it.
    pub(super) fn with_registration(
        stream: quinn::SendStream,
        registration: StopRegistration,
        permit: Option<StreamPermit>,
    ) -> Self {
        SendStream { stream, writing: None, _registration: Some(registration), _permit: permit }
    }
}

impl<B: Buf> quic::SendStream<B> for SendStream<B> {
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
                Err(WriteError::ConnectionLost(error)) => return Poll::Ready(Err(stream_error(error))),
                Err(other) => return Poll::Ready(Err(StreamErrorIncoming::Unknown(Box::new(other)))),
            }
        }
        Poll::Ready(Ok(()))
    }

    fn send_data<T: Into<WriteBuf<B>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        if self.writing.is_some() {
            return Err(StreamErrorIncoming::Unknown(
                "send_data was called before the previous data was written".into(),
            ));
        }
        self.writing = Some(data.into());
        Ok(())
    }

    fn poll_finish(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        ready!(self.poll_ready(cx))?;
        Poll::Ready(self.stream.finish().map_err(|error| StreamErrorIncoming::Unknown(Box::new(error))))
    }

    fn reset(&mut self, reset_code: u64) {
        // Fails only if the stream has already ended.
        let _ = self.stream.reset(VarInt::from_u64(reset_code).unwrap_or(VarInt::MAX));
    }

    fn send_id(&self) -> StreamId {
        stream_id(self.stream.id())
    }
}
