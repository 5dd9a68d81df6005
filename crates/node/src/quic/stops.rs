//! What tells that a client has given a stream up.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use h3::quic::StreamId;

use super::{id, Boxed};

/// Done when the client wants the answer no more.
pub type Stopped = Boxed<()>;

/// The streams of a connection whose client may yet give them up, by their ids: no more than are open.
#[derive(Clone, Default)]
pub struct Stops(Arc<Mutex<BTreeMap<u64, Stopped>>>);

/// A stream that is open; dropped with it.
pub(super) struct Listed {
    stops: Stops,
    id: u64,
}

impl Drop for Listed {
    /// Of one that was rejected or could not be read nobody has asked.
    fn drop(&mut self) {
        self.stops.lock().remove(&self.id);
    }
}

impl Stops {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Stopped>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Remembers what tells of a stream, until that is dropped.
    pub(super) fn list(&self, send: &quinn::SendStream) -> Listed {
        let stopped = send.stopped();
        let told: Stopped = Box::pin(async move {
            // All was acknowledged: there is nothing left to give up.
            if let Ok(None) = stopped.await {
                std::future::pending::<()>().await;
            }
        });
        self.put(id(send.id()), told)
    }

    fn put(&self, id: StreamId, told: Stopped) -> Listed {
        self.lock().insert(id.into_inner(), told);
        Listed { stops: self.clone(), id: id.into_inner() }
    }

    /// What tells of one stream; it is there once.
    pub fn take(&self, id: StreamId) -> Option<Stopped> {
        self.lock().remove(&id.into_inner())
    }
}

#[cfg(test)]
mod tests;
