//! Which bookings a drain would break: what permits ask before they let servers go.

use serde::Serialize;

use crate::book::Book;
use crate::capacity::Out;
use crate::when::Interval;

/// What a drain does to a booking.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Harm {
    /// It would get less than it booked.
    Short,
    /// It would get all, but no more than that: what its group promised to survive it would not survive.
    Thin,
}

/// A booking that a drain would break.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Broken {
    /// How.
    pub harm: Harm,
    /// Which.
    pub booking: u64,
    /// Whose.
    pub tenant: String,
    /// Of which group.
    pub group: String,
    /// From when on.
    pub from: u64,
    /// The slots that it would have, or that would be promised.
    pub left: u32,
}

impl Book {
    /// The bookings that would be worse off were these servers out for a time, the worst first; none where it is harmless.
    /// A drain by a permit uses up what permits may take out, and is harmless as long as that lasts.
    pub fn would_break(&self, servers: &[&str], out: &Out, now: impl Into<Interval>) -> Vec<Broken> {
        let since = now.into().earliest;
        let mut broken = Vec::new();
        for (name, group) in self.form.groups.iter() {
            let mut after = group.clone();
            let of_it = after.servers.iter_mut().filter(|(server, _)| servers.contains(&server.as_str()));
            if of_it.map(|(_, server)| server.outs.push(out.clone())).count() == 0 {
                continue;
            }
            let (before, after) = (group.capacity(), after.capacity());
            let mut named = Vec::new();
            let lines =
                [(Harm::Short, &before.firm, &after.firm), (Harm::Thin, &before.bookable, &after.bookable)];
            for (harm, before, after) in lines {
                let before = self.shortage(name, before, since);
                for (id, short) in self.shortage(name, after, since) {
                    let worse = before.get(&id).is_none_or(|old| {
                        (short.left, short.from) < (old.left, old.from) || short.until > old.until
                    });
                    if worse && !named.contains(&id) {
                        named.push(id);
                        let tenant = self.booking(id).map(|b| b.tenant.clone()).unwrap_or_default();
                        let (group, left, from) = (name.clone(), short.left, short.from);
                        broken.push(Broken { harm, booking: id, tenant, group, from, left });
                    }
                }
            }
        }
        broken.sort();
        broken
    }
}
