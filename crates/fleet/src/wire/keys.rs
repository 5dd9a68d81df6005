//! Keys that datagrams are signed with.

use hmac::{Hmac, KeyInit};
use sha2::Sha256;

use super::{MOST_KEYS, SHORTEST_SECRET, TAG};

/// Why keys cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadKeys {
    /// A line is not of the form.
    #[error("line {0}: write ID SECRET, the id from 1 to 255")]
    Form(usize),
    /// A secret is too short.
    #[error(
        "line {0}: the secret has fewer than {SHORTEST_SECRET} bytes: make one with `openssl rand -hex 32`"
    )]
    Short(usize),
    /// An id comes twice.
    #[error("line {0}: the id is there already: give each key its own")]
    Twice(usize),
    /// There is none, or there are too many.
    #[error("{0} keys: give 1 to {MOST_KEYS}, the one to sign with first")]
    Count(usize),
}

/// The keys that are taken; the first one signs.
#[derive(Clone, Default)]
pub struct Keys(pub(super) Vec<(u8, Hmac<Sha256>)>);

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_list().entries(self.0.iter().map(|(id, _)| id)).finish()
    }
}

impl Keys {
    /// No keys: everything of the right form is believed.
    pub fn none() -> Keys {
        Keys::default()
    }

    /// Reads a key a line, `ID SECRET`; empty lines and those that begin with `#` are left out. A key is changed in
    /// three steps, each at all nodes before the next: the new one is added below, moved to the top, and the old one
    /// taken out.
    ///
    /// # Errors
    /// The first line at fault and what to do. Secrets are not repeated.
    pub fn read(text: &str) -> Result<Keys, BadKeys> {
        let mut keys: Vec<(u8, Hmac<Sha256>)> = Vec::new();
        for (number, line) in (1..).zip(text.lines()) {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let (id, secret) = line.split_once(char::is_whitespace).ok_or(BadKeys::Form(number))?;
            let id = id.parse().ok().filter(|id| *id > 0).ok_or(BadKeys::Form(number))?;
            let secret = secret.trim();
            if secret.len() < SHORTEST_SECRET {
                return Err(BadKeys::Short(number));
            }
            if keys.iter().any(|(other, _)| *other == id) {
                return Err(BadKeys::Twice(number));
            }
            let mac = Hmac::new_from_slice(secret.as_bytes()).map_err(|_| BadKeys::Short(number))?;
            keys.push((id, mac));
        }
        match keys.len() {
            1..=MOST_KEYS => Ok(Keys(keys)),
            count => Err(BadKeys::Count(count)),
        }
    }

    pub(super) fn tag(&self) -> usize {
        if self.0.is_empty() {
            0
        } else {
            TAG
        }
    }
}
