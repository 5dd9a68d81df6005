//! Datagrams between nodes.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

/// The longest datagram.
const LONGEST: usize = 256;

/// The nodes of this tier, by their numbers.
pub struct Peers {
    socket: UdpSocket,
    peers: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

impl Peers {
    pub async fn bind(
        listen: SocketAddr,
        peers: Vec<SocketAddr>,
        all: Option<SocketAddr>,
    ) -> std::io::Result<Rc<Self>> {
        Ok(Rc::new(Peers { socket: UdpSocket::bind(listen).await?, peers, all }))
    }

    /// Sends to one node or to all. A datagram that can't go out now is lost, as it may be anyway.
    pub fn tell(&self, peer: Option<u32>, data: &[u8]) {
        let to = match peer {
            Some(peer) => self.peers.get(peer as usize).copied(),
            None => self.all,
        };
        if let Some(to) = to.filter(|_| data.len() <= LONGEST) {
            let _ = self.socket.try_send_to(data, to);
        }
    }

    /// The next datagram of a known node that is no longer than allowed; others are dropped.
    pub async fn next(&self) -> (u32, Vec<u8>) {
        let mut buffer = [0; LONGEST + 1];
        loop {
            let Ok((size, from)) = self.socket.recv_from(&mut buffer).await else {
                tokio::task::yield_now().await;
                continue;
            };
            let sender = self.peers.iter().position(|&peer| peer == from);
            if let Some(sender) = sender.filter(|_| size <= LONGEST) {
                return (sender as u32, buffer[..size].to_vec());
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn drops_what_is_too_long_or_from_strangers() {
        let any = "127.0.0.1:0";
        let known = UdpSocket::bind(any).await.unwrap();
        let stranger = UdpSocket::bind(any).await.unwrap();
        let peers = [stranger.local_addr().unwrap(), known.local_addr().unwrap()];
        let node = Peers::bind(any.parse().unwrap(), vec![peers[1]], None).await.unwrap();
        let to = node.socket.local_addr().unwrap();
        stranger.send_to(b"x", to).await.unwrap();
        known.send_to(&[7; LONGEST + 1], to).await.unwrap();
        known.send_to(&[8; LONGEST], to).await.unwrap();
        assert_eq!(node.next().await, (0, vec![8; LONGEST]));
    }
}
