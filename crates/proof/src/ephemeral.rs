//! Measures servers registered as ephemeral nodes, with the platform's discovery service for comparison, and
//! a catalogue shared by several nodes.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{broadcast, watch};
use woodgap_testkit::admin::{tenant_spec, Admin, Precondition};
use woodgap_testkit::backend::{duplicate_effects, Backend, ServerBehavior};
use woodgap_testkit::client::ClientRequest;
use woodgap_testkit::coordination::tree::{CreateMode, Op};
use woodgap_testkit::coordination::wire::Coordination;
use woodgap_testkit::hosted::{write_tokens, OPERATOR_SECRET};
use woodgap_testkit::load::{self, quantile, Load};

use crate::process::{hosted_program, NodeProcess};
use crate::tenants::{platform_config, platform_member, rounded};

type BoxError = Box<dyn Error>;

/// Delay between the end of a process and its removal from the platform's member list, in seconds: `notice_s`
/// of the deployment.
const NOTICE_DELAY_S: std::ops::Range<f64> = 1.8..4.7;
/// How long after the end of a server requests to it are observed: twice the 500 ms within which they must
/// stop.
const OBSERVATION_WINDOW: Duration = Duration::from_millis(1_000);

fn create_op(path: &str, data: &[u8], ephemeral: bool) -> Op {
    let mode = CreateMode { ephemeral, sequential: false };
    Op::Create { path: path.into(), data: data.to_vec(), acl: Vec::new(), mode }
}

/// Starts a coordination service with the parent nodes of the registrations.
async fn start_service() -> Result<Coordination, BoxError> {
    let service = Coordination::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let session = service.open_session();
    for path in ["/pools", "/pools/web"] {
        service.apply(session, &create_op(path, b"", false)).map_err(|code| format!("{code:?}"))?;
    }
    Ok(service)
}

/// Registers a server in a session of its own and returns the session.
fn register(service: &Coordination, name: &str, addr: SocketAddr) -> Result<i64, BoxError> {
    let session = service.open_session();
    let data = json!({"address": addr, "started_ms": 7}).to_string();
    let created = service.apply(session, &create_op(&format!("/pools/web/{name}"), data.as_bytes(), true));
    created.map_err(|code| format!("{code:?}"))?;
    Ok(session)
}

/// A node of the hosted build in a process of its own, with its temporary folder.
struct TestNode {
    process: NodeProcess,
    admin: Admin,
    _folder: tempfile::TempDir,
}

/// Starts a node that uses the coordination service; `store` is the text of the section `[store]`.
fn start_test_node(name: &str, store: &str, service: SocketAddr) -> Result<TestNode, BoxError> {
    let folder = tempfile::tempdir()?;
    write_tokens(&folder.path().join("tokens.toml"))?;
    let config = format!(
        "name = \"{name}\"\n[[listen]]\nname = \"public\"\naddress = \"127.0.0.1:0\"\n[store]\n{store}\n\
        [limits]\nsockets = 2048\n[admin]\nlisten = \"127.0.0.1:0\"\ntoken_file = \"tokens.toml\"\n\
        [zookeeper]\naddresses = [\"{service}\"]\nsession_ms = 5000\nflaps = 0\n"
    );
    let path = folder.path().join("hosted.toml");
    std::fs::write(&path, config)?;
    let path = path.to_str().ok_or("the path of the temporary folder is not UTF-8")?;
    let process = NodeProcess::start(&hosted_program()?, &["serve", "--config", path], &[], Duration::ZERO)?;
    let admin = Admin {
        addr: process.admin.ok_or("the node logged no address of its administration API")?,
        secret: OPERATOR_SECRET.into(),
    };
    Ok(TestNode { process, admin, _folder: folder })
}

/// Returns the document of a tenant whose servers register themselves under `/pools/web`.
fn ephemeral_spec() -> Value {
    let mut document = tenant_spec(2_000);
    document["membership"] = json!({"ephemeral": "web"});
    document
}

async fn start_servers(count: usize) -> Result<Vec<Backend>, BoxError> {
    let mut servers = Vec::new();
    for _ in 0..count {
        servers.push(Backend::start(ServerBehavior::Serve(Duration::from_millis(5))).await?);
    }
    Ok(servers)
}

/// Returns a request of a tenant; one in four is not safe to repeat.
fn mixed_request(org: &'static str, n: u64) -> ClientRequest {
    match n % 4 {
        0 => ClientRequest::renew(org, format!("{org}-{n}")),
        _ => ClientRequest {
            key: format!("k{}", n % 2_000),
            ..ClientRequest::lookup(org, format!("{org}-{n}"))
        },
    }
}

/// Returns the time from `since` until the last request that a server received before `until`, in ms; 0 if it
/// received none after `since`.
fn last_send_ms(server: &Backend, since: Instant, until: Instant) -> f64 {
    let seen = server.received_requests();
    let last = seen.iter().rev().map(|seen| seen.received_at).find(|at| *at < until);
    last.and_then(|at| at.checked_duration_since(since)).map_or(0.0, |delay| delay.as_secs_f64() * 1e3)
}

fn sorted(mut figures: Vec<f64>) -> Vec<f64> {
    figures.sort_by(f64::total_cmp);
    figures
}

/// Stand-in of the platform's discovery service: it sends all members to a new watch, then one line for each
/// update.
struct Discovery {
    addr: SocketAddr,
    updates: broadcast::Sender<String>,
    members: Arc<Mutex<BTreeMap<String, Value>>>,
}

impl Discovery {
    async fn start(members: BTreeMap<String, Value>) -> Result<Discovery, BoxError> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let (addr, (updates, _)) = (listener.local_addr()?, broadcast::channel(1_024));
        let members = Arc::new(Mutex::new(members));
        let (update_sender, current_members): (broadcast::Sender<String>, _) =
            (updates.clone(), members.clone());
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (mut updates, current_members) = (update_sender.subscribe(), current_members.clone());
                tokio::spawn(async move {
                    let mut request = [0; 2_048];
                    if stream.read(&mut request).await.is_err() {
                        return;
                    }
                    let all: Vec<Value> = current_members
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .values()
                        .cloned()
                        .collect();
                    let first = json!({"revision": 41, "complete": true, "members": all}).to_string();
                    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                    let mut output = format!("{head}{}", chunk(&first));
                    while stream.write_all(output.as_bytes()).await.is_ok() {
                        let line = tokio::time::timeout(Duration::from_secs(1), updates.recv()).await;
                        output = chunk(&line.ok().and_then(Result::ok).unwrap_or_default());
                    }
                });
            }
        });
        Ok(Discovery { addr, updates, members })
    }

    /// Publishes the new state of a server.
    fn publish(&self, revision: u64, id: &str, member: Value) {
        self.members.lock().unwrap_or_else(PoisonError::into_inner).insert(id.to_owned(), member.clone());
        let line = json!({"revision": revision, "complete": false, "members": [member]});
        let _ = self.updates.send(line.to_string());
    }
}

/// Encodes a line as a chunk of HTTP/1.1's chunked transfer coding.
fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// Ends servers of a node in platform mode, whose discovery service publishes each end with the
/// deployment's delay. Returns the sorted times in ms from the end and from its publication to the last
/// request that the server received, the number of late sends, and the number of lost requests.
async fn measure_discovery(ends: usize) -> Result<(Vec<f64>, Vec<f64>, u64, u64), BoxError> {
    let servers = Arc::new(start_servers(20).await?);
    let members = servers
        .iter()
        .enumerate()
        .map(|(n, server)| (format!("s-{n}"), platform_member(n, server.addr, "in_service")));
    let discovery = Arc::new(Discovery::start(members.clone().collect()).await?);
    let config = platform_config(discovery.addr, "push", members.map(|(_, member)| member).collect());
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("config.json");
    std::fs::write(&path, config.to_string())?;
    let path = path.to_str().ok_or("the path of the temporary folder is not UTF-8")?;
    let node = NodeProcess::start(
        &hosted_program()?,
        &[],
        &[("BALANCER_CONFIG", path)],
        Duration::from_millis(300),
    )?;
    let span = Duration::from_secs_f64(ends as f64 * 0.3 + 7.0);
    let load = Load { addr: node.addr, requests_per_s: 400.0, duration: span, max_connections: 128 };
    let traffic = tokio::spawn(load::run(load, |n| mixed_request("acme", n)));
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut tasks = tokio::task::JoinSet::new();
    let mut random = 7u64;
    for n in 0..ends {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let part = (random >> 40) as f64 / (1u64 << 24) as f64;
        let notice_delay = Duration::from_secs_f64(
            NOTICE_DELAY_S.start + part * (NOTICE_DELAY_S.end - NOTICE_DELAY_S.start),
        );
        let (servers, discovery, id) = (servers.clone(), discovery.clone(), n % 20);
        let (terminated, in_service) = (
            platform_member(id, servers[id].addr, "terminated"),
            platform_member(id, servers[id].addr, "in_service"),
        );
        tasks.spawn(async move {
            let ended = Instant::now();
            tokio::time::sleep(notice_delay).await;
            let notified = Instant::now();
            servers[id].mark_removed();
            discovery.publish(2 * n as u64 + 42, &format!("s-{id}"), terminated);
            tokio::time::sleep(OBSERVATION_WINDOW).await;
            let until = notified + OBSERVATION_WINDOW;
            let last_since = |since| last_send_ms(&servers[id], since, until);
            let (from_end, from_notice) = (last_since(ended), last_since(notified));
            servers[id].mark_in_service();
            discovery.publish(2 * n as u64 + 43, &format!("s-{id}"), in_service);
            (from_end, from_notice)
        });
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let (mut from_end, mut from_notice) = (Vec::new(), Vec::new());
    while let Some(times) = tasks.join_next().await {
        let (end_ms, notice_ms) = times?;
        from_end.push(end_ms);
        from_notice.push(notice_ms);
    }
    let outcome = traffic.await?;
    let late = servers.iter().map(Backend::late_requests).sum();
    Ok((sorted(from_end), sorted(from_notice), late, outcome.lost))
}

/// Ends the sessions of servers one after another under load, with each server registering again after the
/// observation window, and measures until when requests still arrive. Runs the same with the platform's
/// discovery service at the same time.
async fn expiry(ends: usize) -> Result<Value, BoxError> {
    const SERVERS: usize = 40;
    let service = Arc::new(start_service().await?);
    let servers = Arc::new(start_servers(SERVERS).await?);
    let mut sessions = Vec::new();
    for (n, server) in servers.iter().enumerate() {
        sessions.push(register(&service, &format!("s{n}"), server.addr)?);
    }
    let sessions = Arc::new(Mutex::new(sessions));
    let node = start_test_node("n1", "path = \"c.redb\"", service.addr)?;
    node.admin.create_tenant("acme", &ephemeral_spec(), &[]).await?;
    let span = Duration::from_secs_f64(ends as f64 * 0.1 + 3.0);
    let load = Load { addr: node.process.addr, requests_per_s: 800.0, duration: span, max_connections: 256 };
    let traffic = tokio::spawn(load::run(load, |n| mixed_request("acme", n)));
    let discovery_task =
        tokio::spawn(async move { measure_discovery(60).await.map_err(|error| error.to_string()) });
    tokio::time::sleep(Duration::from_millis(800)).await;
    let mut tasks = tokio::task::JoinSet::new();
    for n in 0..ends {
        let (service, servers, sessions, id) =
            (service.clone(), servers.clone(), sessions.clone(), n % SERVERS);
        tasks.spawn(async move {
            let session = sessions.lock().unwrap_or_else(PoisonError::into_inner)[id];
            let ended = Instant::now();
            servers[id].mark_removed();
            service.close_session(session);
            tokio::time::sleep(OBSERVATION_WINDOW).await;
            let last_ms = last_send_ms(&servers[id], ended, ended + OBSERVATION_WINDOW);
            servers[id].mark_in_service();
            let new_session =
                register(&service, &format!("s{id}"), servers[id].addr).map_err(|e| e.to_string())?;
            sessions.lock().unwrap_or_else(PoisonError::into_inner)[id] = new_session;
            Ok::<_, String>(last_ms)
        });
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let mut from_session_end = Vec::new();
    while let Some(last_ms) = tasks.join_next().await {
        from_session_end.push(last_ms??);
    }
    let outcome = traffic.await?;
    let (from_session_end, (from_end, from_notice, discovery_late, discovery_lost)) =
        (sorted(from_session_end), discovery_task.await??);
    let late: u64 = servers.iter().map(Backend::late_requests).sum();
    println!("                                    p50      p99      max (ms)");
    for (name, figures) in [
        ("session end to last send      ", &from_session_end),
        ("discovery: end to last send   ", &from_end),
        ("discovery: notice to last send", &from_notice),
    ] {
        let quantile_ms = |part| quantile(figures, part);
        println!("{name} {:8.1} {:8.1} {:8.1}", quantile_ms(0.5), quantile_ms(0.99), quantile_ms(1.0));
    }
    Ok(json!({
        "sessions_ended": ends,
        "expiry_to_last_send_ms_p50": rounded(quantile(&from_session_end, 0.5)),
        "expiry_to_last_send_ms_p99": rounded(quantile(&from_session_end, 0.99)),
        "expiry_to_last_send_ms_max": rounded(quantile(&from_session_end, 1.0)),
        "discovery_to_last_send_ms_p50": rounded(quantile(&from_end, 0.5)),
        "discovery_to_last_send_ms_p99": rounded(quantile(&from_end, 0.99)),
        "discovery_to_last_send_ms_max": rounded(quantile(&from_end, 1.0)),
        "discovery_told_to_last_send_ms_max": rounded(quantile(&from_notice, 1.0)),
        "discovery_notice_s": [NOTICE_DELAY_S.start, NOTICE_DELAY_S.end],
        "discovery_late_sends": discovery_late,
        "discovery_lost": discovery_lost,
        "due": outcome.due,
        "served": outcome.served,
        "lost": outcome.lost,
        "second_effects": duplicate_effects(servers.iter()),
        "late_sends": late,
    }))
}

/// Measures the served share while the coordination service is unreachable, and the time until the node has
/// caught up afterwards.
async fn outage(long: bool) -> Result<Value, BoxError> {
    let service = start_service().await?;
    let servers = start_servers(8).await?;
    let mut sessions = Vec::new();
    for (n, server) in servers.iter().enumerate() {
        sessions.push(register(&service, &format!("s{n}"), server.addr)?);
    }
    let node = start_test_node("n1", "path = \"c.redb\"", service.addr)?;
    node.admin.create_tenant("acme", &ephemeral_spec(), &[]).await?;
    let span = Duration::from_secs(if long { 60 } else { 12 });
    let run = |span: Duration, org: &'static str| {
        let load =
            Load { addr: node.process.addr, requests_per_s: 600.0, duration: span, max_connections: 128 };
        tokio::spawn(load::run(load, move |n| ClientRequest {
            org: Some("acme".into()),
            ..mixed_request(org, n)
        }))
    };
    run(Duration::from_secs(1), "warm").await?;
    let before = run(Duration::from_secs(4), "before").await?;
    service.set_refused(service.addr, true);
    let during = run(span, "during").await?;
    // Only the service knows these changes until the node reaches it again: one server is removed, another is
    // added.
    let added = Backend::start(ServerBehavior::Serve(Duration::from_millis(5))).await?;
    service.close_session(sessions[0]);
    register(&service, "new", added.addr)?;
    let after = run(Duration::from_secs(4), "after");
    service.set_refused(service.addr, false);
    let reachable = Instant::now();
    while added.requests() == 0 {
        if reachable.elapsed() > Duration::from_secs(10) {
            return Err("the added server received no request within 10 s after the outage".into());
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let recovery_ms = reachable.elapsed().as_secs_f64() * 1e3;
    let after = after.await?;
    println!(
        "outage of {} s: served {:.4} before, {:.4} during, {:.4} after; recovered after {recovery_ms:.0} ms",
        span.as_secs(),
        before.served_share(),
        during.served_share(),
        after.served_share()
    );
    Ok(json!({
        "outage_s": span.as_secs(),
        "outage_served_drop": rounded(before.served_share() - during.served_share()),
        "outage_lost": before.lost + during.lost + after.lost,
        "recovery_ms": rounded(recovery_ms),
    }))
}

/// Measures the time until a change is known to all of five nodes that share a catalogue; the changes are
/// written through each node in turn.
async fn catalogue(changes: u64) -> Result<Value, BoxError> {
    const NODES: usize = 5;
    let service = start_service().await?;
    let mut nodes = Vec::new();
    for n in 0..NODES {
        nodes.push(start_test_node(&format!("n{n}"), "zookeeper = \"/catalogue\"", service.addr)?);
    }
    nodes[0].admin.create_tenant("acme", &tenant_spec(2_000), &[]).await?;
    let (known_revisions, _) = watch::channel(vec![BTreeMap::<u64, Instant>::new(); NODES]);
    let known_revisions = Arc::new(known_revisions);
    let mut watches = tokio::task::JoinSet::new();
    for (n, node) in nodes.iter().enumerate() {
        let (admin, known_revisions) = (node.admin.clone(), known_revisions.clone());
        watches.spawn(async move {
            let mut after = 0;
            loop {
                let Ok(page) = admin.get(&format!("changes?after={after}&limit=500")).await else { continue };
                let now = Instant::now();
                let changes = page.body["changes"].as_array().cloned().unwrap_or_default();
                known_revisions.send_modify(|known| {
                    for revision in changes.iter().filter_map(|change| change["revision"].as_u64()) {
                        known[n].insert(revision, now);
                    }
                });
                after = page.body["revision"].as_u64().unwrap_or(after);
            }
        });
    }
    let (mut to_all_ms, mut response_ms) = (Vec::new(), Vec::new());
    let mut updates = known_revisions.subscribe();
    for n in 0..changes {
        let admin = &nodes[n as usize % NODES].admin;
        let tag = admin.get("tenants/acme").await?.etag.ok_or("the response has no ETag")?;
        let mut document = tenant_spec(2_000);
        document["quota_per_s"] = json!(n + 1);
        let start = Instant::now();
        let put = admin.put("tenants/acme", Precondition::Match(&tag), &document).await?;
        response_ms.push(start.elapsed().as_secs_f64() * 1e3);
        let revision = put.body["revision"].as_u64().ok_or_else(|| format!("{:?}", put.body))?;
        let known_to_all =
            updates.wait_for(|known| known.iter().all(|revisions| revisions.contains_key(&revision)));
        let known = tokio::time::timeout(Duration::from_secs(10), known_to_all)
            .await
            .map_err(|_| "a node did not see the change within 10 s")??;
        let last = known
            .iter()
            .filter_map(|revisions| revisions.get(&revision))
            .max()
            .copied()
            .ok_or("no node recorded the time of the change")?;
        to_all_ms.push(last.saturating_duration_since(start).as_secs_f64() * 1e3);
    }
    watches.shutdown().await;
    let (to_all_ms, response_ms) = (sorted(to_all_ms), sorted(response_ms));
    println!(
        "catalogue, {NODES} nodes: change known to all nodes p50 {:.2} ms, p99 {:.2} ms; response time p99 {:.2} ms",
        quantile(&to_all_ms, 0.5),
        quantile(&to_all_ms, 0.99),
        quantile(&response_ms, 0.99)
    );
    Ok(json!({
        "catalogue_nodes": NODES,
        "catalogue_changes": changes,
        "catalogue_change_to_all_nodes_ms_p50": rounded(quantile(&to_all_ms, 0.5)),
        "catalogue_change_to_all_nodes_ms_p99": rounded(quantile(&to_all_ms, 0.99)),
        "catalogue_change_answered_ms_p99": rounded(quantile(&response_ms, 0.99)),
    }))
}

/// Changes registrations at a high rate, and measures the rate of watch events, the memory growth of the node
/// and the time until it has the final state.
async fn churn(changes: u64) -> Result<Value, BoxError> {
    let service = start_service().await?;
    let servers = start_servers(50).await?;
    let mut sessions = Vec::new();
    for (n, server) in servers.iter().enumerate() {
        sessions.push(register(&service, &format!("s{n}"), server.addr)?);
    }
    let node = start_test_node("n1", "path = \"c.redb\"", service.addr)?;
    node.admin.create_tenant("acme", &ephemeral_spec(), &[]).await?;
    let load =
        |span| Load { addr: node.process.addr, requests_per_s: 200.0, duration: span, max_connections: 64 };
    // Creates the pool and the connections before the memory is measured.
    load::run(load(Duration::from_secs(1)), |n| mixed_request("acme", n)).await;
    let change_phase = |n: u64, phase: &str| {
        let id = n as usize % servers.len();
        let data = json!({"address": servers[id].addr, "started_ms": 7, "phase": phase}).to_string();
        let set = Op::Set { path: format!("/pools/web/s{id}"), data: data.into_bytes(), version: -1 };
        service.apply(sessions[id], &set).map(drop).map_err(|code| format!("{code:?}"))
    };
    let phases = ["in_service", "terminating"];
    let mut n = 0;
    let mut change_next = |count: u64| {
        for _ in 0..count {
            change_phase(n, phases[(n / servers.len() as u64 % 2) as usize])?;
            n += 1;
        }
        Ok::<_, String>(())
    };
    for _ in 0..100 {
        change_next(100)?;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let traffic =
        tokio::spawn(load::run(load(Duration::from_secs(8)), |n| mixed_request("acme", n + 1_000_000)));
    let (rss_before, events, start) =
        (node.process.memory_kib("VmRSS")?, service.event_count(), Instant::now());
    let mut rss_max = rss_before;
    for round in 0..changes / 100 {
        change_next(100)?;
        tokio::time::sleep(Duration::from_millis(5)).await;
        if round % 100 == 0 {
            rss_max = rss_max.max(node.process.memory_kib("VmRSS")?);
        }
    }
    let events_per_s = (service.event_count() - events) as f64 / start.elapsed().as_secs_f64();
    let changes_per_s = changes as f64 / start.elapsed().as_secs_f64();
    // In the final state all servers are in service.
    for n in 0..servers.len() as u64 {
        change_phase(n, "in_service")?;
    }
    let last_change = Instant::now();
    loop {
        let body = node.admin.get("tenants/acme/status").await?.body;
        let statuses = body["servers"].as_array().cloned().unwrap_or_default();
        if statuses.iter().filter(|status| status["in_service"] == true).count() == servers.len() {
            break;
        }
        if last_change.elapsed() > Duration::from_secs(10) {
            return Err("the node did not have the final state within 10 s".into());
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let settled_ms = last_change.elapsed().as_secs_f64() * 1e3;
    let outcome = traffic.await?;
    let growth = rss_max.max(node.process.memory_kib("VmRSS")?) - rss_before;
    println!(
        "churn: {changes_per_s:.0} changes/s, {events_per_s:.0} watch events/s, final state after {settled_ms:.0} ms, \
        memory grew by {growth:.0} KiB from {rss_before:.0} KiB"
    );
    Ok(json!({
        "churn_changes": changes,
        "churn_changes_per_s": rounded(changes_per_s),
        "watch_events_per_s": rounded(events_per_s),
        "churn_settled_ms": rounded(settled_ms),
        "churn_lost": outcome.lost,
        "rss_kib": rss_before,
        "rss_growth_kib": growth,
    }))
}

/// Runs all parts, or the one named by `only`, and returns the figures as one JSON object.
pub async fn measure(long: bool, only: Option<&str>) -> Result<Value, BoxError> {
    let cores = std::thread::available_parallelism().map_or(0, std::num::NonZero::get);
    let mut all = json!({"proof": "ephemeral", "cores": cores});
    let wanted = |part: &str| only.is_none_or(|only| only == part);
    let mut add = |part: Value| {
        if let (Value::Object(all), Value::Object(part)) = (&mut all, part) {
            all.extend(part);
        }
    };
    if wanted("expiry") {
        add(expiry(200).await?);
    }
    if wanted("outage") {
        add(outage(long).await?);
    }
    if wanted("catalogue") {
        add(catalogue(if long { 1_000 } else { 200 }).await?);
    }
    if wanted("churn") {
        add(churn(100_000).await?);
    }
    Ok(all)
}
