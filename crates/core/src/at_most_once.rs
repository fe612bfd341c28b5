//! Records of calls that may run at most once, kept by the owner of each call.
//!
//! Each call has a [`Key`] whose owner never changes: the issuer of the ticket,
//! or the process whose claim is in the store. Only the owner decides whether a
//! call runs, so only the owner may answer "not run", and it then closes the
//! key: a copy of the call that a frozen host or a load balancer delivers later
//! finds the record closed and cannot run.

use std::collections::VecDeque;
use std::time::Duration;

use crate::error::{Kind, Refusal};
use crate::id::{CallId, Incarnation};
use crate::ticket::{Secret, Ticket};
use crate::time::Moment;

/// How long a ticket may be used after it was issued.
pub const TICKET_LIFETIME: Duration = Duration::from_secs(900);
/// How long a record is kept after its ticket's lifetime, to replay the answer.
pub const RECORD_RETENTION: Duration = Duration::from_secs(1_800);
/// Maximum tickets in one answer.
pub const MAX_TICKETS_PER_REQUEST: u32 = 64;
/// Maximum ticket records in memory; at this limit no ticket is issued.
pub const MAX_TICKET_RECORDS: usize = 60_000;
/// Maximum claims with a record in memory; at this limit no claim is made.
pub const MAX_CLAIM_RECORDS: usize = 20_000;
/// Maximum claims in memory without their answer; at this limit no claim is made.
pub const MAX_SPENT_CLAIMS: usize = 500_000;
/// Interval at which claims are pruned.
const PRUNE_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum length of an answer kept for replay, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 * 1024;

/// Digest of a claimed key: the first half of a SHA-256 over customer and key.
pub type Claim = [u8; 16];

plain! {
    /// Identifies a call at its owner.
    #[derive(Copy, Eq)]
    pub enum Key {
        /// Number of a ticket of this process.
        Ticket(u64),
        /// A claim in the store under the incarnation of this process.
        Claim(Claim),
    }
}

plain! {
    /// An answer kept for replay.
    pub struct Answer {
        /// HTTP status.
        pub status: u16,
        /// Body; absent if it was too long to keep.
        pub body: Option<String>,
    }
}

plain! {
    /// How a run ended.
    pub enum Completion {
        /// The runner answered.
        Ran(Answer),
        /// Bytes were sent and no complete answer came back.
        Unknown,
        /// No byte reached a runner; the key is closed.
        NotRun,
    }
}

plain! {
    /// The owner's decision about a copy of a call.
    pub enum Verdict {
        /// Run it now and report its completion to the owner.
        Run(Key),
        /// A copy is already running; its answer will be sent for this call too.
        Wait,
        /// It has run; send this answer.
        Replay(Answer),
        /// Refuse it.
        Refuse(Refusal),
        /// Forward it to its owner, which is another process.
        Forward(Incarnation),
    }
}

plain! {
    enum State {
        Open,
        Running { body_hash: u64, waiting: Vec<CallId> },
        Ended { body_hash: u64, completion: Completion },
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
    incarnation: Incarnation,
    secret: Secret,
    /// Number of the oldest ticket record.
    first_number: u64,
    tickets: VecDeque<Record>,
    claims: Vec<(Claim, Record)>,
    /// Claims whose record was pruned, sorted.
    spent: Vec<Claim>,
    last_prune: Moment,
    stopping: bool,
    sealed: bool,
}

impl Records {
    /// Creates an empty set of records.
    pub fn new(incarnation: Incarnation, secret: Secret) -> Self {
        Self {
            incarnation,
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
    ///
    /// # Errors
    ///
    /// Refuses when the process is stopping or at the limit of ticket records.
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
        Ticket::issue(&self.secret, self.incarnation, number, customer).to_string()
    }

    /// Decides about a copy of a call with a ticket.
    pub fn begin_ticket(
        &mut self,
        now: Moment,
        call: CallId,
        ticket: &Ticket,
        customer: &str,
        body_hash: u64,
    ) -> Verdict {
        if ticket.owner != self.incarnation {
            return Verdict::Forward(ticket.owner);
        }
        if !ticket.verify(&self.secret, customer) {
            return Verdict::Refuse(Kind::BadIdempotencyKey.into());
        }
        let Some(at) = ticket.number.checked_sub(self.first_number) else {
            return Verdict::Refuse(Kind::KeyExpired.into());
        };
        match self.tickets.get_mut(at as usize) {
            Some(record) => begin(
                now,
                call,
                Key::Ticket(ticket.number),
                record,
                body_hash,
                self.sealed,
            ),
            None => Verdict::Refuse(Kind::BadIdempotencyKey.into()),
        }
    }

    /// Decides about a copy of a call whose claim is under this incarnation.
    pub fn begin_claim(
        &mut self,
        now: Moment,
        call: CallId,
        claim: Claim,
        customer: &str,
        body_hash: u64,
    ) -> Verdict {
        self.prune_claims(now);
        if self.spent.binary_search(&claim).is_ok() {
            return Verdict::Refuse(Kind::KeyExpired.into());
        }
        let at = match self.claims.binary_search_by(|(existing, _)| existing.cmp(&claim)) {
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
        begin(now, call, Key::Claim(claim), record, body_hash, self.sealed)
    }

    /// Whether this process has decided about a claim.
    pub fn contains(&self, claim: &Claim) -> bool {
        let recorded = self
            .claims
            .binary_search_by(|(existing, _)| existing.cmp(claim))
            .is_ok();
        recorded || self.spent.binary_search(claim).is_ok()
    }

    /// Whether another claim can be recorded.
    pub fn has_capacity(&self) -> bool {
        !self.stopping && self.claims.len() < MAX_CLAIM_RECORDS && self.spent.len() < MAX_SPENT_CLAIMS
    }

    /// Records the completion of a call; returns the copies that wait for it.
    pub fn complete(&mut self, key: Key, mut completion: Completion) -> Vec<CallId> {
        if let Completion::Ran(answer) = &mut completion
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
            State::Running { body_hash, waiting } => {
                record.state = State::Ended {
                    body_hash,
                    completion,
                };
                waiting
            }
            // Only the first completion counts; a later one must not change it.
            other => {
                record.state = other;
                Vec::new()
            }
        }
    }

    /// Decides about a copy that waited for the completion.
    pub fn outcome(&mut self, key: Key) -> Verdict {
        match self.record(key).map(|record| &record.state) {
            Some(State::Ended { completion, .. }) => replay(completion),
            Some(_) => Verdict::Refuse(Kind::InProgress.into()),
            None => Verdict::Refuse(Kind::KeyExpired.into()),
        }
    }

    /// Stops issuing tickets and making claims; running calls continue.
    pub fn stop_issuing(&mut self) {
        self.stopping = true;
    }

    /// Lists the keys that ran or may have run; after this no other key will run.
    ///
    /// A graceful exit writes the list to the store, so that peers can correctly answer "not run"
    /// for other keys of the process.
    pub fn seal(&mut self) -> Tombstone {
        self.stopping = true;
        self.sealed = true;
        let used = |record: &Record| {
            !matches!(
                record.state,
                State::Open
                    | State::Ended {
                        completion: Completion::NotRun,
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

    /// Number of ticket records and of claim records.
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
                let at = self
                    .claims
                    .binary_search_by(|(existing, _)| existing.cmp(&claim))
                    .ok()?;
                Some(&mut self.claims[at].1)
            }
        }
    }

    /// Drops the records of claims that completed long ago, but not the claims themselves. A claim
    /// in the store under this incarnation that is not known here counts as not begun, and its
    /// call would run a second time.
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

    /// Drops the oldest tickets. Their numbers are refused as expired from then on, so pruning
    /// never makes a key usable again.
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
    /// Record of a process's used keys, written to the store at a graceful exit.
    pub struct Tombstone {
        /// Lowest ticket number still recorded.
        pub base: u64,
        /// Lowest ticket number never issued.
        pub next: u64,
        /// Ticket numbers that ran or may have run, sorted.
        pub used: Vec<u64>,
        /// Claims that ran or may have run, in hexadecimal, sorted.
        pub claims: Vec<String>,
    }
}

impl Tombstone {
    /// The refusal that a peer may give for a key of the process that exited.
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

fn begin(now: Moment, call: CallId, key: Key, record: &mut Record, body_hash: u64, sealed: bool) -> Verdict {
    match &mut record.state {
        State::Open
            if sealed || (matches!(key, Key::Ticket(_)) && now.since(record.created) >= TICKET_LIFETIME) =>
        {
            record.state = State::Ended {
                body_hash,
                completion: Completion::NotRun,
            };
            Verdict::Refuse(Kind::KeyClosed.into())
        }
        State::Open => {
            record.state = State::Running {
                body_hash,
                waiting: Vec::new(),
            };
            Verdict::Run(key)
        }
        State::Running {
            body_hash: recorded_hash,
            ..
        }
        | State::Ended {
            body_hash: recorded_hash,
            completion: Completion::Ran(_) | Completion::Unknown,
        } if *recorded_hash != body_hash => Verdict::Refuse(Kind::KeyReused.into()),
        State::Running { waiting, .. } => {
            waiting.push(call);
            Verdict::Wait
        }
        State::Ended { completion, .. } => replay(completion),
    }
}

fn replay(completion: &Completion) -> Verdict {
    match completion {
        Completion::Ran(answer) => Verdict::Replay(answer.clone()),
        Completion::Unknown => Verdict::Refuse(Kind::UpstreamBroken.into()),
        Completion::NotRun => Verdict::Refuse(Kind::KeyClosed.into()),
    }
}
