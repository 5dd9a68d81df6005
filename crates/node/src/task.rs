//! Tasks that end with their owner, and a counting semaphore for one thread, which limits sockets,
//! connections and handshakes.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

use tokio::task::{spawn_local, AbortHandle};

/// A task that is aborted when this handle is dropped, which closes everything it holds open.
pub struct AbortOnDrop(AbortHandle);

impl AbortOnDrop {
    /// Spawns a task on the local set.
    pub fn spawn(future: impl Future<Output = ()> + 'static) -> Self {
        AbortOnDrop(spawn_local(future).abort_handle())
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A counting semaphore within one thread, for example over file descriptors or bytes. Acquiring never waits.
pub struct LocalSemaphore {
    capacity: usize,
    in_use: Cell<usize>,
}

/// Units of a [`LocalSemaphore`], which are released when dropped.
pub struct LocalPermit {
    semaphore: Rc<LocalSemaphore>,
    units: usize,
}

impl LocalSemaphore {
    /// Creates a semaphore with `capacity` permits.
    pub fn new(capacity: usize) -> Rc<Self> {
        Rc::new(LocalSemaphore { capacity, in_use: Cell::new(0) })
    }

    /// Whether all permits are taken.
    #[cfg(test)]
    pub fn is_full(&self) -> bool {
        self.in_use.get() >= self.capacity
    }

    /// The share of the permits that is taken.
    pub fn utilization(&self) -> f64 {
        self.in_use.get() as f64 / self.capacity.max(1) as f64
    }

    /// Takes a permit for one unit; `None` if all are taken.
    pub fn try_acquire(self: &Rc<Self>) -> Option<LocalPermit> {
        self.try_acquire_many(1)
    }

    /// Takes a permit for this many units; `None` if fewer are left.
    pub fn try_acquire_many(self: &Rc<Self>, units: usize) -> Option<LocalPermit> {
        let in_use = self.in_use.get().checked_add(units).filter(|in_use| *in_use <= self.capacity)?;
        self.in_use.set(in_use);
        Some(LocalPermit { semaphore: self.clone(), units })
    }
}

impl Drop for LocalPermit {
    fn drop(&mut self) {
        self.semaphore.in_use.set(self.semaphore.in_use.get() - self.units);
    }
}
