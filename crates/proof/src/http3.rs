//! Compares HTTP/3 with HTTP/1.1 on one node in one run: outcomes under faults, load, datagram loss,
//! connection migration, and the cost of idle and abusive connections.

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use woodgap_testkit::admin::{tenant_spec, Admin};
use woodgap_testkit::backend::{duplicate_effects, Backend, BackendOptions, ServerBehavior};
use woodgap_testkit::client::{self, ClientRequest, ClientResponse};
use woodgap_testkit::hosted::{write_tokens, OPERATOR_SECRET};
use woodgap_testkit::http3::{self, generate_certificate, http1_tls_config, Certificate};
use woodgap_testkit::load::quantile;
use woodgap_testkit::outcomes;
use woodgap_testkit::protocol_pair::{ProtocolPair, ProtocolTestNode};
use woodgap_testkit::relay::{DatagramFaults, DatagramRelay};

use crate::process::{hosted_program, NodeProcess};
use crate::tenants::{compare_platform_builds, median_min_max, rounded};

type BoxError = Box<dyn Error>;

/// HTTP/3 connections that the workers share.
const CONNECTIONS: usize = 16;
/// Concurrent requests for either protocol.
const WORKERS: usize = 48;

/// A node with an HTTP/1.1 and HTTP/3 listener in a process of its own, with its temporary folder.
struct TestNode {
    process: NodeProcess,
    admin: Admin,
    certificate: Certificate,
    _folder: tempfile::TempDir,
}

fn start_test_node() -> Result<TestNode, BoxError> {
    let folder = tempfile::tempdir()?;
    write_tokens(&folder.path().join("tokens.toml"))?;
    let certificate = generate_certificate(folder.path())?;
    let config = "name = \"n1\"\n[limits]\nsockets = 4096\n[[listen]]\nname = \"public\"\n\
        address = \"127.0.0.1:0\"\nprotocols = [\"http1\", \"http3\"]\ncertificate = \"chain.pem\"\nkey = \"key.pem\"\n\
        [store]\npath = \"catalogue.redb\"\n[admin]\nlisten = \"127.0.0.1:0\"\ntoken_file = \"tokens.toml\"\n";
    let path = folder.path().join("hosted.toml");
    std::fs::write(&path, config)?;
    let path = path.to_str().ok_or("the path of the temporary folder is not UTF-8")?;
    let process = NodeProcess::start(&hosted_program()?, &["serve", "--config", path], &[], Duration::ZERO)?;
    let admin = Admin {
        addr: process.admin.ok_or("the node logged no address of its administration API")?,
        secret: OPERATOR_SECRET.into(),
    };
    Ok(TestNode { process, admin, certificate, _folder: folder })
}

impl TestNode {
    /// Opens an HTTP/3 connection to `addr`, which is the node's address or that of a relay to it.
    async fn open_quic(&self, addr: SocketAddr) -> Result<Arc<http3::Connection>, BoxError> {
        let trusted = std::slice::from_ref(&self.certificate.der);
        Ok(Arc::new(http3::Connection::open(addr, trusted).await?))
    }
}

/// Result of a load.
#[derive(Default)]
struct LoadResult {
    /// Response times of the served requests, in ms.
    served_ms: Vec<f64>,
    served: u64,
    refused: u64,
    lost: u64,
    /// Duration of the load in seconds.
    elapsed_s: f64,
}

impl LoadResult {
    fn record(&mut self, response: std::io::Result<ClientResponse>, since: Instant) {
        match response.map(|response| response.status.as_u16()) {
            Ok(200) => {
                self.served += 1;
                self.served_ms.push(since.elapsed().as_secs_f64() * 1e3);
            }
            Ok(429 | 503) => self.refused += 1,
            _ => self.lost += 1,
        }
    }

    fn merge(&mut self, other: LoadResult) {
        self.served_ms.extend(other.served_ms);
        self.served += other.served;
        self.refused += other.refused;
        self.lost += other.lost;
    }

    fn served_quantile(&mut self, part: f64) -> f64 {
        self.served_ms.sort_by(f64::total_cmp);
        quantile(&self.served_ms, part)
    }

    fn served_per_s(&self) -> f64 {
        self.served as f64 / self.elapsed_s.max(1e-9)
    }
}

/// Returns a request; one in four is not safe to repeat.
fn mixed_request(name: &str, n: u64) -> ClientRequest {
    match n % 4 {
        0 => ClientRequest::renew("acme", format!("{name}-{n}")),
        _ => ClientRequest {
            key: format!("k{}", n % 500),
            ..ClientRequest::lookup("acme", format!("{name}-{n}"))
        },
    }
}

/// Runs a closed-loop load over HTTP/3: each worker sends its next request after the response and a pause.
async fn quic_load(
    connections: &[Arc<http3::Connection>],
    name: &str,
    span: Duration,
    pause: Duration,
) -> Result<LoadResult, BoxError> {
    let (next, start) = (Arc::new(AtomicU64::new(0)), Instant::now());
    let mut workers = tokio::task::JoinSet::new();
    for worker in 0..WORKERS {
        let (connection, next, name) =
            (connections[worker % connections.len()].clone(), next.clone(), name.to_owned());
        workers.spawn(async move {
            let mut result = LoadResult::default();
            while start.elapsed() < span {
                let request = mixed_request(&name, next.fetch_add(1, Ordering::Relaxed));
                let since = Instant::now();
                result.record(connection.send_request(&request).await, since);
                tokio::time::sleep(pause).await;
            }
            result
        });
    }
    join_workers(workers, start).await
}

/// Runs a closed-loop load over HTTP/1.1 and TLS, with one connection for each worker because a connection
/// carries one request at a time.
async fn tcp_load(test_node: &TestNode, name: &str, span: Duration) -> Result<LoadResult, BoxError> {
    let tls = http1_tls_config(std::slice::from_ref(&test_node.certificate.der))?;
    let mut connections = Vec::new();
    for _ in 0..WORKERS {
        connections.push(client::Connection::open_tls(test_node.process.addr, tls.clone()).await?);
    }
    let (next, start) = (Arc::new(AtomicU64::new(0)), Instant::now());
    let mut workers = tokio::task::JoinSet::new();
    for mut connection in connections {
        let (next, name, tls, addr) = (next.clone(), name.to_owned(), tls.clone(), test_node.process.addr);
        workers.spawn(async move {
            let mut result = LoadResult::default();
            while start.elapsed() < span {
                if !connection.is_open() {
                    let Ok(reopened) = client::Connection::open_tls(addr, tls.clone()).await else { break };
                    connection = reopened;
                }
                let request = mixed_request(&name, next.fetch_add(1, Ordering::Relaxed));
                let since = Instant::now();
                result.record(connection.send_request(&request).await, since);
            }
            result
        });
    }
    join_workers(workers, start).await
}

/// Waits for all workers and merges their results.
async fn join_workers(
    mut workers: tokio::task::JoinSet<LoadResult>,
    start: Instant,
) -> Result<LoadResult, BoxError> {
    let mut total = LoadResult::default();
    while let Some(result) = workers.join_next().await {
        total.merge(result?);
    }
    total.elapsed_s = start.elapsed().as_secs_f64();
    Ok(total)
}

/// Starts four servers and creates the tenant that uses them.
async fn create_tenant(test_node: &TestNode) -> Result<Vec<Backend>, BoxError> {
    let mut servers = Vec::new();
    for _ in 0..4 {
        let options = BackendOptions {
            cores: 256,
            queue_limit: 4_096,
            record_requests: false,
            ..BackendOptions::default()
        };
        servers.push(Backend::start_with(ServerBehavior::Serve(Duration::from_millis(1)), options).await?);
    }
    let addrs: Vec<SocketAddr> = servers.iter().map(|server| server.addr).collect();
    test_node.admin.create_tenant("acme", &tenant_spec(4_000), &addrs).await?;
    Ok(servers)
}

/// Measures throughput, CPU time and response times of both protocols in alternating rounds, then HTTP/3
/// under datagram loss.
async fn load(long: bool) -> Result<Value, BoxError> {
    let test_node = start_test_node()?;
    let servers = create_tenant(&test_node).await?;
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        connections.push(test_node.open_quic(test_node.process.addr).await?);
    }
    let span = Duration::from_secs(if long { 10 } else { 3 });
    // Creates the pools and connections, and grows the congestion windows, before anything is measured.
    quic_load(&connections, "warm3", Duration::from_secs(1), Duration::ZERO).await?;
    tcp_load(&test_node, "warm1", Duration::from_secs(1)).await?;
    // Merged results, requests per second of each round, and CPU time per request of each round in
    // microseconds.
    let (mut quic, mut tcp) =
        ((LoadResult::default(), Vec::new(), Vec::new()), (LoadResult::default(), Vec::new(), Vec::new()));
    for round in 0..3 {
        for is_quic in [round % 2 == 0, round % 2 != 0] {
            let cpu = test_node.process.cpu_s()?;
            let result = match is_quic {
                true => quic_load(&connections, &format!("q{round}"), span, Duration::ZERO).await?,
                false => tcp_load(&test_node, &format!("t{round}"), span).await?,
            };
            let cpu_us = (test_node.process.cpu_s()? - cpu) * 1e6 / result.served.max(1) as f64;
            let protocol = if is_quic { &mut quic } else { &mut tcp };
            protocol.1.push(result.served_per_s());
            protocol.2.push(cpu_us);
            protocol.0.merge(result);
        }
    }
    let mut figures = json!({});
    for (name, (result, per_s, cpu_us)) in [("h3", &mut quic), ("h1", &mut tcp)] {
        let (rate, min_rate, max_rate) = median_min_max(per_s);
        let (cost, min_cost, max_cost) = median_min_max(cpu_us);
        println!(
            "{name}: {rate:.0}/s ({min_rate:.0} to {max_rate:.0}), {cost:.1} us per request, p50 {:.2} p99 {:.2} ms, lost {}",
            result.served_quantile(0.5),
            result.served_quantile(0.99),
            result.lost
        );
        figures[format!("{name}_per_s")] = json!(rounded(rate));
        figures[format!("{name}_per_s_spread")] = json!([rounded(min_rate), rounded(max_rate)]);
        figures[format!("{name}_cpu_us_per_request")] = json!(rounded(cost));
        figures[format!("{name}_cpu_us_per_request_spread")] = json!([rounded(min_cost), rounded(max_cost)]);
        figures[format!("{name}_p50_ms")] = json!(rounded(result.served_quantile(0.5)));
        figures[format!("{name}_p99_ms")] = json!(rounded(result.served_quantile(0.99)));
        figures[format!("{name}_lost")] = json!(result.lost);
        figures[format!("{name}_refused")] = json!(result.refused);
    }
    figures["h3_to_h1_throughput_ratio"] =
        json!(rounded(median_min_max(&quic.1).0 / median_min_max(&tcp.1).0.max(1e-9)));
    for (part, name) in [(0.0, "no"), (0.01, "1_percent"), (0.05, "5_percent")] {
        let relay = DatagramRelay::start(test_node.process.addr, 7).await?;
        let mut connections = Vec::new();
        for _ in 0..CONNECTIONS {
            connections.push(test_node.open_quic(relay.addr).await?);
        }
        relay.set_faults(DatagramFaults { loss: part, ..DatagramFaults::default() });
        let mut result =
            quic_load(&connections, &format!("l{name}"), span, Duration::from_millis(20)).await?;
        println!(
            "h3 with {part} of datagrams lost: p50 {:.2} p99 {:.2} ms, lost {}",
            result.served_quantile(0.5),
            result.served_quantile(0.99),
            result.lost
        );
        figures[format!("h3_p99_ms_{name}_loss")] = json!(rounded(result.served_quantile(0.99)));
        figures[format!("h3_lost_{name}_loss")] = json!(result.lost);
    }
    figures["load_second_effects"] = json!(duplicate_effects(&servers));
    Ok(figures)
}

/// Measures connection migration: clients change their addresses while requests are open.
async fn migrations(count: usize) -> Result<Value, BoxError> {
    let test_node = start_test_node()?;
    let servers = create_tenant(&test_node).await?;
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        connections.push(test_node.open_quic(test_node.process.addr).await?);
    }
    let span = Duration::from_millis(5 * count as u64 + 500);
    let rebinds = {
        let connections = connections.clone();
        tokio::spawn(async move {
            for n in 0..count {
                connections[n % CONNECTIONS].rebind()?;
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            Ok::<_, std::io::Error>(())
        })
    };
    let result = quic_load(&connections, "m", span, Duration::from_millis(5)).await?;
    rebinds.await??;
    let closed = connections.iter().filter(|connection| !connection.is_open()).count();
    println!(
        "migrations: {count}, served {}, lost {}, connections closed {closed}",
        result.served, result.lost
    );
    Ok(json!({
        "migrations": count,
        "migration_served": result.served,
        "migration_lost": result.lost,
        "migration_connections_ended": closed,
        "migration_second_effects": duplicate_effects(&servers),
    }))
}

/// Measures the memory of idle connections, and the effect on other connections of one that opens and cancels
/// requests as fast as it can.
async fn bounds() -> Result<Value, BoxError> {
    const IDLE: usize = 500;
    let test_node = start_test_node()?;
    let _servers = create_tenant(&test_node).await?;
    let first = test_node.open_quic(test_node.process.addr).await?;
    first.send_request(&mixed_request("first", 1)).await?;
    let before = test_node.process.memory_kib("VmRSS")?;
    let mut idle = Vec::new();
    for n in 0..IDLE {
        let connection = test_node.open_quic(test_node.process.addr).await?;
        connection.send_request(&mixed_request("idle", n as u64)).await?;
        idle.push(connection);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let kib_each = (test_node.process.memory_kib("VmRSS")? - before) / IDLE as f64;
    drop(idle);
    let others = [
        test_node.open_quic(test_node.process.addr).await?,
        test_node.open_quic(test_node.process.addr).await?,
    ];
    let span = Duration::from_secs(3);
    let without_flood = quic_load(&others, "calm", span, Duration::from_millis(10)).await?;
    let flooding = test_node.open_quic(test_node.process.addr).await?;
    let trusted = test_node.certificate.der.clone();
    let addr = test_node.process.addr;
    let flood = tokio::spawn(async move {
        let code = h3::error::Code::H3_REQUEST_CANCELLED;
        let (start, mut flooding, mut opened) = (Instant::now(), flooding, 0u64);
        while start.elapsed() < span {
            if !flooding.is_open() {
                match http3::Connection::open(addr, std::slice::from_ref(&trusted)).await {
                    Ok(reopened) => flooding = Arc::new(reopened),
                    Err(_) => continue,
                }
            }
            let Ok((request, _)) = http3::request_parts(&ClientRequest::lookup("acme", format!("f{opened}")))
            else {
                break;
            };
            if let Ok(mut stream) = flooding.start_request(request).await {
                stream.stop_stream(code);
                stream.stop_sending(code);
                opened += 1;
            }
        }
        opened
    });
    let with_flood = quic_load(&others, "flooded", span, Duration::from_millis(10)).await?;
    let opened = flood.await?;
    let served_drop = 1.0 - with_flood.served_per_s() / without_flood.served_per_s().max(1e-9);
    println!(
        "idle connection: {kib_each:.1} KiB; {opened} streams cancelled in 3 s: other connections {:.0}/s, {:.0}/s without, lost {}",
        with_flood.served_per_s(),
        without_flood.served_per_s(),
        with_flood.lost
    );
    Ok(json!({
        "idle_connections": IDLE,
        "idle_connection_kib": rounded(kib_each),
        "flood_streams": opened,
        "flood_other_served_drop": rounded(served_drop),
        "flood_other_lost": with_flood.lost,
    }))
}

/// Compares the outcome of a lookup and of a renew under each server fault, for each pair of client and
/// server protocol. `differences` counts the rows that differ from HTTP/1.1 on both sides.
async fn outcomes() -> Result<Value, BoxError> {
    let tables = ProtocolPair::ALL.map(|protocols| {
        tokio::spawn(async move { outcomes::outcome_table(&ProtocolTestNode::start(protocols).await?).await })
    });
    let mut results = Vec::new();
    for table in tables {
        results.push(table.await??);
    }
    let (mut differences, mut second_effects, mut rows) = (0, 0, 0);
    println!("{:<24}{:>16}{:>16}{:>16}{:>16}", "status, attempts, ran", "h1-h1", "h1-h3", "h3-h1", "h3-h3");
    for (n, (name, expected)) in results[0].iter().enumerate() {
        let mut line = format!("{name:<24}");
        for table in &results {
            let (row_name, outcome) = &table[n];
            rows += 1;
            differences += u64::from(row_name != name || outcome != expected);
            second_effects += outcome.duplicate_effects;
            let cell = format!(
                "{} {}+{} {}",
                outcome.status, outcome.attempts[0], outcome.attempts[1], outcome.executions
            );
            line += &format!("{cell:>16}");
        }
        println!("{line}");
    }
    Ok(json!({"outcomes": rows, "differences": differences, "outcome_second_effects": second_effects}))
}

/// Runs all parts, or the one named by `only`, and returns the figures as one JSON object.
pub async fn measure(
    long: bool,
    before: Option<PathBuf>,
    platform: Option<PathBuf>,
    only: Option<&str>,
) -> Result<Value, BoxError> {
    let cores = std::thread::available_parallelism().map_or(0, std::num::NonZero::get);
    let mut all = json!({"proof": "http3", "cores": cores});
    let wanted = |part: &str| only.is_none_or(|only| only == part);
    let mut add = |part: Value| {
        if let (Value::Object(all), Value::Object(part)) = (&mut all, part) {
            all.extend(part);
        }
    };
    if wanted("outcomes") {
        add(outcomes().await?);
    }
    if wanted("load") {
        add(load(long).await?);
    }
    if wanted("migrations") {
        add(migrations(1_000).await?);
    }
    if wanted("bounds") {
        add(bounds().await?);
    }
    if wanted("platform") && platform.is_some() {
        add(compare_platform_builds(platform, before.as_deref()).await?);
    }
    Ok(all)
}
