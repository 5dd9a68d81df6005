//! Measurement of how the cost of control grows with the number of nodes, servers, services and tenants, on a
//! fleet of hollow and real nodes that grows step by step.
//!
//! ```text
//!   requirements ─ rejects a run that exceeds the machine's limits
//!   StandIn (own thread) ◀── hollow hosts (processes, many nodes each) ◀─ hosts: commands, notices
//!            ▲          ◀── real `woodgap serve` processes ◀───────────── real_node
//!            └── catalogue_writer (the shared store of `woodgap`)
//!   catalogue, registration, requests, node_scaling ─▶ samples ─▶ Recording ─▶ table, JSON, docs/CAPACITY.md
//!   events ───────────────────────────────────────────────────────────┘
//! ```
//!
//! The stand-in of the coordination service runs on its own thread, so that its CPU time is measured
//! separately.

mod catalogue;
mod catalogue_writer;
mod error;
mod events;
mod fleet;
pub mod hollow;
mod hosts;
mod node_scaling;
mod observations;
mod output;
mod plan;
mod real_node;
mod registration;
mod requests;
mod requirements;
mod samples;
mod small_fleet;
mod stand_in;

use std::path::PathBuf;
use std::time::Instant;

use clap::Args;
use serde_json::Value;
use woodgap_capacity::recording::FORMAT_VERSION;
use woodgap_capacity::target::Dimension;
use woodgap_capacity::{Bound, FleetEvent, Machine, Recording, Role};

pub use error::ScaleError;
use fleet::ScaleFleet;
use plan::MeasurementPlan;
use registration::{write_services, RegisteredServers};
use requirements::{machine_memory_mib, ResourceRequirements};
use samples::Samples;

/// Share of datagrams that hollow members drop.
const DATAGRAM_LOSS_SHARE: f64 = 0.02;

/// Arguments of a scale measurement.
#[derive(Args, Clone, Debug)]
pub struct ScaleArgs {
    /// Measures small sizes, for at most a minute.
    #[arg(long)]
    quick: bool,
    /// Writes the recording to this file.
    #[arg(long)]
    record: Option<PathBuf>,
    /// Measures nothing, and writes the capacity page from the existing recording and target.
    #[arg(long)]
    page: bool,
    /// Measures only a small fleet and compares it with the recording; CI uses the verdict.
    #[arg(long, conflicts_with = "page")]
    small: bool,
    /// Hollow nodes at the largest size, instead of the default.
    #[arg(long)]
    nodes: Option<usize>,
    /// Measures only these parts: catalogue, registration, requests, nodes, events.
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// Seed of the random number generators.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Folder of the recording and the target.
    #[arg(long, default_value = "docs/capacity")]
    folder: PathBuf,
}

/// Runs the measurement selected by the arguments. Returns the figures as one JSON object.
///
/// # Errors
/// When an input is invalid or the measurement fails. Existing files stay unchanged then.
pub async fn measure(args: ScaleArgs) -> Result<Value, ScaleError> {
    let target = output::read_target(&args.folder)?;
    if args.page {
        return output::write_page(&args.folder, &target);
    }
    if args.small {
        let verdict =
            small_fleet::check_against_recording(&args.folder.join(output::RECORDING_FILE), args.seed)
                .await?;
        return Ok(verdict);
    }
    let mut plan = if args.quick { MeasurementPlan::quick() } else { MeasurementPlan::full() };
    if let Some(largest) = args.nodes {
        plan.node_scaling.hollow_nodes = node_scaling::sizes_up_to(largest);
    }
    let hollow_nodes = plan.node_scaling.hollow_nodes.iter().copied().max().unwrap_or(0) as u64;
    ResourceRequirements::of(
        hollow_nodes,
        plan.node_scaling.nodes_per_host as u64,
        plan.node_scaling.real_nodes as u64,
    )
    .check()?;
    crate::process::hosted_program()?;
    let run = run(&plan, &args);
    let timeout = |_| ScaleError::Timeout {
        condition: "the whole measurement".into(),
        seconds: plan.max_duration.as_secs(),
    };
    let recording = tokio::time::timeout(plan.max_duration, run).await.map_err(timeout)??;
    output::print_table(&recording, &target);
    if let Some(path) = &args.record {
        recording.check()?;
        output::replace_file(path, &recording.to_json())?;
    }
    Ok(output::figures(&recording, &target))
}

async fn run(plan: &MeasurementPlan, args: &ScaleArgs) -> Result<Recording, ScaleError> {
    let is_selected = |part: &str| args.only.is_empty() || args.only.iter().any(|only| only == part);
    let start = Instant::now();
    let print_progress =
        |part: &str| println!("{part}: {:.0} s after the start", start.elapsed().as_secs_f64());
    let mut samples = Samples::default();
    requests::declare(&mut samples);
    catalogue::declare(&mut samples);
    node_scaling::declare(&mut samples);
    registration::declare(&mut samples);
    if is_selected("requests") {
        print_progress("requests");
        requests::measure(&plan.requests, &mut samples).await?;
    }
    if is_selected("catalogue") {
        print_progress("catalogue");
        catalogue::measure(&plan.catalogue, &mut samples).await?;
    }
    if is_selected("registration") {
        print_progress("registration");
        registration::measure(&plan.registration, &mut samples).await?;
    }
    let mut events = Vec::new();
    if is_selected("nodes") || is_selected("events") {
        print_progress("nodes");
        let mut fleet = ScaleFleet::start(DATAGRAM_LOSS_SHARE, args.seed).await?;
        node_scaling::measure(&plan.node_scaling, &mut fleet, &mut samples).await?;
        if is_selected("events") {
            print_progress("events");
            events = measure_events(plan, &mut fleet).await?;
        }
    }
    print_progress("all");
    build_recording(args, samples, events)
}

/// Registers all servers, which the real nodes watch, and measures the events.
async fn measure_events(
    plan: &MeasurementPlan,
    fleet: &mut ScaleFleet,
) -> Result<Vec<FleetEvent>, ScaleError> {
    write_services(fleet.stand_in.addresses[0], plan.event_services).await?;
    let mut servers = RegisteredServers::new(&fleet.stand_in.service, plan.event_services)?;
    servers.fill(&fleet.stand_in.service, plan.event_servers)?;
    // The services were written by another writer; the fleet's own writer reloads the catalogue with this change.
    fleet.propagate_change().await?;
    events::measure(&plan.events, fleet, &mut servers).await
}

fn build_recording(
    args: &ScaleArgs,
    samples: Samples,
    events: Vec<FleetEvent>,
) -> Result<Recording, ScaleError> {
    let (commit, day) = output::head_commit();
    let cores = std::thread::available_parallelism().map_or(0, std::num::NonZero::get) as u32;
    let bound = Bound {
        role: Role::Catalogue,
        what: "tenants of a catalogue (`MAX_TENANTS`, `tenancy/catalogue.rs`)".to_owned(),
        by: Dimension::Tenants,
        most: woodgap_tenancy::catalogue::MAX_TENANTS as f64,
    };
    Ok(Recording {
        version: FORMAT_VERSION,
        commit,
        day,
        machine: Machine { cores, memory_mib: machine_memory_mib()? },
        seed: args.seed,
        series: samples.series(),
        events,
        bounds: vec![bound],
    })
}
