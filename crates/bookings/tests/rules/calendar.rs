//! What fits, and what a refusal says.

use crate::*;

#[test]
fn a_refusal_names_the_first_full_moment_what_is_left_and_the_next_window() {
    let mut book = plain();
    taken(&mut book, ask("a", "1", 50, 200, 300), 0);
    taken(&mut book, ask("a", "2", 30, 320, 400), 0);
    let refusal = refused(&book, ask("b", "1", 20, 180, 230), 0);
    let next = Some(300 * S);
    assert_eq!(refusal, Refusal::TooFull { group: "g".into(), at: 200 * S, left: 10, wanted: 20, next });
    // Between the two there are 20 s for 40 slots: the next 50 s are after both.
    let refusal = refused(&book, ask("b", "1", 40, 180, 230), 0);
    assert!(matches!(refusal, Refusal::TooFull { left: 10, next: Some(next), .. } if next == 400 * S));
    let refusal = refused(&book, ask("b", "1", 61, 180, 230), 0);
    assert!(matches!(refusal, Refusal::TooFull { at, left: 60, next: None, .. } if at == 180 * S));
    // What meets at one moment does not overlap.
    taken(&mut book, ask("b", "1", 60, 300, 320), 0);
    assert_eq!(book.load("g", 300 * S), Some((60, 60)));
}

#[test]
fn lead_and_taper_take_their_part_and_no_more() {
    let mut book = plain();
    let window =
        Window { lead: 20 * S, taper: 10 * S, lead_percent: 25, taper_percent: 50, ..Window::plain(0, 0) };
    let window = Window { start: 100 * S, end: 200 * S, ..window };
    let mut shaped = wish(&[("g", 41)], 0, 1);
    shaped.window = window;
    let (tenant, key) = ("a".to_owned(), "1".to_owned());
    taken(&mut book, Command::Book { tenant, key, wish: shaped, rank: 0, displace: false, hold: None }, 0);
    let used = |at: u64| book.load("g", at * S).unwrap().1;
    assert_eq!([79, 80, 99, 100, 199, 200, 209, 210].map(used), [0, 11, 11, 41, 41, 21, 21, 0]);
    let refusal = refused(&book, ask("b", "1", 50, 60, 90), 0);
    assert!(
        matches!(refusal, Refusal::TooFull { at, left: 49, next: Some(next), .. } if (at, next) == (80 * S, 210 * S))
    );
}

#[test]
fn several_groups_are_taken_together_or_not_at_all() {
    let mut book = with(settings(), &[("g", PLAIN), ("h", PLAIN)]);
    taken(&mut book, ask("a", "1", 50, 100, 200), 0);
    let both = |key: &str, start| Command::Book {
        tenant: "b".to_owned(),
        key: key.to_owned(),
        wish: wish(&[("g", 20), ("h", 20)], start, start + 50),
        rank: 0,
        displace: false,
        hold: None,
    };
    let refusal = refused(&book, both("1", 150), 0);
    assert!(
        matches!(refusal, Refusal::TooFull { group, next: Some(next), .. } if group == "g" && next == 200 * S)
    );
    assert_eq!(book.load("h", 150 * S), Some((60, 0)));
    taken(&mut book, both("1", 200), 0);
    assert_eq!([book.load("g", 200 * S), book.load("h", 200 * S)], [Some((60, 20)); 2]);
}

#[test]
fn a_tenant_is_bounded_by_count_and_by_slots_at_any_moment() {
    let allowance = Allowance { bookings: 2, slots: 30, highest_rank: 0 };
    let mut book = with(Settings { allowance, ..settings() }, &[("g", PLAIN), ("h", PLAIN)]);
    taken(&mut book, ask("a", "1", 20, 100, 200), 0);
    let mut other = ask("a", "2", 11, 150, 250);
    if let Command::Book { wish, .. } = &mut other {
        wish.parts = [("h".to_owned(), 11)].into();
    }
    let next = Some(200 * S);
    assert_eq!(refused(&book, other, 0), Refusal::TenantFull { at: 150 * S, left: 10, wanted: 11, next });
    taken(&mut book, ask("a", "2", 10, 150, 250), 0);
    assert_eq!(refused(&book, ask("a", "3", 1, 300, 400), 0), Refusal::TenantBookings { most: 2 });
    taken(&mut book, ask("b", "1", 30, 100, 200), 0);
}

#[test]
fn a_hundred_who_ask_for_the_last_slots_get_them_once() {
    let mut book = plain();
    taken(&mut book, ask("a", "1", 55, 100, 200), 0);
    // All read the same version; the board takes one write of it, and the others read again.
    let mut version = 0;
    let mut asks: Vec<(usize, Command)> =
        (0..100).map(|n| (n, ask(&format!("t{n}"), "k", 1, 100, 200))).collect();
    let (mut won, mut lost) = (0, 0);
    while !asks.is_empty() {
        let read = (version, book.clone());
        let mut again = Vec::new();
        for (n, command) in asks {
            match read.1.take(command.clone(), Interval::new(n as u64, S)) {
                Ok((next, _)) if version == read.0 => (book, version, won) = (next, version + 1, won + 1),
                Ok(_) => again.push((n, command)),
                Err(refusal) => {
                    assert!(matches!(refusal, Refusal::TooFull { left: 0, .. }));
                    lost += 1;
                }
            }
        }
        asks = again;
    }
    assert_eq!((won, lost, book.load("g", 150 * S)), (5, 95, Some((60, 60))));
}

#[test]
fn what_makes_no_sense_is_refused_with_what_to_give() {
    let book = plain();
    let near = refused(&book, ask("a", "1", 1, 9, 20), 0);
    assert_eq!(near, Refusal::TooLate { from: 9 * S, earliest: SPREAD });
    assert!(matches!(refused(&book, ask("a", "1", 1, 50, 50), 0), Refusal::Setting { what: "window", .. }));
    assert!(matches!(refused(&book, ask("a", "1", 0, 50, 60), 0), Refusal::Setting { what: "slots", .. }));
    assert!(matches!(refused(&book, ask("a", "", 1, 50, 60), 0), Refusal::Setting { what: "key", .. }));
    assert!(matches!(refused(&book, ask("a", "1", 1, 50, u64::MAX / S), 0), Refusal::Setting { .. }));
    assert!(matches!(refused(&book, ask("a", "1", 1, 50, 40 * 86_400), 0), Refusal::Bound { .. }));
    let far = 400 * 86_400;
    assert!(matches!(refused(&book, ask("a", "1", 1, far, far + 1), 0), Refusal::TooFar { .. }));
    let ranked = ranked("a", "1", 1, 50, 60, 3);
    assert_eq!(refused(&book, ranked, 0), Refusal::RankTooHigh { rank: 3, highest: 2 });
    let mut other = ask("a", "1", 1, 50, 60);
    if let Command::Book { wish, .. } = &mut other {
        wish.parts = [("x".to_owned(), 1)].into();
    }
    assert_eq!(refused(&book, other, 0), Refusal::NoGroup("x".into()));
}
