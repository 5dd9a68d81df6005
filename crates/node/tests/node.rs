//! Tests requests and their responses through the platform node, with stand-in servers and a stand-in
//! discovery.

mod common;

use std::io::{BufReader, Write};

use common::*;

#[test]
fn request_is_forwarded_unchanged_and_its_response_returned() {
    let test_node = TestNode::new(2);
    assert_eq!(test_node.send_raw(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
    let response = test_node.send_request("put", "abc");
    assert_eq!((response.status(), response.body.as_slice()), (200, b"abc".as_slice()));
    let received = test_node.received_requests();
    let (_, request) = &received[0];
    assert_eq!(received.len(), 1);
    assert_eq!(request.start_line, "POST /api?key=7f3a&x=1 HTTP/1.1\r\n");
    assert_eq!((request.header("x-txn"), request.header("idempotency-key")), ("abc", "77"));
    assert_eq!(request.body, b"hello");
    assert!((1..60_000).contains(&request.header("x-remaining-ms").parse::<u64>().unwrap()));
}

#[test]
fn client_and_server_connections_are_reused() {
    let test_node = TestNode::new(1);
    let mut stream = test_node.connect();
    let mut input = BufReader::new(stream.try_clone().unwrap());
    for id in ["1", "2", "3"] {
        stream.write_all(&request("pay", id, 60_000)).unwrap();
        assert_eq!(HttpMessage::read(&mut input).unwrap().body, id.as_bytes());
    }
    assert!(
        test_node.reports.try_iter().all(|report| matches!(report, ServerReport::Request(..))),
        "a server connection was closed"
    );
}

// Servers identify requests by their ids: a second request under an open id could run an effect twice, or
// receive the response to the first one. What happens after the response is in `node_transaction_ids.rs`.
#[test]
fn request_under_an_open_id_is_rejected() {
    let test_node = TestNode::new(1);
    test_node.set_all_behaviors(ServerBehavior::HoldRequests);
    let mut first = test_node.connect();
    first.write_all(&request("pay", "same", 60_000)).unwrap();
    assert!(matches!(test_node.reports.recv_timeout(TEST_TIMEOUT), Ok(ServerReport::Request(..))));
    assert_eq!(test_node.send_request("pay", "same").status(), 409);
    assert_eq!(test_node.send_request("look", "same").status(), 409);
    assert!(test_node.received_requests().is_empty());
    test_node.set_all_behaviors(ServerBehavior::Serve);
    let response = HttpMessage::read(&mut BufReader::new(first)).unwrap();
    assert_eq!((response.status(), response.body.as_slice()), (200, b"same".as_slice()));
    assert_eq!(test_node.send_request("pay", "same").status(), 409);
    assert_eq!(test_node.send_request("pay", "other").status(), 200);
    let ids: Vec<String> =
        test_node.received_requests().iter().map(|(_, request)| request.header("x-txn").to_owned()).collect();
    assert_eq!(ids, ["other"]);
}

#[test]
fn unsafe_request_that_may_have_run_is_neither_retried_nor_refused() {
    for behavior in [
        ServerBehavior::CloseConnection,
        ServerBehavior::TruncateBody,
        ServerBehavior::Respond("500 Oops"),
        ServerBehavior::Respond("503 Busy"),
        ServerBehavior::Respond("504 Late"),
    ] {
        let test_node = TestNode::new(3);
        test_node.set_all_behaviors(behavior);
        let status = test_node.send_request("pay", "1").status();
        assert!(![200, 429, 503].contains(&status), "{status}");
        assert_eq!(test_node.received_requests().len(), 1);
    }
}

#[test]
fn safe_request_is_served_after_a_truncated_response() {
    let test_node = TestNode::new(2);
    test_node.set_all_behaviors(ServerBehavior::TruncateBody);
    let mut stream = test_node.connect();
    *test_node.behaviors[0].lock().unwrap() = ServerBehavior::Serve;
    for n in 0..8 {
        let id = format!("{n}");
        stream.write_all(&request("look", &id, 60_000)).unwrap();
        let response = HttpMessage::read(&mut BufReader::new(stream.try_clone().unwrap())).unwrap();
        assert_eq!((response.status(), response.body), (200, id.into_bytes()));
    }
}

#[test]
fn unsafe_request_that_a_server_turned_away_is_refused_or_served_elsewhere() {
    let test_node = TestNode::new(2);
    test_node.set_all_behaviors(ServerBehavior::Respond("503 Full\r\nX-Turned-Away: 1"));
    let response = test_node.send_request("pay", "1");
    assert_eq!(response.status(), 503);
    test_node.set_all_behaviors(ServerBehavior::Serve);
    wait_until("requests are served again", || test_node.send_request("pay", &new_id()).status() == 200);
}

#[test]
fn request_is_answered_before_its_deadline() {
    let test_node = TestNode::new(2);
    test_node.set_all_behaviors(ServerBehavior::NeverRespond);
    for class in ["look", "pay", "put"] {
        let status = test_node.send_raw(&request(class, "1", 400)).status();
        assert_ne!(status, 200);
        // An unsafe request that may have run must not be refused as if it had not.
        assert!(class != "pay" || ![429, 503].contains(&status), "{status}");
    }
}

#[test]
fn attempt_ends_when_its_client_disconnects() {
    let test_node = TestNode::new(2);
    test_node.set_all_behaviors(ServerBehavior::NeverRespond);
    let mut stream = test_node.connect();
    stream.write_all(&request("look", "1", 60_000)).unwrap();
    assert!(matches!(test_node.reports.recv_timeout(TEST_TIMEOUT), Ok(ServerReport::Request(..))));
    drop(stream);
    assert!(matches!(test_node.reports.recv_timeout(TEST_TIMEOUT), Ok(ServerReport::Closed)));
}
