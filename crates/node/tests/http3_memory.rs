//! Tests that the requests which HTTP/3 clients keep open take no more memory than the node has for them.

use std::time::{Duration, Instant};

use bytes::Bytes;
use h3::error::{Code, StreamError};
use woodgap_testkit::admin::tenant_spec;
use woodgap_testkit::backend::ServerBehavior;
use woodgap_testkit::client::ClientRequest;
use woodgap_testkit::http3::{self, Connection, RequestStream};
use woodgap_testkit::protocol_pair::{Listener, ProtocolPair, ProtocolTestNode};
use woodgap_testkit::wait_until;

/// Memory of the node. A tenth is for further streams than the first ones of connections, 32 KiB for each, and a fifth for
/// connections, 160 KiB for each.
const NODE_MEMORY: usize = 10 * MAX_FURTHER_STREAMS * 32 * 1024;
const MAX_FURTHER_STREAMS: usize = 60;
/// Connections of clients that open streams, and one of another client.
const CONNECTIONS: usize = 4;
/// Streams that each of the clients opens: as many as a connection may have.
const STREAMS: usize = 64;

/// Opens streams with requests that stop before their end. A stream can be rejected while its head is still being written;
/// then it is `None`.
async fn open_stopped(connection: &Connection, name: &str) -> Vec<Option<RequestStream>> {
    let mut streams = Vec::new();
    for n in 0..STREAMS {
        let (head, _) = http3::request_parts(&ClientRequest::renew("acme", format!("{name}{n}"))).unwrap();
        match connection.start_request(head).await {
            Ok(mut stream) => {
                // Fails on a stream that has been rejected.
                let _ = stream.send_data(Bytes::from_static(b"x")).await;
                streams.push(Some(stream));
            }
            Err(error) => {
                let cause = error.get_ref().and_then(|cause| cause.downcast_ref::<StreamError>());
                assert!(cause.is_some_and(is_rejection), "{error}");
                streams.push(None);
            }
        }
    }
    streams
}

/// Whether the node has rejected a request without processing it.
fn is_rejection(error: &StreamError) -> bool {
    matches!(error, StreamError::RemoteTerminate { code, .. } if *code == Code::H3_REQUEST_REJECTED)
}

/// Whether the node has rejected the request on a stream without processing it.
async fn is_rejected(stream: &mut Option<RequestStream>) -> bool {
    match stream {
        Some(stream) => stream.recv_response().await.is_err_and(|error| is_rejection(&error)),
        None => true,
    }
}

// Guards against a node over its memory limit: 60 clients with 64 requests each that wrote slowly took a node of 48 MB
// to 81 MB, as a request took some 20 KB from the moment at which its stream was opened, refused or not.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_beyond_the_memory_for_http3_are_rejected() {
    let pair = ProtocolPair { client_http3: true, server_http3: false };
    let test_node =
        ProtocolTestNode::start_with_config(pair, |config| config.memory = NODE_MEMORY).await.unwrap();
    let server = test_node.start_backend(ServerBehavior::Serve(Duration::ZERO)).await.unwrap();
    test_node.create_tenant("acme", &tenant_spec(20_000), &[&server]).await.unwrap();
    let certificates = std::slice::from_ref(&test_node.certificate.der);
    let (mut connections, mut streams) = (Vec::new(), Vec::new());
    for n in 0..CONNECTIONS - 1 {
        let connection = Connection::open(test_node.node.addr, certificates).await.unwrap();
        streams.extend(open_stopped(&connection, &format!("stopped{n}-")).await);
        connections.push(connection);
    }
    // A client with one request at a time is served meanwhile.
    let connection = Connection::open(test_node.node.addr, certificates).await.unwrap();
    for n in 0..20 {
        let response =
            connection.send_request(&ClientRequest::renew("acme", format!("served{n}"))).await.unwrap();
        assert_eq!(response.status, 200, "{n}");
    }
    let mut rejected = 0;
    for stream in &mut streams {
        rejected += usize::from(is_rejected(stream).await);
    }
    let admitted = streams.len() - rejected;
    assert_eq!(admitted, CONNECTIONS - 1 + MAX_FURTHER_STREAMS);
}

/// Connections over HTTP/3 that a node of [`SMALL_NODE_MEMORY`] has memory for.
const MAX_CONNECTIONS: usize = 4;
const SMALL_NODE_MEMORY: usize = 5 * MAX_CONNECTIONS * 160 * 1024;
/// Longer than a connection is idle before it may give way to others.
const EVICTABLE_AFTER: Duration = Duration::from_millis(2_500);

// Guards against connections over HTTP/1.1 that are closed for those over HTTP/3, although they hold none of the memory
// that these lack.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lack_of_memory_for_http3_closes_no_connection_over_http1() {
    let pair = ProtocolPair { client_http3: true, server_http3: false };
    let test_node =
        ProtocolTestNode::start_with_config(pair, |config| config.memory = SMALL_NODE_MEMORY).await.unwrap();
    let server = test_node.start_backend(ServerBehavior::Serve(Duration::ZERO)).await.unwrap();
    test_node.create_tenant("acme", &tenant_spec(60_000), &[&server]).await.unwrap();
    let plain = Listener { addr: test_node.node.listener("plain").unwrap(), trusted_certificate: None };
    let mut idle = Vec::new();
    for n in 0..MAX_CONNECTIONS {
        let mut client = plain.connect().await.unwrap();
        let request = ClientRequest::lookup("acme", format!("first{n}"));
        assert_eq!(client.send_request(&request).await.unwrap().status, 200);
        idle.push(client);
    }
    let idle_since = Instant::now();
    server.set_behavior(ServerBehavior::HoldRequests);
    let certificates = std::slice::from_ref(&test_node.certificate.der);
    let mut busy = Vec::new();
    for n in 0..MAX_CONNECTIONS {
        let connection = Connection::open(test_node.node.addr, certificates).await.unwrap();
        let request = ClientRequest::lookup("acme", format!("held{n}")).with_timeout(Duration::from_secs(60));
        let mut stream = connection.start_request(http3::request_parts(&request).unwrap().0).await.unwrap();
        stream.finish().await.unwrap();
        busy.push((connection, stream));
    }
    let all_held = || async { server.requests() == 2 * MAX_CONNECTIONS as u64 };
    wait_until("all requests over HTTP/3 are at the server", all_held).await;
    while idle_since.elapsed() < 2 * EVICTABLE_AFTER {
        assert!(Connection::open(test_node.node.addr, certificates).await.is_err());
    }
    server.set_behavior(ServerBehavior::Serve(Duration::ZERO));
    for (n, client) in idle.iter_mut().enumerate() {
        assert!(client.is_open(), "connection {n} over HTTP/1.1");
        let request = ClientRequest::lookup("acme", format!("second{n}"));
        assert_eq!(client.send_request(&request).await.unwrap().status, 200);
    }
}
