//! What comes at whom, when, and what it does then.

use std::cmp::Reverse;

use super::{Process, Sim, LATEST};
use crate::message::{decode, encode, Answer, Ask, Says, MESSAGE_BYTES};
use crate::whole::{Micros, WholeId};

/// What comes at a moment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A process's turn.
    Turn(usize),
    /// Requests knock at a process.
    Knock(usize),
    Ask(usize, Vec<u8>),
    Answer(usize, Vec<u8>),
    /// The service confirmed an epoch to a process that asked at that moment of its clock.
    Confirmed(usize, Micros, u64),
    /// A request ends that holds a slot.
    Ends(usize, WholeId),
}

impl Sim {
    pub(super) fn push(&mut self, at: Micros, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    fn send(&mut self, from: usize, to: usize, bytes: &[u8], event: impl Fn(usize, Vec<u8>) -> Event) {
        let link = (self.processes[from].node, self.processes[to].node);
        let copies = match self.random.u64(..1_000) {
            _ if self.cut.contains(&link) => 0,
            chance if chance < self.loss => 0,
            chance if chance < 2 * self.loss => 2,
            _ => 1,
        };
        for _ in 0..copies {
            // Most are quick, some overtake others.
            let slow = if self.random.u64(..1_000) < self.slow { LATEST } else { 5_000 };
            let at = self.now + self.random.u64(100..slow);
            self.push(at, event(to, bytes.to_vec()));
        }
    }

    /// Plays on to that moment.
    pub fn run(&mut self, until: Micros) {
        while let Some(Reverse((at, ..))) = self.events.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            let (Event::Turn(who)
            | Event::Knock(who)
            | Event::Ask(who, _)
            | Event::Answer(who, _)
            | Event::Confirmed(who, ..)
            | Event::Ends(who, _)) = event;
            if self.processes[who].ended && !matches!(event, Event::Ends(..)) {
                continue;
            }
            // Requests end at the servers, whoever sleeps.
            if self.processes[who].asleep > at && !matches!(event, Event::Ends(..)) {
                let later = self.processes[who].asleep;
                self.push(later, event);
                continue;
            }
            self.play(who, event);
        }
        self.now = until;
    }

    fn play(&mut self, who: usize, event: Event) {
        let now = self.processes[who].local(self.now);
        let mut buffer = [0; MESSAGE_BYTES];
        match event {
            Event::Turn(_) => self.turn(who, now),
            Event::Knock(_) => {
                self.requests(who, now);
                self.push(self.now + self.knock, Event::Knock(who));
            }
            Event::Confirmed(_, sent, epoch) => self.processes[who].grantor.confirmed(sent, epoch),
            Event::Ask(_, bytes) => {
                let Ok(ask) = decode::<Ask>(&bytes) else { return self.check.fault("an ask that is none") };
                let Some(answer) = self.processes[who].grantor.on_ask(now, &ask) else { return };
                let Ok(length) = encode(&answer, &mut buffer) else {
                    return self.check.fault("a long answer");
                };
                let asker = |p: &Process| p.id == ask.from && p.life == ask.life;
                let Some(to) = self.processes.iter().position(asker) else { return };
                self.send(who, to, &buffer[..length], Event::Answer);
            }
            Event::Answer(_, bytes) => {
                let Ok(answer) = decode::<Answer>(&bytes) else {
                    return self.check.fault("an answer that is none");
                };
                self.processes[who].holder.on_answer(now, &answer);
                if let Says::Grant { parts, .. } = &answer.says {
                    for part in parts {
                        self.parts_of(who, part.whole);
                    }
                }
                self.ask(who, now);
            }
            Event::Ends(_, whole) => {
                if let Some(taker) = self.processes[who].holder.taker(whole) {
                    taker.give_back();
                }
                self.check.ended(whole);
            }
        }
    }

    fn turn(&mut self, who: usize, now: Micros) {
        let node = self.processes[who].node;
        if !self.unserved.contains(&node) {
            self.serve(who, now);
        }
        self.processes[who].grantor.sweep(now);
        self.ask(who, now);
        let next = self.now + self.settings.round - self.random.u64(..self.settings.round / 20 + 1);
        self.push(next, Event::Turn(who));
    }

    fn ask(&mut self, who: usize, now: Micros) {
        let asks = self.processes[who].holder.poll(now);
        let mut buffer = [0; MESSAGE_BYTES];
        for (to, ask) in asks {
            let Ok(length) = encode(&ask, &mut buffer) else { return self.check.fault("a long ask") };
            let sent = &mut self.processes[who].sent;
            *sent = (sent.0 + length as u64, sent.1 + 1);
            if let Some(to) = self.processes.iter().rposition(|process| process.id == to) {
                self.send(who, to, &buffer[..length], Event::Ask);
            }
        }
    }
}
