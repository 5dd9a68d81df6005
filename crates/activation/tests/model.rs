//! The protocol, searched: nodes whose clocks differ within their intervals, and whose reads are old, whose writes land at
//! any time or never, that are killed with their last disk write or without it, proven gone, or never get a turn.

use stateright::{Checker, Model, Property};
use woodgap_activation::*;

const LEAD: Micros = 2;
/// What a node's interval adds below and above the true time, in turn.
const SKEW: [(Micros, Micros); 3] = [(0, 2), (2, 0), (1, 1)];

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    /// `None`: killed.
    node: Option<Node>,
    /// What is on disk, and what was before the last write.
    disk: [Option<Disk>; 2],
    /// A write on its way: the board, over this revision. Only the last one may still arrive.
    flying: Option<(u64, Board)>,
    starts: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    now: Micros,
    /// As it is, and as it was before.
    board: [Board; 2],
    nodes: Vec<Process>,
    /// The newest version by which anybody may have answered so far.
    newest: u64,
    opened: u64,
    kills: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Act {
    Tick,
    /// The operator asks for the next version.
    Open,
    /// A node reads the board, as it is or as it was.
    Read(usize, usize),
    /// Its write reaches the service; whether it hears so does not matter to it.
    Land(usize),
    /// With what it last wrote on disk, or without.
    Kill(usize, usize),
    Start(usize),
    /// Somebody proves that it ended.
    Prove(usize),
    Withdraw,
}

struct Protocol {
    nodes: usize,
    /// Ticks from the start.
    ticks: Micros,
    versions: u64,
    /// Begins where the second version is open and only one word is not said yet.
    open: bool,
    ends: bool,
}

fn name(at: usize) -> String {
    format!("n{at}")
}

fn version(number: u64) -> Version {
    Version { number, digest: format!("d{number}"), format: FORMAT }
}

impl Fleet {
    fn clock(&self, at: usize) -> Now {
        let (below, above) = SKEW[(at + self.now as usize) % 3];
        Now { local: 0, clock: Clock::Sure { earliest: self.now - below, latest: self.now + above } }
    }

    fn write(&mut self, board: Board) {
        self.board = [board, self.board[0].clone()];
    }

    fn give(&mut self, at: usize, event: Event) {
        let now = self.clock(at);
        let Some(node) = &mut self.nodes[at].node else { return };
        let actions = node.on(event, now);
        self.carry(at, actions);
    }

    fn start(&mut self, at: usize) {
        let process = &mut self.nodes[at];
        process.starts += 1;
        let draw = 100 * (at as u64 + 1) + process.starts;
        let (disk, now) = (process.disk[0].clone(), self.clock(at));
        let (node, actions) = Node::start(&name(at), Limits::default(), disk, draw, now);
        self.nodes[at].node = Some(node);
        self.carry(at, actions);
    }

    fn carry(&mut self, at: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Keep(seq, disk) => {
                    let old = self.nodes[at].disk[0].take();
                    self.nodes[at].disk = [Some(*disk), old];
                    self.give(at, Event::Kept(seq));
                }
                Action::Fetch(version) => {
                    let (digest, parts) = (version.digest.clone(), Parts::new());
                    self.give(at, Event::Fetched { version, digest, parts });
                }
                // Over the board as it stands at this moment; what arrives is the document, however much later.
                Action::Write(command) => {
                    let (board, clock) = (&self.board[0], self.clock(at).clock);
                    if let Ok(next) = board.take(command, clock) {
                        self.nodes[at].flying = Some((board.revision, next));
                    }
                }
                _ => {}
            }
        }
    }

    fn land(&mut self, at: usize) {
        if let Some((over, board)) = self.nodes[at].flying.take() {
            if over == self.board[0].revision {
                self.write(board);
            }
        }
    }

    fn open(&mut self) {
        let open = Command::Open { author: name(0), version: version(self.opened + 1) };
        if let Ok(next) = self.board[0].take(open, self.clock(0).clock) {
            self.opened += 1;
            self.write(next);
        }
    }

    fn answers(&self, at: usize) -> Option<u64> {
        match self.nodes[at].node.as_ref()?.gate().look(self.clock(at)) {
            Serving::By(fence) => Some(fence),
            Serving::Between { .. } => None,
        }
    }

    /// One round in which everybody gets a turn and each write arrives.
    fn round(&mut self) {
        self.now += 1;
        for at in 0..self.nodes.len() {
            if self.nodes[at].node.is_none() {
                self.start(at);
            }
            self.give(at, Event::BoardRead(self.board[0].clone()));
            self.land(at);
        }
    }

    /// From here on nobody fails: the open attempt ends, and all serve the same, decided version.
    fn comes_to_its_end(&self) -> bool {
        let mut fleet = self.clone();
        (0..24).for_each(|_| fleet.round());
        let decided = fleet.board[0].decided.as_ref().map(|decided| decided.fence);
        fleet.board[0].attempt.is_none() && (0..fleet.nodes.len()).all(|at| fleet.answers(at) == decided)
    }
}

impl Model for Protocol {
    type State = Fleet;
    type Action = Act;

    fn init_states(&self) -> Vec<Fleet> {
        let mut board = Board::new(Rules::default()).expect("the defaults");
        board.rules = Rules { lead: LEAD, patience: 4, widest: 2, most_missing_percent: 50 };
        let nodes = vec![Process { node: None, disk: [None, None], flying: None, starts: 0 }; self.nodes];
        let board = [board.clone(), board];
        let mut fleet = Fleet { now: 3, board, nodes, newest: 0, opened: 0, kills: 0 };
        // All have their seats and serve the first version.
        fleet.round();
        fleet.open();
        (0..8).for_each(|_| fleet.round());
        assert!((0..self.nodes).all(|at| fleet.answers(at) == Some(1)), "{fleet:?}");
        if self.open {
            fleet.open();
            for at in 1..self.nodes {
                fleet.give(at, Event::BoardRead(fleet.board[0].clone()));
                fleet.land(at);
            }
        }
        vec![fleet]
    }

    fn actions(&self, state: &Fleet, actions: &mut Vec<Act>) {
        if state.now < 12 + self.ticks {
            actions.push(Act::Tick);
        }
        match &state.board[0].attempt {
            None if state.opened < self.versions => actions.push(Act::Open),
            Some(_) if state.opened == 2 => actions.push(Act::Withdraw),
            _ => {}
        }
        for (at, process) in state.nodes.iter().enumerate() {
            if process.flying.is_some() {
                actions.push(Act::Land(at));
            }
            match &process.node {
                Some(_) => actions.extend([Act::Read(at, 0), Act::Read(at, 1)]),
                None => actions.extend([Act::Start(at), Act::Prove(at)]),
            }
            if state.kills < 1 && process.node.is_some() {
                actions.extend([Act::Kill(at, 0), Act::Kill(at, 1)]);
            }
        }
    }

    fn next_state(&self, state: &Fleet, act: Act) -> Option<Fleet> {
        let mut next = state.clone();
        match act {
            Act::Tick => next.now += 1,
            Act::Open => next.open(),
            Act::Read(at, which) => next.give(at, Event::BoardRead(state.board[which].clone())),
            Act::Land(at) => next.land(at),
            Act::Kill(at, which) => {
                (next.nodes[at].node, next.kills) = (None, state.kills + 1);
                next.nodes[at].disk[0] = state.nodes[at].disk[which].clone();
            }
            Act::Start(at) => next.start(at),
            Act::Prove(at) => {
                let entry = state.board[0].roster.get(&name(at))?.entry;
                let gone = Command::Gone { node: name(at), entry, proof: "seen to end".into() };
                next.write(state.board[0].take(gone, state.clock(0).clock).ok()?);
            }
            Act::Withdraw => {
                let fence = state.board[0].attempt.as_ref()?.fence;
                let command = Command::Withdraw { fence, why: "wrong".into() };
                next.write(state.board[0].take(command, state.clock(0).clock).ok()?);
            }
        }
        next.newest = (0..self.nodes).filter_map(|at| next.answers(at)).fold(next.newest, u64::max);
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut properties = vec![
            Property::always("never old after new", |model: &Protocol, state: &Fleet| {
                (0..model.nodes).all(|at| state.answers(at).is_none_or(|fence| fence >= state.newest))
            }),
            Property::always("no attempt hangs", |model: &Protocol, state: &Fleet| {
                !model.ends || state.comes_to_its_end()
            }),
        ];
        if !self.ends {
            properties.extend([
                Property::sometimes("the second version is answered by", |_, state: &Fleet| {
                    state.newest == 2
                }),
                Property::sometimes(
                    "one is in doubt while another answers by the new",
                    |model, state: &Fleet| {
                        let doubts = |at: usize| {
                            let gate = state.nodes[at].node.as_ref().map(Node::gate);
                            gate.is_some_and(|gate| {
                                gate.look(state.clock(at)) == Serving::Between { doubt: true }
                            })
                        };
                        state.newest == 2 && (0..model.nodes).any(doubts)
                    },
                ),
            ]);
        }
        properties
    }
}

fn search(protocol: Protocol, depth: usize) {
    let checker = protocol.checker().target_max_depth(depth).threads(1).spawn_bfs().join();
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
    checker.assert_properties();
}

#[test]
fn two_nodes_never_answer_by_the_old_after_the_new() {
    search(Protocol { nodes: 2, ticks: 5, versions: 2, open: false, ends: false }, 13);
}

#[test]
fn nor_do_three() {
    search(Protocol { nodes: 3, ticks: 5, versions: 2, open: true, ends: false }, 11);
}

#[test]
fn no_state_is_a_trap() {
    search(Protocol { nodes: 2, ticks: 5, versions: 3, open: true, ends: true }, 10);
}
