//! The servers' side: connections, attempts and probes, and what became of them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use tokio::time::{timeout_at, Instant};
use woodgap_decisions::settings::{kind_of, zone_of};
use woodgap_decisions::{CellId, Member, Outcome, ServerId, ServerState, SyncKind};
use woodgap_membership::{Transport, Trust};

use crate::config::Figures;
use crate::meter::Meter;
use crate::pool::driver::Look;
use crate::sockets::Sockets;
use crate::sources::discovery::{server_number, List};
use crate::upstream::exchange::{load, outcome, request, Call, Exchange, Link, SETTLE};
#[cfg(feature = "hosted")]
use crate::upstream::http3;

/// Connections are reused for this part of the time that servers keep them: a request that meets
/// the server's close on its way ends as a reset, and an unsafe one can't be sent again.
const REUSE: f64 = 0.6;

/// How an attempt ended.
pub struct Ended {
    pub outcome: Outcome,
    pub load: Vec<f64>,
    /// A server's answer to the client, whole.
    pub answer: Option<(HeaderMap, Bytes)>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Ended { outcome, load: Vec::new(), answer: None }
    }
}

struct Entry {
    addr: SocketAddr,
    transport: Transport,
    since_ms: u64,
    /// New with each restart, change of address or return to the list: connections of another epoch
    /// lead to a process that is gone and are not used.
    epoch: u64,
    /// The most recently used last.
    idle: Vec<Link>,
    /// The connection that its requests share, where it speaks HTTP/3.
    #[cfg(feature = "hosted")]
    shared: Rc<http3::Shared>,
    /// Since when it wants nothing new.
    barred: Option<Instant>,
    /// Another server listens at its address now.
    replaced: bool,
}

/// All servers on the list.
pub struct Servers {
    figures: Figures,
    sockets: Rc<Sockets>,
    meter: Option<Rc<Meter>>,
    entries: RefCell<HashMap<ServerId, Entry>>,
    names: RefCell<HashMap<u32, String>>,
    epochs: Cell<u64>,
    #[cfg(feature = "hosted")]
    authorities: RefCell<std::sync::Arc<http3::Authorities>>,
}

impl Servers {
    pub fn new(figures: Figures, sockets: Rc<Sockets>, meter: Option<Rc<Meter>>) -> Rc<Self> {
        let servers = Rc::new(Servers {
            figures,
            sockets,
            meter,
            entries: RefCell::default(),
            names: RefCell::default(),
            epochs: Cell::new(0),
            #[cfg(feature = "hosted")]
            authorities: RefCell::default(),
        });
        servers.sockets.join(&servers);
        servers
    }

    /// Sends to a server must have ended so long after it began to drain.
    pub fn drain_grace(&self) -> Duration {
        self.figures.drain_grace
    }

    // The list.

    /// Takes over a list and puts it in the module's words.
    pub fn apply(&self, list: &List) -> (SyncKind, Vec<Member>) {
        let mut entries = self.entries.borrow_mut();
        let mut names = self.names.borrow_mut();
        let mut members = Vec::with_capacity(list.entries.len());
        let mut in_service = Vec::new();
        for entry in &list.entries {
            let number = server_number(&entry.id, &names);
            let server = ServerId(number);
            members.push(Member {
                server,
                zone: zone_of(&entry.zone),
                cell: CellId(entry.cell),
                kind: kind_of(&entry.kind),
                state: entry.state,
                size: entry.size,
                since: entry.up_since_ms.saturating_mul(1000),
            });
            if entry.state == ServerState::Terminated {
                entries.remove(&server);
                names.remove(&number);
                continue;
            }
            names.insert(number, entry.id.clone());
            let known = entries.entry(server).or_insert_with(|| Entry {
                addr: entry.addr,
                transport: entry.transport.clone(),
                since_ms: entry.up_since_ms,
                epoch: self.next_epoch(),
                idle: Vec::new(),
                #[cfg(feature = "hosted")]
                shared: Rc::default(),
                barred: None,
                replaced: false,
            });
            // A restarted process, or one that moved, knows nothing of the old connections.
            let same = known.transport == entry.transport;
            if !same || (known.addr, known.since_ms) != (entry.addr, entry.up_since_ms) {
                (known.addr, known.since_ms) = (entry.addr, entry.up_since_ms);
                known.transport = entry.transport.clone();
                known.epoch = self.next_epoch();
                known.idle.clear();
                #[cfg(feature = "hosted")]
                known.shared.forget();
            }
            if entry.state == ServerState::InService {
                (known.barred, known.replaced) = (None, false);
                in_service.push((server, entry.addr));
            } else {
                known.barred.get_or_insert_with(Instant::now);
                known.idle.clear();
            }
        }
        // A machine that took over another's address: what is meant for the old one must not reach it.
        let taken: HashMap<SocketAddr, ServerId> =
            in_service.into_iter().map(|(id, addr)| (addr, id)).collect();
        for (server, entry) in entries.iter_mut() {
            if taken.get(&entry.addr).is_some_and(|owner| owner != server) {
                entry.replaced = true;
                entry.idle.clear();
            }
        }
        if list.complete {
            let listed: std::collections::HashSet<ServerId> = members.iter().map(|m| m.server).collect();
            entries.retain(|server, _| listed.contains(server));
            names.retain(|&number, _| listed.contains(&ServerId(number)));
            return (SyncKind::Full, members);
        }
        (SyncKind::Delta, members)
    }

    fn next_epoch(&self) -> u64 {
        self.epochs.set(self.epochs.get() + 1);
        self.epochs.get()
    }

    /// Where a server listens, unless it went or drains for so long that nothing may be sent.
    /// Guards against a send that waited for its connection while the server began to drain.
    fn address(&self, server: ServerId) -> Option<(SocketAddr, u64)> {
        let entries = self.entries.borrow();
        let entry = entries.get(&server)?;
        let late = entry.barred.is_some_and(|since| since.elapsed() > self.figures.drain_grace / 2);
        (!late && !entry.replaced).then_some((entry.addr, entry.epoch))
    }

    // Connections.

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&server) {
            entry.idle.clear();
        }
    }

    /// Closes what has been idle for long or was closed by its server. To be called now and then.
    pub fn tidy(&self) {
        let longest = self.figures.keepalive.mul_f64(REUSE);
        for entry in self.entries.borrow_mut().values_mut() {
            entry.idle.retain(|link| !link.is_closed() && link.idle_since.elapsed() < longest);
            #[cfg(feature = "hosted")]
            entry.shared.tidy(longest);
        }
    }

    /// Closes the connection that has been idle for longest; `false` if there is none.
    pub fn evict(&self) -> bool {
        let mut entries = self.entries.borrow_mut();
        let oldest = entries.values_mut().filter(|e| !e.idle.is_empty()).min_by_key(|e| e.idle[0].idle_since);
        oldest.map(|entry| drop(entry.idle.remove(0))).is_some()
    }

    /// The connection used last of those that have rested and nothing came on.
    fn idle_link(&self, server: ServerId) -> Option<Link> {
        let longest = self.figures.keepalive.mul_f64(REUSE);
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(&server)?;
        while let Some(place) = entry.idle.iter().rposition(|link| link.idle_since.elapsed() >= SETTLE) {
            let link = entry.idle.remove(place);
            if link.is_clean() && link.idle_since.elapsed() < longest {
                return Some(link);
            }
        }
        None
    }

    fn keep(&self, server: ServerId, mut link: Link) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&server) else { return };
        let wanted = entry.barred.is_none() && !entry.replaced;
        if entry.epoch == link.epoch && wanted && !link.is_closed() {
            link.idle_since = Instant::now();
            entry.idle.push(link);
        }
    }

    /// How many connections are open with nothing on them.
    pub fn idle_count(&self) -> usize {
        self.entries.borrow().values().map(|entry| entry.idle.len()).sum()
    }

    /// The servers as they are now, by their ids.
    pub fn look(&self) -> Vec<(ServerId, Look)> {
        let (entries, names) = (self.entries.borrow(), self.names.borrow());
        let look = |(server, entry): (&ServerId, &Entry)| {
            let look = Look {
                id: names.get(&server.0).cloned().unwrap_or_default(),
                addr: entry.addr,
                out: 0,
                ejected: false,
                in_service: entry.barred.is_none() && !entry.replaced,
                idle_connections: entry.idle.len(),
            };
            (*server, look)
        };
        let mut looks: Vec<(ServerId, Look)> = entries.iter().map(look).collect();
        looks.sort_by(|(_, a), (_, b)| a.id.cmp(&b.id));
        looks
    }

    async fn dial(&self, addr: SocketAddr, epoch: u64) -> io::Result<Link> {
        let permit = self.sockets.permit().await.ok_or_else(|| io::Error::other("no socket is free"))?;
        Link::dial(addr, epoch, permit, self.meter.clone()).await
    }

    /// Trusts these authorities for servers that are known by a name.
    #[cfg(feature = "hosted")]
    pub fn trust(&self, authorities: std::sync::Arc<http3::Authorities>) {
        *self.authorities.borrow_mut() = authorities;
    }

    /// How a server with HTTP/3 proves who it is.
    fn trusted(&self, server: ServerId) -> Option<Trust> {
        match &self.entries.borrow().get(&server)?.transport {
            Transport::Http1 => None,
            Transport::Http3 { trust } => Some(trust.clone()),
        }
    }

    // Attempts.

    /// As [`Servers::attempt`], on the connection that the server's requests share.
    #[cfg(feature = "hosted")]
    async fn attempt3(&self, server: ServerId, call: &Call, until: Instant, trust: Trust) -> Ended {
        // A connection that ends under us, or that takes nothing new any more, is replaced: nothing was sent.
        for _ in 0..http3::MOST_DIALS {
            let Some((addr, epoch)) = self.address(server) else { break };
            let shared = self.entries.borrow().get(&server).map(|entry| entry.shared.clone());
            let Some(shared) = shared else { break };
            let connected = until.min(Instant::now() + self.figures.dial_timeout);
            let authorities = self.authorities.borrow().clone();
            let shake = || authorities.config(&trust, addr);
            let dialled = timeout_at(connected, shared.link(addr, shake, epoch, &self.sockets)).await;
            let Ok(Ok(link)) = dialled else { break };
            // The list may have changed meanwhile.
            match self.address(server) {
                Some((_, now)) if now != link.epoch => continue,
                Some(_) if Instant::now() < until => {}
                _ => break,
            }
            let heard = Cell::new(false);
            let exchange = link.exchange(request(call, addr, until), &heard);
            return match timeout_at(until, exchange).await {
                Err(_) if heard.get() => Outcome::Error.into(),
                Err(_) => {
                    // It may be gone: what is sent next is to be sent where that would tell.
                    shared.forget();
                    Outcome::Timeout.into()
                }
                Ok(http3::Exchange::Unsent) => {
                    shared.forget();
                    continue;
                }
                Ok(http3::Exchange::Rejected) => Outcome::Full.into(),
                Ok(http3::Exchange::Broken) if heard.get() => Outcome::Error.into(),
                Ok(http3::Exchange::Broken) => Outcome::Reset.into(),
                Ok(http3::Exchange::Answer { status, headers, body }) => {
                    let load = load(&headers, &self.figures.report);
                    let outcome = outcome(status, &headers);
                    let answer = (outcome == Outcome::Ok).then_some((headers, body));
                    Ended { outcome, load, answer }
                }
            };
        }
        Outcome::ConnectFailed.into()
    }

    /// This build has no HTTP/3.
    #[cfg(not(feature = "hosted"))]
    async fn attempt3(&self, _: ServerId, _: &Call, _: Instant, _: Trust) -> Ended {
        Outcome::ConnectFailed.into()
    }

    /// Sends a request and tells how it ended. Dropped, it closes its connection.
    pub async fn attempt(&self, server: ServerId, call: &Call, until: Instant) -> Ended {
        if let Some(trust) = self.trusted(server) {
            return self.attempt3(server, call, until, trust).await;
        }
        loop {
            let Some((addr, epoch)) = self.address(server) else { return Outcome::ConnectFailed.into() };
            let (mut link, reused) = match self.idle_link(server) {
                Some(link) => (link, true),
                None => {
                    let connected = until.min(Instant::now() + self.figures.dial_timeout);
                    match timeout_at(connected, self.dial(addr, epoch)).await {
                        Ok(Ok(link)) => (link, false),
                        _ => return Outcome::ConnectFailed.into(),
                    }
                }
            };
            if !matches!(timeout_at(until, link.ready()).await, Ok(Ok(()))) {
                if reused {
                    continue;
                }
                return Outcome::ConnectFailed.into();
            }
            // The list may have changed meanwhile.
            match self.address(server) {
                Some((_, now)) if now != link.epoch => continue,
                Some(_) if Instant::now() < until => {}
                _ => {
                    self.keep(server, link);
                    return Outcome::ConnectFailed.into();
                }
            }
            match timeout_at(until, link.exchange(request(call, addr, until))).await {
                // One that began to answer is there; only the answer is no good.
                Err(_) if link.heard() => return Outcome::Error.into(),
                // A server that answered nothing may be gone: its idle connections would swallow
                // what is sent next, where a new one would tell.
                Err(_) => {
                    self.close_idle(server);
                    return Outcome::Timeout.into();
                }
                Ok(Exchange::Unsent) if reused => continue,
                Ok(Exchange::Unsent) => return Outcome::ConnectFailed.into(),
                Ok(Exchange::Broken) if link.heard() => return Outcome::Error.into(),
                Ok(Exchange::Broken) => return Outcome::Reset.into(),
                Ok(Exchange::Answer { status, headers, body, reusable }) => {
                    if reusable {
                        self.keep(server, link);
                    }
                    let load = load(&headers, &self.figures.report);
                    let outcome = outcome(status, &headers);
                    let answer = (outcome == Outcome::Ok).then_some((headers, body));
                    return Ended { outcome, load, answer };
                }
            }
        }
    }

    /// Probes a server.
    pub async fn probe(&self, server: ServerId) -> Ended {
        let call = Call {
            method: Method::GET,
            target: Uri::from_static("/-/healthy"),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        // A probe waits like a request, but not like a patient one.
        let until = Instant::now() + self.figures.dial_timeout * 2;
        self.attempt(server, &call, until).await
    }
}

/// How often `Servers::tidy` is due.
pub const TIDY: Duration = Duration::from_millis(500);

#[cfg(test)]
mod tests {
    use super::*;
    use crate::sources::discovery::Entry as Listed;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;
    use tokio::task::{spawn_local, LocalSet};

    fn servers(sockets: usize) -> Rc<Servers> {
        let figures = Figures {
            dial_timeout: Duration::from_secs(20),
            keepalive: Duration::from_secs(600),
            drain_grace: Duration::from_millis(500),
            open_cap: 10,
            report: vec!["queue".into(), "util".into()],
        };
        Servers::new(figures, Sockets::new(sockets), None)
    }

    fn list(addr: SocketAddr, state: ServerState, complete: bool) -> List {
        let (id, zone) = ("s-1".into(), "a".into());
        let entry = Listed {
            id,
            addr,
            transport: Transport::Http1,
            zone,
            cell: 0,
            kind: String::new(),
            state,
            size: 1.0,
            up_since_ms: 0,
        };
        List { revision: None, complete, entries: vec![entry] }
    }

    fn call() -> Call {
        let (headers, body) = (HeaderMap::new(), Bytes::new());
        Call { method: Method::POST, target: Uri::from_static("/api"), headers, body }
    }

    /// A server that answers each request with its name, and sends none if that is empty.
    async fn named(name: &'static str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        spawn_local(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                spawn_local(async move {
                    let mut buffer = [0; 4096];
                    while stream.read(&mut buffer).await.is_ok_and(|n| n > 0) {
                        let length = name.len();
                        let reply = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{name}");
                        if !name.is_empty() && stream.write_all(reply.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        addr
    }

    fn soon() -> Instant {
        Instant::now() + Duration::from_secs(20)
    }

    // A server that left the list and came back elsewhere must not be served by a connection from
    // before, which leads to another process.
    #[tokio::test]
    async fn connections_from_before_a_return_are_not_used() {
        let run = async {
            let servers = servers(8);
            let (old, new) = (named("old").await, named("new").await);
            let (_, members) = servers.apply(&list(old, ServerState::InService, true));
            let server = members[0].server;
            assert_eq!(servers.attempt(server, &call(), soon()).await.answer.unwrap().1, "old");
            tokio::time::sleep(SETTLE * 2).await;
            let link = servers.idle_link(server).expect("kept");
            servers.apply(&list(old, ServerState::Terminated, false));
            assert_eq!(servers.attempt(server, &call(), soon()).await.outcome, Outcome::ConnectFailed);
            servers.apply(&list(new, ServerState::InService, false));
            servers.keep(server, link);
            assert_eq!(servers.attempt(server, &call(), soon()).await.answer.unwrap().1, "new");
        };
        LocalSet::new().run_until(run).await;
    }

    // A machine that vanished is silent on open connections: after a time-out the idle ones must go.
    #[tokio::test]
    async fn a_timeout_closes_idle_connections() {
        let run = async {
            let servers = servers(8);
            let addr = named("").await;
            let server = servers.apply(&list(addr, ServerState::InService, true)).1[0].server;
            let (_, epoch) = servers.address(server).unwrap();
            for _ in 0..2 {
                let link = servers.dial(addr, epoch).await.unwrap();
                servers.keep(server, link);
            }
            let until = Instant::now() + Duration::from_millis(50);
            assert_eq!(servers.attempt(server, &call(), until).await.outcome, Outcome::Timeout);
            assert!(servers.idle_link(server).is_none());
        };
        LocalSet::new().run_until(run).await;
    }

    // Rule 3: what waited for its connection must not be written once the server drains for long.
    #[tokio::test]
    async fn nothing_is_written_to_a_server_that_drains_for_long() {
        let run = async {
            let servers = servers(8);
            let addr = named("x").await;
            let server = servers.apply(&list(addr, ServerState::InService, true)).1[0].server;
            servers.apply(&list(addr, ServerState::Terminating, false));
            tokio::time::pause();
            tokio::time::advance(Duration::from_millis(400)).await;
            let ended = servers.attempt(server, &call(), soon()).await;
            assert_eq!(ended.outcome, Outcome::ConnectFailed);
        };
        LocalSet::new().run_until(run).await;
    }

    // Sockets are spent on requests before idle connections.
    #[tokio::test]
    async fn idle_connections_make_room() {
        let run = async {
            let servers = servers(1);
            let addr = named("x").await;
            let server = servers.apply(&list(addr, ServerState::InService, true)).1[0].server;
            assert_eq!(servers.attempt(server, &call(), soon()).await.outcome, Outcome::Ok);
            let permit = servers.sockets.permit().await;
            assert!(permit.is_some());
            assert_eq!(servers.attempt(server, &call(), soon()).await.outcome, Outcome::ConnectFailed);
        };
        LocalSet::new().run_until(run).await;
    }

    // A machine that took over another's address must not get what is meant for the old one.
    #[tokio::test]
    async fn nothing_is_written_to_a_server_whose_address_another_has() {
        let run = async {
            let servers = servers(8);
            let addr = named("x").await;
            let old = servers.apply(&list(addr, ServerState::InService, true)).1[0].server;
            assert_eq!(servers.attempt(old, &call(), soon()).await.outcome, Outcome::Ok);
            let mut change = list(addr, ServerState::InService, false);
            change.entries[0].id = "s-2".into();
            let new = servers.apply(&change).1[0].server;
            assert!(servers.idle_link(old).is_none());
            assert_eq!(servers.attempt(old, &call(), soon()).await.outcome, Outcome::ConnectFailed);
            assert_eq!(servers.attempt(new, &call(), soon()).await.outcome, Outcome::Ok);
        };
        LocalSet::new().run_until(run).await;
    }
}
