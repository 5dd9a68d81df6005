//! Twelve nodes, their network, clocks and disks, and what they answer.

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

/// What was counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    pub switches: u64,
    pub ended: u64,
    pub answers: u64,
    pub old_after_new: u64,
    pub by_choice: u64,
    pub again_old: u64,
    pub late_sends: u64,
    pub held: u64,
    pub held_ms_max: u64,
    pub held_too_long: u64,
    pub refused: u64,
    pub in_doubt: u64,
    pub hung: u64,
    /// From the first to the last node that answered by a version, where no fault was: the longest.
    pub spread_ms_max: u64,
}

impl Figures {
    pub fn add(&mut self, other: &Figures) {
        let sums = |own: &mut u64, more: u64| *own += more;
        sums(&mut self.switches, other.switches);
        sums(&mut self.ended, other.ended);
        sums(&mut self.answers, other.answers);
        sums(&mut self.by_choice, other.by_choice);
        sums(&mut self.again_old, other.again_old);
        sums(&mut self.held, other.held);
        sums(&mut self.refused, other.refused);
        sums(&mut self.in_doubt, other.in_doubt);
        self.held_ms_max = self.held_ms_max.max(other.held_ms_max);
    }
}

enum Way {
    Ask,
    Answer(Box<Board>),
    Write(u64, Box<Board>),
    Kept(u64, Box<Disk>),
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
    out: Micros,
    nodes: Vec<Process>,
    ways: BTreeMap<(Micros, u64), (usize, u64, Way)>,
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
    pub figures: Figures,
}

/// The first is the same in all versions, the second is refused in doubt, the third goes on by the old.
const PARTS: [&str; 3] = ["same", "strict", "lax"];

fn parts(number: u64) -> Parts {
    let digest = |at: usize| if at == 0 { "same".into() } else { format!("{at}.{number}") };
    let doubt = |at: usize| if at == 2 { Doubt::Old } else { Doubt::Refuse };
    PARTS
        .iter()
        .enumerate()
        .map(|(at, name)| ((*name).into(), Part { digest: digest(at), doubt: doubt(at) }))
        .collect()
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
            let (node, _) = Node::start(&name(at), LIMITS, None, at as u64 + 1, first);
            Process {
                gate: node.gate(),
                node,
                life: Life::Dead(now),
                started: 0,
                disk: None,
                seen: None,
                no_service: 0,
                no_fleet: 0,
                heard: now,
                skew: (1_000, 1_000),
                unsure: 0,
                open: Vec::new(),
                held: BTreeMap::new(),
                answered: 0,
                woke: 0,
            }
        };
        let nodes = (0..NODES).map(process).collect();
        let board = Board::new(RULES).expect("rules that can be kept");
        let figures = Figures::default();
        let (ways, first, newest, opened) = (BTreeMap::new(), BTreeMap::new(), [0; 3], (0, 0, false));
        let (out, sent, asked, numbers, closed) = (0, 0, 0, 0, false);
        World {
            rng,
            now,
            board,
            out,
            nodes,
            ways,
            sent,
            asked,
            newest,
            first,
            opened,
            numbers,
            closed,
            stalls: false,
            figures,
        }
    }

    fn clock(&self, at: usize) -> Now {
        let process = &self.nodes[at];
        let (below, above) = process.skew;
        let sure = Clock::Sure { earliest: self.now - below, latest: self.now + above };
        // Each count has its own start, and goes on while the process is stopped.
        Now {
            local: self.now + 7_777 * at as u64,
            clock: if self.now < process.unsure { Clock::Unsure } else { sure },
        }
    }

    fn send(&mut self, after: Micros, at: usize, way: Way) {
        self.sent += 1;
        self.ways.insert((self.now + after, self.sent), (at, self.nodes[at].started, way));
    }

    fn reaches(&self, at: usize) -> bool {
        self.now >= self.out && self.now >= self.nodes[at].no_service
    }

    /// One step of time: the network, then faults, then each node's turn.
    pub fn step(&mut self, faults: bool) {
        (self.now, self.stalls) = (self.now + STEP, faults);
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

    fn arrive(&mut self, at: usize, started: u64, way: Way) {
        let (reaches, alive) = (self.reaches(at), started == self.nodes[at].started);
        match way {
            Way::Ask if reaches => {
                let (board, after) = (Box::new(self.board.clone()), self.rng.u64(500..4_000));
                self.send(after, at, Way::Answer(board));
            }
            Way::Ask => {}
            // What was under way lands, whoever sent it and whether or not it lives.
            Way::Write(over, board) => {
                if over == self.board.revision {
                    self.figures.switches += u64::from(board.decided != self.board.decided);
                    self.board = *board;
                }
                if reaches && alive {
                    let after = self.rng.u64(500..6_000);
                    self.send(after, at, Way::Ask);
                }
            }
            // What was not flushed when a process ended is lost.
            Way::Kept(seq, disk) if alive && self.nodes[at].life == Life::Up => {
                self.nodes[at].disk = Some(*disk);
                self.give(at, Event::Kept(seq));
            }
            Way::Kept(..) if alive => self.send(STEP, at, way),
            Way::Kept(..) => {}
            Way::Answer(board) if alive && self.nodes[at].life == Life::Up => {
                if reaches {
                    self.nodes[at].seen = Some((*board).clone());
                    self.give(at, Event::BoardRead(*board));
                }
            }
            Way::Answer(board) if alive => self.send(STEP, at, Way::Answer(board)),
            Way::Answer(_) => {}
        }
    }

    pub fn give(&mut self, at: usize, event: Event) {
        let now = self.clock(at);
        let actions = self.nodes[at].node.on(event, now);
        self.carry(at, actions);
    }

    fn carry(&mut self, at: usize, actions: Vec<Action>) {
        self.nodes[at].gate = self.nodes[at].node.gate();
        for action in actions {
            match action {
                Action::Read => {
                    let after = self.rng.u64(500..4_000);
                    self.send(after, at, Way::Ask);
                }
                Action::Keep(seq, disk) => {
                    let after = self.rng.u64(500..8_000);
                    self.send(after, at, Way::Kept(seq, disk));
                }
                Action::Fetch(version) if self.stalls && self.rng.u32(..2_000) == 0 => {
                    self.give(at, Event::Failed { version, why: "no room on the disk".into() });
                }
                Action::Fetch(version) => {
                    let (digest, parts) = (version.digest.clone(), parts(version.number));
                    self.give(at, Event::Fetched { version, digest, parts });
                }
                Action::Write(command) => {
                    let Some(seen) = self.nodes[at].seen.as_ref() else { continue };
                    let (over, next) = (seen.revision, seen.take(command, self.clock(at).clock));
                    let stalled = self.stalls && self.rng.u32(..60) == 0;
                    let after = if stalled { self.rng.u64(..900_000) } else { self.rng.u64(500..4_000) };
                    if let Some(next) = next.ok().filter(|next| next.revision > over && self.reaches(at)) {
                        self.send(after, at, Way::Write(over, Box::new(next)));
                    }
                }
                Action::Take(id, taken) => {
                    if let Some(since) = self.nodes[at].held.remove(&id) {
                        self.waited(at, since);
                    }
                    self.taken(at, (id % 3) as usize, taken);
                }
                Action::Hold(id) => {
                    self.figures.held += 1;
                    self.nodes[at].held.insert(id, self.now);
                }
                Action::Refuse(id, trouble, _) => {
                    self.figures.refused += 1;
                    self.figures.in_doubt += u64::from(matches!(trouble, Trouble::Doubt { .. }));
                    if let Some(since) = self.nodes[at].held.remove(&id) {
                        self.waited(at, since);
                    }
                }
                Action::Switch(_) | Action::Drop(_) => {}
            }
        }
    }
}
