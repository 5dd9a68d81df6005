//! The members of the fleet, heard over UDP: [`woodgap_fleet`] on a socket and a clock.
//!
//! ```text
//!   socket ─▶ Fleet::hear ┐                    ┌▶ socket
//!   clock ──▶ Fleet::tick ┼▶ Fleet::act ───────┤
//!   Members::say ─────────┘                    └▶ log, View (watched by permits and the administration API)
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use woodgap_fleet::wire::{Keys, LONGEST, LONGEST_NAME, LONGEST_ZONE};
use woodgap_fleet::{Action, Event, Facts, Fleet, Life, Phase, Settings, Standing, EJECTED};

/// What is told to others is looked at this often, where nothing changes: how long ago is part of it.
const LOOK: Duration = Duration::from_secs(1);
/// Datagrams that are read before the clock has its turn.
const AT_ONCE: usize = 64;
/// Words of this node that wait, at most.
const WORDS: usize = 16;

/// What the operator's file says of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// Where datagrams come; port 0 takes any.
    pub listen: SocketAddr,
    /// Where others are told to send them, where that is another address.
    pub advertise: Option<SocketAddr>,
    /// The zone of this node.
    pub zone: Option<String>,
    /// Others by name, and where this node reaches them.
    pub peers: Vec<(String, SocketAddr)>,
    /// The file of the keys.
    pub keys: Option<PathBuf>,
    /// One other is probed in each.
    pub interval: Duration,
}

impl FleetConfig {
    /// The usual interval.
    pub const INTERVAL: Duration = Duration::from_millis(500);

    /// What of this a node's datagrams have no room for.
    pub fn fault(&self, name: &str) -> Option<String> {
        if name.len() > LONGEST_NAME {
            return Some(format!("fleet: the node's name has {} bytes: {LONGEST_NAME} at most", name.len()));
        }
        let zone = self.zone.as_deref().unwrap_or_default();
        (zone.len() > LONGEST_ZONE)
            .then(|| format!("fleet.zone has {} bytes: {LONGEST_ZONE} at most", zone.len()))
    }

    fn keys(&self) -> Result<Keys, String> {
        self.keys.as_deref().map_or(Ok(Keys::none()), read_keys)
    }

    fn settings(&self) -> Settings {
        let usual = Settings::default();
        let interval = self.interval.as_millis() as u64;
        let part = |time: u64| (time * interval / usual.interval).max(1);
        Settings {
            interval,
            timeout: part(usual.timeout),
            gossip: part(usual.gossip),
            isolated: part(usual.isolated),
            ..usual
        }
    }
}

/// Reads a file of keys that only its owner can read.
fn read_keys(path: &Path) -> Result<Keys, String> {
    use std::os::unix::fs::MetadataExt;
    let at = path.display();
    let mode = std::fs::metadata(path).map_err(|error| format!("fleet.keys_file {at}: {error}"))?.mode();
    if mode & 0o077 != 0 {
        return Err(format!("fleet.keys_file {at}: others can read it; chmod 0600 {at}"));
    }
    let text = std::fs::read_to_string(path).map_err(|error| format!("fleet.keys_file {at}: {error}"))?;
    Keys::read(&text).map_err(|error| format!("fleet.keys_file {at}: {error}"))
}

/// A member, as this node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Line {
    /// Its name.
    pub name: String,
    /// Its zone; empty where it has none.
    pub zone: String,
    /// The program's version.
    pub version: String,
    /// The digest of its configuration.
    pub config: String,
    /// What it is in the fleet.
    pub role: String,
    /// How far it is.
    pub phase: Phase,
    /// Whether it lives.
    pub life: Life,
    /// For how long, in milliseconds.
    pub since_ms: u64,
    /// When it started, in its own Unix time in milliseconds.
    pub boot_ms: u64,
    /// The number of its last word of itself.
    pub incarnation: u64,
    /// Who suspects it.
    pub suspected_by: Vec<String>,
    /// It is this node, or a datagram of its own came: what others say of it can be old.
    pub heard: bool,
    /// Up to which order to drain servers it has done all.
    pub done: u32,
    /// Marks of servers that it ejects; 0 for none.
    pub ejects: [u16; EJECTED],
}

/// The fleet, as this node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct View {
    /// This node.
    pub me: String,
    /// `alone`, `together`, `catching` (it slept or was cut off a moment ago) or `isolated`.
    pub standing: &'static str,
    /// All members that are known, dead ones too, by name.
    pub members: Vec<Line>,
    /// Datagrams that were dropped, by why.
    pub dropped: BTreeMap<String, u64>,
    /// Lifeguard's doubt about oneself, 0 to 8.
    pub doubt: u32,
}

impl View {
    /// Who serves, as far as this node can tell; `None` while it cannot, being cut off. Who is suspected counts as
    /// one that does not.
    pub fn up(&self) -> Option<BTreeSet<String>> {
        if !matches!(self.standing, "together" | "alone") {
            return None;
        }
        let up = |line: &&Line| line.life == Life::Alive && line.phase == Phase::Ready;
        Some(self.members.iter().filter(up).map(|line| line.name.clone()).collect())
    }
}

enum Word {
    Phase(Phase),
    Done(u32),
    Ejects([u16; EJECTED]),
    Keys(Keys),
    Leave(tokio::sync::oneshot::Sender<()>),
}

/// This node's part in the fleet.
#[derive(Clone)]
pub struct Members {
    view: watch::Receiver<View>,
    words: mpsc::Sender<Word>,
    keys: Option<PathBuf>,
    settings: Settings,
}

impl Members {
    /// Takes part from now on, until the node ends.
    ///
    /// # Errors
    /// Where the address or the keys cannot be used.
    pub async fn start(config: &FleetConfig, name: &str, digest: u32) -> Result<Members, String> {
        let keys = config.keys()?;
        let socket = UdpSocket::bind(config.listen).await;
        let socket = socket.map_err(|error| format!("fleet.listen {}: {error}", config.listen))?;
        let addr = socket.local_addr().map_err(|error| error.to_string())?;
        tracing::info!("{name} is one of a fleet at {addr}");
        let facts = Facts {
            boot: crate::control::now_ms(),
            addr: config.advertise.unwrap_or(addr),
            zone: config.zone.clone().unwrap_or_default(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            config: digest,
            role: "node".to_owned(),
            phase: Phase::Starting,
            done: 0,
            ejects: [0; EJECTED],
        };
        let known = config.peers.iter().map(|(name, addr)| (Arc::from(name.as_str()), *addr)).collect();
        let fleet = Fleet::new(0, name, facts, known, keys, config.settings(), fastrand::u64(..));
        let (tell, view) = watch::channel(look(&fleet, 0));
        let (words, heard) = mpsc::channel(WORDS);
        tokio::task::spawn_local(keep(fleet, socket, tell, heard));
        Ok(Members { view, words, keys: config.keys.clone(), settings: config.settings() })
    }

    /// What this node sees, and each change of it.
    pub fn view(&self) -> watch::Receiver<View> {
        self.view.clone()
    }

    /// Says how far this node is.
    pub async fn say(&self, phase: Phase) {
        let _ = self.words.send(Word::Phase(phase)).await;
    }

    /// Says up to which order to drain servers this node has done all.
    pub async fn done(&self, done: u32) {
        let _ = self.words.send(Word::Done(done)).await;
    }

    /// Says which servers this node ejects.
    pub async fn ejects(&self, ejects: [u16; EJECTED]) {
        let _ = self.words.send(Word::Ejects(ejects)).await;
    }

    /// How long a node may go on without noticing that it hears of nobody, among so many, in milliseconds.
    pub fn longest_suspicion(&self, members: usize) -> u64 {
        self.settings.longest_suspicion(members)
    }

    /// Says that it goes, and waits until that was sent.
    pub async fn leave(&self) {
        let (done, sent) = tokio::sync::oneshot::channel();
        if self.words.send(Word::Leave(done)).await.is_ok() {
            let _ = sent.await;
        }
    }

    /// Reads the keys again; those that there were stay where that fails.
    ///
    /// # Errors
    /// What is wrong with them.
    pub async fn reload(&self) -> Result<bool, String> {
        let Some(path) = &self.keys else { return Ok(false) };
        let keys = read_keys(path)?;
        let _ = self.words.send(Word::Keys(keys)).await;
        Ok(true)
    }
}

fn look(fleet: &Fleet, now: u64) -> View {
    let line = |(name, member): (&Arc<str>, &woodgap_fleet::Member)| Line {
        name: name.to_string(),
        zone: member.facts.zone.clone(),
        version: member.facts.version.clone(),
        config: format!("{:08x}", member.facts.config),
        role: member.facts.role.clone(),
        phase: member.facts.phase,
        life: member.life,
        since_ms: now.saturating_sub(member.since),
        boot_ms: member.facts.boot,
        incarnation: member.incarnation,
        suspected_by: member.by.iter().map(|by| by.to_string()).collect(),
        heard: member.heard > 0 || name == fleet.me(),
        done: member.facts.done,
        ejects: member.facts.ejects,
    };
    let standing = match fleet.standing() {
        Standing::Alone => "alone",
        Standing::Together => "together",
        Standing::Catching => "catching",
        Standing::Isolated { .. } => "isolated",
    };
    let dropped =
        |(why, many): (&woodgap_fleet::wire::Drop, &u64)| (format!("{why:?}").to_lowercase(), *many);
    View {
        me: fleet.me().to_string(),
        standing,
        members: fleet.members().map(line).collect(),
        dropped: fleet.counts().dropped.iter().map(dropped).collect(),
        doubt: fleet.doubt(),
    }
}

fn tell(fleet: &Fleet, event: &Event) {
    let left = |name: &str| fleet.member(name).is_some_and(|member| member.facts.phase == Phase::Out);
    let line = |text: String| tracing::info!("fleet: {text}");
    match event {
        Event::Died(name) if left(name) => line(format!("{name} has left")),
        Event::Died(name) => line(format!("{name} is dead: it did not answer and did not contradict")),
        Event::Recovered(name) => line(format!("{name} lives")),
        Event::Suspected(name) => line(format!("{name} is suspected")),
        Event::Isolated => line("this node hears nobody and takes itself for cut off".to_owned()),
        Event::Heard => line("others are heard again".to_owned()),
        Event::Namesake => line("another process has this node's name: end one of them".to_owned()),
        Event::Slept(ms) => line(format!("this node did not run for {ms} ms")),
        Event::Clock(what) => line(what.to_string()),
        Event::Joined(_) | Event::Changed(_) | Event::Forgotten(_) | Event::Contradicted => {}
    }
}

async fn keep(
    mut fleet: Fleet,
    socket: UdpSocket,
    view: watch::Sender<View>,
    mut words: mpsc::Receiver<Word>,
) {
    let start = Instant::now();
    let now = || start.elapsed().as_millis() as u64;
    // One byte more than is taken: what is too long is seen to be.
    let mut buffer = [0; LONGEST + 1];
    let mut looked = start;
    loop {
        let wake = start + Duration::from_millis(fleet.wake());
        let (mut changed, mut left) = (false, None);
        tokio::select! {
            word = words.recv() => {
                changed = true;
                match word {
                    Some(Word::Phase(phase)) => fleet.say(|facts| facts.phase = phase),
                    Some(Word::Ejects(ejects)) => fleet.say(|facts| facts.ejects = ejects),
                    Some(Word::Done(done)) => fleet.say(|facts| facts.done = done),
                    Some(Word::Keys(keys)) => fleet.rekey(keys),
                    Some(Word::Leave(done)) => {
                        fleet.leave();
                        left = Some(done);
                    }
                    None => return,
                }
            }
            read = socket.recv(&mut buffer) => {
                // An error is an earlier datagram's that found nobody.
                if let Ok(length) = read {
                    fleet.hear(now(), &buffer[..length]);
                }
                for _ in 0..AT_ONCE {
                    let Ok(length) = socket.try_recv(&mut buffer) else { break };
                    fleet.hear(now(), &buffer[..length]);
                }
            }
            () = tokio::time::sleep_until(wake.min(looked + LOOK)) => {}
        }
        fleet.tick(now());
        changed |= looked.elapsed() >= LOOK;
        while let Some(action) = fleet.act() {
            match action {
                // What can't go out now is lost, as it may be anyway.
                Action::Send(to, bytes) => drop(socket.try_send_to(&bytes, to)),
                Action::Tell(event) => {
                    tell(&fleet, &event);
                    changed = true;
                }
            }
        }
        if changed {
            looked = Instant::now();
            view.send_replace(look(&fleet, now()));
        }
        if let Some(done) = left {
            let _ = done.send(());
        }
    }
}
