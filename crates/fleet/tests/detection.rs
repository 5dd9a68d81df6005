//! Failure detection in simulated time.

use std::collections::BTreeSet;

use woodgap_fleet::simulated::{name, Sim};
use woodgap_fleet::wire::Keys;
use woodgap_fleet::{Event, Life, Standing};

// A killed one is found by all, once, and is back with a new incarnation.
#[test]
fn a_killed_one_is_found_and_comes_back() {
    let mut sim = Sim::new(50, 2, &Keys::none());
    sim.run(6_000);
    sim.stopped.insert(7);
    let others = || (0..50).filter(|node| *node != 7);
    sim.run(16_000);
    assert_eq!(sim.hold(others(), 7, Life::Dead), 49);
    let deaths = sim.deaths();
    assert!(deaths.iter().all(|(_, _, dead)| *dead == name(7)), "{deaths:?}");
    assert_eq!(deaths.len(), 49);
    sim.restart(7, 50_000);
    sim.run(22_000);
    assert!(sim.all_together(&BTreeSet::new()));
    assert_eq!(sim.nodes[3].member(&name(7)).unwrap().facts.boot, 50_000);
}

// One that was stopped and wakes finds itself declared dead, contradicts, and blames nobody.
#[test]
fn a_stopped_one_wakes_and_blames_nobody() {
    let mut sim = Sim::new(20, 4, &Keys::none());
    sim.run(5_000);
    sim.stopped.insert(5);
    sim.run(25_000);
    assert_eq!(sim.hold((0..20).filter(|node| *node != 5), 5, Life::Dead), 19);
    let before = sim.events.len();
    sim.wake(5);
    sim.run(sim.now + 500);
    assert_eq!(sim.nodes[5].standing(), Standing::Catching);
    sim.run(35_000);
    assert!(sim.all_together(&BTreeSet::new()));
    let told = &sim.events[before..];
    let blamed = told
        .iter()
        .filter(|(_, node, event)| *node == 5 && matches!(event, Event::Suspected(_) | Event::Died(_)));
    assert_eq!(blamed.count(), 0);
    assert!(told.iter().any(|(_, node, event)| *node == 5 && *event == Event::Contradicted));
    assert!(told.iter().any(|(_, node, event)| *node == 5 && matches!(event, Event::Slept(19_000..))));
}

// A hears B, B does not hear A: neither is declared dead while others hear both.
#[test]
fn a_link_cut_one_way_kills_nobody() {
    for seed in 0..5 {
        let mut sim = Sim::new(12, 100 + seed, &Keys::none());
        sim.run(5_000);
        sim.link = Box::new(|from, to, _| !(from == 3 && to == 4));
        sim.run(65_000);
        assert_eq!(sim.deaths(), []);
        // Not even suspected: helpers hear it.
        assert_eq!(sim.nodes.iter().map(|node| node.counts().suspected).sum::<u64>(), 0);
    }
}

// Two halves that do not hear one another, but one node hears both.
#[test]
fn a_bridge_holds_a_fleet_together() {
    for seed in 0..20 {
        let mut sim = Sim::new(13, 200 + seed, &Keys::none());
        sim.run(5_000);
        sim.link = Box::new(|from, to, _| from == 12 || to == 12 || (from < 6) == (to < 6));
        sim.run(65_000);
        assert_eq!(sim.deaths(), [], "seed {seed}");
    }
}

// A fifth of all datagrams is lost for a minute.
#[test]
fn nobody_dies_of_loss() {
    for seed in 0..3 {
        let mut sim = Sim::new(50, 300 + seed, &Keys::none());
        sim.run(5_000);
        sim.link = Box::new(|_, _, chance| chance >= 0.2);
        sim.run(65_000);
        assert_eq!(sim.deaths(), [], "seed {seed}");
    }
}

// Who hears nobody is cut off itself; back in touch it has lost nobody.
#[test]
fn who_hears_nobody_is_isolated_and_buries_nobody() {
    let mut sim = Sim::new(20, 5, &Keys::none());
    sim.run(5_000);
    sim.link = Box::new(|from, to, _| from != 6 && to != 6);
    // Longer than its longest suspicion.
    sim.run(180_000);
    assert!(matches!(sim.nodes[6].standing(), Standing::Isolated { .. }));
    assert!(sim.nodes[6].members().all(|(_, member)| member.life != Life::Dead));
    assert_eq!(sim.hold((0..20).filter(|node| *node != 6), 6, Life::Dead), 19);
    assert!(sim.nodes[7].standing() == Standing::Together);
    sim.link = Box::new(|_, _, _| true);
    sim.run(190_000);
    assert!(sim.all_together(&BTreeSet::new()));
    assert_eq!(sim.nodes[6].standing(), Standing::Together);
    assert!(sim.deaths().iter().all(|(_, _, dead)| *dead == name(6)));
}

// A third dies in one moment: the others find all of them, and nobody else.
#[test]
fn a_third_that_dies_at_once_is_found() {
    let mut sim = Sim::new(30, 6, &Keys::none());
    sim.run(5_000);
    sim.stopped.extend(0..10);
    sim.run(30_000);
    for dead in 0..10 {
        assert_eq!(sim.hold(10..30, dead, Life::Dead), 20, "{dead}");
    }
    let wrong = sim.deaths().into_iter().filter(|(_, _, of)| *of >= name(10)).count();
    assert_eq!(wrong, 0);
}

// Hundreds, with a twentieth of all datagrams lost and ten killed: those ten are found, and nobody else. (A thousand
// are played in `proof fleet`.)
#[test]
fn hundreds_lose_only_the_dead() {
    let mut sim = Sim::new(400, 11, &Keys::none());
    sim.run(25_000);
    assert!(sim.all_together(&BTreeSet::new()));
    sim.link = Box::new(|_, _, chance| chance >= 0.05);
    let dead: BTreeSet<usize> = (200..210).collect();
    sim.stopped.extend(&dead);
    sim.run(50_000);
    let wrong = sim.deaths().into_iter().filter(|(_, _, of)| !(name(200)..name(210)).contains(of)).count();
    assert_eq!(wrong, 0);
    assert!(sim.all_together(&dead));
}
