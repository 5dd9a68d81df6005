//! Network links between processes with injected faults: a switch relays UDP datagrams, TCP relays carry
//! streams.
//!
//! ```text
//!   node i ── UDP ─▶ Switch: port of j ─ LinkFaults of (i, j) ─▶ node j
//!   node i ── TCP ─▶ TcpRelay ─ LinkFaults of each direction ─▶ a service or a server
//! ```
//!
//! Each receiver has a port at the switch, and a sender is known by its source address, so that each direction
//! between two nodes is a link of its own.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::Deserialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Faults of one direction of a link. The default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkFaults {
    /// Nothing passes. Data of TCP connections is held back until the link is restored.
    pub cut: bool,
    /// Fraction of the datagrams that are lost.
    #[serde(rename = "lost")]
    pub loss: f64,
    /// Fraction of the datagrams that are delivered twice.
    #[serde(rename = "doubled")]
    pub duplicate: f64,
    /// Fraction of the datagrams that are delayed by 2 to 10 ms, so that later ones overtake them.
    #[serde(rename = "late")]
    pub reorder: f64,
    /// Added latency, in milliseconds.
    pub delay_ms: u64,
    /// Maximum random latency that is added to `delay_ms`, in milliseconds.
    pub jitter_ms: u64,
    /// Bandwidth limit in bytes per second; 0 for no limit.
    pub bytes_per_s: u64,
}

impl LinkFaults {
    /// A link that carries nothing.
    pub const CUT: LinkFaults = LinkFaults {
        cut: true,
        loss: 0.0,
        duplicate: 0.0,
        reorder: 0.0,
        delay_ms: 0,
        jitter_ms: 0,
        bytes_per_s: 0,
    };

    /// The latency with this fraction of the jitter.
    fn delay(&self, jitter_fraction: f64) -> Duration {
        Duration::from_micros(self.delay_ms * 1_000 + (self.jitter_ms as f64 * 1e3 * jitter_fraction) as u64)
    }

    fn transmission_time(&self, bytes: usize) -> Duration {
        match self.bytes_per_s {
            0 => Duration::ZERO,
            rate => Duration::from_secs_f64(bytes as f64 / rate as f64),
        }
    }
}

/// Pseudo-random numbers from a seed.
#[derive(Debug)]
pub struct SeededRandom(AtomicU64);

impl SeededRandom {
    /// A generator that starts from this seed.
    pub fn new(seed: u64) -> SeededRandom {
        SeededRandom(AtomicU64::new(seed))
    }

    /// The next number, from 0 inclusive to 1 exclusive.
    pub fn fraction(&self) -> f64 {
        fastrand::Rng::with_seed(self.0.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed)).f64()
    }
}

#[derive(Default)]
struct SwitchState {
    addr_by_name: HashMap<String, SocketAddr>,
    name_by_addr: HashMap<SocketAddr, String>,
    /// Faults by the names of sender and receiver.
    faults: HashMap<(String, String), LinkFaults>,
    /// For links with a bandwidth limit, when the datagrams that were accepted so far will have been sent.
    busy_until: HashMap<(String, String), tokio::time::Instant>,
}

struct SwitchShared {
    state: Mutex<SwitchState>,
    random: SeededRandom,
    dropped: AtomicU64,
    forwarded: AtomicU64,
    bytes_received: AtomicU64,
}

impl SwitchShared {
    fn with_state<T>(&self, access: impl FnOnce(&mut SwitchState) -> T) -> T {
        access(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Relays datagrams between named endpoints until it is dropped.
pub struct Switch {
    shared: Arc<SwitchShared>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Switch {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Switch {
    /// A switch without ports.
    pub fn new(seed: u64) -> Switch {
        let (state, random) = (Mutex::default(), SeededRandom::new(seed));
        let [dropped, forwarded, bytes_received] = [0; 3].map(AtomicU64::new);
        let shared = SwitchShared { state, random, dropped, forwarded, bytes_received };
        Switch { shared: Arc::new(shared), tasks: Vec::new() }
    }

    /// Opens the port at which all others reach the endpoint of this name.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn add_port(&mut self, to: &str) -> io::Result<SocketAddr> {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let addr = socket.local_addr()?;
        let (shared, to) = (self.shared.clone(), to.to_owned());
        self.tasks.push(tokio::spawn(async move {
            let mut buffer = vec![0; 65_536];
            loop {
                let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
                forward_datagram(&shared, &socket, from, &to, &buffer[..length]);
            }
        }));
        Ok(addr)
    }

    /// Sets the address of an endpoint. It changes when the endpoint's process is restarted.
    pub fn set_address(&self, name: &str, addr: SocketAddr) {
        self.shared.with_state(|state| {
            if let Some(old) = state.addr_by_name.insert(name.to_owned(), addr) {
                state.name_by_addr.remove(&old);
            }
            state.name_by_addr.insert(addr, name.to_owned());
        });
    }

    /// Replaces the faults of the link from one endpoint to another.
    pub fn set_faults(&self, from: &str, to: &str, faults: LinkFaults) {
        self.shared.with_state(|state| state.faults.insert((from.to_owned(), to.to_owned()), faults));
    }

    /// Removes the faults of all links.
    pub fn clear_faults(&self) {
        self.shared.with_state(|state| state.faults.clear());
    }

    /// The numbers of datagrams that were dropped, by loss or a cut link, and that were forwarded.
    pub fn counts(&self) -> (u64, u64) {
        (self.shared.dropped.load(Ordering::Relaxed), self.shared.forwarded.load(Ordering::Relaxed))
    }

    /// Total size of the datagrams that the switch received, in bytes.
    pub fn bytes_received(&self) -> u64 {
        self.shared.bytes_received.load(Ordering::Relaxed)
    }

    /// Sends a datagram to an endpoint from a source that is no endpoint, as an attacker on the network
    /// would.
    ///
    /// # Errors
    /// If the receiver is unknown or the datagram cannot be sent.
    pub async fn inject(&self, to: &str, data: &[u8]) -> io::Result<()> {
        let to = self.shared.with_state(|state| state.addr_by_name.get(to).copied());
        let to = to.ok_or(io::ErrorKind::NotFound)?;
        UdpSocket::bind("127.0.0.1:0").await?.send_to(data, to).await.map(drop)
    }
}

fn forward_datagram(
    shared: &Arc<SwitchShared>,
    socket: &Arc<UdpSocket>,
    from: SocketAddr,
    to: &str,
    data: &[u8],
) {
    shared.bytes_received.fetch_add(data.len() as u64, Ordering::Relaxed);
    let now = tokio::time::Instant::now();
    let delivery = shared.with_state(|state| {
        // The address of a process that has just started is not known yet; its datagrams pass without faults.
        let from = state.name_by_addr.get(&from).cloned().unwrap_or_default();
        let addr = *state.addr_by_name.get(to)?;
        let link = (from, to.to_owned());
        let faults = state.faults.get(&link).copied().unwrap_or_default();
        let mut send_at = now + faults.delay(shared.random.fraction());
        if faults.bytes_per_s > 0 {
            let busy_until = state.busy_until.entry(link).or_insert(now);
            *busy_until = (*busy_until).max(now) + faults.transmission_time(data.len());
            send_at = send_at.max(*busy_until);
        }
        Some((addr, faults, send_at))
    });
    let Some((addr, faults, mut send_at)) = delivery else { return };
    if faults.cut || shared.random.fraction() < faults.loss {
        shared.dropped.fetch_add(1, Ordering::Relaxed);
        return;
    }
    if shared.random.fraction() < faults.reorder {
        send_at += Duration::from_micros(2_000 + (shared.random.fraction() * 8_000.0) as u64);
    }
    shared.forwarded.fetch_add(1, Ordering::Relaxed);
    let copies = if shared.random.fraction() < faults.duplicate { 2 } else { 1 };
    for _ in 0..copies {
        if send_at <= now {
            let _ = socket.try_send_to(data, addr);
        } else {
            let (socket, data) = (socket.clone(), data.to_vec());
            tokio::spawn(async move {
                tokio::time::sleep_until(send_at).await;
                let _ = socket.send_to(&data, addr).await;
            });
        }
    }
}

/// What a relay does with its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct RelayState {
    up: LinkFaults,
    down: LinkFaults,
    refuses: bool,
    /// The target of new connections. A change closes the open connections.
    target: Option<SocketAddr>,
}

/// Relays TCP connections to an address until it is dropped.
pub struct TcpRelay {
    /// The address at which the relay accepts connections.
    pub addr: SocketAddr,
    state: Arc<watch::Sender<RelayState>>,
    task: JoinHandle<()>,
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl TcpRelay {
    /// Starts a relay without faults.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(to: SocketAddr, seed: u64) -> io::Result<TcpRelay> {
        let initial = RelayState { target: Some(to), ..RelayState::default() };
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (state, random) = (Arc::new(watch::Sender::new(initial)), Arc::new(SeededRandom::new(seed)));
        let states = state.clone();
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            loop {
                tokio::select! {
                    Ok((client, _)) = listener.accept() => {
                        let (states, random) = (states.clone(), random.clone());
                        if !states.borrow().refuses {
                            connections.spawn(async move {
                                drop(relay_connection(client, &states, &random).await)
                            });
                        }
                    }
                    Some(_) = connections.join_next() => {}
                }
            }
        });
        Ok(TcpRelay { addr, state, task })
    }

    /// Replaces the faults of the directions towards the target (`up`) and back (`down`). A cut direction
    /// carries nothing and keeps its connections open, so that the endpoints see no end of the connection.
    pub fn set_faults(&self, up: LinkFaults, down: LinkFaults) {
        self.state.send_modify(|state| (state.up, state.down) = (up, down));
    }

    /// Relays new connections to another address, and closes the open ones.
    pub fn redirect(&self, to: SocketAddr) {
        self.state.send_modify(|state| state.target = Some(to));
    }

    /// Whether new connections are closed at once. Open connections are closed when this becomes true.
    pub fn refuse_connections(&self, refuses: bool) {
        self.state.send_modify(|state| state.refuses = refuses);
    }
}

async fn relay_connection(
    client: TcpStream,
    states: &watch::Sender<RelayState>,
    random: &SeededRandom,
) -> io::Result<()> {
    let mut changes = states.subscribe();
    let _ = changes.wait_for(|state| !state.up.cut).await;
    let target = changes.borrow().target.ok_or(io::ErrorKind::NotConnected)?;
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let ((client_in, client_out), (server_in, server_out)) = (client.into_split(), server.into_split());
    tokio::select! {
        result = async {
            tokio::try_join!(
                forward_stream(client_in, server_out, states.subscribe(), random, |state| state.up),
                forward_stream(server_in, client_out, states.subscribe(), random, |state| state.down),
            )
        } => result.map(drop),
        _ = changes.wait_for(|state| state.refuses || state.target != Some(target)) => Ok(()),
    }
}

async fn forward_stream(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut states: watch::Receiver<RelayState>,
    random: &SeededRandom,
    direction_faults: impl Fn(&RelayState) -> LinkFaults,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let length = from.read(&mut buffer).await?;
        // Data that was read while the direction is cut is held back, and so is the end of the stream.
        let faults = match states.wait_for(|state| !direction_faults(state).cut).await {
            Ok(state) => direction_faults(&state),
            Err(_) => return Ok(()),
        };
        if length == 0 {
            return to.shutdown().await;
        }
        let delay = faults.delay(random.fraction()) + faults.transmission_time(length);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        to.write_all(&buffer[..length]).await?;
    }
}
