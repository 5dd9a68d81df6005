//! One command against the model.

use proptest::prelude::*;
use woodgap_bookings::*;

use crate::minutes::{capacity, live, moved, stands, sums, verdict, DAY};
use crate::ops::Op;
use crate::{ALLOWANCE, HORIZON, M, SPREAD};

/// One command against the model; the book that comes of it.
pub fn step(book: &Book, op: Op, key: String, now: u64) -> Result<Book, TestCaseError> {
    let name = |tenant: u8| format!("t{tenant}");
    let far = |wish: &Wish| wish.window.until() / M > now + HORIZON;
    let nth = |nth: usize| {
        let all: Vec<&Booking> = live(book).collect();
        (!all.is_empty()).then(|| all[nth % all.len()].clone())
    };
    let taken = match op {
        Op::Book { tenant, wish, rank, displace, hold } => {
            let (tenant, wish, hold) = (name(tenant), moved(&wish, now), hold.map(|minutes| minutes * M));
            let own = live(book).filter(|booking| booking.tenant == tenant).count();
            let command =
                Command::Book { tenant: tenant.clone(), key, wish: wish.clone(), rank, displace, hold };
            let taken = book.take(command, now * M);
            let early = wish.window.from() / M < now + SPREAD;
            match verdict(book, 0, &tenant, &wish, now) {
                _ if far(&wish) => prop_assert!(matches!(taken, Err(Refusal::TooFar { .. })), "not refused"),
                _ if early => prop_assert!(matches!(taken, Err(Refusal::TooLate { .. })), "not refused"),
                _ if own == ALLOWANCE.bookings as usize => {
                    prop_assert!(matches!(taken, Err(Refusal::TenantBookings { .. })), "not refused");
                }
                Ok(()) => {
                    prop_assert!(matches!(&taken, Ok((_, answer)) if answer.told.is_empty()), "not taken")
                }
                Err(refusal) if !displace => prop_assert_eq!(taken.as_ref().err(), Some(&refusal)),
                Err(_) => {
                    for told in taken.iter().flat_map(|(_, answer)| &answer.told) {
                        let (old, new) = (book.booking(told.booking), &taken.as_ref().unwrap().0);
                        let gone = new.booking(told.booking).filter(|new| new.phase == Phase::Displaced);
                        let (Some(old), Some(_)) = (old, gone) else { continue };
                        let begins = old.window.from() / M;
                        prop_assert!(old.rank < rank && now * M < old.firm_at && begins >= now + SPREAD);
                        // Had it stayed, something would be too full.
                        let with = sums(live(new).chain([old]));
                        let most = &capacity(new)[1];
                        prop_assert!((0..2).any(|g| (0..DAY).any(|m| with[g][m] > most[g][m])));
                    }
                }
            }
            taken
        }
        Op::Change { nth: n, wish } => {
            let (Some(old), wish) = (nth(n), moved(&wish, now)) else { return Ok(book.clone()) };
            let (tenant, booking) = (old.tenant.clone(), old.id);
            let taken = book.take(Command::Change { tenant, key, booking, wish: wish.clone() }, now * M);
            match verdict(book, old.id, &old.tenant, &wish, now) {
                _ if far(&wish) => prop_assert!(matches!(taken, Err(Refusal::TooFar { .. })), "not refused"),
                _ if old.ends == Phase::Cancelled || !stands(&old, &wish, now) => {
                    prop_assert!(matches!(taken, Err(Refusal::Begun { .. })), "not refused");
                }
                verdict => prop_assert_eq!(taken.as_ref().err(), verdict.as_ref().err()),
            }
            taken
        }
        Op::Confirm { nth: n } => {
            let Some(old) = nth(n) else { return Ok(book.clone()) };
            book.take(Command::Confirm { tenant: old.tenant, key, booking: old.id }, now * M)
        }
        Op::Cancel { nth: n } => {
            let Some(old) = nth(n) else { return Ok(book.clone()) };
            let (tenant, booking, reason) = (old.tenant, old.id, "not wanted".to_owned());
            book.take(Command::Cancel { tenant, key, booking, reason }, now * M)
        }
        Op::Servers { .. } | Op::Pass { .. } => return Ok(book.clone()),
    };
    Ok(taken.map_or_else(|_| book.clone(), |(next, _)| next))
}
