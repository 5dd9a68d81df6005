//! From a missed probe to a death, and what contradicts it.

use std::sync::Arc;

use super::{Fleet, CONFIRMS, MOST_DOUBT};
use crate::wire::Update;
use crate::{Event, Life, Millis, Phase};

impl Fleet {
    pub(super) fn suspicion(&mut self, now: Millis) {
        if self.quiet(now) {
            return;
        }
        // Told again at half of its time: who has heard the contradiction answers each that tells otherwise.
        let called = |name: &&Arc<str>| {
            self.members.get(*name).is_some_and(|member| !member.called) && self.over(now, name, 0.5)
        };
        for name in self.suspects.iter().filter(called).cloned().collect::<Vec<_>>() {
            if let Some(member) = self.members.get_mut(&name) {
                member.called = true;
            }
            self.spread(&name);
        }
        let over: Vec<Arc<str>> =
            self.suspects.iter().filter(|name| self.over(now, name, 1.0)).cloned().collect();
        for name in over {
            let Some(incarnation) = self.members.get(&name).map(|member| member.incarnation) else {
                continue;
            };
            self.bury(now, &name, incarnation);
        }
    }

    /// Whether a suspicion has lasted for this part of its time: shorter with each member that confirms it, longer with doubt about
    /// oneself.
    pub(super) fn over(&self, now: Millis, name: &str, part: f64) -> bool {
        let Some(member) = self.members.get(name) else { return false };
        let members = self.order.len() as f64 + 1.0;
        let least = self.settings.suspicion * members.log10().max(1.0) * self.settings.interval as f64;
        let most = least * self.settings.patience;
        // Who says that it goes has not to be waited for.
        let (least, most) = if member.facts.phase == Phase::Out { (0.0, least) } else { (least, most) };
        let confirms = (member.by.len().saturating_sub(1)).min(CONFIRMS) as f64;
        let sooner = (confirms + 1.0).ln() / (CONFIRMS as f64 + 1.0).ln();
        let lasts = (most - (most - least) * sooner).max(least) * f64::from(self.doubt + 1);
        now.saturating_sub(member.since) as f64 >= lasts * part
    }

    pub(super) fn suspect(&mut self, now: Millis, name: &Arc<str>, incarnation: u64, by: &Arc<str>) {
        let Some(member) = self.members.get_mut(name) else { return };
        if incarnation < member.incarnation || member.life == Life::Dead {
            return;
        }
        if member.life == Life::Alive {
            (member.life, member.since, member.called) = (Life::Suspect, now, false);
            member.by = vec![by.clone()];
            self.suspects.insert(name.clone());
            self.counts.suspected += u64::from(*by == self.me);
            self.spread(name);
            self.tell(Event::Suspected(name.clone()));
        } else if !member.by.contains(by) && member.by.len() <= CONFIRMS {
            member.by.push(by.clone());
            self.spread(name);
        }
    }

    pub(super) fn bury(&mut self, now: Millis, name: &Arc<str>, incarnation: u64) {
        self.suspects.remove(name);
        self.touch(name, |member| {
            (member.life, member.since, member.incarnation) = (Life::Dead, now, incarnation);
            member.by.clear();
        });
        self.counts.died += 1;
        self.spread(name);
        self.tell(Event::Died(name.clone()));
    }

    /// Whom this wrongs: one who has contradicted it here already.
    pub(super) fn contradicted(&self, update: &Update<'_>) -> Option<Arc<str>> {
        let (Update::Suspect { name, incarnation, .. } | Update::Dead { name, incarnation }) = *update else {
            return None;
        };
        let (of, member) = self.members.get_key_value(name)?;
        (member.incarnation > incarnation && member.life == Life::Alive).then(|| of.clone())
    }

    pub(super) fn contradict(&mut self, incarnation: u64) {
        let me = self.me.clone();
        if self.members.get(&me).is_none_or(|member| incarnation < member.incarnation) {
            return;
        }
        if self.members.get(&me).is_some_and(|member| incarnation > member.incarnation) {
            self.epoch = self.epoch.max(incarnation + 1);
        }
        self.touch(&me, |member| member.incarnation = incarnation + 1);
        self.doubt = (self.doubt + 1).min(MOST_DOUBT);
        self.counts.contradicted += 1;
        self.spread(&me);
        self.tell(Event::Contradicted);
    }
}
