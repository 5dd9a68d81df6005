//! One node of the load balancer, on real sockets.
//!
//! ```text
//!                       admin (own thread) ── Edit ─▶ tenancy::Catalogue ◀─▶ store
//!                                                          │ Update
//!   clients ─▶ front (http1, http3) ─▶ PoolDirectory ─▶ pool (one per tenant: driver, decisions) ─▶ upstream ─▶ servers
//!                                      hosted: by tenant      ▲
//!                                      platform: one pool     sources (discovery, catalogue)
//! ```
//!
//! - `front` owns client connections: it speaks the protocols, finds the tenant and acquires a permit for
//!   each request.
//! - `pool` owns a decision module and carries out its actions; `upstream` owns connections to servers.
//! - [`hosted`] is a node with many tenants: its directory, and the control thread with the catalogue and its
//!   store.
//! - [`fleet`] is this node's part in a fleet: membership of nodes, and the permits to take a node out of
//!   service.
//! - [`store`] persists the catalogue.
//! - [`platform`] is the platform's node: one tenant with one pool, configured by `BALANCER_CONFIG`.
//!
//! The feature `hosted`, on by default, contains everything that the platform's node does not need.
//!
//! The data path runs on one thread and shares state by `Rc` and `Cell` instead of locks.

// Without the feature `hosted` the code that only a node with many tenants calls is unused.
#![cfg_attr(not(feature = "hosted"), allow(dead_code))]

#[cfg(feature = "hosted")]
mod admin;
mod body;
#[cfg(feature = "hosted")]
pub mod cli;
mod config;
#[cfg(feature = "hosted")]
mod control;
#[cfg(feature = "hosted")]
pub mod fleet;
mod front;
#[cfg(feature = "hosted")]
pub mod hosted;
mod meter;
#[cfg(feature = "hosted")]
mod operate;
mod peers;
pub mod platform;
mod pool;
#[cfg(feature = "hosted")]
mod quic;
mod sockets;
mod sources;
#[cfg(feature = "hosted")]
pub mod store;
mod stream;
mod system;
mod task;
pub mod telemetry;
mod upstream;
