//! The state that a node keeps of a server, and the share of its Maglev slots that the server carries.

use super::*;

/// Above this ratio of its latency to the mean latencies of the classes, a server gives up slots.
pub(super) const SLOW_LATENCY_RATIO: f64 = 2.2;
/// Factor by which a full response reduces a server's slot share.
pub(super) const FULL_SHARE_FACTOR: f64 = 0.6;
/// A server that reports less than this CPU utilization does not reject requests for lack of capacity.
pub(super) const IDLE_UTILIZATION: f64 = 0.7;
/// Factor by which a full response reduces the slot share of an idle server that rejects most requests.
pub(super) const REJECTING_SHARE_FACTOR: f64 = 0.95;
/// Up to this fraction of rejected requests an idle server keeps its slot share.
pub(super) const MAX_REJECTION_RATE: f64 = 0.6;
/// Slot share that each sweep gives back to a server.
pub(super) const SHARE_RECOVERY_STEP: f64 = 0.01;
/// Minimum slot share of a server in use.
pub(super) const MIN_SLOT_SHARE: f64 = 0.05;
/// Slot share of a server that returns from ejection.
pub(super) const REINSTATED_SLOT_SHARE: f64 = 0.3;

/// What a node knows of a server.
#[derive(Default)]
pub(super) struct Server {
    pub(super) listed: ListedServer,
    pub(super) kind: usize,
    /// Whether the server is on the list and in service.
    pub(super) in_service: bool,
    pub(super) in_flight: u32,
    /// Time since which attempts are in flight without any response from the server.
    pub(super) silent_since: Micros,
    /// Connect time-outs since the last attempt with another outcome.
    pub(super) connect_timeouts: u32,
    /// Fraction of its slots that the server carries, judged by its responses.
    pub(super) slot_share: f64,
    /// Smoothed latency relative to the mean latencies of the classes.
    pub(super) latency_ratio: f64,
    /// Responses since it last gave up slots for its latency.
    pub(super) responses: u32,
    /// Smoothed fraction of its attempts that ended in an error, a reset or a time-out.
    pub(super) failure_rate: f64,
    /// Ejections since it last had its whole slot share.
    pub(super) ejections: u32,
    /// Time at which an ejected server may be tried again; `None` if the server is not ejected.
    pub(super) ejected_until: Option<Micros>,
    /// Time at which it was last ejected.
    pub(super) ejected_at: Micros,
    /// Whether a trial or a probe is in flight.
    pub(super) trial_in_flight: bool,
    /// Attempts that this node may send it during slow start.
    pub(super) slow_start_budget: f64,
    /// Smoothed fraction of its responses that rejected a request.
    pub(super) rejection_rate: f64,
    /// CPU utilization in its last load report.
    pub(super) utilization: Option<f64>,
    /// Health for each class: a faulty release may fail one class and serve the others.
    pub(super) class_health: Vec<ClassHealth>,
    /// Time since which its connections may be idle.
    pub(super) idle_since: Option<Micros>,
}

impl Server {
    /// A server that was just added to the list or restarted.
    pub(super) fn new(listed: ListedServer, kind: usize, slow_start_budget: f64) -> Self {
        let in_service = listed.state == ServerState::InService;
        Server {
            in_service,
            listed,
            kind,
            slot_share: 1.0,
            latency_ratio: 1.0,
            slow_start_budget,
            ..Server::default()
        }
    }

    /// Health of the server for a class.
    pub(super) fn class_health_mut(&mut self, class: usize) -> &mut ClassHealth {
        if self.class_health.len() <= class {
            self.class_health.resize(class + 1, ClassHealth::default());
        }
        &mut self.class_health[class]
    }

    /// Whether the server rejects requests for a reason other than lack of capacity, such as a rate limit or
    /// random rejections. Such a request costs a round trip and goes to the next owner, while giving up slots
    /// would overload the other servers. The distinction does harm if reports are wrong or outdated. Without
    /// reports, a full response counts as lack of capacity.
    pub(super) fn rejects_while_idle(&self) -> bool {
        self.utilization.is_some_and(|utilization| utilization < IDLE_UTILIZATION)
    }

    /// Factor by which a full response reduces the slot share. A server that rejects most requests while idle
    /// gives up a little each time, down to about what it accepts.
    pub(super) fn share_factor_when_full(&self) -> f64 {
        match self.rejects_while_idle() {
            false => FULL_SHARE_FACTOR,
            true if self.rejection_rate > MAX_REJECTION_RATE => REJECTING_SHARE_FACTOR,
            true => 1.0,
        }
    }

    /// Ends an ejection. The server starts again with few slots.
    pub(super) fn reinstate(&mut self) {
        if self.ejected_until.take().is_some() {
            self.slot_share = REINSTATED_SLOT_SHARE;
            self.trial_in_flight = false;
            self.failure_rate = 0.0;
        }
    }

    /// Adjusts the slot share by latency: a slow server gives up slots at once and regains them slowly.
    pub(super) fn adjust_slot_share(&mut self) {
        if self.latency_ratio > SLOW_LATENCY_RATIO && self.responses >= 3 {
            self.slot_share = (self.slot_share * SLOW_LATENCY_RATIO / self.latency_ratio).max(MIN_SLOT_SHARE);
            self.responses = 0;
        } else if self.latency_ratio <= SLOW_LATENCY_RATIO {
            self.slot_share = (self.slot_share + SHARE_RECOVERY_STEP).min(1.0);
            if self.slot_share >= 1.0 {
                self.ejections = 0;
            }
        }
    }
}
