//! Callers, the call path between kernels, and a ledger service that runs what
//! it gets, with the checker of the whole history.

use std::collections::BTreeMap;

use radishstair_core::at_most_once::{Answer, Completion, Key, Verdict};
use radishstair_core::error::{Execution, Kind, Refusal, Repeat};
use radishstair_core::id::{Call, Incarnation};
use radishstair_core::kernel::{Event, Reply};
use radishstair_core::ticket::Ticket;
use rand::RngExt;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

use super::{CUSTOMER, SECOND};
use crate::world::{Broken, World};

/// Where a posting stands with its caller.
#[derive(Clone, Debug, Default)]
pub struct Posting {
    key: Option<String>,
    own_key: bool,
    tries: u32,
    keys: u32,
    settled: bool,
    said_ran: bool,
    said_not_run: Vec<String>,
}

/// What a call at a node stands for.
#[derive(Clone, Debug)]
pub enum Stage {
    Ticket {
        posting: usize,
    },
    Begin {
        posting: usize,
        key: String,
        origin: Option<(usize, Call)>,
    },
    Away {
        posting: usize,
        key: String,
    },
}

/// Callers, the call path between kernels, and a ledger service that runs what
/// it gets.
pub struct Postings {
    /// Hosts, store and network.
    pub world: World,
    postings: Vec<Posting>,
    stages: BTreeMap<u64, Stage>,
    /// Runs at the ledger service: posting and key.
    pub runs: Vec<(usize, String)>,
    running: BTreeMap<u64, (usize, u64, Key, usize, String, Call)>,
    history: Vec<(u64, Option<ClaimOp>, u64)>,
    wakes: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimOp {
    Open,
    Maybe(u64),
    Won(u64),
    Lost(u64),
}

/// A claim is a register that keeps its first owner.
pub struct ClaimSpec;

impl Specification for ClaimSpec {
    type State = Option<u64>;
    type Operation = ClaimOp;

    fn init() -> Self::State {
        None
    }

    fn apply(op: &ClaimOp, state: &Self::State) -> (bool, Self::State) {
        match (op, state) {
            // Its answer never came: it may have claimed, or not.
            (ClaimOp::Maybe(me), _) => (true, state.or(Some(*me))),
            (ClaimOp::Won(me), None) => (true, Some(*me)),
            (ClaimOp::Won(me), Some(owner)) => (me == owner, *state),
            (ClaimOp::Lost(other), Some(owner)) => (other == owner, *state),
            (ClaimOp::Lost(_) | ClaimOp::Open, _) => (false, *state),
        }
    }
}

impl Postings {
    /// Callers with postings to make.
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
            stages: BTreeMap::new(),
            runs: Vec::new(),
            running: BTreeMap::new(),
            history: Vec::new(),
            wakes: 0,
        }
    }

    /// A caller acts: gets a key, or sends (again) with the one it has.
    fn act(&mut self, posting: usize) {
        if self.postings[posting].settled || self.postings[posting].tries > 6 {
            return;
        }
        self.postings[posting].tries += 1;
        let node = self.world.rng.random_range(0..self.world.nodes.len());
        match self.postings[posting].key.clone() {
            Some(key) => self.send(node, posting, key),
            None if self.postings[posting].own_key => {
                self.postings[posting].keys += 1;
                let key = format!("own-{posting}-{}", self.postings[posting].keys);
                self.postings[posting].key = Some(key.clone());
                self.send(node, posting, key);
            }
            None => {
                let call = self.stage(Stage::Ticket { posting });
                let event = Event::Issue {
                    call,
                    customer: CUSTOMER.into(),
                    count: 1,
                };
                self.world.send_event(node, 1, event);
            }
        }
        // The caller comes back by itself when it hears nothing.
        let patience = self.world.rng.random_range(500..6 * SECOND);
        self.world.set_timer(patience, posting as u64);
    }

    /// Sends a copy; sometimes a balancer delivers a second one elsewhere, or
    /// it stays in a socket buffer for long.
    fn send(&mut self, node: usize, posting: usize, key: String) {
        if self.world.broken == Broken::KeyClosing && self.world.rng.random_bool(0.3) {
            // The host that got the copy refuses by itself, unasked owner.
            self.begin(node, 5 * SECOND, posting, key.clone(), None);
            self.refuse(posting, &key, &Kind::Overloaded.into());
            return;
        }
        let late = match self.world.rng.random_bool(0.1) {
            true => self.world.rng.random_range(0..20 * SECOND),
            false => self.world.rng.random_range(0..50),
        };
        self.begin(node, late, posting, key.clone(), None);
        if self.world.rng.random_bool(0.2) {
            let other = self.world.rng.random_range(0..self.world.nodes.len());
            let late = self.world.rng.random_range(0..10 * SECOND);
            self.begin(other, late, posting, key, None);
        }
    }

    fn begin(&mut self, node: usize, after: u64, posting: usize, key: String, origin: Option<(usize, Call)>) {
        let call = self.stage(Stage::Begin {
            posting,
            key: key.clone(),
            origin,
        });
        self.note(node, call, &key, None);
        let event = Event::Begin {
            call,
            customer: CUSTOMER.into(),
            once: key,
            body: posting as u64,
        };
        self.world.send_event(node, after, event);
    }

    fn stage(&mut self, stage: Stage) -> Call {
        let call = self.world.call();
        self.stages.insert(call.0, stage);
        call
    }

    /// Runs until a time.
    pub fn run(&mut self, until: u64) {
        while self.world.step(until) {
            for woken in std::mem::take(&mut self.world.fired_timers) {
                match self.running.remove(&woken) {
                    Some(run) => self.finish(run),
                    None => self.act(woken as usize),
                }
            }
            for replied in std::mem::take(&mut self.world.replies) {
                if let Some(stage) = self.stages.remove(&replied.call.0) {
                    self.reply(replied.node, replied.call, stage, replied.reply);
                }
            }
        }
    }

    fn reply(&mut self, node: usize, call: Call, stage: Stage, reply: Reply) {
        match (stage, reply) {
            (Stage::Ticket { posting }, Reply::Tickets(Ok(tickets)))
                if self.postings[posting].key.is_none() =>
            {
                self.postings[posting].key = tickets.into_iter().next();
                self.act(posting);
            }
            (Stage::Begin { posting, key, origin }, Reply::Verdict(verdict)) => {
                self.note(node, call, &key, Some(&verdict));
                self.verdict(node, call, posting, key, origin, verdict);
            }
            (Stage::Away { posting, key }, Reply::Verdict(Verdict::Refuse(refusal))) => {
                self.refuse(posting, &key, &refusal);
            }
            _ => {}
        }
    }

    fn verdict(
        &mut self,
        node: usize,
        call: Call,
        posting: usize,
        key: String,
        origin: Option<(usize, Call)>,
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
            Verdict::Run(record) => self.start(node, call, posting, key, record),
            Verdict::Replay(_) => self.ran(posting),
            Verdict::Refuse(refusal) => self.refuse(posting, &key, &refusal),
            Verdict::Forward(owner) => self.pass_on(node, posting, key, owner, origin),
            Verdict::Wait => {}
        }
    }

    /// The owner runs it: the runner takes a while, may refuse the connection,
    /// and the answer may break off after the run.
    fn start(&mut self, node: usize, call: Call, posting: usize, key: String, record: Key) {
        self.wakes += 1;
        let wake = u64::MAX - self.wakes;
        let serial = self.world.nodes[node].me.0;
        self.running
            .insert(wake, (node, serial, record, posting, key, call));
        let delay = self.world.rng.random_range(1..2 * SECOND);
        self.world.set_timer(delay, wake);
    }

    fn finish(&mut self, (node, me, record, posting, key, call): (usize, u64, Key, usize, String, Call)) {
        if self.world.nodes[node].me != Incarnation(me) || self.world.nodes[node].kernel.is_none() {
            return;
        }
        if !self.world.running(node) {
            // Frozen with the bytes in its socket buffer: they leave later.
            self.wakes += 1;
            let wake = u64::MAX - self.wakes;
            self.running.insert(wake, (node, me, record, posting, key, call));
            self.world.set_timer(200, wake);
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
        let event = Event::End {
            key: record,
            end: end.clone(),
        };
        self.world.handle(node, event);
        match end {
            Completion::Ran(_) => self.ran(posting),
            Completion::Unknown => self.refuse(posting, &key, &Kind::UpstreamBroken.into()),
            Completion::NotRun => self.refuse(posting, &key, &Kind::NoRunner.into()),
        }
    }

    fn pass_on(
        &mut self,
        node: usize,
        posting: usize,
        key: String,
        owner: Incarnation,
        origin: Option<(usize, Call)>,
    ) {
        let to = (0..self.world.nodes.len())
            .find(|at| self.world.nodes[*at].me == owner && self.world.nodes[*at].kernel.is_some());
        match to.filter(|to| self.world.linked(node, *to) && origin.is_none()) {
            Some(to) => {
                let delay = self.world.rng.random_range(0..50);
                self.begin(to, delay, posting, key, Some((node, Call(0))));
            }
            None => {
                let record = match Ticket::parse(&key) {
                    Some(ticket) => Key::Ticket(ticket.number),
                    None => Key::Claim(radishstair_core::claim::digest(CUSTOMER, &key)),
                };
                let call = self.stage(Stage::Away { posting, key });
                self.world.send_event(
                    node,
                    0,
                    Event::Away {
                        call,
                        owner,
                        key: record,
                    },
                );
            }
        }
    }

    /// A host without a call in flight stops gracefully and another starts.
    pub fn leave(&mut self) {
        let busy = |at: usize| self.running.values().any(|(node, ..)| *node == at);
        let Some(at) = (0..self.world.nodes.len()).find(|at| self.world.running(*at) && !busy(*at)) else {
            return;
        };
        self.world.handle(at, Event::Stop);
        self.world.handle(at, Event::Drained);
        self.world.run_until(self.world.now + SECOND);
        self.world.replies.clear();
        self.world.kill(at);
        self.world.start(at);
    }

    fn ran(&mut self, posting: usize) {
        self.postings[posting].settled = true;
        self.postings[posting].said_ran = true;
    }

    /// The caller keeps to the rules of the refusal.
    fn refuse(&mut self, posting: usize, key: &str, refusal: &Refusal) {
        let item = &mut self.postings[posting];
        if item.key.as_deref() != Some(key) || item.settled {
            return;
        }
        if refusal.ran == Execution::NotRun {
            item.said_not_run.push(key.to_string());
        }
        match refusal.repeat {
            Repeat::NewKey => item.key = None,
            Repeat::SameKey => {}
            Repeat::Never => item.settled = true,
        }
    }

    /// Records claims of one key for the linearizability checker.
    fn note(&mut self, node: usize, call: Call, key: &str, verdict: Option<&Verdict>) {
        if key != "own-0-1" {
            return;
        }
        let me = self.world.nodes[node].me.0;
        let op = match verdict {
            None => None,
            Some(Verdict::Run(_)) => Some(ClaimOp::Won(me)),
            Some(Verdict::Forward(owner)) => Some(ClaimOp::Lost(owner.0)),
            // Anything else leaves open whether, and when, it claimed.
            Some(_) => return,
        };
        self.history.push((call.0, op, me));
    }

    fn claims_are_linearizable(&self) -> bool {
        let mut calls: Vec<(u64, u64)> = Vec::new();
        let mut actions = Vec::new();
        for (call, op, me) in &self.history {
            match op {
                None => {
                    actions.push((calls.len(), Action::Call(ClaimOp::Open)));
                    calls.push((*call, *me));
                }
                Some(op) => {
                    let process = calls.iter().position(|(have, _)| have == call);
                    if let Some(process) = process {
                        actions.push((process, Action::Response(*op)));
                        calls[process].0 = 0;
                    }
                }
            }
        }
        for (process, (_, me)) in calls.iter().enumerate().filter(|(_, (call, _))| *call != 0) {
            actions.push((process, Action::Response(ClaimOp::Maybe(*me))));
        }
        actions.is_empty() || WGLChecker::<ClaimSpec>::is_linearizable(History::from_actions(actions))
    }

    /// Judges the whole history.
    pub fn check(&self) -> Result<(), String> {
        for (posting, item) in self.postings.iter().enumerate() {
            let runs = self.runs.iter().filter(|(have, _)| *have == posting).count();
            if runs > 1 {
                return Err(format!("posting {posting} ran {runs} times: {item:?}"));
            }
            if item.said_ran && runs == 0 {
                return Err(format!("posting {posting} was said to have run and did not"));
            }
            let untrue = item
                .said_not_run
                .iter()
                .find(|key| self.runs.iter().any(|(_, ran)| ran == *key));
            if let Some(key) = untrue {
                return Err(format!("posting {posting}: `{key}` ran after \"not run\""));
            }
        }
        match self.claims_are_linearizable() {
            true => Ok(()),
            false => Err("claims are not linearizable".into()),
        }
    }
}
