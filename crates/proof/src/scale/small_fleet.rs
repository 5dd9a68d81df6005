//! A small scale measurement with a verdict for CI. It compares counts, not times, with the recorded slopes.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use serde_json::{json, Value};
use woodgap_capacity::{Fit, Recording, Role};

use super::error::ScaleError;
use super::fleet::ScaleFleet;
use super::hosts::wait_until;
use super::registration::{write_services, RegisteredServers};
use super::requirements::ResourceRequirements;

/// Number of real nodes.
const REAL_NODES: usize = 3;
/// Number of host processes of hollow nodes.
const HOSTS: usize = 4;
/// Hollow nodes in a host process.
const NODES_PER_HOST: usize = 6;
/// Number of registered servers.
const SERVERS: usize = 60;
/// Number of services that the servers belong to.
const SERVICES: usize = 6;
/// Share of datagrams that hollow members drop.
const DATAGRAM_LOSS_SHARE: f64 = 0.02;
/// Number of changes before the cut, and of those during the cut.
const CHANGES: usize = 6;
/// Time in which each awaited condition has to be met.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(25);
/// Maximum ratio of a measured count to the recorded line.
const MAX_COUNT_RATIO: f64 = 2.0;

/// Failed checks of a run.
#[derive(Default)]
struct Verdict {
    faults: Vec<String>,
}

impl Verdict {
    fn check(&mut self, holds: bool, fault: impl FnOnce() -> String) {
        if !holds {
            self.faults.push(fault());
        }
    }
}

/// Runs a small fleet and compares it with a recording. Returns an object whose `holds` is the verdict.
///
/// # Errors
/// When the run itself fails.
pub async fn check_against_recording(recording: &Path, seed: u64) -> Result<Value, ScaleError> {
    let text = std::fs::read_to_string(recording);
    let text = text.map_err(|error| ScaleError::File { path: recording.into(), error })?;
    let recording = Recording::parse(&text)?;
    ResourceRequirements::of((HOSTS * NODES_PER_HOST) as u64, NODES_PER_HOST as u64, REAL_NODES as u64)
        .check()?;
    let mut verdict = Verdict::default();
    let mut fleet = ScaleFleet::start(DATAGRAM_LOSS_SHARE, seed).await?;
    write_services(fleet.stand_in.addresses[0], SERVICES).await?;
    let mut servers = RegisteredServers::new(&fleet.stand_in.service, SERVICES)?;
    servers.fill(&fleet.stand_in.service, SERVERS)?;
    fleet.hosts.start(HOSTS, NODES_PER_HOST).await?;
    fleet.start_real(REAL_NODES).await?;
    fleet.wait_until_converged(CONDITION_TIMEOUT).await?;
    let node_names = fleet.hosts.node_names();

    let first_revision = check_change_costs(&mut fleet, &recording, &mut verdict).await?;
    change_during_region_cut(&mut fleet).await?;
    check_order_of_changes(&fleet, first_revision, &node_names, &mut verdict);
    restart_server(&fleet, &mut servers).await?;
    check_host_failure(&mut fleet, &mut verdict).await?;
    let faults = fleet.hosts.with_observations(|observed| std::mem::take(&mut observed.faults));
    verdict.check(faults.is_empty(), || faults.join("; "));
    Ok(json!({"proof": "scale", "small": true, "holds": verdict.faults.is_empty(), "faults": verdict.faults}))
}

/// Writes changes to a healthy fleet and checks that they reach all nodes at no more than the recorded cost.
/// Returns the revision of the first change.
async fn check_change_costs(
    fleet: &mut ScaleFleet,
    recording: &Recording,
    verdict: &mut Verdict,
) -> Result<u64, ScaleError> {
    let before = fleet.stand_in.traffic();
    let mut first_revision = 0;
    for n in 0..CHANGES {
        let propagation = fleet.propagate_change().await?;
        verdict.check(propagation.latencies_ms.len() as u64 == fleet.node_count(), || {
            format!(
                "change {n} was in force at {} of {} nodes",
                propagation.latencies_ms.len(),
                fleet.node_count()
            )
        });
        if n == 0 {
            first_revision = propagation.revision;
        }
    }
    let after = fleet.stand_in.traffic();
    let nodes = fleet.node_count() as f64;
    for (figure, total) in [
        ("reads of one change", after.reads - before.reads),
        ("bytes out of one change", after.bytes_out - before.bytes_out),
    ] {
        let per_change = total as f64 / CHANGES as f64;
        let Some(max) = recorded_value(recording, figure, nodes).map(|value| value * MAX_COUNT_RATIO) else {
            verdict.check(false, || format!("the recording has no series for: {figure}"));
            continue;
        };
        verdict.check(per_change <= max, || {
            format!("{figure}: {per_change:.0} at {nodes} nodes, maximum {max:.0}")
        });
    }
    Ok(first_revision)
}

/// Returns the value of a coordination service figure at a size, from the line through its recorded series.
fn recorded_value(recording: &Recording, figure: &str, size: f64) -> Option<f64> {
    let mut recorded = recording.series.iter();
    let series = recorded.find(|series| series.role == Role::Coordination && series.figure == figure)?;
    Some(Fit::from_series(series).value_at(size))
}

/// Cuts the second region off, writes changes, ends the cut and waits until all nodes have the changes.
async fn change_during_region_cut(fleet: &mut ScaleFleet) -> Result<(), ScaleError> {
    let second_address = fleet.stand_in.addresses[1];
    fleet.hosts.cut_regions(true)?;
    fleet.stand_in.service.set_refused(second_address, true);
    for _ in 0..CHANGES {
        fleet.write_change().await?;
    }
    fleet.stand_in.service.set_refused(second_address, false);
    fleet.hosts.cut_regions(false)?;
    let revision = fleet.last_revision();
    fleet.wait_for_revision(revision, CONDITION_TIMEOUT).await
}

/// Checks that every change was applied at every hollow node, once and in order.
fn check_order_of_changes(
    fleet: &ScaleFleet,
    first_revision: u64,
    node_names: &BTreeSet<String>,
    verdict: &mut Verdict,
) {
    fleet.hosts.with_observations(|observed| {
        verdict.check(observed.out_of_order == 0, || {
            format!("commits were applied out of order {} times", observed.out_of_order)
        });
        for revision in first_revision..=fleet.last_revision() {
            let reached = observed
                .in_force
                .get(&revision)
                .map(|times_us| times_us.keys().cloned().collect())
                .unwrap_or_default();
            let missing: Vec<&String> = node_names.difference(&reached).collect();
            verdict
                .check(missing.is_empty(), || format!("revision {revision} was not applied at {missing:?}"));
        }
    });
}

/// Kills a host and checks that the other members declare its members, and only those, dead, and that changes
/// still reach all nodes.
async fn check_host_failure(fleet: &mut ScaleFleet, verdict: &mut Verdict) -> Result<(), ScaleError> {
    let killed = fleet.hosts.kill(1, None).len();
    verdict.check(killed == NODES_PER_HOST, || format!("{killed} nodes were killed"));
    let alive = fleet.node_count();
    fleet.hosts.wait_for_agreement(alive, CONDITION_TIMEOUT).await?;
    let propagation = fleet.propagate_change().await?;
    verdict.check(propagation.latencies_ms.len() as u64 == alive, || {
        format!(
            "after a host was killed, a change was in force at {} of {alive} nodes",
            propagation.latencies_ms.len()
        )
    });
    Ok(())
}

/// Restarts a server and waits until every real node, which watches it, has read the server list and its
/// record again.
async fn restart_server(fleet: &ScaleFleet, servers: &mut RegisteredServers) -> Result<(), ScaleError> {
    const READS_PER_NODE: u64 = 2;
    let reads_before = fleet.stand_in.traffic().reads;
    servers.restart(&fleet.stand_in.service, 0)?;
    let expected_reads = reads_before + READS_PER_NODE * fleet.real_nodes.len() as u64;
    let have_read = || fleet.stand_in.traffic().reads >= expected_reads;
    wait_until("all real nodes to read a restarted server", CONDITION_TIMEOUT, || async { have_read() }).await
}
