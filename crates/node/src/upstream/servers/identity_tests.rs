//! Tests that servers whose names have the same hash are told apart.

use std::collections::BTreeMap;

use super::tests::{server_list, servers_with};
use super::*;
use crate::sources::merged_sources::{trusting_limits, MergedSources};

/// Three names with the same hash, two whose hashes are seeded hashes of the first ones, and one with another hash.
const NAMES: [&str; 6] = ["s-29012632", "s-1b0f6aeb", "s-4b22d754", "s-13f4328a", "s-3f8092be", "s-9a3f5510"];
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
    let ids: Vec<ServerId> = (0..3)
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

/// The lists of a platform's node: its known list, then those of discovery.
struct ListedNode {
    sources: MergedSources,
    servers: Rc<Servers>,
}

impl ListedNode {
    fn new(known: &ServerList) -> ListedNode {
        let mut sources = MergedSources::new("discovery", trusting_limits());
        let servers = servers_with(8);
        sources.apply_list(known);
        servers.apply_list(known);
        ListedNode { sources, servers }
    }

    fn apply_list(&mut self, list: &ServerList) {
        self.servers.apply_list(&self.sources.apply_and_filter(list));
    }

    /// The servers that the node knows, and whether each may be sent new requests after the grace.
    async fn eligible_servers(&self) -> Vec<(ServerId, bool)> {
        tokio::time::advance(self.servers.drain_grace()).await;
        let ids = self.servers.server_statuses().into_iter().map(|(id, _)| id);
        ids.map(|id| (id.clone(), self.servers.eligible_addr(&id).is_some())).collect()
    }
}

// Guards against servers that a node knows under other ids, or in another state, than a node that starts with its list:
// the table is built from the ids.
#[tokio::test(start_paused = true)]
async fn node_with_any_history_of_lists_knows_the_servers_of_a_new_node() {
    use ServerState::{InService, Terminated, Terminating};
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let complete_list = |states: &BTreeMap<usize, ServerState>, rng: &mut fastrand::Rng| {
            let mut entries: Vec<_> =
                states.iter().flat_map(|(&server, &state)| change(server, state).entries).collect();
            rng.shuffle(&mut entries);
            ServerList { complete: true, entries, ..ServerList::default() }
        };
        let mut states: BTreeMap<usize, ServerState> =
            (0..NAMES.len()).map(|server| (server, InService)).collect();
        let mut node = ListedNode::new(&complete_list(&states, &mut rng));
        for step in 0..40 {
            if rng.u8(..4) == 0 {
                states = (0..NAMES.len()).filter(|_| rng.bool()).map(|server| (server, InService)).collect();
                node.apply_list(&complete_list(&states, &mut rng));
            } else {
                let (server, state) =
                    (rng.usize(..NAMES.len()), [InService, Terminating, Terminated][rng.usize(..3)]);
                states.insert(server, state);
                states.retain(|_, state| *state != Terminated);
                node.apply_list(&change(server, state));
            }
            let actual = node.eligible_servers().await;
            let expected =
                states.iter().map(|(&server, &state)| (ServerId::new(NAMES[server]), state == InService));
            let mut expected: Vec<_> = expected.collect();
            expected.sort_by(|(a, _), (b, _)| a.name().cmp(b.name()));
            assert_eq!(actual, expected, "seed {seed}, step {step}");
            let new_node = ListedNode::new(&complete_list(&states, &mut rng));
            assert_eq!(new_node.eligible_servers().await, actual, "seed {seed}, step {step}");
        }
    }
}
