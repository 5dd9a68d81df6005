//! All nodes together do not overload a server in slow start. The server fails at more than N + 2 x root of
//! N + 2 requests of mean work within the overload window, where N is the number that the settings allow at
//! that time.

mod common;

use common::fleet::{max_arrivals, SlowStartCase};
use common::*;
use woodgap_decisions::*;

fn check_case(description: &str, case: &SlowStartCase) -> usize {
    let sends = [1, 10_001, 20_001].map(|seed| {
        let arrivals = case.simulate(seed);
        let overload = case.find_overload(&arrivals);
        assert!(overload.is_none(), "{description}, seed {seed}: {}", overload.unwrap_or_default());
        arrivals.len()
    });
    sends.iter().sum()
}

#[test]
fn server_in_slow_start_with_half_of_the_traffic_is_not_overloaded() {
    for overload_multiple in [1.5, 2.5] {
        let sends = check_case(
            "hot keys",
            &SlowStartCase { overload_multiple, hot_fraction: 0.5, ..SlowStartCase::new(100, 20, 100.0) },
        );
        assert!(sends > 300, "the server in slow start must get some requests: {sends}");
    }
}

#[test]
fn many_nodes_of_a_small_fleet_do_not_overload_a_server_in_slow_start() {
    for (nodes, capacity) in [(20, 30.0), (30, 30.0), (30, 8.0), (30, 3.0)] {
        let case = SlowStartCase {
            overload_multiple: 1.2,
            burst: (1.5, 3 * SECOND, 6 * SECOND),
            ..SlowStartCase::new(nodes, 12, capacity)
        };
        let sends = check_case("small fleet", &case);
        assert!(sends as f64 > 3.0 * capacity, "the server in slow start must get some requests: {sends}");
        check_case(
            "notified at different times",
            &SlowStartCase { notification_spread: 3 * SECOND, ..case.clone() },
        );
        check_case("nodes restarted", &SlowStartCase { restarts_nodes: true, ..case });
    }
}

// Guards against unused budgets that add up: when three quarters of the fleet are removed, the budgets saved
// by all nodes reach the server in slow start within a second.
#[test]
fn saved_budgets_of_all_nodes_are_not_spent_at_once() {
    let (initial_capacity, slow_start_window, duration) = (0.15, 20 * SECOND, 15 * SECOND);
    for (nodes, servers, capacity) in [(30, 12, 10.0), (30, 12, 30.0), (100, 12, 20.0), (200, 40, 20.0)] {
        let case = SlowStartCase {
            initial_capacity,
            slow_start_window,
            duration,
            load_fraction: 0.5,
            ..SlowStartCase::new(nodes, servers, capacity)
        };
        let case = SlowStartCase { burst: (1.5, 12 * SECOND, 14 * SECOND), overload_multiple: 1.2, ..case };
        check_case("burst", &case);
        check_case("short overload window", &SlowStartCase { overload_window: 200_000, ..case.clone() });
        check_case(
            "other servers removed",
            &SlowStartCase { removed_servers: (servers * 3 / 4, 12 * SECOND), ..case },
        );
    }
}

// Guards against a budget that grows when servers are removed: the requests that all servers served are no
// measure of what the remaining ones can serve.
#[test]
fn shrinking_fleet_does_not_raise_the_slow_start_budget() {
    for (nodes, servers, capacity) in [(5, 40, 50.0), (20, 40, 100.0)] {
        let case = SlowStartCase {
            overload_multiple: 2.5,
            removed_servers: (servers * 3 / 4, 3 * SECOND),
            ..SlowStartCase::new(nodes, servers, capacity)
        };
        check_case("shrinking fleet", &SlowStartCase { duration: 5 * SECOND, ..case });
    }
}

#[test]
fn hundreds_of_nodes_do_not_overload_a_server_in_slow_start() {
    let case = SlowStartCase { duration: 6 * SECOND, ..SlowStartCase::new(300, 60, 10.0) };
    check_case(
        "hundreds of nodes",
        &SlowStartCase { hot_fraction: 0.05, burst: (1.5, 3 * SECOND, 5 * SECOND), ..case.clone() },
    );
    check_case(
        "hundreds of nodes, connections refused",
        &SlowStartCase { refuses_connections_until: 4 * SECOND, ..case },
    );
}

// A trial or a probe of an ejected server counts like any other attempt. Here all nodes have ejected a server
// in slow start.
#[test]
fn trials_and_probes_of_all_nodes_stay_within_the_slow_start_budget() {
    const NODES: u32 = 30;
    const CAPACITY: f64 = 5.0;
    let starting = ServerId::from_number(0);
    for can_probe in [false, true] {
        let settings =
            BalancerSettings { can_probe, node_count: NODES, overload_multiple: 1.5, ..settings() };
        let mut nodes: Vec<Node> = (0..NODES)
            .map(|n| {
                let mut servers: Vec<ListedServer> = (0..4).map(listed_server).collect();
                servers[0].started_at = 100 * SECOND;
                let balancer = Balancer::new(settings.clone(), u64::from(n));
                let mut node = Node { balancer, now: 100 * SECOND };
                node.sync(SyncKind::Cached, servers);
                let (server, load) = (starting.clone(), vec![]);
                node.event(Event::Probed { server, outcome: Outcome::Timeout, elapsed: 1_000, load });
                node
            })
            .collect();
        let mut attempts: Vec<Micros> = Vec::new();
        for tick in 0..30 {
            for node in &mut nodes {
                node.now += 100_000;
                let mut actions = node.event(Event::Timer(TimerId(1)));
                for key in 0..20 {
                    actions.extend(node.send_request(tick * 20 + key, 0, key));
                }
                let probe = actions.contains(&Action::Probe(starting.clone()));
                let send = actions
                    .iter()
                    .filter(|a| matches!(a, Action::Send { server, .. } if *server == starting));
                attempts.extend(send.map(|_| tick * 100_000));
                attempts.extend(probe.then_some(tick * 100_000));
            }
        }
        for &from in &attempts {
            let count = attempts.iter().filter(|&&at| (from..from + SECOND).contains(&at)).count();
            let allowed = max_arrivals(&settings, CAPACITY, from);
            assert!(
                count as f64 <= allowed,
                "{count} of {allowed:.1} from {from} us on, probes: {can_probe}"
            );
        }
    }
}
