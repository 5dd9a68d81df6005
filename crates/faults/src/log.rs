//! The log of injected faults: a numbered line for each, in a file of its own.

use std::ffi::CString;
use std::sync::atomic::{AtomicU64, Ordering};

use libc::{c_int, c_long};

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// The path of the log file. The file is opened and closed for each line, so that the log holds no descriptor
/// in the program; `None` for no log.
#[derive(Debug)]
pub struct Log(pub Option<CString>);

impl Log {
    /// Writes a line: a number, the time since the process started, the fault and the descriptor.
    pub fn write(&self, now_ms: u64, fault: &str, fd: c_int) {
        let Some(path) = &self.0 else { return };
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let line = format!("{number} {now_ms} {fault} fd={fd}\n");
        let flags = c_long::from(libc::O_WRONLY | libc::O_CREAT | libc::O_APPEND | libc::O_CLOEXEC);
        // SAFETY: the path ends with a NUL byte, the length is that of the line, and the descriptor is closed
        // here once.
        unsafe {
            let file =
                libc::syscall(libc::SYS_openat, c_long::from(libc::AT_FDCWD), path.as_ptr(), flags, 0o644);
            if file >= 0 {
                libc::syscall(libc::SYS_write, file, line.as_ptr(), line.len());
                libc::syscall(libc::SYS_close, file);
            }
        }
    }
}
