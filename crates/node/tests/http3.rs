//! Tests of the hosted node that are specific to HTTP/3 and to HTTP/1.1 over TLS. Behavior that does not
//! depend on the protocol is tested in `suite.rs`.

#[path = "http3/clients.rs"]
mod clients;
#[path = "http3/servers.rs"]
mod servers;
#[path = "http3/trust.rs"]
mod trust;
#[path = "http3/under_load.rs"]
mod under_load;

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Request;
use serde_json::json;
use woodgap_testkit::admin::{tenant_spec, Precondition};
use woodgap_testkit::backend::{duplicate_effects, Backend, BackendOptions, ServerBehavior};
use woodgap_testkit::client::{self, ClientRequest};
use woodgap_testkit::http3::{self, generate_certificate, http1_tls_config, Connection};
use woodgap_testkit::outcomes;
use woodgap_testkit::protocol_pair::{ProtocolPair, ProtocolTestNode};
use woodgap_testkit::relay::{DatagramFaults, DatagramRelay};
use woodgap_testkit::{wait_until, DEFAULT_TIMEOUT};

const SERVE_AT_ONCE: ServerBehavior = ServerBehavior::Serve(Duration::ZERO);

/// Starts a node that speaks both protocols over TLS.
async fn start_test_node() -> ProtocolTestNode {
    ProtocolTestNode::start(ProtocolPair { client_http3: true, server_http3: true }).await.unwrap()
}

async fn connect(test_node: &ProtocolTestNode) -> Connection {
    let connecting = Connection::open(test_node.node.addr, std::slice::from_ref(&test_node.certificate.der));
    tokio::time::timeout(DEFAULT_TIMEOUT, connecting).await.unwrap().unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_is_answered_over_either_protocol() {
    let test_node = start_test_node().await;
    let backend = Backend::start(SERVE_AT_ONCE).await.unwrap();
    test_node.node.admin.create_tenant("acme", &tenant_spec(2_000), &[backend.addr]).await.unwrap();
    // A client that connects by TCP learns of HTTP/3 from Alt-Svc.
    let tls = http1_tls_config(std::slice::from_ref(&test_node.certificate.der)).unwrap();
    let mut tcp = client::Connection::open_tls(test_node.node.addr, tls).await.unwrap();
    let response = tcp.send_request(&ClientRequest::lookup("acme", "t1")).await.unwrap();
    let alt_svc = format!("h3=\":{}\"; ma=3600", test_node.node.addr.port());
    assert_eq!(
        (response.status.as_u16(), response.headers["alt-svc"].to_str().unwrap()),
        (200, alt_svc.as_str())
    );
    let quic = connect(&test_node).await;
    for (n, request) in
        [ClientRequest::lookup("acme", "q1"), ClientRequest::renew("acme", "q2")].iter().enumerate()
    {
        let response = quic.send_request(request).await.unwrap();
        assert_eq!((response.status.as_u16(), response.body.as_ref()), (200, request.txn.as_bytes()), "{n}");
    }
    // Many concurrent requests on one connection.
    let requests = (0..50).map(|n| ClientRequest::lookup("acme", format!("m{n}"))).collect::<Vec<_>>();
    let quic = std::sync::Arc::new(quic);
    let pending_responses: Vec<_> = requests
        .into_iter()
        .map(|request| {
            let quic = quic.clone();
            tokio::spawn(async move { quic.send_request(&request).await.unwrap().status })
        })
        .collect();
    for pending in pending_responses {
        assert_eq!(pending.await.unwrap(), 200);
    }
    assert_eq!(backend.execution_counts()["q2"], 1);
}

// Requests that cannot be accepted get the same response over TCP and QUIC.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_requests_get_the_same_response_over_either_protocol() {
    let test_node = start_test_node().await;
    let backend = Backend::start(SERVE_AT_ONCE).await.unwrap();
    test_node.node.admin.create_tenant("acme", &tenant_spec(2_000), &[backend.addr]).await.unwrap();
    let tls = http1_tls_config(std::slice::from_ref(&test_node.certificate.der)).unwrap();
    let quic = connect(&test_node).await;
    let complete = ClientRequest::lookup("acme", "t");
    for invalid in [
        ClientRequest { txn: String::new(), ..complete.clone() },
        ClientRequest { class: "unknown".into(), ..complete.clone() },
        ClientRequest { org: Some("nobody".into()), ..complete.clone() },
        ClientRequest { org: None, ..complete.clone() },
        ClientRequest { safe: false, ..complete.clone() },
        ClientRequest { class: "renew".into(), ..complete.clone() },
        ClientRequest { txn: "x".repeat(200), ..complete.clone() },
    ] {
        let mut tcp = client::Connection::open_tls(test_node.node.addr, tls.clone()).await.unwrap();
        let (http1_response, http3_response) =
            (tcp.send_request(&invalid).await.unwrap(), quic.send_request(&invalid).await.unwrap());
        assert_eq!(
            (http1_response.status, &http1_response.body),
            (http3_response.status, &http3_response.body),
            "{invalid:?}"
        );
        assert!(http1_response.status.is_client_error(), "{http1_response:?}");
    }
    assert_eq!(backend.requests(), 0);
}

// Requests with fields that HTTP/3 forbids, or whose content-length differs from the body's length, are not
// forwarded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_http3_forbids_are_never_forwarded() {
    let test_node = start_test_node().await;
    let backend = Backend::start(SERVE_AT_ONCE).await.unwrap();
    test_node.node.admin.create_tenant("acme", &tenant_spec(2_000), &[backend.addr]).await.unwrap();
    let quic = connect(&test_node).await;
    let renew_with_headers = |headers: &[(&'static str, &'static str)]| {
        let (request, _) = http3::request_parts(&ClientRequest::renew("acme", "odd")).unwrap();
        let (mut parts, ()) = request.into_parts();
        for (name, value) in headers {
            parts.headers.insert(*name, hyper::header::HeaderValue::from_static(value));
        }
        Request::from_parts(parts, ())
    };
    for (headers, body) in [
        (&[("connection", "close")][..], "hello"),
        (&[("transfer-encoding", "chunked")], "hello"),
        (&[("upgrade", "h2c")], "hello"),
        (&[("te", "gzip")], "hello"),
        (&[("content-length", "4")], "hello"),
        (&[("content-length", "6")], "hello"),
        (&[("content-length", "0")], "hello"),
        (&[("content-length", "+5")], "hello"),
        (&[], "hello, hello"),
    ] {
        let mut stream = quic.start_request(renew_with_headers(headers)).await.unwrap();
        // The node may have answered before the whole body was written.
        let _ = stream.send_data(Bytes::from(body)).await;
        let _ = stream.finish().await;
        let response = http3::read_response(&mut stream, Instant::now()).await.unwrap();
        assert_eq!(response.status, 400, "{headers:?} {response:?}");
    }
    // A lookup must not have a body.
    let (request, _) = http3::request_parts(&ClientRequest::lookup("acme", "bodied")).unwrap();
    let mut stream = quic.start_request(request).await.unwrap();
    let _ = stream.send_data(Bytes::from_static(b"GET /api HTTP/1.1\r\n\r\n")).await;
    let _ = stream.finish().await;
    assert_eq!(http3::read_response(&mut stream, Instant::now()).await.unwrap().status, 400);
    assert_eq!(backend.requests(), 0);
    // The connection remains usable.
    assert_eq!(quic.send_request(&ClientRequest::lookup("acme", "good")).await.unwrap().status, 200);
}

/// Starts a server of either protocol.
async fn start_server(http3: bool, behavior: ServerBehavior) -> Backend {
    ProtocolPair { client_http3: true, server_http3: http3 }.start_backend(behavior).await.unwrap()
}
