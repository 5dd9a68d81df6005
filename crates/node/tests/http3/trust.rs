//! Certificates of servers over HTTP/3: pins, names and authorities.

use super::*;

// One server has a certificate other than the pinned one, and another speaks only HTTP/1.1: no request runs
// at either, and all requests go to the third server.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_with_the_wrong_identity_receives_no_requests() {
    let test_node = start_test_node().await;
    let (pinned, wrong_certificate, http1_only) = (
        start_server(true, SERVE_AT_ONCE).await,
        start_server(true, SERVE_AT_ONCE).await,
        start_server(false, SERVE_AT_ONCE).await,
    );
    test_node.node.admin.create_tenant("acme", &tenant_spec(2_000), &[]).await.unwrap();
    assert_eq!(test_node.add_backend("acme", "good", &pinned).await.unwrap().status, 201);
    for (id, addr) in [("stranger", wrong_certificate.addr), ("plain", http1_only.addr)] {
        let document = json!({"address": addr, "protocol": "http3", "pin": pinned.pin, "started_ms": 0});
        let put = test_node
            .node
            .admin
            .put(&format!("tenants/acme/backends/{id}"), Precondition::Absent, &document)
            .await
            .unwrap();
        assert_eq!(put.status, 201, "{put:?}");
    }
    let mut client = test_node.client_listener().connect().await.unwrap();
    for n in 0..30 {
        let request = if n % 2 == 0 {
            ClientRequest::renew("acme", format!("r{n}"))
        } else {
            ClientRequest::lookup("acme", format!("l{n}"))
        };
        let response = client.send_request(&request).await.unwrap();
        assert_eq!(response.status, 200, "{n} {response:?}");
    }
    assert_eq!((pinned.requests(), wrong_certificate.requests(), http1_only.requests()), (30, 0, 0));
    assert_eq!(duplicate_effects([&pinned]), 0);
    // A server with HTTP/3 and without a pin is rejected.
    let document = json!({"address": pinned.addr, "protocol": "http3"});
    let put =
        test_node.node.admin.put("tenants/acme/backends/x", Precondition::Absent, &document).await.unwrap();
    assert_eq!((put.status, &put.body["errors"][0]["field"]), (422, &json!("pin")));
}

/// Sends SIGHUP to this process, so that each of its nodes reloads its files.
fn send_sighup() {
    let kill_status =
        std::process::Command::new("kill").args(["-HUP", &std::process::id().to_string()]).status();
    assert!(kill_status.unwrap().success());
}

// Servers are identified by a name and an authority: one with another identity receives no requests, and
// authorities can be changed in service.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_is_verified_by_name_and_authority() {
    let pem = |server: &Backend| {
        let der = server.certificate.as_ref().unwrap();
        let base64_text = base64::Engine::encode(&base64::engine::general_purpose::STANDARD, der);
        format!("-----BEGIN CERTIFICATE-----\n{base64_text}\n-----END CERTIFICATE-----\n")
    };
    let (known_authority, other_authority) =
        (start_server(true, SERVE_AT_ONCE).await, start_server(true, SERVE_AT_ONCE).await);
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("authorities.pem");
    std::fs::write(&file, pem(&known_authority)).unwrap();
    let trusted = file.clone();
    let protocols = ProtocolPair { client_http3: true, server_http3: true };
    let test_node =
        ProtocolTestNode::start_with_config(protocols, move |config| config.authorities = Some(trusted))
            .await
            .unwrap();
    let admin = &test_node.node.admin;
    let named_document = |server: &Backend, name: &str| {
        json!({
            "address": server.addr, "protocol": "http3", "server_name": name, "started_ms": 0
        })
    };
    for (tenant, servers) in [
        (
            "acme",
            vec![
                ("good", named_document(&known_authority, http3::SERVER_NAME)),
                ("stranger", named_document(&other_authority, http3::SERVER_NAME)),
            ],
        ),
        ("other", vec![("misnamed", named_document(&known_authority, "other.example"))]),
    ] {
        admin.create_tenant(tenant, &tenant_spec(2_000), &[]).await.unwrap();
        for (id, document) in servers {
            let path = format!("tenants/{tenant}/backends/{id}");
            let put = admin.put(&path, Precondition::Absent, &document).await.unwrap();
            assert_eq!(put.status, 201, "{put:?}");
        }
    }
    let mut client = test_node.client_listener().connect().await.unwrap();
    for n in 0..20 {
        assert_eq!(
            client.send_request(&ClientRequest::renew("acme", format!("r{n}"))).await.unwrap().status,
            200,
            "{n}"
        );
    }
    // The tenant's only server has the wrong name: no request ran, so this one is refused.
    assert_eq!(client.send_request(&ClientRequest::renew("other", "o")).await.unwrap().status, 503);
    assert_eq!((known_authority.requests(), other_authority.requests()), (20, 0));
    // An unreadable file of authorities is ignored; a readable one applies to new connections.
    std::fs::write(&file, "no certificate").unwrap();
    send_sighup();
    assert_eq!(client.send_request(&ClientRequest::renew("acme", "still")).await.unwrap().status, 200);
    std::fs::write(&file, pem(&known_authority) + &pem(&other_authority)).unwrap();
    send_sighup();
    let (mut n, start) = (0, Instant::now());
    while other_authority.requests() == 0 {
        n += 1;
        assert!(start.elapsed() < DEFAULT_TIMEOUT, "the new authority is not in force");
        let response = client.send_request(&ClientRequest::lookup("acme", format!("l{n}"))).await.unwrap();
        assert_eq!(response.status, 200, "{response:?}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(duplicate_effects([&known_authority, &other_authority]), 0);
}

// At a node without trusted authorities, a server that is identified by name receives no requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_name_without_authorities_verifies_nothing() {
    let test_node = start_test_node().await;
    let server = start_server(true, SERVE_AT_ONCE).await;
    test_node.create_tenant("acme", &tenant_spec(2_000), &[]).await.unwrap();
    let document = json!({"address": server.addr, "protocol": "http3", "server_name": http3::SERVER_NAME});
    let put =
        test_node.node.admin.put("tenants/acme/backends/s", Precondition::Absent, &document).await.unwrap();
    assert_eq!(put.status, 201, "{put:?}");
    assert_eq!(test_node.send_request(&ClientRequest::lookup("acme", "x")).await.unwrap().status, 503);
    assert_eq!((server.requests(), server.connections_opened()), (0, 0));
    let document_with_both =
        json!({"address": server.addr, "protocol": "http3", "server_name": "x", "pin": server.pin});
    let put = test_node
        .node
        .admin
        .put("tenants/acme/backends/t", Precondition::Absent, &document_with_both)
        .await
        .unwrap();
    assert_eq!((put.status, &put.body["errors"][0]["field"]), (422, &json!("server_name")));
}
