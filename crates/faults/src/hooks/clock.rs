//! The hook of the wall clock.

use libc::{c_int, c_long, clockid_t, timespec};

/// clock_gettime(2).
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller passes a valid timespec, as the system call requires.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, c_long::from(clock), time) } as c_int;
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let offset_ms = super::clock_offset_ms();
        // SAFETY: the system call has just filled the caller's timespec.
        let time = unsafe { &mut *time };
        let nanos = i128::from(time.tv_sec) * 1_000_000_000
            + i128::from(time.tv_nsec)
            + i128::from(offset_ms) * 1_000_000;
        time.tv_sec = nanos.div_euclid(1_000_000_000) as libc::time_t;
        time.tv_nsec = nanos.rem_euclid(1_000_000_000) as c_long;
    }
    result
}
