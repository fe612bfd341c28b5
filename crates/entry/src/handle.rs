//! State shared by the threads of one process: snapshots for reading, and the
//! channel to the control thread.

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

/// An event for the control thread, with the channel for its reply.
#[derive(Debug)]
pub struct Input {
    /// The event.
    pub event: Event,
    /// Id of the call and the channel for the reply, if one is expected.
    pub reply_to: Option<(CallId, oneshot::Sender<Reply>)>,
}

/// State shared by all threads of the process.
#[derive(Debug)]
pub struct Handle {
    /// Identity of this process.
    pub incarnation: Incarnation,
    /// Source of the current time.
    pub clock: Clock,
    /// Configuration in force.
    pub view: ArcSwap<View>,
    /// Peers, including those that have left.
    pub members: ArcSwap<Vec<Member>>,
    /// Whether the configuration is recent enough to trust its keys.
    pub keys_trusted: AtomicBool,
    /// Whether the process was told to stop.
    pub stopping: AtomicBool,
    /// Secret that signs reservations of a retry time.
    pub reservation_secret: Secret,
    /// Metrics of the process.
    pub metrics: Metrics,
    inputs: Sender<Input>,
    next_call: AtomicU64,
    in_flight: in_flight::Counter,
}

impl Handle {
    /// Creates a handle that sends events to `inputs`.
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

    /// A call id that is unique within the process.
    pub fn next_call_id(&self) -> CallId {
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends an event to the control thread.
    pub fn notify(&self, event: Event) {
        let _ = self.inputs.send(Input {
            event,
            reply_to: None,
        });
    }

    /// Sends an event to the control thread, which replies on the returned channel;
    /// the channel is closed without a reply if the control thread has ended.
    pub fn request(&self, call: CallId, event: Event) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        let reply_to = Some((call, sender));
        let _ = self.inputs.send(Input { event, reply_to });
        receiver
    }

    /// Signs the reserved retry time of a refusal, if it has one.
    pub fn sign_reservation(&self, mut refusal: Refusal, customer: &str, class: &str) -> Refusal {
        if let Some(after) = refusal.retry_after.filter(|_| refusal.reserved) {
            refusal.token = Some(
                self.reservation_secret
                    .sign(customer, class, self.clock.now() + after),
            );
        }
        refusal
    }

    /// Whether a request presents a valid token of a reserved retry time.
    pub fn has_reservation(&self, token: Option<&str>, customer: &str, class: &str) -> bool {
        token.is_some_and(|token| {
            self.reservation_secret
                .verify(self.clock.now(), token, customer, class)
        })
    }

    /// Whether the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight until the guard is dropped; a graceful stop
    /// waits for all of them.
    pub fn track_request(&self) -> InFlightGuard {
        self.in_flight.track()
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Address of a peer for calls from other peers, if the peer is known.
    pub fn peer_address(&self, peer: Incarnation) -> Option<String> {
        let members = self.members.load();
        let member = members.iter().find(|member| member.incarnation == peer.0)?;
        Some(member.address.clone())
    }
}
