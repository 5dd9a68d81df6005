//! The document: written, read, bounded.

use crate::*;

#[test]
fn what_is_written_is_read_and_decides_the_same() {
    let mut book = with(settings(), &[("g", Rule { survive_zone: true, ..PLAIN })]);
    for n in 0..20 {
        let (tenant, at) = (format!("t{n}"), 100 + n);
        let id = taken(&mut book, ask(&tenant, "1", 2, at, at + 100), n);
        (n % 5 == 3).then(|| taken(&mut book, cancel(&tenant, "2", id), 30));
    }
    let (book, _) = book.settle(130 * S, &dead(&["a1", "a2", "b1"], "silent")).unwrap();
    let written = book.write();
    assert!(written.len() <= book.bytes());
    let read = Book::read(&written).unwrap();
    assert_eq!(read, book);
    let lost = ask("x", "1", 3, 150, 300);
    assert_eq!(read.take(lost.clone(), 131 * S).unwrap_err(), book.take(lost, 131 * S).unwrap_err());
    let later = scene(&["g"]);
    assert_eq!(read.settle(140 * S, &later), book.settle(140 * S, &later));
}

#[test]
fn what_is_no_book_is_not_read() {
    let written = plain().write();
    assert_eq!(Book::read(&[]), Err(Unreadable::Damaged));
    assert_eq!(Book::read(&[9, 1, 2]), Err(Unreadable::Form(9)));
    assert_eq!(Book::read(&written[..written.len() - 1]), Err(Unreadable::Damaged));
    assert_eq!(Book::read(&[&written[..], &[0]].concat()), Err(Unreadable::Damaged));
    assert_eq!(Book::read(&vec![1; MOST_BYTES + 1]), Err(Unreadable::Long(MOST_BYTES + 1)));
}

#[test]
fn what_is_over_is_kept_for_a_time_and_one_tenant_does_not_push_out_another() {
    let mut book = plain();
    let kept = taken(&mut book, ask("a", "1", 1, 100, 200), 0);
    taken(&mut book, cancel("a", "2", kept), 1);
    for n in 0..100 {
        let id = taken(&mut book, ask("b", &format!("{n}"), 1, 100, 200), 2);
        taken(&mut book, cancel("b", &format!("c{n}"), id), 3);
    }
    assert_eq!(book.bookings().count(), 1 + MOST_ENDED_A_TENANT);
    assert!(book.booking(kept).is_some());
    let (book, _) = book.settle(86_401 * S, &Scene::default()).unwrap();
    assert_eq!((book.booking(kept), book.bookings().count()), (None, MOST_ENDED_A_TENANT));
}

/// Fills a book with bookings of tenants with names of this length, until one is refused.
fn full(name: usize) -> (Book, Refusal) {
    let allowance = Allowance { bookings: 256, slots: 10_000, highest_rank: 0 };
    let mut book = with(Settings { allowance, ..settings() }, &[("g", PLAIN)]);
    let refusal = (0..).find_map(|n| {
        let (tenant, at) = (format!("{:x<name$}", n / 200), 1_000 + n / 60 * 10);
        let taken = book.take(ask(&tenant, &format!("{n}"), 1, at, at + 10), 0);
        taken.map(|(next, _)| book = next).err()
    });
    (book, refusal.unwrap())
}

#[test]
fn a_full_book_takes_no_more_and_all_of_it_can_still_get_short() {
    for (name, by_count) in [(8, true), (100, false)] {
        let (book, refusal) = full(name);
        let many = book.bookings().count();
        assert_eq!((refusal == Refusal::BookFull, many == MOST_BOOKINGS), (by_count, by_count));
        assert!(by_count || matches!(refusal, Refusal::BookLong { .. }));
        let all = ["a1", "a2", "b1", "b2", "c1", "c2"];
        let (short, told) = book.settle(S, &dead(&all, &"x".repeat(100))).unwrap();
        assert_eq!((told.len(), short.bookings().filter(|one| one.state() == "short").count()), (many, many));
        let written = short.write();
        assert!(written.len() <= MOST_BYTES, "{} bytes", written.len());
        assert_eq!(Book::read(&written).as_ref(), Ok(&short));
    }
}

#[test]
fn a_group_in_use_stays_and_settings_change_nothing_that_is_booked() {
    let mut book = plain();
    let id = taken(&mut book, ask("a", "1", 60, 100, 200), 0);
    let refusal = refused(&book, Command::Configure(Setup::default()), 1);
    assert_eq!(refusal, Refusal::GroupInUse { group: "g".into(), booking: id });
    let groups = [("g".to_owned(), Rule { survive_zone: true, ..PLAIN }), ("h".to_owned(), PLAIN)].into();
    let (book, _) = book.take(Command::Configure(Setup { settings: settings(), groups }), S).unwrap();
    assert_eq!((book.load("g", 150 * S), book.booking(id).unwrap().state()), (Some((40, 60)), "confirmed"));
}
