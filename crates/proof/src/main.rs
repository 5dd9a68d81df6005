//! Measurements of the load balancer: `cargo run --release -p proof -- NAME`.
//!
//! Each measurement prints tables for readers and, as its last line, one JSON object of figures whose names
//! contain their units. Violations, such as a request that ran twice, are counted by the stand-ins and not by
//! the node under test. The exit status is 0 if the measurement could be made, whatever its figures are.

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
struct Cli {
    #[command(subcommand)]
    proof: Proof,
}

#[derive(Subcommand)]
enum Proof {
    /// Many tenants in one node: isolation, idle tenants, configuration changes, and the platform build
    /// compared with an earlier one.
    Tenants {
        /// Run longer rounds, and more of them.
        #[arg(long)]
        long: bool,
        /// An earlier build of the program `woodgap`, to compare the platform build with.
        #[arg(long)]
        before: Option<PathBuf>,
        /// The platform build of `woodgap`, as `deploy/balancer.toml` builds it; default: the program
        /// `woodgap` in this program's folder.
        #[arg(long)]
        platform: Option<PathBuf>,
        /// Request rate of the flooding tenant per second, open loop.
        #[arg(long, default_value_t = 4_000.0)]
        flood: f64,
        /// Run one part only: isolation, changes, platform or idle.
        #[arg(long)]
        only: Option<String>,
    },
    /// HTTP/3 compared with HTTP/1.1: outcomes under faults, load, datagram loss, connection migration,
    /// resource limits, and the platform build compared with an earlier one.
    Http3 {
        /// Run longer rounds.
        #[arg(long)]
        long: bool,
        /// An earlier build of the program `woodgap`, to compare the platform build with.
        #[arg(long)]
        before: Option<PathBuf>,
        /// The platform build of `woodgap`, as `deploy/balancer.toml` builds it; without it the part
        /// `platform` is skipped.
        #[arg(long)]
        platform: Option<PathBuf>,
        /// Run one part only: outcomes, load, migrations, bounds or platform.
        #[arg(long)]
        only: Option<String>,
    },
    /// Fair admission queues: shares of light clients beside a heavy one, accuracy of Retry-After, memory by
    /// the number of keys.
    Admission {
        /// Run longer rounds.
        #[arg(long)]
        long: bool,
        /// Run one part only: fairness, obedience, keys or memory.
        #[arg(long)]
        only: Option<String>,
    },
    /// The admission queue by itself under many keys; the measurement `admission` runs this in a process of
    /// its own.
    #[command(hide = true)]
    Gate {
        /// Number of distinct keys.
        #[arg(long)]
        keys: u64,
    },
    /// A fleet of nodes in processes and in simulated time: failure detection, drain permits, and servers
    /// drained at all nodes.
    Fleet {
        /// Run more rounds and schedules, and for longer.
        #[arg(long)]
        long: bool,
        /// Run one part only: detection, false, schedules, rolling, servers or simulated.
        #[arg(long)]
        only: Option<String>,
    },
    /// The cost of each role by its size, projected to a target size; writes the capacity page.
    Scale(scale::ScaleArgs),
    /// Hollow nodes; the measurement `scale` runs them in processes of their own.
    #[command(hide = true)]
    Hollow(scale::hollow::HostArgs),
    /// Servers registered as ephemeral nodes, and a catalogue shared by several nodes.
    Ephemeral {
        /// Run a longer outage of the coordination service (60 s), and more changes.
        #[arg(long)]
        long: bool,
        /// Run one part only: expiry, outage, catalogue or churn.
        #[arg(long)]
        only: Option<String>,
    },
}

fn main() -> ExitCode {
    let proof = match Cli::parse().proof {
        // Hollow nodes start a runtime of their own.
        Proof::Hollow(args) => return exit_code(scale::hollow::run_host(args).map_err(Into::into)),
        proof => proof,
    };
    // The load generator and the stand-ins leave one core to the node under test.
    let worker_threads =
        std::thread::available_parallelism().map_or(1, |cores| cores.get().saturating_sub(1)).max(1);
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(worker_threads).enable_all().build();
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
                Proof::Gate { keys } => admission::measure_queue(keys),
                Proof::Fleet { long, only } => fleet::measure(long, only.as_deref()).await,
                Proof::Ephemeral { long, only } => ephemeral::measure(long, only.as_deref()).await,
                Proof::Scale(args) => Ok(scale::measure(args).await?),
                Proof::Hollow(_) => Ok(serde_json::Value::Null),
            }
        })
    });
    exit_code(measured.map(|figures| println!("{figures}")))
}

fn exit_code(measured: Result<(), Box<dyn std::error::Error>>) -> ExitCode {
    match measured {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("proof: {error}");
            ExitCode::FAILURE
        }
    }
}
