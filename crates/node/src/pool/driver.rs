//! The one task that owns the decisions: events in, actions carried out in their order.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use hyper::header::HeaderMap;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio_util::time::{delay_queue, DelayQueue};
use woodgap_decisions::{
    Action, Balancer, ClassId, Closed, Discovery, Event, Key, Micros, Outcome, Request, RequestId, ServerId,
    Settings, SyncKind, TenantId, TimerId,
};
use woodgap_membership::Told;

use crate::meter::{metered, Meter};
use crate::peers::Peers;
use crate::sources::discovery::List;
use crate::sources::views::{believed, Views, LISTED};
use crate::sources::watch::{watch, News, Pace};
use crate::task::AbortOnDrop;
use crate::upstream::exchange::Call;
use crate::upstream::servers::{Ended, Servers, TIDY};

/// The module answers at the deadline it was given; what it has not answered this much later, the
/// node answers, whatever the module does.
const OVERDUE: Duration = Duration::from_millis(5);
/// Pause before a watch at a new address is opened again, and how often that is done before it is
/// left to the module: its pauses are longer than the time in which the change has to be known.
const MOVED_AGAIN: Duration = Duration::from_millis(100);
const MOVED_TRIES: u32 = 40;

/// A final answer.
pub enum Answer {
    Served(HeaderMap, Bytes),
    Refused(Option<Duration>),
    Failed,
    /// The node's own, at the deadline.
    Late,
}

/// A final answer, and the server that the request ended at: which answered, or had its last attempt.
pub type Answered = (Answer, Option<ServerId>);

/// A client's request.
pub struct Arrival {
    /// Never used twice: what the client calls it may well be.
    pub id: u64,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub key: Option<Key>,
    pub repeat: bool,
    pub cost: Option<Micros>,
    pub deadline: Instant,
    pub call: Rc<Call>,
    pub reply: oneshot::Sender<Answered>,
}

/// What the sockets tell. There is no bound on the channel: each request, attempt, probe and
/// watch has a message or two in it at the most, and their numbers are bounded.
pub enum Msg {
    Request(Box<Arrival>),
    /// The client no longer waits.
    Gone(u64),
    Closed {
        id: u64,
        attempt: u32,
        ended: Ended,
    },
    Probed {
        server: ServerId,
        ended: Ended,
        spent: Duration,
    },
    News {
        watch: u64,
        news: News,
    },
    Peer {
        from: u32,
        data: Vec<u8>,
    },
    /// Discovery is at this address from now on.
    Discovery(SocketAddr),
    /// The servers, told by the catalogue.
    Members(List),
    /// What the servers are like now, for those who ask.
    Look(oneshot::Sender<Vec<Look>>),
}

/// A server as its pool sees it.
#[derive(Clone, Debug)]
pub struct Look {
    /// Its id in the list.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Attempts that are out there.
    pub out: usize,
    /// The pool sends it nothing for what it saw of it.
    pub ejected: bool,
    /// Whether new work may go to it.
    pub in_service: bool,
    /// Connections that are kept open to it with nothing on them.
    pub idle_connections: usize,
}

/// An attempt that is out.
struct Out {
    server: ServerId,
    sent: Instant,
    /// Ends the attempt and closes its connection.
    _task: AbortOnDrop,
}

/// A request until it is answered and nothing of it is out.
struct Held {
    /// `None` once it has its answer or its client is gone.
    reply: Option<oneshot::Sender<Answered>>,
    call: Rc<Call>,
    deadline: Instant,
    overdue: delay_queue::Key,
    attempts: Vec<Option<Out>>,
    /// The server of its latest attempt, or the one that answered.
    at: Option<ServerId>,
}

/// What falls due.
enum Due {
    Timer(TimerId),
    Overdue(u64),
    Tidy,
    Watch,
}

pub struct Driver {
    balancer: Balancer,
    clock: Clock,
    held: HashMap<u64, Held>,
    due: DelayQueue<Due>,
    /// Events that carrying out actions has brought.
    events: VecDeque<Event>,
    servers: Rc<Servers>,
    peers: Option<Rc<Peers>>,
    /// `None` where the list comes as [`Msg::Members`].
    discovery: Option<SocketAddr>,
    /// What discovery told; lists that come as [`Msg::Members`] are merged already.
    views: Views,
    mode: Discovery,
    pace: Pace,
    max_attempts: usize,
    revision: u64,
    /// The number of the present watch, and its task.
    watch: u64,
    watching: Option<AbortOnDrop>,
    /// The watch at the place that discovery has left, until the new one has told its list.
    left: Option<(u64, AbortOnDrop)>,
    /// Tries that a watch at a new address has left, until its first list.
    moved: u32,
    /// Weak: the driver ends when nobody else can send to it.
    tx: mpsc::WeakUnboundedSender<Msg>,
    meter: Option<Rc<Meter>>,
}

/// The module's clock: Unix time at the start and monotonic from there, so that the times at
/// which servers started need no conversion.
struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }
}

impl Driver {
    pub fn new(
        settings: &Settings,
        seed: u64,
        discovery: Option<SocketAddr>,
        servers: Rc<Servers>,
        peers: Option<Rc<Peers>>,
        tx: &mpsc::UnboundedSender<Msg>,
        meter: Option<Rc<Meter>>,
    ) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros;
        Driver {
            balancer: Balancer::new(settings.clone(), seed),
            pace: Pace::of(settings, servers.drain_grace()),
            clock: Clock { start: Instant::now(), unix },
            held: HashMap::new(),
            due: DelayQueue::new(),
            events: VecDeque::new(),
            servers,
            peers,
            discovery,
            views: Views::new("discovery", believed()),
            mode: settings.discovery,
            max_attempts: settings.max_attempts as usize,
            revision: 0,
            watch: 0,
            watching: None,
            left: None,
            moved: 0,
            tx: tx.downgrade(),
            meter,
        }
    }

    /// Starts the module with the list that the node last had.
    pub fn start(&mut self, known: &List) {
        self.revision = known.revision.unwrap_or(0);
        if self.discovery.is_some() {
            self.views.listed(&List { complete: true, ..known.clone() });
        }
        let (_, members) = self.servers.apply(known);
        self.events.push_back(Event::Sync { kind: SyncKind::Cached, members });
        self.due.insert(Due::Tidy, TIDY);
        if self.mode == Discovery::Push {
            self.subscribe();
        }
        self.settle();
    }

    pub async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Msg>) {
        loop {
            tokio::select! {
                msg = rx.recv() => match msg {
                    Some(msg) => self.take(msg),
                    None => return,
                },
                Some(due) = std::future::poll_fn(|cx| self.due.poll_expired(cx)) => {
                    self.fall_due(due.into_inner());
                }
            }
            self.settle();
        }
    }

    fn fall_due(&mut self, due: Due) {
        match due {
            Due::Timer(timer) => self.events.push_back(Event::Timer(timer)),
            Due::Tidy => {
                self.servers.tidy();
                self.due.insert(Due::Tidy, TIDY);
            }
            // Unless one was opened meanwhile.
            Due::Watch if self.watching.is_none() => self.subscribe(),
            Due::Watch => {}
            Due::Overdue(id) => {
                if let Some(held) = self.held.get_mut(&id) {
                    if let Some(reply) = held.reply.take() {
                        tracing::info!("a request was not answered by its deadline");
                        // What was never sent anywhere may be asked again without harm.
                        let answer = held.at.map_or(Answer::Refused(None), |_| Answer::Late);
                        let _ = reply.send((answer, held.at));
                        self.events.push_back(Event::Lapsed(request_id(id)));
                        // One with no attempt out ends here; nothing else would forget it.
                        self.forget(id);
                    }
                }
            }
        }
    }

    fn take(&mut self, msg: Msg) {
        match msg {
            Msg::Request(arrival) => self.request(*arrival),
            Msg::Gone(id) => {
                let Some(held) = self.held.get_mut(&id) else { return };
                if held.reply.take().is_some() {
                    self.due.remove(&held.overdue);
                    self.events.push_back(Event::Lapsed(request_id(id)));
                    self.forget(id);
                }
            }
            Msg::Closed { id, attempt, ended } => self.closed(id, attempt, ended),
            Msg::Probed { server, ended, spent } => {
                let Ended { outcome, load, .. } = ended;
                let spent = spent.as_micros() as Micros;
                self.events.push_back(Event::Probed { server, outcome, spent, load });
            }
            Msg::News { watch, news } if watch == self.watch => self.news(news),
            Msg::News { watch, news: News::List(list) }
                if self.left.as_ref().is_some_and(|(n, _)| *n == watch) =>
            {
                self.listed(&list);
            }
            Msg::News { .. } => {}
            Msg::Peer { from, data } => self.events.push_back(Event::Peer { from, data }),
            Msg::Members(list) => {
                let (kind, members) = self.servers.apply(&list);
                self.events.push_back(Event::Sync { kind, members });
            }
            Msg::Look(reply) => {
                let mut looks = self.servers.look();
                let attempts = self.held.values().flat_map(|held| held.attempts.iter().flatten());
                let mut out: HashMap<ServerId, usize> = HashMap::new();
                attempts.for_each(|attempt| *out.entry(attempt.server).or_default() += 1);
                let ejected: std::collections::HashSet<ServerId> = self.balancer.ejected().collect();
                for (server, look) in &mut looks {
                    look.out = out.get(server).copied().unwrap_or(0);
                    look.ejected = ejected.contains(server);
                }
                drop(reply.send(looks.into_iter().map(|(_, look)| look).collect()));
            }
            // Asked, discovery has many callers: a watch that is silent will be found out.
            Msg::Discovery(addr) if self.discovery == Some(addr) && self.mode == Discovery::Ask => {}
            Msg::Discovery(addr) => {
                // The list stays until the new place has told its own, whole: its revisions may count
                // other changes. What the old one has written until then is told as well.
                if self.moved == 0 {
                    self.left = self.watching.take().map(|task| (self.watch, task));
                }
                (self.discovery, self.revision, self.moved) = (Some(addr), 0, MOVED_TRIES);
                self.subscribe();
            }
        }
    }

    fn request(&mut self, arrival: Arrival) {
        let Arrival { id, class, tenant, key, repeat, cost, deadline, call, reply } = arrival;
        let patience = deadline.saturating_duration_since(Instant::now()).as_micros() as Micros;
        let overdue = self.due.insert_at(Due::Overdue(id), deadline + OVERDUE);
        let held = Held { reply: Some(reply), call, deadline, overdue, attempts: Vec::new(), at: None };
        self.held.insert(id, held);
        let id = request_id(id);
        self.events.push_back(Event::Request(Request { id, patience, class, cost, repeat, tenant, key }));
    }

    /// Answers a request, unless it has its answer.
    fn answer(&mut self, id: u64, answer: Answer) {
        let Some(held) = self.held.get_mut(&id) else { return };
        if let Some(reply) = held.reply.take() {
            if !matches!(answer, Answer::Late) {
                self.due.remove(&held.overdue);
            }
            let _ = reply.send((answer, held.at));
        }
        self.forget(id);
    }

    /// Drops what is over.
    fn forget(&mut self, id: u64) {
        let over = |held: &Held| held.reply.is_none() && held.attempts.iter().all(Option::is_none);
        if self.held.get(&id).is_some_and(over) {
            self.held.remove(&id);
        }
    }

    fn closed(&mut self, id: u64, attempt: u32, ended: Ended) {
        let Some(held) = self.held.get_mut(&id) else { return };
        // One that was cancelled meanwhile has had its outcome.
        let Some(out) = held.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        let Ended { outcome, load, answer } = ended;
        if let Some((headers, body)) = answer {
            held.at = Some(out.server);
            self.answer(id, Answer::Served(headers, body));
        }
        let done = self.held.get(&id).is_none_or(|held| held.reply.is_none());
        let spent = out.sent.elapsed().as_micros() as Micros;
        let (server, id_) = (out.server, request_id(id));
        self.events.push_back(Event::Closed(Closed { id: id_, attempt, server, outcome, spent, done, load }));
        self.forget(id);
    }

    fn news(&mut self, news: News) {
        match news {
            News::List(list) => {
                self.revision = list.revision.unwrap_or(self.revision);
                self.moved = 0;
                // An empty line is no list.
                self.left.take_if(|_| list.revision.is_some());
                self.listed(&list);
            }
            News::Failed => {
                self.views.told(LISTED, Told::Lost);
                self.watching = None;
                if self.moved > 0 {
                    self.moved -= 1;
                    self.due.insert(Due::Watch, MOVED_AGAIN);
                    return;
                }
                // What the old place tells must not pass for an answer of the new one.
                self.left = None;
                match self.mode {
                    Discovery::Ask => {
                        self.events.push_back(Event::Sync { kind: SyncKind::Failed, members: Vec::new() })
                    }
                    Discovery::Push => drop(self.due.insert(Due::Watch, self.pace.again)),
                }
            }
        }
    }

    fn listed(&mut self, list: &List) {
        let (kind, members) = self.servers.apply(&self.views.pass(list));
        self.events.push_back(Event::Sync { kind, members });
    }

    /// Hands the module what has come and carries out what it says, until all is quiet.
    fn settle(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.balancer.on_event(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, server, limit } => self.send(number(&id), server, limit),
            Action::Cancel { id, attempt } => self.cancel(number(&id), attempt),
            Action::Refuse { id, retry_after } => {
                let wait = (retry_after > 0).then(|| Duration::from_micros(retry_after));
                self.answer(number(&id), Answer::Refused(wait));
            }
            Action::Fail { id } => self.answer(number(&id), Answer::Failed),
            Action::Probe(server) => {
                let (servers, tx) = (self.servers.clone(), self.tx.upgrade());
                spawn_local(async move {
                    let sent = Instant::now();
                    let ended = servers.probe(server).await;
                    if let Some(tx) = tx {
                        let _ = tx.send(Msg::Probed { server, ended, spent: sent.elapsed() });
                    }
                });
            }
            Action::CloseIdle(server) => self.servers.close_idle(server),
            Action::SetTimer { delay, timer } => {
                self.due.insert(Due::Timer(timer), Duration::from_micros(delay));
            }
            Action::Subscribe => self.subscribe(),
            Action::Tell { peer, data } => {
                if let Some(peers) = &self.peers {
                    peers.tell(peer, &data);
                }
            }
            Action::Log(line) => tracing::info!("{line}"),
        }
    }

    fn send(&mut self, id: u64, server: ServerId, limit: Micros) {
        let now = Instant::now();
        let held = self.held.get_mut(&id);
        let attempt = held.as_ref().map_or(0, |held| held.attempts.len());
        let lawful = held.filter(|h| h.reply.is_some() && attempt < self.max_attempts && now < h.deadline);
        let Some(held) = lawful else {
            // Nothing goes out for what is over.
            let done = self.held.get(&id).is_none_or(|held| held.reply.is_none());
            if let Some(held) = self.held.get_mut(&id) {
                held.attempts.push(None);
            }
            let (id, attempt, outcome) = (request_id(id), attempt as u32, Outcome::Moot);
            let closed = Closed { id, attempt, server, outcome, spent: 0, done, load: Vec::new() };
            return self.events.push_back(Event::Closed(closed));
        };
        let until = match limit {
            0 => held.deadline,
            limit => held.deadline.min(now + Duration::from_micros(limit)),
        };
        let (servers, call, tx) = (self.servers.clone(), held.call.clone(), self.tx.upgrade());
        let attempt = attempt as u32;
        let task = AbortOnDrop::spawn(metered(self.meter.clone(), async move {
            let ended = servers.attempt(server, &call, until).await;
            if let Some(tx) = tx {
                let _ = tx.send(Msg::Closed { id, attempt, ended });
            }
        }));
        held.attempts.push(Some(Out { server, sent: now, _task: task }));
        held.at = Some(server);
    }

    fn cancel(&mut self, id: u64, attempt: u32) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(out) = held.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        let spent = out.sent.elapsed().as_micros() as Micros;
        let (server, done) = (out.server, held.reply.is_none());
        drop(out);
        // It may be silent because its machine is gone: see `Servers::attempt`.
        self.servers.close_idle(server);
        let (id_, outcome) = (request_id(id), Outcome::Cancelled);
        self.events.push_back(Event::Closed(Closed {
            id: id_,
            attempt,
            server,
            outcome,
            spent,
            done,
            load: Vec::new(),
        }));
        self.forget(id);
    }

    /// Opens a watch in place of the one there may be.
    fn subscribe(&mut self) {
        let (Some(addr), Some(tx)) = (self.discovery, self.tx.upgrade()) else { return };
        self.watch += 1;
        let (number, revision, answer) = (self.watch, self.revision, self.pace.answer);
        self.watching = Some(AbortOnDrop::spawn(async move {
            watch(addr, revision, answer, |news| drop(tx.send(Msg::News { watch: number, news }))).await;
        }));
    }
}

/// A request's number in the module's form, and back.
fn request_id(id: u64) -> RequestId {
    let mut bytes = [0; 36];
    bytes[..8].copy_from_slice(&id.to_le_bytes());
    RequestId(bytes)
}

fn number(id: &RequestId) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&id.0[..8]);
    u64::from_le_bytes(bytes)
}

#[cfg(test)]
mod tests;
