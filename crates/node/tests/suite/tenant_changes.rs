//! Tenants that are deleted, recreated or changed while requests are open.

use super::*;

// A tenant is deleted while requests are in flight: some at a server that never responds, some between two
// attempts.
pub async fn tenant_deleted_with_open_requests_answers_each_once_and_leaves_nothing(protocols: ProtocolPair) {
    let test_node = start_test_node(protocols).await;
    let (admin, listener) = (&test_node.node.admin, test_node.client_listener());
    let silent = test_node.start_backend(ServerBehavior::HoldRequests).await.unwrap();
    let (unresponsive, unresponsive_document) = UnresponsiveServer::start(protocols).await;
    let mut spec = tenant_spec(2_000);
    spec["pool"] = json!({"dial_timeout_ms": 10_000});
    test_node.create_tenant("acme", &spec, &[&silent]).await.unwrap();
    test_node.create_tenant("other", &tenant_spec(2_000), &[&silent]).await.unwrap();
    // An idle client connection that has carried one of the tenant's requests.
    silent.set_behavior(SERVE_AT_ONCE);
    let mut idle = listener.connect().await.unwrap();
    assert_eq!(idle.send_request(&ClientRequest::lookup("acme", "before")).await.unwrap().status, 200);
    silent.set_behavior(ServerBehavior::HoldRequests);
    let held_requests = (0..4).flat_map(|n| {
        [ClientRequest::lookup("acme", format!("l{n}")), ClientRequest::renew("acme", format!("r{n}"))]
    });
    let held_requests = send_all(&listener, held_requests);
    wait_until("all requests are held by the silent server", || async { silent.requests() == 9 }).await;
    // These requests are rejected by one server, and then wait for a connection to one that does not accept.
    let rejecting = test_node.start_backend(ServerBehavior::TurnAway).await.unwrap();
    test_node.create_tenant("between", &spec, &[&rejecting]).await.unwrap();
    let put = admin
        .put("tenants/between/backends/deaf", Precondition::Absent, &unresponsive_document)
        .await
        .unwrap();
    assert_eq!(put.status, 201, "{put:?}");
    let waiting_requests =
        send_all(&listener, (0..8).map(|n| ClientRequest::renew("between", format!("b{n}"))));
    wait_until("all requests are between two attempts", || async {
        status_figure(admin, "between", "held").await == 8
    })
    .await;

    let silent_before = silent.requests();
    for tenant in ["acme", "between"] {
        assert_eq!(admin.delete_current(&format!("tenants/{tenant}")).await.unwrap().status, 202);
        // From the response to the delete on, no new request is accepted.
        let new_response =
            listener.send_request(&ClientRequest::lookup(tenant, format!("new-{tenant}"))).await.unwrap();
        assert_eq!(
            (new_response.status.as_u16(), new_response.body.as_ref()),
            (404, b"no such tenant\n".as_slice())
        );
    }
    silent.mark_removed();
    rejecting.mark_removed();
    let (rejecting_before, deleted) = (rejecting.requests(), Instant::now());
    for pending in waiting_requests {
        // These requests are refused at once: they never ran, and they must not be sent any more.
        let response = pending.await.unwrap().expect("a response in time");
        assert_eq!(response.status, 503, "{response:?}");
    }
    let refused_after = deleted.elapsed();
    assert!(refused_after < Duration::from_secs(1), "refused {refused_after:?} after the delete");
    // The unresponsive server accepts again after the grace period: requests that waited for it must not be
    // written.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let received_bytes = tokio::spawn(unresponsive.accept_again());
    for (n, pending) in held_requests.into_iter().enumerate() {
        let response = pending.await.unwrap().expect("a response in time");
        // A renew may have run, so it must be answered with a failure; a lookup may also be refused.
        let failed = response.status == 502 || response.status == 504;
        assert!(failed || (n % 2 == 0 && response.status == 503), "{response:?}");
        assert!(response.elapsed < Duration::from_secs(2), "{response:?}");
    }
    wait_until("both tenants are removed", || no_tenant_is_draining(admin)).await;
    assert!(deleted.elapsed() < Duration::from_secs(4), "{:?}", deleted.elapsed());
    assert_eq!(received_bytes.await.unwrap(), 0, "request bytes written to a deleted tenant's server");
    assert_eq!((silent.requests(), rejecting.requests()), (silent_before, rejecting_before));
    assert_eq!(
        (silent.late_requests(), rejecting.late_requests(), duplicate_effects([&silent, &rejecting])),
        (0, 0, 0)
    );
    // The tenants' connections are closed: those to servers, and the client's idle one.
    wait_until("no connection to the servers is left", || async {
        silent.open_connections() == 0 && rejecting.open_connections() == 0
    })
    .await;
    wait_until("the client's connection is closed", || async { !idle.is_open() }).await;
    let changes = admin.get("changes?after=0&limit=500").await.unwrap().body;
    let change_kinds: Vec<&Value> =
        changes["changes"].as_array().unwrap().iter().map(|change| &change["deed"]).collect();
    assert_eq!(change_kinds.iter().filter(|kind| **kind == "tenant_gone").count(), 2, "{change_kinds:?}");
    // The other tenant is not affected.
    silent.mark_in_service();
    silent.set_behavior(SERVE_AT_ONCE);
    assert_eq!(listener.send_request(&ClientRequest::lookup("other", "o")).await.unwrap().status, 200);
}

pub async fn tenant_recreated_under_the_same_name_shares_nothing_with_the_old_one(protocols: ProtocolPair) {
    let test_node = start_test_node(protocols).await;
    let (admin, listener) = (&test_node.node.admin, test_node.client_listener());
    let (old_server, new_server) = (
        test_node.start_backend(ServerBehavior::HoldRequests).await.unwrap(),
        test_node.start_backend(SERVE_AT_ONCE).await.unwrap(),
    );
    test_node.create_tenant("acme", &tenant_spec(20_000), &[&old_server]).await.unwrap();
    let pending_responses = send_all(
        &listener,
        (0..5).map(|n| ClientRequest::renew("acme", format!("x{n}")).with_timeout(LONG_DEADLINE)),
    );
    wait_until("all requests are at the old server", || async { old_server.requests() == 5 }).await;
    let old_status = admin.get("tenants/acme/status").await.unwrap().body;
    assert_eq!((&old_status["held"], &old_status["connections"]), (&json!(5), &json!(5)));
    assert_eq!(admin.delete_current("tenants/acme").await.unwrap().status, 202);
    test_node.create_tenant("acme", &tenant_spec(20_000), &[&new_server]).await.unwrap();
    let new_status = admin.get("tenants/acme/status").await.unwrap().body;
    assert_ne!(old_status["uid"], new_status["uid"]);
    assert_eq!((&new_status["held"], &new_status["connections"]), (&json!(0), &json!(0)));
    // Ids of the old tenant's open requests are free in the new tenant.
    for n in 0..5 {
        let response = listener.send_request(&ClientRequest::renew("acme", format!("x{n}"))).await.unwrap();
        assert_eq!((response.status.as_u16(), response.body.as_ref()), (200, format!("x{n}").as_bytes()));
    }
    assert_eq!((old_server.requests(), new_server.requests()), (5, 5));
    old_server.set_behavior(SERVE_AT_ONCE);
    for (n, pending) in pending_responses.into_iter().enumerate() {
        let response = pending.await.unwrap().unwrap();
        assert_eq!((response.status.as_u16(), response.body.as_ref()), (200, format!("x{n}").as_bytes()));
    }
    wait_until("the old tenant is removed", || no_tenant_is_draining(admin)).await;
    let new_status = admin.get("tenants/acme/status").await.unwrap().body;
    assert_eq!(
        (&new_status["served"], &new_status["failed"], &new_status["held"]),
        (&json!(5), &json!(0), &json!(0))
    );
    assert_eq!(duplicate_effects([&old_server]) + duplicate_effects([&new_server]), 0);
    wait_until("connections to the old server are closed", || async { old_server.open_connections() == 0 })
        .await;
}

pub async fn change_of_classes_under_load_loses_no_request(protocols: ProtocolPair) {
    let test_node = start_test_node(protocols).await;
    let (admin, listener) = (&test_node.node.admin, test_node.client_listener());
    let server = test_node.start_backend(ServerBehavior::HoldRequests).await.unwrap();
    test_node.create_tenant("acme", &tenant_spec(20_000), &[&server]).await.unwrap();
    let pending_responses = send_all(
        &listener,
        (0..3).map(|n| ClientRequest::renew("acme", format!("x{n}")).with_timeout(LONG_DEADLINE)),
    );
    wait_until("all requests are at the server", || async { server.requests() == 3 }).await;
    let current = admin.get("tenants/acme").await.unwrap();
    let mut spec = current.body["spec"].clone();
    spec["classes"]["join"] = json!({"repeat": "unsafe", "deadline_ms": 3_000});
    let put = admin.put("tenants/acme", Precondition::Match(&current.etag.unwrap()), &spec).await.unwrap();
    assert_eq!(put.status, 200);
    // The id of an open request stays taken across the change.
    assert_eq!(listener.send_request(&ClientRequest::renew("acme", "x0")).await.unwrap().status, 409);
    server.set_behavior(SERVE_AT_ONCE);
    let join = ClientRequest { class: "join".into(), ..ClientRequest::renew("acme", "j") };
    assert_eq!(listener.send_request(&join).await.unwrap().status, 200);
    for pending in pending_responses {
        assert_eq!(pending.await.unwrap().unwrap().status, 200);
    }
    wait_until("the old pool has ended", || async { status_figure(admin, "acme", "pools").await == 1 }).await;
    assert_eq!(duplicate_effects([&server]), 0);
}

pub async fn tenants_are_unchanged_after_a_restart(protocols: ProtocolPair) {
    let mut test_node = start_test_node(protocols).await;
    let server = test_node.start_backend(SERVE_AT_ONCE).await.unwrap();
    test_node.create_tenant("acme", &tenant_spec(2_000), &[&server]).await.unwrap();
    test_node.create_tenant("old", &tenant_spec(2_000), &[&server]).await.unwrap();
    let before = test_node.node.admin.get("tenants/acme").await.unwrap();
    // The deleted tenant may still be draining when the node stops; the restarted node completes the delete.
    assert_eq!(test_node.node.admin.delete_current("tenants/old").await.unwrap().status, 202);
    let test_node = tokio::task::spawn_blocking(move || test_node.node.restart().map(|()| test_node)).await;
    let mut test_node = test_node.unwrap().unwrap();
    let after = test_node.node.admin.get("tenants/acme").await.unwrap();
    assert_eq!((after.etag, after.body), (before.etag, before.body));
    assert_eq!(test_node.send_request(&ClientRequest::lookup("acme", "x")).await.unwrap().status, 200);
    assert_eq!(test_node.send_request(&ClientRequest::lookup("old", "y")).await.unwrap().status, 404);
    wait_until("the deleted tenant is removed", || no_tenant_is_draining(&test_node.node.admin)).await;
    tokio::task::spawn_blocking(move || test_node.node.stop()).await.unwrap().unwrap();
}

// After the response to the delete no request is accepted, not even one whose head was read before.
pub async fn request_whose_body_arrives_after_the_delete_is_rejected(protocols: ProtocolPair) {
    let test_node = start_test_node(protocols).await;
    let admin = &test_node.node.admin;
    let server = test_node.start_backend(SERVE_AT_ONCE).await.unwrap();
    test_node.create_tenant("acme", &tenant_spec(2_000), &[&server]).await.unwrap();
    let mut client = test_node.client_listener().connect().await.unwrap();
    let partial_request = client.start_request(&ClientRequest::renew("acme", "t")).await.unwrap();
    wait_until("the request's head is read", || async { status_figure(admin, "acme", "held").await == 1 })
        .await;
    assert_eq!(admin.delete_current("tenants/acme").await.unwrap().status, 202);
    let response = tokio::time::timeout(DEFAULT_TIMEOUT, partial_request.finish()).await.unwrap().unwrap();
    assert_eq!(response.status, 404, "{response:?}");
    wait_until("the tenant is removed", || no_tenant_is_draining(admin)).await;
    assert_eq!(server.requests(), 0);
}
