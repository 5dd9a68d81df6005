//! Admission of requests during a switch: they are bound to a version, held for milliseconds, or rejected.

use crate::clock::{ClockReading, Micros, NodeTime};
use crate::event::ActivationAction;
use crate::gate::{Serving, ServingGate, VersionBinding};
use crate::node::ActivationNode;
use crate::record::ActivationDecision;
use crate::version::{in_doubt_policy, treats_alike, InDoubtPolicy, RequestOwners, TenantParts, Version};
use crate::Unavailable;

impl ActivationNode {
    /// Snapshot by which requests are admitted and their attempts sent.
    pub fn gate(&self) -> ServingGate {
        let is_built = |version: &Version| self.built.contains_key(version);
        let current =
            self.served.as_ref().filter(|served| is_built(&served.version)).map_or(0, |served| served.fence);
        let follows_served =
            |next: &ActivationDecision| next.after == self.served.as_ref().map_or(0, |served| served.fence);
        let (current_until, next_from) = match (&self.next, &self.promise) {
            (Some(next), _) if !follows_served(next) => (0, next.moment),
            (Some(next), _) => (next.moment, next.moment),
            (None, Some(promise)) => (promise.floor, Micros::MAX),
            (None, None) => (Micros::MAX, Micros::MAX),
        };
        // A decided version that is not built here is awaited, as before the moment.
        let next_from = if self.next.as_ref().is_some_and(|next| !is_built(&next.version)) {
            Micros::MAX - 1
        } else {
            next_from
        };
        ServingGate {
            registered: self.registered,
            last_contact: self.last_contact,
            isolation_timeout: self.limits.alone,
            current,
            current_until,
            next: self.upcoming().map_or(0, |(fence, _)| fence),
            next_from,
            max_clock_width: self.max_clock_width(),
            last_event_at: self.last_event_at,
            resumed_at: self.resumed_at,
            max_event_gap: self.limits.longest_turn,
        }
    }

    pub(crate) fn on_request(
        &mut self,
        id: u64,
        owners: RequestOwners,
        now: NodeTime,
        out: &mut Vec<ActivationAction>,
    ) {
        if let Some(binding) = self.bind_version(&owners, now) {
            return self.admit(id, binding, out);
        }
        let since = *self.holding_since.get_or_insert(now.local);
        let late = now.local.saturating_sub(since) >= self.limits.hold_for;
        if late || self.held_requests.len() >= self.limits.most_held {
            return out.push(ActivationAction::Reject(
                id,
                self.unavailable_cause(now.clock),
                self.retry_after(now.clock),
            ));
        }
        self.held_requests.push_back((id, owners));
        out.push(ActivationAction::Hold(id));
    }

    /// Admits held requests once there is a version for them, and rejects them once they were held for too
    /// long.
    pub(crate) fn release_held(&mut self, now: NodeTime, out: &mut Vec<ActivationAction>) {
        let serves = matches!(self.gate().serving(now), Serving::Version(_));
        let late =
            self.holding_since.is_some_and(|since| now.local.saturating_sub(since) >= self.limits.hold_for);
        if serves {
            self.holding_since = None;
        }
        if !serves && !late {
            return;
        }
        for (id, owners) in std::mem::take(&mut self.held_requests) {
            match self.bind_version(&owners, now) {
                Some(binding) => self.admit(id, binding, out),
                None => out.push(ActivationAction::Reject(
                    id,
                    self.unavailable_cause(now.clock),
                    self.retry_after(now.clock),
                )),
            }
        }
    }

    fn admit(&mut self, id: u64, binding: VersionBinding, out: &mut Vec<ActivationAction>) {
        self.count_request(binding);
        out.push(ActivationAction::Admit(id, binding));
    }

    /// Counts an admitted request as open, whether the gate alone or an action admitted it, so that its
    /// version's tables are kept.
    pub fn count_request(&mut self, binding: VersionBinding) {
        *self.open_requests.entry(binding.fence).or_default() += 1;
    }

    /// Binds a request to a version, if one may serve it now.
    fn bind_version(&self, owners: &RequestOwners, now: NodeTime) -> Option<VersionBinding> {
        let (gate, admitted_at) = (self.gate(), now.local);
        let old = self.parts(self.served.as_ref().map(|served| &served.version));
        let new = self.parts(self.upcoming().map(|(_, version)| version));
        let same = old.zip(new).is_some_and(|(old, new)| treats_alike(old, new, owners));
        let alike_fence = if same { gate.next } else { 0 };
        match gate.serving(now) {
            Serving::Version(fence) => {
                Some(VersionBinding { fence, alike_fence, by_policy: false, admitted_at })
            }
            Serving::NoVersion { .. } if same && gate.has_valid_entry(now.local) && gate.current != 0 => {
                Some(VersionBinding { fence: gate.current, alike_fence, by_policy: false, admitted_at })
            }
            Serving::NoVersion { in_doubt: true } if gate.current != 0 => {
                let continues = in_doubt_policy(old?, new, owners) == InDoubtPolicy::Old;
                let fence = gate.current;
                continues.then_some(VersionBinding { fence, alike_fence: 0, by_policy: true, admitted_at })
            }
            Serving::NoVersion { .. } => None,
        }
    }

    fn parts(&self, version: Option<&Version>) -> Option<&TenantParts> {
        self.built.get(version?)
    }

    /// Delay after which a rejected client may retry: the time until the moment, if the moment is known, and
    /// at least one polling interval.
    fn retry_after(&self, clock: ClockReading) -> Micros {
        let moment = self.next.as_ref().map(|next| next.moment);
        let remaining =
            clock.within(self.max_clock_width()).zip(moment).map(|((now, _), at)| at.saturating_sub(now));
        remaining.unwrap_or(0).max(self.limits.poll)
    }

    /// Returns the reason for which this node does not serve requests now by the version that the fleet
    /// agreed on; `None` if it does.
    pub fn unavailable(&self, now: NodeTime) -> Option<Unavailable> {
        let serves = matches!(self.gate().serving(now), Serving::Version(_)) && self.unknown_format.is_none();
        (!serves).then(|| self.unavailable_cause(now.clock))
    }

    /// Returns the delay after which to send the next `Tick`, because the passage of time alone changes this
    /// node's state: at most one polling interval; around a switch the time to its moment, and then as often
    /// as the clock interval could have narrowed.
    pub fn next_tick_delay(&self, now: NodeTime) -> Micros {
        let poll =
            self.last_read_at.map_or(0, |at| at.saturating_add(self.limits.poll).saturating_sub(now.local));
        let held = self
            .holding_since
            .filter(|_| !self.held_requests.is_empty())
            .map_or(poll, |since| since.saturating_add(self.limits.hold_for).saturating_sub(now.local));
        let moment = self.next.as_ref().zip(now.clock.within(self.max_clock_width()));
        let moment = moment.map_or(poll, |(next, (earliest, _))| next.moment.saturating_sub(earliest));
        poll.min(held).min(moment)
    }

    fn unavailable_cause(&self, clock: ClockReading) -> Unavailable {
        if let Some(format) = self.unknown_format {
            return Unavailable::UnknownFormat(format);
        }
        if !self.registered {
            return if self.name_taken { Unavailable::NameTaken } else { Unavailable::NotRegistered };
        }
        let widest = self.max_clock_width();
        match (&self.next, &self.promise, &self.served) {
            (Some(next), ..) if clock.within(widest).is_none() => {
                Unavailable::ClockUncertain { widest, number: next.version.number }
            }
            (None, Some(promise), _) if clock.within(widest).is_none() => {
                Unavailable::ClockUncertain { widest, number: promise.version.number }
            }
            (Some(next), ..) => Unavailable::Switching { number: next.version.number, moment: next.moment },
            (None, Some(promise), _) => Unavailable::InDoubt { fence: promise.fence, floor: promise.floor },
            (None, None, Some(served)) => Unavailable::NotBuilt(served.version.number),
            (None, None, None) => Unavailable::NothingDecided,
        }
    }
}
