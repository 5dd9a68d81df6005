//! Datagrams between the nodes of a tier, over UDP, for the decision modules of the platform's nodes.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

/// Maximum length of a datagram; longer ones are neither sent nor accepted.
const MAX_DATAGRAM_BYTES: usize = 256;

/// The socket to the other nodes of this tier, which are addressed by their index in the configuration.
pub struct PeerSocket {
    socket: UdpSocket,
    peers: Vec<SocketAddr>,
    broadcast: Option<SocketAddr>,
}

impl PeerSocket {
    /// Binds the socket. `peers` are the nodes by index, `broadcast` is the address that reaches all of them.
    ///
    /// # Errors
    /// Returns the failure of bind(2).
    pub async fn bind(
        listen: SocketAddr,
        peers: Vec<SocketAddr>,
        broadcast: Option<SocketAddr>,
    ) -> std::io::Result<Rc<Self>> {
        Ok(Rc::new(PeerSocket { socket: UdpSocket::bind(listen).await?, peers, broadcast }))
    }

    /// Sends to one node, or to all if `peer` is `None`. A datagram that cannot be sent at once is dropped,
    /// as datagrams may be lost anyway.
    pub fn send(&self, peer: Option<u32>, data: &[u8]) {
        let to = match peer {
            Some(peer) => self.peers.get(peer as usize).copied(),
            None => self.broadcast,
        };
        if let Some(to) = to.filter(|_| data.len() <= MAX_DATAGRAM_BYTES) {
            let _ = self.socket.try_send_to(data, to);
        }
    }

    /// Receives the next datagram, with the index of its sender. Datagrams that are too long or from unknown
    /// addresses are dropped.
    pub async fn receive(&self) -> (u32, Vec<u8>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((size, from)) = self.socket.recv_from(&mut buffer).await else {
                tokio::task::yield_now().await;
                continue;
            };
            let sender = self.peers.iter().position(|&peer| peer == from);
            if let Some(sender) = sender.filter(|_| size <= MAX_DATAGRAM_BYTES) {
                return (sender as u32, buffer[..size].to_vec());
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn datagrams_that_are_too_long_or_from_unknown_senders_are_dropped() {
        let any = "127.0.0.1:0";
        let known = UdpSocket::bind(any).await.unwrap();
        let unknown = UdpSocket::bind(any).await.unwrap();
        let peers = [unknown.local_addr().unwrap(), known.local_addr().unwrap()];
        let node = PeerSocket::bind(any.parse().unwrap(), vec![peers[1]], None).await.unwrap();
        let to = node.socket.local_addr().unwrap();
        unknown.send_to(b"x", to).await.unwrap();
        known.send_to(&[7; MAX_DATAGRAM_BYTES + 1], to).await.unwrap();
        known.send_to(&[8; MAX_DATAGRAM_BYTES], to).await.unwrap();
        assert_eq!(node.receive().await, (0, vec![8; MAX_DATAGRAM_BYTES]));
    }
}
