//! Discovery: the list of servers and the watch on its changes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};
use woodgap_decisions::settings::server_state;
use woodgap_decisions::ServerState;
use woodgap_membership::Transport;

use super::objects::{Objects, Piece};
use crate::task::AbortOnDrop;

/// A watch sends at least an empty line every 2 s: one silent for this long is broken. Found out
/// late, changes would be told to the node (by the rules) before it knows them.
pub const SILENCE: Duration = Duration::from_millis(3_500);
/// What pushes lists stands on this machine and answers at once: one that has not after this time is silent, and
/// what it gets when it speaks again counts as told at that moment.
pub const AT_ONCE: Duration = Duration::from_millis(500);
/// The longest list that is read: some ten thousand servers.
const LONGEST_LIST: usize = 4 << 20;

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

/// Watches from a revision on and hands on what comes until the watch ends; then says `Failed`. The call is given
/// up if it has not been answered after `answer`.
pub async fn watch(addr: SocketAddr, revision: u64, answer: Duration, mut tell: impl FnMut(News)) {
    if let Err(reason) = follow(addr, revision, answer, &mut tell).await {
        tracing::info!("discovery: {reason}");
    }
    tell(News::Failed);
}

type Fault = Box<dyn std::error::Error>;

async fn follow(
    addr: SocketAddr,
    revision: u64,
    answer: Duration,
    tell: &mut impl FnMut(News),
) -> Result<(), Fault> {
    let stream = timeout(answer, TcpStream::connect(addr)).await??;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let _connection = AbortOnDrop::spawn(async move { drop(connection.await) });
    let request = Request::get(format!("/api/targets?stream=1&index={revision}"))
        .header("host", addr.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = timeout(answer, sender.send_request(request)).await??;
    if response.status() != StatusCode::OK {
        return Err(format!("watch answered {}", response.status()).into());
    }
    let mut body = response.into_body();
    let (mut objects, mut first) = (Objects::default(), true);
    // An object that has begun has to be whole by then, whatever drips in.
    let mut whole_by = None;
    loop {
        let by = Instant::now() + SILENCE;
        let frame = timeout_at(whole_by.unwrap_or(by), body.frame()).await.map_err(|_| "watch is silent")?;
        let Some(frame) = frame else { return Err("watch ended".into()) };
        let Ok(chunk) = frame?.into_data() else { continue };
        objects.push(&chunk);
        while let Some(piece) = objects.next()? {
            whole_by = None;
            match piece {
                Piece::Object(object) => {
                    let value: Value = serde_json::from_slice(&object)?;
                    tell(News::List(List::from_value(&value).ok_or("an object that is no list")?));
                }
                // Even where nothing changed, the module is owed an answer to its call.
                Piece::Empty if first => tell(News::List(List::default())),
                Piece::Empty => {}
            }
            first = false;
        }
        whole_by = objects.is_open().then(|| whole_by.unwrap_or(by));
        if objects.len() > LONGEST_LIST {
            return Err("a list is too long".into());
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
