//! A node's turn, the faults, the operator, and the checker.

use woodgap_activation::*;

use super::{name, Life, Lot, Open, Process, World, LIMITS, NODES, PARTS, RULES, SETTLED, STEP};

impl World {
    pub(super) fn turn(&mut self, at: usize, faults: bool) {
        match self.nodes[at].life {
            Life::Dead(until) if self.now >= until => return self.start(at),
            Life::Stopped(until) if self.now >= until => {
                (self.nodes[at].life, self.nodes[at].lot.woke) = (Life::Up, self.now);
            }
            Life::Up => {}
            _ => return,
        }
        // Who wakes writes before it takes in anything, by the numbers that it had.
        self.sends(at);
        if self.reaches(at) || self.now >= self.nodes[at].lot.no_fleet {
            self.nodes[at].lot.heard = self.now;
            let local = self.clock(at).local;
            self.give(at, Event::Heard(local));
        }
        self.all.asked += 1;
        let (id, now, gate) = (self.all.asked, self.clock(at), self.nodes[at].gate);
        let part = (id % 3) as usize;
        match gate.look(now) {
            Serving::By(fence) if fence == gate.current && id % 2 == 0 => {
                let taken = Taken { fence, alike: 0, choice: false, at: now.local };
                self.nodes[at].node.count(taken);
                self.taken(at, part, taken);
            }
            _ => self.ask(at, id, part),
        }
        self.give(at, Event::Tick);
        let lost = faults && self.nodes[at].lot.open.len() > 200;
        assert!(!lost, "requests are never over");
    }

    fn ask(&mut self, at: usize, id: u64, part: usize) {
        let part = Some(PARTS[part].to_owned());
        self.give(at, Event::RequestIn { id, belongs: Belongs { old: part.clone(), new: part } });
    }

    fn start(&mut self, at: usize) {
        let (draw, now, disk) = (self.rng.u64(..), self.clock(at), self.nodes[at].lot.disk.clone());
        let (node, actions) = Node::start(&name(at), LIMITS, disk.clone(), draw, now);
        let last = std::mem::take(&mut self.nodes[at].lot);
        let Lot { skew, answered, no_service, no_fleet, .. } = last;
        let (started, heard) = (last.started + 1, self.now);
        let lot = Lot { started, disk, heard, skew, answered, no_service, no_fleet, ..Lot::default() };
        self.nodes[at] = Process { gate: node.gate(), node, life: Life::Up, lot };
        self.carry(at, actions);
    }

    /// A request was taken: some are sent at once, some by a later turn.
    pub(super) fn taken(&mut self, at: usize, part: usize, taken: Taken) {
        let deadline = self.clock(at).local + self.rng.u64(10_000..200_000);
        self.nodes[at].lot.open.push(Open { part, taken, deadline, sent: false });
        if self.rng.bool() {
            self.sends(at);
        }
    }

    /// Attempts that are due, each by the look of the turn that writes.
    fn sends(&mut self, at: usize) {
        for mut open in std::mem::take(&mut self.nodes[at].lot.open) {
            let (now, gate) = (self.clock(at), self.nodes[at].gate);
            let over = Event::RequestOver(open.taken);
            if open.sent && self.rng.u32(..8) > 0 {
                self.nodes[at].lot.open.push(open);
                continue;
            }
            let sending = if open.sent { Sending::Again { deadline: open.deadline } } else { Sending::First };
            match gate.may_send(&open.taken, sending, now) {
                May::Go => {
                    self.written(at, &open, now.local);
                    open.sent = true;
                    match self.rng.u32(..4) {
                        0 => self.nodes[at].lot.open.push(open),
                        _ => self.give(at, over),
                    }
                }
                May::Never => self.give(at, over),
                May::Retake => {
                    self.give(at, over);
                    self.all.asked += 3;
                    let id = self.all.asked - self.all.asked % 3 + open.part as u64;
                    self.all.asked = id + 3;
                    self.ask(at, id, open.part);
                }
            }
        }
    }

    /// The checker: what was written, by which version, at which true time.
    fn written(&mut self, at: usize, open: &Open, local: Micros) {
        let (part, fence, choice) = (open.part, open.taken.fence, open.taken.choice);
        self.note("answers", 1);
        let old = part != 0 && fence < self.all.newest[part];
        let taken_at = self.now - (local - open.taken.at);
        match (open.sent, old) {
            (false, true) if choice && part == 2 => self.note("by_choice", 1),
            (false, true) => self.note("old_after_new", 1),
            (true, true) if !choice => {
                let slept = self.nodes[at].lot.woke > taken_at;
                self.note("late_sends", u64::from(slept || local >= open.deadline));
                self.note("again_old", 1);
            }
            _ => {}
        }
        if !choice && !open.sent {
            self.all.newest[part] = self.all.newest[part].max(fence);
            let first = *self.all.first.entry(fence).or_insert(self.now);
            if self.nodes[at].lot.answered < fence {
                self.nodes[at].lot.answered = fence;
                self.note("spread_ms_max", (self.now - first) / 1_000);
            }
        }
    }

    pub(super) fn waited(&mut self, at: usize, id: u64) {
        let lot = &mut self.nodes[at].lot;
        let (since, woke) = (lot.held.remove(&id).unwrap_or(self.now), lot.woke);
        if woke < since {
            self.note("held_ms_max", (self.now - since) / 1_000);
            self.note("held_too_long", u64::from(self.now - since > LIMITS.hold_for + 2 * STEP));
        }
    }

    pub(super) fn fault(&mut self) {
        let at = self.rng.usize(..NODES);
        let until = self.now + self.rng.u64(..1_500_000);
        let up = self.nodes[at].life == Life::Up;
        match self.rng.u32(..2_600) {
            0 => self.all.out = until,
            1 => (self.nodes[at].lot.no_service, self.nodes[at].lot.no_fleet) = (until, until),
            2 | 3 => self.nodes[at].lot.no_service = until,
            4 | 5 if up => self.nodes[at].life = Life::Stopped(until),
            6 | 7 if up => self.nodes[at].life = Life::Dead(until),
            8 => self.nodes[at].lot.unsure = until,
            9..=20 => self.nodes[at].lot.skew = (self.rng.u64(..=5_000), self.rng.u64(..=5_000)),
            // Seen by `permits`: nobody can have heard it for longer than it goes on alone.
            21..=200 if self.now > self.nodes[at].lot.heard + LIMITS.alone + 50_000 => {
                let entry = self.board.roster.get(&name(at)).map_or(0, |seat| seat.entry);
                let gone = Command::Gone { node: name(at), entry, proof: "alone for long enough".into() };
                self.apply(0, gone);
            }
            _ => {}
        }
    }

    fn apply(&mut self, at: usize, command: Command) {
        if let Ok(next) = self.board.take(command, self.clock(at).clock) {
            self.board = next;
        }
    }

    /// Opens the next version once there is none, and withdraws a few.
    pub(super) fn operate(&mut self, faults: bool) {
        let (at, number) = (self.rng.usize(..NODES), self.all.numbers + 1);
        match &self.board.attempt {
            None if !self.all.closed && self.nodes[at].life == Life::Up && self.reaches(at) => {
                let version = Version { number, digest: format!("d{number}"), format: FORMAT };
                self.apply(at, Command::Open { author: name(at), version });
                self.all.numbers += u64::from(self.board.attempt.is_some());
            }
            Some(attempt) if faults && self.rng.u32(..4_000) == 0 => {
                let fence = attempt.fence;
                self.apply(at, Command::Withdraw { fence, why: "seen to be wrong".into() });
            }
            _ => {}
        }
        let open = self.board.attempt.as_ref().map_or(0, |attempt| attempt.fence);
        if open != self.all.opened.0 {
            let decided = self.board.decided.as_ref().map_or(0, |decided| decided.fence);
            self.note("ended", u64::from(self.all.opened.0 > decided));
            self.all.opened = (open, self.now, false);
        }
        let hung = open != 0 && !self.all.opened.2 && self.now - self.all.opened.1 > RULES.patience + SETTLED;
        self.note("hung", u64::from(hung));
        self.all.opened.2 |= hung;
    }

    /// Without faults and with nothing new, all come to serve what was decided last.
    pub fn ends_well(&mut self) {
        self.all.closed = true;
        (0..(RULES.patience + SETTLED) / STEP).for_each(|_| self.step(false));
        let decided = self.board.decided.as_ref().map_or(0, |decided| decided.fence);
        assert!(self.board.attempt.is_none(), "{:?}", self.board.attempt);
        for at in 0..NODES {
            let (gate, now) = (self.nodes[at].gate, self.clock(at));
            assert_eq!(gate.look(now), Serving::By(decided), "{at}: {:?}", self.nodes[at].node.why(now));
        }
    }
}
