//! The program `woodgap`. The library's documentation describes its parts.

use std::process::ExitCode;

#[cfg(feature = "hosted")]
fn main() -> ExitCode {
    woodgap::cli::run()
}

#[cfg(not(feature = "hosted"))]
fn main() -> ExitCode {
    woodgap::platform::run()
}
