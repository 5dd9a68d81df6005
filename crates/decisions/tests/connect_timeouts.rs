//! Connections that are established late: each looks like a server that has failed, and none has.

mod common;

use common::*;
use woodgap_decisions::*;

fn time_out_connect(node: &mut Node, n: u64, server: &ServerId) -> Vec<Action> {
    let elapsed = settings().connect_timeout;
    node.close_attempt_after(n, 0, server, Outcome::ConnectFailed, elapsed)
}

// Guards against ejecting servers for a single late connection each: with a third of them late, half of the
// fleet was ejected for seconds. The next request goes to the same server; only a second connect time-out in
// a row ejects it.
#[test]
fn second_connect_timeout_in_a_row_ejects_a_server() {
    let mut node = Node::with_servers(4);
    let server = node.route_request(1, SAFE, 5);
    assert!(
        sent_to(&time_out_connect(&mut node, 1, &server)).is_some(),
        "the request is resent to the next server"
    );
    assert_eq!(node.route_request(2, SAFE, 5), server);
    node.close_attempt(2, 0, &server, Outcome::Ok);
    assert_eq!(node.route_request(3, SAFE, 5), server);
    time_out_connect(&mut node, 3, &server);
    assert_eq!(node.route_request(4, SAFE, 5), server, "the server answered between the two time-outs");
    time_out_connect(&mut node, 4, &server);
    assert_ne!(node.route_request(5, SAFE, 5), server);
}

// Guards against taking a late connection for a full server: the server would lose slots, and nodes would
// keep no idle connections, so that every attempt needs a new one and more of them are late.
#[test]
fn connect_timeouts_do_not_close_idle_connections() {
    let idle_closes_after = |elapsed: Micros| {
        let mut node =
            Node::new(BalancerSettings { handshake_price: 0.08, ..settings() }, vec![listed_server(1)]);
        let mut idle_closes = 0;
        for n in 0..100 {
            let server = node.route_request(n, SAFE, 5);
            let mut actions = node.event(Event::Timer(TimerId(1)));
            actions.extend(match n % 10 {
                0 => node.close_attempt_after(n, 0, &server, Outcome::ConnectFailed, elapsed),
                _ => node.close_attempt(n, 0, &server, Outcome::Ok),
            });
            node.advance(200_000);
            idle_closes += actions.iter().filter(|action| matches!(action, Action::CloseIdle(_))).count();
        }
        idle_closes
    };
    assert_eq!(idle_closes_after(settings().connect_timeout), 0);
}
