//! Tests of the hosted node, for every pair of protocols: a request under an id (`X-Txn`) that another request of its
//! tenant has used is never served.

use std::time::Duration;

use woodgap::hosted::config::{AdmissionConfig, ClientKeySources, HostedConfig};
use woodgap_admission::queue::AdmissionSettings;
use woodgap_testkit::admin::tenant_spec;
use woodgap_testkit::backend::{duplicate_effects, ServerBehavior};
use woodgap_testkit::client::ClientRequest;
use woodgap_testkit::protocol_pair::{ProtocolPair, ProtocolTestNode};
use woodgap_testkit::{wait_until, DEFAULT_TIMEOUT};

const SERVE_AT_ONCE: ServerBehavior = ServerBehavior::Serve(Duration::ZERO);
/// Deadline of the tenants' classes, in milliseconds: longer than a test waits, so that no request ends by it.
const DEADLINE_MS: u64 = 100_000;

/// The same request with the longest timeout.
fn patient(request: ClientRequest) -> ClientRequest {
    request.with_timeout(Duration::from_millis(DEADLINE_MS))
}

/// The requests of both classes under one id.
fn requests(tenant: &str, id: &str) -> [ClientRequest; 2] {
    [ClientRequest::renew(tenant, id), ClientRequest::lookup(tenant, id)].map(patient)
}

/// Number of requests that the node holds for the tenant.
async fn held(test_node: &ProtocolTestNode) -> u64 {
    let status = test_node.node.admin.get("tenants/acme/status").await.unwrap();
    status.body["held"].as_u64().unwrap()
}

/// Runs a test for every pair of protocols.
async fn for_each_pair<F: std::future::Future<Output = ()>>(test: impl Fn(ProtocolTestNode) -> F) {
    for protocols in ProtocolPair::ALL {
        test(ProtocolTestNode::start(protocols).await.unwrap()).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_with_the_id_of_an_open_one_is_rejected() {
    for_each_pair(|test_node| async move {
        let listener = test_node.client_listener();
        let server = test_node.start_backend(ServerBehavior::HoldRequests).await.unwrap();
        test_node.create_tenant("acme", &tenant_spec(DEADLINE_MS), &[&server]).await.unwrap();
        let (first, first_listener) = (patient(ClientRequest::renew("acme", "same")), listener.clone());
        let open = tokio::spawn(async move { first_listener.send_request(&first).await });
        wait_until("the first request is at the server", || async { server.requests() == 1 }).await;
        for duplicate in requests("acme", "same") {
            assert_eq!(listener.send_request(&duplicate).await.unwrap().status, 409);
        }
        server.set_behavior(SERVE_AT_ONCE);
        let response = open.await.unwrap().unwrap();
        assert_eq!((response.status.as_u16(), response.body.as_ref()), (200, b"same".as_slice()));
        assert_eq!((server.requests(), duplicate_effects([&server])), (1, 0));
    })
    .await;
}

// Guards against a second effect: an id was forgotten as soon as its request had its response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_with_the_id_of_an_answered_one_is_rejected() {
    for_each_pair(|test_node| async move {
        let listener = test_node.client_listener();
        let server = test_node.start_backend(SERVE_AT_ONCE).await.unwrap();
        test_node.create_tenant("acme", &tenant_spec(DEADLINE_MS), &[&server]).await.unwrap();
        test_node.create_tenant("other", &tenant_spec(DEADLINE_MS), &[&server]).await.unwrap();
        for first in requests("acme", "same") {
            let id = format!("{}-id", first.class);
            let first = ClientRequest { txn: id.clone(), ..first };
            assert_eq!(listener.send_request(&first).await.unwrap().status, 200);
            let before = server.requests();
            for copy in requests("acme", &id) {
                assert_eq!(listener.send_request(&copy).await.unwrap().status, 409, "{id}");
            }
            assert_eq!(server.requests(), before, "{id}");
        }
        assert_eq!(duplicate_effects([&server]), 0);
        // Another tenant's ids are its own.
        let of_other = patient(ClientRequest::lookup("other", "lookup-id"));
        assert_eq!(listener.send_request(&of_other).await.unwrap().status, 200);
    })
    .await;
}

// Guards against a second effect: an id was forgotten as soon as its client had disconnected, or had cancelled its
// request over HTTP/3, although the server was still running it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_with_the_id_of_a_disconnected_client_is_rejected() {
    for_each_pair(|test_node| async move {
        let listener = test_node.client_listener();
        let server = test_node.start_backend(ServerBehavior::HoldRequests).await.unwrap();
        test_node.create_tenant("acme", &tenant_spec(DEADLINE_MS), &[&server]).await.unwrap();
        for (sent, first) in requests("acme", "left").into_iter().enumerate() {
            let first = ClientRequest { txn: format!("left-{sent}"), ..first };
            let (id, first_listener) = (first.txn.clone(), listener.clone());
            let open = tokio::spawn(async move { first_listener.send_request(&first).await });
            wait_until("the request is at the server", || async { server.requests() == sent as u64 + 1 })
                .await;
            open.abort();
            wait_until("the node has seen the disconnect", || async { held(&test_node).await == 0 }).await;
            for copy in requests("acme", &id) {
                assert_eq!(listener.send_request(&copy).await.unwrap().status, 409, "{id}");
            }
            assert_eq!(server.requests(), sent as u64 + 1, "{id}");
        }
        assert_eq!(duplicate_effects([&server]), 0);
    })
    .await;
}

// A request that arrives slowly keeps its id, and one whose client gives up before its end leaves it free.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn id_of_an_incomplete_request_is_in_use_until_its_client_gives_up() {
    for_each_pair(|test_node| async move {
        let listener = test_node.client_listener();
        let server = test_node.start_backend(SERVE_AT_ONCE).await.unwrap();
        test_node.create_tenant("acme", &tenant_spec(DEADLINE_MS), &[&server]).await.unwrap();
        let [slow, copy] = requests("acme", "slow");
        let mut client = listener.connect().await.unwrap();
        let partial = client.start_request(&slow).await.unwrap();
        wait_until("the request has begun to arrive", || async { held(&test_node).await == 1 }).await;
        assert_eq!(listener.send_request(&copy).await.unwrap().status, 409);
        assert_eq!(partial.finish().await.unwrap().status, 200);
        let [given_up, whole] = requests("acme", "given-up").map(|request| ClientRequest {
            class: "renew".into(),
            safe: false,
            ..request
        });
        let mut client = listener.connect().await.unwrap();
        drop(client.start_request(&given_up).await.unwrap());
        drop(client);
        let start = tokio::time::Instant::now();
        while listener.send_request(&whole).await.unwrap().status != 200 {
            assert!(start.elapsed() < DEFAULT_TIMEOUT, "the id is not freed");
        }
        assert_eq!(duplicate_effects([&server]), 0);
    })
    .await;
}

/// Admits one request to the servers at a time; others wait in the admission queue.
fn admit_one_at_a_time(config: &mut HostedConfig) {
    let settings =
        AdmissionSettings { max_wait: DEADLINE_MS * 1_000, max_in_flight: 1, ..AdmissionSettings::default() };
    config.admission = Some(AdmissionConfig { keys: ClientKeySources::parse(["query"]).unwrap(), settings });
}

// Guards against requests that are owed an answer: the id of a client that left the admission queue was kept, although
// its request had never been sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn id_of_a_request_that_left_the_admission_queue_may_come_again() {
    for protocols in ProtocolPair::ALL {
        let test_node = ProtocolTestNode::start_with_config(protocols, admit_one_at_a_time).await.unwrap();
        let listener = test_node.client_listener();
        let server = test_node.start_backend(ServerBehavior::HoldRequests).await.unwrap();
        test_node.create_tenant("acme", &tenant_spec(DEADLINE_MS), &[&server]).await.unwrap();
        let send = |id: &str| {
            let (listener, request) = (listener.clone(), patient(ClientRequest::renew("acme", id)));
            tokio::spawn(async move { listener.send_request(&request).await })
        };
        let first = send("first");
        wait_until("the first request is at the server", || async { server.requests() == 1 }).await;
        let waiting = send("waiting");
        wait_until("the second request waits", || async { held(&test_node).await == 2 }).await;
        waiting.abort();
        wait_until("the second request has left", || async { held(&test_node).await == 1 }).await;
        server.set_behavior(SERVE_AT_ONCE);
        assert_eq!(first.await.unwrap().unwrap().status, 200);
        assert_eq!(send("waiting").await.unwrap().unwrap().status, 200, "{protocols:?}");
        assert_eq!((server.requests(), duplicate_effects([&server])), (2, 0));
    }
}
