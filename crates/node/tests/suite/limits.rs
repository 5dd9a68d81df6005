//! Limits of tenants and requests: quotas, shares, deadlines, idle pools, and the end of a client or the node.

use super::*;

pub async fn unused_pool_is_stopped_and_started_again(protocols: ProtocolPair) {
    let test_node = ProtocolTestNode::start_with_config(protocols, |config| {
        config.pool_idle = Duration::from_millis(300)
    })
    .await
    .unwrap();
    let admin = &test_node.node.admin;
    let server = test_node.start_backend(SERVE_AT_ONCE).await.unwrap();
    test_node.create_tenant("acme", &tenant_spec(2_000), &[&server]).await.unwrap();
    assert_eq!(status_figure(admin, "acme", "pools").await, 0);
    for round in 0..3 {
        assert_eq!(
            test_node.send_request(&ClientRequest::lookup("acme", format!("x{round}"))).await.unwrap().status,
            200
        );
        wait_until("the pool is stopped", || async { status_figure(admin, "acme", "pools").await == 0 })
            .await;
        wait_until("the pool's connections are closed", || async { server.open_connections() == 0 }).await;
    }
}

// A tenant that uses all the requests and connections that it may hold never takes the share of another
// tenant.
pub async fn quiet_tenant_is_served_while_another_uses_all_it_may(protocols: ProtocolPair) {
    let test_node =
        ProtocolTestNode::start_with_config(protocols, |config| config.sockets = 200).await.unwrap();
    let listener = test_node.client_listener();
    let (silent_server, quiet_server) = (
        test_node.start_backend(ServerBehavior::HoldRequests).await.unwrap(),
        test_node.start_backend(SERVE_AT_ONCE).await.unwrap(),
    );
    test_node.create_tenant("pushy", &tenant_spec(20_000), &[&silent_server]).await.unwrap();
    test_node.create_tenant("quiet", &tenant_spec(2_000), &[&quiet_server]).await.unwrap();
    let request = |n: usize| ClientRequest::lookup("pushy", format!("p{n}")).with_timeout(LONG_DEADLINE);
    let mut pending_responses = send_all(&listener, (0..60).map(request));
    // Requests are added until some are refused, which shows that the tenant has reached its limit.
    let refused_count = |pending_responses: &[PendingResponse]| {
        pending_responses.iter().filter(|task| task.is_finished()).count()
    };
    for round in 0..20 {
        wait_until("each request is held or refused", || async {
            status_figure(&test_node.node.admin, "pushy", "held").await as usize
                + refused_count(&pending_responses)
                == pending_responses.len()
        })
        .await;
        if refused_count(&pending_responses) > 0 {
            break;
        }
        pending_responses.extend(send_all(&listener, (0..5).map(|n| request(100 + 5 * round + n))));
    }
    assert!(refused_count(&pending_responses) > 0, "no request was refused");
    for n in 0..20 {
        let start = Instant::now();
        let response = listener.send_request(&ClientRequest::lookup("quiet", format!("x{n}"))).await.unwrap();
        assert_eq!(response.status, 200, "{n}");
        assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    }
    silent_server.set_behavior(SERVE_AT_ONCE);
    for task in pending_responses {
        if let Ok(response) = task.await.unwrap() {
            assert!(response.status == 200 || response.retry_after().is_some(), "{response:?}");
        }
    }
}

pub async fn quota_is_enforced_with_a_retry_after(protocols: ProtocolPair) {
    let test_node = start_test_node(protocols).await;
    let server = test_node.start_backend(SERVE_AT_ONCE).await.unwrap();
    let mut spec = tenant_spec(2_000);
    spec["quota_per_s"] = json!(10.0);
    test_node.create_tenant("acme", &spec, &[&server]).await.unwrap();
    let mut client = test_node.client_listener().connect().await.unwrap();
    let (mut served, mut retry_after) = (0, None);
    for n in 0..1_000 {
        let response = client.send_request(&ClientRequest::lookup("acme", format!("x{n}"))).await.unwrap();
        match response.status.as_u16() {
            200 => served += 1,
            429 => {
                retry_after = response.retry_after();
                break;
            }
            status => panic!("unexpected status {status}"),
        }
    }
    // The quota allows a burst of two after an idle period.
    assert!(served >= 2, "{served}");
    let retry_after = retry_after.expect("the response has a Retry-After header");
    assert!(retry_after > 0.0 && retry_after <= 0.1, "{retry_after}");
    tokio::time::sleep(Duration::from_secs_f64(retry_after)).await;
    assert_eq!(client.send_request(&ClientRequest::lookup("acme", "back")).await.unwrap().status, 200);
    assert_eq!(server.requests(), served + 1);
}

// A client disconnects while the server works: the attempt is cancelled, its permit is released, and nothing
// is sent again.
pub async fn request_of_a_disconnected_client_is_cancelled(protocols: ProtocolPair) {
    let test_node = start_test_node(protocols).await;
    let (admin, listener) = (&test_node.node.admin, test_node.client_listener());
    let (first_server, second_server) = (
        test_node.start_backend(ServerBehavior::HoldRequests).await.unwrap(),
        test_node.start_backend(ServerBehavior::HoldRequests).await.unwrap(),
    );
    // The deadline is longer than this test waits, so that no request ends by it.
    test_node.create_tenant("acme", &tenant_spec(100_000), &[&first_server, &second_server]).await.unwrap();
    let timeout = 3 * DEFAULT_TIMEOUT;
    let pending_responses = send_all(
        &listener,
        (0..6).map(|n| ClientRequest::renew("acme", format!("r{n}")).with_timeout(timeout)),
    );
    wait_until("all requests are at the servers", || async {
        first_server.requests() + second_server.requests() == 6
    })
    .await;
    pending_responses.iter().for_each(|task| task.abort());
    wait_until("the requests' permits are released", || async {
        status_figure(admin, "acme", "held").await == 0
    })
    .await;
    // An HTTP/1.1 attempt has its own connection, which is closed with it; HTTP/3 attempts share one that
    // stays open.
    let attempts_ended = || async {
        protocols.server_http3 || first_server.open_connections() + second_server.open_connections() == 0
    };
    wait_until("the requests' attempts have ended", attempts_ended).await;
    for server in [&first_server, &second_server] {
        server.set_behavior(SERVE_AT_ONCE);
    }
    assert_eq!(listener.send_request(&ClientRequest::renew("acme", "next")).await.unwrap().status, 200);
    assert_eq!(
        (
            first_server.requests() + second_server.requests(),
            duplicate_effects([&first_server, &second_server])
        ),
        (7, 0)
    );
}

// The servers never respond: the client receives one response before it gives up, and a renew is not retried.
pub async fn request_is_answered_by_its_deadline(protocols: ProtocolPair) {
    let test_node = start_test_node(protocols).await;
    let listener = test_node.client_listener();
    let (first_server, second_server) = (
        test_node.start_backend(ServerBehavior::HoldRequests).await.unwrap(),
        test_node.start_backend(ServerBehavior::HoldRequests).await.unwrap(),
    );
    test_node.create_tenant("acme", &tenant_spec(20_000), &[&first_server, &second_server]).await.unwrap();
    let timeout = Duration::from_millis(800);
    let mut clients = Vec::new();
    for n in 0..8 {
        clients.push((
            ClientRequest::renew("acme", format!("r{n}")).with_timeout(timeout),
            listener.connect().await.unwrap(),
        ));
    }
    let responses =
        clients.into_iter().map(|(request, mut client)| async move { client.send_request(&request).await });
    for pending in responses.map(tokio::spawn).collect::<Vec<_>>() {
        let response = pending.await.unwrap().unwrap();
        assert!(response.status == 504 || response.status == 502, "{response:?}");
        // The response comes before the client gives up, a quarter of a second after the deadline.
        assert!(response.elapsed < timeout + Duration::from_millis(200), "{response:?}");
    }
    assert_eq!(
        (
            first_server.requests() + second_server.requests(),
            duplicate_effects([&first_server, &second_server])
        ),
        (8, 0)
    );
}

// On SIGTERM the accepted requests are answered, and the node stops.
pub async fn stopping_node_finishes_accepted_requests(protocols: ProtocolPair) {
    let mut test_node = start_test_node(protocols).await;
    let server = test_node.start_backend(ServerBehavior::HoldRequests).await.unwrap();
    test_node.create_tenant("acme", &tenant_spec(20_000), &[&server]).await.unwrap();
    let pending_responses = send_all(
        &test_node.client_listener(),
        (0..8).map(|n| ClientRequest::renew("acme", format!("r{n}")).with_timeout(LONG_DEADLINE)),
    );
    wait_until("all requests are at the server", || async { server.requests() == 8 }).await;
    let node = test_node.node.node.take().unwrap();
    let stopped = tokio::task::spawn_blocking(move || node.stop());
    // The node closes idle connections 0.6 s after the signal; held requests continue.
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert!(!stopped.is_finished());
    server.set_behavior(SERVE_AT_ONCE);
    for pending in pending_responses {
        assert_eq!(pending.await.unwrap().unwrap().status, 200);
    }
    stopped.await.unwrap().unwrap();
    assert_eq!((server.requests(), duplicate_effects([&server])), (8, 0));
}
