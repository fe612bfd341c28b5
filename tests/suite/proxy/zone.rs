//! Simulation of a zone: dozens of hosts place requests on the same engines and know each other's
//! load only from reports and updates.

use std::time::Duration;

use radishstair_core::id::Incarnation;
use radishstair_core::proxy::fleet::Listed;
use radishstair_core::proxy::overload::Patience;
use radishstair_core::proxy::placement::{Choice, Demand, Segment};
use radishstair_core::proxy::{Placement, State};
use radishstair_core::time::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fixtures::{bounds, runner, table};

const SERVICE: &str = "engines";
/// Length of a prompt without segments; long, so that most of the engines are reserved for them.
const TOKENS: u64 = 9_000;
/// Slots that the list states for engines that run any number of requests.
const DEFAULT_SLOTS: u32 = 32;
/// Time to the first event besides the prefill.
const BASE_MS: f64 = 40.0;
/// Time between two reads of the list.
const LIST_MS: u64 = 600;
/// Time from sending a datagram to its arrival.
const DELAY_MS: u64 = 1;

/// Parameters of a simulation.
pub struct Zone {
    pub seed: u64,
    pub hosts: usize,
    pub engines: usize,
    /// Requests a second at a time in milliseconds.
    pub rate: fn(u64) -> f64,
    /// Whether hosts send each change of their load at once.
    pub sends_updates: bool,
    /// Share of the datagrams that are lost.
    pub loss: f64,
    /// Whether requests that would be late are refused.
    pub refuses: bool,
    /// One in this many requests is of the most urgent kind; 0 for none.
    pub urgent_every: u64,
    /// Segments of a request's prompt.
    pub prompt: fn(&mut ChaCha8Rng) -> Vec<Segment>,
    /// Prefill time of a thousand tokens.
    pub prefill_ms_per_1k: f64,
    /// Requests that an engine runs at once; `None` for any number.
    pub slots: Option<u32>,
    /// Time from the first event of a request to its end.
    pub generate_ms: u64,
    /// Time between two reports of a host.
    pub report_ms: u64,
    /// Minimum time between two updates of a host; 0 if it sends one for each start, and none when
    /// a prompt has been prefilled.
    pub update_ms: u64,
    /// Whether a report without loads is sent once only.
    pub skips_idle_reports: bool,
    pub length_ms: u64,
    pub target_ms: u64,
}

impl Default for Zone {
    fn default() -> Self {
        Self {
            seed: 1,
            hosts: 33,
            engines: 20,
            rate: |_| 110.0,
            sends_updates: true,
            loss: 0.0,
            refuses: false,
            urgent_every: 0,
            prompt: |_| Vec::new(),
            prefill_ms_per_1k: 9.0,
            slots: None,
            generate_ms: 400,
            report_ms: 800,
            update_ms: 0,
            skips_idle_reports: false,
            length_ms: 12_000,
            target_ms: 300,
        }
    }
}

/// Counts of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub arrived: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

impl Counts {
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrived.max(1))
    }
}

/// Results of a simulation.
#[derive(Debug)]
pub struct Outcome {
    pub usual: Counts,
    pub urgent: Counts,
    /// Counts by second of arrival, both kinds together.
    pub by_second: Vec<Counts>,
    /// Most requests that waited for a first event at one engine, relative to the others.
    pub crowd: Crowd,
}

/// Requests that wait for a first event at one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Crowd {
    /// Their number.
    pub waiting: u32,
    /// Mean number at the engines in use at that time.
    pub mean: f64,
}

impl Crowd {
    /// Number beyond twice the mean.
    pub fn excess(&self) -> f64 {
        f64::from(self.waiting) - 2.0 * self.mean
    }
}

/// State of an engine.
#[derive(Clone, Debug, Default)]
struct Engine {
    /// When it has prefilled all prompts that it was sent.
    free_at: f64,
    /// Ends of its requests, in order.
    ends: Vec<u64>,
    /// Ids of the prefixes that it has prefilled.
    cached: Vec<u64>,
}

struct Running {
    host: usize,
    engine: usize,
    choice: Choice,
    kv_tokens: u64,
    sent: u64,
    first: Option<u64>,
    ends_at: u64,
    is_urgent: bool,
}

struct World {
    zone: Zone,
    rng: ChaCha8Rng,
    hosts: Vec<State>,
    /// Sequence number of each host's last report, and updates since.
    sent: Vec<(u64, u32)>,
    /// When each host may send its next update.
    next_update: Vec<u64>,
    /// Whether each host's load has changed since its last report or update.
    has_changed: Vec<bool>,
    /// Whether each host's last report had no loads.
    sent_idle: Vec<bool>,
    engines: Vec<Engine>,
    running: Vec<Running>,
    /// Updates on their way, with their senders.
    in_flight: Vec<(u64, usize, radishstair_core::proxy::gossip::update::Update)>,
    outcome: Outcome,
}

fn moment(ms: u64) -> Moment {
    Moment::at_ms(100_000 + ms)
}

fn engine_id(at: usize) -> String {
    format!("engine-{at:03}")
}

impl Zone {
    /// Runs the simulation.
    pub fn run(self) -> Outcome {
        let host = || {
            let mut state = State::new(bounds(), "zone-a");
            state.configure(Moment::default(), table(1, Vec::new()));
            state.hosts = self.hosts as u32;
            state
        };
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(self.seed),
            hosts: (0..self.hosts).map(|_| host()).collect(),
            sent: vec![(0, 0); self.hosts],
            next_update: vec![0; self.hosts],
            has_changed: vec![false; self.hosts],
            sent_idle: vec![false; self.hosts],
            engines: vec![Engine::default(); self.engines],
            running: Vec::new(),
            in_flight: Vec::new(),
            outcome: Outcome {
                usual: Counts::default(),
                urgent: Counts::default(),
                by_second: vec![Counts::default(); (self.length_ms / 1_000 + 1) as usize],
                crowd: Crowd::default(),
            },
            zone: self,
        };
        for ms in 0..world.zone.length_ms {
            world.step(ms);
        }
        world.outcome
    }
}

impl World {
    fn step(&mut self, ms: u64) {
        if ms.is_multiple_of(LIST_MS) {
            let slots = self.zone.slots;
            let listed = |at| Listed {
                address: ([127, 0, 0, 1], 2_000 + at as u16).into(),
                slots: slots.unwrap_or(DEFAULT_SLOTS),
                ..runner(&engine_id(at), SERVICE, "zone-a")
            };
            for host in &mut self.hosts {
                let all = (0..self.zone.engines).map(listed).collect();
                host.update_runners(moment(ms), moment(ms), all);
            }
        }
        self.finish(ms);
        self.deliver(ms);
        let per_ms = (self.zone.rate)(ms) / 1e3;
        let count = per_ms as u32 + u32::from(self.rng.random_bool(per_ms.fract()));
        for _ in 0..count {
            self.arrive(ms);
            self.send_updates(ms);
        }
        self.send_updates(ms);
        let report_ms = self.zone.report_ms;
        for host in 0..self.zone.hosts {
            // The reports of the hosts are spread over the interval.
            if (ms + host as u64 * report_ms / self.zone.hosts as u64).is_multiple_of(report_ms) {
                self.report(ms, host);
            }
        }
    }

    fn arrive(&mut self, ms: u64) {
        let host = self.rng.random_range(0..self.zone.hosts);
        let is_urgent = match self.zone.urgent_every {
            0 => false,
            every => self.rng.random_range(0..every) == 0,
        };
        let segments = (self.zone.prompt)(&mut self.rng);
        let demand = Demand {
            service: SERVICE.into(),
            prompt_tokens: match segments.is_empty() {
                true => TOKENS,
                false => segments.iter().map(|segment| segment.tokens).sum(),
            },
            output_tokens: 50,
            copies_prefix: true,
            segments,
            random: self.rng.random(),
            ..Demand::default()
        };
        let patience = Patience {
            target: Duration::from_millis(self.zone.target_ms),
            own_target: None,
            waited: Duration::ZERO,
            is_refusable: !is_urgent,
        };
        let patience = self.zone.refuses.then_some(patience);
        let placement = self.hosts[host].place_in_time(moment(ms), &demand, &[], patience);
        self.count(ms, is_urgent, |counts| counts.arrived += 1);
        let Placement::Placed(choice) = placement else {
            self.count(ms, is_urgent, |counts| counts.refused += 1);
            return;
        };
        let runner = self.hosts[host].fleet.get(choice.key).expect("a listed engine");
        let engine: usize = runner.listed.id["engine-".len()..].parse().expect("a number");
        let (first, ends_at) = self.run_request(ms, engine, &demand, choice.source.is_some());
        self.running.push(Running {
            host,
            engine,
            choice,
            kv_tokens: demand.kv_tokens(),
            sent: ms,
            first: Some(first),
            ends_at,
            is_urgent,
        });
        self.count_waiting(ms, engine);
        self.has_changed[host] = true;
    }

    /// Times of the first event and of the end of a request that arrives at an engine. Copying a
    /// prefix takes no time.
    fn run_request(&mut self, ms: u64, engine: usize, demand: &Demand, copies: bool) -> (u64, u64) {
        let zone = &self.zone;
        let engine = &mut self.engines[engine];
        let cached = |(id, _): &&(u64, u64)| copies || engine.cached.contains(id);
        let prefixes = demand.shared_prefixes();
        let cached_tokens = prefixes
            .iter()
            .rev()
            .find(cached)
            .map_or(0, |(_, tokens)| *tokens);
        engine.cached.extend(prefixes.iter().map(|(id, _)| *id));
        let tokens = demand.prompt_tokens - cached_tokens;
        let before_last = zone
            .slots
            .and_then(|slots| engine.ends.len().checked_sub(slots as usize));
        let admitted_at = before_last.map_or(ms, |at| engine.ends[at].max(ms));
        engine.free_at =
            engine.free_at.max(admitted_at as f64) + tokens as f64 / 1e3 * zone.prefill_ms_per_1k;
        let first = (engine.free_at + BASE_MS) as u64;
        engine.ends.push(first + zone.generate_ms);
        (first, first + zone.generate_ms)
    }

    /// Counts the requests that wait at an engine, after one has arrived there.
    fn count_waiting(&mut self, ms: u64, engine: usize) {
        let mut waiting = vec![0; self.zone.engines];
        let mut is_used = vec![false; self.zone.engines];
        for run in &self.running {
            waiting[run.engine] += u32::from(run.first.is_some_and(|first| first > ms));
            is_used[run.engine] = true;
        }
        let in_use = is_used.iter().filter(|is_used| **is_used).count();
        let crowd = Crowd {
            waiting: waiting[engine],
            mean: f64::from(waiting.iter().sum::<u32>()) / in_use as f64,
        };
        if crowd.excess() > self.outcome.crowd.excess() {
            self.outcome.crowd = crowd;
        }
    }

    fn count(&mut self, ms: u64, is_urgent: bool, change: impl Fn(&mut Counts)) {
        let kind = match is_urgent {
            true => &mut self.outcome.urgent,
            false => &mut self.outcome.usual,
        };
        change(kind);
        change(&mut self.outcome.by_second[(ms / 1_000) as usize]);
    }

    /// Sends the updates that are due.
    fn send_updates(&mut self, ms: u64) {
        for host in 0..self.zone.hosts {
            if self.zone.sends_updates && self.has_changed[host] && self.next_update[host] <= ms {
                self.has_changed[host] = false;
                self.next_update[host] = ms + self.zone.update_ms;
                self.send_update(ms, host);
            }
        }
    }

    fn send_update(&mut self, ms: u64, host: usize) {
        let (report, updates) = self.sent[host];
        let update = self.hosts[host].update(moment(ms), Incarnation(1 + host as u64), report, updates + 1);
        if let Some(update) = update {
            self.sent[host].1 += 1;
            self.in_flight.push((ms + DELAY_MS, host, update));
        }
    }

    fn deliver(&mut self, ms: u64) {
        let (arrived, rest) = self.in_flight.drain(..).partition(|(at, ..)| *at <= ms);
        self.in_flight = rest;
        let arrived: Vec<_> = arrived;
        for (_, from, update) in arrived {
            for to in (0..self.zone.hosts).filter(|to| *to != from) {
                if !self.rng.random_bool(self.zone.loss) {
                    self.hosts[to].receive_update(moment(ms), update.clone());
                }
            }
        }
    }

    fn report(&mut self, ms: u64, host: usize) {
        self.sent[host] = (self.sent[host].0 + 1, 0);
        let me = Incarnation(1 + host as u64);
        let packet = self.hosts[host].packet(moment(ms), me, self.sent[host].0);
        self.has_changed[host] = false;
        let is_idle = packet.loads.is_empty();
        let has_news = !is_idle || !packet.prefixes.is_empty();
        if self.zone.skips_idle_reports && self.sent_idle[host] && !has_news {
            return;
        }
        self.sent_idle[host] = is_idle;
        for to in (0..self.zone.hosts).filter(|to| *to != host) {
            if !self.rng.random_bool(self.zone.loss) {
                self.hosts[to].receive(moment(ms), Incarnation(1 + to as u64), packet.clone());
            }
        }
    }

    /// Processes first events and ends of requests up to now.
    fn finish(&mut self, ms: u64) {
        let mut running = std::mem::take(&mut self.running);
        for run in &mut running {
            if run.first.is_some_and(|first| first <= ms) {
                run.first = None;
                let elapsed_ms = ms - run.sent;
                let is_in_time = elapsed_ms <= self.zone.target_ms;
                self.count(run.sent, run.is_urgent, |counts| match is_in_time {
                    true => counts.in_time += 1,
                    false => counts.late += 1,
                });
                let host = &mut self.hosts[run.host];
                host.fleet.finish_prefill(run.choice.key, run.choice.prefill_us);
                self.has_changed[run.host] |= self.zone.update_ms > 0;
                let elapsed = Duration::from_millis(elapsed_ms);
                host.record_first_event(moment(ms), run.choice.key, &run.choice.conditions, elapsed);
            }
        }
        let hosts = &mut self.hosts;
        running.retain(|run| {
            let is_running = run.ends_at > ms;
            if !is_running {
                hosts[run.host]
                    .fleet
                    .finish_request(run.choice.key, 0, run.kv_tokens);
                let residence = Duration::from_millis(run.ends_at - run.sent);
                hosts[run.host].record_residence(run.choice.key, residence);
            }
            is_running
        });
        self.running = running;
    }
}
