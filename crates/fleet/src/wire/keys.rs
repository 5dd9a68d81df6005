//! Secret keys that sign datagrams.

use hmac::{Hmac, KeyInit};
use sha2::Sha256;

use super::{MAX_KEYS, MIN_SECRET_BYTES, TAG_BYTES};

/// Why a key file is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeysError {
    /// A line does not have the form `ID SECRET`.
    #[error("line {0}: expected ID SECRET with an id from 1 to 255")]
    Malformed(usize),
    /// A secret is too short.
    #[error(
        "line {0}: the secret has fewer than {MIN_SECRET_BYTES} bytes; generate one with `openssl rand -hex 32`"
    )]
    SecretTooShort(usize),
    /// An id occurs twice.
    #[error("line {0}: the id is already in use; give each key its own id")]
    DuplicateId(usize),
    /// The number of keys is 0 or above the maximum.
    #[error("{0} keys; expected 1 to {MAX_KEYS}, the signing key first")]
    Count(usize),
}

/// The accepted keys; the first one signs.
#[derive(Clone, Default)]
pub struct GossipKeys(pub(super) Vec<(u8, Hmac<Sha256>)>);

impl std::fmt::Debug for GossipKeys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_list().entries(self.0.iter().map(|(id, _)| id)).finish()
    }
}

impl GossipKeys {
    /// No keys: every well-formed datagram is accepted.
    pub fn none() -> GossipKeys {
        GossipKeys::default()
    }

    /// Parses one key per line, `ID SECRET`; empty lines and lines that begin with `#` are ignored. A key is
    /// rotated in three steps, each carried out on all nodes before the next: the new key is added below,
    /// then moved to the top, then the old key is removed.
    ///
    /// # Errors
    /// The first faulty line and how to correct it. The message does not repeat secrets.
    pub fn parse(text: &str) -> Result<GossipKeys, KeysError> {
        let mut keys: Vec<(u8, Hmac<Sha256>)> = Vec::new();
        for (number, line) in (1..).zip(text.lines()) {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let (id, secret) = line.split_once(char::is_whitespace).ok_or(KeysError::Malformed(number))?;
            let id = id.parse().ok().filter(|id| *id > 0).ok_or(KeysError::Malformed(number))?;
            let secret = secret.trim();
            if secret.len() < MIN_SECRET_BYTES {
                return Err(KeysError::SecretTooShort(number));
            }
            if keys.iter().any(|(other, _)| *other == id) {
                return Err(KeysError::DuplicateId(number));
            }
            let mac =
                Hmac::new_from_slice(secret.as_bytes()).map_err(|_| KeysError::SecretTooShort(number))?;
            keys.push((id, mac));
        }
        match keys.len() {
            1..=MAX_KEYS => Ok(GossipKeys(keys)),
            count => Err(KeysError::Count(count)),
        }
    }

    pub(super) fn tag_len(&self) -> usize {
        if self.0.is_empty() {
            0
        } else {
            TAG_BYTES
        }
    }
}
