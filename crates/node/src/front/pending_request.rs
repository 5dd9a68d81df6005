//! A request that the pool knows and whose client waits for the response.

use std::cell::Cell;
use std::rc::Rc;

use crate::pool::driver::DriverMessage;
use crate::pool::PoolHandle;

/// A request that waits for its response. Dropped when the client disconnects, which cancels it in the pool.
pub(super) struct PendingRequest<'a> {
    pool: &'a Rc<PoolHandle>,
    /// Id of the request in the pool, once it was submitted.
    driver_id: Cell<Option<u64>>,
}

impl<'a> PendingRequest<'a> {
    /// Registers a request that has not been submitted yet.
    pub(super) fn new(pool: &'a Rc<PoolHandle>) -> Self {
        PendingRequest { pool, driver_id: Cell::new(None) }
    }

    /// Records the id under which the request was submitted.
    pub(super) fn set_driver_id(&self, id: u64) {
        self.driver_id.set(Some(id));
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        // Has no effect on a request with a response: the driver has removed the request or marked it as
        // finished.
        if let Some(id) = self.driver_id.get() {
            let _ = self.pool.tx.send(DriverMessage::ClientDisconnected(id));
        }
    }
}
