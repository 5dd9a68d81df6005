//! The grantor, rule by rule.

use std::collections::BTreeMap;
use std::sync::Arc;

use woodgap_leases::*;

const SECOND: Micros = 1_000_000;
const RATE: WholeId = 1;
const SLOTS: WholeId = 2;
const A: MemberId = 1;
const B: MemberId = 2;

fn settings() -> Settings {
    Settings { drift_ppm: 0, longest: 10 * SECOND, ..Settings::default() }
}

fn wholes(revision: u64, per_s: u64, count: u64) -> Arc<Wholes> {
    let whole = |kind| Whole { kind, mode: Mode::Strict, least: 1 };
    let rate = whole(Kind::Rate { per_s, burst_ms: 1_000 });
    let list = BTreeMap::from([(RATE, rate), (SLOTS, whole(Kind::Slots { count }))]);
    Arc::new(Wholes::new(revision, list).expect("bounds"))
}

/// Two members, the first of which grants, and has waited; and the time.
fn two(safe_ppb: u64) -> (Grantor, EpochDoc, Micros) {
    let mut doc = EpochDoc::new(0).expect("a share");
    for name in ["a", "b"] {
        doc.take(Change::Join { name: name.into() }).expect("room");
    }
    doc.take(Change::Share { safe_ppb }).expect("a share");
    doc.take(Change::Seat { name: "a".into(), life: 1 }).expect("a member");
    let mut grantor = Grantor::new(A, 1, settings()).expect("settings");
    grantor.on_wholes(0, wholes(1, 100, 10));
    grantor.adopt(0, &doc);
    let now = waited_out(&settings(), wholes(1, 100, 10).get(SLOTS).expect("there"));
    grantor.confirmed(now, doc.epoch());
    (grantor, doc, now)
}

/// An ask of somebody's, and the part that it is granted.
fn ask(
    grantor: &mut Grantor,
    now: Micros,
    (from, seq, revision): (MemberId, u64, u64),
    want: Want,
) -> Option<u64> {
    let epoch = grantor.epoch();
    let ask = Ask { epoch, revision, from, life: 1, seq, wants: vec![want] };
    match grantor.on_ask(now, &ask)?.says {
        Says::Grant { parts, .. } => parts.first().map(|part| part.part),
        Says::Newer => None,
    }
}

fn want(whole: WholeId, want: u64, held: u64, ago: u64) -> Want {
    Want { whole, want, held, ago }
}

#[test]
fn an_epoch_that_was_not_seen_is_waited_out_and_the_next_one_is_not() {
    let (mut grantor, mut doc, now) = two(0);
    assert_eq!(ask(&mut grantor, now, (B, 1, 1), want(RATE, 5, 0, 0)), Some(5));
    doc.take(Change::Join { name: "c".into() }).expect("room");
    grantor.adopt(now, &doc);
    assert_eq!(ask(&mut grantor, now, (B, 2, 1), want(RATE, 5, 0, 0)), None, "it has no authority");
    grantor.confirmed(now, doc.epoch());
    assert_eq!(ask(&mut grantor, now, (B, 3, 1), want(RATE, 5, 0, 0)), Some(5));
    for change in [Change::Unseat { name: "a".into() }, Change::Seat { name: "a".into(), life: 1 }] {
        doc.take(change).expect("a member");
    }
    grantor.adopt(now, &doc);
    let later = now + settings().authority;
    for (at, part) in [(now, None), (later - 1, None), (later, Some(5))] {
        grantor.confirmed(at, doc.epoch());
        assert_eq!(ask(&mut grantor, at, (B, 4 + at, 1), want(RATE, 5, 0, 0)), part, "{at}");
    }
}

#[test]
fn safe_parts_of_what_a_whole_was_are_kept_until_all_know_better() {
    let (mut grantor, _, now) = two(PPB / 10);
    grantor.on_wholes(now, wholes(2, 50, 10));
    let pool = |grantor: &Grantor| grantor.account(RATE).map(|(_, pool)| pool);
    // Thousandths of a request a second: 50 less a tenth of 100.
    assert_eq!(pool(&grantor), Some(40_000));
    for (from, revision, then) in [(A, 2, 40_000), (B, 1, 40_000), (B, 2, 45_000)] {
        ask(&mut grantor, now, (from, revision, revision), want(RATE, 5, 0, 0));
        grantor.sweep(now);
        assert_eq!(pool(&grantor), Some(then));
    }
}

#[test]
fn slots_may_be_in_use_after_a_term_for_as_long_as_a_request_lasts() {
    let (mut grantor, doc, now) = two(0);
    assert_eq!(ask(&mut grantor, now, (B, 1, 1), want(SLOTS, 10, 0, 0)), Some(10));
    let over = now + settings().term + settings().longest;
    for (at, part) in [(over - 1, 0), (over, 10)] {
        grantor.sweep(at);
        grantor.confirmed(at, doc.epoch());
        assert_eq!(ask(&mut grantor, at, (A, at, 1), want(SLOTS, 10, 0, 0)), Some(part), "{at}");
    }
}

#[test]
fn a_late_ask_takes_back_nothing_that_a_later_one_said() {
    let (mut grantor, _, now) = two(0);
    ask(&mut grantor, now, (B, 1, 1), want(SLOTS, 0, 0, 0));
    // Slots that it took by a grant of one before.
    ask(&mut grantor, now, (B, 3, 1), want(SLOTS, 0, 7, 0));
    assert_eq!(ask(&mut grantor, now, (B, 2, 1), want(SLOTS, 0, 0, 0)), None);
    assert_eq!(ask(&mut grantor, now, (A, 1, 1), want(SLOTS, 10, 0, 0)), Some(3));
}

#[test]
fn what_is_given_back_is_granted_at_once() {
    let (mut grantor, _, now) = two(0);
    assert_eq!(ask(&mut grantor, now, (B, 1, 1), want(RATE, 200_000, 0, 0)), Some(100_000));
    let later = now + DIVIDE_EVERY;
    assert_eq!(ask(&mut grantor, later, (A, 1, 1), want(RATE, 200_000, 0, 0)), Some(0), "b's");
    assert_eq!(ask(&mut grantor, later, (B, 2, 1), want(RATE, 200_000, 100_000, 1)), Some(50_000));
    assert_eq!(ask(&mut grantor, later, (A, 2, 1), want(RATE, 200_000, 0, 1)), Some(0), "not taken yet");
    assert_eq!(ask(&mut grantor, later, (B, 3, 1), want(RATE, 200_000, 50_000, 1)), Some(50_000));
    assert_eq!(ask(&mut grantor, later, (A, 3, 1), want(RATE, 200_000, 0, 1)), Some(50_000));
    assert_eq!(grantor.account(RATE), Some((100_000, 100_000)));
}

#[test]
fn an_older_epoch_is_told_of_the_newer_one_and_a_stranger_nothing() {
    let (mut grantor, mut doc, now) = two(0);
    let old = doc.epoch();
    doc.take(Change::Strike { name: "b".into() }).expect("a member");
    grantor.adopt(now, &doc);
    grantor.confirmed(now, doc.epoch());
    let of =
        |epoch| Ask { epoch, revision: 1, from: B, life: 1, seq: epoch, wants: vec![want(RATE, 5, 0, 0)] };
    let answer = grantor.on_ask(now, &of(old)).expect("an answer");
    assert_eq!((answer.says, answer.epoch), (Says::Newer, doc.epoch()));
    assert_eq!(grantor.on_ask(now, &of(doc.epoch())), None);
    assert_eq!(grantor.on_ask(now, &of(doc.epoch() + 1)), None);
}

#[test]
fn a_smaller_safe_part_counts_once_it_was_seen_and_its_slots_have_ended() {
    let (mut grantor, mut doc, now) = two(PPB / 2);
    doc.take(Change::Share { safe_ppb: PPB / 10 }).expect("less");
    grantor.adopt(now, &doc);
    grantor.confirmed(now, doc.epoch());
    let pools = |grantor: &Grantor| [RATE, SLOTS].map(|id| grantor.account(id).map_or(0, |(_, pool)| pool));
    assert_eq!(pools(&grantor), [50_000, 5]);
    for from in [A, B] {
        assert_eq!(grantor.seen(now), None);
        ask(&mut grantor, now, (from, 1, 1), want(RATE, 5, 0, 0));
    }
    for (at, then) in [(now, [90_000, 5]), (now + settings().longest, [90_000, 9])] {
        grantor.sweep(at);
        assert_eq!(pools(&grantor), then);
    }
    let change = grantor.seen(now + settings().longest).expect("both");
    assert!(doc.take(change).expect("this epoch"));
    assert_eq!(doc.reserve_ppb(|_| false), PPB / 10);
}
