//! Why an operation of the shared store failed on a connection: the connection was lost or the store's
//! content is invalid.

use woodgap_zookeeper::zookeeper_client::Error;

/// Why an operation failed on a connection.
pub(super) enum Interruption {
    /// The connection is unusable and the request is lost.
    Lost,
    /// The content is invalid, or access to it is denied.
    Invalid(String),
}

impl From<Error> for Interruption {
    fn from(error: Error) -> Self {
        match error {
            // These errors are about the content or its access rights, not about the connection.
            Error::NoAuth | Error::NoNode | Error::InvalidAcl | Error::NoChildrenForEphemerals => {
                Interruption::Invalid(error.to_string())
            }
            _ => Interruption::Lost,
        }
    }
}

/// The error for invalid content at a path.
pub(super) fn invalid(path: &str, reason: impl std::fmt::Display) -> Interruption {
    Interruption::Invalid(format!("{path}: {reason}"))
}
