//! The events of a simulated fleet, and how its processes handle them.

use std::cmp::Reverse;

use super::{Process, Simulation, MAX_MESSAGE_DELAY};
use crate::message::{decode, encode, LeaseRequest, LeaseResponse, ResponseBody, MAX_MESSAGE_BYTES};
use crate::resource::{Micros, ResourceId};

/// An event at a moment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SimulationEvent {
    /// The regular round of a process.
    Round(usize),
    /// Requests arrive at a process.
    Requests(usize),
    /// An encoded request arrives at a process.
    LeaseRequest(usize, Vec<u8>),
    /// An encoded response arrives at a process.
    LeaseResponse(usize, Vec<u8>),
    /// The service confirmed an epoch to a process that sent the operation at this time of its clock.
    EpochConfirmed(usize, Micros, u64),
    /// A request that holds a slot ends.
    RequestEnd(usize, ResourceId),
}

impl Simulation {
    pub(super) fn schedule(&mut self, at: Micros, event: SimulationEvent) {
        self.event_seq += 1;
        self.events.push(Reverse((at, self.event_seq, event)));
    }

    fn send(
        &mut self,
        from: usize,
        to: usize,
        bytes: &[u8],
        event: impl Fn(usize, Vec<u8>) -> SimulationEvent,
    ) {
        let link = (self.processes[from].node, self.processes[to].node);
        let copies = match self.random.u64(..1_000) {
            _ if self.cut_links.contains(&link) => 0,
            chance if chance < self.loss => 0,
            chance if chance < 2 * self.loss => 2,
            _ => 1,
        };
        for _ in 0..copies {
            // Most messages are quick, and some overtake others.
            let max_delay = if self.random.u64(..1_000) < self.slow { MAX_MESSAGE_DELAY } else { 5_000 };
            let at = self.now + self.random.u64(100..max_delay);
            self.schedule(at, event(to, bytes.to_vec()));
        }
    }

    /// Runs the simulation up to a moment.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(Reverse((at, ..))) = self.events.peek() {
            if *at > until {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            let (SimulationEvent::Round(process_index)
            | SimulationEvent::Requests(process_index)
            | SimulationEvent::LeaseRequest(process_index, _)
            | SimulationEvent::LeaseResponse(process_index, _)
            | SimulationEvent::EpochConfirmed(process_index, ..)
            | SimulationEvent::RequestEnd(process_index, _)) = event;
            if self.processes[process_index].ended && !matches!(event, SimulationEvent::RequestEnd(..)) {
                continue;
            }
            // Requests end at the servers, even while the process is paused.
            if self.processes[process_index].asleep_until > at
                && !matches!(event, SimulationEvent::RequestEnd(..))
            {
                let resume_at = self.processes[process_index].asleep_until;
                self.schedule(resume_at, event);
                continue;
            }
            self.handle_event(process_index, event);
        }
        self.now = until;
    }

    fn handle_event(&mut self, process_index: usize, event: SimulationEvent) {
        let now = self.processes[process_index].local_time(self.now);
        let mut buffer = [0; MAX_MESSAGE_BYTES];
        match event {
            SimulationEvent::Round(_) => self.run_round(process_index, now),
            SimulationEvent::Requests(_) => {
                self.run_requests(process_index, now);
                self.schedule(self.now + self.arrival_interval, SimulationEvent::Requests(process_index));
            }
            SimulationEvent::EpochConfirmed(_, sent, epoch) => {
                self.processes[process_index].grantor.confirm_epoch(sent, epoch)
            }
            SimulationEvent::LeaseRequest(_, bytes) => {
                let Ok(request) = decode::<LeaseRequest>(&bytes) else {
                    return self.check.record_violation("a request that cannot be decoded");
                };
                let Some(response) = self.processes[process_index].grantor.handle_request(now, &request)
                else {
                    return;
                };
                let Ok(length) = encode(&response, &mut buffer) else {
                    return self.check.record_violation("a response that is too long");
                };
                let is_sender = |p: &Process| p.id == request.from && p.run == request.run;
                let Some(to) = self.processes.iter().position(is_sender) else { return };
                self.send(process_index, to, &buffer[..length], SimulationEvent::LeaseResponse);
            }
            SimulationEvent::LeaseResponse(_, bytes) => {
                let Ok(response) = decode::<LeaseResponse>(&bytes) else {
                    return self.check.record_violation("a response that cannot be decoded");
                };
                self.processes[process_index].holder.handle_response(now, &response);
                if let ResponseBody::Grant { shares, .. } = &response.body {
                    for share in shares {
                        self.check_sum(process_index, share.resource);
                    }
                }
                self.send_requests(process_index, now);
            }
            SimulationEvent::RequestEnd(_, resource) => {
                if let Some(limiter) = self.processes[process_index].holder.limiter(resource) {
                    limiter.release_slot();
                }
                self.check.record_end(resource);
            }
        }
    }

    fn run_round(&mut self, process_index: usize, now: Micros) {
        let node = self.processes[process_index].node;
        if !self.without_service.contains(&node) {
            self.sync_with_service(process_index, now);
        }
        self.processes[process_index].grantor.remove_expired(now);
        self.send_requests(process_index, now);
        let next = self.now + self.settings.round - self.random.u64(..self.settings.round / 20 + 1);
        self.schedule(next, SimulationEvent::Round(process_index));
    }

    fn send_requests(&mut self, process_index: usize, now: Micros) {
        let requests = self.processes[process_index].holder.poll(now);
        let mut buffer = [0; MAX_MESSAGE_BYTES];
        for (to, request) in requests {
            let Ok(length) = encode(&request, &mut buffer) else {
                return self.check.record_violation("a request that is too long");
            };
            let sent = &mut self.processes[process_index].sent;
            *sent = (sent.0 + length as u64, sent.1 + 1);
            if let Some(to) = self.processes.iter().rposition(|process| process.id == to) {
                self.send(process_index, to, &buffer[..length], SimulationEvent::LeaseRequest);
            }
        }
    }
}
