//! Detects requests with both `Transfer-Encoding` and `Content-Length`, as a guard against request smuggling.
//!
//! Given a head with both, hyper follows `Transfer-Encoding` and silently removes `Content-Length`. A
//! server that follows the length finds another request in the body, so such a head has to be distinguished
//! from one with chunks alone (RFC 9112, section 6.1). The field name is counted in the bytes that hyper
//! reads, and in the parsed heads: as long as more were received than parsed, a chunked head may have had a
//! length as well.

use std::cell::Cell;

use hyper::header::{HeaderMap, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::Method;

/// Line end and name with which a `Content-Length` field begins, compared without regard to case.
const FIELD_START: &[u8] = b"\ncontent-length";

/// Counts the `Content-Length` fields of one HTTP/1.1 connection, in its raw bytes and in its parsed heads.
#[derive(Default)]
pub struct ContentLengthTracker {
    /// How many bytes of [`FIELD_START`] the latest bytes match.
    matched: Cell<usize>,
    /// Fields in the raw bytes.
    received: Cell<u64>,
    /// Fields in the heads that hyper parsed.
    parsed: Cell<u64>,
}

impl ContentLengthTracker {
    /// Scans the bytes given to hyper, heads and bodies alike: a match in a body only makes later checks
    /// stricter.
    pub fn scan(&self, bytes: &[u8]) {
        let (mut matched, mut received) = (self.matched.get(), self.received.get());
        for byte in bytes {
            matched = match byte.to_ascii_lowercase() {
                byte if byte == FIELD_START[matched] => matched + 1,
                b'\n' => 1,
                _ => 0,
            };
            if matched == FIELD_START.len() {
                (matched, received) = (0, received + 1);
            }
        }
        self.matched.set(matched);
        self.received.set(received);
    }

    /// Records a head as parsed by hyper.
    pub fn record_parsed_head(&self, headers: &HeaderMap) {
        self.parsed.set(self.parsed.get() + u64::from(headers.contains_key(CONTENT_LENGTH)));
    }

    /// Whether a head frames its body in chunks, and is certain not to have had a `Content-Length` as well.
    pub fn is_chunked_only(&self, head: &Parts) -> bool {
        let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
        let chunked = codings.next().is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"chunked"));
        chunked
            && codings.next().is_none()
            && head.method == Method::POST
            && self.received.get() == self.parsed.get()
    }
}
