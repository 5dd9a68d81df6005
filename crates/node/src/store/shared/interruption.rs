//! Why something could not be done on a connection.

use woodgap_zookeeper::zookeeper_client::Error;

/// Why something could not be done on a connection.
pub(super) enum Interruption {
    /// The connection is no good any more: what was asked is lost.
    Lost,
    /// What is there makes no sense, or may not be touched.
    Invalid(String),
}

impl From<Error> for Interruption {
    fn from(error: Error) -> Self {
        match error {
            // These say something of what is there.
            Error::NoAuth | Error::NoNode | Error::InvalidAcl | Error::NoChildrenForEphemerals => {
                Interruption::Invalid(error.to_string())
            }
            _ => Interruption::Lost,
        }
    }
}

/// What is at a path makes no sense.
pub(super) fn invalid(path: &str, why: impl std::fmt::Display) -> Interruption {
    Interruption::Invalid(format!("{path}: {why}"))
}
