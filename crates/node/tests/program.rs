//! The program `woodgap`: its command line, and what a kill at any moment leaves.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

use serde_json::json;
use woodgap_testkit::admin::{spec, Admin, If};
use woodgap_testkit::backend::{Backend, Does};
use woodgap_testkit::client::{ask, Ask};
use woodgap_testkit::hosted::{tokens, OPERATOR};

const CONFIG: &str =
    "name = 'n1'\n[limits]\nsockets = 512\n[[listen]]\nname = 'public'\naddress = '127.0.0.1:0'\n[store]\n\
    path = 'catalogue.redb'\n[admin]\nlisten = '127.0.0.1:0'\ntoken_file = 'tokens.toml'\n";

struct Node {
    child: Child,
    addr: SocketAddr,
    admin: Admin,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn folder(config: &str) -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    tokens(&folder.path().join("tokens.toml")).unwrap();
    std::fs::write(folder.path().join("hosted.toml"), config).unwrap();
    folder
}

fn command(words: &[&str], folder: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_woodgap"));
    command.args(words).arg("--config").arg(folder.join("hosted.toml"));
    command.env_remove("BALANCER_CONFIG");
    command
}

fn output(words: &[&str], folder: &Path) -> (Output, String) {
    let output = command(words, folder).output().unwrap();
    let said = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
    (output, String::from_utf8(said).unwrap())
}

fn start(folder: &Path) -> Node {
    let mut child = command(&["serve"], folder).stderr(Stdio::piped()).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
    let mut find = |word: &str| {
        let found =
            log.by_ref().find_map(|line| line.unwrap().split_once(word).map(|(_, at)| at.parse().unwrap()));
        found.unwrap_or_else(|| panic!("it ended before it said where it {word}"))
    };
    let admin = Admin { addr: find("administered on "), secret: OPERATOR.into() };
    let addr = find("listens on ");
    std::thread::spawn(move || log.for_each(drop));
    Node { child, addr, admin }
}

// A change that was answered is there after a kill, and no half one is.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_acknowledged_change_outlives_a_kill_at_any_moment() {
    let folder = folder(CONFIG);
    let server = Backend::start(Does::Serve(Duration::ZERO)).await.unwrap();
    // Of each tenant: the least and the greatest count that its document may hold.
    let mut bounds = [(0_u64, 0_u64); 3];
    for round in 0..12_u64 {
        let node = start(folder.path());
        let admin = node.admin.clone();
        // What the last round left, before anything is written.
        for (n, (least, most)) in bounds.iter_mut().enumerate() {
            let found = admin.get(&format!("tenants/t{n}")).await.unwrap();
            if found.status == 404 {
                assert_eq!(*least, 0, "t{n} was acknowledged and is not there");
                let made = admin.put(&format!("tenants/t{n}"), If::Absent, &spec(2_000)).await.unwrap();
                assert_eq!(made.status, 201, "{made:?}");
                let path = format!("tenants/t{n}/backends/s0");
                let made = admin.put(&path, If::Absent, &json!({"address": server.addr})).await.unwrap();
                assert_eq!(made.status, 201, "{made:?}");
                continue;
            }
            let count = found.body["spec"]["quota_per_s"].as_f64().unwrap() as u64;
            assert!(
                (*least..=*most).contains(&count),
                "t{n}: {count}, acknowledged {least}, asked for {most}"
            );
            (*least, *most) = (count, count);
        }
        let changes = admin.get("changes?after=0&limit=500").await.unwrap().body;
        let revisions: Vec<u64> =
            changes["changes"].as_array().unwrap().iter().map(|c| c["revision"].as_u64().unwrap()).collect();
        assert_eq!(revisions, (1..=revisions.len() as u64).collect::<Vec<_>>());
        // Writers, until the node is killed under them.
        let writers: Vec<_> = bounds
            .into_iter()
            .enumerate()
            .map(|(n, (least, most))| {
                let admin = admin.clone();
                tokio::spawn(async move {
                    let (mut least, mut most) = (least, most);
                    let path = format!("tenants/t{n}");
                    while let Ok(seen) = admin.get(&path).await {
                        let Some(tag) = seen.etag else { break };
                        let mut document = spec(2_000);
                        document["quota_per_s"] = json!(least + 1);
                        most = least + 1;
                        match admin.put(&path, If::Match(&tag), &document).await {
                            Ok(put) if put.status == 200 => least = most,
                            Ok(other) => panic!("{other:?}"),
                            Err(_) => break,
                        }
                    }
                    (least, most)
                })
            })
            .collect();
        // Somewhere else in a write each time.
        tokio::time::sleep(Duration::from_micros(20_000 + 7_919 * round)).await;
        drop(node);
        for (bound, writer) in bounds.iter_mut().zip(writers) {
            *bound = writer.await.unwrap();
        }
    }
    assert!(bounds.iter().all(|(least, _)| *least > 0), "{bounds:?}");
    let node = start(folder.path());
    assert_eq!(ask(node.addr, &Ask::lookup("t0", "x")).await.unwrap().status, 200);
}

#[test]
fn a_store_that_cannot_be_read_stops_the_start_and_stays_as_it_is() {
    let folder = folder(CONFIG);
    let store = folder.path().join("catalogue.redb");
    let text = "a spreadsheet of members, saved under the wrong name\n".repeat(400);
    std::fs::write(&store, &text).unwrap();
    let (output, said) = output(&["serve"], folder.path());
    assert!(!output.status.success());
    assert!(said.contains("catalogue.redb") && said.contains("cannot be read"), "{said}");
    assert_eq!(std::fs::read_to_string(&store).unwrap(), text);
}

#[test]
fn check_tells_every_fault_with_its_line() {
    let good = folder(CONFIG);
    let (checked, said) = output(&["check"], good.path());
    assert!(checked.status.success(), "{said}");
    let bad = folder("nodes = 'two'\nspeed = 9\n[[listen]]\nname = 'a'\naddress = '127.0.0.1:x'\n[store]\n");
    let (checked, said) = output(&["check"], bad.path());
    assert_eq!(checked.status.code(), Some(1), "{said}");
    for line in ["line 1: nodes", "line 2: speed", "line 5: listen.address", "line 6: store.path is missing"]
    {
        assert!(said.contains(line), "{line} in: {said}");
    }
    let (served, said) = output(&["serve"], bad.path());
    assert!(!served.status.success() && said.contains("line 2: speed"), "{said}");
}

#[test]
fn tokens_that_others_can_read_stop_the_start() {
    let folder = folder(CONFIG);
    let file = folder.path().join("tokens.toml");
    let mode = std::os::unix::fs::PermissionsExt::from_mode(0o644);
    std::fs::set_permissions(&file, mode).unwrap();
    for words in ["serve", "check"] {
        let (output, said) = output(&[words], folder.path());
        assert!(!output.status.success() && said.contains("chmod 0600"), "{said}");
    }
}

// Found out at three in the morning, by accept failing under load, it would be found out too late.
#[test]
fn more_descriptors_than_the_system_gives_stop_the_start() {
    let folder = folder(CONFIG);
    for word in ["serve", "check"] {
        let config = folder.path().join("hosted.toml");
        let line = format!(
            "ulimit -n 256; exec {} {word} --config {}",
            env!("CARGO_BIN_EXE_woodgap"),
            config.display()
        );
        let output = Command::new("sh").args(["-c", &line]).output().unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert!(
            !output.status.success() && said.contains("limits.sockets is 512") && said.contains("256"),
            "{said}"
        );
    }
}

// SIGTERM: what was taken is answered, and the store is free for the next process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_lets_a_hosted_node_finish() {
    let folder = folder(CONFIG);
    let server = Backend::start(Does::Hold).await.unwrap();
    let mut node = start(folder.path());
    node.admin.tenant("acme", &spec(5_000), &[server.addr]).await.unwrap();
    let addr = node.addr;
    let renew = Ask::renew("acme", "x").within(Duration::from_secs(5));
    let running = tokio::spawn(async move { ask(addr, &renew).await });
    while server.requests() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let pid = node.child.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
    // It has taken the signal once it is not ready any more.
    loop {
        let request = hyper::Request::get("/-/ready").header("host", "x").body(Default::default()).unwrap();
        let mut connection = woodgap_testkit::client::Connection::open(addr).await.unwrap();
        if connection.send(request).await.unwrap().status == 503 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    server.does(Does::Serve(Duration::ZERO));
    assert_eq!(running.await.unwrap().unwrap().status, 200);
    assert!(node.child.wait().unwrap().success());
    let again = start(folder.path());
    assert_eq!(again.admin.get("tenants/acme").await.unwrap().status, 200);
}

// An operator sends SIGHUP to a node that has nothing to read again: it serves on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_hangup_does_not_end_a_node_without_certificates() {
    let folder = folder(CONFIG);
    let server = Backend::start(Does::Serve(Duration::ZERO)).await.unwrap();
    let mut node = start(folder.path());
    node.admin.tenant("acme", &spec(2_000), &[server.addr]).await.unwrap();
    let told = Command::new("kill").args(["-HUP", &node.child.id().to_string()]).status().unwrap();
    assert!(told.success());
    // Were it to end, it would do so within this many answers.
    for n in 0..50 {
        let answer = ask(node.addr, &Ask::lookup("acme", format!("h{n}"))).await.unwrap();
        assert_eq!(answer.status, 200, "{n}");
    }
    assert!(node.child.try_wait().unwrap().is_none());
}

// One JSON object a line where that is asked for, each with its message.
#[test]
fn the_log_is_json_on_request() {
    let folder = folder(&format!("{CONFIG}[log]\nformat = 'json'\n"));
    let mut child = command(&["serve"], folder.path()).stderr(Stdio::piped()).spawn().unwrap();
    let log = BufReader::new(child.stderr.take().unwrap()).lines();
    let mut messages = Vec::new();
    for line in log {
        let line: serde_json::Value = serde_json::from_str(&line.unwrap()).unwrap();
        assert!(line["timestamp"].is_string() && line["level"] == "INFO", "{line}");
        messages.push(line["message"].as_str().unwrap().to_owned());
        if messages.last().unwrap().contains("listens on") {
            break;
        }
    }
    child.kill().unwrap();
    child.wait().unwrap();
    assert!(messages[0].contains("n1 is administered on"), "{messages:?}");
}
