//! Lost datagrams, new certificates, SIGTERM and early data while requests are open.

use super::*;

// Datagrams are lost, duplicated and reordered, and the client's address changes while renews are in flight:
// each is answered once and runs once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn packet_loss_and_migration_lose_no_request_and_run_none_twice() {
    let test_node = start_test_node().await;
    let backend = start_server(true, ServerBehavior::Serve(Duration::from_millis(5))).await;
    test_node.node.admin.create_tenant("acme", &tenant_spec(8_000), &[]).await.unwrap();
    assert_eq!(test_node.add_backend("acme", "s", &backend).await.unwrap().status, 201);
    let relay = DatagramRelay::start(test_node.node.addr, 7).await.unwrap();
    relay.set_faults(DatagramFaults { loss: 0.1, duplicate: 0.05, reorder: 0.05 });
    let connecting = Connection::open(relay.addr, std::slice::from_ref(&test_node.certificate.der));
    let quic = std::sync::Arc::new(tokio::time::timeout(DEFAULT_TIMEOUT, connecting).await.unwrap().unwrap());
    for round in 0..10 {
        let pending_responses: Vec<_> = (0..8)
            .map(|n| {
                let (quic, request) = (quic.clone(), ClientRequest::renew("acme", format!("r{round}-{n}")));
                tokio::spawn(
                    async move { quic.send_request(&request.with_timeout(Duration::from_secs(8))).await },
                )
            })
            .collect();
        // In alternate rounds, the client migrates to another port and connection id, or a NAT on the path
        // rebinds the client's address without its knowledge.
        if round % 2 == 0 {
            quic.rebind().unwrap();
        } else {
            relay.rebind();
        }
        for pending in pending_responses {
            assert_eq!(pending.await.unwrap().unwrap().status, 200, "{round}");
        }
    }
    assert!(relay.dropped() > 3, "{}", relay.dropped());
    assert_eq!((duplicate_effects([&backend]), backend.requests()), (0, 80));
}

// A certificate is replaced under load and the node gets SIGHUP: open connections continue, and new ones have
// the new certificate, over UDP and TCP.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn certificate_is_replaced_under_load() {
    let test_node = start_test_node().await;
    let backend = Backend::start(SERVE_AT_ONCE).await.unwrap();
    test_node.node.admin.create_tenant("acme", &tenant_spec(2_000), &[backend.addr]).await.unwrap();
    let quic = std::sync::Arc::new(connect(&test_node).await);
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let load = {
        let (quic, stop) = (quic.clone(), stop.clone());
        tokio::spawn(async move {
            let mut request_count = 0;
            while !stop.load(std::sync::atomic::Ordering::SeqCst) {
                let request = ClientRequest::renew("acme", format!("c{request_count}"));
                assert_eq!(quic.send_request(&request).await.unwrap().status, 200);
                request_count += 1;
            }
            request_count
        })
    };
    let second_folder = tempfile::tempdir().unwrap();
    let second_certificate = generate_certificate(second_folder.path()).unwrap();
    std::fs::copy(&second_certificate.chain, &test_node.certificate.chain).unwrap();
    std::fs::copy(&second_certificate.key, &test_node.certificate.key).unwrap();
    let kill_status =
        std::process::Command::new("kill").args(["-HUP", &std::process::id().to_string()]).status();
    assert!(kill_status.unwrap().success());
    let new_trust = std::slice::from_ref(&second_certificate.der);
    wait_until("new connections have the new certificate", || async {
        Connection::open(test_node.node.addr, new_trust).await.is_ok()
    })
    .await;
    assert!(Connection::open(test_node.node.addr, std::slice::from_ref(&test_node.certificate.der))
        .await
        .is_err());
    let mut tcp = client::Connection::open_tls(test_node.node.addr, http1_tls_config(new_trust).unwrap())
        .await
        .unwrap();
    assert_eq!(tcp.send_request(&ClientRequest::lookup("acme", "tcp")).await.unwrap().status, 200);
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    assert!(load.await.unwrap() > 0 && quic.is_open());
    assert_eq!(quic.send_request(&ClientRequest::lookup("acme", "old")).await.unwrap().status, 200);
    assert_eq!(duplicate_effects([&backend]), 0);
}

// On SIGTERM under load every request is answered, or its stream is reset with the code of a request that
// never ran, so that a client can send it elsewhere without running it twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_under_load_gives_every_request_one_outcome() {
    let mut test_node = start_test_node().await;
    let backend = Backend::start(ServerBehavior::Serve(Duration::from_millis(10))).await.unwrap();
    test_node.node.admin.create_tenant("acme", &tenant_spec(4_000), &[backend.addr]).await.unwrap();
    let mut clients = tokio::task::JoinSet::new();
    for client_index in 0..4 {
        let quic = connect(&test_node).await;
        clients.spawn(async move {
            let (mut answered, mut refused) = (Vec::new(), Vec::new());
            for n in 0.. {
                let txn = format!("d{client_index}-{n}");
                match quic
                    .send_request(
                        &ClientRequest::renew("acme", txn.clone()).with_timeout(Duration::from_secs(4)),
                    )
                    .await
                {
                    Ok(response) if response.status == 200 => answered.push(txn),
                    Ok(response) => panic!("{txn}: {response:?}"),
                    Err(_) => {
                        refused.push(txn);
                        break;
                    }
                }
            }
            (answered, refused)
        });
    }
    wait_until("the server is under load", || async { backend.requests() > 100 }).await;
    let node = test_node.node.node.take().unwrap();
    tokio::task::spawn_blocking(move || node.stop()).await.unwrap().unwrap();
    let execution_counts = backend.execution_counts();
    while let Some(client) = clients.join_next().await {
        let (answered, refused) = client.unwrap();
        assert!(answered.len() > 10 && refused.len() == 1);
        for txn in answered {
            assert_eq!(execution_counts.get(&txn), Some(&1), "{txn}");
        }
        for txn in refused {
            assert_eq!(execution_counts.get(&txn), None, "{txn} ran though it was rejected");
        }
    }
}

// Early data could be replayed, so the node accepts it for no request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn early_data_is_not_accepted() {
    let test_node = start_test_node().await;
    let trusted = std::slice::from_ref(&test_node.certificate.der);
    assert!(!Connection::accepts_early_data(test_node.node.addr, trusted).await.unwrap());
}

// On SIGTERM accepted requests finish, the client gets GOAWAY, and later requests provably never run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_node_finishes_accepted_requests_and_rejects_later_ones() {
    let mut test_node = start_test_node().await;
    let backend = Backend::start(ServerBehavior::HoldRequests).await.unwrap();
    test_node.node.admin.create_tenant("acme", &tenant_spec(8_000), &[backend.addr]).await.unwrap();
    let quic = std::sync::Arc::new(connect(&test_node).await);
    let held_response = {
        let quic = quic.clone();
        let request = ClientRequest::renew("acme", "held").with_timeout(Duration::from_secs(8));
        tokio::spawn(async move { quic.send_request(&request).await })
    };
    wait_until("the request is at the server", || async { backend.requests() == 1 }).await;
    let node = test_node.node.node.take().unwrap();
    let stopped = tokio::task::spawn_blocking(move || node.stop());
    // Requests are accepted until the client has received GOAWAY; these wait at the server.
    let mut rejected = None;
    let mut accepted = Vec::new();
    for n in 0..200 {
        let (quic, request) = (
            quic.clone(),
            ClientRequest::renew("acme", format!("late{n}")).with_timeout(Duration::from_secs(8)),
        );
        let pending = tokio::spawn(async move { quic.send_request(&request).await });
        tokio::time::sleep(Duration::from_millis(20)).await;
        if pending.is_finished() {
            rejected = Some((n, pending.await.unwrap()));
            break;
        }
        accepted.push(pending);
    }
    let (n, rejected) = rejected.expect("a request is rejected while the node drains");
    assert!(rejected.is_err(), "{rejected:?}");
    backend.set_behavior(SERVE_AT_ONCE);
    assert_eq!(held_response.await.unwrap().unwrap().status, 200);
    for pending in accepted {
        assert_eq!(pending.await.unwrap().unwrap().status, 200);
    }
    stopped.await.unwrap().unwrap();
    assert!(!backend.execution_counts().contains_key(&format!("late{n}")));
    assert_eq!(duplicate_effects([&backend]), 0);
}
