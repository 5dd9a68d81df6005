//! Applies commands to the ledger. Each works on a copy, so a rejected command changes nothing.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::command::{CommandOutcome, ReservationCommand, TenantNotice};
use crate::error::ReservationError;
use crate::interval::TimeInterval;
use crate::ledger::ReservationLedger;
use crate::reservation::{ChangeCause, IdempotencyKey, Reservation, ReservationPhase};
use crate::settings::{check_text, LedgerConfiguration, MAX_DOCUMENT_BYTES, MAX_HEADER_BYTES};

impl ReservationLedger {
    /// Applies a command at the given time. The result has to be written over the version that was read and
    /// no other.
    ///
    /// No command changes anything sooner than `propagation_time` from now, as nodes may already act on it.
    ///
    /// # Errors
    /// If the command is invalid, does not fit, or comes too late.
    pub fn apply(
        &self,
        command: ReservationCommand,
        now: impl Into<TimeInterval>,
    ) -> Result<(ReservationLedger, CommandOutcome), ReservationError> {
        let now = now.into();
        let idempotency_key = command.idempotency_key();
        if let Some((tenant, key)) = command.key() {
            check_text("tenant", tenant)?;
            check_text("key", key)?;
            if let Some(reservation) = self.find_by_key(tenant, idempotency_key)? {
                let outcome =
                    CommandOutcome { reservation: Some(reservation), repeated: true, notices: Vec::new() };
                return Ok((self.clone(), outcome));
            }
        }
        let mut ledger = self.clone();
        let mut notices = BTreeSet::new();
        ledger.apply_time(now, &mut notices);
        let reservation = match command {
            ReservationCommand::Reserve { tenant, request, rank, displace, hold, .. } => Some(
                ledger.create(tenant, request, rank, displace, hold, idempotency_key, now, &mut notices)?,
            ),
            ReservationCommand::Confirm { tenant, reservation, .. } => {
                let found = ledger.find_live(&tenant, reservation)?;
                Some(ledger.confirm(found, idempotency_key, now)?)
            }
            ReservationCommand::Change { tenant, reservation, request, .. } => {
                let found = ledger.find_live(&tenant, reservation)?;
                Some(ledger.change(found, request, idempotency_key, now)?)
            }
            ReservationCommand::Cancel { tenant, reservation, reason, .. } => {
                check_text("reason", &reason)?;
                let found = ledger.find_live(&tenant, reservation)?;
                Some(ledger.cancel(found, reason, idempotency_key, now))
            }
            ReservationCommand::Configure(configuration) => {
                ledger.configure(configuration)?;
                None
            }
        };
        if reservation.is_none() || ledger.totals.short > 0 {
            ledger.update_shortfalls(now, &mut notices);
        }
        ledger.remove_ended(now);
        if ledger.required_bytes() > MAX_DOCUMENT_BYTES - MAX_HEADER_BYTES
            && ledger.required_bytes() > self.required_bytes()
        {
            return Err(ReservationError::LedgerTooLong { bytes: ledger.required_bytes() });
        }
        let notices: Vec<TenantNotice> =
            notices.into_iter().filter(|notice| Some(notice.reservation) != reservation).collect();
        Ok((ledger, CommandOutcome { reservation, repeated: false, notices }))
    }

    /// The reservation that a command with this key was about, if it was applied before.
    fn find_by_key(
        &self,
        tenant: &str,
        idempotency_key: IdempotencyKey,
    ) -> Result<Option<u64>, ReservationError> {
        let mut tenant_reservations = self.reservations().filter(|reservation| reservation.tenant == tenant);
        let known = tenant_reservations.find_map(|reservation| {
            let key = reservation.keys.iter().find(|key| key.key_hash == idempotency_key.key_hash)?;
            Some((reservation.id, key.body_hash == idempotency_key.body_hash))
        });
        match known {
            Some((reservation, false)) => Err(ReservationError::KeyReused { reservation }),
            known => Ok(known.map(|(reservation, _)| reservation)),
        }
    }

    /// The tenant's reservation with this number, if it has not ended.
    fn find_live(&self, tenant: &str, id: u64) -> Result<Reservation, ReservationError> {
        let found = self.reservation(id).filter(|reservation| reservation.tenant == tenant);
        let found = found.ok_or(ReservationError::UnknownReservation(id))?;
        match found.phase {
            ReservationPhase::Expired => {
                Err(ReservationError::HoldExpired { reservation: id, at: found.hold_until })
            }
            phase if !found.is_live() => Err(ReservationError::Ended { reservation: id, phase }),
            _ => Ok(found.clone()),
        }
    }

    fn confirm(
        &mut self,
        mut reservation: Reservation,
        key: IdempotencyKey,
        now: TimeInterval,
    ) -> Result<u64, ReservationError> {
        let id = reservation.id;
        if reservation.phase == ReservationPhase::Held {
            if now.latest >= reservation.hold_until {
                return Err(ReservationError::HoldExpired { reservation: id, at: reservation.hold_until });
            }
            self.check_still_available(&reservation, now)?;
            reservation.order = self.next_number();
            reservation.hold_until = 0;
            reservation.record_event(now.latest, ReservationPhase::Confirmed, ChangeCause::Confirmed);
        }
        reservation.remember_key(key);
        self.upsert(reservation);
        Ok(id)
    }

    fn cancel(
        &mut self,
        mut reservation: Reservation,
        reason: String,
        key: IdempotencyKey,
        now: TimeInterval,
    ) -> u64 {
        let id = reservation.id;
        if reservation.may_be_in_use(now, &self.document.settings) {
            // Other nodes may act on it until then, so its slots become free only afterwards.
            reservation.window = reservation
                .window
                .truncated_at(now.latest.saturating_add(self.document.settings.propagation_time));
            reservation.final_phase = ReservationPhase::Cancelled;
            reservation.record_event(now.latest, reservation.phase, ChangeCause::Cancelled(reason));
        } else {
            reservation.shortfall = None;
            reservation.record_event(now.latest, ReservationPhase::Cancelled, ChangeCause::Cancelled(reason));
        }
        reservation.remember_key(key);
        self.upsert(reservation);
        id
    }

    fn configure(&mut self, configuration: LedgerConfiguration) -> Result<(), ReservationError> {
        let in_use = |group: &String| {
            self.reservations()
                .find(|reservation| reservation.is_live() && reservation.slots_by_group.contains_key(group))
        };
        for group in self.document.groups.keys().filter(|group| !configuration.groups.contains_key(*group)) {
            if let Some(reservation) = in_use(group) {
                return Err(ReservationError::GroupInUse {
                    group: group.clone(),
                    reservation: reservation.id,
                });
            }
        }
        let groups = configuration.groups.into_iter().map(|(name, policy)| {
            let mut group = self.document.groups.get(&name).cloned().unwrap_or_default();
            group.policy = policy;
            (name, group)
        });
        self.document.groups = Arc::new(groups.collect());
        self.document.settings = Arc::new(configuration.settings);
        self.rebuild_capacity()
    }
}
