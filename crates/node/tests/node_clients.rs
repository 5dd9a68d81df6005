//! Tests which requests the platform node accepts from clients, and how many client connections it keeps.

mod common;

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::*;
use serde_json::json;

#[test]
fn invalid_requests_are_rejected_with_their_status() {
    let test_node = TestNode::new(1);
    let status_with = |old: &str, new: &str| {
        let text = String::from_utf8(request("pay", "1", 60_000)).unwrap();
        assert!(text.contains(old));
        test_node.send_raw(text.replace(old, new).as_bytes()).status()
    };
    assert_eq!(status_with("X-Lane: pay", "X-Lane: none"), 400);
    assert_eq!(status_with("X-Org: acme", "X-Org: other"), 400);
    assert_eq!(status_with("X-Txn: 1\r\n", ""), 400);
    assert_eq!(status_with("X-Remaining-Ms: 60000", "X-Remaining-Ms: soon"), 400);
    assert_eq!(status_with("X-Remaining-Ms: 60000", "X-Remaining-Ms: -1"), 400);
    assert_eq!(status_with("X-Lane: pay", "X-Lane: put"), 400);
    // Requests that a server would assign to another class, and ambiguous ones.
    assert_eq!(status_with("X-Lane: pay", "X-Lane: look"), 400);
    assert_eq!(status_with("POST", "GET"), 400);
    assert_eq!(status_with("X-Lane: pay", "X-Lane: pay\r\nIdempotency-Key: 5"), 400);
    assert_eq!(status_with("Host: service.internal\r\n", ""), 400);
    for twice in ["Host: other", "X-Txn: 2", "X-Lane: pay", "X-Remaining-Ms: 5", "X-Org: acme"] {
        assert_eq!(status_with("X-Org: acme", &format!("X-Org: acme\r\n{twice}")), 400, "{twice}");
    }
    let hidden = "0\r\n\r\nPOST /api HTTP/1.1\r\n";
    for framing in [
        "Transfer-Encoding: chunked\r\nContent-Length: 26",
        "Content-Length: 26\r\nTransfer-Encoding: chunked",
    ] {
        let text = String::from_utf8(request("pay", "1", 60_000)).unwrap();
        let text = text.replace("Content-Length: 5\r\n\r\nhello", &format!("{framing}\r\n\r\n{hidden}"));
        let response = test_node.send_raw(text.as_bytes());
        assert_eq!((response.status(), response.header("connection")), (411, "close"));
    }
    assert_eq!(status_with("Content-Length: 5", "Content-Length: -5"), 400);
    assert_eq!(status_with("Content-Length: 5", "Content-Length: 5\r\nContent-Length: 6"), 400);
    assert_eq!(status_with("/api?", "/other?"), 404);
    assert_eq!(status_with("POST", "DELETE"), 405);
    assert_eq!(status_with("Content-Length: 5", "Content-Length: 70000"), 413);
    assert_eq!(status_with("X-Org: acme", &format!("X-Org: acme\r\nX-Long: {}", "a".repeat(40_000))), 431);
    assert_eq!(status_with(" HTTP/1.1", " NONSENSE"), 400);
    assert!(test_node.received_requests().is_empty());
    assert_eq!(test_node.send_request("pay", "2").status(), 200);
}

#[test]
fn node_refuses_requests_above_its_socket_limit_and_recovers() {
    // 60 sockets less the reserved descriptors are 20: ten requests with their attempts.
    let test_node = TestNode::with_limits(1, json!({"sockets": 60}));
    test_node.set_all_behaviors(ServerBehavior::NeverRespond);
    let held_streams: Vec<TcpStream> = (0..10)
        .map(|n| {
            let mut stream = test_node.connect();
            stream.write_all(&request("pay", &format!("held{n}"), 60_000)).unwrap();
            assert!(matches!(test_node.reports.recv_timeout(TEST_TIMEOUT), Ok(ServerReport::Request(..))));
            stream
        })
        .collect();
    let response = test_node.send_request("pay", "1");
    assert_eq!((response.status(), response.header("connection")), (503, "close"));
    test_node.set_all_behaviors(ServerBehavior::Serve);
    drop(held_streams);
    wait_until("requests are served again", || test_node.send_request("pay", &new_id()).status() == 200);
}

// Clients that send one request and keep their connection must not shut others out: 60 sockets leave 12
// client connections.
#[test]
fn clients_that_keep_idle_connections_do_not_shut_others_out() {
    let test_node = TestNode::with_limits(1, json!({"sockets": 60}));
    let mut kept_streams = Vec::new();
    for n in 0..30 {
        let mut stream = BufReader::new(test_node.connect());
        stream.get_mut().write_all(&request("pay", &format!("once{n}"), 60_000)).unwrap();
        let response = HttpMessage::read(&mut stream).unwrap();
        assert_eq!(response.status(), 200);
        if response.header("connection") == "close" {
            assert_eq!(stream.read(&mut [0]).unwrap(), 0);
        } else {
            kept_streams.push(stream);
        }
    }
    // Connections from before the limit was reached are still served.
    assert!(kept_streams.len() >= 5, "{}", kept_streams.len());
    for (n, stream) in kept_streams.iter_mut().enumerate() {
        stream.get_mut().write_all(&request("pay", &format!("again{n}"), 60_000)).unwrap();
        assert_eq!(HttpMessage::read(stream).unwrap().body, format!("again{n}").into_bytes());
    }
}

// Clients that send nothing, or send slowly, occupy connections that others need.
#[test]
fn connections_of_slow_clients_are_closed() {
    let test_node = TestNode::new(1);
    let mut silent = test_node.connect();
    let mut half_head = test_node.connect();
    half_head.write_all(b"POST /api HTTP/1.1\r\nHost: x\r\n").unwrap();
    let mut later = BufReader::new(test_node.connect());
    later.get_mut().write_all(&request("pay", "1", 60_000)).unwrap();
    assert_eq!(HttpMessage::read(&mut later).unwrap().status(), 200);
    later.get_mut().write_all(b"POST /api").unwrap();
    let whole = request("pay", "2", 60_000);
    let mut half_body = test_node.connect();
    half_body.write_all(&whole[..whole.len() - 1]).unwrap();
    let start = Instant::now();
    assert_eq!(HttpMessage::read(&mut BufReader::new(half_body)).unwrap().status(), 408);
    assert!(start.elapsed() < Duration::from_secs(9));
    assert_eq!(silent.read(&mut [0]).unwrap(), 0);
    assert_eq!(half_head.read(&mut [0]).unwrap(), 0);
    assert_eq!(later.read(&mut [0]).unwrap(), 0);
    assert_eq!(test_node.received_requests().len(), 1);
}
