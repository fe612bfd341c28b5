//! Requests, and parts of their prompts, that crash the runners which answer them.
//!
//! A request can crash each runner that begins to answer it. When a runner crashes, all requests on it break
//! off, and the guilty one cannot be told from the others: they share customer, route and most parts of their
//! prompts. A [`Suspect`] is what may be guilty: a part of prompts, or one request that its caller repeats. What
//! tells the guilty one apart is that its requests never get an answer, while requests with any
//! other part are answered elsewhere in the same seconds.
//!
//! Each host tells a few [collectors](super::holders) which requests were on a runner that crashed. A collector
//! that finds a suspect [too often](evidence) in crashes asks all hosts whether any request with it has been
//! [answered](answers) since. If none has, the suspect is put under [quarantine]: its requests are
//! refused before they reach a runner, at all hosts. The quarantine stands in the platform's store, so that it
//! reaches hosts that are cut off from their peers, and outlives those that have found it. Hosts that reach no
//! peer exchange crashes and answers through [reports](report) in the store.

use std::net::SocketAddr;
use std::time::Duration;

use super::holders;
use super::readers::Host;
use crate::store::Entry;
use crate::time::Moment;

pub mod answers;
pub mod evidence;
mod hearing;
pub mod message;
pub mod quarantine;
pub mod report;
pub mod running;
mod suspect;

use answers::Answers;
use evidence::{Evidence, Tally, Witness};
use hearing::{
    ANSWER_TIME, ASK_INTERVAL, HEARING, HEARING_BY_STORE, Hearing, SOUND_BEFORE_TIME, SURVIVAL_TIME,
};
use message::Message;
use quarantine::{Quarantine, Record, Source};
use report::Outgoing;
use running::Progress;
use suspect::{MAX_PARTS, sorted_suspects};
pub use suspect::{Scope, Suspect, shared_parts, suspects};

/// Item under which the collectors are chosen.
const COLLECTORS: u64 = 0x6372_6173_6865_7321;
/// Time after its start for which a host does not judge, as it knows no answers.
const START_TIME: Duration = Duration::from_secs(3);
/// Maximum number of questions in one hearing.
const MAX_ASKED: u32 = 20;
/// Time for which the last answers before a verdict are not too old for it.
const LAST_ANSWERS_LIFE: Duration = Duration::from_millis(200);
/// Number of hosts up to which each of them answers reports in the store, and not only the collectors.
const FEW_HOSTS: usize = 16;
/// Maximum number of suspects about which hosts are asked at the same time.
const MAX_HEARINGS: usize = 64;
/// Time after a question about a request for which it is not sent to a runner: a verdict takes no longer.
const SUSPICION_TIME: Duration = Duration::from_millis(800);
/// Maximum number of requests that are held for that.
const MAX_SUSPICIONS: usize = 64;
/// Time after which a hearing ends without another crash.
const HEARING_LIFE: Duration = Duration::from_secs(30);
/// Time within which a collector confirms that it was told of a crash. After that, the crash is written to the
/// store.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a runner that was found to have crashed needs no further check.
const CHECKED_FOR: Duration = Duration::from_secs(1);
/// Maximum number of requests whose runners are being checked, and of those that the others are told of.
const MAX_PENDING: usize = 256;
/// Time for which an answer shows that a part is sound.
const PROOF_LIFE: Duration = Duration::from_secs(60);

plain! {
    /// What to do about a request that a runner has broken off.
    #[derive(Copy, Eq)]
    pub enum Check {
        /// Find out whether the runner still accepts connections.
        Probe,
        /// That is being found out, or is known.
        Known,
    }
}

plain! {
    /// How an answer ended.
    #[derive(Copy, Eq)]
    pub enum End {
        /// It broke off.
        Broken,
        /// It seems to be whole, but nothing marks its end: the runner may have crashed between two events.
        Unmarked,
    }
}

/// A request whose runner may have crashed.
#[derive(Clone, Debug)]
struct Break {
    runner: u64,
    end: End,
    witness: Witness,
}

/// Witnesses that no collector has confirmed yet.
#[derive(Clone, Debug)]
struct Unconfirmed {
    number: u64,
    told_at: Moment,
    witnesses: Vec<Witness>,
}

/// Crashes as seen by one host, and the parts under quarantine.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    /// Requests that were answered.
    pub answers: Answers,
    /// Crashes that this host knows of.
    pub evidence: Evidence,
    /// Parts whose requests are refused.
    pub quarantine: Quarantine,
    /// Requests whose runners are being checked.
    breaks: Vec<Break>,
    /// Runners that were found to have crashed, and when.
    crashed: Vec<(u64, Moment)>,
    hearings: Vec<Hearing>,
    /// Requests that any host was asked about, and until when they are held.
    suspicions: Vec<(Suspect, Moment)>,
    to_tell: Vec<Witness>,
    to_ask: Vec<Suspect>,
    unconfirmed: Vec<Unconfirmed>,
    /// Whether the last witnesses whose time is over were confirmed by no collector.
    is_unheard: bool,
    /// What the others have to learn from the store.
    outgoing: Outgoing,
    /// When this host learnt of the others.
    started_at: Option<Moment>,
    /// Whether this host is a collector.
    is_collector: bool,
    /// Number of other hosts.
    others: usize,
    numbers: u64,
}

plain! {
    /// A part that was found to crash runners.
    pub struct Verdict {
        /// The part.
        pub part: Suspect,
        /// The crashes in which it was found.
        pub tally: Tally,
    }
}

impl Crashes {
    /// Records a request whose runner may have crashed.
    pub fn record_end(&mut self, now: Moment, end: End, witness: Witness) -> Check {
        let runner = witness.runner;
        self.crashed.retain(|(_, at)| now.since(*at) < CHECKED_FOR);
        if self.crashed.iter().any(|(crashed, _)| *crashed == runner) {
            self.add_witness(now, witness);
            return Check::Known;
        }
        let is_checked = self.breaks.iter().any(|pending| pending.runner == runner);
        if self.breaks.len() < MAX_PENDING {
            self.breaks.push(Break { runner, end, witness });
        }
        if is_checked { Check::Known } else { Check::Probe }
    }

    /// Records whether a runner that broke off requests still accepts connections. If it does, only
    /// connections were lost, and that says nothing about the requests. Returns how many had broken off.
    pub fn record_probe(&mut self, now: Moment, runner: u64, has_crashed: bool) -> usize {
        let is_of_runner = |pending: &Break| pending.runner == runner;
        let (of_runner, others): (Vec<Break>, _) = self.breaks.drain(..).partition(is_of_runner);
        self.breaks = others;
        let count = of_runner.len();
        if has_crashed {
            self.crashed.push((runner, now));
        }
        for Break { end, witness, .. } in of_runner {
            match (has_crashed, end) {
                (true, _) => self.add_witness(now, witness),
                (false, End::Unmarked) => {
                    self.record_answer(now, &witness.suspects);
                }
                (false, End::Broken) => {}
            }
        }
        count
    }

    /// Forgets the requests that a runner broke off, as it cannot be found out why. Returns how many.
    pub fn forget_breaks(&mut self, runner: u64) -> usize {
        let before = self.breaks.len();
        self.breaks.retain(|pending| pending.runner != runner);
        before - self.breaks.len()
    }

    /// Records that a request with these suspects was answered completely. Returns those that were refused until now, as
    /// they were under quarantine.
    pub fn record_answer(&mut self, now: Moment, suspects: &[Suspect]) -> Vec<Suspect> {
        self.record_answer_from(now, suspects, Source::Own)
    }

    fn record_answer_from(&mut self, now: Moment, suspects: &[Suspect], source: Source) -> Vec<Suspect> {
        for suspect in suspects {
            self.answers.record(now, *suspect);
        }
        if !self.suspicions.is_empty() {
            self.suspicions.retain(|(held, _)| !suspects.contains(held));
        }
        let quarantine = &mut self.quarantine;
        let refuted = suspects
            .iter()
            .filter(|suspect| quarantine.refute(**suspect, source));
        refuted.copied().collect()
    }

    /// Records an event of the answer to a request with these suspects. The answer began at `head_at`, and the event came
    /// after `ran_at`.
    pub fn record_progress(&mut self, now: Moment, ran_at: Moment, head_at: Moment, suspects: &[Suspect]) {
        let progress = Progress {
            at: ran_at,
            answering: ran_at.since(head_at),
            heard_at: now,
        };
        for suspect in suspects {
            self.answers.running.record(*suspect, progress);
        }
    }

    /// Until when a request is held back, as hosts are being asked about it; `None` if it is not, or if it is
    /// refused anyway.
    pub fn held_until(&self, now: Moment, suspects: &[Suspect]) -> Option<Moment> {
        if self.suspicions.is_empty() || self.quarantine.find(suspects).is_some() {
            return None;
        }
        let is_held = |(held, until): &&(Suspect, Moment)| suspects.contains(held) && !now.reached(*until);
        self.suspicions.iter().find(is_held).map(|(_, until)| *until)
    }

    /// Holds a request back until the hosts have been heard about it.
    fn hold(&mut self, now: Moment, suspect: Suspect) {
        if suspect.scope != Scope::Request {
            return;
        }
        self.suspicions
            .retain(|(held, until)| *held != suspect && !now.reached(*until));
        if self.suspicions.len() < MAX_SUSPICIONS {
            self.suspicions.push((suspect, now + SUSPICION_TIME));
        }
    }

    fn add_witness(&mut self, now: Moment, witness: Witness) {
        self.evidence.add(now, &witness);
        if self.to_tell.len() < MAX_PENDING {
            self.to_tell.push(witness);
        }
    }

    /// Whether all parts of a request have lately been in requests that were answered.
    pub fn is_proved(&self, now: Moment, suspects: &[Suspect]) -> bool {
        let is_proved = |part: &Suspect| {
            let answered = self.answers.last(*part);
            answered.is_some_and(|at| now.since(at) < PROOF_LIFE)
        };
        let mut parts = suspects.iter().filter(|suspect| suspect.scope == Scope::Part);
        parts.all(is_proved)
    }

    /// Sets the live hosts, of which some are the collectors.
    pub fn set_hosts(&mut self, now: Moment, own: SocketAddr, hosts: &[Host]) {
        self.started_at.get_or_insert(now);
        self.others = hosts.iter().filter(|host| host.address != own).count();
        self.is_collector = self.others == 0 || holders::told(COLLECTORS, hosts).contains(&own);
    }

    /// Whether this host is a collector.
    pub fn is_collector(&self) -> bool {
        self.is_collector
    }

    /// Whether this host removes records of parts of which requests were answered, and tells all others. In small fleets
    /// each host does, as collectors may be cut off.
    pub fn removes_records(&self) -> bool {
        self.is_collector || self.others < FEW_HOSTS
    }

    /// Looks for parts that crash runners, if this host is a collector; `runners` is the number of runners of a
    /// service.
    pub fn advance(&mut self, now: Moment, runners: impl Fn(u64) -> usize) -> Vec<Verdict> {
        self.evidence.expire(now);
        self.evidence.set_quarantined(self.quarantine.parts_begun());
        let has_started = self.started_at.is_some_and(|at| now.since(at) >= START_TIME);
        if !self.is_collector {
            return Vec::new();
        }
        let quarantine = &self.quarantine;
        let is_explained = |part: Suspect| quarantine.holds(part);
        let suspects = self.evidence.suspects(now, &self.answers, is_explained);
        self.hearings.retain(|hearing| {
            let is_suspect = suspects.iter().any(|suspect| suspect.part == hearing.part);
            is_suspect && now.since(hearing.began) < HEARING_LIFE
        });
        let mut proved: Vec<(f64, bool, Verdict)> = Vec::new();
        for Verdict { part, tally } in suspects.iter().cloned() {
            let runners = runners(part.service);
            // Requests that meet crashes by chance are many while many runners crash.
            if part.scope == Scope::Request && !tally.is_near_proof(runners) {
                continue;
            }
            let was_sound = self.answers.last(part).is_some();
            let last_crash = tally.first + tally.span;
            let is_running = self.answers.running.is_running(now, part, last_crash);
            let is_heard = self.hear(now, part, &tally, is_running);
            let until = match is_running {
                true => now.saturating_sub(SURVIVAL_TIME),
                false => now,
            };
            let quarantine = &self.quarantine;
            let is_explained = |part: Suspect| quarantine.holds(part);
            let tally = match is_heard {
                true => self.evidence.tally(part, &self.answers, until, is_explained),
                false => self
                    .evidence
                    .tally_unheard(part, &self.answers, until, is_explained),
            };
            let is_proof = tally.is_proof(part.scope, runners, was_sound, is_heard);
            if is_proof && !(was_sound && self.has_better_suspect(now, part, runners, &suspects)) {
                let is_final = has_started && self.has_last_answers(now, part, &tally, was_sound);
                proved.push((tally.log_ratio(runners), is_final, Verdict { part, tally }));
            }
        }
        // Other parts may only have been beside the guilty one, whose crashes then no longer count. So they also
        // wait for one whose hearing has not ended.
        let strongest = proved
            .iter()
            .map(|(ratio, ..)| *ratio)
            .fold(f64::NEG_INFINITY, f64::max);
        let found = proved
            .into_iter()
            .filter(|(ratio, is_final, _)| *is_final && *ratio >= strongest);
        found.map(|(.., verdict)| verdict).collect()
    }

    /// Whether a part that was never answered explains the crashes with another one that was: those without
    /// the former are so few that they may be chance.
    fn has_better_suspect(&self, now: Moment, part: Suspect, runners: usize, suspects: &[Verdict]) -> bool {
        let others = suspects.iter().map(|suspect| suspect.part);
        let mut unanswered = others.filter(|other| {
            *other != part && other.scope == Scope::Part && self.answers.last(*other).is_none()
        });
        unanswered.any(|other| {
            let is_explained = |suspect: Suspect| suspect == other || self.quarantine.holds(suspect);
            let rest = self.evidence.tally(part, &self.answers, now, is_explained);
            !rest.is_unlikely(runners)
        })
    }

    /// Asks the other hosts about a suspect part, if that is due; returns whether most have answered. While answers of it
    /// run, they are asked again and again.
    fn hear(&mut self, now: Moment, part: Suspect, tally: &Tally, is_running: bool) -> bool {
        let known_since = known_since(now, part, tally);
        let found = self.hearings.iter().position(|hearing| hearing.part == part);
        match found {
            Some(at) => {
                let hearing = &mut self.hearings[at];
                hearing.last_crash = tally.first + tally.span;
                let is_due = now.since(hearing.asked_at) >= ASK_INTERVAL && hearing.asked < MAX_ASKED;
                if is_due && (is_running || hearing.crashes < tally.crashes) {
                    hearing.asked_at = now;
                    hearing.crashes = tally.crashes;
                    hearing.asked += 1;
                    self.to_ask.push(part);
                }
                hearing.is_answered(self.others, known_since)
            }
            None if self.hearings.len() < MAX_HEARINGS => {
                self.hearings.push(Hearing {
                    part,
                    began: now,
                    asked_at: now,
                    crashes: tally.crashes,
                    last_crash: tally.first + tally.span,
                    asked: 1,
                    repliers: Vec::new(),
                    asked_last_at: None,
                });
                self.to_ask.push(part);
                // Collectors on two sides of a network partition each know a part of the crashes.
                self.outgoing.add_witnesses(now, self.evidence.witnesses(part));
                self.others == 0
            }
            None => false,
        }
    }

    /// Whether the other hosts have been heard to the end about a part that is proved guilty by what is known:
    /// they are asked once more right before the verdict.
    fn has_last_answers(&mut self, now: Moment, part: Suspect, tally: &Tally, was_sound: bool) -> bool {
        let others = self.others;
        let Some(hearing) = self.hearings.iter_mut().find(|hearing| hearing.part == part) else {
            return false;
        };
        let time = match hearing.is_answered(others, known_since(now, part, tally)) {
            true => HEARING,
            false => HEARING_BY_STORE,
        };
        let is_late_enough = !was_sound || now.since(tally.first) >= SOUND_BEFORE_TIME;
        if !is_late_enough || now.since(hearing.began) < time {
            return false;
        }
        let asked = hearing.asked_last_at.map(|at| now.since(at));
        if asked.is_none_or(|since| since > LAST_ANSWERS_LIFE) {
            hearing.asked_last_at = Some(now);
            self.to_ask.push(part);
            return others == 0;
        }
        asked.is_some_and(|since| since >= ANSWER_TIME)
    }

    /// When [`advance`](Self::advance) has something to do, if nothing else happens.
    pub fn next_check(&self, now: Moment) -> Option<Moment> {
        let hearings = self.hearings.iter().filter_map(|hearing| hearing.next_check(now));
        let unconfirmed = self.unconfirmed.iter().map(|told| told.told_at + CONFIRM_TIMEOUT);
        let pending = hearings.chain(unconfirmed).filter(|at| !now.reached(*at));
        pending.min_by_key(|at| at.mono_us)
    }

    /// Messages to the other hosts, each to one address; what they say counts as sent.
    pub fn take_messages(
        &mut self,
        now: Moment,
        own: SocketAddr,
        hosts: &[Host],
    ) -> Vec<(SocketAddr, Message)> {
        let others: Vec<Host> = hosts.iter().filter(|host| host.address != own).copied().collect();
        let mut messages = Vec::new();
        self.report_unconfirmed(now);
        if !self.to_tell.is_empty() {
            let witnesses = std::mem::take(&mut self.to_tell);
            self.numbers += 1;
            let told = Message::told(now, self.numbers, &witnesses);
            let collectors = holders::told(COLLECTORS, hosts);
            let others = collectors.into_iter().filter(|collector| *collector != own);
            messages.extend(others.map(|collector| (collector, told.clone())));
            if self.others > 0 && self.is_unheard {
                self.outgoing.add_witnesses(now, witnesses);
            } else if self.others > 0 {
                self.unconfirmed.push(Unconfirmed {
                    number: self.numbers,
                    told_at: now,
                    witnesses,
                });
            }
        }
        if !self.to_ask.is_empty() {
            let to_ask = std::mem::take(&mut self.to_ask);
            to_ask.iter().for_each(|suspect| self.hold(now, *suspect));
            let asked = Message::asked(&to_ask);
            messages.extend(others.iter().map(|host| (host.address, asked.clone())));
        }
        let found = self.quarantine.take_announcements(now);
        if !found.is_empty() {
            let found = Message::found(&found);
            messages.extend(others.iter().map(|host| (host.address, found.clone())));
        }
        let refuted = self.quarantine.take_refuted(now, self.is_collector);
        if !refuted.is_empty() {
            let refuted = Message::refuted(&refuted);
            let told = match self.removes_records() {
                true => others.iter().map(|host| host.address).collect(),
                false => holders::told(COLLECTORS, hosts),
            };
            let others = told.into_iter().filter(|host| *host != own);
            messages.extend(others.map(|host| (host, refuted.clone())));
        }
        messages
    }

    /// Applies a message of the host at `from`; returns the answer to it, which may be empty.
    pub fn receive(&mut self, now: Moment, from: SocketAddr, message: &Message) -> Message {
        for witness in message.witnesses(now) {
            self.evidence.add(now, &witness);
        }
        for (part, at) in message.answers(now) {
            self.answers.record(at, part);
        }
        for (suspect, progress) in message.running(now) {
            self.answers.running.record(suspect, progress);
        }
        let refuted: Vec<Suspect> = message.answered_under_quarantine().collect();
        self.record_answer_from(now, &refuted, Source::Told);
        for part in message.quarantined() {
            self.quarantine.record_told(now, part);
        }
        self.unconfirmed.retain(|told| told.number != message.confirmed);
        self.is_unheard &= message.confirmed == 0;
        // Any answer shows that the sender was asked, and has told what it knows.
        if message.answers_question {
            for hearing in &mut self.hearings {
                hearing.record_reply(from, message.kept_since(now));
            }
        }
        message.questions().for_each(|suspect| self.hold(now, suspect));
        let kept = self.started_at.map(|at| now.since(at)).unwrap_or_default();
        Message::answer(now, message, &self.answers, kept)
    }

    /// Applies the records in the store; returns those that are new, and the parts whose quarantine has ended.
    ///
    /// Crashes before the end of a quarantine no longer count, as if a request had been answered.
    pub fn apply_records(
        &mut self,
        now: Moment,
        stored: Vec<(Suspect, Entry, Record)>,
    ) -> (Vec<Record>, Vec<Suspect>) {
        let (begun, ended) = self.quarantine.apply(now, stored);
        self.record_answer(now, &ended);
        (begun, ended)
    }

    /// Has the crashes written to the store that no collector has confirmed in time. Later ones are written at once
    /// until a collector confirms some: waiting each time would delay the verdict by as much.
    fn report_unconfirmed(&mut self, now: Moment) {
        let is_late = |told: &Unconfirmed| now.since(told.told_at) >= CONFIRM_TIMEOUT;
        let (late, waiting): (Vec<Unconfirmed>, _) = self.unconfirmed.drain(..).partition(is_late);
        self.unconfirmed = waiting;
        self.is_unheard |= !late.is_empty();
        for told in late {
            self.outgoing.add_witnesses(now, told.witnesses);
        }
    }

    /// Report to be written to the store, if it has changed.
    pub fn take_report(&mut self, now: Moment, unix_ms: u64) -> Option<report::Report> {
        self.outgoing.take(now, unix_ms)
    }

    /// Applies a report of another host, as read from the store. Some hosts answer it there, if they know that
    /// requests with its parts were answered since: the other host may not be reached otherwise.
    pub fn read_report(&mut self, now: Moment, unix_ms: u64, report: &report::Report) {
        for (part, at) in report.answers(now, unix_ms) {
            self.answers.record(at, part);
        }
        for witness in report.witnesses(now, unix_ms) {
            self.evidence.add_stored(now, &witness);
            for part in &witness.suspects {
                let answered = self.answers.last(*part).filter(|at| at.reached(witness.at));
                if let Some(at) = answered
                    && (self.is_collector || self.others < FEW_HOSTS)
                    && !self.outgoing.has_answer(*part, witness.at)
                {
                    self.outgoing.add_answer(now, *part, at);
                }
            }
        }
    }
}

/// When a host has to have kept answers to count as heard about a suspect: since the first crash with a part. A
/// request that was answered is not repeated by its caller, so any host counts.
fn known_since(now: Moment, suspect: Suspect, tally: &Tally) -> Moment {
    match suspect.scope {
        Scope::Part => tally.first,
        Scope::Request => now,
    }
}
