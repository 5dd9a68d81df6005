//! The holder, rule by rule: what it takes, what it lets in, what it says.

use std::collections::BTreeMap;
use std::sync::Arc;

use woodgap_leases::*;

const SECOND: Micros = 1_000_000;
const ME: MemberId = 1;

fn settings() -> Settings {
    Settings { drift_ppm: 0, longest: 10 * SECOND, ..Settings::default() }
}

fn list(kind: Kind, count: u32, first: WholeId) -> Arc<Wholes> {
    let whole = Whole { kind, mode: Mode::Strict, least: 1 };
    Arc::new(Wholes::new(1, (first..first + count).map(|id| (id, whole)).collect()).expect("bounds"))
}

/// One member, with seats of its own and of others, no safe part; at 0.
fn holder(kind: Kind, count: u32, seats: u32) -> (Holder, EpochDoc) {
    let mut doc = EpochDoc::new(0).expect("a share");
    for seat in 0..seats {
        doc.take(Change::Join { name: seat.to_string() }).expect("room");
        doc.take(Change::Seat { name: seat.to_string(), life: 1 }).expect("a member");
    }
    let mut holder = Holder::new(ME, 1, settings(), 0).expect("settings");
    holder.adopt(0, &doc);
    holder.on_wholes(0, list(kind, count, 0));
    (holder, doc)
}

fn answer(doc: &EpochDoc, seq: u64, part: u64) -> Answer {
    let says = Says::Grant { term: settings().term, parts: vec![Part { whole: 0, part }] };
    Answer { epoch: doc.epoch(), from: doc.grantor(0).expect("a seat"), to: ME, life: 1, seq, says }
}

fn let_in(taker: &Taker, now: Micros) -> usize {
    (0..1_000).take_while(|_| taker.take(now).is_ok()).count()
}

const RATE: Kind = Kind::Rate { per_s: 100, burst_ms: 1_000 };

#[test]
fn a_part_ends_a_term_after_its_ask_was_sent_also_for_one_that_slept() {
    let (mut holder, doc) = holder(RATE, 1, 1);
    let taker = holder.taker(0).expect("a whole");
    assert_eq!(let_in(&taker, SECOND), 0, "nothing is held");
    let ask = holder.poll(SECOND).remove(0).1;
    assert!(matches!(holder.on_answer(2_005_000, &answer(&doc, ask.seq, 100_000)), Heard::Grant(SECOND, _)));
    assert_eq!(let_in(&taker, 2_505_000), 50);
    let ends = SECOND + settings().term;
    assert_eq!((taker.acts_on(ends - 1), taker.acts_on(ends)), (100_000, 0));
    assert_eq!(let_in(&taker, ends - 5_000), 49);
    // It sleeps: the part filled half a request more, and then nothing.
    assert_eq!(let_in(&taker, ends + 5 * SECOND), 0);
}

#[test]
fn what_is_given_back_takes_its_burst_with_it() {
    let (mut holder, doc) = holder(RATE, 1, 1);
    let taker = holder.taker(0).expect("a whole");
    (0..500).for_each(|_| assert!(taker.take(SECOND).is_err()));
    let seq = holder.poll(SECOND).remove(0).1.seq;
    holder.on_answer(SECOND, &answer(&doc, seq, 100_000));
    let seq = holder.poll(SECOND + settings().round).remove(0).1.seq;
    holder.on_answer(2 * SECOND, &answer(&doc, seq, 50_000));
    assert_eq!(let_in(&taker, 2 * SECOND), 50, "a half: 100 were there");
}

#[test]
fn grants_of_another_epoch_process_or_grantor_and_late_ones_are_refused() {
    let (mut holder, doc) = holder(RATE, 1, 2);
    let taker = holder.taker(0).expect("a whole");
    let _ = taker.take(SECOND);
    let seq = holder.poll(SECOND).remove(0).1.seq;
    let good = answer(&doc, seq, 9);
    let other = 3 - good.from;
    let wrong = [
        Answer { epoch: good.epoch - 1, ..good.clone() },
        Answer { epoch: good.epoch + 1, ..good.clone() },
        Answer { life: 2, ..good.clone() },
        Answer { to: 2, ..good.clone() },
        Answer { seq: seq + 1, ..good.clone() },
        Answer { from: other, ..good.clone() },
        Answer { epoch: good.epoch + 1, says: Says::Newer, ..good.clone() },
    ];
    for answer in wrong {
        holder.on_answer(SECOND, &answer);
        assert_eq!(taker.acts_on(SECOND), 0, "{answer:?}");
    }
    holder.on_answer(SECOND, &good);
    assert_eq!(taker.acts_on(SECOND), 9);
    let next = holder.poll(2 * SECOND).remove(0).1.seq;
    holder.on_answer(2 * SECOND, &answer(&doc, next, 5));
    holder.on_answer(2 * SECOND, &good);
    assert_eq!(taker.acts_on(2 * SECOND), 5);
}

#[test]
fn slots_in_use_are_said_until_they_are_given_back() {
    let (mut holder, doc) = holder(Kind::Slots { count: 10 }, 1, 1);
    let taker = holder.taker(0).expect("a whole");
    let _ = taker.take(SECOND);
    for (now, part) in [(SECOND, 10), (2 * SECOND, 2)] {
        let seq = holder.poll(now).remove(0).1.seq;
        holder.on_answer(now, &answer(&doc, seq, part));
        assert_eq!(let_in(&taker, now), if part == 10 { 10 } else { 0 });
    }
    let said = |holder: &mut Holder, now| holder.poll(now).remove(0).1.wants[0].held;
    assert_eq!((taker.in_use(), said(&mut holder, 3 * SECOND)), (10, 10));
    (0..9).for_each(|_| taker.give_back());
    assert_eq!((taker.in_use(), said(&mut holder, 4 * SECOND)), (1, 1));
}

#[test]
fn safe_parts_grow_when_those_before_are_over_and_shrink_at_once() {
    let (_, mut doc) = holder(RATE, 1, 1);
    doc.take(Change::Share { safe_ppb: PPB / 4 }).expect("a share");
    let mut desk = Desk::new(ME, 1, settings(), 0);
    desk.adopt(SECOND, &doc);
    let rates = SECOND + settings().authority;
    let slots = rates + settings().longest;
    for (now, then) in
        [(rates - 1, (0, 0)), (rates, (PPB / 4, 0)), (slots - 1, (PPB / 4, 0)), (slots, (PPB / 4, PPB / 4))]
    {
        desk.grow(now);
        assert_eq!((desk.safe().rates, desk.safe().slots), then, "{now}");
    }
    doc.take(Change::Join { name: "b".into() }).expect("room");
    desk.adopt(slots, &doc);
    assert_eq!((desk.safe().rates, desk.safe().slots), (PPB / 8, PPB / 8));
}

#[test]
fn a_thousand_wholes_keep_to_the_bytes_and_all_have_their_turn() {
    let (_, doc) = holder(RATE, 1, MOST_SEATS as u32);
    let settings = Settings { ask_bytes_s: 16_384, ..settings() };
    let mut holder = Holder::new(ME, 1, settings, 0).expect("settings");
    holder.adopt(0, &doc);
    let ids = 4_000_000_000..4_000_001_000;
    let whole = Whole { kind: Kind::Rate { per_s: MOST_AMOUNT, burst_ms: 1 }, mode: Mode::Strict, least: 1 };
    holder
        .on_wholes(0, Arc::new(Wholes::new(2, ids.clone().map(|id| (id, whole)).collect()).expect("bounds")));
    let takers: Vec<Taker> = ids.map(|id| holder.taker(id).expect("a whole")).collect();
    let (mut bytes, mut seen, mut messages) = (0, BTreeMap::new(), 0);
    let mut buffer = [0; MESSAGE_BYTES];
    // What a second may cost may be sent at once, at the start.
    for round in 1..=10 {
        let now = round * settings.round;
        takers.iter().for_each(|taker| assert!(taker.take(now).is_err()));
        for (to, ask) in holder.poll(now) {
            let length = encode(&ask, &mut buffer).expect("1200 bytes");
            assert_eq!(decode::<Ask>(&buffer[..length]), Ok(ask.clone()));
            assert!(ask.wants.iter().all(|want| doc.grantor(want.whole) == Some(to)));
            (bytes, messages) = (bytes + length as u64, messages + 1);
            ask.wants.iter().for_each(|want| *seen.entry(want.whole).or_insert(0) += 1);
        }
    }
    println!("{bytes} bytes in {messages} messages");
    assert!(bytes <= 3 * settings.ask_bytes_s);
    assert!(messages <= 10 * messages_a_round(&settings, MOST_SEATS as u64));
    let (fewest, most) = (seen.values().min(), seen.values().max());
    assert_eq!(seen.len(), 1_000);
    assert!(most.zip(fewest).is_some_and(|(most, fewest)| most - fewest <= 1), "{fewest:?} to {most:?}");
}
