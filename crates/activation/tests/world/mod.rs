//! Twelve nodes, their network, clocks and disks, and what they answer.

mod net;
mod turn;

use std::collections::BTreeMap;

use woodgap_activation::*;

pub const NODES: usize = 12;
/// One step of true time.
const STEP: Micros = 2_000;
pub const LIMITS: Limits = Limits {
    poll: 20_000,
    most_held: 64,
    hold_for: 30_000,
    longest_turn: 10_000,
    alone: 400_000,
    drain: 500_000,
    most_built: 4,
};
const RULES: Rules = Rules { lead: 300_000, patience: 2_000_000, widest: 10_000, most_missing_percent: 34 };
/// Longer than any fault lasts, with what it takes to see it.
const SETTLED: Micros = 2_500_000;

/// What was counted; what ends in `max` is the most of it.
pub type Figures = BTreeMap<&'static str, u64>;

/// Puts one seed's figures to those of others.
pub fn add(sum: &mut Figures, more: &Figures) {
    for (name, figure) in more {
        let own = sum.entry(name).or_default();
        *own = if name.ends_with("max") { (*own).max(*figure) } else { *own + figure };
    }
}

enum Way {
    /// To the service: a read, and a document over a revision.
    Ask,
    Write(u64, Board),
    /// To the node, with what is on its disk by then.
    Hear(Event, Option<Disk>),
}

/// A request under way.
struct Open {
    part: usize,
    taken: Taken,
    /// By the node's own count.
    deadline: Micros,
    sent: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum Life {
    Up,
    Stopped(Micros),
    Dead(Micros),
}

struct Process {
    node: Node,
    gate: Gate,
    life: Life,
    lot: Lot,
}

/// What befalls a node; times are true ones.
#[derive(Default)]
struct Lot {
    /// Its process's number: what was on its way to an earlier one is lost.
    started: u64,
    disk: Option<Disk>,
    seen: Option<Board>,
    no_service: Micros,
    no_fleet: Micros,
    heard: Micros,
    skew: (Micros, Micros),
    unsure: Micros,
    open: Vec<Open>,
    /// By the number of a request that waits: since when.
    held: BTreeMap<u64, Micros>,
    /// The newest version that it answered by.
    answered: u64,
    /// When its last stop ended.
    woke: Micros,
}

pub struct World {
    rng: fastrand::Rng,
    now: Micros,
    board: Board,
    nodes: Vec<Process>,
    ways: BTreeMap<(Micros, u64), (usize, u64, Way)>,
    pub figures: Figures,
    all: All,
}

#[derive(Default)]
struct All {
    /// Until when nobody reaches the service.
    out: Micros,
    sent: u64,
    asked: u64,
    /// By part, the newest version that anybody answered by.
    newest: [u64; 3],
    /// When anybody first answered by a version.
    first: BTreeMap<u64, Micros>,
    /// The attempt that is open, since when, and whether it was counted as hung.
    opened: (u64, Micros, bool),
    numbers: u64,
    closed: bool,
    stalls: bool,
}

/// The first is the same in all versions, the second is refused in doubt, the third goes on by the old.
const PARTS: [&str; 3] = ["same", "strict", "lax"];

fn parts(number: u64) -> Parts {
    let digest = |at: usize| if at == 0 { "same".into() } else { format!("{at}.{number}") };
    let doubt = |at: usize| if at == 2 { Doubt::Old } else { Doubt::Refuse };
    let part = |at: usize| (PARTS[at].to_owned(), Part { digest: digest(at), doubt: doubt(at) });
    (0..PARTS.len()).map(part).collect()
}

fn name(at: usize) -> String {
    format!("n{at:02}")
}

impl World {
    pub fn new(seed: u64) -> World {
        let rng = fastrand::Rng::with_seed(seed);
        let now = 10_000_000;
        let first = Now { local: now, clock: Clock::Unsure };
        let process = |at: usize| {
            let (node, _) = Node::start(&name(at), LIMITS, None, 0, first);
            Process { gate: node.gate(), node, life: Life::Dead(now), lot: Lot::default() }
        };
        let nodes = (0..NODES).map(process).collect();
        let board = Board::new(RULES).expect("rules that can be kept");
        let (ways, figures, all) = (BTreeMap::new(), Figures::new(), All::default());
        World { rng, now, board, nodes, ways, figures, all }
    }

    fn clock(&self, at: usize) -> Now {
        let (below, above) = self.nodes[at].lot.skew;
        let sure = Clock::Sure { earliest: self.now - below, latest: self.now + above };
        let clock = if self.now < self.nodes[at].lot.unsure { Clock::Unsure } else { sure };
        // Each count has its own start, and goes on while the process is stopped.
        Now { local: self.now + 7_777 * at as u64, clock }
    }

    fn note(&mut self, name: &'static str, figure: u64) {
        add(&mut self.figures, &Figures::from([(name, figure)]));
    }

    fn send(&mut self, after: Micros, at: usize, way: Way) {
        self.all.sent += 1;
        self.ways.insert((self.now + after, self.all.sent), (at, self.nodes[at].lot.started, way));
    }

    fn reaches(&self, at: usize) -> bool {
        self.now >= self.all.out && self.now >= self.nodes[at].lot.no_service
    }

    /// One step of time: the network, then faults, then each node's turn.
    pub fn step(&mut self, faults: bool) {
        (self.now, self.all.stalls) = (self.now + STEP, faults);
        while let Some(entry) = self.ways.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let (at, started, way) = entry.remove();
            self.arrive(at, started, way);
        }
        if faults {
            self.fault();
        }
        self.operate(faults);
        for at in 0..NODES {
            self.turn(at, faults);
        }
    }
}
