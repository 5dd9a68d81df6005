//! The protocol, searched: any message may be lost, come twice, late and out of order (what was sent stays, and is
//! delivered at any moment, or never); any process may sleep between any two steps.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use stateright::{Checker, Model, Property};
use woodgap_leases::*;

const WHOLE: WholeId = 1;
const ALL: u64 = 1_000;
/// The clock's step: a term is two of them.
const STEP: Micros = 2;
const NAMES: [&str; 3] = ["n0", "n1", "n2"];

/// A process: what it is as a holder and as a grantor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    desk: Desk,
    hand: Hand,
    grantor: Grantor,
    asks: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    now: Micros,
    doc: EpochDoc,
    changes: usize,
    processes: Vec<Process>,
    asked: BTreeSet<(MemberId, Ask)>,
    answered: BTreeSet<Answer>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Tick,
    Ask(usize),
    Deliver(MemberId, Ask),
    Answer(Answer),
    Read(usize),
    Confirm(usize),
    /// The next change of the document, and whichever process it starts.
    Change,
}

/// Changes made at once, and a process that starts by them.
type Step = (Vec<Change>, Option<(MemberId, u64)>);

/// What happens to the document, in order; a process that starts by it; and how much is searched.
struct Protocol {
    changes: Vec<Step>,
    safe_ppb: u64,
    /// What each process wants, ask by ask.
    wants: Vec<Vec<u64>>,
    last: Micros,
}

fn settings() -> Settings {
    let ask_bytes_s = 9_600;
    Settings { term: 4, authority: 4, round: 1, drift_ppm: 0, longest: 0, keep: 1, decay: 1, ask_bytes_s }
}

fn process(id: MemberId, life: u64, safe: u64) -> Process {
    let kind = Kind::Rate { per_s: 1, burst_ms: 0 };
    let wholes = BTreeMap::from([(WHOLE, Whole { kind, mode: Mode::Strict, least: 1 })]);
    let mut grantor = Grantor::new(id, life, settings()).expect("settings");
    grantor.on_wholes(0, Arc::new(Wholes::new(1, wholes).expect("one")));
    let desk = Desk::new(id, life, settings(), safe);
    Process { desk, hand: Hand::default(), grantor, asks: 0 }
}

impl Process {
    fn grow(&mut self, now: Micros) {
        self.desk.grow(now);
        self.hand.set(part_of(ALL, self.desk.safe().rates), None, &settings());
    }

    fn read(&mut self, now: Micros, doc: &EpochDoc) {
        self.desk.adopt(now, doc);
        self.grantor.adopt(now, doc);
        self.grow(now);
    }
}

impl Fleet {
    /// All that any process may act on; the safe part of a name is its last process's, as a disk has one owner.
    fn acted_on(&self) -> u64 {
        let later =
            |at: usize| self.processes[at + 1..].iter().any(|p| p.desk.me() == self.processes[at].desk.me());
        let acts = |(at, process): (usize, &Process)| match later(at) {
            true => process.hand.held(self.now),
            false => process.hand.acts_on(self.now),
        };
        self.processes.iter().enumerate().map(acts).sum()
    }
}

impl Model for Protocol {
    type State = Fleet;
    type Action = Act;

    fn init_states(&self) -> Vec<Fleet> {
        let mut doc = EpochDoc::new(self.safe_ppb).expect("a share");
        for name in &NAMES[..2] {
            doc.take(Change::Join { name: (*name).into() }).expect("room");
        }
        doc.take(Change::Seat { name: NAMES[0].into(), life: 1 }).expect("a member");
        doc.take(Change::Seen { epoch: doc.epoch(), ids: vec![1, 2] }).expect("this epoch");
        let mut processes = vec![process(1, 1, doc.each_ppb()), process(2, 1, doc.each_ppb())];
        processes.iter_mut().for_each(|process| process.read(0, &doc));
        // The first grantor has waited.
        let now = settings().authority;
        vec![Fleet { now, doc, changes: 0, processes, asked: BTreeSet::new(), answered: BTreeSet::new() }]
    }

    fn actions(&self, state: &Fleet, actions: &mut Vec<Act>) {
        if state.now < self.last {
            actions.push(Act::Tick);
        }
        if state.changes < self.changes.len() {
            actions.push(Act::Change);
        }
        for (at, process) in state.processes.iter().enumerate() {
            if self.wants.get(at).is_some_and(|wants| process.asks < wants.len()) {
                actions.push(Act::Ask(at));
            }
            actions.extend([Act::Read(at), Act::Confirm(at)]);
        }
        actions.extend(state.asked.iter().map(|(to, ask)| Act::Deliver(*to, ask.clone())));
        actions.extend(state.answered.iter().cloned().map(Act::Answer));
    }

    fn next_state(&self, state: &Fleet, act: Act) -> Option<Fleet> {
        let mut next = state.clone();
        let now = state.now;
        match act {
            Act::Tick => {
                next.now += STEP;
                next.processes.iter_mut().for_each(|process| process.grow(now + STEP));
            }
            Act::Change => {
                let (change, starts) = self.changes[state.changes].clone();
                next.changes += 1;
                change.into_iter().try_for_each(|change| next.doc.take(change).map(drop)).ok()?;
                if let Some((id, life)) = starts {
                    // Its name's disk has its safe part.
                    let mut own =
                        next.processes.iter().filter(|p| p.desk.me() == id).map(|p| p.desk.safe().rates);
                    let mut new = process(id, life, own.next_back().unwrap_or(0));
                    new.read(now, &next.doc);
                    next.processes.push(new);
                }
            }
            Act::Read(at) => next.processes[at].read(now, &state.doc),
            Act::Confirm(at) => next.processes[at].grantor.confirmed(now, state.doc.epoch()),
            Act::Ask(at) => {
                let Process { desk, hand, asks, .. } = &mut next.processes[at];
                let (epoch, to) = desk.doc().and_then(|doc| Some((doc.epoch(), doc.grantor(WHOLE)?)))?;
                let want = self.wants[at][*asks];
                let seq = desk.send(now, to);
                hand.lower(want);
                hand.ask(now, now);
                let ago = if hand.taken() == 0 { 0 } else { seq - hand.taken() };
                let wants = vec![Want { whole: WHOLE, want, held: hand.held(now), ago }];
                let (from, life) = (desk.me(), desk.life());
                next.asked.insert((to, Ask { epoch, revision: 1, from, life, seq, wants }));
                *asks += 1;
            }
            Act::Deliver(to, ask) => {
                for process in next.processes.iter_mut().filter(|process| process.desk.me() == to) {
                    next.answered.extend(process.grantor.on_ask(now, &ask));
                }
            }
            Act::Answer(answer) => {
                for Process { desk, hand, .. } in &mut next.processes {
                    if let (Heard::Grant(sent, term), Says::Grant { parts, .. }) =
                        (desk.hear(&answer), &answer.says)
                    {
                        let taken = |p: &Part| hand.take(sent, answer.seq, p.part, term);
                        parts.iter().map(taken).for_each(drop);
                    }
                }
            }
        }
        (next != *state).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never over", |_, state: &Fleet| state.acted_on() <= ALL),
            Property::sometimes("all of it", |_, state: &Fleet| state.acted_on() == ALL),
            Property::sometimes("a grant under the last epoch", |model: &Protocol, state: &Fleet| {
                let last = state.changes == model.changes.len();
                last && state.answered.iter().any(|answer| {
                    let granted =
                        matches!(&answer.says, Says::Grant { parts, .. } if parts.iter().any(|p| p.part > 0));
                    granted && answer.epoch == state.doc.epoch()
                })
            }),
        ]
    }
}

fn search(name: &str, model: Protocol, depth: usize) {
    let checker = model.checker().target_max_depth(depth).threads(1).spawn_bfs().join();
    println!("{name}: {} states, depth {}", checker.unique_state_count(), checker.max_depth());
    checker.assert_properties();
}

/// The seat goes from one to the other, and the old one sleeps as it likes.
#[test]
fn a_grantor_that_is_replaced_and_wakes_makes_nothing_over() {
    let moved = vec![Change::Unseat { name: "n0".into() }, Change::Seat { name: "n1".into(), life: 1 }];
    search(
        "replaced",
        Protocol { changes: vec![(moved, None)], safe_ppb: 0, wants: vec![vec![ALL], vec![ALL]], last: 8 },
        13,
    );
}

/// A third one joins and the others know nothing of it.
#[test]
fn one_that_joins_makes_nothing_over() {
    let changes = vec![(vec![Change::Join { name: "n2".into() }], Some((3, 1)))];
    search("joined", Protocol { changes, safe_ppb: PPB / 4, wants: vec![vec![ALL], vec![ALL]], last: 8 }, 11);
}

/// The grantor's process is killed, or only asleep, and another one of its name begins.
#[test]
fn a_process_of_the_same_name_makes_nothing_over() {
    let changes = vec![(vec![Change::Seat { name: "n0".into(), life: 2 }], Some((1, 2)))];
    search(
        "restarted",
        Protocol { changes, safe_ppb: PPB / 4, wants: vec![vec![ALL], vec![], vec![ALL]], last: 8 },
        13,
    );
}

/// One gives back what it does not want, the other gets it.
#[test]
fn a_part_that_goes_from_one_to_another_makes_nothing_over() {
    search(
        "moved",
        Protocol { changes: vec![], safe_ppb: PPB / 4, wants: vec![vec![ALL, ALL, 320], vec![ALL]], last: 4 },
        18,
    );
}
