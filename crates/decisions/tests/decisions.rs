//! Routing, retries and refusals of single requests, each test with the failure that it guards against.

mod common;

use common::*;
use woodgap_decisions::*;

#[test]
fn every_node_sends_a_key_to_the_same_server() {
    let (mut a, mut b) =
        (Node::with_servers(12), Node::new(settings(), (0..12).rev().map(listed_server).collect()));
    b.balancer = Balancer::new(settings(), 77);
    b.sync(SyncKind::Cached, (0..12).rev().map(listed_server).collect());
    for key in 0..200 {
        let server = a.route_request(key, SAFE, key);
        a.close_attempt(key, 0, &server, Outcome::Ok);
        assert_eq!(b.route_request(key, SAFE, key), server);
        b.close_attempt(key, 0, &server, Outcome::Ok);
    }
}

#[test]
fn requests_are_refused_at_once_without_servers() {
    let mut node = Node::new(settings(), vec![]);
    for class in 0..4 {
        assert!(is_refused(&node.send_request(class as u64, class, 1)));
    }
    node.sync(SyncKind::Full, vec![listed_server(3)]);
    assert_eq!(node.route_request(9, SAFE, 1), ServerId::from_number(3));
}

#[test]
fn unsafe_request_is_resent_only_if_it_never_ran() {
    for (outcome, is_resent) in [
        (Outcome::ConnectFailed, true),
        (Outcome::Full, true),
        (Outcome::Error, false),
        (Outcome::Reset, false),
        (Outcome::Timeout, false),
    ] {
        let mut node = Node::with_servers(8);
        let server = node.route_request(1, UNSAFE, 5);
        let actions = node.close_attempt(1, 0, &server, outcome);
        assert_eq!(sent_to(&actions).is_some(), is_resent, "{outcome:?}");
        assert_eq!(is_failed(&actions), !is_resent, "{outcome:?}");
        assert!(!is_refused(&actions), "{outcome:?}");
        assert_ne!(sent_to(&actions), Some(server));
    }
}

#[test]
fn request_keyed_by_cell_is_resent_within_its_cell_and_window() {
    let mut node = Node::with_servers(16);
    let first = node.route_request(1, KEYED_CELL, 5);
    node.now += 100_000;
    let second = sent_to(&node.close_attempt(1, 0, &first, Outcome::Reset)).expect("resent");
    assert_eq!(first.table_hash() / 4, second.table_hash() / 4);
    assert_ne!(first, second);
    node.now += SECOND;
    let actions = node.close_attempt(1, 1, &second, Outcome::Reset);
    assert!(is_failed(&actions) && !is_refused(&actions), "{actions:?}");
}

#[test]
fn request_keyed_by_all_may_be_refused_after_it_may_have_run() {
    let mut node = Node::with_servers(1);
    let first = node.route_request(1, KEYED_ALL, 5);
    assert!(is_refused(&node.close_attempt(1, 0, &first, Outcome::Reset)));
}

#[test]
fn attempts_stay_within_max_attempts() {
    let mut node = Node::with_servers(20);
    let mut server = node.route_request(1, SAFE, 5);
    for n in 0..2 {
        server = sent_to(&node.close_attempt(1, n, &server, Outcome::ConnectFailed)).expect("resent");
    }
    let actions = node.close_attempt(1, 2, &server, Outcome::ConnectFailed);
    assert!(is_refused(&actions) && sent_to(&actions).is_none());
}

#[test]
fn draining_and_removed_servers_get_no_requests() {
    let mut node = Node::with_servers(4);
    let mut draining = listed_server(1);
    draining.state = ServerState::Terminating;
    node.sync(SyncKind::Delta, vec![draining]);
    for key in 0..300 {
        let server = node.route_request(key, SAFE, key);
        assert_ne!(server, ServerId::from_number(1));
        node.close_attempt(key, 0, &server, Outcome::Ok);
    }
    node.sync(SyncKind::Full, vec![listed_server(2)]);
    for key in 300..400 {
        let server = node.route_request(key, SAFE, key);
        assert_eq!(server, ServerId::from_number(2));
        node.close_attempt(key, 0, &server, Outcome::Ok);
    }
}

#[test]
fn hot_key_is_spread_over_several_owners() {
    let mut node = Node::with_servers(20);
    let mut seen = std::collections::BTreeSet::new();
    for n in 0..600 {
        let key = if n % 3 == 0 { 7 } else { n };
        let server = node.route_request(n, SAFE, key);
        if key == 7 && n > 300 {
            seen.insert(server.clone());
        }
        node.close_attempt(n, 0, &server, Outcome::Ok);
    }
    assert!(seen.len() >= 4, "{seen:?}");
}

#[test]
fn invalid_events_are_ignored() {
    let mut node = Node::with_servers(2);
    assert!(node.close_attempt(1, 0, &ServerId::from_number(0), Outcome::Ok).is_empty());
    assert!(node.event(Event::Lapsed(request_id(5))).is_empty());
    let server = node.route_request(1, SAFE, 5);
    assert!(node.close_attempt(1, 9, &server, Outcome::Ok).is_empty());
    assert!(node.send_request(1, SAFE, 5).is_empty(), "the id of a pending request");
    node.close_attempt(1, 0, &server, Outcome::Ok);
    assert!(node.close_attempt(1, 0, &server, Outcome::Ok).is_empty());
    assert!(is_refused(&node.send_request(2, 99, 5)), "a class outside the settings");
    node.event(Event::Probed {
        server: ServerId::from_number(99),
        outcome: Outcome::Ok,
        elapsed: 1,
        load: vec![],
    });
}

// Guards against running a request twice where servers reject requests that they had started.
#[test]
fn full_response_may_have_run_if_the_settings_say_so() {
    let settings = BalancerSettings { full_may_have_run: true, ..settings() };
    let mut node = Node::new(settings, (0..16).map(listed_server).collect());
    let server = node.route_request(1, UNSAFE, 5);
    let actions = node.close_attempt(1, 0, &server, Outcome::Full);
    assert!(is_failed(&actions) && !is_refused(&actions) && sent_to(&actions).is_none());
    let server = node.route_request(2, KEYED_CELL, 5);
    let next = sent_to(&node.close_attempt(2, 0, &server, Outcome::Full)).expect("a resend within the cell");
    assert_eq!(next.table_hash() / 4, server.table_hash() / 4);
}
