//! Records of calls that may run at most once, kept by their one owner.
//!
//! Each call has a [`Key`] whose owner is fixed for ever: the issuer of the
//! ticket, or the process whose claim stands in the store. Only the owner
//! decides, so "not run" is its word alone, and it closes the key: a copy of
//! the call that a frozen host or a balancer delivers later finds the record
//! closed and cannot run.

use std::collections::VecDeque;
use std::time::Duration;

use crate::error::{Kind, Refusal};
use crate::id::{Call, Incarnation};
use crate::ticket::{Secret, Ticket};
use crate::time::Moment;

/// How long a ticket may be used after its issue.
pub const TICKET_LIFETIME: Duration = Duration::from_secs(900);
/// How long a record is kept after its ticket's life, to repeat the answer.
pub const RECORD_RETENTION: Duration = Duration::from_secs(1_800);
/// Most tickets in one answer.
pub const MAX_TICKETS_PER_REQUEST: u32 = 64;
/// Most records in memory; past it no ticket is issued.
pub const MAX_TICKET_RECORDS: usize = 60_000;
/// Most claims with a record in memory; past it no claim is made.
pub const MAX_CLAIM_RECORDS: usize = 20_000;
/// Most claims remembered without their answer; past it no claim is made.
pub const MAX_SPENT_CLAIMS: usize = 500_000;
/// How often claims are pruned.
const PRUNE_INTERVAL: Duration = Duration::from_secs(10);
/// Longest answer kept for repetition, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 * 1024;

/// A claimed key: the first half of a SHA-256 over customer and key.
pub type Claim = [u8; 16];

plain! {
    /// Names a call for its owner.
    #[derive(Copy, Eq)]
    pub enum Key {
        /// Number of one of my tickets.
        Ticket(u64),
        /// A claim that stands in the store under my incarnation.
        Claim(Claim),
    }
}

plain! {
    /// An answer kept for repetition.
    pub struct Answer {
        /// HTTP status.
        pub status: u16,
        /// Body; absent when it was too long to keep.
        pub body: Option<String>,
    }
}

plain! {
    /// How a run ended.
    pub enum Completion {
        /// The runner answered.
        Ran(Answer),
        /// Bytes went out and no whole answer came back.
        Unknown,
        /// No byte reached a runner; the key is closed.
        NotRun,
    }
}

plain! {
    /// What the owner decides about a copy of a call.
    pub enum Verdict {
        /// Run it now; the owner must hear the end.
        Run(Key),
        /// It runs already; the answer follows under this call.
        Wait,
        /// It ran; here is the answer.
        Replay(Answer),
        /// Refused.
        Refuse(Refusal),
        /// Another process decides.
        Forward(Incarnation),
    }
}

plain! {
    enum State {
        Open,
        Running { body: u64, waiting: Vec<Call> },
        Ended { body: u64, end: Completion },
    }
}

plain! {
    struct Record {
        customer: String,
        created: Moment,
        state: State,
    }
}

/// The records of one incarnation.
#[derive(Debug)]
pub struct Records {
    me: Incarnation,
    secret: Secret,
    first_number: u64,
    tickets: VecDeque<Record>,
    claims: Vec<(Claim, Record)>,
    spent: Vec<Claim>,
    last_prune: Moment,
    stopping: bool,
    sealed: bool,
}

impl Records {
    /// No records yet.
    pub fn new(me: Incarnation, secret: Secret) -> Self {
        Self {
            me,
            secret,
            first_number: 0,
            tickets: VecDeque::new(),
            claims: Vec::new(),
            spent: Vec::new(),
            last_prune: Moment::default(),
            stopping: false,
            sealed: false,
        }
    }

    /// Issues tickets to a customer.
    pub fn issue(&mut self, now: Moment, customer: &str, count: u32) -> Result<Vec<String>, Refusal> {
        self.prune_tickets(now);
        if self.stopping {
            return Err(Kind::Stopping.into());
        }
        let count = count.clamp(1, MAX_TICKETS_PER_REQUEST);
        if self.tickets.len() + count as usize > MAX_TICKET_RECORDS {
            return Err(Refusal::new(Kind::Overloaded).retry_after(Duration::from_secs(5)));
        }
        Ok((0..count).map(|_| self.issue_one(now, customer)).collect())
    }

    fn issue_one(&mut self, now: Moment, customer: &str) -> String {
        let number = self.first_number + self.tickets.len() as u64;
        self.tickets.push_back(Record {
            customer: customer.to_string(),
            created: now,
            state: State::Open,
        });
        Ticket::issue(&self.secret, self.me, number, customer).to_string()
    }

    /// Decides about a copy that came with a ticket.
    pub fn begin_ticket(
        &mut self,
        now: Moment,
        call: Call,
        ticket: &Ticket,
        customer: &str,
        body: u64,
    ) -> Verdict {
        if ticket.owner != self.me {
            return Verdict::Forward(ticket.owner);
        }
        if !ticket.verify(&self.secret, customer) {
            return Verdict::Refuse(Kind::BadIdempotencyKey.into());
        }
        let Some(at) = ticket.number.checked_sub(self.first_number) else {
            return Verdict::Refuse(Kind::KeyExpired.into());
        };
        match self.tickets.get_mut(at as usize) {
            Some(record) => begin(now, call, Key::Ticket(ticket.number), record, body, self.sealed),
            None => Verdict::Refuse(Kind::BadIdempotencyKey.into()),
        }
    }

    /// Decides about a copy whose claim stands under this incarnation.
    pub fn begin_claim(
        &mut self,
        now: Moment,
        call: Call,
        claim: Claim,
        customer: &str,
        body: u64,
    ) -> Verdict {
        self.prune_claims(now);
        if self.spent.binary_search(&claim).is_ok() {
            return Verdict::Refuse(Kind::KeyExpired.into());
        }
        let at = match self.claims.binary_search_by(|(have, _)| have.cmp(&claim)) {
            Ok(at) => at,
            Err(at) => {
                let record = Record {
                    customer: customer.to_string(),
                    created: now,
                    state: State::Open,
                };
                self.claims.insert(at, (claim, record));
                at
            }
        };
        let record = &mut self.claims[at].1;
        if record.customer != customer {
            return Verdict::Refuse(Kind::BadIdempotencyKey.into());
        }
        begin(now, call, Key::Claim(claim), record, body, self.sealed)
    }

    /// Whether a claim was decided here.
    pub fn contains(&self, claim: &Claim) -> bool {
        let recorded = self.claims.binary_search_by(|(have, _)| have.cmp(claim)).is_ok();
        recorded || self.spent.binary_search(claim).is_ok()
    }

    /// Whether another claim can be recorded.
    pub fn has_capacity(&self) -> bool {
        !self.stopping && self.claims.len() < MAX_CLAIM_RECORDS && self.spent.len() < MAX_SPENT_CLAIMS
    }

    /// Records an end; returns the copies that wait for it.
    pub fn complete(&mut self, key: Key, mut end: Completion) -> Vec<Call> {
        if let Completion::Ran(answer) = &mut end
            && answer
                .body
                .as_ref()
                .is_some_and(|body| body.len() > MAX_ANSWER_BYTES)
        {
            answer.body = None;
        }
        let Some(record) = self.record(key) else {
            return Vec::new();
        };
        match std::mem::replace(&mut record.state, State::Open) {
            State::Running { body, waiting } => {
                record.state = State::Ended { body, end };
                waiting
            }
            // An end is told once; a second one must not change the first.
            other => {
                record.state = other;
                Vec::new()
            }
        }
    }

    /// What a copy that waited is told.
    pub fn outcome(&mut self, key: Key) -> Verdict {
        match self.record(key).map(|record| &record.state) {
            Some(State::Ended { end, .. }) => replay(end),
            Some(_) => Verdict::Refuse(Kind::InProgress.into()),
            None => Verdict::Refuse(Kind::KeyExpired.into()),
        }
    }

    /// No further ticket or claim; what runs goes on.
    pub fn stop_issuing(&mut self) {
        self.stopping = true;
    }

    /// Which keys ran or may have run; from here on no other ever will.
    ///
    /// Handed to the store by a graceful exit, so that the keys of a process
    /// that ended properly get a true "not run" from its peers.
    pub fn seal(&mut self) -> Tombstone {
        self.stopping = true;
        self.sealed = true;
        let used = |record: &Record| {
            !matches!(
                record.state,
                State::Open
                    | State::Ended {
                        end: Completion::NotRun,
                        ..
                    }
            )
        };
        let claims = self.claims.iter().filter(|(_, record)| used(record));
        Tombstone {
            claims: claims
                .map(|(claim, _)| claim)
                .chain(&self.spent)
                .map(hex::encode)
                .collect::<std::collections::BTreeSet<_>>()
                .into_iter()
                .collect(),
            base: self.first_number,
            next: self.first_number + self.tickets.len() as u64,
            used: self
                .tickets
                .iter()
                .enumerate()
                .filter(|(_, record)| used(record))
                .map(|(at, _)| self.first_number + at as u64)
                .collect(),
        }
    }

    /// Counts of records: tickets and claims.
    pub fn counts(&self) -> (usize, usize) {
        (self.tickets.len(), self.claims.len())
    }

    fn record(&mut self, key: Key) -> Option<&mut Record> {
        match key {
            Key::Ticket(number) => {
                let at = number.checked_sub(self.first_number)?;
                self.tickets.get_mut(at as usize)
            }
            Key::Claim(claim) => {
                let at = self.claims.binary_search_by(|(have, _)| have.cmp(&claim)).ok()?;
                Some(&mut self.claims[at].1)
            }
        }
    }

    /// Drops the records of claims that ended long ago, but not the claims: one
    /// that stands in the store under this incarnation and is not known here
    /// counts as never begun, and would run a second time.
    fn prune_claims(&mut self, now: Moment) {
        if now.since(self.last_prune) < PRUNE_INTERVAL {
            return;
        }
        self.last_prune = now;
        let old = |record: &Record| {
            matches!(record.state, State::Ended { .. }) && now.since(record.created) >= RECORD_RETENTION
        };
        let spent = self.claims.iter().filter(|(_, record)| old(record));
        self.spent.extend(spent.map(|(claim, _)| *claim));
        self.spent.sort_unstable();
        self.claims.retain(|(_, record)| !old(record));
    }

    /// Drops the oldest tickets; their numbers are refused as expired from
    /// then on, so pruning never opens a key again.
    fn prune_tickets(&mut self, now: Moment) {
        while let Some(front) = self.tickets.front() {
            let running = matches!(front.state, State::Running { .. });
            if running || now.since(front.created) < TICKET_LIFETIME + RECORD_RETENTION {
                return;
            }
            self.tickets.pop_front();
            self.first_number += 1;
        }
    }
}

record! {
    /// What a graceful exit leaves in the store.
    pub struct Tombstone {
        /// First number still recorded.
        pub base: u64,
        /// First number never issued.
        pub next: u64,
        /// Numbers that ran or may have run, in order.
        pub used: Vec<u64>,
        /// Claims that ran or may have run, in order.
        pub claims: Vec<String>,
    }
}

impl Tombstone {
    /// What a peer may say about a key of the process that left.
    pub fn resolve(&self, key: Key) -> Refusal {
        let used = match key {
            Key::Ticket(number) => number < self.base || self.used.binary_search(&number).is_ok(),
            Key::Claim(claim) => self.claims.binary_search(&hex::encode(claim)).is_ok(),
        };
        match used {
            true => Kind::OwnerLost.into(),
            false => Kind::KeyClosed.into(),
        }
    }
}

fn begin(now: Moment, call: Call, key: Key, record: &mut Record, body: u64, sealed: bool) -> Verdict {
    match &mut record.state {
        State::Open
            if sealed || (matches!(key, Key::Ticket(_)) && now.since(record.created) >= TICKET_LIFETIME) =>
        {
            record.state = State::Ended {
                body,
                end: Completion::NotRun,
            };
            Verdict::Refuse(Kind::KeyClosed.into())
        }
        State::Open => {
            record.state = State::Running {
                body,
                waiting: Vec::new(),
            };
            Verdict::Run(key)
        }
        State::Running { body: have, .. }
        | State::Ended {
            body: have,
            end: Completion::Ran(_) | Completion::Unknown,
        } if *have != body => Verdict::Refuse(Kind::KeyReused.into()),
        State::Running { waiting, .. } => {
            waiting.push(call);
            Verdict::Wait
        }
        State::Ended { end, .. } => replay(end),
    }
}

fn replay(end: &Completion) -> Verdict {
    match end {
        Completion::Ran(answer) => Verdict::Replay(answer.clone()),
        Completion::Unknown => Verdict::Refuse(Kind::UpstreamBroken.into()),
        Completion::NotRun => Verdict::Refuse(Kind::KeyClosed.into()),
    }
}
