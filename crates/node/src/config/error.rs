//! Errors in the platform's configuration, each with its remedy.

use std::net::AddrParseError;

use thiserror::Error;
use woodgap_decisions::settings::SettingsError;

/// Error in the configuration; the message states the remedy.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be opened or read.
    #[error("{path}: {source}: make the file that BALANCER_CONFIG names readable to the node")]
    File {
        /// Path as given.
        path: String,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The file is not a JSON object of the expected form.
    #[error("{0}: the file has to be one JSON object; it may have been read while it was being written")]
    Form(#[from] serde_json::Error),
    /// A required field is missing.
    #[error("field '{field}' is not set: set it to ADDRESS:PORT, as in 10.1.0.18:5000")]
    Missing {
        /// Name of the field in the file.
        field: &'static str,
    },
    /// A field does not hold a valid address.
    #[error("field '{field}': '{text}': {source}: write it as ADDRESS:PORT, as in 10.1.0.18:5000")]
    Address {
        /// Name of the field in the file.
        field: &'static str,
        /// Text of the field.
        text: String,
        /// Reason from the address parser.
        source: AddrParseError,
    },
    /// A setting cannot be parsed.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}
