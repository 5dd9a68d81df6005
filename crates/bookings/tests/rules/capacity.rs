//! What a group promises, and what it can do without a loss that was promised to be survived.

use crate::*;

fn out(by: By, from: u64, until: u64) -> Out {
    Out { from: from * S, until: until * S, by, why: "kernel".to_owned() }
}

#[test]
fn safety_the_largest_zone_permits_and_the_open_part_are_left_out() {
    let load = |rule: Rule| with(settings(), &[("g", rule)]).load("g", 0).unwrap().0;
    assert_eq!(load(PLAIN), 60);
    assert_eq!(load(Rule { safety_percent: 10, ..PLAIN }), 54);
    assert_eq!(load(Rule { survive_zone: true, ..PLAIN }), 40);
    assert_eq!(load(Rule { permits_out: 1, ..PLAIN }), 50);
    // A zone and, outside of it, a server: 30 are left, less 3, less 14 of 27 (50 %, rounded up).
    let all = Rule { safety_percent: 10, open_percent: 50, survive_zone: true, permits_out: 1, ..PLAIN };
    assert_eq!(load(all), 13);
}

#[test]
fn a_permit_uses_up_what_permits_may_take_and_a_drain_takes_more() {
    let book = with(settings(), &[("g", Rule { permits_out: 1, ..PLAIN })]);
    let mut scene = scene(&["g"]);
    scene.groups.get_mut("g").unwrap().get_mut("a1").unwrap().outs = vec![out(By::Permit, 100, 200)];
    scene.groups.get_mut("g").unwrap().get_mut("b1").unwrap().outs = vec![out(By::Drain, 150, 250)];
    let (book, _) = book.settle(0, &scene).unwrap();
    let at = |at: u64| book.load("g", at * S).unwrap().0;
    assert_eq!([99, 100, 150, 199, 200, 249, 250].map(at), [50, 50, 40, 40, 40, 40, 50]);
}

#[test]
fn no_booking_gets_short_by_the_loss_of_a_zone_and_of_what_permits_take() {
    let mut book = with(settings(), &[("g", Rule { survive_zone: true, permits_out: 1, ..PLAIN })]);
    let id = taken(&mut book, ask("a", "1", 30, 100, 200), 0);
    assert!(matches!(refused(&book, ask("b", "1", 1, 150, 160), 0), Refusal::TooFull { left: 0, .. }));
    let mut lost = dead(&["a1", "a2"], "zone a is lost");
    lost.groups.get_mut("g").unwrap().get_mut("b1").unwrap().outs = vec![out(By::Permit, 50, 300)];
    let (now, told) = book.settle(150 * S, &lost).unwrap();
    assert_eq!((now.booking(id).unwrap().state(), now.entitlement("g", "a", 150 * S)), ("active", 30));
    assert_eq!(told.len(), 1, "told that it is active, and of nothing else");
    // One more is more than was promised.
    lost.groups.get_mut("g").unwrap().get_mut("c1").unwrap().dead = Some("silent".into());
    let (now, _) = now.settle(151 * S, &lost).unwrap();
    assert_eq!((now.booking(id).unwrap().state(), now.entitlement("g", "a", 151 * S)), ("short", 20));
}

#[test]
fn the_dead_are_held_away_for_a_time_and_the_document_is_not_written_for_nothing() {
    let book = plain();
    let (one, _) = book.settle(100 * S, &dead(&["a1"], "silent")).unwrap();
    let at = |book: &Book, at: u64| book.load("g", at * S).unwrap().0;
    assert_eq!([99, 100, 3_699, 3_700].map(|t| at(&one, t)), [60, 50, 50, 60]);
    let (same, _) = one.settle(1_800 * S, &dead(&["a1"], "silent")).unwrap();
    assert_eq!(same, one);
    let (on, _) = one.settle(2_000 * S, &dead(&["a1"], "silent")).unwrap();
    assert_eq!([at(&on, 100), at(&on, 5_599), at(&on, 5_600)], [50, 50, 60]);
    let (back, _) = on.settle(2_001 * S, &scene(&["g"])).unwrap();
    assert_eq!(at(&back, 2_001), 60);
}

#[test]
fn a_drain_is_told_whom_it_breaks_and_by_force_the_booking_says_why() {
    let rule = Rule { survive_zone: true, permits_out: 1, ..PLAIN };
    let mut book = with(settings(), &[("g", rule)]);
    let id = taken(&mut book, ask("a", "1", 30, 100, 200), 0);
    let harms = |book: &Book, servers: &[&str], out: &Out| -> Vec<(Harm, u64, u32)> {
        let broken = book.would_break(servers, out, 0);
        broken.into_iter().map(|broken| (broken.harm, broken.booking, broken.left)).collect()
    };
    // What permits may take out anyhow is harmless, and so is what ends in time.
    assert_eq!(harms(&book, &["a1"], &out(By::Permit, 0, 300)), []);
    assert_eq!(harms(&book, &["a1", "a2", "b1", "b2"], &out(By::Drain, 0, 100)), []);
    assert_eq!(harms(&book, &["a1"], &out(By::Drain, 50, 101)), [(Harm::Thin, id, 20)]);
    assert_eq!(harms(&book, &["x"], &out(By::Drain, 50, 101)), []);
    let four = ["a1", "a2", "b1", "b2"];
    assert_eq!(harms(&book, &four, &out(By::Drain, 50, 300)), [(Harm::Short, id, 20)]);
    // What was short already is worse off by one more alone.
    let mut hurt = dead(&["a1", "a2", "b1", "b2"], "silent");
    let (worse, _) = book.settle(0, &hurt).unwrap();
    assert_eq!(harms(&worse, &["c1"], &out(By::Drain, 50, 200)), [(Harm::Short, id, 10)]);
    assert_eq!(harms(&worse, &["a1"], &out(By::Drain, 50, 200)), []);
    // What is past is nobody's loss.
    hurt.groups.get_mut("g").unwrap().values_mut().for_each(|seen| seen.dead = None);
    let (healed, told) = worse.settle(150 * S, &hurt).unwrap();
    assert_eq!((healed.booking(id).unwrap().short.as_ref(), told.len()), (None, 1));
    // By force.
    let mut forced = scene(&["g"]);
    let of_it = forced.groups.get_mut("g").unwrap();
    four.iter().for_each(|name| of_it.get_mut(*name).unwrap().outs = vec![out(By::Drain, 50, 150)]);
    let (book, told) = book.settle(20 * S, &forced).unwrap();
    assert_eq!(told, [Told { tenant: "a".into(), booking: id }]);
    let booking = book.booking(id).unwrap();
    let short = Short { group: "g".into(), from: 100 * S, until: 150 * S, left: 20 };
    assert_eq!((booking.state(), booking.short.as_ref()), ("short", Some(&short)));
    let why = "a1 (kernel), a2 (kernel), b1 (kernel), b2 (kernel) out";
    assert_eq!(booking.trail.last().unwrap().cause, Cause::Short(why.into()));
}
