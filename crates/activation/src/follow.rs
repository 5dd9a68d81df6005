//! What a node does by the board that it read: takes its seat, learns decisions, and fetches.

use crate::board::{Board, Seat};
use crate::clock::{Micros, Now};
use crate::event::Action;
use crate::node::{mixed, Node};
use crate::version::{Version, FORMAT};
use crate::Command;

/// A process's bond from its word on: it answers by the served version only before the floor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Promise {
    /// The attempt.
    pub(crate) fence: u64,
    /// What it prepares.
    pub(crate) version: Version,
    /// The highest floor that was read.
    pub(crate) floor: Micros,
}

impl Node {
    pub(crate) fn read(&mut self, board: Board, now: Now, out: &mut Vec<Action>) {
        self.foreign = (board.format > FORMAT).then_some(board.format);
        // What another format says is unknown; what was promised binds on, what was not needs a word from here first.
        if self.foreign.is_some() || self.older(&board) {
            return;
        }
        self.learn(&board, out);
        self.failed
            .retain(|version, _| board.attempt.as_ref().is_some_and(|attempt| attempt.version == *version));
        let fence = board.attempt.as_ref().map(|attempt| attempt.fence);
        self.told.retain(|_, word| matches!(word, Command::Say { fence: of, .. } if Some(*of) == fence));
        self.board = Some(board);
        self.seat(out);
        self.settle(now, out);
        self.say(now, out);
        self.drive(now, out);
    }

    /// Whether a copy is older than what this node knows, by its memory or by its disk.
    fn older(&self, board: &Board) -> bool {
        let fences =
            [self.served.as_ref(), self.next.as_ref()].into_iter().flatten().map(|known| known.fence);
        let known = fences.chain(self.promise.as_ref().map(|promise| promise.fence)).max().unwrap_or(0);
        board.fence < known || self.board.as_ref().is_some_and(|last| board.revision < last.revision)
    }

    fn learn(&mut self, board: &Board, out: &mut Vec<Action>) {
        let known = self.next.as_ref().or(self.served.as_ref()).map_or(0, |known| known.fence);
        let decided = board.decided.as_ref().filter(|decided| decided.fence > known);
        let open = |promise: &Promise| board.attempt.as_ref().filter(|open| open.fence == promise.fence);
        let over = self.promise.as_ref().is_some_and(|promise| open(promise).is_none());
        if let Some((promise, open)) = self.promise.as_mut().and_then(|p| open(p).map(|open| (p, open))) {
            promise.floor = promise.floor.max(open.floor);
        }
        if over {
            self.promise = None;
        }
        if let Some(decided) = decided {
            self.next = Some(decided.clone());
            self.keep(out);
        }
    }

    /// Its seat, or a write for it; nothing before its disk has its life.
    fn seat(&mut self, out: &mut Vec<Action>) {
        if self.left {
            return self.leave(out);
        }
        if self.alone {
            return;
        }
        let held = self.board.as_ref().and_then(|board| board.roster.get(&self.name));
        self.taken = held.is_some_and(|held| held.life != self.life && held.gone.is_none());
        let mine = held.filter(|held| held.entry == self.entry);
        self.seated = mine.is_some_and(|held| held.gone.is_none());
        if mine.is_some() && !self.seated {
            self.entry = mixed(self.entry);
        }
        if !self.seated && !self.taken && self.kept > 0 {
            let seat = Seat { life: self.life, entry: self.entry, format: self.format, gone: None };
            out.push(Action::Write(vec![Command::Join { node: self.name.clone(), seat }]));
        }
    }

    /// Proves its own end, after its gate was given out by which nothing more is sent.
    pub(crate) fn leave(&mut self, out: &mut Vec<Action>) {
        let held = self.board.as_ref().and_then(|board| board.roster.get(&self.name));
        if held.is_some_and(|held| held.entry == self.entry && held.gone.is_none()) {
            let (node, entry, proof) = (self.name.clone(), self.entry, "it left".to_owned());
            out.push(Action::Write(vec![Command::Gone { node, entry, proof }]));
        }
    }

    /// Fetches what is needed and frees what is not.
    pub(crate) fn tables(&mut self, out: &mut Vec<Action>) {
        let open = &self.open;
        self.past.retain(|fence, _| open.get(fence).is_some_and(|count| *count > 0));
        self.open.retain(|_, count| *count > 0);
        let attempt = self.board.as_ref().and_then(|board| board.attempt.as_ref());
        let aside = attempt.map(|attempt| &attempt.version).filter(|v| v.format <= self.format);
        let known =
            [self.served.as_ref(), self.next.as_ref()].into_iter().flatten().map(|known| &known.version);
        let promised = self.promise.as_ref().map(|promise| &promise.version);
        let wanted: Vec<Version> = known.chain(promised).chain(aside).cloned().collect();
        let kept =
            |version: &Version| wanted.contains(version) || self.past.values().any(|past| past == version);
        let unneeded: Vec<Version> = self.built.keys().filter(|version| !kept(version)).cloned().collect();
        for version in unneeded {
            self.built.remove(&version);
            out.push(Action::Drop(version));
        }
        for version in wanted {
            let here = self.built.contains_key(&version) || self.fetching.contains(&version);
            let room = self.built.len() + self.fetching.len() < self.limits.most_built;
            if !here && room && !self.failed.contains_key(&version) {
                self.fetching.insert(version.clone());
                out.push(Action::Fetch(version));
            }
        }
    }
}
