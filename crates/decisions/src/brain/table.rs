//! Keeps the server list and builds the Maglev table from it: which server owns a slot, and which slot a key
//! has.

use super::*;

/// Number of slots: a fixed prime, since a size that follows the fleet would move every key.
pub const TABLE_SLOTS: usize = 16_381;
/// Seeds of the table's two hashes and of the key hash, on which all nodes must agree.
pub(super) const OFFSET_SEED: u64 = 0x636f_7070_6572;
pub(super) const SKIP_SEED: u64 = 0x7461_636b;
pub(super) const KEY_SEED: u64 = 0x006b_6579;
/// Minimum credit that a small server gets per turn.
pub(super) const MIN_TURN_CREDIT: f64 = 1.0 / 64.0;
/// A change counts as received in time up to this long after discovery had it: a call that hangs, a pause and
/// the next call.
const MAX_CHANGE_DELAY: Micros = 6_000_000;

/// A host's timer may expire this much too early.
const TIMER_TOLERANCE: Micros = 5_000;

/// Builds the Maglev table over `(server, weight)` pairs. A slot holds the index of its owner in the pairs;
/// the order of the pairs does not affect which server owns a slot.
///
/// Servers take turns in the order of their ids. Each turn adds a server's weight, as a fraction of the power
/// of two above the largest weight, to its credit, and each whole credit claims a slot. The credit of a
/// server does not depend on the others, so one change moves few slots.
pub fn build_table(servers: &[(ServerId, f64)]) -> Vec<u32> {
    if servers.is_empty() {
        return Vec::new();
    }
    let largest = servers.iter().map(|s| s.1).fold(f64::MIN_POSITIVE, f64::max);
    let step = largest.log2().ceil().exp2();
    let m = TABLE_SLOTS as u64;
    let mut claims: Vec<(u32, u32, u32, f64, f64)> = (0u32..)
        .zip(servers)
        .map(|(i, (server, weight))| {
            let hash = server.table_hash().to_le_bytes();
            let offset = xxh3_64_with_seed(&hash, OFFSET_SEED) % m;
            let skip = xxh3_64_with_seed(&hash, SKIP_SEED) % (m - 1) + 1;
            (i, offset as u32, skip as u32, 0.0, (weight / step).max(MIN_TURN_CREDIT))
        })
        .collect();
    claims.sort_by_key(|claim| &servers[claim.0 as usize].0);
    let mut table = vec![u32::MAX; TABLE_SLOTS];
    let mut free = TABLE_SLOTS;
    loop {
        for (owner, at, skip, credit, turn_credit) in &mut claims {
            *credit += *turn_credit;
            if *credit < 1.0 {
                continue;
            }
            *credit -= 1.0;
            while table[*at as usize] != u32::MAX {
                *at = (*at + *skip) % m as u32;
            }
            table[*at as usize] = *owner;
            free -= 1;
            if free == 0 {
                return table;
            }
        }
    }
}

/// Level of a slot between 0 and 1: a server carries the slots whose level is at most its share. The level is
/// the same on every node and spread evenly over the slots.
pub(super) fn slot_level(slot: usize) -> f64 {
    f64::from((slot as u32).wrapping_mul(0x9E37_79B1)) / f64::from(u32::MAX)
}

impl Balancer {
    /// Rebuilds the table if it is stale, once for all changes since the last request.
    pub(super) fn refresh_table(&mut self) {
        if !std::mem::take(&mut self.table_is_stale) {
            return;
        }
        self.servers.retain(|s| s.in_service || s.in_flight > 0);
        self.server_indices =
            self.servers.iter().enumerate().map(|(i, s)| (s.listed.server.clone(), i)).collect();
        let ready_servers = self.servers.iter().enumerate().filter(|(_, s)| s.in_service);
        let (positions, pairs): (Vec<u32>, Vec<_>) =
            ready_servers.map(|(i, s)| (i as u32, (s.listed.server.clone(), s.listed.weight))).unzip();
        self.total_weight = pairs.iter().map(|p| p.1).sum();
        self.table = build_table(&pairs).into_iter().map(|owner| positions[owner as usize]).collect();
    }

    /// Slot of a request: that of its key or, without a key, the less loaded of two random ones.
    pub(super) fn choose_slot(&mut self, key: Option<Key>) -> usize {
        if let Some(Key(key)) = key {
            let hash = xxh3_64_with_seed(&key.to_le_bytes(), KEY_SEED);
            return (hash % TABLE_SLOTS as u64) as usize;
        }
        let (a, b) = (self.rng.usize(0..TABLE_SLOTS), self.rng.usize(0..TABLE_SLOTS));
        self.refresh_table();
        let relative_load = |slot: usize| {
            let server = self.table.get(slot).map(|&owner| &self.servers[owner as usize]);
            server.map_or(0.0, |s| f64::from(s.in_flight) / s.listed.weight)
        };
        [a, b][usize::from(relative_load(b) < relative_load(a))]
    }

    /// Applies an update of the server list and keeps the subscription to its changes.
    pub(super) fn on_sync(&mut self, kind: SyncKind, entries: Vec<ListedServer>, out: &mut Vec<Action>) {
        if kind == SyncKind::Cached && !std::mem::replace(&mut self.started, true) {
            out.push(Action::SetTimer { delay: self.jitter(SWEEP_INTERVAL), timer: SWEEP_TIMER });
            if self.settings.discovery == DiscoveryMode::Subscribe {
                // Nodes that start at the same time must not all call discovery at once.
                let spread = (u64::from(self.settings.node_count) * 50_000)
                    .min(self.settings.max_unsubscribed_time.min(MAX_CHANGE_DELAY) / 3);
                let delay = self.rng.u64(0..=spread);
                self.schedule_subscribe(delay, out);
            }
        }
        match kind {
            SyncKind::Failed => {
                self.subscribed = false;
                let delay = (self.settings.max_unsubscribed_time / 2).min(MAX_CHANGE_DELAY / 6);
                let delay = self.jitter(delay);
                return self.schedule_subscribe(delay, out);
            }
            SyncKind::Cached => {}
            SyncKind::Delta | SyncKind::Full => self.subscribed = true,
        }
        if kind != SyncKind::Delta {
            // A server absent from a complete list has been removed.
            let mut listed_ids: Vec<&ServerId> = entries.iter().map(|m| &m.server).collect();
            listed_ids.sort_unstable();
            for server in &mut self.servers {
                if server.in_service && listed_ids.binary_search(&&server.listed.server).is_err() {
                    server.in_service = false;
                    self.table_is_stale = true;
                }
            }
        }
        for listed in entries {
            self.update_server(listed);
        }
    }

    /// Schedules the next subscription after `delay`, in place of any earlier one.
    fn schedule_subscribe(&mut self, delay: Micros, out: &mut Vec<Action>) {
        self.subscribe_due = Some(self.now + delay);
        out.push(Action::SetTimer { delay, timer: SUBSCRIBE_TIMER });
    }

    /// Subscribes if a subscription is due.
    pub(super) fn on_subscribe_timer(&mut self, out: &mut Vec<Action>) {
        let due = self.subscribe_due.is_some_and(|due| self.now + TIMER_TOLERANCE >= due);
        if due && !self.subscribed {
            self.subscribe_due = None;
            out.push(Action::Subscribe);
        }
    }

    /// Adds or updates a server by its entry on the list.
    pub(super) fn update_server(&mut self, mut listed: ListedServer) {
        let in_service = listed.state == ServerState::InService;
        let unweighted = matches!(self.settings.weight_source, WeightSource::Off | WeightSource::Live);
        if unweighted || !listed.weight.is_finite() || listed.weight <= 0.0 {
            listed.weight = 1.0;
        }
        // Each node starts at a random point of its first attempt; otherwise all nodes would send it at once.
        // About one node sends it immediately.
        let kind = if unweighted { self.kind_index(listed.kind) } else { self.kind_index(KindId::default()) };
        let slow_start_budget = self.rng.f64() + 1.0 / f64::from(self.settings.node_count);
        let Some(&i) = self.server_indices.get(&listed.server) else {
            if in_service {
                self.table_is_stale = true;
                self.server_indices.insert(listed.server.clone(), self.servers.len());
                self.servers.push(Server::new(listed, kind, slow_start_budget));
            }
            return;
        };
        let old = &mut self.servers[i];
        self.table_is_stale |= old.in_service != in_service || old.listed.weight != listed.weight;
        if listed.started_at != old.listed.started_at {
            // A restarted process does not inherit the statistics of the old one.
            *old = Server {
                in_flight: old.in_flight,
                silent_since: self.now,
                ..Server::new(listed, kind, slow_start_budget)
            };
        } else {
            old.listed = listed;
        }
        old.in_service = in_service;
    }
}
