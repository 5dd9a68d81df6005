//! Measurements, one for each direction: `cargo run --release -p proof -- NAME`.
//!
//! Each prints a table for people and, as its last line, one JSON object of figures with their units in
//! the names. What broke a rule is counted by the stand-ins, not by the node. It exits 0 when it could
//! measure, whatever the figures.

mod admission;
mod ephemeral;
mod fleet;
mod http3;
mod process;
mod scale;
mod tenants;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

#[derive(Parser)]
#[command(name = "proof")]
struct Line {
    #[command(subcommand)]
    proof: Proof,
}

#[derive(Subcommand)]
enum Proof {
    /// Many tenants in one node: isolation, idle tenants, changes, and the platform's node as it was.
    Tenants {
        /// Longer rounds and more of them.
        #[arg(long)]
        long: bool,
        /// A program `woodgap` built from the tree before, to compare the platform's node with.
        #[arg(long)]
        before: Option<PathBuf>,
        /// The platform's node as `deploy/balancer.toml` builds it; the program beside this one where it is
        /// absent.
        #[arg(long)]
        platform: Option<PathBuf>,
        /// Requests a second of the flood, open loop.
        #[arg(long, default_value_t = 4_000.0)]
        flood: f64,
        /// One part alone: isolation, changes, platform or idle.
        #[arg(long)]
        only: Option<String>,
    },
    /// HTTP/3 beside HTTP/1.1: one load over both, loss, migrations, bounds, and the platform's node as it was.
    Http3 {
        /// Longer rounds.
        #[arg(long)]
        long: bool,
        /// A program `woodgap` built from the tree before, to compare the platform's node with.
        #[arg(long)]
        before: Option<PathBuf>,
        /// The platform's node as `deploy/balancer.toml` builds it; without it that part is left out.
        #[arg(long)]
        platform: Option<PathBuf>,
        /// One part alone: load, migrations, bounds or platform.
        #[arg(long)]
        only: Option<String>,
    },
    /// Fair queues at the door: shares beside a heavy club, hints that hold, memory by keys.
    Admission {
        /// Longer rounds.
        #[arg(long)]
        long: bool,
        /// One part alone: fairness, obedience, keys or memory.
        #[arg(long)]
        only: Option<String>,
    },
    /// A gate alone under so many keys; part of admission, in a process of its own.
    #[command(hide = true)]
    Gate {
        /// Distinct keys.
        #[arg(long)]
        keys: u64,
    },
    /// Nodes that know one another, permits, servers drained at all nodes: processes, and simulated time.
    Fleet {
        /// More rounds, schedules and time.
        #[arg(long)]
        long: bool,
        /// One part alone: detection, false, schedules, rolling, servers or simulated.
        #[arg(long)]
        only: Option<String>,
    },
    /// What each role costs by its size, held against a target; the capacity page.
    Scale(scale::ScaleArgs),
    /// Hollow nodes; part of scale, in processes of their own.
    #[command(hide = true)]
    Hollow(scale::hollow::HostArgs),
    /// Servers as ephemeral nodes, and a catalogue that nodes share.
    Ephemeral {
        /// A whole minute out of reach, and more changes.
        #[arg(long)]
        long: bool,
        /// One part alone: expiry, outage, catalogue or churn.
        #[arg(long)]
        only: Option<String>,
    },
}

fn main() -> ExitCode {
    let proof = match Line::parse().proof {
        // It has a runtime of its own.
        Proof::Hollow(args) => return ended(scale::hollow::host(args).map_err(Into::into)),
        proof => proof,
    };
    // The load and the stand-ins leave a core for the node.
    let threads =
        std::thread::available_parallelism().map_or(1, |cores| cores.get().saturating_sub(1)).max(1);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build();
    let measured = runtime.map_err(Into::into).and_then(|runtime| {
        runtime.block_on(async {
            match proof {
                Proof::Tenants { long, before, platform, flood, only } => {
                    tenants::measure(long, before, platform, flood, only.as_deref()).await
                }
                Proof::Http3 { long, before, platform, only } => {
                    http3::measure(long, before, platform, only.as_deref()).await
                }
                Proof::Admission { long, only } => admission::measure(long, only.as_deref()).await,
                Proof::Gate { keys } => admission::alone(keys),
                Proof::Fleet { long, only } => fleet::measure(long, only.as_deref()).await,
                Proof::Ephemeral { long, only } => ephemeral::measure(long, only.as_deref()).await,
                Proof::Scale(args) => Ok(scale::measure(args).await?),
                Proof::Hollow(_) => Ok(serde_json::Value::Null),
            }
        })
    });
    ended(measured.map(|figures| println!("{figures}")))
}

fn ended(measured: Result<(), Box<dyn std::error::Error>>) -> ExitCode {
    match measured {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("proof: {error}");
            ExitCode::FAILURE
        }
    }
}
