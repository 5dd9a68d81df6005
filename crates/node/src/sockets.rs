//! The budget of sockets that a node's clients and all its pools share. If it is exhausted, lingering and
//! idle connections are closed to free a socket.

use std::cell::RefCell;
use std::rc::{Rc, Weak};

use crate::task::{LocalPermit, LocalSemaphore};
use crate::upstream::servers::Servers;

/// The node's socket budget, shared by its client connections and by every pool's connections to servers.
pub struct SocketBudget {
    semaphore: Rc<LocalSemaphore>,
    pools: RefCell<Vec<Weak<Servers>>>,
    close_lingering: RefCell<Option<CloseLingering>>,
}

/// Closes a client connection that the node has already shut down on its side; returns `false` if there is
/// none.
type CloseLingering = Box<dyn Fn() -> bool>;

impl SocketBudget {
    /// Creates a budget of `max_sockets` sockets.
    pub fn new(max_sockets: usize) -> Rc<Self> {
        Rc::new(SocketBudget {
            semaphore: LocalSemaphore::new(max_sockets),
            pools: RefCell::default(),
            close_lingering: RefCell::default(),
        })
    }

    /// Adds a pool whose idle connections may be closed to free a socket.
    pub fn register_pool(&self, servers: &Rc<Servers>) {
        let mut pools = self.pools.borrow_mut();
        pools.retain(|pool| pool.strong_count() > 0);
        pools.push(Rc::downgrade(servers));
    }

    /// Closes the longest idle connection of the pool with the most idle ones, so that a pool with few keeps
    /// them. Returns `false` if there is none.
    pub fn evict_idle(&self) -> bool {
        let pools = self.pools.borrow();
        let most_idle =
            pools.iter().filter_map(Weak::upgrade).max_by_key(|pool| pool.idle_connection_count());
        most_idle.is_some_and(|pool| pool.evict_idle_connection())
    }

    /// Sets the function that closes a lingering client connection, which is one that only waits for its
    /// client to close it as well. Lingering connections are closed before idle ones.
    pub fn set_lingering_closer(&self, close_lingering: impl Fn() -> bool + 'static) {
        *self.close_lingering.borrow_mut() = Some(Box::new(close_lingering));
    }

    /// Acquires a permit for one more socket; if all are taken, closes a lingering or an idle connection for
    /// it. Returns `None` if there is none to close.
    pub async fn acquire(&self) -> Option<LocalPermit> {
        loop {
            if let Some(permit) = self.semaphore.try_acquire() {
                return Some(permit);
            }
            let closed =
                self.close_lingering.borrow().as_ref().is_some_and(|close_lingering| close_lingering());
            if !closed && !self.evict_idle() {
                return None;
            }
            // The socket is closed when the task of its connection runs next.
            tokio::task::yield_now().await;
        }
    }
}
