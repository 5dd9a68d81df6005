//! Every change of the board, as a function of what was read and of the clock of who makes it.

use crate::board::{Attempt, Board, Decision, Seat, Word, MOST_SEATS};
use crate::clock::{Clock, Micros};
use crate::version::{Version, LONGEST_TEXT};
use crate::{Command, Refusal};

impl Board {
    /// The board after a command; for a write over the version that was read, and no other.
    ///
    /// However late that write arrives, it is right: a moment is at or after the floor of the very document that it
    /// replaces, and nobody who said its word has answered by the old version beyond that floor.
    ///
    /// # Errors
    /// Why it is not done.
    pub fn take(&self, command: Command, clock: Clock) -> Result<Board, Refusal> {
        let mut next = self.clone();
        next.change(command, clock)?;
        if next != *self {
            next.revision += 1;
        }
        Ok(next)
    }

    /// Several in one write, in their order: the words that one node heard of others, and its decision. A word binds its node from
    /// before it is said, so who carries it to the board, how late and how often does not matter.
    pub fn take_all(&self, commands: Vec<Command>, clock: Clock) -> (Board, Vec<Refusal>) {
        let (mut next, mut refused) = (self.clone(), Vec::new());
        for command in commands {
            refused.extend(next.change(command, clock).err());
        }
        if next != *self {
            next.revision += 1;
        }
        (next, refused)
    }

    /// Looks before it changes anything: what is refused leaves the board as it was.
    fn change(&mut self, command: Command, clock: Clock) -> Result<(), Refusal> {
        match command {
            Command::Join { node, seat } => self.join(node, seat),
            Command::Gone { node, entry, proof } => {
                let seat = self.roster.get_mut(&node).filter(|seat| seat.entry == entry);
                let seat = seat.ok_or(Refusal::Stranger(node))?;
                seat.gone.get_or_insert(bounded(proof)?);
                Ok(())
            }
            Command::Strike(node) => match self.roster.get(&node) {
                Some(seat) if seat.gone.is_none() => Err(Refusal::Taken(node)),
                _ => {
                    self.roster.remove(&node);
                    Ok(())
                }
            },
            Command::Open { author, version } => self.open(bounded(author)?, version, clock),
            Command::Say { node, entry, fence, word } => self.say(node, entry, fence, word),
            Command::Extend(fence) => {
                let (_, latest) = self.sure(clock)?;
                let floor = latest.saturating_add(self.rules.lead);
                let attempt = self.at(fence)?;
                if latest >= attempt.until {
                    return Err(Refusal::Late(fence));
                }
                attempt.floor = attempt.floor.max(floor);
                Ok(())
            }
            Command::Decide(fence) => self.decide(fence, clock),
            Command::End { by, fence } => {
                let missing = self.missing().err();
                let over = self.sure(clock).map(|(earliest, _)| earliest);
                let attempt = self.at(fence)?;
                let why = match (missing, over) {
                    (Some(missing), _) => missing.to_string(),
                    (None, Ok(now)) if now >= attempt.until => {
                        let waited = self.waited_for();
                        format!("timed out, ended by {by}; not ready: {}", waited.join(" "))
                    }
                    _ if attempt.author == by => format!("ended by its author {by}"),
                    _ => {
                        let (author, until) = (attempt.author.clone(), attempt.until);
                        return Err(Refusal::Early { fence, author, until });
                    }
                };
                self.end(why);
                Ok(())
            }
            Command::Withdraw { fence, why } => {
                let (number, why) = (self.at(fence)?.version.number, bounded(why)?);
                self.least = self.least.max(number);
                self.end(format!("withdrawn: {why}"));
                Ok(())
            }
            Command::Rules(rules) => {
                rules.check()?;
                if let Some(attempt) = &self.attempt {
                    return Err(another(attempt));
                }
                self.rules = rules;
                Ok(())
            }
        }
    }

    fn join(&mut self, node: String, seat: Seat) -> Result<(), Refusal> {
        let node = bounded(node)?;
        match self.roster.get(&node) {
            Some(held) if held.entry == seat.entry && held.gone.is_some() => {
                return Err(Refusal::Ended(node))
            }
            // The same disk has one process at a time, by its lock: the earlier one has ended.
            Some(held) if held.life != seat.life && held.gone.is_none() => return Err(Refusal::Taken(node)),
            None if self.roster.len() >= MOST_SEATS => {
                return Err(Refusal::Bound(format!(
                    "{MOST_SEATS} seats: strike those that are gone for good"
                )));
            }
            _ => {}
        }
        self.roster.insert(node, Seat { gone: None, ..seat });
        Ok(())
    }

    fn open(&mut self, author: String, version: Version, clock: Clock) -> Result<(), Refusal> {
        let (earliest, latest) = self.sure(clock)?;
        if let Some(attempt) = &self.attempt {
            let same = attempt.author == author && attempt.version == version;
            return if same { Ok(()) } else { Err(another(attempt)) };
        }
        if let Some(last) = self.decided.as_ref().filter(|last| earliest < last.moment) {
            return Err(Refusal::Switching { number: last.version.number, moment: last.moment });
        }
        if version.number <= self.least {
            return Err(Refusal::Stale { number: version.number, least: self.least });
        }
        let version = Version { digest: bounded(version.digest)?, ..version };
        self.missing()?;
        self.fence += 1;
        let (until, floor) =
            (latest.saturating_add(self.rules.patience), latest.saturating_add(self.rules.lead));
        let ready = Default::default();
        self.attempt = Some(Attempt { fence: self.fence, version, author, until, floor, ready });
        Ok(())
    }

    fn say(&mut self, node: String, entry: u64, fence: u64, word: Word) -> Result<(), Refusal> {
        let seated = self.roster.get(&node).is_some_and(|seat| seat.entry == entry && seat.gone.is_none());
        if !seated {
            return Err(Refusal::Stranger(node));
        }
        let attempt = self.at(fence)?;
        match word {
            Word::Ready(digest) if digest == attempt.version.digest => {
                attempt.ready.insert(node, entry);
            }
            Word::Ready(digest) => {
                let why = format!("{node} built {digest} of what should be {}", attempt.version.digest);
                self.end(why);
            }
            Word::Cannot(why) => self.end(format!("{node} can't: {}", bounded(why)?)),
        }
        Ok(())
    }

    fn decide(&mut self, fence: u64, clock: Clock) -> Result<(), Refusal> {
        let (_, latest) = self.sure(clock)?;
        let lead = self.rules.lead;
        if let Some(done) = self.decided.as_ref().filter(|done| done.fence == fence) {
            return Err(Refusal::Decided { fence, moment: done.moment });
        }
        let attempt = self.at(fence)?;
        if latest >= attempt.until {
            return Err(Refusal::Late(fence));
        }
        let moment = attempt.floor.max(latest.saturating_add(lead));
        let version = attempt.version.clone();
        self.missing()?;
        let waited = self.waited_for();
        if !waited.is_empty() {
            return Err(Refusal::Waits(waited));
        }
        self.least = self.least.max(version.number);
        let after = self.decided.as_ref().map_or(0, |last| last.fence);
        (self.decided, self.attempt) = (Some(Decision { fence, version, moment, after }), None);
        Ok(())
    }

    fn at(&mut self, fence: u64) -> Result<&mut Attempt, Refusal> {
        if let Some(done) = self.decided.as_ref().filter(|done| done.fence == fence) {
            return Err(Refusal::Decided { fence, moment: done.moment });
        }
        self.attempt.as_mut().filter(|attempt| attempt.fence == fence).ok_or(Refusal::Fenced(fence))
    }

    fn sure(&self, clock: Clock) -> Result<(Micros, Micros), Refusal> {
        clock.within(self.rules.widest).ok_or(Refusal::Clock(self.rules.widest))
    }
}

fn another(attempt: &Attempt) -> Refusal {
    let (author, number) = (attempt.author.clone(), attempt.version.number);
    Refusal::Another { author, number, fence: attempt.fence }
}

fn bounded(text: String) -> Result<String, Refusal> {
    match text.len() {
        0 => Err(Refusal::Bound("a name, a digest or a reason is empty: write one".into())),
        1..=LONGEST_TEXT => Ok(text),
        long => Err(Refusal::Bound(format!("a text has {long} bytes: {LONGEST_TEXT} at most"))),
    }
}
