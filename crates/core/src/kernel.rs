//! Control state of one process: named services that exchange typed events.
//!
//! One control thread passes each event to [`Kernel::handle`] and carries out
//! the actions that it returns. Services do not call each other: a service
//! posts an event to another one by name, and the kernel delivers it before
//! `handle` returns, in the order of posting. The same inputs therefore give
//! the same outputs.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::at_most_once::{Completion, Key, Verdict};
use crate::config::view::View;
use crate::dispatch::{Assignment, Outcome, Policy, Submission};
use crate::error::Refusal;
use crate::id::{CallId, Incarnation};
use crate::lease::Grant;
use crate::member::Identity;
use crate::order::Order;
use crate::peer::{Collect, Collected, Heartbeat, Member, Pull, Pulled, ZoneSummary};
use crate::proxy::fleet::holdoff::Wait;
use crate::runner::Listing;
use crate::store::{self, Token};
use crate::ticket::Secret;
use crate::time::Moment;
use crate::usage::Record;
use crate::usage::report::SealedWindow;

pub mod calls;
pub mod config;
pub mod dispatch;
pub mod member;
pub mod orders;
pub mod pending;
pub mod usage;

/// Name of the membership service.
pub const MEMBER: &str = "member";
/// Name of the configuration service.
pub const CONFIG: &str = "config";
/// Name of the dispatch service.
pub const DISPATCH: &str = "dispatch";
/// Name of the at-most-once service.
pub const CALLS: &str = "calls";
/// Name of the ordering service.
pub const ORDERS: &str = "orders";
/// Name of the usage service.
pub const USAGE: &str = "usage";

plain! {
    /// Live peers, and the tasks of this process that follow from them.
    #[derive(Default)]
    pub struct Membership {
        /// Whether this process watches the store for its zone.
        pub watches_store: bool,
        /// Whether this process may apply for the ordering duty.
        pub orders_candidate: bool,
        /// Whether this process may apply for the reporting duty.
        pub usage_candidate: bool,
        /// Zone peers that store copies of this process's usage.
        pub usage_replicas: Vec<Incarnation>,
        /// Live peers and their addresses.
        pub live_peers: Vec<(Incarnation, String)>,
        /// Addresses of the live peers in this zone.
        pub zone_peers: Vec<String>,
        /// Other zones, each with the addresses of its delegates by rank.
        pub delegates: Vec<(String, Vec<String>)>,
    }
}

plain! {
    /// Input of the control state.
    #[allow(missing_docs)]
    pub enum Event {
        /// Periodic timer.
        Tick,
        /// Heartbeat from a peer.
        Heartbeat(Heartbeat),
        /// A customer requests tickets.
        IssueTickets { call: CallId, customer: String, count: u32 },
        /// A copy of an at-most-once call arrived.
        BeginCall { call: CallId, customer: String, idempotency_key: String, body_hash: u64 },
        /// An at-most-once call ended.
        EndCall { key: Key, end: Completion },
        /// The owner of an at-most-once call cannot be reached.
        OwnerUnreachable { call: CallId, owner: Incarnation, key: Key },
        /// A call needs a runner.
        Acquire(Submission),
        /// A call ended and frees its slot at the runner.
        Release { call: CallId, outcome: Outcome },
        /// The caller of a waiting call disconnected.
        Cancel(CallId),
        /// A runner announced that it is leaving.
        RunnerLeaving(String),
        /// A runner rejected a call and wants none for some time.
        RunnerHoldOff(String, Wait),
        /// Usage of one call.
        RecordUsage(Record),
        /// Answer from the store.
        StoreAnswer(Token, store::Answer),
        /// A peer requests configuration.
        Pull(CallId, Pull),
        /// Configuration from a peer.
        Pulled(Pulled),
        /// The holder of the reporting duty requests usage.
        Collect(CallId, Collect),
        /// Usage from a peer.
        Collected(Collected),
        /// The platform's current list of runners.
        RunnerList(Vec<Listing>),
        /// Whether the usage interface accepted the report.
        ReportAnswer(bool),
        /// Whether the ordering interface accepted the order.
        OrderAnswer(bool),
        /// An operator or a test requests the status.
        Status(CallId),
        /// Start of a graceful stop.
        Stop,
        /// The last call of this process ended, after [`Event::Stop`].
        Drained,
        /// New configuration in force (posted between services).
        View(Arc<View>),
        /// The members changed (posted between services).
        Membership(Membership),
        /// A round of heartbeats is about to be sent: counts of live peers in
        /// this zone and in all zones, and this host's index among all live
        /// hosts (posted between services).
        HeartbeatRound { zone_peers: usize, all_peers: usize, own_index: usize },
        /// Summaries of all zones, or the demand of this zone alone (posted
        /// between services).
        ZoneSummaries(Vec<ZoneSummary>),
    }
}

plain! {
    /// Answer to a waiting call.
    pub enum Reply {
        /// Tickets, or the reason for refusing them.
        Tickets(Result<Vec<String>, Refusal>),
        /// Decision on an at-most-once call.
        Verdict(Verdict),
        /// Runner on which the call starts.
        Start(Assignment),
        /// Reason why the call does not start.
        Refused(Refusal),
        /// Configuration for the requesting peer.
        Pulled(Pulled),
        /// Usage for the requesting peer.
        Collected(Collected),
        /// Status of this host.
        Status(Status),
    }
}

record! {
    /// Status of this host.
    #[derive(Default)]
    pub struct Status {
        /// Configuration version in force.
        pub version: u64,
        /// Whether the configuration is recent enough to trust API keys;
        /// callers are served only then.
        pub trusted: bool,
        /// Time since the version was last known to be the newest, in
        /// milliseconds; none if it never was.
        pub age_ms: Option<u64>,
        /// Live hosts, including this one.
        pub hosts: usize,
        /// Last summary of each zone.
        pub zones: Vec<ZoneStatus>,
        /// Duties held by this host, with their fencing numbers.
        pub duties: Vec<(String, u64)>,
        /// Waiting calls by tier.
        pub queue: Vec<(String, usize)>,
        /// Known runners, and how many of them accept calls.
        pub runners: (usize, usize),
        /// At-most-once records: tickets and claims.
        pub records: (usize, usize),
        /// Usage chunks in memory.
        pub chunks: usize,
    }
}

record! {
    /// Status of an availability zone by its last summary.
    pub struct ZoneStatus {
        /// Name of the zone.
        pub zone: String,
        /// Lowest configuration version in force among its hosts.
        pub version: u64,
        /// Live hosts in the zone.
        pub hosts: u32,
        /// Age of the summary, in milliseconds.
        pub age_ms: u64,
    }
}

plain! {
    /// I/O that the kernel requests from the program around it.
    pub enum Action {
        /// Send a request to the store.
        Store(Token, store::Call),
        /// Send a heartbeat to an address.
        Heartbeat(String, Box<Heartbeat>),
        /// Request configuration from an address.
        Pull(String, Pull),
        /// Request usage from an address.
        Collect(String, Collect),
        /// Answer a call.
        Reply(CallId, Box<Reply>),
        /// Publish the view to the traffic threads.
        View(Arc<View>),
        /// Publish the members to the traffic threads.
        Members(Vec<Member>),
        /// Publish to the traffic threads whether API keys may be trusted.
        KeysTrusted(bool),
        /// Send a report if the grant still covers the time of sending.
        Report(Grant, SealedWindow),
        /// Send an order if the grant still covers the time of sending.
        Order(Grant, Order),
        /// The graceful stop is complete: the process may exit.
        Exit,
    }
}

/// Actions and events that services produce while they handle an event.
#[derive(Debug, Default)]
pub struct Outbox {
    actions: Vec<Action>,
    events: VecDeque<(&'static str, Event)>,
    pending_tokens: Vec<(Token, &'static str)>,
    last_token: u64,
}

impl Outbox {
    /// Adds an action for the program around the kernel.
    pub fn push_action(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Answers a call.
    pub fn reply(&mut self, call: CallId, reply: Reply) {
        self.push_action(Action::Reply(call, Box::new(reply)));
    }

    /// Posts an event to the service of that name.
    pub fn post(&mut self, to: &'static str, event: Event) {
        self.events.push_back((to, event));
    }

    /// New token; the store's answer to it is delivered to `from`.
    pub fn new_token(&mut self, from: &'static str) -> Token {
        self.last_token += 1;
        let token = Token(self.last_token);
        self.pending_tokens.push((token, from));
        token
    }

    /// Sends a request to the store; the answer is delivered to `from`.
    pub fn call_store(&mut self, from: &'static str, call: store::Call) -> Token {
        let token = self.new_token(from);
        self.push_action(Action::Store(token, call));
        token
    }

    /// Discards a token under which no request was sent.
    pub fn discard_token(&mut self, token: Token) {
        self.take_token(token);
    }

    fn take_token(&mut self, token: Token) -> Option<&'static str> {
        let index = self
            .pending_tokens
            .binary_search_by(|(issued, _)| issued.cmp(&token))
            .ok()?;
        Some(self.pending_tokens.remove(index).1)
    }
}

/// All services of the kernel.
#[derive(Debug)]
enum Service {
    Member(Box<member::Service>),
    Config(Box<config::Service>),
    Dispatch(Box<dispatch::Service>),
    Calls(Box<calls::Service>),
    Orders(Box<orders::Service>),
    Usage(Box<usage::Service>),
}

macro_rules! with_service {
    ($service:expr, $inner:ident => $body:expr) => {
        match $service {
            Service::Member($inner) => $body,
            Service::Config($inner) => $body,
            Service::Dispatch($inner) => $body,
            Service::Calls($inner) => $body,
            Service::Orders($inner) => $body,
            Service::Usage($inner) => $body,
        }
    };
}

plain! {
    /// Arguments of [`Kernel::new`].
    pub struct Setup {
        /// Identity of this process.
        pub identity: Identity,
        /// Addresses of peers to contact first.
        pub seeds: Vec<String>,
        /// Secret of this incarnation, which authenticates its tickets.
        pub secret: Secret,
        /// Seed of all random choices.
        pub seed: u64,
        /// Policy by which calls are ordered and assigned to runners.
        pub policy: Policy,
    }
}

/// The control state of one process.
#[derive(Debug)]
pub struct Kernel {
    services: Vec<(&'static str, Service)>,
    outbox: Outbox,
}

impl Kernel {
    /// Creates the control state of a process that has just started.
    pub fn new(now: Moment, setup: Setup) -> Self {
        let incarnation = setup.identity.incarnation;
        let zone = setup.identity.zone.clone();
        let mut services = vec![
            (
                MEMBER,
                Service::Member(Box::new(member::Service::new(&setup.identity, setup.seeds))),
            ),
            (CONFIG, Service::Config(Box::default())),
            (
                DISPATCH,
                Service::Dispatch(Box::new(dispatch::Service::new(&zone, setup.seed, setup.policy))),
            ),
            (
                CALLS,
                Service::Calls(Box::new(calls::Service::new(
                    incarnation,
                    setup.secret,
                    setup.seed,
                ))),
            ),
            (
                ORDERS,
                Service::Orders(Box::new(orders::Service::new(incarnation))),
            ),
            (
                USAGE,
                Service::Usage(Box::new(usage::Service::new(incarnation, &zone, now))),
            ),
        ];
        services.sort_by_key(|(name, _)| *name);
        Self {
            services,
            outbox: Outbox::default(),
        }
    }

    /// Handles an event and returns the actions that follow from it.
    pub fn handle(&mut self, now: Moment, mut event: Event) -> Vec<Action> {
        if !self.restore_sender(&mut event) {
            return Vec::new();
        }
        match recipient(&event) {
            Recipient::All => self.deliver_all(now, &event),
            Recipient::One(name) => self.deliver(now, name, &event),
            Recipient::Requester(token) => {
                if let Some(name) = self.outbox.take_token(token) {
                    self.deliver(now, name, &event);
                }
            }
        }
        while let Some((name, event)) = self.outbox.events.pop_front() {
            self.deliver(now, name, &event);
        }
        self.fill_heartbeats(now);
        std::mem::take(&mut self.outbox.actions)
    }

    /// Restores the texts that a heartbeat leaves out for receivers that have
    /// the record of its sender; other events stay as they are. Returns false
    /// if this host has no such record: the heartbeat is dropped, and the
    /// sender detects the difference by the digests.
    fn restore_sender(&mut self, event: &mut Event) -> bool {
        let Event::Heartbeat(heartbeat) = event else {
            return true;
        };
        self.services.iter().any(|(_, service)| match service {
            Service::Member(member) => member.restore_sender(heartbeat),
            _ => false,
        })
    }

    fn deliver(&mut self, now: Moment, name: &str, event: &Event) {
        if let Ok(index) = self
            .services
            .binary_search_by(|(registered, _)| (*registered).cmp(name))
        {
            let outbox = &mut self.outbox;
            with_service!(&mut self.services[index].1, service => service.handle(now, event, outbox));
        }
    }

    fn deliver_all(&mut self, now: Moment, event: &Event) {
        for index in 0..self.services.len() {
            let name = self.services[index].0;
            self.deliver(now, name, event);
        }
        if let Event::Status(call) = event {
            let mut status = Status::default();
            for (_, service) in &self.services {
                with_service!(service, service => service.add_status(now, &mut status));
            }
            self.outbox.reply(*call, Reply::Status(status));
        }
    }

    /// Lets every service add its fields to the outgoing heartbeats.
    fn fill_heartbeats(&mut self, now: Moment) {
        for action in &mut self.outbox.actions {
            let Action::Heartbeat(address, heartbeat) = action else {
                continue;
            };
            for (_, service) in &mut self.services {
                with_service!(service, service => service.fill_heartbeat(now, address, heartbeat));
            }
        }
    }
}

enum Recipient {
    All,
    One(&'static str),
    Requester(Token),
}

fn recipient(event: &Event) -> Recipient {
    match event {
        Event::Tick | Event::Heartbeat(_) | Event::Status(_) | Event::Stop | Event::Drained => Recipient::All,
        Event::View(_) | Event::Membership(_) | Event::HeartbeatRound { .. } | Event::ZoneSummaries(_) => {
            Recipient::All
        }
        Event::IssueTickets { .. }
        | Event::BeginCall { .. }
        | Event::EndCall { .. }
        | Event::OwnerUnreachable { .. } => Recipient::One(CALLS),
        Event::Acquire(_)
        | Event::Release { .. }
        | Event::Cancel(_)
        | Event::RunnerLeaving(_)
        | Event::RunnerHoldOff(..)
        | Event::RunnerList(_) => Recipient::One(DISPATCH),
        Event::RecordUsage(_) | Event::Collect(..) | Event::Collected(_) | Event::ReportAnswer(_) => {
            Recipient::One(USAGE)
        }
        Event::Pull(..) | Event::Pulled(_) => Recipient::One(CONFIG),
        Event::OrderAnswer(_) => Recipient::One(ORDERS),
        Event::StoreAnswer(token, _) => Recipient::Requester(*token),
    }
}
