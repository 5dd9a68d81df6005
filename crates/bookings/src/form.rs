//! How a book is written: one byte for the form, then `postcard` (its wire format is stable since 1.0).

use serde::Serialize;

use crate::book::{Book, Form};
use crate::refusal::Refusal;
use crate::settings::{MOST_BOOKINGS, MOST_BYTES, MOST_ENDED};

/// The form that this program writes, and the only one that it reads.
const FORM: u8 = 1;

/// Why a document is no book. It is not written over: a newer program may have written it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    /// It is in another form.
    #[error(
        "the book is in form {0}, this program reads {FORM}: run the program that wrote it, or a newer one"
    )]
    Form(u8),
    /// It is too long.
    #[error("the book has {0} bytes, over {MOST_BYTES}: it was not written by this program; restore it")]
    Long(usize),
    /// It is damaged.
    #[error("the book is damaged: restore it from a copy, or delete it and have all bookings made anew")]
    Damaged,
    /// It says what can't be.
    #[error("the book says what can't be: {0}; restore it from a copy")]
    Wrong(#[from] Refusal),
}

/// Bytes of something as it is written.
pub(crate) fn size<T: Serialize>(it: &T) -> usize {
    postcard::serialize_with_flavor(it, postcard::ser_flavors::Size::default()).unwrap_or(0)
}

impl Book {
    /// The document.
    pub fn write(&self) -> Vec<u8> {
        let mut start = Vec::with_capacity(self.bytes());
        start.push(FORM);
        // Nothing of a form can fail to be written: all lengths are known, and no map has keys of a kind that is refused.
        postcard::to_extend(&self.form, start).unwrap_or_default()
    }

    /// Reads a document.
    ///
    /// # Errors
    /// Why it is none.
    pub fn read(document: &[u8]) -> Result<Book, Unreadable> {
        if document.len() > MOST_BYTES {
            return Err(Unreadable::Long(document.len()));
        }
        let (&form, rest) = document.split_first().ok_or(Unreadable::Damaged)?;
        if form != FORM {
            return Err(Unreadable::Form(form));
        }
        let (form, rest): (Form, &[u8]) = postcard::take_from_bytes(rest).map_err(|_| Unreadable::Damaged)?;
        let most = MOST_BOOKINGS + MOST_ENDED;
        if form.bookings.len() > most {
            let is = form.bookings.len() as u64;
            return Err(Refusal::Bound { what: "bookings", most: most as u64, is }.into());
        }
        let sorted = form.bookings.windows(2).all(|two| two[0].id < two[1].id);
        let sound = form.bookings.iter().all(|booking| booking.sound());
        if !rest.is_empty() || !sorted || !sound {
            return Err(Unreadable::Damaged);
        }
        Ok(Book::of(form)?)
    }
}
