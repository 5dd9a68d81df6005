//! The program `woodgap`: see the library's front page.

use std::process::ExitCode;

#[cfg(feature = "hosted")]
fn main() -> ExitCode {
    woodgap::cli::run()
}

#[cfg(not(feature = "hosted"))]
fn main() -> ExitCode {
    woodgap::platform::run()
}
