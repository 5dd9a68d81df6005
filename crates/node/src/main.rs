//! The program `woodgap`: see the library's front page.

fn main() -> std::process::ExitCode {
    woodgap::cli::run()
}
