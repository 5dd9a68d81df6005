//! Discovery: the list of servers and the watch on its changes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::timeout;
use woodgap_decisions::settings::server_state;
use woodgap_decisions::ServerState;
use woodgap_membership::Transport;

use crate::task::AbortOnDrop;

/// A watch sends at least an empty line every 2 s: one silent for this long is broken. Found out
/// late, changes would be told to the node (by the rules) before it knows them.
const SILENCE: Duration = Duration::from_millis(3_500);
/// The longest line that is read: a list of some ten thousand servers.
const LONGEST_LINE: usize = 4 << 20;

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    pub transport: Transport,
    pub zone: String,
    pub cell: u64,
    /// Its kind, as the list names it; empty where it does not.
    pub kind: String,
    pub state: ServerState,
    pub size: f64,
    /// Unix time in milliseconds; 0 is long ago.
    pub up_since_ms: u64,
}

/// A list, whole or only what changed.
#[derive(Clone, Debug, Default)]
pub struct List {
    pub revision: Option<u64>,
    pub complete: bool,
    pub entries: Vec<Entry>,
}

/// What the watch brings.
#[derive(Debug)]
pub enum News {
    List(List),
    /// The call failed or the watch broke.
    Failed,
}

impl List {
    /// Reads a list. An entry that can't be read is dropped, never the list: one odd entry must
    /// not blind the node to all others.
    pub fn from_value(value: &Value) -> Option<List> {
        let members = value.get("members")?.as_array()?;
        Some(List {
            revision: value.get("revision").and_then(Value::as_u64),
            complete: value.get("complete").and_then(Value::as_bool).unwrap_or(false),
            entries: members.iter().filter_map(entry).collect(),
        })
    }
}

fn entry(value: &Value) -> Option<Entry> {
    let text = |name: &str| value.get(name).and_then(Value::as_str);
    Some(Entry {
        id: text("id")?.to_owned(),
        addr: text("host_port")?.parse().ok()?,
        transport: Transport::Http1,
        zone: text("locality").unwrap_or("").to_owned(),
        cell: value.get("cell").and_then(Value::as_u64).unwrap_or(0),
        kind: text("flavor").unwrap_or("").to_owned(),
        state: server_state(text("phase")?)?,
        size: value.get("size").and_then(Value::as_f64).unwrap_or(1.0),
        up_since_ms: value.get("up_since_ms").and_then(Value::as_u64).unwrap_or(0),
    })
}

/// The lines of a chunked answer; a line may be split over chunks anywhere.
#[derive(Default)]
struct Lines {
    buffer: BytesMut,
}

impl Lines {
    fn push(&mut self, chunk: &Bytes) {
        self.buffer.extend_from_slice(chunk);
    }

    fn next(&mut self) -> Option<BytesMut> {
        let end = self.buffer.iter().position(|&b| b == b'\n')?;
        let mut line = self.buffer.split_to(end);
        self.buffer.advance(1);
        if line.last() == Some(&b'\r') {
            line.truncate(line.len() - 1);
        }
        Some(line)
    }
}

/// Watches from a revision on and hands on what comes until the watch ends; then says `Failed`.
pub async fn watch(addr: SocketAddr, revision: u64, mut tell: impl FnMut(News)) {
    if let Err(reason) = follow(addr, revision, &mut tell).await {
        tracing::info!("discovery: {reason}");
    }
    tell(News::Failed);
}

type Fault = Box<dyn std::error::Error>;

async fn follow(addr: SocketAddr, revision: u64, tell: &mut impl FnMut(News)) -> Result<(), Fault> {
    let stream = timeout(SILENCE, TcpStream::connect(addr)).await??;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let _connection = AbortOnDrop::spawn(async move { drop(connection.await) });
    let request = Request::get(format!("/api/targets?stream=1&index={revision}"))
        .header("host", addr.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = timeout(SILENCE, sender.send_request(request)).await??;
    if response.status() != StatusCode::OK {
        return Err(format!("watch answered {}", response.status()).into());
    }
    let mut body = response.into_body();
    let mut lines = Lines::default();
    let mut first = true;
    loop {
        let frame = timeout(SILENCE, body.frame()).await.map_err(|_| "watch is silent")?;
        let Some(frame) = frame else { return Err("watch ended".into()) };
        let Ok(chunk) = frame?.into_data() else { continue };
        lines.push(&chunk);
        while let Some(line) = lines.next() {
            if line.iter().all(u8::is_ascii_whitespace) {
                // Even where nothing changed, the module is owed an answer to its call.
                if first {
                    tell(News::List(List::default()));
                }
                first = false;
                continue;
            }
            first = false;
            let value: Value = serde_json::from_slice(&line)?;
            tell(News::List(List::from_value(&value).ok_or("a line that is no list")?));
        }
        if lines.buffer.len() > LONGEST_LINE {
            return Err("a line is too long".into());
        }
    }
}

/// The module's number for a server's id: made from the id alone, as nodes that number servers
/// differently build different tables, unless another server on the list has it.
pub fn server_number(id: &str, taken: &HashMap<u32, String>) -> u32 {
    let mut seed = 0;
    loop {
        let number = xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), seed) as u32;
        match taken.get(&number) {
            Some(other) if other != id => seed += 1,
            _ => return number,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_may_be_split_anywhere() {
        let mut lines = Lines::default();
        let mut seen = Vec::new();
        for byte in b"{\"a\":1}\r\n\n{\"b\":2}\n" {
            lines.push(&Bytes::copy_from_slice(&[*byte]));
            while let Some(line) = lines.next() {
                seen.push(String::from_utf8(line.to_vec()).unwrap());
            }
        }
        assert_eq!(seen, ["{\"a\":1}", "", "{\"b\":2}"]);
    }

    #[test]
    fn an_entry_that_cannot_be_read_is_dropped_alone() {
        let value = serde_json::json!({"revision": 3, "complete": true, "members": [
            {"id": "s-1", "host_port": "127.0.0.1:1", "phase": "in_service"},
            {"id": "s-2", "host_port": "nowhere", "phase": "in_service"},
            {"id": "s-3", "host_port": "127.0.0.1:3", "phase": "asleep"},
            7,
            {"id": "s-4", "host_port": "127.0.0.1:4", "phase": "terminating", "up_since_ms": 9},
        ]});
        let list = List::from_value(&value).unwrap();
        let ids: Vec<&str> = list.entries.iter().map(|e| e.id.as_str()).collect();
        assert_eq!(ids, ["s-1", "s-4"]);
        assert!(list.complete && list.revision == Some(3));
    }

    #[test]
    fn server_numbers_do_not_collide() {
        let number = server_number("s-1", &HashMap::new());
        let taken = HashMap::from([(number, "s-2".to_owned())]);
        assert_ne!(server_number("s-1", &taken), number);
        assert_eq!(server_number("s-1", &HashMap::from([(number, "s-1".to_owned())])), number);
    }
}
