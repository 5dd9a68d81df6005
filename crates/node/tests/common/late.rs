//! A server whose connections do not come up, and how its dials stand.

use std::net::{SocketAddr, TcpListener, TcpStream};

use socket2::{Domain, Socket, Type};

/// A listener whose queue is full: a dial is under way to it for as long as its caller waits.
pub struct Late {
    pub addr: SocketAddr,
    listener: TcpListener,
    _fills: TcpStream,
}

impl Late {
    pub fn new() -> Late {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        // Room for one that is not accepted; what comes after it waits.
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let addr = listener.local_addr().unwrap();
        let fills = TcpStream::connect(addr).unwrap();
        Late { addr, listener, _fills: fills }
    }

    /// Whether somebody's dial is under way.
    pub fn is_dialled(&self) -> bool {
        const SYN_SENT: &str = "02";
        let peer = format!("0100007F:{:04X}", self.addr.port());
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        table.lines().any(|line| {
            let mut fields = line.split_whitespace().skip(2);
            fields.next() == Some(&peer) && fields.next() == Some(SYN_SENT)
        })
    }

    /// Takes connections from now on; whether one is there beside that of the test.
    pub fn was_reached(&self) -> bool {
        self.listener.accept().unwrap();
        self.listener.set_nonblocking(true).unwrap();
        self.listener.accept().is_ok()
    }
}
