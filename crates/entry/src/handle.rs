//! What traffic threads hold: snapshots to read and a line to the control
//! thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arc_swap::ArcSwap;
use crossbeam::channel::Sender;
use radishstair_core::config::view::View;
use radishstair_core::error::Refusal;
use radishstair_core::id::{CallId, Incarnation};
use radishstair_core::kernel::{Event, Reply};
use radishstair_core::peer::Member;
use radishstair_core::reservation::Secret;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::in_flight::{self, InFlightGuard};
use crate::metrics::Metrics;

/// An event, with whoever waits for the reply to it.
#[derive(Debug)]
pub struct Input {
    /// The event.
    pub event: Event,
    /// The call it makes and where the reply goes.
    pub waiter: Option<(CallId, oneshot::Sender<Reply>)>,
}

/// Shared by all threads of the process.
#[derive(Debug)]
pub struct Handle {
    /// This process.
    pub me: Incarnation,
    /// Clocks.
    pub clock: Clock,
    /// Configuration in force.
    pub view: ArcSwap<View>,
    /// Peers, gone ones too.
    pub members: ArcSwap<Vec<Member>>,
    /// Whether keys may be trusted.
    pub trusted: AtomicBool,
    /// Whether the process is to stop.
    pub stopping: AtomicBool,
    /// Key of promised times to come back.
    pub promises: Secret,
    /// Counters.
    pub metrics: Metrics,
    inputs: Sender<Input>,
    next: AtomicU64,
    running: in_flight::Counter,
}

impl Handle {
    /// A handle whose events go to `inputs`.
    pub fn new(me: Incarnation, clock: Clock, promises: Secret, inputs: Sender<Input>) -> Arc<Self> {
        Arc::new(Self {
            me,
            clock,
            view: ArcSwap::default(),
            members: ArcSwap::default(),
            trusted: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            promises,
            metrics: Metrics::default(),
            inputs,
            next: AtomicU64::new(1),
            running: in_flight::Counter::default(),
        })
    }

    /// A new call.
    pub fn call(&self) -> CallId {
        CallId(self.next.fetch_add(1, Ordering::Relaxed))
    }

    /// Tells the control thread something.
    pub fn tell(&self, event: Event) {
        let _ = self.inputs.send(Input { event, waiter: None });
    }

    /// Asks the control thread; `None` when it has ended.
    pub fn ask(&self, call: CallId, event: Event) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        let waiter = Some((call, sender));
        let _ = self.inputs.send(Input { event, waiter });
        receiver
    }

    /// Signs the promise of a refusal, if it holds one.
    pub fn sign(&self, mut refusal: Refusal, customer: &str, class: &str) -> Refusal {
        if let Some(after) = refusal.retry_after.filter(|_| refusal.reserved) {
            refusal.token = Some(self.promises.sign(customer, class, self.clock.now() + after));
        }
        refusal
    }

    /// Whether a request comes back as it was promised.
    pub fn is_promised(&self, token: Option<&str>, customer: &str, class: &str) -> bool {
        token.is_some_and(|token| self.promises.verify(self.clock.now(), token, customer, class))
    }

    /// Whether the process is to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Counts a request in flight until the guard is dropped; a graceful stop
    /// waits for all of them.
    pub fn flight(&self) -> InFlightGuard {
        self.running.track()
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.running.get()
    }

    /// Address of a live peer.
    pub fn address_of(&self, owner: Incarnation) -> Option<String> {
        let members = self.members.load();
        let card = members.iter().find(|card| card.incarnation == owner.0)?;
        Some(card.address.clone())
    }
}
