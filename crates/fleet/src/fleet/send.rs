//! Sending: every datagram carries queued gossip, and each update is sent a bounded number of times.

use std::net::SocketAddr;
use std::sync::Arc;

use super::{ClusterMember, Fleet, MAX_QUEUED_ACTIONS};
use crate::wire::{Body, DatagramHeader, DatagramWriter, MemberUpdate, SECTIONS};
use crate::{GossipAction, MemberState, MembershipEvent, NodeMetadata};

impl Fleet {
    /// Sends one member what is known of another member or of this node.
    pub(super) fn send_member_info(&mut self, to: &str, subject: &str) {
        let Some((addr, member)) = self.address(to).zip(self.members.get(subject)) else { return };
        let mut writer = DatagramWriter::new(&self.keys, &self.header(), &Body::Gossip);
        writer.add(&alive_update(subject, member));
        if let Some(own) = self.members.get(&self.local_name).filter(|_| *subject != *self.local_name) {
            // A node that has just started drops datagrams from unknown senders.
            writer.add(&alive_update(&self.local_name, own));
        }
        let bytes = writer.finish(&self.keys);
        self.send_datagram(addr, bytes);
    }

    /// Queues the member's state for gossip, counting its transmissions from 0.
    pub(super) fn queue_gossip(&mut self, name: &Arc<str>) {
        if let Some(transmits) = self.transmit_counts.insert(name.clone(), 0) {
            self.gossip_queue.remove(&(transmits, name.clone()));
        }
        self.gossip_queue.insert((0, name.clone()));
    }

    /// Notifies the caller of a change.
    pub(super) fn emit(&mut self, event: MembershipEvent) {
        self.push_action(GossipAction::Notify(event));
    }

    /// Queues an action for the caller.
    pub(super) fn push_action(&mut self, action: GossipAction) {
        if self.actions.len() >= MAX_QUEUED_ACTIONS {
            self.actions.pop_front();
        }
        self.actions.push_back(action);
    }

    /// Picks up to `count` random members that are not dead and not excluded.
    pub(super) fn pick_members(&mut self, count: usize, excluded: &[&Arc<str>]) -> Vec<Arc<str>> {
        let mut picked: Vec<Arc<str>> = Vec::with_capacity(count);
        if self.probe_order.is_empty() {
            return picked;
        }
        // Random draws suffice: few members are dead as a rule, and few are picked.
        for _ in 0..4 * count {
            let name = &self.probe_order[self.random.usize(..self.probe_order.len())];
            let is_reachable = self.members.get(name).is_some_and(|member| member.state != MemberState::Dead);
            if picked.len() < count && is_reachable && !excluded.contains(&name) && !picked.contains(name) {
                picked.push(name.clone());
            }
        }
        picked
    }

    /// Digest of the whole membership table.
    pub(super) fn digest(&self) -> u32 {
        self.section_digests.iter().fold(0, |all, sum| all ^ sum)
    }

    /// Address of a member: the configured one, otherwise the announced one.
    pub(super) fn address(&self, name: &str) -> Option<SocketAddr> {
        let advertised =
            || self.members.get(name).map(|member| member.metadata.addr).filter(|addr| addr.port() != 0);
        self.configured_addresses.get(name).copied().or_else(advertised)
    }

    /// Header of the next datagram.
    pub(super) fn header(&self) -> DatagramHeader<'_> {
        DatagramHeader { from: &self.local_name, epoch: self.epoch, number: self.number }
    }

    /// Sends a body with as much gossip as fits, beginning with what the receiver has to refute or to know of
    /// this node.
    pub(super) fn send(&mut self, to: &Arc<str>, body: &Body<'_>) {
        let Some(addr) = self.address(to) else { return };
        let mut writer = DatagramWriter::new(&self.keys, &self.header(), body);
        let accusation = self.members.get(to).filter(|member| member.state != MemberState::Alive);
        let accusation = accusation.map(|member| (member.state, member.incarnation));
        match accusation {
            Some((MemberState::Dead, incarnation)) => {
                writer.add(&MemberUpdate::Dead { name: to, incarnation });
            }
            Some((_, incarnation)) => {
                writer.add(&MemberUpdate::Suspect { name: to, incarnation, by: &self.local_name });
            }
            None => {}
        }
        // A member that never sent a datagram to this node may not know it.
        let may_not_know_sender = self
            .members
            .get(to)
            .is_none_or(|member| member.last_heard == 0 || member.state == MemberState::Dead);
        if may_not_know_sender {
            if let Some(member) = self.members.get(&self.local_name) {
                writer.add(&alive_update(&self.local_name, member));
            }
        }
        let max_transmits = self.settings.retransmit_multiplier
            * (self.probe_order.len() as f64 + 1.0).log10().ceil().max(1.0) as u32;
        let mut transmitted = Vec::new();
        for (transmits, name) in &self.gossip_queue {
            let Some(member) = self.members.get(name) else { continue };
            let was_added = match member.state {
                MemberState::Alive => writer.add(&alive_update(name, member)),
                MemberState::Dead => writer.add(&dead_update(name, member)),
                MemberState::Suspect => {
                    let by = member
                        .suspected_by
                        .get(*transmits as usize % member.suspected_by.len().max(1))
                        .unwrap_or(&self.local_name);
                    writer.add(&MemberUpdate::Suspect { name, incarnation: member.incarnation, by })
                }
            };
            if was_added {
                transmitted.push((*transmits, name.clone()));
            } else {
                // The next update might be shorter, but one failed attempt is enough.
                break;
            }
        }
        for (transmits, name) in transmitted {
            self.gossip_queue.remove(&(transmits, name.clone()));
            if transmits + 1 < max_transmits {
                self.transmit_counts.insert(name.clone(), transmits + 1);
                self.gossip_queue.insert((transmits + 1, name));
            } else {
                self.transmit_counts.remove(&name);
            }
        }
        let bytes = writer.finish(&self.keys);
        self.send_datagram(addr, bytes);
    }

    /// Queues a finished datagram and counts it.
    pub(super) fn send_datagram(&mut self, addr: SocketAddr, bytes: Vec<u8>) {
        self.number += 1;
        self.counters.datagrams_sent += 1;
        self.counters.bytes_sent += bytes.len() as u64;
        self.push_action(GossipAction::Send(addr, bytes));
    }
}

/// The update that announces a member with its metadata.
pub(super) fn alive_update<'a>(name: &'a str, member: &'a ClusterMember) -> MemberUpdate<'a> {
    let NodeMetadata { boot, addr, zone, version, config, role, phase, completed_order, ejected_marks } =
        &member.metadata;
    MemberUpdate::Alive {
        name,
        incarnation: member.incarnation,
        boot: *boot,
        addr: *addr,
        zone,
        version,
        config: *config,
        role,
        phase: *phase,
        completed_order: *completed_order,
        ejected_marks: *ejected_marks,
    }
}

/// The update that reports a member dead.
pub(super) fn dead_update<'a>(name: &'a str, member: &ClusterMember) -> MemberUpdate<'a> {
    MemberUpdate::Dead { name, incarnation: member.incarnation }
}

/// Section of a member, by the hash of its name.
pub(super) fn section_of(name: &str) -> usize {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as usize % SECTIONS
}

/// Contribution of a member to its section's digest. Suspicions are transient and left out.
pub(super) fn fingerprint(name: &str, member: &ClusterMember) -> u32 {
    let dead = member.state == MemberState::Dead;
    let seed = member.incarnation.wrapping_mul(2).wrapping_add(u64::from(dead));
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), seed) as u32
}
