//! Replacements for functions of the C library. Each asks the injector for a fault and makes the system call
//! itself.

mod clock;
mod files;
mod sockets;
mod transfers;

use std::ffi::{CStr, CString};
use std::sync::{Mutex, OnceLock, PoisonError};

use libc::{c_char, c_int, c_long, c_void};
use thiserror::Error;

use crate::injector::{CallContext, Effect, FaultInjector};
use crate::log::Log;
use crate::schedule::{CallName, Schedule, ScheduleError};
use crate::syscalls::monotonic_ms;
use crate::{INVALID_SCHEDULE_STATUS, LOG_VARIABLE, SCHEDULE_VARIABLE};

struct State {
    injector: Mutex<FaultInjector>,
    log: Log,
    start_ms: u64,
}

static STATE: OnceLock<Option<State>> = OnceLock::new();

/// Runs `start` when the library is loaded, before the program's `main`.
#[used]
#[link_section = ".init_array"]
static START: extern "C" fn() = start;

extern "C" fn start() {
    let state = environment_variable(SCHEDULE_VARIABLE).map(|path| {
        let schedule = read_schedule(&path).unwrap_or_else(|error| exit_with_error(&error));
        let log = Log(environment_variable(LOG_VARIABLE));
        State { injector: Mutex::new(FaultInjector::new(schedule)), log, start_ms: monotonic_ms() }
    });
    let _ = STATE.set(state);
}

fn environment_variable(name: &str) -> Option<CString> {
    let name = CString::new(name).ok()?;
    // SAFETY: the name ends with a NUL byte.
    let value = unsafe { libc::getenv(name.as_ptr()) };
    // SAFETY: getenv returns null or a string that ends with a NUL byte, and no thread changes the
    // environment before `main`.
    (!value.is_null()).then(|| unsafe { CStr::from_ptr(value) }.to_owned())
}

/// Why the schedule cannot be loaded.
#[derive(Debug, Error)]
enum StartError {
    #[error("the path in {SCHEDULE_VARIABLE} is not valid UTF-8: {0}")]
    Path(#[from] std::str::Utf8Error),
    #[error("{path}: {source}; write the schedule to this file before the program starts")]
    File { path: String, source: std::io::Error },
    #[error("{path}: {source}")]
    Schedule { path: String, source: ScheduleError },
}

fn read_schedule(path: &CStr) -> Result<Schedule, StartError> {
    let path = path.to_str()?;
    // `STATE` is not set yet, so the hooks inject no fault into this read.
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|source| StartError::File { path: path.to_owned(), source })?;
    Schedule::parse(&text).map_err(|source| StartError::Schedule { path: path.to_owned(), source })
}

fn exit_with_error(error: &StartError) -> ! {
    let line = format!("woodgap-faults: {}\n", error.to_string().replace('\n', " "));
    // SAFETY: the length is that of the line, and the process ends here.
    unsafe {
        libc::syscall(libc::SYS_write, c_long::from(libc::STDERR_FILENO), line.as_ptr(), line.len());
        libc::_exit(INVALID_SCHEDULE_STATUS)
    }
}

fn state() -> Option<&'static State> {
    STATE.get()?.as_ref()
}

/// The effect of a fault on a call, if any. Logs it.
fn injected_effect(call: CallName, fd: c_int, context: &impl CallContext) -> Option<Effect> {
    let state = state()?;
    let now_ms = monotonic_ms() - state.start_ms;
    let mut injector = state.injector.lock().unwrap_or_else(PoisonError::into_inner);
    let effect = injector.inject(call, now_ms, context)?;
    drop(injector);
    state.log.write(now_ms, &format!("{call:?} {effect:?}"), fd);
    Some(effect)
}

/// The `errno` with which a call has to fail, if any.
fn injected_error(call: CallName, fd: c_int, context: &impl CallContext) -> Option<c_int> {
    match injected_effect(call, fd, context)? {
        Effect::Fail(errno) => Some(errno),
        Effect::Short(_) => None,
    }
}

/// The offset of the wall clock, in milliseconds.
fn clock_offset_ms() -> i64 {
    let Some(state) = state() else { return 0 };
    let now_ms = monotonic_ms() - state.start_ms;
    let (offset_ms, new_step) =
        state.injector.lock().unwrap_or_else(PoisonError::into_inner).clock_offset(now_ms);
    if new_step {
        state.log.write(now_ms, &format!("ClockRealtime {offset_ms} ms"), -1);
    }
    offset_ms
}

/// # Safety
/// `path` points to a string that ends with a NUL byte.
unsafe fn path_of(path: *const c_char) -> crate::syscalls::Path {
    // SAFETY: the caller guarantees that the string ends with a NUL byte.
    crate::syscalls::Path(unsafe { CStr::from_ptr(path) }.to_string_lossy().into_owned())
}

/// Casts a pointer to the untyped form of a system call's argument.
fn untyped<T>(pointer: *const T) -> *const c_void {
    pointer.cast()
}
