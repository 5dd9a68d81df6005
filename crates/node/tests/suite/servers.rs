//! Servers that move, restart, drain, respond late or accept no connection.

use super::*;

pub async fn server_moved_to_another_tenant_receives_only_its_requests(protocols: ProtocolPair) {
    let test_node = start_test_node(protocols).await;
    let admin = &test_node.node.admin;
    let (moved_server, remaining_server) = (
        test_node.start_backend(SERVE_AT_ONCE).await.unwrap(),
        test_node.start_backend(SERVE_AT_ONCE).await.unwrap(),
    );
    test_node.create_tenant("a", &tenant_spec(2_000), &[&moved_server, &remaining_server]).await.unwrap();
    test_node.create_tenant("b", &tenant_spec(2_000), &[]).await.unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    let load = |tenant: &'static str| {
        let (stop, listener) = (stop.clone(), test_node.client_listener());
        tokio::spawn(async move {
            let mut connection = listener.connect().await.unwrap();
            let mut statuses = Vec::new();
            for n in 0.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                if !connection.is_open() {
                    connection = listener.connect().await.unwrap();
                }
                let request = ClientRequest::lookup(tenant, format!("{tenant}-{n}"));
                statuses
                    .push(connection.send_request(&request).await.map(|response| response.status.as_u16()));
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            statuses
        })
    };
    let (a, b) = (load("a"), load("b"));
    let requests_of = |backend: &Backend, tenant: &str| {
        let key = format!("key={tenant}-");
        backend
            .received_requests()
            .into_iter()
            .filter(|request| request.target.contains(&key))
            .collect::<Vec<_>>()
    };
    wait_until("requests of a reach both servers", || async {
        requests_of(&moved_server, "a").len() > 20 && requests_of(&remaining_server, "a").len() > 20
    })
    .await;
    assert_eq!(admin.delete_current("tenants/a/backends/s0").await.unwrap().status, 200);
    let notified_at = Instant::now();
    let mut document = backend_document(&moved_server);
    document.as_object_mut().unwrap().remove("started_ms");
    assert_eq!(
        admin.put("tenants/b/backends/s0", Precondition::Absent, &document).await.unwrap().status,
        201
    );
    wait_until("requests of b reach the moved server", || async {
        requests_of(&moved_server, "b").len() > 20
    })
    .await;
    let target = requests_of(&remaining_server, "a").len() + 20;
    wait_until("requests of a continue", || async { requests_of(&remaining_server, "a").len() > target })
        .await;
    stop.store(true, Ordering::SeqCst);
    let (a, _) = (a.await.unwrap(), b.await.unwrap());
    let unexpected: Vec<_> = a.iter().filter(|status| *status.as_ref().unwrap() != 200).collect();
    assert!(unexpected.is_empty(), "{} of {}: {:?}", unexpected.len(), a.len(), unexpected[0]);
    let late_requests = requests_of(&moved_server, "a")
        .into_iter()
        .filter(|request| request.received_at > notified_at + Duration::from_millis(550))
        .count();
    assert_eq!((late_requests, requests_of(&remaining_server, "b").len()), (0, 0));
    // Requests of b do not use connections that a's pool had opened.
    let connections_of_a: BTreeSet<u64> =
        requests_of(&moved_server, "a").iter().map(|request| request.connection).collect();
    assert!(requests_of(&moved_server, "b")
        .iter()
        .all(|request| !connections_of_a.contains(&request.connection)));
}

pub async fn server_removed_and_added_again_counts_as_a_new_process(protocols: ProtocolPair) {
    let test_node = start_test_node(protocols).await;
    let admin = &test_node.node.admin;
    let server = test_node.start_backend(SERVE_AT_ONCE).await.unwrap();
    test_node.create_tenant("acme", &tenant_spec(2_000), &[&server]).await.unwrap();
    let mut client = test_node.client_listener().connect().await.unwrap();
    for n in 0..20 {
        assert_eq!(
            client.send_request(&ClientRequest::lookup("acme", format!("x{n}"))).await.unwrap().status,
            200
        );
    }
    let (connections_before, start) = (server.connections_opened(), Instant::now());
    assert_eq!(admin.delete_current("tenants/acme/backends/s0").await.unwrap().status, 200);
    assert_eq!(test_node.add_backend("acme", "s0", &server).await.unwrap().status, 201);
    assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
    // Older connections may lead to a process that has ended, so the node opens a new one.
    assert_eq!(client.send_request(&ClientRequest::lookup("acme", "after")).await.unwrap().status, 200);
    assert!(server.received_requests().last().unwrap().connection > connections_before);
    // Without a start time the server counts as started now.
    assert_eq!(admin.delete_current("tenants/acme/backends/s0").await.unwrap().status, 200);
    let mut document = backend_document(&server);
    document.as_object_mut().unwrap().remove("started_ms");
    let created = admin.put("tenants/acme/backends/s0", Precondition::Absent, &document).await.unwrap();
    assert!(created.body["added_ms"].as_u64().unwrap() > 0, "{created:?}");
}

// With one server left in the pool a late response is awaited, as no other server could respond.
pub async fn late_response_of_the_only_server_is_awaited(protocols: ProtocolPair) {
    let test_node = start_test_node(protocols).await;
    let server = test_node.start_backend(SERVE_AT_ONCE).await.unwrap();
    test_node.create_tenant("acme", &tenant_spec(10_000), &[&server]).await.unwrap();
    let mut client = test_node.client_listener().connect().await.unwrap();
    // The node learns that responses are usually fast.
    for n in 0..400 {
        assert_eq!(
            client.send_request(&ClientRequest::lookup("acme", format!("x{n}"))).await.unwrap().status,
            200
        );
    }
    server.set_behavior(ServerBehavior::Serve(Duration::from_millis(1_500)));
    let late_request = ClientRequest::lookup("acme", "late").with_timeout(Duration::from_secs(10));
    assert_eq!(client.send_request(&late_request).await.unwrap().status, 200);
    assert_eq!(server.requests(), 401);
}

// A draining server receives no new requests, and finishes those in flight (rule 3).
pub async fn draining_server_finishes_and_receives_no_new_requests(protocols: ProtocolPair) {
    let test_node = start_test_node(protocols).await;
    let (admin, listener) = (&test_node.node.admin, test_node.client_listener());
    let (draining_server, other_server) = (
        test_node.start_backend(ServerBehavior::HoldRequests).await.unwrap(),
        test_node.start_backend(SERVE_AT_ONCE).await.unwrap(),
    );
    test_node.create_tenant("acme", &tenant_spec(20_000), &[&draining_server, &other_server]).await.unwrap();
    let mut pending_responses = Vec::new();
    for n in 0..40 {
        pending_responses.extend(send_all(
            &listener,
            [ClientRequest::renew("acme", format!("r{n}")).with_timeout(LONG_DEADLINE)],
        ));
    }
    wait_until("some requests are at the draining server", || async {
        draining_server.requests() > 3 && draining_server.requests() + other_server.requests() == 40
    })
    .await;
    let current = admin.get("tenants/acme/backends/s0").await.unwrap();
    let mut spec = current.body["spec"].clone();
    spec["phase"] = json!("terminating");
    let put = admin
        .put("tenants/acme/backends/s0", Precondition::Match(&current.etag.unwrap()), &spec)
        .await
        .unwrap();
    assert_eq!(put.status, 200, "{put:?}");
    draining_server.mark_removed();
    let notified_at = Instant::now();
    let mut client = listener.connect().await.unwrap();
    let mut n = 0;
    while notified_at.elapsed() < Duration::from_millis(900) {
        n += 1;
        let response = client.send_request(&ClientRequest::lookup("acme", format!("l{n}"))).await.unwrap();
        assert!(response.status == 200 || response.status == 503, "{response:?}");
    }
    draining_server.set_behavior(SERVE_AT_ONCE);
    for pending in pending_responses {
        assert_eq!(pending.await.unwrap().unwrap().status, 200);
    }
    assert_eq!(
        (draining_server.late_requests(), duplicate_effects([&draining_server, &other_server])),
        (0, 0)
    );
}

// Nothing listens at one server's address: no request ran there, so all requests, renews included, go to the
// other server.
pub async fn server_with_a_closed_port_fails_no_request(protocols: ProtocolPair) {
    let test_node = start_test_node(protocols).await;
    let working_server = test_node.start_backend(SERVE_AT_ONCE).await.unwrap();
    let closed_server = test_node.start_backend(SERVE_AT_ONCE).await.unwrap();
    let mut spec = tenant_spec(4_000);
    spec["pool"] = json!({"dial_timeout_ms": 200});
    test_node.create_tenant("acme", &spec, &[&working_server, &closed_server]).await.unwrap();
    // Dropping the server closes its port.
    let closed_addr = closed_server.addr;
    drop(closed_server);
    let port_closed = || async {
        if protocols.server_http3 {
            tokio::net::UdpSocket::bind(closed_addr).await.is_ok()
        } else {
            tokio::net::TcpListener::bind(closed_addr).await.is_ok()
        }
    };
    wait_until("the port is closed", port_closed).await;
    let mut client = test_node.client_listener().connect().await.unwrap();
    for n in 0..30 {
        let request = match n % 2 {
            0 => ClientRequest::renew("acme", format!("x{n}")),
            _ => ClientRequest::lookup("acme", format!("x{n}")),
        };
        let response = client.send_request(&request.with_timeout(Duration::from_secs(4))).await.unwrap();
        assert_eq!(response.status, 200, "{n} {response:?}");
    }
    assert_eq!((working_server.requests(), duplicate_effects([&working_server])), (30, 0));
}
