//! Servers of different kinds without known weights. A node among hundreds sends each server a request once
//! in ten seconds and learns the capacity of a server from its kind.

mod common;

use common::*;
use woodgap_decisions::settings::kind_id;
use woodgap_decisions::*;

const SERVERS: u32 = 60;

fn server_of_kind(server: u32) -> ListedServer {
    let name = if server.is_multiple_of(2) { "large" } else { "small" };
    ListedServer { kind: kind_id(name), ..listed_server(server) }
}

/// Simulates thirty seconds at twenty requests per second. A small server is four times as slow, and each
/// server is slower by what its kind was sent in the second before. Returns the fraction of the last twenty
/// seconds' attempts that small servers got.
fn traffic_share_of_small_servers(weight_source: WeightSource) -> f64 {
    let settings = BalancerSettings { weight_source, node_count: 300, ..settings() };
    let mut node = Node::new(settings, (0..SERVERS).map(server_of_kind).collect());
    let mut rng = fastrand::Rng::with_seed(3);
    let (mut previous_attempts, mut total_attempts) = ([0u32; 2], [0u32; 2]);
    for second in 0..30u64 {
        let mut attempts_by_kind = [0u32; 2];
        for n in 0..20 {
            let n = second * 20 + n;
            let server = node.route_request(n, 0, rng.u64(0..1 << 30));
            let small = (server.table_hash() % 2) as usize;
            attempts_by_kind[small] += 1;
            let elapsed = [10_000, 40_000][small] * u64::from(1 + previous_attempts[small]) / 4;
            node.close_attempt_after(n, 0, &server, Outcome::Ok, elapsed);
            if n.is_multiple_of(2) {
                node.advance(100_000);
            }
        }
        previous_attempts = attempts_by_kind;
        if second >= 10 {
            total_attempts =
                [total_attempts[0] + attempts_by_kind[0], total_attempts[1] + attempts_by_kind[1]];
        }
    }
    f64::from(total_attempts[1]) / f64::from(total_attempts[0] + total_attempts[1])
}

#[test]
fn slow_kind_gets_traffic_by_its_capacity_without_weights() {
    let share = traffic_share_of_small_servers(WeightSource::Off);
    assert!((0.12..0.3).contains(&share), "small servers have a fifth of the capacity, they got {share:.2}");
}

#[test]
fn given_weights_override_learned_capacities() {
    let share = traffic_share_of_small_servers(WeightSource::Nominal);
    assert!((0.4..0.6).contains(&share), "small servers have half of the weight, they got {share:.2}");
}

#[test]
fn requests_are_served_when_each_list_names_new_kinds() {
    let settings = BalancerSettings { weight_source: WeightSource::Off, ..settings() };
    let mut node = Node::new(settings, vec![]);
    for round in 0..200u32 {
        let server_of_new_kind = |n: u32| ListedServer {
            kind: kind_id(&format!("k{}", round * 4 + n)),
            ..listed_server(round * 4 + n)
        };
        node.sync(SyncKind::Full, (0..4).map(server_of_new_kind).collect());
        let n = u64::from(round);
        let server = node.route_request(n, 0, n);
        node.close_attempt(n, 0, &server, Outcome::Ok);
        node.advance(100_000);
    }
}
