//! Drain orders by which operators take servers out of service at all nodes at once, the nodes' reports on
//! them, and the decision whether a server may be stopped.
//!
//! ```text
//!   operator ─ DrainOrders::drain, return_to_service ─▶ document (one per fleet) ─▶ every node stops new work there,
//!                                                       waits until nothing is in flight, reports the order's number
//!   report of each member ──┐
//!   its session ────────────┼─▶ stop_readiness(): safe to stop, nodes that are not done, or nodes that are unknown
//!   failure detector ───────┘
//! ```
//!
//! **A report is final.** A node that reports a number has stopped at all servers that were ordered up to it,
//! has nothing in flight there, and keeps the orders on disk, so that its next process starts with them.
//!
//! **An end is proven, not assumed.** A node without a report counts as one that may still send until its
//! session has ended, the fleet found it dead, and it has been dead for longer than it can continue on its
//! own: see [`is_isolated`]. A node that draws this conclusion has to hear from more than half of the roster,
//! so that an isolated node cannot draw it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{checked_text, Budget, Millis, Refusal};

/// Maximum number of servers with an order.
pub const MAX_ORDERS: usize = 512;
/// How long the order of a returned server is kept, in milliseconds. The server is in slow start from the
/// time of its return; afterwards the order is dropped.
pub const RETURNED_ORDER_RETENTION_MS: Millis = 3_600_000;

/// The latest order for a server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DrainOrder {
    /// Number of the order; later orders have higher numbers.
    pub number: u64,
    /// Time of the order by the writer's clock.
    pub since: Millis,
    /// Reason given by the operator.
    pub reason: String,
    /// Whether the server is returned to service, as one that has just started. Otherwise it is drained.
    pub back: bool,
}

/// A pool with a budget, as seen by the node that receives the drain request for one of its servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerPool {
    /// Tenant that the pool belongs to.
    pub name: String,
    /// Budget for servers that are out.
    pub budget: Budget,
    /// All servers of the pool by address; `false` if a server takes no work for another reason.
    pub servers: BTreeMap<String, bool>,
}

/// All drain orders of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DrainOrders {
    /// Number of the last order.
    pub number: u64,
    /// Orders by server address.
    pub servers: BTreeMap<String, DrainOrder>,
}

impl DrainOrders {
    /// Drains a server if the budgets of its pools allow one more to be out. Servers count as out while they
    /// drain, for the time `hold` after their return, and while they take no work for another reason. A
    /// second order for a draining server has no effect.
    ///
    /// # Errors
    /// The pool that prevents the drain and its servers that are out, or the limit that is reached.
    pub fn drain(
        &mut self,
        now: Millis,
        server: &str,
        reason: &str,
        pools: &[ServerPool],
        hold: Millis,
    ) -> Result<u64, Refusal> {
        if self.servers.get(server).is_none_or(|order| order.back) {
            let mut affected_pools = pools.iter().filter(|pool| pool.servers.contains_key(server));
            affected_pools.try_for_each(|pool| self.check_budget(now, server, pool, hold))?;
        }
        self.record_order(now, server, reason, false)
    }

    fn check_budget(
        &self,
        now: Millis,
        server: &str,
        pool: &ServerPool,
        hold: Millis,
    ) -> Result<(), Refusal> {
        let ordered = |server: &String| {
            self.servers
                .get(server)
                .is_some_and(|order| !order.back || now < order.since.saturating_add(hold))
        };
        let others = pool.servers.iter().filter(|(other, _)| *other != server);
        let out: BTreeSet<&String> =
            others.filter(|(other, works)| !**works || ordered(other)).map(|(other, _)| other).collect();
        let allowed = pool.budget.allows(pool.servers.len() as u32);
        if (out.len() as u32) < allowed {
            return Ok(());
        }
        let out: Vec<&str> = out.into_iter().map(String::as_str).collect();
        let (server_count, scope) = (pool.servers.len(), &pool.budget.scope);
        Err(Refusal::BudgetExceeded {
            holder: server.to_owned(),
            why: match out.as_slice() {
                [] => format!("{scope} has {server_count} servers and allows {allowed} out"),
                out => format!(
                    "{scope} has {server_count} servers, allows {allowed} out, and out are {}",
                    out.join(", ")
                ),
            },
        })
    }

    /// Returns a server to service. All nodes treat it as started at this time.
    ///
    /// # Errors
    /// If the server has no order.
    pub fn return_to_service(&mut self, now: Millis, server: &str, reason: &str) -> Result<u64, Refusal> {
        if !self.servers.contains_key(server) {
            return Err(Refusal::NoPermit(server.to_owned()));
        }
        self.record_order(now, server, reason, true)
    }

    fn record_order(&mut self, now: Millis, server: &str, reason: &str, back: bool) -> Result<u64, Refusal> {
        if let Some(order) = self.servers.get(server).filter(|order| order.back == back) {
            return Ok(order.number);
        }
        self.servers
            .retain(|_, order| !order.back || now < order.since.saturating_add(RETURNED_ORDER_RETENTION_MS));
        if self.servers.len() >= MAX_ORDERS && !self.servers.contains_key(server) {
            return Err(Refusal::OutOfBounds(format!(
                "{MAX_ORDERS} servers have orders, the maximum: return some to service first"
            )));
        }
        let (server, reason) = (checked_text(server)?, checked_text(reason)?);
        self.number += 1;
        let order = DrainOrder { number: self.number, since: now, reason, back };
        self.servers.insert(server, order);
        Ok(self.number)
    }

    /// Returns the draining servers and their orders.
    pub fn draining(&self) -> impl Iterator<Item = (&String, &DrainOrder)> {
        self.servers.iter().filter(|(_, order)| !order.back)
    }
}

/// What is known of a member of the roster.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeEvidence {
    /// Highest number of an order up to which the member reports that it has stopped and has nothing in
    /// flight.
    pub completed_order: Option<u64>,
    /// Whether the member reported that it has nothing in flight and ends.
    pub has_left: bool,
    /// Whether the member is registered.
    pub is_registered: bool,
    /// How long the fleet has considered the member dead; `None` if it does not.
    pub dead_for: Option<Millis>,
}

/// Whether a server may be stopped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum StopReadiness {
    /// No node sends to the server any more, and none will.
    Safe,
    /// These nodes are alive and have not finished with the server.
    Waits {
        /// Names of the nodes.
        nodes: Vec<String>,
    },
    /// These nodes may still send to the server, and their state is unknown.
    NotKnown {
        /// Names of the nodes.
        nodes: Vec<String>,
    },
}

/// Returns whether the server of an order may be stopped. `hears_majority` says whether the caller hears from
/// more than half of the roster. A member counts as ended after it has been dead for `min_dead_ms`
/// milliseconds.
pub fn stop_readiness<'a>(
    order: u64,
    roster: impl Iterator<Item = (&'a String, NodeEvidence)>,
    hears_majority: bool,
    min_dead_ms: Millis,
) -> StopReadiness {
    let (mut waiting, mut unknown) = (Vec::new(), Vec::new());
    for (name, evidence) in roster {
        let ended = !evidence.is_registered
            && hears_majority
            && evidence.dead_for.is_some_and(|dead| dead >= min_dead_ms);
        if evidence.completed_order.is_some_and(|completed_order| completed_order >= order)
            || evidence.has_left
            || ended
        {
            continue;
        }
        if evidence.dead_for.is_none() && evidence.completed_order.is_some() {
            waiting.push(name.clone());
        } else {
            unknown.push(name.clone());
        }
    }
    if !unknown.is_empty() {
        StopReadiness::NotKnown { nodes: unknown }
    } else if !waiting.is_empty() {
        StopReadiness::Waits { nodes: waiting }
    } else {
        StopReadiness::Safe
    }
}

/// Times of a node's last contact with the sources of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastContact {
    /// Last contact with the coordination service.
    pub service: Millis,
    /// Last contact with more than half of the roster, including the node itself.
    pub majority: Millis,
}

/// Returns whether a node must not send anything new: for `max_isolation_ms` milliseconds it had contact
/// neither with the coordination service nor with more than half of the fleet. Orders may have been given
/// that it cannot know, and others may conclude that it is dead.
pub fn is_isolated(now: Millis, contact: LastContact, max_isolation_ms: Millis) -> bool {
    now >= contact.service.saturating_add(max_isolation_ms)
        && now >= contact.majority.saturating_add(max_isolation_ms)
}
