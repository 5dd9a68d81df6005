//! The plain model: what is taken and what is there, for each minute.

use std::collections::BTreeMap;

use woodgap_bookings::*;

use crate::{ALLOWANCE, GROUPS, HORIZON, M, SPREAD};

/// Minutes that the model looks at.
pub const DAY: usize = 200;

/// What a booking takes of a group in a minute.
pub fn takes(wish: (&BTreeMap<String, u32>, &Window), group: &str, minute: u64) -> u32 {
    let (Some(slots), window, at) = (wish.0.get(group), wish.1, minute * M) else { return 0 };
    let percent = match at {
        _ if at + window.lead < window.start || at >= window.end + window.taper => 0,
        _ if at < window.start => window.lead_percent,
        _ if at < window.end => 100,
        _ => window.taper_percent,
    };
    (slots * u32::from(percent)).div_ceil(100)
}

pub fn live(book: &Book) -> impl Iterator<Item = &Booking> {
    book.bookings().filter(|booking| {
        !matches!(booking.phase, Phase::Done | Phase::Cancelled | Phase::Expired | Phase::Displaced)
    })
}

/// For each group and minute; the last is all groups together.
pub type Sums = [[u32; DAY]; 3];

/// What bookings take together.
pub fn sums<'a>(bookings: impl Iterator<Item = &'a Booking>) -> Sums {
    let mut sums = [[0; DAY]; 3];
    for booking in bookings {
        let (window, from) = (&booking.window, booking.window.from() / M);
        for minute in from..(window.until() / M).min(DAY as u64) {
            for (nth, group) in GROUPS.iter().enumerate() {
                let slots = takes((&booking.parts, window), group, minute);
                sums[nth][minute as usize] += slots;
            }
            let all = BTreeMap::from([("all".to_owned(), booking.parts.values().sum())]);
            sums[2][minute as usize] += takes((&all, window), "all", minute);
        }
    }
    sums
}

/// What bookings can have of the groups, and what can be promised, by trying every loss.
pub fn capacity(book: &Book) -> [Sums; 2] {
    let mut both = [[[0; DAY]; 3]; 2];
    for (nth, group) in GROUPS.iter().enumerate() {
        let Group { rule, servers } = &book.groups()[*group];
        let servers: Vec<&Server> = servers.values().collect();
        let keep = |sum: u32| {
            let kept = sum * u32::from(100 - rule.safety_percent) / 100;
            kept * u32::from(100 - rule.open_percent) / 100
        };
        let sum = |set: u32| servers.iter().enumerate().map(|(n, s)| (set >> n & 1) * s.slots).sum::<u32>();
        let zone = |zone| (0..servers.len()).map(|n| u32::from(servers[n].zone == zone) << n).sum::<u32>();
        let zones: Vec<u32> = if rule.survive_zone { ["a", "b", "c"].map(zone).into() } else { vec![0] };
        let mut known: BTreeMap<(u32, u32), u32> = BTreeMap::new();
        for (minute, at) in (0..DAY).map(|minute| (minute, minute as u64 * M)) {
            let holds = |out: &&Out| (out.from..out.until).contains(&at);
            let (mut there, mut permits) = (0, rule.permits_out);
            for (n, server) in servers.iter().enumerate() {
                there |= u32::from(!server.outs.iter().any(|out| holds(&out))) << n;
                let permitted = server.outs.iter().any(|out| holds(&out) && out.by == By::Permit);
                permits = permits.saturating_sub(u32::from(permitted));
            }
            let left = *known.entry((there, permits)).or_insert_with(|| {
                let sets = (0..1 << servers.len()).filter(|set: &u32| set.count_ones() <= permits);
                let left = sets.flat_map(|set| zones.iter().map(move |zone| there & !set & !zone));
                left.map(sum).min().unwrap_or(0)
            });
            (both[0][nth][minute], both[1][nth][minute]) = (keep(sum(there)), keep(left));
        }
    }
    both
}

/// The first minute at which a wish does not fit, in which ground, what is left there and what is wanted.
pub fn full(wish: &Wish, most: &Sums, used: &Sums, own: &Sums, since: u64) -> Option<(u64, usize, u32, u32)> {
    let all = BTreeMap::from([("all".to_owned(), wish.parts.values().sum())]);
    let window = &wish.window;
    (since.max(window.from() / M)..window.until() / M).find_map(|minute| {
        let at = minute as usize;
        let grounds = [
            (most[0][at], used[0][at], takes((&wish.parts, window), "g", minute)),
            (most[1][at], used[1][at], takes((&wish.parts, window), "h", minute)),
            (ALLOWANCE.slots, own[2][at], takes((&all, window), "all", minute)),
        ];
        let over = |(most, used, wants): &(u32, u32, u32)| *wants > 0 && used + wants > *most;
        let nth = grounds.iter().position(over)?;
        let (most, used, wants) = grounds[nth];
        Some((minute, nth, most.saturating_sub(used), wants))
    })
}

pub fn moved(wish: &Wish, by: u64) -> Wish {
    let window = Window { start: wish.window.start + by * M, end: wish.window.end + by * M, ..wish.window };
    Wish { window, ..wish.clone() }
}

/// What a book without one booking has to say to a wish from a tenant.
pub fn verdict(book: &Book, but: u64, tenant: &str, wish: &Wish, now: u64) -> Result<(), Refusal> {
    let others = || live(book).filter(|booking| booking.id != but);
    let (most, used) = (&capacity(book)[1], &sums(others()));
    let own = &sums(others().filter(|booking| booking.tenant == tenant));
    let settled = now + SPREAD;
    let Some((minute, nth, left, wanted)) = full(wish, most, used, own, settled) else { return Ok(()) };
    let fits = |by: &u64| full(&moved(wish, *by), most, used, own, 0).is_none();
    let latest = (now + HORIZON).saturating_sub(wish.window.until() / M);
    let next = (0..=latest).find(fits).filter(|_| wish.window.from() / M >= settled);
    let (at, next) = (minute * M, next.map(|by| wish.window.start + by * M));
    Err(match GROUPS.get(nth) {
        Some(group) => Refusal::TooFull { group: (*group).to_owned(), at, left, wanted, next },
        None => Refusal::TenantFull { at, left, wanted, next },
    })
}

/// Whether a change leaves alone what stands.
pub fn stands(old: &Booking, wish: &Wish, now: u64) -> bool {
    let edges = |w: &Window| [w.from(), w.start, w.end, w.until()].map(|at| at / M);
    let same = |(a, b): (u64, u64)| a == b || a.min(b) >= now + SPREAD;
    let near = (now..now + SPREAD).all(|minute| {
        let of = |parts, window, group| takes((parts, window), group, minute);
        GROUPS.iter().all(|group| of(&old.parts, &old.window, group) == of(&wish.parts, &wish.window, group))
    });
    near && edges(&old.window).into_iter().zip(edges(&wish.window)).all(same)
}
