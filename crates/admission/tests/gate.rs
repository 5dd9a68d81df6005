//! What a gate promises: shares, bounds, one ruling each, hints that agree with one another.

use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use woodgap_admission::gate::{Arrival, Gate, Ruling, Settings, Verdict};
use woodgap_admission::room::Ended;
use woodgap_admission::Micros;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;

fn arrival(id: u64, tenant: u64, key: u64, now: Micros) -> Arrival {
    Arrival { id, tenant, weight: 1, key, work: 10 * MS, came: now, deadline: now + 2 * SECOND }
}

/// A pool that takes `able` requests at a time, each for 10 ms, and refuses what is beyond.
struct Pool {
    gate: Gate,
    able: u32,
    now: Micros,
    out: Vec<(Micros, u64)>,
    next: u64,
    of: BTreeMap<u64, (u64, Micros)>,
    served: BTreeMap<u64, u64>,
    refused: BTreeMap<u64, u64>,
    hints: Vec<(u64, Micros, Micros)>,
    longest: Micros,
    /// Out, and turned away by the pool: they come to the gate again, as nothing of them ran.
    turned: BTreeSet<u64>,
}

impl Pool {
    fn new(settings: Settings, able: u32) -> Pool {
        Pool {
            gate: Gate::new(settings),
            able,
            now: SECOND,
            out: Vec::new(),
            next: 0,
            of: BTreeMap::new(),
            served: BTreeMap::new(),
            refused: BTreeMap::new(),
            hints: Vec::new(),
            longest: 0,
            turned: BTreeSet::new(),
        }
    }

    fn refuse(&mut self, id: u64, hint: Option<Micros>) {
        let (who, came) = self.of.remove(&id).expect("ruled once");
        *self.refused.entry(who).or_default() += 1;
        self.longest = self.longest.max(self.now - came);
        if let Some(hint) = hint {
            self.hints.push((who, self.now, hint));
        }
    }

    fn admit(&mut self, id: u64) {
        let full = self.out.len() as u32 >= self.able;
        let takes = if full { MS } else { 10 * MS };
        self.out.push((self.now + takes, id));
        let came = self.of[&id].1;
        self.longest = self.longest.max(self.now - came);
        if full {
            self.turned.insert(id);
        }
    }

    fn ask(&mut self, who: u64, made: impl FnOnce(Arrival) -> Arrival) {
        let id = self.next;
        self.next += 1;
        self.of.insert(id, (who, self.now));
        self.come(id, made(arrival(id, 1, who, self.now)));
    }

    fn come(&mut self, id: u64, arrival: Arrival) {
        let mut out = Vec::new();
        let verdict = self.gate.arrive(self.now, arrival, &mut out);
        self.rule(out);
        match verdict {
            Verdict::Admit => self.admit(id),
            Verdict::Hold => {}
            Verdict::Refuse(hint) => self.refuse(id, hint),
        }
    }

    fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let due = self.gate.due().filter(|due| *due > self.now);
            let ended = self.out.iter().map(|(at, _)| *at).min();
            let at = [due, ended].into_iter().flatten().min().unwrap_or(end);
            if at >= end {
                break;
            }
            self.now = at;
            self.ends();
        }
        self.now = end;
        self.ends();
    }

    fn ends(&mut self) {
        let now = self.now;
        let (over, out): (Vec<_>, Vec<_>) = self.out.iter().partition(|(at, _)| *at <= now);
        self.out = out;
        for (_, id) in over {
            if self.turned.remove(&id) {
                self.gate.done(now, Ended::Refused, MS);
                let (who, came) = self.of[&id];
                self.come(id, Arrival { came, deadline: came + 2 * SECOND, ..arrival(id, 1, who, now) });
                continue;
            }
            let (who, came) = self.of.remove(&id).expect("out once");
            *self.served.entry(who).or_default() += 1;
            assert!(now - came < 2 * SECOND);
            self.gate.done(now, Ended::Served, 10 * MS);
        }
        let mut rulings = Vec::new();
        self.gate.next(now, &mut rulings);
        self.rule(rulings);
    }

    fn rule(&mut self, rulings: Vec<Ruling>) {
        for ruling in rulings {
            match ruling {
                Ruling::Admit(id) => self.admit(id),
                Ruling::Refuse(id, hint) => self.refuse(id, hint),
            }
        }
    }
}

// One heavy key at many times its share, fifty light ones below theirs: the light ones are served, and the pool is kept
// full.
#[test]
fn light_keys_keep_their_share_beside_a_heavy_one() {
    let mut pool = Pool::new(Settings { seed: 3, ..Settings::default() }, 20);
    // 2,000 a second can be served; the light ones ask for 1,000, the heavy one for 20,000.
    let mut asked = BTreeMap::new();
    for tick in 0..20_000u64 {
        for _ in 0..20 {
            pool.ask(0, |arrival| arrival);
        }
        let who = 1 + tick % 50;
        pool.ask(who, |arrival| arrival);
        *asked.entry(who).or_insert(0u64) += 1;
        pool.pass(MS);
    }
    pool.pass(SECOND);
    let share = |who: u64| pool.served.get(&who).copied().unwrap_or(0) as f64 / asked[&who] as f64;
    let least = (1..=50).map(share).fold(1.0, f64::min);
    let mean = (1..=50).map(share).sum::<f64>() / 50.0;
    let all: u64 = pool.served.values().sum();
    assert!(least >= 0.99 && mean >= 0.995, "{least} {mean}");
    assert!(all >= 36_000, "{all} of 40,000");
    assert!(pool.of.is_empty() && pool.gate.waiting() == 0);
    assert!(pool.longest <= 510 * MS, "{}", pool.longest);
}

// Tenants by weight, both with more than their part; a weight of 0 is the least, not none.
#[test]
fn tenants_share_by_weight() {
    for (weights, ratio) in [((1, 3), 3.0), ((0, 1), 1.0), ((1, 1_000_000), f64::INFINITY)] {
        let mut pool = Pool::new(Settings::default(), 20);
        for _ in 0..10_000 {
            for _ in 0..3 {
                pool.ask(1, |arrival| Arrival { tenant: 1, weight: weights.0, ..arrival });
                pool.ask(2, |arrival| Arrival { tenant: 2, weight: weights.1, ..arrival });
            }
            pool.pass(MS);
        }
        let (one, two) = (pool.served.get(&1).copied().unwrap_or(0), pool.served[&2]);
        let seen = two as f64 / one.max(1) as f64;
        if ratio.is_finite() {
            assert!((ratio * 0.8..ratio * 1.25).contains(&seen), "{weights:?}: {one} {two}");
        } else {
            assert!(seen > 50.0, "{weights:?}: {one} {two}");
        }
    }
}

// Whoever sends only heavy requests gets as much work done as one that sends light ones, not as many requests.
#[test]
fn the_share_is_of_work() {
    let mut gate = Gate::new(Settings { most_out: 1, waiting: 10_000, ..Settings::default() });
    let far = |arrival: Arrival| Arrival { deadline: Micros::MAX, ..arrival };
    assert_eq!(gate.arrive(1, far(arrival(0, 1, 9, 1)), &mut Vec::new()), Verdict::Admit);
    for n in 0..200 {
        let heavy = Arrival { work: 40 * MS, ..far(arrival(1 + 2 * n, 1, 1, 1)) };
        let light = far(arrival(2 + 2 * n, 1, 2, 1));
        assert_eq!(gate.arrive(1, heavy, &mut Vec::new()), Verdict::Hold);
        assert_eq!(gate.arrive(1, light, &mut Vec::new()), Verdict::Hold);
    }
    let (mut heavy, mut light) = (0, 0);
    let mut out = Vec::new();
    for n in 0..100 {
        gate.done(2 + n, Ended::Otherwise, 0);
        gate.next(2 + n, &mut out);
        match out.pop() {
            Some(Ruling::Admit(id)) if id % 2 == 1 => heavy += 1,
            Some(Ruling::Admit(_)) => light += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!((heavy, light), (20, 80));
}

// Those who cannot be served in time are told at once, not when their time is up.
#[test]
fn who_cannot_make_it_is_answered_at_once() {
    let mut pool = Pool::new(Settings::default(), 4);
    // Until the pool is known.
    for _ in 0..2_000 {
        pool.ask(1, |arrival| arrival);
        pool.ask(1, |arrival| arrival);
        pool.pass(MS);
    }
    let before = pool.refused.get(&7).copied().unwrap_or(0);
    let now = pool.now;
    for _ in 0..50 {
        pool.ask(7, |arrival| Arrival { deadline: now + 25 * MS, ..arrival });
    }
    let at_once = pool.refused.get(&7).copied().unwrap_or(0) - before;
    assert!(at_once >= 45, "{at_once} of 50 at once");
    // Of the others none waits past its deadline.
    pool.pass(SECOND);
    assert!(!pool.of.values().any(|(who, _)| *who == 7));
}

// What is promised last is not earlier than what was promised before, while the queue grows and shrinks, and no two of
// one key are told the same time.
#[test]
fn hints_of_a_key_agree() {
    let mut pool = Pool::new(Settings::default(), 10);
    for phase in [3, 20, 1, 40, 0] {
        for _ in 0..500 {
            for _ in 0..phase {
                pool.ask(1, |arrival| arrival);
            }
            pool.pass(MS);
        }
    }
    assert!(pool.hints.len() > 1_000, "{}", pool.hints.len());
    for pair in pool.hints.windows(2) {
        let [(_, at, hint), (_, later, next)] = pair else { unreachable!() };
        assert!(later + next > at + hint, "{pair:?}");
    }
}

// Many keys, then silence: what is held does not grow with them. (A million are the proof's.)
#[test]
fn memory_does_not_grow_with_keys() {
    let mut gate = Gate::new(Settings::default());
    let mut out = Vec::new();
    let mut now = 1;
    for key in 0..100_000u64 {
        now += 60;
        if gate.arrive(now, arrival(key, 1, key, now), &mut out) == Verdict::Admit && key % 2 == 0 {
            gate.done(now, Ended::Served, 10 * MS);
        }
        if key % 16 == 0 {
            gate.next(now, &mut out);
            out.clear();
        }
        assert!(gate.waiting() <= 4_096);
    }
    gate.next(now + 10 * SECOND, &mut out);
    assert_eq!(gate.waiting(), 0);
}

// A tenant that ends has all its waiting answered at once, and no other's.
#[test]
fn a_tenant_that_ends_is_answered_at_once() {
    let mut gate = Gate::new(Settings { most_out: 1, ..Settings::default() });
    assert_eq!(gate.arrive(1, arrival(0, 1, 1, 1), &mut Vec::new()), Verdict::Admit);
    for n in 1..=10 {
        assert_eq!(gate.arrive(1, arrival(n, 1 + n % 2, n, 1), &mut Vec::new()), Verdict::Hold);
    }
    let mut out = Vec::new();
    gate.end(2, 1, &mut out);
    let mut ids: Vec<u64> =
        out.iter().map(|ruling| if let Ruling::Refuse(id, None) = ruling { *id } else { 99 }).collect();
    ids.sort_unstable();
    assert_eq!((ids, gate.waiting()), (vec![2, 4, 6, 8, 10], 5));
    // A client that goes leaves its place, once.
    assert!(gate.gone(1) && !gate.gone(1) && !gate.gone(2));
    assert_eq!(gate.waiting(), 4);
}

proptest! {
    // Whatever comes in whatever order, clocks that go back among it: each request has one ruling, what waits is
    // bounded, and nothing waits past its time.
    #[test]
    fn each_has_one_ruling(steps in prop::collection::vec((0u8..6, 0u64..40, 0u64..3_000_000), 1..400)) {
        let mut gate = Gate::new(Settings { waiting: 16, ..Settings::default() });
        let (mut held, mut out_now, mut id, mut now) = (BTreeMap::new(), 0u32, 0u64, 1u64);
        let mut rulings = Vec::new();
        for (what, who, span) in steps {
            now = if span % 7 == 0 { now.saturating_sub(span) } else { now + span / 10 };
            match what {
                0..=2 => {
                    id += 1;
                    let one = Arrival { weight: who as u32, work: span, ..arrival(id, who % 3, who, now) };
                    match gate.arrive(now, one, &mut rulings) {
                        Verdict::Admit => out_now += 1,
                        Verdict::Hold => { held.insert(id, ()); }
                        Verdict::Refuse(_) => {}
                    }
                }
                3 if out_now > 0 => {
                    out_now -= 1;
                    let ended = [Ended::Served, Ended::Refused, Ended::Late, Ended::Otherwise][who as usize % 4];
                    gate.done(now, ended, span);
                }
                4 => {
                    let gone = held.remove(&who).is_some();
                    prop_assert_eq!(gate.gone(who), gone);
                }
                5 => gate.end(now, who % 3, &mut rulings),
                _ => {}
            }
            gate.next(now, &mut rulings);
            for ruling in rulings.drain(..) {
                let id = match ruling {
                    Ruling::Admit(id) => { out_now += 1; id }
                    Ruling::Refuse(id, _) => id,
                };
                prop_assert!(held.remove(&id).is_some(), "{} ruled twice", id);
            }
            prop_assert_eq!((gate.waiting(), gate.room().out()), (held.len(), out_now));
            prop_assert!(held.len() <= 16);
        }
    }
}
