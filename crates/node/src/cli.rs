//! Command line of the program: parses the subcommands and runs them.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::LocalSet;

use crate::hosted::config::{check_descriptor_limit, HostedConfig};
use crate::hosted::{self, NodeAddresses};
use crate::{admin, operate, platform};

/// An HTTP load balancer. Without a command it runs as the platform's node, configured by BALANCER_CONFIG.
#[derive(Parser)]
// "(hosted)" distinguishes this program from the one that the platform builds; see `platform::run`.
#[command(name = "woodgap", version = concat!(env!("CARGO_PKG_VERSION"), " (hosted)"))]
struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serves many tenants, which are managed through the administration API.
    Serve {
        /// Configuration file; see deploy/hosted.toml.
        #[arg(long)]
        config: PathBuf,
    },
    /// Shows the members of the fleet, their permits and blocked requests, or applies an operator's change.
    Fleet {
        #[command(flatten)]
        node: operate::AdminTarget,
        #[command(subcommand)]
        change: Option<operate::FleetCommand>,
        /// Prints the JSON of the administration API, for programs.
        #[arg(long)]
        json: bool,
    },
    /// Drains and stops a node under a permit, or drains a server at all nodes, and prints the progress.
    Drain {
        #[command(flatten)]
        node: operate::AdminTarget,
        /// Server as ADDRESS:PORT: all nodes stop sending it new requests. The command ends once the server
        /// may be stopped.
        #[arg(long)]
        server: Option<std::net::SocketAddr>,
        /// Reason for draining the server, which is recorded.
        #[arg(long, requires = "server")]
        reason: Option<String>,
        /// Cancels the drain: of a server at any time, of a node only if it has not begun.
        #[arg(long)]
        cancel: bool,
        /// How long to wait for completion, in seconds; the drain continues after that.
        #[arg(long, default_value_t = 600)]
        wait_s: u64,
    },
    /// Checks a configuration and the files that it names, and reports every error with its line.
    Check {
        /// Configuration file.
        #[arg(long)]
        config: PathBuf,
    },
}

/// Reads and checks the configuration of a hosted node.
pub(crate) fn read_config(path: &Path) -> Result<HostedConfig, Box<dyn Error>> {
    let location = path.display();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{location}: {error}"))?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let config = HostedConfig::parse(&text, folder).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(|error| format!("{location}: {error}")).collect();
        lines.join("\n")
    })?;
    check_descriptor_limit(&config).map_err(|problem| format!("{location}: {problem}"))?;
    Ok(config)
}

fn serve(path: &Path) -> Result<(), Box<dyn Error>> {
    let config = read_config(path)?;
    crate::telemetry::start(config.log);
    hosted::runtime()?.block_on(LocalSet::new().run_until(async {
        let mut term = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let name = config.name.clone();
        let stop = async {
            tokio::select! {
                _ = term.recv() => {}
                _ = interrupt.recv() => {}
            }
            tracing::info!("{name} drains");
        };
        let ready = |addresses: NodeAddresses| {
            if let Some(admin) = addresses.admin {
                tracing::info!("{name} is administered on {admin}");
            }
            for (listener, address) in &addresses.listeners {
                tracing::info!("{name} ({listener}) listens on {address}");
            }
        };
        Ok(hosted::serve(config.clone(), None, stop, ready).await?)
    }))
}

fn check(path: &Path) -> Result<(), Box<dyn Error>> {
    let config = read_config(path)?;
    if let Some(admin) = &config.admin {
        admin::auth::Tokens::read(&admin.token_file)?;
    }
    if let Some(zookeeper) = &config.zookeeper {
        zookeeper.settings()?;
    }
    println!("{}: no faults", path.display());
    Ok(())
}

/// Runs the program.
pub fn run() -> ExitCode {
    let result = match CommandLine::parse().command {
        None => platform::start(),
        Some(Command::Serve { config }) => serve(&config),
        Some(Command::Check { config }) => check(&config),
        Some(Command::Fleet { node, change, json }) => operate::fleet(&node, change, json),
        Some(Command::Drain { node, server: Some(server), reason, cancel, wait_s }) => {
            operate::drain_server(&node, server, reason, cancel, wait_s)
        }
        Some(Command::Drain { node, cancel, wait_s, .. }) => operate::drain(&node, cancel, wait_s),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("woodgap: {error}");
            ExitCode::FAILURE
        }
    }
}
