//! Runs the stand-in coordination service as a program, until Ctrl-C.

use std::net::SocketAddr;

use clap::Parser;
use woodgap_testkit::coordination::wire::Coordination;

/// A stand-in coordination service that speaks ZooKeeper's protocol, for tests on this machine.
#[derive(Parser)]
struct Arguments {
    /// The address to listen on; loopback only.
    #[arg(long, default_value = "127.0.0.1:2181")]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let Arguments { listen } = Arguments::parse();
    if !listen.ip().is_loopback() {
        return Err("the service is for this machine only: --listen must be a loopback address".into());
    }
    let service = Coordination::start(listen).await?;
    println!("coordination listens on {}", service.addr);
    tokio::signal::ctrl_c().await?;
    Ok(())
}
