//! Tests that the platform's node tells servers apart by their names, although the hashes of the names are equal: what
//! it learns of one server is never applied to another, and nodes with one list send a key to the same server,
//! whatever they have known before.

mod common;

use std::net::TcpStream;

use common::*;
use serde_json::{json, Value};

/// Names with one hash, a name whose hash is the seeded hash of the first one, and a name with another hash.
const NAMES: [&str; 5] = ["s-29012632", "s-1b0f6aeb", "s-4b22d754", "s-13f4328a", "s-9a3f5510"];
/// Keys that are compared between two nodes.
const KEYS: usize = 200;

/// A node that starts with servers of these names, with its watch on discovery.
fn start_node(registry_mode: &str) -> (TestNode, TcpStream) {
    let mut test_node = TestNode::with_settings(NAMES.len(), json!({"sockets": 256}), |settings| {
        settings["registry-mode"] = json!(registry_mode)
    });
    for (member, name) in test_node.members.iter_mut().zip(NAMES) {
        member["id"] = json!(name);
    }
    test_node.next_watch();
    restart_node(&mut test_node, 50);
    let (_, watch) = test_node.next_watch();
    (test_node, watch)
}

/// Replaces the node by a new process that starts with the current members.
fn restart_node(test_node: &mut TestNode, revision: u64) {
    test_node.config["known"] = json!({"revision": revision, "complete": true, "members": test_node.members});
    test_node.node = NodeProcess::start(&test_node.config);
}

/// A line of a watch.
fn line(revision: u64, complete: bool, members: Vec<Value>) -> String {
    json!({"revision": revision, "complete": complete, "members": members}).to_string() + "\n"
}

/// The entry of a server in another phase.
fn in_phase(test_node: &TestNode, server: usize, phase: &str) -> Value {
    let mut member = test_node.members[server].clone();
    member["phase"] = json!(phase);
    member
}

/// Waits until exactly these servers receive requests.
fn wait_until_used(test_node: &TestNode, servers: &[usize]) {
    wait_until(&format!("the servers {servers:?} are used"), || test_node.servers_in_use() == servers);
}

/// Returns the server that each key is sent to.
fn servers_of_keys(test_node: &TestNode) -> Vec<usize> {
    let server_of = |n| {
        test_node.received_requests();
        let reply = test_node.send_raw(&request_with_key(&format!("key-{n}"), "look", &new_id(), 60_000));
        assert_eq!(reply.status(), 200);
        test_node.received_requests()[0].0
    };
    (0..KEYS).map(server_of).collect()
}

// Guards against a drain that is recorded for a server that has gone, because both names have the same hash.
#[test]
fn server_drains_after_another_one_with_the_same_hash_ended() {
    for (registry_mode, [ended, first, second]) in [
        ("ask", [0, 1, 2]),
        ("ask", [1, 0, 2]),
        ("ask", [2, 1, 0]),
        ("push", [0, 2, 1]),
        ("push", [1, 2, 0]),
        ("push", [2, 0, 1]),
    ] {
        let (test_node, mut watch) = start_node(registry_mode);
        let mut in_use = vec![0, 1, 2, 3, 4];
        wait_until_used(&test_node, &in_use);
        for (revision, server, phase) in
            [(51, ended, "terminated"), (52, first, "terminating"), (53, second, "terminating")]
        {
            write_chunk(&mut watch, &line(revision, false, vec![in_phase(&test_node, server, phase)]));
            in_use.retain(|other| *other != server);
            wait_until_used(&test_node, &in_use);
        }
        // The server that returns is not taken for one of those that drain.
        write_chunk(&mut watch, &line(54, false, vec![in_phase(&test_node, ended, "in_service")]));
        in_use.insert(0, ended);
        wait_until_used(&test_node, &in_use);
    }
}

// Guards against tables that differ between nodes with the same list, because the nodes have known other servers with
// the same hashes before: keys would move when a node restarts.
#[test]
fn nodes_with_one_list_and_other_histories_send_a_key_to_the_same_server() {
    let (mut test_node, mut watch) = start_node("ask");
    let mut in_use = vec![0, 1, 2, 3, 4];
    wait_until_used(&test_node, &in_use);
    for (revision, server, phase) in [
        (51, 3, "terminated"),
        (52, 1, "terminated"),
        (53, 1, "in_service"),
        (54, 0, "terminated"),
        (55, 3, "in_service"),
    ] {
        write_chunk(&mut watch, &line(revision, false, vec![in_phase(&test_node, server, phase)]));
        in_use.retain(|other| *other != server);
        if phase == "in_service" {
            in_use.push(server);
            in_use.sort_unstable();
        }
        wait_until_used(&test_node, &in_use);
    }
    let expected = servers_of_keys(&test_node);
    test_node.members.remove(0);
    for order in ["as before", "reversed"] {
        restart_node(&mut test_node, 55);
        let actual = servers_of_keys(&test_node);
        let moved = expected.iter().zip(&actual).filter(|(expected, actual)| expected != actual).count();
        assert_eq!(moved, 0, "of {KEYS} keys at a node that starts with the servers in the order {order}");
        test_node.members.reverse();
    }
}
