//! Tests that servers whose names have the same hash are told apart.

use super::tests::{server_list, servers_with};
use super::*;

/// Names with the same hash.
const NAMES: [&str; 3] = ["s-29012632", "s-1b0f6aeb", "s-4b22d754"];
/// Age of all servers when the node starts.
const AGE: Duration = Duration::from_secs(60);
/// Time between the lists.
const STEP: Duration = Duration::from_secs(5);

/// A change of one server's state. Each server has a port of its own.
fn change(server: usize, state: ServerState) -> ServerList {
    let addr = SocketAddr::from(([127, 0, 0, 1], 9_000 + server as u16));
    let mut list = server_list(addr, state, false);
    list.entries[0].id = NAMES[server].to_owned();
    list
}

// Guards against a server that is recorded as another one with the same hash once that one has ended.
#[tokio::test(start_paused = true)]
async fn drain_of_a_server_is_recorded_for_it_after_another_one_with_its_hash_ended() {
    let servers = servers_with(8);
    let ids: Vec<ServerId> = (0..NAMES.len())
        .map(|server| servers.apply_list(&change(server, ServerState::InService)).1[0].server.clone())
        .collect();
    servers.apply_list(&change(0, ServerState::Terminated));
    let (_, members) = servers.apply_list(&change(1, ServerState::Terminating));
    assert_eq!(members[0].server, ids[1]);
    tokio::time::advance(servers.drain_grace()).await;
    let is_eligible = |id: &ServerId| servers.eligible_addr(id).is_some();
    assert_eq!(ids.iter().map(is_eligible).collect::<Vec<_>>(), [false, false, true]);
}

// Guards against a slow start that is skipped: the age of a server that ended is not that of another one with its hash.
#[tokio::test(start_paused = true)]
async fn server_does_not_inherit_the_start_time_of_one_with_its_hash() {
    let servers = servers_with(8);
    let up_since = servers.clock().now() - AGE.as_micros() as Micros;
    let list = |server, state| {
        let mut list = change(server, state);
        list.entries[0].up_since_ms = up_since / 1_000;
        servers.apply_list(&list).1[0].started_at
    };
    // The first list shows servers from before this process, whose age the wall clock tells.
    let started = list(0, ServerState::InService);
    assert_eq!(started, up_since / 1_000 * 1_000);
    list(0, ServerState::Terminated);
    tokio::time::advance(STEP).await;
    let other_started = list(1, ServerState::InService);
    assert!(other_started > started, "of a server that is listed later only {STEP:?} are certain");
    assert_eq!(list(0, ServerState::InService), started, "it returns without a restart");
}
