//! Spill-over plan: every zone serves its own demand up to a limit, and the excess goes tier by tier to the
//! free capacity of the zones in a tier. Load is balanced by demand and capacity, not by counts of healthy
//! servers, as in Traffic Director and Facebook's regional edge.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::MAX_ZONES;

/// Capacity and demand of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneLoad {
    /// Current capacity in requests per second; servers in slow start count with their current limit.
    pub capacity: f64,
    /// Demand of the zone's nodes in requests per second.
    pub demand: f64,
}

/// Limits of a spill plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpillLimits {
    /// Ratio of its capacity up to which a zone takes its own and spilled demand; above 0, at most 1.
    pub fill_ratio: f64,
    /// Maximum ratio of a zone's demand that may spill while the zone has any capacity; 0 to 1.
    pub max_spill_ratio: f64,
    /// If the capacity of all zones is below this ratio of their demand, zone preference is dropped.
    pub panic_ratio: f64,
}

impl Default for SpillLimits {
    fn default() -> Self {
        SpillLimits { fill_ratio: 0.8, max_spill_ratio: 0.5, panic_ratio: 0.5 }
    }
}

/// Distribution of each zone's demand.
#[derive(Clone, Debug, PartialEq)]
pub struct SpillPlan {
    /// `shares[from][to]`; each row sums to 1, or is all 0 if no zone has capacity.
    pub shares: Vec<Vec<f64>>,
    /// Panic mode: any server may be used, in any zone.
    pub panic: bool,
}

/// Rounds per tier: demand that a full zone rejected goes to the others of the tier in the next round.
const ROUNDS_PER_TIER: usize = 4;

/// Computes a plan. `tiers[from]` lists the other zones from near to far, one list per tier; zones beyond
/// [`MAX_ZONES`] and indices of no zone are ignored.
pub fn plan_spill(zones: &[ZoneLoad], tiers: &[Vec<Vec<usize>>], limits: &SpillLimits) -> SpillPlan {
    let count = zones.len().min(MAX_ZONES);
    let sanitize = |value: f64| if value.is_finite() { value.max(0.0) } else { 0.0 };
    let zones: Vec<ZoneLoad> = zones[..count]
        .iter()
        .map(|zone| ZoneLoad { capacity: sanitize(zone.capacity), demand: sanitize(zone.demand) })
        .collect();
    let (all_demand, all_capacity) =
        zones.iter().fold((0.0, 0.0), |(demand, capacity), z| (demand + z.demand, capacity + z.capacity));
    let panic = all_capacity < limits.panic_ratio * all_demand;
    let mut sent = vec![vec![0.0; count]; count];
    let mut free: Vec<f64> = zones.iter().map(|zone| zone.capacity * limits.fill_ratio).collect();
    let mut unplaced: Vec<f64> = zones.iter().map(|zone| zone.demand).collect();
    for zone in 0..count {
        let own_demand = unplaced[zone].min(free[zone]);
        (sent[zone][zone], unplaced[zone], free[zone]) =
            (own_demand, unplaced[zone] - own_demand, free[zone] - own_demand);
    }
    // Demand that a zone may still spill.
    let mut spill_allowance: Vec<f64> = zones
        .iter()
        .map(|zone| if zone.capacity > 0.0 { zone.demand * limits.max_spill_ratio } else { zone.demand })
        .collect();
    let tier_count = tiers.iter().map(Vec::len).max().unwrap_or(0);
    for tier in 0..tier_count {
        for _ in 0..ROUNDS_PER_TIER {
            fill_tier(tier, tiers, &mut sent, &mut free, &mut unplaced, &mut spill_allowance);
        }
    }
    for zone in 0..count {
        // Unplaced demand stays if its zone has any capacity, and otherwise goes to the others by capacity.
        if unplaced[zone] <= 0.0 {
            continue;
        }
        if zones[zone].capacity > 0.0 {
            sent[zone][zone] += unplaced[zone];
        } else if all_capacity > 0.0 {
            for to in 0..count {
                sent[zone][to] += unplaced[zone] * zones[to].capacity / all_capacity;
            }
        }
    }
    let row = |zone: usize| {
        let sum: f64 = sent[zone].iter().sum();
        match sum > 0.0 {
            true => sent[zone].iter().map(|share| share / sum).collect(),
            // Without demand, keys stay in a zone with capacity, and otherwise go by capacity.
            false if zones[zone].capacity > 0.0 => {
                (0..count).map(|to| f64::from(u8::from(to == zone))).collect()
            }
            false if all_capacity > 0.0 => zones.iter().map(|zone| zone.capacity / all_capacity).collect(),
            false => vec![0.0; count],
        }
    };
    SpillPlan { shares: (0..count).map(row).collect(), panic }
}

/// One round of a tier: each zone requests free capacity from the zones of its tier in proportion to it; a
/// zone with more requests than free capacity grants each request in proportion.
fn fill_tier(
    tier: usize,
    tiers: &[Vec<Vec<usize>>],
    sent: &mut [Vec<f64>],
    free: &mut [f64],
    unplaced: &mut [f64],
    spill_allowance: &mut [f64],
) {
    let count = free.len();
    let mut requested = vec![vec![0.0; count]; count];
    for from in 0..count {
        let Some(neighbours) = tiers.get(from).and_then(|tiers| tiers.get(tier)) else { continue };
        let neighbours = || neighbours.iter().copied().filter(|to| *to < count && *to != from);
        let total_free: f64 = neighbours().map(|to| free[to]).sum();
        let spill = unplaced[from].min(spill_allowance[from]);
        if total_free <= 0.0 || spill <= 0.0 {
            continue;
        }
        for to in neighbours() {
            requested[from][to] = spill.min(total_free) * free[to] / total_free;
        }
    }
    for to in 0..count {
        let total_requested: f64 = (0..count).map(|from| requested[from][to]).sum();
        let granted_ratio = if total_requested > free[to] { free[to] / total_requested } else { 1.0 };
        for from in 0..count {
            let amount = requested[from][to] * granted_ratio;
            sent[from][to] += amount;
            free[to] = (free[to] - amount).max(0.0);
            unplaced[from] = (unplaced[from] - amount).max(0.0);
            spill_allowance[from] = (spill_allowance[from] - amount).max(0.0);
        }
    }
}

/// Maps the hash of a key to a number in [0, 1).
fn unit_hash(key: u64, seed: u64) -> f64 {
    (xxh3_64_with_seed(&key.to_le_bytes(), seed) >> 11) as f64 / (1u64 << 53) as f64
}

/// Zone for a key of `home`, by a row of a plan; `None` if the row is empty. A rank per key decides whether
/// it stays, so the last keys to spill return first. Weighted rendezvous hashing (Thaler, Ravishankar 1998;
/// Schindelhauer, Schomaker 2005) places spilled keys: a changed share moves no key between two others.
pub fn zone_of(key: u64, home: usize, row: &[f64]) -> Option<usize> {
    let home_share = row.get(home).copied().unwrap_or(0.0);
    if home_share > 0.0 && unit_hash(key, 0x7a6f_6e65) < home_share {
        return Some(home);
    }
    let score = |(zone, share): (usize, &f64)| {
        let random = unit_hash(key, 0x5f00 + zone as u64).max(f64::MIN_POSITIVE);
        (zone, -random.ln() / share)
    };
    let others = row.iter().enumerate().filter(|(zone, share)| *zone != home && **share > 0.0);
    let best = others.map(score).min_by(|a, b| a.1.total_cmp(&b.1));
    best.map(|(zone, _)| zone).or((home_share > 0.0).then_some(home))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn load(capacity: f64, demand: f64) -> ZoneLoad {
        ZoneLoad { capacity, demand }
    }

    /// For each zone, one tier with all the others.
    fn flat(count: usize) -> Vec<Vec<Vec<usize>>> {
        (0..count).map(|from| vec![(0..count).filter(|to| *to != from).collect()]).collect()
    }

    #[test]
    fn zones_with_capacity_keep_their_own_demand() {
        let plan = plan_spill(&[load(100.0, 70.0), load(100.0, 80.0)], &flat(2), &SpillLimits::default());
        assert_eq!(plan.shares, [[1.0, 0.0], [0.0, 1.0]]);
        assert!(!plan.panic);
    }

    #[test]
    fn lost_zone_spills_by_the_free_capacity_of_the_others() {
        let zones = [load(0.0, 60.0), load(100.0, 50.0), load(100.0, 20.0)];
        let plan = plan_spill(&zones, &flat(3), &SpillLimits::default());
        // The free capacities are 30 and 60.
        assert!((plan.shares[0][1] - 1.0 / 3.0).abs() < 1e-9, "{plan:?}");
        assert!((plan.shares[0][2] - 2.0 / 3.0).abs() < 1e-9 && plan.shares[1][1] == 1.0);
        // Near zones come first.
        let tiers = vec![vec![vec![1], vec![2]], vec![], vec![]];
        let plan = plan_spill(&zones, &tiers, &SpillLimits::default());
        assert!((plan.shares[0][1] - 0.5).abs() < 1e-9 && (plan.shares[0][2] - 0.5).abs() < 1e-9, "{plan:?}");
    }

    #[test]
    fn spill_is_limited_and_panic_is_reported() {
        let zones = [load(10.0, 100.0), load(1_000.0, 10.0)];
        let plan = plan_spill(&zones, &flat(2), &SpillLimits::default());
        assert!((plan.shares[0][1] - 0.5).abs() < 1e-9, "{plan:?}");
        assert!(plan_spill(&[load(10.0, 50.0), load(10.0, 50.0)], &flat(2), &SpillLimits::default()).panic);
        // Without any capacity the shares are empty, and there is no error.
        let none = plan_spill(&[load(0.0, 5.0), load(f64::NAN, -1.0)], &flat(2), &SpillLimits::default());
        assert_eq!((none.shares, none.panic), (vec![vec![0.0; 2]; 2], true));
        assert_eq!(zone_of(7, 0, &[0.0, 0.0]), None);
        // A node whose own zone has no servers from the start.
        let plan = plan_spill(&[load(0.0, 0.0), load(10.0, 0.0)], &flat(2), &SpillLimits::default());
        assert_eq!(plan.shares[0], [0.0, 1.0]);
    }

    #[test]
    fn last_keys_to_spill_return_first() {
        let zones_at = |home: f64| -> Vec<usize> {
            let rest = (1.0 - home) / 2.0;
            (0..20_000).map(|key| zone_of(key, 0, &[home, rest, rest]).unwrap()).collect()
        };
        let (at_high_share, at_half_share, at_low_share) = (zones_at(0.8), zones_at(0.5), zones_at(0.2));
        let home_share = |zones: &[usize]| zones.iter().filter(|zone| **zone == 0).count() as f64 / 20_000.0;
        assert!(
            (home_share(&at_high_share) - 0.8).abs() < 0.02 && (home_share(&at_low_share) - 0.2).abs() < 0.02
        );
        for key in 0..20_000 {
            // A key that stays at a lower share stays at a higher one; keys that spill at both shares keep
            // their zone.
            assert!(at_low_share[key] != 0 || (at_half_share[key] == 0 && at_high_share[key] == 0));
            assert!(
                at_high_share[key] == 0
                    || (at_half_share[key] == at_high_share[key] && at_low_share[key] == at_high_share[key])
            );
        }
    }

    proptest! {
        // Rows sum to 1 or are empty, no zone is filled beyond its limit by what spills into it, and a zone
        // with capacity spills no more than its limit.
        #[test]
        fn shares_keep_the_limits(loads in prop::collection::vec((0.0f64..1e4, 0.0f64..1e4), 1..6), lost_zone in 0usize..7) {
            let mut zones: Vec<ZoneLoad> = loads.iter().map(|(c, d)| load(*c, *d)).collect();
            if let Some(lost) = zones.get_mut(lost_zone) {
                lost.capacity = 0.0;
            }
            let limits = SpillLimits::default();
            let plan = plan_spill(&zones, &flat(zones.len()), &limits);
            let all: f64 = zones.iter().map(|zone| zone.capacity).sum();
            let demand: f64 = zones.iter().map(|zone| zone.demand).sum();
            for (zone, row) in plan.shares.iter().enumerate() {
                let sum: f64 = row.iter().sum();
                prop_assert!((sum - 1.0).abs() < 1e-6 || (all == 0.0 && sum == 0.0));
                if zones[zone].capacity > 0.0 {
                    prop_assert!(1.0 - row[zone] <= limits.max_spill_ratio + 1e-6);
                }
            }
            for to in 0..zones.len() {
                let into: f64 = (0..zones.len())
                    .filter(|from| *from != to)
                    .map(|from| plan.shares[from][to] * zones[from].demand)
                    .sum();
                let own_demand = plan.shares[to][to] * zones[to].demand;
                let fill_limit = zones[to].capacity * limits.fill_ratio;
                // If all capacity is too small, the demand of a zone without servers goes to the others.
                if demand < limits.fill_ratio * all * 0.5 && zones.iter().all(|zone| zone.capacity > 0.0) {
                    prop_assert!(into <= (fill_limit - own_demand).max(0.0) + 1e-6 * demand.max(1.0), "{into} into {to}");
                }
            }
        }
    }
}
