//! Where lists of servers come from.

pub mod discovery;
pub mod views;
