//! All changes of the activation record, as pure functions of the record read and of the clock of the node
//! that makes them.

use crate::clock::{ClockReading, Micros};
use crate::record::{
    ActivationAttempt, ActivationDecision, ActivationRecord, NodeEntry, NodeReport, MAX_ROSTER_NODES,
};
use crate::version::{Version, MAX_TEXT_BYTES};
use crate::{ActivationCommand, CommandError};

impl ActivationRecord {
    /// Returns the record after a command, to be written only over the version that was read.
    ///
    /// The write is correct however late it arrives: a moment is at or after the floor of the very document
    /// that it replaces, and no node that reported ready has served by the old version beyond that floor.
    ///
    /// # Errors
    /// Returns why the command is rejected.
    pub fn transition(
        &self,
        command: ActivationCommand,
        clock: ClockReading,
    ) -> Result<ActivationRecord, CommandError> {
        let mut next = self.clone();
        next.apply(command, clock)?;
        if next != *self {
            next.revision += 1;
        }
        Ok(next)
    }

    /// Applies several commands in order for one write, such as the reports that one node received from
    /// others and its decision. A report binds its node before it is sent, so it does not matter which node
    /// writes it, how late and how often.
    pub fn transition_all(
        &self,
        commands: Vec<ActivationCommand>,
        clock: ClockReading,
    ) -> (ActivationRecord, Vec<CommandError>) {
        let (mut next, mut refused) = (self.clone(), Vec::new());
        for command in commands {
            refused.extend(next.apply(command, clock).err());
        }
        if next != *self {
            next.revision += 1;
        }
        (next, refused)
    }

    /// Applies a command. All checks come before the first change, so a rejected command leaves the record
    /// unchanged.
    fn apply(&mut self, command: ActivationCommand, clock: ClockReading) -> Result<(), CommandError> {
        match command {
            ActivationCommand::Join { node, node_entry } => self.join(node, node_entry),
            ActivationCommand::MarkEnded { node, entry, proof } => {
                let node_entry = self.roster.get_mut(&node).filter(|node_entry| node_entry.entry == entry);
                let node_entry = node_entry.ok_or(CommandError::UnknownNode(node))?;
                node_entry.gone.get_or_insert(check_text(proof)?);
                Ok(())
            }
            ActivationCommand::RemoveNode(node) => match self.roster.get(&node) {
                Some(node_entry) if node_entry.gone.is_none() => Err(CommandError::NameTaken(node)),
                _ => {
                    self.roster.remove(&node);
                    Ok(())
                }
            },
            ActivationCommand::OpenAttempt { author, version } => {
                self.open(check_text(author)?, version, clock)
            }
            ActivationCommand::Report { node, entry, fence, report } => {
                self.record_report(node, entry, fence, report)
            }
            ActivationCommand::ExtendFloor(fence) => {
                let (_, latest) = self.clock_bounds(clock)?;
                let floor = latest.saturating_add(self.rules.lead);
                let attempt = self.open_attempt(fence)?;
                if latest >= attempt.until {
                    return Err(CommandError::TimedOut(fence));
                }
                attempt.floor = attempt.floor.max(floor);
                Ok(())
            }
            ActivationCommand::Decide(fence) => self.decide(fence, clock),
            ActivationCommand::EndAttempt { by, fence } => {
                let missing = self.check_missing().err();
                let now = self.clock_bounds(clock).map(|(earliest, _)| earliest);
                let attempt = self.open_attempt(fence)?;
                let why = match (missing, now) {
                    (Some(missing), _) => missing.to_string(),
                    (None, Ok(now)) if now >= attempt.until => {
                        let unready = self.unready_nodes();
                        format!("timed out, ended by {by}; not ready: {}", unready.join(" "))
                    }
                    _ if attempt.author == by => format!("ended by its author {by}"),
                    _ => {
                        let (author, until) = (attempt.author.clone(), attempt.until);
                        return Err(CommandError::NotTimedOut { fence, author, until });
                    }
                };
                self.end(why);
                Ok(())
            }
            ActivationCommand::Withdraw { fence, why } => {
                let (number, why) = (self.open_attempt(fence)?.version.number, check_text(why)?);
                self.least = self.least.max(number);
                self.end(format!("withdrawn: {why}"));
                Ok(())
            }
            ActivationCommand::SetRules(rules) => {
                rules.check()?;
                if let Some(attempt) = &self.attempt {
                    return Err(attempt_open_error(attempt));
                }
                self.rules = rules;
                Ok(())
            }
        }
    }

    fn join(&mut self, node: String, node_entry: NodeEntry) -> Result<(), CommandError> {
        let node = check_text(node)?;
        match self.roster.get(&node) {
            Some(listed) if listed.entry == node_entry.entry && listed.gone.is_some() => {
                return Err(CommandError::NodeEnded(node))
            }
            // A disk has one process at a time, by its lock, so the earlier process has ended.
            Some(listed) if listed.life != node_entry.life && listed.gone.is_none() => {
                return Err(CommandError::NameTaken(node))
            }
            None if self.roster.len() >= MAX_ROSTER_NODES => {
                return Err(CommandError::LimitExceeded(format!(
                    "the roster has {MAX_ROSTER_NODES} nodes, the maximum: remove those that do not come back"
                )));
            }
            _ => {}
        }
        self.roster.insert(node, NodeEntry { gone: None, ..node_entry });
        Ok(())
    }

    fn open(&mut self, author: String, version: Version, clock: ClockReading) -> Result<(), CommandError> {
        let (earliest, latest) = self.clock_bounds(clock)?;
        if let Some(attempt) = &self.attempt {
            let same = attempt.author == author && attempt.version == version;
            return if same { Ok(()) } else { Err(attempt_open_error(attempt)) };
        }
        if let Some(last) = self.decided.as_ref().filter(|last| earliest < last.moment) {
            return Err(CommandError::Switching { number: last.version.number, moment: last.moment });
        }
        if version.number <= self.least {
            return Err(CommandError::StaleVersion { number: version.number, highest: self.least });
        }
        let version = Version { digest: check_text(version.digest)?, ..version };
        self.check_missing()?;
        self.fence += 1;
        let (until, floor) =
            (latest.saturating_add(self.rules.patience), latest.saturating_add(self.rules.lead));
        let ready = Default::default();
        self.attempt = Some(ActivationAttempt { fence: self.fence, version, author, until, floor, ready });
        Ok(())
    }

    fn record_report(
        &mut self,
        node: String,
        entry: u64,
        fence: u64,
        report: NodeReport,
    ) -> Result<(), CommandError> {
        let registered = self
            .roster
            .get(&node)
            .is_some_and(|node_entry| node_entry.entry == entry && node_entry.gone.is_none());
        if !registered {
            return Err(CommandError::UnknownNode(node));
        }
        let attempt = self.open_attempt(fence)?;
        match report {
            NodeReport::Ready(digest) if digest == attempt.version.digest => {
                attempt.ready.insert(node, entry);
            }
            NodeReport::Ready(digest) => {
                let why = format!("{node} built {digest} of what should be {}", attempt.version.digest);
                self.end(why);
            }
            NodeReport::Cannot(why) => self.end(format!("{node} can't: {}", check_text(why)?)),
        }
        Ok(())
    }

    fn decide(&mut self, fence: u64, clock: ClockReading) -> Result<(), CommandError> {
        let (_, latest) = self.clock_bounds(clock)?;
        let lead = self.rules.lead;
        if let Some(done) = self.decided.as_ref().filter(|done| done.fence == fence) {
            return Err(CommandError::AlreadyDecided { fence, moment: done.moment });
        }
        let attempt = self.open_attempt(fence)?;
        if latest >= attempt.until {
            return Err(CommandError::TimedOut(fence));
        }
        let moment = attempt.floor.max(latest.saturating_add(lead));
        let version = attempt.version.clone();
        self.check_missing()?;
        let unready = self.unready_nodes();
        if !unready.is_empty() {
            return Err(CommandError::NotReady(unready));
        }
        self.least = self.least.max(version.number);
        let after = self.decided.as_ref().map_or(0, |last| last.fence);
        (self.decided, self.attempt) = (Some(ActivationDecision { fence, version, moment, after }), None);
        Ok(())
    }

    fn open_attempt(&mut self, fence: u64) -> Result<&mut ActivationAttempt, CommandError> {
        if let Some(done) = self.decided.as_ref().filter(|done| done.fence == fence) {
            return Err(CommandError::AlreadyDecided { fence, moment: done.moment });
        }
        self.attempt.as_mut().filter(|attempt| attempt.fence == fence).ok_or(CommandError::AttemptOver(fence))
    }

    fn clock_bounds(&self, clock: ClockReading) -> Result<(Micros, Micros), CommandError> {
        clock.within(self.rules.widest).ok_or(CommandError::ClockUncertain(self.rules.widest))
    }
}

fn attempt_open_error(attempt: &ActivationAttempt) -> CommandError {
    let (author, number) = (attempt.author.clone(), attempt.version.number);
    CommandError::AttemptOpen { author, number, fence: attempt.fence }
}

fn check_text(text: String) -> Result<String, CommandError> {
    match text.len() {
        0 => Err(CommandError::LimitExceeded("a name, a digest or a reason is empty: give one".into())),
        1..=MAX_TEXT_BYTES => Ok(text),
        long => Err(CommandError::LimitExceeded(format!(
            "a name, a digest or a reason has {long} bytes: at most {MAX_TEXT_BYTES} are allowed"
        ))),
    }
}
