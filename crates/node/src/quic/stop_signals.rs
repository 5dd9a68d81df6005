//! Reports that a client no longer wants the response on a stream (STOP_SENDING), for each open stream of a
//! connection.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use h3::quic::StreamId;

use super::{stream_id, Boxed};

/// A future that resolves when the client stops the stream.
pub type StopSignal = Boxed<()>;

/// Stop signals of a connection's open streams by stream id. Clones share the same map.
#[derive(Clone, Default)]
pub struct StopSignals(Arc<Mutex<BTreeMap<u64, StopSignal>>>);

/// Removes the entry of a stream from [`StopSignals`] when it is dropped together with the stream.
pub(super) struct StopRegistration {
    signals: StopSignals,
    id: u64,
}

impl Drop for StopRegistration {
    /// Removes the signal if it was not taken, as for a stream whose request was rejected or could not be
    /// read.
    fn drop(&mut self) {
        self.signals.lock().remove(&self.id);
    }
}

impl StopSignals {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, StopSignal>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores the stop signal of a stream until the returned registration is dropped.
    pub(super) fn register(&self, send: &quinn::SendStream) -> StopRegistration {
        let stopped = send.stopped();
        let signal: StopSignal = Box::pin(async move {
            // The client has acknowledged everything, so there is nothing left to stop.
            if let Ok(None) = stopped.await {
                std::future::pending::<()>().await;
            }
        });
        self.insert(stream_id(send.id()), signal)
    }

    fn insert(&self, id: StreamId, signal: StopSignal) -> StopRegistration {
        self.lock().insert(id.into_inner(), signal);
        StopRegistration { signals: self.clone(), id: id.into_inner() }
    }

    /// Takes the stop signal of a stream; `None` if it was taken before or the stream is closed.
    pub fn take(&self, id: StreamId) -> Option<StopSignal> {
        self.lock().remove(&id.into_inner())
    }
}

#[cfg(test)]
mod tests;
