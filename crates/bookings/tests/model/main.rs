//! Random calendars against a plain model: sums, minute by minute, of what the book's list says.

mod minutes;
mod ops;
mod step;

use std::cell::Cell;

use minutes::{capacity, live, sums, takes, Sums, DAY};
use ops::{op, rule, scene, Op};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use step::step;
use woodgap_bookings::*;

const M: Micros = 60_000_000;
/// Minutes that stand.
const SPREAD: u64 = 2;
const HORIZON: u64 = 90;
const GROUPS: [&str; 2] = ["g", "h"];
const ALLOWANCE: Allowance = Allowance { bookings: 6, slots: 30, highest_rank: 2 };

/// Nodes whose clocks know the moment as other intervals: together they never give more than there is.
fn skewed(book: &Book, minute: u64, firm: &Sums) -> Result<(), TestCaseError> {
    let entitled: Vec<&Booking> = live(book).filter(|booking| booking.phase != Phase::Held).collect();
    for (nth, group) in GROUPS.iter().enumerate() {
        let mut given = 0;
        for tenant in 0..4 {
            let (name, at) = (format!("t{tenant}"), minute * M + M / 2);
            let node = Interval::new(at - minute.min(tenant) * M, at + (tenant * 7 + minute) % 5 * M);
            let gives = book.entitlement(group, &name, node);
            let own = entitled.iter().filter(|booking| booking.tenant == name);
            let wants: u32 = own.map(|booking| takes((&booking.parts, &booking.window), group, minute)).sum();
            prop_assert!(gives <= wants, "{} of {} at {}", gives, wants, minute);
            given += gives;
        }
        prop_assert!(given <= firm[nth][minute as usize]);
    }
    Ok(())
}

fn entitled_near(book: &Book, now: u64) -> Vec<Vec<u32>> {
    let of = |tenant: u8| {
        let name = format!("t{tenant}");
        let sums = sums(live(book).filter(|booking| booking.phase != Phase::Held && booking.tenant == name));
        sums[..2].iter().flat_map(|sums| sums[now as usize..(now + SPREAD) as usize].to_vec()).collect()
    };
    (0..4).map(of).collect()
}

#[test]
fn ten_thousand_calendars_are_as_the_minutes_say() {
    let overbooked_moments = Cell::new(0_u64);
    let moments = Cell::new(0_u64);
    let config = ProptestConfig {
        cases: 10_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(30),
        ..ProptestConfig::default()
    };
    proptest!(config, |(rules in (rule(), rule()), ops in proptest::collection::vec(op(), 4..14))| {
        let settings = Settings {
            allowance: ALLOWANCE,
            horizon: HORIZON * M,
            longest: HORIZON * M,
            longest_hold: 20 * M,
            spread: SPREAD * M,
            mend: 30 * M,
            ranks: vec![Rank { notice: 20 * M }, Rank { notice: 10 * M }, Rank { notice: 0 }],
            ..Settings::default()
        };
        let groups = [("g".to_owned(), rules.0), ("h".to_owned(), rules.1)].into();
        let book = Book::new(Setup { settings, groups }).unwrap();
        let (mut book, _) = book.settle(0, &scene(0, 0, 0, false)).unwrap();
        let mut now = 0;
        for (nth, op) in ops.into_iter().enumerate() {
            match op {
                Op::Servers { gone, from, until, dead } => {
                    book = book.settle(now * M, &scene(gone, now + from, now + until, dead)).unwrap().0;
                }
                Op::Pass { minutes } => {
                    now += minutes;
                    book = book.settle(now * M, &Scene::default()).unwrap().0;
                }
                op => {
                    // What time alone does, before the command.
                    let (before, _) = book.settle(now * M, &Scene::default()).unwrap();
                    book = step(&before, op, nth.to_string(), now)?;
                    let (old, new, can) = (sums(live(&before)), sums(live(&book)), capacity(&book));
                    let past = now as usize;
                    for (group, name) in GROUPS.iter().enumerate() {
                        for minute in past..DAY {
                            let (most, is) = (can[1][group][minute], new[group][minute]);
                            let over = is > most && is > old[group][minute];
                            overbooked_moments.set(overbooked_moments.get() + u64::from(over));
                            moments.set(moments.get() + 1);
                            prop_assert!(!over, "{} of {} in {} at {}", is, most, name, minute);
                            prop_assert_eq!(book.load(name, minute as u64 * M), Some((most, is)));
                        }
                    }
                    prop_assert_eq!(entitled_near(&before, now), entitled_near(&book, now));
                    for at in [now, now + 1, now + 9, now + 23] {
                        skewed(&book, at, &can[0])?;
                    }
                }
            }
        }
        let read = Book::read(&book.write()).unwrap();
        prop_assert_eq!(&read, &book);
        let loads = |book: &Book| (0..DAY as u64).map(|at| book.load("g", at * M)).collect::<Vec<_>>();
        prop_assert_eq!(loads(&read), loads(&book));
    });
    println!("overbooked_moments {} of {}", overbooked_moments.get(), moments.get());
    assert_eq!(overbooked_moments.get(), 0);
    assert!(moments.get() > 1_000_000);
}
