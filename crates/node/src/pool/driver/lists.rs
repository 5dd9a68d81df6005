//! The watch of discovery: when it is opened, what it told, and when it is opened again.

use std::net::SocketAddr;
use std::time::Duration;

use woodgap_decisions::{Discovery, Event, SyncKind};
use woodgap_membership::Told;

use super::{Driver, Due, Msg};
use crate::sources::discovery::List;
use crate::sources::views::LISTED;
use crate::sources::watch::{watch, News};
use crate::task::AbortOnDrop;

/// Pause before a watch at a new address is opened again, and how often that is done before it is
/// left to the module: its pauses are longer than the time in which the change has to be known.
const MOVED_AGAIN: Duration = Duration::from_millis(100);
const MOVED_TRIES: u32 = 40;

impl Driver {
    pub(super) fn news(&mut self, news: News) {
        match news {
            News::List(list) => {
                self.revision = list.revision.unwrap_or(self.revision);
                self.moved = 0;
                // An empty line is no list.
                self.left.take_if(|_| list.revision.is_some());
                self.listed(&list);
            }
            News::Failed => {
                self.views.told(LISTED, Told::Lost);
                self.watching = None;
                if self.moved > 0 {
                    self.moved -= 1;
                    self.due.insert(Due::Watch, MOVED_AGAIN);
                    return;
                }
                // What the old place tells must not pass for an answer of the new one.
                self.left = None;
                match self.mode {
                    Discovery::Ask => {
                        self.events.push_back(Event::Sync { kind: SyncKind::Failed, members: Vec::new() })
                    }
                    Discovery::Push => drop(self.due.insert(Due::Watch, self.pace.again)),
                }
            }
        }
    }

    pub(super) fn listed(&mut self, list: &List) {
        let (kind, members) = self.servers.apply(&self.views.pass(list));
        self.events.push_back(Event::Sync { kind, members });
    }

    /// Discovery is at this address from now on.
    pub(super) fn moved_to(&mut self, addr: SocketAddr) {
        // Asked, discovery has many callers: a watch that is silent will be found out.
        if self.discovery == Some(addr) && self.mode == Discovery::Ask {
            return;
        }
        // The list stays until the new place has told its own, whole: its revisions may count
        // other changes. What the old one has written until then is told as well.
        if self.moved == 0 {
            self.left = self.watching.take().map(|task| (self.watch, task));
        }
        (self.discovery, self.revision, self.moved) = (Some(addr), 0, MOVED_TRIES);
        self.subscribe();
    }

    /// Opens a watch in place of the one there may be.
    pub(super) fn subscribe(&mut self) {
        let (Some(addr), Some(tx)) = (self.discovery, self.tx.upgrade()) else { return };
        self.watch += 1;
        let (number, revision, answer) = (self.watch, self.revision, self.pace.answer);
        self.watching = Some(AbortOnDrop::spawn(async move {
            watch(addr, revision, answer, |news| drop(tx.send(Msg::News { watch: number, news }))).await;
        }));
    }
}
