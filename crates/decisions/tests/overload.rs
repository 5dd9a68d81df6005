//! An overload of the whole fleet, seen by a node that sends each server few requests. Every time-out looks
//! like a hung server, since that server sent no other response meanwhile.

mod common;

use common::*;
use woodgap_decisions::*;

/// Returns how many of the last fifty requests are sent if one attempt in `every` times out, by a node that
/// sends each of its 150 servers a request once in some seconds.
fn sent_of_last_fifty(every: u64) -> usize {
    let mut node = Node::with_servers(150);
    let mut rng = fastrand::Rng::with_seed(7);
    let mut sent_count = 0;
    for n in 0..400u64 {
        if let Some(server) = sent_to(&node.send_request(n, 0, rng.u64(0..1 << 30))) {
            sent_count += usize::from(n >= 350);
            match n.is_multiple_of(every) {
                true => {
                    node.advance(400_000);
                    let actions = node.close_attempt_after(n, 0, &server, Outcome::Timeout, 400_000);
                    if let Some(next) = sent_to(&actions) {
                        node.close_attempt_after(n, 1, &next, Outcome::Ok, 20_000);
                    }
                }
                false => drop(node.close_attempt_after(n, 0, &server, Outcome::Ok, 20_000)),
            }
        }
        node.advance(20_000);
    }
    sent_count
}

// Guards against unlimited requests in an overload: in a simulation seven in ten nodes were killed, six in
// ten attempts of the others timed out, and no node limited its requests. Each time-out counted as a hung
// server, so the fraction of late responses stayed at 0.
#[test]
fn time_outs_across_the_fleet_count_as_overload() {
    let sent_count = sent_of_last_fifty(2);
    assert!(sent_count < 40, "{sent_count} of 50 were sent");
}

// A few hung servers are no sign of overload elsewhere.
#[test]
fn occasional_time_outs_are_no_overload() {
    assert_eq!(sent_of_last_fifty(10), 50);
}
