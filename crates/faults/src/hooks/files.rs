//! Hooks that open, sync, rename and truncate files. Reads and writes are in `transfers`.

use libc::{c_char, c_int, c_long, c_uint, off64_t};

use super::{injected_error, path_of};
use crate::schedule::CallName;
use crate::syscalls::{fail, Descriptor};

/// open(2). C declares it with variable arguments; on the supported systems the calling convention passes the
/// mode like a third fixed argument.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: c_uint) -> c_int {
    // SAFETY: the caller's path ends with a NUL byte, as the system call requires.
    if let Some(errno) = injected_error(CallName::Open, -1, &unsafe { path_of(path) }) {
        return fail(errno);
    }
    let at = c_long::from(libc::AT_FDCWD);
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { libc::syscall(libc::SYS_openat, at, path, c_long::from(flags), c_long::from(mode)) as c_int }
}

/// open(2).
#[no_mangle]
pub unsafe extern "C" fn open(path: *const c_char, flags: c_int, mode: c_uint) -> c_int {
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { open64(path, flags, mode) }
}

macro_rules! on_descriptor {
    ($(#[$doc:meta])* $name:ident, $call:expr, $number:expr $(, $argument:ident: $type:ty)*) => {
        $(#[$doc])*
        #[no_mangle]
        pub unsafe extern "C" fn $name(fd: c_int $(, $argument: $type)*) -> c_int {
            if let Some(errno) = injected_error($call, fd, &Descriptor(fd)) {
                return fail(errno);
            }
            // SAFETY: the caller's arguments are passed on unchanged.
            unsafe { libc::syscall($number, c_long::from(fd) $(, $argument)*) as c_int }
        }
    };
}

on_descriptor!(/** fsync(2). */ fsync, CallName::Fsync, libc::SYS_fsync);
on_descriptor!(/** fdatasync(2). */ fdatasync, CallName::Fdatasync, libc::SYS_fdatasync);
on_descriptor!(/** ftruncate(2). */ ftruncate64, CallName::Ftruncate, libc::SYS_ftruncate, length: off64_t);
on_descriptor!(/** ftruncate(2). */ ftruncate, CallName::Ftruncate, libc::SYS_ftruncate, length: off64_t);

/// rename(2).
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    // SAFETY: the caller's path ends with a NUL byte, as the system call requires.
    if let Some(errno) = injected_error(CallName::Rename, -1, &unsafe { path_of(to) }) {
        return fail(errno);
    }
    let at = c_long::from(libc::AT_FDCWD);
    // SAFETY: the caller's arguments are passed on unchanged.
    unsafe { libc::syscall(libc::SYS_renameat2, at, from, at, to, 0 as c_long) as c_int }
}
