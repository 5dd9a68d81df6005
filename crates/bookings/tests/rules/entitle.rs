//! What a node may act on by its own clock, and what it lends.

use crate::*;

#[test]
fn two_that_meet_never_overlap_whatever_the_clocks() {
    let mut book = plain();
    taken(&mut book, ask("a", "1", 60, 100, 200), 0);
    taken(&mut book, ask("b", "1", 60, 200, 300), 0);
    // Each node's interval holds the true moment and may be off by 4 s to either side.
    for now in 190..210 {
        let mut most = 0;
        for (before, after) in [(0, 0), (4, 0), (0, 4), (4, 4), (2, 1)] {
            let node = Interval::new((now - before) * S, (now + after) * S);
            let gives = ["a", "b"].map(|tenant| book.entitlement("g", tenant, node));
            most = most.max(gives[0])
                + u32::from(now >= 200 && gives[0] > 0)
                + u32::from(now < 200 && gives[1] > 0);
            assert!(gives[0] + gives[1] <= 60);
        }
        assert!(most <= 60, "one still begins or already goes on at {now}");
    }
    let unsure = Interval::new(199 * S, 200 * S);
    assert_eq!([book.entitlement("g", "a", unsure), book.entitlement("g", "b", unsure)], [0, 0]);
}

#[test]
fn a_tenants_own_two_that_meet_go_on_without_a_gap() {
    let mut book = plain();
    taken(&mut book, ask("a", "1", 30, 100, 200), 0);
    taken(&mut book, ask("a", "2", 20, 200, 300), 0);
    assert_eq!(book.entitlement("g", "a", Interval::new(195 * S, 205 * S)), 20);
}

#[test]
fn a_plan_says_what_is_reserved_for_how_long_and_what_is_everybodys() {
    let mut book = with(settings(), &[("g", Rule { open_percent: 10, ..PLAIN })]);
    taken(&mut book, ask("a", "1", 30, 100, 200), 0);
    taken(&mut book, ask("b", "1", 20, 150, 300), 0);
    assert!(matches!(refused(&book, ask("c", "1", 5, 150, 160), 0), Refusal::TooFull { left: 4, .. }));
    let plan = book.plan("g", 120 * S, 5 * S).unwrap();
    let whole = |slots, until: u64| Whole { slots, until: until * S };
    assert_eq!(plan.reserved, [("a".to_owned(), whole(30, 200))].into());
    // The second begins at 150: a request of 5 s has to begin before 145 to be surely over.
    assert_eq!(plan.open, whole(30, 145));
    assert_eq!([144, 145, 150].map(|at| book.open("g", at * S, 5 * S)), [Some(30), Some(10), Some(10)]);
    assert_eq!(book.open("g", Interval::new(140 * S, 145 * S), 5 * S), Some(10));
    // Short, all may change at any edge.
    let (short, _) = book.settle(160 * S, &dead(&["a1", "a2"], "silent")).unwrap();
    let plan = short.plan("g", 160 * S, 5 * S).unwrap();
    assert_eq!(plan.reserved, [("a".to_owned(), whole(30, 200)), ("b".to_owned(), whole(6, 200))].into());
}

#[test]
fn unused_slots_are_lent_only_to_what_is_surely_back_in_time() {
    let lending = Lending { back: S, keep_percent: 10 };
    assert_eq!([0, 50, 89, 100].map(|peak| lending.lendable(100, peak)), [90, 40, 1, 0]);
    let other = Counts { lendable: 10, lent_in_flight: 9, lent_until: 50 * S, ..Counts::default() };
    assert_eq!(lending.rule(&other, 40 * S, S), Ruling::Lent);
    assert_eq!(lending.rule(&other, 40 * S, S + 1), Ruling::Full, "longer than it may stay away");
    assert_eq!(lending.rule(&other, Interval::new(48 * S, 49 * S + 1), S), Ruling::Full, "past the end");
    assert_eq!(lending.rule(&Counts { lent_in_flight: 10, ..other }, 40 * S, S), Ruling::Full);
    assert_eq!(lending.rule(&Counts { open: 1, ..other }, 40 * S, 9 * S), Ruling::Open);
    // The owner: at once from what it kept, within `back` from what it lent, and never over what it has.
    let owner = Counts { own: 100, own_in_flight: 9, lent_out: 90, ..Counts::default() };
    assert_eq!(lending.rule(&owner, 40 * S, 9 * S), Ruling::Own);
    let owner = Counts { own_in_flight: 10, ..owner };
    assert_eq!(lending.rule(&owner, Interval::new(39 * S, 40 * S), 9 * S), Ruling::Soon { by: 41 * S });
    assert_eq!(lending.rule(&Counts { own_in_flight: 100, lent_out: 0, ..owner }, 40 * S, S), Ruling::Full);
}
