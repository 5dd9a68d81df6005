//! Resting clients take every descriptor that the system gives: fewer than the configuration says.

mod common;

use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};
use std::thread;

use common::*;
use serde_json::{json, Value};

/// Descriptors that the system gives, and that the configuration says.
const GIVEN: usize = 40;
const TOLD: usize = 256;

fn bounded(config: &Value) -> Node {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(config.to_string().as_bytes()).unwrap();
    let mut child = Command::new("sh")
        .args(["-c", &format!("ulimit -n {GIVEN}; exec \"$0\""), env!("CARGO_BIN_EXE_woodgap")])
        .env("BALANCER_CONFIG", file.path())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
    let addr = log
        .by_ref()
        .find_map(|line| line.unwrap().split_once("listens on ").map(|(_, addr)| addr.parse().unwrap()))
        .unwrap();
    thread::spawn(move || log.for_each(drop));
    Node { child, addr, file }
}

// Accept fails while all of them rest. One that has rested for long gives way, as it does where the places are short;
// left alone they would stay for a minute.
#[test]
fn clients_that_rest_give_way_where_the_system_gives_no_descriptor() {
    let site = Site::with(1, json!({"sockets": TOLD}));
    let node = bounded(&site.config);
    let mut resting = Vec::new();
    for n in 0..2 * GIVEN {
        let mut stream = BufReader::new(node.dial());
        stream.get_mut().write_all(&request("look", &format!("c{n}"), 60_000)).unwrap();
        assert!(Message::read(&mut stream).is_some(), "no answer to client {n}");
        resting.push(stream);
    }
}
