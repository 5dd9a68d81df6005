//! The servers' side of a pool: connections, attempts, and what their ends prove.

#[cfg(feature = "hosted")]
pub mod control;
pub mod exchange;
#[cfg(feature = "hosted")]
pub mod http3;
pub mod look;
pub mod servers;
#[cfg(feature = "hosted")]
pub mod trust;
