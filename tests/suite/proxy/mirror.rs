//! What hosts know of the store, read in pages or told by a peer.

use std::collections::BTreeMap;
use std::time::Duration;

use radishstair_core::proxy::mirror::{Changes, Mirror, Page};
use radishstair_core::store::Entry;
use radishstair_core::time::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Keys that are written and removed.
const KEYS: u32 = 24;
/// Keys of a page.
const PAGE: usize = 4;

/// A store whose every former state can be looked up.
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

    /// A listing in pages, with changes between them.
    fn list(&mut self, sent: Moment, mirror: &mut Mirror) {
        let mut after = String::new();
        loop {
            let state = self.states.last().expect("there is one");
            let rest: Vec<(&String, &u64)> = state.iter().filter(|(key, _)| **key > after).collect();
            let more = rest.len() > PAGE;
            let entries: Vec<Entry> = rest.into_iter().take(PAGE).map(entry).collect();
            let last = entries.last().map(|entry| entry.key.clone());
            mirror.add_page(Page {
                after: after.clone(),
                entries,
                more,
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

    /// Whether a host knows everything up to its revision, and nothing that never
    /// was.
    fn is_known(&self, mirror: &Mirror) -> bool {
        let upto = mirror.revision();
        if upto > self.revision() {
            return false;
        }
        (0..KEYS).all(|key| {
            let key = format!("k{key:02}");
            let have = mirror.find(&key).map(|entry| entry.version);
            let mut later = self.states[upto as usize..].iter();
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

fn tell(hosts: &[Mirror], teller: usize, after: u64) -> Changes {
    hosts[teller].changes(at(60), after).expect("it has listed")
}

/// A reader and two hosts that ask it or each other, all having listed the store
/// once; `spoil` is what becomes of answers on their way.
fn play(seed: u64, spoil: impl Fn(&mut Changes)) -> Result<(), String> {
    let mut store = Store::new(seed);
    let mut hosts = [Mirror::default(), Mirror::default(), Mirror::default()];
    for (at_host, host) in hosts.iter_mut().enumerate() {
        store.list(at(at_host as u64), host);
    }
    for step in 10..60 {
        let changes = store.rng.random_range(0..6);
        store.change(changes);
        let (asker, teller) = (store.rng.random_range(0..3), store.rng.random_range(0..3));
        if asker == 0 {
            store.list(at(step), &mut hosts[0]);
        } else if asker != teller {
            let mut told = tell(&hosts, teller, hosts[asker].revision());
            spoil(&mut told);
            if !hosts[asker].apply(at(step), told) {
                let told = tell(&hosts, teller, 0);
                assert!(hosts[asker].apply(at(step), told), "everything is enough");
            }
        }
        for (at_host, host) in hosts.iter().enumerate() {
            if !store.is_known(host) {
                return Err(format!("seed {seed}, step {step}: host {at_host}"));
            }
        }
    }
    Ok(())
}

/// A runner leaves, and a host that asks a peer goes on sending to it; or a key
/// that was written anew is dropped for its former self. Pages of a listing are
/// seconds apart and each host has seen the store at other moments; whoever tells
/// what came after a revision must leave nothing out and take nothing back.
#[test]
fn hosts_that_ask_know_what_hosts_that_read_know() {
    for seed in 0..400 {
        play(seed, |_| {}).expect("all is known");
    }
}

/// Part of an answer is left out on its way. The checksum shows it, and the host
/// asks for everything.
#[test]
fn an_answer_that_lacks_something_is_not_taken() {
    for seed in 0..40 {
        play(seed, |changes| changes.removed.clear()).expect("all is known");
        play(seed, |changes| drop(changes.items.pop())).expect("all is known");
    }
}

/// The checker must see a host that believes to know more than it does.
#[test]
fn a_host_that_knows_too_little_is_seen() {
    let caught = (0..40).filter(|seed| play(*seed, |changes| changes.revision += 20).is_err());
    assert!(caught.count() > 0);
}

/// A peer answers, and its answer lies for seconds in a process that was frozen. A
/// key was withdrawn meanwhile. The answer proves only what was so before the
/// question, less the age that the peer told.
#[test]
fn a_late_answer_proves_only_what_was_true_before_the_question() {
    let mut store = Store::new(1);
    let (mut reader, mut asker) = (Mirror::default(), Mirror::default());
    store.list(at(0), &mut reader);
    store.list(at(1), &mut asker);
    store.list(at(4_000), &mut reader);
    let told = reader.changes(at(4_700), asker.revision()).expect("it can tell");
    asker.apply(at(4_500), told);
    let as_of = asker.as_of().expect("it has listed");
    assert_eq!(at(4_500).since(as_of), Duration::from_millis(700));
}

/// A host that has just started never saw what was removed before. It tells all
/// keys rather than leave a removal out.
#[test]
fn a_host_that_has_just_started_tells_everything() {
    let mut store = Store::new(2);
    let (mut early, mut late) = (Mirror::default(), Mirror::default());
    assert!(early.changes(at(0), 1).is_none(), "it knows nothing yet");
    store.list(at(0), &mut early);
    store.change(30);
    store.list(at(1), &mut late);
    let whole = |after| late.changes(at(2), after).expect("it has listed").full;
    assert!(whole(early.revision()) && whole(0));
    assert!(!early.changes(at(2), late.revision()).expect("it has listed").full);
}
