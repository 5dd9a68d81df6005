//! The scale run as CI has it: processes, a cut and a kill, and a verdict in counts; and what it refuses.

use std::path::Path;
use std::process::{Command, Output};

use serde_json::Value;

fn proof(args: &[&str], folder: &Path) -> Output {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut command = Command::new(env!("CARGO_BIN_EXE_proof"));
    command.arg("scale").args(args).arg("--folder").arg(folder).current_dir(root);
    command.output().unwrap()
}

fn recorded() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/capacity")
}

// Three real processes, 24 hollow nodes in four, 60 servers; the second region is cut off, a host is killed.
#[test]
fn a_small_fleet_follows_every_change_at_the_recorded_cost() {
    let output = proof(&["--small"], &recorded());
    let said = String::from_utf8_lossy(&output.stdout);
    let last = said.lines().last().unwrap_or_default();
    let verdict: Value = serde_json::from_str(last).unwrap_or_else(|error| panic!("{error}: {output:?}"));
    assert_eq!(verdict["holds"], Value::Bool(true), "{verdict}");
    assert!(output.status.success());
}

/// A folder with a target and perhaps a recording, and where its page would be.
fn folder(target: &str, recording: Option<&str>) -> (tempfile::TempDir, std::path::PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let capacity = folder.path().join("capacity");
    std::fs::create_dir(&capacity).unwrap();
    std::fs::write(capacity.join("target.toml"), target).unwrap();
    if let Some(recording) = recording {
        std::fs::write(capacity.join("slopes.json"), recording).unwrap();
    }
    std::fs::write(folder.path().join("CAPACITY.md"), "as it was").unwrap();
    (folder, capacity)
}

#[test]
fn what_cannot_be_read_is_refused_and_nothing_is_written_over() {
    let target = std::fs::read_to_string(recorded().join("target.toml")).unwrap();
    let recording = std::fs::read_to_string(recorded().join("slopes.json")).unwrap();
    let zero = target.replace("tenants = 48000", "tenants = 0");
    for (target, recording, why) in [
        ("nodes =", Some(recording.as_str()), "the target cannot be read"),
        (zero.as_str(), Some(recording.as_str()), "tenants is 0: give a number above 0"),
        (target.as_str(), Some("{}"), "the recording cannot be read"),
        (target.as_str(), None, "slopes.json"),
    ] {
        let (folder, capacity) = folder(target, recording);
        let output = proof(&["--page"], &capacity);
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && said.contains(why), "{why}: {said}");
        assert_eq!(said.lines().count(), 1, "{said}");
        assert_eq!(std::fs::read_to_string(folder.path().join("CAPACITY.md")).unwrap(), "as it was");
        // A run is refused for the same target before it starts anything.
        if why.contains("target") || why.contains("tenants") {
            let output = proof(&["--quick"], &capacity);
            assert!(!output.status.success() && output.stdout.is_empty(), "{output:?}");
        }
    }
}

// Half of the machine's memory, 200 processes: said and refused before anything is started.
#[test]
fn a_fleet_that_the_machine_does_not_hold_is_refused() {
    let output = proof(&["--nodes", "100000"], &recorded());
    let said = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success() && said.contains("fewer nodes (--nodes)"), "{said}");
    let told = String::from_utf8_lossy(&output.stdout);
    assert!(told.starts_with("needs ") && told.lines().count() == 1, "{told}");
}
