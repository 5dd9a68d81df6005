//! Cost of server registrations by the number of servers, for a node that watches all of them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use woodgap_capacity::target::{Budget, Dimension, Rate};
use woodgap_capacity::Role;
use woodgap_testkit::coordination::tree::{CreateMode, Op};
use woodgap_testkit::coordination::wire::Coordination;

use super::catalogue::run_blocking;
use super::catalogue_writer::{tenant_spec, CatalogueWriter};
use super::error::ScaleError;
use super::hosts::wait_until;
use super::real_node::{NodeConfig, RealNode};
use super::samples::{Figure, Samples};
use super::stand_in::StandIn;

const NODE_MEMORY: Figure =
    Figure { role: Role::Registration, name: "own memory of a node that watches all servers", unit: "bytes" };
const START_TIME: Figure =
    Figure { role: Role::Registration, name: "start until all servers are read and watched", unit: "ms" };
const READS_PER_START: Figure =
    Figure { role: Role::Registration, name: "reads of one start", unit: "reads" };
const BYTES_PER_START: Figure =
    Figure { role: Role::Registration, name: "bytes of one start", unit: "bytes" };
const WATCHES_PER_NODE: Figure =
    Figure { role: Role::Registration, name: "watches of one node at the service", unit: "watches" };
const BYTES_PER_SERVER_RESTART: Figure =
    Figure { role: Role::Registration, name: "bytes to a node, of servers that restart", unit: "bytes" };
const READS_PER_SERVER_RESTART: Figure =
    Figure { role: Role::Registration, name: "reads of a node for one server's restart", unit: "reads" };

/// Time in which a node has to read all registered servers.
const READ_ALL_SERVERS_TIMEOUT: Duration = Duration::from_secs(30);
/// Server restarts in a round.
const RESTARTS_PER_ROUND: usize = 10;
/// Parent path of the services.
const SERVICES_ROOT_PATH: &str = "/pools";

/// Sizes and rounds of the registration measurement.
pub struct RegistrationPlan {
    /// Numbers of servers, ascending.
    pub servers: &'static [usize],
    /// Number of services that the servers belong to.
    pub services: usize,
    /// Rounds at each size.
    pub rounds: usize,
}

/// Plan of a full measurement.
pub const FULL_PLAN: RegistrationPlan =
    RegistrationPlan { servers: &[1_000, 2_000, 3_000, 4_500], services: 140, rounds: 3 };
/// Plan of `--quick`.
pub const QUICK_PLAN: RegistrationPlan =
    RegistrationPlan { servers: &[70, 140, 280, 560], services: 35, rounds: 1 };

/// Declares the series of this measurement.
pub fn declare(samples: &mut Samples) {
    let servers = Dimension::Servers;
    samples.declare(NODE_MEMORY, servers, Some(Budget::MemoryBytes), None);
    samples.declare(START_TIME, servers, Some(Budget::StartMs), None);
    samples.declare(READS_PER_START, servers, None, None);
    samples.declare(BYTES_PER_START, servers, None, None);
    samples.declare(WATCHES_PER_NODE, servers, None, None);
    samples.declare(READS_PER_SERVER_RESTART, servers, None, None);
    samples.declare(BYTES_PER_SERVER_RESTART, servers, Some(Budget::BytesPerS), Some(Rate::Restarts));
}

fn rejected(code: impl std::fmt::Debug) -> ScaleError {
    ScaleError::Catalogue(format!("{code:?}"))
}

fn create_node(path: String, data: Vec<u8>, ephemeral: bool) -> Op {
    Op::Create { path, data, acl: Vec::new(), mode: CreateMode { ephemeral, sequential: false } }
}

/// Servers registered as ephemeral nodes. Their sessions exist only inside the stand-in, without a
/// connection.
pub struct RegisteredServers {
    services: usize,
    /// Session of each server.
    sessions: Vec<i64>,
}

impl RegisteredServers {
    /// Creates the paths of the services, without servers.
    ///
    /// # Errors
    /// When the coordination service rejects a path.
    pub fn new(service: &Coordination, services: usize) -> Result<RegisteredServers, ScaleError> {
        let session = service.open_session();
        service
            .apply(session, &create_node(SERVICES_ROOT_PATH.to_owned(), Vec::new(), false))
            .map_err(rejected)?;
        for n in 0..services {
            service
                .apply(
                    session,
                    &create_node(format!("{SERVICES_ROOT_PATH}/{}", service_path(n)), Vec::new(), false),
                )
                .map_err(rejected)?;
        }
        Ok(RegisteredServers { services, sessions: Vec::new() })
    }

    /// Registers servers until there are `count`.
    ///
    /// # Errors
    /// When the coordination service rejects a registration.
    pub fn fill(&mut self, service: &Coordination, count: usize) -> Result<(), ScaleError> {
        while self.sessions.len() < count {
            let session = self.register(service, self.sessions.len())?;
            self.sessions.push(session);
        }
        Ok(())
    }

    fn register(&self, service: &Coordination, n: usize) -> Result<i64, ScaleError> {
        let address = SocketAddr::from(([127, 0, (n >> 8) as u8, n as u8], 20_000));
        let data = serde_json::json!({"address": address, "started_ms": 7}).to_string().into_bytes();
        let path = format!("{SERVICES_ROOT_PATH}/{}/s{n:05}", service_path(n % self.services));
        let session = service.open_session();
        service.apply(session, &create_node(path, data, true)).map_err(rejected)?;
        Ok(session)
    }

    /// Restarts a server: ends its session and registers it again in a new one.
    ///
    /// # Errors
    /// When the coordination service rejects the registration.
    pub fn restart(&mut self, service: &Coordination, n: usize) -> Result<(), ScaleError> {
        service.close_session(self.sessions[n]);
        self.sessions[n] = self.register(service, n)?;
        Ok(())
    }

    /// Ends the sessions of a range of servers at once.
    pub fn end(&mut self, service: &Coordination, range: std::ops::Range<usize>) {
        service.close_sessions(&self.sessions[range]);
    }
}

/// Returns the path of a service's servers, relative to [`SERVICES_ROOT_PATH`]. Its tenant has the same name.
pub fn service_path(n: usize) -> String {
    format!("web{n:03}")
}

/// Writes a tenant for each service, with the service's path as the place of its servers' registrations.
///
/// # Errors
/// When a change is rejected.
pub async fn write_services(address: SocketAddr, services: usize) -> Result<(), ScaleError> {
    run_blocking(move || {
        let mut writer = CatalogueWriter::open(address)?;
        for n in 0..services {
            writer.create_tenant(&service_path(n), tenant_spec(Some(&service_path(n))), &[])?;
        }
        Ok(())
    })
    .await
}

/// Measures at each size of the plan.
///
/// # Errors
/// When a part of the measurement fails.
pub async fn measure(plan: &RegistrationPlan, samples: &mut Samples) -> Result<(), ScaleError> {
    let stand_in = StandIn::start().await?;
    write_services(stand_in.addresses[0], plan.services).await?;
    let mut servers = RegisteredServers::new(&stand_in.service, plan.services)?;
    for &count in plan.servers {
        servers.fill(&stand_in.service, count)?;
        for round in 0..plan.rounds {
            measure_size(&stand_in, &mut servers, count, round, samples).await?;
        }
    }
    Ok(())
}

async fn measure_size(
    stand_in: &StandIn,
    servers: &mut RegisteredServers,
    count: usize,
    round: usize,
    samples: &mut Samples,
) -> Result<(), ScaleError> {
    let (size, before, address) = (count as u64, stand_in.traffic(), stand_in.addresses[0]);
    let start = Instant::now();
    let node =
        run_blocking(move || RealNode::start(&NodeConfig { name: "n1", service: address, seeds: &[] }))
            .await?;
    // A node sets a watch on each server that it reads, beside those on the server lists.
    let has_read_all = || stand_in.service.watch_count() > count;
    wait_until("a node to read all servers", READ_ALL_SERVERS_TIMEOUT, || async { has_read_all() }).await?;
    samples.record(START_TIME, size, start.elapsed().as_secs_f64() * 1e3);
    wait_until_idle(stand_in).await;
    let after = stand_in.traffic();
    samples.record(READS_PER_START, size, (after.reads - before.reads) as f64);
    samples.record(BYTES_PER_START, size, (after.bytes_out - before.bytes_out) as f64);
    samples.record(WATCHES_PER_NODE, size, stand_in.service.watch_count() as f64);
    samples.record(NODE_MEMORY, size, node.private_memory_bytes()?);
    let before = stand_in.traffic();
    for n in 0..RESTARTS_PER_ROUND {
        servers.restart(&stand_in.service, (round * RESTARTS_PER_ROUND + n * 17) % count)?;
        wait_until_idle(stand_in).await;
    }
    let after = stand_in.traffic();
    samples.record(
        READS_PER_SERVER_RESTART,
        size,
        (after.reads - before.reads) as f64 / RESTARTS_PER_ROUND as f64,
    );
    samples.record(
        BYTES_PER_SERVER_RESTART,
        size,
        (after.bytes_out - before.bytes_out) as f64 / RESTARTS_PER_ROUND as f64,
    );
    // Ends the sessions of the node together with it. Otherwise its watches would count with those of the next
    // node until its session times out.
    let sessions = stand_in.service.connected_sessions();
    drop(node);
    stand_in.service.close_sessions(&sessions);
    Ok(())
}

/// Waits until no more reads arrive at the service.
async fn wait_until_idle(stand_in: &StandIn) {
    let mut reads = stand_in.traffic().reads;
    loop {
        tokio::time::sleep(Duration::from_millis(60)).await;
        let now = stand_in.traffic().reads;
        if now == reads {
            return;
        }
        reads = now;
    }
}
