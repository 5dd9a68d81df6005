//! A fleet in simulated time, for tests and proofs: this crate's own code under a seeded network, clocks that drift, processes
//! that sleep, and a checker that counts by true time what all of them act on and let in. The same seed, the same run.

mod check;
mod play;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use crate::{Change, EpochDoc, Grantor, Holder, MemberId, Micros, Refusal, Settings, WholeId, Wholes};

pub use check::Check;
use play::Event;

/// The longest that a message or an answer of the coordination service is under way.
pub const LATEST: Micros = 400_000;

/// A process.
pub struct Process {
    /// Which of the fleet's nodes.
    pub node: usize,
    life: u64,
    /// Its member's number.
    pub id: MemberId,
    /// As a holder.
    pub holder: Holder,
    /// As a grantor.
    pub grantor: Grantor,
    /// By its clock, which runs on from there, so many millionths too fast.
    clock: (Micros, i64),
    /// Asleep until then, of true time.
    asleep: Micros,
    /// It is its node's: the disk of a name has one owner.
    own: bool,
    /// It is gone for good, and holds nothing.
    ended: bool,
    read: u64,
    /// Bytes of asks that it sent, and messages.
    pub sent: (u64, u64),
}

impl Process {
    /// Its number among those of its node.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// Its clock.
    pub fn local(&self, now: Micros) -> Micros {
        let drift = i128::from(now) * i128::from(self.clock.1) / 1_000_000;
        (i128::from(self.clock.0) + i128::from(now) + drift) as Micros
    }
}

/// A fleet.
pub struct Sim {
    /// True time.
    pub now: Micros,
    settings: Settings,
    /// The document, as the service has it.
    pub doc: EpochDoc,
    version: u64,
    share_ppb: u64,
    /// The fewest and the most members that the roster had.
    members: (u64, u64),
    wholes: Arc<Wholes>,
    /// All processes that there were and that may still act; the last of a node is its own.
    pub processes: Vec<Process>,
    /// Of a thousand messages, so many are lost, and as many come twice.
    pub loss: u64,
    /// Of a thousand messages, so many are slow: up to [`LATEST`].
    pub slow: u64,
    /// Links that carry nothing, one way: from, to.
    pub cut: BTreeSet<(usize, usize)>,
    /// Nodes that don't reach the service.
    pub unserved: BTreeSet<usize>,
    /// How often requests come to a node, those of all that time at once.
    pub knock: Micros,
    /// Requests a second that come to a node for a whole, in thousandths.
    pub traffic: BTreeMap<(usize, WholeId), u64>,
    /// What is counted.
    pub check: Check,
    random: fastrand::Rng,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    number: u64,
}

/// The name of a node.
pub fn name(node: usize) -> String {
    format!("n{node:04}")
}

impl Sim {
    /// Nodes of a roster that all of them know, the first of which grant.
    ///
    /// # Errors
    /// Something is out of bounds.
    pub fn new(
        seed: u64,
        (nodes, seats): (usize, usize),
        settings: Settings,
        safe_ppb: u64,
        wholes: Wholes,
    ) -> Result<Sim, Refusal> {
        let mut doc = EpochDoc::new(safe_ppb)?;
        for node in 0..nodes {
            doc.take(Change::Join { name: name(node) })?;
            let ids = doc.roster().values().map(|member| member.id).collect();
            doc.take(Change::Seen { epoch: doc.epoch(), ids })?;
        }
        for node in 0..seats {
            doc.take(Change::Seat { name: name(node), life: 1 })?;
        }
        let (random, events) = (fastrand::Rng::with_seed(seed), BinaryHeap::new());
        let (processes, cut, unserved, traffic) =
            (Vec::new(), BTreeSet::new(), BTreeSet::new(), BTreeMap::new());
        let (check, wholes) = (Check::default(), Arc::new(wholes));
        let (now, version, loss, number) = (0, 1, 0, 0);
        let mut sim = Sim {
            now,
            settings,
            doc,
            version,
            share_ppb: safe_ppb,
            members: (nodes as u64, nodes as u64),
            wholes,
            processes,
            loss,
            slow: 20,
            knock: settings.round,
            cut,
            unserved,
            traffic,
            check,
            random,
            events,
            number,
        };
        let rates = sim.doc.each_ppb();
        for node in 0..nodes {
            sim.begin(node, 1, rates)?;
        }
        sim.check.lowered(0, &sim.wholes, &settings);
        Ok(sim)
    }

    fn begin(&mut self, node: usize, life: u64, rates: u64) -> Result<(), Refusal> {
        let id = self.doc.id(&name(node)).ok_or_else(|| Refusal::Stranger(name(node)))?;
        let holder = Holder::new(id, life, self.settings, rates)?;
        let grantor = Grantor::new(id, life, self.settings)?;
        // A machine's clock outlives its processes.
        let own = self.processes.iter().find(|process| process.node == node).map(|process| process.clock);
        let most = self.settings.drift_ppm as i64;
        let clock = own.unwrap_or_else(|| (self.random.u64(..1 << 40), self.random.i64(-most..=most)));
        let process = Process {
            node,
            life,
            id,
            holder,
            grantor,
            clock,
            asleep: 0,
            own: true,
            ended: false,
            read: 0,
            sent: (0, 0),
        };
        self.processes.iter_mut().filter(|old| old.node == node).for_each(|old| old.own = false);
        self.processes.push(process);
        let at = self.now + self.random.u64(..self.settings.round);
        self.push(at, Event::Knock(self.processes.len() - 1));
        self.push(at, Event::Turn(self.processes.len() - 1));
        Ok(())
    }

    /// The process of a node that is its own.
    pub fn own(&self, node: usize) -> usize {
        self.processes.iter().rposition(|process| process.node == node).unwrap_or(0)
    }

    /// The service's document is changed.
    ///
    /// # Errors
    /// The change is refused.
    pub fn change(&mut self, change: Change) -> Result<(), Refusal> {
        self.version += u64::from(self.doc.take(change)?);
        let now = self.doc.members() as u64;
        self.members = (self.members.0.min(now), self.members.1.max(now));
        Ok(())
    }

    /// All nodes are given a later revision of the wholes.
    pub fn revise(&mut self, wholes: Wholes) {
        self.wholes = Arc::new(wholes);
        self.check.lowered(self.now, &self.wholes, &self.settings);
    }

    /// A process sleeps; what comes for it waits.
    pub fn sleep(&mut self, node: usize, span: Micros) {
        let own = self.own(node);
        self.processes[own].asleep = self.now + span;
    }

    /// A node's end is certain; it is struck off.
    ///
    /// # Errors
    /// The change is refused.
    pub fn end(&mut self, node: usize) -> Result<(), Refusal> {
        let own = |process: &&mut Process| process.node == node;
        self.processes.iter_mut().filter(own).for_each(|process| process.ended = true);
        self.change(Change::Strike { name: name(node) })
    }

    /// A node joins that was never there.
    ///
    /// # Errors
    /// The change is refused.
    pub fn join(&mut self, node: usize) -> Result<(), Refusal> {
        self.change(Change::Join { name: name(node) })?;
        self.begin(node, 1, 0)
    }

    /// Whether a node is there.
    pub fn there(&self, node: usize) -> bool {
        self.processes.iter().any(|process| process.node == node && !process.ended)
    }

    /// Another process of a node begins while the old one is only asleep, and wakes later.
    ///
    /// # Errors
    /// The node is not in the roster.
    pub fn replace(&mut self, node: usize, span: Micros) -> Result<(), Refusal> {
        self.sleep(node, span);
        let old = &self.processes[self.own(node)];
        let (life, rates, id) = (old.life + 1, old.holder.safe().rates, old.id);
        self.begin(node, life, rates)?;
        if self.doc.seat(id).is_some() {
            self.change(Change::Seat { name: name(node), life })?;
        }
        Ok(())
    }
}
