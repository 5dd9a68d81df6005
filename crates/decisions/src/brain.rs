//! The decisions. The interface (settings, events, actions) is `src/api.rs`.
//!
//! The ordinary path: a request's key picks a slot of the Maglev table, the slot's owner serves
//! it. Every exception only ever makes a request walk on from its slot to the next owner that
//! can carry it: see `Balancer::route`.

use std::collections::{BTreeMap, HashMap, VecDeque};

use fastrand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::api::*;

/// Slots of the table: a fixed prime, since a size that follows the fleet would move every key.
pub const TABLE_SLOTS: usize = 16_381;
/// Seeds of the table's two hashes and of the key hash. All nodes must agree on them.
const OFFSET_SEED: u64 = 0x636f_7070_6572;
const SKIP_SEED: u64 = 0x7461_636b;
const KEY_SEED: u64 = 0x006b_6579;
/// The least part of a turn that a small server gets.
const LEAST_TURN: f64 = 1.0 / 64.0;

/// How often the servers are looked over.
const SWEEP: Micros = 100_000;
/// The most owners that one walk looks at, and the most slots it passes on its way.
const WALK_OWNERS: usize = 64;
const WALK_SLOTS: usize = 1_024;
/// A key may bring an owner this multiple of a server's mean load before it is spread.
const HOT_LOAD: f64 = 0.35;
/// Keys counted by a node, and what each sweep keeps of all counts of traffic.
const HOT_KEYS: usize = 128;
const HOT_KEEP: f64 = 0.984;
const HOT_LEAST: f64 = 20.0;

/// A server overflows above this multiple of the mean in flight, plus this many.
const OVERFLOW_MULTIPLE: f64 = 2.0;
const OVERFLOW_MORE: f64 = 2.0;
/// What a sign of too much work takes off the limit, in parts of a second's attempts, and the regain
/// each sweep. Quicker down or slower up refuses more.
const LIMIT_CUT: f64 = 0.9;
const LIMIT_REGAIN: f64 = 1.02;
/// Fewer late answers than this part are no sign of more work than the fleet can do.
const LATE_PART: f64 = 0.15;
/// With no more than this part of the fleet ejected, the others have room for its work.
const FEW_OUT: f64 = 0.2;
const LEAST_LIMIT: f64 = 0.5;

/// Answers slower than this multiple of their classes' norm make a server yield slots.
const SLOW: f64 = 2.2;
/// Shares: what a full answer leaves, what a sweep gives back, the least that is left.
const FULL_YIELD: f64 = 0.6;
/// A server that reports less than this part of its cores in use turns nobody away for want of room:
/// its share yields only by this, while more than this part of what it gets comes back. See
/// `Server::full_yield`.
const IDLE: f64 = 0.7;
const TURNED_YIELD: f64 = 0.95;
const TURNED_MOST: f64 = 0.6;
const REGAIN: f64 = 0.01;
const LEAST_SHARE: f64 = 0.05;
/// A walk that finds no owner falls back on one that carries at least this share.
const FALLBACK_SHARE: f64 = 0.5;
/// Share of a server just back from ejection.
const BACK_SHARE: f64 = 0.3;
/// A server is ejected when this part of its latest attempts failed, and this many times the
/// fleet's usual part. Lower ejects sooner, and more often by chance.
const FAILING: f64 = 0.4;
const FAILING_MORE: f64 = 2.5;
/// A server is passed by for a class when this smoothed part of its latest answers to it are errors or
/// time-outs, two in a row, unless the class fails as much everywhere. Back from that, one error is enough.
const SICK: f64 = 0.5;
const SICK_STEP: f64 = 0.3;
/// First ejection; each further one doubles it up to the longest.
const EJECTION: Micros = 700_000;
const EJECTION_LONGEST: Micros = 8_000_000;
/// Silence of this multiple of the slowest class's mean answer time ejects, but never a shorter one.
const SILENCE: f64 = 4.0;
const SILENCE_LEAST: Micros = 300_000;
/// With more than this part of the fleet ejected the cause is shared: ejections are ignored.
const PANIC: f64 = 0.5;

/// Part of the requests that may be sent again after they may have run, and the burst of it.
const RETRY_RATIO: f64 = 0.2;
const RETRY_BURST: f64 = 20.0;
/// An attempt is late past this multiple of its class's norm. Sooner repeats more work: heavy requests
/// are heavy again on the next server, and a time-out need not stop the first one.
const LATE: f64 = 8.0;

/// Part of the limit that requests of the lowest worth leave free for others.
const RESERVE: f64 = 0.3;
/// Spread of the limit over the keys: every node refuses the same keys first, so the others stay
/// remembered and cost less. More serves overloads better and refuses some keys needlessly.
const LEVELS: f64 = 0.5;
/// A cold server may be sent this part of what topples it, by what the fleet serves for its size
/// and warmth. It remembers no key yet, so it does less than that.
const COLD_CARE: f64 = 0.45;
/// Connections that all nodes together may keep idle at a server of size 1, by what they expect of its pace;
/// fewer while this part of the attempts gets no connection, none at twice that. A server takes a number that
/// nobody tells, and each one that is kept costs it capacity. More saves handshakes and shuts out whoever
/// keeps none, who alone sees it: from this price of a handshake on, more are kept by the square of it, and
/// never more than any server should take.
const LINKS_KEPT: f64 = 8.0;
const LINKS_MOST: f64 = 32.0;
const LINKS_SHORT: f64 = 0.02;
const LINKS_DEAR: f64 = 0.08;
/// The price of a handshake at which a use again is wanted as much as if it were twice as likely.
const LINK_PRICE: f64 = 0.01;

/// When a refused client ought to come back. Longer eases an overload and costs those who would have
/// been served sooner.
const COME_BACK: Micros = 20_000;

const TIMER_SWEEP: TimerId = TimerId(1);
const TIMER_SUBSCRIBE: TimerId = TimerId(2);
/// The end of a key's rest: this and the key.
const TIMER_REST: u64 = 16;

/// Builds the table over `(server, weight)` pairs; a slot holds the position of its owner in
/// the pairs. The order of the pairs does not matter to who owns what.
///
/// Servers take turns in the order of their ids. A turn adds a server's size, as a part of the
/// power of two above the largest, to its credit, and each whole credit claims a slot. The
/// credit of one server does not depend on the others, so one change moves few slots.
pub fn build_table(servers: &[(ServerId, f64)]) -> Vec<u32> {
    if servers.is_empty() {
        return Vec::new();
    }
    let largest = servers.iter().map(|s| s.1).fold(f64::MIN_POSITIVE, f64::max);
    let step = largest.log2().ceil().exp2();
    let m = TABLE_SLOTS as u64;
    let mut order: Vec<usize> = (0..servers.len()).collect();
    order.sort_by_key(|&i| servers[i].0);
    let mut turns: Vec<(u32, u32, u32, f64, f64)> = order
        .iter()
        .map(|&i| {
            let id = servers[i].0 .0.to_le_bytes();
            let offset = xxh3_64_with_seed(&id, OFFSET_SEED) % m;
            let skip = xxh3_64_with_seed(&id, SKIP_SEED) % (m - 1) + 1;
            (i as u32, offset as u32, skip as u32, 0.0, (servers[i].1 / step).max(LEAST_TURN))
        })
        .collect();
    let mut table = vec![u32::MAX; TABLE_SLOTS];
    let mut free = TABLE_SLOTS;
    loop {
        for (owner, at, skip, credit, turn) in &mut turns {
            *credit += *turn;
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

/// A slot's place in 0..1 for yielding: the same at every node, spread evenly over the slots.
fn slot_level(slot: usize) -> f64 {
    f64::from((slot as u32).wrapping_mul(0x9E37_79B1)) / f64::from(u32::MAX)
}

struct Server {
    member: Member,
    /// On the list and in service.
    ready: bool,
    inflight: u32,
    /// Since when an attempt is out without a word from the server.
    quiet_since: Micros,
    /// Part of its slots that it carries, as far as its answers tell.
    share: f64,
    /// Answer time against its classes' norms, smoothed, and the answers since it last yielded.
    ratio: f64,
    answers: u32,
    /// Part of its latest attempts that ended in an error, a reset or a time-out.
    failing: f64,
    ejections: u32,
    /// While ejected: when it may be tried again, and since when it is out.
    ejected: Option<Micros>,
    out_since: Micros,
    /// A trial or probe is out.
    trial: bool,
    /// While it is cold: attempts that this node may send it.
    budget: f64,
    /// Part of its latest answers that turned a request away, and the part of its cores that it last
    /// reported in use.
    turned: f64,
    util: Option<f64>,
    /// How it does with each class: a bad release may fail one and serve the others.
    health: Vec<Health>,
    /// Since when the connections that may be kept to it are idle.
    linked: Option<Micros>,
}

/// How a server does with the requests of a class.
#[derive(Clone, Default)]
struct Health {
    /// Part of its latest attempts that ended in an error or, while it answered others, a time-out.
    failing: f64,
    /// It gets none until then, and since when that is so.
    until: Micros,
    since: Micros,
    times: u32,
    /// Not answered since then: one at a time may try.
    trial: bool,
    /// Attempts that are out, and since when without an answer to this class.
    out: u32,
    quiet_since: Micros,
}

impl Health {
    fn bars(&self, now: Micros) -> bool {
        now < self.until || (self.trial && self.out > 0)
    }

    fn sent(&mut self, now: Micros) {
        if self.out == 0 {
            self.quiet_since = now;
        }
        self.out += 1;
    }

    /// Whether a time-out belongs to a silence that is known.
    fn closed(&mut self, now: Micros, sent: Micros, answer: bool, timed_out: bool) -> bool {
        self.out = self.out.saturating_sub(1);
        if answer {
            self.quiet_since = now;
        }
        timed_out && self.times > 0 && sent < self.since
    }

    /// Takes the class off the server for `span`.
    fn rest(&mut self, now: Micros, span: Micros) {
        (self.since, self.until, self.trial) = (now, now + span, true);
        self.times += 1;
        self.failing = SICK_STEP;
    }
}

/// What became of an attempt.
#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

/// What an outcome proves: the one place that resends and refusals go by.
fn fate_of(outcome: Outcome, full_may_have_run: bool) -> Fate {
    match outcome {
        Outcome::ConnectFailed | Outcome::Moot => Fate::NeverRan,
        Outcome::Full if !full_may_have_run => Fate::NeverRan,
        _ => Fate::MayHaveRun,
    }
}

struct Attempt {
    member: Member,
    sent: Micros,
    fate: Fate,
}

struct Pending {
    class: usize,
    slot: usize,
    key: Option<Key>,
    /// The key whose turn it needs, for a class that is in order.
    ordered: Option<Key>,
    /// An answer is worth its full worth until then.
    aim: Micros,
    deadline: Micros,
    attempts: Vec<Attempt>,
    ended: bool,
}

/// The requests of an in-order key that are not over, as they were taken: the first has the turn.
#[derive(Default)]
struct Turn {
    queue: VecDeque<RequestId>,
    /// What may still be running of an earlier request is given until then.
    rests_until: Micros,
}

/// Answer times of a class, and how much of the traffic it is.
struct Norm {
    mean: f64,
    /// Requests counted within and beyond their tenant's quota.
    rates: [f64; 2],
    /// Part of the latest answers, of all servers, that were errors.
    failing: f64,
}

struct Hot {
    key: Key,
    count: f64,
    /// Part of the count that may belong to the key that was counted here before.
    error: f64,
}

/// What a node takes from its traffic as a whole.
#[derive(Default)]
struct Mood {
    /// Part of the latest answers that came late or not at all.
    late: f64,
    /// Part of the latest answered or failed attempts that failed.
    failing: f64,
    /// Part of the latest attempts that got no connection.
    unlinked: f64,
    /// Most requests that this node keeps in flight; unlimited until servers turn some away.
    limit: f64,
    /// What is in flight, smoothed.
    usual: f64,
    /// Part of the fleet that is ejected.
    ejected: f64,
    /// So much is ejected that ejections are ignored.
    panic: bool,
    /// Sizes of the servers in use, by their warmth.
    able: f64,
    /// Requests taken, attempts sent and attempts served: fading counts.
    taken: f64,
    sends: f64,
    served: f64,
}

/// The decisions of one node.
pub struct Balancer {
    settings: Settings,
    rng: Rng,
    now: Micros,
    servers: Vec<Server>,
    index: HashMap<ServerId, usize>,
    table: Vec<u32>,
    stale_table: bool,
    size_total: f64,
    inflight: u32,
    requests: HashMap<RequestId, Pending>,
    turns: BTreeMap<Key, Turn>,
    norms: Vec<Norm>,
    tenant_rates: Vec<f64>,
    hot: Vec<Hot>,
    /// How many seconds the fading counts hold.
    window: f64,
    retries: f64,
    mood: Mood,
    subscribed: bool,
    refusals: u32,
}

impl Balancer {
    /// A node at its start. `seed` feeds its random choices and nothing that nodes agree on.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let norm = |c: &Class| Norm { mean: c.aim as f64 / 4.0, rates: [0.0; 2], failing: 0.0 };
        Balancer {
            tenant_rates: vec![0.0; settings.tenants.len()],
            rng: Rng::with_seed(seed),
            now: 0,
            servers: Vec::new(),
            index: HashMap::new(),
            table: Vec::new(),
            stale_table: false,
            size_total: 0.0,
            inflight: 0,
            requests: HashMap::new(),
            turns: BTreeMap::new(),
            norms: settings.classes.iter().map(norm).collect(),
            hot: Vec::new(),
            window: 1.0,
            retries: RETRY_BURST,
            mood: Mood { limit: f64::INFINITY, ..Mood::default() },
            subscribed: false,
            refusals: 0,
            settings,
        }
    }

    /// The servers that are ejected now, for whoever asks: it decides nothing.
    pub fn ejected(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.servers.iter().filter(|server| server.ejected.is_some()).map(|server| server.member.server)
    }

    /// Takes one event and appends what to do to `out`.
    pub fn on_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Sync { kind, members } => self.on_sync(kind, members, out),
            Event::Request(request) => self.on_request(request, out),
            Event::Closed(closed) => self.on_closed(closed, out),
            Event::Lapsed(id) => self.end(id, out),
            Event::Probed { server, outcome, .. } => self.on_probed(server, outcome),
            Event::Timer(TIMER_SWEEP) => self.sweep(out),
            Event::Timer(TimerId(n)) if n >= TIMER_REST => self.give_turn(Key(n - TIMER_REST), out),
            Event::Timer(TIMER_SUBSCRIBE) if !self.subscribed => out.push(Action::Subscribe),
            Event::Timer(_) | Event::Started { .. } | Event::Peer { .. } => {}
        }
    }

    // Discovery.

    fn on_sync(&mut self, kind: SyncKind, members: Vec<Member>, out: &mut Vec<Action>) {
        if kind == SyncKind::Cached && self.servers.is_empty() {
            out.push(Action::SetTimer { delay: self.jitter(SWEEP), timer: TIMER_SWEEP });
            if self.settings.discovery == Discovery::Ask {
                // Nodes that start in step must not all call discovery at once.
                let spread = (u64::from(self.settings.group_size) * 50_000).min(self.settings.ask_within / 3);
                let delay = self.rng.u64(0..=spread);
                out.push(Action::SetTimer { delay, timer: TIMER_SUBSCRIBE });
            }
        }
        match kind {
            SyncKind::Failed => {
                self.subscribed = false;
                self.refusals += 1;
                let delay = (500_000 << self.refusals.min(5)).min(self.settings.ask_within / 2);
                return out.push(Action::SetTimer { delay: self.jitter(delay), timer: TIMER_SUBSCRIBE });
            }
            SyncKind::Cached => {}
            SyncKind::Delta | SyncKind::Full => (self.subscribed, self.refusals) = (true, 0),
        }
        if kind != SyncKind::Delta {
            // A server absent from a complete list has been removed.
            let mut listed: Vec<ServerId> = members.iter().map(|m| m.server).collect();
            listed.sort_unstable();
            for server in &mut self.servers {
                if server.ready && listed.binary_search(&server.member.server).is_err() {
                    server.ready = false;
                    self.stale_table = true;
                }
            }
        }
        for member in members {
            self.on_member(member);
        }
    }

    fn on_member(&mut self, mut member: Member) {
        let ready = member.state == ServerState::InService;
        let unweighted = matches!(self.settings.weight_source, WeightSource::Off | WeightSource::Live);
        if unweighted || !member.size.is_finite() || member.size <= 0.0 {
            member.size = 1.0;
        }
        // Nodes begin apart within their first attempt, or all would send it at once: about one does.
        let budget = self.rng.f64() + 1.0 / f64::from(self.settings.group_size);
        let Some(&i) = self.index.get(&member.server) else {
            if ready {
                self.stale_table = true;
                self.index.insert(member.server, self.servers.len());
                self.servers.push(Server::new(member, budget));
            }
            return;
        };
        let old = &mut self.servers[i];
        self.stale_table |= old.ready != ready || old.member.size != member.size;
        if member.since != old.member.since {
            // A restarted process owes nothing to what the old one did.
            let inflight = old.inflight;
            *old = Server { inflight, quiet_since: self.now, ..Server::new(member, budget) };
        } else {
            old.member = member;
        }
        old.ready = ready;
    }

    /// Rebuilds the table, once for all changes since the last request.
    fn refresh_table(&mut self) {
        if !std::mem::take(&mut self.stale_table) {
            return;
        }
        self.servers.retain(|s| s.ready || s.inflight > 0);
        self.index = self.servers.iter().enumerate().map(|(i, s)| (s.member.server, i)).collect();
        let ready = self.servers.iter().enumerate().filter(|(_, s)| s.ready);
        let (places, pairs): (Vec<u32>, Vec<_>) =
            ready.map(|(i, s)| (i as u32, (s.member.server, s.member.size))).unzip();
        self.size_total = pairs.iter().map(|p| p.1).sum();
        self.table = build_table(&pairs);
        for owner in &mut self.table {
            *owner = places[*owner as usize];
        }
    }

    // Routing.

    /// A part of capacity that a cold server surely has: it grows evenly from its start.
    fn warmth(&self, server: &Server) -> f64 {
        let ramp = self.settings.ramp_time;
        let age = self.now.saturating_sub(server.member.since);
        if server.member.since == 0 || age >= ramp {
            return 1.0;
        }
        let start = self.settings.start_capacity.clamp(0.0, 1.0);
        start + (1.0 - start) * age as f64 / ramp as f64
    }

    /// The part of its slots that a server carries now.
    fn share(&self, server: &Server) -> f64 {
        let warmth = self.warmth(server);
        let spent = warmth < 1.0 && server.budget < 1.0;
        let ejected = server.ejected.is_some() && !self.mood.panic;
        if spent || ejected {
            0.0
        } else {
            server.share.min(warmth * (COLD_CARE * self.settings.fall_multiple).max(1.0))
        }
    }

    /// Holds far more of this node's requests than its size explains.
    fn overfull(&self, server: &Server) -> bool {
        let mean = f64::from(self.inflight) / self.size_total * server.member.size;
        let held = f64::from(server.inflight);
        held > mean + OVERFLOW_MORE && held > OVERFLOW_MULTIPLE * mean
    }

    /// The walk. From the key's slot on, the first owner that carries the slot it is met on and
    /// is not overfull; for a key hotter than one owner, one of just as many successive owners
    /// as carry it. Where none qualifies, the first warm one that may be used at all.
    fn route(&mut self, id: RequestId) -> Option<usize> {
        self.refresh_table();
        let pending = &self.requests[&id];
        let mut need = self.key_share(pending.key);
        let repeatable = self.settings.classes[pending.class].semantics != Semantics::Unsafe;
        let mut seen: Vec<u32> = Vec::with_capacity(8);
        let mut chosen: Vec<(usize, f64)> = Vec::new();
        let mut fallback = None;
        let slots = if pending.attempts.is_empty() { WALK_SLOTS } else { TABLE_SLOTS };
        for step in 0..slots.min(self.table.len()) {
            let slot = (pending.slot + step) % TABLE_SLOTS;
            let owner = self.table[slot];
            if seen.contains(&owner) {
                continue;
            }
            let server = &self.servers[owner as usize];
            let tried = pending.attempts.iter().any(|a| a.member.server == server.member.server);
            let sick = server.health.get(pending.class).is_some_and(|health| health.bars(self.now));
            if tried || sick || !self.in_group(pending, &server.member) {
                continue;
            }
            seen.push(owner);
            if seen.len() > WALK_OWNERS {
                break;
            }
            let due = server.ejected.is_some_and(|until| self.now >= until && !server.trial);
            if due && repeatable && !self.settings.may_probe && chosen.is_empty() {
                return Some(owner as usize);
            }
            let share = self.share(server);
            if slot_level(slot) > share || self.overfull(server) {
                fallback = fallback.or((share >= FALLBACK_SHARE).then_some(owner as usize));
                continue;
            }
            let carries = share * server.member.size / self.size_total;
            chosen.push((owner as usize, carries));
            need -= HOT_LOAD * carries;
            if need <= 0.0 {
                break;
            }
        }
        let total: f64 = chosen.iter().map(|c| c.1).sum();
        let mut at = if chosen.len() > 1 { self.rng.f64() * total } else { 0.0 };
        let pick = chosen.iter().find(|c| {
            at -= c.1;
            at <= 0.0
        });
        pick.or(chosen.last()).map(|c| c.0).or(fallback)
    }

    /// The slot of a request: its key's, or for a keyless one the better of two random ones.
    fn slot_of(&mut self, key: Option<Key>) -> usize {
        if let Some(Key(key)) = key {
            let hash = xxh3_64_with_seed(&key.to_le_bytes(), KEY_SEED);
            return (hash % TABLE_SLOTS as u64) as usize;
        }
        let (a, b) = (self.rng.usize(0..TABLE_SLOTS), self.rng.usize(0..TABLE_SLOTS));
        self.refresh_table();
        let held = |slot: usize| {
            let server = self.table.get(slot).map(|&owner| &self.servers[owner as usize]);
            server.map_or(0.0, |s| f64::from(s.inflight) / s.member.size)
        };
        [a, b][usize::from(held(b) < held(a))]
    }

    // Hot keys: bounded counts of this node's own traffic, which is a sample of the fleet's.

    fn count_key(&mut self, key: Key) {
        if let Some(hot) = self.hot.iter_mut().find(|h| h.key == key) {
            hot.count += 1.0;
        } else if self.hot.len() < HOT_KEYS {
            self.hot.push(Hot { key, count: 1.0, error: 0.0 });
        } else if let Some(least) = self.hot.iter_mut().min_by(|a, b| a.count.total_cmp(&b.count)) {
            *least = Hot { key, count: least.count + 1.0, error: least.count };
        }
    }

    /// A key's part of all traffic. Half a request less, so that one met once is not hot; with few
    /// requests counted a second one is enough, as spreading costs nothing while memories are cold.
    fn key_share(&self, key: Option<Key>) -> f64 {
        let hot = key.and_then(|key| self.hot.iter().find(|h| h.key == key));
        let count = hot.map_or(0.0, |h| h.count - h.error);
        (count - count.sqrt()).max(0.0) / self.mood.taken.max(HOT_LEAST)
    }

    // Requests.

    fn on_request(&mut self, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        if request.class.0 >= self.settings.classes.len() {
            return out.push(Action::Refuse { id, retry_after: 0 });
        }
        self.mood.taken += 1.0;
        if let Some(key) = request.key {
            self.count_key(key);
        }
        self.retries = (self.retries + RETRY_RATIO).min(RETRY_BURST);
        let slot = self.slot_of(request.key);
        let over = self.over_share(request.tenant, request.repeat, slot);
        self.norms[request.class.0].rates[usize::from(over)] += 1.0;
        let class = &self.settings.classes[request.class.0];
        let ordered = request.key.filter(|_| class.in_order);
        // Where a late answer earns nothing, waiting for it only fills a server's queue.
        let useful = if class.late_share > 0.0 { class.deadline } else { class.aim - class.aim / 32 };
        let pending = Pending {
            class: request.class.0,
            slot,
            key: request.key,
            ordered,
            aim: self.now + class.aim.min(request.patience),
            deadline: self.now + request.patience.min(useful),
            attempts: Vec::new(),
            ended: false,
        };
        self.requests.insert(id, pending);
        if let Some(key) = ordered {
            self.turns.entry(key).or_default().queue.push_back(id);
        }
        if self.shed_now(request.class.0, slot, over) {
            self.conclude(id, out);
        } else {
            self.send_or_conclude(id, out);
        }
    }

    /// Another attempt for a request that has none out, or its final answer.
    fn send_or_conclude(&mut self, id: RequestId, out: &mut Vec<Action>) {
        match self.wait_for_turn(id) {
            Some(wait) if self.worth_holding(&self.requests[&id], wait) => return,
            Some(_) => return self.conclude(id, out),
            None => {}
        }
        let target = if self.may_send(&self.requests[&id]) { self.route(id) } else { None };
        let Some(target) = target else { return self.conclude(id, out) };
        let now = self.now;
        let limit = self.attempt_limit(&self.requests[&id], target);
        let server = &mut self.servers[target];
        if server.inflight == 0 {
            server.quiet_since = now;
        }
        server.trial |= server.ejected.is_some();
        server.budget -= 1.0;
        server.inflight += 1;
        server.health(self.requests[&id].class).sent(now);
        self.inflight += 1;
        self.mood.sends += 1.0;
        let member = server.member.clone();
        out.push(Action::Send { id, server: member.server, limit });
        let pending = self.requests.get_mut(&id).expect("held");
        pending.attempts.push(Attempt { member, sent: now, fate: Fate::Out });
    }

    /// The final answer when nothing more is tried: a refusal where it is lawful.
    fn conclude(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.may_refuse(&self.requests[&id]) {
            // Whom a refusal sends away comes back at once where nobody says when, and to no better place.
            // Where a late answer earns nothing, a repeat comes too late to be worth anything.
            let class = &self.settings.classes[self.requests[&id].class];
            let gone = class.late_share == 0.0 && self.settings.max_retry_after >= class.deadline;
            let advice = if gone { class.deadline } else { COME_BACK.min(self.settings.max_retry_after) };
            let retry_after = if self.settings.retry_after { advice } else { 0 };
            out.push(Action::Refuse { id, retry_after });
        } else {
            out.push(Action::Fail { id });
        }
        self.end(id, out);
    }

    /// The request has ended: nothing goes out for it any more, and what is out is withdrawn.
    fn end(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let still_out = pending.attempts.iter().enumerate().filter(|(_, a)| a.fate == Fate::Out);
        let still_out: Vec<u32> = still_out.map(|(n, _)| n as u32).collect();
        if self.settings.cancelling && !pending.ended {
            out.extend(still_out.iter().map(|&attempt| Action::Cancel { id, attempt }));
        }
        pending.ended = true;
        let ordered = pending.ordered;
        if still_out.is_empty() {
            self.requests.remove(&id);
            if let Some(turn) = ordered.and_then(|key| self.turns.get_mut(&key)) {
                turn.queue.retain(|&queued| queued != id);
            }
            ordered.into_iter().for_each(|key| self.give_turn(key, out));
        }
    }

    // Order. Guards against two requests of an in-order key running together or out of turn. A
    // key's turn is held until nothing of the request is out, so a silent server holds up its keys:
    // what waits is refused while its client can still be served elsewhere.

    /// For a request that may not be sent yet: about how long, `None` for one that has the turn.
    fn wait_for_turn(&self, id: RequestId) -> Option<Micros> {
        let pending = &self.requests[&id];
        let turn = self.turns.get(&pending.ordered?)?;
        let place = turn.queue.iter().position(|&queued| queued == id)?;
        let rest = turn.rests_until.saturating_sub(self.now);
        let free = place == 0 && (rest == 0 || !pending.attempts.is_empty());
        (!free).then(|| rest + place as u64 * self.norms[pending.class].mean as Micros)
    }

    /// Whether a request that waits for its turn may still be answered within its aim. The sweep
    /// must come by in time to answer those that may not.
    fn worth_holding(&self, pending: &Pending, wait: Micros) -> bool {
        let answer = self.now + wait + self.norms[pending.class].mean as Micros;
        answer < pending.aim && self.now + 2 * SWEEP < pending.deadline
    }

    /// Lets the first request of a key go if the key does not rest; forgets an idle key.
    fn give_turn(&mut self, key: Key, out: &mut Vec<Action>) {
        let Some(turn) = self.turns.get(&key) else { return };
        match turn.queue.front() {
            Some(&id) if self.requests[&id].attempts.is_empty() => self.send_or_conclude(id, out),
            None if self.now >= turn.rests_until => drop(self.turns.remove(&key)),
            _ => {}
        }
    }

    fn shed_held(&mut self, out: &mut Vec<Action>) {
        let queued: Vec<RequestId> = self.turns.values().flat_map(|t| t.queue.iter().copied()).collect();
        for id in queued {
            if self.requests.get(&id).is_some_and(|p| p.attempts.is_empty()) {
                self.send_or_conclude(id, out);
            }
        }
    }

    // The one place where it is decided whether a resend or a refusal is lawful.

    /// Whether a server drops the repeats of a keyed request that may have run.
    fn in_group(&self, pending: &Pending, member: &Member) -> bool {
        let first = pending.attempts.iter().find(|a| a.fate != Fate::NeverRan);
        match (self.settings.classes[pending.class].semantics, first) {
            (Semantics::Keyed { scope: KeyScope::Zone, .. }, Some(a)) => a.member.zone == member.zone,
            (Semantics::Keyed { scope: KeyScope::Cell, .. }, Some(a)) => a.member.cell == member.cell,
            _ => true,
        }
    }

    fn may_send(&self, pending: &Pending) -> bool {
        let out = pending.attempts.iter().any(|a| a.fate == Fate::Out);
        if self.now >= pending.deadline
            || pending.attempts.len() >= self.settings.max_attempts as usize
            || (out && !self.settings.second_copies)
        {
            return false;
        }
        let first = pending.attempts.iter().find(|a| a.fate != Fate::NeverRan);
        match (self.settings.classes[pending.class].semantics, first) {
            (Semantics::Safe, _) | (_, None) => true,
            (Semantics::Unsafe, Some(_)) => false,
            // A margin for the way to the server.
            (Semantics::Keyed { ttl, .. }, Some(a)) => self.now < a.sent + ttl - ttl / 10,
        }
    }

    fn may_refuse(&self, pending: &Pending) -> bool {
        match self.settings.classes[pending.class].semantics {
            Semantics::Safe | Semantics::Keyed { scope: KeyScope::All, .. } => true,
            _ => pending.attempts.iter().all(|a| a.fate == Fate::NeverRan),
        }
    }

    /// Time-out of the next attempt: what is left, less where a further one could follow.
    fn attempt_limit(&self, pending: &Pending, target: usize) -> Micros {
        let left = pending.deadline.saturating_sub(self.now).max(1);
        let last = pending.attempts.len() + 1 >= self.settings.max_attempts as usize
            || !self.has_next(pending, target);
        // Resends inside a small cell would crowd the neighbours of a slow server.
        let semantics = self.settings.classes[pending.class].semantics;
        let narrow = matches!(semantics, Semantics::Unsafe | Semantics::Keyed { scope: KeyScope::Cell, .. });
        if last || narrow {
            return left;
        }
        let late = (LATE * self.norms[pending.class].mean) as Micros;
        // A second attempt without time to be answered only wastes work.
        if late * 2 > left {
            left
        } else {
            late.max(1)
        }
    }

    /// Whether a server beside this one could take a further attempt. Where none could, an early time-out
    /// would only refuse what is still being served.
    fn has_next(&self, pending: &Pending, target: usize) -> bool {
        self.servers.iter().enumerate().any(|(i, server)| {
            let out = (server.ejected.is_some() && !self.mood.panic)
                || server.health.get(pending.class).is_some_and(|health| health.bars(self.now));
            let tried = pending.attempts.iter().any(|a| a.member.server == server.member.server);
            i != target && server.ready && !out && !tried && self.in_group(pending, &server.member)
        })
    }

    // Outcomes.

    fn on_closed(&mut self, closed: Closed, out: &mut Vec<Action>) {
        let Closed { id, server, outcome, .. } = closed;
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = pending.attempts.get_mut(closed.attempt as usize) else { return };
        if attempt.fate != Fate::Out || attempt.member.server != server {
            return;
        }
        attempt.fate = fate_of(outcome, self.settings.full_may_have_run);
        let (class, ended) = (pending.class, pending.ended);
        let out_still = pending.attempts.iter().any(|a| a.fate == Fate::Out);
        let doubt = matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        if let Some(key) = pending.ordered.filter(|_| doubt) {
            let delay = self.settings.settle_after_doubt;
            self.turns.entry(key).or_default().rests_until = self.now + delay;
            out.push(Action::SetTimer { delay, timer: TimerId(TIMER_REST.wrapping_add(key.0)) });
        }
        self.observe(class, &closed, out);
        if ended || closed.done || outcome == Outcome::Ok {
            self.end(id, out);
        } else if !out_still {
            // Resends of what may have run or was turned away as full feed a jam: there is a budget.
            let free = outcome == Outcome::ConnectFailed;
            let paid = free || self.retries >= 1.0;
            self.retries -= f64::from(u8::from(paid && !free));
            if paid && outcome != Outcome::Moot {
                self.send_or_conclude(id, out);
            } else {
                self.conclude(id, out);
            }
        }
    }

    /// What an outcome tells of its server.
    fn observe(&mut self, class: usize, closed: &Closed, out: &mut Vec<Action>) {
        let Some(&i) = self.index.get(&closed.server) else { return };
        let spent = closed.spent as f64;
        let timed_out = closed.outcome == Outcome::Timeout;
        let norm = &mut self.norms[class];
        let server = &mut self.servers[i];
        self.inflight = self.inflight.saturating_sub(1);
        server.inflight = server.inflight.saturating_sub(1);
        // What was out when it was ejected tells nothing new: one event would count many times over.
        let sent = self.now.saturating_sub(closed.spent);
        let earlier = server.ejected.is_some() && sent < server.out_since;
        server.trial &= earlier;
        let answer = matches!(closed.outcome, Outcome::Ok | Outcome::Full | Outcome::Error);
        let lost = server.health(class).closed(self.now, sent, answer, timed_out);
        if answer {
            server.quiet_since = self.now;
        }
        // A server that holds requests of ours and makes no connection has no room for more. One full
        // owner is a local matter: only where the next one is full too, the fleet may be.
        let holds = server.inflight > 0;
        let full = closed.outcome == Outcome::Full || (closed.outcome == Outcome::ConnectFailed && holds);
        if full || closed.outcome == Outcome::Ok {
            server.turned += 0.15 * (f64::from(u8::from(full)) - server.turned);
        }
        let util = self.settings.util_field.and_then(|field| closed.load.get(field));
        server.util = util.copied().or(server.util);
        let answered = closed.outcome == Outcome::Ok;
        let mut late = false;
        // An attempt that timed out was at least as slow as that. Where no word of its server came after
        // it and few servers are out, that one hangs: no sign of more work than the others can do.
        let silent = server.quiet_since + closed.spent <= self.now;
        let hung = timed_out && silent && self.mood.ejected <= FEW_OUT;
        if answered || (timed_out && !lost) {
            late = !hung && (timed_out || closed.spent > self.settings.classes[class].aim);
            let sign = if hung { self.mood.late } else { f64::from(u8::from(late)) };
            self.mood.late += 0.03 * (sign - self.mood.late);
            server.ratio += 0.15 * ((spent / norm.mean.max(1.0)).min(5.0) - server.ratio);
            server.answers += 1;
        }
        if answered {
            self.mood.served += 1.0;
            norm.mean += 0.02 * (spent - norm.mean);
        }
        let crowded = full && !server.turns_away_idle();
        if full {
            let yields = server.full_yield();
            server.share = (server.share * yields).max(LEAST_SHARE);
        }
        if answered || full {
            server.reinstate();
        }
        let unlinked = f64::from(u8::from(closed.outcome == Outcome::ConnectFailed));
        self.mood.unlinked += 0.03 * (unlinked - self.mood.unlinked);
        self.servers[i].linked = Some(self.now);
        self.close_rested(i, SWEEP, out);
        // Errors, resets and time-outs are one kind of symptom. Where the whole fleet shows it, moving
        // requests on helps nobody, so only what stands out is ejected. No connection to a server that
        // holds nothing of ours is proof by itself; so is any failure of a trial.
        let failed = matches!(closed.outcome, Outcome::Error | Outcome::Reset | Outcome::Timeout);
        let error = closed.outcome == Outcome::Error;
        let counts = error || answered || (timed_out && !silent);
        let sick = lost || (counts && self.observe_class(i, class, !answered));
        let server = &mut self.servers[i];
        // What one class suffers says nothing of the others.
        if (failed || answered) && !sick {
            let failed = f64::from(u8::from(failed));
            server.failing += 0.15 * (failed - server.failing);
            self.mood.failing += 0.01 * (failed - self.mood.failing);
        }
        let dead = closed.outcome == Outcome::ConnectFailed && !full;
        let stands_out = server.failing > FAILING.max(FAILING_MORE * self.mood.failing);
        if !earlier && (dead || (failed && (stands_out || server.ejected.is_some()))) {
            self.eject(i);
        }
        if (late && self.mood.late > LATE_PART) || (crowded && closed.attempt > 0) {
            self.hold_down();
        }
    }

    /// How long connections that nothing is on are kept. Left alone every node comes to keep one to each
    /// server, and where there are more nodes than a server takes connections, most get none. A node may
    /// keep its part of what all may, which at its pace it does by giving one up after `part / pace`. A part
    /// of one makes a use again before that likely; below, what is kept mostly stands in others' way, so the
    /// less likely the shorter, unless handshakes are dear.
    fn link_rest(&self) -> Micros {
        let group = f64::from(self.settings.group_size);
        let size = self.size_total / self.servers.len().max(1) as f64;
        let dear = self.settings.handshake_price - group / 100.0 * self.settings.connection_price;
        let kept = (LINKS_KEPT * (dear / LINKS_DEAR).max(1.0).powi(2)).min(LINKS_MOST);
        let part = kept * (2.0 - self.mood.unlinked / LINKS_SHORT).clamp(0.0, 1.0) * size / group;
        let worth = (part * (1.0 + dear / LINK_PRICE).max(0.0)).min(1.0);
        let pace = self.mood.sends / self.window / self.servers.len().max(1) as f64;
        (worth * part / pace.max(1e-6) * 1e6) as Micros
    }

    /// Closes the connections to a server that nothing is on, if by `ahead` from now they have rested.
    fn close_rested(&mut self, i: usize, ahead: Micros, out: &mut Vec<Action>) {
        let rest = self.link_rest();
        let server = &mut self.servers[i];
        if server.inflight == 0 && server.linked.is_some_and(|since| since + rest <= self.now + ahead) {
            server.linked = None;
            out.push(Action::CloseIdle(server.member.server));
        }
    }

    /// Counts an answer for its class; whether the server is passed by for that class from now on.
    fn observe_class(&mut self, i: usize, class: usize, error: bool) -> bool {
        let norm = &mut self.norms[class];
        let sign = f64::from(u8::from(error));
        norm.failing += 0.02 * (sign - norm.failing);
        let everywhere = norm.failing > PANIC;
        let health = self.servers[i].health(class);
        health.failing += SICK_STEP * (sign - health.failing);
        if !error {
            health.trial = false;
            if health.failing < 0.05 {
                health.times = 0;
            }
        }
        let sick = error && health.failing > SICK && !everywhere;
        if sick && self.now >= health.until {
            self.rest_class(i, class);
        }
        sick
    }

    /// Passes a server by for a class, longer each time.
    fn rest_class(&mut self, i: usize, class: usize) {
        let span = (EJECTION << self.servers[i].health(class).times.min(6)).min(EJECTION_LONGEST);
        let span = self.jitter(span);
        self.servers[i].health(class).rest(self.now, span);
    }

    /// Servers that are crowded jam together: holds down what is in flight.
    fn hold_down(&mut self) {
        let keep = 1.0 - (LIMIT_CUT * self.window / self.mood.sends.max(1.0)).min(0.2);
        let held = self.mood.usual.max(f64::from(self.inflight)) + 1.0;
        self.mood.limit = (self.mood.limit.min(held) * keep).max(LEAST_LIMIT);
    }

    /// Takes a server out until a trial or probe succeeds.
    fn eject(&mut self, i: usize) {
        let span = (EJECTION << self.servers[i].ejections.min(6)).min(EJECTION_LONGEST);
        let until = self.now + self.jitter(span);
        let server = &mut self.servers[i];
        (server.ejected, server.trial, server.out_since) = (Some(until), false, self.now);
        server.ejections += 1;
    }

    fn on_probed(&mut self, id: ServerId, outcome: Outcome) {
        match self.index.get(&id) {
            Some(&i) if outcome == Outcome::Ok => self.servers[i].reinstate(),
            Some(&i) => self.eject(i),
            None => {}
        }
    }

    // The regular look-over.

    fn sweep(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { delay: SWEEP, timer: TIMER_SWEEP });
        self.shed_held(out);
        let slowest = self.norms.iter().map(|n| n.mean).fold(0.0, f64::max);
        let silence = ((SILENCE * slowest) as Micros).max(SILENCE_LEAST);
        let (mut ejected, mut total, mut able) = (0.0, 0.0, 0.0);
        // What the fleet serves tells what a server can do; where it serves next to nothing, as when all of
        // it is cold, a server surely does one request of the slowest class at a time, for all nodes.
        let serves = self.mood.served / self.window / self.mood.able.max(1.0);
        let surely = 1e6 / slowest.max(1.0) / f64::from(self.settings.group_size);
        let pace = COLD_CARE * self.settings.fall_multiple * serves.max(surely) / 10.0;
        for i in 0..self.servers.len() {
            let server = &self.servers[i];
            if !server.ready {
                continue;
            }
            self.close_rested(i, 0, out);
            let server = &self.servers[i];
            let (size, warmth) = (server.member.size, self.warmth(server));
            let gain = pace * size * warmth;
            total += size;
            able += size * warmth * f64::from(u8::from(server.ejected.is_none()));
            let quiet = server.inflight > 0 && self.now > server.quiet_since + silence;
            if quiet && server.ejected.is_none() {
                self.eject(i);
            }
            // It speaks, but not to a class: a release may swallow one and serve the others. Waiting for the
            // time-outs would lose all that is sent meanwhile, and count them against the whole server and
            // the limit. One attempt alone may just be heavy. Hurts a class whose work varies far more than
            // the others': its server is passed by for it for a second.
            for class in 0..self.servers[i].health.len() {
                let health = &self.servers[i].health[class];
                let mute = health.out > 1 && self.now > health.quiet_since + silence;
                if mute && !quiet && self.now >= health.until && self.norms[class].failing <= PANIC {
                    self.rest_class(i, class);
                }
            }
            let server = &mut self.servers[i];
            server.budget = (server.budget + gain).min(1.0 + gain);
            match server.ejected {
                Some(until) => {
                    ejected += size;
                    if self.settings.may_probe && self.now >= until && !server.trial {
                        server.trial = true;
                        out.push(Action::Probe(server.member.server));
                    }
                }
                None => server.correct_share(),
            }
        }
        self.mood.able = able;
        self.mood.limit *= LIMIT_REGAIN;
        self.mood.usual += 0.1 * (f64::from(self.inflight) - self.mood.usual);
        self.mood.ejected = ejected / total.max(f64::MIN_POSITIVE);
        self.mood.panic = self.mood.ejected > PANIC;
        self.forget();
    }

    /// Lets the counts of traffic fade.
    fn forget(&mut self) {
        self.mood.taken *= HOT_KEEP;
        self.mood.sends *= HOT_KEEP;
        self.mood.served *= HOT_KEEP;
        self.window = self.window * HOT_KEEP + SWEEP as f64 / 1e6;
        for hot in &mut self.hot {
            hot.count *= HOT_KEEP;
            hot.error *= HOT_KEEP;
        }
        self.hot.retain(|h| h.count > 0.3);
        let rates = self.norms.iter_mut().flat_map(|n| &mut n.rates);
        rates.chain(&mut self.tenant_rates).for_each(|rate| *rate *= HOT_KEEP);
    }

    // Shedding.

    /// Counts a tenant's request and tells whether it goes beyond the tenant's quota, taking
    /// this node's traffic for its even part of all. A client's retries belong to its first try: counted
    /// anew, each refusal would put more of the tenant beyond its quota. By key, as the limit refuses:
    /// the retry of one that is beyond is beyond as well.
    fn over_share(&mut self, tenant: Option<TenantId>, repeat: bool, slot: usize) -> bool {
        let Some(TenantId(t)) = tenant else { return false };
        let Some(rate) = self.tenant_rates.get_mut(t) else { return false };
        *rate += f64::from(u8::from(!repeat));
        let rate = *rate / self.window;
        let quota = self.settings.tenants[t].quota_per_s / f64::from(self.settings.group_size);
        quota > 0.0 && rate > quota && slot_level(slot) > quota / rate
    }

    /// Worth per unit of work, as far as a node can tell.
    fn value(&self, class: usize, over: bool) -> f64 {
        let points = self.settings.classes[class].points;
        let value = match self.settings.worth_by {
            WorthBy::Work => points,
            WorthBy::Request => points / self.norms[class].mean.max(1.0),
        };
        value * if over { self.settings.over_share_worth } else { 1.0 }
    }

    /// Whether to refuse a new request: beyond the limit, by worth and by key.
    fn shed_now(&mut self, class: usize, slot: usize, over: bool) -> bool {
        let value = self.value(class, over);
        let (mut lower, mut higher) = (0.0, 0.0);
        for (c, norm) in self.norms.iter().enumerate() {
            for (over, rate) in [(false, norm.rates[0]), (true, norm.rates[1])] {
                let other = self.value(c, over);
                lower += if other < value { rate } else { 0.0 };
                higher += if other > value { rate } else { 0.0 };
            }
        }
        let reserve = if higher > 0.0 { RESERVE * higher / (lower + higher) } else { 0.0 };
        let spread = if self.settings.warm_keys { LEVELS } else { 0.0 };
        f64::from(self.inflight) + self.rng.f64()
            >= self.mood.limit * (1.0 - reserve) * (1.0 + spread * (0.5 - slot_level(slot)))
    }

    /// Half to one and a half times the span, so that nodes do not act in step.
    fn jitter(&mut self, span: Micros) -> Micros {
        span / 2 + self.rng.u64(0..=span)
    }
}

impl Server {
    fn new(member: Member, budget: f64) -> Self {
        Server {
            ready: member.state == ServerState::InService,
            member,
            inflight: 0,
            quiet_since: 0,
            share: 1.0,
            ratio: 1.0,
            answers: 0,
            failing: 0.0,
            ejections: 0,
            ejected: None,
            out_since: 0,
            trial: false,
            budget,
            turned: 0.0,
            util: None,
            health: Vec::new(),
            linked: None,
        }
    }

    fn health(&mut self, class: usize) -> &mut Health {
        if self.health.len() <= class {
            self.health.resize(class + 1, Health::default());
        }
        &mut self.health[class]
    }

    /// Whether what it turns away is not for want of room: it limits its rate, or its front does, or it
    /// turns away by chance. That never ran and goes on to the next owner for the price of a round trip,
    /// while slots that it yielded would crowd the others. Hurts where reports are wrong or old: a full
    /// server is then asked again and again. Without reports, full is full.
    fn turns_away_idle(&self) -> bool {
        self.util.is_some_and(|util| util < IDLE)
    }

    /// What a full answer leaves of its share. One that turns most away with its cores idle yields a
    /// little each time, down to about what it takes.
    fn full_yield(&self) -> f64 {
        match self.turns_away_idle() {
            false => FULL_YIELD,
            true if self.turned > TURNED_MOST => TURNED_YIELD,
            true => 1.0,
        }
    }

    /// Back from ejection, with few slots at first.
    fn reinstate(&mut self) {
        if self.ejected.take().is_some() {
            self.share = BACK_SHARE;
            self.trial = false;
            self.failing = 0.0;
        }
    }

    /// Fast down, slow up: a server slower than its classes' norms carries fewer of its slots.
    fn correct_share(&mut self) {
        if self.ratio > SLOW && self.answers >= 3 {
            self.share = (self.share * SLOW / self.ratio).max(LEAST_SHARE);
            self.answers = 0;
        } else if self.ratio <= SLOW {
            self.share = (self.share + REGAIN).min(1.0);
            if self.share >= 1.0 {
                self.ejections = 0;
            }
        }
    }
}
