//! One process in charge of a duty, by a record in the store.
//!
//! The holder rewrites its record by compare-and-swap. Its right to act ends a
//! term after it *began* the last renewal that is known to have taken effect,
//! on its own monotonic clock. A successor may take over once it has seen the
//! same record unchanged for the term, the longest send and a quiet time, on
//! its own clock. No clocks are compared between hosts, and the platform need
//! not expire anything. Each take-over raises the fencing number.

use std::time::Duration;

use crate::id::Incarnation;
use crate::store::{Answer, Call, Entry};
use crate::time::Moment;

/// How often a candidate looks.
pub const READ_INTERVAL: Duration = Duration::from_secs(2);

plain! {
    /// Spans of a lease; the same on all candidates.
    #[derive(Copy)]
    pub struct Timing {
        /// How long a renewal carries.
        pub duration: Duration,
        /// How often the holder renews.
        pub renew_interval: Duration,
        /// Longest time one order or report may be in the air.
        pub max_send: Duration,
        /// Kept back for receivers that ignore fencing numbers: a pause of the
        /// holder between its last check and the bytes leaving is covered up
        /// to this long.
        pub quiet_period: Duration,
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(6),
            renew_interval: Duration::from_secs(2),
            max_send: Duration::from_secs(2),
            quiet_period: Duration::from_secs(4),
        }
    }
}

impl Timing {
    /// For receivers that check fencing numbers, with a term that the operator
    /// sets: three renewals in a term, so that one may be lost.
    pub fn fenced(term: Duration) -> Self {
        Self {
            duration: term,
            renew_interval: term / 3,
            max_send: term / 4,
            quiet_period: Duration::ZERO,
        }
    }
}
/// An answer that has not come by then counts as lost.
const ANSWER: Duration = Duration::from_secs(3);

record! {
    /// What the store says of a duty.
    pub struct Record {
        /// Who is in charge.
        pub holder: Incarnation,
        /// Raised by each take-over.
        pub fence: u64,
        /// Raised by each renewal.
        pub renewal: u64,
        /// The holder gave it back; nobody need wait.
        #[serde(default)]
        pub released: bool,
    }
}

plain! {
    enum Step {
        Idle,
        Reading { sent: Moment },
        Writing { sent: Moment, record: Record },
        Settling { began: Moment, sent: Moment, record: Record },
    }
}

plain! {
    /// Leave to act, as of one moment.
    #[derive(Copy)]
    pub struct Grant {
        /// Fencing number to send along.
        pub fence: u64,
        /// End of the right to act.
        pub until: Moment,
        /// Longest time that a send may take.
        pub max_send: Duration,
    }
}

impl Grant {
    /// Whether a send begun now ends inside the right to act.
    ///
    /// Asked last thing before each send: a holder that was paused since its
    /// last look finds its time gone here.
    pub fn covers(&self, now: Moment) -> bool {
        !(now + self.max_send).reached(self.until)
    }
}

/// One candidate's view of one duty.
#[derive(Debug)]
pub struct Lease {
    me: Incarnation,
    key: String,
    step: Step,
    version: u64,
    seen: Option<(Record, Moment)>,
    held: Option<Grant>,
    next: Moment,
    stopping: bool,
    terms: Timing,
    shown: bool,
}

impl Lease {
    /// A candidate that knows nothing yet, on the usual terms.
    pub fn new(me: Incarnation, duty: &str) -> Self {
        Self::with_timing(me, format!("duty/{duty}"), Timing::default())
    }

    /// A candidate for the record under `key`.
    pub fn with_timing(me: Incarnation, key: String, terms: Timing) -> Self {
        Self {
            me,
            key,
            terms,
            shown: false,
            step: Step::Idle,
            version: 0,
            seen: None,
            held: None,
            next: Moment::default(),
            stopping: false,
        }
    }

    /// The right to act, if this process has it now.
    pub fn grant(&self, now: Moment) -> Option<Grant> {
        self.held.filter(|grant| grant.covers(now) && !self.stopping)
    }

    /// Moves on; `candidate` tells whether to seek the duty at all.
    pub fn tick(&mut self, now: Moment, candidate: bool) -> Option<Call> {
        self.expire(now);
        self.give_up_waiting(now);
        if self.step != Step::Idle || !now.reached(self.next) {
            return None;
        }
        if self.held.is_some() {
            return self.write(now, self.stopping);
        }
        if !candidate || self.stopping {
            return None;
        }
        if self.may_take(now) {
            return self.write(now, false);
        }
        if self.shown {
            return None;
        }
        self.step = Step::Reading { sent: now };
        self.next = now + READ_INTERVAL;
        Some(Call::Get {
            key: self.key.clone(),
        })
    }

    /// Takes the record from a read that was made for other reasons; a
    /// candidate that is shown it need not look for itself.
    ///
    /// The holder's own writes tell it more: a read that left before one of
    /// them would show it an older record.
    pub fn observe_read(&mut self, now: Moment, entry: Option<&Entry>) {
        if self.held.is_some() || self.step != Step::Idle {
            return;
        }
        self.shown = true;
        self.observe(now, entry);
    }

    /// Takes the store's answer.
    pub fn on_answer(&mut self, now: Moment, answer: &Answer) -> Option<Call> {
        match std::mem::replace(&mut self.step, Step::Idle) {
            Step::Idle => None,
            Step::Reading { .. } => {
                if let Answer::Found(entries) = answer {
                    self.observe(now, entries.first());
                }
                None
            }
            Step::Writing { sent, record } => self.written(now, sent, record, answer),
            Step::Settling { began, record, .. } => self.settled(now, began, record, answer),
        }
    }

    /// Gives the duty back at the next tick.
    pub fn release(&mut self, now: Moment) {
        self.stopping = true;
        self.next = now;
    }

    /// Whether nothing is held or in the air any more.
    pub fn is_idle(&self) -> bool {
        self.held.is_none() && self.step == Step::Idle
    }

    fn written(&mut self, now: Moment, sent: Moment, record: Record, answer: &Answer) -> Option<Call> {
        match answer {
            Answer::Written(version) => {
                self.version = *version;
                self.confirm(sent, record);
                None
            }
            Answer::Conflict(entry) => {
                self.held = None;
                self.observe(now, Some(entry));
                None
            }
            Answer::Refused | Answer::Found(_) | Answer::Same => None,
            // The write may stand: read back. Taking it for failed would
            // leave a record of ours that we do not honour; taking it for
            // done could make two holders.
            Answer::Lost => {
                self.step = Step::Settling {
                    began: sent,
                    sent: now,
                    record,
                };
                Some(Call::Get {
                    key: self.key.clone(),
                })
            }
        }
    }

    fn settled(&mut self, now: Moment, began: Moment, record: Record, answer: &Answer) -> Option<Call> {
        let Answer::Found(entries) = answer else {
            return None;
        };
        let entry = entries.first();
        let stands = entry.and_then(|entry| read(entry).map(|have| (entry.version, have)));
        match stands {
            Some((version, have)) if have == record => {
                self.version = version;
                self.confirm(began, record);
            }
            Some((_, have)) if have.holder != self.me => {
                self.held = None;
                self.observe(now, entry);
            }
            _ => self.observe(now, entry),
        }
        None
    }

    fn confirm(&mut self, sent: Moment, record: Record) {
        self.next = sent + self.terms.renew_interval;
        self.seen = Some((record.clone(), sent));
        self.held = (!record.released).then_some(Grant {
            fence: record.fence,
            until: sent + self.terms.duration,
            max_send: self.terms.max_send,
        });
    }

    fn observe(&mut self, now: Moment, entry: Option<&Entry>) {
        let Some(entry) = entry.filter(|entry| entry.version > 0) else {
            self.version = 0;
            self.seen = None;
            return;
        };
        // A stale read must not restart the wait, nor count as news.
        if entry.version <= self.version && self.seen.is_some() {
            return;
        }
        if let Some(record) = read(entry) {
            self.version = entry.version;
            self.seen = Some((record, now));
        }
    }

    fn may_take(&self, now: Moment) -> bool {
        match &self.seen {
            None => self.shown || self.next > Moment::default(),
            Some((record, _)) if record.released => true,
            Some((record, _)) if record.holder == self.me => true,
            Some((_, since)) => now.since(*since) >= self.wait(),
        }
    }

    /// Time for which an unchanged record must be respected.
    fn wait(&self) -> Duration {
        self.terms.duration + self.terms.max_send + self.terms.quiet_period
    }

    fn write(&mut self, now: Moment, released: bool) -> Option<Call> {
        let (fence, renewal) = match &self.seen {
            Some((record, _)) if self.held.is_some() => (record.fence, record.renewal + 1),
            Some((record, _)) => (record.fence + 1, record.renewal + 1),
            None => (1, 1),
        };
        let record = Record {
            holder: self.me,
            fence,
            renewal,
            released,
        };
        if released {
            self.held = None;
        }
        self.next = now + self.terms.renew_interval;
        let value = serde_json::to_string(&record).ok()?;
        self.step = Step::Writing { sent: now, record };
        Some(Call::CompareAndSwap {
            key: self.key.clone(),
            expect: self.version,
            value,
        })
    }

    fn expire(&mut self, now: Moment) {
        if self.held.is_some_and(|grant| now.reached(grant.until)) {
            self.held = None;
        }
    }

    /// The shell answers each call in time; this covers one that it lost.
    fn give_up_waiting(&mut self, now: Moment) {
        let sent = match &self.step {
            Step::Idle => return,
            Step::Reading { sent } | Step::Writing { sent, .. } | Step::Settling { sent, .. } => *sent,
        };
        if now.since(sent) > ANSWER + ANSWER {
            self.step = Step::Idle;
        }
    }
}

fn read(entry: &Entry) -> Option<Record> {
    serde_json::from_str(&entry.value).ok()
}
