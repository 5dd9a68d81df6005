//! The program `woodgap`: see [`woodgap`].

use std::process::ExitCode;

fn main() -> ExitCode {
    match woodgap::platform::start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("woodgap: {error}");
            ExitCode::FAILURE
        }
    }
}
