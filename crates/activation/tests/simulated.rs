//! Twelve nodes over seeded time with cuts, stops, kills, stalled and lost writes, skewed clocks and a service that goes
//! away. The checker knows answers and the true time, and believes no node.

mod world;

use world::{Figures, World};

/// Steps of a seed while faults come, and after them.
const STORM: u64 = 40_000;
const CALM: u64 = 4_000;

fn run(seed: u64) -> Figures {
    let mut world = World::new(seed);
    for _ in 0..STORM {
        world.step(true);
    }
    for _ in 0..CALM {
        world.step(false);
    }
    world.ends_well();
    world.figures
}

#[test]
fn a_thousand_switches_under_faults() {
    let mut sum = Figures::default();
    for seed in 0..16 {
        let figures = run(seed);
        assert_eq!((figures.old_after_new, figures.late_sends), (0, 0), "seed {seed}: {figures:?}");
        assert_eq!((figures.hung, figures.held_too_long), (0, 0), "seed {seed}: {figures:?}");
        sum.add(&figures);
    }
    println!("{sum:?}");
    assert!(sum.switches >= 1_000, "{sum:?}");
    // Each kind of fault took part.
    assert!(
        sum.refused > 0 && sum.held > 0 && sum.ended > 0 && sum.by_choice > 0 && sum.again_old > 0,
        "{sum:?}"
    );
}

#[test]
fn the_same_seed_does_the_same() {
    assert_eq!(run(3), run(3));
}

#[test]
fn without_faults_nothing_is_refused() {
    let mut world = World::new(1);
    // The start, at which nothing is decided yet.
    (0..1_000).for_each(|_| world.step(false));
    world.figures = Figures::default();
    (0..20_000).for_each(|_| world.step(false));
    let figures = &world.figures;
    println!("{figures:?}");
    assert_eq!((figures.old_after_new, figures.refused, figures.ended), (0, 0, 0), "{figures:?}");
    assert!(figures.switches >= 40 && figures.in_doubt == 0, "{figures:?}");
    assert!(figures.spread_ms_max <= 12, "{figures:?}");
    assert!(figures.held_ms_max <= world::LIMITS.hold_for / 1_000, "{figures:?}");
}
