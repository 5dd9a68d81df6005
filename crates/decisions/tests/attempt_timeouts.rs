//! How long an attempt may take before its request is sent to another server.

mod common;

use common::*;
use woodgap_decisions::*;

// Guards against spreading an overload: after an early time-out the resend stays in the cell, whose few
// servers run the slow server's work a second time, since a time-out need not stop the first attempt.
#[test]
fn attempt_timeout_is_not_shortened_if_resends_stay_in_a_cell() {
    let timeout_of = |class| {
        let actions = Node::with_servers(8).send_request(1, class, 5);
        actions.iter().find_map(|a| match a {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        })
    };
    assert_eq!(timeout_of(KEYED_CELL), Some(SECOND));
    assert_eq!(timeout_of(UNSAFE), Some(SECOND));
    let mut node = Node::with_servers(8);
    simulate_second(&mut node, 0, 300, Outcome::Ok, 20_000);
    for n in 1000..1300 {
        let server = node.route_request(n, SAFE, n);
        node.close_attempt(n, 0, &server, Outcome::Ok);
    }
    let actions = node.send_request(2000, SAFE, 5);
    assert!(matches!(actions[..], [Action::Send { timeout, .. }] if timeout < SECOND / 2), "{actions:?}");
}

// Guards against refusing a request that is being served: in a pool whose other servers were removed, a
// single late response led to a refusal, since its attempt was given up for a server that did not exist.
#[test]
fn attempt_timeout_is_not_shortened_without_another_server() {
    let mut node = Node::with_servers(3);
    for n in 0..300 {
        let server = node.route_request(n, SAFE, n);
        node.close_attempt(n, 0, &server, Outcome::Ok);
    }
    let timeout_of = |actions: &[Action]| match actions {
        [Action::Send { timeout, .. }] => *timeout,
        other => panic!("{other:?}"),
    };
    assert!(timeout_of(&node.send_request(1_000, SAFE, 5)) < SECOND / 2);
    let removed = |n| ListedServer { state: ServerState::Terminated, ..listed_server(n) };
    node.sync(SyncKind::Delta, vec![removed(0), removed(1)]);
    assert_eq!(timeout_of(&node.send_request(1_001, SAFE, 5)), SECOND);
    // With two servers the first attempt is given up early enough for a second one, which gets all the
    // remaining time.
    node.sync(SyncKind::Delta, vec![listed_server(0)]);
    let actions = node.send_request(1_002, SAFE, 5);
    let (early, first) = (timeout_of(&actions), sent_to(&actions).unwrap());
    assert!(early < SECOND / 2);
    node.now += early;
    let next = node.close_attempt_after(1_002, 0, &first, Outcome::Timeout, early);
    assert!(sent_to(&next).is_some_and(|second| second != first));
    let remaining = next.iter().find_map(|action| match action {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    });
    assert_eq!(remaining, Some(SECOND - early));
    if let Some(second) = sent_to(&next) {
        node.close_attempt(1_002, 1, &second, Outcome::Ok);
    }
    // A server that fails the class is barred from it, so only the other server remains.
    let mut n = 2_000;
    while n < 2_400 {
        n += 1;
        let server = node.route_request(n, SAFE, n);
        let is_failing = server == ServerId::from_number(0);
        let next = node.close_attempt(n, 0, &server, if is_failing { Outcome::Error } else { Outcome::Ok });
        if let Some(other) = sent_to(&next) {
            node.close_attempt(n, 1, &other, Outcome::Ok);
        }
    }
    let actions = node.send_request(3_000, SAFE, 7);
    assert_eq!((sent_to(&actions), timeout_of(&actions)), (Some(ServerId::from_number(2)), SECOND));
}

// Guards against work done twice or never: a request several times heavier than the mean is as heavy on the
// next server, so its attempt is given up only when a response has become unlikely.
#[test]
fn heavy_request_gets_a_long_attempt_timeout() {
    let mut node = Node::with_servers(10);
    for n in 0..300 {
        let server = node.route_request(n, SAFE, n);
        node.close_attempt(n, 0, &server, Outcome::Ok);
    }
    // The mean latency is 20 ms by now.
    let actions = node.send_request(1000, SAFE, 5);
    assert!(
        matches!(actions[..], [Action::Send { timeout, .. }] if (120_000..400_000).contains(&timeout)),
        "{actions:?}"
    );
}
