//! A hosted node on a thread of its own.

use tokio::sync::oneshot;
use tokio::task::LocalSet;

use super::config::HostedConfig;
use super::{serve, NodeAddresses, NodeError};
use crate::store::Store;

/// A handle to a node that runs on its own thread; dropping it stops the node.
pub struct NodeHandle {
    /// Addresses of the node.
    pub addresses: NodeAddresses,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<Result<(), NodeError>>>,
}

/// Starts a node on its own thread; it serves until the returned value is dropped or stopped.
///
/// # Errors
/// Returns the errors of [`serve`].
pub fn spawn(config: HostedConfig, store: Option<Box<dyn Store>>) -> Result<NodeHandle, NodeError> {
    let (stop, stopped) = oneshot::channel::<()>();
    let (ready, addresses) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || {
        let runtime = runtime().map_err(NodeError::System)?;
        let stop = async move { drop(stopped.await) };
        let serve = serve(config, store, stop, move |addresses| drop(ready.send(addresses)));
        runtime.block_on(LocalSet::new().run_until(serve))
    });
    match addresses.recv() {
        Ok(addresses) => Ok(NodeHandle { addresses, stop: Some(stop), thread: Some(thread) }),
        Err(_) => Err(match thread.join() {
            Ok(Err(error)) => error,
            _ => NodeError::Ended,
        }),
    }
}

/// Builds the runtime of a node: one thread for the whole data path.
pub(crate) fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

impl NodeHandle {
    /// Lets the node finish its accepted requests, and waits until it has stopped.
    ///
    /// # Errors
    /// Returns why the node ended, if it was not by this call.
    pub fn stop(mut self) -> Result<(), NodeError> {
        self.shut_down()
    }

    fn shut_down(&mut self) -> Result<(), NodeError> {
        drop(self.stop.take());
        match self.thread.take().map(std::thread::JoinHandle::join) {
            Some(Ok(result)) => result,
            Some(Err(_)) => Err(NodeError::Ended),
            None => Ok(()),
        }
    }
}

impl Drop for NodeHandle {
    fn drop(&mut self) {
        let _ = self.shut_down();
    }
}
