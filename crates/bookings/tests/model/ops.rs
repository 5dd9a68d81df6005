//! What happens to a calendar.

use std::collections::BTreeMap;

use proptest::prelude::*;
use woodgap_bookings::*;

use crate::{GROUPS, M};

#[derive(Clone, Debug)]
pub enum Op {
    Book { tenant: u8, wish: Wish, rank: u8, displace: bool, hold: Option<u64> },
    Change { nth: usize, wish: Wish },
    Confirm { nth: usize },
    Cancel { nth: usize },
    Servers { gone: u8, from: u64, until: u64, dead: bool },
    Pass { minutes: u64 },
}

fn wish() -> impl Strategy<Value = Wish> {
    let (lead, taper) = ((0..4u64, 0..=100u8), (0..4u64, 0..=100u8));
    (0..3u8, 1..14u32, 1..14u32, 0..50u64, 1..30u64, lead, taper).prop_map(
        |(which, g, h, from, length, lead, taper)| {
            let all = [("g".to_owned(), g), ("h".to_owned(), h)].into_iter().enumerate();
            let parts = all.filter(|(n, _)| which == 2 || usize::from(which) == *n).map(|(_, part)| part);
            let start = (from + lead.0) * M;
            let window = Window {
                start,
                end: start + length * M,
                lead: lead.0 * M,
                taper: taper.0 * M,
                lead_percent: lead.1,
                taper_percent: taper.1,
            };
            Wish { parts: parts.collect(), window }
        },
    )
}

pub fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (0..4u8, wish(), 0..3u8, any::<bool>(), proptest::option::of(1..30u64)).prop_map(
            |(tenant, wish, rank, displace, hold)| Op::Book { tenant, wish, rank, displace, hold }
        ),
        3 => (0..20usize, wish()).prop_map(|(nth, wish)| Op::Change { nth, wish }),
        1 => (0..20usize).prop_map(|nth| Op::Confirm { nth }),
        2 => (0..20usize).prop_map(|nth| Op::Cancel { nth }),
        1 => (any::<u8>(), 0..80u64, 1..40u64, any::<bool>())
            .prop_map(|(gone, from, length, dead)| Op::Servers { gone, from, until: from + length, dead }),
        2 => (1..7u64).prop_map(|minutes| Op::Pass { minutes }),
    ]
}

pub fn rule() -> impl Strategy<Value = Rule> {
    (0..30u8, 0..30u8, any::<bool>(), 0..3u32, any::<bool>()).prop_map(
        |(safety_percent, open_percent, survive_zone, permits_out, rank)| {
            let short_by = if rank { ShortBy::Rank } else { ShortBy::ProRata };
            Rule { safety_percent, open_percent, survive_zone, permits_out, short_by }
        },
    )
}

pub fn scene(gone: u8, from: u64, until: u64, dead: bool) -> Scene {
    let names = ["a1", "a2", "b1", "b2", "c1"];
    let servers = names.iter().enumerate().map(|(n, name)| {
        let away = gone >> n & 1 == 1;
        let by = if n % 2 == 0 { By::Permit } else { By::Drain };
        let outs = vec![Out { from: from * M, until: until * M, by, why: "work".to_owned() }];
        let outs = if away && !dead { outs } else { Vec::new() };
        let dead = (away && dead).then(|| "silent".to_owned());
        ((*name).to_owned(), Seen { zone: name[..1].to_owned(), slots: 4 + 3 * n as u32, outs, dead })
    });
    let servers: BTreeMap<String, Seen> = servers.collect();
    Scene { groups: GROUPS.map(|group| (group.to_owned(), servers.clone())).into() }
}
