//! Tests responses that are malformed, duplicated or preceded by others, and connections that are closed
//! after a response.

mod common;

use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::time::{Duration, Instant};

use common::*;

// A malformed response must not reach the client, and must not delay the request until its deadline.
#[test]
fn malformed_response_fails_only_its_own_request() {
    let malformed: [(&str, usize); 10] = [
        ("\u{1}\u{2} noise\r\n\r\n", 1),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc", 1),
        ("HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc", 1),
        ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", 1),
        ("HTTP/1.1 200 OK\r\n\r\nabc", 1),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 1),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 1),
        ("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", 1),
        ("HTTP/1.1 200 OK\r\nX-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", 2_000),
        ("HTTP/1.1 100 Continue\r\n\r\n", 20_000),
    ];
    for (text, times) in malformed {
        let test_node = TestNode::new(2);
        test_node.set_all_behaviors(ServerBehavior::RespondRaw(text, times));
        let status = test_node.send_request("pay", "1").status();
        assert!(![200, 429, 503].contains(&status), "{text}: {status}");
        assert_eq!(test_node.received_requests().len(), 1, "{text}");
        test_node.set_all_behaviors(ServerBehavior::Serve);
        wait_until("requests are served again", || {
            let id = new_id();
            test_node.send_request("look", &id).body == id.as_bytes()
        });
    }
}

#[test]
fn informational_responses_and_an_invalid_report_do_not_affect_a_response() {
    let test_node = TestNode::new(1);
    let response_text = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n\
        HTTP/1.1 200 OK\r\nX-Pressure: {\"queue\":\r\nContent-Length: 2\r\n\r\nok";
    test_node.set_all_behaviors(ServerBehavior::RespondRaw(response_text, 1));
    for n in 0..4 {
        assert_eq!(test_node.send_request("pay", &n.to_string()).body, b"ok");
    }
}

// A duplicate of a response must never be taken as the response to the next request. The node detects
// duplicates that arrive within `REUSE_DELAY` (10 ms) of the response. A later duplicate, from a server on a
// busy machine, cannot be detected and ends its round. A duplicate is conclusive if it was sent in time and
// after the next request; rounds are repeated until there are enough of these.
#[test]
fn duplicate_response_is_not_taken_as_the_next_response() {
    const IN_TIME: Duration = Duration::from_millis(9);
    const MIN_CONCLUSIVE: usize = 40;
    const MAX_ROUNDS: usize = 100;
    // Both copies are sent in one write, so they arrive together.
    let test_node = TestNode::new(1);
    test_node.set_all_behaviors(ServerBehavior::RespondTwice(0));
    for n in 0..20 {
        assert_eq!(test_node.send_request("pay", &n.to_string()).body, n.to_string().as_bytes());
    }
    let (mut completed, mut conclusive) = (BTreeSet::new(), 0);
    for delay_ms in [1, 2, 4].into_iter().cycle().take(3 * MAX_ROUNDS) {
        if completed.len() == 3 && conclusive >= MIN_CONCLUSIVE {
            return;
        }
        let test_node = TestNode::new(1);
        test_node.set_all_behaviors(ServerBehavior::RespondTwice(delay_ms));
        let (mut sent, mut wrong_id) = (Vec::new(), None);
        for n in 0..20 {
            let mut stream = test_node.connect();
            stream.write_all(&request("pay", &n.to_string(), 60_000)).unwrap();
            sent.push(Instant::now());
            let body = HttpMessage::read(&mut BufReader::new(stream)).expect("a response").body;
            if body != n.to_string().as_bytes() {
                wrong_id = Some(String::from_utf8(body).unwrap().parse::<usize>().unwrap());
                break;
            }
        }
        wait_until("all duplicates are sent", || {
            test_node
                .server_connections
                .repeated
                .lock()
                .unwrap()
                .iter()
                .all(|repeat| repeat.finished_at.is_some())
        });
        let repeated = test_node.server_connections.repeated.lock().unwrap();
        let in_time = |n: usize| repeated[n].finished_at.unwrap() - repeated[n].started_at < IN_TIME;
        match wrong_id {
            Some(n) => assert!(!in_time(n), "request {} has the response to {n}", sent.len() - 1),
            None => drop(completed.insert(delay_ms)),
        }
        conclusive += (1..sent.len())
            .filter(|&n| in_time(n - 1) && sent[n] < repeated[n - 1].finished_at.unwrap())
            .count();
    }
    panic!("{conclusive} conclusive duplicates; delays with a round without a late duplicate: {completed:?}");
}

#[test]
fn idle_connection_that_the_server_closed_is_not_reused() {
    let test_node = TestNode::new(1);
    test_node.set_all_behaviors(ServerBehavior::ServeAndClose);
    for n in 0..10 {
        assert_eq!(test_node.send_request("pay", &n.to_string()).status(), 200);
        wait_until("the server has closed the connection", || {
            test_node.reports.try_iter().any(|report| matches!(report, ServerReport::Closed))
        });
    }
}
