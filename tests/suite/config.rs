//! An accepted configuration is in force everywhere and never reverts; a
//! withdrawn key stops working.

use std::collections::BTreeMap;

use radishstair_core::config::change::{self, Entry, Op, Section};
use radishstair_core::id::Incarnation;
use radishstair_core::kernel::Status;
use radishstair_core::store::{Answer, Call};
use rand::RngExt;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

use crate::schedule::{assert_all_pass, assert_some_fail};
use crate::world::{Broken, Builder, World};

const SECOND: u64 = 1_000;
const CONFIGURATION: &str = r#"{ "settings": { "key_horizon": "20s" }, "customers": [{ "name": "c" }] }"#;

/// What operators did to the log, as they saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum LogOp {
    Proposed,
    /// Version and change id, accepted.
    Added(u64, u64),
    /// Version that somebody else's change id took.
    Conflicted(u64, u64),
    /// No word: it may have been added, or not.
    Unanswered(u64, u64),
}

/// The log of change ids, from version 2 on.
struct LogSpec;

impl Specification for LogSpec {
    type State = Vec<u64>;
    type Operation = LogOp;

    fn init() -> Self::State {
        Vec::new()
    }

    fn apply(op: &LogOp, log: &Self::State) -> (bool, Self::State) {
        let next = log.len() as u64 + 2;
        let at = |version: u64| log.get(version as usize - 2).copied();
        match op {
            LogOp::Proposed => (false, log.clone()),
            LogOp::Added(version, id) if *version == next => (true, [log.as_slice(), &[*id]].concat()),
            LogOp::Added(..) => (false, log.clone()),
            LogOp::Conflicted(version, id) => (at(*version) == Some(*id), log.clone()),
            LogOp::Unanswered(version, id) if *version == next => (true, [log.as_slice(), &[*id]].concat()),
            LogOp::Unanswered(..) => (true, log.clone()),
        }
    }
}

/// An operator's offer that is on its way.
struct Offer {
    entry: Entry,
    id: u64,
    process: usize,
    applied_at: u64,
    answered_at: u64,
    result: Option<Answer>,
}

#[derive(Default)]
struct Operators {
    proposals: Vec<Offer>,
    history: Vec<(usize, Action<LogOp>)>,
    unanswered: Vec<(usize, LogOp)>,
    last_id: u64,
}

fn entry(version: u64, id: u64) -> Entry {
    Entry {
        version,
        id: id.to_string(),
        who: "operator".into(),
        when: 0,
        note: String::new(),
        ops: vec![Op {
            section: Section::Customers,
            name: format!("c-{id}"),
            value: Some(serde_json::json!({ "name": format!("c-{id}") })),
        }],
    }
}

impl Operators {
    /// An operator reads the newest version and offers the next one; by the
    /// time it lands another operator may have been faster.
    fn propose(&mut self, world: &mut World) {
        let log = world
            .store
            .keys()
            .filter(|key| key.starts_with(change::LOG_PREFIX))
            .count() as u64;
        self.last_id += 1;
        let process = self.last_id as usize - 1;
        let lands = world.now + world.rng.random_range(0..400);
        let answers = lands + world.rng.random_range(0..300);
        self.history.push((process, Action::Call(LogOp::Proposed)));
        self.proposals.push(Offer {
            entry: entry(log + 2, self.last_id),
            id: self.last_id,
            process,
            applied_at: lands,
            answered_at: answers,
            result: None,
        });
    }

    fn step(&mut self, world: &mut World) {
        for offer in &mut self.proposals {
            if offer.result.is_none() && world.now >= offer.applied_at {
                let call = Call::Swap {
                    key: change::log_key(offer.entry.version),
                    expect: 0,
                    value: serde_json::to_string(&offer.entry).expect("an entry is JSON"),
                };
                let answer = if world.store_down {
                    Answer::Refused
                } else {
                    world.apply(&call)
                };
                let lost = world.rng.random_bool(0.2);
                offer.result = Some(if lost { Answer::Lost } else { answer });
            }
        }
        let now = world.now;
        let (ready, rest) = std::mem::take(&mut self.proposals)
            .into_iter()
            .partition(|offer| offer.result.is_some() && now >= offer.answered_at);
        self.proposals = rest;
        for offer in ready {
            self.on_answer(world, offer);
        }
    }

    fn on_answer(&mut self, world: &mut World, offer: Offer) {
        let version = offer.entry.version;
        let key = change::log_key(version);
        let stands = || -> Option<u64> {
            let (_, value) = world.store.get(&key)?;
            serde_json::from_str::<Entry>(value).ok()?.id.parse().ok()
        };
        let op = match offer.result {
            Some(Answer::Written(_)) => LogOp::Added(version, offer.id),
            // Settled by reading the entry back, as the command does.
            Some(Answer::Lost | Answer::Conflict(_)) if !world.store_down => match stands() {
                Some(id) if id == offer.id => LogOp::Added(version, id),
                Some(id) => LogOp::Conflicted(version, id),
                None => LogOp::Unanswered(version, offer.id),
            },
            Some(Answer::Refused) | Some(Answer::Found(_)) | None => return self.discard(offer.process),
            Some(_) => LogOp::Unanswered(version, offer.id),
        };
        match op {
            LogOp::Unanswered(..) => self.unanswered.push((offer.process, op)),
            _ => self.history.push((offer.process, Action::Response(op))),
        }
    }

    /// Drops an offer that never reached the store.
    fn discard(&mut self, process: usize) {
        self.history.retain(|(have, _)| *have != process);
    }

    fn is_linearizable(&self) -> bool {
        let mut actions = self.history.clone();
        let open = self
            .unanswered
            .iter()
            .map(|(process, op)| (*process, Action::Response(*op)));
        actions.extend(open);
        actions.is_empty() || WGLChecker::<LogSpec>::is_linearizable(History::from_actions(actions))
    }
}

/// What each incarnation had in force, as it was seen.
#[derive(Default)]
struct InForce {
    highest: BTreeMap<Incarnation, u64>,
}

impl InForce {
    fn check_versions(&mut self, world: &mut World) -> Result<(), String> {
        for at in 0..world.nodes.len() {
            let Some(status) = world.status(at) else {
                continue;
            };
            let highest = self.highest.entry(world.nodes[at].me).or_default();
            if status.version < *highest {
                return Err(format!(
                    "node {at} went back from version {highest} to {}",
                    status.version
                ));
            }
            *highest = status.version;
        }
        Ok(())
    }
}

fn inject_fault(world: &mut World) {
    let at = world.rng.random_range(0..world.nodes.len());
    match world.rng.random_range(0..8) {
        0 | 1 => {
            world.kill(at);
            world.start(at);
        }
        2 => {
            let span = world.rng.random_range(SECOND..15 * SECOND);
            world.pause(at, span);
        }
        3 => world.nodes[at].partition ^= 1,
        4 => world.nodes[at].cut_store = !world.nodes[at].cut_store,
        5 => world.store_down = !world.store_down,
        6 => world.stale = Some(world.store.clone()),
        _ => world.stale = None,
    }
}

fn heal(world: &mut World) {
    world.store_down = false;
    world.stale = None;
    for node in &mut world.nodes {
        node.cut_store = false;
        node.partition = 0;
    }
}

fn newest(world: &World) -> u64 {
    world
        .store
        .keys()
        .filter(|key| key.starts_with(change::LOG_PREFIX))
        .count() as u64
        + 1
}

fn changes_under_failure(seed: u64, broken: Broken) -> Result<(), String> {
    let mut world = Builder::new(seed).broken(broken).build(CONFIGURATION);
    let mut operators = Operators::default();
    let mut in_force = InForce::default();
    for step in 0..600 {
        world.run_until(step * 100);
        operators.step(&mut world);
        in_force.check_versions(&mut world)?;
        if step % 11 == 0 && step < 300 && world.rng.random_bool(0.5) {
            // Two operators at once, as a race is what is tried.
            operators.propose(&mut world);
            operators.propose(&mut world);
        }
        if step % 20 == 0 && step < 450 && world.rng.random_bool(0.5) {
            inject_fault(&mut world);
        }
        if step == 450 {
            heal(&mut world);
        }
    }
    // Frozen hosts have woken by 60 s; 14 s after that all have the last change.
    world.run_until(74 * SECOND);
    let newest = newest(&world);
    for at in 0..world.nodes.len() {
        let version = world.status(at).map(|status| status.version);
        if version != Some(newest) {
            return Err(format!("node {at} has version {version:?} of {newest}"));
        }
    }
    operators.step(&mut world);
    match operators.is_linearizable() {
        true => Ok(()),
        false => Err("the change log is not linearizable".into()),
    }
}

/// Operators race, answers to their changes are lost, hosts restart, freeze
/// and are cut off, the store is down or reads old. No host's version goes
/// back, the log is linearizable, and 14 s after the last frozen host
/// has woken every host has the last change in force.
#[test]
fn configuration_never_reverts() {
    assert_all_pass(200, |seed| changes_under_failure(seed, Broken::None));
}

/// The checker must see a change that another operator's overwrote.
#[test]
fn broken_log_without_compare_and_swap() {
    assert_some_fail(40, |seed| changes_under_failure(seed, Broken::Swap));
}

/// Adds a change from outside.
fn append_change(world: &mut World) -> u64 {
    let version = newest(world) + 1;
    let text = serde_json::to_string(&entry(version, version)).expect("an entry is JSON");
    world.put(&change::log_key(version), &text);
    version
}

/// A key was withdrawn; then the store gives old reads and a host restarts
/// with empty memory. `serves` tells when it takes callers.
fn start_on_stale_reads(seed: u64, serves: fn(&Status) -> bool) -> Result<(), String> {
    let mut world = Builder::new(seed).build(CONFIGURATION);
    world.run_until(5 * SECOND);
    let old = world.store.clone();
    let newest = append_change(&mut world);
    world.run_until(12 * SECOND);
    world.stale = Some(old);
    world.kill(0);
    world.start(0);
    for step in 0..200 {
        world.run_until(12 * SECOND + step * 50);
        let status = world.status(0).ok_or("node 0 is up")?;
        if serves(&status) && status.version < newest {
            let (version, now) = (status.version, world.now);
            return Err(format!("served by version {version} at {now} ms"));
        }
    }
    match world.status(0).is_some_and(|status| serves(&status)) {
        true => Ok(()),
        false => Err("not served ten seconds after the start".into()),
    }
}

/// The host's callers must not be served by the old configuration that the
/// store gives it, by which a withdrawn key works: its peers know better.
#[test]
fn a_start_on_stale_reads_waits_for_peers() {
    assert_all_pass(200, |seed| start_on_stale_reads(seed, |status| status.trusted));
}

/// The checker must see a host that serves as soon as it has a version.
#[test]
fn broken_start_without_waiting() {
    assert_some_fail(40, |seed| start_on_stale_reads(seed, |status| status.version > 0));
}

/// A zone is cut off from the store but not from its peers: a change reaches
/// it through them within seconds.
#[test]
fn news_pass_through_peers() {
    assert_all_pass(200, |seed| {
        let mut world = Builder::new(seed).build(CONFIGURATION);
        world.run_until(6 * SECOND);
        for at in 0..2 {
            world.nodes[at].cut_store = true;
        }
        let version = append_change(&mut world);
        world.run_until(14 * SECOND);
        for at in 0..2 {
            let status = world.status(at).ok_or("up")?;
            if status.version != version || !status.trusted {
                return Err(format!("node {at}: {status:?}"));
            }
        }
        Ok(())
    });
}

/// A host is cut off from everything. It goes on serving by the keys that it
/// knows for the horizon of the settings and then refuses, as a key may have
/// been withdrawn that it cannot know of; it serves again when the cut heals.
#[test]
fn a_host_cut_off_stops_at_the_horizon() {
    let mut world = Builder::new(3).build(CONFIGURATION);
    world.run_until(6 * SECOND);
    world.nodes[0].cut_store = true;
    world.nodes[0].partition = 1;
    world.run_until(20 * SECOND);
    assert!(world.status(0).expect("up").trusted, "serves within the horizon");
    world.run_until(45 * SECOND);
    assert!(!world.status(0).expect("up").trusted, "refuses past the horizon");
    world.nodes[0].cut_store = false;
    world.nodes[0].partition = 0;
    world.run_until(60 * SECOND);
    assert!(world.status(0).expect("up").trusted, "serves again");
}

/// Each waiting watch costs the platform a read. Every host watches for a
/// moment at its start, when it does not know its peers; after that only a few
/// a zone do, however many hosts there are.
#[test]
fn only_a_few_hosts_a_zone_watch() {
    let mut world = Builder::new(5).zones(&[("a", 9), ("b", 9)]).build(CONFIGURATION);
    world.run_until(15 * SECOND);
    append_change(&mut world);
    world.run_until(20 * SECOND);
    world.watching.clear();
    append_change(&mut world);
    world.run_until(40 * SECOND);
    assert!(
        world.watching.len() <= 4,
        "{} of 18 hosts watch",
        world.watching.len()
    );
}
