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

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::sync::{oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::Instant;
use woodgap_admission::concurrency::RequestOutcome;
use woodgap_admission::queue::{AdmissionQueue, AdmissionSettings, Arrival, ArrivalDecision, QueueDecision};
use woodgap_decisions::{RequestClass, Semantics};

use crate::pool::driver::{DriverReply, FinalResponse};

/// Minimum delay before a request that the pool refused is sent to it again.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Expected work of a class before its first response, in microseconds.
const INITIAL_WORK_US: f64 = 10_000.0;
/// Weight of a new response in the moving average of a class's expected work.
const WORK_SMOOTHING: f64 = 0.05;

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

/// A request in the queue or in the pool. Dropping it removes the request and frees its capacity.
struct AdmissionGuard<'a> {
    admission: &'a PoolAdmission,
    id: u64,
    /// Slot of the request in the queue while it waits.
    queue_slot: Cell<u32>,
    /// Time at which the request was admitted, while it is in the pool.
    admitted_at: Cell<Option<Instant>>,
    /// Receives the result while the request waits.
    wait_result: Option<oneshot::Receiver<WaitResult>>,
}

impl AdmissionGuard<'_> {
    /// Reports the end of an admitted request to the queue.
    fn finish(&self, outcome: RequestOutcome, server: Option<u64>) {
        if let Some(since) = self.admitted_at.take() {
            let elapsed = since.elapsed().as_micros() as u64;
            self.admission.queue.borrow_mut().record_end(self.admission.now(), outcome, elapsed, server);
            self.admission.apply_due_decisions();
        }
    }
}

impl Drop for AdmissionGuard<'_> {
    fn drop(&mut self) {
        if self.admission.waiting.borrow_mut().remove(&self.id).is_some() {
            self.admission.queue.borrow_mut().remove_waiting(self.queue_slot.get(), self.id);
        }
        // The request was admitted just before its client disconnected: its end is reported below, which
        // frees its capacity.
        if let Some(Ok(WaitResult::Admitted)) = self.wait_result.as_mut().map(oneshot::Receiver::try_recv) {
            self.admitted_at.set(Some(Instant::now()));
        }
        self.finish(RequestOutcome::Other, None);
    }
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

    /// Waits for admission and sends the request to the pool with `send`. If the pool refuses it, the request
    /// waits for admission again while it has time left.
    pub async fn admit_and_send<F>(&self, request: AdmissionRequest, send: impl Fn() -> F) -> AdmissionOutcome
    where
        F: Future<Output = DriverReply>,
    {
        let AdmissionRequest { key, class, mut is_retry, deadline } = request;
        let arrived = self.now();
        loop {
            if self.closed.get() {
                return self.refuse(None);
            }
            if self.disabled.get() || self.pool_empty.get() {
                return AdmissionOutcome::Responded(send().await.0);
            }
            let id = self.next_id.replace(self.next_id.get() + 1);
            let mut guard = AdmissionGuard {
                admission: self,
                id,
                queue_slot: Cell::new(0),
                admitted_at: Cell::new(None),
                wait_result: None,
            };
            let now = self.now();
            let remaining = deadline.saturating_duration_since(Instant::now()).as_micros() as u64;
            let (work, worth, is_repeatable) = self
                .class_profiles
                .borrow()
                .get(class)
                .map_or((INITIAL_WORK_US, 1.0, false), |p| (p.work, p.worth, p.is_repeatable));
            let arrival = Arrival {
                id,
                tenant: 0,
                weight: 1,
                key,
                work: work as u64,
                worth,
                is_repeatable,
                // A request that returns at its advised retry time has priority in its first wait only.
                is_retry: std::mem::take(&mut is_retry),
                first_arrival: arrived,
                deadline: now + remaining,
            };
            let mut decisions = Vec::new();
            let arrival_decision = self.queue.borrow_mut().arrive(now, arrival, &mut decisions);
            self.apply_decisions(decisions);
            match arrival_decision {
                ArrivalDecision::Admit => {}
                ArrivalDecision::Refuse(wait) => return self.refuse(wait.map(Duration::from_micros)),
                ArrivalDecision::Enqueue(slot) => {
                    guard.queue_slot.set(slot);
                    let (tx, rx) = oneshot::channel();
                    self.waiting.borrow_mut().insert(id, tx);
                    self.queued.notify_one();
                    let result = guard.wait_result.insert(rx).await;
                    guard.wait_result = None;
                    match result {
                        Ok(WaitResult::Admitted) => {}
                        Ok(WaitResult::Bypass) => return AdmissionOutcome::Responded(send().await.0),
                        Ok(WaitResult::Refused(wait)) => return self.refuse(wait),
                        Err(_) => return self.refuse(None),
                    }
                }
            }
            let since = Instant::now();
            guard.admitted_at.set(Some(since));
            let (response, server) = send().await;
            let outcome = match &response {
                FinalResponse::Served(..) => {
                    if let Some(profile) = self.class_profiles.borrow_mut().get_mut(class) {
                        profile.work += WORK_SMOOTHING * (since.elapsed().as_micros() as f64 - profile.work);
                    }
                    RequestOutcome::Served
                }
                FinalResponse::Refused(_) => RequestOutcome::Refused,
                FinalResponse::DeadlineExceeded => RequestOutcome::TimedOut,
                FinalResponse::Failed => RequestOutcome::Other,
            };
            guard.finish(outcome, server.map(|server| u64::from(server.table_hash())));
            let FinalResponse::Refused(wait) = &response else {
                return AdmissionOutcome::Responded(response);
            };
            // Without a pause the pool would refuse the request again and again in a busy loop.
            let pause = wait.unwrap_or(MIN_RETRY_PAUSE).max(MIN_RETRY_PAUSE);
            if Instant::now() + 2 * pause >= deadline {
                return AdmissionOutcome::Responded(response);
            }
            drop(guard);
            tokio::time::sleep(pause).await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::task::Poll;

    async fn poll_once(future: &mut (impl Future + Unpin)) {
        std::future::poll_fn(|cx| {
            let _ = std::pin::Pin::new(&mut *future).poll(cx);
            Poll::Ready(())
        })
        .await;
    }

    // A client disconnects while its request waits, or at the moment the request is admitted. Either way the
    // request must not keep its capacity.
    #[tokio::test]
    async fn capacity_is_freed_when_a_client_disconnects_while_waiting_or_when_admitted() {
        let run = async {
            let admission = PoolAdmission::new(
                AdmissionSettings { max_in_flight: 1, ..AdmissionSettings::default() },
                &[],
            );
            let deadline = Instant::now() + Duration::from_secs(60);
            let never = || std::future::pending::<DriverReply>();
            let request = |key| AdmissionRequest { key, class: 0, is_retry: false, deadline };
            let mut first = Box::pin(admission.admit_and_send(request(1), never));
            let mut second = Box::pin(admission.admit_and_send(request(2), never));
            let mut third = Box::pin(admission.admit_and_send(request(3), never));
            poll_once(&mut first).await;
            poll_once(&mut second).await;
            poll_once(&mut third).await;
            assert_eq!(
                (
                    admission.queue.borrow().concurrency_limit().in_flight(),
                    admission.queue.borrow().waiting()
                ),
                (1, 2)
            );
            drop(third);
            assert_eq!(
                (
                    admission.queue.borrow().concurrency_limit().in_flight(),
                    admission.queue.borrow().waiting()
                ),
                (1, 1)
            );
            // The second request is admitted here, and its client disconnects before it is polled.
            drop(first);
            assert_eq!(
                (
                    admission.queue.borrow().concurrency_limit().in_flight(),
                    admission.queue.borrow().waiting()
                ),
                (1, 0)
            );
            drop(second);
            assert_eq!(admission.queue.borrow().concurrency_limit().in_flight(), 0);
        };
        tokio::task::LocalSet::new().run_until(run).await;
    }
}
