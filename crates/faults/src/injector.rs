//! Matches calls with the rules of a schedule and counts them for each rule.

use crate::schedule::{CallName, FaultRule, Schedule, Target};

/// The attributes of a call that rules match. Each is queried only when a rule needs it, as a query is a
/// system call.
pub trait CallContext {
    /// The kind of object that the call acts on.
    fn target(&self) -> Target;
    /// The port of the peer, for a socket with one.
    fn peer_port(&self) -> Option<u16>;
    /// The local port, for a socket with one.
    fn local_port(&self) -> Option<u16>;
    /// The path, for a file.
    fn path(&self) -> Option<String>;
}

/// The effect of a fault on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The call fails with this `errno`.
    Fail(i32),
    /// The call transfers at most this many bytes.
    Short(usize),
}

#[derive(Clone, Copy, Debug, Default)]
struct RuleCounts {
    /// Calls that matched the rule.
    matched: u64,
    /// Faults that the rule injected.
    injected: u64,
}

/// A schedule with the counts of its rules.
#[derive(Debug)]
pub struct FaultInjector {
    schedule: Schedule,
    counts: Vec<RuleCounts>,
    rng: fastrand::Rng,
}

impl FaultInjector {
    /// An injector that has seen no call.
    pub fn new(schedule: Schedule) -> Self {
        let counts = vec![RuleCounts::default(); schedule.faults.len()];
        let rng = fastrand::Rng::with_seed(schedule.seed);
        FaultInjector { schedule, counts, rng }
    }

    /// The effect on a call, if any; `now_ms` is the time since the process started. Counts the call for each
    /// rule that it matches, up to the rule that takes effect.
    pub fn inject(&mut self, call: CallName, now_ms: u64, context: &impl CallContext) -> Option<Effect> {
        for (fault, count) in self.schedule.faults.iter().zip(&mut self.counts) {
            if fault.call != call || !matches_context(fault, context) {
                continue;
            }
            count.matched += 1;
            let due = count.matched > fault.after_calls && is_active(fault, now_ms);
            let below_limit = fault.times.is_none_or(|times| count.injected < times);
            if due && below_limit && self.rng.u64(0..fault.one_in) == 0 {
                count.injected += 1;
                let failure = fault.error.map(|error| Effect::Fail(error.errno()));
                return failure.or(fault.bytes.map(Effect::Short));
            }
        }
        None
    }

    /// The offset of the wall clock in milliseconds, and whether a step has just been applied for the first
    /// time.
    pub fn clock_offset(&mut self, now_ms: u64) -> (i64, bool) {
        let (mut offset, mut new_step) = (0, false);
        for (fault, count) in self.schedule.faults.iter().zip(&mut self.counts) {
            let Some(step_ms) = fault.step_ms.filter(|_| is_active(fault, now_ms)) else { continue };
            offset += step_ms;
            new_step |= count.injected == 0;
            count.injected = 1;
        }
        (offset, new_step)
    }
}

fn is_active(fault: &FaultRule, now_ms: u64) -> bool {
    now_ms >= fault.after_ms && fault.until_ms.is_none_or(|until| now_ms < until)
}

fn matches_context(fault: &FaultRule, context: &impl CallContext) -> bool {
    fault.on.is_none_or(|on| context.target() == on)
        && fault.peer_port.is_none_or(|port| context.peer_port() == Some(port))
        && fault.local_port.is_none_or(|port| context.local_port() == Some(port))
        && fault
            .path
            .as_ref()
            .is_none_or(|part| context.path().is_some_and(|path| path.contains(part.as_str())))
}

#[cfg(test)]
mod tests {
    use super::*;

    struct StreamTo(u16);

    impl CallContext for StreamTo {
        fn target(&self) -> Target {
            Target::Stream
        }
        fn peer_port(&self) -> Option<u16> {
            Some(self.0)
        }
        fn local_port(&self) -> Option<u16> {
            None
        }
        fn path(&self) -> Option<String> {
            None
        }
    }

    fn injector(rules: &str) -> FaultInjector {
        FaultInjector::new(Schedule::parse(rules).unwrap())
    }

    /// The times, in milliseconds, of the calls that met a fault, with one call per millisecond.
    fn injected_at(injector: &mut FaultInjector, calls: u64) -> Vec<u64> {
        (0..calls).filter(|ms| injector.inject(CallName::Recv, *ms, &StreamTo(1)).is_some()).collect()
    }

    #[test]
    fn rule_is_limited_by_calls_times_and_period() {
        let rule = "[[fault]]\ncall = \"recv\"\nbytes = 1\n";
        assert_eq!(injected_at(&mut injector(rule), 3), [0, 1, 2]);
        assert_eq!(injected_at(&mut injector(&format!("{rule}after_calls = 2\ntimes = 2\n")), 9), [2, 3]);
        assert_eq!(injected_at(&mut injector(&format!("{rule}after_ms = 4\nuntil_ms = 6\n")), 9), [4, 5]);
    }

    #[test]
    fn rule_ignores_and_does_not_count_calls_that_do_not_match() {
        let mut injector =
            injector("[[fault]]\ncall = \"recv\"\npeer_port = 2\nafter_calls = 1\nerror = \"EINTR\"\n");
        assert!(injected_at(&mut injector, 5).is_empty());
        assert_eq!(injector.inject(CallName::Send, 0, &StreamTo(2)), None);
        assert_eq!(injector.inject(CallName::Recv, 0, &StreamTo(2)), None);
        assert_eq!(injector.inject(CallName::Recv, 0, &StreamTo(2)), Some(Effect::Fail(libc::EINTR)));
    }

    #[test]
    fn one_in_is_random_and_repeatable_by_the_seed() {
        let rules = |seed| format!("seed = {seed}\n[[fault]]\ncall = \"recv\"\none_in = 4\nbytes = 1\n");
        let first = injected_at(&mut injector(&rules(1)), 4_000);
        assert_eq!(first, injected_at(&mut injector(&rules(1)), 4_000));
        assert_ne!(first, injected_at(&mut injector(&rules(2)), 4_000));
        assert!((900..1_100).contains(&first.len()), "{}", first.len());
    }

    #[test]
    fn clock_steps_add_up_and_are_reported_once() {
        let step = |after_ms, step_ms| {
            format!("[[fault]]\ncall = \"clock_realtime\"\nafter_ms = {after_ms}\nstep_ms = {step_ms}\n")
        };
        let mut injector = injector(&(step(0, 1_000) + &step(10, -3_000)));
        assert_eq!(injector.clock_offset(0), (1_000, true));
        assert_eq!(injector.clock_offset(9), (1_000, false));
        assert_eq!(injector.clock_offset(10), (-2_000, true));
        assert_eq!(injector.clock_offset(11), (-2_000, false));
    }
}
