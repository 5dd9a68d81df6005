//! Hooks that create, accept and connect sockets, read their errors and wait for events.

use libc::{c_int, c_long, c_void, epoll_event, sockaddr, sockaddr_in, socklen_t};

use super::{injected_error, untyped};
use crate::schedule::CallName;
use crate::syscalls::{fail, ConnectCall, Descriptor};

/// socket(2).
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(errno) = injected_error(CallName::Socket, -1, &Descriptor(-1)) {
        return fail(errno);
    }
    let (domain, kind, protocol) = (c_long::from(domain), c_long::from(kind), c_long::from(protocol));
    // SAFETY: the arguments are numbers, not pointers.
    unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int }
}

/// accept4(2).
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(errno) = injected_error(CallName::Accept, fd, &Descriptor(fd)) {
        return fail(errno);
    }
    let (fd, flags) = (c_long::from(fd), c_long::from(flags));
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { libc::syscall(libc::SYS_accept4, fd, address, length, flags) as c_int }
}

/// connect(2).
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let long_enough = length as usize >= std::mem::size_of::<sockaddr_in>();
    let port = long_enough.then(|| {
        // SAFETY: the caller's address is `length` bytes long, and the read does not require alignment.
        let address = unsafe { address.cast::<sockaddr_in>().read_unaligned() };
        u16::from_be(address.sin_port)
    });
    if let Some(errno) = injected_error(CallName::Connect, fd, &ConnectCall(Descriptor(fd), port)) {
        return fail(errno);
    }
    let (fd, length) = (c_long::from(fd), c_long::from(length));
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { libc::syscall(libc::SYS_connect, fd, untyped(address), length) as c_int }
}

/// getsockopt(2). A fault replaces the value of the option SO_ERROR.
#[no_mangle]
pub unsafe extern "C" fn getsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *mut c_void,
    length: *mut socklen_t,
) -> c_int {
    let (descriptor, option) = (c_long::from(fd), c_long::from(name));
    // SAFETY: the caller's arguments are passed on unchanged.
    let result = unsafe {
        libc::syscall(libc::SYS_getsockopt, descriptor, c_long::from(level), option, value, length) as c_int
    };
    let asks_for_error = (level, name) == (libc::SOL_SOCKET, libc::SO_ERROR);
    if result == 0 && asks_for_error {
        if let Some(errno) = injected_error(CallName::SocketError, fd, &Descriptor(fd)) {
            // SAFETY: the system call has just written the value of this option, a c_int, there.
            unsafe { value.cast::<c_int>().write_unaligned(errno) };
        }
    }
    result
}

/// epoll_wait(2).
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(errno) = injected_error(CallName::EpollWait, fd, &Descriptor(fd)) {
        return fail(errno);
    }
    let (fd, max_events, timeout) = (c_long::from(fd), c_long::from(max_events), c_long::from(timeout));
    let signal_mask: *const c_void = std::ptr::null();
    // SAFETY: the caller's arguments are passed on unchanged, with a null signal mask.
    unsafe {
        libc::syscall(libc::SYS_epoll_pwait, fd, events, max_events, timeout, signal_mask, 8 as c_long)
            as c_int
    }
}
