//! Fleets in simulated time: never over, whatever fails, and parts that follow demand.

use woodgap_leases::simulated::{name, Sim};
use woodgap_leases::*;

const SECOND: Micros = 1_000_000;
/// The first grantors have waited.
const BEGUN: Micros = 7 * SECOND;
const SAFE: u64 = 40_000_000;

fn whole(kind: Kind) -> Whole {
    Whole { kind, mode: Mode::Strict, least: 1 }
}

fn rate(per_s: u64) -> Whole {
    whole(Kind::Rate { per_s, burst_ms: 1_000 })
}

/// Clocks that drift more than any does, so that what is not allowed for is seen.
fn settings() -> Settings {
    Settings { longest: SECOND, drift_ppm: 50_000, ..Settings::default() }
}

fn wholes(revision: u64, count: u32, scale: u64) -> Wholes {
    let kind = |id: u32| match id % 4 {
        0 => whole(Kind::Slots { count: scale * (1 + u64::from(id % 97)) }),
        _ => rate(scale * (1 + u64::from(id % 997))),
    };
    Wholes::new(revision, (0..count).map(|id| (id, kind(id))).collect()).expect("bounds")
}

/// A fleet of whose tenants some are active, a few of them everywhere.
fn fleet(seed: u64, nodes: usize, count: u32, active: u32) -> Sim {
    let mut random = fastrand::Rng::with_seed(seed);
    let all = wholes(1, count, 2);
    let mut sim =
        Sim::new(seed, (nodes, MOST_SEATS.min(nodes)), settings(), SAFE, all.clone()).expect("bounds");
    for id in 0..active {
        let most = if id % 50 == 0 { nodes } else { 1 + random.usize(..8) };
        let units = all.get(id).expect("there").units().min(200_000);
        for _ in 0..most {
            // In all, from half of it to twice of it; and never nothing.
            let of = units * random.u64(1..=4) / 2 / most as u64;
            sim.traffic.insert((random.usize(..nodes), id), of.max(200));
        }
    }
    sim
}

/// What fails next.
fn fault(sim: &mut Sim, random: &mut fastrand::Rng, nodes: usize, revision: &mut u64) {
    let (one, other) = (random.usize(..nodes), random.usize(..nodes));
    let (there, span) = (sim.there(one), random.u64(SECOND / 10..6 * SECOND));
    match random.u64(..40) {
        0..6 => drop(sim.cut.insert((one, other))),
        6..9 => sim.cut.extend((0..nodes).map(|to| (one, to))),
        9..12 => sim.cut.clear(),
        12..22 if there => sim.sleep(one, span),
        22 if there => sim.replace(one, span).expect("a member"),
        23..26 => drop(sim.unserved.insert(one)),
        26..29 => sim.unserved.clear(),
        29..31 if there => {
            // Taken for dead, or back; the one that is so may be neither.
            let seated = sim.doc.id(&name(one)).is_some_and(|id| sim.doc.seat(id).is_some());
            let life = sim.processes[sim.own(one)].life();
            let change = if seated {
                Change::Unseat { name: name(one) }
            } else {
                Change::Seat { name: name(one), life }
            };
            drop(sim.change(change));
        }
        31 if there && random.bool() => sim.end(one).expect("a member"),
        31 => {
            let new = 1 + sim.processes.iter().map(|process| process.node).max().unwrap_or(0);
            // Too many that were never seen: refused, as it should be.
            drop(sim.join(new));
        }
        32 => {
            *revision += 1;
            sim.revise(wholes(*revision, 40, 1 + *revision % 3));
        }
        _ => {}
    }
}

/// A small fleet and as many faults as there is time for.
fn chaos(seed: u64) -> (u64, u64) {
    let mut random = fastrand::Rng::with_seed(seed ^ 0x5eed);
    let mut sim = fleet(seed, 7, 40, 40);
    (sim.loss, sim.slow) = (random.u64(..200), random.u64(..200));
    let mut revision = 1;
    for step in 0..200 {
        sim.run(BEGUN / 2 + step * SECOND / 2);
        fault(&mut sim, &mut random, 7, &mut revision);
        assert_eq!(sim.check.broken, Vec::<String>::new(), "seed {seed}, step {step}");
    }
    (sim.check.looked, sim.check.counts.values().map(|count| count.taken).sum())
}

#[test]
fn no_fault_makes_anything_over() {
    let sums: Vec<(u64, u64)> = (0..20).map(chaos).collect();
    let (looked, taken) = sums.iter().fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1));
    println!("{looked} sums, {taken} requests let in");
    assert!(looked > 10_000 && taken > 10_000);
}

#[test]
fn no_fault_makes_anything_over_at_length() {
    (100..300).map(chaos).for_each(drop);
}

/// The size that it is built for, with a cut, a sleeping grantor and a third of the nodes that begin again.
#[test]
fn three_hundred_nodes_and_ten_thousand_wholes() {
    let mut sim = fleet(1, 300, 10_000, 1_000);
    sim.loss = 50;
    sim.run(BEGUN);
    sim.sleep(1, 8 * SECOND);
    sim.change(Change::Unseat { name: name(1) }).expect("a member");
    sim.cut.extend((0..300).map(|to| (2, to)));
    sim.run(BEGUN + SECOND);
    (200..300).for_each(|node| sim.replace(node, 3 * SECOND).expect("a member"));
    sim.run(BEGUN + 5 * SECOND);
    assert_eq!(sim.check.broken, Vec::<String>::new());
    let seconds = (BEGUN + 5 * SECOND) / SECOND;
    let bytes = sim.processes.iter().map(|process| process.sent.0).max().unwrap_or(0) / seconds;
    println!("{} sums; {bytes} bytes a second of the node that asks most", sim.check.looked);
    assert!(sim.check.looked > 50_000 && bytes < holder_bytes_s(&settings()));
}
