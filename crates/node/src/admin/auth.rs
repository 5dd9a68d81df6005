//! Authentication of the administration API: bearer tokens (RFC 6750) with their roles, read from a file that
//! only its owner can access.

use std::error::Error;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

use serde::Deserialize;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Minimum length of a secret, in bytes.
pub const MIN_SECRET_LEN: usize = 16;
/// Maximum number of tokens in a file.
pub const MAX_TOKENS: usize = 1_024;

/// The permissions of a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// All operations.
    Operator,
    /// Changes to the servers of this tenant, and reads of its document and its status.
    Tenant(String),
}

/// The authenticated sender of a request.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    /// The token's name, which the history of changes records.
    pub name: String,
    /// The operations that the token allows.
    pub role: Role,
}

struct Token {
    /// The secret's SHA-256. Hashes have equal lengths, and the position of a difference between them reveals
    /// nothing of the secret.
    hash: [u8; 32],
    caller: Caller,
}

/// The tokens of a token file.
pub(crate) struct Tokens(Vec<Token>);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TokenFile {
    #[serde(default)]
    token: Vec<TokenEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TokenEntry {
    name: String,
    secret: String,
    right: String,
    tenant: Option<String>,
}

fn hash(secret: &str) -> [u8; 32] {
    Sha256::digest(secret.as_bytes()).into()
}

impl Tokens {
    /// Reads a token file: TOML with a `[[token]]` table per token, which holds `name`, `secret`, `right`
    /// (`operator` or `tenant`) and, for the right `tenant`, the field `tenant`.
    pub fn read(path: &Path) -> Result<Self, Box<dyn Error>> {
        let location = path.display();
        let mode = std::fs::metadata(path).map_err(|e| format!("token file {location}: {e}"))?.mode();
        if mode & 0o077 != 0 {
            let mode = mode & 0o777;
            return Err(format!(
                "token file {location} has mode {mode:o}: others can read it; chmod 0600 {location}"
            )
            .into());
        }
        let text = std::fs::read_to_string(path).map_err(|e| format!("token file {location}: {e}"))?;
        // `message()` leaves out the source line, which may contain a secret and which the full error quotes.
        let file: TokenFile =
            toml::from_str(&text).map_err(|e| format!("token file {location}: {}", e.message()))?;
        Self::new(file).map_err(|error| format!("token file {location}: {error}").into())
    }

    fn new(file: TokenFile) -> Result<Self, String> {
        if file.token.is_empty() || file.token.len() > MAX_TOKENS {
            return Err(format!("give 1 to {MAX_TOKENS} [[token]] entries"));
        }
        let mut tokens: Vec<Token> = Vec::new();
        for TokenEntry { name, secret, right, tenant } in file.token {
            if secret.len() < MIN_SECRET_LEN {
                return Err(format!("the secret of '{name}' has fewer than {MIN_SECRET_LEN} characters"));
            }
            let role = match (right.as_str(), tenant) {
                ("operator", None) => Role::Operator,
                ("tenant", Some(tenant)) => Role::Tenant(tenant),
                ("operator", Some(_)) => return Err(format!("'{name}' is an operator and has no tenant")),
                ("tenant", None) => return Err(format!("'{name}' needs the tenant that it is for")),
                _ => return Err(format!("the right of '{name}' is neither operator nor tenant")),
            };
            let hash = hash(&secret);
            if tokens.iter().any(|token| token.caller.name == name || token.hash == hash) {
                return Err(format!("the name or secret of '{name}' appears more than once"));
            }
            tokens.push(Token { hash, caller: Caller { name, role } });
        }
        Ok(Tokens(tokens))
    }

    /// Finds the caller that a secret belongs to. All tokens are compared, each in constant time, so that the
    /// duration reveals nothing of a secret.
    pub fn caller(&self, secret: &str) -> Option<Caller> {
        let hash = hash(secret);
        let mut found = None;
        for token in &self.0 {
            if bool::from(token.hash.ct_eq(&hash)) {
                found = Some(token);
            }
        }
        found.map(|token| token.caller.clone())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::os::unix::fs::PermissionsExt;

    const SECRET: &str = "0123456789abcdef";

    fn tokens(text: &str, mode: u32) -> Result<Tokens, String> {
        let file = tempfile::NamedTempFile::new().unwrap();
        std::fs::write(file.path(), text).unwrap();
        std::fs::set_permissions(file.path(), std::fs::Permissions::from_mode(mode)).unwrap();
        Tokens::read(file.path()).map_err(|error| error.to_string())
    }

    #[test]
    fn secret_gives_the_role_of_its_own_token_only() {
        let text = format!(
            "[[token]]\nname = 'ops'\nsecret = '{SECRET}'\nright = 'operator'\n\
            [[token]]\nname = 'a'\nsecret = '{SECRET}2'\nright = 'tenant'\ntenant = 'acme'\n"
        );
        let tokens = tokens(&text, 0o600).unwrap();
        assert_eq!(tokens.caller(SECRET).unwrap().role, Role::Operator);
        let tenant = tokens.caller(&format!("{SECRET}2")).unwrap();
        assert_eq!((tenant.name.as_str(), tenant.role), ("a", Role::Tenant("acme".into())));
        assert!(tokens.caller("").is_none() && tokens.caller(&SECRET[1..]).is_none());
    }

    #[test]
    fn readable_by_others_or_invalid_file_is_rejected_without_quoting_secrets() {
        let entry = |rest: &str| format!("[[token]]\nname = 'ops'\nsecret = '{SECRET}'\n{rest}\n");
        for (text, mode, expected) in [
            (entry("right = 'operator'"), 0o640, "chmod 0600"),
            (String::new(), 0o600, "1 to 1024"),
            (entry("right = 'root'"), 0o600, "neither operator nor tenant"),
            (entry("right = 'tenant'"), 0o600, "needs the tenant"),
            (entry("right = 'operator'\ntenant = 'a'"), 0o600, "has no tenant"),
            (entry("right = 'operator'\nrights = 1"), 0o600, "unknown field"),
            (entry("right = 'operator'").repeat(2), 0o600, "more than once"),
            (entry("right = 'operator'").replace(SECRET, "short"), 0o600, "fewer than 16"),
            (format!("secret = {SECRET}"), 0o600, "token file"),
        ] {
            let error = tokens(&text, mode).err().unwrap();
            assert!(error.contains(expected) && !error.contains(SECRET), "{error}");
        }
    }
}
