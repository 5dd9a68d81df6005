//! The open attempt at a node: its word, the words of others, and what is due.

use crate::board::Word;
use crate::clock::{Micros, Now};
use crate::event::Action;
use crate::follow::Promise;
use crate::node::Node;
use crate::Command;

impl Node {
    /// A word of another node, kept for the next turn in which this node drives.
    pub(crate) fn hear(&mut self, word: Command) {
        let attempt = self.board.as_ref().and_then(|board| board.attempt.as_ref());
        if let Command::Say { node, fence, .. } = &word {
            let seated = self.board.as_ref().is_some_and(|board| board.roster.contains_key(node));
            if seated && attempt.is_some_and(|attempt| attempt.fence == *fence) {
                self.told.insert(node.clone(), word);
            }
        }
    }

    /// Says its word, and is bound by it from here on, whether or not it is ever written.
    pub(crate) fn say(&mut self, now: Now, out: &mut Vec<Action>) {
        let Some((board, attempt)) = self.board.as_ref().and_then(|b| Some((b, b.attempt.as_ref()?))) else {
            return;
        };
        let fence = attempt.fence;
        // Who has not settled what is served has no tables to go on by, and prepares nothing further.
        let settled = self.next.is_none()
            && board.decided.as_ref().map(|d| d.fence) == self.served.as_ref().map(|s| s.fence);
        let said = attempt.ready.get(&self.name) == Some(&self.entry);
        if !self.seated || said || !settled {
            return;
        }
        let word = match self.built.get(&attempt.version) {
            _ if attempt.version.format > self.format => {
                let needs = attempt.version.format;
                Some(Word::Cannot(format!("format {needs}, this program reads {}: renew it", self.format)))
            }
            _ if self.failed.contains_key(&attempt.version) => {
                Some(Word::Cannot(self.failed[&attempt.version].clone()))
            }
            // For a while, as at a start: then an operator has to look.
            Some(_) if self.unsure.is_some() => {
                let since = now.local.saturating_sub(self.unsure.unwrap_or(now.local));
                let widest = board.rules.widest;
                (since >= board.rules.lead)
                    .then(|| Word::Cannot(format!("its clock is not known to within {widest} us")))
            }
            Some(_) => Some(Word::Ready(attempt.version.digest.clone())),
            None => None,
        };
        let Some(word) = word else { return };
        let promised = self.promise.as_ref().is_some_and(|promise| promise.fence == fence);
        if matches!(word, Word::Ready(_)) && !promised {
            let (version, floor) = (attempt.version.clone(), attempt.floor);
            self.promise = Some(Promise { fence, version, floor });
        }
        let (node, entry, lead) = (self.name.clone(), self.entry, board.rules.lead);
        let say = Command::Say { node: node.clone(), entry, fence, word };
        self.told.insert(node, say.clone());
        let unsaid = self.unsaid.filter(|(of, _)| *of == fence).unwrap_or((fence, now.local));
        self.unsaid = Some(unsaid);
        if now.local.saturating_sub(unsaid.1) >= lead / 4 {
            // Nobody who drives has heard it, or there is nobody: by itself, though others write too.
            out.push(Action::Write(vec![say.clone()]));
        }
        out.push(Action::Tell(say));
    }

    /// What is due at the open attempt: its author at once, the others by their place once it is late.
    pub(crate) fn drive(&mut self, now: Now, out: &mut Vec<Action>) {
        let Some((board, attempt)) = self.board.as_ref().and_then(|b| Some((b, b.attempt.as_ref()?))) else {
            return;
        };
        let Some((earliest, latest)) = now.clock.within(board.rules.widest).filter(|_| self.seated) else {
            return;
        };
        let (lead, fence, author) = (board.rules.lead, attempt.fence, attempt.author == self.name);
        let rank =
            if author { 0 } else { 1 + board.roster.keys().take_while(|name| **name != self.name).count() };
        let late = lead / 2 - lead / 32 * (rank.min(8) as Micros);
        let low = attempt.floor.saturating_sub(latest) < late;
        // What was heard of others goes with it, in the same write.
        let ready = |name: &str| attempt.ready.contains_key(name);
        let told = self.told.iter().filter(|(name, _)| !ready(name)).map(|(_, word)| word.clone());
        let mut commands: Vec<Command> = told.collect();
        let (board, _) = board.take_all(commands.clone(), now.clock);
        let by = self.name.clone();
        let command = match () {
            // Once its time is over, whoever comes first.
            _ if !author && !low && earliest < attempt.until => return,
            _ if board.missing().is_err() || earliest >= attempt.until => Command::End { by, fence },
            _ if latest >= attempt.until => return,
            _ if board.attempt.is_some() && board.waited_for().is_empty() => Command::Decide(fence),
            _ if low => Command::Extend(fence),
            _ if commands.is_empty() => return,
            _ => return out.push(Action::Write(commands)),
        };
        commands.push(command);
        out.push(Action::Write(commands));
    }
}
