//! Tests final responses at the deadlines of requests, and while the node shuts down
//! (`docs/design/standing.md`).

mod common;

use std::io::{BufReader, Write};
use std::time::{Duration, Instant};

use common::*;
use serde_json::json;

/// Time from SIGTERM until the node closes idle connections: the node's `DRAIN_PERIOD`.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(600);
/// SIGKILL follows SIGTERM no sooner than after the longest deadline and this time.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// Starts a node, calls `before`, sends SIGTERM and waits until the node has closed its idle connections.
/// Returns the node, the time of SIGTERM and the result of `before`.
fn start_and_terminate<T>(deadline: Duration, before: impl Fn(&TestNode) -> T) -> (TestNode, Instant, T) {
    let test_node = TestNode::with_settings(1, json!({"sockets": 256}), |settings| {
        (0..3).for_each(|class| settings["classes"][class]["deadline"] = json!(deadline.as_micros() as u64));
    });
    let mut idle = BufReader::new(test_node.connect());
    idle.get_mut().write_all(&request("pay", "idle", 60_000)).unwrap();
    assert_eq!(HttpMessage::read(&mut idle).unwrap().status(), 200);
    assert!(matches!(test_node.reports.recv_timeout(TEST_TIMEOUT), Ok(ServerReport::Request(..))));
    let before_result = before(&test_node);
    let terminated_at = Instant::now();
    test_node.send_signal("-TERM");
    assert!(HttpMessage::read(&mut idle).is_none());
    assert!(terminated_at.elapsed() >= IDLE_CLOSE_DELAY);
    (test_node, terminated_at, before_result)
}

// A client on a new connection has no other connection to retry on, and one that has begun a request is about
// to complete it. Neither connection may be closed with the idle ones.
#[test]
fn a_request_that_arrives_during_shutdown_is_answered() {
    let full_request = request("pay", "begun", 60_000);
    let (test_node, _, (new, begun)) = start_and_terminate(Duration::from_secs(60), |test_node| {
        let new = test_node.connect();
        let mut begun = BufReader::new(test_node.connect());
        begun.get_mut().write_all(&request("pay", "first", 60_000)).unwrap();
        assert_eq!(HttpMessage::read(&mut begun).unwrap().status(), 200);
        begun.get_mut().write_all(&full_request[..30]).unwrap();
        (new, begun)
    });
    let mut new = BufReader::new(new);
    let mut begun = begun;
    new.get_mut().write_all(&request("pay", "new", 60_000)).unwrap();
    begun.get_mut().write_all(&full_request[30..]).unwrap();
    for (stream, id) in [(&mut new, "new"), (&mut begun, "begun")] {
        let response = HttpMessage::read(stream).expect("a response");
        assert_eq!((response.status(), response.body.as_slice()), (200, id.as_bytes()));
        assert_eq!(response.header("connection"), "close");
        assert!(HttpMessage::read(stream).is_none());
    }
    let mut test_node = test_node;
    assert!(test_node.node.child.wait().unwrap().success());
}

// A request that arrives late after SIGTERM must be answered before SIGKILL may come, whatever deadline it
// has.
#[test]
fn every_request_is_answered_before_sigkill_may_come() {
    let max_deadline = Duration::from_secs(2);
    let (test_node, terminated_at, held) = start_and_terminate(max_deadline, |test_node| {
        test_node.set_all_behaviors(ServerBehavior::HoldRequests);
        let mut held = test_node.connect();
        held.write_all(&request("look", "held", 60_000)).unwrap();
        assert!(matches!(test_node.reports.recv_timeout(TEST_TIMEOUT), Ok(ServerReport::Request(..))));
        held
    });
    // The held request keeps the node running: its server never responds, and its deadline is after the later
    // requests arrive.
    wait_until("the node is late in its shutdown", || {
        terminated_at.elapsed() > IDLE_CLOSE_DELAY + Duration::from_millis(500)
    });
    let late_streams = ["look", "pay", "put"].map(|class| {
        let mut stream = test_node.connect();
        stream.write_all(&request(class, class, 60_000)).unwrap();
        stream
    });
    for stream in [held].into_iter().chain(late_streams) {
        assert_ne!(HttpMessage::read(&mut BufReader::new(stream)).expect("a response").status(), 200);
        assert!(
            terminated_at.elapsed() < max_deadline + KILL_MARGIN,
            "answered {:?} after SIGTERM",
            terminated_at.elapsed()
        );
    }
}

// A response that arrives more than half a second after the request's deadline does not count.
#[test]
fn the_final_response_arrives_within_half_a_second_of_the_deadline() {
    let test_node = TestNode::new(2);
    for behavior in [
        ServerBehavior::NeverRespond,
        ServerBehavior::RespondRaw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", 1),
    ] {
        test_node.set_all_behaviors(behavior);
        for class in ["look", "pay", "put"] {
            let sent = Instant::now();
            let status = test_node
                .send_raw(&request(class, &format!("{class}{}", test_node.members.len()), 300))
                .status();
            assert_ne!(status, 200);
            assert!(sent.elapsed() < Duration::from_millis(800), "{class}: {:?}", sent.elapsed());
        }
    }
}

// A request that was never sent to a server is refused, whatever its class, since clients do not retry a
// failed one.
#[test]
fn a_request_that_was_never_sent_is_refused() {
    let test_node = TestNode::new(1);
    let (_, mut stream) = test_node.next_watch();
    write_chunk(&mut stream, &(json!({"revision": 42, "complete": true, "members": []}).to_string() + "\n"));
    wait_until("there are no servers", || test_node.send_request("look", &new_id()).status() != 200);
    test_node.received_requests();
    for class in ["look", "pay", "put"] {
        for remaining_ms in [60_000, 13, 1, 0] {
            let status =
                test_node.send_raw(&request(class, &format!("{class}{remaining_ms}"), remaining_ms)).status();
            assert_eq!(status, 503, "{class}, {remaining_ms} ms");
        }
    }
    assert!(test_node.received_requests().is_empty());
}
