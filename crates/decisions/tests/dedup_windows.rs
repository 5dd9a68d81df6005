//! Where and until when keyed requests that may have run are resent.

mod common;

use common::*;
use woodgap_decisions::*;

const MILLI: Micros = 1_000;

fn timeout_of(actions: &[Action]) -> Option<Micros> {
    actions.iter().find_map(|action| match action {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    })
}

/// A node whose keyed class is remembered for `ttl` within the cell.
fn keyed_node(ttl: Micros) -> Node {
    let mut settings = settings();
    settings.classes[KEYED_CELL].semantics = Semantics::Keyed { scope: KeyScope::Cell, ttl };
    Node::new(settings, (0..16).map(listed_server).collect())
}

// A connection may be established as late as the attempt's time-out, and the request is written only then.
// The window must still be open at that moment, not only at the time of the decision.
#[test]
fn late_connection_still_writes_a_repeat_within_its_window() {
    for elapsed_ms in [50, 200, 300, 350] {
        let mut node = keyed_node(400 * MILLI);
        let first_sent_at = node.now;
        let first = node.route_request(1, KEYED_CELL, 5);
        node.now += elapsed_ms * MILLI;
        let actions = node.close_attempt(1, 0, &first, Outcome::Reset);
        let timeout = timeout_of(&actions).expect("a resend");
        assert!(
            node.now + timeout < first_sent_at + 400 * MILLI,
            "{elapsed_ms} ms in, it may be written {timeout} us later"
        );
    }
}

// After a cancellation, a time-out, a reset or an error the request may have run. A resend after the window
// would not be recognized as a repeat.
#[test]
fn request_that_may_have_run_fails_after_its_window() {
    for outcome in [Outcome::Cancelled, Outcome::Timeout, Outcome::Reset, Outcome::Error] {
        let mut node = keyed_node(400 * MILLI);
        let first = node.route_request(1, KEYED_CELL, 5);
        node.now += 370 * MILLI;
        let actions = node.close_attempt(1, 0, &first, outcome);
        assert!(is_failed(&actions) && sent_to(&actions).is_none(), "{outcome:?}: {actions:?}");
    }
}

// The window and the cell are those of the first attempt that may have run, not of one that never ran. They
// are those of its server at that time: a list that arrives in between changes neither.
#[test]
fn repeats_stay_in_the_cell_of_the_first_attempt_that_may_have_run() {
    let mut node = keyed_node(SECOND);
    let never_ran = node.route_request(1, KEYED_CELL, 5);
    node.now += 100 * MILLI;
    let first = sent_to(&node.close_attempt(1, 0, &never_ran, Outcome::ConnectFailed))
        .expect("a resend to any server");
    let cell = first.table_hash() / 4;
    let moved = ListedServer { cell: CellId(9), ..listed_server(first.table_hash()) };
    // Two servers of other cells move to the new cell, and one of the original cell leaves it.
    let others = (0..16)
        .filter(|s| s / 4 != cell)
        .take(2)
        .map(|s| ListedServer { cell: CellId(9), ..listed_server(s) });
    node.sync(SyncKind::Delta, others.chain([moved]).collect());
    node.now += 850 * MILLI;
    let actions = node.close_attempt(1, 1, &first, Outcome::Reset);
    assert_eq!(sent_to(&actions).expect("a resend 850 ms into the window").table_hash() / 4, cell);
    assert!(timeout_of(&actions).is_some_and(|timeout| timeout < 150 * MILLI), "{actions:?}");
}
