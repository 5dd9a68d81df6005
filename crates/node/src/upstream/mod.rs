//! The upstream side of a pool: connections to its servers, over HTTP/1.1 and HTTP/3, and attempts of
//! requests on them.
//!
//! The pool's driver starts attempts through [`servers::Servers`]; each attempt ends with an outcome, which
//! is passed to the decision module.

pub mod attempt;
#[cfg(feature = "hosted")]
pub mod control_stream;
mod eligible;
pub mod exchange;
mod guarded_socket;
#[cfg(feature = "hosted")]
pub mod http3;
mod idle;
pub mod server_status;
pub mod servers;
pub mod start_times;
#[cfg(feature = "hosted")]
pub mod trust;
