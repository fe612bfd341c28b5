//! Simulated engines that prefill prompts one after the other and then generate, at speeds
//! unknown to the router.
//!
//! One host places the requests, learns from the first events, and counts the late ones.

use std::time::Duration;

use radishstair_core::proxy::State;
use radishstair_core::proxy::fleet::{Key, Listed};
use radishstair_core::proxy::gossip::PrefillRate;
use radishstair_core::proxy::placement::{Choice, Demand, Segment};
use radishstair_core::time::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fixtures::{bounds, runner, table};

/// Name of the engines' service.
pub const SERVICE: &str = "engines";
/// Time between two reads of the list.
const LIST_INTERVAL_MS: u64 = 600;
/// Time from the first event of a request to its end.
const GENERATE_MS: u64 = 800;
/// Time to the first event besides the prefill.
const BASE_MS: f64 = 40.0;
/// Tokens of a prompt that are not shared.
const OWN_TOKENS: u64 = 2_900;
/// Tokens of a prompt that requests with the same prefix share.
const SHARED_TOKENS: u64 = 6_300;

/// Parameters of a simulation.
#[derive(Clone)]
pub struct Simulation {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Zone of each engine; the host is in the first one.
    pub zones: Vec<&'static str>,
    /// Prefill time of a thousand tokens on each engine, in milliseconds.
    pub prefill_ms_per_1k: Vec<f64>,
    /// Requests per second at a time in milliseconds.
    pub rate: fn(u64) -> f64,
    /// Prefix of a request, from a random number.
    pub prefix: fn(u64) -> u64,
    /// Whether the host detects slow engines.
    pub detects_slow_engines: bool,
    /// Whether an engine is listed at a time in milliseconds.
    pub listed: fn(u64, usize) -> bool,
    /// Length in milliseconds.
    pub length_ms: u64,
    /// Time within which a first event is on time, in milliseconds.
    pub target_ms: u64,
}

impl Default for Simulation {
    fn default() -> Self {
        Self {
            seed: 1,
            zones: vec!["zone-a"; 6],
            prefill_ms_per_1k: vec![9.0; 12],
            rate: |_| 20.0,
            prefix: |draw| 100 + draw % 60,
            detects_slow_engines: true,
            listed: |_, _| true,
            length_ms: 30_000,
            target_ms: 400,
        }
    }
}

/// Results of a simulation.
#[derive(Debug)]
pub struct Outcome {
    /// Requests that arrived.
    pub arrived: u32,
    /// First events that were on time.
    pub on_time: u32,
    /// Requests placed on each engine.
    pub at: Vec<u32>,
    /// Final state of the host.
    pub state: State,
    /// Highest rate of prefill work.
    pub prefill_rate: PrefillRate,
}

impl Outcome {
    /// Share of the requests that were on time.
    pub fn share_on_time(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.arrived.max(1))
    }

    /// Share of the requests that were placed on an engine.
    pub fn share_at(&self, engine: usize) -> f64 {
        f64::from(self.at[engine]) / f64::from(self.arrived.max(1))
    }
}

/// A request on its engine.
struct Running {
    choice: Choice,
    demand: Demand,
    sent: u64,
    first: Option<u64>,
    ends_at: u64,
}

/// When an engine finishes its queued prefills, and the prefixes in its cache.
#[derive(Default)]
struct Engine {
    free_at: f64,
    cached: Vec<u64>,
}

struct World {
    simulation: Simulation,
    rng: ChaCha8Rng,
    state: State,
    engines: Vec<Engine>,
    keys: Vec<Option<Key>>,
    running: Vec<Running>,
    counts: Counts,
}

/// Counts so far.
#[derive(Default)]
struct Counts {
    arrived: u32,
    on_time: u32,
    at: Vec<u32>,
}

impl Simulation {
    /// Runs the simulation.
    pub fn run(self) -> Outcome {
        let mut state = State::new(bounds(), self.zones[0]);
        state.configure(Moment::default(), table(1, Vec::new()));
        let count = self.zones.len();
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(self.seed),
            state,
            engines: (0..count).map(|_| Engine::default()).collect(),
            keys: vec![None; count],
            running: Vec::new(),
            counts: Counts {
                at: vec![0; count],
                ..Counts::default()
            },
            simulation: self,
        };
        let mut highest = world.state.prefill_rate(Moment::at_ms(0), SERVICE);
        for ms in 0..world.simulation.length_ms {
            world.step(ms);
            let prefill_rate = world.state.prefill_rate(moment(ms), SERVICE);
            if prefill_rate.total_us > highest.total_us {
                highest = prefill_rate;
            }
        }
        Outcome {
            arrived: world.counts.arrived,
            on_time: world.counts.on_time,
            at: world.counts.at,
            state: world.state,
            prefill_rate: highest,
        }
    }
}

fn moment(ms: u64) -> Moment {
    Moment::at_ms(100_000 + ms)
}

impl World {
    fn step(&mut self, ms: u64) {
        if ms.is_multiple_of(LIST_INTERVAL_MS) {
            self.list(ms);
        }
        self.finish(ms);
        let arrivals = (self.simulation.rate)(ms) / 1e3;
        if self.rng.random_bool(arrivals.min(1.0)) {
            self.arrive(ms);
        }
    }

    fn list(&mut self, ms: u64) {
        let zones = self.simulation.zones.clone();
        let is_listed = |at: &usize| (self.simulation.listed)(ms, *at);
        let items: Vec<Listed> = (0..zones.len())
            .filter(is_listed)
            .map(|at| runner(&format!("e{at}"), SERVICE, zones[at]))
            .collect();
        self.state.update_runners(moment(ms), moment(ms), items);
        for at in 0..zones.len() {
            self.keys[at] = self.state.fleet.find(&format!("e{at}"));
        }
    }

    fn arrive(&mut self, ms: u64) {
        let draw = self.rng.random();
        let demand = demand((self.simulation.prefix)(draw), self.rng.random());
        let Some(choice) = self.state.place(moment(ms), &demand, &[]) else {
            self.counts.arrived += 1;
            return;
        };
        let at = self.keys.iter().position(|key| *key == Some(choice.key));
        let at = at.expect("a known engine");
        let engine = &mut self.engines[at];
        let prefix = demand.segments[1].id;
        // Copying a prefix from another engine takes no time.
        let cached = engine.cached.contains(&prefix) || choice.source.is_some();
        let tokens = if cached {
            OWN_TOKENS
        } else {
            OWN_TOKENS + SHARED_TOKENS
        };
        engine.cached.push(prefix);
        let prefill = tokens as f64 / 1e3 * self.simulation.prefill_ms_per_1k[at];
        engine.free_at = engine.free_at.max(ms as f64) + prefill;
        let first = (engine.free_at + BASE_MS) as u64;
        self.counts.arrived += 1;
        self.counts.at[at] += 1;
        self.running.push(Running {
            choice,
            demand,
            sent: ms,
            first: Some(first),
            ends_at: first + GENERATE_MS,
        });
    }

    /// Processes first events and ends of requests up to now.
    fn finish(&mut self, ms: u64) {
        for run in &mut self.running {
            if run.first.is_some_and(|first| first <= ms) {
                run.first = None;
                let elapsed = Duration::from_millis(ms - run.sent);
                self.counts.on_time += u32::from(elapsed.as_millis() as u64 <= self.simulation.target_ms);
                self.state
                    .fleet
                    .finish_prefill(run.choice.key, run.choice.prefill_us);
                self.state
                    .record_first_event(moment(ms), run.choice.key, &run.choice.conditions, elapsed);
                if !self.simulation.detects_slow_engines {
                    self.state.fleet.get_mut(run.choice.key).expect("known").slowdown = 1.0;
                }
            }
        }
        let state = &mut self.state;
        self.running.retain(|run| {
            let is_running = run.ends_at > ms;
            if !is_running {
                state
                    .fleet
                    .finish_request(run.choice.key, 0, run.demand.kv_tokens());
            }
            is_running
        });
    }
}

fn demand(prefix: u64, own: u64) -> Demand {
    let segment = |id, tokens| Segment { id, tokens };
    Demand {
        service: SERVICE.into(),
        prompt_tokens: SHARED_TOKENS + OWN_TOKENS,
        output_tokens: 50,
        copies_prefix: true,
        bytes: 18_000,
        segments: vec![
            segment(1, 2_500),
            segment(prefix, SHARED_TOKENS - 2_500),
            segment(own, OWN_TOKENS),
        ],
        ..Demand::default()
    }
}
