//! The table: what nodes must agree on, and what a change of the fleet may move.

use woodgap_decisions::brain::{build_table, TABLE_SLOTS};
use woodgap_decisions::ServerId;

fn fleet(n: u32) -> Vec<(ServerId, f64)> {
    (0..n).map(|i| (ServerId(i * 7919 + 13), [1.0, 2.0, 0.5][i as usize % 3])).collect()
}

fn owners(servers: &[(ServerId, f64)]) -> Vec<ServerId> {
    build_table(servers).iter().map(|&i| servers[i as usize].0).collect()
}

#[test]
fn does_not_depend_on_list_order() {
    let servers = fleet(40);
    let mut turned = servers.clone();
    turned.reverse();
    turned.swap(3, 17);
    assert_eq!(owners(&servers), owners(&turned));
}

#[test]
fn fills_evenly_by_weight() {
    for n in [3, 30, 200] {
        let servers = fleet(n);
        let table = owners(&servers);
        assert_eq!(table.len(), TABLE_SLOTS);
        let total: f64 = servers.iter().map(|s| s.1).sum();
        for (id, size) in &servers {
            let due = size / total * TABLE_SLOTS as f64;
            let owned = table.iter().filter(|o| *o == id).count() as f64;
            assert!((owned - due).abs() <= 0.02 * due + 2.0, "{id:?} of {n}: {owned}, due {due}");
        }
    }
}

#[test]
fn one_server_less_moves_its_slots_and_few_others() {
    let servers = fleet(60);
    let before = owners(&servers);
    let gone = servers[21].0;
    let after = owners(&servers.iter().copied().filter(|s| s.0 != gone).collect::<Vec<_>>());
    let own = before.iter().filter(|o| **o == gone).count();
    let others = before.iter().zip(&after).filter(|(b, a)| **b != gone && b != a).count();
    assert!(own > 0 && !after.contains(&gone));
    assert!(others < TABLE_SLOTS / 30, "{others} slots of others moved, {own} had to");
}

#[test]
fn golden_values_pin_the_hashes() {
    let table = owners(&fleet(5));
    let seen: Vec<u32> = [0, 1, 100, 5_000, 16_380].iter().map(|&s: &usize| table[s].0).collect();
    assert_eq!(seen, GOLDEN);
}

/// Nodes on different builds must agree: a change here splits keys between them.
const GOLDEN: [u32; 5] = [13, 13, 7932, 13, 31689];

#[test]
fn an_empty_fleet_has_no_table() {
    assert!(build_table(&[]).is_empty());
}
