//! Applies gossiped updates to the membership table and its digests.

use std::sync::Arc;

use super::send::{fingerprint, section_of};
use super::{ClusterMember, ConfirmationProbe, Fleet, MAX_CONFIRMATION_PROBES, MAX_MEMBERS};
use crate::wire::{Body, MemberUpdate, ReplayWindow};
use crate::{MemberState, MembershipEvent, Millis, NodeMetadata};

impl Fleet {
    /// Applies one update; members learned from a pulled page (`from_page`) are not gossiped on.
    pub(super) fn apply_update(&mut self, now: Millis, update: &MemberUpdate<'_>, from_page: bool) {
        match *update {
            MemberUpdate::Alive {
                name,
                incarnation,
                boot,
                addr,
                zone,
                version,
                config,
                role,
                phase,
                completed_order,
                ejected_marks,
            } => {
                if *name == *self.local_name {
                    self.raise_incarnation(incarnation, boot);
                    return;
                }
                let (zone, version, role) = (zone.to_owned(), version.to_owned(), role.to_owned());
                let metadata = NodeMetadata {
                    boot,
                    addr,
                    zone,
                    version,
                    config,
                    role,
                    phase,
                    completed_order,
                    ejected_marks,
                };
                let Some((name, member)) = self.members.get_key_value(name) else {
                    self.add_member(now, name, incarnation, metadata, !from_page);
                    return;
                };
                if incarnation <= member.incarnation {
                    return;
                }
                let name = name.clone();
                let event = match member.state {
                    MemberState::Alive if member.metadata != metadata => {
                        Some(MembershipEvent::Changed(name.clone()))
                    }
                    MemberState::Alive => None,
                    MemberState::Suspect | MemberState::Dead => {
                        Some(MembershipEvent::Recovered(name.clone()))
                    }
                };
                self.suspects.remove(&name);
                self.confirmation_probes.retain(|check| check.target != name);
                self.modify_member(&name, |member| {
                    if member.state != MemberState::Alive {
                        (member.state, member.state_since) = (MemberState::Alive, now);
                    }
                    (member.incarnation, member.metadata, member.consecutive_misses) =
                        (incarnation, metadata, 0);
                    member.suspected_by.clear();
                });
                self.queue_gossip(&name);
                event.into_iter().for_each(|event| self.emit(event));
            }
            MemberUpdate::Suspect { name, incarnation, by } => {
                if *name == *self.local_name {
                    self.refute(incarnation);
                    return;
                }
                let Some((name, member)) = self.members.get_key_value(name) else { return };
                let (name, newly_suspected) = (name.clone(), member.state == MemberState::Alive);
                let by: Arc<str> = by.into();
                self.suspect_member(now, &name, incarnation, &by);
                // A few of the nodes that hear of the suspicion probe the suspect themselves, and so do those
                // that heard it lately: the suspect is informed at once, or its failure is confirmed.
                let sampled = self.random.usize(..self.probe_order.len().max(1)) < 6;
                let recently_heard = self.members.get(&name).is_some_and(|member| {
                    member.last_heard > 0 && now < member.last_heard + 10 * self.settings.probe_interval
                });
                let suspected = self.members.get(&name).is_some_and(|m| m.state == MemberState::Suspect);
                if newly_suspected
                    && suspected
                    && (sampled || recently_heard)
                    && self.confirmation_probes.len() < MAX_CONFIRMATION_PROBES
                {
                    let nonce = self.random.u32(..);
                    let deadline = now + self.settings.probe_interval * Millis::from(self.local_health + 1);
                    self.confirmation_probes.push(ConfirmationProbe {
                        target: name.clone(),
                        nonce,
                        deadline,
                    });
                    self.send(&name, &Body::Ping { nonce, to: &name });
                }
            }
            MemberUpdate::Dead { name, incarnation } => {
                if *name == *self.local_name {
                    self.refute(incarnation);
                    return;
                }
                let Some((name, member)) = self.members.get_key_value(name) else { return };
                if incarnation >= member.incarnation && member.state != MemberState::Dead {
                    let name = name.clone();
                    self.declare_dead(now, &name, incarnation);
                }
            }
        }
    }

    /// An earlier process of this name used a higher incarnation: this node announces itself with a higher
    /// one.
    pub(super) fn raise_incarnation(&mut self, incarnation: u64, boot: u64) {
        let local_name = self.local_name.clone();
        let own =
            self.members.get(&local_name).map_or((0, 0), |member| (member.incarnation, member.metadata.boot));
        if incarnation > own.0 || (incarnation == own.0 && boot != own.1) {
            self.modify_member(&local_name, |member| member.incarnation = incarnation + 1);
            self.epoch = self.epoch.max(incarnation + 1);
            self.queue_gossip(&local_name);
        }
    }

    /// Adds a member that was not known.
    pub(super) fn add_member(
        &mut self,
        now: Millis,
        name: &str,
        incarnation: u64,
        metadata: NodeMetadata,
        gossip: bool,
    ) {
        if self.members.len() >= MAX_MEMBERS {
            let dead = self.members.iter().filter(|(_, member)| member.state == MemberState::Dead);
            let Some(oldest) =
                dead.min_by_key(|(_, member)| member.state_since).map(|(name, _)| name.clone())
            else {
                return;
            };
            self.remove_member(&oldest);
        }
        let name: Arc<str> = name.into();
        let (state, state_since, replay_window) = (MemberState::Alive, now, ReplayWindow::default());
        let suspected_by = Vec::new();
        let member = ClusterMember {
            metadata,
            incarnation,
            state,
            state_since,
            suspected_by,
            last_heard: 0,
            replay_window,
            consecutive_misses: 0,
            suspicion_regossiped: false,
            stale_epoch_notified_at: 0,
        };
        self.section_digests[section_of(&name)] ^= fingerprint(&name, &member);
        self.members.insert(name.clone(), member);
        // At a random position in the rest of this round, so that it is probed within the round.
        let at =
            self.random.usize(self.next_probe_index.min(self.probe_order.len())..=self.probe_order.len());
        self.probe_order.insert(at, name.clone());
        if gossip {
            self.queue_gossip(&name);
        }
        self.emit(MembershipEvent::Joined(name));
    }

    /// Removes a member and everything queued about it.
    pub(super) fn remove_member(&mut self, name: &Arc<str>) {
        let Some(member) = self.members.remove(name) else { return };
        self.section_digests[section_of(name)] ^= fingerprint(name, &member);
        self.probe_order.retain(|other| other != name);
        self.next_probe_index = self.next_probe_index.min(self.probe_order.len());
        if let Some(transmits) = self.transmit_counts.remove(name) {
            self.gossip_queue.remove(&(transmits, name.clone()));
        }
        self.suspects.remove(name);
        self.emit(MembershipEvent::Forgotten(name.clone()));
    }

    /// Changes a member and updates its section's digest.
    pub(super) fn modify_member(&mut self, name: &Arc<str>, change: impl FnOnce(&mut ClusterMember)) {
        let Some(member) = self.members.get_mut(name) else { return };
        let before = fingerprint(name, member);
        change(member);
        self.section_digests[section_of(name)] ^= before ^ fingerprint(name, member);
    }
}
