//! Errors of a scale measurement.

use std::path::PathBuf;

use woodgap_capacity::{RecordingError, TargetError};

/// Reason why a scale measurement ended without figures.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The machine or the limits of the process are too small.
    #[error("{resource}: {required} required, {available} available; {remedy}")]
    InsufficientResource {
        /// The resource, with its unit.
        resource: &'static str,
        /// Amount that the measurement requires.
        required: u64,
        /// Amount available.
        available: u64,
        /// What an operator can do about it.
        remedy: &'static str,
    },
    /// A file cannot be read or written.
    #[error("{}: {error}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The target is invalid.
    #[error(transparent)]
    Target(#[from] TargetError),
    /// The recording is invalid.
    #[error(transparent)]
    Recording(#[from] RecordingError),
    /// The operating system refused an operation.
    #[error("operating system: {0}")]
    System(#[from] std::io::Error),
    /// A real node failed, or replied with something unexpected.
    #[error("node: {0}")]
    Node(String),
    /// The coordination service or the catalogue in it rejected an operation.
    #[error("catalogue: {0}")]
    Catalogue(String),
    /// A host of hollow nodes or a background task of the measurement ended unexpectedly.
    #[error("host of hollow nodes: {0}")]
    Host(String),
    /// A condition was not met in time.
    #[error("timed out after {seconds} s waiting for {condition}")]
    Timeout {
        /// Description of the condition.
        condition: String,
        /// Time waited, in seconds.
        seconds: u64,
    },
}

impl From<Box<dyn std::error::Error>> for ScaleError {
    fn from(error: Box<dyn std::error::Error>) -> Self {
        ScaleError::Node(error.to_string())
    }
}
