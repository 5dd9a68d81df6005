//! Tests the remaining time that attempts announce to servers, and responses that prove that a request had no
//! effect (`docs/design/races.md`).

mod common;

use std::io::{BufReader, Write};
use std::time::{Duration, Instant};

use common::*;

// The first server closes the connection after some time. The second one must receive only the time that
// remains then.
#[test]
fn a_further_attempt_announces_no_more_than_the_remaining_time() {
    let test_node = TestNode::new(2);
    test_node.set_all_behaviors(ServerBehavior::HoldRequests);
    let time_limit = Duration::from_secs(20);
    let mut client = BufReader::new(test_node.connect());
    client.get_mut().write_all(&request("look", "1", time_limit.as_millis() as u64)).unwrap();
    let sent = Instant::now();
    let Ok(ServerReport::Request(first, message)) = test_node.reports.recv_timeout(TEST_TIMEOUT) else {
        panic!("no attempt")
    };
    let remaining_time = |message: &HttpMessage| {
        Duration::from_millis(message.header("x-remaining-ms").parse().expect("the remaining time"))
    };
    assert!(remaining_time(&message) <= time_limit);
    std::thread::sleep(Duration::from_millis(300));
    let elapsed = sent.elapsed();
    *test_node.behaviors[1 - first].lock().unwrap() = ServerBehavior::Serve;
    *test_node.behaviors[first].lock().unwrap() = ServerBehavior::CloseConnection;
    assert_eq!(HttpMessage::read(&mut client).expect("a response").body, b"1");
    let (second, message) = test_node.received_requests().pop().expect("a further attempt");
    assert_ne!(first, second);
    assert!(
        remaining_time(&message) <= time_limit - elapsed,
        "{:?} of {:?}",
        remaining_time(&message),
        time_limit - elapsed
    );
}

// The head alone proves that the request did not run. The body has no length, so its end proves nothing and
// need not arrive.
#[test]
fn a_refusal_with_no_length_proves_that_nothing_ran() {
    let test_node = TestNode::new(2);
    test_node
        .set_all_behaviors(ServerBehavior::RespondRaw("HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\n\r\nbu", 1));
    assert_eq!(test_node.send_request("pay", "1").status(), 503);
    // Without the header the request may have had an effect.
    test_node.set_all_behaviors(ServerBehavior::RespondRaw("HTTP/1.1 503 Busy\r\n\r\nbu", 1));
    wait_until("the request reaches a server and fails", || {
        ![200, 429, 503].contains(&test_node.send_request("pay", &new_id()).status())
    });
}
