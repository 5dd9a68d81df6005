//! The measured parts of the system.

use serde::{Deserialize, Serialize};

/// A part of the system whose cost grows with a size of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The path of a request through a node.
    RequestPath,
    /// The catalogue in the memory of a node.
    Catalogue,
    /// The start of a node, which loads the catalogue.
    Start,
    /// A configuration change, from its write until the last node has applied it.
    Change,
    /// Membership of the nodes and failure detection among them.
    Membership,
    /// Registration of servers and the watches on the registrations.
    Registration,
    /// The ledger of drain permits.
    Ledger,
    /// The coordination service.
    Coordination,
    /// The administration API.
    Administration,
}

/// The text about a role on the capacity page.
pub struct RoleDescription {
    /// How the role is implemented today.
    pub mechanism: &'static str,
    /// What fails first at twice the target size.
    pub first_bottleneck: &'static str,
    /// Number of the issue that tracks the missing capacity.
    pub issue: u32,
}

impl Role {
    /// All roles, in the order of the page.
    pub const ALL: [Role; 9] = [
        Role::RequestPath,
        Role::Catalogue,
        Role::Start,
        Role::Change,
        Role::Membership,
        Role::Registration,
        Role::Ledger,
        Role::Coordination,
        Role::Administration,
    ];

    /// Returns the role's name on the page.
    pub fn name(self) -> &'static str {
        match self {
            Role::RequestPath => "Request path",
            Role::Catalogue => "Catalogue at a node",
            Role::Start => "Start of a node",
            Role::Change => "Change in force everywhere",
            Role::Membership => "Membership of nodes",
            Role::Registration => "Registration and watches",
            Role::Ledger => "Ledger of drains",
            Role::Coordination => "Coordination service",
            Role::Administration => "Administration API",
        }
    }

    /// Returns the text about the role on the page.
    pub fn description(self) -> RoleDescription {
        let (mechanism, first_bottleneck, issue) = match self {
            Role::RequestPath => (
                "one pool a tenant (`hosted/directory.rs`): its decisions, its slot table, its own connections",
                "the node's one core: pools, timers and connections grow with the tenants that are active",
                36,
            ),
            Role::Catalogue => (
                "every record at every node, each tenant with classes, pool settings and servers of its own \
                 (`tenancy::Catalogue`, copied to the data thread as views)",
                "memory, and before it the bound on tenants",
                36,
            ),
            Role::Start => (
                "each record read by itself, 256 at a time (`store/shared/load.rs`), the log after it",
                "the coordination service: all nodes that start together read all records",
                24,
            ),
            Role::Change => (
                "a watch on the catalogue's root at every node, then two reads of the root and one of each commit \
                 (`store/shared/load.rs`, `after`)",
                "the coordination service's answers in one moment: three reads a node for each change",
                36,
            ),
            Role::Membership => (
                "SWIM with Lifeguard over UDP (`crates/fleet`), every member known to every node",
                "the list of members at each node; the rate of datagrams does not grow",
                24,
            ),
            Role::Registration => (
                "one ephemeral node a server; every node reads and watches every one of them (`zookeeper/pool.rs`)",
                "the service's watches: nodes times servers, and all of them read again after a cut",
                24,
            ),
            Role::Ledger => (
                "one document under conditional writes, watched and read whole by every node (`zookeeper/document.rs`)",
                "bytes of the document times nodes for each step of each restart",
                22,
            ),
            Role::Coordination => (
                "one ensemble; all reads and watches of all nodes, and every write, go to it",
                "its leader's answers as all nodes read at once",
                36,
            ),
            Role::Administration => (
                "a thread of its own at each node, over the catalogue in memory (`admin/api.rs`)",
                "listing all tenants by pages",
                36,
            ),
        };
        RoleDescription { mechanism, first_bottleneck, issue }
    }
}
