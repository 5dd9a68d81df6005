//! The stand-in coordination service as a program, until Ctrl-C.

use std::net::SocketAddr;

use clap::Parser;
use woodgap_testkit::coordination::wire::Coordination;

/// A stand-in coordination service that speaks ZooKeeper's protocol, for tests on this machine.
#[derive(Parser)]
struct Line {
    /// Where it listens; loopback only.
    #[arg(long, default_value = "127.0.0.1:2181")]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let Line { listen } = Line::parse();
    if !listen.ip().is_loopback() {
        return Err("it is for this machine alone: give a loopback address".into());
    }
    let service = Coordination::start(listen).await?;
    println!("coordination listens on {}", service.addr);
    tokio::signal::ctrl_c().await?;
    Ok(())
}
