//! Behavior of a hosted node that does not depend on the protocols: each test runs for all four
//! combinations of HTTP/1.1 and HTTP/3 from clients and to servers.

#[path = "suite/helpers.rs"]
mod helpers;
#[path = "suite/limits.rs"]
mod limits;
#[path = "suite/servers.rs"]
mod servers;
#[path = "suite/tenant_changes.rs"]
mod tenant_changes;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use woodgap_testkit::admin::{tenant_spec, Admin, Precondition};
use woodgap_testkit::backend::{duplicate_effects, Backend, ServerBehavior};
use woodgap_testkit::client::{ClientRequest, ClientResponse};
use woodgap_testkit::outcomes;
use woodgap_testkit::protocol_pair::{backend_document, Listener, ProtocolPair, ProtocolTestNode};
use woodgap_testkit::{wait_until, DEFAULT_TIMEOUT};

use helpers::*;
use limits::*;
use servers::*;
use tenant_changes::*;

const SERVE_AT_ONCE: ServerBehavior = ServerBehavior::Serve(Duration::ZERO);
const LONG_DEADLINE: Duration = Duration::from_secs(20);

macro_rules! for_each_protocol_pair {
    ($names:tt) => {
        for_each_protocol_pair!(h1_to_h1, 0, $names);
        for_each_protocol_pair!(h1_to_h3, 1, $names);
        for_each_protocol_pair!(h3_to_h1, 2, $names);
        for_each_protocol_pair!(h3_to_h3, 3, $names);
    };
    ($module:ident, $index:expr, [$($name:ident,)*]) => {
        mod $module {
            $(
                #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
                async fn $name() {
                    super::$name(super::ProtocolPair::ALL[$index]).await;
                }
            )*
        }
    };
}

for_each_protocol_pair!([
    tenant_deleted_with_open_requests_answers_each_once_and_leaves_nothing,
    server_moved_to_another_tenant_receives_only_its_requests,
    server_removed_and_added_again_counts_as_a_new_process,
    tenant_recreated_under_the_same_name_shares_nothing_with_the_old_one,
    change_of_classes_under_load_loses_no_request,
    unused_pool_is_stopped_and_started_again,
    quiet_tenant_is_served_while_another_uses_all_it_may,
    late_response_of_the_only_server_is_awaited,
    quota_is_enforced_with_a_retry_after,
    tenants_are_unchanged_after_a_restart,
    request_whose_body_arrives_after_the_delete_is_rejected,
    request_of_a_disconnected_client_is_cancelled,
    request_is_answered_by_its_deadline,
    draining_server_finishes_and_receives_no_new_requests,
    server_with_a_closed_port_fails_no_request,
    stopping_node_finishes_accepted_requests,
]);

// For each way in which a server may treat a request, the responses, attempts and effects are the same for
// all four pairs of protocols.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcomes_are_the_same_for_every_pair_of_protocols() {
    let tables = ProtocolPair::ALL.map(|protocols| {
        tokio::spawn(async move {
            outcomes::outcome_table(&ProtocolTestNode::start(protocols).await.unwrap()).await.unwrap()
        })
    });
    let mut expected: Option<Vec<_>> = None;
    for (protocols, table) in ProtocolPair::ALL.into_iter().zip(tables) {
        let table = table.await.unwrap();
        for (name, outcome) in &table {
            let (renew, behavior) = (name.starts_with("renew"), name.split_once(' ').unwrap().1);
            let harmless = behavior == "serves" || behavior == "turns-away";
            // A renew that may have run is neither retried nor refused. A lookup does not fail because of one
            // faulty server.
            match (renew, harmless) {
                (true, false) => {
                    assert!(
                        outcome.status == 502 || outcome.status == 504,
                        "{protocols:?} {name} {outcome:?}"
                    );
                    assert_eq!((outcome.attempts, outcome.executions), ([1, 0], 1), "{protocols:?} {name}");
                }
                (false, false) if behavior != "is-silent" => {
                    assert_eq!(
                        (outcome.status, outcome.own_body, outcome.attempts),
                        (200, true, [1, 1]),
                        "{protocols:?} {name}"
                    );
                }
                (_, true) => {
                    assert_eq!((outcome.status, outcome.own_body), (200, true), "{protocols:?} {name}")
                }
                _ => {}
            }
            assert_eq!(outcome.duplicate_effects, 0, "{protocols:?} {name}");
        }
        match &expected {
            None => expected = Some(table),
            Some(expected) => assert_eq!(*expected, table, "{protocols:?}"),
        }
    }
}
