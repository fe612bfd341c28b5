//! Service of the kernel that decides on at-most-once calls.
//!
//! A ticket is decided in memory by the process that issued it; a key that the
//! caller chose is first claimed in the store. A graceful stop leaves a
//! tombstone in the store, by which other hosts can answer for this process.

use super::{Action, CALLS, Event, Outbox, Reply, Status};
use crate::at_most_once::{Key, Records, Tombstone, Verdict};
use crate::claim::{self, Registry};
use crate::error::{Kind, Refusal};
use crate::id::{CallId, Incarnation};
use crate::peer::Heartbeat;
use crate::store::{self, Answer, Token};
use crate::ticket::{self, Secret, Ticket};
use crate::time::Moment;

/// Store prefix of the tombstones that graceful stops leave.
pub const TOMBSTONE_PREFIX: &str = "tombstone/";
/// Maximum size of a tombstone, in bytes. A larger one is not written, and the
/// outcome of its keys stays unknown.
const MAX_TOMBSTONE_BYTES: usize = 900_000;

/// Records and claims of this incarnation.
#[derive(Debug)]
pub struct Service {
    incarnation: Incarnation,
    records: Records,
    registry: Registry,
    waiting: Vec<(CallId, Key)>,
    tombstone_reads: Vec<(Token, CallId, Key)>,
    tombstone: Option<Token>,
    drained: bool,
    exit_requested: bool,
}

impl Service {
    /// Creates the service with empty records.
    pub fn new(incarnation: Incarnation, secret: Secret, seed: u64) -> Self {
        Self {
            incarnation,
            records: Records::new(incarnation, secret),
            registry: Registry::new(incarnation, seed),
            waiting: Vec::new(),
            tombstone_reads: Vec::new(),
            tombstone: None,
            drained: false,
            exit_requested: false,
        }
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Moment, event: &Event, outbox: &mut Outbox) {
        match event {
            Event::IssueTickets {
                call,
                customer,
                count,
            } => {
                let tickets = self.records.issue(now, customer, *count);
                outbox.reply(*call, Reply::Tickets(tickets));
            }
            Event::BeginCall {
                call,
                customer,
                idempotency_key,
                body_hash,
            } => self.begin(now, *call, idempotency_key, (customer, *body_hash), outbox),
            Event::EndCall { key, end } => {
                for call in self.records.complete(*key, end.clone()) {
                    let verdict = self.records.outcome(*key);
                    self.waiting.retain(|(waiting, _)| *waiting != call);
                    outbox.reply(call, Reply::Verdict(verdict));
                }
            }
            Event::OwnerUnreachable { call, owner, key } => {
                let request = store::Call::Get {
                    key: format!("{TOMBSTONE_PREFIX}{owner}"),
                };
                let token = outbox.call_store(CALLS, request);
                self.tombstone_reads.push((token, *call, *key));
            }
            Event::StoreAnswer(token, answer) => self.on_store_answer(now, *token, answer, outbox),
            Event::Stop => self.records.stop_issuing(),
            Event::Drained => self.write_tombstone(outbox),
            _ => {}
        }
        if self.drained && self.tombstone.is_none() && !self.exit_requested {
            self.exit_requested = true;
            outbox.push_action(Action::Exit);
        }
    }

    fn begin(
        &mut self,
        now: Moment,
        call: CallId,
        idempotency_key: &str,
        (customer, body_hash): (&str, u64),
        outbox: &mut Outbox,
    ) {
        if idempotency_key.starts_with(ticket::PREFIX) {
            let verdict = match Ticket::parse(idempotency_key) {
                Some(ticket) => self.records.begin_ticket(now, call, &ticket, customer, body_hash),
                None => Verdict::Refuse(Kind::BadIdempotencyKey.into()),
            };
            self.reply_verdict(call, verdict, outbox);
            return;
        }
        if let Err(refusal) = claim::validate_key(now, idempotency_key) {
            self.reply_verdict(call, Verdict::Refuse(refusal), outbox);
            return;
        }
        let token = outbox.new_token(CALLS);
        match self.registry.begin(
            now,
            &mut self.records,
            token,
            (call, idempotency_key),
            (customer, body_hash),
        ) {
            Ok(verdict) => {
                outbox.discard_token(token);
                self.reply_verdict(call, verdict, outbox);
            }
            Err(request) => outbox.push_action(Action::Store(token, request)),
        }
    }

    fn on_store_answer(&mut self, now: Moment, token: Token, answer: &Answer, outbox: &mut Outbox) {
        if self.tombstone == Some(token) {
            self.tombstone = None;
            return;
        }
        if let Some(index) = self.tombstone_reads.iter().position(|(read, ..)| *read == token) {
            let (_, call, key) = self.tombstone_reads.swap_remove(index);
            self.reply_verdict(call, Verdict::Refuse(refusal_for(answer, key)), outbox);
            return;
        }
        // Each token is used once: a further request for the same claim needs
        // a new one.
        let next_token = outbox.new_token(CALLS);
        let step = self
            .registry
            .on_answer(now, &mut self.records, token, next_token, answer);
        if let Some((_, Err(request))) = step {
            outbox.push_action(Action::Store(next_token, request));
            return;
        }
        outbox.discard_token(next_token);
        if let Some((call, Ok(verdict))) = step {
            self.reply_verdict(call, verdict, outbox);
        }
    }

    fn reply_verdict(&mut self, call: CallId, verdict: Verdict, outbox: &mut Outbox) {
        if verdict != Verdict::Wait {
            outbox.reply(call, Reply::Verdict(verdict));
        }
    }

    fn write_tombstone(&mut self, outbox: &mut Outbox) {
        if self.drained {
            return;
        }
        self.drained = true;
        let tombstone = self.records.seal();
        let value = serde_json::to_string(&tombstone).unwrap_or_default();
        if self.records.counts() == (0, 0) || value.len() > MAX_TOMBSTONE_BYTES {
            return;
        }
        let call = store::Call::CompareAndSwap {
            key: format!("{TOMBSTONE_PREFIX}{}", self.incarnation),
            expect: 0,
            value,
        };
        self.tombstone = Some(outbox.call_store(CALLS, call));
    }

    /// Adds nothing to a heartbeat.
    pub fn fill_heartbeat(&mut self, _now: Moment, _address: &str, _heartbeat: &mut Heartbeat) {}

    /// Adds the record counts to the status.
    pub fn add_status(&self, _now: Moment, status: &mut Status) {
        status.records = self.records.counts();
    }
}

/// Refusal of a call whose owner cannot be reached.
///
/// Only a tombstone proves that the owner can no longer run the call. Without
/// one, the owner may be partitioned or suspended, and "not run" would be a
/// guess.
fn refusal_for(answer: &Answer, key: Key) -> Refusal {
    let tombstone = match answer {
        Answer::Found(entries) => entries
            .first()
            .and_then(|entry| serde_json::from_str::<Tombstone>(&entry.value).ok()),
        _ => None,
    };
    tombstone.map_or(Kind::OwnerAway.into(), |tombstone| tombstone.resolve(key))
}
