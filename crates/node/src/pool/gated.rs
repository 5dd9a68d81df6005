//! A pool's gate: what `woodgap_admission` settles, carried out on the data path's thread.
//!
//! ```text
//!   front ──through──▶ Gated ──arrive──▶ Gate ──Hold──▶ waits for its Ruling
//!                        │ ◀─Admit─────────┘                │
//!                        ▼                                  │ room: an answer, or its time is up
//!                       pool ──Answer──▶ done ──next──▶ Rulings
//! ```
//!
//! A request that the pool refuses comes to the gate again with the time that it has left: a refusal proves that nothing
//! of it ran. One whose client goes away leaves the gate with the future that waits.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::sync::{oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::Instant;
use woodgap_admission::gate::{Arrival, Gate, Ruling, Settings, Verdict};
use woodgap_admission::room::Ended;

use crate::pool::driver::Answer;

/// How long a request that the pool refused stays away from it, at least.
const PAUSE: Duration = Duration::from_millis(20);
/// What a class's expected work moves by with each answer.
const STEP: f64 = 0.05;

/// A pool's gate.
pub struct Gated {
    gate: RefCell<Gate>,
    /// Those that wait, by their numbers. What is sent is when to come back, or nothing for one that is let go.
    waiting: RefCell<HashMap<u64, oneshot::Sender<Let>>>,
    /// Expected work of each class, microseconds.
    work: RefCell<Vec<f64>>,
    next: Cell<u64>,
    start: Instant,
    /// Something waits that did not before.
    held: Notify,
    /// Its tenant is deleted: what comes again is not taken.
    ended: Cell<bool>,
}

enum Let {
    In,
    Go(Option<Duration>),
}

/// What became of a request.
pub enum Through {
    /// The pool answered.
    Answered(Answer),
    /// Refused at the gate, or by the pool with no time left: when to come back, where that would help.
    Refused(Option<Duration>),
}

/// A request that is at the gate or in the pool; it leaves when it is dropped.
struct Stays<'a> {
    gated: &'a Gated,
    id: u64,
    out: Cell<Option<Instant>>,
    /// While it waits: what tells it of its ruling.
    ruling: Option<oneshot::Receiver<Let>>,
}

impl Stays<'_> {
    fn ends(&self, ended: Ended) {
        if let Some(since) = self.out.take() {
            let took = since.elapsed().as_micros() as u64;
            self.gated.gate.borrow_mut().done(self.gated.now(), ended, took);
            self.gated.rule();
        }
    }
}

impl Drop for Stays<'_> {
    fn drop(&mut self) {
        if self.gated.waiting.borrow_mut().remove(&self.id).is_some() {
            self.gated.gate.borrow_mut().gone(self.id);
        }
        // Let go in the moment in which its client went: its place is free again.
        if let Some(Ok(Let::In)) = self.ruling.as_mut().map(oneshot::Receiver::try_recv) {
            self.out.set(Some(Instant::now()));
        }
        self.ends(Ended::Otherwise);
    }
}

impl Gated {
    /// A gate for a pool with so many classes.
    pub fn new(settings: Settings, classes: usize) -> Rc<Gated> {
        let gated = Rc::new(Gated {
            gate: RefCell::new(Gate::new(settings)),
            waiting: RefCell::default(),
            work: RefCell::new(vec![10_000.0; classes]),
            next: Cell::new(1),
            start: Instant::now(),
            held: Notify::new(),
            ended: Cell::new(false),
        });
        spawn_local(Gated::watch(Rc::downgrade(&gated)));
        gated
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64 + 1
    }

    /// Answers those whose time is up, for as long as the gate is there.
    async fn watch(gated: Weak<Gated>) {
        loop {
            let Some(gate) = gated.upgrade() else { return };
            let due = gate.gate.borrow().due();
            let wait = due.map(|due| Duration::from_micros(due.saturating_sub(gate.now())));
            // It must not keep the gate, which ends with its pool.
            let most = wait
                .unwrap_or(Duration::from_secs(1))
                .clamp(Duration::from_millis(1), Duration::from_secs(1));
            let _ = tokio::time::timeout(most, gate.held.notified()).await;
            if due.is_some() {
                gate.rule();
            }
        }
    }

    /// Carries out what the gate says now.
    fn rule(&self) {
        let mut rulings = Vec::new();
        self.gate.borrow_mut().next(self.now(), &mut rulings);
        self.carry_out(rulings);
    }

    fn carry_out(&self, rulings: Vec<Ruling>) {
        for ruling in rulings {
            let (id, told) = match ruling {
                Ruling::Admit(id) => (id, Let::In),
                Ruling::Refuse(id, wait) => (id, Let::Go(wait.map(Duration::from_micros))),
            };
            if let Some(waits) = self.waiting.borrow_mut().remove(&id) {
                // One that has gone meanwhile tells so itself.
                let _ = waits.send(told);
            }
        }
    }

    /// Answers all that waits, at once, and takes nothing new.
    pub fn end(&self) {
        self.ended.set(true);
        let mut rulings = Vec::new();
        self.gate.borrow_mut().end(self.now(), 0, &mut rulings);
        self.carry_out(rulings);
    }

    /// Takes a request through the gate and the pool. `ask` sends it to the pool.
    pub async fn through<F>(&self, key: u64, class: usize, deadline: Instant, ask: impl Fn() -> F) -> Through
    where
        F: Future<Output = Answer>,
    {
        let came = self.now();
        loop {
            if self.ended.get() {
                return Through::Refused(None);
            }
            let id = self.next.replace(self.next.get() + 1);
            let mut stays = Stays { gated: self, id, out: Cell::new(None), ruling: None };
            let now = self.now();
            let left = deadline.saturating_duration_since(Instant::now()).as_micros() as u64;
            let work = self.work.borrow().get(class).copied().unwrap_or(10_000.0) as u64;
            let arrival = Arrival { id, tenant: 0, weight: 1, key, work, came, deadline: now + left };
            let mut rulings = Vec::new();
            let verdict = self.gate.borrow_mut().arrive(now, arrival, &mut rulings);
            self.carry_out(rulings);
            match verdict {
                Verdict::Admit => {}
                Verdict::Refuse(wait) => return Through::Refused(wait.map(Duration::from_micros)),
                Verdict::Hold => {
                    let (tx, rx) = oneshot::channel();
                    self.waiting.borrow_mut().insert(id, tx);
                    self.held.notify_one();
                    let ruling = stays.ruling.insert(rx).await;
                    stays.ruling = None;
                    match ruling {
                        Ok(Let::In) => {}
                        Ok(Let::Go(wait)) => return Through::Refused(wait),
                        Err(_) => return Through::Refused(None),
                    }
                }
            }
            let since = Instant::now();
            stays.out.set(Some(since));
            let answer = ask().await;
            let ended = match &answer {
                Answer::Served(..) => {
                    if let Some(work) = self.work.borrow_mut().get_mut(class) {
                        *work += STEP * (since.elapsed().as_micros() as f64 - *work);
                    }
                    Ended::Served
                }
                Answer::Refused(_) => Ended::Refused,
                Answer::Late => Ended::Late,
                Answer::Failed => Ended::Otherwise,
            };
            stays.ends(ended);
            let Answer::Refused(wait) = &answer else { return Through::Answered(answer) };
            // Not at once: the pool would refuse it again, as fast as the core can ask.
            let pause = wait.unwrap_or(PAUSE).max(PAUSE);
            if Instant::now() + 2 * pause >= deadline {
                return Through::Answered(answer);
            }
            drop(stays);
            tokio::time::sleep(pause).await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::task::Poll;

    async fn once(future: &mut (impl Future + Unpin)) {
        std::future::poll_fn(|cx| {
            let _ = std::pin::Pin::new(&mut *future).poll(cx);
            Poll::Ready(())
        })
        .await;
    }

    // A client goes in the moment in which its request is let go, or while it waits: the room is not smaller for it.
    #[tokio::test]
    async fn a_place_is_free_again_however_its_client_goes() {
        let run = async {
            let gated = Gated::new(Settings { most_out: 1, ..Settings::default() }, 1);
            let deadline = Instant::now() + Duration::from_secs(60);
            let never = || std::future::pending::<Answer>();
            let mut first = Box::pin(gated.through(1, 0, deadline, never));
            let mut second = Box::pin(gated.through(2, 0, deadline, never));
            let mut third = Box::pin(gated.through(3, 0, deadline, never));
            once(&mut first).await;
            once(&mut second).await;
            once(&mut third).await;
            assert_eq!((gated.gate.borrow().room().out(), gated.gate.borrow().waiting()), (1, 2));
            drop(third);
            assert_eq!((gated.gate.borrow().room().out(), gated.gate.borrow().waiting()), (1, 1));
            // The second is let go here, and never hears of it.
            drop(first);
            assert_eq!((gated.gate.borrow().room().out(), gated.gate.borrow().waiting()), (1, 0));
            drop(second);
            assert_eq!(gated.gate.borrow().room().out(), 0);
        };
        tokio::task::LocalSet::new().run_until(run).await;
    }
}
