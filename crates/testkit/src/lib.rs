//! Test doubles for everything around a node, all on loopback: upstream servers, clients, load, a
//! coordination service, and a hosted node in the test process.
//!
//! ```text
//!   load::run ─▶ client ─▶ ( hosted::TestNode: a node in this process ) ─▶ backend::Backend
//!                               ▲ admin::Admin                             records the received requests
//! ```
//!
//! Violations are counted by the test doubles and never by the node under test: a [`backend::Backend`] counts
//! effects that ran more than once and requests that arrived after its removal, and a client counts responses
//! that never came.

pub mod admin;
pub mod backend;
pub mod client;
pub mod coordination;
pub mod disk;
pub mod faults;
pub mod fleet;
pub mod hosted;
pub mod http3;
pub mod links;
pub mod load;
pub mod outcomes;
pub mod protocol_pair;
pub mod relay;
pub mod script;

use std::future::Future;
use std::time::{Duration, Instant};

/// Time limit of [`wait_until`], longer than any condition takes on a working machine.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls a condition until it holds, and returns how long that took.
///
/// # Panics
/// If the condition does not hold within [`DEFAULT_TIMEOUT`]; the panic message is `description`.
pub async fn wait_until<F: Future<Output = bool>>(
    description: &str,
    mut condition: impl FnMut() -> F,
) -> Duration {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < DEFAULT_TIMEOUT, "{description}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    start.elapsed()
}
