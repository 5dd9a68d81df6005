//! The rules of bookings, each by its hard cases. Times are in seconds here, on a clock that begins at 0.

mod calendar;
mod capacity;
mod document;
mod entitle;
mod life;
mod rank;
mod short;

use std::collections::BTreeMap;

use woodgap_bookings::*;

/// A second.
const S: Micros = 1_000_000;
/// Nothing that is nearer than this is changed.
const SPREAD: Micros = 10 * S;

/// A group's rule that keeps nothing back.
const PLAIN: Rule =
    Rule { safety_percent: 0, open_percent: 0, survive_zone: false, permits_out: 0, short_by: ShortBy::Rank };

fn settings() -> Settings {
    let allowance = Allowance { bookings: 64, slots: 10_000, highest_rank: 2 };
    Settings { allowance, spread: SPREAD, ranks: vec![Rank { notice: 100 * S }; 3], ..Settings::default() }
}

/// Three zones, two servers in each, 10 slots a server: `a1`, `a2`, `b1`, ...
fn servers() -> BTreeMap<String, Seen> {
    let names = ["a1", "a2", "b1", "b2", "c1", "c2"];
    let seen = |name: &str| Seen { zone: name[..1].to_owned(), slots: 10, ..Seen::default() };
    names.iter().map(|name| ((*name).to_owned(), seen(name))).collect()
}

fn scene(groups: &[&str]) -> Scene {
    Scene { groups: groups.iter().map(|name| ((*name).to_owned(), servers())).collect() }
}

fn with(settings: Settings, groups: &[(&str, Rule)]) -> Book {
    let names: Vec<&str> = groups.iter().map(|group| group.0).collect();
    let groups = groups.iter().map(|(name, rule)| ((*name).to_owned(), rule.clone())).collect();
    Book::new(Setup { settings, groups }).unwrap().settle(0, &scene(&names)).unwrap().0
}

/// A group `g` of 60 slots.
fn plain() -> Book {
    with(settings(), &[("g", PLAIN)])
}

fn wish(parts: &[(&str, u32)], start: u64, end: u64) -> Wish {
    let parts = parts.iter().map(|(group, slots)| ((*group).to_owned(), *slots)).collect();
    Wish { parts, window: Window::plain(start * S, end * S) }
}

/// Of group `g`, confirmed at once, of the lowest rank.
fn ask(tenant: &str, key: &str, slots: u32, start: u64, end: u64) -> Command {
    ranked(tenant, key, slots, start, end, 0)
}

fn ranked(tenant: &str, key: &str, slots: u32, start: u64, end: u64, rank: u8) -> Command {
    let (tenant, key) = (tenant.to_owned(), key.to_owned());
    let wish = wish(&[("g", slots)], start, end);
    Command::Book { tenant, key, wish, rank, displace: rank > 0, hold: None }
}

fn change(tenant: &str, key: &str, booking: u64, wish: Wish) -> Command {
    Command::Change { tenant: tenant.to_owned(), key: key.to_owned(), booking, wish }
}

fn cancel(tenant: &str, key: &str, booking: u64) -> Command {
    let (tenant, key) = (tenant.to_owned(), key.to_owned());
    Command::Cancel { tenant, key, booking, reason: "not wanted".to_owned() }
}

/// Takes a command that has to be taken, at a second; its booking.
fn taken(book: &mut Book, command: Command, now: u64) -> u64 {
    let (next, answer) = book.take(command, now * S).unwrap();
    *book = next;
    answer.booking.unwrap()
}

fn refused(book: &Book, command: Command, now: u64) -> Refusal {
    book.take(command, now * S).unwrap_err()
}

fn dead(names: &[&str], why: &str) -> Scene {
    let mut scene = scene(&["g"]);
    let servers = scene.groups.get_mut("g").unwrap();
    names.iter().for_each(|name| servers.get_mut(*name).unwrap().dead = Some(why.to_owned()));
    scene
}

fn phases(book: &Book, id: u64) -> Vec<(u64, Phase)> {
    book.booking(id).unwrap().trail.iter().map(|mark| (mark.at / S, mark.phase)).collect()
}
