//! The hosted node over loopback: tenants changed, moved, deleted and made again under traffic.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{json, Value};
use woodgap_testkit::admin::{spec, Admin, If, Reply};
use woodgap_testkit::backend::{second_effects, Backend, Does};
use woodgap_testkit::client::{ask, Answer, Ask, Connection};
use woodgap_testkit::disk::{self, Ails, Doctor};
use woodgap_testkit::hosted::{Site, ACME};

/// Longer than anything takes on a machine that works.
const PATIENCE: Duration = Duration::from_secs(30);
const AT_ONCE: Does = Does::Serve(Duration::ZERO);

async fn site() -> Site {
    configured(|_| {}).await
}

async fn configured(
    change: impl FnOnce(&mut woodgap::hosted::config::HostedConfig) + Send + 'static,
) -> Site {
    tokio::task::spawn_blocking(|| Site::configured(change).unwrap()).await.unwrap()
}

/// Waits for a condition.
async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < PATIENCE, "{what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn drained(admin: &Admin) -> bool {
    admin.get("tenants?state=draining").await.unwrap().body["tenants"] == json!([])
}

fn asks(addr: SocketAddr, asks: Vec<Ask>) -> Vec<tokio::task::JoinHandle<std::io::Result<Answer>>> {
    asks.into_iter().map(|one| tokio::spawn(async move { ask(addr, &one).await })).collect()
}

/// A port on which connecting hangs: its queue is full and nobody accepts. The second part frees it.
async fn deaf() -> (SocketAddr, tokio::net::TcpListener, Vec<tokio::net::TcpStream>) {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let addr = listener.local_addr().unwrap();
    let mut fill = Vec::new();
    while let Ok(Ok(stream)) =
        tokio::time::timeout(Duration::from_millis(300), tokio::net::TcpStream::connect(addr)).await
    {
        fill.push(stream);
    }
    (addr, listener, fill)
}

// Delete while requests are in flight: at a silent server, and between tries of a renew.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_tenant_deleted_under_its_requests_answers_each_once_and_leaves_nothing() {
    let site = site().await;
    let silent = Backend::start(Does::Hold).await.unwrap();
    let (deaf_addr, deaf_listener, mut fill) = deaf().await;
    let mut document = spec(2_000);
    document["pool"] = json!({"dial_timeout_ms": 10_000});
    site.admin.tenant("acme", &document, &[silent.addr]).await.unwrap();
    site.admin.tenant("other", &spec(2_000), &[silent.addr]).await.unwrap();
    // A connection with nothing on it, which has carried one of its requests.
    silent.does(AT_ONCE);
    let mut idle = Connection::open(site.addr).await.unwrap();
    assert_eq!(idle.ask(&Ask::lookup("acme", "before")).await.unwrap().status, 200);
    silent.does(Does::Hold);
    let held: Vec<Ask> = (0..4)
        .flat_map(|n| [Ask::lookup("acme", format!("l{n}")), Ask::renew("acme", format!("r{n}"))])
        .collect();
    let held = asks(site.addr, held);
    until("held at the silent server", || async { silent.requests() == 9 }).await;
    // These find a server that refuses, and then wait for a connection to one that does not accept.
    let between = Backend::start(Does::TurnAway).await.unwrap();
    site.admin.tenant("between", &document, &[between.addr, deaf_addr]).await.unwrap();
    let tries = asks(site.addr, (0..8).map(|n| Ask::renew("between", format!("b{n}"))).collect());
    let held_now =
        |admin: Admin| async move { admin.get("tenants/between/status").await.unwrap().body["held"] == 8 };
    until("between tries", || held_now(site.admin.clone())).await;

    let sent = silent.requests();
    for tenant in ["acme", "between"] {
        assert_eq!(site.admin.remove(&format!("tenants/{tenant}")).await.unwrap().status, 202);
        // From the moment of the answer nothing new is taken.
        let new = ask(site.addr, &Ask::lookup(tenant, format!("new-{tenant}"))).await.unwrap();
        assert_eq!((new.status.as_u16(), new.body.as_ref()), (404, b"no such tenant\n".as_slice()));
    }
    silent.gone();
    between.gone();
    let (at_between, deleted) = (between.requests(), Instant::now());
    // The deaf one accepts again after the grace: what waited for it must not be written any more.
    tokio::time::sleep(Duration::from_millis(600)).await;
    fill.clear();
    let deaf_reads = tokio::spawn(async move {
        let mut bytes = 0;
        while let Ok(Ok((mut stream, _))) =
            tokio::time::timeout(Duration::from_millis(1_500), deaf_listener.accept()).await
        {
            let mut buffer = [0; 64];
            let read = tokio::io::AsyncReadExt::read(&mut stream, &mut buffer);
            bytes +=
                tokio::time::timeout(Duration::from_millis(200), read).await.map_or(0, |n| n.unwrap_or(0));
        }
        bytes
    });
    for (n, one) in held.into_iter().enumerate() {
        let answer = one.await.unwrap().expect("an answer in time");
        // A renew may have run, which only a failure allows for; a lookup may be refused.
        let renew = n % 2 == 1;
        assert!(
            answer.status == 502 || answer.status == 504 || (!renew && answer.status == 503),
            "{answer:?}"
        );
        assert!(answer.spent < Duration::from_secs(2), "{answer:?}");
    }
    for one in tries {
        // Refused: nothing of it ever ran.
        let answer = one.await.unwrap().expect("an answer in time");
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.spent < Duration::from_secs(2), "{answer:?}");
    }
    until("both are gone", || async { drained(&site.admin).await }).await;
    assert!(deleted.elapsed() < Duration::from_secs(4), "{:?}", deleted.elapsed());
    assert_eq!(deaf_reads.await.unwrap(), 0, "written to a deleted tenant's server");
    assert_eq!((silent.requests(), between.requests()), (sent, at_between));
    assert_eq!((silent.late_sends(), between.late_sends(), second_effects([&silent, &between])), (0, 0, 0));
    // Its connections are closed: to servers, and the idle one of a client.
    until("no connection is left", || async { silent.connections() == 0 && between.connections() == 0 })
        .await;
    until("the client's is closed", || async { !idle.is_open() }).await;
    let changes = site.admin.get("changes?after=0&limit=500").await.unwrap().body;
    let deeds: Vec<&Value> = changes["changes"].as_array().unwrap().iter().map(|c| &c["deed"]).collect();
    assert_eq!(deeds.iter().filter(|deed| **deed == "tenant_gone").count(), 2, "{deeds:?}");
    // The others were not touched.
    silent.back();
    silent.does(AT_ONCE);
    assert_eq!(ask(site.addr, &Ask::lookup("other", "o")).await.unwrap().status, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_administrators_never_overwrite_one_another() {
    let site = site().await;
    site.admin.tenant("acme", &spec(2_000), &[]).await.unwrap();
    let add = |admin: Admin| async move {
        let (mut made, mut lost) = (Vec::new(), 0);
        while made.len() < 50 {
            let seen = admin.get("tenants/acme").await.unwrap();
            let mut document = seen.body["spec"].clone();
            document["quota_per_s"] = json!(document["quota_per_s"].as_f64().unwrap() + 1.0);
            let put = admin.put("tenants/acme", If::Match(&seen.etag.unwrap()), &document).await.unwrap();
            match put.status {
                200 => made.push(put.body["revision"].as_u64().unwrap()),
                412 => {
                    // It tells the present tag.
                    assert!(put.etag.is_some() && put.body["etag"] == json!(put.etag), "{put:?}");
                    lost += 1;
                }
                other => panic!("{other}: {put:?}"),
            }
        }
        (made, lost)
    };
    let (one, two) =
        tokio::join!(tokio::spawn(add(site.admin.clone())), tokio::spawn(add(site.admin.clone())));
    let ((one, _), (two, _)) = (one.unwrap(), two.unwrap());
    // Each write saw all before it: none was lost.
    let document = site.admin.get("tenants/acme").await.unwrap();
    assert_eq!(document.body["spec"]["quota_per_s"], 100.0);
    let changes = site.admin.get("changes?after=1&limit=500").await.unwrap().body;
    let history: Vec<u64> =
        changes["changes"].as_array().unwrap().iter().map(|c| c["revision"].as_u64().unwrap()).collect();
    let mut acknowledged = [one, two].concat();
    acknowledged.sort_unstable();
    assert_eq!(history, acknowledged);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_moves_gets_its_new_tenants_keys_alone() {
    let site = site().await;
    let (moves, stays) = (Backend::start(AT_ONCE).await.unwrap(), Backend::start(AT_ONCE).await.unwrap());
    site.admin.tenant("a", &spec(2_000), &[moves.addr, stays.addr]).await.unwrap();
    site.admin.tenant("b", &spec(2_000), &[]).await.unwrap();
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let load = |tenant: &'static str| {
        let (stop, addr) = (stop.clone(), site.addr);
        tokio::spawn(async move {
            let mut connection = Connection::open(addr).await.unwrap();
            let mut answers = Vec::new();
            for n in 0.. {
                if stop.load(std::sync::atomic::Ordering::SeqCst) {
                    break;
                }
                if !connection.is_open() {
                    connection = Connection::open(addr).await.unwrap();
                }
                let one = Ask::lookup(tenant, format!("{tenant}-{n}"));
                answers.push(connection.ask(&one).await.map(|answer| answer.status.as_u16()));
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            answers
        })
    };
    let (a, b) = (load("a"), load("b"));
    let of = |backend: &Backend, tenant: &str| {
        let key = format!("key={tenant}-");
        backend.seen().into_iter().filter(|seen| seen.target.contains(&key)).collect::<Vec<_>>()
    };
    until("a's requests reach both", || async { of(&moves, "a").len() > 20 && of(&stays, "a").len() > 20 })
        .await;
    assert_eq!(site.admin.remove("tenants/a/backends/s0").await.unwrap().status, 200);
    let told = Instant::now();
    let server = json!({"address": moves.addr});
    assert_eq!(site.admin.put("tenants/b/backends/s0", If::Absent, &server).await.unwrap().status, 201);
    until("b's requests reach it", || async { of(&moves, "b").len() > 20 }).await;
    let more = of(&stays, "a").len() + 20;
    until("a goes on", || async { of(&stays, "a").len() > more }).await;
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    let (a, _) = (a.await.unwrap(), b.await.unwrap());
    let odd: Vec<_> = a.iter().filter(|status| *status.as_ref().unwrap() != 200).collect();
    assert!(odd.is_empty(), "{} of {}: {:?}", odd.len(), a.len(), odd[0]);
    let late = of(&moves, "a").into_iter().filter(|seen| seen.at > told + Duration::from_millis(550)).count();
    assert_eq!((late, of(&stays, "b").len()), (0, 0));
    // What a's pool had open to it is not what b's requests came on.
    let theirs: std::collections::BTreeSet<u64> =
        of(&moves, "a").iter().map(|seen| seen.connection).collect();
    assert!(of(&moves, "b").iter().all(|seen| !theirs.contains(&seen.connection)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_removed_and_added_again_at_once_is_another_process() {
    let site = site().await;
    let server = Backend::start(AT_ONCE).await.unwrap();
    site.admin.tenant("acme", &spec(2_000), &[server.addr]).await.unwrap();
    for n in 0..20 {
        assert_eq!(ask(site.addr, &Ask::lookup("acme", format!("x{n}"))).await.unwrap().status, 200);
    }
    let (before, start) = (server.opened(), Instant::now());
    assert_eq!(site.admin.remove("tenants/acme/backends/s0").await.unwrap().status, 200);
    let again = json!({"address": server.addr, "started_ms": 0});
    assert_eq!(site.admin.put("tenants/acme/backends/s0", If::Absent, &again).await.unwrap().status, 201);
    assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
    // Connections from before lead to a process that may be gone.
    assert_eq!(ask(site.addr, &Ask::lookup("acme", "after")).await.unwrap().status, 200);
    assert!(server.seen().last().unwrap().connection > before);
    // Without a word of when it started it counts as cold from now on.
    assert_eq!(site.admin.remove("tenants/acme/backends/s0").await.unwrap().status, 200);
    let again = json!({"address": server.addr});
    let made = site.admin.put("tenants/acme/backends/s0", If::Absent, &again).await.unwrap();
    assert!(made.body["added_ms"].as_u64().unwrap() > 0, "{made:?}");
}

// Rule 4 over tenants: each tenant's module alone would send a cold server what one tenant may.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tenants_that_share_a_cold_server_do_not_push_it_over_together() {
    let site = site().await;
    let mut warm = Vec::new();
    for n in 0..4 {
        warm.push(Backend::start(Does::Serve(Duration::from_millis(2))).await.unwrap());
        let mut document = spec(2_000);
        document["pool"] = json!({"ramp_ms": 60_000, "start_capacity": 0.3, "fall_multiple": 2.5});
        site.admin.tenant(&format!("t{n}"), &document, &[warm[n].addr]).await.unwrap();
    }
    // Each tenant keeps its own server at some 100 requests a second.
    let load = |tenant: String| {
        let addr = site.addr;
        let ask = move |n| Ask::lookup(&tenant, format!("{tenant}-{n}"));
        let load =
            woodgap_testkit::load::Load { addr, per_s: 100.0, span: Duration::from_secs(4), connections: 32 };
        tokio::spawn(woodgap_testkit::load::run(load, ask))
    };
    let loads: Vec<_> = (0..4).map(|n| load(format!("t{n}"))).collect();
    until("all are served", || async { warm.iter().all(|server| server.requests() > 100) }).await;
    let cold = Backend::start(Does::Serve(Duration::from_millis(2))).await.unwrap();
    for n in 0..4 {
        let server = json!({"address": cold.addr});
        let path = format!("tenants/t{n}/backends/cold");
        assert_eq!(site.admin.put(&path, If::Absent, &server).await.unwrap().status, 201);
    }
    for load in loads {
        let outcome = load.await.unwrap();
        assert_eq!(outcome.lost, 0, "{outcome:?}");
    }
    // At its start it carries 0.3 of what a server does, 100 a second here, and falls over at 2.5 times that.
    let seen: Vec<Instant> = cold.seen().iter().map(|seen| seen.at).collect();
    let most = seen
        .iter()
        .map(|from| seen.iter().filter(|at| **at >= *from && **at < *from + Duration::from_secs(1)).count());
    let most = most.max().unwrap_or(0);
    assert!((1..=60).contains(&most), "{most} in a second");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_tenant_made_again_under_its_name_shares_nothing_with_the_old_one() {
    let site = site().await;
    let (old, new) = (Backend::start(Does::Hold).await.unwrap(), Backend::start(AT_ONCE).await.unwrap());
    site.admin.tenant("acme", &spec(20_000), &[old.addr]).await.unwrap();
    let wait = Duration::from_secs(20);
    let running = asks(site.addr, (0..5).map(|n| Ask::renew("acme", format!("x{n}")).within(wait)).collect());
    until("they run", || async { old.requests() == 5 }).await;
    let first = site.admin.get("tenants/acme/status").await.unwrap().body;
    assert_eq!((&first["held"], &first["connections"]), (&json!(5), &json!(5)));
    assert_eq!(site.admin.remove("tenants/acme").await.unwrap().status, 202);
    site.admin.tenant("acme", &spec(20_000), &[new.addr]).await.unwrap();
    let second = site.admin.get("tenants/acme/status").await.unwrap().body;
    assert_ne!(first["uid"], second["uid"]);
    assert_eq!((&second["held"], &second["connections"]), (&json!(0), &json!(0)));
    // The names of open requests are the old tenant's: here they are free.
    for n in 0..5 {
        let answer = ask(site.addr, &Ask::renew("acme", format!("x{n}"))).await.unwrap();
        assert_eq!((answer.status.as_u16(), answer.body.as_ref()), (200, format!("x{n}").as_bytes()));
    }
    assert_eq!((old.requests(), new.requests()), (5, 5));
    old.does(AT_ONCE);
    for (n, one) in running.into_iter().enumerate() {
        let answer = one.await.unwrap().unwrap();
        assert_eq!((answer.status.as_u16(), answer.body.as_ref()), (200, format!("x{n}").as_bytes()));
    }
    until("the old one is gone", || async { drained(&site.admin).await }).await;
    let second = site.admin.get("tenants/acme/status").await.unwrap().body;
    assert_eq!((&second["served"], &second["failed"], &second["held"]), (&json!(5), &json!(0), &json!(0)));
    assert_eq!(second_effects([&old]) + second_effects([&new]), 0);
    assert_eq!(old.connections(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_of_classes_under_traffic_loses_nothing() {
    let site = site().await;
    let server = Backend::start(Does::Hold).await.unwrap();
    site.admin.tenant("acme", &spec(20_000), &[server.addr]).await.unwrap();
    let wait = Duration::from_secs(20);
    let running = asks(site.addr, (0..3).map(|n| Ask::renew("acme", format!("x{n}")).within(wait)).collect());
    until("they run", || async { server.requests() == 3 }).await;
    let seen = site.admin.get("tenants/acme").await.unwrap();
    let mut document = seen.body["spec"].clone();
    document["classes"]["join"] = json!({"repeat": "unsafe", "deadline_ms": 3_000});
    let put = site.admin.put("tenants/acme", If::Match(&seen.etag.unwrap()), &document).await.unwrap();
    assert_eq!(put.status, 200);
    // An open request's name stays taken over the change.
    let twin = ask(site.addr, &Ask::renew("acme", "x0")).await.unwrap();
    assert_eq!(twin.status, 409);
    server.does(AT_ONCE);
    let join = Ask { class: "join".into(), ..Ask::renew("acme", "j") };
    assert_eq!(ask(site.addr, &join).await.unwrap().status, 200);
    for one in running {
        assert_eq!(one.await.unwrap().unwrap().status, 200);
    }
    let pools =
        |admin: Admin| async move { admin.get("tenants/acme/status").await.unwrap().body["pools"] == 1 };
    until("the old pool has ended", || pools(site.admin.clone())).await;
    assert_eq!(second_effects([&server]), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_pool_that_nobody_uses_is_let_go_and_started_again() {
    let site = configured(|config| config.pool_idle = Duration::from_millis(300)).await;
    let server = Backend::start(AT_ONCE).await.unwrap();
    site.admin.tenant("acme", &spec(2_000), &[server.addr]).await.unwrap();
    let pools = |admin: Admin, count: usize| async move {
        admin.get("tenants/acme/status").await.unwrap().body["pools"] == count
    };
    assert!(pools(site.admin.clone(), 0).await);
    for round in 0..3 {
        let answer = ask(site.addr, &Ask::lookup("acme", format!("x{round}"))).await.unwrap();
        assert_eq!(answer.status, 200);
        until("let go", || pools(site.admin.clone(), 0)).await;
        until("its connections are closed", || async { server.connections() == 0 }).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_that_cannot_be_written_refuses_changes_and_traffic_goes_on() {
    for ails in [Ails::Full, Ails::ReadOnly] {
        let doctor = Doctor::default();
        let disk = doctor.clone();
        let start =
            move || Site::with(|_| {}, |config| Box::new(disk::store(&Site::file(config), &disk))).unwrap();
        let site = tokio::task::spawn_blocking(start).await.unwrap();
        let server = Backend::start(AT_ONCE).await.unwrap();
        site.admin.tenant("acme", &spec(2_000), &[server.addr]).await.unwrap();
        doctor.says(ails);
        for n in 0..3 {
            let put = site.admin.put("tenants/new", If::Absent, &spec(2_000)).await.unwrap();
            assert_eq!((put.status, put.kind.as_str()), (503, "application/problem+json"), "{put:?}");
            assert!(put.body["detail"].as_str().unwrap().contains("cannot be written"), "{put:?}");
            assert_eq!(ask(site.addr, &Ask::lookup("acme", format!("x{n}"))).await.unwrap().status, 200);
            assert_eq!(site.admin.get("tenants/new").await.unwrap().status, 404);
        }
        doctor.says(Ails::Nothing);
        let put = site.admin.put("tenants/new", If::Absent, &spec(2_000)).await.unwrap();
        assert_eq!(put.status, 201, "{put:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hostile_administrators_do_not_touch_traffic() {
    let site = site().await;
    let server = Backend::start(AT_ONCE).await.unwrap();
    site.admin.tenant("acme", &spec(2_000), &[server.addr]).await.unwrap();
    // Connections that say nothing, and some that say a part: far more than may be open.
    let mut idle = Vec::new();
    for n in 0..1_000 {
        let mut stream = tokio::net::TcpStream::connect(site.admin.addr).await.unwrap();
        if n % 2 == 0 {
            let part = b"PUT /v1/tenants/acme HTTP/1.1\r\nHost: x\r\nX-Slow: ";
            let _ = tokio::io::AsyncWriteExt::write_all(&mut stream, part).await;
        }
        idle.push(stream);
    }
    for n in 0..50 {
        assert_eq!(ask(site.addr, &Ask::lookup("acme", format!("x{n}"))).await.unwrap().status, 200);
    }
    // An administrator still gets in: idle ones make room.
    assert_eq!(site.admin.get("tenants/acme").await.unwrap().status, 200);
    drop(idle);
    let raw = |text: Vec<u8>| {
        let addr = site.admin.addr;
        async move {
            let mut stream = tokio::net::TcpStream::connect(addr).await.unwrap();
            let _ = tokio::io::AsyncWriteExt::write_all(&mut stream, &text).await;
            let mut answer = vec![0; 256];
            let read = tokio::io::AsyncReadExt::read(&mut stream, &mut answer);
            let count = tokio::time::timeout(PATIENCE, read).await.unwrap().unwrap_or(0);
            String::from_utf8_lossy(&answer[..count]).lines().next().unwrap_or("").to_owned()
        }
    };
    let head = |length: usize, more: &str| {
        format!(
            "PUT /v1/tenants/evil HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\nIf-None-Match: *\r\n\
            Content-Type: application/json\r\n{more}Content-Length: {length}\r\n\r\n",
            site.admin.secret
        )
    };
    let with = |body: &[u8], more: &str| [head(body.len(), more).as_bytes(), body].concat();
    let deep = "[".repeat(50_000);
    for (what, text, status) in [
        ("too long", with(&vec![b' '; 70_000], ""), "413"),
        ("a length that lies", head(1 << 40, "").into_bytes(), "413"),
        ("nested without end", with(deep.as_bytes(), ""), "400"),
        ("no text", with(&[0xff, 0xfe, 0x00], ""), "400"),
        ("no JSON", with(b"{\"classes\": ", ""), "400"),
        ("two documents", with(b"{\"classes\": {}} {}", ""), "400"),
        ("two lengths", with(b"{}", "Content-Length: 3\r\n"), "400"),
        ("an unknown field", with(b"{\"classes\": {}, \"class\": {}}", ""), "400"),
        ("no classes", with(b"{\"classes\": {}}", ""), "422"),
        ("a head without end", [head(2, "").as_bytes(), &vec![b'a'; 100_000]].concat(), "400"),
        ("no HTTP", b"\x16\x03\x01\x02\x00\x01\x00".to_vec(), "400"),
        (
            "no token",
            b"PUT /v1/tenants/evil HTTP/1.1\r\nHost: x\r\nContent-Length: 9999\r\n\r\n".to_vec(),
            "401",
        ),
        ("a path that climbs", b"GET /v1/tenants/../../etc HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(), "401"),
    ] {
        let answer = raw(text).await;
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{what}: {answer}");
    }
    assert_eq!(site.admin.get("tenants/evil").await.unwrap().status, 404);
    assert_eq!(ask(site.addr, &Ask::lookup("acme", "last")).await.unwrap().status, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_token_gives_its_right_and_no_more() {
    let site = site().await;
    site.admin.tenant("acme", &spec(2_000), &[]).await.unwrap();
    site.admin.tenant("other", &spec(2_000), &[]).await.unwrap();
    let acme = site.admin_with(ACME);
    let server = json!({"address": "127.0.0.1:9"});
    let status = |reply: std::io::Result<Reply>| reply.unwrap().status;
    assert_eq!(status(acme.put("tenants/acme/backends/s", If::Absent, &server).await), 201);
    assert_eq!(status(acme.get("tenants/acme").await), 200);
    assert_eq!(status(acme.get("tenants/acme/status").await), 200);
    assert_eq!(status(acme.remove("tenants/acme/backends/s").await), 200);
    for path in
        ["tenants", "tenants/other", "tenants/other/backends", "tenants/other/status", "changes?after=0"]
    {
        let reply = acme.get(path).await.unwrap();
        assert_eq!((reply.status, reply.kind.as_str()), (403, "application/problem+json"), "{path}");
    }
    assert_eq!(status(acme.put("tenants/acme", If::Absent, &spec(9)).await), 403);
    assert_eq!(status(acme.put("tenants/other/backends/s", If::Absent, &server).await), 403);
    assert_eq!(status(acme.remove("tenants/acme").await), 403);
    let nobody = site.admin_with("not-a-known-secret-0");
    let reply = nobody.get("tenants").await.unwrap();
    assert_eq!((reply.status, reply.body["status"].as_u64()), (401, Some(401)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_write_says_what_it_has_seen() {
    let site = site().await;
    let put = |seen| {
        let admin = site.admin.clone();
        async move { admin.put("tenants/acme", seen, &spec(2_000)).await.unwrap() }
    };
    assert_eq!(put(If::Unsaid).await.status, 428);
    assert_eq!(put(If::Match("\"r1\"")).await.status, 404);
    let made = put(If::Absent).await;
    assert_eq!((made.status, made.etag.as_deref()), (201, Some("\"r1\"")));
    let lost = put(If::Absent).await;
    assert_eq!((lost.status, lost.etag.as_deref()), (412, Some("\"r1\"")));
    assert_eq!(put(If::Match("*")).await.status, 428);
    assert_eq!(put(If::Match("W/\"r1\"")).await.status, 412);
    assert_eq!(put(If::Match("\"r1\"")).await.etag.as_deref(), Some("\"r2\""));
    assert_eq!(site.admin.delete("tenants/acme", If::Unsaid).await.unwrap().status, 428);
    assert_eq!(site.admin.delete("tenants/acme", If::Match("\"r1\"")).await.unwrap().status, 412);
    let taken = json!({"match": {"orgs": ["acme"]}, "classes": {"c": {"repeat": "safe", "deadline_ms": 5}}});
    let taken = site.admin.put("tenants/other", If::Absent, &taken).await.unwrap();
    assert_eq!((taken.status, &taken.body["errors"][0]["field"]), (422, &json!("match/orgs/0")));
    let wrong = site.admin.call(Method::PATCH, "tenants/acme", If::Unsaid, None).await.unwrap();
    assert_eq!((wrong.status, wrong.kind.as_str()), (405, "application/problem+json"));
    assert_eq!(site.admin.get("nowhere").await.unwrap().kind, "application/problem+json");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lists_are_paged_and_changes_are_waited_for() {
    let site = site().await;
    for name in ["a", "b", "c", "d", "e"] {
        site.admin.tenant(name, &spec(2_000), &[]).await.unwrap();
    }
    let mut names = Vec::new();
    let mut path = "tenants?limit=2".to_owned();
    loop {
        let page = site.admin.get(&path).await.unwrap().body;
        names.extend(
            page["tenants"].as_array().unwrap().iter().map(|t| t["name"].as_str().unwrap().to_owned()),
        );
        let Some(next) = page["next"].as_str() else { break };
        path = format!("tenants?limit=2&after={next}");
    }
    assert_eq!(names, ["a", "b", "c", "d", "e"]);
    assert_eq!(site.admin.get("tenants?limit=0").await.unwrap().status, 400);
    assert_eq!(site.admin.get("tenants?page=2").await.unwrap().status, 400);
    let admin = site.admin.clone();
    // Answered before there is a change, the page would be empty.
    let wait = tokio::spawn(async move { admin.get("changes?after=5").await.unwrap() });
    let early = tokio::time::timeout(Duration::from_millis(100), site.admin.get("changes?after=5")).await;
    assert!(early.is_err(), "{early:?}");
    site.admin.tenant("f", &spec(2_000), &[]).await.unwrap();
    let page = tokio::time::timeout(PATIENCE, wait).await.unwrap().unwrap().body;
    assert_eq!((&page["revision"], &page["changes"][0]["tenant"]), (&json!(6), &json!("f")));
    let description = site.admin.get("openapi.json").await.unwrap().body;
    assert!(description["openapi"].as_str().unwrap().starts_with("3.1"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_names_its_tenant_by_listener_authority_or_org() {
    let site = configured(|config| {
        config.listen.push(woodgap_testkit::hosted::listener("north"));
    })
    .await;
    let mut servers = Vec::new();
    for (name, matches) in [
        ("north", json!({"listeners": ["north"]})),
        ("hosts", json!({"authorities": ["hosts.example"]})),
        ("orgs", json!({})),
    ] {
        let server = Backend::start(AT_ONCE).await.unwrap();
        let mut document = spec(2_000);
        document["match"] = matches;
        site.admin.tenant(name, &document, &[server.addr]).await.unwrap();
        servers.push(server);
    }
    let north = site.listener("north").unwrap();
    let plain = |host: &str, org: Option<&str>, n: u32| Ask {
        host: host.into(),
        org: org.map(str::to_owned),
        ..Ask::lookup("", format!("x{n}"))
    };
    assert_eq!(ask(north, &plain("any", None, 0)).await.unwrap().status, 200);
    assert_eq!(ask(site.addr, &plain("Hosts.Example:80", None, 1)).await.unwrap().status, 200);
    assert_eq!(ask(site.addr, &plain("any", Some("orgs"), 2)).await.unwrap().status, 200);
    assert_eq!(servers.iter().map(Backend::requests).collect::<Vec<_>>(), [1, 1, 1]);
    assert_eq!(ask(site.addr, &plain("any", None, 3)).await.unwrap().status, 404);
    // A tenant's servers are not reached under another's name.
    assert_eq!(ask(north, &plain("any", Some("orgs"), 4)).await.unwrap().status, 400);
    assert_eq!(ask(site.addr, &plain("hosts.example", Some("orgs"), 5)).await.unwrap().status, 400);
    assert_eq!(servers.iter().map(Backend::requests).collect::<Vec<_>>(), [1, 1, 1]);
}

// A tenant that fills all that it may leaves another its part: requests, connections, at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_quiet_tenant_finds_its_part_free() {
    let site = configured(|config| config.sockets = 200).await;
    let (stuck, quiet) = (Backend::start(Does::Hold).await.unwrap(), Backend::start(AT_ONCE).await.unwrap());
    site.admin.tenant("pushy", &spec(20_000), &[stuck.addr]).await.unwrap();
    site.admin.tenant("quiet", &spec(2_000), &[quiet.addr]).await.unwrap();
    let wait = Duration::from_secs(20);
    let mut pushed =
        asks(site.addr, (0..60).map(|n| Ask::lookup("pushy", format!("p{n}")).within(wait)).collect());
    let mut refused = 0;
    // More and more until some are refused: it holds all that it may.
    for round in 0..20 {
        if refused > 0 {
            break;
        }
        pushed.extend(asks(
            site.addr,
            (0..5).map(|n| Ask::lookup("pushy", format!("q{round}-{n}")).within(wait)).collect(),
        ));
        tokio::time::sleep(Duration::from_millis(50)).await;
        refused = pushed.iter().filter(|task| task.is_finished()).count();
    }
    assert!(refused > 0, "it never had enough");
    for n in 0..20 {
        let start = Instant::now();
        let answer = ask(site.addr, &Ask::lookup("quiet", format!("x{n}"))).await.unwrap();
        assert_eq!(answer.status, 200, "{n}");
        assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    }
    stuck.does(AT_ONCE);
    for task in pushed {
        if let Ok(answer) = task.await.unwrap() {
            assert!(answer.status == 200 || answer.retry_after().is_some(), "{answer:?}");
        }
    }
}

// A pool with one server left: what answers late there is waited for, as nobody else could answer at all.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_answer_of_the_only_server_is_waited_for() {
    let site = site().await;
    let server = Backend::start(AT_ONCE).await.unwrap();
    site.admin.tenant("acme", &spec(10_000), &[server.addr]).await.unwrap();
    let mut connection = Connection::open(site.addr).await.unwrap();
    // Until answers are known to take little.
    for n in 0..400 {
        let one = Ask::lookup("acme", format!("x{n}"));
        assert_eq!(connection.ask(&one).await.unwrap().status, 200);
    }
    server.does(Does::Serve(Duration::from_millis(1_500)));
    let late = Ask::lookup("acme", "late").within(Duration::from_secs(10));
    assert_eq!(connection.ask(&late).await.unwrap().status, 200);
    assert_eq!(server.requests(), 401);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_quota_is_kept_and_says_when_to_come_back() {
    let site = site().await;
    let server = Backend::start(AT_ONCE).await.unwrap();
    let mut document = spec(2_000);
    document["quota_per_s"] = json!(10.0);
    site.admin.tenant("acme", &document, &[server.addr]).await.unwrap();
    let mut connection = Connection::open(site.addr).await.unwrap();
    let (mut served, mut wait) = (0, None);
    for n in 0..20 {
        let answer = connection.ask(&Ask::lookup("acme", format!("x{n}"))).await.unwrap();
        match answer.status.as_u16() {
            200 => served += 1,
            429 => wait = answer.retry_after(),
            other => panic!("{other}"),
        }
    }
    assert!((2..=6).contains(&served), "{served}");
    let wait = wait.expect("advice");
    assert!(wait > 0.0 && wait <= 0.1, "{wait}");
    tokio::time::sleep(Duration::from_secs_f64(wait)).await;
    assert_eq!(connection.ask(&Ask::lookup("acme", "back")).await.unwrap().status, 200);
    assert_eq!(server.requests(), served + 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restart_finds_tenants_as_they_were() {
    let mut site = site().await;
    let server = Backend::start(AT_ONCE).await.unwrap();
    site.admin.tenant("acme", &spec(2_000), &[server.addr]).await.unwrap();
    site.admin.tenant("old", &spec(2_000), &[server.addr]).await.unwrap();
    let before = site.admin.get("tenants/acme").await.unwrap();
    // Deleted, and perhaps still draining when the node ends: the next one finishes it.
    assert_eq!(site.admin.remove("tenants/old").await.unwrap().status, 202);
    let mut site = tokio::task::spawn_blocking(move || site.again().map(|()| site)).await.unwrap().unwrap();
    let after = site.admin.get("tenants/acme").await.unwrap();
    assert_eq!((after.etag, after.body), (before.etag, before.body));
    assert_eq!(ask(site.addr, &Ask::lookup("acme", "x")).await.unwrap().status, 200);
    assert_eq!(ask(site.addr, &Ask::lookup("old", "y")).await.unwrap().status, 404);
    until("the old one is gone", || async { drained(&site.admin).await }).await;
    tokio::task::spawn_blocking(move || site.stop()).await.unwrap().unwrap();
}

// Nothing new is taken from the moment that the delete is answered: not what had begun to come either.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_whose_body_comes_after_the_delete_is_not_taken() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let site = site().await;
    let server = Backend::start(AT_ONCE).await.unwrap();
    site.admin.tenant("acme", &spec(2_000), &[server.addr]).await.unwrap();
    let mut stream = tokio::net::TcpStream::connect(site.addr).await.unwrap();
    let head = "POST /api?key=k HTTP/1.1\r\nHost: x\r\nX-Org: acme\r\nX-Txn: t\r\nX-Lane: renew\r\n\
        Content-Length: 5\r\n\r\nhe";
    stream.write_all(head.as_bytes()).await.unwrap();
    let held =
        |admin: Admin| async move { admin.get("tenants/acme/status").await.unwrap().body["held"] == 1 };
    until("its head is read", || held(site.admin.clone())).await;
    assert_eq!(site.admin.remove("tenants/acme").await.unwrap().status, 202);
    stream.write_all(b"llo").await.unwrap();
    let mut answer = String::new();
    tokio::time::timeout(PATIENCE, stream.read_to_string(&mut answer)).await.unwrap().unwrap();
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    until("gone", || async { drained(&site.admin).await }).await;
    assert_eq!(server.requests(), 0);
}
