//! Tests of the replica of the store's keys, filled from listings or from peers.

use std::collections::BTreeMap;
use std::time::Duration;

use radishstair_core::proxy::mirror::{Changes, Mirror, Page};
use radishstair_core::store::Entry;
use radishstair_core::time::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of keys that are written and removed.
const KEYS: u32 = 24;
/// Number of keys in a page.
const PAGE_SIZE: usize = 4;

/// A store that keeps all former states.
struct Store {
    rng: ChaCha8Rng,
    states: Vec<BTreeMap<String, u64>>,
}

impl Store {
    fn new(seed: u64) -> Self {
        let mut store = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            states: vec![BTreeMap::new()],
        };
        store.change(40);
        store
    }

    fn revision(&self) -> u64 {
        self.states.len() as u64 - 1
    }

    fn change(&mut self, times: u32) {
        for _ in 0..times {
            let key = format!("k{:02}", self.rng.random_range(0..KEYS));
            let mut state = self.states.last().expect("there is one").clone();
            let revision = self.states.len() as u64;
            match self.rng.random_bool(0.4) {
                true => state.remove(&key),
                false => state.insert(key, revision),
            };
            self.states.push(state);
        }
    }

    /// Lists the store in pages, with changes between them.
    fn list(&mut self, sent: Moment, mirror: &mut Mirror) {
        let mut after = String::new();
        loop {
            let state = self.states.last().expect("there is one");
            let rest: Vec<(&String, &u64)> = state.iter().filter(|(key, _)| **key > after).collect();
            let more = rest.len() > PAGE_SIZE;
            let entries: Vec<Entry> = rest.into_iter().take(PAGE_SIZE).map(entry).collect();
            let last = entries.last().map(|entry| entry.key.clone());
            mirror.add_page(Page {
                after: after.clone(),
                entries,
                has_more: more,
                revision: self.revision(),
                sent,
            });
            let changes = self.rng.random_range(0..4);
            self.change(changes);
            match last.filter(|_| more) {
                Some(last) => after = last,
                None => return,
            }
        }
    }

    /// Whether each key of a replica is in a state that the store had at or after the replica's
    /// revision.
    fn is_consistent(&self, mirror: &Mirror) -> bool {
        let revision = mirror.revision();
        if revision > self.revision() {
            return false;
        }
        (0..KEYS).all(|key| {
            let key = format!("k{key:02}");
            let have = mirror.find(&key).map(|entry| entry.version);
            let mut later = self.states[revision as usize..].iter();
            later.any(|state| state.get(&key).copied() == have)
        })
    }
}

fn entry((key, version): (&String, &u64)) -> Entry {
    Entry {
        key: key.clone(),
        version: *version,
        value: version.to_string(),
    }
}

fn at(ms: u64) -> Moment {
    Moment::at_ms(1_000_000 + ms)
}

fn answer(hosts: &[Mirror], sender: usize, after: u64) -> Changes {
    hosts[sender].changes(at(60), after).expect("it has listed")
}

/// Simulates a reader and two hosts that ask it or each other, after each has listed the store
/// once. `corrupt` alters answers on their way.
fn simulate(seed: u64, corrupt: impl Fn(&mut Changes)) -> Result<(), String> {
    let mut store = Store::new(seed);
    let mut hosts = [Mirror::default(), Mirror::default(), Mirror::default()];
    for (index, host) in hosts.iter_mut().enumerate() {
        store.list(at(index as u64), host);
    }
    for step in 10..60 {
        let changes = store.rng.random_range(0..6);
        store.change(changes);
        let (asker, sender) = (store.rng.random_range(0..3), store.rng.random_range(0..3));
        if asker == 0 {
            store.list(at(step), &mut hosts[0]);
        } else if asker != sender {
            let mut answered = answer(&hosts, sender, hosts[asker].revision());
            corrupt(&mut answered);
            if !hosts[asker].apply(at(step), answered) {
                let answered = answer(&hosts, sender, 0);
                assert!(hosts[asker].apply(at(step), answered), "all keys always suffice");
            }
        }
        for (index, host) in hosts.iter().enumerate() {
            if !store.is_consistent(host) {
                return Err(format!("seed {seed}, step {step}: host {index}"));
            }
        }
    }
    Ok(())
}

/// Guards against a host that asks its peers keeping a removed key, such as that of a runner that
/// has left and would get requests, or dropping a key that was written again. Pages of a listing
/// are seconds apart, and each host lists the store at other times; the changes after a revision
/// must be complete and must not bring back older entries.
#[test]
fn hosts_that_ask_know_what_hosts_that_read_know() {
    for seed in 0..400 {
        simulate(seed, |_| {}).expect("replicas are consistent");
    }
}

/// If part of an answer is missing, the checksum detects it and the host requests all keys.
#[test]
fn an_answer_that_lacks_something_is_not_taken() {
    for seed in 0..40 {
        simulate(seed, |changes| changes.removed.clear()).expect("replicas are consistent");
        simulate(seed, |changes| drop(changes.items.pop())).expect("replicas are consistent");
    }
}

/// The checker must detect a host that claims a newer revision than it has.
#[test]
fn a_host_that_knows_too_little_is_seen() {
    let caught = (0..40).filter(|seed| simulate(*seed, |changes| changes.revision += 20).is_err());
    assert!(caught.count() > 0);
}

/// Guards against an answer that waits in a frozen process while a key is withdrawn. The answer
/// is only valid as of the request minus the age in the answer.
#[test]
fn a_late_answer_proves_only_what_was_true_before_the_question() {
    let mut store = Store::new(1);
    let (mut reader, mut asker) = (Mirror::default(), Mirror::default());
    store.list(at(0), &mut reader);
    store.list(at(1), &mut asker);
    store.list(at(4_000), &mut reader);
    let answered = reader
        .changes(at(4_700), asker.revision())
        .expect("it has listed");
    asker.apply(at(4_500), answered);
    let as_of = asker.as_of().expect("it has listed");
    assert_eq!(at(4_500).since(as_of), Duration::from_millis(700));
}

/// A host that has just started has not seen earlier removals. It sends all keys rather than omit
/// a removal.
#[test]
fn a_host_that_has_just_started_tells_everything() {
    let mut store = Store::new(2);
    let (mut early, mut late) = (Mirror::default(), Mirror::default());
    assert!(early.changes(at(0), 1).is_none(), "it has not listed yet");
    store.list(at(0), &mut early);
    store.change(30);
    store.list(at(1), &mut late);
    let is_full = |after| late.changes(at(2), after).expect("it has listed").full;
    assert!(is_full(early.revision()) && is_full(0));
    assert!(!early.changes(at(2), late.revision()).expect("it has listed").full);
}
