//! Engines in memory: each reads prompts one after the other and then writes, at speeds that
//! the router does not know.
//!
//! One host places what arrives, learns from the first events, and sees what is late.

use std::time::Duration;

use radishstair_core::proxy::State;
use radishstair_core::proxy::fleet::{Key, Listed};
use radishstair_core::proxy::gossip::Flow;
use radishstair_core::proxy::placement::{Choice, Demand, Segment};
use radishstair_core::time::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fixtures::{bounds, runner, table};

/// Service of the engines.
pub const SERVICE: &str = "engines";
/// Time between the reads of the list.
const LIST_EVERY_MS: u64 = 600;
/// Time that a request goes on after its first event.
const WRITES_MS: u64 = 800;
/// Time until the first event besides reading.
const FIRST_MS: f64 = 40.0;
/// Tokens of a prompt that belong to the request alone.
const OWN: u64 = 2_900;
/// Tokens that requests about a subject share.
const SHARED: u64 = 6_300;

/// What is played.
#[derive(Clone)]
pub struct Play {
    /// Seed of all draws.
    pub seed: u64,
    /// Zones of the engines, one entry each; the host is in the first zone.
    pub zones: Vec<&'static str>,
    /// Milliseconds in which each engine reads a thousand tokens.
    pub reads_in_ms: Vec<f64>,
    /// Requests a second at a moment, in milliseconds.
    pub rate: fn(u64) -> f64,
    /// Subject of a request, drawn from a number.
    pub subject: fn(u64) -> u64,
    /// Whether the host tells slow engines from others.
    pub judges_engines: bool,
    /// Engines that are listed at a moment.
    pub listed: fn(u64, usize) -> bool,
    /// Length in milliseconds.
    pub length_ms: u64,
    /// Time within which a first event is on time.
    pub target_ms: u64,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            seed: 1,
            zones: vec!["zone-a"; 6],
            reads_in_ms: vec![9.0; 12],
            rate: |_| 20.0,
            subject: |draw| 100 + draw % 60,
            judges_engines: true,
            listed: |_, _| true,
            length_ms: 30_000,
            target_ms: 400,
        }
    }
}

/// What came of a play.
#[derive(Debug)]
pub struct Outcome {
    /// Requests that were placed.
    pub asked: u32,
    /// First events that came in time.
    pub timely: u32,
    /// Requests at each engine.
    pub at: Vec<u32>,
    /// The host at the end.
    pub state: State,
    /// Highest flow that was told.
    pub flow: Flow,
}

impl Outcome {
    /// Part of the requests that were in time.
    pub fn part_timely(&self) -> f64 {
        f64::from(self.timely) / f64::from(self.asked.max(1))
    }

    /// Part of the requests at an engine.
    pub fn part_at(&self, engine: usize) -> f64 {
        f64::from(self.at[engine]) / f64::from(self.asked.max(1))
    }
}

/// A request on its engine.
struct Running {
    choice: Choice,
    demand: Demand,
    sent: u64,
    first: Option<u64>,
    ends: u64,
}

/// An engine: when it has read all that it was sent, and the subjects in its memory.
#[derive(Default)]
struct Engine {
    free: f64,
    kept: Vec<u64>,
}

struct World {
    play: Play,
    rng: ChaCha8Rng,
    state: State,
    engines: Vec<Engine>,
    keys: Vec<Option<Key>>,
    running: Vec<Running>,
    seen: Seen,
}

/// What was counted so far.
#[derive(Default)]
struct Seen {
    asked: u32,
    timely: u32,
    at: Vec<u32>,
}

impl Play {
    /// Plays it.
    pub fn run(self) -> Outcome {
        let mut state = State::new(bounds(), self.zones[0]);
        state.configure(table(1, Vec::new()));
        let count = self.zones.len();
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(self.seed),
            state,
            engines: (0..count).map(|_| Engine::default()).collect(),
            keys: vec![None; count],
            running: Vec::new(),
            seen: Seen {
                at: vec![0; count],
                ..Seen::default()
            },
            play: self,
        };
        let mut highest = world.state.flow(Moment::at_ms(0), SERVICE);
        for ms in 0..world.play.length_ms {
            world.step(ms);
            let flow = world.state.flow(moment(ms), SERVICE);
            if flow.rate > highest.rate {
                highest = flow;
            }
        }
        Outcome {
            asked: world.seen.asked,
            timely: world.seen.timely,
            at: world.seen.at,
            state: world.state,
            flow: highest,
        }
    }
}

fn moment(ms: u64) -> Moment {
    Moment::at_ms(100_000 + ms)
}

impl World {
    fn step(&mut self, ms: u64) {
        if ms.is_multiple_of(LIST_EVERY_MS) {
            self.list(ms);
        }
        self.finish(ms);
        let arrivals = (self.play.rate)(ms) / 1e3;
        if self.rng.random_bool(arrivals.min(1.0)) {
            self.arrive(ms);
        }
    }

    fn list(&mut self, ms: u64) {
        let zones = self.play.zones.clone();
        let here = |at: &usize| (self.play.listed)(ms, *at);
        let items: Vec<Listed> = (0..zones.len())
            .filter(here)
            .map(|at| runner(&format!("e{at}"), SERVICE, zones[at]))
            .collect();
        self.state.update_runners(moment(ms), moment(ms), items);
        for at in 0..zones.len() {
            self.keys[at] = self.state.fleet.find(&format!("e{at}"));
        }
    }

    fn arrive(&mut self, ms: u64) {
        let draw = self.rng.random();
        let demand = demand((self.play.subject)(draw), self.rng.random());
        let Some(choice) = self.state.place(moment(ms), &demand, &[]) else {
            self.seen.asked += 1;
            return;
        };
        let at = self.keys.iter().position(|key| *key == Some(choice.key));
        let at = at.expect("a known engine");
        let engine = &mut self.engines[at];
        let subject = demand.segments[1].id;
        // What another engine has read is copied in no time.
        let kept = engine.kept.contains(&subject) || choice.source.is_some();
        let tokens = if kept { OWN } else { OWN + SHARED };
        engine.kept.push(subject);
        let reading = tokens as f64 / 1e3 * self.play.reads_in_ms[at];
        engine.free = engine.free.max(ms as f64) + reading;
        let first = (engine.free + FIRST_MS) as u64;
        self.seen.asked += 1;
        self.seen.at[at] += 1;
        self.running.push(Running {
            choice,
            demand,
            sent: ms,
            first: Some(first),
            ends: first + WRITES_MS,
        });
    }

    /// Takes what the engines have done by now.
    fn finish(&mut self, ms: u64) {
        for run in &mut self.running {
            if run.first.is_some_and(|first| first <= ms) {
                run.first = None;
                let took = Duration::from_millis(ms - run.sent);
                self.seen.timely += u32::from(took.as_millis() as u64 <= self.play.target_ms);
                self.state
                    .fleet
                    .finish_prefill(run.choice.key, run.choice.prefill_us);
                self.state
                    .record_first_event(run.choice.key, &run.choice.conditions, took);
                if !self.play.judges_engines {
                    self.state.fleet.get_mut(run.choice.key).expect("known").slowdown = 1.0;
                }
            }
        }
        let state = &mut self.state;
        self.running.retain(|run| {
            let on = run.ends > ms;
            if !on {
                state
                    .fleet
                    .finish_request(run.choice.key, 0, run.demand.kv_tokens());
            }
            on
        });
    }
}

fn demand(subject: u64, own: u64) -> Demand {
    let part = |id, tokens| Segment { id, tokens };
    Demand {
        service: SERVICE.into(),
        prompt: SHARED + OWN,
        output: 50,
        copies_prefix: true,
        bytes: 18_000,
        segments: vec![part(1, 2_500), part(subject, SHARED - 2_500), part(own, OWN)],
        ..Demand::default()
    }
}
