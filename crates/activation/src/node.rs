//! One node's state machine of activation: its state and the handling of an event.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::clock::{Micros, NodeTime};
use crate::event::{ActivationAction, ActivationEvent};
use crate::follower::ReadyPromise;
use crate::persisted::PersistedState;
use crate::record::{ActivationDecision, ActivationRecord};
use crate::version::{RequestOwners, TenantParts, Version, FORMAT, MAX_PARTS};
use crate::{ActivationCommand, ActivationRules, NodeLimits};

/// State machine of one node: events in, actions out, without I/O.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ActivationNode {
    pub(crate) name: String,
    pub(crate) limits: NodeLimits,
    /// Newest format that the program reads.
    pub(crate) format: u32,
    pub(crate) life: u64,
    pub(crate) entry: u64,
    /// Whether the node's entry is in the roster.
    pub(crate) registered: bool,
    /// Whether the node was isolated from the service and most of the roster and has had no contact since.
    pub(crate) isolated: bool,
    pub(crate) last_contact: Micros,
    /// Whether the node is shutting down and admits nothing more.
    pub(crate) leaving: bool,
    /// Whether a process of another disk has the entry of this name.
    pub(crate) name_taken: bool,
    /// Format of the record, if this program cannot read it.
    pub(crate) unknown_format: Option<u32>,
    pub(crate) record: Option<ActivationRecord>,
    pub(crate) served: Option<ActivationDecision>,
    pub(crate) next: Option<ActivationDecision>,
    pub(crate) promise: Option<ReadyPromise>,
    /// Versions that are built, each with the expected digest.
    pub(crate) built: BTreeMap<Version, TenantParts>,
    pub(crate) fetching: BTreeSet<Version>,
    pub(crate) failed: BTreeMap<Version, String>,
    /// Number of open requests by the fence under which they were admitted.
    pub(crate) open_requests: BTreeMap<u64, u64>,
    /// Versions that are no longer served and still have open requests, by fence.
    pub(crate) retired: BTreeMap<u64, Version>,
    pub(crate) held_requests: VecDeque<(u64, RequestOwners)>,
    /// Time since which requests are held.
    pub(crate) holding_since: Option<Micros>,
    /// Reports of other nodes for the open attempt.
    pub(crate) reports: BTreeMap<String, ActivationCommand>,
    /// Fence of the attempt, and time since which this node's own report is not in the record.
    pub(crate) unrecorded_report: Option<(u64, Micros)>,
    /// Time since which the clock is too uncertain.
    pub(crate) clock_uncertain_since: Option<Micros>,
    pub(crate) last_event_at: Micros,
    pub(crate) resumed_at: Micros,
    pub(crate) last_read_at: Option<Micros>,
    /// Sequence numbers of the last `Persist` and the last `Persisted`.
    last_persist: u64,
    pub(crate) last_persisted: u64,
}

impl ActivationNode {
    /// Starts a process from the state on its disk. `draw` must be a new random number at each start.
    pub fn start(
        name: &str,
        limits: NodeLimits,
        disk: Option<PersistedState>,
        draw: u64,
        now: NodeTime,
    ) -> (ActivationNode, Vec<ActivationAction>) {
        ActivationNode::start_with_format(FORMAT, name, limits, disk, draw, now)
    }

    /// Starts a process of a program that reads versions up to another format.
    pub fn start_with_format(
        format: u32,
        name: &str,
        limits: NodeLimits,
        disk: Option<PersistedState>,
        draw: u64,
        now: NodeTime,
    ) -> (ActivationNode, Vec<ActivationAction>) {
        let (life, entry) = (disk.as_ref().map_or(draw, |disk| disk.life), draw);
        let (served, next) = disk.map_or((None, None), |disk| (disk.served, disk.next));
        let mut node = ActivationNode {
            name: name.to_owned(),
            limits,
            format,
            life,
            entry,
            registered: false,
            isolated: false,
            last_contact: now.local,
            leaving: false,
            name_taken: false,
            unknown_format: None,
            record: None,
            served,
            next,
            promise: None,
            built: BTreeMap::new(),
            fetching: BTreeSet::new(),
            failed: BTreeMap::new(),
            open_requests: BTreeMap::new(),
            retired: BTreeMap::new(),
            held_requests: VecDeque::new(),
            holding_since: None,
            reports: BTreeMap::new(),
            unrecorded_report: None,
            clock_uncertain_since: None,
            last_event_at: now.local,
            resumed_at: now.local,
            last_read_at: None,
            last_persist: 0,
            last_persisted: 0,
        };
        let mut out = Vec::new();
        node.persist(&mut out);
        node.after_event(now, &mut out);
        (node, out)
    }

    /// Handles an event. The caller publishes [`ActivationNode::gate`] before it carries out any of the
    /// actions.
    pub fn handle_event(&mut self, event: ActivationEvent, now: NodeTime) -> Vec<ActivationAction> {
        if now.local.saturating_sub(self.last_event_at) > self.limits.longest_turn {
            self.resumed_at = now.local;
        }
        self.last_event_at = now.local;
        if now.local.saturating_sub(self.last_contact) > self.limits.alone {
            (self.isolated, self.registered) = (true, false);
        }
        let mut out = Vec::new();
        // A due switch comes first, so that a request of this event is admitted by the version that is served
        // now.
        self.switch_if_due(now, &mut out);
        match event {
            ActivationEvent::RecordRead(record) => self.on_record_read(record, now, &mut out),
            ActivationEvent::Fetched { version, digest, parts } => {
                self.fetching.remove(&version);
                let problem = match parts.len() {
                    many if many > MAX_PARTS => Some(format!("{many} parts, {MAX_PARTS} at most")),
                    _ if digest != version.digest => {
                        Some(format!("built {digest} of what should be {}", version.digest))
                    }
                    _ => None,
                };
                match problem {
                    Some(why) => drop(self.failed.insert(version, why)),
                    None => drop(self.built.insert(version, parts)),
                }
                self.report(now, &mut out);
            }
            ActivationEvent::FetchFailed { version, why } => {
                self.fetching.remove(&version);
                self.failed.insert(version, why);
                self.report(now, &mut out);
            }
            ActivationEvent::Persisted(seq) => {
                self.last_persisted = self.last_persisted.max(seq);
                self.report(now, &mut out);
            }
            ActivationEvent::LastContact(at) => {
                self.last_contact = self.last_contact.max(at);
                // The node's end may have been proven meanwhile, so the node follows the record only once it
                // has registered again.
                if self.isolated && now.local.saturating_sub(at) <= self.limits.alone {
                    (self.isolated, self.entry) = (false, next_random(self.entry));
                }
            }
            ActivationEvent::ReportReceived(report) => self.receive_report(report),
            ActivationEvent::Leave => {
                (self.leaving, self.registered) = (true, false);
                self.deregister(&mut out);
            }
            ActivationEvent::RequestArrived { id, owners } => self.on_request(id, owners, now, &mut out),
            ActivationEvent::RequestCancelled(id) => self.held_requests.retain(|(held, _)| *held != id),
            ActivationEvent::RequestCompleted(binding) => {
                if let Some(count) = self.open_requests.get_mut(&binding.fence) {
                    *count = count.saturating_sub(1);
                }
            }
            ActivationEvent::Tick => {}
        }
        self.after_event(now, &mut out);
        out
    }

    /// Steps that follow every event.
    fn after_event(&mut self, now: NodeTime, out: &mut Vec<ActivationAction>) {
        match now.clock.within(self.max_clock_width()) {
            Some(_) => self.clock_uncertain_since = None,
            None => drop(self.clock_uncertain_since.get_or_insert(now.local)),
        }
        self.switch_if_due(now, out);
        self.release_held(now, out);
        self.update_tables(out);
        if self.last_read_at.is_none_or(|at| now.local.saturating_sub(at) >= self.limits.poll) {
            self.last_read_at = Some(now.local);
            out.push(ActivationAction::ReadRecord);
        }
    }

    /// Switches to the next version once its moment has certainly passed.
    pub(crate) fn switch_if_due(&mut self, now: NodeTime, out: &mut Vec<ActivationAction>) {
        let has_passed = |next: &ActivationDecision| {
            now.clock.within(self.max_clock_width()).is_some_and(|(earliest, _)| earliest >= next.moment)
        };
        if !self.next.as_ref().is_some_and(has_passed) {
            return;
        }
        let next = self.next.take();
        if let Some(last) = std::mem::replace(&mut self.served, next.clone()) {
            self.retired.insert(last.fence, last.version);
        }
        self.persist(out);
        out.extend(next.map(ActivationAction::Switch));
    }

    /// Fence and version that follow the served one: the decided version, or else the promised one.
    pub(crate) fn upcoming(&self) -> Option<(u64, &Version)> {
        let promised = || self.promise.as_ref().map(|promise| (promise.fence, &promise.version));
        self.next.as_ref().map(|next| (next.fence, &next.version)).or_else(promised)
    }

    /// Decision that is served here, and the decided one that is not served yet.
    pub fn decisions(&self) -> (Option<&ActivationDecision>, Option<&ActivationDecision>) {
        (self.served.as_ref(), self.next.as_ref())
    }

    pub(crate) fn max_clock_width(&self) -> Micros {
        self.record.as_ref().map_or(ActivationRules::default().widest, |record| record.rules.widest)
    }

    pub(crate) fn persist(&mut self, out: &mut Vec<ActivationAction>) {
        self.last_persist += 1;
        let disk = PersistedState { life: self.life, served: self.served.clone(), next: self.next.clone() };
        out.push(ActivationAction::Persist(self.last_persist, Box::new(disk)));
    }
}

/// Returns the next pseudo-random number (splitmix64).
pub(crate) fn next_random(last: u64) -> u64 {
    let mut z = last.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
