//! Gossip member of a hollow node on a real UDP socket, with simulated datagram loss and a simulated cut
//! between regions.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::UdpSocket;
use woodgap_fleet::wire::{GossipKeys, MAX_DATAGRAM_BYTES};
use woodgap_fleet::{
    Fleet, GossipAction, GossipSettings, LifecyclePhase, MemberState, NodeMetadata, MAX_EJECTED_MARKS,
};

use super::protocol::now_us;

/// Maximum number of datagrams read before timers are processed again.
const MAX_DATAGRAMS_PER_TICK: usize = 64;

/// Simulated network faults of all members of a host.
pub struct NetworkFaults {
    /// Share of sent datagrams that are dropped, from 0 to 1.
    pub loss_share: f64,
    /// Whether datagrams from and to other IP addresses are dropped. Each region has one IP address.
    pub regions_are_cut: Cell<bool>,
}

/// A gossip member, shared by its task and the code that reports its state.
pub struct HollowMember {
    /// Membership state machine.
    pub fleet: RefCell<Fleet>,
    /// UDP address of the member.
    pub addr: SocketAddr,
}

impl HollowMember {
    /// Binds a socket and spawns the member's task on the current `LocalSet`.
    ///
    /// # Errors
    /// When the socket cannot be bound.
    pub async fn start(
        name: &str,
        ip: IpAddr,
        seeds: &[(String, SocketAddr)],
        faults: Rc<NetworkFaults>,
    ) -> io::Result<Rc<HollowMember>> {
        let socket = UdpSocket::bind((ip, 0)).await?;
        let addr = socket.local_addr()?;
        let metadata = NodeMetadata {
            boot: now_us() / 1_000,
            addr,
            zone: String::new(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            config: 0,
            role: "node".to_owned(),
            phase: LifecyclePhase::Ready,
            completed_order: 0,
            ejected_marks: [0; MAX_EJECTED_MARKS],
        };
        let seeds: BTreeMap<Arc<str>, SocketAddr> =
            seeds.iter().map(|(name, addr)| (Arc::from(name.as_str()), *addr)).collect();
        let fleet = Fleet::new(
            0,
            name,
            metadata,
            seeds,
            GossipKeys::none(),
            GossipSettings::default(),
            fastrand::u64(..),
        );
        let member = Rc::new(HollowMember { fleet: RefCell::new(fleet), addr });
        tokio::task::spawn_local(member.clone().run(socket, faults));
        Ok(member)
    }

    async fn run(self: Rc<Self>, socket: UdpSocket, faults: Rc<NetworkFaults>) {
        let start = Instant::now();
        let now = || start.elapsed().as_millis() as u64;
        // One byte more than the limit, so that the state machine can detect a datagram that is too long.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let wake = start + Duration::from_millis(self.fleet.borrow().next_wake());
            let received = tokio::time::timeout_at(wake.into(), socket.recv_from(&mut buffer)).await;
            let mut fleet = self.fleet.borrow_mut();
            let mut next = received.ok().and_then(Result::ok);
            for _ in 0..MAX_DATAGRAMS_PER_TICK {
                let Some((length, from)) = next else { break };
                if !self.is_cut_from(from, &faults) {
                    fleet.receive(now(), &buffer[..length]);
                }
                next = socket.try_recv_from(&mut buffer).ok();
            }
            fleet.tick(now());
            while let Some(action) = fleet.next_action() {
                if let GossipAction::Send(to, bytes) = action {
                    self.send(&socket, to, &bytes, &faults);
                }
            }
        }
    }

    fn send(&self, socket: &UdpSocket, to: SocketAddr, bytes: &[u8], faults: &NetworkFaults) {
        if self.is_cut_from(to, faults) || fastrand::f64() < faults.loss_share {
            return;
        }
        // A datagram that the socket does not accept now is dropped; the protocol tolerates lost datagrams.
        let _ = socket.try_send_to(bytes, to);
    }

    fn is_cut_from(&self, other: SocketAddr, faults: &NetworkFaults) -> bool {
        faults.regions_are_cut.get() && other.ip() != self.addr.ip()
    }

    /// Returns the number of members that this one considers alive, including itself.
    pub fn alive_members(&self) -> u64 {
        let fleet = self.fleet.borrow();
        let alive = fleet.members().filter(|(_, member)| member.state == MemberState::Alive).count();
        alive as u64
    }
}
