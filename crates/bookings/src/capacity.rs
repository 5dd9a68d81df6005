//! What a group can do at each moment.
//!
//! With `sum` the slots of the servers that are there, `keep(x) = x - ceil(x * safety_percent / 100)` and
//! `shared(x) = ceil(x * open_percent / 100)`:
//!
//! ```text
//!   whole    = keep(sum)                                   what may be in flight
//!   firm     = whole - shared(whole)                       what bookings get as long as it is there
//!   bookable = keep(sum - worst) - shared(keep(sum - worst))   what is promised to new ones
//! ```
//!
//! `worst` is the most that may go beside what is out already: the largest zone (where the group promises to survive
//! one) and, outside of it, the largest servers, as many as permits may still take out. So `firm` after such a loss is
//! never less than `bookable` before it: no booking gets short by what was promised to be survived.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::line::{percent_up, Line};
use crate::refusal::Refusal;
use crate::settings::{text, MOST_OUTS, MOST_SLOTS};
use crate::when::Micros;

/// Who gets short first where a group can do less than it promised.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShortBy {
    /// The lowest rank, and in it who was confirmed last.
    #[default]
    Rank,
    /// All by the same part.
    ProRata,
}

/// What an operator sets of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The part of its servers' slots that is never counted on, in percent, rounded up.
    pub safety_percent: u8,
    /// The part of the rest that can't be booked and stays for everybody, in percent, rounded up.
    pub open_percent: u8,
    /// What is booked survives the loss of any one zone.
    pub survive_zone: bool,
    /// Servers that permits may take out at once.
    pub permits_out: u32,
    /// Who gets short first.
    pub short_by: ShortBy,
}

impl Rule {
    pub(crate) fn check(&self) -> Result<(), Refusal> {
        match self.safety_percent.max(self.open_percent) {
            0..=100 => Ok(()),
            is => Err(Refusal::Bound { what: "safety_percent, open_percent", most: 100, is: is.into() }),
        }
    }

    fn keep(&self, slots: u32) -> u32 {
        slots - percent_up(slots, self.safety_percent)
    }

    fn booked(&self, slots: u32) -> u32 {
        slots - percent_up(slots, self.open_percent)
    }
}

/// Why a server is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum By {
    /// By a permit: it uses up what permits may take out.
    Permit,
    /// By an operator's drain.
    Drain,
    /// It is dead, alone or with its zone.
    Dead,
}

/// A time in which a server is out, the end not included.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Out {
    /// From here.
    pub from: Micros,
    /// Up to here.
    pub until: Micros,
    /// Why.
    pub by: By,
    /// In words, for who gets short by it.
    pub why: String,
}

impl Out {
    fn holds(&self, at: Micros) -> bool {
        (self.from..self.until).contains(&at)
    }
}

/// A server of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Its zone.
    pub zone: String,
    /// What it can have in flight.
    pub slots: u32,
    /// When it is out.
    pub outs: Vec<Out>,
}

impl Server {
    pub(crate) fn check(&self) -> Result<(), Refusal> {
        text("zone", &self.zone)?;
        self.outs.iter().try_for_each(|out| text("why a server is out", &out.why))?;
        if self.outs.len() > MOST_OUTS {
            let is = self.outs.len() as u64;
            return Err(Refusal::Bound {
                what: "times in which a server is out",
                most: MOST_OUTS as u64,
                is,
            });
        }
        if self.slots > MOST_SLOTS {
            let is = self.slots.into();
            return Err(Refusal::Bound { what: "slots of a server", most: MOST_SLOTS.into(), is });
        }
        Ok(())
    }
}

/// Servers that tenants share.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// What an operator sets.
    pub rule: Rule,
    /// Its servers, by name.
    pub servers: BTreeMap<String, Server>,
}

/// What a group can do, as lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Capacity {
    pub whole: Line,
    pub firm: Line,
    pub bookable: Line,
}

impl Group {
    pub(crate) fn check(&self, name: &str) -> Result<(), Refusal> {
        text("group", name)?;
        self.rule.check()?;
        self.servers.iter().try_for_each(|(name, server)| text("server", name).and(server.check()))
    }

    pub(crate) fn capacity(&self) -> Capacity {
        let outs = self.servers.values().flat_map(|server| &server.outs);
        let mut moments: Vec<Micros> = outs.flat_map(|out| [out.from, out.until]).chain([0]).collect();
        moments.sort_unstable();
        moments.dedup();
        let all: Vec<[u32; 3]> = moments.iter().map(|at| self.at(*at)).collect();
        let line = |which: usize| Line::of(moments.iter().copied().zip(all.iter().map(|three| three[which])));
        Capacity { whole: line(0), firm: line(1), bookable: line(2) }
    }

    /// Whole, firm and bookable at a moment.
    fn at(&self, at: Micros) -> [u32; 3] {
        let mut there: Vec<&Server> = Vec::with_capacity(self.servers.len());
        let mut permits = 0;
        for server in self.servers.values() {
            match server.outs.iter().find(|out| out.holds(at)) {
                None => there.push(server),
                Some(_) => {
                    permits += u32::from(server.outs.iter().any(|out| out.holds(at) && out.by == By::Permit))
                }
            }
        }
        let sum: u32 = there.iter().map(|server| server.slots).sum();
        let worst = self.worst(there, self.rule.permits_out.saturating_sub(permits) as usize);
        let (whole, left) = (self.rule.keep(sum), self.rule.keep(sum - worst));
        [whole, self.rule.booked(whole), self.rule.booked(left)]
    }

    fn worst(&self, mut there: Vec<&Server>, permits: usize) -> u32 {
        there.sort_by_key(|server| std::cmp::Reverse(server.slots));
        let largest = |not: Option<&str>| -> u32 {
            let others = there.iter().filter(|server| Some(server.zone.as_str()) != not);
            others.take(permits).map(|server| server.slots).sum()
        };
        if !self.rule.survive_zone {
            return largest(None);
        }
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        there.iter().for_each(|server| *zones.entry(&server.zone).or_default() += server.slots);
        zones.iter().map(|(zone, sum)| sum + largest(Some(zone))).max().unwrap_or(0)
    }

    /// Why less is there at a moment: the servers that are out, four at most by name.
    pub(crate) fn why(&self, at: Micros) -> String {
        let outs = self.servers.iter().filter_map(|(name, server)| {
            server.outs.iter().find(|out| out.holds(at)).map(|out| format!("{name} ({})", out.why))
        });
        let outs: Vec<String> = outs.collect();
        match outs.len() {
            0 => "its servers or its rule were changed".to_owned(),
            many @ 5.. => format!("{} and {} more are out", outs[..4].join(", "), many - 4),
            _ => format!("{} out", outs.join(", ")),
        }
    }
}
