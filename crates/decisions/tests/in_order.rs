//! Classes whose requests of one key run one at a time, in order of arrival.

mod common;

use common::*;
use woodgap_decisions::*;

fn in_order_settings() -> BalancerSettings {
    let mut settings = BalancerSettings { key_settle_time: 200_000, ..settings() };
    settings.classes[UNSAFE].in_order = true;
    settings
}

fn in_order_node() -> Node {
    Node::new(in_order_settings(), (0..4).map(listed_server).collect())
}

// Guards against two requests of an in-order key running together: the second waits for the first.
#[test]
fn in_order_requests_of_a_key_run_one_at_a_time() {
    let mut node = in_order_node();
    let first = node.route_request(1, UNSAFE, 5);
    assert!(node.send_request(2, UNSAFE, 5).is_empty(), "the request is queued");
    assert!(sent_to(&node.send_request(3, UNSAFE, 6)).is_some(), "a request of another key is sent");
    assert!(sent_to(&node.send_request(4, SAFE, 5)).is_some(), "a request of another class is sent");
    assert!(
        sent_to(&node.close_attempt(1, 0, &first, Outcome::Ok)).is_some(),
        "the second request is sent at once"
    );
}

// Guards against sending the next request of a key while a timed-out attempt may still run.
#[test]
fn key_pauses_after_an_attempt_that_may_still_run() {
    let mut node = in_order_node();
    let first = node.route_request(1, UNSAFE, 5);
    node.send_request(2, UNSAFE, 5);
    let actions = node.close_attempt(1, 0, &first, Outcome::Reset);
    assert!(is_failed(&actions) && sent_to(&actions).is_none());
    let timer = actions.iter().find_map(|a| match a {
        Action::SetTimer { delay: 200_000, timer } => Some(*timer),
        _ => None,
    });
    node.now += 200_000;
    assert!(sent_to(&node.event(Event::Timer(timer.expect("set")))).is_some());
}

// Guards against a cancelled attempt of an ended request running beside the next request of its key.
#[test]
fn lapsed_request_blocks_its_key_until_its_attempt_ends() {
    let mut node = in_order_node();
    let first = node.route_request(1, UNSAFE, 5);
    node.send_request(2, UNSAFE, 5);
    assert!(sent_to(&node.event(Event::Lapsed(request_id(1)))).is_none());
    assert!(sent_to(&node.close_attempt(1, 0, &first, Outcome::Ok)).is_some());
}

// Guards against late responses to requests that wait behind a silent server, and against unbounded queues.
#[test]
fn queued_requests_that_cannot_run_in_time_are_refused() {
    let mut node = in_order_node();
    node.route_request(1, UNSAFE, 5);
    let queued = (2..40).filter(|&n| !is_refused(&node.send_request(n, UNSAFE, 5))).count();
    assert!((1..10).contains(&queued), "{queued} queued");
    let mut refusals = 0;
    while node.now < 101 * SECOND {
        node.now += 100_000;
        refusals += node
            .event(Event::Timer(TimerId(1)))
            .iter()
            .filter(|a| matches!(a, Action::Refuse { .. }))
            .count();
    }
    assert_eq!(refusals, queued);
}
