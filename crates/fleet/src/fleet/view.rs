//! What is asked of a node's part in the fleet, and what it is told to say.

use std::sync::Arc;

use super::{Fleet, Member};
use crate::wire::Keys;
use crate::{Action, Counts, Facts, Standing};

impl Fleet {
    /// All members, this one too, by name.
    pub fn members(&self) -> impl Iterator<Item = (&Arc<str>, &Member)> {
        self.members.iter()
    }

    /// A member.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// This node's name.
    pub fn me(&self) -> &Arc<str> {
        &self.me
    }

    /// What this node makes of its own place.
    pub fn standing(&self) -> Standing {
        match self.isolated {
            Some(since) => Standing::Isolated { since },
            None if self.members.len() < 2 => Standing::Alone,
            None if self.passed < self.catching => Standing::Catching,
            None => Standing::Together,
        }
    }

    /// Figures since the start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Lifeguard's doubt about oneself, 0 to 8.
    pub fn doubt(&self) -> u32 {
        self.doubt
    }

    /// Says something new of this node.
    pub fn say(&mut self, change: impl FnOnce(&mut Facts)) {
        let me = self.me.clone();
        self.touch(&me, |member| {
            change(&mut member.facts);
            member.incarnation += 1;
        });
        self.spread(&me);
    }

    /// Other keys from now on.
    pub fn rekey(&mut self, keys: Keys) {
        self.keys = Arc::new(keys);
    }

    /// The next thing to do.
    pub fn act(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }
}
