//! Tests the node as a process with servers that are down, full or do not respond to one class.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;

use common::*;
use serde_json::json;

// Guards against each node of a large group keeping a connection to each server: in a group of 300 a server
// accepted 54 connections, and most nodes got none.
#[test]
fn nodes_of_a_large_group_do_not_hold_all_connections_of_a_server() {
    let test_node = TestNode::with_settings(1, json!({"sockets": 64}), |settings| {
        settings["group-size"] = json!(3_000);
        settings["deductions"] = json!({"handshake": 0.08});
    });
    test_node.server_connections.limit.store(4, Ordering::SeqCst);
    let nodes: Vec<NodeProcess> = (0..12).map(|_| NodeProcess::start(&test_node.config)).collect();
    for (n, node) in nodes.iter().enumerate() {
        wait_until("the server accepts connections", || {
            test_node.server_connections.open.load(Ordering::SeqCst) < 4
        });
        assert_eq!(node.send_raw(&request("pay", &format!("t{n}"), 60_000)).status(), 200, "node {n}");
    }
}

#[test]
fn request_whose_connection_is_refused_goes_to_another_server() {
    let mut test_node = TestNode::new(2);
    // A port that is bound, so that no other test gets it, and on which nothing listens.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let closed_addr = socket.local_addr().unwrap();
    let (owner, keys) = test_node.keys_of_one_server();
    test_node.members[owner]["host_port"] = json!(closed_addr.to_string());
    let list = json!({"revision": 42, "complete": true, "members": test_node.members});
    // A node that watches from the list's revision on has applied the list (a watch without updates for long
    // may not show this). No request is sent before that, as the refusal of one would keep the others from
    // the new address.
    let applied_watch = (0..10).find_map(|_| {
        let (request, mut stream) = test_node.next_watch();
        write_chunk(&mut stream, &format!("{list}\n"));
        request.start_line.contains("index=42 ").then_some(stream)
    });
    assert!(applied_watch.is_some(), "the list was not applied");
    for key in &keys[..8] {
        assert_eq!(test_node.send_raw(&request_with_key(key, "pay", &new_id(), 60_000)).status(), 200);
    }
    let servers: Vec<usize> = test_node.received_requests().iter().map(|(server, _)| *server).collect();
    assert_eq!(servers, [1 - owner; 8]);
}

// A server that rejects requests while its cores are idle, because of a rate limit or by chance, is not out
// of capacity: without its slots the other servers would be. A server that reports to be busy gives up slots.
#[test]
fn server_that_rejects_requests_while_idle_keeps_its_keys() {
    for (util, expected_to_keep) in [("0.1", true), ("0.99", false)] {
        let test_node = TestNode::new(4);
        let (owner, keys) = test_node.keys_of_one_server();
        let report = format!(r#"X-Pressure: {{"queue":0,"util":{util}}}"#);
        let head: &'static str = format!("503 Busy\r\nX-Turned-Away: 1\r\n{report}").leak();
        *test_node.behaviors[owner].lock().unwrap() = ServerBehavior::Respond(head);
        for key in &keys[..5] {
            // Another server serves the key.
            assert_eq!(test_node.send_raw(&request_with_key(key, "pay", &new_id(), 60_000)).status(), 200);
        }
        *test_node.behaviors[owner].lock().unwrap() = ServerBehavior::Serve;
        test_node.received_requests();
        for key in &keys {
            assert_eq!(test_node.send_raw(&request_with_key(key, "pay", &new_id(), 60_000)).status(), 200);
        }
        let kept_keys = test_node.received_requests().iter().filter(|(server, _)| *server == owner).count();
        assert_eq!(kept_keys == keys.len(), expected_to_keep, "util {util}: {kept_keys} of {}", keys.len());
    }
}

// A server that does not respond to one class gets no more requests of that class. Waiting for the timeouts
// would lose all requests that are sent meanwhile, and ejecting the server would take the other classes from
// it.
#[test]
fn class_that_a_server_does_not_respond_to_goes_to_another_server() {
    let test_node = TestNode::with_settings(4, json!({"sockets": 256}), |settings| {
        // Silence is detected after 4 mean response times, which begin at a quarter of the aim: after 2 s. It
        // concerns one class only if the server responds to others meanwhile: requests of this class wait 0.3
        // s each below.
        (0..3).for_each(|class| settings["classes"][class]["aim"] = json!(2_000_000));
    });
    let (owner, keys) = test_node.keys_of_one_server();
    *test_node.behaviors[owner].lock().unwrap() = ServerBehavior::IgnoreClass("pay");
    let _unanswered: Vec<TcpStream> = keys[..2]
        .iter()
        .map(|key| {
            let mut stream = test_node.connect();
            stream.write_all(&request_with_key(key, "pay", &format!("lost-{key}"), 60_000)).unwrap();
            assert!(matches!(
                test_node.reports.recv_timeout(TEST_TIMEOUT),
                Ok(ServerReport::Request(server, _)) if server == owner
            ));
            stream
        })
        .collect();
    let status_of = |class, n: usize, remaining_ms| {
        let key = &keys[n % keys.len()];
        test_node.send_raw(&request_with_key(key, class, &new_id(), remaining_ms)).status()
    };
    let mut sent = 0;
    wait_until("another server serves the class", || {
        // The server responds to the other classes meanwhile.
        for _ in 0..3 {
            sent += 1;
            assert_eq!(status_of("look", sent, 60_000), 200);
        }
        status_of("pay", sent, 300) == 200
    });
    test_node.received_requests();
    assert_eq!(status_of("look", sent, 60_000), 200);
    assert_eq!(test_node.received_requests()[0].0, owner);
}
