//! At-most-once calls as a service of the kernel.

use super::{Action, CALLS, Event, Outbox, Reply, Status};
use crate::at_most_once::{Key, Records, Tombstone, Verdict};
use crate::claim::{self, Registry};
use crate::error::{Kind, Refusal};
use crate::id::{CallId, Incarnation};
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
    pub fn handle(&mut self, now: Moment, event: &Event, out: &mut Outbox) {
        match event {
            Event::IssueTickets {
                call,
                customer,
                count,
            } => {
                let tickets = self.records.issue(now, customer, *count);
                out.reply(*call, Reply::Tickets(tickets));
            }
            Event::BeginCall {
                call,
                customer,
                idempotency_key: once,
                body_hash: body,
            } => self.begin(now, *call, once, (customer, *body), out),
            Event::EndCall { key, end } => {
                for call in self.records.complete(*key, end.clone()) {
                    let verdict = self.records.outcome(*key);
                    self.waiting.retain(|(have, _)| *have != call);
                    out.reply(call, Reply::Verdict(verdict));
                }
            }
            Event::OwnerUnreachable { call, owner, key } => {
                let ask = store::Call::Get {
                    key: format!("{TOMBSTONE_PREFIX}{owner}"),
                };
                let token = out.call_store(CALLS, ask);
                self.inquiries.push((token, *call, *key));
            }
            Event::StoreAnswer(token, answer) => self.stored(now, *token, answer, out),
            Event::Stop => self.records.stop_issuing(),
            Event::Drained => self.write_tombstone(out),
            _ => {}
        }
        if self.drained && self.tombstone.is_none() && !self.done {
            self.done = true;
            out.push_action(Action::Exit);
        }
    }

    fn begin(
        &mut self,
        now: Moment,
        call: CallId,
        once: &str,
        (customer, body): (&str, u64),
        out: &mut Outbox,
    ) {
        if once.starts_with(ticket::PREFIX) {
            let verdict = match Ticket::parse(once) {
                Some(ticket) => self.records.begin_ticket(now, call, &ticket, customer, body),
                None => Verdict::Refuse(Kind::BadIdempotencyKey.into()),
            };
            self.tell(call, verdict, out);
            return;
        }
        if let Err(refusal) = claim::validate_key(now, once) {
            self.tell(call, Verdict::Refuse(refusal), out);
            return;
        }
        let token = out.new_token(CALLS);
        match self
            .registry
            .begin(now, &mut self.records, token, (call, once), (customer, body))
        {
            Ok(verdict) => {
                out.discard_token(token);
                self.tell(call, verdict, out);
            }
            Err(ask) => out.push_action(Action::Store(token, ask)),
        }
    }

    fn stored(&mut self, now: Moment, token: Token, answer: &Answer, out: &mut Outbox) {
        if self.tombstone == Some(token) {
            self.tombstone = None;
            return;
        }
        if let Some(at) = self.inquiries.iter().position(|(have, ..)| *have == token) {
            let (_, call, key) = self.inquiries.swap_remove(at);
            self.tell(call, Verdict::Refuse(judge(answer, key)), out);
            return;
        }
        // The kernel hands each token out once; a second question of one
        // claim goes out under a new one.
        let again = out.new_token(CALLS);
        let step = self
            .registry
            .on_answer(now, &mut self.records, token, again, answer);
        if let Some((_, Err(ask))) = step {
            out.push_action(Action::Store(again, ask));
            return;
        }
        out.discard_token(again);
        if let Some((call, Ok(verdict))) = step {
            self.tell(call, verdict, out);
        }
    }

    fn tell(&mut self, call: CallId, verdict: Verdict, out: &mut Outbox) {
        if verdict != Verdict::Wait {
            out.reply(call, Reply::Verdict(verdict));
        }
    }

    fn write_tombstone(&mut self, out: &mut Outbox) {
        if self.drained {
            return;
        }
        self.drained = true;
        let tombstone = self.records.seal();
        let value = serde_json::to_string(&tombstone).unwrap_or_default();
        if self.records.counts() == (0, 0) || value.len() > TOMBSTONE_BYTES {
            return;
        }
        let call = store::Call::CompareAndSwap {
            key: format!("{TOMBSTONE_PREFIX}{}", self.me),
            expect: 0,
            value,
        };
        self.tombstone = Some(out.call_store(CALLS, call));
    }

    /// Adds nothing to a heartbeat.
    pub fn compose(&mut self, _now: Moment, _address: &str, _beat: &mut Heartbeat) {}

    /// Adds to the status.
    pub fn describe(&self, _now: Moment, status: &mut Status) {
        status.records = self.records.counts();
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
    tombstone.map_or(Kind::OwnerAway.into(), |tombstone| tombstone.resolve(key))
}
