//! Probing: one member in each interval, indirect probes through helpers, and probes that check the
//! suspicions of others.

use std::sync::Arc;

use super::{ClusterMember, ConfirmationProbe, Fleet, Probe, RelayedProbe, MAX_LOCAL_HEALTH};
use crate::wire::Body;
use crate::{MemberState, Millis};

impl Fleet {
    /// Sends due indirect probes, ends the current probe at its deadline, and starts the next one.
    pub(super) fn run_probes(&mut self, now: Millis) {
        if let Some(probe) = &mut self.probe {
            if !probe.answered && probe.indirect_at.is_some_and(|at| now >= at) {
                probe.indirect_at = None;
                let (target, nonce) = (probe.target.clone(), probe.nonce);
                let helpers = self.pick_members(self.settings.indirect_probes, &[&target]);
                if let Some(probe) = &mut self.probe {
                    probe.helpers_requested = helpers.len() as u32;
                }
                self.send(&target, &Body::Ping { nonce, to: &target });
                for helper in helpers {
                    self.send(&helper, &Body::PingRequest { nonce, target: &target });
                }
            }
        }
        if self.probe.as_ref().is_some_and(|probe| now >= probe.deadline) {
            if let Some(probe) = self.probe.take() {
                if !probe.answered {
                    self.probe_failed(now, &probe);
                }
            }
        }
        if self.probe.is_none() && now >= self.next_probe_at {
            let Some(target) = self.next_probe_target() else {
                self.next_probe_at = now + self.settings.probe_interval;
                return;
            };
            let nonce = self.random.u32(..);
            let scale = Millis::from(self.local_health + 1);
            let deadline = now + self.settings.probe_interval * scale;
            // Random jitter keeps the nodes from probing all at the same moment of an interval.
            let jitter = self.random.u64(..=self.settings.probe_interval / 8);
            self.next_probe_at = deadline + jitter;
            let indirect_at = Some(now + self.settings.probe_timeout * scale);
            self.send(&target, &Body::Ping { nonce, to: &target });
            let (helpers_requested, nacks_received, answered) = (0, 0, false);
            self.probe = Some(Probe {
                target,
                nonce,
                indirect_at,
                deadline,
                helpers_requested,
                nacks_received,
                answered,
            });
        }
    }

    /// The member to probe next: the last one again if it missed its probe, otherwise the next in the order.
    pub(super) fn next_probe_target(&mut self) -> Option<Arc<str>> {
        if let Some(at) = self.next_probe_index.checked_sub(1) {
            let last = self.probe_order.get(at).cloned();
            let retry = last.filter(|name| {
                self.members
                    .get(name)
                    .is_some_and(|m| m.consecutive_misses > 0 && m.state == MemberState::Alive)
            });
            if retry.is_some() {
                return retry;
            }
        }
        for _ in 0..self.probe_order.len() {
            if self.next_probe_index >= self.probe_order.len() {
                self.random.shuffle(&mut self.probe_order);
                self.next_probe_index = 0;
            }
            let name = self.probe_order[self.next_probe_index].clone();
            self.next_probe_index += 1;
            let is_dead = |member: &ClusterMember| member.state == MemberState::Dead;
            if self.members.get(&name).is_some_and(|member| !is_dead(member)) {
                return Some(name);
            }
        }
        None
    }

    /// Worsens the local health score after a missed probe and suspects a member that missed too many.
    pub(super) fn probe_failed(&mut self, now: Millis, probe: &Probe) {
        let increase = if probe.helpers_requested > 0 {
            probe.helpers_requested.saturating_sub(probe.nacks_received)
        } else {
            1
        };
        self.local_health = (self.local_health + increase).min(MAX_LOCAL_HEALTH);
        if self.may_be_isolated(now) {
            return;
        }
        let tolerated = self.settings.missed_probes;
        let Some(member) = self.members.get_mut(&probe.target) else { return };
        member.consecutive_misses += 1;
        if member.state == MemberState::Alive && member.consecutive_misses <= tolerated {
            return;
        }
        member.consecutive_misses = 0;
        let (incarnation, local_name) = (member.incarnation, self.local_name.clone());
        self.suspect_member(now, &probe.target.clone(), incarnation, &local_name);
    }

    /// Answers expired relayed probes with a nack, and confirms suspicions whose check got no reply.
    pub(super) fn expire_relayed_probes(&mut self, now: Millis) {
        let expired: Vec<RelayedProbe> = {
            let (expired, pending) =
                self.relayed_probes.drain(..).partition(|relayed| now >= relayed.deadline);
            self.relayed_probes = pending;
            expired
        };
        for relayed in expired {
            self.send(&relayed.requester, &Body::Nack { nonce: relayed.requester_nonce });
        }
        let expired: Vec<ConfirmationProbe> = {
            let (expired, pending) =
                self.confirmation_probes.drain(..).partition(|check| now >= check.deadline);
            self.confirmation_probes = pending;
            expired
        };
        for check in expired {
            let found = self.members.get(&check.target).map(|member| (member.state, member.incarnation));
            if let (Some((MemberState::Suspect, incarnation)), false) = (found, self.may_be_isolated(now)) {
                let local_name = self.local_name.clone();
                self.suspect_member(now, &check.target, incarnation, &local_name);
            }
        }
    }
}
