//! The servers' side of a pool: connections, attempts, and what their ends prove.

pub mod exchange;
pub mod servers;
