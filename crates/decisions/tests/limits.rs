//! The limits of size that the operators set for the decision module: they port it by hand.

use std::fs;

const MOST_LINES: usize = 1_200;
const MOST_WIDTH: usize = 110;

#[test]
fn the_module_stays_small_and_names_its_interface() {
    let text = fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/src/brain.rs")).unwrap();
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!((1..=MOST_LINES).contains(&lines), "{lines} lines that are not blank");
    for (n, line) in text.lines().enumerate() {
        let width = line.chars().count();
        assert!(width <= MOST_WIDTH, "line {} has {width} characters", n + 1);
    }
    assert!(text.lines().next().unwrap().contains("`src/api.rs`"));
}
