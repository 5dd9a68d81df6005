//! Requests that servers in slow start get.

mod common;

use common::*;
use woodgap_decisions::*;

#[test]
fn slow_start_raises_a_server_to_its_share_of_keys() {
    let mut members: Vec<ListedServer> = (0..4).map(listed_server).collect();
    members[0].started_at = 100 * SECOND;
    let mut node = Node::new(settings(), members);
    let cold_server_requests = |node: &mut Node, base: u64| {
        let mut cold = 0;
        for key in 0..1000 {
            let server = node.route_request(base + key, SAFE, key);
            cold += u32::from(server == ServerId::from_number(0));
            node.close_attempt(base + key, 0, &server, Outcome::Ok);
        }
        cold
    };
    let at_start = cold_server_requests(&mut node, 0);
    node.now += 11 * SECOND;
    let warm = cold_server_requests(&mut node, 10_000);
    assert!(at_start < warm / 5, "{at_start} of a thousand at first, {warm} when warm");
    assert!(warm > 150);
}

// Guards against overloading a server in slow start with the traffic of its slots, such as the hottest key or
// requests that walk on from full owners. Its budget follows what warmed-up servers of its size serve.
#[test]
fn server_in_slow_start_gets_no_more_than_its_budget() {
    let mut node = Node::with_servers(4);
    let owner = node.route_request(1, UNSAFE, 5);
    node.close_attempt(1, 0, &owner, Outcome::Ok);
    node.sync(
        SyncKind::Delta,
        vec![ListedServer { started_at: node.now, ..listed_server(owner.table_hash()) }],
    );
    let mut counts = [0u32; 4];
    for n in 0..2_000 {
        node.advance(if n % 10 == 0 { 100_000 } else { 0 });
        node.now = node.now.min(110 * SECOND);
        let key = if n % 2 == 0 { 5 } else { n };
        let server = node.route_request(10 + n, UNSAFE, key);
        counts[server.table_hash() as usize] += 1;
        node.close_attempt(10 + n, 0, &server, Outcome::Ok);
    }
    let cold = counts[owner.table_hash() as usize];
    assert!(cold > 20, "the server gets some requests in slow start: {counts:?}");
    assert!(cold < 2_000 / 4, "{counts:?}");
}

// Guards against a fleet that refuses everything: with a tenant's first servers, or after a release that
// restarts all servers at once, no served requests show a server's capacity yet, and servers that get no
// requests would wait until they count as warmed up.
#[test]
fn fleet_entirely_in_slow_start_is_served_within_its_budget() {
    let served = |nodes: u32| {
        let cold = |server| ListedServer { started_at: 100 * SECOND, ..listed_server(server) };
        let settings = BalancerSettings { node_count: nodes, ..settings() };
        let mut node = Node::new(settings, (0..2).map(cold).collect());
        let mut served = Vec::new();
        for n in 0..200 {
            if let Some(server) = sent_to(&node.send_request(n, 0, n)) {
                served.push(node.now);
                node.close_attempt(n, 0, &server, Outcome::Ok);
            }
            node.advance(50_000);
        }
        served
    };
    let single = served(1);
    assert!(single[0] < 101 * SECOND, "the first request was sent at {}", single[0]);
    // One request of 125 ms at a time is 8 per second; two servers are overloaded at a fifth of that times
    // three.
    let first = single.iter().filter(|at| **at < 101 * SECOND).count();
    assert!(first < 9, "{first} in the first second");
    // Each of many nodes sends its part of that, and none waits until the servers are warmed up at 110 s.
    let many = served(8);
    assert!(many[0] < 106 * SECOND, "the first request was sent at {}", many[0]);
    let first = many.iter().filter(|at| **at < 104 * SECOND).count();
    assert!(first <= 4, "{first} of one node in four seconds");
}
