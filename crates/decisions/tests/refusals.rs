//! Which requests are refused in an overload, and when their clients should return.

mod common;

use common::*;
use woodgap_decisions::*;

// Guards against servers forgetting every key in an overload: nodes refuse the same keys, so that servers
// remember the others.
#[test]
fn overload_refuses_the_same_keys_at_every_node() {
    // A fleet that serves 300 requests per second is sent 500; a response takes as long as the queue is.
    let refused_fractions = |seed: u64| -> Vec<f64> {
        let mut node = Node::with_servers(10);
        node.balancer = Balancer::new(settings(), seed);
        node.sync(SyncKind::Cached, (0..10).map(listed_server).collect());
        let (mut counts, mut in_flight) = (vec![[0.0; 2]; 100], std::collections::VecDeque::new());
        for n in 0..20_000u64 {
            node.now += 2_000;
            node.advance(if n % 50 == 0 { 100_000 } else { 0 });
            let key = ((n + 20_000 * seed).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) % 100;
            counts[key as usize][0] += 1.0;
            match sent_to(&node.send_request(n, UNSAFE, key)) {
                Some(server) => in_flight.push_back((n, server)),
                None => counts[key as usize][1] += 1.0,
            }
            if n % 5 < 3 && !in_flight.is_empty() {
                let elapsed = in_flight.len() as u64 * 10_000 / 3;
                let (n, server) = in_flight.pop_front().unwrap();
                node.close_attempt_after(n, 0, &server, Outcome::Ok, elapsed);
            }
        }
        counts.iter().map(|[sent, refused]| refused / sent).collect()
    };
    let (a, b) = (refused_fractions(1), refused_fractions(2));
    let mean = a.iter().sum::<f64>() / 100.0;
    assert!((0.2..0.8).contains(&mean), "{mean} refused");
    let treated_alike = a.iter().zip(&b).filter(|(a, b)| (**a > mean) == (**b > mean)).count();
    let consistent = a.iter().filter(|fraction| **fraction < 0.1 || **fraction > 0.9).count();
    assert!(consistent > 60, "{consistent} of 100 keys are always or never refused: {a:?}");
    assert!(treated_alike > 90, "{treated_alike} of 100 keys are treated alike by both nodes: {a:?} {b:?}");
}

// Guards against an overload by retries that arrive too late. Clients are advised to wait for the whole
// deadline only if they obey such advice and a late response is worth nothing.
#[test]
fn retry_after_lasts_the_deadline_only_if_late_responses_are_worthless() {
    let retry_after_of = |late_worth_share: f64, obeyed: Micros, allowed: bool| {
        let mut settings =
            BalancerSettings { advises_retry_after: allowed, max_retry_after: obeyed, ..settings() };
        settings.classes[SAFE].late_worth_share = late_worth_share;
        let actions = Node::new(settings, vec![]).send_request(1, SAFE, 5);
        match actions[..] {
            [Action::Refuse { retry_after, .. }] => retry_after,
            _ => panic!("{actions:?}"),
        }
    };
    assert_eq!(retry_after_of(0.0, 2 * SECOND, true), 2 * SECOND);
    assert_eq!(retry_after_of(0.0, SECOND, true), 20_000, "clients would return within their deadline");
    assert_eq!(retry_after_of(0.2, 2 * SECOND, true), 20_000, "late responses are worth something");
    assert_eq!(retry_after_of(0.2, 10_000, true), 10_000, "no longer than clients obey");
    assert_eq!(retry_after_of(0.0, 2 * SECOND, false), 0);
}

// Retries of a client are not new traffic. If they counted against the tenant's quota, each refusal would put
// more requests beyond the quota and get more of them refused.
#[test]
fn retries_do_not_count_against_the_quota_of_a_tenant() {
    let refusals = |repeats: bool| {
        let tenants = vec![TenantQuota { quota_per_s: 100.0 }];
        let settings = BalancerSettings { tenants, over_quota_worth: 0.1, key_affinity: false, ..settings() };
        let mut node = Node::new(settings, (0..10).map(listed_server).collect());
        let first_requests: Vec<_> = (0..200).map(|n| (n, node.route_request(n, UNSAFE, n))).collect();
        simulate_second(&mut node, 1_000, 60, Outcome::Ok, 900_000);
        first_requests
            .into_iter()
            .for_each(|(n, server)| drop(node.close_attempt(n, 0, &server, Outcome::Ok)));
        // The requests in flight are nearly at the limit; there is capacity for requests within the quota.
        let pending: Vec<_> = (2_000..)
            .map_while(|n| sent_to(&node.send_request(n, UNSAFE, n)).map(|server| (n, server)))
            .collect();
        assert!(pending.len() > 40, "{}", pending.len());
        for (n, server) in &pending[..pending.len() / 20 + 1] {
            node.close_attempt(*n, 0, server, Outcome::Ok);
        }
        let mut refusals = 0;
        for n in 10_000..10_200 {
            let is_retry = repeats && n % 4 != 0;
            let request = Request { tenant: Some(TenantId(0)), is_retry, ..new_request(n, UNSAFE, n) };
            match sent_to(&node.event(Event::Request(request))) {
                Some(server) => drop(node.close_attempt(n, 0, &server, Outcome::Ok)),
                None => refusals += 1,
            }
        }
        refusals
    };
    assert_eq!(refusals(true), 0);
    assert!(refusals(false) > 20, "{}", refusals(false));
}
