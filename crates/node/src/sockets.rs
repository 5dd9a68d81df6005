//! Descriptors of all pools and clients: one budget, and idle connections that make room.

use std::cell::RefCell;
use std::rc::{Rc, Weak};

use crate::task::{Budget, Permit};
use crate::upstream::servers::Servers;

/// The node's sockets, shared by its clients and by every pool's servers.
pub struct Sockets {
    budget: Rc<Budget>,
    pools: RefCell<Vec<Weak<Servers>>>,
    end_one: RefCell<Option<EndOne>>,
}

/// Ends a client's connection that the node has ended on its side; `false` if there is none.
type EndOne = Box<dyn Fn() -> bool>;

impl Sockets {
    /// A budget of so many descriptors.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Sockets { budget: Budget::new(most), pools: RefCell::default(), end_one: RefCell::default() })
    }

    /// Counts a pool's idle connections among those that may make room.
    pub fn join(&self, servers: &Rc<Servers>) {
        let mut pools = self.pools.borrow_mut();
        pools.retain(|pool| pool.strong_count() > 0);
        pools.push(Rc::downgrade(servers));
    }

    /// Closes the connection that has been idle for longest in the pool that keeps most of them: a pool
    /// that keeps few does not pay for one that keeps many. `false` if there is none.
    pub fn evict(&self) -> bool {
        let pools = self.pools.borrow();
        let fullest = pools.iter().filter_map(Weak::upgrade).max_by_key(|pool| pool.idle_count());
        fullest.is_some_and(|pool| pool.evict())
    }

    /// How a connection is ended that only waits for its client to hear the end: the first to make room.
    pub fn first_to_go(&self, end_one: impl Fn() -> bool + 'static) {
        *self.end_one.borrow_mut() = Some(Box::new(end_one));
    }

    /// A place for one more socket, at the cost of one that has ended or of an idle connection where all are taken.
    pub async fn permit(&self) -> Option<Permit> {
        loop {
            if let Some(permit) = self.budget.take() {
                return Some(permit);
            }
            let ended = self.end_one.borrow().as_ref().is_some_and(|end_one| end_one());
            if !ended && !self.evict() {
                return None;
            }
            // The socket closes when its task is next run.
            tokio::task::yield_now().await;
        }
    }
}
