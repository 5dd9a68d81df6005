//! Tasks that end with their owner, and the count of open sockets.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

use tokio::task::{spawn_local, AbortHandle};

/// A task that is ended when this is dropped: what it holds open is closed with it.
pub struct AbortOnDrop(AbortHandle);

impl AbortOnDrop {
    pub fn spawn(future: impl Future<Output = ()> + 'static) -> Self {
        AbortOnDrop(spawn_local(future).abort_handle())
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A share of the process's file descriptors.
pub struct Budget {
    most: usize,
    used: Cell<usize>,
}

/// One open socket; gives its place back when dropped.
pub struct Permit(Rc<Budget>);

impl Budget {
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Budget { most, used: Cell::new(0) })
    }

    pub fn is_full(&self) -> bool {
        self.used.get() >= self.most
    }

    /// The part that is taken.
    pub fn part(&self) -> f64 {
        self.used.get() as f64 / self.most.max(1) as f64
    }

    pub fn take(self: &Rc<Self>) -> Option<Permit> {
        if self.is_full() {
            return None;
        }
        self.used.set(self.used.get() + 1);
        Some(Permit(self.clone()))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get() - 1);
    }
}
