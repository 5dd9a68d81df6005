//! The way of one request through admission: its wait, its time in the pool, and its end.

use std::cell::Cell;
use std::future::Future;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;
use woodgap_admission::concurrency::RequestOutcome;
use woodgap_admission::queue::{Arrival, ArrivalDecision};

use super::{AdmissionOutcome, AdmissionRequest, PoolAdmission, WaitResult, INITIAL_WORK_US};
use crate::pool::driver::{DriverReply, FinalResponse};

/// Minimum delay before a request that the pool refused is sent to it again.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Weight of a new response in the moving average of a class's expected work.
const WORK_SMOOTHING: f64 = 0.05;

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
