//! The one final response of a request.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::oneshot;

use super::DriverReply;

/// Sender of a request's final response, used once. Attempts check whether the client is connected here just
/// before they write, since [`DriverMessage::ClientDisconnected`] may still be in the driver's queue.
pub(super) struct ResponseSender(RefCell<Option<oneshot::Sender<DriverReply>>>);

impl ResponseSender {
    pub(super) fn new(reply: oneshot::Sender<DriverReply>) -> Rc<Self> {
        Rc::new(ResponseSender(RefCell::new(Some(reply))))
    }

    /// Whether the request has no response yet and its client is still connected.
    pub(super) fn is_awaited(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(|reply| !reply.is_closed())
    }

    /// Whether the client has disconnected and the driver has not yet handled that.
    pub(super) fn client_disconnected(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(oneshot::Sender::is_closed)
    }

    /// Whether the request has its response, or the driver has handled that its client disconnected.
    pub(super) fn is_finished(&self) -> bool {
        self.0.borrow().is_none()
    }

    /// Takes the sender out, after which the request is finished.
    pub(super) fn take(&self) -> Option<oneshot::Sender<DriverReply>> {
        self.0.take()
    }
}
