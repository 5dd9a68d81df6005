//! Each promise of the merged list, and all of it against a plain model.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use woodgap_membership::*;

const LIST: SourceId = SourceId(1);
const NODES: SourceId = SourceId(2);
/// The time of day at the test's time 0.
const DAY: u64 = 1_000_000_000;

fn entry(n: u16, started_ms: Option<u64>) -> Entry {
    Entry {
        id: format!("s-{n:03}"),
        address: ([127, 0, 0, 1], 1_000 + n).into(),
        transport: Transport::Http1,
        zone: "a".into(),
        cell: 0,
        kind: String::new(),
        size: 1.0,
        started_ms,
        draining: false,
    }
}

fn entries(of: std::ops::Range<u16>) -> Vec<Entry> {
    of.map(|n| entry(n, Some(5))).collect()
}

/// The platform's list, slow, and ephemeral nodes, which rule.
fn merge(bounds: Bounds) -> Merge {
    let mut merge = Merge::new(bounds);
    merge.add(LIST, Source { name: "discovery".into(), rank: 1, kept: false });
    merge.add(NODES, Source { name: "ephemeral".into(), rank: 2, kept: false });
    merge
}

fn believing() -> Bounds {
    Bounds { vanish: 1.0, flaps: 0, ..Bounds::default() }
}

fn gone(of: std::ops::Range<u16>) -> Told {
    Told::Delta { entries: vec![], gone: of.map(|n| entry(n, None).id).collect() }
}

fn in_service(merge: &mut Merge, now: Millis) -> usize {
    merge.members(now).iter().filter(|member| member.in_service).count()
}

#[test]
fn what_the_ruling_source_took_away_stays_away_though_a_slow_list_has_it() {
    let mut merge = merge(believing());
    merge.told(0, DAY, LIST, Told::Full(entries(0..4)));
    merge.told(0, DAY, NODES, Told::Full(entries(0..3)));
    merge.told(100, DAY, NODES, gone(0..1));
    // Seconds late, the list still has it; one that never registered is the list's alone.
    merge.told(200, DAY, LIST, Told::Full(entries(0..4)));
    let ids: Vec<String> = merge.members(200).into_iter().map(|member| member.id).collect();
    assert_eq!(ids, ["s-001", "s-002", "s-003"]);
    merge.told(300, DAY, NODES, Told::Delta { entries: entries(0..1), gone: vec![] });
    assert_eq!(merge.members(300).len(), 4);
}

#[test]
fn a_drain_told_by_any_source_counts() {
    let mut merge = merge(believing());
    merge.told(0, DAY, LIST, Told::Full(entries(0..2)));
    merge.told(0, DAY, NODES, Told::Full(entries(0..2)));
    let drains = Entry { draining: true, ..entry(0, Some(5)) };
    merge.told(10, DAY, LIST, Told::Delta { entries: vec![drains.clone()], gone: vec![] });
    let members = merge.members(10);
    assert!(!members[0].in_service && members[1].in_service);
    // It was restarted since: the list speaks of the process before.
    merge.told(20, DAY, NODES, Told::Delta { entries: vec![entry(0, Some(9))], gone: vec![] });
    let members = merge.members(20);
    assert!(members[0].in_service && members[0].since_ms == 9);
}

#[test]
fn a_lost_source_keeps_its_view_and_shows_its_age() {
    let mut merge = merge(believing());
    merge.told(0, DAY, NODES, Told::Full(entries(0..3)));
    merge.told(1_000, DAY, NODES, Told::Lost);
    merge.told(9_000, DAY, NODES, Told::Lost);
    assert_eq!(in_service(&mut merge, 1_000_000), 3);
    assert_eq!(merge.status()[1].lost_since, Some(1_000));
    // Back: one full list corrects it, and only what is not on it goes.
    merge.told(1_000_000, DAY, NODES, Told::Full(entries(1..4)));
    let ids: Vec<String> = merge.members(1_000_000).into_iter().map(|member| member.id).collect();
    assert_eq!(ids, ["s-001", "s-002", "s-003"]);
    assert_eq!(merge.status()[1].lost_since, None);
}

#[test]
fn while_the_ruling_source_is_lost_another_may_tell_of_a_death() {
    let mut merge = merge(believing());
    merge.told(0, DAY, LIST, Told::Full(entries(0..2)));
    merge.told(0, DAY, NODES, Told::Full(entries(0..2)));
    merge.told(10, DAY, LIST, gone(0..1));
    // It rules: its word stands against the list's.
    assert_eq!(merge.members(10).len(), 2);
    merge.told(20, DAY, NODES, Told::Lost);
    assert_eq!(merge.members(20).len(), 1);
    // What it took away before does not come back for its being lost.
    merge.told(30, DAY, NODES, gone(1..2));
    merge.told(40, DAY, NODES, Told::Lost);
    assert_eq!(merge.members(40).len(), 0);
}

#[test]
fn a_new_session_of_a_process_that_never_stopped_is_not_cold() {
    let mut merge = merge(believing());
    merge.told(0, DAY, NODES, Told::Full(entries(0..1)));
    merge.told(100, DAY, NODES, gone(0..1));
    merge.told(200, DAY + 200, NODES, Told::Delta { entries: entries(0..1), gone: vec![] });
    assert_eq!(merge.members(200)[0].since_ms, 5);
    // A new start time is a new process.
    merge.told(300, DAY, NODES, Told::Delta { entries: vec![entry(0, Some(DAY + 250))], gone: vec![] });
    assert_eq!(merge.members(300)[0].since_ms, DAY + 250);
    // Where nobody knows, one that was away may have stopped; one that only told something new has not.
    merge.told(400, DAY + 400, NODES, Told::Delta { entries: vec![entry(0, None)], gone: vec![] });
    assert_eq!(merge.members(400)[0].since_ms, DAY + 250);
    merge.told(500, DAY + 500, NODES, gone(0..1));
    merge.told(600, DAY + 600, NODES, Told::Delta { entries: vec![entry(0, None)], gone: vec![] });
    assert_eq!(merge.members(600)[0].since_ms, DAY + 600);
}

#[test]
fn when_all_go_at_once_a_bounded_part_is_believed() {
    let bounds = Bounds { vanish: 0.25, ..Bounds::default() };
    let mut merge = merge(bounds.clone());
    merge.told(0, DAY, NODES, Told::Full(entries(0..100)));
    // In three tellings within a moment, as sessions expire one after the other.
    for (at, of) in [(1_000, 0..40), (1_500, 40..80), (1_900, 80..100)] {
        merge.told(at, DAY, NODES, gone(of));
    }
    assert_eq!((in_service(&mut merge, 1_900), merge.status()[1].in_doubt), (75, 75));
    // Those that register again are as before; the rest go when nobody has heard of them for long.
    merge.told(5_000, DAY, NODES, Told::Delta { entries: entries(50..100), gone: vec![] });
    assert_eq!((in_service(&mut merge, 5_000), merge.status()[1].in_doubt), (75, 25));
    let due = merge.due(5_000).expect("doubts end");
    assert_eq!(due, 1_000 + bounds.doubt);
    assert_eq!(in_service(&mut merge, 1_500 + bounds.doubt), 50);
    assert!(merge.members(1_500 + bounds.doubt).iter().all(|member| member.since_ms == 5));
}

#[test]
fn a_few_deaths_are_believed_at_once_and_a_small_pool_may_lose_one() {
    let mut merge = merge(Bounds { vanish: 0.25, ..Bounds::default() });
    merge.told(0, DAY, NODES, Told::Full(entries(0..100)));
    merge.told(10, DAY, NODES, gone(0..20));
    assert_eq!(in_service(&mut merge, 10), 80);
    // A moment later, as many again.
    merge.told(2_010, DAY, NODES, gone(20..40));
    assert_eq!(in_service(&mut merge, 2_010), 60);
    let mut merge = Merge::new(Bounds { vanish: 0.25, ..Bounds::default() });
    merge.add(NODES, Source { name: "ephemeral".into(), rank: 2, kept: false });
    merge.told(0, DAY, NODES, Told::Full(entries(0..2)));
    merge.told(10, DAY, NODES, gone(0..1));
    assert_eq!(in_service(&mut merge, 10), 1);
}

#[test]
fn servers_that_drained_before_they_went_are_no_alarm() {
    let mut merge = merge(Bounds { vanish: 0.1, ..Bounds::default() });
    merge.told(0, DAY, NODES, Told::Full(entries(0..10)));
    let drains = (0..10).map(|n| Entry { draining: true, ..entry(n, Some(5)) }).collect();
    merge.told(10, DAY, NODES, Told::Full(drains));
    merge.told(20, DAY, NODES, Told::Full(vec![]));
    assert_eq!((merge.members(20).len(), merge.status()[1].in_doubt), (0, 0));
}

#[test]
fn a_server_that_flaps_has_to_stay_before_it_is_believed() {
    let bounds = Bounds::default();
    let mut merge = merge(bounds.clone());
    let mut now = 0;
    merge.told(now, DAY, NODES, Told::Full(entries(0..4)));
    let mut back = |merge: &mut Merge| {
        now += 3_000;
        merge.told(now, DAY, NODES, gone(0..1));
        now += 1_000;
        merge.told(now, DAY, NODES, Told::Delta { entries: entries(0..1), gone: vec![] });
        now
    };
    for _ in 0..bounds.flaps {
        let now = back(&mut merge);
        assert_eq!(in_service(&mut merge, now), 4);
    }
    let now = back(&mut merge);
    assert_eq!((in_service(&mut merge, now), merge.members(now).len()), (3, 4));
    assert_eq!(merge.due(now), Some(now + bounds.flap_hold));
    assert_eq!(in_service(&mut merge, now + bounds.flap_hold), 4);
}

#[test]
fn memory_follows_what_is_listed() {
    let mut merge = merge(believing());
    for n in 0..2_000_u64 {
        let one = vec![Entry { id: format!("e-{n}"), ..entry(0, Some(5)) }];
        merge.told(n * 1_000, DAY, NODES, Told::Full(one));
    }
    // Those of the flap window, and the one that is there.
    let text = format!("{merge:?}");
    assert!(text.matches("away: Some").count() <= 62, "{}", text.matches("away: Some").count());
}

/// What happens, with servers and sources by small numbers so that they meet.
#[derive(Clone, Debug)]
enum Does {
    Full(u8, BTreeSet<u16>),
    Came(u8, u16, bool),
    Went(u8, u16),
    Lost(u8),
}

fn story() -> impl Strategy<Value = Vec<Does>> {
    let one = prop_oneof![
        (0..3u8, prop::collection::btree_set(0..6u16, 0..6)).prop_map(|(s, ids)| Does::Full(s, ids)),
        (0..3u8, 0..6u16, any::<bool>()).prop_map(|(s, n, drains)| Does::Came(s, n, drains)),
        (0..3u8, 0..6u16).prop_map(|(s, n)| Does::Went(s, n)),
        (0..3u8).prop_map(Does::Lost),
    ];
    prop::collection::vec(one, 0..60)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    // With everything believed, the list follows from the present views alone.
    #[test]
    fn the_list_is_what_the_views_say(story in story()) {
        let mut merge = Merge::new(believing());
        for n in 0..3 {
            merge.add(SourceId(n), Source { name: n.to_string(), rank: n, kept: false });
        }
        // Views: drained or not by server; lost or not; what each ever listed.
        let mut views: Vec<BTreeMap<u16, bool>> = vec![BTreeMap::new(); 3];
        let mut lost = [false; 3];
        let mut ever: Vec<BTreeSet<u16>> = vec![BTreeSet::new(); 3];
        // Within the flap window, so that nothing is forgotten.
        for (at, does) in story.into_iter().enumerate() {
            let now = at as u64 * 10;
            let with = |n: u16, draining: bool| Entry { draining, ..entry(n, Some(5)) };
            let (source, told) = match does {
                Does::Full(s, ids) => {
                    views[s as usize] = ids.iter().map(|&n| (n, false)).collect();
                    lost[s as usize] = false;
                    (s, Told::Full(ids.into_iter().map(|n| with(n, false)).collect()))
                }
                Does::Came(s, n, drains) => {
                    views[s as usize].insert(n, drains);
                    lost[s as usize] = false;
                    (s, Told::Delta { entries: vec![with(n, drains)], gone: vec![] })
                }
                Does::Went(s, n) => {
                    views[s as usize].remove(&n);
                    lost[s as usize] = false;
                    (s, gone_told(n))
                }
                Does::Lost(s) => {
                    lost[s as usize] = true;
                    (s, Told::Lost)
                }
            };
            let before = merge.members(now);
            let was_lost = matches!(told, Told::Lost);
            merge.told(now, DAY, SourceId(u32::from(source)), told);
            ever.iter_mut().zip(&views).for_each(|(ever, view)| ever.extend(view.keys()));
            let mut wanted = Vec::new();
            for n in 0..6 {
                let Some(ruler) = (0..3).rev().find(|s| ever[*s].contains(&n)) else { continue };
                let dropped = (0..3).any(|s| ever[s].contains(&n) && !lost[s] && !views[s].contains_key(&n));
                if views[ruler].contains_key(&n) && !(lost[ruler] && dropped) {
                    wanted.push((format!("s-{n:03}"), !views.iter().any(|view| view.get(&n) == Some(&true))));
                }
            }
            let members: Vec<_> = merge.members(now).into_iter().map(|m| (m.id, m.in_service)).collect();
            prop_assert_eq!(&members, &wanted);
            // A source that is lost never empties the list by itself.
            if was_lost && lost.iter().all(|lost| *lost) {
                prop_assert!(members.len() >= before.len());
            }
        }
    }

    // However sessions end, the bound is kept in every moment.
    #[test]
    fn no_more_than_the_bound_goes_in_a_moment(waits in prop::collection::vec(0..1_500u64, 40)) {
        let bounds = Bounds { vanish: 0.2, flaps: 0, doubt: 1_000_000, ..Bounds::default() };
        let mut merge = merge(bounds.clone());
        merge.told(0, DAY, NODES, Told::Full(entries(0..40)));
        let (mut now, mut left) = (10_000, Vec::new());
        for (n, wait) in waits.into_iter().enumerate() {
            now += wait;
            merge.told(now, DAY, NODES, gone(n as u16..n as u16 + 1));
            left.push((now, in_service(&mut merge, now)));
        }
        for &(at, count) in &left {
            let before = left.iter().filter(|(then, _)| *then + bounds.moment <= at).map(|l| l.1).min();
            prop_assert!(before.unwrap_or(40) - count <= 2 * 8, "{count} at {at}");
        }
    }
}

fn gone_told(n: u16) -> Told {
    gone(n..n + 1)
}

// One of two comes and goes within moments: each time it is believed that it went, as it is the only one.
#[test]
fn one_that_goes_again_and_again_is_one() {
    let mut merge = merge(Bounds { flaps: 0, ..Bounds::default() });
    merge.told(0, DAY, NODES, Told::Full(entries(0..2)));
    for round in 1..6 {
        merge.told(round * 100, DAY, NODES, gone(0..1));
        assert_eq!(in_service(&mut merge, round * 100), 1, "{round}");
        merge.told(round * 100 + 50, DAY, NODES, Told::Delta { entries: entries(0..1), gone: vec![] });
        assert_eq!(in_service(&mut merge, round * 100 + 50), 2, "{round}");
    }
    // The other one as well: that is all of them at once.
    merge.told(700, DAY, NODES, gone(0..1));
    merge.told(710, DAY, NODES, gone(1..2));
    assert_eq!(in_service(&mut merge, 710), 1);
}

// An administrator takes ten of twelve away, and a deploy brings and takes the same ones again and again:
// that is what was meant. The same from a source of sessions is doubted.
#[test]
fn a_list_that_somebody_keeps_is_believed_at_once() {
    let mut merge = Merge::new(Bounds::default());
    merge.add(LIST, Source { name: "catalogue".into(), rank: 0, kept: true });
    merge.add(NODES, Source { name: "ephemeral".into(), rank: 1, kept: false });
    merge.told(0, DAY, LIST, Told::Full(entries(0..12)));
    merge.told(0, DAY, NODES, Told::Full(entries(20..32)));
    for round in 1..10 {
        merge.told(round * 10, DAY, LIST, Told::Full(entries(0..2)));
        assert_eq!(in_service(&mut merge, round * 10), 14);
        merge.told(round * 10 + 5, DAY, LIST, Told::Full(entries(0..12)));
        assert_eq!(in_service(&mut merge, round * 10 + 5), 24);
    }
    merge.told(100, DAY, NODES, Told::Full(entries(20..22)));
    assert_eq!(in_service(&mut merge, 100), 18);
}

#[test]
fn of_two_at_one_address_the_better_known_counts() {
    let mut merge = merge(believing());
    let renamed = Entry { id: "other".into(), ..entry(1, Some(9)) };
    merge.told(0, DAY, LIST, Told::Full(entries(0..3)));
    merge.told(0, DAY, NODES, Told::Full(vec![renamed.clone()]));
    let ids = |merge: &mut Merge| merge.members(1).into_iter().map(|m| m.id).collect::<Vec<_>>();
    assert_eq!(ids(&mut merge), ["other", "s-000", "s-002"]);
    merge.told(1, DAY, NODES, Told::Full(vec![]));
    assert_eq!(ids(&mut merge), ["s-000", "s-001", "s-002"]);
}

#[test]
fn a_source_that_is_dropped_rules_nobody() {
    let mut merge = merge(believing());
    merge.told(0, DAY, LIST, Told::Full(entries(0..4)));
    merge.told(0, DAY, NODES, Told::Full(entries(0..6)));
    merge.told(1, DAY, NODES, Told::Full(entries(5..6)));
    assert_eq!(merge.members(1).len(), 1);
    merge.remove(NODES);
    assert_eq!(merge.members(2).len(), 4);
    assert_eq!(merge.status().len(), 1);
}
