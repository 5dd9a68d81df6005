//! Reception of datagrams: decides whether one is accepted, applies its updates and answers its body.

use std::sync::Arc;

use super::{Fleet, RelayedProbe, MAX_RELAYED_PROBES};
use crate::wire::{self, Body, Datagram, DatagramHeader, MemberUpdate, SECTIONS};
use crate::{MembershipEvent, Millis};

impl Fleet {
    /// Checks sender and sequence number, applies the updates and answers the body.
    pub(super) fn accept(&mut self, now: Millis, datagram: &Datagram<'_>) -> Result<(), wire::DropReason> {
        let DatagramHeader { from, epoch, number } = datagram.header;
        if *from == *self.local_name {
            if epoch > self.epoch && epoch > self.conflicting_epoch {
                self.conflicting_epoch = epoch;
                self.emit(MembershipEvent::NameConflict);
            }
            return Err(wire::DropReason::Misled);
        }
        if let Body::Ping { to, .. } = datagram.body {
            if *to != *self.local_name {
                return Err(wire::DropReason::Misled);
            }
        }
        let introduces_sender =
            |update: &MemberUpdate<'_>| matches!(update, MemberUpdate::Alive { name, .. } if *name == from);
        let new_epoch = match self.members.get_mut(from) {
            Some(member) => {
                if member.replay_window.is_past_epoch(epoch)
                    && now >= member.stale_epoch_notified_at + self.settings.probe_interval
                {
                    // The sender may have started with a clock that went back, so it is informed of its
                    // earlier incarnation.
                    member.stale_epoch_notified_at = now;
                    self.send_member_info(from, from);
                    return Err(wire::DropReason::Replayed);
                }
                let new_epoch = member.replay_window.is_new_epoch(epoch);
                if !member.replay_window.accept(epoch, number) {
                    return Err(wire::DropReason::Replayed);
                }
                new_epoch
            }
            None if datagram.updates.iter().any(introduces_sender) => true,
            None => return Err(wire::DropReason::Stranger),
        };
        let silence = now.saturating_sub(std::mem::replace(&mut self.last_heard, now));
        if silence >= 2 * self.settings.probe_interval {
            self.pause_suspicions(now, silence);
        }
        if self.isolated_since.take().is_some() {
            self.pause_suspicions(now, Millis::MAX / 2);
            self.catching_up_until = now + self.settings.isolation_timeout;
            self.emit(MembershipEvent::Reconnected);
        }
        let from_page = matches!(datagram.body, Body::Page { .. });
        for update in &datagram.updates {
            self.apply_update(now, update, from_page);
        }
        let Some((name, _)) = self.members.get_key_value(from) else { return Ok(()) };
        let name = name.clone();
        for update in &datagram.updates {
            if let Some(subject) = self.refuted_member(update) {
                self.send_member_info(&name, &subject);
            }
        }
        if let Some(member) = self.members.get_mut(&name) {
            if member.last_heard == 0 {
                member.replay_window.accept(epoch, number);
            }
            member.last_heard = now;
        }
        if new_epoch || matches!(datagram.body, Body::Pull { .. }) {
            // The sender may not know this node, and a node drops datagrams from unknown senders.
            self.send_member_info(&name, &self.local_name.clone());
        }
        self.handle_body(now, &name, datagram);
        Ok(())
    }

    /// Carries out what the body of an accepted datagram asks for.
    pub(super) fn handle_body(&mut self, now: Millis, from: &Arc<str>, datagram: &Datagram<'_>) {
        match datagram.body {
            Body::Ping { nonce, .. } => {
                let digest = self.digest();
                self.send(from, &Body::Ack { nonce, digest });
            }
            Body::PingRequest { nonce, target } => {
                let Some((target, _)) = self.members.get_key_value(target) else { return };
                let target = target.clone();
                if self.relayed_probes.len() >= MAX_RELAYED_PROBES || target == self.local_name {
                    return;
                }
                let own_nonce = self.random.u32(..);
                let deadline = now + self.settings.probe_timeout;
                let (requester, requester_nonce) = (from.clone(), nonce);
                self.relayed_probes.push(RelayedProbe {
                    nonce: own_nonce,
                    target: target.clone(),
                    requester,
                    requester_nonce,
                    deadline,
                });
                self.send(&target, &Body::Ping { nonce: own_nonce, to: &target });
            }
            Body::Ack { nonce, digest } => {
                if let Some(at) = self
                    .relayed_probes
                    .iter()
                    .position(|pending| pending.nonce == nonce && pending.target == *from)
                {
                    let relayed = self.relayed_probes.swap_remove(at);
                    let digest = self.digest();
                    self.send(&relayed.requester, &Body::Ack { nonce: relayed.requester_nonce, digest });
                }
                self.confirmation_probes.retain(|check| check.nonce != nonce);
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.nonce == nonce) {
                    if !probe.answered {
                        probe.answered = true;
                        probe.indirect_at = None;
                        self.local_health = self.local_health.saturating_sub(1);
                        // With a better local health score the next probe is due sooner.
                        self.next_probe_at = self.next_probe_at.min(now + self.settings.probe_interval);
                        probe.deadline = probe.deadline.min(self.next_probe_at);
                        if let Some(member) = self.members.get_mut(&probe.target.clone()) {
                            member.consecutive_misses = 0;
                        }
                    }
                }
                if digest != self.digest() && self.pull.is_none() && now >= self.next_pull_at {
                    self.next_pull_at = now + self.settings.probe_interval * (2 + self.random.u64(..4));
                    let sums = self.section_digests;
                    self.send(from, &Body::Compare { sums });
                }
            }
            Body::Compare { sums } => {
                let differ = |at: &usize| sums[*at] != self.section_digests[*at];
                let sections = (0..SECTIONS).filter(differ).fold(0, |bits, at| bits | 1 << at);
                self.send(from, &Body::Differ { sections });
            }
            Body::Differ { sections } => {
                if sections != 0 && self.pull.is_none() {
                    // While updates spread, all tables differ, so the wait for the next pull grows with the
                    // amount to fetch.
                    let pages = self.probe_order.len() as u64 * u64::from(sections.count_ones()) / 80;
                    self.next_pull_at = self.next_pull_at.max(now + self.settings.probe_interval * pages / 8);
                    self.start_pull(now, from, sections);
                }
            }
            Body::Nack { nonce } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.nonce == nonce) {
                    probe.nacks_received += 1;
                }
            }
            Body::Pull { after, sections } => self.send_page(from, after, sections),
            Body::Page { last } => {
                let Some(pull) = self.pull.as_mut().filter(|pull| pull.peer == *from) else { return };
                let names = datagram.updates.iter().filter_map(|update| match update {
                    MemberUpdate::Alive { name, .. } => Some(*name),
                    _ => None,
                });
                // Piggybacked updates do not belong to the page; pages arrive in order and are not
                // interleaved with those of other peers.
                let Some(last_received) = names.filter(|name| **name > *pull.last_name).max() else {
                    if last {
                        self.pull = None;
                    }
                    return;
                };
                if last {
                    self.pull = None;
                    return;
                }
                pull.last_name = last_received.to_owned();
                pull.attempts = 0;
                pull.retry_at = now + self.settings.probe_timeout;
                let (after, sections) = (pull.last_name.clone(), pull.sections);
                self.send(from, &Body::Pull { after: &after, sections });
            }
            Body::Gossip => {}
            Body::Clock { nonce } => self.reply_to_clock_query(from, nonce),
            Body::Stamp { nonce, run, at } => self.accept_stamp(from, nonce, run, at),
        }
    }
}
