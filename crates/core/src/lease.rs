//! Lease of a duty: at most one process acts on it at a time.
//!
//! The lease is a record in the store, which the holder renews by
//! compare-and-swap. The holder may act until one lease duration after it sent
//! the last renewal that is known to have been written, by its own monotonic
//! clock. Another candidate may take over once it has seen the same record
//! unchanged for the lease duration, the longest send and the quiet period
//! together, by its own clock. No clocks are compared between hosts, and the
//! platform does not have to expire anything. Each takeover raises the fencing
//! number.

use std::time::Duration;

use crate::id::Incarnation;
use crate::store::{Answer, Call, Entry};
use crate::time::Moment;

/// Interval between two reads of the record by a candidate.
pub const READ_INTERVAL: Duration = Duration::from_secs(2);

plain! {
    /// Durations of a lease; they must be equal on all candidates.
    #[derive(Copy)]
    pub struct Timing {
        /// Time for which a renewal is valid.
        pub duration: Duration,
        /// Interval between two renewals.
        pub renew_interval: Duration,
        /// Longest time that sending one order or report may take.
        pub max_send: Duration,
        /// Additional wait before a takeover, for receivers that ignore
        /// fencing numbers. It covers a suspension of the holder up to this
        /// long between its last check of the lease and the actual send.
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
    /// Timing for receivers that check fencing numbers, by a lease duration
    /// that the operator sets. There are three renewals per lease duration, so
    /// that one may be lost.
    pub fn fenced(lease_duration: Duration) -> Self {
        Self {
            duration: lease_duration,
            renew_interval: lease_duration / 3,
            max_send: lease_duration / 4,
            quiet_period: Duration::ZERO,
        }
    }
}

/// Maximum fencing number, and number of renewals, of a record.
const MAX_NUMBER: u64 = 1 << 53;
/// Half the time after which an unanswered store call is abandoned.
const HALF_ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

record! {
    /// Record of a duty in the store.
    pub struct Record {
        /// Process that holds the duty.
        pub holder: Incarnation,
        /// Fencing number, raised by each takeover.
        pub fence: u64,
        /// Number of the renewal, raised by each write.
        pub renewal: u64,
        /// Whether the holder released the duty, so that no candidate has to
        /// wait.
        #[serde(default)]
        pub released: bool,
    }
}

impl Record {
    /// Stands for a record that cannot be read, of which the entry has this version. Nobody renews it. Each write raises
    /// the version, so that no holder before can have had a higher fencing number.
    fn unreadable(version: u64) -> Self {
        Self {
            holder: Incarnation::default(),
            fence: version.min(MAX_NUMBER),
            renewal: 0,
            released: false,
        }
    }
}

plain! {
    enum Step {
        Idle,
        Reading { sent: Moment },
        Writing { sent: Moment, record: Record },
        ReadingBack { write_sent: Moment, sent: Moment, record: Record },
    }
}

plain! {
    /// Right of the holder to act, until it expires.
    #[derive(Copy)]
    pub struct Grant {
        /// Fencing number to include in each message.
        pub fence: u64,
        /// End of the right to act.
        pub expires_at: Moment,
        /// Longest time that a send may take.
        pub max_send: Duration,
    }
}

impl Grant {
    /// Whether a send that starts now ends before the grant expires.
    ///
    /// Check this directly before each send: for a holder that was suspended
    /// since its previous check, the grant may have expired.
    pub fn covers(&self, now: Moment) -> bool {
        !(now + self.max_send).reached(self.expires_at)
    }
}

/// State of one duty at one candidate.
#[derive(Debug)]
pub struct Lease {
    incarnation: Incarnation,
    key: String,
    step: Step,
    version: u64,
    observed: Option<(Record, Moment)>,
    held: Option<Grant>,
    next_step_at: Moment,
    releasing: bool,
    timing: Timing,
    read_externally: bool,
}

impl Lease {
    /// Candidate for a duty with the default timing.
    pub fn new(incarnation: Incarnation, duty: &str) -> Self {
        Self::with_timing(incarnation, format!("duty/{duty}"), Timing::default())
    }

    /// Candidate for the record under the store key `key`.
    pub fn with_timing(incarnation: Incarnation, key: String, timing: Timing) -> Self {
        Self {
            incarnation,
            key,
            timing,
            read_externally: false,
            step: Step::Idle,
            version: 0,
            observed: None,
            held: None,
            next_step_at: Moment::default(),
            releasing: false,
        }
    }

    /// The right to act, if this process holds it now.
    pub fn grant(&self, now: Moment) -> Option<Grant> {
        self.held.filter(|grant| grant.covers(now) && !self.releasing)
    }

    /// Next request to the store, if one is due. The duty is applied for only
    /// if `candidate` is set; a held duty is renewed in any case.
    pub fn tick(&mut self, now: Moment, candidate: bool) -> Option<Call> {
        self.expire_grant(now);
        self.abandon_stale_step(now);
        if self.step != Step::Idle || !now.reached(self.next_step_at) {
            return None;
        }
        if self.held.is_some() {
            return self.write(now, self.releasing);
        }
        if !candidate || self.releasing {
            return None;
        }
        if self.may_take_over(now) {
            return self.write(now, false);
        }
        if self.read_externally {
            return None;
        }
        self.step = Step::Reading { sent: now };
        self.next_step_at = now + READ_INTERVAL;
        Some(Call::Get {
            key: self.key.clone(),
        })
    }

    /// Observes the record in a read that was made for another purpose. From
    /// then on this candidate makes no reads of its own.
    ///
    /// The holder ignores such reads: its own writes are more recent, and a
    /// read sent before one of them would return an older record.
    pub fn observe_read(&mut self, now: Moment, entry: Option<&Entry>) {
        if self.held.is_some() || self.step != Step::Idle {
            return;
        }
        self.read_externally = true;
        self.update_observed(now, entry);
    }

    /// Handles the store's answer to the last request, and returns the next
    /// one if it follows at once.
    pub fn on_answer(&mut self, now: Moment, answer: &Answer) -> Option<Call> {
        match std::mem::replace(&mut self.step, Step::Idle) {
            Step::Idle => None,
            Step::Reading { .. } => {
                if let Answer::Found(entries) = answer {
                    self.update_observed(now, entries.first());
                }
                None
            }
            Step::Writing { sent, record } => self.on_write_answer(now, sent, record, answer),
            Step::ReadingBack {
                write_sent, record, ..
            } => self.on_read_back(now, write_sent, record, answer),
        }
    }

    /// Process that held the duty in the last record read, if it had not released it.
    pub fn observed_holder(&self) -> Option<Incarnation> {
        let (record, _) = self.observed.as_ref()?;
        (!record.released).then_some(record.holder)
    }

    /// Releases the duty at the next tick.
    pub fn release(&mut self, now: Moment) {
        self.releasing = true;
        self.next_step_at = now;
    }

    /// Whether the duty is not held and no request is outstanding.
    pub fn is_idle(&self) -> bool {
        self.held.is_none() && self.step == Step::Idle
    }

    fn on_write_answer(
        &mut self,
        now: Moment,
        sent: Moment,
        record: Record,
        answer: &Answer,
    ) -> Option<Call> {
        match answer {
            Answer::Written(version) => {
                self.version = *version;
                self.confirm(sent, record);
                None
            }
            Answer::Conflict(entry) => {
                self.held = None;
                self.update_observed(now, Some(entry));
                None
            }
            Answer::Refused | Answer::Conflicts(_) | Answer::Found(_) | Answer::Same => None,
            // The write may have taken effect, so the record is read back. To
            // assume that it failed could leave a record of this process that
            // it does not act on; to assume success could make two holders.
            Answer::Lost => {
                self.step = Step::ReadingBack {
                    write_sent: sent,
                    sent: now,
                    record,
                };
                Some(Call::Get {
                    key: self.key.clone(),
                })
            }
        }
    }

    fn on_read_back(
        &mut self,
        now: Moment,
        write_sent: Moment,
        record: Record,
        answer: &Answer,
    ) -> Option<Call> {
        let Answer::Found(entries) = answer else {
            return None;
        };
        let entry = entries.first();
        let current = entry.and_then(|entry| parse_record(entry).map(|stored| (entry.version, stored)));
        match current {
            Some((version, stored)) if stored == record => {
                self.version = version;
                self.confirm(write_sent, record);
            }
            Some((_, stored)) if stored.holder != self.incarnation => {
                self.held = None;
                self.update_observed(now, entry);
            }
            _ => self.update_observed(now, entry),
        }
        None
    }

    fn confirm(&mut self, sent: Moment, record: Record) {
        self.next_step_at = sent + self.timing.renew_interval;
        self.observed = Some((record.clone(), sent));
        self.held = (!record.released).then_some(Grant {
            fence: record.fence,
            expires_at: sent + self.timing.duration,
            max_send: self.timing.max_send,
        });
    }

    fn update_observed(&mut self, now: Moment, entry: Option<&Entry>) {
        let Some(entry) = entry.filter(|entry| entry.version > 0) else {
            self.version = 0;
            self.observed = None;
            return;
        };
        // A stale read must neither restart the wait nor replace the record.
        if entry.version <= self.version && self.observed.is_some() {
            return;
        }
        let record = parse_record(entry).unwrap_or_else(|| Record::unreadable(entry.version));
        self.version = entry.version;
        self.observed = Some((record, now));
    }

    /// Whether a candidate may take over the duty now.
    pub fn may_take_over(&self, now: Moment) -> bool {
        match &self.observed {
            None => self.read_externally || self.next_step_at > Moment::default(),
            Some((record, _)) if record.released => true,
            Some((record, _)) if record.holder == self.incarnation => true,
            Some((_, since)) => now.since(*since) >= self.takeover_wait(),
        }
    }

    /// Time for which a record must be unchanged before a takeover.
    fn takeover_wait(&self) -> Duration {
        self.timing.duration + self.timing.max_send + self.timing.quiet_period
    }

    fn write(&mut self, now: Moment, released: bool) -> Option<Call> {
        let (fence, renewal) = match &self.observed {
            Some((record, _)) if self.held.is_some() => (record.fence, record.renewal + 1),
            Some((record, _)) => (record.fence + 1, record.renewal + 1),
            None => (1, 1),
        };
        let record = Record {
            holder: self.incarnation,
            fence,
            renewal,
            released,
        };
        if released {
            self.held = None;
        }
        self.next_step_at = now + self.timing.renew_interval;
        let value = serde_json::to_string(&record).ok()?;
        self.step = Step::Writing { sent: now, record };
        Some(Call::CompareAndSwap {
            key: self.key.clone(),
            expect: self.version,
            value,
        })
    }

    fn expire_grant(&mut self, now: Moment) {
        if self.held.is_some_and(|grant| now.reached(grant.expires_at)) {
            self.held = None;
        }
    }

    /// Gives up a request that was never answered, which happens only if the
    /// program around the core lost it.
    fn abandon_stale_step(&mut self, now: Moment) {
        let sent = match &self.step {
            Step::Idle => return,
            Step::Reading { sent } | Step::Writing { sent, .. } | Step::ReadingBack { sent, .. } => *sent,
        };
        if now.since(sent) > HALF_ANSWER_TIMEOUT + HALF_ANSWER_TIMEOUT {
            self.step = Step::Idle;
        }
    }
}

/// Record in an entry; `None` if another program has written something else.
fn parse_record(entry: &Entry) -> Option<Record> {
    let record: Record = serde_json::from_str(&entry.value).ok()?;
    (record.fence <= MAX_NUMBER && record.renewal <= MAX_NUMBER).then_some(record)
}
