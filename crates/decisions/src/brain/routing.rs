//! Chooses the server of a request by a walk over the Maglev table, and spreads keys that are too hot for one
//! server. Hot keys are found by a bounded count of the node's own traffic.

use super::*;

/// Maximum number of owners that one walk considers.
pub(super) const MAX_WALK_OWNERS: usize = 64;
/// Maximum number of slots that the walk of a first attempt passes.
pub(super) const MAX_WALK_SLOTS: usize = 1_024;
/// A key that brings an owner more than this fraction of a server's mean load is spread over several owners.
pub(super) const MAX_KEY_LOAD_PER_OWNER: f64 = 0.35;
/// A server is overfull above this multiple of the mean number of requests in flight.
pub(super) const OVERFLOW_MULTIPLE: f64 = 2.0;
/// A server is overfull only if it exceeds the mean by more than this number of requests.
pub(super) const OVERFLOW_MARGIN: f64 = 2.0;
/// If a walk finds no owner, it falls back on one with at least this slot share.
pub(super) const MIN_FALLBACK_SHARE: f64 = 0.5;

/// Maximum number of keys that a node counts.
pub(super) const MAX_COUNTED_KEYS: usize = 128;
/// Factor by which each sweep decays all counts of traffic.
pub(super) const COUNTER_DECAY: f64 = 0.984;
/// A key's share of the traffic is computed from at least this number of requests.
pub(super) const MIN_REQUESTS_FOR_KEY_SHARE: f64 = 20.0;

/// Decayed count of the requests for a key, by the space-saving algorithm.
pub(super) struct KeyCount {
    pub(super) key: Key,
    pub(super) count: f64,
    /// Part of the count that may belong to the key that previously had this entry.
    pub(super) overcount: f64,
}

impl Balancer {
    /// Whether a server has far more of this node's requests in flight than its weight explains.
    pub(super) fn is_overfull(&self, server: &Server) -> bool {
        let mean = f64::from(self.in_flight) / self.total_weight * server.listed.weight;
        let in_flight_here = f64::from(server.in_flight);
        in_flight_here > mean + OVERFLOW_MARGIN && in_flight_here > OVERFLOW_MULTIPLE * mean
    }

    /// Chooses the server of a request's next attempt. The walk starts at the key's slot and takes the first
    /// owner that carries the slot and is not overfull. For a key too hot for one owner it takes one of as
    /// many successive owners as can carry the key. If no owner qualifies, it takes the first warmed-up one
    /// that may be used.
    pub(super) fn choose_server(&mut self, id: RequestId) -> Option<usize> {
        self.refresh_table();
        let pending = &self.requests[&id];
        let mut remaining_load = self.key_traffic_share(pending.key);
        let repeatable = self.settings.classes[pending.class].semantics != Semantics::Unsafe;
        let mut visited: Vec<u32> = Vec::with_capacity(8);
        let mut chosen: Vec<(usize, f64)> = Vec::new();
        let (mut fallback, mut remote) = (None, None);
        let local_zone =
            self.settings.zone.filter(|_| slot_level(pending.slot) < self.traffic.local_zone_share);
        let slots = if pending.attempts.is_empty() { MAX_WALK_SLOTS } else { TABLE_SLOTS };
        for step in 0..slots.min(self.table.len()) {
            let slot = (pending.slot + step) % TABLE_SLOTS;
            let owner = self.table[slot];
            if visited.contains(&owner) {
                continue;
            }
            let server = &self.servers[owner as usize];
            let tried = pending.attempts.iter().any(|a| a.listed.server == server.listed.server);
            let barred =
                server.class_health.get(pending.class).is_some_and(|health| health.is_barred(self.now));
            if tried || barred || !self.dedup_scope_includes(pending, &server.listed) {
                continue;
            }
            visited.push(owner);
            if visited.len() > MAX_WALK_OWNERS {
                break;
            }
            let trial_due =
                server.ejected_until.is_some_and(|until| self.now >= until && !server.trial_in_flight);
            if trial_due
                && !self.slow_start_budget_spent(server)
                && repeatable
                && !self.settings.can_probe
                && chosen.is_empty()
            {
                return Some(owner as usize);
            }
            let share = self.effective_share(server);
            if slot_level(slot) > share || self.is_overfull(server) {
                fallback = fallback.or((share >= MIN_FALLBACK_SHARE).then_some(owner as usize));
                continue;
            }
            if local_zone.is_some_and(|zone| zone != server.listed.zone) {
                remote = remote.or(Some(owner as usize));
                continue;
            }
            let load_share = share * server.listed.weight / self.total_weight;
            chosen.push((owner as usize, load_share));
            remaining_load -= MAX_KEY_LOAD_PER_OWNER * load_share;
            if remaining_load <= 0.0 {
                break;
            }
        }
        let mut remaining_draw = self.rng.f64() * chosen.iter().map(|c| c.1).sum::<f64>();
        let pick = chosen.iter().find(|c| {
            remaining_draw -= c.1;
            remaining_draw <= 0.0
        });
        pick.or(chosen.last()).map(|c| c.0).or(remote).or(fallback)
    }

    /// Counts a request for a key. A new key takes the entry of the least frequent one.
    pub(super) fn count_key(&mut self, key: Key) {
        if let Some(counted) = self.key_counts.iter_mut().find(|entry| entry.key == key) {
            counted.count += 1.0;
        } else if self.key_counts.len() < MAX_COUNTED_KEYS {
            self.key_counts.push(KeyCount { key, count: 1.0, overcount: 0.0 });
        } else if let Some(least) = self.key_counts.iter_mut().min_by(|a, b| a.count.total_cmp(&b.count)) {
            *least = KeyCount { key, count: least.count + 1.0, overcount: least.count };
        }
    }

    /// A key's share of all traffic. The square root of the count is deducted, so that a key seen once is not
    /// hot. With few requests counted, a second one is enough, since spreading costs nothing while servers
    /// remember no keys.
    pub(super) fn key_traffic_share(&self, key: Option<Key>) -> f64 {
        let counted = key.and_then(|key| self.key_counts.iter().find(|entry| entry.key == key));
        let count = counted.map_or(0.0, |entry| entry.count - entry.overcount);
        (count - count.sqrt()).max(0.0) / self.traffic.request_count.max(MIN_REQUESTS_FOR_KEY_SHARE)
    }
}
