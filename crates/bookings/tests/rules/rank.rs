//! Who is displaced, and until when.

use crate::*;

#[test]
fn the_weakest_go_and_no_more_than_have_to() {
    let mut book = plain();
    let first = taken(&mut book, ask("a", "1", 30, 1_000, 1_100), 0);
    let higher = taken(&mut book, ranked("b", "1", 10, 1_000, 1_100, 1), 1);
    let last = taken(&mut book, ask("c", "1", 10, 1_000, 1_100), 2);
    let elsewhere = taken(&mut book, ask("d", "1", 60, 1_100, 1_200), 3);
    // 10 are free, 15 are wanted: the lowest rank, the latest of it.
    let (next, answer) = book.take(ranked("e", "1", 15, 1_050, 1_090, 2), 4 * S).unwrap();
    assert_eq!(answer.told, [Told { tenant: "c".into(), booking: last }]);
    let by = Cause::DisplacedBy { booking: answer.booking.unwrap(), rank: 2 };
    assert_eq!(
        next.booking(last).unwrap().trail.last().unwrap(),
        &Mark { at: 4 * S, phase: Phase::Displaced, cause: by }
    );
    assert_eq!([first, higher, elsewhere].map(|id| next.booking(id).unwrap().phase), [Phase::Confirmed; 3]);
    // For 40 the last and the first would go by strength, but the last is then not needed.
    let (_, answer) = book.take(ranked("e", "1", 40, 1_050, 1_090, 1), 4 * S).unwrap();
    let told: Vec<u64> = answer.told.iter().map(|told| told.booking).collect();
    assert_eq!(told, [first]);
    // The own rank is never displaced, and nothing is lost by what does not fit.
    let before = book.clone();
    let refusal = refused(&book, ranked("e", "1", 51, 1_050, 1_090, 1), 4);
    assert!(matches!(refusal, Refusal::TooFull { left: 10, wanted: 51, .. }));
    assert_eq!(book, before);
}

#[test]
fn from_its_notice_on_nobody_is_displaced() {
    let mut book = plain();
    let id = taken(&mut book, ask("a", "1", 60, 1_000, 1_100), 0);
    assert_eq!(book.booking(id).unwrap().firm_at, 900 * S);
    let higher = || ranked("b", "1", 1, 1_000, 1_100, 2);
    assert!(book.take(higher(), 899 * S).is_ok());
    assert!(matches!(refused(&book, higher(), 900), Refusal::TooFull { left: 0, .. }));
    // It may be past its notice by a clock.
    let skewed = Interval::new(890 * S, 900 * S);
    assert!(matches!(book.take(higher(), skewed), Err(Refusal::TooFull { left: 0, .. })));
    // Without the wish to displace, nobody is.
    let mut meek = higher();
    if let Command::Book { displace, .. } = &mut meek {
        *displace = false;
    }
    assert!(matches!(refused(&book, meek, 0), Refusal::TooFull { .. }));
}

#[test]
fn a_rank_without_notice_is_safe_once_a_node_may_act_on_it() {
    let mut book = with(Settings { ranks: vec![Rank { notice: 0 }; 3], ..settings() }, &[("g", PLAIN)]);
    taken(&mut book, ask("a", "1", 60, 100, 200), 0);
    let higher = || ranked("b", "1", 1, 105, 200, 2);
    assert!(book.take(higher(), 90 * S).is_ok());
    assert!(matches!(refused(&book, higher(), 91), Refusal::TooFull { left: 0, .. }));
}

#[test]
fn too_many_are_not_displaced() {
    let mut book = plain();
    for n in 0..60 {
        taken(&mut book, ask(&format!("t{n:02}"), "1", 1, 1_000, 1_100), 0);
    }
    assert_eq!(refused(&book, ranked("x", "1", 17, 1_000, 1_100, 1), 0), Refusal::DisplacesTooMany);
    let (next, answer) = book.take(ranked("x", "1", 16, 1_000, 1_100, 1), 0).unwrap();
    assert_eq!((answer.told.len(), next.load("g", 1_050 * S)), (16, Some((60, 60))));
}
