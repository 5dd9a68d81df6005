//! Hooks that read and write sockets and files.

use libc::{c_int, c_long, c_void, iovec, off64_t, size_t, sockaddr, socklen_t, ssize_t};

use super::injected_effect;
use crate::injector::Effect;
use crate::schedule::CallName;
use crate::syscalls::{fail, Descriptor};

/// The number of bytes that a call may transfer, or the `errno` with which it has to fail.
fn allowed_length(call: CallName, fd: c_int, length: size_t) -> Result<size_t, c_int> {
    match injected_effect(call, fd, &Descriptor(fd)) {
        None => Ok(length),
        Some(Effect::Short(max_bytes)) => Ok(length.min(max_bytes)),
        Some(Effect::Fail(errno)) => Err(errno),
    }
}

/// read(2).
#[no_mangle]
pub unsafe extern "C" fn read(fd: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    match allowed_length(CallName::Read, fd, length) {
        // SAFETY: the length does not exceed that of the caller's buffer.
        Ok(length) => unsafe { libc::syscall(libc::SYS_read, c_long::from(fd), buffer, length) as ssize_t },
        Err(errno) => fail(errno) as ssize_t,
    }
}

/// recv(2).
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let (no_address, no_length): (*mut sockaddr, *mut socklen_t) =
        (std::ptr::null_mut(), std::ptr::null_mut());
    match allowed_length(CallName::Recv, fd, length) {
        // SAFETY: the length does not exceed that of the caller's buffer.
        Ok(length) => unsafe {
            let (fd, flags) = (c_long::from(fd), c_long::from(flags));
            libc::syscall(libc::SYS_recvfrom, fd, buffer, length, flags, no_address, no_length) as ssize_t
        },
        Err(errno) => fail(errno) as ssize_t,
    }
}

/// write(2).
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    match allowed_length(CallName::Write, fd, length) {
        // SAFETY: the length does not exceed that of the caller's buffer.
        Ok(length) => unsafe { libc::syscall(libc::SYS_write, c_long::from(fd), buffer, length) as ssize_t },
        Err(errno) => fail(errno) as ssize_t,
    }
}

/// pwrite(2).
#[no_mangle]
pub unsafe extern "C" fn pwrite64(fd: c_int, buffer: *const c_void, length: size_t, at: off64_t) -> ssize_t {
    match allowed_length(CallName::Write, fd, length) {
        // SAFETY: the length does not exceed that of the caller's buffer.
        Ok(length) => unsafe {
            libc::syscall(libc::SYS_pwrite64, c_long::from(fd), buffer, length, at) as ssize_t
        },
        Err(errno) => fail(errno) as ssize_t,
    }
}

/// send(2).
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let (no_address, no_length): (*const sockaddr, c_long) = (std::ptr::null(), 0);
    match allowed_length(CallName::Send, fd, length) {
        // SAFETY: the length does not exceed that of the caller's buffer.
        Ok(length) => unsafe {
            let (fd, flags) = (c_long::from(fd), c_long::from(flags));
            libc::syscall(libc::SYS_sendto, fd, buffer, length, flags, no_address, no_length) as ssize_t
        },
        Err(errno) => fail(errno) as ssize_t,
    }
}

/// writev(2). A shortened call writes the beginning of the first buffer that is not empty.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    // SAFETY: the caller passes `count` buffers.
    let caller_buffers = unsafe { std::slice::from_raw_parts(buffers, count.max(0) as usize) };
    let total = caller_buffers.iter().map(|buffer| buffer.iov_len).sum();
    match allowed_length(CallName::Writev, fd, total) {
        // SAFETY: the caller's arguments are passed on unchanged.
        Ok(length) if length == total => unsafe {
            libc::syscall(libc::SYS_writev, c_long::from(fd), buffers, c_long::from(count)) as ssize_t
        },
        Ok(length) => {
            let Some(first) = caller_buffers.iter().find(|buffer| buffer.iov_len > 0) else { return 0 };
            let length = length.min(first.iov_len);
            // SAFETY: the length does not exceed that of the caller's first buffer.
            unsafe { libc::syscall(libc::SYS_write, c_long::from(fd), first.iov_base, length) as ssize_t }
        }
        Err(errno) => fail(errno) as ssize_t,
    }
}
