//! Suspicions: how they start, are confirmed, are refuted, and end in the death of the member.

use std::sync::Arc;

use super::{Fleet, MAX_CONFIRMATIONS, MAX_LOCAL_HEALTH};
use crate::wire::MemberUpdate;
use crate::{LifecyclePhase, MemberState, MembershipEvent, Millis};

impl Fleet {
    /// Gossips suspicions again at half of their duration, and declares members dead at its end.
    pub(super) fn check_suspicions(&mut self, now: Millis) {
        if self.may_be_isolated(now) {
            return;
        }
        // Gossiped again at half of its duration: a member that has seen the refutation answers every sender
        // that repeats the suspicion.
        let needs_regossip = |name: &&Arc<str>| {
            self.members.get(*name).is_some_and(|member| !member.suspicion_regossiped)
                && self.suspicion_elapsed(now, name, 0.5)
        };
        for name in self.suspects.iter().filter(needs_regossip).cloned().collect::<Vec<_>>() {
            if let Some(member) = self.members.get_mut(&name) {
                member.suspicion_regossiped = true;
            }
            self.queue_gossip(&name);
        }
        let expired: Vec<Arc<str>> =
            self.suspects.iter().filter(|name| self.suspicion_elapsed(now, name, 1.0)).cloned().collect();
        for name in expired {
            let Some(incarnation) = self.members.get(&name).map(|member| member.incarnation) else {
                continue;
            };
            self.declare_dead(now, &name, incarnation);
        }
    }

    /// Whether a suspicion has lasted for this fraction of its duration, which shrinks with each confirmation
    /// and grows with the local health score.
    pub(super) fn suspicion_elapsed(&self, now: Millis, name: &str, fraction: f64) -> bool {
        let Some(member) = self.members.get(name) else { return false };
        let member_count = self.probe_order.len() as f64 + 1.0;
        let min_duration = self.settings.suspicion_min_multiplier
            * member_count.log10().max(1.0)
            * self.settings.probe_interval as f64;
        let max_duration = min_duration * self.settings.suspicion_max_multiplier;
        // A member that announced its departure needs no long suspicion.
        let (min_duration, max_duration) = if member.metadata.phase == LifecyclePhase::Out {
            (0.0, min_duration)
        } else {
            (min_duration, max_duration)
        };
        let confirmations = (member.suspected_by.len().saturating_sub(1)).min(MAX_CONFIRMATIONS) as f64;
        let shortening = (confirmations + 1.0).ln() / (MAX_CONFIRMATIONS as f64 + 1.0).ln();
        let duration = (max_duration - (max_duration - min_duration) * shortening).max(min_duration)
            * f64::from(self.local_health + 1);
        now.saturating_sub(member.state_since) as f64 >= duration * fraction
    }

    /// Starts a suspicion, or records a further node that confirms it.
    pub(super) fn suspect_member(&mut self, now: Millis, name: &Arc<str>, incarnation: u64, by: &Arc<str>) {
        let Some(member) = self.members.get_mut(name) else { return };
        if incarnation < member.incarnation || member.state == MemberState::Dead {
            return;
        }
        if member.state == MemberState::Alive {
            (member.state, member.state_since, member.suspicion_regossiped) =
                (MemberState::Suspect, now, false);
            member.suspected_by = vec![by.clone()];
            self.suspects.insert(name.clone());
            self.counters.suspicions_started += u64::from(*by == self.local_name);
            self.queue_gossip(name);
            self.emit(MembershipEvent::Suspected(name.clone()));
        } else if !member.suspected_by.contains(by) && member.suspected_by.len() <= MAX_CONFIRMATIONS {
            member.suspected_by.push(by.clone());
            self.queue_gossip(name);
        }
    }

    /// Marks a member dead and gossips it.
    pub(super) fn declare_dead(&mut self, now: Millis, name: &Arc<str>, incarnation: u64) {
        self.suspects.remove(name);
        self.modify_member(name, |member| {
            (member.state, member.state_since, member.incarnation) = (MemberState::Dead, now, incarnation);
            member.suspected_by.clear();
        });
        self.counters.deaths_detected += 1;
        self.queue_gossip(name);
        self.emit(MembershipEvent::Died(name.clone()));
    }

    /// The member that the update accuses, if it has already refuted the accusation here.
    pub(super) fn refuted_member(&self, update: &MemberUpdate<'_>) -> Option<Arc<str>> {
        let (MemberUpdate::Suspect { name, incarnation, .. } | MemberUpdate::Dead { name, incarnation }) =
            *update
        else {
            return None;
        };
        let (subject, member) = self.members.get_key_value(name)?;
        (member.incarnation > incarnation && member.state == MemberState::Alive).then(|| subject.clone())
    }

    /// Refutes an accusation of this node with a higher incarnation.
    pub(super) fn refute(&mut self, incarnation: u64) {
        let local_name = self.local_name.clone();
        if self.members.get(&local_name).is_none_or(|member| incarnation < member.incarnation) {
            return;
        }
        if self.members.get(&local_name).is_some_and(|member| incarnation > member.incarnation) {
            self.epoch = self.epoch.max(incarnation + 1);
        }
        self.modify_member(&local_name, |member| member.incarnation = incarnation + 1);
        self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
        self.counters.refutations += 1;
        self.queue_gossip(&local_name);
        self.emit(MembershipEvent::Refuted);
    }
}
