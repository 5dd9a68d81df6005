//! Joining, telling and what is not taken, in simulated time.

use std::collections::BTreeSet;

use woodgap_fleet::simulated::{addr, name, Sim};
use woodgap_fleet::wire::{Drop, Keys};
use woodgap_fleet::{Action, Event, Fleet, Life, Phase, Standing};

// Fifty that know of two find one another, and at rest send little.
#[test]
fn fifty_find_one_another() {
    let mut sim = Sim::new(50, 1, &Keys::none());
    sim.run(6_000);
    assert!(sim.all_together(&BTreeSet::new()));
    let bytes = |sim: &Sim| sim.nodes.iter().map(|node| node.counts().bytes).sum::<u64>();
    let before = bytes(&sim);
    sim.run(26_000);
    let rate = (bytes(&sim) - before) / 50 / 20;
    assert!(rate < 400, "{rate} bytes a node and second at rest");
    assert!(sim.deaths().is_empty());
    assert!(sim.nodes.iter().all(|node| node.standing() == Standing::Together));
}

// A clock that went back over a restart: the earlier process said more, under a later epoch.
#[test]
fn a_clock_that_goes_back_over_a_restart_locks_nobody_out() {
    let mut sim = Sim::new(10, 3, &Keys::none());
    sim.run(5_000);
    sim.restart(4, 3);
    sim.run(12_000);
    assert!(sim.all_together(&BTreeSet::new()));
    // It hears at once what it said before, and is not missed meanwhile.
    assert_eq!(sim.deaths(), []);
    assert_eq!(sim.nodes[8].member(&name(4)).unwrap().facts.boot, 3);
}

// Both halves of a cut find the other half dead, and one another again.
#[test]
fn halves_find_one_another_again() {
    let mut sim = Sim::new(20, 7, &Keys::none());
    sim.run(5_000);
    sim.link = Box::new(|from, to, _| (from < 10) == (to < 10));
    sim.run(35_000);
    assert_eq!(sim.hold(0..10, 15, Life::Dead), 10);
    sim.link = Box::new(|_, _, _| true);
    sim.run(60_000);
    assert!(sim.all_together(&BTreeSet::new()));
}

// What one says of itself reaches all.
#[test]
fn a_phase_is_told_to_all() {
    let mut sim = Sim::new(50, 8, &Keys::none());
    sim.run(6_000);
    sim.nodes[9].say(|facts| facts.phase = Phase::Draining);
    sim.act(9);
    let start = sim.now;
    let knows = |node: &Fleet| node.member(&name(9)).is_some_and(|m| m.facts.phase == Phase::Draining);
    while !sim.nodes.iter().all(knows) {
        sim.run(sim.now + 10);
        assert!(sim.now < start + 3_000, "{}", sim.nodes.iter().filter(|node| knows(node)).count());
    }
    // Who has left on purpose is out as soon as it is missed, and told so before.
    sim.nodes[9].leave();
    sim.act(9);
    sim.stopped.insert(9);
    sim.run(sim.now + 2_000);
    let out = |node: &Fleet| node.member(&name(9)).is_some_and(|m| m.facts.phase == Phase::Out);
    assert!((0..50).filter(|n| *n != 9).all(|n| out(&sim.nodes[n])));
}

// Forged, replayed, garbled and strangers' datagrams are counted and change nothing; a key is changed in service.
#[test]
fn what_is_not_ours_is_dropped_and_counted() {
    let old = Keys::read("1 0123456789abcdef0123456789abcdef").unwrap();
    let both = Keys::read("2 fedcba9876543210fedcba9876543210\n1 0123456789abcdef0123456789abcdef").unwrap();
    let mut sim = Sim::new(3, 9, &old);
    sim.run(3_000);
    // One of its datagrams, as an eavesdropper has it.
    sim.nodes[0].say(|facts| facts.config = 8);
    sim.nodes[0].tick(sim.now + 100);
    let bytes = std::iter::from_fn(|| sim.nodes[0].act()).find_map(|action| match action {
        Action::Send(to, bytes) if to == addr(1) => Some(bytes),
        _ => None,
    });
    let (bytes, now) = (bytes.unwrap(), sim.now + 101);
    let node = &mut sim.nodes[1];
    let before = node.counts().taken;
    for at in 0..bytes.len() {
        let mut forged = bytes.clone();
        forged[at] ^= 1;
        node.hear(now, &forged);
        node.hear(now, &bytes[..at]);
    }
    assert_eq!(node.counts().taken, before);
    node.hear(now, &bytes);
    assert_eq!(node.counts().taken, before + 1);
    node.hear(now, &bytes);
    assert_eq!(node.counts().taken, before + 1);
    assert_eq!(node.counts().dropped.get(&Drop::Replayed), Some(&1));
    assert!(node.counts().dropped[&Drop::Forged] as usize >= bytes.len() - 2, "{:?}", node.counts());

    // The new key is taken by one and signed with by another before the third has heard of it.
    for (node, keys) in [(0, &both), (1, &both)] {
        sim.nodes[node].rekey(keys.clone());
    }
    let drops = sim.nodes[2].counts().dropped.get(&Drop::Keyless).copied().unwrap_or(0);
    sim.run(sim.now + 4_000);
    assert!(sim.nodes[2].counts().dropped[&Drop::Keyless] > drops);
    sim.nodes[2].rekey(both);
    sim.run(sim.now + 10_000);
    assert!(sim.all_together(&BTreeSet::new()));
}

// Another process under one's own name is told of.
#[test]
fn two_of_one_name_are_told_of() {
    let mut sim = Sim::new(3, 10, &Keys::none());
    sim.run(3_000);
    let twin = sim.make(1, 9_000, sim.now, &Keys::none());
    sim.nodes.push(twin);
    // It is at another address, and hears nobody's answers there.
    let mut twin = sim.nodes.pop().unwrap();
    twin.tick(sim.now);
    while let Some(action) = twin.act() {
        if let Action::Send(_, bytes) = action {
            sim.nodes[1].hear(sim.now, &bytes);
        }
    }
    sim.act(1);
    assert!(sim.events.iter().any(|(_, node, event)| *node == 1 && *event == Event::Namesake));
}
