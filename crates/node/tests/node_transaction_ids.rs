//! Tests of the platform's node: a request under an id (`X-Txn`) that another request has used is never served.
//! The hosted node's tests are in `transaction_ids_hosted.rs`.

mod common;

use std::io::{BufReader, Write};
use std::net::TcpStream;

use common::*;
use serde_json::json;

const CLASSES: [&str; 3] = ["look", "pay", "put"];
/// The most connections without a request that a test opens; more than the node accepts at a time.
const SILENT_CLIENTS: usize = 200;

/// Sends bytes on a new connection.
fn connect_and_send(test_node: &TestNode, bytes: &[u8]) -> TcpStream {
    let mut stream = test_node.connect();
    stream.write_all(bytes).unwrap();
    stream
}

fn read_status(stream: TcpStream) -> Option<u16> {
    HttpMessage::read(&mut BufReader::new(stream)).map(|response| response.status())
}

/// How many of the requests that reached servers since the last call have this id.
fn runs_of(test_node: &TestNode, id: &str) -> usize {
    test_node.received_requests().iter().filter(|(_, request)| request.header("x-txn") == id).count()
}

// Guards against a second effect: an id was forgotten as soon as its request had its response, so that a copy that
// had waited in the accept queue meanwhile ran once more, and its sender was served.
#[test]
fn id_of_a_request_that_was_answered_is_rejected() {
    let test_node = TestNode::new(2);
    for class in CLASSES {
        for copy in CLASSES {
            let id = format!("{class}-{copy}");
            assert_eq!(test_node.send_request(class, &id).status(), 200);
            // Other requests in between do not free the id.
            for n in 0..300 {
                assert_eq!(test_node.send_request("look", &format!("{id}-other{n}")).status(), 200);
            }
            assert_eq!(test_node.send_request(copy, &id).status(), 409, "{id}");
            assert_eq!(runs_of(&test_node, &id), 1, "{id}");
        }
    }
}

// The same with a copy that is sent while the first request is open, and that the node accepts after its end, as
// silent connections hold back the accept queue.
#[test]
fn copy_that_waits_in_the_accept_queue_is_not_served() {
    // The node serves few connections at a time.
    let test_node = TestNode::with_limits(1, json!({"sockets": 80}));
    for class in CLASSES {
        test_node.set_all_behaviors(ServerBehavior::HoldRequests);
        let first = connect_and_send(&test_node, &request(class, class, 60_000));
        assert!(matches!(test_node.reports.recv_timeout(TEST_TIMEOUT), Ok(ServerReport::Request(..))));
        let silent: Vec<_> = (0..SILENT_CLIENTS).map(|_| test_node.connect()).collect();
        let mut copy = connect_and_send(&test_node, &request(class, class, 60_000));
        test_node.set_all_behaviors(ServerBehavior::Serve);
        assert_eq!(read_status(first), Some(200), "{class}");
        // Turned away without a look at its id while connections are scarce, the copy comes again.
        let status = loop {
            match read_status(copy) {
                Some(503) => copy = connect_and_send(&test_node, &request(class, class, 60_000)),
                status => break status,
            }
        };
        assert_eq!(status, Some(409), "{class}");
        assert_eq!(runs_of(&test_node, class), 0, "{class}");
        drop(silent);
    }
}

// Guards against a second effect: an id was forgotten as soon as its client had disconnected, although the server was
// still running the request.
#[test]
fn id_of_a_client_that_disconnected_is_rejected() {
    for class in CLASSES {
        let test_node = TestNode::new(2);
        test_node.set_all_behaviors(ServerBehavior::NeverRespond);
        let first = connect_and_send(&test_node, &request(class, "left", 60_000));
        assert!(matches!(test_node.reports.recv_timeout(TEST_TIMEOUT), Ok(ServerReport::Request(..))));
        drop(first);
        // The attempt ends once the node has seen the disconnect.
        assert!(matches!(test_node.reports.recv_timeout(TEST_TIMEOUT), Ok(ServerReport::Closed)));
        test_node.set_all_behaviors(ServerBehavior::Serve);
        assert_eq!(test_node.send_request(class, "left").status(), 409, "{class}");
        assert_eq!(runs_of(&test_node, "left"), 0, "{class}");
    }
}

// A request that arrives slowly keeps its id: a copy that is complete earlier is rejected.
#[test]
fn id_of_a_request_that_is_arriving_is_rejected() {
    let test_node = TestNode::new(1);
    let whole = request("pay", "slow", 60_000);
    let mut slow = connect_and_send(&test_node, &whole[..whole.len() - 1]);
    // The node has read what arrived earlier once it responds.
    assert_eq!(test_node.send_request("look", "other").status(), 200);
    assert_eq!(test_node.send_request("pay", "slow").status(), 409);
    slow.write_all(&whole[whole.len() - 1..]).unwrap();
    assert_eq!(read_status(slow), Some(200));
    assert_eq!(runs_of(&test_node, "slow"), 1);
}

// A client whose connection ended before the node had read its whole request may send it again.
#[test]
fn id_of_a_request_that_was_not_read_completely_is_served() {
    let test_node = TestNode::new(1);
    let whole = request("pay", "again", 60_000);
    drop(connect_and_send(&test_node, &whole[..whole.len() - 1]));
    wait_until("the request is served", || test_node.send_request("pay", "again").status() == 200);
    assert_eq!(runs_of(&test_node, "again"), 1);
}
