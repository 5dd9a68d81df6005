//! A node that comes up at the address of one that has gone is another member, in simulated time.

use std::collections::BTreeMap;

use woodgap_fleet::simulated::{addr, name, Simulation};
use woodgap_fleet::wire::GossipKeys;
use woodgap_fleet::{Fleet, GossipSettings, MemberState, MembershipEvent};

const NODES: usize = 12;
/// The node that goes, at whose address another one comes up.
const GONE: usize = 4;
const NEW_NAME: &str = "other";

/// Replaces the stopped node's process by one of another name at the same address.
fn start_at_the_address_of_the_gone(sim: &mut Simulation, boot: u64) {
    let mut metadata = sim.nodes[0].member(&name(GONE)).unwrap().metadata.clone();
    metadata.boot = boot;
    let addresses = (0..2).map(|n| (name(n).into(), addr(n))).collect::<BTreeMap<_, _>>();
    let settings = GossipSettings::default();
    sim.nodes[GONE] = Fleet::new(sim.now, NEW_NAME, metadata, addresses, GossipKeys::none(), settings, boot);
    sim.resume(GONE);
}

// Whether the other one comes up at once, while the first is suspected, or after its death, and whether its clock is
// ahead of the first one's or behind: the first one is dead everywhere, nobody hears of its return, and the other one
// is alive.
#[test]
fn node_at_the_address_of_one_that_has_gone_is_another_member() {
    for pause in [0, 700, 20_000] {
        for boot in [3, 50_000] {
            for seed in 1..=5 {
                let mut sim = Simulation::new(NODES, seed, &GossipKeys::none());
                sim.run_until(5_000);
                sim.stopped.insert(GONE);
                sim.run_until(5_000 + pause);
                start_at_the_address_of_the_gone(&mut sim, boot);
                sim.run_until(40_000 + pause);
                let description = format!("pause {pause}, boot {boot}, seed {seed}");
                for observer in (0..NODES).filter(|node| *node != GONE) {
                    let state = |member: &str| sim.nodes[observer].member(member).map(|member| member.state);
                    assert_eq!(state(&name(GONE)), Some(MemberState::Dead), "{description}");
                    assert_eq!(state(NEW_NAME), Some(MemberState::Alive), "{description}");
                }
                let returned = |event: &MembershipEvent| matches!(event, MembershipEvent::Recovered(of) if **of == *name(GONE));
                let returns = sim.events.iter().filter(|(_, _, event)| returned(event)).count();
                assert_eq!(returns, 0, "{description}");
            }
        }
    }
}

/// When the node that has gone is first suspected by another one.
fn first_suspicion(sim: &Simulation) -> u64 {
    let suspected =
        |event: &MembershipEvent| matches!(event, MembershipEvent::Suspected(of) if **of == *name(GONE));
    let suspicions = sim.events.iter().filter(|(_, node, event)| *node != GONE && suspected(event));
    suspicions.map(|(at, ..)| *at).min().expect("the node is suspected")
}

// Guards against a late detection: a probe that reaches the new node at the old address is answered by nobody.
#[test]
fn node_at_the_address_of_one_that_has_gone_does_not_delay_its_detection() {
    for seed in 1..=5 {
        let [alone, replaced] = [false, true].map(|is_replaced| {
            let mut sim = Simulation::new(NODES, seed, &GossipKeys::none());
            sim.run_until(5_000);
            sim.stopped.insert(GONE);
            if is_replaced {
                start_at_the_address_of_the_gone(&mut sim, 50_000);
            }
            sim.run_until(20_000);
            first_suspicion(&sim)
        });
        let probe_interval = GossipSettings::default().probe_interval;
        assert!(
            replaced <= alone + probe_interval,
            "seed {seed}: {replaced} ms, {alone} ms without the new node"
        );
    }
}
