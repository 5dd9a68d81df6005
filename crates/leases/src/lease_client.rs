//! A holder's protocol state: its epoch, the requests that it sent and when, which responses are valid, and
//! its safe shares.

use std::collections::{BTreeMap, VecDeque};

use crate::epoch::{EpochDoc, MemberId};
use crate::message::{LeaseResponse, ResponseBody};
use crate::resource::Micros;
use crate::LeaseSettings;

/// Maximum requests that wait for a response; the oldest is given up.
pub const MAX_OUTSTANDING_REQUESTS: usize = 4_096;

/// Safe shares as fractions, in parts of [`PPB`](crate::PPB). The one of rates is on disk, so that the next
/// process begins with it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct SafeCapacity {
    /// Of rates.
    pub rates: u64,
    /// Of slots. It grows later than that of rates, since other members' slots may stay in use for a while.
    pub slots: u64,
}

/// How a response is classified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// Its grants are valid: the time at which the request was sent, and how long the grants last by this
    /// clock.
    Granted(Micros, Micros),
    /// The request's epoch is over: the document has to be read again.
    NewerEpoch(u64),
    /// It is of another epoch, for another process, or for a request that no longer waits for a response.
    Stale,
}

/// The lease protocol state of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseClient {
    id: MemberId,
    run: u64,
    settings: LeaseSettings,
    doc: Option<EpochDoc>,
    safe: SafeCapacity,
    /// The fraction to which safe shares grow, and the time at which those of rates do.
    pending_raise: Option<(u64, Micros)>,
    seq: u64,
    outstanding: VecDeque<(u64, Micros)>,
    /// Time since which each grantor with a request has not responded.
    silent_since: BTreeMap<MemberId, Micros>,
}

impl LeaseClient {
    /// The client of a member's process. It begins with the safe share of rates that its name had last, from
    /// disk, and with no slots, since slots of the previous process may still be in use.
    pub fn new(id: MemberId, run: u64, settings: LeaseSettings, rates: u64) -> LeaseClient {
        let safe = SafeCapacity { rates, slots: 0 };
        let (doc, pending_raise, outstanding, silent_since) = (None, None, VecDeque::new(), BTreeMap::new());
        LeaseClient { id, run, settings, doc, safe, pending_raise, seq: 0, outstanding, silent_since }
    }

    /// The member.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// The run of the process.
    pub fn run(&self) -> u64 {
        self.run
    }

    /// The document that it uses.
    pub fn doc(&self) -> Option<&EpochDoc> {
        self.doc.as_ref()
    }

    /// Its present safe shares.
    pub fn safe(&self) -> SafeCapacity {
        self.safe
    }

    /// Adopts a later document. A smaller safe share applies at once; a larger one only after the authority
    /// of grantors of epochs that did not reserve it has ended.
    pub fn adopt_epoch(&mut self, now: Micros, doc: &EpochDoc) -> bool {
        if self.doc.as_ref().is_some_and(|old| old.epoch() >= doc.epoch()) {
            return false;
        }
        let each = if doc.has_member(self.id) { doc.safe_share_ppb() } else { 0 };
        self.safe = SafeCapacity { rates: self.safe.rates.min(each), slots: self.safe.slots.min(each) };
        let from = match self.pending_raise {
            // Grantors already reserve the share to which it was about to grow.
            Some((to, from)) if each <= to => from,
            _ => now.saturating_add(self.settings.authority),
        };
        let must_raise = self.safe.rates < each || self.safe.slots < each;
        self.pending_raise = must_raise.then_some((each, from));
        self.silent_since.retain(|id, _| doc.grantor_run(*id).is_some());
        self.doc = Some(doc.clone());
        true
    }

    /// Raises the safe shares that are due; `true` where one was raised.
    pub fn raise_safe(&mut self, now: Micros) -> bool {
        let Some((each, at)) = self.pending_raise else { return false };
        let before = self.safe;
        if now >= at {
            self.safe.rates = each;
        }
        if now >= at.saturating_add(self.settings.max_hold) {
            (self.safe.slots, self.pending_raise) = (each, None);
        }
        self.safe != before
    }

    /// Registers a request that is sent to a grantor now, and returns its sequence number.
    pub fn register_request(&mut self, now: Micros, to: MemberId) -> u64 {
        self.seq += 1;
        self.outstanding.push_back((self.seq, now));
        let is_expired = |(_, sent): &(u64, Micros)| now >= sent.saturating_add(self.settings.term);
        while self.outstanding.len() > MAX_OUTSTANDING_REQUESTS
            || self.outstanding.front().is_some_and(is_expired)
        {
            self.outstanding.pop_front();
        }
        self.silent_since.entry(to).or_insert(now);
        self.seq
    }

    /// Sequence number of the last request.
    pub fn latest_seq(&self) -> u64 {
        self.seq
    }

    /// Returns the time since which a grantor with a request has not responded.
    pub fn silent_since(&self, id: MemberId) -> Option<Micros> {
        self.silent_since.get(&id).copied()
    }

    /// Classifies a response.
    pub fn handle_response(&mut self, response: &LeaseResponse) -> ResponseOutcome {
        let Some(doc) = self.doc.as_ref() else { return ResponseOutcome::Stale };
        if (response.to, response.run) != (self.id, self.run) {
            return ResponseOutcome::Stale;
        }
        if matches!(response.body, ResponseBody::NewerEpoch) && response.epoch > doc.epoch() {
            return ResponseOutcome::NewerEpoch(response.epoch);
        }
        if response.epoch != doc.epoch() || doc.grantor_run(response.from).is_none() {
            return ResponseOutcome::Stale;
        }
        let ResponseBody::Grant { term, .. } = response.body else { return ResponseOutcome::Stale };
        let Ok(at) = self.outstanding.binary_search_by_key(&response.seq, |(seq, _)| *seq) else {
            return ResponseOutcome::Stale;
        };
        self.silent_since.remove(&response.from);
        // The term counts from the sending of the request; the grantor counts it from a later moment.
        ResponseOutcome::Granted(
            self.outstanding[at].1,
            self.settings.shorten_for_drift(term.min(self.settings.term)),
        )
    }
}
