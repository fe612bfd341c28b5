//! Runners as one host believes them to be.
//!
//! The list in the store is the base. What this host sees first-hand (refused
//! connections, another instance at an address) goes before it.

use std::net::SocketAddr;
use std::time::Duration;

use super::load::Row;
use super::pace::ms;
use crate::id::digest;
use crate::time::Moment;

key! {
    /// A runner in the fleet.
    Key(u32)
}

/// A pause of the store's answers past which entries may have lapsed in it.
/// Runners renew theirs three times before one lapses, so a shorter pause
/// cannot remove a live runner's entry.
const AWAY: Duration = Duration::from_millis(2_500);
/// How long a missing entry means nothing after the store has come back: live
/// runners are listed again within two seconds, and a read may be a moment old.
const RETURN: Duration = Duration::from_millis(2_300);
/// First rest of a runner that could not be reached.
const REST: Duration = Duration::from_millis(400);
/// Longest rest; a runner that is back serves again within this time.
const REST_MOST: Duration = Duration::from_secs(4);
/// Unreachable runners of one zone after which the whole zone rests.
const ZONE_SIGNS: usize = 2;
/// Rest of a zone that seems cut off; short, as its runners are tried again one
/// by one then.
const ZONE_REST: Duration = Duration::from_millis(800);
/// Weight of the newest answer in the part of failures: a host sees an answer of a
/// runner every other second, and grey runners are grey for some seconds.
const NEWEST: f64 = 0.25;
/// Time without a word from a runner after which the path to it is looked at: on the
/// users' calm days one long request in twenty waits longer for its answer.
const DOUBT: Duration = Duration::from_millis(800);
/// Weight of the newest answer in how far a runner lags behind, and bounds of one answer.
const LAG_NEWEST: f64 = 0.1;
const LAG_LEAST: f64 = 0.3;
const LAG_MOST: f64 = 6.0;
/// Rest of a runner that said it was full.
const FULL_REST: Duration = Duration::from_millis(150);

plain! {
    /// Whether a runner takes new work.
    #[derive(Copy, Eq)]
    pub enum Stage {
        /// It does.
        Ready,
        /// It is about to leave.
        Draining,
    }
}

plain! {
    /// A runner as the store lists it.
    pub struct Listed {
        /// Its id; requests name it, as addresses are used again.
        pub id: String,
        /// Service that it runs.
        pub service: String,
        /// Where it listens.
        pub address: SocketAddr,
        /// Availability zone.
        pub zone: String,
        /// Whether it takes new work.
        pub stage: Stage,
        /// Requests it runs at once.
        pub slots: u32,
        /// Whether it is cheap and can be taken away.
        pub reclaimable: bool,
        /// Start in milliseconds since the Unix epoch; 0 if not told.
        pub born: u64,
    }
}

plain! {
    /// How an attempt at a runner ended, as far as its health is concerned.
    #[derive(Copy, Eq)]
    pub enum Sign {
        /// It answered.
        Sound,
        /// It answered with a failure of its own.
        Failed,
        /// It said that it was full.
        Full,
        /// No connection to it came about.
        Unreachable,
        /// It fell silent, and the path to it is cut.
        Cut,
        /// It broke off, or its answer was not one.
        Broken,
        /// Another instance answered at its address.
        Replaced,
    }
}

plain! {
    /// What a request that waits for its answer makes of its runner's silence.
    #[derive(Copy, Eq)]
    pub enum Silence {
        /// The runner said something lately; look again after this time.
        Short(Duration),
        /// Nothing came for long: ask whether it can be reached.
        Long,
        /// It could not be reached since the request was sent.
        Cut,
    }
}

plain! {
    /// A connection that waits for its next request.
    #[derive(Copy)]
    pub struct Idle {
        /// Since when.
        pub since: Moment,
        /// How long the runner keeps it.
        pub kept: Duration,
    }
}

/// Kept back from the runner's idle time: its clock starts when it writes the
/// answer, and the next request takes a while to arrive.
const MARGIN: Duration = Duration::from_millis(700);
/// Part of the idle time after which a request that runs at most once gets a
/// new connection: the runner may close it just then, and nobody could tell
/// whether the request ran.
const ONCE_PART: u32 = 3;

impl Idle {
    /// Whether a request may be sent on it; `once` if it may run only once.
    pub fn is_usable(&self, now: Moment, once: bool) -> bool {
        let safe = self.kept.saturating_sub(MARGIN);
        let limit = match once {
            true => safe.min(self.kept / ONCE_PART),
            false => safe,
        };
        now.since(self.since) < limit
    }
}

plain! {
    /// One runner.
    pub struct Runner {
        /// As listed.
        pub listed: Listed,
        /// Hash of its id, by which hosts name it to each other.
        pub hash: u64,
        /// What this host has on it.
        pub own: Row,
        /// What other hosts have on it, as they last said.
        pub others: Row,
        /// Part of its last answers to this host that were failures, newest first in
        /// weight.
        pub failing: f64,
        /// How much longer than others of its service it takes; 1 for as long.
        pub lag: f64,
        /// Kept for long prompts, so that these do not delay short streams.
        pub long: bool,
        /// Idle connection that was used last, and how long the runner keeps it.
        pub idle: Option<Idle>,
        present: bool,
        replaced: bool,
        rest: Moment,
        failures: u32,
        /// Since when it is this run of it; a former one's memory is lost.
        since: Moment,
        /// When it was heard, or asked, last.
        heard: Moment,
        /// When the path to it was found to be cut last.
        lost: Option<Moment>,
    }
}

impl Runner {
    /// Whether new work may go there.
    pub fn is_open(&self, now: Moment) -> bool {
        self.is_listed() && now.reached(self.rest)
    }

    /// Whether it takes new work, as far as the list says.
    pub fn is_listed(&self) -> bool {
        self.present && !self.replaced && self.listed.stage == Stage::Ready
    }

    /// Whether it is still there and about to leave.
    pub fn is_leaving(&self) -> bool {
        self.present && self.listed.stage == Stage::Draining
    }

    fn judge(&mut self, failed: bool) {
        self.failing += NEWEST * (f64::from(u8::from(failed)) - self.failing);
    }

    /// Requests on it, as far as this host knows.
    pub fn load(&self) -> u32 {
        self.own.running + self.others.running
    }

    /// Time that it has yet to read, as far as this host knows, at the usual pace.
    pub fn backlog(&self) -> Duration {
        Duration::from_micros(self.own.work + self.others.work)
    }

    /// Whether it has yet to read that much for this host.
    pub fn reads(&self, least: Duration) -> bool {
        Duration::from_micros(self.own.work) >= least
    }

    /// Takes in how long it took for something, and how long is usual.
    ///
    /// A slow engine says that it is well, and its queue looks as short as the others'.
    pub fn compare(&mut self, took: Duration, usual: Duration) {
        let ratio = ms(took) / ms(usual).max(1.0);
        self.lag += LAG_NEWEST * (ratio.clamp(LAG_LEAST, LAG_MOST) - self.lag);
    }

    /// Tokens in its memory when all that runs there has ended, as far as this
    /// host knows.
    pub fn held(&self) -> u64 {
        self.own.held + self.others.held
    }
}

/// All runners.
#[derive(Debug)]
pub struct Fleet {
    /// This host's zone.
    pub zone: String,
    arena: Vec<Runner>,
    ids: Vec<(String, Key)>,
    hashes: Vec<(u64, Key)>,
    listed: Option<Moment>,
    back: Option<Moment>,
    /// Zones that cannot be reached, and until when they rest.
    cut: Vec<(String, Moment)>,
    /// Zones of other hosts, and when they go quiet unless one is heard again.
    quiet: Vec<(String, Moment)>,
}

impl Fleet {
    /// An empty fleet, seen from a zone.
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.to_string(),
            arena: Vec::new(),
            ids: Vec::new(),
            hashes: Vec::new(),
            listed: None,
            back: None,
            cut: Vec::new(),
            quiet: Vec::new(),
        }
    }

    /// Whether the list was ever read.
    pub fn is_listed(&self) -> bool {
        self.listed.is_some()
    }

    /// Takes the whole list, as read by a question that left at `sent`.
    /// Returns the addresses at which another process now listens, so that
    /// connections to the former one are void.
    ///
    /// A missing entry means that the runner is gone, unless the store was
    /// away: then the entries of live runners may have lapsed, and dropping
    /// them would leave nobody to serve. They count as present until the store
    /// has been back for long enough to list them again.
    pub fn list(&mut self, sent: Moment, items: Vec<Listed>) -> Vec<SocketAddr> {
        // The first list of a process brings no such doubt: what lapsed before is not in it,
        // and an entry that is goes for good when it is removed.
        if self.listed.is_some_and(|last| sent.since(last) >= AWAY) {
            self.back = Some(sent);
        }
        self.listed = Some(sent);
        let returning = self.back.is_some_and(|back| sent.since(back) < RETURN);
        if !returning {
            for runner in &mut self.arena {
                runner.present = false;
            }
        }
        items.into_iter().flat_map(|item| self.take(sent, item)).collect()
    }

    fn take(&mut self, sent: Moment, item: Listed) -> Vec<SocketAddr> {
        let found = self.ids.binary_search_by(|(id, _)| id.as_str().cmp(&item.id));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let address = item.address;
                self.add(at, sent, item);
                return vec![address];
            }
        };
        let key = self.ids[at].1;
        let runner = &mut self.arena[key.index()];
        let same = runner.listed.address == item.address && runner.listed.born == item.born;
        let former = runner.listed.address;
        runner.present = true;
        runner.listed = item;
        if same {
            return Vec::new();
        }
        runner.replaced = false;
        runner.rest = Moment::default();
        runner.failures = 0;
        runner.failing = 0.0;
        runner.lag = 1.0;
        runner.since = sent;
        vec![former, runner.listed.address]
    }

    fn add(&mut self, at: usize, since: Moment, listed: Listed) {
        let key = Key(self.arena.len() as u32);
        self.ids.insert(at, (listed.id.clone(), key));
        let hash = digest(listed.id.as_bytes());
        let at = self.hashes.partition_point(|(have, _)| *have < hash);
        self.hashes.insert(at, (hash, key));
        self.arena.push(Runner {
            listed,
            hash,
            own: Row::default(),
            others: Row::default(),
            failing: 0.0,
            lag: 1.0,
            long: false,
            idle: None,
            present: true,
            replaced: false,
            rest: Moment::default(),
            failures: 0,
            since,
            heard: Moment::default(),
            lost: None,
        });
    }

    /// A runner by key.
    pub fn get(&self, key: Key) -> Option<&Runner> {
        self.arena.get(key.index())
    }

    /// A runner by id.
    pub fn find(&self, id: &str) -> Option<Key> {
        let at = self
            .ids
            .binary_search_by(|(have, _)| have.as_str().cmp(id))
            .ok()?;
        Some(self.ids[at].1)
    }

    /// A runner by the hash of its id.
    pub fn find_hash(&self, hash: u64) -> Option<Key> {
        let at = self.hashes.binary_search_by_key(&hash, |(have, _)| *have).ok()?;
        Some(self.hashes[at].1)
    }

    /// All runners that were ever listed.
    pub fn all(&self) -> impl Iterator<Item = (Key, &Runner)> {
        let keys = (0..self.arena.len() as u32).map(Key);
        keys.zip(&self.arena)
    }

    /// Runners of a service that take new work.
    pub fn open<'a>(&'a self, now: Moment, service: &'a str) -> impl Iterator<Item = (Key, &'a Runner)> {
        let own = move |runner: &Runner| runner.listed.service == service && runner.is_open(now);
        let near = move |runner: &Runner| !self.is_cut(now, &runner.listed.zone);
        // A zone that seems cut off is better than none.
        let any = self.arena.iter().any(|runner| own(runner) && near(runner));
        self.all()
            .filter(move |(_, runner)| own(runner) && (!any || near(runner)))
    }

    /// Whether a runner still keeps what it first read at `since`.
    pub fn keeps(&self, now: Moment, key: Key, since: Moment) -> bool {
        let runner = self.get(key);
        runner.is_some_and(|runner| runner.is_open(now) && runner.since <= since)
    }

    /// A runner by key, to learn of it.
    pub fn learn(&mut self, key: Key) -> Option<&mut Runner> {
        self.arena.get_mut(key.index())
    }

    /// All runners, to divide them.
    pub fn runners_mut(&mut self) -> &mut [Runner] {
        &mut self.arena
    }

    /// Middle of how far the runners of a service lag behind.
    pub fn usual_lag(&self, service: &str) -> f64 {
        let own = self
            .arena
            .iter()
            .filter(|runner| runner.is_listed() && runner.listed.service == service);
        let mut lags: Vec<f64> = own.map(|runner| runner.lag).collect();
        lags.sort_by(f64::total_cmp);
        lags.get(lags.len() / 2).copied().unwrap_or(1.0)
    }

    /// Whether a zone seems cut off from this host.
    fn is_cut(&self, now: Moment, zone: &str) -> bool {
        self.cut
            .iter()
            .any(|(have, until)| have == zone && !now.reached(*until))
    }

    /// A host of a zone was heard; the next word is due within `limit`.
    pub fn hear_zone(&mut self, now: Moment, zone: &str, limit: Duration) {
        let until = now + limit;
        match self.quiet.binary_search_by(|(have, _)| have.as_str().cmp(zone)) {
            Ok(at) => self.quiet[at].1 = until,
            Err(at) => self.quiet.insert(at, (zone.to_string(), until)),
        }
    }

    /// Whether nothing comes from the hosts of another zone any more.
    ///
    /// A cut gives no sign: each request that crosses it costs the time-out of a connection,
    /// and each copy that a runner asks for across it a part of a second. The silence of a
    /// zone's hosts shows it sooner than either. It is no proof, so it only counts as cost.
    pub fn is_quiet(&self, now: Moment, zone: &str) -> bool {
        let found = self.quiet.binary_search_by(|(have, _)| have.as_str().cmp(zone));
        zone != self.zone && found.is_ok_and(|at| now.reached(self.quiet[at].1))
    }

    /// Takes note of a runner of another zone that could not be reached.
    ///
    /// When a zone is cut off, each of its runners would cost one request the
    /// time-out of a connection, and a caller that meets four of them is
    /// refused. After the second one the zone rests as a whole.
    fn suspect(&mut self, now: Moment, zone: &str) {
        if zone == self.zone {
            return;
        }
        let resting = self
            .arena
            .iter()
            .filter(|runner| runner.listed.zone == zone && runner.is_listed() && !now.reached(runner.rest));
        if resting.count() < ZONE_SIGNS {
            return;
        }
        self.cut.retain(|(have, _)| have != zone);
        self.cut.push((zone.to_string(), now + ZONE_REST));
    }

    /// Tells which idle connection to a runner would be used next.
    pub fn idle(&mut self, key: Key, idle: Option<Idle>) {
        if let Some(runner) = self.arena.get_mut(key.index()) {
            runner.idle = idle;
        }
    }

    /// A request goes to a runner: `work` microseconds to read, `held` tokens in its memory.
    pub fn begin(&mut self, key: Key, work: u64, held: u64) {
        if let Some(runner) = self.arena.get_mut(key.index()) {
            runner.own.running += 1;
            runner.own.work += work;
            runner.own.held += held;
        }
    }

    /// The runner has read the prompt: the first token came.
    pub fn read(&mut self, key: Key, work: u64) {
        if let Some(runner) = self.arena.get_mut(key.index()) {
            runner.own.work = runner.own.work.saturating_sub(work);
        }
    }

    /// The request is over; `work` was not yet read.
    pub fn end(&mut self, key: Key, work: u64, held: u64) {
        if let Some(runner) = self.arena.get_mut(key.index()) {
            runner.own.running = runner.own.running.saturating_sub(1);
            runner.own.work = runner.own.work.saturating_sub(work);
            runner.own.held = runner.own.held.saturating_sub(held);
        }
    }

    /// A runner has answered something, or taken a connection.
    pub fn hear(&mut self, now: Moment, key: Key) {
        if let Some(runner) = self.arena.get_mut(key.index()) {
            runner.heard = now;
        }
    }

    /// What a request that was sent at `sent` makes of its runner's silence.
    ///
    /// A cut path gives no sign, and looks like a runner that takes its time. Many requests
    /// may wait for one runner; one of them asks, so that a runner with a long queue does
    /// not have to take a connection for each, and all learn what came of it.
    pub fn silence(&mut self, now: Moment, key: Key, sent: Moment) -> Silence {
        let Some(runner) = self.arena.get_mut(key.index()) else {
            return Silence::Cut;
        };
        if runner.lost.is_some_and(|lost| lost.reached(sent)) {
            return Silence::Cut;
        }
        let quiet = now.since(runner.heard).min(now.since(sent));
        if quiet < DOUBT {
            return Silence::Short(DOUBT - quiet);
        }
        runner.heard = now;
        Silence::Long
    }

    /// Replaces what other hosts have on each runner, by the hash of its id.
    pub fn others(&mut self, of: impl Fn(u64) -> Row) {
        for runner in &mut self.arena {
            runner.others = of(runner.hash);
        }
    }

    /// Takes first-hand news of a runner.
    ///
    /// The list lags by seconds behind a crash. Without the rest each request
    /// would try the dead runner anew.
    pub fn sign(&mut self, now: Moment, key: Key, sign: Sign) {
        let Some(runner) = self.arena.get_mut(key.index()) else {
            return;
        };
        let zone = runner.listed.zone.clone();
        match sign {
            Sign::Sound | Sign::Failed => {
                runner.failures = 0;
                runner.judge(sign == Sign::Failed);
                self.cut.retain(|(have, _)| *have != zone);
            }
            Sign::Full => runner.rest = now + FULL_REST,
            Sign::Replaced => runner.replaced = true,
            Sign::Unreachable | Sign::Cut => {
                if sign == Sign::Cut {
                    runner.lost = Some(now);
                }
                runner.rest = now + (REST * 2u32.saturating_pow(runner.failures)).min(REST_MOST);
                runner.failures = (runner.failures + 1).min(5);
                self.suspect(now, &zone);
            }
            Sign::Broken => {
                runner.judge(true);
                // One broken answer in fifty is usual on some days; only a
                // series tells of the runner.
                runner.failures = (runner.failures + 1).min(5);
                if runner.failures >= 3 {
                    runner.rest = now + (REST * 2u32.saturating_pow(runner.failures - 3)).min(REST_MOST);
                }
            }
        }
    }
}
