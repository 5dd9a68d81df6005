//! How a node follows the activation record: it registers, learns decisions and fetches versions.

use crate::clock::{Micros, NodeTime};
use crate::event::ActivationAction;
use crate::node::{next_random, ActivationNode};
use crate::record::{ActivationRecord, NodeEntry};
use crate::version::{Version, FORMAT};
use crate::ActivationCommand;

/// Promise of a process that reported ready: it serves by the current version only before the floor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ReadyPromise {
    /// Fence of the attempt.
    pub(crate) fence: u64,
    /// Version that the attempt prepares.
    pub(crate) version: Version,
    /// Highest floor that was read.
    pub(crate) floor: Micros,
}

impl ActivationNode {
    pub(crate) fn on_record_read(
        &mut self,
        record: ActivationRecord,
        now: NodeTime,
        out: &mut Vec<ActivationAction>,
    ) {
        self.unknown_format = (record.format > FORMAT).then_some(record.format);
        // The content of a newer format is unknown. An existing promise remains binding, and there can be no
        // new one without a report from this node.
        if self.unknown_format.is_some() || self.is_outdated(&record) {
            return;
        }
        self.learn_decision(&record, out);
        self.failed
            .retain(|version, _| record.attempt.as_ref().is_some_and(|attempt| attempt.version == *version));
        let fence = record.attempt.as_ref().map(|attempt| attempt.fence);
        self.reports.retain(
            |_, report| matches!(report, ActivationCommand::Report { fence: of, .. } if Some(*of) == fence),
        );
        self.record = Some(record);
        self.register(out);
        self.switch_if_due(now, out);
        self.report(now, out);
        self.advance_attempt(now, out);
    }

    /// Whether a copy of the record is older than the state that this node has in memory or on disk.
    fn is_outdated(&self, record: &ActivationRecord) -> bool {
        let fences =
            [self.served.as_ref(), self.next.as_ref()].into_iter().flatten().map(|known| known.fence);
        let known = fences.chain(self.promise.as_ref().map(|promise| promise.fence)).max().unwrap_or(0);
        record.fence < known || self.record.as_ref().is_some_and(|last| record.revision < last.revision)
    }

    fn learn_decision(&mut self, record: &ActivationRecord, out: &mut Vec<ActivationAction>) {
        let known = self.next.as_ref().or(self.served.as_ref()).map_or(0, |known| known.fence);
        let decided = record.decided.as_ref().filter(|decided| decided.fence > known);
        let open_attempt =
            |promise: &ReadyPromise| record.attempt.as_ref().filter(|open| open.fence == promise.fence);
        let is_over = self.promise.as_ref().is_some_and(|promise| open_attempt(promise).is_none());
        if let Some((promise, open)) =
            self.promise.as_mut().and_then(|p| open_attempt(p).map(|open| (p, open)))
        {
            promise.floor = promise.floor.max(open.floor);
        }
        if is_over {
            self.promise = None;
        }
        if let Some(decided) = decided {
            self.next = Some(decided.clone());
            self.persist(out);
        }
    }

    /// Checks for the node's entry in the roster, or requests a write of it; nothing is written before `life`
    /// is on disk.
    fn register(&mut self, out: &mut Vec<ActivationAction>) {
        if self.leaving {
            return self.deregister(out);
        }
        if self.isolated {
            return;
        }
        let listed = self.record.as_ref().and_then(|record| record.roster.get(&self.name));
        self.name_taken = listed.is_some_and(|listed| listed.life != self.life && listed.gone.is_none());
        let own_entry = listed.filter(|listed| listed.entry == self.entry);
        self.registered = own_entry.is_some_and(|own_entry| own_entry.gone.is_none());
        if own_entry.is_some() && !self.registered {
            self.entry = next_random(self.entry);
        }
        if !self.registered && !self.name_taken && self.last_persisted > 0 {
            let node_entry =
                NodeEntry { life: self.life, entry: self.entry, format: self.format, gone: None };
            out.push(ActivationAction::Write(vec![ActivationCommand::Join {
                node: self.name.clone(),
                node_entry,
            }]));
        }
    }

    /// Records the node's own end, after a gate was published under which nothing more is sent.
    pub(crate) fn deregister(&mut self, out: &mut Vec<ActivationAction>) {
        let listed = self.record.as_ref().and_then(|record| record.roster.get(&self.name));
        if listed.is_some_and(|listed| listed.entry == self.entry && listed.gone.is_none()) {
            let (node, entry, proof) = (self.name.clone(), self.entry, "it left".to_owned());
            out.push(ActivationAction::Write(vec![ActivationCommand::MarkEnded { node, entry, proof }]));
        }
    }

    /// Fetches the versions that are needed and frees the others.
    pub(crate) fn update_tables(&mut self, out: &mut Vec<ActivationAction>) {
        let open_requests = &self.open_requests;
        self.retired.retain(|fence, _| open_requests.get(fence).is_some_and(|count| *count > 0));
        self.open_requests.retain(|_, count| *count > 0);
        let attempt = self.record.as_ref().and_then(|record| record.attempt.as_ref());
        let prepared = attempt.map(|attempt| &attempt.version).filter(|v| v.format <= self.format);
        let known =
            [self.served.as_ref(), self.next.as_ref()].into_iter().flatten().map(|known| &known.version);
        let promised = self.promise.as_ref().map(|promise| &promise.version);
        let wanted: Vec<Version> = known.chain(promised).chain(prepared).cloned().collect();
        let is_needed =
            |version: &Version| wanted.contains(version) || self.retired.values().any(|past| past == version);
        let unneeded: Vec<Version> =
            self.built.keys().filter(|version| !is_needed(version)).cloned().collect();
        for version in unneeded {
            self.built.remove(&version);
            out.push(ActivationAction::Free(version));
        }
        for version in wanted {
            let is_present = self.built.contains_key(&version) || self.fetching.contains(&version);
            let has_capacity = self.built.len() + self.fetching.len() < self.limits.most_built;
            if !is_present && has_capacity && !self.failed.contains_key(&version) {
                self.fetching.insert(version.clone());
                out.push(ActivationAction::Fetch(version));
            }
        }
    }
}
