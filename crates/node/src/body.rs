//! Reads the body of an HTTP message into contiguous memory.
//!
//! A body arrives in frames, and a frame may hold a single byte of data: each chunk of a chunked body and each
//! HTTP/3 DATA frame is one. A kept frame costs some forty bytes of its own and keeps the buffer alive into which
//! it was read, so the data is copied out of each frame at once. The limit of the data then limits the memory.

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::body::{Body, SizeHint};

/// The first capacity of a buffer for a body of unknown length, in bytes.
const MIN_CAPACITY: usize = 256;

/// A body has more bytes than its limit allows.
#[derive(Debug, thiserror::Error, PartialEq)]
#[error("the body has more than {max_bytes} bytes: send less, or raise the limit")]
pub struct BodyTooLong {
    /// The limit in bytes.
    pub max_bytes: usize,
}

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadBodyError<E> {
    /// The body is longer than its limit.
    #[error(transparent)]
    TooLong(#[from] BodyTooLong),
    /// The message ended early, or its framing is invalid.
    #[error("the body ended early or is framed wrongly: {0}")]
    Broken(E),
}

/// A body of limited length that is being received. Uses at most the limit, and at most twice the memory of its
/// data if the length was not declared.
#[derive(Debug)]
pub struct BodyBuffer {
    data: Vec<u8>,
    max_bytes: usize,
    /// The capacity to allocate with the first data.
    first_capacity: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer for a body with this size hint, of at most `max_bytes` bytes. It allocates as data
    /// arrives.
    pub fn new(size: &SizeHint, max_bytes: usize) -> Self {
        let declared = size.exact().and_then(|length| usize::try_from(length).ok());
        let first_capacity = declared.unwrap_or(MIN_CAPACITY).min(max_bytes);
        BodyBuffer { data: Vec::new(), max_bytes, first_capacity }
    }

    /// Copies the data of one frame.
    ///
    /// # Errors
    /// The body exceeds its limit with this data; nothing of it is copied.
    pub fn append(&mut self, mut data: impl Buf) -> Result<(), BodyTooLong> {
        let len = self.data.len().saturating_add(data.remaining());
        if len > self.max_bytes {
            return Err(BodyTooLong { max_bytes: self.max_bytes });
        }
        if len > self.data.capacity() {
            let capacity = (2 * self.data.capacity()).max(self.first_capacity).min(self.max_bytes).max(len);
            self.data.reserve_exact(capacity - self.data.len());
        }
        while data.has_remaining() {
            let part = data.chunk();
            self.data.extend_from_slice(part);
            let count = part.len();
            data.advance(count);
        }
        Ok(())
    }

    /// Number of bytes received so far.
    pub fn received_bytes(&self) -> usize {
        self.data.len()
    }

    /// The complete body, without copying it.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from(self.data)
    }
}

/// Reads a body to its end. Trailers are discarded.
///
/// # Errors
/// The body exceeds `max_bytes`, or it does not arrive completely.
pub async fn read_body<B: Body<Data = Bytes>>(
    body: B,
    max_bytes: usize,
) -> Result<Bytes, ReadBodyError<B::Error>> {
    let mut body = std::pin::pin!(body);
    let mut buffer = BodyBuffer::new(&body.size_hint(), max_bytes);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(ReadBodyError::Broken)?.into_data() else { continue };
        buffer.append(data)?;
    }
    Ok(buffer.into_bytes())
}

/// Reads a body to its end without keeping it.
///
/// # Errors
/// As [`read_body`].
pub async fn discard_body<B: Body<Data = Bytes>>(
    body: B,
    max_bytes: usize,
) -> Result<(), ReadBodyError<B::Error>> {
    let mut body = std::pin::pin!(body);
    let mut received = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(ReadBodyError::Broken)?.into_data() else { continue };
        received += data.len();
        if received > max_bytes {
            return Err(BodyTooLong { max_bytes }.into());
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
