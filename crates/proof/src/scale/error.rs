//! Why a scale run ended without figures.

use std::path::PathBuf;

use woodgap_capacity::{RecordingError, TargetError};

/// Why a scale run ended without figures.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The machine or its limits are too small.
    #[error("{what}: {needed} are needed, there are {available}; {remedy}")]
    TooLittle {
        /// Of what.
        what: &'static str,
        /// How much a run takes.
        needed: u64,
        /// How much there is.
        available: u64,
        /// What an operator can do.
        remedy: &'static str,
    },
    /// A file cannot be read or written.
    #[error("{}: {error}", path.display())]
    File {
        /// Which.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// The target makes no sense.
    #[error(transparent)]
    Target(#[from] TargetError),
    /// The recording makes no sense.
    #[error(transparent)]
    Recording(#[from] RecordingError),
    /// Something of the system's.
    #[error("the system: {0}")]
    System(#[from] std::io::Error),
    /// A real node did not do what it was to do.
    #[error("a node: {0}")]
    Node(String),
    /// The coordination service or the catalogue in it refused something.
    #[error("the catalogue: {0}")]
    Catalogue(String),
    /// A host of hollow nodes ended, or said what makes no sense.
    #[error("a host of hollow nodes: {0}")]
    Host(String),
    /// Something did not come about in time.
    #[error("{what} did not come about within {seconds} s")]
    Late {
        /// What.
        what: String,
        /// How long was waited.
        seconds: u64,
    },
}

impl From<Box<dyn std::error::Error>> for ScaleError {
    fn from(error: Box<dyn std::error::Error>) -> Self {
        ScaleError::Node(error.to_string())
    }
}
