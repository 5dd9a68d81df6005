//! Tests the reuse of connections by attempts, and which servers are sent requests, with servers on the
//! loopback interface.

use super::*;
use crate::sources::discovery::DiscoveryEntry;
use crate::upstream::attempt::IsAwaited;
use crate::upstream::exchange::{UpstreamRequest, REUSE_DELAY};
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};
use woodgap_decisions::Outcome;

/// Returns an empty set of servers with a budget of this many sockets.
pub(in crate::upstream) fn servers_with(sockets: usize) -> Rc<Servers> {
    let settings = UpstreamSettings {
        dial_timeout: Duration::from_secs(20),
        keepalive: Duration::from_secs(600),
        drain_grace: Duration::from_millis(500),
        open_cap: 10,
        report: vec!["queue".into(), "util".into()],
    };
    Servers::new(settings, SocketBudget::new(sockets), None)
}

/// Returns a list of the one server `s-1`.
pub(in crate::upstream) fn server_list(addr: SocketAddr, state: ServerState, complete: bool) -> ServerList {
    let (id, zone) = ("s-1".into(), "a".into());
    let entry = DiscoveryEntry {
        id,
        addr,
        transport: Transport::Http1,
        zone,
        cell: 0,
        kind: String::new(),
        state,
        size: 1.0,
        up_since_ms: 0,
    };
    ServerList { revision: None, complete, entries: vec![entry] }
}

pub(in crate::upstream) fn post_request() -> UpstreamRequest {
    let (headers, body) = (HeaderMap::new(), Bytes::new());
    UpstreamRequest { method: Method::POST, target: Uri::from_static("/api"), headers, body }
}

/// Returns the state of a client that does not disconnect.
pub(in crate::upstream) fn always_awaited() -> IsAwaited {
    Rc::new(|| true)
}

/// Starts a server that responds to each request with its name, or not at all if the name is empty.
pub(in crate::upstream) async fn spawn_server(name: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            spawn_local(async move {
                let mut buffer = [0; 4096];
                while stream.read(&mut buffer).await.is_ok_and(|n| n > 0) {
                    let length = name.len();
                    let reply = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{name}");
                    if !name.is_empty() && stream.write_all(reply.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

pub(in crate::upstream) fn far_deadline() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

// A server was removed from the list and returned at another address: its old connection leads to another
// process and must not be used.
#[tokio::test]
async fn connections_from_before_a_return_to_the_list_are_not_used() {
    let run = async {
        let servers = servers_with(8);
        let (old, new) = (spawn_server("old").await, spawn_server("new").await);
        let (_, members) = servers.apply_list(&server_list(old, ServerState::InService, true));
        let server = members[0].server.clone();
        assert_eq!(
            servers
                .run_attempt(&server, &post_request(), far_deadline(), &always_awaited())
                .await
                .response
                .unwrap()
                .1,
            "old"
        );
        tokio::time::sleep(REUSE_DELAY * 2).await;
        let connection = servers.take_idle_connection(&server).expect("an idle connection");
        servers.apply_list(&server_list(old, ServerState::Terminated, false));
        assert_eq!(
            servers.run_attempt(&server, &post_request(), far_deadline(), &always_awaited()).await.outcome,
            Outcome::ConnectFailed
        );
        servers.apply_list(&server_list(new, ServerState::InService, false));
        servers.store_idle_connection(&server, connection);
        assert_eq!(
            servers
                .run_attempt(&server, &post_request(), far_deadline(), &always_awaited())
                .await
                .response
                .unwrap()
                .1,
            "new"
        );
    };
    LocalSet::new().run_until(run).await;
}

// A machine that is down sends nothing on its open connections: after a timeout its idle connections must be
// closed.
#[tokio::test]
async fn timeout_closes_idle_connections() {
    let run = async {
        let servers = servers_with(8);
        let addr = spawn_server("").await;
        let server = servers.apply_list(&server_list(addr, ServerState::InService, true)).1[0].server.clone();
        let (_, epoch) = servers.eligible_addr(&server).unwrap();
        for _ in 0..2 {
            let connection = servers.dial(addr, epoch).await.unwrap();
            servers.store_idle_connection(&server, connection);
        }
        let deadline = Instant::now() + Duration::from_millis(50);
        assert_eq!(
            servers.run_attempt(&server, &post_request(), deadline, &always_awaited()).await.outcome,
            Outcome::Timeout
        );
        assert!(servers.take_idle_connection(&server).is_none());
    };
    LocalSet::new().run_until(run).await;
}

// A request that waited for a connection must not be written once its server has drained for longer than the
// send grace.
#[tokio::test]
async fn nothing_is_written_to_a_server_after_its_drain_grace() {
    let run = async {
        let servers = servers_with(8);
        let addr = spawn_server("x").await;
        let server = servers.apply_list(&server_list(addr, ServerState::InService, true)).1[0].server.clone();
        servers.apply_list(&server_list(addr, ServerState::Terminating, false));
        tokio::time::pause();
        tokio::time::advance(Duration::from_millis(400)).await;
        let result = servers.run_attempt(&server, &post_request(), far_deadline(), &always_awaited()).await;
        assert_eq!(result.outcome, Outcome::ConnectFailed);
    };
    LocalSet::new().run_until(run).await;
}

// Requests take precedence over idle connections for sockets. A lack of sockets is not charged to the server:
// a server that refuses connections would be ejected.
#[tokio::test]
async fn idle_connection_is_evicted_for_a_new_socket() {
    let run = async {
        let servers = servers_with(1);
        let addr = spawn_server("x").await;
        let server = servers.apply_list(&server_list(addr, ServerState::InService, true)).1[0].server.clone();
        assert_eq!(
            servers.run_attempt(&server, &post_request(), far_deadline(), &always_awaited()).await.outcome,
            Outcome::Ok
        );
        let permit = servers.sockets.acquire().await;
        assert!(permit.is_some());
        assert_eq!(
            servers.run_attempt(&server, &post_request(), far_deadline(), &always_awaited()).await.outcome,
            Outcome::Moot
        );
    };
    LocalSet::new().run_until(run).await;
}

// A server that took over another server's address must not receive requests for the old server.
#[tokio::test]
async fn nothing_is_written_to_a_server_whose_address_was_taken_over() {
    let run = async {
        let servers = servers_with(8);
        let addr = spawn_server("x").await;
        let old = servers.apply_list(&server_list(addr, ServerState::InService, true)).1[0].server.clone();
        assert_eq!(
            servers.run_attempt(&old, &post_request(), far_deadline(), &always_awaited()).await.outcome,
            Outcome::Ok
        );
        let mut change = server_list(addr, ServerState::InService, false);
        change.entries[0].id = "s-2".into();
        let new = servers.apply_list(&change).1[0].server.clone();
        assert!(servers.take_idle_connection(&old).is_none());
        assert_eq!(
            servers.run_attempt(&old, &post_request(), far_deadline(), &always_awaited()).await.outcome,
            Outcome::ConnectFailed
        );
        assert_eq!(
            servers.run_attempt(&new, &post_request(), far_deadline(), &always_awaited()).await.outcome,
            Outcome::Ok
        );
    };
    LocalSet::new().run_until(run).await;
}
