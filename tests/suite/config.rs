//! An accepted configuration takes effect on all hosts and never reverts; a
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

const SECOND_MS: u64 = 1_000;
const CONFIGURATION: &str = r#"{ "settings": { "key_horizon": "20s" }, "customers": [{ "name": "c" }] }"#;

/// An operation on the change log, with the result that the operator saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum LogOp {
    Proposed,
    /// Version and change id; the change was accepted.
    Added(u64, u64),
    /// Version, and the change id of another operator that has it.
    Conflicted(u64, u64),
    /// Version and change id; without an answer, it may have been added or not.
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
        let id_at = |version: u64| log.get(version as usize - 2).copied();
        match op {
            LogOp::Proposed => (false, log.clone()),
            LogOp::Added(version, id) if *version == next => (true, [log.as_slice(), &[*id]].concat()),
            LogOp::Added(..) => (false, log.clone()),
            LogOp::Conflicted(version, id) => (id_at(*version) == Some(*id), log.clone()),
            LogOp::Unanswered(version, id) if *version == next => (true, [log.as_slice(), &[*id]].concat()),
            LogOp::Unanswered(..) => (true, log.clone()),
        }
    }
}

/// A change that an operator has proposed and that is in flight.
struct Proposal {
    entry: Entry,
    id: u64,
    process: usize,
    applied_at: u64,
    answered_at: u64,
    result: Option<Answer>,
}

#[derive(Default)]
struct Operators {
    proposals: Vec<Proposal>,
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
    /// An operator reads the newest version and proposes the next one. By the time the store
    /// applies it, another operator may have been faster.
    fn propose(&mut self, world: &mut World) {
        let log_len = world
            .store
            .keys()
            .filter(|key| key.starts_with(change::LOG_PREFIX))
            .count() as u64;
        self.last_id += 1;
        let process = self.last_id as usize - 1;
        let applied_at = world.now + world.rng.random_range(0..400);
        let answered_at = applied_at + world.rng.random_range(0..300);
        self.history.push((process, Action::Call(LogOp::Proposed)));
        self.proposals.push(Proposal {
            entry: entry(log_len + 2, self.last_id),
            id: self.last_id,
            process,
            applied_at,
            answered_at,
            result: None,
        });
    }

    fn step(&mut self, world: &mut World) {
        for proposal in &mut self.proposals {
            if proposal.result.is_none() && world.now >= proposal.applied_at {
                let call = Call::CompareAndSwap {
                    key: change::log_key(proposal.entry.version),
                    expect: 0,
                    value: serde_json::to_string(&proposal.entry).expect("an entry is JSON"),
                };
                let answer = if world.store_down {
                    Answer::Refused
                } else {
                    world.apply(&call)
                };
                let lost = world.rng.random_bool(0.2);
                proposal.result = Some(if lost { Answer::Lost } else { answer });
            }
        }
        let now = world.now;
        let (ready, rest) = std::mem::take(&mut self.proposals)
            .into_iter()
            .partition(|proposal| proposal.result.is_some() && now >= proposal.answered_at);
        self.proposals = rest;
        for proposal in ready {
            self.on_answer(world, proposal);
        }
    }

    fn on_answer(&mut self, world: &mut World, proposal: Proposal) {
        let version = proposal.entry.version;
        let key = change::log_key(version);
        let stored_id = || -> Option<u64> {
            let (_, value) = world.store.get(&key)?;
            serde_json::from_str::<Entry>(value).ok()?.id.parse().ok()
        };
        let op = match proposal.result {
            Some(Answer::Written(_)) => LogOp::Added(version, proposal.id),
            // Decided by reading the entry back, as the command does.
            Some(Answer::Lost | Answer::Conflict(_)) if !world.store_down => match stored_id() {
                Some(id) if id == proposal.id => LogOp::Added(version, id),
                Some(id) => LogOp::Conflicted(version, id),
                None => LogOp::Unanswered(version, proposal.id),
            },
            Some(Answer::Refused) | Some(Answer::Found(_)) | None => return self.discard(proposal.process),
            Some(_) => LogOp::Unanswered(version, proposal.id),
        };
        match op {
            LogOp::Unanswered(..) => self.unanswered.push((proposal.process, op)),
            _ => self.history.push((proposal.process, Action::Response(op))),
        }
    }

    /// Drops a proposal that never reached the store.
    fn discard(&mut self, process: usize) {
        self.history.retain(|(other, _)| *other != process);
    }

    fn is_linearizable(&self) -> bool {
        let mut actions = self.history.clone();
        let unanswered = self
            .unanswered
            .iter()
            .map(|(process, op)| (*process, Action::Response(*op)));
        actions.extend(unanswered);
        actions.is_empty() || WGLChecker::<LogSpec>::is_linearizable(History::from_actions(actions))
    }
}

/// The highest version observed in force at each incarnation.
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
            let highest = self.highest.entry(world.nodes[at].incarnation).or_default();
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
            let duration_ms = world.rng.random_range(SECOND_MS..15 * SECOND_MS);
            world.pause(at, duration_ms);
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
            // Two operators at the same time, to provoke a race.
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
    // Frozen hosts have resumed by 60 s; 14 s after that all hosts have the last change.
    world.run_until(74 * SECOND_MS);
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

/// Operators race, answers to their changes are lost, hosts restart, freeze and are partitioned,
/// the store is down or returns stale reads. No host's version goes back, the log is linearizable,
/// and 14 s after the last frozen host has resumed every host has the last change in force.
#[test]
fn configuration_never_reverts() {
    assert_all_pass(200, |seed| changes_under_failure(seed, Broken::None));
}

/// The check must detect a change that another operator's change overwrote.
#[test]
fn broken_log_without_compare_and_swap() {
    assert_some_fail(40, |seed| changes_under_failure(seed, Broken::Swap));
}

/// Appends a change to the log directly.
fn append_change(world: &mut World) -> u64 {
    let version = newest(world) + 1;
    let text = serde_json::to_string(&entry(version, version)).expect("an entry is JSON");
    world.put(&change::log_key(version), &text);
    version
}

/// A key is withdrawn; then the store returns stale reads and a host restarts with empty memory.
/// `serves` is the condition under which the host is taken to serve callers.
fn start_on_stale_reads(seed: u64, serves: fn(&Status) -> bool) -> Result<(), String> {
    let mut world = Builder::new(seed).build(CONFIGURATION);
    world.run_until(5 * SECOND_MS);
    let old = world.store.clone();
    let newest = append_change(&mut world);
    world.run_until(12 * SECOND_MS);
    world.stale = Some(old);
    world.kill(0);
    world.start(0);
    for step in 0..200 {
        world.run_until(12 * SECOND_MS + step * 50);
        let status = world.status(0).ok_or("node 0 is down")?;
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

/// The host must not serve callers by the stale configuration from the store, in which a withdrawn
/// key is valid, while its peers have a newer one.
#[test]
fn a_start_on_stale_reads_waits_for_peers() {
    assert_all_pass(200, |seed| start_on_stale_reads(seed, |status| status.trusted));
}

/// The check must detect a host that serves as soon as it has any version.
#[test]
fn broken_start_without_waiting() {
    assert_some_fail(40, |seed| start_on_stale_reads(seed, |status| status.version > 0));
}

/// A zone that is cut off from the store but not from its peers gets a change from them within
/// seconds.
#[test]
fn news_pass_through_peers() {
    assert_all_pass(200, |seed| {
        let mut world = Builder::new(seed).build(CONFIGURATION);
        world.run_until(6 * SECOND_MS);
        for at in 0..2 {
            world.nodes[at].cut_store = true;
        }
        let version = append_change(&mut world);
        world.run_until(14 * SECOND_MS);
        for at in 0..2 {
            let status = world.status(at).ok_or("node is down")?;
            if status.version != version || !status.trusted {
                return Err(format!("node {at}: {status:?}"));
            }
        }
        Ok(())
    });
}

/// A host that is cut off from the store and all peers serves with its known keys for the key
/// horizon and then refuses, as a key may have been withdrawn in the meantime. It serves again
/// when the partition ends.
#[test]
fn a_host_cut_off_stops_at_the_horizon() {
    let mut world = Builder::new(3).build(CONFIGURATION);
    world.run_until(6 * SECOND_MS);
    world.nodes[0].cut_store = true;
    world.nodes[0].partition = 1;
    world.run_until(20 * SECOND_MS);
    assert!(
        world.status(0).expect("node 0 runs").trusted,
        "serves within the horizon"
    );
    world.run_until(45 * SECOND_MS);
    assert!(
        !world.status(0).expect("node 0 runs").trusted,
        "refuses after the horizon"
    );
    world.nodes[0].cut_store = false;
    world.nodes[0].partition = 0;
    world.run_until(60 * SECOND_MS);
    assert!(world.status(0).expect("node 0 runs").trusted, "serves again");
}

/// Each pending watch costs the platform a read. Every host watches for a short time after its
/// start, when it does not know its peers; after that only a few hosts per zone do, regardless of
/// the number of hosts.
#[test]
fn only_a_few_hosts_a_zone_watch() {
    let mut world = Builder::new(5).zones(&[("a", 9), ("b", 9)]).build(CONFIGURATION);
    world.run_until(15 * SECOND_MS);
    append_change(&mut world);
    world.run_until(20 * SECOND_MS);
    world.watching.clear();
    append_change(&mut world);
    world.run_until(40 * SECOND_MS);
    assert!(
        world.watching.len() <= 4,
        "{} of 18 hosts watch",
        world.watching.len()
    );
}
