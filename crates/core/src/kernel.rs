//! The micro-kernel: services under names, typed events in, typed actions out.
//!
//! One control thread drives it. A service never touches another one; it posts
//! an event to a name and the kernel delivers it in the same turn, in order,
//! so the same inputs give the same outputs.

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
    /// What the members mean for this process.
    #[derive(Default)]
    pub struct Standing {
        /// Watches the store for its zone.
        pub watches_store: bool,
        /// May seek the ordering duty.
        pub orders_candidate: bool,
        /// May seek the reporting duty.
        pub usage_candidate: bool,
        /// Zone mates that keep this process's usage.
        pub usage_replicas: Vec<Incarnation>,
        /// Live peers and their addresses.
        pub live_peers: Vec<(Incarnation, String)>,
        /// Addresses of the live zone mates.
        pub zone_peers: Vec<String>,
        /// Other zones, each with the addresses of its delegates.
        pub delegates: Vec<(String, Vec<String>)>,
    }
}

plain! {
    /// What happens to the control state.
    #[allow(missing_docs)]
    pub enum Event {
        /// Time passes.
        Tick,
        /// A heartbeat came.
        Heartbeat(Heartbeat),
        /// A customer wants tickets.
        IssueTickets { call: CallId, customer: String, count: u32 },
        /// A copy of an at-most-once call came.
        BeginCall { call: CallId, customer: String, idempotency_key: String, body_hash: u64 },
        /// An at-most-once call ended.
        EndCall { key: Key, end: Completion },
        /// The owner of a call cannot be reached.
        OwnerUnreachable { call: CallId, owner: Incarnation, key: Key },
        /// A call seeks a runner.
        Acquire(Submission),
        /// A call on a runner ended.
        Release { call: CallId, outcome: Outcome },
        /// A waiting call's caller went away.
        Cancel(CallId),
        /// A runner said, or showed, that it leaves.
        RunnerLeaving(String),
        /// Something to count.
        RecordUsage(Record),
        /// The store answered.
        StoreAnswer(Token, store::Answer),
        /// A peer asks for configuration.
        Pull(CallId, Pull),
        /// A peer sent configuration.
        Pulled(Pulled),
        /// The reporter asks for usage.
        Collect(CallId, Collect),
        /// A host sent its usage.
        Collected(Collected),
        /// The platform's list.
        RunnerList(Vec<Listing>),
        /// The usage interface answered.
        ReportAnswer(bool),
        /// The ordering interface answered.
        OrderAnswer(bool),
        /// An operator or test asks how things stand.
        Status(CallId),
        /// The process is to stop.
        Stop,
        /// No call is left in this process.
        Drained,
        /// A new view is in force (between services).
        View(Arc<View>),
        /// The members changed (between services).
        Membership(Standing),
        /// Heartbeats are about to leave: live zone mates, live peers of all
        /// zones, and this host's place among them (between services).
        HeartbeatRound { mates: usize, peers: usize, index: usize },
        /// Zones' words and own demand (between services).
        ZoneSummaries(Vec<ZoneSummary>),
    }
}

plain! {
    /// An answer to a call that waits.
    pub enum Reply {
        /// Tickets, or why not.
        Tickets(Result<Vec<String>, Refusal>),
        /// What the owner decided.
        Verdict(Verdict),
        /// Where the call starts.
        Start(Assignment),
        /// Why it does not.
        Refused(Refusal),
        /// Configuration for a peer.
        Pulled(Pulled),
        /// Usage for the reporter.
        Collected(Collected),
        /// How things stand.
        Status(Status),
    }
}

record! {
    /// How things stand at this host.
    #[derive(Default)]
    pub struct Status {
        /// Configuration version in force.
        pub version: u64,
        /// Whether keys may be trusted, so that callers are served.
        pub trusted: bool,
        /// Age of the newest answer from the store, in milliseconds.
        pub age_ms: Option<u64>,
        /// Live hosts, this one included.
        pub hosts: usize,
        /// Zones with the lowest version among their hosts, hosts, and the
        /// age of that summary in milliseconds.
        pub zones: Vec<ZoneStatus>,
        /// Duties held here, with fencing numbers.
        pub duties: Vec<(String, u64)>,
        /// Calls that wait, by tier.
        pub queue: Vec<(String, usize)>,
        /// Runners known, and how many may take work.
        pub runners: (usize, usize),
        /// Records of at-most-once calls: tickets and claims.
        pub records: (usize, usize),
        /// Usage chunks kept.
        pub chunks: usize,
    }
}

record! {
    /// A zone as last heard of.
    pub struct ZoneStatus {
        /// Its name.
        pub zone: String,
        /// Lowest version in force among its hosts.
        pub version: u64,
        /// Hosts.
        pub hosts: u32,
        /// Age of this summary, in milliseconds.
        pub age_ms: u64,
    }
}

plain! {
    /// What the shell is to do.
    pub enum Action {
        /// Ask the store.
        Store(Token, store::Call),
        /// Send a heartbeat to an address.
        Heartbeat(String, Box<Heartbeat>),
        /// Ask an address for configuration.
        Pull(String, Pull),
        /// Ask an address for usage.
        Collect(String, Collect),
        /// Answer a call.
        Reply(CallId, Box<Reply>),
        /// Publish the view to the traffic threads.
        View(Arc<View>),
        /// Publish the members to the traffic threads.
        Members(Vec<Member>),
        /// Whether keys may be trusted, for the traffic threads.
        KeysTrusted(bool),
        /// Send a report if the grant still covers the moment of sending.
        Report(Grant, SealedWindow),
        /// Send an order if the grant still covers the moment of sending.
        Order(Grant, Order),
        /// Everything is handed back: the process may end.
        Exit,
    }
}

/// Where services put what they want done.
#[derive(Debug, Default)]
pub struct Outbox {
    actions: Vec<Action>,
    posts: VecDeque<(&'static str, Event)>,
    tokens: Vec<(Token, &'static str)>,
    next: u64,
}

impl Outbox {
    /// Has the shell do something.
    pub fn push_action(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Answers a call.
    pub fn reply(&mut self, call: CallId, reply: Reply) {
        self.push_action(Action::Reply(call, Box::new(reply)));
    }

    /// Posts an event to a service.
    pub fn post(&mut self, to: &'static str, event: Event) {
        self.posts.push_back((to, event));
    }

    /// A token whose answer comes back to `from`.
    pub fn new_token(&mut self, from: &'static str) -> Token {
        self.next += 1;
        let token = Token(self.next);
        self.tokens.push((token, from));
        token
    }

    /// Asks the store on behalf of a service.
    pub fn call_store(&mut self, from: &'static str, call: store::Call) -> Token {
        let token = self.new_token(from);
        self.push_action(Action::Store(token, call));
        token
    }

    /// Gives back a token that no question went out under.
    pub fn discard_token(&mut self, token: Token) {
        self.take_token(token);
    }

    fn take_token(&mut self, token: Token) -> Option<&'static str> {
        let at = self.tokens.binary_search_by(|(have, _)| have.cmp(&token)).ok()?;
        Some(self.tokens.remove(at).1)
    }
}

/// The closed set of services.
#[derive(Debug)]
enum Service {
    Member(Box<member::Service>),
    Config(Box<config::Service>),
    Dispatch(Box<dispatch::Service>),
    Calls(Box<calls::Service>),
    Orders(Box<orders::Service>),
    Usage(Box<usage::Service>),
}

macro_rules! each {
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
    /// What a kernel is built from.
    pub struct Setup {
        /// This process.
        pub identity: Identity,
        /// Addresses of some peers.
        pub seeds: Vec<String>,
        /// Secret of this incarnation.
        pub secret: Secret,
        /// Seed of all random choices.
        pub seed: u64,
        /// How calls are ordered and placed.
        pub policy: Policy,
    }
}

/// The control state of one process.
#[derive(Debug)]
pub struct Kernel {
    services: Vec<(&'static str, Service)>,
    out: Outbox,
}

impl Kernel {
    /// A process that has just started, with empty memory.
    pub fn new(now: Moment, setup: Setup) -> Self {
        let me = setup.identity.incarnation;
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
                Service::Calls(Box::new(calls::Service::new(me, setup.secret, setup.seed))),
            ),
            (ORDERS, Service::Orders(Box::new(orders::Service::new(me)))),
            (
                USAGE,
                Service::Usage(Box::new(usage::Service::new(me, &zone, now))),
            ),
        ];
        services.sort_by_key(|(name, _)| *name);
        Self {
            services,
            out: Outbox::default(),
        }
    }

    /// Takes an event in and says what is to be done.
    pub fn handle(&mut self, now: Moment, mut event: Event) -> Vec<Action> {
        if !self.complete(&mut event) {
            return Vec::new();
        }
        match recipient(&event) {
            Recipient::All => self.deliver_all(now, &event),
            Recipient::One(name) => self.deliver(now, name, &event),
            Recipient::Asker(token) => {
                if let Some(name) = self.out.take_token(token) {
                    self.deliver(now, name, &event);
                }
            }
        }
        while let Some((name, event)) = self.out.posts.pop_front() {
            self.deliver(now, name, &event);
        }
        self.compose(now);
        std::mem::take(&mut self.out.actions)
    }

    /// Fills in what a heartbeat left out because this host knows it; false
    /// when it does not, and the sender will find that out by the digests.
    fn complete(&mut self, event: &mut Event) -> bool {
        let Event::Heartbeat(beat) = event else {
            return true;
        };
        self.services.iter().any(|(_, service)| match service {
            Service::Member(member) => member.complete(beat),
            _ => false,
        })
    }

    fn deliver(&mut self, now: Moment, name: &str, event: &Event) {
        if let Ok(at) = self.services.binary_search_by(|(have, _)| (*have).cmp(name)) {
            let out = &mut self.out;
            each!(&mut self.services[at].1, service => service.handle(now, event, out));
        }
    }

    fn deliver_all(&mut self, now: Moment, event: &Event) {
        for at in 0..self.services.len() {
            let name = self.services[at].0;
            self.deliver(now, name, event);
        }
        if let Event::Status(call) = event {
            let mut status = Status::default();
            for (_, service) in &self.services {
                each!(service, service => service.describe(now, &mut status));
            }
            self.out.reply(*call, Reply::Status(status));
        }
    }

    /// Has every service add to the heartbeats that are about to leave.
    fn compose(&mut self, now: Moment) {
        for action in &mut self.out.actions {
            let Action::Heartbeat(address, beat) = action else {
                continue;
            };
            for (_, service) in &mut self.services {
                each!(service, service => service.compose(now, address, beat));
            }
        }
    }
}

enum Recipient {
    All,
    One(&'static str),
    Asker(Token),
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
        | Event::RunnerList(_) => Recipient::One(DISPATCH),
        Event::RecordUsage(_) | Event::Collect(..) | Event::Collected(_) | Event::ReportAnswer(_) => {
            Recipient::One(USAGE)
        }
        Event::Pull(..) | Event::Pulled(_) => Recipient::One(CONFIG),
        Event::OrderAnswer(_) => Recipient::One(ORDERS),
        Event::StoreAnswer(token, _) => Recipient::Asker(*token),
    }
}
