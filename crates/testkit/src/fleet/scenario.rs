//! Fault scenarios as data: a fleet's specification and a list of steps, run by tests and by the program
//! `fleet`.
//!
//! ```toml
//! name = "one dies while another drains"
//! [fleet]
//! nodes = 3
//! [[step]]
//! do = "kill"
//! node = "n3"
//! [[step]]
//! do = "until"
//! is = "dead"
//! node = "n3"
//! ```

use std::collections::BTreeSet;
use std::path::Path;
use std::time::{Duration, Instant};

use hyper::Method;
use serde::Deserialize;
use woodgap_permits::{PermitPhase, Scope};

use super::{FleetSpec, Rig, RigError};
use crate::admin::Precondition;
use crate::links::LinkFaults;

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A scenario: the fleet and the steps to run on it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// The name of the scenario, for messages.
    pub name: String,
    /// The specification of the fleet, with the seed.
    pub fleet: FleetSpec,
    /// The steps, in order.
    #[serde(rename = "step")]
    pub steps: Vec<Step>,
}

/// The directions of a link to the coordination service that are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutDirections {
    /// Both directions.
    Both,
    /// From the node to the service.
    Up,
    /// From the service to the node.
    Down,
    /// Neither direction: the link is restored.
    None,
}

/// A step of a scenario: an action or a condition. An empty list of nodes stands for all running nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Step {
    /// Starts a node.
    Start {
        /// The name of the node.
        node: String,
    },
    /// Sends SIGKILL to a node.
    Kill {
        /// The name of the node.
        node: String,
    },
    /// Sends SIGSTOP to a node.
    #[serde(rename = "stop")]
    Pause {
        /// The name of the node.
        node: String,
    },
    /// Sends SIGCONT to a node.
    #[serde(rename = "continue")]
    Resume {
        /// The name of the node.
        node: String,
    },
    /// Sends SIGTERM to a node.
    #[serde(rename = "term")]
    Terminate {
        /// The name of the node.
        node: String,
    },
    /// Kills a node if it runs, and starts it under the same name.
    Restart {
        /// The name of the node.
        node: String,
        /// Replaces the probe interval in the node's configuration, so that it differs from the others'.
        #[serde(default)]
        interval_ms: Option<u64>,
    },
    /// Requests the drain of a node, as an operator does, or cancels it.
    Drain {
        /// The name of the node.
        node: String,
        /// Cancels the drain.
        #[serde(default)]
        cancel: bool,
    },
    /// Requests the drain of several nodes concurrently.
    DrainAll {
        /// The nodes.
        #[serde(default)]
        nodes: Vec<String>,
    },
    /// Cuts the links between two groups of nodes.
    Cut {
        /// The first group.
        from: Vec<String>,
        /// The second group.
        to: Vec<String>,
        /// Only from the first group to the second.
        #[serde(default)]
        one_way: bool,
    },
    /// Injects faults into the links between two groups of nodes.
    #[serde(rename = "ail")]
    InjectFaults {
        /// The first group; empty for all running nodes.
        #[serde(default)]
        from: Vec<String>,
        /// The second group; empty for all running nodes.
        #[serde(default)]
        to: Vec<String>,
        /// The faults.
        #[serde(rename = "ails")]
        faults: LinkFaults,
        /// Only from the first group to the second.
        #[serde(default)]
        one_way: bool,
    },
    /// Cuts links to the coordination service, or restores them.
    #[serde(rename = "service")]
    CutService {
        /// The nodes.
        #[serde(default)]
        nodes: Vec<String>,
        /// The directions to cut.
        cut: CutDirections,
    },
    /// The coordination service loses its quorum, so that it serves reads and refuses writes, or regains it.
    Minority {
        /// Whether the quorum is lost.
        on: bool,
    },
    /// Moves a node's session to another address of the coordination service.
    MoveSession {
        /// The name of the node.
        node: String,
    },
    /// The coordination service ends a node's session.
    EndSession {
        /// The name of the node.
        node: String,
    },
    /// Removes the faults of all links.
    Heal,
    /// Waits for a fixed time.
    Wait {
        /// The time, in milliseconds.
        ms: u64,
    },
    /// Waits until a condition holds.
    Until {
        /// The condition.
        #[serde(flatten)]
        condition: Condition,
        /// The timeout, in milliseconds.
        #[serde(default = "default_timeout_ms")]
        within_ms: u64,
    },
    /// Requires a condition to hold throughout a time.
    Always {
        /// The condition.
        #[serde(flatten)]
        condition: Condition,
        /// The time, in milliseconds.
        for_ms: u64,
    },
}

fn default_timeout_ms() -> u64 {
    30_000
}

/// A condition on the fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum Condition {
    /// Each running node sees exactly the running nodes alive and ready, and is on the ledger's roster.
    #[serde(rename = "together")]
    Converged,
    /// The node's process has ended by itself or is not running.
    #[serde(rename = "ended")]
    Exited {
        /// The name of the node.
        node: String,
    },
    /// Other nodes see the node alive.
    Alive {
        /// The name of the node.
        node: String,
        /// The nodes that see it so; empty for all running nodes.
        #[serde(default)]
        by: Vec<String>,
    },
    /// Other nodes see the node dead.
    Dead {
        /// The name of the node.
        node: String,
        /// The nodes that see it so; empty for all running nodes.
        #[serde(default)]
        by: Vec<String>,
    },
    /// The node considers itself isolated.
    Isolated {
        /// The name of the node.
        node: String,
    },
    /// The node's permit is in a phase.
    Permit {
        /// The name of the node.
        node: String,
        /// The phase: `none`, `asked`, `granted`, `draining`, `out`, `returning`.
        phase: String,
    },
    /// This many nodes have a permit or wait for one.
    #[serde(rename = "in_line")]
    PermitCount {
        /// The number of nodes.
        count: usize,
    },
    /// At most this many permits have been granted since the start of the fleet.
    GrantedAtMost {
        /// The maximum number of permits.
        count: u64,
    },
    /// A log line of the node contains a text.
    #[serde(rename = "said")]
    Logged {
        /// The name of the node.
        node: String,
        /// The text.
        text: String,
    },
}

/// The measurements of a scenario.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Checks of the ledger.
    pub checks: u64,
    /// Checks that found more nodes out by permits than a budget allows.
    pub over_budget: u64,
    /// Maximum number of nodes that were out by permits at once.
    pub max_out: usize,
    /// Number of permits that were granted.
    pub granted: u64,
}

impl Scenario {
    /// Parses a scenario from TOML.
    ///
    /// # Errors
    /// If the text is not a valid scenario.
    pub fn parse(text: &str) -> Result<Scenario, RigError> {
        Ok(toml::from_str(text)?)
    }

    /// Launches the fleet, waits until it has converged and runs all steps. The rig is returned as the last
    /// step left it.
    ///
    /// # Errors
    /// The step that failed and why, with the log lines of all nodes.
    pub async fn play(&self, program: &Path) -> Result<(Rig, Report), RigError> {
        let mut rig = Rig::launch(program, self.fleet.clone()).await?;
        let mut report = Report::default();
        for (number, step) in (1..).zip(&self.steps) {
            if let Err(error) = run_step(&mut rig, step, &mut report).await {
                let (name, seed, log) = (&self.name, self.fleet.seed, rig.log());
                let ledger = rig.ledger();
                return Err(format!(
                    "{name} (seed {seed}), step {number}, {step:?}: {error}\nledger: {ledger:?}\n{log}"
                )
                .into());
            }
        }
        check_budgets(&mut rig, &mut report);
        Ok((rig, report))
    }
}

/// Compares the ledger with its budgets and counts the result in the report.
pub fn check_budgets(rig: &mut Rig, report: &mut Report) {
    rig.sample();
    let ledger = rig.ledger();
    report.checks += 1;
    report.granted = ledger.fence;
    let count_out = |in_scope: &dyn Fn(&BTreeSet<Scope>) -> bool| {
        let out = ledger.permits.iter().filter(|p| p.phase != PermitPhase::Asked && p.forced.is_none());
        out.filter(|permit| in_scope(&permit.scopes)).count()
    };
    report.max_out = report.max_out.max(count_out(&|_| true));
    for budget in &ledger.budgets {
        let in_scope =
            |scopes: &BTreeSet<Scope>| budget.scope == Scope::Fleet || scopes.contains(&budget.scope);
        let members = ledger.roster.values().filter(|scopes| in_scope(scopes)).count();
        if count_out(&in_scope) > budget.allows(members as u32) as usize {
            report.over_budget += 1;
        }
    }
}

fn resolve_nodes(rig: &Rig, nodes: &[String]) -> Vec<String> {
    match nodes {
        [] => rig.running().into_iter().collect(),
        nodes => nodes.to_vec(),
    }
}

/// Runs one step.
///
/// # Errors
/// If the action fails or the condition does not hold.
pub async fn run_step(rig: &mut Rig, step: &Step, report: &mut Report) -> Result<(), RigError> {
    match step {
        Step::Start { node } => rig.start(node)?,
        Step::Kill { node } => rig.kill(node)?,
        Step::Pause { node } => rig.pause(node)?,
        Step::Resume { node } => rig.resume(node)?,
        Step::Terminate { node } => rig.terminate(node)?,
        Step::Restart { node, interval_ms } => {
            if rig.exit_status(node).is_none() && rig.admin(node).is_some() {
                rig.kill(node)?;
            }
            rig.configure(node, |made| {
                made.interval_ms = interval_ms.unwrap_or(made.interval_ms);
            })?;
            rig.start(node)?;
        }
        Step::Drain { node, cancel } => {
            let admin = rig.admin(node).ok_or_else(|| format!("{node} is not running"))?;
            let method = if *cancel { Method::DELETE } else { Method::PUT };
            let response = admin.call(method, "drain", Precondition::None, None).await?;
            if response.status != 202 {
                return Err(format!("{node} responded {response:?}").into());
            }
        }
        Step::DrainAll { nodes } => {
            let admins = resolve_nodes(rig, nodes).into_iter().filter_map(|node| rig.admin(&node));
            let mut requests = tokio::task::JoinSet::new();
            for admin in admins {
                requests
                    .spawn(async move { admin.call(Method::PUT, "drain", Precondition::None, None).await });
            }
            while let Some(response) = requests.join_next().await {
                let response = response??;
                if response.status != 202 {
                    return Err(format!("{response:?}").into());
                }
            }
        }
        Step::Cut { from, to, one_way } => rig.set_link_faults(from, to, LinkFaults::CUT, *one_way),
        Step::InjectFaults { from, to, faults, one_way } => {
            let (from, to) = (resolve_nodes(rig, from), resolve_nodes(rig, to));
            rig.set_link_faults(&from, &to, *faults, *one_way);
        }
        Step::CutService { nodes, cut } => {
            let no_faults = LinkFaults::default();
            let (up, down) = match cut {
                CutDirections::Both => (LinkFaults::CUT, LinkFaults::CUT),
                CutDirections::Up => (LinkFaults::CUT, no_faults),
                CutDirections::Down => (no_faults, LinkFaults::CUT),
                CutDirections::None => (no_faults, no_faults),
            };
            for node in resolve_nodes(rig, nodes) {
                rig.set_service_faults(&node, up, down)?;
            }
        }
        Step::Minority { on } => rig.service.set_read_only(*on),
        Step::MoveSession { node } => rig.move_session(node).await?,
        Step::EndSession { node } => {
            let session = rig.session(node).ok_or_else(|| format!("{node} has no session"))?;
            rig.service.close_session(session);
        }
        Step::Heal => rig.heal(),
        Step::Wait { ms } => {
            let deadline = Instant::now() + Duration::from_millis(*ms);
            while Instant::now() < deadline {
                check_budgets(rig, report);
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Step::Until { condition, within_ms } => {
            let deadline = Instant::now() + Duration::from_millis(*within_ms);
            while let Err(unmet) = check_condition(rig, condition).await {
                check_budgets(rig, report);
                if Instant::now() >= deadline {
                    return Err(format!("condition not met within {within_ms} ms: {unmet}").into());
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Step::Always { condition, for_ms } => {
            let deadline = Instant::now() + Duration::from_millis(*for_ms);
            while Instant::now() < deadline {
                check_condition(rig, condition).await?;
                check_budgets(rig, report);
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }
    check_budgets(rig, report);
    Ok(())
}

async fn check_member_state(rig: &Rig, node: &str, by: &[String], expected: &str) -> Result<(), RigError> {
    for viewer in resolve_nodes(rig, by) {
        if viewer == node {
            continue;
        }
        let view = rig.view(&viewer).await.ok_or_else(|| format!("{viewer} does not respond"))?;
        let members = view["members"].as_array().cloned().unwrap_or_default();
        let member = members.iter().find(|member| member["name"] == *node);
        let found = member.map_or("unknown", |member| member["life"].as_str().unwrap_or_default());
        if found != expected {
            return Err(format!("{viewer} sees {node} as {found}").into());
        }
    }
    Ok(())
}

/// Checks a condition.
///
/// # Errors
/// The actual state if the condition does not hold.
pub async fn check_condition(rig: &mut Rig, condition: &Condition) -> Result<(), RigError> {
    match condition {
        Condition::Converged => rig.wait_until_converged(Duration::ZERO).await,
        Condition::Exited { node } => {
            // The exit status is returned only once; after that the rig has no process and no client for the
            // node.
            let ended = rig.exit_status(node).is_some() || rig.admin(node).is_none();
            ended.then_some(()).ok_or_else(|| format!("{node} is running").into())
        }
        Condition::Alive { node, by } => check_member_state(rig, node, by, "alive").await,
        Condition::Dead { node, by } => check_member_state(rig, node, by, "dead").await,
        Condition::Isolated { node } => {
            let view = rig.view(node).await.ok_or_else(|| format!("{node} does not respond"))?;
            let standing = view["standing"].as_str().unwrap_or_default();
            (standing == "isolated").then_some(()).ok_or_else(|| format!("{node} is {standing}").into())
        }
        Condition::Permit { node, phase } => {
            let now =
                rig.permit_phase(node).map_or("none".to_owned(), |now| format!("{now:?}").to_lowercase());
            (now == *phase).then_some(()).ok_or_else(|| format!("the permit of {node} is {now}").into())
        }
        Condition::PermitCount { count } => {
            let now = rig.ledger().permits.len();
            (now == *count)
                .then_some(())
                .ok_or_else(|| format!("{now} nodes have a permit or wait for one").into())
        }
        Condition::GrantedAtMost { count } => {
            let fence = rig.ledger().fence;
            (fence <= *count).then_some(()).ok_or_else(|| format!("{fence} permits were granted").into())
        }
        Condition::Logged { node, text } => rig
            .log_contains(node, text)
            .then_some(())
            .ok_or_else(|| format!("no log line of {node} contains {text:?}").into()),
    }
}
