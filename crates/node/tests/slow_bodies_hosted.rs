//! Tests of the hosted node with clients whose long bodies arrive slowly, over HTTP/1.1 and HTTP/3.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderValue;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use woodgap_testkit::admin::tenant_spec;
use woodgap_testkit::backend::ServerBehavior;
use woodgap_testkit::client::ClientRequest;
use woodgap_testkit::http3::{self, Connection, RequestStream};
use woodgap_testkit::protocol_pair::{ProtocolPair, ProtocolTestNode};

/// Memory of the node, an eighth of which bodies may take.
const NODE_MEMORY: usize = 16 << 20;
/// Length of a body that is not short.
const LONG_BODY_BYTES: usize = 20_000;
/// More requests than the node holds: one for each 256 KiB of its memory.
const SLOW_REQUESTS: usize = 80;
/// How many of them share an HTTP/3 connection.
const REQUESTS_PER_CONNECTION: usize = 10;
const REQUESTS: usize = 60;

/// A request whose long body arrives slowly.
enum SlowRequest {
    Http1(TcpStream),
    Http3(Box<RequestStream>),
}

impl SlowRequest {
    /// Sends the head of a request over HTTP/1.1, on a connection of its own.
    async fn start_http1(test_node: &ProtocolTestNode, request: &ClientRequest) -> SlowRequest {
        let mut stream = TcpStream::connect(test_node.client_listener().addr).await.unwrap();
        let head = format!(
            "POST /api?key={0} HTTP/1.1\r\nHost: {1}\r\nX-Txn: {0}\r\nX-Lane: renew\r\nX-Org: acme\r\n\
            X-Remaining-Ms: 2000\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n",
            request.txn, request.host
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        SlowRequest::Http1(stream)
    }

    /// Sends the head of a request over HTTP/3.
    async fn start_http3(connection: &Connection, request: &ClientRequest) -> SlowRequest {
        let mut head = http3::request_parts(request).unwrap().0;
        head.headers_mut().insert("content-length", HeaderValue::from(LONG_BODY_BYTES));
        SlowRequest::Http3(Box::new(connection.start_request(head).await.unwrap()))
    }

    /// Sends one byte of the body. Returns whether the node still takes it.
    async fn send_byte(&mut self) -> bool {
        match self {
            SlowRequest::Http1(stream) => stream.write_all(b"x").await.is_ok(),
            SlowRequest::Http3(stream) => stream.send_data(Bytes::from_static(b"x")).await.is_ok(),
        }
    }
}

// Guards against refusals: a body's bytes, and one of the requests that the node holds, were reserved for as long as
// the body arrived, so that clients that wrote slowly had all other requests of the tenant refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_served_beside_long_bodies_that_arrive_slowly() {
    for client_http3 in [false, true] {
        let pair = ProtocolPair { client_http3, server_http3: false };
        let test_node =
            ProtocolTestNode::start_with_config(pair, |config| config.memory = NODE_MEMORY).await.unwrap();
        let server = test_node.start_backend(ServerBehavior::Serve(Duration::ZERO)).await.unwrap();
        test_node.create_tenant("acme", &tenant_spec(2_000), &[&server]).await.unwrap();
        let certificates = std::slice::from_ref(&test_node.certificate.der);
        let (mut slow_requests, mut connections) = (Vec::new(), Vec::new());
        for n in 0..SLOW_REQUESTS {
            let request = ClientRequest::renew("acme", format!("slow{n}"));
            if !client_http3 {
                slow_requests.push(SlowRequest::start_http1(&test_node, &request).await);
                continue;
            }
            if n % REQUESTS_PER_CONNECTION == 0 {
                connections.push(Connection::open(test_node.node.addr, certificates).await.unwrap());
            }
            slow_requests.push(SlowRequest::start_http3(connections.last().unwrap(), &request).await);
        }
        for n in 0..REQUESTS {
            // No body stalls for as long as it may be refused for. Some were refused at once: one is enough.
            let mut writing = 0;
            for request in &mut slow_requests {
                writing += usize::from(request.send_byte().await);
            }
            assert!(writing > 0, "{pair:?}");
            for request in [
                ClientRequest::renew("acme", format!("r{n}")),
                ClientRequest::lookup("acme", format!("l{n}")),
            ] {
                let response = test_node.send_request(&request).await.unwrap();
                assert_eq!(response.status, 200, "{pair:?} {n}: {response:?}");
            }
        }
    }
}
