//! Servers drained at all nodes at once, while some nodes are silent, cut off or start again.

use std::collections::BTreeSet;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{json, Value};
use woodgap_testkit::admin::{spec, If};
use woodgap_testkit::backend::{second_effects, Does};
use woodgap_testkit::client::Ask;
use woodgap_testkit::fleet::{Made, Rig};
use woodgap_testkit::hosted::OPERATOR;
use woodgap_testkit::links::Ails;
use woodgap_testkit::load::{run, Load, Outcome};
use woodgap_testkit::until;

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_woodgap"))
}

/// Three nodes before two servers.
async fn fleet(alone_s: u32) -> Rig {
    fleet_of(3, alone_s).await
}

async fn fleet_of(nodes: usize, alone_s: u32) -> Rig {
    let made = Made { nodes, servers: 2, interval_ms: 50, alone_s: Some(alone_s), ..Made::default() };
    let rig = Rig::started(program(), made).await.unwrap();
    let servers = [rig.backends[0].addr, rig.backends[1].addr];
    for node in rig.names() {
        rig.admin(&node).unwrap().tenant("acme", &spec(2_500), &servers).await.unwrap();
    }
    rig
}

fn load(rig: &Rig, node: &str, span: Duration) -> tokio::task::JoinHandle<Outcome> {
    let (addr, node) = (rig.addr(node).unwrap(), node.to_owned());
    let load = Load { addr, per_s: 100.0, span, connections: 64 };
    tokio::spawn(async move {
        run(load, |n| {
            let (class, safe) = if n % 2 == 0 { ("lookup", true) } else { ("renew", false) };
            let ask = Ask::lookup("acme", format!("{node}-{n}"));
            Ask { class: class.into(), safe, key: format!("club-{}", n % 40), ..ask }
        })
        .await
    })
}

/// The state of the first server's drain, as a node has it, and who is named.
async fn state(rig: &Rig, node: &str) -> (String, BTreeSet<String>) {
    let Ok(reply) = rig.admin(node).unwrap().get("servers").await else { return Default::default() };
    let address = rig.backends[0].addr.to_string();
    let lines = reply.body["servers"].as_array().cloned().unwrap_or_default();
    let Some(line) = lines.iter().find(|line| line["address"] == address) else { return Default::default() };
    let nodes = line["nodes"].as_array().cloned().unwrap_or_default();
    let nodes = nodes.iter().filter_map(Value::as_str).map(str::to_owned).collect();
    (line["state"].as_str().unwrap_or_default().to_owned(), nodes)
}

async fn order(rig: &Rig, node: &str, back: bool) {
    let path = format!("servers/{}/drain", rig.backends[0].addr);
    let (method, body) =
        if back { (Method::DELETE, None) } else { (Method::PUT, Some(json!({"reason": "disk"}))) };
    let reply = rig.admin(node).unwrap().call(method, &path, If::Unsaid, body.as_ref()).await.unwrap();
    assert_eq!(reply.status, 202, "{reply:?}");
}

/// One server of the pool may be out, from now on.
async fn one_of_the_pool(rig: &Rig) {
    let admin = rig.admin("n1").unwrap();
    let seen = admin.get("fleet/bounds").await.unwrap();
    let mut bounds = seen.body.clone();
    bounds["budgets"]
        .as_array_mut()
        .unwrap()
        .push(json!({"scope": "pool acme", "most_out": "1", "least_up": 1}));
    let given = admin.put("fleet/bounds", If::Match(&seen.etag.unwrap()), &bounds).await.unwrap();
    assert_eq!(given.status, 204, "{given:?}");
}

// Told once at one node: all stop within 500 ms, it is safe once all have said so, and nothing comes after that. Back, it
// takes work again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_is_drained_at_all_nodes_by_one_word() {
    let rig = fleet(30).await;
    let server = &rig.backends[0];
    let loads: Vec<_> = rig.names().iter().map(|node| load(&rig, node, Duration::from_secs(5))).collect();
    until("it has work", || std::future::ready(server.requests() > 20)).await;
    let secret = rig.folder("n1").unwrap().join("secret");
    std::fs::write(&secret, OPERATOR).unwrap();
    let mut command = Command::new(program());
    command.args(["drain", "--server", &server.addr.to_string(), "--reason", "disk"]);
    command.arg("--admin").arg(rig.admin("n1").unwrap().addr.to_string()).arg("--secret-file").arg(secret);
    let ran = tokio::task::spawn_blocking(move || command.output().unwrap());
    let told = || std::future::ready(rig.service.node("/permits-servers").is_some());
    until("it is told", told).await;
    server.gone();
    let ran = ran.await.unwrap();
    let said = String::from_utf8(ran.stdout).unwrap();
    assert!(ran.status.success() && said.ends_with("safe to stop\n"), "{said}");
    let at_safe = server.requests();
    let mut lost = 0;
    for load in loads {
        let outcome = load.await.unwrap();
        lost += outcome.lost + outcome.shut + outcome.failed;
    }
    assert_eq!((server.requests(), server.late_sends(), lost), (at_safe, 0, 0));
    assert_eq!(second_effects(&rig.backends), 0);
    for node in rig.names() {
        assert_eq!(state(&rig, &node).await.0, "safe");
    }

    server.back();
    order(&rig, "n2", true).await;
    let back = || async {
        let done = load(&rig, "n3", Duration::from_millis(200)).await;
        done.is_ok() && server.requests() > at_safe
    };
    until("it has work again", back).await;
    assert_eq!(state(&rig, "n1").await.0, "back");
}

// What is in flight when the word comes is waited for, and nobody says that it has stopped before it surely has.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn it_is_not_safe_before_the_last_answer() {
    let rig = fleet(30).await;
    let server = &rig.backends[0];
    server.does(Does::Serve(Duration::from_millis(1_500)));
    let loads: Vec<_> = rig.names().iter().map(|node| load(&rig, node, Duration::from_millis(400))).collect();
    until("all of it is on its way", || std::future::ready(server.requests() >= 10)).await;
    let told = Instant::now();
    order(&rig, "n1", false).await;
    let waits = || async { state(&rig, "n2").await.0 == "waits" };
    until("it is waited for", waits).await;
    until("it is safe", || async { state(&rig, "n2").await.0 == "safe" }).await;
    assert!(told.elapsed() > Duration::from_millis(1_000), "{:?}", told.elapsed());
    for load in loads {
        assert_eq!(load.await.unwrap().lost, 0);
    }
    // With nothing in flight it takes the time within which something may still be written.
    server.does(Does::Serve(Duration::ZERO));
    order(&rig, "n1", true).await;
    until("it is back", || async { state(&rig, "n2").await.0 == "back" }).await;
    let told = Instant::now();
    order(&rig, "n1", false).await;
    until("it is safe", || async { state(&rig, "n2").await.0 == "safe" }).await;
    assert!(told.elapsed() >= Duration::from_millis(480), "{:?}", told.elapsed());
}

// One that is cut off from all is named, not assumed: it stops by itself, and only when that is certain is it safe.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn who_is_cut_off_is_named_until_its_end_is_proven() {
    let rig = fleet(1).await;
    let server = &rig.backends[0];
    rig.between(&["n3".to_owned()], &["n1".to_owned(), "n2".to_owned()], Ails::CUT, false);
    rig.to_service("n3", Ails::CUT, Ails::CUT).unwrap();
    order(&rig, "n1", false).await;
    let named =
        || async { state(&rig, "n1").await == ("not_known".to_owned(), BTreeSet::from(["n3".to_owned()])) };
    until("it is named", named).await;
    // It can't know, and sends there until it takes itself for cut off.
    until("it stops", || std::future::ready(rig.said("n3", "sends nothing new"))).await;
    assert!(named().await, "{:?}", state(&rig, "n1").await);
    let before: u64 = rig.backends.iter().map(|backend| backend.requests()).sum();
    let refused = load(&rig, "n3", Duration::from_millis(300)).await.unwrap();
    assert_eq!((refused.served, refused.lost), (0, 0), "{refused:?}");
    assert!(refused.refused > 20);
    until("its end is proven", || async { state(&rig, "n1").await.0 == "safe" }).await;
    let after: u64 = rig.backends.iter().map(|backend| backend.requests()).sum();
    assert_eq!(after, before);
    // In touch again it sends again, but not there.
    rig.heal();
    until("it sends again", || std::future::ready(rig.said("n3", "sends again"))).await;
    until("it has read", || async { state(&rig, "n3").await.0 == "safe" }).await;
    let before = server.requests();
    let served = load(&rig, "n3", Duration::from_millis(300)).await.unwrap();
    assert!(served.served > 20, "{served:?}");
    assert_eq!(server.requests(), before);
}

// One is silent when the server is drained, one starts again without the service and with what it had on disk.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_one_is_waited_for_and_one_that_restarts_goes_by_its_file() {
    let mut rig = fleet(30).await;
    let name = |node: &str| BTreeSet::from([node.to_owned()]);
    rig.stop("n2").unwrap();
    order(&rig, "n1", false).await;
    let named = || async { state(&rig, "n1").await.1 == name("n2") };
    until("the silent one is named", named).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(named().await);
    rig.cont("n2").unwrap();
    until("it has done it too", || async { state(&rig, "n1").await.0 == "safe" }).await;

    rig.kill("n3").unwrap();
    rig.to_service("n3", Ails::CUT, Ails::CUT).unwrap();
    let at_safe = rig.backends[0].requests();
    rig.start("n3").unwrap();
    let served = load(&rig, "n3", Duration::from_millis(400)).await.unwrap();
    assert!(served.served > 20, "{served:?}");
    assert_eq!(rig.backends[0].requests(), at_safe);
    // One that hears the others and not the service has an old list: it is waited for as long as it takes.
    rig.heal();
    until("it has read", || async { state(&rig, "n3").await.0 == "safe" }).await;
    rig.to_service("n2", Ails::CUT, Ails::CUT).unwrap();
    order(&rig, "n1", true).await;
    until("it is back", || async { state(&rig, "n1").await.0 == "back" }).await;
    order(&rig, "n1", false).await;
    until("the others have done it", || async { state(&rig, "n1").await == ("waits".into(), name("n2")) })
        .await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(state(&rig, "n1").await, ("waits".into(), name("n2")));
    assert!(!rig.said("n3", "sends nothing new"));
    rig.heal();
    until("it has read", || async { state(&rig, "n1").await.0 == "safe" }).await;
}

// A budget of a tenant's pool, given in service: the second server is not let go, and the answer says why.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_budget_of_a_pool_keeps_the_second_server() {
    let rig = fleet(30).await;
    one_of_the_pool(&rig).await;
    order(&rig, "n2", false).await;
    let path = format!("servers/{}/drain", rig.backends[1].addr);
    let refused = rig.admin("n3").unwrap().put(&path, If::Unsaid, &json!({"reason": "too"})).await.unwrap();
    let why = format!("pool acme has 2 servers, allows 1 out, and out are {}", rig.backends[0].addr);
    assert_eq!(refused.status, 422, "{refused:?}");
    assert!(refused.body["detail"].as_str().unwrap().contains(&why), "{refused:?}");
    order(&rig, "n2", true).await;
    let again = || async {
        let asked = rig.admin("n3").unwrap().put(&path, If::Unsaid, &json!({"reason": "too"})).await;
        asked.is_ok_and(|reply| reply.status == 202)
    };
    until("the first is back and held", again).await;
}

// One server answers nobody: all nodes eject it, and it uses up the budget of its pool.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_most_nodes_eject_uses_up_the_budget() {
    let rig = fleet(30).await;
    one_of_the_pool(&rig).await;
    rig.backends[1].does(Does::Reset);
    let loads: Vec<_> = rig.names().iter().map(|node| load(&rig, node, Duration::from_secs(6))).collect();
    let told = || async {
        let view = rig.view("n1").await.unwrap_or_default();
        let members = view["members"].as_array().cloned().unwrap_or_default();
        members.iter().filter(|member| member["ejects"].as_u64() == Some(1)).count() == 3
    };
    until("all have told of it", told).await;
    let path = format!("servers/{}/drain", rig.backends[0].addr);
    let refused = rig.admin("n3").unwrap().put(&path, If::Unsaid, &json!({"reason": "too"})).await.unwrap();
    let why = format!("pool acme has 2 servers, allows 1 out, and out are {}", rig.backends[1].addr);
    assert!(refused.status == 422 && refused.body["detail"].as_str().unwrap().contains(&why), "{refused:?}");
    for load in loads {
        assert_eq!(load.await.unwrap().lost, 0);
    }
}

// The smaller half of a cut hears one another. Neither that nor a restart there lets it send on: the other half may
// conclude that it has ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_that_restarts_in_the_smaller_half_stops_too() {
    let mut rig = fleet_of(5, 1).await;
    let (some, others) = (["n1", "n2", "n3"].map(str::to_owned), ["n4", "n5"].map(str::to_owned));
    rig.between(&some, &others, Ails::CUT, false);
    for node in &others {
        rig.to_service(node, Ails::CUT, Ails::CUT).unwrap();
    }
    until("n4 stops", || std::future::ready(rig.said("n4", "sends nothing new"))).await;
    until("n5 stops", || std::future::ready(rig.said("n5", "sends nothing new"))).await;
    rig.kill("n5").unwrap();
    let from = rig.now();
    rig.start("n5").unwrap();
    let stops = || std::future::ready(rig.said_at("n5", "sends nothing new", from).is_some());
    until("it stops again", stops).await;
    let heard = || async { rig.alive("n5").await.is_some_and(|alive| alive.contains("n4")) };
    until("it hears the other of its half", heard).await;
    let refused = load(&rig, "n5", Duration::from_millis(300)).await.unwrap();
    assert_eq!((refused.served, refused.lost), (0, 0), "{refused:?}");
}
