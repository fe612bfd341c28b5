//! Simulated callers, the call path between kernels, a ledger service that runs
//! each call it receives, and the checker of the history.

use std::collections::BTreeMap;

use radishstair_core::at_most_once::{Answer, Completion, Key, Verdict};
use radishstair_core::error::{Execution, Kind, Refusal, Repeat};
use radishstair_core::id::{CallId, Incarnation};
use radishstair_core::kernel::{Event, Reply};
use radishstair_core::ticket::Ticket;
use rand::RngExt;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

use super::{CUSTOMER, SECOND_MS};
use crate::world::{Broken, World};

/// State of a posting at its caller.
#[derive(Clone, Debug, Default)]
pub struct Posting {
    key: Option<String>,
    own_key: bool,
    attempts: u32,
    own_key_count: u32,
    finished: bool,
    reported_run: bool,
    reported_not_run: Vec<String>,
}

/// Purpose of a call that was registered at a node.
#[derive(Clone, Debug)]
pub enum Purpose {
    Ticket {
        posting: usize,
    },
    Begin {
        posting: usize,
        key: String,
        origin: Option<(usize, CallId)>,
    },
    OwnerUnreachable {
        posting: usize,
        key: String,
    },
}

/// Callers, the call path between kernels and the ledger service.
pub struct Postings {
    /// Simulated hosts, store and network.
    pub world: World,
    postings: Vec<Posting>,
    purposes: BTreeMap<u64, Purpose>,
    /// Runs at the ledger service, by posting and key.
    pub runs: Vec<(usize, String)>,
    running: BTreeMap<u64, (usize, u64, Key, usize, String, CallId)>,
    history: Vec<(u64, Option<ClaimOp>, u64)>,
    last_timer: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimOp {
    Unresolved,
    Unanswered(u64),
    Won(u64),
    Lost(u64),
}

/// Specification of a claim: a register that keeps its first owner.
pub struct ClaimSpec;

impl Specification for ClaimSpec {
    type State = Option<u64>;
    type Operation = ClaimOp;

    fn init() -> Self::State {
        None
    }

    fn apply(op: &ClaimOp, state: &Self::State) -> (bool, Self::State) {
        match (op, state) {
            // Without an answer, the claim may have been made or not.
            (ClaimOp::Unanswered(claimant), _) => (true, state.or(Some(*claimant))),
            (ClaimOp::Won(claimant), None) => (true, Some(*claimant)),
            (ClaimOp::Won(claimant), Some(owner)) => (claimant == owner, *state),
            (ClaimOp::Lost(other), Some(owner)) => (other == owner, *state),
            (ClaimOp::Lost(_) | ClaimOp::Unresolved, _) => (false, *state),
        }
    }
}

impl Postings {
    /// Creates callers with `count` postings.
    pub fn new(world: World, count: usize, own_keys: bool) -> Self {
        let postings = (0..count)
            .map(|_| Posting {
                own_key: own_keys,
                ..Posting::default()
            })
            .collect();
        Self {
            world,
            postings,
            purposes: BTreeMap::new(),
            runs: Vec::new(),
            running: BTreeMap::new(),
            history: Vec::new(),
            last_timer: 0,
        }
    }

    /// Next step of a caller: it requests a key, or sends its posting with the
    /// key that it has.
    fn next_attempt(&mut self, posting: usize) {
        if self.postings[posting].finished || self.postings[posting].attempts > 6 {
            return;
        }
        self.postings[posting].attempts += 1;
        let node = self.world.rng.random_range(0..self.world.nodes.len());
        match self.postings[posting].key.clone() {
            Some(key) => self.send(node, posting, key),
            None if self.postings[posting].own_key => {
                self.postings[posting].own_key_count += 1;
                let key = format!("own-{posting}-{}", self.postings[posting].own_key_count);
                self.postings[posting].key = Some(key.clone());
                self.send(node, posting, key);
            }
            None => {
                let call = self.register_call(Purpose::Ticket { posting });
                let event = Event::IssueTickets {
                    call,
                    customer: CUSTOMER.into(),
                    count: 1,
                };
                self.world.send_event(node, 1, event);
            }
        }
        // The caller retries if there is no answer.
        let retry_delay_ms = self.world.rng.random_range(500..6 * SECOND_MS);
        self.world.set_timer(retry_delay_ms, posting as u64);
    }

    /// Sends a posting. Some are delayed in a socket buffer, and of some a load
    /// balancer delivers a second copy to another host.
    fn send(&mut self, node: usize, posting: usize, key: String) {
        if self.world.broken == Broken::KeyClosing && self.world.rng.random_bool(0.3) {
            // The host refuses the copy without asking the owner of its key.
            self.begin(node, 5 * SECOND_MS, posting, key.clone(), None);
            self.on_refusal(posting, &key, &Kind::Overloaded.into());
            return;
        }
        let delay_ms = match self.world.rng.random_bool(0.1) {
            true => self.world.rng.random_range(0..20 * SECOND_MS),
            false => self.world.rng.random_range(0..50),
        };
        self.begin(node, delay_ms, posting, key.clone(), None);
        if self.world.rng.random_bool(0.2) {
            let other = self.world.rng.random_range(0..self.world.nodes.len());
            let delay_ms = self.world.rng.random_range(0..10 * SECOND_MS);
            self.begin(other, delay_ms, posting, key, None);
        }
    }

    fn begin(
        &mut self,
        node: usize,
        delay_ms: u64,
        posting: usize,
        key: String,
        origin: Option<(usize, CallId)>,
    ) {
        let call = self.register_call(Purpose::Begin {
            posting,
            key: key.clone(),
            origin,
        });
        self.record_claim_event(node, call, &key, None);
        let event = Event::BeginCall {
            call,
            customer: CUSTOMER.into(),
            idempotency_key: key,
            body_hash: posting as u64,
        };
        self.world.send_event(node, delay_ms, event);
    }

    fn register_call(&mut self, purpose: Purpose) -> CallId {
        let call = self.world.call();
        self.purposes.insert(call.0, purpose);
        call
    }

    /// Runs the simulation until `until`, in milliseconds.
    pub fn run(&mut self, until: u64) {
        while self.world.step(until) {
            for woken in std::mem::take(&mut self.world.fired_timers) {
                match self.running.remove(&woken) {
                    Some(run) => self.finish_run(run),
                    None => self.next_attempt(woken as usize),
                }
            }
            for replied in std::mem::take(&mut self.world.replies) {
                if let Some(purpose) = self.purposes.remove(&replied.call.0) {
                    self.on_reply(replied.node, replied.call, purpose, replied.reply);
                }
            }
        }
    }

    fn on_reply(&mut self, node: usize, call: CallId, purpose: Purpose, reply: Reply) {
        match (purpose, reply) {
            (Purpose::Ticket { posting }, Reply::Tickets(Ok(tickets)))
                if self.postings[posting].key.is_none() =>
            {
                self.postings[posting].key = tickets.into_iter().next();
                self.next_attempt(posting);
            }
            (Purpose::Begin { posting, key, origin }, Reply::Verdict(verdict)) => {
                self.record_claim_event(node, call, &key, Some(&verdict));
                self.on_verdict(node, call, posting, key, origin, verdict);
            }
            (Purpose::OwnerUnreachable { posting, key }, Reply::Verdict(Verdict::Refuse(refusal))) => {
                self.on_refusal(posting, &key, &refusal);
            }
            _ => {}
        }
    }

    fn on_verdict(
        &mut self,
        node: usize,
        call: CallId,
        posting: usize,
        key: String,
        origin: Option<(usize, CallId)>,
        verdict: Verdict,
    ) {
        let verdict = match (self.world.broken, verdict) {
            (Broken::Claims, Verdict::Replay(_) | Verdict::Forward(_)) => {
                self.runs.push((posting, key));
                return;
            }
            (_, verdict) => verdict,
        };
        match verdict {
            Verdict::Run(record) => self.start_run(node, call, posting, key, record),
            Verdict::Replay(_) => self.mark_run(posting),
            Verdict::Refuse(refusal) => self.on_refusal(posting, &key, &refusal),
            Verdict::Forward(owner) => self.forward(node, posting, key, owner, origin),
            Verdict::Wait => {}
        }
    }

    /// Starts a run at the owner, which ends after a random time. The runner
    /// may refuse the connection, and the answer may be lost after the run.
    fn start_run(&mut self, node: usize, call: CallId, posting: usize, key: String, record: Key) {
        self.last_timer += 1;
        let timer = u64::MAX - self.last_timer;
        let incarnation = self.world.nodes[node].incarnation.0;
        self.running
            .insert(timer, (node, incarnation, record, posting, key, call));
        let delay_ms = self.world.rng.random_range(1..2 * SECOND_MS);
        self.world.set_timer(delay_ms, timer);
    }

    fn finish_run(
        &mut self,
        (node, incarnation, record, posting, key, call): (usize, u64, Key, usize, String, CallId),
    ) {
        if self.world.nodes[node].incarnation != Incarnation(incarnation)
            || self.world.nodes[node].kernel.is_none()
        {
            return;
        }
        if !self.world.running(node) {
            // The host is suspended with the bytes in its socket buffer, so
            // they are sent later.
            self.last_timer += 1;
            let timer = u64::MAX - self.last_timer;
            self.running
                .insert(timer, (node, incarnation, record, posting, key, call));
            self.world.set_timer(200, timer);
            return;
        }
        let end = match self.world.rng.random_range(0..10) {
            0 | 1 => Completion::NotRun,
            2 => {
                self.runs.push((posting, key.clone()));
                Completion::Unknown
            }
            _ => {
                self.runs.push((posting, key.clone()));
                Completion::Ran(Answer {
                    status: 200,
                    body: Some(posting.to_string()),
                })
            }
        };
        let event = Event::EndCall {
            key: record,
            end: end.clone(),
        };
        self.world.handle(node, event);
        match end {
            Completion::Ran(_) => self.mark_run(posting),
            Completion::Unknown => self.on_refusal(posting, &key, &Kind::UpstreamBroken.into()),
            Completion::NotRun => self.on_refusal(posting, &key, &Kind::NoRunner.into()),
        }
    }

    fn forward(
        &mut self,
        node: usize,
        posting: usize,
        key: String,
        owner: Incarnation,
        origin: Option<(usize, CallId)>,
    ) {
        let target = (0..self.world.nodes.len()).find(|node| {
            self.world.nodes[*node].incarnation == owner && self.world.nodes[*node].kernel.is_some()
        });
        match target.filter(|target| self.world.linked(node, *target) && origin.is_none()) {
            Some(target) => {
                let delay_ms = self.world.rng.random_range(0..50);
                self.begin(target, delay_ms, posting, key, Some((node, CallId(0))));
            }
            None => {
                let record = match Ticket::parse(&key) {
                    Some(ticket) => Key::Ticket(ticket.number),
                    None => Key::Claim(radishstair_core::claim::digest(CUSTOMER, &key)),
                };
                let call = self.register_call(Purpose::OwnerUnreachable { posting, key });
                self.world.send_event(
                    node,
                    0,
                    Event::OwnerUnreachable {
                        call,
                        owner,
                        key: record,
                    },
                );
            }
        }
    }

    /// Stops a host that has no call in flight gracefully, and restarts it.
    pub fn stop_one_host(&mut self) {
        let busy = |node: usize| {
            self.running
                .values()
                .any(|(running_node, ..)| *running_node == node)
        };
        let Some(node) = (0..self.world.nodes.len()).find(|node| self.world.running(*node) && !busy(*node))
        else {
            return;
        };
        self.world.handle(node, Event::Stop);
        self.world.handle(node, Event::Drained);
        self.world.run_until(self.world.now + SECOND_MS);
        self.world.replies.clear();
        self.world.kill(node);
        self.world.start(node);
    }

    fn mark_run(&mut self, posting: usize) {
        self.postings[posting].finished = true;
        self.postings[posting].reported_run = true;
    }

    /// Updates the caller's state as the refusal demands.
    fn on_refusal(&mut self, posting: usize, key: &str, refusal: &Refusal) {
        let state = &mut self.postings[posting];
        if state.key.as_deref() != Some(key) || state.finished {
            return;
        }
        if refusal.ran == Execution::NotRun {
            state.reported_not_run.push(key.to_string());
        }
        match refusal.repeat {
            Repeat::NewKey => state.key = None,
            Repeat::SameKey => {}
            Repeat::Never => state.finished = true,
        }
    }

    /// Records claims of one key for the linearizability checker.
    fn record_claim_event(&mut self, node: usize, call: CallId, key: &str, verdict: Option<&Verdict>) {
        if key != "own-0-1" {
            return;
        }
        let claimant = self.world.nodes[node].incarnation.0;
        let op = match verdict {
            None => None,
            Some(Verdict::Run(_)) => Some(ClaimOp::Won(claimant)),
            Some(Verdict::Forward(owner)) => Some(ClaimOp::Lost(owner.0)),
            // Other verdicts leave open whether and when the key was claimed.
            Some(_) => return,
        };
        self.history.push((call.0, op, claimant));
    }

    fn claims_are_linearizable(&self) -> bool {
        let mut calls: Vec<(u64, u64)> = Vec::new();
        let mut actions = Vec::new();
        for (call, op, claimant) in &self.history {
            match op {
                None => {
                    actions.push((calls.len(), Action::Call(ClaimOp::Unresolved)));
                    calls.push((*call, *claimant));
                }
                Some(op) => {
                    let process = calls.iter().position(|(other, _)| other == call);
                    if let Some(process) = process {
                        actions.push((process, Action::Response(*op)));
                        calls[process].0 = 0;
                    }
                }
            }
        }
        for (process, (_, claimant)) in calls.iter().enumerate().filter(|(_, (call, _))| *call != 0) {
            actions.push((process, Action::Response(ClaimOp::Unanswered(*claimant))));
        }
        actions.is_empty() || WGLChecker::<ClaimSpec>::is_linearizable(History::from_actions(actions))
    }

    /// Checks the whole history.
    pub fn check(&self) -> Result<(), String> {
        for (posting, state) in self.postings.iter().enumerate() {
            let runs = self.runs.iter().filter(|(other, _)| *other == posting).count();
            if runs > 1 {
                return Err(format!("posting {posting} ran {runs} times: {state:?}"));
            }
            if state.reported_run && runs == 0 {
                return Err(format!("posting {posting} was reported as run but did not run"));
            }
            let contradicted = state
                .reported_not_run
                .iter()
                .find(|key| self.runs.iter().any(|(_, ran_key)| ran_key == *key));
            if let Some(key) = contradicted {
                return Err(format!("posting {posting}: `{key}` ran after \"not run\""));
            }
        }
        match self.claims_are_linearizable() {
            true => Ok(()),
            false => Err("claims are not linearizable".into()),
        }
    }
}
