//! The limit on requests in flight: what reduces it, and what does not.

mod common;

use common::*;
use woodgap_decisions::*;

// Guards against congestion: a fleet that is sent more than it can serve responds late to everything. The
// requests in flight are limited and the rest is refused at once.
#[test]
fn late_responses_reduce_the_concurrency_limit() {
    let mut node = Node::with_servers(10);
    simulate_second(&mut node, 0, 200, Outcome::Ok, 900_000);
    let sent_count = (1000..1100).filter(|&n| sent_to(&node.send_request(n, UNSAFE, n)).is_some()).count();
    assert!(sent_count < 20, "{sent_count} in flight");
    let mut fresh = Node::with_servers(10);
    simulate_second(&mut fresh, 0, 200, Outcome::Ok, 100_000);
    let sent_count = (1000..1100).filter(|&n| sent_to(&fresh.send_request(n, UNSAFE, n)).is_some()).count();
    assert_eq!(sent_count, 100);
}

// Guards against refusing what the fleet could serve: time-outs of a server that is silent or hangs on one
// class are no sign of overload, unless much of the fleet is ejected.
#[test]
fn hung_server_does_not_reduce_the_concurrency_limit() {
    let sent_count = |serves_others: bool, ejected_servers: u32| {
        let mut node = Node::with_servers(10);
        let slow = node.route_request(0, UNSAFE, 5);
        node.close_attempt(0, 0, &slow, Outcome::Ok);
        let mut picked = vec![slow.clone()];
        for n in 10_000.. {
            if picked.len() > ejected_servers as usize {
                break;
            }
            let server = node.route_request(n, UNSAFE, n);
            let fails = !picked.contains(&server);
            let next =
                node.close_attempt(n, 0, &server, if fails { Outcome::ConnectFailed } else { Outcome::Ok });
            if let Some(other) = sent_to(&next) {
                node.close_attempt(n, 1, &other, Outcome::Ok);
                picked.push(server);
            }
        }
        node.advance(100_000);
        let sent: Vec<u64> =
            (1..200).filter(|&n| sent_to(&node.send_request(n, UNSAFE, n)) == Some(slow.clone())).collect();
        let (last, early) = sent.split_last().expect("some requests go to the slow server");
        assert!(early.len() > 5);
        node.now += SECOND / 2;
        if serves_others {
            node.close_attempt(*last, 0, &slow, Outcome::Ok);
        }
        node.now += SECOND / 2;
        for &n in early {
            node.close_attempt_after(n, 0, &slow, Outcome::Timeout, SECOND);
        }
        (1000..1100).filter(|&n| sent_to(&node.send_request(n, UNSAFE, n)).is_some()).count()
    };
    assert_eq!(sent_count(false, 0), 100);
    assert_eq!(sent_count(true, 0), 100);
    assert!(sent_count(false, 4) < 100);
}

// Guards against refusals long after an overload: the limit recovers by itself.
#[test]
fn concurrency_limit_recovers_after_an_overload() {
    let mut node = Node::with_servers(10);
    simulate_second(&mut node, 0, 200, Outcome::Ok, 900_000);
    for second in 1..30 {
        simulate_second(&mut node, second * 1000, 50, Outcome::Ok, 50_000);
        node.advance(SECOND);
    }
    assert_eq!(simulate_second(&mut node, 90_000, 50, Outcome::Ok, 50_000), 0);
    let sent_count =
        (100_000..100_030).filter(|&n| sent_to(&node.send_request(n, UNSAFE, n)).is_some()).count();
    assert_eq!(sent_count, 30);
}

// Guards against refusals for a known fault: a server that stays full reduces the limit at first, but not
// again while requests walk on from its slots.
#[test]
fn server_known_to_be_full_causes_no_refusals() {
    let mut node = Node::with_servers(10);
    let (full, mut refusals, mut attempts_at_full) = (ServerId::from_number(3), 0, 0);
    for n in 0..2000 {
        node.now += 2_000;
        let Some(server) = sent_to(&node.send_request(n, UNSAFE, n)) else {
            refusals += 1;
            continue;
        };
        if server != full {
            node.close_attempt(n, 0, &server, Outcome::Ok);
            continue;
        }
        attempts_at_full += 1;
        if let Some(next) = sent_to(&node.close_attempt(n, 0, &full, Outcome::Full)) {
            node.close_attempt(n, 1, &next, Outcome::Ok);
        }
    }
    assert!(attempts_at_full > 5 && refusals == 0, "{attempts_at_full} full, {refusals} refused");
}

// Guards against a state in which all responses are late: clients that keep retrying raise the request rate,
// and the limit must still fall with each late response.
#[test]
fn late_responses_reduce_the_limit_at_any_request_rate() {
    let in_flight_after = |extra_requests: u64| {
        let mut node = Node::with_servers(10);
        let (mut n, mut in_flight) = (0, std::collections::VecDeque::new());
        for _ in 0..400 {
            for _ in 0..=extra_requests {
                n += 1;
                if let Some(server) = sent_to(&node.send_request(n, UNSAFE, n)) {
                    in_flight.push_back((n, server));
                }
            }
            if let Some((id_out, server)) = in_flight.pop_front() {
                node.close_attempt_after(id_out, 0, &server, Outcome::Ok, 900_000);
            }
            node.advance(100_000);
        }
        in_flight.len()
    };
    assert!(in_flight_after(20) <= 12, "{} in flight", in_flight_after(20));
}
