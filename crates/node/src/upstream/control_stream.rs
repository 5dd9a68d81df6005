//! Parses the server's HTTP/3 control stream (RFC 9114, section 6.2.1) beside `h3`, for the ids of GOAWAY
//! frames, which `h3` does not expose.
//!
//! `h3` only stops new requests after a GOAWAY. The frame also says that requests at or above its id were not and
//! will not be processed (RFC 9114, section 5.2), so those in flight may be sent to another server, even unsafe ones.

use std::task::{ready, Context, Poll};

use bytes::{Buf, Bytes};
use h3::error::Code;
use h3::quic::{self, ConnectionErrorIncoming, StreamErrorIncoming, StreamId};
use tokio::sync::watch;

use crate::quic::{BidiStream, Connection, OpenStreams, RecvStream, SendStream};

/// Type of a control stream (RFC 9114, section 6.2.1).
const CONTROL_STREAM: u64 = 0x00;
/// Type of a GOAWAY frame (RFC 9114, section 7.2.6).
const GOAWAY_FRAME: u64 = 0x07;

/// Decodes a variable-length integer (RFC 9000, section 16) and its length; `None` while it is incomplete.
fn varint(bytes: &[u8]) -> Option<(u64, usize)> {
    let first = *bytes.first()?;
    let length = 1usize << (first >> 6);
    let rest = bytes.get(1..length)?;
    let value = rest.iter().fold(u64::from(first & 0x3f), |value, &byte| value << 8 | u64::from(byte));
    Some((value, length))
}

/// What the parser expects next on a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Expected {
    /// The type of the stream.
    #[default]
    StreamType,
    /// The type and length of a frame.
    Frame,
    /// The id of a GOAWAY frame, of this many bytes.
    GoawayId(usize),
    /// This many bytes of another frame, which are skipped.
    Skip(u64),
    /// Nothing, as this is not a control stream.
    Ignored,
}

/// Incremental parser of a unidirectional stream that the server opened. Buffers at most 16 bytes.
#[derive(Debug, Default)]
struct ControlParser {
    expected: Expected,
    buffer: Vec<u8>,
}

impl ControlParser {
    /// Consumes bytes and returns the ids of the GOAWAY frames that they complete.
    fn consume(&mut self, bytes: &[u8]) -> Vec<u64> {
        let mut ids = Vec::new();
        let mut position = 0;
        while position < bytes.len() {
            match self.expected {
                Expected::Ignored => return ids,
                Expected::Skip(size) => {
                    let skip = size.min((bytes.len() - position) as u64);
                    position += skip as usize;
                    self.expected = if size == skip { Expected::Frame } else { Expected::Skip(size - skip) };
                    continue;
                }
                _ => {}
            }
            self.buffer.push(bytes[position]);
            position += 1;
            let expected = match self.expected {
                Expected::StreamType => varint(&self.buffer).map(|(kind, _)| {
                    if kind == CONTROL_STREAM {
                        Expected::Frame
                    } else {
                        Expected::Ignored
                    }
                }),
                Expected::Frame => varint(&self.buffer).and_then(|(kind, length)| {
                    let (size, _) = varint(&self.buffer[length..])?;
                    Some(match (kind, size) {
                        (GOAWAY_FRAME, 1..=8) => Expected::GoawayId(size as usize),
                        (_, 0) => Expected::Frame,
                        _ => Expected::Skip(size),
                    })
                }),
                Expected::GoawayId(size) => (self.buffer.len() == size).then(|| {
                    ids.extend(varint(&self.buffer).map(|(id, _)| id));
                    Expected::Frame
                }),
                Expected::Skip(_) | Expected::Ignored => None,
            };
            if let Some(expected) = expected {
                self.expected = expected;
                self.buffer.clear();
            }
        }
        ids
    }
}

/// A QUIC connection for `h3` that reports the lowest id of the server's GOAWAY frames.
pub struct GoawayConnection {
    inner: Connection,
    lowest_id: watch::Sender<Option<u64>>,
}

impl GoawayConnection {
    /// Wraps a connection. The receiver holds the lowest GOAWAY id, or `None` before the first GOAWAY.
    pub fn new(quic: quinn::Connection) -> (Self, watch::Receiver<Option<u64>>) {
        let (lowest_id, receiver) = watch::channel(None);
        (GoawayConnection { inner: Connection::new(quic).0, lowest_id }, receiver)
    }
}

impl quic::Connection<Bytes> for GoawayConnection {
    type RecvStream = GoawayStream;
    type OpenStreams = OpenStreams;

    fn poll_accept_recv(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<GoawayStream, ConnectionErrorIncoming>> {
        let accepted = ready!(quic::Connection::<Bytes>::poll_accept_recv(&mut self.inner, cx));
        let lowest_id = self.lowest_id.clone();
        Poll::Ready(accepted.map(|inner| GoawayStream { inner, parser: ControlParser::default(), lowest_id }))
    }

    fn poll_accept_bidi(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<BidiStream<Bytes>, ConnectionErrorIncoming>> {
        quic::Connection::<Bytes>::poll_accept_bidi(&mut self.inner, cx)
    }

    fn opener(&self) -> OpenStreams {
        quic::Connection::<Bytes>::opener(&self.inner)
    }
}

impl quic::OpenStreams<Bytes> for GoawayConnection {
    type BidiStream = BidiStream<Bytes>;
    type SendStream = SendStream<Bytes>;

    fn poll_open_bidi(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<BidiStream<Bytes>, StreamErrorIncoming>> {
        quic::OpenStreams::<Bytes>::poll_open_bidi(&mut self.inner, cx)
    }

    fn poll_open_send(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<SendStream<Bytes>, StreamErrorIncoming>> {
        quic::OpenStreams::<Bytes>::poll_open_send(&mut self.inner, cx)
    }

    fn close(&mut self, code: Code, reason: &[u8]) {
        quic::OpenStreams::<Bytes>::close(&mut self.inner, code, reason);
    }
}

/// A unidirectional stream that the server opened, parsed as it is read.
pub struct GoawayStream {
    inner: RecvStream,
    parser: ControlParser,
    lowest_id: watch::Sender<Option<u64>>,
}

impl quic::RecvStream for GoawayStream {
    type Buf = Bytes;

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        let data = ready!(self.inner.poll_data(cx));
        if let Ok(Some(data)) = &data {
            for id in self.parser.consume(data.chunk()) {
                self.lowest_id.send_if_modified(|lowest_id| {
                    let lower = lowest_id.is_none_or(|lowest_id| id < lowest_id);
                    *lowest_id = if lower { Some(id) } else { *lowest_id };
                    lower
                });
            }
        }
        Poll::Ready(data)
    }

    fn stop_sending(&mut self, error_code: u64) {
        self.inner.stop_sending(error_code);
    }

    fn recv_id(&self) -> StreamId {
        self.inner.recv_id()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// SETTINGS with one setting, GOAWAY 8, a reserved (grease) frame, GOAWAY 4 in the longest encoding.
    const STREAM: [u8; 22] = [0, 4, 2, 6, 1, 7, 1, 8, 0x40, 0x21, 2, 9, 9, 7, 8, 0xc0, 0, 0, 0, 0, 0, 0];

    fn complete_stream() -> Vec<u8> {
        [&STREAM[..], &[4]].concat()
    }

    // RFC 9000, section A.1.
    #[test]
    fn varint_decodes_the_examples_of_rfc_9000() {
        assert_eq!(
            varint(&[0xc2, 0x19, 0x7c, 0x5e, 0xff, 0x14, 0xe8, 0x8c]),
            Some((151_288_809_941_952_652, 8))
        );
        assert_eq!(varint(&[0x9d, 0x7f, 0x3e, 0x7d]), Some((494_878_333, 4)));
        assert_eq!((varint(&[0x7b, 0xbd]), varint(&[0x25])), (Some((15_293, 2)), Some((37, 1))));
        assert_eq!((varint(&[]), varint(&[0x7b])), (None, None));
    }

    #[test]
    fn goaway_ids_are_parsed_across_any_chunk_boundaries() {
        let bytes = complete_stream();
        for first in 0..bytes.len() {
            for second in first..bytes.len() {
                let mut parser = ControlParser::default();
                let mut ids = Vec::new();
                for part in [&bytes[..first], &bytes[first..second], &bytes[second..]] {
                    ids.extend(parser.consume(part));
                    assert!(parser.buffer.len() < 16);
                }
                assert_eq!(ids, [8, 4], "{first} {second}");
            }
        }
    }

    // A QPACK stream may hold the same bytes as a control stream.
    #[test]
    fn other_streams_and_incomplete_frames_yield_no_ids() {
        let mut bytes = complete_stream();
        bytes[0] = 2;
        assert!(ControlParser::default().consume(&bytes).is_empty());
        assert!(ControlParser::default().consume(&[0, 7, 0, 7, 9, 1, 1, 1, 1, 1, 1, 1, 1, 1]).is_empty());
        assert!(ControlParser::default()
            .consume(&[0, 4, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 7, 1, 8])
            .is_empty());
    }
}
