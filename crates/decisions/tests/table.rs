//! The Maglev table: what nodes must agree on, and how few slots a change of the fleet moves.

use woodgap_decisions::brain::{build_table, TABLE_SLOTS};
use woodgap_decisions::ServerId;

fn fleet(n: u32) -> Vec<(ServerId, f64)> {
    (0..n).map(|i| (ServerId::from_number(i * 7919 + 13), [1.0, 2.0, 0.5][i as usize % 3])).collect()
}

fn owners(servers: &[(ServerId, f64)]) -> Vec<ServerId> {
    build_table(servers).iter().map(|&i| servers[i as usize].0.clone()).collect()
}

#[test]
fn table_does_not_depend_on_list_order() {
    let servers = fleet(40);
    let mut reordered = servers.clone();
    reordered.reverse();
    reordered.swap(3, 17);
    assert_eq!(owners(&servers), owners(&reordered));
}

#[test]
fn slots_are_distributed_by_weight() {
    for n in [3, 30, 200] {
        let servers = fleet(n);
        let table = owners(&servers);
        assert_eq!(table.len(), TABLE_SLOTS);
        let total: f64 = servers.iter().map(|server| server.1).sum();
        for (id, weight) in &servers {
            let expected = weight / total * TABLE_SLOTS as f64;
            let owned = table.iter().filter(|owner| *owner == id).count() as f64;
            assert!(
                (owned - expected).abs() <= 0.02 * expected + 2.0,
                "{id:?} of {n}: {owned}, expected {expected}"
            );
        }
    }
}

#[test]
fn removing_a_server_moves_few_slots_of_others() {
    let servers = fleet(60);
    let before = owners(&servers);
    let removed = servers[21].0.clone();
    let after = owners(&servers.iter().filter(|server| server.0 != removed).cloned().collect::<Vec<_>>());
    let own_slots = before.iter().filter(|owner| **owner == removed).count();
    let moved_slots = before.iter().zip(&after).filter(|(b, a)| **b != removed && b != a).count();
    assert!(own_slots > 0 && !after.contains(&removed));
    assert!(moved_slots < TABLE_SLOTS / 30, "{moved_slots} slots of others moved, {own_slots} had to");
}

#[test]
fn table_matches_golden_values() {
    let table = owners(&fleet(5));
    let actual: Vec<u32> =
        [0, 1, 100, 5_000, 16_380].iter().map(|&s: &usize| table[s].table_hash()).collect();
    assert_eq!(actual, GOLDEN);
}

/// Nodes of different builds must agree; a change of these values would split keys between them.
const GOLDEN: [u32; 5] = [13, 13, 7932, 13, 31689];

#[test]
fn empty_fleet_has_an_empty_table() {
    assert!(build_table(&[]).is_empty());
}
