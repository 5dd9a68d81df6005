//! Where leaving the zone is expensive, the servers of the own zone go first, up to their capacity. Requests
//! that hang at ejected servers do not count against the limit of the others.

mod common;

use common::*;
use woodgap_decisions::*;

/// The fraction of attempts that stay in the zone during forty seconds, without the first ten. The zone's
/// servers are `latency_multiple` times as slow as the others.
fn local_zone_fraction(cross_zone_price: f64, latency_multiple: u64) -> f64 {
    let settings = BalancerSettings { zone: Some(ZoneId(0)), cross_zone_price, ..settings() };
    let mut node = Node::new(settings, (0..40).map(listed_server).collect());
    let mut rng = fastrand::Rng::with_seed(3);
    let (mut local, mut all) = (0, 0);
    for n in 0..800u64 {
        let server = node.route_request(n, 0, rng.u64(0..1 << 30));
        let is_local = server.table_hash().is_multiple_of(2);
        node.close_attempt_after(
            n,
            0,
            &server,
            Outcome::Ok,
            if is_local { 20_000 * latency_multiple } else { 20_000 },
        );
        if n.is_multiple_of(2) {
            node.advance(100_000);
        }
        if n >= 200 {
            (local, all) = (local + u32::from(is_local), all + 1);
        }
    }
    f64::from(local) / f64::from(all)
}

#[test]
fn attempts_stay_in_the_zone_if_leaving_it_is_expensive() {
    assert!(local_zone_fraction(0.08, 1) > 0.75);
    let cheap = local_zone_fraction(0.01, 1);
    assert!((0.4..0.6).contains(&cheap), "{cheap}");
}

#[test]
fn slow_zone_keeps_no_more_than_its_share() {
    let fraction = local_zone_fraction(0.08, 3);
    assert!(fraction < 0.6, "{fraction}");
}

/// Returns how many requests a node sends at once while its limit is reduced, with or without a server that
/// hung on its requests.
fn admitted_requests(server_hangs: bool) -> usize {
    let mut node = Node::with_servers(12);
    let route = |node: &mut Node, n: u64| sent_to(&node.send_request(n, 1, n));
    // Eight requests are in flight while responses to others are late, so the limit falls to about as many.
    let in_flight: Vec<_> = (0..8).map(|n| (n, route(&mut node, n).unwrap())).collect();
    for n in 100..125 {
        if let Some(server) = route(&mut node, n) {
            node.close_attempt_after(n, 0, &server, Outcome::Ok, 600_000);
        }
    }
    in_flight.into_iter().for_each(|(n, server)| drop(node.close_attempt(n, 0, &server, Outcome::Ok)));
    let mut hung_server = None;
    for n in 1_000..1_300 {
        let Some(server) = route(&mut node, n) else { continue };
        if !server_hangs || *hung_server.get_or_insert(server.clone()) != server {
            node.close_attempt(n, 0, &server, Outcome::Ok);
        }
    }
    node.advance(SECOND);
    assert_eq!(node.balancer.ejected_servers().next(), hung_server.as_ref(), "the silent server is ejected");
    (2_000..2_100).filter(|&n| route(&mut node, n).is_some()).count()
}

// Guards against a few hung servers taking up the whole limit while the other servers are idle.
#[test]
fn requests_hanging_at_an_ejected_server_leave_the_limit_to_others() {
    let (with_hung_server, without) = (admitted_requests(true), admitted_requests(false));
    assert!(with_hung_server + 1 >= without, "{with_hung_server} of {without} requests are admitted");
}
