//! Measures a fleet of nodes, in processes and in simulated time: failure detection, drain permits, rolling
//! drains and servers drained at all nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use woodgap_fleet::simulated::{name as simulated_name, Simulation};
use woodgap_fleet::wire::GossipKeys;
use woodgap_testkit::admin::{tenant_spec, Precondition};
use woodgap_testkit::backend::duplicate_effects;
use woodgap_testkit::client::{ClientRequest, Connection};
use woodgap_testkit::fleet::scenario::{check_budgets, run_step, CutDirections, Report, Step};
use woodgap_testkit::fleet::{node_name, FleetSpec, Rig, RigError};
use woodgap_testkit::links::LinkFaults;
use woodgap_testkit::load::quantile;

use crate::process::hosted_program;
use crate::tenants::rounded;

/// Probe interval of the fleets in processes; the time to detect a failure is proportional to it.
const INTERVAL_MS: u64 = 100;
/// Number of fleets that run schedules at the same time.
const CONCURRENT_FLEETS: u64 = 8;
/// Time within which a fleet must recover.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);

type Figures = BTreeMap<String, Value>;

fn put(figures: &mut Figures, key: &str, value: impl Into<Value>) {
    figures.insert(key.to_owned(), value.into());
}

fn put_quantiles(figures: &mut Figures, key: &str, mut ms: Vec<f64>) {
    ms.sort_by(f64::total_cmp);
    put(figures, &format!("{key}_p50"), rounded(quantile(&ms, 0.5)));
    put(figures, &format!("{key}_p99"), rounded(quantile(&ms, 0.99)));
    put(figures, &format!("{key}_samples"), ms.len());
}

/// Waits until all other nodes have logged that a node is dead, and returns the time from `from` until the
/// last did.
async fn detection_time(rig: &Rig, dead: &str, from: Duration) -> Result<Duration, RigError> {
    let message = format!("fleet: {dead} is dead");
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    loop {
        let others = rig.running().into_iter().filter(|node| node != dead);
        let logged_at: Option<Vec<Duration>> =
            others.map(|node| rig.first_logged_at(&node, &message, from)).collect();
        if let Some(last) = logged_at.and_then(|times| times.into_iter().max()) {
            return Ok(last - from);
        }
        if Instant::now() >= deadline {
            return Err(format!("not all nodes detected the failure of {dead}").into());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Measures the time to detect killed and suspended processes, and the traffic of an idle fleet.
async fn detection(program: &Path, figures: &mut Figures, long: bool) -> Result<(), RigError> {
    for nodes in [5, 20, 50] {
        let fleet_spec =
            FleetSpec { nodes, interval_ms: INTERVAL_MS, permits: false, ..FleetSpec::default() };
        let mut rig = Rig::launch(program, fleet_spec).await?;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let (bytes, start) = (rig.switch.bytes_received(), Instant::now());
        tokio::time::sleep(Duration::from_secs(4)).await;
        let rate =
            (rig.switch.bytes_received() - bytes) as f64 / start.elapsed().as_secs_f64() / nodes as f64;
        put(figures, &format!("bytes_a_node_s_{nodes}"), rounded(rate));
        let (mut killed, mut stopped) = (Vec::new(), Vec::new());
        for round in 0..if long { 20 } else { 5 } {
            let node = node_name(round % nodes);
            let from = rig.elapsed();
            rig.kill(&node)?;
            killed.push(detection_time(&rig, &node, from).await?.as_secs_f64() * 1e3);
            rig.start(&node)?;
            rig.wait_until_converged(RECOVERY_TIMEOUT).await?;
            let from = rig.elapsed();
            rig.pause(&node)?;
            stopped.push(detection_time(&rig, &node, from).await?.as_secs_f64() * 1e3);
            rig.resume(&node)?;
            rig.wait_until_converged(RECOVERY_TIMEOUT).await?;
        }
        println!("{nodes} processes: detection after kill {killed:.0?} ms, after stop {stopped:.0?} ms; {rate:.0} bytes/s per node");
        put_quantiles(figures, &format!("detect_killed_ms_{nodes}"), killed);
        put_quantiles(figures, &format!("detect_stopped_ms_{nodes}"), stopped);
    }
    Ok(())
}

/// Counts false deaths, which should be none, under datagram loss and under links cut in one direction.
async fn false_deaths(program: &Path, figures: &mut Figures, long: bool) -> Result<(), RigError> {
    let span = Duration::from_secs(if long { 60 } else { 15 });
    let fleet_spec =
        FleetSpec { nodes: 20, interval_ms: INTERVAL_MS, permits: false, ..FleetSpec::default() };
    let rig = Rig::launch(program, fleet_spec).await?;
    let all = rig.node_names();
    rig.set_link_faults(&all, &all, LinkFaults { loss: 0.2, ..LinkFaults::default() }, true);
    tokio::time::sleep(span).await;
    let (dead, suspected) = (rig.count_log_lines("is dead"), rig.count_log_lines("is suspected"));
    put(figures, "false_deaths_loss", dead);
    put(figures, "suspicions_loss", suspected);
    rig.heal();
    rig.wait_until_converged(RECOVERY_TIMEOUT).await?;
    rig.set_link_faults(&all[..1], &all[1..2], LinkFaults::CUT, true);
    rig.set_link_faults(&all[2..3], &all[3..8], LinkFaults::CUT, true);
    tokio::time::sleep(span).await;
    put(figures, "false_deaths_one_way", rig.count_log_lines("is dead") - dead);
    println!(
        "20 processes: {suspected} suspicions and {dead} false deaths under 20 % loss; {} false deaths with links cut one way",
        rig.count_log_lines("is dead") - dead
    );
    Ok(())
}

/// Returns a random sequence of drains, kills, suspensions and network cuts for a small fleet.
fn schedule(seed: u64, nodes: usize) -> Vec<Step> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut steps = Vec::new();
    // 0 is a running process, 1 a killed one and 2 a suspended one.
    let mut state: Vec<u8> = vec![0; nodes];
    for _ in 0..12 {
        let index = random.usize(..nodes);
        let node = node_name(index);
        let (from, to) =
            (vec![node.clone()], (0..nodes).filter(|n| *n != index).map(node_name).collect::<Vec<_>>());
        let to = to.into_iter().filter(|_| random.bool()).collect::<Vec<_>>();
        match (state[index], random.u8(..10)) {
            (0, 0..=4) => steps.push(Step::Drain { node, cancel: random.u8(..5) == 0 }),
            (0, 5) => {
                steps.push(Step::Kill { node });
                state[index] = 1;
            }
            (0, 6) => {
                steps.push(Step::Pause { node });
                state[index] = 2;
            }
            (0, 7) => steps.push(Step::Cut { from, to, one_way: random.bool() }),
            (0, 8) => {
                let cut = [CutDirections::Both, CutDirections::Up, CutDirections::Down][random.usize(..3)];
                steps.push(Step::CutService { nodes: from, cut });
            }
            (0, _) => steps.push(Step::Heal),
            (1, _) => {
                steps.push(Step::Start { node });
                state[index] = 0;
            }
            (_, _) => {
                steps.push(Step::Resume { node });
                state[index] = 0;
            }
        }
        steps.push(Step::Wait { ms: random.u64(20..500) });
    }
    steps
}

/// Runs one schedule, removes all faults and waits until the fleet has recovered and no permit is left.
/// Returns the report, and 1 if permits were left or the fleet did not recover.
async fn run_schedule(program: &Path, seed: u64) -> Result<(Report, u64), RigError> {
    let (hold_s, act_s, session_ms) = (1, 1, 2_000);
    let fleet_spec =
        FleetSpec { nodes: 4, interval_ms: 50, hold_s, act_s, session_ms, seed, ..FleetSpec::default() };
    let mut rig = Rig::launch(program, fleet_spec).await?;
    let mut report = Report::default();
    for step in schedule(seed, 4) {
        // Steps that are not possible are skipped: a process that has ended after its drain can't be killed.
        let _ = run_step(&mut rig, &step, &mut report).await;
    }
    rig.heal();
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    loop {
        for node in rig.node_names() {
            if rig.exit_status(&node).is_some() || rig.admin(&node).is_none() {
                rig.start(&node)?;
            } else {
                let _ = rig.resume(&node);
            }
        }
        check_budgets(&mut rig, &mut report);
        if rig.ledger().permits.is_empty() && rig.wait_until_converged(Duration::ZERO).await.is_ok() {
            return Ok((report, 0));
        }
        if Instant::now() >= deadline {
            eprintln!(
                "seed {seed}: the fleet did not recover; permits left: {:?}\n{}",
                rig.ledger().permits,
                rig.log()
            );
            return Ok((report, 1));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Runs random schedules on small fleets. Counts the checks that found more permits out than the budgets
/// allow, and the schedules after which permits were left or the fleet did not recover.
async fn schedules(program: &Path, figures: &mut Figures, long: bool) -> Result<(), RigError> {
    let schedule_count = if long { 400 } else { 200 };
    let next_seed = Arc::new(AtomicU64::new(0));
    let mut workers = tokio::task::JoinSet::new();
    for _ in 0..CONCURRENT_FLEETS {
        let (next_seed, program) = (next_seed.clone(), program.to_owned());
        workers.spawn(async move {
            // Summed reports, the number of schedules without recovery, and the number of schedules.
            let mut sum = (Report::default(), 0, 0);
            loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= schedule_count {
                    return Ok::<_, RigError>(sum);
                }
                let (report, lost) = run_schedule(&program, seed).await?;
                sum.0.checks += report.checks;
                sum.0.over_budget += report.over_budget;
                sum.0.max_out = sum.0.max_out.max(report.max_out);
                sum.0.granted += report.granted;
                sum.1 += lost;
                sum.2 += 1;
            }
        });
    }
    let (mut total, mut lost, mut completed) = (Report::default(), 0, 0);
    while let Some(sum) = workers.join_next().await {
        let (report, worker_lost, worker_schedules) = sum??;
        total.checks += report.checks;
        total.over_budget += report.over_budget;
        total.max_out = total.max_out.max(report.max_out);
        total.granted += report.granted;
        lost += worker_lost;
        completed += worker_schedules;
    }
    println!(
        "{completed} schedules: {} permits granted, {} budget checks, {} of them over budget, {lost} schedules without recovery",
        total.granted, total.checks, total.over_budget
    );
    put(figures, "schedules", completed);
    put(figures, "schedules_granted", total.granted);
    put(figures, "most_out_over_budget", total.over_budget);
    put(figures, "permits_lost", lost);
    Ok(())
}

/// Counts of requests by their outcome.
#[derive(Default)]
struct LoadCounts {
    due: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    lost: AtomicU64,
}

/// Clients that send requests to the nodes registered at the coordination service, and try the next node if
/// one accepts no connection.
struct Clients {
    counts: Arc<LoadCounts>,
    stop: Arc<AtomicBool>,
    nodes: Arc<Mutex<Vec<std::net::SocketAddr>>>,
    task: tokio::task::JoinHandle<()>,
}

impl Clients {
    fn start(per_s: f64, tag: &'static str) -> Clients {
        let (counts, stop) = (Arc::new(LoadCounts::default()), Arc::new(AtomicBool::new(false)));
        let nodes: Arc<Mutex<Vec<std::net::SocketAddr>>> = Arc::default();
        let (task_counts, task_stop, known_nodes) = (counts.clone(), stop.clone(), nodes.clone());
        let task = tokio::spawn(async move {
            let mut requests = tokio::task::JoinSet::new();
            let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / per_s));
            for n in 0u64.. {
                ticks.tick().await;
                while requests.try_join_next().is_some() {}
                if task_stop.load(Ordering::Relaxed) {
                    break;
                }
                let nodes = known_nodes.lock().unwrap_or_else(PoisonError::into_inner).clone();
                if nodes.is_empty() {
                    continue;
                }
                let counts = task_counts.clone();
                counts.due.fetch_add(1, Ordering::Relaxed);
                requests.spawn(async move {
                    let (class, safe) = if n % 2 == 0 { ("lookup", true) } else { ("renew", false) };
                    let request = ClientRequest::lookup("acme", format!("{tag}-{n}"));
                    let request = ClientRequest {
                        class: class.into(),
                        safe,
                        key: format!("club-{}", n % 200),
                        ..request
                    };
                    for attempt in 0..nodes.len() {
                        let addr = nodes[(n as usize + attempt) % nodes.len()];
                        // The next node is tried only if nothing was written: without a connection, or if the
                        // node closed the connection first.
                        let Ok(mut connection) = Connection::open(addr).await else { continue };
                        match connection.send_request(&request).await {
                            Ok(response) => {
                                let count = match response.status.as_u16() {
                                    200 => &counts.served,
                                    429 | 503 => &counts.refused,
                                    _ => &counts.failed,
                                };
                                count.fetch_add(1, Ordering::Relaxed);
                                return;
                            }
                            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                            Err(_) => break,
                        }
                    }
                    counts.lost.fetch_add(1, Ordering::Relaxed);
                });
            }
            while requests.join_next().await.is_some() {}
        });
        Clients { counts, stop, nodes, task }
    }

    /// Replaces the known nodes by those that are registered now.
    fn refresh_nodes(&self, rig: &Rig) {
        let registered = rig.service.ephemeral_owners("/nodes").into_iter().map(|(name, _)| name);
        let addrs = registered.filter_map(|node| rig.addr(&node)).collect();
        *self.nodes.lock().unwrap_or_else(PoisonError::into_inner) = addrs;
    }

    /// Stops the load, waits for the open requests and returns the counts.
    async fn stop(self) -> Result<Arc<LoadCounts>, RigError> {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await?;
        Ok(self.counts)
    }
}

/// Creates the tenant at every node that doesn't have it.
async fn create_tenant(rig: &Rig) -> Result<(), RigError> {
    let servers: Vec<_> = rig.backends.iter().map(|backend| backend.addr).collect();
    for node in rig.node_names() {
        let admin = rig.admin(&node).ok_or("a node is not running")?;
        if admin.get("tenants/acme").await?.status == 404 {
            admin.create_tenant("acme", &tenant_spec(2_000), &servers).await?;
        }
    }
    Ok(())
}

/// Compares the served share during a rolling drain of the whole fleet with that of an equally long load
/// without drains.
async fn rolling(program: &Path, figures: &mut Figures, long: bool) -> Result<(), RigError> {
    let fleet_spec = FleetSpec { nodes: 4, servers: 4, interval_ms: INTERVAL_MS, ..FleetSpec::default() };
    let mut rig = Rig::launch(program, fleet_spec).await?;
    create_tenant(&rig).await?;
    let (mut drops, mut drain_ms, mut lost, mut baseline_shares) = (Vec::new(), Vec::new(), 0, Vec::new());
    for round in 0..if long { 5 } else { 3 } {
        let clients = Clients::start(300.0, ["r0", "r1", "r2", "r3", "r4"][round]);
        clients.refresh_nodes(&rig);
        let start = Instant::now();
        for node in rig.node_names() {
            let drain_start = Instant::now();
            let admin = rig.admin(&node).ok_or("the node to drain is not running")?;
            admin.put("drain", Precondition::None, &json!({})).await?;
            while rig.exit_status(&node).is_none() {
                clients.refresh_nodes(&rig);
                tokio::time::sleep(Duration::from_millis(5)).await;
                if drain_start.elapsed() > RECOVERY_TIMEOUT {
                    return Err(format!("{node} did not exit after its drain\n{}", rig.log()).into());
                }
            }
            drain_ms.push(drain_start.elapsed().as_secs_f64() * 1e3);
            rig.start(&node)?;
            while rig.permit_phase(&node).is_some() || rig.session(&node).is_none() {
                clients.refresh_nodes(&rig);
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            clients.refresh_nodes(&rig);
        }
        let elapsed = start.elapsed();
        let rolling = clients.stop().await?;
        let clients = Clients::start(300.0, ["c0", "c1", "c2", "c3", "c4"][round]);
        clients.refresh_nodes(&rig);
        tokio::time::sleep(elapsed).await;
        let baseline = clients.stop().await?;
        let served_share = |counts: &LoadCounts| {
            counts.served.load(Ordering::Relaxed) as f64 / counts.due.load(Ordering::Relaxed).max(1) as f64
        };
        lost += rolling.lost.load(Ordering::Relaxed) + baseline.lost.load(Ordering::Relaxed);
        println!(
            "round {round}: served share {:.5} while all four drain, {:.5} without drains; refused {}, failed {}, lost {}",
            served_share(&rolling),
            served_share(&baseline),
            rolling.refused.load(Ordering::Relaxed),
            rolling.failed.load(Ordering::Relaxed),
            rolling.lost.load(Ordering::Relaxed)
        );
        baseline_shares.push(served_share(&baseline));
        drops.push(served_share(&baseline) - served_share(&rolling));
    }
    drops.sort_by(f64::total_cmp);
    put(figures, "served_drop", rounded(quantile(&drops, 0.5)));
    put(figures, "served_drop_spread", vec![rounded(drops[0]), rounded(drops[drops.len() - 1])]);
    put_quantiles(figures, "drain_ms", drain_ms);
    put(figures, "lost", lost);
    put(figures, "second_effects", duplicate_effects(&rig.backends));
    Ok(())
}

/// Drains servers at all nodes by a request to one node, repeatedly and under load, and counts requests that
/// arrive after a server was reported safe to stop.
async fn servers(program: &Path, figures: &mut Figures, long: bool) -> Result<(), RigError> {
    let fleet_spec = FleetSpec {
        nodes: 5,
        servers: 4,
        interval_ms: INTERVAL_MS,
        alone_s: Some(30),
        ..FleetSpec::default()
    };
    let rig = Rig::launch(program, fleet_spec).await?;
    create_tenant(&rig).await?;
    let clients = Clients::start(300.0, "s");
    clients.refresh_nodes(&rig);
    let (mut safe_ms, mut sent_after_safe, mut late) = (Vec::new(), 0, 0);
    for round in 0..if long { 60 } else { 20 } {
        let backend = &rig.backends[round % rig.backends.len()];
        let admin = rig.admin(&node_name(round % 5)).ok_or("the node to ask is not running")?;
        let path = format!("servers/{}/drain", backend.addr);
        let drain_start = Instant::now();
        let response = admin.put(&path, Precondition::None, &json!({"reason": "proof"})).await?;
        if response.status != 202 {
            return Err(format!("{response:?}").into());
        }
        backend.mark_removed();
        loop {
            let servers = admin.get("servers").await?.body["servers"].clone();
            let address = backend.addr.to_string();
            let entry = servers
                .as_array()
                .and_then(|entries| entries.iter().find(|entry| entry["address"] == address));
            if entry.is_some_and(|entry| entry["state"] == "safe") {
                break;
            }
            if drain_start.elapsed() > RECOVERY_TIMEOUT {
                return Err(
                    format!("{address} was not safe to stop in time: {entry:?}\n{}", rig.log()).into()
                );
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        safe_ms.push(drain_start.elapsed().as_secs_f64() * 1e3);
        let requests_when_safe = backend.requests();
        tokio::time::sleep(Duration::from_millis(300)).await;
        sent_after_safe += backend.requests() - requests_when_safe;
        late += backend.late_requests();
        backend.mark_in_service();
        let response = admin.call(hyper::Method::DELETE, &path, Precondition::None, None).await?;
        if response.status != 202 {
            return Err(format!("{response:?}").into());
        }
    }
    let counts = clients.stop().await?;
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    println!(
        "{} servers drained under load: {sent_after_safe} requests after safe, {late} late; served {} of {}, refused {}, lost {}",
        safe_ms.len(),
        count(&counts.served),
        count(&counts.due),
        count(&counts.refused),
        count(&counts.lost)
    );
    put(figures, "safe_to_stop_wrong", sent_after_safe);
    put(figures, "late_sends", late);
    put_quantiles(figures, "server_drain_ms", safe_ms);
    put(figures, "server_drains_lost", count(&counts.lost));
    put(figures, "server_drains_second_effects", duplicate_effects(&rig.backends));
    Ok(())
}

/// Measures a fleet of 1,000 nodes in simulated time, at the default interval of 0.5 s.
fn simulated(figures: &mut Figures) {
    let mut simulation = Simulation::new(1_000, 11, &GossipKeys::none());
    let no_nodes = BTreeSet::new();
    while !simulation.has_converged(&no_nodes) && simulation.now < 120_000 {
        simulation.run_until(simulation.now + 500);
    }
    put(figures, "simulated_1000_together_s", rounded(simulation.now as f64 / 1e3));
    let bytes =
        |simulation: &Simulation| simulation.nodes.iter().map(|node| node.counters().bytes_sent).sum::<u64>();
    let (before, start) = (bytes(&simulation), simulation.now);
    simulation.run_until(start + 10_000);
    put(figures, "simulated_1000_bytes_a_node_s", (bytes(&simulation) - before) / 10_000);
    let deaths = simulation.deaths().len();
    simulation.link = Box::new(|_, _, chance| chance >= 0.2);
    let start = simulation.now;
    simulation.run_until(start + 60_000);
    put(figures, "simulated_1000_false_deaths_loss", simulation.deaths().len() - deaths);
    simulation.link = Box::new(|_, _, _| true);
    simulation.run_until(simulation.now + 5_000);
    let from = simulation.now;
    let dead: BTreeSet<usize> = (500..510).collect();
    simulation.stopped.extend(&dead);
    simulation.run_until(from + 40_000);
    let (mut detection_ms, mut false_deaths) = (Vec::new(), 0);
    for (at, _, node) in simulation.deaths().into_iter().filter(|(at, _, _)| *at >= from) {
        match (simulated_name(500)..simulated_name(510)).contains(&node) {
            true => detection_ms.push((at - from) as f64),
            false => false_deaths += 1,
        }
    }
    put(figures, "simulated_1000_false_deaths", false_deaths);
    put(figures, "simulated_1000_unseen_deaths", 990 * 10 - detection_ms.len());
    put_quantiles(figures, "simulated_1000_detect_ms", detection_ms);
}

/// Runs all parts, or the one named by `only`, and returns the figures as one JSON object.
pub async fn measure(long: bool, only: Option<&str>) -> Result<Value, Box<dyn Error>> {
    let program = hosted_program()?;
    let mut figures = Figures::new();
    let wanted = |part: &str| only.is_none_or(|only| only == part);
    let without_bounds = |error: RigError| -> Box<dyn Error> { error };
    put(&mut figures, "proof", "fleet");
    put(&mut figures, "interval_ms", INTERVAL_MS);
    put(&mut figures, "cores", std::thread::available_parallelism()?.get());
    if wanted("detection") {
        detection(&program, &mut figures, long).await.map_err(without_bounds)?;
    }
    if wanted("false") {
        false_deaths(&program, &mut figures, long).await.map_err(without_bounds)?;
    }
    if wanted("schedules") {
        schedules(&program, &mut figures, long).await.map_err(without_bounds)?;
    }
    if wanted("rolling") {
        rolling(&program, &mut figures, long).await.map_err(without_bounds)?;
    }
    if wanted("servers") {
        servers(&program, &mut figures, long).await.map_err(without_bounds)?;
    }
    if wanted("simulated") {
        simulated(&mut figures);
    }
    Ok(serde_json::to_value(figures)?)
}
