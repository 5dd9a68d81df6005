//! Helpers shared by the tests of the platform node: the node as a process, stand-in servers and a stand-in
//! discovery service.
#![allow(dead_code, unused_imports)]

mod node_process;
pub mod overloaded_discovery;
mod stand_ins;
mod test_node;

use std::collections::HashMap;
use std::io::BufRead;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

pub use node_process::*;
pub use stand_ins::*;
pub use test_node::*;

/// Longer than any step of a test takes on a working machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP/1.1 message, read from a connection.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    /// The request or status line, with its line end.
    pub start_line: String,
    /// Header values by lower-case names.
    pub headers: HashMap<String, String>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// Reads a message with a `Content-Length`; `None` if the connection ends before it is complete.
    pub fn read(input: &mut impl BufRead) -> Option<HttpMessage> {
        let mut message = HttpMessage::default();
        input.read_line(&mut message.start_line).ok().filter(|&n| n > 0)?;
        loop {
            let mut line = String::new();
            input.read_line(&mut line).ok().filter(|&n| n > 0)?;
            let Some((name, value)) = line.trim_end().split_once(": ") else { break };
            message.headers.insert(name.to_lowercase(), value.to_owned());
        }
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        input.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    /// The value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Returns an id that no other request of the test's process has.
pub fn new_id() -> String {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    format!("id{}", COUNT.fetch_add(1, Ordering::Relaxed))
}

/// A request of a class (`look` is safe, `pay` unsafe, `put` keyed), with the time that is left for it.
pub fn request(class: &str, id: &str, remaining_ms: u64) -> Vec<u8> {
    request_with_key("7f3a", class, id, remaining_ms)
}

/// Like [`request`], with the given `key` in its query.
pub fn request_with_key(key: &str, class: &str, id: &str, remaining_ms: u64) -> Vec<u8> {
    let method = if class == "look" { "GET" } else { "POST" };
    let idempotency_key = if class == "put" { "Idempotency-Key: 77\r\n" } else { "" };
    let body = if class == "look" { "" } else { "Content-Length: 5\r\n\r\nhello" };
    let end = if body.is_empty() { "\r\n" } else { body };
    format!(
        "{method} /api?key={key}&x=1 HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {id}\r\nX-Lane: {class}\r\n\
        X-Org: acme\r\nX-Remaining-Ms: {remaining_ms}\r\n{idempotency_key}{end}"
    )
    .into_bytes()
}

/// An unsafe request with a body of this many bytes.
pub fn long_request(id: &str, body_bytes: usize, remaining_ms: u64) -> Vec<u8> {
    let body = "x".repeat(body_bytes);
    format!(
        "POST /api?key=7f3a HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {id}\r\nX-Lane: pay\r\nX-Org: acme\r\n\
        X-Remaining-Ms: {remaining_ms}\r\nContent-Length: {body_bytes}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Waits until a condition holds; fails after [`TEST_TIMEOUT`].
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TEST_TIMEOUT, "{description}");
        thread::sleep(Duration::from_millis(5));
    }
}
