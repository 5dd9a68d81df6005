//! Fleet events at full size: how the fleet converges after part of it fails, restarts or is cut off, and
//! after a cold start.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use woodgap_capacity::FleetEvent;

use super::error::ScaleError;
use super::fleet::ScaleFleet;
use super::registration::RegisteredServers;

/// Time in which a fleet has to converge after an event.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(90);
/// Interval of changes while the regions are cut off from each other.
const CHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// Sizes of the events.
pub struct EventsPlan {
    /// Host processes of hollow nodes in a rack.
    pub rack_hosts: usize,
    /// Host processes of hollow nodes in a zone.
    pub zone_hosts: usize,
    /// Host processes of hollow nodes that restart at the same time.
    pub restarting_hosts: usize,
    /// Servers in a rack.
    pub rack_servers: usize,
    /// Hollow nodes in a host process.
    pub nodes_per_host: usize,
    /// Duration of the cut between the regions.
    pub cut_duration: Duration,
}

/// Measurement of an event, from its start until the fleet has converged.
struct EventMeasurement {
    name: String,
    start: Instant,
    /// Bytes sent to each session before the event.
    bytes_before: HashMap<i64, u64>,
}

impl EventMeasurement {
    fn start(fleet: &ScaleFleet, name: String) -> EventMeasurement {
        fleet.stand_in.take_peak();
        EventMeasurement {
            name,
            start: Instant::now(),
            bytes_before: fleet.stand_in.service.bytes_by_session(),
        }
    }

    /// Ends the measurement. `converged` tells whether the fleet has converged, or why not.
    fn finish(self, fleet: &ScaleFleet, converged: Result<(), ScaleError>) -> FleetEvent {
        let elapsed_ms = self.start.elapsed().as_secs_f64() * 1e3;
        let peak = fleet.stand_in.take_peak();
        let bytes_after = fleet.stand_in.service.bytes_by_session();
        let sent =
            |(session, bytes): (&i64, &u64)| bytes - self.bytes_before.get(session).copied().unwrap_or(0);
        let busiest_node_bytes = bytes_after.iter().map(sent).max().unwrap_or(0);
        let broke = match &converged {
            Ok(()) => {
                fleet.hosts.with_observations(|observed| std::mem::take(&mut observed.faults)).join("; ")
            }
            Err(error) => error.to_string(),
        };
        println!(
            "  {}: {:.1} s, {} reads and {} bytes in the busiest second; {broke}",
            self.name,
            elapsed_ms / 1e3,
            peak.reads,
            peak.bytes
        );
        FleetEvent {
            name: self.name,
            nodes: fleet.node_count() as u32,
            agreed_ms: converged.is_ok().then_some(elapsed_ms),
            service_reads_peak: peak.reads,
            service_bytes_peak: peak.bytes,
            busiest_node_bytes,
            broke,
        }
    }
}

/// Triggers all events one after the other on a fleet that has converged, and measures them.
///
/// # Errors
/// When the measurement itself fails. A fleet that does not converge after an event is recorded in the event.
pub async fn measure(
    plan: &EventsPlan,
    fleet: &mut ScaleFleet,
    servers: &mut RegisteredServers,
) -> Result<Vec<FleetEvent>, ScaleError> {
    Ok(vec![
        measure_rack_failure(plan, fleet, servers).await?,
        measure_change_during_restarts(plan, fleet).await?,
        measure_zone_failure(plan, fleet).await?,
        measure_region_reconnect(plan, fleet).await?,
        measure_cold_start(plan, fleet).await?,
    ])
}

/// Waits until all members agree on the running nodes, then until a change is in force at all of them.
async fn wait_until_change_propagates(fleet: &mut ScaleFleet) -> Result<(), ScaleError> {
    let alive = fleet.node_count();
    fleet.hosts.wait_for_agreement(alive, CONVERGENCE_TIMEOUT).await?;
    fleet.propagate_change().await.map(drop)
}

/// Kills the nodes and servers of a rack at once, and restarts the nodes after the measurement.
async fn measure_rack_failure(
    plan: &EventsPlan,
    fleet: &mut ScaleFleet,
    servers: &mut RegisteredServers,
) -> Result<FleetEvent, ScaleError> {
    let (nodes, failed_servers) = (plan.rack_hosts * plan.nodes_per_host, plan.rack_servers);
    let measurement = EventMeasurement::start(
        fleet,
        format!("a rack is gone at once ({nodes} nodes, {failed_servers} servers)"),
    );
    fleet.hosts.kill(plan.rack_hosts, None);
    servers.end(&fleet.stand_in.service, 0..failed_servers);
    let converged = wait_until_change_propagates(fleet).await;
    let event = measurement.finish(fleet, converged);
    fleet.hosts.start(plan.rack_hosts, plan.nodes_per_host).await?;
    fleet.wait_until_converged(CONVERGENCE_TIMEOUT).await?;
    Ok(event)
}

/// Writes a change while some nodes restart.
async fn measure_change_during_restarts(
    plan: &EventsPlan,
    fleet: &mut ScaleFleet,
) -> Result<FleetEvent, ScaleError> {
    let nodes = plan.restarting_hosts * plan.nodes_per_host;
    let measurement = EventMeasurement::start(fleet, format!("a change while {nodes} nodes restart"));
    fleet.hosts.kill(plan.restarting_hosts, None);
    let (revision, _) = fleet.write_change().await?;
    fleet.hosts.start(plan.restarting_hosts, plan.nodes_per_host).await?;
    // The restarted nodes load the whole catalogue with the change; the others apply its commit.
    let propagated = fleet.wait_for_revision(revision, CONVERGENCE_TIMEOUT).await;
    let alive = fleet.node_count();
    let converged = match propagated {
        Ok(()) => fleet.hosts.wait_for_agreement(alive, CONVERGENCE_TIMEOUT).await.map(drop),
        Err(error) => Err(error),
    };
    Ok(measurement.finish(fleet, converged))
}

/// Kills the nodes of a zone at once, and restarts them after the measurement.
async fn measure_zone_failure(plan: &EventsPlan, fleet: &mut ScaleFleet) -> Result<FleetEvent, ScaleError> {
    let nodes = plan.zone_hosts * plan.nodes_per_host;
    let measurement = EventMeasurement::start(fleet, format!("a zone is gone at once ({nodes} nodes)"));
    fleet.hosts.kill(plan.zone_hosts, None);
    let converged = wait_until_change_propagates(fleet).await;
    let event = measurement.finish(fleet, converged);
    fleet.hosts.start(plan.zone_hosts, plan.nodes_per_host).await?;
    fleet.wait_until_converged(CONVERGENCE_TIMEOUT).await?;
    Ok(event)
}

/// Cuts the second region off from the coordination service and from the members of the first region, while
/// changes continue in the first. Measures the time from the end of the cut until the fleet has converged.
async fn measure_region_reconnect(
    plan: &EventsPlan,
    fleet: &mut ScaleFleet,
) -> Result<FleetEvent, ScaleError> {
    let second_address = fleet.stand_in.addresses[1];
    fleet.hosts.cut_regions(true)?;
    fleet.stand_in.service.set_refused(second_address, true);
    let (cut_start, mut changes) = (Instant::now(), 0);
    while cut_start.elapsed() < plan.cut_duration {
        fleet.write_change().await?;
        changes += 1;
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    let seconds = plan.cut_duration.as_secs();
    let name = format!("the regions are together again after {seconds} s, {changes} changes on one side");
    let measurement = EventMeasurement::start(fleet, name);
    fleet.stand_in.service.set_refused(second_address, false);
    fleet.hosts.cut_regions(false)?;
    let revision = fleet.last_revision();
    let caught_up = fleet.wait_for_revision(revision, CONVERGENCE_TIMEOUT).await;
    let alive = fleet.node_count();
    let converged = match caught_up {
        Ok(()) => fleet.hosts.wait_for_agreement(alive, CONVERGENCE_TIMEOUT).await.map(drop),
        Err(error) => Err(error),
    };
    Ok(measurement.finish(fleet, converged))
}

/// Kills all nodes, then starts them all again.
async fn measure_cold_start(plan: &EventsPlan, fleet: &mut ScaleFleet) -> Result<FleetEvent, ScaleError> {
    let (hosts, real_nodes) = (fleet.hosts.host_count(), fleet.real_nodes.len());
    fleet.real_nodes.clear();
    fleet.hosts.kill_all();
    let measurement = EventMeasurement::start(fleet, "a cold start of all nodes".to_owned());
    fleet.hosts.start(hosts, plan.nodes_per_host).await?;
    fleet.start_real(real_nodes).await?;
    let converged = fleet.wait_until_converged(CONVERGENCE_TIMEOUT).await.map(drop);
    Ok(measurement.finish(fleet, converged))
}
