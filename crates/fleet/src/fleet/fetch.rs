//! What telling lost is fetched, and who is not known or dead is looked for.

use std::sync::Arc;

use super::send::{dead, section, word};
use super::{Fleet, Member, Pull};
use crate::wire::{Body, Writer};
use crate::{Life, Millis};

impl Fleet {
    /// Looks for those of whom nothing is known and for the dead, and goes on with what was pulled.
    pub(super) fn reaching(&mut self, now: Millis) {
        if let Some(pull) = &mut self.pull {
            if now >= pull.again {
                pull.tries += 1;
                pull.again = now + self.settings.timeout;
                if pull.tries > 5 {
                    self.pull = None;
                } else {
                    let (from, after, sections) = (pull.from.clone(), pull.after.clone(), pull.sections);
                    self.send(&from, &Body::Pull { after: &after, sections });
                }
            }
        }
        if now < self.reach_at {
            return;
        }
        let every = if self.members.len() < 2 { 1 } else { 3 };
        self.reach_at = now + self.settings.interval * every;
        let forget = self.settings.forget;
        let dead = |m: &Member| m.life == Life::Dead;
        let old = self.members.iter().filter(|(_, m)| dead(m) && now >= m.since + forget);
        for name in old.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            self.forget(&name);
        }
        let unknown = self.known.keys().filter(|name| !self.members.contains_key(*name));
        let gone = self.members.iter().filter(|(_, member)| dead(member)).map(|(name, _)| name);
        let far: Vec<Arc<str>> = unknown.chain(gone).cloned().collect();
        if far.is_empty() {
            return;
        }
        let name = far[self.random.usize(..far.len())].clone();
        if self.members.contains_key(&name) {
            let nonce = self.random.u32(..);
            self.send(&name, &Body::Ping { nonce, to: &name });
        } else if self.pull.is_none() {
            self.pull_from(now, &name, u16::MAX);
        }
    }

    pub(super) fn pull_from(&mut self, now: Millis, name: &Arc<str>, sections: u16) {
        let again = now + self.settings.timeout;
        self.pull = Some(Pull { from: name.clone(), after: String::new(), sections, again, tries: 0 });
        self.send(name, &Body::Pull { after: "", sections });
    }

    /// Sends those whose names come after this one, as many as fit.
    pub(super) fn page(&mut self, to: &Arc<str>, after: &str, sections: u16) {
        let Some(addr) = self.address(to) else { return };
        let range = (std::ops::Bound::Excluded(Arc::<str>::from(after)), std::ops::Bound::Unbounded);
        let fill = |last| {
            let mut writer = Writer::new(&self.keys, &self.head(), &Body::Page { last });
            let asked = |(name, _): &(&Arc<str>, &Member)| sections & 1 << section(name) != 0;
            let all = self.members.range::<Arc<str>, _>(range.clone()).filter(asked).all(|(name, member)| {
                let updates = [word(name, member), dead(name, member)];
                writer.add_all(&updates[..if member.life == Life::Dead { 2 } else { 1 }])
            });
            (writer, all)
        };
        let (writer, all) = fill(true);
        let writer = if all { writer } else { fill(false).0 };
        let bytes = writer.done(&self.keys);
        self.post(addr, bytes);
    }
}
