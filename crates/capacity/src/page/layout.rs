//! The placement of the control machines, and what keeps working when a zone, a link or a region is lost.

use std::fmt::Write as _;

use crate::target::Target;

/// Renders the section about the control machines and their distribution over regions and zones.
pub fn control_machines(target: &Target) -> String {
    let (machines, regions, zones) =
        (target.budget.control_machines.max(1), target.regions.max(1), target.zones.max(1));
    let quorum = machines / 2 + 1;
    let mut text = format!(
        "## The machines for control\n\n\
        The coordination service is one ensemble of {machines} voting members; {quorum} of them are a quorum. One machine a\n\
        zone, the zones shared out over the regions:\n\n\
        | region | zones | members | goes on by itself |\n| --- | ---: | ---: | --- |\n"
    );
    let share = |total: u32, region: u32| total / regions + u32::from(region < total % regions);
    let mut largest = 0;
    for region in 0..regions {
        let members = share(machines, region);
        largest = largest.max(members);
        let alone = if members >= quorum { "yes" } else { "no: reads alone, as old as the cut" };
        let _ = writeln!(text, "| {} | {} | {members} | {alone} |", region + 1, share(zones, region));
    }
    let lost_zone = machines.div_ceil(zones);
    let after_zone = machines - lost_zone.min(machines);
    let _ = writeln!(
        text,
        "\n**A zone is lost**: {after_zone} members are left, {} than the quorum of {quorum}; changes, grants and registrations go on.\n\
        Its servers' sessions end by their time-out.",
        if after_zone >= quorum { "no fewer" } else { "fewer" }
    );
    let _ = writeln!(
        text,
        "\n**The link between the regions is lost**: the region with {largest} members has {}. In the other every node goes on\n\
        with the catalogue and the lists that it has: requests are served, nothing is changed, no drain is granted, a server\n\
        that registers there is not seen until the link is back, and one that ends there is found by its failed connections\n\
        alone. When the link is back its nodes read what they lack.",
        if largest >= quorum { "the quorum and goes on whole" } else { "no quorum either: nothing is changed anywhere" }
    );
    let _ = writeln!(
        text,
        "\n**The region with the quorum is lost**: an operator has to form an ensemble of what is left. Nothing does that by\n\
        itself, as two halves that cannot hear one another must not both go on. A second ensemble, one a region, is what\n\
        issue 23 needs; it is not there."
    );
    text
}
