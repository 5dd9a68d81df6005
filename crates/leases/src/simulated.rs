//! Simulates a fleet, for tests and proofs: this crate's code under a seeded network, clocks that drift,
//! processes that pause, and a checker that counts by true time what all nodes use and admit. The same seed
//! gives the same run.

mod check;
mod events;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use crate::{
    EpochChange, EpochDoc, Grantor, Holder, LeaseError, LeaseSettings, MemberId, Micros, ResourceId,
    Resources,
};

pub use check::InvariantChecker;
use events::SimulationEvent;

/// Maximum delay of a message or of a response of the coordination service.
pub const MAX_MESSAGE_DELAY: Micros = 400_000;

/// A simulated process.
pub struct Process {
    /// The node that it runs on.
    pub node: usize,
    run: u64,
    /// Its member's number.
    pub id: MemberId,
    /// Its part as a holder.
    pub holder: Holder,
    /// Its part as a grantor.
    pub grantor: Grantor,
    /// Start of its clock, and the clock's rate error in millionths.
    clock: (Micros, i64),
    /// True time until which it is paused.
    asleep_until: Micros,
    /// Whether it is its node's current process: the disk of a name has one owner.
    owns_disk: bool,
    /// Whether it has ended for good and holds nothing.
    ended: bool,
    read_version: u64,
    /// Bytes of requests that it sent, and their number.
    pub sent: (u64, u64),
}

impl Process {
    /// Its run: its number among the processes of its node.
    pub fn run(&self) -> u64 {
        self.run
    }

    /// Its clock's time at a true time.
    pub fn local_time(&self, now: Micros) -> Micros {
        let drift = i128::from(now) * i128::from(self.clock.1) / 1_000_000;
        (i128::from(self.clock.0) + i128::from(now) + drift) as Micros
    }
}

/// A simulated fleet.
pub struct Simulation {
    /// True time.
    pub now: Micros,
    settings: LeaseSettings,
    /// The document at the coordination service.
    pub doc: EpochDoc,
    version: u64,
    share_ppb: u64,
    /// Minimum and maximum members that the roster had.
    members: (u64, u64),
    resources: Arc<Resources>,
    /// All processes that may still act; the last one of a node is its current one.
    pub processes: Vec<Process>,
    /// Messages that are lost, per thousand; as many are duplicated.
    pub loss: u64,
    /// Messages that are slow, up to [`MAX_MESSAGE_DELAY`], per thousand.
    pub slow: u64,
    /// Links that drop all messages in one direction: from, to.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Nodes that do not reach the coordination service.
    pub without_service: BTreeSet<usize>,
    /// Interval at which the requests that came to a node meanwhile arrive together.
    pub arrival_interval: Micros,
    /// Requests a second that come to a node for a resource, in thousandths.
    pub traffic: BTreeMap<(usize, ResourceId), u64>,
    /// The checker and its counts.
    pub check: InvariantChecker,
    random: fastrand::Rng,
    events: BinaryHeap<Reverse<(Micros, u64, SimulationEvent)>>,
    event_seq: u64,
}

/// The name of a node.
pub fn node_name(node: usize) -> String {
    format!("n{node:04}")
}

impl Simulation {
    /// A fleet whose nodes all know the roster; the first ones grant.
    ///
    /// # Errors
    /// A setting or a number is out of bounds.
    pub fn new(
        seed: u64,
        (nodes, grantors): (usize, usize),
        settings: LeaseSettings,
        safe_ppb: u64,
        resources: Resources,
    ) -> Result<Simulation, LeaseError> {
        let mut doc = EpochDoc::new(safe_ppb)?;
        for node in 0..nodes {
            doc.apply(EpochChange::Join { name: node_name(node) })?;
            let ids = doc.roster().values().map(|member| member.id).collect();
            doc.apply(EpochChange::ConfirmMembers { epoch: doc.epoch(), ids })?;
        }
        for node in 0..grantors {
            doc.apply(EpochChange::AddGrantor { name: node_name(node), run: 1 })?;
        }
        let (random, events) = (fastrand::Rng::with_seed(seed), BinaryHeap::new());
        let (processes, cut_links, without_service, traffic) =
            (Vec::new(), BTreeSet::new(), BTreeSet::new(), BTreeMap::new());
        let (check, resources) = (InvariantChecker::default(), Arc::new(resources));
        let (now, version, loss, event_seq) = (0, 1, 0, 0);
        let mut sim = Simulation {
            now,
            settings,
            doc,
            version,
            share_ppb: safe_ppb,
            members: (nodes as u64, nodes as u64),
            resources,
            processes,
            loss,
            slow: 20,
            arrival_interval: settings.round,
            cut_links,
            without_service,
            traffic,
            check,
            random,
            events,
            event_seq,
        };
        let rates = sim.doc.safe_share_ppb();
        for node in 0..nodes {
            sim.start_process(node, 1, rates)?;
        }
        sim.check.record_lowering(0, &sim.resources, &settings);
        Ok(sim)
    }

    fn start_process(&mut self, node: usize, run: u64, rates: u64) -> Result<(), LeaseError> {
        let id =
            self.doc.member_id(&node_name(node)).ok_or_else(|| LeaseError::UnknownMember(node_name(node)))?;
        let holder = Holder::new(id, run, self.settings, rates)?;
        let grantor = Grantor::new(id, run, self.settings)?;
        // A machine's clock outlives its processes.
        let machine_clock =
            self.processes.iter().find(|process| process.node == node).map(|process| process.clock);
        let max_drift = self.settings.drift_ppm as i64;
        let clock = machine_clock
            .unwrap_or_else(|| (self.random.u64(..1 << 40), self.random.i64(-max_drift..=max_drift)));
        let process = Process {
            node,
            run,
            id,
            holder,
            grantor,
            clock,
            asleep_until: 0,
            owns_disk: true,
            ended: false,
            read_version: 0,
            sent: (0, 0),
        };
        self.processes.iter_mut().filter(|old| old.node == node).for_each(|old| old.owns_disk = false);
        self.processes.push(process);
        let at = self.now + self.random.u64(..self.settings.round);
        self.schedule(at, SimulationEvent::Requests(self.processes.len() - 1));
        self.schedule(at, SimulationEvent::Round(self.processes.len() - 1));
        Ok(())
    }

    /// Index of a node's current process.
    pub fn current_process(&self, node: usize) -> usize {
        self.processes.iter().rposition(|process| process.node == node).unwrap_or(0)
    }

    /// Changes the document at the coordination service.
    ///
    /// # Errors
    /// The change is refused.
    pub fn apply_change(&mut self, change: EpochChange) -> Result<(), LeaseError> {
        self.version += u64::from(self.doc.apply(change)?);
        let now = self.doc.member_count() as u64;
        self.members = (self.members.0.min(now), self.members.1.max(now));
        Ok(())
    }

    /// Gives all nodes a later revision of the resources.
    pub fn update_resources(&mut self, resources: Resources) {
        self.resources = Arc::new(resources);
        self.check.record_lowering(self.now, &self.resources, &self.settings);
    }

    /// Pauses a node's process; events for it wait.
    pub fn sleep(&mut self, node: usize, span: Micros) {
        let index = self.current_process(node);
        self.processes[index].asleep_until = self.now + span;
    }

    /// Ends all processes of a node and removes it from the roster.
    ///
    /// # Errors
    /// The change is refused.
    pub fn end_node(&mut self, node: usize) -> Result<(), LeaseError> {
        let of_node = |process: &&mut Process| process.node == node;
        self.processes.iter_mut().filter(of_node).for_each(|process| process.ended = true);
        self.apply_change(EpochChange::RemoveMember { name: node_name(node) })
    }

    /// Adds a new node.
    ///
    /// # Errors
    /// The change is refused.
    pub fn join_node(&mut self, node: usize) -> Result<(), LeaseError> {
        self.apply_change(EpochChange::Join { name: node_name(node) })?;
        self.start_process(node, 1, 0)
    }

    /// Whether a node has a process that has not ended.
    pub fn is_running(&self, node: usize) -> bool {
        self.processes.iter().any(|process| process.node == node && !process.ended)
    }

    /// Starts another process of a node while the old one is only paused and resumes later.
    ///
    /// # Errors
    /// The node is not in the roster.
    pub fn replace_process(&mut self, node: usize, span: Micros) -> Result<(), LeaseError> {
        self.sleep(node, span);
        let old = &self.processes[self.current_process(node)];
        let (run, rates, id) = (old.run + 1, old.holder.safe().rates, old.id);
        self.start_process(node, run, rates)?;
        if self.doc.grantor_run(id).is_some() {
            self.apply_change(EpochChange::AddGrantor { name: node_name(node), run })?;
        }
        Ok(())
    }
}
