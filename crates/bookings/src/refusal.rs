//! Why a command was not taken. Nothing is changed by one that was refused.

use crate::booking::Phase;
use crate::settings::{MOST_BOOKINGS, MOST_BYTES, MOST_DISPLACED, MOST_HEAD};
use crate::when::Micros;

/// Why a command was not taken, and what to do.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// A group is full in the window.
    #[error(
        "group {group} has {left} of {wanted} slots left at {at}: {}, ask for fewer, or for a rank that may displace",
        later(next)
    )]
    TooFull {
        /// Which.
        group: String,
        /// The first moment that is too full.
        at: Micros,
        /// What is left there.
        left: u32,
        /// What is wanted there.
        wanted: u32,
        /// The next start at which the whole booking fits, if there is one within the horizon.
        next: Option<Micros>,
    },
    /// The tenant has as many slots booked as it may.
    #[error("the tenant may book {left} more of {wanted} slots at {at}: {}, ask for fewer, or have its allowance raised", later(next))]
    TenantFull {
        /// The first moment that would be over.
        at: Micros,
        /// What it may still book there.
        left: u32,
        /// What is wanted there.
        wanted: u32,
        /// The next start at which the whole booking fits, if there is one within the horizon.
        next: Option<Micros>,
    },
    /// The tenant has as many bookings as it may.
    #[error("the tenant has {most} bookings, as many as it may: cancel one, or have its allowance raised")]
    TenantBookings {
        /// How many.
        most: u32,
    },
    /// The book has as many bookings as it takes.
    #[error(
        "the book has {MOST_BOOKINGS} bookings, as many as it takes: wait until one is over, or cancel one"
    )]
    BookFull,
    /// The bookings would take too much of the document.
    #[error(
        "the bookings would need {bytes} of {most} bytes: cancel some, or give shorter names and reasons",
        most = MOST_BYTES - MOST_HEAD
    )]
    BookLong {
        /// How much.
        bytes: usize,
    },
    /// There is no such group.
    #[error("there is no group {0}: name one that the book has, or have it set up")]
    NoGroup(String),
    /// A group can't be taken away.
    #[error("group {group} has booking {booking}: cancel it first, or leave the group")]
    GroupInUse {
        /// Which.
        group: String,
        /// A booking of it.
        booking: u64,
    },
    /// The tenant has no such booking.
    #[error("the tenant has no booking {0}: it was over long ago, or it is another tenant's")]
    NoBooking(u64),
    /// The key is another command's.
    #[error("the key was used for another command, on booking {booking}: give a new key")]
    KeyReused {
        /// Which.
        booking: u64,
    },
    /// The booking is over.
    #[error("booking {booking} is over ({phase:?}): book anew")]
    Over {
        /// Which.
        booking: u64,
        /// How it ended.
        phase: Phase,
    },
    /// The hold ran out, or may have.
    #[error("the hold of booking {booking} ended at {at}: book anew, and confirm sooner")]
    HoldOver {
        /// Which.
        booking: u64,
        /// When.
        at: Micros,
    },
    /// It has begun, or begins before every node knows better.
    #[error("booking {booking} has begun: {why}")]
    Begun {
        /// Which.
        booking: u64,
        /// What still can be done.
        why: &'static str,
    },
    /// It would begin in the past.
    #[error("it would begin at {from}, which may be past: begin its lead at {earliest} or later")]
    TooLate {
        /// When it would begin.
        from: Micros,
        /// The first moment that may be asked for.
        earliest: Micros,
    },
    /// It would be over too late.
    #[error("it would be over at {until}: {latest} is the latest, as far as bookings go by now")]
    TooFar {
        /// When it would be over.
        until: Micros,
        /// The last moment that may be asked for.
        latest: Micros,
    },
    /// The rank is too high.
    #[error("rank {rank} is over {highest}, the tenant's highest: ask for a lower one, or have it raised")]
    RankTooHigh {
        /// Which.
        rank: u8,
        /// The highest.
        highest: u8,
    },
    /// Too many would have to be displaced.
    #[error(
        "more than {MOST_DISPLACED} bookings would be displaced: ask for fewer slots or a shorter window"
    )]
    DisplacesTooMany,
    /// A bound is reached.
    #[error("{what}: {is} is over {most}, the most that is taken: give less")]
    Bound {
        /// Of what.
        what: &'static str,
        /// The bound.
        most: u64,
        /// What was given.
        is: u64,
    },
    /// Something given makes no sense.
    #[error("{what}: {why}")]
    Setting {
        /// What.
        what: &'static str,
        /// Why, and what to give.
        why: &'static str,
    },
}

fn later(next: &Option<Micros>) -> String {
    match next {
        Some(start) => format!("start at {start}"),
        None => "no later start fits within the horizon".to_owned(),
    }
}
