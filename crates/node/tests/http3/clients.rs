//! Clients over HTTP/3 that migrate, cancel, read nothing or break off.

use super::*;

// The client's address changes repeatedly while its requests are in flight: each is answered once and runs
// once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn client_whose_address_changes_is_answered_once() {
    let test_node = start_test_node().await;
    let backend = Backend::start(ServerBehavior::Serve(Duration::from_millis(60))).await.unwrap();
    test_node.node.admin.create_tenant("acme", &tenant_spec(4_000), &[backend.addr]).await.unwrap();
    let quic = std::sync::Arc::new(connect(&test_node).await);
    for n in 0..8 {
        let request = ClientRequest::renew("acme", format!("r{n}")).with_timeout(Duration::from_secs(4));
        let (client, requests_before) = (quic.clone(), backend.requests());
        let pending = tokio::spawn(async move { client.send_request(&request).await });
        wait_until("the request is at the server", || async { backend.requests() > requests_before }).await;
        quic.rebind().unwrap();
        assert_eq!(pending.await.unwrap().unwrap().status, 200, "{n}");
    }
    assert_eq!((duplicate_effects([&backend]), backend.requests()), (0, 8));
}

// A client cancels its requests while the server works: the attempts are cancelled, and their permits are
// released.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancelled_request_ends_its_attempt() {
    let test_node = start_test_node().await;
    let backend = Backend::start(ServerBehavior::HoldRequests).await.unwrap();
    let mut document = tenant_spec(20_000);
    document["share"] = serde_json::json!({"max_held": 4});
    test_node.node.admin.create_tenant("acme", &document, &[backend.addr]).await.unwrap();
    let quic = connect(&test_node).await;
    let timeout = Duration::from_secs(20);
    let mut streams = Vec::new();
    for n in 0..4 {
        let (request, body) =
            http3::request_parts(&ClientRequest::renew("acme", format!("r{n}")).with_timeout(timeout))
                .unwrap();
        let mut stream = quic.start_request(request).await.unwrap();
        stream.send_data(body).await.unwrap();
        stream.finish().await.unwrap();
        streams.push(stream);
    }
    wait_until("all requests are at the server", || async { backend.requests() == 4 }).await;
    let refused = quic.send_request(&ClientRequest::lookup("acme", "full")).await.unwrap();
    assert_eq!((refused.status.as_u16(), backend.open_connections()), (503, 4));
    for mut stream in streams {
        stream.stop_sending(h3::error::Code::H3_REQUEST_CANCELLED);
    }
    let held_count = || async {
        test_node.node.admin.get("tenants/acme/status").await.unwrap().body["held"].as_u64().unwrap()
    };
    wait_until("the requests' permits are released", || async { held_count().await == 0 }).await;
    wait_until("the requests' attempts have ended", || async { backend.open_connections() == 0 }).await;
    backend.set_behavior(SERVE_AT_ONCE);
    assert_eq!(quic.send_request(&ClientRequest::lookup("acme", "next")).await.unwrap().status, 200);
    // The cancelled requests are not sent again.
    assert_eq!((backend.requests(), duplicate_effects([&backend])), (5, 0));
}

// A client that opens and cancels streams as fast as it can is disconnected; other clients are served
// meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn client_that_only_cancels_requests_is_disconnected() {
    let test_node = start_test_node().await;
    let backend = Backend::start(ServerBehavior::Serve(Duration::from_millis(20))).await.unwrap();
    test_node.node.admin.create_tenant("acme", &tenant_spec(2_000), &[backend.addr]).await.unwrap();
    let (abusive, other) = (connect(&test_node).await, connect(&test_node).await);
    let code = h3::error::Code::H3_REQUEST_CANCELLED;
    let flood = async {
        for n in 0..20_000 {
            let (request, _) = http3::request_parts(&ClientRequest::lookup("acme", format!("f{n}"))).unwrap();
            let Ok(mut stream) = abusive.start_request(request).await else { break };
            stream.stop_stream(code);
            stream.stop_sending(code);
        }
        wait_until("the abusive client is disconnected", || async { !abusive.is_open() }).await;
    };
    let other_requests = async {
        for n in 0..20 {
            let response = other.send_request(&ClientRequest::lookup("acme", format!("o{n}"))).await.unwrap();
            assert_eq!(response.status, 200, "{n}");
        }
    };
    tokio::join!(flood, other_requests);
    let Some(quinn::ConnectionError::ApplicationClosed(close)) = abusive.quic().close_reason() else {
        panic!("{:?}", abusive.quic().close_reason());
    };
    assert_eq!(close.error_code.into_inner(), h3::error::Code::H3_EXCESSIVE_LOAD.value());
    assert_eq!(other.send_request(&ClientRequest::lookup("acme", "after")).await.unwrap().status, 200);
}

// A client opens as many streams as it can and reads none of the responses: it exhausts only its own streams,
// and other clients are served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn client_that_reads_nothing_uses_only_its_own_streams() {
    let test_node = start_test_node().await;
    let backend = Backend::start(SERVE_AT_ONCE).await.unwrap();
    test_node.node.admin.create_tenant("acme", &tenant_spec(2_000), &[backend.addr]).await.unwrap();
    let (abusive, other) = (connect(&test_node).await, connect(&test_node).await);
    let mut streams = Vec::new();
    for n in 0..1_000 {
        let (request, _) = http3::request_parts(&ClientRequest::lookup("acme", format!("n{n}"))).unwrap();
        // The stream is neither finished nor read, so the node waits for a body that does not arrive.
        match tokio::time::timeout(Duration::from_millis(200), abusive.start_request(request)).await {
            Ok(Ok(stream)) => streams.push(stream),
            _ => break,
        }
    }
    // The node limits the number of streams (RFC 9000, section 4.6).
    assert!((1..=64).contains(&streams.len()), "{}", streams.len());
    for n in 0..50 {
        assert_eq!(
            other.send_request(&ClientRequest::lookup("acme", format!("o{n}"))).await.unwrap().status,
            200
        );
    }
    // Requests that do not arrive in time are answered 408, and their permits are released.
    let held_count = || async {
        test_node.node.admin.get("tenants/acme/status").await.unwrap().body["held"].as_u64().unwrap()
    };
    wait_until("the client's permits are released", || async { held_count().await == 0 }).await;
}

// Initial packets arrive from addresses that never answer: once half of the permitted handshakes are in
// progress, an address has to be validated, and clients whose address is valid are served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn flood_of_handshakes_does_not_block_other_clients() {
    let test_node = start_test_node().await;
    let backend = Backend::start(SERVE_AT_ONCE).await.unwrap();
    test_node.node.admin.create_tenant("acme", &tenant_spec(2_000), &[backend.addr]).await.unwrap();
    let datagrams =
        tokio::time::timeout(DEFAULT_TIMEOUT, http3::initial_datagrams(400)).await.unwrap().unwrap();
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for chunk in datagrams.chunks(3) {
        for datagram in chunk {
            socket.send_to(datagram, test_node.node.addr).await.unwrap();
        }
        // The system drops datagrams that arrive faster than the node can read.
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for n in 0..20 {
        let quic = connect(&test_node).await;
        assert_eq!(
            quic.send_request(&ClientRequest::lookup("acme", format!("f{n}"))).await.unwrap().status,
            200
        );
    }
}

// A client's stream ends or is reset after each byte of a renew but the last: no such request ever runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_truncated_at_any_byte_never_runs() {
    let test_node = start_test_node().await;
    let backend = Backend::start(SERVE_AT_ONCE).await.unwrap();
    test_node.create_tenant("acme", &tenant_spec(4_000), &[&backend]).await.unwrap();
    let mut quic = connect(&test_node).await;
    let complete = http3::encode_request(&ClientRequest::renew("acme", "cut")).unwrap();
    for length in 0..complete.len() {
        for reset in [false, true] {
            if !quic.is_open() {
                // A truncated frame is a connection error (RFC 9114, section 7.1).
                quic = connect(&test_node).await;
            }
            let Ok((mut send, mut receive)) = quic.quic().open_bi().await else { continue };
            if send.write_all(&complete[..length]).await.is_err() {
                continue;
            }
            if reset {
                let _ = send.reset((0x100 + length as u32 % 0x11).into());
            } else {
                let _ = send.finish();
                // Waits for a response or the end of the stream, so that the node has processed the bytes.
                let _ = tokio::time::timeout(DEFAULT_TIMEOUT, receive.read_to_end(4_096)).await.unwrap();
            }
        }
    }
    assert_eq!(backend.requests(), 0);
    let quic = connect(&test_node).await;
    let (mut send, mut receive) = quic.quic().open_bi().await.unwrap();
    send.write_all(&complete).await.unwrap();
    send.finish().unwrap();
    assert!(!receive.read_to_end(4_096).await.unwrap().is_empty());
    assert_eq!((backend.requests(), backend.execution_counts()["cut"]), (1, 1));
    let held_count = || async {
        test_node.node.admin.get("tenants/acme/status").await.unwrap().body["held"].as_u64().unwrap()
    };
    wait_until("no request is held", || async { held_count().await == 0 }).await;
}
