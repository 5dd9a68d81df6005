//! A UDP relay between clients and a server that drops, duplicates and reorders datagrams at random, from a
//! seed.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

/// Faults of the relayed datagrams, each as a fraction of all datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DatagramFaults {
    /// Datagrams that are lost.
    pub loss: f64,
    /// Datagrams that are delivered twice.
    pub duplicate: f64,
    /// Datagrams that are delayed by 2 to 10 ms, so that later ones overtake them.
    pub reorder: f64,
}

struct Shared {
    faults: Mutex<DatagramFaults>,
    seed: AtomicU64,
    dropped: AtomicU64,
    /// Counts the changes of the source addresses that the server sees.
    binding_epoch: AtomicU64,
}

impl Shared {
    /// The next pseudo-random number, from 0 inclusive to 1 exclusive.
    fn next_fraction(&self) -> f64 {
        // SplitMix64 (Steele, Lea, Flood 2014).
        let mut x = self.seed.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
        x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Relays datagrams on a loopback port until it is dropped.
pub struct DatagramRelay {
    /// The address to which clients send.
    pub addr: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Drop for DatagramRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl DatagramRelay {
    /// Starts a relay to a server, without faults.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(to: SocketAddr, seed: u64) -> io::Result<DatagramRelay> {
        let client_socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let addr = client_socket.local_addr()?;
        let shared = Arc::new(Shared {
            faults: Mutex::default(),
            seed: AtomicU64::new(seed),
            dropped: AtomicU64::new(0),
            binding_epoch: AtomicU64::new(0),
        });
        let state = shared.clone();
        let task = tokio::spawn(async move {
            // One socket to the server for each client, so that the server's datagrams reach the right
            // client.
            let mut sockets_by_client: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
            let mut readers = tokio::task::JoinSet::new();
            let mut buffer = vec![0; 65_536];
            let mut epoch = 0;
            loop {
                let Ok((length, from)) = client_socket.recv_from(&mut buffer).await else { continue };
                let current_epoch = state.binding_epoch.load(Ordering::Relaxed);
                if std::mem::replace(&mut epoch, current_epoch) != current_epoch {
                    sockets_by_client.clear();
                }
                let server_socket = match sockets_by_client.get(&from) {
                    Some(server_socket) => server_socket.clone(),
                    None => {
                        let Ok(server_socket) = UdpSocket::bind("127.0.0.1:0").await else { continue };
                        let server_socket = Arc::new(server_socket);
                        sockets_by_client.insert(from, server_socket.clone());
                        let (client_socket, receiver, state) =
                            (client_socket.clone(), server_socket.clone(), state.clone());
                        readers.spawn(async move {
                            let mut buffer = vec![0; 65_536];
                            loop {
                                let Ok((length, _)) = receiver.recv_from(&mut buffer).await else { continue };
                                forward(&state, &client_socket, from, &buffer[..length]).await;
                            }
                        });
                        server_socket
                    }
                };
                forward(&state, &server_socket, to, &buffer[..length]).await;
            }
        });
        Ok(DatagramRelay { addr, shared, task })
    }

    /// Replaces the faults of both directions.
    pub fn set_faults(&self, faults: DatagramFaults) {
        *self.shared.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Changes the source addresses that the server sees from the next datagram on, as a NAT does that has
    /// lost its bindings. Clients do not notice.
    pub fn rebind(&self) {
        self.shared.binding_epoch.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of datagrams that were dropped.
    pub fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }
}

async fn forward(state: &Arc<Shared>, socket: &Arc<UdpSocket>, to: SocketAddr, data: &[u8]) {
    let faults = *state.faults.lock().unwrap_or_else(PoisonError::into_inner);
    if state.next_fraction() < faults.loss {
        state.dropped.fetch_add(1, Ordering::Relaxed);
        return;
    }
    if state.next_fraction() < faults.reorder {
        let (socket, data) = (socket.clone(), data.to_vec());
        let delay = Duration::from_micros(2_000 + (state.next_fraction() * 8_000.0) as u64);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = socket.send_to(&data, to).await;
        });
        return;
    }
    let _ = socket.send_to(data, to).await;
    if state.next_fraction() < faults.duplicate {
        let _ = socket.send_to(data, to).await;
    }
}
