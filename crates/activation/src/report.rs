//! A node's work on the open attempt: its own report, the reports of others, and the next step that is due.

use crate::clock::{Micros, NodeTime};
use crate::event::ActivationAction;
use crate::follower::ReadyPromise;
use crate::node::ActivationNode;
use crate::record::NodeReport;
use crate::ActivationCommand;

impl ActivationNode {
    /// Stores a report of another node until this node next advances the attempt.
    pub(crate) fn receive_report(&mut self, report: ActivationCommand) {
        let attempt = self.record.as_ref().and_then(|record| record.attempt.as_ref());
        if let ActivationCommand::Report { node, fence, .. } = &report {
            let registered = self.record.as_ref().is_some_and(|record| record.roster.contains_key(node));
            if registered && attempt.is_some_and(|attempt| attempt.fence == *fence) {
                self.reports.insert(node.clone(), report);
            }
        }
    }

    /// Reports on the open attempt. The report binds the node from this call on, whether or not it is ever
    /// written.
    pub(crate) fn report(&mut self, now: NodeTime, out: &mut Vec<ActivationAction>) {
        let Some((record, attempt)) = self.record.as_ref().and_then(|b| Some((b, b.attempt.as_ref()?)))
        else {
            return;
        };
        let fence = attempt.fence;
        // A node that has not switched to the last decision prepares no further version.
        let settled = self.next.is_none()
            && record.decided.as_ref().map(|d| d.fence) == self.served.as_ref().map(|s| s.fence);
        let reported = attempt.ready.get(&self.name) == Some(&self.entry);
        if !self.registered || reported || !settled {
            return;
        }
        let report = match self.built.get(&attempt.version) {
            _ if attempt.version.format > self.format => {
                let needs = attempt.version.format;
                Some(NodeReport::Cannot(format!(
                    "format {needs}, this program reads {}: upgrade it",
                    self.format
                )))
            }
            _ if self.failed.contains_key(&attempt.version) => {
                Some(NodeReport::Cannot(self.failed[&attempt.version].clone()))
            }
            // An uncertain clock is normal for a while, as at a start; after `lead` an operator has to look
            // at it.
            Some(_) if self.clock_uncertain_since.is_some() => {
                let since = now.local.saturating_sub(self.clock_uncertain_since.unwrap_or(now.local));
                let widest = record.rules.widest;
                (since >= record.rules.lead)
                    .then(|| NodeReport::Cannot(format!("its clock is not known to within {widest} us")))
            }
            Some(_) => Some(NodeReport::Ready(attempt.version.digest.clone())),
            None => None,
        };
        let Some(report) = report else { return };
        let promised = self.promise.as_ref().is_some_and(|promise| promise.fence == fence);
        if matches!(report, NodeReport::Ready(_)) && !promised {
            let (version, floor) = (attempt.version.clone(), attempt.floor);
            self.promise = Some(ReadyPromise { fence, version, floor });
        }
        let (node, entry, lead) = (self.name.clone(), self.entry, record.rules.lead);
        let command = ActivationCommand::Report { node: node.clone(), entry, fence, report };
        self.reports.insert(node, command.clone());
        let unrecorded_report =
            self.unrecorded_report.filter(|(of, _)| *of == fence).unwrap_or((fence, now.local));
        self.unrecorded_report = Some(unrecorded_report);
        if now.local.saturating_sub(unrecorded_report.1) >= lead / 4 {
            // No node that advances the attempt has received the report, or there is no such node: write it
            // directly, although that adds a concurrent write.
            out.push(ActivationAction::Write(vec![command.clone()]));
        }
        out.push(ActivationAction::Broadcast(command));
    }

    /// Takes the next step of the open attempt: its author at once, other nodes by rank once it is late.
    pub(crate) fn advance_attempt(&mut self, now: NodeTime, out: &mut Vec<ActivationAction>) {
        let Some((record, attempt)) = self.record.as_ref().and_then(|b| Some((b, b.attempt.as_ref()?)))
        else {
            return;
        };
        let Some((earliest, latest)) = now.clock.within(record.rules.widest).filter(|_| self.registered)
        else {
            return;
        };
        let (lead, fence, author) = (record.rules.lead, attempt.fence, attempt.author == self.name);
        let rank =
            if author { 0 } else { 1 + record.roster.keys().take_while(|name| **name != self.name).count() };
        let late = lead / 2 - lead / 32 * (rank.min(8) as Micros);
        let floor_is_near = attempt.floor.saturating_sub(latest) < late;
        // Reports received from others go into the same write.
        let ready = |name: &str| attempt.ready.contains_key(name);
        let reports = self.reports.iter().filter(|(name, _)| !ready(name)).map(|(_, report)| report.clone());
        let mut commands: Vec<ActivationCommand> = reports.collect();
        let (record, _) = record.transition_all(commands.clone(), now.clock);
        let by = self.name.clone();
        let command = match () {
            // After the time-out any node ends it.
            _ if !author && !floor_is_near && earliest < attempt.until => return,
            _ if record.check_missing().is_err() || earliest >= attempt.until => {
                ActivationCommand::EndAttempt { by, fence }
            }
            _ if latest >= attempt.until => return,
            _ if record.attempt.is_some() && record.unready_nodes().is_empty() => {
                ActivationCommand::Decide(fence)
            }
            _ if floor_is_near => ActivationCommand::ExtendFloor(fence),
            _ if commands.is_empty() => return,
            _ => return out.push(ActivationAction::Write(commands)),
        };
        commands.push(command);
        out.push(ActivationAction::Write(commands));
    }
}
