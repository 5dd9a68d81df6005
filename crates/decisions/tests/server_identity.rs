//! Servers whose ids have the same hash: they are told apart by their names, and the table does not depend on what a
//! node has known before.

mod common;

use std::collections::BTreeMap;

use common::*;
use woodgap_decisions::brain::build_table;
use woodgap_decisions::*;

/// Number of different hashes of the servers, few enough that each is the hash of several.
const HASHES: u32 = 2;
const SERVERS: u32 = 8;

/// Entry of one of the [`SERVERS`].
fn entry(server: u32, state: ServerState) -> ListedServer {
    let id = ServerId::with_table_hash(&format!("s-{server}"), server % HASHES);
    ListedServer { server: id, state, ..listed_server(server) }
}

#[test]
fn ids_are_equal_only_if_their_names_are() {
    let (first, second) = (ServerId::with_table_hash("a", 7), ServerId::with_table_hash("b", 7));
    assert!(first != second && first < second);
    assert_eq!(first, ServerId::with_table_hash("a", 7));
    assert_ne!(ServerId::new("s-29012632"), ServerId::new("s-1b0f6aeb"));
    assert_eq!(ServerId::new("s-29012632").table_hash(), ServerId::new("s-1b0f6aeb").table_hash());
    assert_eq!((ServerId::from_number(7).name(), ServerId::from_number(7).table_hash()), ("7", 7));
}

// Guards against a table that depends on the order of the list, if the hashes of the ids do not order the servers.
#[test]
fn table_of_servers_with_one_hash_does_not_depend_on_list_order() {
    let id = |server: u32| ServerId::with_table_hash(&format!("s-{server}"), 7);
    let servers: Vec<(ServerId, f64)> =
        (0..6).map(|server| (id(server), 1.0 + f64::from(server % 3))).collect();
    let owners = |servers: &[(ServerId, f64)]| -> Vec<ServerId> {
        build_table(servers).iter().map(|&index| servers[index as usize].0.clone()).collect()
    };
    let expected = owners(&servers);
    let mut reordered = servers.clone();
    for _ in 0..servers.len() {
        reordered.rotate_left(1);
        assert!(owners(&reordered) == expected);
    }
    reordered.reverse();
    assert!(owners(&reordered) == expected);
    for (server, weight) in &servers {
        let owned = expected.iter().filter(|owner| *owner == server).count() as f64;
        let share = weight / servers.iter().map(|(_, weight)| weight).sum::<f64>();
        assert!(
            (owned / expected.len() as f64 - share).abs() < 0.02,
            "{server}: {owned} slots, share {share:.2}"
        );
    }
}

/// Sends requests for 60 keys, and returns their servers.
fn route_keys(node: &mut Node, first_request: u64) -> Vec<ServerId> {
    let route = |key| {
        let server = node.route_request(first_request + key, SAFE, key);
        node.close_attempt(first_request + key, 0, &server, Outcome::Ok);
        server
    };
    (0..60).map(route).collect()
}

// Guards against a drain, an end or a return that is applied to another server with the same hash, and against a routing
// that depends on a node's history.
#[test]
fn node_with_any_history_routes_like_a_new_node_with_its_list() {
    use ServerState::{InService, Terminated, Terminating};
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut listed: BTreeMap<u32, ServerState> = (0..SERVERS).map(|server| (server, InService)).collect();
        let list = |listed: &BTreeMap<u32, ServerState>| -> Vec<ListedServer> {
            listed.iter().map(|(&server, &state)| entry(server, state)).collect()
        };
        let mut node = Node::new(settings(), list(&listed));
        for step in 1..=30 {
            if rng.u8(..4) == 0 {
                listed = (0..SERVERS).filter(|_| rng.bool()).map(|server| (server, InService)).collect();
                listed.entry(rng.u32(..SERVERS)).or_insert(Terminating);
                let mut entries = list(&listed);
                rng.shuffle(&mut entries);
                node.sync(SyncKind::Full, entries);
            } else {
                let (server, state) =
                    (rng.u32(..SERVERS), [InService, Terminating, Terminated][rng.usize(..3)]);
                listed.insert(server, state);
                listed.retain(|_, state| *state != Terminated);
                node.sync(SyncKind::Delta, vec![entry(server, state)]);
            }
            if !listed.values().any(|state| *state == InService) {
                continue;
            }
            let servers = route_keys(&mut node, step * 1_000);
            let in_service =
                |id: &ServerId| list(&listed).iter().any(|e| e.server == *id && e.state == InService);
            assert!(servers.iter().all(in_service), "seed {seed}, step {step}");
            let mut new_node = Node::new(settings(), list(&listed));
            assert_eq!(servers, route_keys(&mut new_node, 0), "seed {seed}, step {step}");
        }
    }
}
