//! A booking's life, its changes, and commands that are given twice.

use crate::*;

fn held(key: &str, slots: u32, start: u64, end: u64, hold: u64) -> Command {
    let (tenant, key) = ("a".to_owned(), key.to_owned());
    let wish = wish(&[("g", slots)], start, end);
    Command::Book { tenant, key, wish, rank: 0, displace: false, hold: Some(hold * S) }
}

fn confirm(key: &str, booking: u64) -> Command {
    Command::Confirm { tenant: "a".to_owned(), key: key.to_owned(), booking }
}

#[test]
fn it_goes_its_way_by_time_and_keeps_when_and_why() {
    let mut book = plain();
    let mut command = held("1", 10, 100, 200, 50);
    if let Command::Book { wish, .. } = &mut command {
        (wish.window.lead, wish.window.taper) = (30 * S, 5 * S);
    }
    let id = taken(&mut book, command, 1);
    assert_eq!(book.entitlement("g", "a", 150 * S), 0, "what is only held entitles to nothing");
    taken(&mut book, confirm("2", id), 40);
    let (book, told) = book.settle(500 * S, &Scene::default()).unwrap();
    assert_eq!(told, [Told { tenant: "a".into(), booking: id }]);
    use Phase::*;
    let way = [(1, Held), (40, Confirmed), (70, Arming), (100, Active), (200, Tapering), (205, Done)];
    assert_eq!(phases(&book, id), way);
    let causes: Vec<Cause> = book.booking(id).unwrap().trail.iter().map(|mark| mark.cause.clone()).collect();
    assert_eq!(causes[..3], [Cause::Asked, Cause::Confirmed, Cause::Time]);
}

#[test]
fn a_hold_ends_by_the_clocks_and_before_anybody_could_act_on_it() {
    let mut book = plain();
    let id = taken(&mut book, held("1", 60, 100, 200, 50), 0);
    assert!(matches!(refused(&book, ask("b", "1", 1, 100, 200), 49), Refusal::TooFull { .. }));
    // It may be over: it is not confirmed, and not given away either.
    let may_be = Interval::new(49 * S, 51 * S);
    let over = book.take(confirm("2", id), may_be).unwrap_err();
    assert_eq!(over, Refusal::HoldOver { booking: id, at: 50 * S });
    assert!(matches!(book.take(ask("b", "1", 1, 100, 200), may_be), Err(Refusal::TooFull { .. })));
    // It is over, though nobody has settled it.
    let (next, answer) = book.take(ask("b", "1", 60, 100, 200), 50 * S).unwrap();
    assert_eq!(phases(&next, id), [(0, Phase::Held), (50, Phase::Expired)]);
    assert_eq!(answer.told, [Told { tenant: "a".into(), booking: id }]);
    let late = taken(&mut book, held("3", 1, 300, 400, 1_000), 60);
    assert_eq!(book.booking(late).unwrap().hold_until, 300 * S - SPREAD);
}

#[test]
fn a_change_counts_its_own_slots_out_and_loses_nothing_when_refused() {
    let mut book = plain();
    let id = taken(&mut book, ask("a", "1", 40, 100, 200), 0);
    taken(&mut book, ask("b", "1", 20, 150, 300), 0);
    let before = book.clone();
    let refusal = refused(&book, change("a", "2", id, wish(&[("g", 41)], 100, 200)), 0);
    let next = Some(300 * S);
    assert_eq!(refusal, Refusal::TooFull { group: "g".into(), at: 150 * S, left: 40, wanted: 41, next });
    assert_eq!(book, before);
    taken(&mut book, change("a", "2", id, wish(&[("g", 40)], 120, 400)), 0);
    assert_eq!(book.load("g", 110 * S), Some((60, 0)));
    assert_eq!(book.load("g", 390 * S), Some((60, 40)));
    let other = change("b", "2", id, wish(&[("g", 1)], 100, 200));
    assert_eq!(refused(&book, other, 0), Refusal::NoBooking(id));
}

#[test]
fn what_is_near_stands_and_what_is_later_may_change() {
    let mut book = plain();
    let id = taken(&mut book, ask("a", "1", 40, 100, 200), 0);
    for wish in [wish(&[("g", 41)], 100, 200), wish(&[("g", 40)], 101, 200), wish(&[("g", 40)], 100, 159)] {
        assert!(matches!(refused(&book, change("a", "2", id, wish), 150), Refusal::Begun { .. }));
    }
    taken(&mut book, change("a", "2", id, wish(&[("g", 40)], 100, 160)), 150);
    taken(&mut book, change("a", "3", id, wish(&[("g", 40)], 100, 500)), 150);
    // Cancelled in its window it goes on until every node knows, and its slots are free only after that.
    taken(&mut book, cancel("a", "4", id), 150);
    assert!(matches!(refused(&book, ask("b", "1", 60, 160, 200), 151), Refusal::TooLate { .. }));
    assert_eq!([159, 160].map(|at| book.load("g", at * S).unwrap().1), [40, 0]);
    assert_eq!([159, 160].map(|at| book.entitlement("g", "a", at * S)), [40, 0]);
    assert!(matches!(
        refused(&book, change("a", "5", id, wish(&[("g", 40)], 100, 500)), 150),
        Refusal::Begun { .. }
    ));
    let (book, _) = book.settle(170 * S, &Scene::default()).unwrap();
    assert_eq!(phases(&book, id).last(), Some(&(160, Phase::Cancelled)));
    assert!(matches!(
        refused(&book, cancel("a", "6", id), 170),
        Refusal::Over { phase: Phase::Cancelled, .. }
    ));
}

#[test]
fn a_change_and_a_cancellation_that_race_are_one_after_the_other() {
    let mut book = plain();
    let id = taken(&mut book, ask("a", "1", 40, 100, 200), 0);
    let changes = [change("a", "2", id, wish(&[("g", 50)], 100, 300)), cancel("a", "3", id)];
    let results = changes.clone().map(|command| book.take(command, S).unwrap().0);
    // Whichever is written first, the other reads it and takes its command again.
    let after = results[0].take(changes[1].clone(), S).unwrap().0;
    assert_eq!(
        (after.booking(id).unwrap().phase, after.load("g", 150 * S)),
        (Phase::Cancelled, Some((60, 0)))
    );
    let refusal = refused(&results[1], changes[0].clone(), 1);
    assert_eq!(refusal, Refusal::Over { booking: id, phase: Phase::Cancelled });
}

#[test]
fn a_command_given_twice_is_taken_once_and_its_key_is_no_others() {
    let mut book = plain();
    let id = taken(&mut book, ask("a", "1", 40, 100, 200), 0);
    let (next, answer) = book.take(ask("a", "1", 40, 100, 200), 5 * S).unwrap();
    assert_eq!((next == book, answer.booking, answer.again), (true, Some(id), true));
    assert_eq!(refused(&book, ask("a", "1", 41, 100, 200), 5), Refusal::KeyReused { booking: id });
    assert_ne!(taken(&mut book, ask("b", "1", 1, 100, 200), 5), id, "a key is its tenant's");
    // Also once it is over, and for changes.
    taken(&mut book, change("a", "2", id, wish(&[("g", 30)], 100, 200)), 6);
    taken(&mut book, cancel("a", "3", id), 7);
    for command in [
        ask("a", "1", 40, 100, 200),
        change("a", "2", id, wish(&[("g", 30)], 100, 200)),
        cancel("a", "3", id),
    ] {
        assert!(book.take(command, 8 * S).unwrap().1.again);
    }
    assert_eq!(book.booking(id).unwrap().phase, Phase::Cancelled);
}
