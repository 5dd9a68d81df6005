//! Queries and commands for the owner of a [`Fleet`].

use std::sync::Arc;

use super::{ClusterMember, Fleet};
use crate::wire::GossipKeys;
use crate::{GossipAction, GossipCounters, LocalStatus, NodeMetadata};

impl Fleet {
    /// All members by name, including this node.
    pub fn members(&self) -> impl Iterator<Item = (&Arc<str>, &ClusterMember)> {
        self.members.iter()
    }

    /// The member of this name.
    pub fn member(&self, name: &str) -> Option<&ClusterMember> {
        self.members.get(name)
    }

    /// Name of this node.
    pub fn local_name(&self) -> &Arc<str> {
        &self.local_name
    }

    /// This node's view of its own connection to the fleet.
    pub fn local_status(&self) -> LocalStatus {
        match self.isolated_since {
            Some(since) => LocalStatus::Isolated { since },
            None if self.members.len() < 2 => LocalStatus::Alone,
            None if self.last_time < self.catching_up_until => LocalStatus::CatchingUp,
            None => LocalStatus::Connected,
        }
    }

    /// Counters since the start.
    pub fn counters(&self) -> &GossipCounters {
        &self.counters
    }

    /// Local health score of Lifeguard, from 0 (healthy) to 8.
    pub fn local_health(&self) -> u32 {
        self.local_health
    }

    /// Changes this node's metadata and gossips it with a higher incarnation.
    pub fn update_metadata(&mut self, change: impl FnOnce(&mut NodeMetadata)) {
        let local_name = self.local_name.clone();
        self.modify_member(&local_name, |member| {
            change(&mut member.metadata);
            member.incarnation += 1;
        });
        self.queue_gossip(&local_name);
    }

    /// Replaces the keys.
    pub fn replace_keys(&mut self, keys: GossipKeys) {
        self.keys = Arc::new(keys);
    }

    /// Takes the next action for the caller to carry out.
    pub fn next_action(&mut self) -> Option<GossipAction> {
        self.actions.pop_front()
    }
}
