//! Tests that the node keeps its watch on discovery when clients take all sockets that it may open. The
//! process may open no more file descriptors than its configuration says.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use common::*;
use serde_json::json;

/// File descriptors that the node may open, by its configuration and by the system's limit.
const MAX_DESCRIPTORS: usize = 64;
/// Descriptors that the node has open at least once clients take all of its capacity.
const FULL_DESCRIPTORS: usize = 40;

/// Number of open descriptors of the node.
fn descriptor_count(node: &NodeProcess) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).unwrap().count()
}

/// Opens this many connections that have all sent `bytes` and wait.
fn open_clients(node: &NodeProcess, count: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let mut clients: Vec<TcpStream> = (0..count).map(|_| node.connect()).collect();
    for client in &mut clients {
        client.set_nonblocking(true).unwrap();
        let _ = client.write_all(bytes);
    }
    clients
}

// The watch breaks while clients take all capacity, and again while further clients connect.
#[test]
fn the_watch_reopens_while_clients_take_all_descriptors() {
    let test_node = TestNode::with_settings(2, json!({"sockets": MAX_DESCRIPTORS}), |_| {});
    let node = NodeProcess::start_with_descriptor_limit(&test_node.config, MAX_DESCRIPTORS);
    let (_, first) = test_node.next_watch();
    let (_, second) = test_node.next_watch();
    // Both watches break, so it does not matter which of them is this node's. Clients send complete requests,
    // each of which also occupies a connection to a server, and half requests.
    test_node.set_all_behaviors(ServerBehavior::HoldRequests);
    let (whole, half) = (request("pay", "1", 60_000), b"GET /api?key=1 HTTP/1.1\r\nHost: x\r\n");
    let mut client_groups =
        vec![open_clients(&node, MAX_DESCRIPTORS, &whole), open_clients(&node, 2 * MAX_DESCRIPTORS, half)];
    let full = || {
        // Connections over the limit receive 503 and are closed; the others keep their descriptors.
        let count = descriptor_count(&node);
        assert!(count < MAX_DESCRIPTORS, "{count} of {MAX_DESCRIPTORS} descriptors");
        count >= FULL_DESCRIPTORS
    };
    wait_until("clients take all capacity", full);
    drop((first, second));
    for round in 0..3 {
        let mut streams = [test_node.next_watch().1, test_node.next_watch().1];
        client_groups.push(open_clients(&node, 2 * MAX_DESCRIPTORS, half));
        let mut members = test_node.members.clone();
        members[round % 2]["phase"] = json!("terminating");
        let list = json!({"revision": 50 + round, "complete": true, "members": members}).to_string();
        streams.iter_mut().for_each(|stream| write_chunk(stream, &format!("{list}\n")));
        assert!(descriptor_count(&node) < MAX_DESCRIPTORS, "{}", descriptor_count(&node));
    }
    // The last list drains the first server. It was read in spite of the clients, and is in effect after they
    // disconnect.
    test_node.set_all_behaviors(ServerBehavior::Serve);
    drop(client_groups);
    let answered = |n: usize| {
        let mut stream = node.connect();
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        let key = format!("c{n}");
        let _ = stream.write_all(&request_with_key(&key, "pay", &new_id(), 60_000));
        let mut text = String::new();
        let _ = stream.take(12).read_to_string(&mut text);
        text.ends_with(" 200")
    };
    wait_until("the node serves again", || answered(0));
    test_node.received_requests();
    (0..16).for_each(|n| assert!(answered(n)));
    assert!(test_node.received_requests().iter().all(|(server, _)| *server == 1));
}
