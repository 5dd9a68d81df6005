//! Cost of the request path by the number of services: what a node adds to a request, compared with direct
//! connections to a server in the same run.

use std::net::SocketAddr;
use std::time::Duration;

use woodgap_capacity::target::{Budget, Dimension};
use woodgap_capacity::Role;
use woodgap_testkit::backend::{Backend, BackendOptions, ServerBehavior};
use woodgap_testkit::client::ClientRequest;
use woodgap_testkit::load::{self, Load, LoadReport};

use super::catalogue::run_blocking;
use super::catalogue_writer::CatalogueWriter;
use super::error::ScaleError;
use super::real_node::{NodeConfig, RealNode};
use super::samples::{Figure, Samples};
use super::stand_in::StandIn;

const ADDED_LATENCY_P99: Figure =
    Figure { role: Role::RequestPath, name: "added to 99 in 100 requests, 250 a second", unit: "ms" };
const ADDED_LATENCY_P50: Figure =
    Figure { role: Role::RequestPath, name: "added to half of the requests", unit: "ms" };
const DIRECT_LATENCY_P99: Figure =
    Figure { role: Role::RequestPath, name: "99 in 100 of a direct connection, beside it", unit: "ms" };
const NODE_CPU: Figure =
    Figure { role: Role::RequestPath, name: "core of a node at 250 requests a second", unit: "core" };
const NODE_MEMORY: Figure =
    Figure { role: Role::RequestPath, name: "own memory of a node under that load", unit: "bytes" };
const UNSERVED_REQUESTS: Figure =
    Figure { role: Role::RequestPath, name: "requests not served", unit: "in a thousand" };

/// Load of a node: the fleet's peak divided by its nodes.
const REQUESTS_PER_SECOND: f64 = 250.0;
/// Number of servers, which all services share because only the node is measured.
const SERVER_COUNT: usize = 8;

/// Sizes and rounds of the request path measurement.
pub struct RequestsPlan {
    /// Numbers of services, ascending. Each service is a tenant.
    pub services: &'static [usize],
    /// Rounds, each with all sizes.
    pub rounds: usize,
    /// Duration of each measured load.
    pub load_duration: Duration,
    /// Duration of the load on a node before the measurement.
    pub warm_up_duration: Duration,
}

/// Plan of a full measurement.
pub const FULL_PLAN: RequestsPlan = RequestsPlan {
    services: &[35, 70, 105, 140],
    rounds: 3,
    load_duration: Duration::from_secs(2),
    warm_up_duration: Duration::from_secs(3),
};
/// Plan of `--quick`.
pub const QUICK_PLAN: RequestsPlan = RequestsPlan {
    services: &[10, 20, 30, 40],
    rounds: 1,
    load_duration: Duration::from_secs(1),
    warm_up_duration: Duration::from_secs(1),
};

/// Declares the series of this measurement.
pub fn declare(samples: &mut Samples) {
    let services = Dimension::Services;
    samples.declare(ADDED_LATENCY_P99, services, Some(Budget::AddedMs), None);
    for figure in [ADDED_LATENCY_P50, DIRECT_LATENCY_P99, NODE_CPU, NODE_MEMORY, UNSERVED_REQUESTS] {
        samples.declare(figure, services, None, None);
    }
}

async fn run_load(addr: SocketAddr, load_duration: Duration, round: usize, services: usize) -> LoadReport {
    let load =
        Load { addr, requests_per_s: REQUESTS_PER_SECOND, duration: load_duration, max_connections: 64 };
    load::run(load, move |n| {
        let org = format!("t{:06}", n as usize % services);
        ClientRequest {
            key: format!("k{}", n % 2_000),
            ..ClientRequest::lookup(&org, format!("{round}-{services}-{n}"))
        }
    })
    .await
}

/// Measures all sizes in each round, and after each node the direct connections.
///
/// # Errors
/// When a part of the measurement fails.
pub async fn measure(plan: &RequestsPlan, samples: &mut Samples) -> Result<(), ScaleError> {
    let options =
        BackendOptions { cores: 64, queue_limit: 4_096, record_requests: false, ..BackendOptions::default() };
    let mut servers = Vec::new();
    for _ in 0..SERVER_COUNT {
        servers.push(Backend::start_with(ServerBehavior::Serve(Duration::from_millis(5)), options).await?);
    }
    let stand_in = StandIn::start().await?;
    let (address, max_services) = (stand_in.addresses[0], plan.services.iter().copied().max().unwrap_or(1));
    let server_addresses: Vec<SocketAddr> = servers.iter().map(|server| server.addr).collect();
    run_blocking(move || CatalogueWriter::open(address)?.fill(max_services, &server_addresses).map(drop))
        .await?;
    for round in 0..plan.rounds {
        for &services in plan.services {
            let start = move || RealNode::start(&NodeConfig { name: "n1", service: address, seeds: &[] });
            let node = run_blocking(start).await?;
            let size = services as u64;
            // A pool starts with its first request; the warm-up keeps these starts out of the measurement.
            run_load(node.process.addr, plan.warm_up_duration, round + 1_000, services).await;
            let cpu_before_s = node.process.cpu_s()?;
            let proxied = run_load(node.process.addr, plan.load_duration, round, services).await;
            let cpu_s = node.process.cpu_s()? - cpu_before_s;
            samples.record(NODE_CPU, size, cpu_s / proxied.elapsed.as_secs_f64().max(1e-3));
            samples.record(NODE_MEMORY, size, node.private_memory_bytes()?);
            drop(node);
            let direct = run_load(servers[0].addr, plan.load_duration, round, services).await;
            let added = |quantile| proxied.served_quantile(quantile) - direct.served_quantile(quantile);
            samples.record(ADDED_LATENCY_P99, size, added(0.99));
            samples.record(ADDED_LATENCY_P50, size, added(0.5));
            samples.record(DIRECT_LATENCY_P99, size, direct.served_quantile(0.99));
            samples.record(UNSERVED_REQUESTS, size, 1e3 * (1.0 - proxied.served_share()));
        }
    }
    Ok(())
}
