//! The limits of size that the operators set for the decision module: they port it by hand.

use std::fs;
use std::path::Path;

const MOST_LINES: usize = 1_200;
const MOST_IN_A_FILE: usize = 250;
const MOST_WIDTH: usize = 110;

#[test]
fn the_module_stays_small_and_names_its_interface() {
    let root = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let deploy: toml::Table = deploy.parse().unwrap();
    let policy = deploy["policy"].as_array().unwrap().iter().map(|name| root.join(name.as_str().unwrap()));
    let mut named: Vec<_> = policy.collect();
    named.sort();
    let folder = root.join("crates/decisions/src/brain");
    let mut there: Vec<_> = fs::read_dir(&folder).unwrap().map(|file| file.unwrap().path()).collect();
    there.push(folder.with_extension("rs"));
    there.sort();
    assert_eq!(named, there, "`policy` names every file of the decisions");
    let mut all = 0;
    for file in &there {
        let text = fs::read_to_string(file).unwrap();
        assert!(text.lines().count() <= MOST_IN_A_FILE, "{} is too long", file.display());
        all += text.lines().filter(|line| !line.trim().is_empty()).count();
        for (n, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(width <= MOST_WIDTH, "{}:{} has {width} characters", file.display(), n + 1);
        }
    }
    assert!((1..=MOST_LINES).contains(&all), "{all} lines that are not blank");
    assert!(fs::read_to_string(folder.with_extension("rs")).unwrap().contains("`src/api.rs`"));
}
