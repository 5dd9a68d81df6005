//! Timers: due work, detection of pauses of this process, and isolation.

use super::{Fleet, MAX_LOCAL_HEALTH};
use crate::wire::{self, Body};
use crate::{LifecyclePhase, MemberState, MembershipEvent, Millis};

impl Fleet {
    /// Time at which the next [`Fleet::tick`] is due.
    pub fn next_wake(&self) -> Millis {
        // Suspicions and isolation are checked in each interval, whatever else is due.
        let mut at =
            self.next_probe_at.min(self.next_reconnect_at).min(self.last_tick + self.settings.probe_interval);
        if !self.gossip_queue.is_empty() {
            at = at.min(self.next_gossip_at);
        }
        if let Some(probe) = &self.probe {
            at = at.min(probe.indirect_at.unwrap_or(probe.deadline)).min(probe.deadline);
        }
        if let Some(poll_at) = self.clock_poller.as_ref().and_then(|poller| poller.next_poll_at) {
            at = at.min(poll_at);
        }
        let relayed = self.relayed_probes.iter().map(|relayed| relayed.deadline);
        let checks = self.confirmation_probes.iter().map(|check| check.deadline);
        let pull = self.pull.iter().map(|pull| pull.retry_at);
        relayed.chain(checks).chain(pull).fold(at, Millis::min)
    }

    /// Leaves the fleet: announces the departure to a few members before the process ends, so that nobody has
    /// to detect it.
    pub fn leave(&mut self) {
        self.update_metadata(|metadata| metadata.phase = LifecyclePhase::Out);
        let others = self.pick_members(self.settings.fanout.max(8), &[]);
        for other in others {
            self.send(&other, &Body::Gossip);
        }
    }

    /// Does all due work.
    pub fn tick(&mut self, now: Millis) {
        self.advance_time(now);
        self.last_tick = now;
        self.check_isolation(now);
        self.run_probes(now);
        self.expire_relayed_probes(now);
        self.check_suspicions(now);
        self.reconnect_and_pull(now);
        if now >= self.next_gossip_at {
            self.next_gossip_at = now + self.settings.gossip_interval;
            if !self.gossip_queue.is_empty() {
                for other in self.pick_members(self.settings.fanout, &[]) {
                    self.send(&other, &Body::Gossip);
                }
            }
        }
    }

    /// Processes a datagram.
    pub fn receive(&mut self, now: Millis, bytes: &[u8]) {
        self.advance_time(now);
        let keys = self.keys.clone();
        match wire::decode(bytes, &keys).and_then(|datagram| self.accept(now, &datagram)) {
            Ok(()) => self.counters.datagrams_accepted += 1,
            Err(reason) => *self.counters.datagrams_dropped.entry(reason).or_default() += 1,
        }
    }

    /// Advances the time. A node that was paused suspects nobody for the time it missed.
    pub(super) fn advance_time(&mut self, now: Millis) {
        let paused = now.saturating_sub(self.last_time.max(self.next_wake()));
        self.last_time = now;
        if paused < 2 * self.settings.probe_interval {
            return;
        }
        self.emit(MembershipEvent::Paused(paused));
        self.catching_up_until = now + self.settings.isolation_timeout;
        self.probe = None;
        self.confirmation_probes.clear();
        self.relayed_probes.clear();
        self.local_health = MAX_LOCAL_HEALTH;
        self.next_probe_at = now;
        if self.isolated_since.is_none() {
            // No member could be heard during the pause.
            self.last_heard = now;
        }
        self.pause_suspicions(now, paused);
    }

    /// Extends the suspicions by a time in which no refutation could arrive.
    pub(super) fn pause_suspicions(&mut self, now: Millis, paused: Millis) {
        for name in &self.suspects {
            if let Some(member) = self.members.get_mut(name) {
                member.state_since = (member.state_since + paused).min(now);
            }
        }
    }

    /// Detects that no member was heard for the isolation timeout.
    pub(super) fn check_isolation(&mut self, now: Millis) {
        let others_exist = self.probe_order.iter().any(|name| {
            self.members
                .get(name)
                .is_some_and(|m| m.state != MemberState::Dead && m.metadata.phase != LifecyclePhase::Out)
        });
        // A node with configured peers that it never heard cannot tell either whether it is cut off.
        let others_exist =
            others_exist || (self.probe_order.is_empty() && !self.configured_addresses.is_empty());
        if self.isolated_since.is_none()
            && others_exist
            && now >= self.last_heard + self.settings.isolation_timeout
        {
            self.isolated_since = Some(now);
            self.emit(MembershipEvent::Isolated);
        }
    }

    /// Whether this node may be cut off itself, in which case it declares nobody dead.
    pub(super) fn may_be_isolated(&self, now: Millis) -> bool {
        self.isolated_since.is_some() || now >= self.last_heard + 2 * self.settings.probe_interval
    }
}
