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
    pub reply_to: Option<(CallId, oneshot::Sender<Reply>)>,
}

/// Shared by all threads of the process.
#[derive(Debug)]
pub struct Handle {
    /// This process.
    pub incarnation: Incarnation,
    /// Clocks.
    pub clock: Clock,
    /// Configuration in force.
    pub view: ArcSwap<View>,
    /// Peers, gone ones too.
    pub members: ArcSwap<Vec<Member>>,
    /// Whether keys may be trusted.
    pub keys_trusted: AtomicBool,
    /// Whether the process is to stop.
    pub stopping: AtomicBool,
    /// Key of promised times to come back.
    pub reservation_secret: Secret,
    /// Counters.
    pub metrics: Metrics,
    inputs: Sender<Input>,
    next_call: AtomicU64,
    in_flight: in_flight::Counter,
}

impl Handle {
    /// A handle whose events go to `inputs`.
    pub fn new(
        incarnation: Incarnation,
        clock: Clock,
        reservation_secret: Secret,
        inputs: Sender<Input>,
    ) -> Arc<Self> {
        Arc::new(Self {
            incarnation,
            clock,
            view: ArcSwap::default(),
            members: ArcSwap::default(),
            keys_trusted: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            reservation_secret,
            metrics: Metrics::default(),
            inputs,
            next_call: AtomicU64::new(1),
            in_flight: in_flight::Counter::default(),
        })
    }

    /// A new call.
    pub fn next_call_id(&self) -> CallId {
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }

    /// Tells the control thread something.
    pub fn notify(&self, event: Event) {
        let _ = self.inputs.send(Input {
            event,
            reply_to: None,
        });
    }

    /// Asks the control thread; `None` when it has ended.
    pub fn request(&self, call: CallId, event: Event) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        let reply_to = Some((call, sender));
        let _ = self.inputs.send(Input { event, reply_to });
        receiver
    }

    /// Signs the promise of a refusal, if it holds one.
    pub fn sign_reservation(&self, mut refusal: Refusal, customer: &str, class: &str) -> Refusal {
        if let Some(after) = refusal.retry_after.filter(|_| refusal.reserved) {
            refusal.token = Some(
                self.reservation_secret
                    .sign(customer, class, self.clock.now() + after),
            );
        }
        refusal
    }

    /// Whether a request comes back as it was promised.
    pub fn has_reservation(&self, token: Option<&str>, customer: &str, class: &str) -> bool {
        token.is_some_and(|token| {
            self.reservation_secret
                .verify(self.clock.now(), token, customer, class)
        })
    }

    /// Whether the process is to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Counts a request in flight until the guard is dropped; a graceful stop
    /// waits for all of them.
    pub fn track_request(&self) -> InFlightGuard {
        self.in_flight.track()
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Address of a live peer.
    pub fn peer_address(&self, owner: Incarnation) -> Option<String> {
        let members = self.members.load();
        let card = members.iter().find(|card| card.incarnation == owner.0)?;
        Some(card.address.clone())
    }
}
