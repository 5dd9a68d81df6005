//! `.ci/test` and its list of tests that are known to fail, beside a stand-in for cargo (`known_red/cargo`).

use std::path::Path;
use std::process::Command;
use std::{env, fs};

use tempfile::TempDir;

const MAIN: &str = "test --locked --workspace";
const LIST: &str = "test --locked --workspace -- --list";

/// A root of its own, with tests that cargo finds, of which one fails and one is ignored.
struct Root(TempDir);

/// How a run ended, all that it said, and what cargo was called with.
struct Ran {
    passed: bool,
    said: String,
    calls: Vec<String>,
}

impl Root {
    fn new(list: Option<&str>) -> Root {
        let root = Root(TempDir::new().unwrap());
        let here = Path::new(env!("CARGO_MANIFEST_DIR"));
        fs::create_dir(root.0.path().join(".ci")).unwrap();
        fs::copy(here.join("../../.ci/test"), root.0.path().join(".ci/test")).unwrap();
        root.write(
            "tests",
            "early\nrules::late\nrules::late_too\nslow\ntwice\ntwice\nsrc/lib.rs - told (line 3)\n",
        );
        root.write("red", "rules::late\n");
        root.write("ignored", "slow\n");
        if let Some(list) = list {
            root.write("KNOWN-RED.txt", list);
        }
        root
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.0.path().join(name), text).unwrap();
    }

    fn run(&self) -> Ran {
        let stand_in = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/known_red");
        let paths =
            env::join_paths([stand_in].into_iter().chain(env::split_paths(&env::var_os("PATH").unwrap())));
        let output = Command::new("bash")
            .arg(self.0.path().join(".ci/test"))
            .env("PATH", paths.unwrap())
            .output()
            .unwrap();
        let calls = fs::read_to_string(self.0.path().join("calls")).unwrap_or_default();
        Ran {
            passed: output.status.success(),
            said: [output.stdout, output.stderr].map(|text| String::from_utf8(text).unwrap()).concat(),
            calls: calls.lines().map(str::to_owned).collect(),
        }
    }
}

/// The list is refused for this reason, and no test has run.
fn refused(list: &str, why: &str) {
    let ran = Root::new(Some(list)).run();
    assert!(!ran.passed, "{list:?}: {}", ran.said);
    assert!(ran.said.contains("KNOWN-RED.txt refused: ") && ran.said.contains(why), "{list:?}: {}", ran.said);
    assert!(ran.calls.iter().all(|call| call == LIST), "{list:?}: {:?}", ran.calls);
}

#[test]
fn without_a_list_it_is_the_test_command() {
    let root = Root::new(None);
    let ran = root.run();
    assert!(ran.passed, "{}", ran.said);
    assert_eq!(ran.calls, [MAIN]);
    root.write("main-fails", "");
    assert!(!root.run().passed);
}

#[test]
fn more_than_three_lines_are_refused() {
    let three = "early | a | #1\nrules::late | b | #2\nrules::late_too | c | #3\n";
    assert!(Root::new(Some(three)).run().passed);
    refused(&format!("{three}slow | d | #4\n"), "4 lines, 3 at most");
    refused(&format!("{three}\n"), "4 lines, 3 at most");
}

#[test]
fn a_line_without_all_its_parts_is_refused() {
    for line in [
        "rules::late",
        "rules::late | only a cause",
        "rules::late | a cause | ",
        "rules::late |  | #1",
        " | a cause | #1",
        "rules::late | a cause | #1 | more",
        "rules::late a cause #1",
        "# a comment",
        "",
    ] {
        refused(&format!("early | a | #1\n{line}\n"), "not 'test | cause | issue'");
    }
    // Nor does the last line need its end.
    refused("rules::late | a cause", "not 'test | cause | issue'");
}

#[test]
fn a_name_that_is_no_test_is_refused() {
    for name in
        ["never", "late", "rules", "rules::lat", "rules::late_", "rules::.ate", "rules::late:", "*", "-e"]
    {
        refused(&format!("{name} | a cause | #1\n"), "no test of the workspace");
    }
}

#[test]
fn a_name_that_would_leave_out_more_than_its_test_is_refused() {
    refused("twice | a cause | #1\n", "more than one test of the workspace");
    refused("src/lib.rs - told (line 3) | a cause | #1\n", "a name with spaces");
    refused("early | a cause | #1\nearly | another | #2\n", "listed twice");
}

#[test]
fn just_the_listed_tests_are_left_out_and_run_by_themselves() {
    let ran = Root::new(Some("rules::late | it's late | #1\nearly|too early|issue 2")).run();
    assert!(ran.passed, "{}", ran.said);
    let alone = |name| format!("{MAIN} -- --exact {name}");
    let main = format!("{MAIN} -- --exact --skip rules::late --skip early");
    assert_eq!(ran.calls, [LIST.to_owned(), main, alone("rules::late"), alone("early")]);
    // Apart from the others, and what passes is said to.
    assert!(ran.said.contains("\nknown red | test rules::late ... FAILED\n"), "{}", ran.said);
    assert!(ran.said.contains("\nknown red, fails: rules::late | it's late | #1\n"), "{}", ran.said);
    let passes = "\nknown red, PASSES, to be taken off KNOWN-RED.txt: early|too early|issue 2\n";
    assert!(ran.said.contains(passes), "{}", ran.said);
    assert!(!ran.said.lines().any(|line| line.starts_with("test rules::late")), "{}", ran.said);
}

#[test]
fn a_failure_of_another_test_is_not_passed_over() {
    let root = Root::new(Some("rules::late | it's late | #1\n"));
    root.write("main-fails", "");
    let ran = root.run();
    assert!(!ran.passed, "{}", ran.said);
    assert_eq!(ran.calls.len(), 2, "{:?}", ran.calls);
}

#[test]
fn a_test_that_does_not_run_is_not_known_to_fail() {
    let ran = Root::new(Some("slow | it's ignored | #1\n")).run();
    assert!(!ran.passed && ran.said.contains("did not run by itself: slow"), "{}", ran.said);
    let root = Root::new(Some("rules::late | it's late | #1\n"));
    root.write("broken", "");
    let ran = root.run();
    assert!(!ran.passed && ran.said.contains("did not run by itself: rules::late"), "{}", ran.said);
}

#[test]
fn ci_runs_what_the_readme_says() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let read = |name| fs::read_to_string(root.join(name)).unwrap();
    let (readme, run) = (read("README.md"), read(".ci/run"));
    let (_, after) = readme.split_once("## Test\n\n```sh\n").unwrap();
    let (commands, _) = after.split_once("```").unwrap();
    let (_, runs) = run.split_once("cd \"$(dirname \"$0\")/..\"\n").unwrap();
    assert_eq!(runs.replace(".ci/test", &format!("cargo {MAIN}")), commands);
}
