//! The capacity page for operators, rendered from a recording and a target.
//!
//! The text of the page is compared byte for byte with `docs/CAPACITY.md` by a test.

mod figures;
mod layout;

use std::fmt::Write as _;

use crate::projection::{fleet_start, node_total, over_budget, project};
use crate::recording::{FleetEvent, Recording, Series};
use crate::role::Role;
use crate::target::{Budget, Dimension, Target};
use figures::{amount, count, factor, growth, line_equation};

/// The budgets that a node's roles share, each with its name and unit on the page.
const NODE_BUDGETS: [(&str, Budget, &str); 3] = [
    ("core", Budget::CoreShare, "core"),
    ("memory", Budget::MemoryBytes, "bytes"),
    ("traffic", Budget::BytesPerS, "bytes/s"),
];

/// Renders the whole page.
pub fn render(recording: &Recording, target: &Target) -> String {
    let sections = [
        introduction(recording),
        target_sizes(target),
        roles(recording, target),
        node_totals(recording, target),
        events(&recording.events),
        layout::control_machines(target),
        over_budget_table(recording, target),
    ];
    sections.join("\n")
}

fn introduction(recording: &Recording) -> String {
    let machine = &recording.machine;
    format!(
        "# Capacity\n\n\
        What each part costs at the size that the design is held against, by slopes that were measured. Made by\n\
        `cargo run --release -p proof -- scale --page` of `docs/capacity/slopes.json` and `docs/capacity/target.toml`;\n\
        a test fails when the three disagree, so change those and not this page.\n\n\
        The slopes were recorded on {} at commit `{}` (seed {}), on a machine of {} cores and {} MiB that the load, the\n\
        stand-ins and the nodes shared. Most nodes are hollow: the product's control-plane code without client and server\n\
        sockets, many in one process. Beside them run real `woodgap serve` processes. A figure at a size beyond the\n\
        measured range is **extrapolated** and marked with `*`; one that bends upward is carried on by the power law\n\
        through its ends. `factor` is the figure over its budget: above 1 it does not fit.\n",
        recording.day, recording.commit, recording.seed, machine.cores, machine.memory_mib
    )
}

fn target_sizes(target: &Target) -> String {
    let budget = &target.budget;
    let mut text = String::from("## The target\n\n| what | size |\n| --- | ---: |\n");
    let rows = [
        ("nodes", count(f64::from(target.nodes))),
        ("servers", count(f64::from(target.servers))),
        ("services", count(f64::from(target.services))),
        ("routes", count(f64::from(target.routes))),
        ("tenants", count(f64::from(target.tenants))),
        ("requests a second at the peak", count(target.requests_per_s)),
        ("regions, zones", format!("{}, {}", target.regions, target.zones)),
        ("changes a day", count(target.changes_per_day)),
        ("restarts or replacements a day", count(target.restarts_per_day)),
        ("failures a day", count(target.failures_per_day)),
        ("added to a request, 99 in 100", format!("{} ms", budget.added_ms_p99)),
        ("a change in force everywhere", format!("{} s", budget.in_force_s)),
        ("a node's control: core", format!("{} %", budget.core_percent)),
        ("a node's control: memory", format!("{} MB", budget.memory_mb)),
        ("a node's control: traffic", format!("{} bytes/s", count(budget.bytes_per_s))),
        ("a node's start (the program's limit on loading)", format!("{} s", budget.start_s)),
        ("machines for control", budget.control_machines.to_string()),
    ];
    for (what, size) in rows {
        let _ = writeln!(text, "| {what} | {size} |");
    }
    let _ = writeln!(
        text,
        "\nAssumed: {} of a day's changes and restarts fall into its busiest hour, and rates are that hour's.",
        target.assumed.busiest_hour_share
    );
    text
}

fn dimension_name(by: Dimension) -> &'static str {
    match by {
        Dimension::Nodes => "nodes",
        Dimension::Servers => "servers",
        Dimension::Services => "services",
        Dimension::Tenants => "tenants",
    }
}

fn roles(recording: &Recording, target: &Target) -> String {
    let mut text = String::from("## By role\n");
    for role in Role::ALL {
        let description = role.description();
        let _ = writeln!(text, "\n### {}\n\nCarried by {}.", role.name(), description.mechanism);
        let _ = writeln!(text, "At twice the size gives way first: {}.\n", description.first_bottleneck);
        let series: Vec<_> = recording.series.iter().filter(|series| series.role == role).collect();
        if series.is_empty() {
            text.push_str("Not measured.\n");
            continue;
        }
        text.push_str(
            "| figure | measured at | line | form | rounds at the largest | at the target | at twice | budget | factor |\n",
        );
        text.push_str("| --- | --- | --- | --- | --- | ---: | ---: | ---: | ---: |\n");
        for series in series {
            let projection = project(series, target);
            let (least, most) = projection.fit.range;
            let mark = if projection.is_extrapolated { "*" } else { "" };
            let unit = if series.rate.is_some() { format!("{}/s", series.unit) } else { series.unit.clone() };
            let _ = writeln!(
                text,
                "| {} | {} to {} {} | {} | {} | {} | {}{mark} | {} | {} | {} |",
                series.figure,
                count(least),
                count(most),
                dimension_name(series.by),
                line_equation(&projection.fit, &series.unit),
                growth(&projection.fit),
                rounds_at_largest(series),
                amount(projection.value, &unit),
                amount(projection.at_twice, &unit),
                projection.budget.map_or_else(|| "-".to_owned(), |budget| amount(budget, &unit)),
                factor(projection.factor()),
            );
        }
        if role == Role::Start {
            text.push_str(&fleet_start_text(recording, target));
        }
        for bound in recording.bounds.iter().filter(|bound| bound.role == role) {
            let target_size = target.size(bound.by);
            let verdict = if bound.most < target_size { "**does not fit**" } else { "fits" };
            let _ = writeln!(
                text,
                "\nBound: {}: {} of {} wanted, {verdict}.",
                bound.what,
                count(bound.most),
                count(target_size)
            );
        }
    }
    text
}

/// Formats the minimum and the maximum of the rounds at the largest size.
fn rounds_at_largest(series: &Series) -> String {
    let last = series.samples.last();
    last.map_or_else(String::new, |last| {
        format!("{} to {}", amount(last.least, &series.unit), amount(last.most, &series.unit))
    })
}

fn events(events: &[FleetEvent]) -> String {
    let mut text = String::from(
        "## Events at size\n\n\
        Hollow nodes and real ones together; reads and bytes are those of the coordination service in its busiest second,\n\
        and what it sent to the busiest node over the whole event.\n\n\
        | event | nodes | until all agree | reads, peak | bytes, peak | busiest node | what broke |\n\
        | --- | ---: | ---: | ---: | ---: | ---: | --- |\n",
    );
    for event in events {
        let agreed =
            event.agreed_ms.map_or_else(|| "not in the time given".to_owned(), |ms| amount(ms, "ms"));
        let broke = if event.broke.is_empty() { "nothing" } else { event.broke.as_str() };
        let _ = writeln!(
            text,
            "| {} | {} | {agreed} | {} | {} | {} | {broke} |",
            event.name,
            event.nodes,
            count(event.service_reads_peak as f64),
            amount(event.service_bytes_peak as f64, "bytes"),
            amount(event.busiest_node_bytes as f64, "bytes"),
        );
    }
    if events.is_empty() {
        text.push_str("\nNone was played.\n");
    }
    text
}

/// Compares the sum over all roles with each budget of a node.
fn node_totals(recording: &Recording, target: &Target) -> String {
    let mut text = String::from(
        "## A node's control, all together\n\n\
        The sum over the roles above; of a role with several figures, the greatest.\n\n\
        | budget | all roles | budget | factor |\n| --- | ---: | ---: | ---: |\n",
    );
    for (name, budget, unit) in NODE_BUDGETS {
        let (total, limit) = (node_total(recording, target, budget), target.budget(budget));
        let (total_text, limit_text) = (amount(total, unit), amount(limit, unit));
        let _ = writeln!(text, "| {name} | {total_text} | {limit_text} | {} |", factor(Some(total / limit)));
    }
    text
}

/// Describes the load of a simultaneous start of all nodes on the coordination service.
fn fleet_start_text(recording: &Recording, target: &Target) -> String {
    let Some(start) = fleet_start(recording, target) else { return String::new() };
    format!(
        "\nA start of all {} nodes at one moment, worked out from the lines above: {} reads and {} at the coordination\n\
        service, {} of a core of each of its {} machines where they share them evenly and are as fast as the stand-in;\n\
        factor {} of the time that a node has.\n",
        target.nodes,
        count(start.reads),
        amount(start.bytes, "bytes"),
        amount(start.service_ms, "ms"),
        target.budget.control_machines,
        factor(Some(start.factor())),
    )
}

/// Lists everything over its budget or limit, the largest factor first.
fn over_budget_table(recording: &Recording, target: &Target) -> String {
    let mut rows: Vec<(f64, Role, String)> = Vec::new();
    for series in &recording.series {
        if let Some(factor) = project(series, target).factor().filter(|factor| *factor > 1.0) {
            rows.push((factor, series.role, series.figure.clone()));
        }
    }
    for bound in &recording.bounds {
        let factor = target.size(bound.by) / bound.most;
        if factor > 1.0 {
            rows.push((factor, bound.role, bound.what.clone()));
        }
    }
    if let Some(start) = fleet_start(recording, target).filter(|start| start.factor() > 1.0) {
        rows.push((start.factor(), Role::Start, "a start of all nodes at one moment".to_owned()));
    }
    rows.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.2.cmp(&b.2)));
    let mut text = String::from("## What is missing\n\n");
    if rows.is_empty() {
        text.push_str("Everything that was measured fits.\n");
        return text;
    }
    text.push_str("| factor | role | figure | issue |\n| ---: | --- | --- | ---: |\n");
    for (factor, role, figure) in rows {
        let _ = writeln!(text, "| {factor:.1} | {} | {figure} | {} |", role.name(), role.description().issue);
    }
    let names: Vec<&str> = over_budget(recording, target).into_iter().map(Role::name).collect();
    let _ = writeln!(text, "\nRoles over budget: {}.", names.join(", "));
    text
}
