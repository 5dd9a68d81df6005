//! Classifies failed system calls for the accept loops and the connections to servers, and retries the
//! creation of sockets at startup.

use std::future::Future;
use std::io::{self, ErrorKind};
use std::time::Duration;

use tokio::time::{sleep, Instant};

/// How long a failed creation of a socket is retried at startup.
const STARTUP_RETRY_DURATION: Duration = Duration::from_secs(5);
/// Pause before each retry at startup.
const STARTUP_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// How an accept loop continues after a failed accept(2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptErrorAction {
    /// Accept again at once: the connection is closed or the call was interrupted, and another connection may
    /// be waiting.
    AcceptNext,
    /// Accept again after a pause: the system is short of a resource, and the connection stays in the
    /// backlog.
    Pause,
    /// Close a connection of the process first, as the process has no file descriptor left.
    FreeDescriptor,
}

/// Determines how an accept loop continues after an error of accept(2).
pub fn accept_error_action(error: &io::Error) -> AcceptErrorAction {
    match error.raw_os_error() {
        Some(libc::EMFILE) => AcceptErrorAction::FreeDescriptor,
        Some(libc::ENFILE | libc::ENOBUFS | libc::ENOMEM) => AcceptErrorAction::Pause,
        // accept(2) also reports pending errors of the new connection.
        Some(libc::ECONNABORTED | libc::EINTR | libc::EPROTO | libc::EHOSTUNREACH | libc::ETIMEDOUT) => {
            AcceptErrorAction::AcceptNext
        }
        _ => AcceptErrorAction::Pause,
    }
}

/// Whether a connection attempt failed for lack of a local resource, which says nothing about the server.
pub fn is_local_error(error: &io::Error) -> bool {
    const LOCAL_ERRNOS: [i32; 8] = [
        libc::EADDRNOTAVAIL,
        libc::EAGAIN,
        libc::EINTR,
        libc::EMFILE,
        libc::ENETUNREACH,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
    ];
    error.raw_os_error().is_some_and(|number| LOCAL_ERRNOS.contains(&number))
}

/// Creates a socket that the process needs to start, shown as `name` in the log. Retries for a limited time
/// if the system is short of a resource or a previous process still holds the address.
///
/// # Errors
/// Returns the last failure.
pub async fn retry_at_startup<T, F>(name: &str, create: impl Fn() -> F) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let start = Instant::now();
    loop {
        match create().await {
            Err(error) if may_be_transient(&error) && start.elapsed() < STARTUP_RETRY_DURATION => {
                tracing::info!("cannot create {name}: {error}; retrying");
                sleep(STARTUP_RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

/// Whether a retry of a failed creation of a socket may succeed.
fn may_be_transient(error: &io::Error) -> bool {
    is_local_error(error) || error.kind() == ErrorKind::AddrInUse
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_lack_of_own_descriptors_makes_the_node_close_a_connection() {
        let action = |number| accept_error_action(&io::Error::from_raw_os_error(number));
        assert_eq!(action(libc::EMFILE), AcceptErrorAction::FreeDescriptor);
        for number in [libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EBADF] {
            assert_eq!(action(number), AcceptErrorAction::Pause);
        }
        for number in [libc::ECONNABORTED, libc::EINTR, libc::EPROTO] {
            assert_eq!(action(number), AcceptErrorAction::AcceptNext);
        }
    }

    #[test]
    fn refusal_by_the_server_is_no_local_error() {
        let is_local = |number| is_local_error(&io::Error::from_raw_os_error(number));
        assert!([libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EINTR, libc::ENOBUFS]
            .into_iter()
            .all(is_local));
        assert!(![libc::ECONNREFUSED, libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET]
            .into_iter()
            .any(is_local));
    }

    #[tokio::test(start_paused = true)]
    async fn socket_creation_at_startup_is_retried_for_a_limited_time() {
        let attempts = std::cell::Cell::new(0);
        let attempts = &attempts;
        let fail_first = |failures: u32, number: i32| {
            attempts.set(0);
            retry_at_startup("a socket", move || {
                attempts.set(attempts.get() + 1);
                let done = attempts.get() > failures;
                async move { done.then_some(()).ok_or(io::Error::from_raw_os_error(number)) }
            })
        };
        assert!(fail_first(3, libc::ENOBUFS).await.is_ok());
        assert!(fail_first(u32::MAX, libc::ENOBUFS).await.is_err());
        let start = Instant::now();
        assert!(fail_first(u32::MAX, libc::EACCES).await.is_err());
        assert_eq!((start.elapsed(), attempts.get()), (Duration::ZERO, 1));
    }
}
