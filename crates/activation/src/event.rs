//! What a node hears and what it has done.

use crate::board::{Board, Decision};
use crate::clock::Micros;
use crate::disk::Disk;
use crate::gate::Taken;
use crate::version::{Belongs, Parts, Version};
use crate::{Command, Trouble};

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The board, as it was read; an older copy does no harm.
    BoardRead(Board),
    /// A whole was fetched, checked, built, and is on disk.
    Fetched {
        /// Which.
        version: Version,
        /// Of what was built.
        digest: String,
        /// Its parts.
        parts: Parts,
    },
    /// It can't be had.
    Failed {
        /// Which.
        version: Version,
        /// Why.
        why: String,
    },
    /// What was to be kept is on disk.
    Kept(u64),
    /// When the service or more than half of the roster was last heard, by the node's own count: as `permits` has it,
    /// whose proof of an end rests on a node's sending nothing once it was alone for long enough.
    Heard(Micros),
    /// Another node's word, as `Tell` had it; anything else is not listened to.
    Told(Command),
    /// The process ends: it takes nothing more, and has itself written as gone, so that no attempt waits for it.
    Leave,
    /// A request that the gate's look alone does not take.
    RequestIn {
        /// The caller's number for it.
        id: u64,
        /// Whose it is.
        belongs: Belongs,
    },
    /// One that waits was given up by its client.
    RequestLeft(u64),
    /// One that was taken has its final answer.
    RequestOver(Taken),
    /// Time went on.
    Tick,
}

/// What is to be done, in this order, after the gate was given out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read the board, once.
    Read,
    /// Fetch a whole (from disk, if it is there), check it, build it aside, keep it, and say `Fetched` or `Failed`.
    Fetch(Version),
    /// Keep this on disk and say `Kept`.
    Keep(u64, Box<Disk>),
    /// Take these over the board as it stands ([`Board::take_all`]), write it conditionally, and read the board again.
    Write(Vec<Command>),
    /// Tell it to all of the fleet, by datagram: late, lost or doubled, it does no harm.
    Tell(Command),
    /// From now on this is served.
    Switch(Decision),
    /// Answer a request so.
    Take(u64, Taken),
    /// Let it wait; `Take` or `Refuse` follows within the bound.
    Hold(u64),
    /// Refuse it, to come back after so long.
    Refuse(u64, Trouble, Micros),
    /// Free a version's tables and its whole on disk.
    Drop(Version),
}
