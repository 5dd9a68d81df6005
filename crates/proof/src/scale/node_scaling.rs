//! Costs by the number of nodes: membership, changes, the ledger of drains and the coordination service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use woodgap_capacity::target::{Budget, Dimension, Rate};
use woodgap_capacity::Role;
use woodgap_permits::{Budget as DrainBudget, BudgetLimit, Command, Ledger, Scope};
use woodgap_zookeeper::document::VersionedDocument;

use super::error::ScaleError;
use super::fleet::ScaleFleet;
use super::hollow::protocol::{now_us, HostReport};
use super::hollow::LEDGER_PATH;
use super::hosts::wait_until;
use super::samples::{Figure, Samples};
use super::stand_in::open_session;

const MEMBERSHIP_BYTES: Figure =
    Figure { role: Role::Membership, name: "bytes of datagrams a node sends", unit: "bytes/s" };
const MEMBERSHIP_DATAGRAMS: Figure =
    Figure { role: Role::Membership, name: "datagrams a node sends", unit: "a second" };
const HOLLOW_NODE_CPU: Figure = Figure {
    role: Role::Membership,
    name: "core of a hollow node at rest (members, session, watches)",
    unit: "core",
};
const HOLLOW_NODE_MEMORY: Figure =
    Figure { role: Role::Membership, name: "own memory of a hollow node (100 tenants)", unit: "bytes" };
const CHANGE_LATENCY_P50: Figure =
    Figure { role: Role::Change, name: "write to in force, half of the nodes", unit: "ms" };
const CHANGE_LATENCY_P99: Figure =
    Figure { role: Role::Change, name: "write to in force, 99 in 100 nodes", unit: "ms" };
const CHANGE_LATENCY_MAX: Figure =
    Figure { role: Role::Change, name: "write to in force, the last node", unit: "ms" };
const NODE_BYTES_PER_CHANGE: Figure =
    Figure { role: Role::Change, name: "bytes to a node, of changes", unit: "bytes" };
const SERVICE_READS_PER_CHANGE: Figure =
    Figure { role: Role::Coordination, name: "reads of one change", unit: "reads" };
const SERVICE_BYTES_PER_CHANGE: Figure =
    Figure { role: Role::Coordination, name: "bytes out of one change", unit: "bytes" };
const SERVICE_CPU_PER_CHANGE: Figure =
    Figure { role: Role::Coordination, name: "stand-in's core for one change", unit: "ms" };
const NODE_BYTES_PER_RESTART: Figure =
    Figure { role: Role::Ledger, name: "bytes to a node, of restarts", unit: "bytes" };
const SERVICE_BYTES_PER_RESTART: Figure =
    Figure { role: Role::Ledger, name: "bytes out of the service, of restarts", unit: "bytes" };
const LEDGER_WRITES_PER_RESTART: Figure =
    Figure { role: Role::Ledger, name: "writes of one restart", unit: "writes" };
const LEDGER_STEP_LATENCY_MAX: Figure =
    Figure { role: Role::Ledger, name: "a step seen by the last node", unit: "ms" };

/// Time in which all members have to know one another.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time in which a step of the ledger has to be written, and then read by all hollow nodes.
const LEDGER_STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Sizes and rounds of the measurement.
pub struct NodeScalingPlan {
    /// Numbers of hollow nodes, ascending.
    pub hollow_nodes: Vec<usize>,
    /// Hollow nodes in a host process.
    pub nodes_per_host: usize,
    /// Number of real nodes, the same at each size.
    pub real_nodes: usize,
    /// Rounds at each size.
    pub rounds: usize,
    /// Changes in a round.
    pub changes: usize,
    /// Duration of the membership measurement in a round.
    pub membership_duration: Duration,
}

/// Returns four sizes up to the largest: an eighth, a quarter, a half and all of it.
pub fn sizes_up_to(largest: usize) -> Vec<usize> {
    let mut sizes: Vec<usize> = [8, 4, 2, 1].map(|divisor| (largest / divisor).max(1)).to_vec();
    sizes.dedup();
    sizes
}

/// Declares the series of this measurement.
pub fn declare(samples: &mut Samples) {
    let nodes = Dimension::Nodes;
    samples.declare(CHANGE_LATENCY_P50, nodes, None, None);
    samples.declare(CHANGE_LATENCY_P99, nodes, Some(Budget::InForceMs), None);
    samples.declare(CHANGE_LATENCY_MAX, nodes, Some(Budget::InForceMs), None);
    samples.declare(NODE_BYTES_PER_CHANGE, nodes, Some(Budget::BytesPerS), Some(Rate::Changes));
    samples.declare(MEMBERSHIP_BYTES, nodes, Some(Budget::BytesPerS), None);
    samples.declare(MEMBERSHIP_DATAGRAMS, nodes, None, None);
    samples.declare(HOLLOW_NODE_CPU, nodes, Some(Budget::CoreShare), None);
    samples.declare(HOLLOW_NODE_MEMORY, nodes, Some(Budget::MemoryBytes), None);
    samples.declare(NODE_BYTES_PER_RESTART, nodes, Some(Budget::BytesPerS), Some(Rate::Restarts));
    samples.declare(SERVICE_BYTES_PER_RESTART, nodes, None, Some(Rate::Restarts));
    samples.declare(LEDGER_WRITES_PER_RESTART, nodes, None, None);
    samples.declare(LEDGER_STEP_LATENCY_MAX, nodes, None, None);
    samples.declare(SERVICE_READS_PER_CHANGE, nodes, None, None);
    samples.declare(SERVICE_BYTES_PER_CHANGE, nodes, None, Some(Rate::Changes));
    samples.declare(SERVICE_CPU_PER_CHANGE, nodes, None, None);
}

/// Grows a fleet and measures it at each size.
///
/// # Errors
/// When a part of the measurement fails.
pub async fn measure(
    plan: &NodeScalingPlan,
    fleet: &mut ScaleFleet,
    samples: &mut Samples,
) -> Result<(), ScaleError> {
    for &hollow_nodes in &plan.hollow_nodes {
        let missing = hollow_nodes.saturating_sub(fleet.hosts.node_count()).div_ceil(plan.nodes_per_host);
        fleet.hosts.start(missing, plan.nodes_per_host).await?;
        fleet.start_real(plan.real_nodes - fleet.real_nodes.len()).await?;
        let took = fleet.wait_until_converged(CONVERGENCE_TIMEOUT).await?;
        println!("  {} nodes converged after {:.1} s", fleet.node_count(), took.as_secs_f64());
        for _ in 0..plan.rounds {
            measure_membership(plan.membership_duration, fleet, samples).await?;
            measure_changes(plan.changes, fleet, samples).await?;
            measure_drain_ledger(fleet, samples).await?;
        }
    }
    Ok(())
}

/// Measures the gossip traffic, CPU time and memory of hollow nodes while nothing changes.
async fn measure_membership(
    duration: Duration,
    fleet: &mut ScaleFleet,
    samples: &mut Samples,
) -> Result<(), ScaleError> {
    let (size, hollow) = (fleet.node_count(), fleet.hosts.node_count() as f64);
    let datagrams_and_bytes = |reports: &[HostReport]| {
        let sum = |counter: fn(&HostReport) -> u64| reports.iter().map(counter).sum::<u64>() as f64;
        (sum(|report| report.datagrams), sum(|report| report.bytes))
    };
    let before = datagrams_and_bytes(&fleet.hosts.reports().await?);
    let ((cpu_before_s, _), start) = (fleet.hosts.usage()?, Instant::now());
    tokio::time::sleep(duration).await;
    let (cpu_after_s, memory_kib) = fleet.hosts.usage()?;
    let seconds = start.elapsed().as_secs_f64();
    let after = datagrams_and_bytes(&fleet.hosts.reports().await?);
    samples.record(MEMBERSHIP_DATAGRAMS, size, (after.0 - before.0) / hollow / seconds);
    samples.record(MEMBERSHIP_BYTES, size, (after.1 - before.1) / hollow / seconds);
    samples.record(HOLLOW_NODE_CPU, size, (cpu_after_s - cpu_before_s) / hollow / seconds);
    samples.record(HOLLOW_NODE_MEMORY, size, memory_kib * 1_024.0 / hollow);
    Ok(())
}

/// Measures the propagation of changes to all nodes and their cost at the coordination service.
async fn measure_changes(
    count: usize,
    fleet: &mut ScaleFleet,
    samples: &mut Samples,
) -> Result<(), ScaleError> {
    let size = fleet.node_count();
    let (before, cpu_before_s) = (fleet.stand_in.traffic(), fleet.stand_in.cpu_s()?);
    let mut latencies_ms = Vec::new();
    let mut max_latency_ms: f64 = 0.0;
    for _ in 0..count {
        let propagation = fleet.propagate_change().await?;
        max_latency_ms = max_latency_ms.max(propagation.max_latency_ms());
        latencies_ms.extend(propagation.latencies_ms);
    }
    let (after, service_cpu_s) = (fleet.stand_in.traffic(), fleet.stand_in.cpu_s()? - cpu_before_s);
    latencies_ms.sort_by(f64::total_cmp);
    let quantile = |q: f64| woodgap_testkit::load::quantile(&latencies_ms, q);
    let per_change = |total: u64| total as f64 / count as f64;
    samples.record(CHANGE_LATENCY_P50, size, quantile(0.5));
    samples.record(CHANGE_LATENCY_P99, size, quantile(0.99));
    samples.record(CHANGE_LATENCY_MAX, size, max_latency_ms);
    samples.record(SERVICE_READS_PER_CHANGE, size, per_change(after.reads - before.reads));
    samples.record(SERVICE_BYTES_PER_CHANGE, size, per_change(after.bytes_out - before.bytes_out));
    samples.record(NODE_BYTES_PER_CHANGE, size, per_change(after.bytes_out - before.bytes_out) / size as f64);
    samples.record(SERVICE_CPU_PER_CHANGE, size, service_cpu_s * 1e3 / count as f64);
    Ok(())
}

fn ledger_error(error: impl std::fmt::Debug) -> ScaleError {
    ScaleError::Catalogue(format!("ledger: {error:?}"))
}

/// Measures the ledger writes of one node restart. All nodes are on the ledger's roster; all hollow nodes watch it.
async fn measure_drain_ledger(fleet: &mut ScaleFleet, samples: &mut Samples) -> Result<(), ScaleError> {
    let size = fleet.node_count();
    let service = open_session(fleet.stand_in.addresses[0])?;
    let document = VersionedDocument::start(&service, LEDGER_PATH.to_owned());
    let names: Vec<String> = (0..size).map(|n| format!("h{n:04}")).collect();
    let running: BTreeSet<String> = names.iter().cloned().collect();
    let budget = DrainBudget { scope: Scope::Fleet, most_out: BudgetLimit::Count(1), least_up: 1 };
    let mut ledger = Ledger::new(vec![budget], 1, 60_000).map_err(ledger_error)?;
    let mut now_ms = now_us() / 1_000;
    for holder in &names {
        let join = Command::Join { holder: holder.clone(), scopes: BTreeSet::new() };
        ledger.apply(&ledger.snapshot(now_ms, &running), join).map_err(ledger_error)?;
    }
    write_ledger(&document, fleet, &ledger).await?;
    let holder = names[0].clone();
    let mut writes = 0;
    let before = fleet.stand_in.traffic();
    let mut slowest_ms: f64 = 0.0;
    for step in 0..4 {
        now_ms += 10;
        let fence = ledger.permit_of(&holder).map_or(0, |permit| permit.fence);
        let holder = holder.clone();
        let command = match step {
            0 => Command::Ask { holder, ask: "scale".to_owned() },
            1 => Command::Begin { holder, fence },
            2 => Command::Left { holder, fence },
            _ => Command::Return { holder },
        };
        ledger.apply(&ledger.snapshot(now_ms, &running), command).map_err(ledger_error)?;
        ledger.advance(&ledger.snapshot(now_ms, &running));
        slowest_ms = slowest_ms.max(write_ledger(&document, fleet, &ledger).await?);
        writes += 1;
    }
    // The ledger's hold time after the return of the node (`hold_ms`) is over.
    now_ms += 10;
    if ledger.advance(&ledger.snapshot(now_ms, &running)) {
        slowest_ms = slowest_ms.max(write_ledger(&document, fleet, &ledger).await?);
        writes += 1;
    }
    let after = fleet.stand_in.traffic();
    let bytes = (after.bytes_out - before.bytes_out) as f64;
    samples.record(SERVICE_BYTES_PER_RESTART, size, bytes);
    samples.record(NODE_BYTES_PER_RESTART, size, bytes / size as f64);
    samples.record(LEDGER_WRITES_PER_RESTART, size, f64::from(writes));
    samples.record(LEDGER_STEP_LATENCY_MAX, size, slowest_ms);
    Ok(())
}

/// Writes the ledger and waits until all hollow nodes have read it. Returns the milliseconds until the last one had.
async fn write_ledger(
    document: &VersionedDocument,
    fleet: &ScaleFleet,
    ledger: &Ledger,
) -> Result<f64, ScaleError> {
    let text = serde_json::to_vec(ledger).map_err(ledger_error)?;
    let started_us = now_us();
    let change = move |_: Option<&[u8]>| Ok::<_, ()>((Some(text.clone()), ()));
    document.change(LEDGER_STEP_TIMEOUT, change).await.map_err(ledger_error)?;
    let version = fleet.stand_in.service.node(LEDGER_PATH).map_or(0, |(_, stat)| stat.version);
    let hollow = fleet.hosts.node_count();
    let readers = || fleet.hosts.with_observations(|seen| seen.ledger.get(&version).map_or(0, BTreeMap::len));
    wait_until("all hollow nodes to read the ledger", LEDGER_STEP_TIMEOUT, || async { readers() >= hollow })
        .await?;
    let last_us = fleet.hosts.with_observations(|observed| {
        observed.ledger.get(&version).and_then(|times_us| times_us.values().max().copied())
    });
    Ok(last_us.unwrap_or(started_us).saturating_sub(started_us) as f64 / 1e3)
}
