//! Cost of the catalogue by the number of tenants: a node's memory, its start and its administration API.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use woodgap_capacity::projection::{START_BYTES_NAME, START_READS_NAME, START_SERVICE_NAME};
use woodgap_capacity::target::{Budget, Dimension};
use woodgap_capacity::Role;
use woodgap_testkit::admin::{tenant_spec, Precondition};

use super::catalogue_writer::CatalogueWriter;
use super::error::ScaleError;
use super::real_node::{NodeConfig, RealNode};
use super::samples::{Figure, Samples};
use super::stand_in::StandIn;

const NODE_MEMORY: Figure =
    Figure { role: Role::Catalogue, name: "own memory of a node, tenants without servers", unit: "bytes" };
const NODE_MEMORY_8_SERVERS: Figure = Figure {
    role: Role::Catalogue,
    name: "own memory of a node, tenants with eight servers each",
    unit: "bytes",
};
const IDLE_NODE_CPU: Figure = Figure { role: Role::Catalogue, name: "core of an idle node", unit: "core" };
const START_TIME: Figure = Figure { role: Role::Start, name: "start until it listens", unit: "ms" };
const START_TIME_8_SERVERS: Figure =
    Figure { role: Role::Start, name: "the same, tenants with eight servers each", unit: "ms" };
const READS_PER_START: Figure = Figure { role: Role::Start, name: START_READS_NAME, unit: "reads" };
const BYTES_PER_START: Figure = Figure { role: Role::Start, name: START_BYTES_NAME, unit: "bytes" };
const SERVICE_CPU_PER_START: Figure = Figure { role: Role::Start, name: START_SERVICE_NAME, unit: "ms" };
const TENANT_PAGE_LATENCY: Figure =
    Figure { role: Role::Administration, name: "a page of 100 tenants", unit: "ms" };
const TENANT_WRITE_LATENCY: Figure =
    Figure { role: Role::Administration, name: "a write of a tenant, answered", unit: "ms" };

/// Sizes and rounds of the catalogue measurement.
pub struct CataloguePlan {
    /// Numbers of tenants without servers, ascending.
    pub tenants: &'static [usize],
    /// Numbers of tenants with eight servers each, ascending.
    pub tenants_with_8_servers: &'static [usize],
    /// Rounds at each size.
    pub rounds: usize,
}

/// Plan of a full measurement.
pub const FULL_PLAN: CataloguePlan = CataloguePlan {
    tenants: &[2_000, 5_000, 10_000, 19_000],
    tenants_with_8_servers: &[250, 500, 1_000, 2_000],
    rounds: 3,
};
/// Plan of `--quick`.
pub const QUICK_PLAN: CataloguePlan = CataloguePlan {
    tenants: &[250, 500, 1_000, 2_000],
    tenants_with_8_servers: &[30, 60, 90, 120],
    rounds: 1,
};

/// Declares the series of this measurement.
pub fn declare(samples: &mut Samples) {
    let tenants = Dimension::Tenants;
    samples.declare(NODE_MEMORY, tenants, Some(Budget::MemoryBytes), None);
    samples.declare(NODE_MEMORY_8_SERVERS, tenants, Some(Budget::MemoryBytes), None);
    samples.declare(IDLE_NODE_CPU, tenants, Some(Budget::CoreShare), None);
    samples.declare(START_TIME, tenants, Some(Budget::StartMs), None);
    samples.declare(START_TIME_8_SERVERS, tenants, Some(Budget::StartMs), None);
    for figure in
        [READS_PER_START, BYTES_PER_START, SERVICE_CPU_PER_START, TENANT_PAGE_LATENCY, TENANT_WRITE_LATENCY]
    {
        samples.declare(figure, tenants, None, None);
    }
}

/// Measures at each size of the plan. The catalogue grows from size to size; tenants with and without servers
/// use separate stand-ins.
///
/// # Errors
/// When a part of the measurement fails.
pub async fn measure(plan: &CataloguePlan, samples: &mut Samples) -> Result<(), ScaleError> {
    let stand_in = StandIn::start().await?;
    let mut writer = open_writer(&stand_in).await?;
    for &tenants in plan.tenants {
        writer = fill(writer, tenants, Vec::new()).await?;
        for _ in 0..plan.rounds {
            measure_size(&stand_in, tenants as u64, samples).await?;
        }
    }
    drop(writer);
    let stand_in = StandIn::start().await?;
    let mut writer = open_writer(&stand_in).await?;
    let servers: Vec<SocketAddr> = (0..8).map(|n| SocketAddr::from(([127, 0, 0, 1], 20_000 + n))).collect();
    for &tenants in plan.tenants_with_8_servers {
        writer = fill(writer, tenants, servers.clone()).await?;
        for _ in 0..plan.rounds {
            let node = start_node(&stand_in).await?;
            samples.record(START_TIME_8_SERVERS, tenants as u64, node.start_duration.as_secs_f64() * 1e3);
            samples.record(NODE_MEMORY_8_SERVERS, tenants as u64, node.private_memory_bytes()?);
        }
    }
    Ok(())
}

async fn open_writer(stand_in: &StandIn) -> Result<CatalogueWriter, ScaleError> {
    let address = stand_in.addresses[0];
    run_blocking(move || CatalogueWriter::open(address)).await
}

async fn fill(
    mut writer: CatalogueWriter,
    tenants: usize,
    servers: Vec<SocketAddr>,
) -> Result<CatalogueWriter, ScaleError> {
    run_blocking(move || writer.fill(tenants, &servers).map(|_| writer)).await
}

/// Runs blocking work on the runtime's thread pool for blocking tasks.
///
/// # Errors
/// The error of the work, or [`ScaleError::Host`] when the work panicked.
pub async fn run_blocking<T: Send + 'static>(
    work: impl FnOnce() -> Result<T, ScaleError> + Send + 'static,
) -> Result<T, ScaleError> {
    let result = tokio::task::spawn_blocking(work).await;
    result.map_err(|error| ScaleError::Host(error.to_string()))?
}

async fn start_node(stand_in: &StandIn) -> Result<RealNode, ScaleError> {
    let service = stand_in.addresses[0];
    run_blocking(move || RealNode::start(&NodeConfig { name: "n1", service, seeds: &[] })).await
}

/// Measures one node at one size: its start, its memory, its CPU time when idle and its administration API.
async fn measure_size(stand_in: &StandIn, size: u64, samples: &mut Samples) -> Result<(), ScaleError> {
    let (traffic_before, cpu_before_s) = (stand_in.traffic(), stand_in.cpu_s()?);
    let node = start_node(stand_in).await?;
    let (traffic_after, service_cpu_s) = (stand_in.traffic(), stand_in.cpu_s()? - cpu_before_s);
    samples.record(START_TIME, size, node.start_duration.as_secs_f64() * 1e3);
    samples.record(READS_PER_START, size, (traffic_after.reads - traffic_before.reads) as f64);
    samples.record(BYTES_PER_START, size, (traffic_after.bytes_out - traffic_before.bytes_out) as f64);
    samples.record(SERVICE_CPU_PER_START, size, service_cpu_s * 1e3);
    tokio::time::sleep(Duration::from_millis(300)).await;
    samples.record(NODE_MEMORY, size, node.private_memory_bytes()?);
    let (cpu_before_s, start) = (node.process.cpu_s()?, Instant::now());
    tokio::time::sleep(Duration::from_secs(1)).await;
    samples.record(
        IDLE_NODE_CPU,
        size,
        (node.process.cpu_s()? - cpu_before_s) / start.elapsed().as_secs_f64(),
    );
    let start = Instant::now();
    let page = node.admin.get("tenants?limit=100").await?;
    samples.record(TENANT_PAGE_LATENCY, size, start.elapsed().as_secs_f64() * 1e3);
    if page.body["tenants"].as_array().map_or(0, Vec::len) != 100 {
        return Err(ScaleError::Node(format!("unexpected page of tenants: {page:?}")));
    }
    measure_writes(&node, samples, size).await
}

/// Measures writes of a tenant through the administration API of a node.
async fn measure_writes(node: &RealNode, samples: &mut Samples, size: u64) -> Result<(), ScaleError> {
    const WRITES: usize = 5;
    let path = "tenants/t000000";
    let mut etag =
        node.admin.get(path).await?.etag.ok_or_else(|| ScaleError::Node(format!("{path}: no ETag")))?;
    let mut latencies_ms = Vec::new();
    for n in 0..WRITES {
        let mut document = tenant_spec(2_000);
        document["quota_per_s"] = serde_json::json!(n + 1);
        let start = Instant::now();
        let response = node.admin.put(path, Precondition::Match(&etag), &document).await?;
        latencies_ms.push(start.elapsed().as_secs_f64() * 1e3);
        etag = response
            .etag
            .clone()
            .ok_or_else(|| ScaleError::Node(format!("{path}: write without ETag: {response:?}")))?;
    }
    latencies_ms.sort_by(f64::total_cmp);
    samples.record(TENANT_WRITE_LATENCY, size, latencies_ms[WRITES / 2]);
    Ok(())
}
