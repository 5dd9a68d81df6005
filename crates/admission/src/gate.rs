//! The gate of one pool: tenants by weight, then keys inside a tenant.
//!
//! Both levels are start-time fair queueing (Goyal, Vin, Cheng 1996) over expected work. A flow (a tenant, or a queue of
//! keys) has a tag, the virtual time at which its next request would start; the least tag is served, and moves on by the
//! request's work over the flow's weight. A flow that was idle starts at the present virtual time: what it did not use
//! is not saved up. Over any time in which two flows both wait, their work differs by one request of each at most.
//!
//! Keys are hashed into a fixed number of queues by a salt that changes every [`SALT_SPAN`], so that two keys share one
//! for so long at most. What waits sits in a slab of a fixed size, linked by queue; where that is full, the longest queue
//! gives up its last for another one's first.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::hint::Line;
use crate::room::{Ended, Room};
use crate::Micros;

/// Queues of keys a tenant.
pub const QUEUES: usize = 512;
/// How long two keys may share a queue.
pub const SALT_SPAN: Micros = 10_000_000;
/// Tenants at a gate, at most: more share the last one's place.
pub const MOST_TENANTS: usize = 1_024;
/// The greatest weight of a tenant; 0 counts as the least.
pub const MOST_WEIGHT: u32 = 1_000_000;
/// A request's expected work is taken for this at least and at most, in microseconds.
pub const WORK: (Micros, Micros) = (100, 120_000_000);
/// Unit of virtual time: a microsecond of work at weight 1.
const UNIT: u64 = 1 << 20;

/// How a gate is made.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Requests that may wait at a time.
    pub waiting: u32,
    /// The longest that one waits.
    pub longest_wait: Micros,
    /// The longest advice when to come back.
    pub longest_hint: Micros,
    /// Requests that may be out at a time, whatever is learned.
    pub most_out: u32,
    /// Time kept for the way of an answer back to its client.
    pub margin: Micros,
    /// For the salts.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            waiting: 4_096,
            longest_wait: 500_000,
            longest_hint: 30_000_000,
            most_out: 20_000,
            margin: 20_000,
            seed: 0,
        }
    }
}

/// A request at the gate.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Its number; no two that wait or are out share one.
    pub id: u64,
    /// Whose it is.
    pub tenant: u64,
    /// The tenant's weight, 1 to [`MOST_WEIGHT`].
    pub weight: u32,
    /// Its key's hash.
    pub key: u64,
    /// Expected work, in microseconds.
    pub work: Micros,
    /// When it first came: one that the pool refused, so that nothing of it ran, may come again.
    pub came: Micros,
    /// Its client gives up then.
    pub deadline: Micros,
}

/// What becomes of an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It goes to the pool; its end is to be told.
    Admit,
    /// It waits: a [`Ruling`] follows.
    Hold,
    /// It is answered at once; the time to come back, where one would help.
    Refuse(Option<Micros>),
}

/// What becomes of one that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ruling {
    /// It goes to the pool; its end is to be told.
    Admit(u64),
    /// It is answered at once; the time to come back, where one would help.
    Refuse(u64, Option<Micros>),
}

const NONE: u32 = u32::MAX;

#[derive(Clone, Copy, Debug)]
struct Waiter {
    id: u64,
    work: u64,
    /// Admitted later than that, it could not be answered in time.
    until: Micros,
    tenant: u32,
    queue: u32,
    before: u32,
    after: u32,
}

/// The waiting requests of a queue, by their places in the slab.
#[derive(Clone, Copy, Debug)]
struct Queue {
    tag: u64,
    first: u32,
    last: u32,
    length: u32,
    work: u64,
    line: Line,
}

const EMPTY: Queue =
    Queue { tag: 0, first: NONE, last: NONE, length: 0, work: 0, line: Line::PROMISED_NOTHING };

struct Tenant {
    name: u64,
    weight: u64,
    tag: u64,
    /// Virtual time among its queues.
    virt: u64,
    length: u32,
    work: u64,
    queues: Vec<Queue>,
    /// Queues in which something waits.
    active: Vec<u32>,
    /// Since when nothing of it waited or came.
    seen: Micros,
}

/// The gate of one pool.
pub struct Gate {
    settings: Settings,
    room: Room,
    now: Micros,
    virt: u64,
    tenants: Vec<Tenant>,
    names: BTreeMap<u64, u32>,
    slab: Vec<Waiter>,
    free: Vec<u32>,
    places: HashMap<u64, u32>,
    /// No one that waits has to be given up before that.
    earliest: Micros,
}

impl Gate {
    /// A gate at which nothing waits.
    pub fn new(settings: Settings) -> Gate {
        let waiting = settings.waiting.clamp(1, 1 << 20) as usize;
        Gate {
            room: Room::new(settings.most_out),
            now: 0,
            virt: 0,
            tenants: Vec::new(),
            names: BTreeMap::new(),
            slab: Vec::with_capacity(waiting),
            free: Vec::with_capacity(waiting),
            places: HashMap::with_capacity(waiting),
            earliest: Micros::MAX,
            settings: Settings { waiting: waiting as u32, ..settings },
        }
    }

    /// The pool's room.
    pub fn room(&self) -> &Room {
        &self.room
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.places.len()
    }

    /// When [`Gate::next`] is due though nothing happens.
    pub fn due(&self) -> Option<Micros> {
        (!self.places.is_empty()).then_some(self.earliest)
    }

    /// Takes a request. Where no more may wait, the longest queue may have to give up its last for it: `out` tells.
    pub fn arrive(&mut self, now: Micros, arrival: Arrival, out: &mut Vec<Ruling>) -> Verdict {
        self.now = self.now.max(now);
        let now = self.now;
        let work = arrival.work.clamp(WORK.0, WORK.1);
        let tenant = self.tenant(arrival.tenant, arrival.weight);
        let queue = self.queue(arrival.key);
        if self.places.is_empty() && self.room.is_free() {
            self.room.sent();
            self.charge(tenant, queue, work);
            return Verdict::Admit;
        }
        // What is known of the pool's answers, twice for those that take longer.
        let needs = 2 * self.room.takes().min(WORK.1) + self.settings.margin;
        let last = arrival.deadline.saturating_sub(needs);
        let until = last.min(arrival.came.saturating_add(self.settings.longest_wait));
        let wait = self.wait(tenant, queue);
        if now.saturating_add(wait) > until || self.places.contains_key(&arrival.id) {
            return Verdict::Refuse(self.hint(tenant, queue, wait));
        }
        if self.places.len() >= self.settings.waiting as usize && !self.make_room(tenant, queue, out) {
            return Verdict::Refuse(self.hint(tenant, queue, wait));
        }
        let waiter = Waiter { id: arrival.id, work, until, tenant, queue, before: NONE, after: NONE };
        self.push(waiter);
        self.earliest = self.earliest.min(until);
        Verdict::Hold
    }

    /// One that was admitted has ended, after this long at the pool. [`Gate::next`] is due.
    pub fn done(&mut self, now: Micros, ended: Ended, took: Micros) {
        self.now = self.now.max(now);
        self.room.done(self.now, ended, took);
    }

    /// The client of one that waits is gone; `false` where it does not wait.
    pub fn gone(&mut self, id: u64) -> bool {
        let place = self.places.get(&id).copied();
        place.map(|place| self.unlink(place)).is_some()
    }

    /// Answers all that waits of a tenant at once: it is deleted, or its pool is empty.
    pub fn end(&mut self, now: Micros, tenant: u64, out: &mut Vec<Ruling>) {
        self.now = self.now.max(now);
        let Some(&index) = self.names.get(&tenant) else { return };
        let active = self.tenants[index as usize].active.clone();
        for queue in active {
            while self.tenants[index as usize].queues[queue as usize].first != NONE {
                let first = self.tenants[index as usize].queues[queue as usize].first;
                out.push(Ruling::Refuse(self.slab[first as usize].id, None));
                self.unlink(first);
            }
        }
    }

    /// Lets go what there is room for, and answers those who can no longer be served in time.
    pub fn next(&mut self, now: Micros, out: &mut Vec<Ruling>) {
        self.now = self.now.max(now);
        if self.now >= self.earliest {
            self.give_up(out);
        }
        while self.room.is_free() {
            let Some((tenant, queue)) = self.least() else { break };
            let first = self.tenants[tenant as usize].queues[queue as usize].first;
            let waiter = self.slab[first as usize];
            self.unlink(first);
            self.room.sent();
            self.charge(tenant, queue, waiter.work);
            out.push(Ruling::Admit(waiter.id));
        }
        if self.places.is_empty() {
            self.earliest = Micros::MAX;
        }
    }

    /// Has the longest queue of the tenant with the most for its weight give up its last, unless that is the queue that
    /// asks, or no longer than it.
    fn make_room(&mut self, tenant: u32, queue: u32, out: &mut Vec<Ruling>) -> bool {
        let most = |(n, of): &(usize, &Tenant)| (of.work / of.weight, std::cmp::Reverse(*n));
        let Some((index, of)) = self.tenants.iter().enumerate().max_by_key(most) else { return false };
        let longest = of.active.iter().max_by_key(|at| (of.queues[**at as usize].work, **at));
        let Some(&longest) = longest else { return false };
        let asks = &self.tenants[tenant as usize];
        let shorter = asks.queues[queue as usize].work < of.queues[longest as usize].work;
        let lighter = asks.work / asks.weight < of.work / of.weight;
        if !(if index == tenant as usize { shorter } else { lighter }) {
            return false;
        }
        let last = of.queues[longest as usize].last;
        let id = self.slab[last as usize].id;
        self.unlink(last);
        let wait = self.wait(index as u32, longest);
        out.push(Ruling::Refuse(id, self.hint(index as u32, longest, wait)));
        true
    }

    /// Refuses all whose time is up, and finds whose is up next.
    fn give_up(&mut self, out: &mut Vec<Ruling>) {
        self.earliest = Micros::MAX;
        for place in 0..self.slab.len() as u32 {
            let waiter = self.slab[place as usize];
            if self.places.get(&waiter.id) != Some(&place) {
                continue;
            }
            if self.now < waiter.until {
                self.earliest = self.earliest.min(waiter.until);
                continue;
            }
            let wait = self.wait(waiter.tenant, waiter.queue);
            self.unlink(place);
            out.push(Ruling::Refuse(waiter.id, self.hint(waiter.tenant, waiter.queue, wait)));
        }
    }

    /// The tenant's place; where there are too many, that of one that has nothing going on.
    fn tenant(&mut self, name: u64, weight: u32) -> u32 {
        let weight = u64::from(weight.clamp(1, MOST_WEIGHT));
        if let Some(&index) = self.names.get(&name) {
            let tenant = &mut self.tenants[index as usize];
            (tenant.weight, tenant.seen) = (weight, self.now);
            return index;
        }
        let fresh = Tenant {
            name,
            weight,
            tag: 0,
            virt: 0,
            length: 0,
            work: 0,
            queues: vec![EMPTY; QUEUES],
            active: Vec::with_capacity(QUEUES),
            seen: self.now,
        };
        if self.tenants.len() < MOST_TENANTS {
            self.tenants.push(fresh);
            let index = (self.tenants.len() - 1) as u32;
            self.names.insert(name, index);
            return index;
        }
        let quiet = self.tenants.iter().enumerate().filter(|(_, tenant)| tenant.length == 0);
        let Some((index, _)) = quiet.min_by_key(|(_, tenant)| tenant.seen) else {
            return (MOST_TENANTS - 1) as u32;
        };
        let old = std::mem::replace(&mut self.tenants[index], fresh);
        self.names.remove(&old.name);
        self.names.insert(name, index as u32);
        index as u32
    }

    /// The queue of a key, for now.
    fn queue(&self, key: u64) -> u32 {
        let salt = self.settings.seed.wrapping_add(self.now / SALT_SPAN);
        (xxh3_64_with_seed(&key.to_le_bytes(), salt) % QUEUES as u64) as u32
    }

    /// Moves the tags of a queue and its tenant on by a request that is let go.
    fn charge(&mut self, tenant: u32, queue: u32, work: u64) {
        let of = &mut self.tenants[tenant as usize];
        self.virt = self.virt.max(of.tag);
        of.tag = of.tag.max(self.virt) + work * UNIT / of.weight;
        let flow = &mut of.queues[queue as usize];
        of.virt = of.virt.max(flow.tag);
        flow.tag = flow.tag.max(of.virt) + work * UNIT;
    }

    /// The queue whose turn it is.
    fn least(&self) -> Option<(u32, u32)> {
        let waits = self.tenants.iter().enumerate().filter(|(_, tenant)| tenant.length > 0);
        let (index, tenant) = waits.min_by_key(|(index, tenant)| (tenant.tag, *index))?;
        let queue =
            tenant.active.iter().min_by_key(|queue| (tenant.queues[**queue as usize].tag, **queue))?;
        Some((index as u32, *queue))
    }

    /// How long one that comes now to this queue would wait: the work of all that is let go before it, at the pace at
    /// which the pool serves.
    fn wait(&self, tenant: u32, queue: u32) -> Micros {
        let of = &self.tenants[tenant as usize];
        let flow = &of.queues[queue as usize];
        // Its tag, when all that waits before it in its own queue has gone.
        let start = flow.tag.max(of.virt) / UNIT + flow.work;
        let before = |other: &Queue| {
            let lead = start.saturating_sub(other.tag.max(of.virt) / UNIT);
            lead.min(other.work)
        };
        let inside: u64 = of.active.iter().map(|other| before(&of.queues[*other as usize])).sum();
        // Its tenant's tag by then, against the other tenants' work.
        let ends = of.tag.max(self.virt) / UNIT + inside / of.weight;
        let others =
            self.tenants.iter().enumerate().filter(|(n, other)| *n != tenant as usize && other.length > 0);
        let outside: u64 = others
            .map(|(_, other)| {
                let lead = ends.saturating_sub(other.tag.max(self.virt) / UNIT).saturating_mul(other.weight);
                lead.min(other.work)
            })
            .sum();
        let waiting: u64 = self.tenants.iter().map(|tenant| u64::from(tenant.length)).sum();
        let work: u64 = self.tenants.iter().map(|tenant| tenant.work).sum();
        let each = work as f64 / waiting.max(1) as f64;
        let ahead = (inside + outside) as f64 / each.max(1.0);
        let rate = self.room.rate();
        // Nothing is known of the pool yet: one that waits finds out.
        if rate <= 0.0 {
            return 0;
        }
        (ahead * 1e6 / rate) as Micros
    }

    /// When to come back: once what waits before it is gone, and after those who were sent away before it, at the pace
    /// of its queue's share.
    fn hint(&mut self, tenant: u32, queue: u32, wait: Micros) -> Option<Micros> {
        let rate = self.room.rate();
        if rate <= 0.0 {
            return None;
        }
        let weights: u64 =
            self.tenants.iter().filter(|other| other.length > 0).map(|other| other.weight).sum();
        let of = &mut self.tenants[tenant as usize];
        let part = of.weight as f64 / weights.max(of.weight) as f64;
        let share = rate * part / of.active.len().max(1) as f64;
        let interval = (1e6 / share.max(1e-6)) as Micros;
        of.queues[queue as usize].line.promise(self.now, wait, interval, self.settings.longest_hint)
    }

    fn push(&mut self, waiter: Waiter) {
        let of = &mut self.tenants[waiter.tenant as usize];
        // A tenant that was idle begins at the present.
        if of.length == 0 {
            of.tag = of.tag.max(self.virt);
        }
        let flow = &mut of.queues[waiter.queue as usize];
        if flow.length == 0 {
            flow.tag = flow.tag.max(of.virt);
            of.active.push(waiter.queue);
        }
        let place = self.free.pop().unwrap_or(self.slab.len() as u32);
        let linked = Waiter { before: flow.last, ..waiter };
        if place as usize == self.slab.len() {
            self.slab.push(linked);
        } else {
            self.slab[place as usize] = linked;
        }
        match flow.last {
            NONE => flow.first = place,
            last => self.slab[last as usize].after = place,
        }
        flow.last = place;
        flow.length += 1;
        flow.work += waiter.work;
        of.length += 1;
        of.work += waiter.work;
        self.places.insert(waiter.id, place);
    }

    fn unlink(&mut self, place: u32) {
        let waiter = self.slab[place as usize];
        let of = &mut self.tenants[waiter.tenant as usize];
        let flow = &mut of.queues[waiter.queue as usize];
        match waiter.before {
            NONE => flow.first = waiter.after,
            before => self.slab[before as usize].after = waiter.after,
        }
        match waiter.after {
            NONE => flow.last = waiter.before,
            after => self.slab[after as usize].before = waiter.before,
        }
        flow.length -= 1;
        flow.work -= waiter.work;
        if flow.length == 0 {
            if let Some(at) = of.active.iter().position(|queue| *queue == waiter.queue) {
                of.active.swap_remove(at);
            }
        }
        of.length -= 1;
        of.work -= waiter.work;
        self.places.remove(&waiter.id);
        self.free.push(place);
    }
}
