//! Invariants over random legal sequences of events, as far as one node can check them: draining servers get
//! no attempts, repeats are sent only where they are safe, each request gets one final response by its
//! deadline, and servers in slow start are not overloaded.

mod common;

use common::random_events::check_random_events;
use common::*;
use woodgap_decisions::*;

#[test]
fn random_events_with_hedging_and_push_discovery() {
    check_random_events(settings());
}

#[test]
fn random_events_with_in_order_classes_and_full_answers_that_may_have_run() {
    let mut settings = BalancerSettings { key_settle_time: 200_000, full_may_have_run: true, ..settings() };
    settings.classes[1].in_order = true;
    settings.classes[2].in_order = true;
    settings.classes[2].semantics = Semantics::Keyed { scope: KeyScope::Zone, ttl: SECOND };
    check_random_events(settings.clone());
    check_random_events(BalancerSettings {
        full_may_have_run: false,
        can_cancel: false,
        allows_hedging: false,
        ..settings
    });
}

#[test]
fn random_events_with_probes_and_subscribed_discovery() {
    check_random_events(BalancerSettings {
        allows_hedging: false,
        can_cancel: false,
        can_probe: true,
        discovery: DiscoveryMode::Subscribe,
        node_count: 60,
        ..settings()
    });
}

#[test]
fn identical_events_give_identical_actions() {
    let run = || {
        let mut node = Node::with_servers(9);
        let mut all_actions = Vec::new();
        for n in 0..500 {
            let actions = node.send_request(n, (n % 4) as usize, n % 17);
            if let Some(server) = sent_to(&actions) {
                all_actions.extend(node.close_attempt(
                    n,
                    0,
                    &server,
                    [Outcome::Ok, Outcome::Full][n as usize % 2],
                ));
            }
            all_actions.extend(actions);
            node.advance(50_000);
        }
        all_actions
    };
    assert_eq!(run(), run());
}

/// Within each window a server in slow start is sent less than the overload multiple of its minimum capacity
/// at that time, which is a fraction of that of a warmed-up server of its size. This holds while much of the
/// fleet is in slow start and one key brings much of the traffic.
#[test]
fn servers_in_slow_start_are_not_overloaded() {
    for (starting_servers, overload_multiple) in [(1, 1.5), (4, 1.5), (8, 1.5), (8, 3.0), (11, 1.5)] {
        let mut servers: Vec<ListedServer> = (0..12).map(listed_server).collect();
        servers[..starting_servers].iter_mut().for_each(|server| server.started_at = 100 * SECOND);
        let settings = BalancerSettings { overload_multiple, ..settings() };
        let mut node = Node::new(settings.clone(), servers);
        for window in 0..9 {
            let (per_window, mut counts) = (2_000u64, [0u32; 12]);
            for n in 0..per_window {
                node.advance(if n % 200 == 0 { 100_000 } else { 0 });
                let n = window * per_window + n;
                let Some(server) = sent_to(&node.send_request(n, SAFE_CLASS, if n % 5 == 0 { 7 } else { n }))
                else {
                    continue;
                };
                counts[server.table_hash() as usize] += 1;
                node.close_attempt(n, 0, &server, Outcome::Ok);
            }
            // The requests are as many as the warmed-up fleet serves.
            let capacity_fraction =
                settings.initial_capacity + (1.0 - settings.initial_capacity) * window as f64 / 10.0;
            let allowed = overload_multiple * capacity_fraction * per_window as f64 / 12.0;
            for count in &counts[..starting_servers] {
                assert!(
                    f64::from(*count) < allowed,
                    "{starting_servers} in slow start, window {window}: {count} of at most {allowed}"
                );
            }
        }
    }
}

const SAFE_CLASS: usize = 0;

/// A refused or broken subscription is retried after a delay, well within the maximum time without one.
#[test]
fn node_retries_its_subscription_in_time() {
    let settings = BalancerSettings { discovery: DiscoveryMode::Subscribe, node_count: 60, ..settings() };
    let mut node = Node { balancer: Balancer::new(settings.clone(), 9), now: SECOND };
    let mut actions = node.sync(SyncKind::Cached, vec![listed_server(1)]);
    for _ in 0..12 {
        let delay = actions.iter().find_map(|a| match a {
            Action::SetTimer { delay, timer: TimerId(2) } => Some(*delay),
            _ => None,
        });
        let delay = delay.expect("a timer for the next call");
        assert!(delay < settings.max_unsubscribed_time, "{delay}");
        node.now += delay;
        assert_eq!(node.event(Event::Timer(TimerId(2))), vec![Action::Subscribe]);
        actions = node.sync(SyncKind::Failed, vec![]);
    }
}
