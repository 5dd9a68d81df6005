//! Output of a scale measurement: the printed table, the JSON figures and the files.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use serde_json::{json, Value};
use woodgap_capacity::{over_budget, page, project, Growth, Recording, Role, Target};

use super::error::ScaleError;

/// File name of the recording in the capacity folder.
pub const RECORDING_FILE: &str = "slopes.json";
/// File name of the target in the capacity folder.
const TARGET_FILE: &str = "target.toml";
/// File name of the capacity page, in the parent of the capacity folder.
const PAGE_FILE: &str = "CAPACITY.md";

fn read_file(path: PathBuf) -> Result<String, ScaleError> {
    std::fs::read_to_string(&path).map_err(|error| ScaleError::File { path, error })
}

/// Reads the target of a capacity folder.
///
/// # Errors
/// When the file cannot be read or is invalid.
pub fn read_target(folder: &Path) -> Result<Target, ScaleError> {
    Ok(Target::parse(&read_file(folder.join(TARGET_FILE))?)?)
}

/// Writes the capacity page from the recording of a capacity folder and its target. Returns the figures.
///
/// # Errors
/// When the recording cannot be read or is invalid, in which case the page stays unchanged, or when the page
/// cannot be written.
pub fn write_page(folder: &Path, target: &Target) -> Result<Value, ScaleError> {
    let recording = Recording::parse(&read_file(folder.join(RECORDING_FILE))?)?;
    let path = folder.parent().unwrap_or(Path::new("")).join(PAGE_FILE);
    replace_file(&path, &page::render(&recording, target))?;
    println!("wrote {}", path.display());
    Ok(figures(&recording, target))
}

/// Replaces the content of a file atomically.
///
/// # Errors
/// When the file cannot be written.
pub fn replace_file(path: &Path, text: &str) -> Result<(), ScaleError> {
    let file_error = |error| ScaleError::File { path: path.into(), error };
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let mut file = tempfile::NamedTempFile::new_in(folder).map_err(file_error)?;
    file.write_all(text.as_bytes()).map_err(file_error)?;
    let mode = std::os::unix::fs::PermissionsExt::from_mode(0o644);
    file.as_file().set_permissions(mode).map_err(file_error)?;
    file.persist(path).map_err(|error| file_error(error.error))?;
    Ok(())
}

/// Returns the commit of the current folder and its date, or `unknown` for both outside of a repository.
pub fn head_commit() -> (String, String) {
    let output =
        Command::new("git").args(["show", "-s", "--format=%h %cs", "HEAD"]).stdin(Stdio::null()).output();
    let text = output.map(|output| String::from_utf8_lossy(&output.stdout).into_owned()).unwrap_or_default();
    match text.trim().split_once(' ') {
        Some((commit, day)) => (commit.to_owned(), day.to_owned()),
        None => ("unknown".to_owned(), "unknown".to_owned()),
    }
}

/// Prints a human-readable table of all figures.
pub fn print_table(recording: &Recording, target: &Target) {
    println!(
        "{:<78} {:>10} {:>14} {:>14} {:>8}",
        "figure", "max size", "at max size", "at the target", "factor"
    );
    for series in &recording.series {
        let projection = project(series, target);
        let last = series.samples.last();
        println!(
            "{:<78} {:>10} {:>14.3} {:>14.3} {:>8} {}{}",
            format!("{}: {} ({})", series.role.name(), series.figure, series.unit),
            last.map_or(0.0, |sample| sample.size),
            last.map_or(0.0, |sample| sample.median),
            projection.value,
            projection.factor().map_or_else(|| "-".to_owned(), |factor| format!("{factor:.2}")),
            if projection.is_extrapolated { "extrapolated " } else { "" },
            if projection.fit.growth == Growth::Superlinear { "superlinear" } else { "" },
        );
    }
}

/// Returns the figures as one JSON object.
pub fn figures(recording: &Recording, target: &Target) -> Value {
    let series: Vec<Value> = recording
        .series
        .iter()
        .map(|series| {
            let projection = project(series, target);
            json!({
                "role": series.role,
                "figure": series.figure,
                "unit": series.unit,
                "at_target": projection.value,
                "factor": projection.factor(),
                "growth": projection.fit.growth,
                "extrapolated": projection.is_extrapolated,
            })
        })
        .collect();
    let roles_over_budget: Vec<Role> = over_budget(recording, target).into_iter().collect();
    json!({
        "proof": "scale",
        "cores": recording.machine.cores,
        "seed": recording.seed,
        "over_budget": roles_over_budget,
        "figures": series,
        "events": recording.events,
    })
}
