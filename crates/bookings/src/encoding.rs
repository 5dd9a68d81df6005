//! Encoding and decoding of the ledger's document: one byte with the format version, then `postcard`, whose
//! wire format is stable since 1.0.

use serde::Serialize;

use crate::error::ReservationError;
use crate::ledger::{LedgerDocument, ReservationLedger};
use crate::settings::{MAX_DOCUMENT_BYTES, MAX_ENDED, MAX_RESERVATIONS};

/// Format version that this program writes, and the only one that it reads.
const FORMAT_VERSION: u8 = 1;

/// Why a document can't be decoded. Callers must not overwrite such a document: a newer program may have
/// written it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The document has another format version.
    #[error(
        "the ledger has format version {0}, this program reads {FORMAT_VERSION}: run the program that wrote it, or a newer one"
    )]
    UnsupportedVersion(u8),
    /// The document exceeds the maximum length.
    #[error("the ledger has {0} bytes, over the limit of {MAX_DOCUMENT_BYTES}: this program did not write it; restore it from a copy")]
    TooLong(usize),
    /// The document can't be parsed, or its reservations are out of order or out of bounds.
    #[error("the ledger is damaged: restore it from a copy, or delete it and make all reservations again")]
    Corrupt,
    /// The document contains settings, groups or numbers that are not permitted.
    #[error("the ledger is invalid: {0}; restore it from a copy")]
    Invalid(#[from] ReservationError),
}

/// Bytes of a value's `postcard` encoding.
pub(crate) fn encoded_size<T: Serialize>(value: &T) -> usize {
    postcard::serialize_with_flavor(value, postcard::ser_flavors::Size::default()).unwrap_or(0)
}

impl ReservationLedger {
    /// Encodes the ledger as a document.
    pub fn encode(&self) -> Vec<u8> {
        let mut start = Vec::with_capacity(self.max_encoded_bytes());
        start.push(FORMAT_VERSION);
        // Encoding a ledger can't fail: all lengths are known, and no map has keys of an unsupported type.
        postcard::to_extend(&self.document, start).unwrap_or_default()
    }

    /// Decodes a document.
    ///
    /// # Errors
    /// If the document is too long, of another version, damaged or invalid.
    pub fn decode(bytes: &[u8]) -> Result<ReservationLedger, DecodeError> {
        if bytes.len() > MAX_DOCUMENT_BYTES {
            return Err(DecodeError::TooLong(bytes.len()));
        }
        let (&version, rest) = bytes.split_first().ok_or(DecodeError::Corrupt)?;
        if version != FORMAT_VERSION {
            return Err(DecodeError::UnsupportedVersion(version));
        }
        let (document, rest): (LedgerDocument, &[u8]) =
            postcard::take_from_bytes(rest).map_err(|_| DecodeError::Corrupt)?;
        let limit = MAX_RESERVATIONS + MAX_ENDED;
        if document.reservations.len() > limit {
            let actual = document.reservations.len() as u64;
            return Err(ReservationError::LimitExceeded {
                what: "reservations",
                limit: limit as u64,
                actual,
            }
            .into());
        }
        let sorted = document.reservations.windows(2).all(|two| two[0].id < two[1].id);
        let valid = document.reservations.iter().all(|reservation| reservation.is_within_bounds());
        if !rest.is_empty() || !sorted || !valid {
            return Err(DecodeError::Corrupt);
        }
        Ok(ReservationLedger::from_document(document)?)
    }
}
