//! Which faults eject a server or bar it from a class, and which do not.

mod common;

use common::*;
use woodgap_decisions::*;

#[test]
fn server_that_refuses_connections_is_ejected() {
    let mut node = Node::with_servers(4);
    let refusing = node.route_request(1, SAFE, 5);
    assert!(sent_to(&node.close_attempt(1, 0, &refusing, Outcome::ConnectFailed)).is_some());
    assert_ne!(node.route_request(2, SAFE, 5), refusing);
}

#[test]
fn silent_server_is_ejected_and_reinstated_by_one_trial() {
    let mut node = Node::with_servers(4);
    let silent = node.route_request(1, UNSAFE, 5);
    node.advance(900_000);
    let other = node.route_request(2, UNSAFE, 5);
    assert_ne!(other, silent);
    node.close_attempt(2, 0, &other, Outcome::Ok);
    node.advance(3 * SECOND);
    let trial = node.route_request(3, SAFE, 5);
    node.close_attempt(1, 0, &silent, Outcome::Timeout);
    assert_eq!(trial, silent, "a repeatable request is sent as the trial");
    assert_eq!(node.route_request(4, SAFE, 5), other, "one trial at a time");
    node.close_attempt(4, 0, &other, Outcome::Ok);
    node.close_attempt(3, 0, &silent, Outcome::Ok);
    node.advance(8 * SECOND);
    assert_eq!(node.route_request(5, UNSAFE, 5), silent);
}

// Guards against ejecting overloaded servers: a server that has requests in flight and refuses a connection
// lacks capacity. Ejecting all such servers moves the overload to the next ones.
#[test]
fn refused_connection_does_not_eject_a_server_with_requests_in_flight() {
    let mut node = Node::with_servers(4);
    let server = node.route_request(1, SAFE, 5);
    assert_eq!(node.route_request(2, SAFE, 5), server);
    let other = sent_to(&node.close_attempt(2, 0, &server, Outcome::ConnectFailed)).expect("resent");
    node.close_attempt(2, 1, &other, Outcome::Ok);
    node.advance(SECOND / 2);
    let mut resumed = 0;
    for n in 10..200 {
        let target = node.route_request(n, SAFE, n);
        resumed += u32::from(target == server);
        node.close_attempt(n, 0, &target, Outcome::Ok);
    }
    assert!(resumed > 0, "the server keeps some of its slots");
}

// Guards against a server that fails one class at once and serves the others. In a test of constant churn
// four of eleven servers failed the class of the highest worth in 1 to 5 ms, which drew more of it to them,
// and they were ejected and reinstated again and again.
#[test]
fn server_that_fails_one_class_keeps_serving_the_others() {
    let mut node = Node::with_servers(10);
    let failing_server = ServerId::from_number(3);
    let (mut errors, mut served) = (0, 0);
    for n in 0..3_000 {
        node.now += 2_000;
        let class = if n % 2 == 0 { UNSAFE } else { SAFE };
        let Some(server) = sent_to(&node.send_request(n, class, n / 2)) else { continue };
        let fails = server == failing_server && class == UNSAFE;
        errors += u32::from(fails);
        served += u32::from(server == failing_server && !fails);
        node.close_attempt(n, 0, &server, if fails { Outcome::Error } else { Outcome::Ok });
    }
    assert!(errors <= 8, "{errors} errors");
    assert!(served > 100, "{served} of the other class");
}

// Attempts that were in flight when a server was ejected are no new evidence; counted, one fault would keep
// the server ejected many times as long.
#[test]
fn outcomes_from_before_an_ejection_do_not_extend_it() {
    let mut settings = settings();
    settings.can_probe = true;
    let mut node = Node::new(settings, (0..12).map(listed_server).collect());
    let mut in_flight: Vec<(u64, ServerId)> =
        (0..200).map(|n| (n, node.route_request(n, UNSAFE, n))).collect();
    in_flight.retain(|attempt| attempt.1 == ServerId::from_number(3));
    assert!(in_flight.len() > 7, "{}", in_flight.len());
    node.now += SECOND;
    for (n, server) in in_flight {
        node.close_attempt_after(n, 0, &server, Outcome::Timeout, SECOND);
    }
    // The longest first ejection, plus one sweep.
    let start = node.now;
    while !node.event(Event::Timer(TimerId(1))).contains(&Action::Probe(ServerId::from_number(3))) {
        assert!(node.now < start + 1_200_000, "the server is still ejected");
        node.now += 100_000;
    }
}
