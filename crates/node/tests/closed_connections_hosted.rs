//! Clients of a hosted node that send many requests at once on a connection, and close it, over HTTP/1.1 and HTTP/3:
//! nothing is sent to a server for them afterwards, and none runs again when its id comes again.

use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use woodgap::hosted::config::{AdmissionConfig, ClientKeySources, HostedConfig};
use woodgap_admission::queue::AdmissionSettings;
use woodgap_testkit::admin::tenant_spec;
use woodgap_testkit::backend::{duplicate_effects, Backend, ServerBehavior};
use woodgap_testkit::client::ClientRequest;
use woodgap_testkit::http3::{self, Connection};
use woodgap_testkit::protocol_pair::{ProtocolPair, ProtocolTestNode};
use woodgap_testkit::wait_until;

/// Requests that a client sends at once: as many streams as an HTTP/3 connection may have.
const REQUESTS: usize = 64;
/// Requests that have reached the server when the client closes its connection.
const REACHED: [u64; 3] = [0, 1, 10];
/// How a request is served: slowly, so that most of them are open when the client closes its connection.
const SERVE_SLOWLY: ServerBehavior = ServerBehavior::Serve(Duration::from_millis(20));
/// Longer than a request may be sent to a server after its client has closed its connection.
const MAX_LATE: Duration = Duration::from_millis(100);

fn request(id: String) -> ClientRequest {
    ClientRequest::renew("acme", id).with_timeout(Duration::from_secs(10))
}

/// Admits two requests to the servers at a time, so that most of a client's requests wait at the node.
fn admit_two_at_a_time(config: &mut HostedConfig) {
    let settings =
        AdmissionSettings { max_wait: 20_000_000, max_in_flight: 2, ..AdmissionSettings::default() };
    config.admission = Some(AdmissionConfig { keys: ClientKeySources::parse(["query"]).unwrap(), settings });
}

/// Sends requests at once, closes the connection once some have reached the server, and returns when it did.
async fn send_and_close(
    test_node: &ProtocolTestNode,
    server: &Backend,
    round: usize,
    reached: u64,
) -> Instant {
    let before = server.requests();
    let requests = (0..REQUESTS).map(|n| request(format!("r{round}-{n}")));
    let has_reached = || async { server.requests() - before >= reached };
    if test_node.protocols.client_http3 {
        let certificates = std::slice::from_ref(&test_node.certificate.der);
        let connection = Connection::open(test_node.node.addr, certificates).await.unwrap();
        for request in requests {
            let (head, body) = http3::request_parts(&request).unwrap();
            let mut stream = connection.start_request(head).await.unwrap();
            stream.send_data(body).await.unwrap();
            stream.finish().await.unwrap();
            // Dropped, the stream would be reset.
            std::mem::forget(stream);
        }
        wait_until("requests have reached the server", has_reached).await;
        let closed_at = Instant::now();
        connection.quic().close(quinn::VarInt::from_u32(0x100), b"");
        return closed_at;
    }
    let mut stream = TcpStream::connect(test_node.client_listener().addr).await.unwrap();
    let text: String = requests
        .map(|request| {
            format!(
                "POST /api?key={0} HTTP/1.1\r\nHost: {1}\r\nX-Txn: {0}\r\nX-Lane: renew\r\nX-Org: acme\r\n\
                X-Remaining-Ms: 10000\r\nContent-Length: 5\r\n\r\nhello",
                request.txn, request.host
            )
        })
        .collect();
    stream.write_all(text.as_bytes()).await.unwrap();
    // Over HTTP/1.1 the requests of a connection are sent one after another.
    wait_until("requests have reached the server", has_reached).await;
    let closed_at = Instant::now();
    drop(stream);
    closed_at
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_of_a_closed_connection_are_not_sent_and_run_once_when_they_come_again() {
    for protocols in ProtocolPair::ALL {
        let test_node = ProtocolTestNode::start_with_config(protocols, admit_two_at_a_time).await.unwrap();
        let server = test_node.start_backend(SERVE_SLOWLY).await.unwrap();
        test_node.create_tenant("acme", &tenant_spec(20_000), &[&server]).await.unwrap();
        let held =
            || async { test_node.node.admin.get("tenants/acme/status").await.unwrap().body["held"].as_u64() };
        for (round, reached) in REACHED.into_iter().enumerate() {
            let closed_at = send_and_close(&test_node, &server, round, reached).await;
            wait_until("the node has seen the close", || async { held().await == Some(0) }).await;
            wait_until("a request could have been late", || async { closed_at.elapsed() > 3 * MAX_LATE })
                .await;
            let of_round = |id: &str| id.starts_with(&format!("r{round}-"));
            let received = server.received_requests();
            let late = received
                .iter()
                .filter(|request| of_round(&request.txn))
                .filter_map(|request| request.received_at.checked_duration_since(closed_at + MAX_LATE));
            assert_eq!(late.max(), None, "{protocols:?}, {reached} reached");
            // The same ids come again, each on a connection of its own.
            for n in (0..REQUESTS).step_by(7) {
                let again = request(format!("r{round}-{n}"));
                let status = test_node.send_request(&again).await.unwrap().status.as_u16();
                let had_run = received.iter().any(|request| request.txn == again.txn);
                assert!(
                    status == 409 || (status == 200 && !had_run),
                    "{protocols:?} {n}: {status}, {had_run}"
                );
            }
        }
        assert_eq!(duplicate_effects([&server]), 0, "{protocols:?}");
    }
}
