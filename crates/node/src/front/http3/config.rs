//! The QUIC configuration of an HTTP/3 listener.

use std::sync::Arc;
use std::time::Duration;

use super::{MAX_HANDSHAKES, MAX_STREAMS};
use crate::front::manager::MAX_HEAD_BYTES;
use crate::upstream::exchange::MAX_BODY_BYTES;

/// A connection on which nothing is received for this long has ended.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Flow control window of one stream, in bytes.
pub(super) const STREAM_WINDOW: u32 = (MAX_BODY_BYTES + MAX_HEAD_BYTES) as u32;
/// Maximum flow control window of a connection, in bytes.
pub(super) const MAX_RECEIVE_WINDOW: u32 = 4 * STREAM_WINDOW;
/// Maximum number of bytes of responses buffered for a client that reads slowly.
const MAX_SEND_WINDOW: u32 = 4 * MAX_BODY_BYTES as u32;
/// Maximum number of bytes buffered for one handshake before it is accepted.
const HANDSHAKE_BUFFER_BYTES: u64 = 8 * 1024;
/// The same for all handshakes together.
const TOTAL_HANDSHAKE_BUFFER_BYTES: u64 = 1 << 20;

/// The window of a connection in one direction: an eighth of its memory, at least one request or response.
pub(super) fn window(memory: usize, min: u32, max: u32) -> u32 {
    u32::try_from(memory / 8).unwrap_or(u32::MAX).clamp(min, max)
}

/// The QUIC configuration of a listener, with `memory` bytes for each connection.
///
/// # Errors
/// The TLS configuration cannot be used for QUIC.
pub fn quic_config(tls: rustls::ServerConfig, memory: usize) -> Result<quinn::ServerConfig, String> {
    let crypto = quinn::crypto::rustls::QuicServerConfig::try_from(tls).map_err(|error| error.to_string())?;
    let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    let mut transport = quinn::TransportConfig::default();
    transport
        .max_concurrent_bidi_streams(MAX_STREAMS.into())
        // The control stream, two of QPACK, and one to spare for grease.
        .max_concurrent_uni_streams(4u32.into())
        .stream_receive_window(STREAM_WINDOW.into())
        .receive_window(window(memory, STREAM_WINDOW, MAX_RECEIVE_WINDOW).into())
        .send_window(window(memory, MAX_BODY_BYTES as u32, MAX_SEND_WINDOW).into())
        .datagram_receive_buffer_size(None)
        .max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
    config
        .transport_config(Arc::new(transport))
        .max_incoming(MAX_HANDSHAKES)
        .incoming_buffer_size(HANDSHAKE_BUFFER_BYTES)
        .incoming_buffer_size_total(TOTAL_HANDSHAKE_BUFFER_BYTES);
    Ok(config)
}
