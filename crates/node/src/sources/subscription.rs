//! Keeps track of the calls to discovery: which are open and which of them is current. It does no I/O; the
//! driver makes the calls and reports their events here.
//!
//! ```text
//!             list or empty line              silent, or discovery moved
//!   waiting ─────────────────────▶ current ────────────────────────────▶ superseded
//!      │ failed or discarded          │ broke                                │ broke, or its successor responded
//!      ▼                              ▼                                      ▼
//!    closed                         closed                                 closed
//! ```
//!
//! A watch that is suspected to be dead is read until its successor has received a response, since every list
//! that discovery wrote on it counts. A waiting call is never replaced by a new one, which would wait behind
//! it in discovery's queue. At most one more call is made beside a waiting one, once discovery should have
//! responded.

use super::discovery::ServerList;

/// Maximum number of calls that wait for a response: one, and another if the first may be lost.
pub const MAX_WAITING_CALLS: usize = 2;
/// Maximum number of superseded calls that are still read. If there are more, the oldest is closed.
pub const MAX_SUPERSEDED_CALLS: usize = 3;

/// An open call and the driver's handle of it. Dropping the handle closes the call.
struct OpenCall<T> {
    number: u64,
    _handle: T,
}

/// A call that was replaced but is still read.
struct SupersededCall<T> {
    call: OpenCall<T>,
    /// Latest revision received from the call's address.
    latest_revision: Option<u64>,
    /// Whether discovery has another address now.
    moved: bool,
}

/// Origin of a list: the kind of call that received it, which determines how it is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListOrigin {
    /// The current watch: the list responds to the node's call.
    Subscribed(ListAge),
    /// A superseded call: the list is applied, but the node still needs a response to its latest call.
    Superseded(ListAge),
    /// A closed call: the list is ignored.
    Closed,
}

/// Age of a list relative to earlier lists from the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListAge {
    /// No older than the lists before it.
    UpToDate,
    /// Its revision precedes one already received, so it must not return any server to service.
    Outdated,
}

/// The open calls to one discovery service.
pub struct Subscription<T> {
    /// Number of the latest call.
    latest_call: u64,
    waiting: Vec<OpenCall<T>>,
    current: Option<OpenCall<T>>,
    /// Superseded calls, oldest first.
    superseded: Vec<SupersededCall<T>>,
    /// Latest revision received from discovery's present address.
    latest_revision: Option<u64>,
    /// Revision from which the next call requests changes; 0 requests the complete list.
    start_revision: u64,
}

impl<T> Subscription<T> {
    /// Creates a subscription without calls for a node that knows the list of revision `known`.
    pub fn new(known: Option<u64>) -> Self {
        let (waiting, current, superseded) = (Vec::new(), None, Vec::new());
        Subscription {
            latest_call: 0,
            waiting,
            current,
            superseded,
            latest_revision: known,
            start_revision: known.unwrap_or(0),
        }
    }

    /// Whether a call waits for its response or a watch is current.
    pub fn is_open(&self) -> bool {
        self.current.is_some() || !self.waiting.is_empty()
    }

    /// Opens a call with `open`, which receives the call's number and start revision. Returns the number, or
    /// `None` if [`MAX_WAITING_CALLS`] calls wait already.
    pub fn begin(&mut self, open: impl FnOnce(u64, u64) -> T) -> Option<u64> {
        if self.waiting.len() >= MAX_WAITING_CALLS {
            return None;
        }
        self.latest_call += 1;
        let number = self.latest_call;
        self.waiting.push(OpenCall { number, _handle: open(number, self.start_revision) });
        Some(number)
    }

    /// Whether a call still waits for its response.
    pub fn is_waiting(&self, number: u64) -> bool {
        self.waiting.iter().any(|call| call.number == number)
    }

    /// Handles a list, or an empty line in place of one, that a call received.
    pub fn on_list(&mut self, number: u64, list: &ServerList) -> ListOrigin {
        if let Some(index) = self.superseded.iter().position(|superseded| superseded.call.number == number) {
            let age = advance_revision(&mut self.superseded[index].latest_revision, list.revision);
            // Calls that were superseded earlier are closed.
            self.superseded.drain(..if list.revision.is_some() { index } else { 0 });
            return ListOrigin::Superseded(age);
        }
        if let Some(index) = self.waiting.iter().position(|call| call.number == number) {
            self.current = Some(self.waiting.swap_remove(index));
            self.waiting.clear();
        }
        if self.current.as_ref().is_none_or(|call| call.number != number) {
            return ListOrigin::Closed;
        }
        // An empty line from a new address is no list, so the calls to the old address stay open until a list
        // arrives.
        self.superseded.retain(|superseded| list.revision.is_none() && superseded.moved);
        let age = advance_revision(&mut self.latest_revision, list.revision);
        self.start_revision = self.latest_revision.unwrap_or(0);
        ListOrigin::Subscribed(age)
    }

    /// Handles that a call received nothing complete for too long. Returns whether it was the current watch,
    /// so that a successor has to be called.
    pub fn on_silent(&mut self, number: u64) -> bool {
        if let Some(call) = self.current.take_if(|call| call.number == number) {
            self.supersede(call, false);
            return true;
        }
        false
    }

    /// Handles a failed call or broken watch. Returns whether discovery has to be called again.
    pub fn on_failed(&mut self, number: u64) -> bool {
        self.superseded.retain(|superseded| superseded.call.number != number);
        let known =
            self.is_waiting(number) || self.current.as_ref().is_some_and(|call| call.number == number);
        self.waiting.retain(|call| call.number != number);
        self.current.take_if(|call| call.number == number);
        known && !self.is_open()
    }

    /// Supersedes all calls, because discovery has another address (`moved`) or its complete list is needed
    /// again.
    pub fn relocate(&mut self, moved: bool) {
        let calls: Vec<OpenCall<T>> = self.current.take().into_iter().chain(self.waiting.drain(..)).collect();
        calls.into_iter().for_each(|call| self.supersede(call, moved));
        self.start_revision = 0;
        // Revisions of different addresses are not comparable.
        if moved {
            self.latest_revision = None;
            self.superseded.iter_mut().for_each(|superseded| superseded.moved = true);
        }
    }

    fn supersede(&mut self, call: OpenCall<T>, moved: bool) {
        self.superseded.push(SupersededCall { call, latest_revision: self.latest_revision, moved });
        self.superseded.drain(..self.superseded.len().saturating_sub(MAX_SUPERSEDED_CALLS));
    }
}

/// Compares a list's revision with the latest one, and updates the latest one unless the list is outdated.
fn advance_revision(latest: &mut Option<u64>, revision: Option<u64>) -> ListAge {
    match (*latest, revision) {
        (Some(latest), Some(revision)) if revision < latest => ListAge::Outdated,
        (_, revision) => {
            *latest = revision.or(*latest);
            ListAge::UpToDate
        }
    }
}

#[cfg(test)]
mod tests;
