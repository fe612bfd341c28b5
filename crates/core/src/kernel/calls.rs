//! At-most-once calls as a service of the kernel.

use super::{Action, CALLS, Event, Outbox, Reply, Status};
use crate::claim::{self, Registry};
use crate::error::{Kind, Refusal};
use crate::id::{CallId, Incarnation};
use crate::once::{Key, Records, Tombstone, Verdict};
use crate::peer::Heartbeat;
use crate::store::{self, Answer, Token};
use crate::ticket::{self, Secret, Ticket};
use crate::time::Moment;

/// Store prefix of what graceful exits leave.
pub const TOMBSTONE_PREFIX: &str = "tombstone/";
/// Bytes of a tombstone; a longer one is left out and its keys stay unknown.
const TOMBSTONE_BYTES: usize = 900_000;

/// Ledger and claims of this incarnation.
#[derive(Debug)]
pub struct Service {
    me: Incarnation,
    records: Records,
    registry: Registry,
    waiting: Vec<(CallId, Key)>,
    inquiries: Vec<(Token, CallId, Key)>,
    tombstone: Option<Token>,
    drained: bool,
    done: bool,
}

impl Service {
    /// Empty records.
    pub fn new(me: Incarnation, secret: Secret, seed: u64) -> Self {
        Self {
            me,
            records: Records::new(me, secret),
            registry: Registry::new(me, seed),
            waiting: Vec::new(),
            inquiries: Vec::new(),
            tombstone: None,
            drained: false,
            done: false,
        }
    }

    /// Takes an event in.
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
                idempotency_key: once,
                body_hash: body,
            } => self.begin(now, *call, once, (customer, *body), outbox),
            Event::EndCall { key, end } => {
                for call in self.records.end(*key, end.clone()) {
                    let verdict = self.records.outcome(*key);
                    self.waiting.retain(|(have, _)| *have != call);
                    outbox.reply(call, Reply::Verdict(verdict));
                }
            }
            Event::OwnerUnreachable { call, owner, key } => {
                let ask = store::Call::Get {
                    key: format!("{TOMBSTONE_PREFIX}{owner}"),
                };
                let token = outbox.call_store(CALLS, ask);
                self.inquiries.push((token, *call, *key));
            }
            Event::StoreAnswer(token, answer) => self.stored(now, *token, answer, outbox),
            Event::Stop => self.records.close(),
            Event::Drained => self.write_tombstone(outbox),
            _ => {}
        }
        if self.drained && self.tombstone.is_none() && !self.done {
            self.done = true;
            outbox.push_action(Action::Exit);
        }
    }

    fn begin(
        &mut self,
        now: Moment,
        call: CallId,
        once: &str,
        (customer, body): (&str, u64),
        outbox: &mut Outbox,
    ) {
        if once.starts_with(ticket::PREFIX) {
            let verdict = match Ticket::parse(once) {
                Some(ticket) => self.records.begin_ticket(now, call, &ticket, customer, body),
                None => Verdict::Refuse(Kind::BadIdempotencyKey.into()),
            };
            self.tell(call, verdict, outbox);
            return;
        }
        if let Err(refusal) = claim::check(now, once) {
            self.tell(call, Verdict::Refuse(refusal), outbox);
            return;
        }
        let token = outbox.new_token(CALLS);
        match self
            .registry
            .begin(now, &mut self.records, token, (call, once), (customer, body))
        {
            Ok(verdict) => {
                outbox.discard_token(token);
                self.tell(call, verdict, outbox);
            }
            Err(ask) => outbox.push_action(Action::Store(token, ask)),
        }
    }

    fn stored(&mut self, now: Moment, token: Token, answer: &Answer, outbox: &mut Outbox) {
        if self.tombstone == Some(token) {
            self.tombstone = None;
            return;
        }
        if let Some(at) = self.inquiries.iter().position(|(have, ..)| *have == token) {
            let (_, call, key) = self.inquiries.swap_remove(at);
            self.tell(call, Verdict::Refuse(judge(answer, key)), outbox);
            return;
        }
        // The kernel hands each token out once; a second question of one
        // claim goes out under a new one.
        let again = outbox.new_token(CALLS);
        let step = self.registry.answer(now, &mut self.records, token, again, answer);
        if let Some((_, Err(ask))) = step {
            outbox.push_action(Action::Store(again, ask));
            return;
        }
        outbox.discard_token(again);
        if let Some((call, Ok(verdict))) = step {
            self.tell(call, verdict, outbox);
        }
    }

    fn tell(&mut self, call: CallId, verdict: Verdict, outbox: &mut Outbox) {
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
        if self.records.size() == (0, 0) || value.len() > TOMBSTONE_BYTES {
            return;
        }
        let call = store::Call::CompareAndSwap {
            key: format!("{TOMBSTONE_PREFIX}{}", self.me),
            expect: 0,
            value,
        };
        self.tombstone = Some(outbox.call_store(CALLS, call));
    }

    /// Adds nothing to a heartbeat.
    pub fn fill_heartbeat(&mut self, _now: Moment, _address: &str, _beat: &mut Heartbeat) {}

    /// Adds to the status.
    pub fn add_status(&self, _now: Moment, status: &mut Status) {
        status.records = self.records.size();
    }
}

/// Only a tombstone proves that the owner can run nothing any more; without
/// one it may be cut off or frozen, and "not run" would be a guess.
fn judge(answer: &Answer, key: Key) -> Refusal {
    let tombstone = match answer {
        Answer::Found(entries) => entries
            .first()
            .and_then(|entry| serde_json::from_str::<Tombstone>(&entry.value).ok()),
        _ => None,
    };
    tombstone.map_or(Kind::OwnerAway.into(), |tombstone| tombstone.judge(key))
}
