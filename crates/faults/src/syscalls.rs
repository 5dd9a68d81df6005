//! Direct system calls by number, and what the kernel reports about a descriptor.

use std::mem::{size_of, zeroed};

use libc::{c_int, c_long, sockaddr_in, socklen_t};

use crate::injector::CallContext;
use crate::schedule::Target;

/// The time of the monotonic clock, in milliseconds.
pub fn monotonic_ms() -> u64 {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `now` is a local timespec that the call fills.
    unsafe { libc::syscall(libc::SYS_clock_gettime, c_long::from(libc::CLOCK_MONOTONIC), &mut now) };
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}

/// Sets `errno` and returns -1, as a failed call of the C library does.
pub fn fail(errno: c_int) -> c_int {
    // SAFETY: the address of this thread's errno is always valid for writes.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// A file descriptor.
#[derive(Clone, Copy)]
pub struct Descriptor(pub c_int);

impl Descriptor {
    fn option(self, name: c_int) -> Option<c_int> {
        let (mut value, mut length): (c_int, socklen_t) = (0, size_of::<c_int>() as socklen_t);
        let (fd, level) = (c_long::from(self.0), c_long::from(libc::SOL_SOCKET));
        // SAFETY: `value` and `length` are local, and `length` is the size of `value`.
        let result = unsafe {
            libc::syscall(libc::SYS_getsockopt, fd, level, c_long::from(name), &mut value, &mut length)
        };
        (result == 0).then_some(value)
    }

    fn port(self, call: c_long) -> Option<u16> {
        // SAFETY: a sockaddr_in of zero bytes is valid.
        let mut address: sockaddr_in = unsafe { zeroed() };
        let mut length = size_of::<sockaddr_in>() as socklen_t;
        // SAFETY: `address` and `length` are local, and `length` is the size of `address`.
        let result = unsafe { libc::syscall(call, c_long::from(self.0), &mut address, &mut length) };
        let is_ipv4 = c_int::from(address.sin_family) == libc::AF_INET;
        (result == 0 && is_ipv4).then(|| u16::from_be(address.sin_port))
    }
}

impl CallContext for Descriptor {
    fn target(&self) -> Target {
        if self.option(libc::SO_DOMAIN) == Some(libc::AF_UNIX) {
            return Target::Unix;
        }
        match (self.option(libc::SO_TYPE), self.option(libc::SO_ACCEPTCONN)) {
            (None, _) => Target::File,
            (Some(libc::SOCK_DGRAM), _) => Target::Datagram,
            (Some(_), Some(1)) => Target::Listener,
            (Some(_), _) => Target::Stream,
        }
    }

    fn peer_port(&self) -> Option<u16> {
        self.port(libc::SYS_getpeername)
    }

    fn local_port(&self) -> Option<u16> {
        self.port(libc::SYS_getsockname)
    }

    fn path(&self) -> Option<String> {
        let link = format!("/proc/self/fd/{}\0", self.0);
        let mut path = [0_u8; 512];
        let (link, buffer, length) = (link.as_ptr(), path.as_mut_ptr(), path.len());
        // SAFETY: `link` ends with a NUL byte, and `length` is the size of the buffer.
        let result = unsafe {
            libc::syscall(libc::SYS_readlinkat, c_long::from(libc::AT_FDCWD), link, buffer, length)
        };
        let length = usize::try_from(result).ok()?;
        Some(String::from_utf8_lossy(&path[..length]).into_owned())
    }
}

/// The path of a file that a call opens or renames.
pub struct Path(pub String);

impl CallContext for Path {
    fn target(&self) -> Target {
        Target::File
    }

    fn peer_port(&self) -> Option<u16> {
        None
    }

    fn local_port(&self) -> Option<u16> {
        None
    }

    fn path(&self) -> Option<String> {
        Some(self.0.clone())
    }
}

/// A `connect` call: its socket, and the peer's port if the address has one.
pub struct ConnectCall(pub Descriptor, pub Option<u16>);

impl CallContext for ConnectCall {
    fn target(&self) -> Target {
        self.0.target()
    }

    fn peer_port(&self) -> Option<u16> {
        self.1
    }

    fn local_port(&self) -> Option<u16> {
        self.0.local_port()
    }

    fn path(&self) -> Option<String> {
        None
    }
}
