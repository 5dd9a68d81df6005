//! The memory of HTTP/3 connections and of the streams open on them. They use no descriptor, so the number of sockets
//! does not limit them.
//!
//! A connection includes one stream. Further streams have a memory of their own, and are rejected if there is none left:
//! they keep nobody from connecting, and a client with one request at a time is not affected by others with many.

use std::any::Any;
use std::cell::Cell;
use std::rc::Rc;

use crate::quic::StreamPermit;
use crate::task::{LocalPermit, LocalSemaphore};

/// Share of a node's memory for HTTP/3 connections.
const CONNECTION_SHARE: f64 = 0.2;
/// Share of a node's memory for further streams.
const STREAM_SHARE: f64 = 0.1;
/// Memory of a connection: its state, what is buffered in both directions, and one stream.
const CONNECTION_BYTES: usize = 160 * 1024;
/// Memory of a further stream: its state, its request's head and its task.
const STREAM_BYTES: usize = 32 * 1024;

/// The memory of all HTTP/3 connections of a node.
pub(in crate::front) struct Http3Memory {
    connections: Rc<LocalSemaphore>,
    streams: Rc<LocalSemaphore>,
}

impl Http3Memory {
    /// The parts for HTTP/3 of a node's memory in bytes, of which at least one connection can be open.
    pub(in crate::front) fn new(node_memory: usize) -> Self {
        let bytes = |share: f64| (node_memory as f64 * share) as usize;
        Http3Memory {
            connections: LocalSemaphore::new(bytes(CONNECTION_SHARE).max(CONNECTION_BYTES)),
            streams: LocalSemaphore::new(bytes(STREAM_SHARE)),
        }
    }

    /// Acquires the memory of a connection; `None` if there is none left.
    pub(super) fn acquire_connection(&self) -> Option<LocalPermit> {
        self.connections.try_acquire_many(CONNECTION_BYTES)
    }

    /// Admits the streams of a connection.
    pub(super) fn stream_admission(&self) -> impl FnMut() -> Option<StreamPermit> + 'static {
        let (memory, open) = (self.streams.clone(), Rc::<Cell<usize>>::default());
        move || {
            let further = match open.get() {
                0 => None,
                _ => Some(memory.try_acquire_many(STREAM_BYTES)?),
            };
            open.set(open.get() + 1);
            let stream = OpenStream { open: open.clone(), _memory: further };
            Some(Box::new(stream) as Box<dyn Any>)
        }
    }
}

/// Counts as open on its connection, and holds its memory, until dropped.
struct OpenStream {
    open: Rc<Cell<usize>>,
    _memory: Option<LocalPermit>,
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn first_stream_of_a_connection_is_always_admitted() {
        // Memory for two further streams, and thereby for fewer connections than these.
        let memory = Http3Memory::new(20 * STREAM_BYTES);
        let connections: Vec<_> = std::iter::from_fn(|| memory.acquire_connection()).collect();
        assert_eq!(connections.len(), 1);
        let (mut admit, mut admit_other) = (memory.stream_admission(), memory.stream_admission());
        let mut streams: Vec<_> = (0..3).map(|_| admit().unwrap()).collect();
        assert!(admit().is_none());
        let first_of_other = admit_other().unwrap();
        assert!(admit_other().is_none());
        streams.pop();
        assert!(admit_other().is_some() && admit().is_some());
        drop(first_of_other);
    }
}
