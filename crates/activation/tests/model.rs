//! The protocol, searched: nodes whose clocks differ within their intervals, and whose reads are old, whose writes land at
//! any time or never, that are killed with their last disk write or without it, proven gone, or never get a turn.

mod fleet;

use fleet::{name, Fleet, Process, LEAD};
use stateright::{Checker, Model, Property};
use woodgap_activation::*;

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

impl Model for Protocol {
    type State = Fleet;
    type Action = Act;

    fn init_states(&self) -> Vec<Fleet> {
        let mut board = Board::new(Rules::default()).expect("the defaults");
        board.rules = Rules { lead: LEAD, patience: 4, widest: 2, most_missing_percent: 50 };
        let nodes = vec![Process::default(); self.nodes];
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
                next.does(Command::Gone { node: name(at), entry, proof: "seen to end".into() });
            }
            Act::Withdraw => {
                let fence = state.board[0].attempt.as_ref()?.fence;
                next.does(Command::Withdraw { fence, why: "wrong".into() });
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
            properties.push(Property::sometimes(
                "one is in doubt, another answers by the new",
                |_, state: &Fleet| {
                    let looks = |process: &Process, at| {
                        process.node.as_ref().map(|node| node.gate().look(state.clock(at)))
                    };
                    let doubts = |(at, process)| looks(process, at) == Some(Serving::Between { doubt: true });
                    state.newest == 2 && state.nodes.iter().enumerate().any(doubts)
                },
            ));
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
