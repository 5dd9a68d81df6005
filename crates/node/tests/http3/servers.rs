//! Servers over HTTP/3: rejected streams, drains, GOAWAY and flow control.

use super::*;

// A request whose stream is reset with H3_REQUEST_REJECTED never ran: a renew is retried elsewhere, and runs
// once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_rejected_by_a_server_is_retried_elsewhere() {
    let test_node = start_test_node().await;
    for class in ["lookup", "renew"] {
        let outcome =
            outcomes::request_outcome(&test_node, class, "rejects", ServerBehavior::Reject).await.unwrap();
        assert_eq!((outcome.status, outcome.own_body, outcome.attempts), (200, true, [1, 1]), "{outcome:?}");
        assert_eq!(
            (outcome.executions, outcome.duplicate_effects),
            (u32::from(class == "renew"), 0),
            "{outcome:?}"
        );
    }
}

// Many requests share a connection, and a draining server receives no new requests on it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_share_a_connection_and_a_drain_applies_to_it() {
    let test_node = start_test_node().await;
    let (a, b) = (
        start_server(true, ServerBehavior::Serve(Duration::from_millis(20))).await,
        start_server(true, SERVE_AT_ONCE).await,
    );
    test_node.node.admin.create_tenant("acme", &tenant_spec(2_000), &[]).await.unwrap();
    assert_eq!(test_node.add_backend("acme", "a", &a).await.unwrap().status, 201);
    assert_eq!(test_node.add_backend("acme", "b", &b).await.unwrap().status, 201);
    let quic = std::sync::Arc::new(connect(&test_node).await);
    let bursts = std::cell::Cell::new(0);
    let burst = || {
        let (quic, number) = (quic.clone(), bursts.replace(bursts.get() + 1));
        async move {
            let pending_responses: Vec<_> = (0..40)
                .map(|n| {
                    let (quic, request) =
                        (quic.clone(), ClientRequest::lookup("acme", format!("burst{number}-{n}")));
                    tokio::spawn(async move { quic.send_request(&request).await.unwrap().status })
                })
                .collect();
            for pending in pending_responses {
                // While only one server is left, some requests may be refused.
                let status = pending.await.unwrap();
                assert!(status == 200 || status == 503, "{status}");
            }
        }
    };
    burst().await;
    assert_eq!((a.connections_opened(), b.connections_opened()), (1, 1));
    let current = test_node.node.admin.get("tenants/acme/backends/a").await.unwrap();
    let mut document = current.body["spec"].clone();
    document["phase"] = json!("terminating");
    let put = test_node
        .node
        .admin
        .put("tenants/acme/backends/a", Precondition::Match(&current.etag.unwrap()), &document)
        .await
        .unwrap();
    assert_eq!(put.status, 200);
    a.mark_removed();
    let deadline = Instant::now() + Duration::from_millis(900);
    while Instant::now() < deadline {
        burst().await;
    }
    let requests_at_a = a.requests();
    burst().await;
    assert_eq!((a.requests(), a.late_requests()), (requests_at_a, 0));
}

// A server's GOAWAY excludes this request and later ones (RFC 9114, section 5.2): it never ran there, so a
// renew is sent elsewhere at once, and runs once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_excluded_by_goaway_are_retried_elsewhere() {
    let test_node = start_test_node().await;
    for class in ["lookup", "renew"] {
        let start = Instant::now();
        let outcome =
            outcomes::request_outcome(&test_node, class, "goes-away", ServerBehavior::Goaway).await.unwrap();
        assert_eq!((outcome.status, outcome.own_body, outcome.attempts[1]), (200, true, 1), "{outcome:?}");
        assert_eq!(
            (outcome.executions, outcome.duplicate_effects),
            (u32::from(class == "renew"), 0),
            "{outcome:?}"
        );
        // The request may also be retried on new connections to the same server, which excludes it again.
        assert!((1..=3).contains(&outcome.attempts[0]), "{outcome:?}");
        assert!(start.elapsed() < DEFAULT_TIMEOUT);
    }
}

// A request below the id of a GOAWAY may have run: its response counts, and without one a renew is not
// retried.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_below_the_goaway_id_may_have_run() {
    let test_node = start_test_node().await;
    let outcome =
        outcomes::request_outcome(&test_node, "renew", "goes-after", ServerBehavior::GoawayThenServe)
            .await
            .unwrap();
    assert_eq!(
        (outcome.status, outcome.own_body, outcome.attempts, outcome.executions),
        (200, true, [1, 0], 1),
        "{outcome:?}"
    );
    let outcome =
        outcomes::request_outcome(&test_node, "renew", "goes-resets", ServerBehavior::GoawayThenReset)
            .await
            .unwrap();
    assert_eq!((outcome.status, outcome.attempts, outcome.executions), (502, [1, 0], 1), "{outcome:?}");
    let outcome =
        outcomes::request_outcome(&test_node, "lookup", "goes-resets", ServerBehavior::GoawayThenReset)
            .await
            .unwrap();
    assert_eq!((outcome.status, outcome.own_body, outcome.attempts), (200, true, [1, 1]), "{outcome:?}");
}

// A server grants no flow control credit for a request's body (RFC 9000, section 4): the request ends by its
// deadline, a renew is not retried, and its permits are released.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_that_reads_no_body_delays_no_request_past_its_deadline() {
    let test_node = start_test_node().await;
    let options = BackendOptions { http3: true, stream_window: Some(2_048), ..BackendOptions::default() };
    let (stalled_server, working_server) = (
        Backend::start_with(ServerBehavior::IgnoreBody, options).await.unwrap(),
        start_server(true, SERVE_AT_ONCE).await,
    );
    test_node.create_tenant("acme", &tenant_spec(4_000), &[&stalled_server]).await.unwrap();
    let quic = connect(&test_node).await;
    let body = Bytes::from(vec![b'x'; 60_000]);
    let timeout = Duration::from_millis(600);
    let (request, _) =
        http3::request_parts(&ClientRequest::renew("acme", "big").with_timeout(timeout)).unwrap();
    let (mut parts, ()) = request.into_parts();
    parts.headers.insert("content-length", body.len().into());
    let mut stream = quic.start_request(Request::from_parts(parts, ())).await.unwrap();
    stream.send_data(body).await.unwrap();
    stream.finish().await.unwrap();
    let sent_at = Instant::now();
    // A second server is added meanwhile: it must not receive a request that the first may have run.
    assert_eq!(test_node.add_backend("acme", "good", &working_server).await.unwrap().status, 201);
    let response = http3::read_response(&mut stream, sent_at).await.unwrap();
    assert!(response.status == 502 || response.status == 504, "{response:?}");
    assert!(response.elapsed < timeout + Duration::from_millis(200), "{response:?}");
    let held_count = || async {
        test_node.node.admin.get("tenants/acme/status").await.unwrap().body["held"].as_u64().unwrap()
    };
    wait_until("no request is held", || async { held_count().await == 0 }).await;
    assert_eq!(
        (
            stalled_server.requests(),
            working_server.requests(),
            duplicate_effects([&stalled_server, &working_server])
        ),
        (1, 0, 0)
    );
}
