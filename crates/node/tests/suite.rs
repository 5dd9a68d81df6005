//! What a hosted node promises whatever is spoken: one source, run over HTTP/1.1 and HTTP/3 from clients times
//! HTTP/1.1 and HTTP/3 to servers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use woodgap_testkit::admin::{spec, Admin, If};
use woodgap_testkit::backend::{second_effects, Backend, Does};
use woodgap_testkit::client::{Answer, Ask};
use woodgap_testkit::outcomes;
use woodgap_testkit::way::{document, Door, Place, Way};
use woodgap_testkit::{until, PATIENCE};

const AT_ONCE: Does = Does::Serve(Duration::ZERO);
const LONG: Duration = Duration::from_secs(20);

macro_rules! ways {
    ($names:tt) => {
        ways!(h1_to_h1, 0, $names);
        ways!(h1_to_h3, 1, $names);
        ways!(h3_to_h1, 2, $names);
        ways!(h3_to_h3, 3, $names);
    };
    ($module:ident, $way:expr, [$($name:ident,)*]) => {
        mod $module {
            $(
                #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
                async fn $name() {
                    super::$name(super::Way::ALL[$way]).await;
                }
            )*
        }
    };
}

ways!([
    a_tenant_deleted_under_its_requests_answers_each_once_and_leaves_nothing,
    a_server_that_moves_gets_its_new_tenants_keys_alone,
    a_server_removed_and_added_again_at_once_is_another_process,
    a_tenant_made_again_under_its_name_shares_nothing_with_the_old_one,
    a_change_of_classes_under_traffic_loses_nothing,
    a_pool_that_nobody_uses_is_let_go_and_started_again,
    a_quiet_tenant_finds_its_part_free,
    a_late_answer_of_the_only_server_is_waited_for,
    a_quota_is_kept_and_says_when_to_come_back,
    a_restart_finds_tenants_as_they_were,
    a_request_whose_body_comes_after_the_delete_is_not_taken,
    a_request_under_an_open_id_is_turned_away,
    a_request_whose_client_goes_away_is_withdrawn,
    a_request_is_answered_by_its_deadline,
    a_server_that_drains_finishes_and_gets_nothing_new,
    a_server_that_is_not_there_costs_nobody_an_answer,
    a_node_that_stops_finishes_what_it_took,
]);

async fn drained(admin: &Admin) -> bool {
    admin.get("tenants?state=draining").await.unwrap().body["tenants"] == json!([])
}

async fn figure(admin: &Admin, tenant: &str, name: &str) -> u64 {
    let status = admin.get(&format!("tenants/{tenant}/status")).await.unwrap();
    status.body[name].as_u64().unwrap_or_else(|| panic!("{name}: {status:?}"))
}

type Asked = tokio::task::JoinHandle<std::io::Result<Answer>>;

/// Asks at once, each on a connection of its own.
fn asks(door: &Door, asks: impl IntoIterator<Item = Ask>) -> Vec<Asked> {
    let asked = |one: Ask| {
        let door = door.clone();
        tokio::spawn(async move { door.ask(&one).await })
    };
    asks.into_iter().map(asked).collect()
}

async fn place(way: Way) -> Place {
    Place::start(way).await.unwrap()
}

/// A server to which connecting hangs, until it is freed.
enum Deaf {
    /// Its queue is full and nobody accepts.
    Tcp(tokio::net::TcpListener, Vec<tokio::net::TcpStream>),
    /// Nobody reads its datagrams, as long as it is there.
    Udp(#[allow(dead_code)] tokio::net::UdpSocket),
}

impl Deaf {
    async fn start(way: Way) -> (Deaf, Value) {
        if way.to3 {
            let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
            let addr = socket.local_addr().unwrap();
            let document =
                json!({"address": addr, "started_ms": 0, "protocol": "http3", "pin": "0f".repeat(32)});
            return (Deaf::Udp(socket), document);
        }
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(1).unwrap();
        let addr: SocketAddr = listener.local_addr().unwrap();
        let mut fill = Vec::new();
        while let Ok(Ok(stream)) =
            tokio::time::timeout(Duration::from_millis(300), tokio::net::TcpStream::connect(addr)).await
        {
            fill.push(stream);
        }
        (Deaf::Tcp(listener, fill), json!({"address": addr, "started_ms": 0}))
    }

    /// Accepts again: the bytes of requests that come within 1.5 s.
    async fn hears(self) -> usize {
        let Deaf::Tcp(listener, fill) = self else { return 0 };
        drop(fill);
        let mut bytes = 0;
        while let Ok(Ok((mut stream, _))) =
            tokio::time::timeout(Duration::from_millis(1_500), listener.accept()).await
        {
            let mut buffer = [0; 64];
            let read = tokio::io::AsyncReadExt::read(&mut stream, &mut buffer);
            bytes +=
                tokio::time::timeout(Duration::from_millis(200), read).await.map_or(0, |n| n.unwrap_or(0));
        }
        bytes
    }
}

// Delete while requests are in flight: at a silent server, and between tries of a renew.
async fn a_tenant_deleted_under_its_requests_answers_each_once_and_leaves_nothing(way: Way) {
    let place = place(way).await;
    let (admin, door) = (&place.site.admin, place.door());
    let silent = place.server(Does::Hold).await.unwrap();
    let (deaf, deaf_document) = Deaf::start(way).await;
    let mut slow = spec(2_000);
    slow["pool"] = json!({"dial_timeout_ms": 10_000});
    place.tenant("acme", &slow, &[&silent]).await.unwrap();
    place.tenant("other", &spec(2_000), &[&silent]).await.unwrap();
    // A connection with nothing on it, which has carried one of its requests.
    silent.does(AT_ONCE);
    let mut idle = door.connect().await.unwrap();
    assert_eq!(idle.ask(&Ask::lookup("acme", "before")).await.unwrap().status, 200);
    silent.does(Does::Hold);
    let held =
        (0..4).flat_map(|n| [Ask::lookup("acme", format!("l{n}")), Ask::renew("acme", format!("r{n}"))]);
    let held = asks(&door, held);
    until("held at the silent server", || async { silent.requests() == 9 }).await;
    // These find a server that refuses, and then wait for a connection to one that does not accept.
    let between = place.server(Does::TurnAway).await.unwrap();
    place.tenant("between", &slow, &[&between]).await.unwrap();
    let put = admin.put("tenants/between/backends/deaf", If::Absent, &deaf_document).await.unwrap();
    assert_eq!(put.status, 201, "{put:?}");
    let tries = asks(&door, (0..8).map(|n| Ask::renew("between", format!("b{n}"))));
    until("between tries", || async { figure(admin, "between", "held").await == 8 }).await;

    let sent = silent.requests();
    for tenant in ["acme", "between"] {
        assert_eq!(admin.remove(&format!("tenants/{tenant}")).await.unwrap().status, 202);
        // From the moment of the answer nothing new is taken.
        let new = door.ask(&Ask::lookup(tenant, format!("new-{tenant}"))).await.unwrap();
        assert_eq!((new.status.as_u16(), new.body.as_ref()), (404, b"no such tenant\n".as_slice()));
    }
    silent.gone();
    between.gone();
    let (at_between, deleted) = (between.requests(), Instant::now());
    for one in tries {
        // Refused, as nothing of it ever ran, and at once: nothing may be sent any more.
        let answer = one.await.unwrap().expect("an answer in time");
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    let refused = deleted.elapsed();
    assert!(refused < Duration::from_secs(1), "refused {refused:?} after the delete");
    // The deaf one accepts again after the grace: what waited for it must not be written any more.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let heard = tokio::spawn(deaf.hears());
    for (n, one) in held.into_iter().enumerate() {
        let answer = one.await.unwrap().expect("an answer in time");
        // A renew may have run, which only a failure allows for; a lookup may be refused.
        let failed = answer.status == 502 || answer.status == 504;
        assert!(failed || (n % 2 == 0 && answer.status == 503), "{answer:?}");
        assert!(answer.spent < Duration::from_secs(2), "{answer:?}");
    }
    until("both are gone", || drained(admin)).await;
    assert!(deleted.elapsed() < Duration::from_secs(4), "{:?}", deleted.elapsed());
    assert_eq!(heard.await.unwrap(), 0, "written to a deleted tenant's server");
    assert_eq!((silent.requests(), between.requests()), (sent, at_between));
    assert_eq!((silent.late_sends(), between.late_sends(), second_effects([&silent, &between])), (0, 0, 0));
    // Its connections are closed: to servers, and the idle one of a client.
    until("no connection is left", || async { silent.connections() == 0 && between.connections() == 0 })
        .await;
    until("the client's is closed", || async { !idle.is_open() }).await;
    let changes = admin.get("changes?after=0&limit=500").await.unwrap().body;
    let deeds: Vec<&Value> = changes["changes"].as_array().unwrap().iter().map(|c| &c["deed"]).collect();
    assert_eq!(deeds.iter().filter(|deed| **deed == "tenant_gone").count(), 2, "{deeds:?}");
    // The others were not touched.
    silent.back();
    silent.does(AT_ONCE);
    assert_eq!(door.ask(&Ask::lookup("other", "o")).await.unwrap().status, 200);
}

async fn a_server_that_moves_gets_its_new_tenants_keys_alone(way: Way) {
    let place = place(way).await;
    let admin = &place.site.admin;
    let (moves, stays) = (place.server(AT_ONCE).await.unwrap(), place.server(AT_ONCE).await.unwrap());
    place.tenant("a", &spec(2_000), &[&moves, &stays]).await.unwrap();
    place.tenant("b", &spec(2_000), &[]).await.unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    let load = |tenant: &'static str| {
        let (stop, door) = (stop.clone(), place.door());
        tokio::spawn(async move {
            let mut connection = door.connect().await.unwrap();
            let mut answers = Vec::new();
            for n in 0.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                if !connection.is_open() {
                    connection = door.connect().await.unwrap();
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
    assert_eq!(admin.remove("tenants/a/backends/s0").await.unwrap().status, 200);
    let told = Instant::now();
    let mut cold = document(&moves);
    cold.as_object_mut().unwrap().remove("started_ms");
    assert_eq!(admin.put("tenants/b/backends/s0", If::Absent, &cold).await.unwrap().status, 201);
    until("b's requests reach it", || async { of(&moves, "b").len() > 20 }).await;
    let more = of(&stays, "a").len() + 20;
    until("a goes on", || async { of(&stays, "a").len() > more }).await;
    stop.store(true, Ordering::SeqCst);
    let (a, _) = (a.await.unwrap(), b.await.unwrap());
    let odd: Vec<_> = a.iter().filter(|status| *status.as_ref().unwrap() != 200).collect();
    assert!(odd.is_empty(), "{} of {}: {:?}", odd.len(), a.len(), odd[0]);
    let late = of(&moves, "a").into_iter().filter(|seen| seen.at > told + Duration::from_millis(550)).count();
    assert_eq!((late, of(&stays, "b").len()), (0, 0));
    // What a's pool had open to it is not what b's requests came on.
    let theirs: BTreeSet<u64> = of(&moves, "a").iter().map(|seen| seen.connection).collect();
    assert!(of(&moves, "b").iter().all(|seen| !theirs.contains(&seen.connection)));
}

async fn a_server_removed_and_added_again_at_once_is_another_process(way: Way) {
    let place = place(way).await;
    let admin = &place.site.admin;
    let server = place.server(AT_ONCE).await.unwrap();
    place.tenant("acme", &spec(2_000), &[&server]).await.unwrap();
    let mut client = place.door().connect().await.unwrap();
    for n in 0..20 {
        assert_eq!(client.ask(&Ask::lookup("acme", format!("x{n}"))).await.unwrap().status, 200);
    }
    let (before, start) = (server.opened(), Instant::now());
    assert_eq!(admin.remove("tenants/acme/backends/s0").await.unwrap().status, 200);
    assert_eq!(place.add("acme", "s0", &server).await.unwrap().status, 201);
    assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
    // Connections from before lead to a process that may be gone.
    assert_eq!(client.ask(&Ask::lookup("acme", "after")).await.unwrap().status, 200);
    assert!(server.seen().last().unwrap().connection > before);
    // Without a word of when it started it counts as cold from now on.
    assert_eq!(admin.remove("tenants/acme/backends/s0").await.unwrap().status, 200);
    let mut cold = document(&server);
    cold.as_object_mut().unwrap().remove("started_ms");
    let made = admin.put("tenants/acme/backends/s0", If::Absent, &cold).await.unwrap();
    assert!(made.body["added_ms"].as_u64().unwrap() > 0, "{made:?}");
}

async fn a_tenant_made_again_under_its_name_shares_nothing_with_the_old_one(way: Way) {
    let place = place(way).await;
    let (admin, door) = (&place.site.admin, place.door());
    let (old, new) = (place.server(Does::Hold).await.unwrap(), place.server(AT_ONCE).await.unwrap());
    place.tenant("acme", &spec(20_000), &[&old]).await.unwrap();
    let running = asks(&door, (0..5).map(|n| Ask::renew("acme", format!("x{n}")).within(LONG)));
    until("they run", || async { old.requests() == 5 }).await;
    let first = admin.get("tenants/acme/status").await.unwrap().body;
    assert_eq!((&first["held"], &first["connections"]), (&json!(5), &json!(5)));
    assert_eq!(admin.remove("tenants/acme").await.unwrap().status, 202);
    place.tenant("acme", &spec(20_000), &[&new]).await.unwrap();
    let second = admin.get("tenants/acme/status").await.unwrap().body;
    assert_ne!(first["uid"], second["uid"]);
    assert_eq!((&second["held"], &second["connections"]), (&json!(0), &json!(0)));
    // The names of open requests are the old tenant's: here they are free.
    for n in 0..5 {
        let answer = door.ask(&Ask::renew("acme", format!("x{n}"))).await.unwrap();
        assert_eq!((answer.status.as_u16(), answer.body.as_ref()), (200, format!("x{n}").as_bytes()));
    }
    assert_eq!((old.requests(), new.requests()), (5, 5));
    old.does(AT_ONCE);
    for (n, one) in running.into_iter().enumerate() {
        let answer = one.await.unwrap().unwrap();
        assert_eq!((answer.status.as_u16(), answer.body.as_ref()), (200, format!("x{n}").as_bytes()));
    }
    until("the old one is gone", || drained(admin)).await;
    let second = admin.get("tenants/acme/status").await.unwrap().body;
    assert_eq!((&second["served"], &second["failed"], &second["held"]), (&json!(5), &json!(0), &json!(0)));
    assert_eq!(second_effects([&old]) + second_effects([&new]), 0);
    until("its connections are closed", || async { old.connections() == 0 }).await;
}

async fn a_change_of_classes_under_traffic_loses_nothing(way: Way) {
    let place = place(way).await;
    let (admin, door) = (&place.site.admin, place.door());
    let server = place.server(Does::Hold).await.unwrap();
    place.tenant("acme", &spec(20_000), &[&server]).await.unwrap();
    let running = asks(&door, (0..3).map(|n| Ask::renew("acme", format!("x{n}")).within(LONG)));
    until("they run", || async { server.requests() == 3 }).await;
    let seen = admin.get("tenants/acme").await.unwrap();
    let mut changed = seen.body["spec"].clone();
    changed["classes"]["join"] = json!({"repeat": "unsafe", "deadline_ms": 3_000});
    let put = admin.put("tenants/acme", If::Match(&seen.etag.unwrap()), &changed).await.unwrap();
    assert_eq!(put.status, 200);
    // An open request's name stays taken over the change.
    assert_eq!(door.ask(&Ask::renew("acme", "x0")).await.unwrap().status, 409);
    server.does(AT_ONCE);
    let join = Ask { class: "join".into(), ..Ask::renew("acme", "j") };
    assert_eq!(door.ask(&join).await.unwrap().status, 200);
    for one in running {
        assert_eq!(one.await.unwrap().unwrap().status, 200);
    }
    until("the old pool has ended", || async { figure(admin, "acme", "pools").await == 1 }).await;
    assert_eq!(second_effects([&server]), 0);
}

async fn a_pool_that_nobody_uses_is_let_go_and_started_again(way: Way) {
    let place = Place::configured(way, |config| config.pool_idle = Duration::from_millis(300)).await.unwrap();
    let admin = &place.site.admin;
    let server = place.server(AT_ONCE).await.unwrap();
    place.tenant("acme", &spec(2_000), &[&server]).await.unwrap();
    assert_eq!(figure(admin, "acme", "pools").await, 0);
    for round in 0..3 {
        assert_eq!(place.ask(&Ask::lookup("acme", format!("x{round}"))).await.unwrap().status, 200);
        until("let go", || async { figure(admin, "acme", "pools").await == 0 }).await;
        until("its connections are closed", || async { server.connections() == 0 }).await;
    }
}

// A tenant that fills all that it may leaves another its part: requests, connections, at once.
async fn a_quiet_tenant_finds_its_part_free(way: Way) {
    let place = Place::configured(way, |config| config.sockets = 200).await.unwrap();
    let door = place.door();
    let (stuck, quiet) = (place.server(Does::Hold).await.unwrap(), place.server(AT_ONCE).await.unwrap());
    place.tenant("pushy", &spec(20_000), &[&stuck]).await.unwrap();
    place.tenant("quiet", &spec(2_000), &[&quiet]).await.unwrap();
    let ask = |n: usize| Ask::lookup("pushy", format!("p{n}")).within(LONG);
    let mut pushed = asks(&door, (0..60).map(ask));
    // More and more until some are refused: it holds all that it may, and the rest has come and gone.
    let refused = |pushed: &[Asked]| pushed.iter().filter(|task| task.is_finished()).count();
    for round in 0..20 {
        until("each is held or refused", || async {
            figure(&place.site.admin, "pushy", "held").await as usize + refused(&pushed) == pushed.len()
        })
        .await;
        if refused(&pushed) > 0 {
            break;
        }
        pushed.extend(asks(&door, (0..5).map(|n| ask(100 + 5 * round + n))));
    }
    assert!(refused(&pushed) > 0, "it never had enough");
    for n in 0..20 {
        let start = Instant::now();
        let answer = door.ask(&Ask::lookup("quiet", format!("x{n}"))).await.unwrap();
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
async fn a_late_answer_of_the_only_server_is_waited_for(way: Way) {
    let place = place(way).await;
    let server = place.server(AT_ONCE).await.unwrap();
    place.tenant("acme", &spec(10_000), &[&server]).await.unwrap();
    let mut client = place.door().connect().await.unwrap();
    // Until answers are known to take little.
    for n in 0..400 {
        assert_eq!(client.ask(&Ask::lookup("acme", format!("x{n}"))).await.unwrap().status, 200);
    }
    server.does(Does::Serve(Duration::from_millis(1_500)));
    let late = Ask::lookup("acme", "late").within(Duration::from_secs(10));
    assert_eq!(client.ask(&late).await.unwrap().status, 200);
    assert_eq!(server.requests(), 401);
}

async fn a_quota_is_kept_and_says_when_to_come_back(way: Way) {
    let place = place(way).await;
    let server = place.server(AT_ONCE).await.unwrap();
    let mut slow = spec(2_000);
    slow["quota_per_s"] = json!(10.0);
    place.tenant("acme", &slow, &[&server]).await.unwrap();
    let mut client = place.door().connect().await.unwrap();
    let (mut served, mut wait) = (0, None);
    for n in 0..1_000 {
        let answer = client.ask(&Ask::lookup("acme", format!("x{n}"))).await.unwrap();
        match answer.status.as_u16() {
            200 => served += 1,
            429 => {
                wait = answer.retry_after();
                break;
            }
            other => panic!("{other}"),
        }
    }
    // Two may come at once after a quiet time.
    assert!(served >= 2, "{served}");
    let wait = wait.expect("advice");
    assert!(wait > 0.0 && wait <= 0.1, "{wait}");
    tokio::time::sleep(Duration::from_secs_f64(wait)).await;
    assert_eq!(client.ask(&Ask::lookup("acme", "back")).await.unwrap().status, 200);
    assert_eq!(server.requests(), served + 1);
}

async fn a_restart_finds_tenants_as_they_were(way: Way) {
    let mut place = place(way).await;
    let server = place.server(AT_ONCE).await.unwrap();
    place.tenant("acme", &spec(2_000), &[&server]).await.unwrap();
    place.tenant("old", &spec(2_000), &[&server]).await.unwrap();
    let before = place.site.admin.get("tenants/acme").await.unwrap();
    // Deleted, and perhaps still draining when the node ends: the next one finishes it.
    assert_eq!(place.site.admin.remove("tenants/old").await.unwrap().status, 202);
    let place = tokio::task::spawn_blocking(move || place.site.again().map(|()| place)).await;
    let mut place = place.unwrap().unwrap();
    let after = place.site.admin.get("tenants/acme").await.unwrap();
    assert_eq!((after.etag, after.body), (before.etag, before.body));
    assert_eq!(place.ask(&Ask::lookup("acme", "x")).await.unwrap().status, 200);
    assert_eq!(place.ask(&Ask::lookup("old", "y")).await.unwrap().status, 404);
    until("the old one is gone", || drained(&place.site.admin)).await;
    tokio::task::spawn_blocking(move || place.site.stop()).await.unwrap().unwrap();
}

// Nothing new is taken from the moment that the delete is answered: not what had begun to come either.
async fn a_request_whose_body_comes_after_the_delete_is_not_taken(way: Way) {
    let place = place(way).await;
    let admin = &place.site.admin;
    let server = place.server(AT_ONCE).await.unwrap();
    place.tenant("acme", &spec(2_000), &[&server]).await.unwrap();
    let mut client = place.door().connect().await.unwrap();
    let begun = client.begin(&Ask::renew("acme", "t")).await.unwrap();
    until("its head is read", || async { figure(admin, "acme", "held").await == 1 }).await;
    assert_eq!(admin.remove("tenants/acme").await.unwrap().status, 202);
    let answer = tokio::time::timeout(PATIENCE, begun.finish()).await.unwrap().unwrap();
    assert_eq!(answer.status, 404, "{answer:?}");
    until("gone", || drained(admin)).await;
    assert_eq!(server.requests(), 0);
}

// Servers tell requests apart by their names: a second one under an open name could run an effect twice, or take the
// first one's answer.
async fn a_request_under_an_open_id_is_turned_away(way: Way) {
    let place = place(way).await;
    let door = place.door();
    let server = place.server(Does::Hold).await.unwrap();
    place.tenant("acme", &spec(20_000), &[&server]).await.unwrap();
    let first = asks(&door, [Ask::renew("acme", "same").within(LONG)]);
    until("it runs", || async { server.requests() == 1 }).await;
    for twin in [Ask::renew("acme", "same"), Ask::lookup("acme", "same")] {
        assert_eq!(door.ask(&twin).await.unwrap().status, 409);
    }
    server.does(AT_ONCE);
    for one in first {
        let answer = one.await.unwrap().unwrap();
        assert_eq!((answer.status.as_u16(), answer.body.as_ref()), (200, b"same".as_slice()));
    }
    assert_eq!(door.ask(&Ask::lookup("acme", "same")).await.unwrap().status, 200);
    assert_eq!((server.requests(), second_effects([&server])), (2, 0));
}

// The client goes while the server works: the attempt is withdrawn, its place is free, and nothing is sent again.
async fn a_request_whose_client_goes_away_is_withdrawn(way: Way) {
    let place = place(way).await;
    let (admin, door) = (&place.site.admin, place.door());
    let (one, other) = (place.server(Does::Hold).await.unwrap(), place.server(Does::Hold).await.unwrap());
    // Longer than this test waits: nothing ends by its deadline.
    place.tenant("acme", &spec(100_000), &[&one, &other]).await.unwrap();
    let wait = 3 * PATIENCE;
    let asked = asks(&door, (0..6).map(|n| Ask::renew("acme", format!("r{n}")).within(wait)));
    until("they run", || async { one.requests() + other.requests() == 6 }).await;
    asked.iter().for_each(|task| task.abort());
    until("their places are free", || async { figure(admin, "acme", "held").await == 0 }).await;
    // Over HTTP/1.1 an attempt has its connection, which ends with it; over HTTP/3 they share one that stays.
    let ended = || async { way.to3 || one.connections() + other.connections() == 0 };
    until("their attempts have ended", ended).await;
    for server in [&one, &other] {
        server.does(AT_ONCE);
    }
    assert_eq!(door.ask(&Ask::renew("acme", "next")).await.unwrap().status, 200);
    assert_eq!((one.requests() + other.requests(), second_effects([&one, &other])), (7, 0));
}

// A server that never answers: the client has its one answer before it gives up, and a renew is not tried again.
async fn a_request_is_answered_by_its_deadline(way: Way) {
    let place = place(way).await;
    let door = place.door();
    let (one, other) = (place.server(Does::Hold).await.unwrap(), place.server(Does::Hold).await.unwrap());
    place.tenant("acme", &spec(20_000), &[&one, &other]).await.unwrap();
    let wait = Duration::from_millis(800);
    let mut clients = Vec::new();
    for n in 0..8 {
        clients.push((Ask::renew("acme", format!("r{n}")).within(wait), door.connect().await.unwrap()));
    }
    let asked = clients.into_iter().map(|(ask, mut client)| async move { client.ask(&ask).await });
    for one in asked.map(tokio::spawn).collect::<Vec<_>>() {
        let answer = one.await.unwrap().unwrap();
        assert!(answer.status == 504 || answer.status == 502, "{answer:?}");
        // Before the client gives up, which it does a quarter of a second later.
        assert!(answer.spent < wait + Duration::from_millis(200), "{answer:?}");
    }
    assert_eq!((one.requests() + other.requests(), second_effects([&one, &other])), (8, 0));
}

// Rule 3, with what is out at the server finishing.
async fn a_server_that_drains_finishes_and_gets_nothing_new(way: Way) {
    let place = place(way).await;
    let (admin, door) = (&place.site.admin, place.door());
    let (drains, stays) = (place.server(Does::Hold).await.unwrap(), place.server(AT_ONCE).await.unwrap());
    place.tenant("acme", &spec(20_000), &[&drains, &stays]).await.unwrap();
    let mut out = Vec::new();
    for n in 0..40 {
        out.extend(asks(&door, [Ask::renew("acme", format!("r{n}")).within(LONG)]));
    }
    until("some are out at it", || async {
        drains.requests() > 3 && drains.requests() + stays.requests() == 40
    })
    .await;
    let seen = admin.get("tenants/acme/backends/s0").await.unwrap();
    let mut terminating = seen.body["spec"].clone();
    terminating["phase"] = json!("terminating");
    let put =
        admin.put("tenants/acme/backends/s0", If::Match(&seen.etag.unwrap()), &terminating).await.unwrap();
    assert_eq!(put.status, 200, "{put:?}");
    drains.gone();
    let told = Instant::now();
    let mut client = door.connect().await.unwrap();
    let mut n = 0;
    while told.elapsed() < Duration::from_millis(900) {
        n += 1;
        let answer = client.ask(&Ask::lookup("acme", format!("l{n}"))).await.unwrap();
        assert!(answer.status == 200 || answer.status == 503, "{answer:?}");
    }
    drains.does(AT_ONCE);
    for one in out {
        assert_eq!(one.await.unwrap().unwrap().status, 200);
    }
    assert_eq!((drains.late_sends(), second_effects([&drains, &stays])), (0, 0));
}

// Nothing listens at one server's address: nothing ran there, so all goes to the other, a renew too.
async fn a_server_that_is_not_there_costs_nobody_an_answer(way: Way) {
    let place = place(way).await;
    let good = place.server(AT_ONCE).await.unwrap();
    let gone = place.server(AT_ONCE).await.unwrap();
    let mut quick = spec(4_000);
    quick["pool"] = json!({"dial_timeout_ms": 200});
    place.tenant("acme", &quick, &[&good, &gone]).await.unwrap();
    // Let go, its port is closed.
    let was = gone.addr;
    drop(gone);
    let closed = || async {
        if way.to3 {
            tokio::net::UdpSocket::bind(was).await.is_ok()
        } else {
            tokio::net::TcpListener::bind(was).await.is_ok()
        }
    };
    until("its port is closed", closed).await;
    let mut client = place.door().connect().await.unwrap();
    for n in 0..30 {
        let one = match n % 2 {
            0 => Ask::renew("acme", format!("x{n}")),
            _ => Ask::lookup("acme", format!("x{n}")),
        };
        let answer = client.ask(&one.within(Duration::from_secs(4))).await.unwrap();
        assert_eq!(answer.status, 200, "{n} {answer:?}");
    }
    assert_eq!((good.requests(), second_effects([&good])), (30, 0));
}

// SIGTERM: what was taken has its answer, and the node ends.
async fn a_node_that_stops_finishes_what_it_took(way: Way) {
    let mut place = place(way).await;
    let server = place.server(Does::Hold).await.unwrap();
    place.tenant("acme", &spec(20_000), &[&server]).await.unwrap();
    let held = asks(&place.door(), (0..8).map(|n| Ask::renew("acme", format!("r{n}")).within(LONG)));
    until("they run", || async { server.requests() == 8 }).await;
    let node = place.site.node.take().unwrap();
    let stopped = tokio::task::spawn_blocking(move || node.stop());
    // It closes idle connections 0.6 s after it is told; what is held goes on.
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert!(!stopped.is_finished());
    server.does(AT_ONCE);
    for one in held {
        assert_eq!(one.await.unwrap().unwrap().status, 200);
    }
    stopped.await.unwrap().unwrap();
    assert_eq!((server.requests(), second_effects([&server])), (8, 0));
}

// All that a server may do to a request, four ways: the same answers, attempts and effects.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcomes_are_the_same_every_way() {
    let tables = Way::ALL.map(|way| {
        tokio::spawn(async move { outcomes::table(&Place::start(way).await.unwrap()).await.unwrap() })
    });
    let mut first: Option<Vec<_>> = None;
    for (way, table) in Way::ALL.into_iter().zip(tables) {
        let table = table.await.unwrap();
        for (name, seen) in &table {
            let (renew, fate) = (name.starts_with("renew"), name.split_once(' ').unwrap().1);
            let harmless = fate == "serves" || fate == "turns-away";
            // A renew that may have run is neither tried again nor refused; a lookup is never failed by one server
            // that breaks.
            match (renew, harmless) {
                (true, false) => {
                    assert!(seen.status == 502 || seen.status == 504, "{way:?} {name} {seen:?}");
                    assert_eq!((seen.attempts, seen.ran), ([1, 0], 1), "{way:?} {name}");
                }
                (false, false) if fate != "is-silent" => {
                    assert_eq!((seen.status, seen.own, seen.attempts), (200, true, [1, 1]), "{way:?} {name}");
                }
                (_, true) => assert_eq!((seen.status, seen.own), (200, true), "{way:?} {name}"),
                _ => {}
            }
            assert_eq!(seen.second_effects, 0, "{way:?} {name}");
        }
        match &first {
            None => first = Some(table),
            Some(first) => assert_eq!(*first, table, "{way:?}"),
        }
    }
}
