//! Who gets short when servers go, before and during.

use crate::*;

/// Three of 20 slots each: the second has the higher rank, the third came last.
fn three(short_by: ShortBy) -> (Book, [u64; 3]) {
    let mut book = with(settings(), &[("g", Rule { short_by, ..PLAIN })]);
    let ids = [("a", 0), ("b", 1), ("c", 0)].map(|(tenant, rank)| {
        let command = ranked(tenant, "1", 20, 1_000, 1_100, rank);
        taken(&mut book, command, 0)
    });
    (book, ids)
}

fn gets(book: &Book, at: u64) -> [u32; 3] {
    ["a", "b", "c"].map(|tenant| book.entitlement("g", tenant, at * S))
}

#[test]
fn by_rank_and_then_by_order_the_weakest_get_short_and_are_told_before() {
    let (book, [a, b, c]) = three(ShortBy::Rank);
    let (book, told) = book.settle(500 * S, &dead(&["a1", "a2", "b1"], "silent")).unwrap();
    assert_eq!(gets(&book, 1_050), [10, 20, 0]);
    let told: Vec<u64> = told.iter().map(|told| told.booking).collect();
    assert_eq!(told, [a, c], "before it starts, and who gets all is told nothing");
    assert_eq!([a, b, c].map(|id| book.booking(id).unwrap().state()), ["short", "confirmed", "short"]);
    let short = Short { group: "g".into(), from: 1_000 * S, until: 1_100 * S, left: 10 };
    assert_eq!(book.booking(a).unwrap().short, Some(short));
    let why = Cause::Short("a1 (silent), a2 (silent), b1 (silent) out".into());
    assert_eq!(
        book.booking(a).unwrap().trail.last().unwrap(),
        &Mark { at: 500 * S, phase: Phase::Confirmed, cause: why }
    );
    // Settled again it is the same, and told nobody.
    let (same, told) = book.settle(510 * S, &dead(&["a1", "a2", "b1"], "silent")).unwrap();
    assert_eq!((same == book, told), (true, vec![]));
    // One comes back: who has all again is told.
    let (book, told) = book.settle(600 * S, &dead(&["a1", "a2"], "silent")).unwrap();
    assert_eq!((gets(&book, 1_050), told), ([20, 20, 0], vec![Told { tenant: "a".into(), booking: a }]));
    assert_eq!(book.booking(a).unwrap().trail.last().unwrap().cause, Cause::Whole);
}

#[test]
fn pro_rata_all_get_the_same_part_and_the_strongest_what_rounding_leaves() {
    let (book, ids) = three(ShortBy::ProRata);
    let (book, _) = book.settle(1_050 * S, &dead(&["a1", "a2"], "zone a is lost")).unwrap();
    assert_eq!(gets(&book, 1_050), [13, 14, 13]);
    assert_eq!(ids.map(|id| book.booking(id).unwrap().state()), ["short"; 3]);
}

#[test]
fn what_is_freed_goes_to_the_short_and_what_is_held_has_no_part() {
    let (book, [a, b, _]) = three(ShortBy::Rank);
    let (book, _) = book.settle(500 * S, &dead(&["a1", "a2"], "silent")).unwrap();
    assert_eq!(gets(&book, 1_050), [20, 20, 0]);
    let (next, answer) = book.take(cancel("a", "2", a), 600 * S).unwrap();
    assert_eq!((gets(&next, 1_050), answer.told.len()), ([0, 20, 20], 1));
    // What is held can't be confirmed into a group that can't do what is booked already.
    let (book, [..]) = three(ShortBy::Rank);
    let (tenant, key) = ("d".to_owned(), "1".to_owned());
    let wish = wish(&[("g", 60)], 2_000, 2_100);
    let (book, answer) = book
        .take(Command::Book { tenant, key, wish, rank: 0, displace: false, hold: Some(900 * S) }, 0)
        .unwrap();
    let (book, _) = book.settle(500 * S, &dead(&["a1"], "silent")).unwrap();
    let confirm = Command::Confirm { tenant: "d".into(), key: "2".into(), booking: answer.booking.unwrap() };
    let refusal = Refusal::TooFull { group: "g".into(), at: 2_000 * S, left: 50, wanted: 60, next: None };
    assert_eq!((refused(&book, confirm, 600), b), (refusal, b));
}

#[test]
fn two_that_meet_at_a_moment_are_short_each_for_its_own_time() {
    let mut book = plain();
    let one = taken(&mut book, ask("a", "1", 50, 1_000, 1_100), 0);
    let two = taken(&mut book, ask("b", "1", 50, 1_100, 1_200), 0);
    let (book, _) = book.settle(500 * S, &dead(&["a1", "a2"], "silent")).unwrap();
    let times = |id| {
        book.booking(id).unwrap().short.clone().map(|short| (short.from / S, short.until / S, short.left))
    };
    assert_eq!([times(one), times(two)], [Some((1_000, 1_100, 40)), Some((1_100, 1_200, 40))]);
}

#[test]
fn only_what_matters_is_told_and_what_is_past_is_over() {
    let mut book = plain();
    let id = taken(&mut book, ask("a", "1", 60, 3_000, 6_000), 0);
    let short =
        |book: &Book| book.booking(id).unwrap().short.clone().map(|s| (s.from / S, s.until / S, s.left));
    let (book, told) = book.settle(500 * S, &dead(&["a1"], "silent")).unwrap();
    assert_eq!((short(&book), told.len()), (Some((3_000, 4_100, 50)), 1));
    // Still dead it is held away for longer; that alone is no news.
    let (longer, told) = book.settle(2_400 * S, &dead(&["a1"], "silent")).unwrap();
    assert_eq!((short(&longer), told.len()), (Some((3_000, 6_000, 50)), 0));
    let (past, _) = book.settle(4_100 * S, &Scene::default()).unwrap();
    assert_eq!(short(&past), None);
    let mut planned = scene(&["g"]);
    let out = |from, until| Out { from: from * S, until: until * S, by: By::Drain, why: "kernel".to_owned() };
    planned.groups.get_mut("g").unwrap().get_mut("a1").unwrap().outs =
        vec![out(3_100, 3_200), out(5_000, 5_100)];
    let (twice, _) = past.settle(600 * S, &planned).unwrap();
    assert_eq!(short(&twice), Some((3_100, 5_100, 50)));
    assert_eq!(short(&twice.settle(3_500 * S, &Scene::default()).unwrap().0), Some((5_000, 5_100, 50)));
}
