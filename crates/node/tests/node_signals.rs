//! Tests how the platform node reacts to discovery lists and to signals.

mod common;

use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::sync::mpsc::channel;

use common::*;
use serde_json::json;

#[test]
fn list_changes_arrive_however_their_lines_are_split() {
    let mut test_node = TestNode::new(2);
    let (request, mut stream) = test_node.next_watch();
    assert!(request.start_line.contains("/api/targets?stream=1&index=41 "), "{}", request.start_line);
    test_node.members[0]["phase"] = json!("terminating");
    let list =
        json!({"revision": 43, "complete": false, "members": [test_node.members[0]]}).to_string() + "\n";
    for part in list.as_bytes().chunks(7) {
        write_chunk(&mut stream, std::str::from_utf8(part).unwrap());
    }
    wait_until("the draining server receives no requests", || {
        (0..8).for_each(|_| assert_eq!(test_node.send_request("pay", &new_id()).status(), 200));
        !test_node.received_requests().iter().any(|(server, _)| *server == 0)
    });
    // When a watch ends, it is opened again from the last revision.
    drop(stream);
    let (request, _stream) = test_node.next_watch();
    assert!(request.start_line.contains("index=43 "), "{}", request.start_line);
}

#[test]
fn silent_watch_is_replaced() {
    let test_node = TestNode::new(1);
    let (_, _silent) = test_node.next_watch();
    let (request, _stream) = test_node.next_watch();
    assert!(request.start_line.contains("index=41 "), "{}", request.start_line);
}

#[test]
fn sigterm_completes_open_requests_and_exits_cleanly() {
    let mut test_node = TestNode::new(1);
    let mut idle = test_node.connect();
    idle.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    let mut idle = BufReader::new(idle);
    assert_eq!(HttpMessage::read(&mut idle).unwrap().status(), 200);
    test_node.set_all_behaviors(ServerBehavior::HoldRequests);
    let mut busy = test_node.connect();
    busy.write_all(&request("pay", "9", 60_000)).unwrap();
    assert!(matches!(test_node.reports.recv_timeout(TEST_TIMEOUT), Ok(ServerReport::Request(..))));
    test_node.send_signal("-TERM");
    // New connections are accepted until the process ends.
    wait_until("the node is not ready", || {
        let response = test_node.send_raw(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        response.status() == 503 && response.header("connection") == "close"
    });
    // An idle connection is closed; held and new requests are still answered.
    assert!(HttpMessage::read(&mut idle).is_none());
    let mut new = test_node.connect();
    new.write_all(&request("pay", "10", 60_000)).unwrap();
    assert!(matches!(test_node.reports.recv_timeout(TEST_TIMEOUT), Ok(ServerReport::Request(..))));
    assert!(test_node.node.child.try_wait().unwrap().is_none());
    test_node.set_all_behaviors(ServerBehavior::Serve);
    for (stream, id) in [(busy, "9"), (new, "10")] {
        let response = HttpMessage::read(&mut BufReader::new(stream)).expect("a response");
        assert_eq!((response.status(), response.header("connection")), (200, "close"));
        assert_eq!(response.body, id.as_bytes());
    }
    assert!(test_node.node.child.wait().unwrap().success());
}

// A node that ended on SIGHUP would lose its open requests. A node that kept the old discovery, or requested
// only changes from the new one, would not know the servers.
#[test]
fn sighup_moves_the_watch_to_the_configured_discovery() {
    let mut test_node = TestNode::new(2);
    let (_, _old) = test_node.next_watch();
    test_node.reload_config("{\"discovery\": ");
    for round in 0..2 {
        // Only calls to the new address arrive here: the previous one is called once more when its watch
        // ends.
        let (tx, watches) = channel();
        // At first the new address has no listener.
        let closed_address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        test_node.config["discovery"] = json!(closed_address.to_string());
        test_node.reload_config(&test_node.config.to_string());
        test_node.config["discovery"] = json!(spawn_discovery(tx).to_string());
        test_node.reload_config(&test_node.config.to_string());
        let (request, mut stream) = watches.recv_timeout(TEST_TIMEOUT).expect("a watch at the new address");
        assert!(request.start_line.contains("index=0 "), "{}", request.start_line);
        // The old list stays in effect until the new one arrives.
        assert_eq!(test_node.send_request("pay", &new_id()).status(), 200);
        let list = json!({"revision": 7, "complete": true, "members": [test_node.members[round]]});
        write_chunk(&mut stream, &format!("{list}\n"));
        wait_until("only the listed server is used", || {
            test_node.received_requests();
            (0..8).for_each(|_| assert_eq!(test_node.send_request("pay", &new_id()).status(), 200));
            test_node.received_requests().iter().all(|(server, _)| *server == round)
        });
    }
    test_node.send_signal("-TERM");
    test_node.send_signal("-HUP");
    assert!(test_node.node.child.wait().unwrap().success());
}
