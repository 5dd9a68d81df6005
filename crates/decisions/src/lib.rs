//! Decides, without I/O, what a node of an HTTP load balancer does with its requests.
//!
//! ```text
//!   host (node, simhost)                 Balancer: servers, table, requests, traffic statistics
//!     events from its sockets  ── Event ──▶  on_event(now, event)
//!     sends, responses, timers ◀── Action ──  carried out in order
//! ```
//!
//! A load balancer runs as several nodes, each of them a proxy. The host of a node owns one [`Balancer`] per
//! pool, passes it the events of that pool and carries out the actions it returns. The crate reads no clock,
//! so equal events always give equal actions. The types of the interface are in [`api`], all decisions in
//! [`brain`], the parser of the settings in [`settings`].
//!
//! ```
//! use woodgap_decisions::{Action, Balancer, BalancerSettings, Event, SyncKind};
//!
//! let mut balancer = Balancer::new(BalancerSettings::default(), 7);
//! let mut actions = Vec::new();
//! balancer.on_event(0, Event::Sync { kind: SyncKind::Cached, entries: vec![] }, &mut actions);
//! assert!(matches!(actions[0], Action::SetTimer { .. }));
//! ```

pub mod api;
pub mod brain;
pub mod settings;

pub use api::*;
pub use brain::Balancer;
