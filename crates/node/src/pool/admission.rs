//! Admission queue of a pool: carries out the decisions of `woodgap_admission` on the data path's thread.
//!
//! ```text
//!   front ──admit_and_send──▶ PoolAdmission ──arrive──▶ AdmissionQueue ──Enqueue──▶ waits for its QueueDecision
//!                               │ ◀─Admit──────────────────────┘                         │
//!                               ▼                                   free capacity, or its wait expired
//!                              pool ──FinalResponse──▶ record_end ──dispatch──▶ decisions
//! ```
//!
//! A request that the pool refuses returns to the queue with its remaining time: the refusal proves that it
//! had no effect. When a client disconnects, the waiting future is dropped and the request leaves the queue.
//! While admission is disabled, or the pool has no server, requests go straight to the pool, which decides at
//! once.

mod admit;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::sync::{oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::Instant;
use woodgap_admission::queue::{AdmissionQueue, AdmissionSettings, QueueDecision};
use woodgap_decisions::{RequestClass, Semantics};

use crate::pool::driver::FinalResponse;

/// Expected work of a class before its first response, in microseconds.
const INITIAL_WORK_US: f64 = 10_000.0;

/// Properties of a request class that admission needs.
struct ClassProfile {
    /// Expected work, in microseconds.
    work: f64,
    /// Worth of the class as a fraction of the highest worth of any class.
    worth: f64,
    /// Whether requests of the class may be repeated.
    is_repeatable: bool,
}

/// A request for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Key of the client.
    pub key: u64,
    /// Index of the request's class.
    pub class: usize,
    /// Whether the client says that it sent the request before.
    pub is_retry: bool,
    /// Time by which the client needs the response.
    pub deadline: Instant,
}

/// State of an admission queue.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdmissionSnapshot {
    /// Number of requests in the queue.
    pub waiting: usize,
    /// Number of admitted requests in the pool.
    pub in_flight: u32,
    /// Maximum number of admitted requests in the pool.
    pub concurrency_limit: u32,
    /// Recent rate of served requests, per second.
    pub rate_per_s: f64,
    /// Number of requests that admission refused.
    pub refused: u64,
}

/// Admission queue of one pool.
pub struct PoolAdmission {
    queue: RefCell<AdmissionQueue>,
    /// Senders of the results for waiting requests, by request number.
    waiting: RefCell<HashMap<u64, oneshot::Sender<WaitResult>>>,
    class_profiles: RefCell<Vec<ClassProfile>>,
    next_id: Cell<u64>,
    start: Instant,
    /// Signals that a request was queued or the settings changed.
    queued: Notify,
    /// The tenant was deleted, so new and returning requests are refused.
    closed: Cell<bool>,
    /// Admission is disabled, so requests bypass the queue.
    disabled: Cell<bool>,
    /// The pool has no server, so requests bypass the queue and the pool refuses them.
    pool_empty: Cell<bool>,
    refused: Cell<u64>,
}

/// Result of waiting in the queue.
enum WaitResult {
    Admitted,
    /// The request goes to the pool without being counted.
    Bypass,
    /// Refused, with the delay after which a retry may succeed.
    Refused(Option<Duration>),
}

/// Outcome of a request that passed through admission.
pub enum AdmissionOutcome {
    /// The pool responded.
    Responded(FinalResponse),
    /// Refused by admission, with the delay after which a retry may succeed, if known.
    Refused(Option<Duration>),
}

impl PoolAdmission {
    /// Creates the queue for a pool with these classes.
    pub fn new(settings: AdmissionSettings, classes: &[RequestClass]) -> Rc<PoolAdmission> {
        let max_worth = classes.iter().map(|class| class.worth).fold(0.0, f64::max);
        let profile = |class: &RequestClass| ClassProfile {
            work: INITIAL_WORK_US,
            worth: if max_worth > 0.0 { class.worth / max_worth } else { 1.0 },
            is_repeatable: !matches!(class.semantics, Semantics::Unsafe),
        };
        let admission = Rc::new(PoolAdmission {
            queue: RefCell::new(AdmissionQueue::new(settings)),
            waiting: RefCell::default(),
            class_profiles: RefCell::new(classes.iter().map(profile).collect()),
            next_id: Cell::new(1),
            start: Instant::now(),
            queued: Notify::new(),
            closed: Cell::new(false),
            disabled: Cell::new(false),
            pool_empty: Cell::new(false),
            refused: Cell::new(0),
        });
        spawn_local(PoolAdmission::apply_decisions_when_due(Rc::downgrade(&admission)));
        admission
    }

    /// Microseconds since the queue was created, counted from 1.
    fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64 + 1
    }

    /// Applies the decisions on waiting requests when they are due, until the queue is dropped.
    async fn apply_decisions_when_due(weak_admission: Weak<PoolAdmission>) {
        loop {
            let Some(admission) = weak_admission.upgrade() else { return };
            let due = admission.queue.borrow().next_due();
            let wait = due.map(|due| Duration::from_micros(due.saturating_sub(admission.now())));
            // The sleep is limited because it keeps the queue alive, which has to end with its pool.
            let max_wait = wait
                .unwrap_or(Duration::from_secs(1))
                .clamp(Duration::from_millis(1), Duration::from_secs(1));
            let _ = tokio::time::timeout(max_wait, admission.queued.notified()).await;
            if due.is_some() {
                admission.apply_due_decisions();
            }
        }
    }

    /// Applies the decisions that are due now.
    fn apply_due_decisions(&self) {
        let mut decisions = Vec::new();
        self.queue.borrow_mut().dispatch(self.now(), &mut decisions);
        self.apply_decisions(decisions);
    }

    /// Sends waiting requests their decisions.
    fn apply_decisions(&self, decisions: Vec<QueueDecision>) {
        for decision in decisions {
            let (id, result) = match decision {
                QueueDecision::Admit(id) => (id, WaitResult::Admitted),
                QueueDecision::Refuse(id, wait) => (id, WaitResult::Refused(wait.map(Duration::from_micros))),
            };
            if let Some(sender) = self.waiting.borrow_mut().remove(&id) {
                // If the client has disconnected meanwhile, the request's guard handles it.
                let _ = sender.send(result);
            }
        }
    }

    /// Refuses all waiting requests at once, and new ones.
    pub fn close(&self) {
        self.closed.set(true);
        let mut decisions = Vec::new();
        self.queue.borrow_mut().refuse_tenant(self.now(), 0, &mut decisions);
        self.apply_decisions(decisions);
    }

    /// Applies new settings. Requests that may no longer wait under them are refused at once.
    pub fn configure(&self, settings: AdmissionSettings) {
        self.disabled.set(false);
        let mut decisions = Vec::new();
        self.queue.borrow_mut().configure(self.now(), settings, &mut decisions);
        self.apply_decisions(decisions);
        self.queued.notify_one();
    }

    /// Disables admission: waiting and new requests go to the pool.
    pub fn disable(&self) {
        self.disabled.set(true);
        self.bypass_waiting();
    }

    /// Sets whether the pool has no server. If it has none, waiting requests go to the pool, which refuses
    /// them.
    pub fn set_pool_empty(&self, empty: bool) {
        if self.pool_empty.replace(empty) != empty && empty {
            self.bypass_waiting();
        }
    }

    /// Sends all waiting requests to the pool.
    fn bypass_waiting(&self) {
        let mut decisions = Vec::new();
        self.queue.borrow_mut().refuse_tenant(self.now(), 0, &mut decisions);
        for decision in decisions {
            let (QueueDecision::Refuse(id, _) | QueueDecision::Admit(id)) = decision;
            if let Some(sender) = self.waiting.borrow_mut().remove(&id) {
                let _ = sender.send(WaitResult::Bypass);
            }
        }
    }

    /// Returns the current state.
    pub fn snapshot(&self) -> AdmissionSnapshot {
        let queue = self.queue.borrow();
        let limit = queue.concurrency_limit();
        AdmissionSnapshot {
            waiting: queue.waiting(),
            in_flight: limit.in_flight(),
            concurrency_limit: limit.limit(),
            rate_per_s: limit.rate(),
            refused: self.refused.get(),
        }
    }

    /// Counts and returns a refusal.
    fn refuse(&self, wait: Option<Duration>) -> AdmissionOutcome {
        self.refused.set(self.refused.get() + 1);
        AdmissionOutcome::Refused(wait)
    }
}

#[cfg(test)]
mod tests;
