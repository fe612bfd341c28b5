//! Fleets whose document changes while the store is away, over links of their real width.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use radishstair_core::proxy::document::{Document, INLINE_BYTES, Update};
use radishstair_core::proxy::readers::{self, Host, Readers, Source};
use radishstair_core::proxy::refresh::{Failure, ROUND_INTERVAL, Schedule, Status, Step};
use radishstair_core::store::Entry;
use radishstair_core::time::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Bytes a millisecond of a slow host's link, and of the store's.
const SLOW: u64 = 1_250;
const STORE: u64 = 125_000;
/// Bytes of a small answer.
const SMALL: u64 = 200;
/// While the store is away a question is given up after that long.
const GIVEN_UP_MS: u64 = 1_200;
/// The store is away from, and until, in milliseconds.
const AWAY: std::ops::Range<u64> = 10_000..18_000;

/// One host and what it waits for.
struct Node {
    host: Host,
    document: Document,
    plan: Schedule,
    share: Readers,
    /// When its link is free, in milliseconds.
    link_free: u64,
    /// Questions of an earlier life are not answered.
    life: u32,
    /// Whether a question is under way.
    asks: bool,
    /// Whether the listing was answered meanwhile, which ends the next pause.
    woken: bool,
}

#[derive(Clone, Debug)]
enum Event {
    /// Looks whether the document is due.
    Look,
    /// The store's answer has come whole: the document as it was, and when it was asked.
    Answered(Arc<Entry>, u64),
    /// The question was given up.
    Failed(Step),
    /// Asks its peer what is new.
    Round,
    /// The peer's answer has come.
    Told(usize, u64),
    /// The store has answered the listing again.
    Regained,
    /// Starts anew, knowing nothing.
    Restart,
}

struct World {
    rng: ChaCha8Rng,
    now: u64,
    nodes: Vec<Node>,
    hosts: Vec<Host>,
    events: BTreeMap<(u64, u64), (usize, u32, Event)>,
    serial: u64,
    store_free: u64,
    document: Arc<Entry>,
    /// An answer that has not come whole after that long is given up.
    patience: u64,
}

fn at(ms: u64) -> Moment {
    Moment::at_ms(1_000_000 + ms)
}

/// A text that has nothing in common with those of other versions.
fn text(version: u64, bytes: usize) -> Arc<Entry> {
    Arc::new(Entry {
        key: "document".into(),
        version,
        value: version.to_string().repeat(bytes),
    })
}

impl World {
    fn new(seed: u64, count: usize, bytes: usize) -> Self {
        let host = |at: usize| Host {
            address: ([10, 1, (at / 200) as u8, (at % 200 + 1) as u8], 7_340).into(),
            zone: 1 + at as u64 % 3,
            link_mbps: 10,
        };
        let hosts: Vec<Host> = (0..count).map(host).collect();
        let node = |host: &Host| Node {
            host: *host,
            document: Document::default(),
            plan: Schedule::default(),
            share: Readers::default(),
            link_free: 0,
            life: 0,
            asks: false,
            woken: false,
        };
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            nodes: hosts.iter().map(node).collect(),
            hosts,
            events: BTreeMap::new(),
            serial: 0,
            store_free: 0,
            document: text(1, bytes),
            patience: 12_000,
        };
        for node in 0..count {
            let begin = world.rng.random_range(0..600);
            world.plan(begin, node, Event::Look);
            world.plan(begin, node, Event::Round);
        }
        world
    }

    fn plan(&mut self, after: u64, node: usize, event: Event) {
        self.serial += 1;
        let life = self.nodes[node].life;
        self.events
            .insert((self.now + after, self.serial), (node, life, event));
    }

    fn run(&mut self, until: u64) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((now, _), (node, life, event)) = entry.remove_entry();
            self.now = now;
            if life == self.nodes[node].life {
                self.happen(node, event);
            }
        }
        self.now = until;
    }

    fn happen(&mut self, node: usize, event: Event) {
        match event {
            Event::Look => self.look(node),
            Event::Answered(document, asked) => self.answered(node, document, asked),
            Event::Failed(step) => {
                let draw = self.rng.random();
                let state = &mut self.nodes[node];
                state.asks = false;
                let pause = state.plan.failed(step, Failure::Lost, true, draw);
                let pause = if state.woken { 0 } else { pause.as_millis() as u64 };
                self.plan(pause, node, Event::Look);
            }
            Event::Regained => {
                self.nodes[node].woken = self.nodes[node].asks;
                self.plan(0, node, Event::Look);
            }
            Event::Round => self.round(node),
            Event::Told(peer, asked) => self.told(node, peer, asked),
            Event::Restart => {
                let node_state = &mut self.nodes[node];
                node_state.life += 1;
                node_state.document = Document::default();
                node_state.plan = Schedule::default();
                node_state.asks = false;
                self.plan(0, node, Event::Look);
                self.plan(0, node, Event::Round);
            }
        }
    }

    fn look(&mut self, node: usize) {
        let now = at(self.now);
        let state = &mut self.nodes[node];
        if state.asks {
            return;
        }
        let standing = Status {
            is_reader: readers::is_reader(state.host.address, &self.hosts),
            is_behind: state.document.is_behind(),
            age: state.document.age(now),
        };
        let step = state.plan.step(standing);
        state.asks = !matches!(step, Step::Wait(_));
        if let Step::Wait(pause) = step {
            self.plan((pause.as_millis() as u64).max(1), node, Event::Look);
        } else if AWAY.contains(&self.now) {
            self.plan(GIVEN_UP_MS, node, Event::Failed(step));
        } else {
            let same = step == Step::Revalidate && state.document.version() == self.document.version;
            let bytes = match same {
                true => SMALL,
                false => self.document.value.len() as u64,
            };
            let left = self.now.max(self.store_free) + bytes / STORE;
            self.store_free = left;
            let come = left.max(self.nodes[node].link_free) + bytes / SLOW;
            self.nodes[node].link_free = come;
            let took = come + 4 - self.now;
            if took > self.patience {
                self.plan(self.patience, node, Event::Failed(step));
            } else {
                let answer = Event::Answered(self.document.clone(), self.now);
                self.plan(took, node, answer);
            }
        }
    }

    fn answered(&mut self, node: usize, document: Arc<Entry>, asked: u64) {
        let took = Duration::from_millis(self.now - asked);
        let state = &mut self.nodes[node];
        state.asks = false;
        state.document.replace(at(asked), document);
        let pause = state.plan.answered(took);
        self.plan((pause.as_millis() as u64).max(1), node, Event::Look);
    }

    fn round(&mut self, node: usize) {
        let now = at(self.now);
        let hosts = &self.hosts;
        let state = &mut self.nodes[node];
        if let Source::Peer(peer) = state.share.preferred(now, state.host.address, hosts) {
            let peer = hosts.iter().position(|host| host.address == peer);
            let asked = self.now;
            self.plan(5, node, Event::Told(peer.expect("it lives"), asked));
        }
        self.plan(ROUND_INTERVAL.as_millis() as u64, node, Event::Round);
    }

    fn told(&mut self, node: usize, peer: usize, asked: u64) {
        let have = self.nodes[node].document.version();
        let notice = self.nodes[peer].document.notice(at(self.now), have, INLINE_BYTES);
        let Some(notice) = notice else {
            return;
        };
        match self.nodes[node].document.receive(at(asked), notice) {
            Update::Newer(_) => self.plan(0, node, Event::Look),
            Update::Text(..) => unreachable!("the document is large"),
            Update::Current(as_of) => self.nodes[node].document.confirm(as_of),
            Update::Outdated => {}
        }
    }

    /// Hosts that lack the document or a proof younger than `bound`.
    fn stale(&self, bound: Duration) -> usize {
        let fresh = |node: &&Node| {
            let age = node.document.age(at(self.now));
            node.document.version() == self.document.version && age.is_some_and(|age| age < bound)
        };
        self.nodes.iter().filter(|node| !fresh(node)).count()
    }
}

/// Plays an outage of eight seconds in which hosts restart, with a change at its end.
///
/// Two seconds after it every host is to be fresh, beside the time in which the text passes
/// the links: each host's own, and the store's for all.
fn play(mut world: World) -> Result<(), &'static str> {
    let (hosts, bytes) = (world.nodes.len(), world.document.value.len());
    let passing = bytes as u64 / SLOW + (hosts * bytes) as u64 / STORE;
    let fresh = |world: &World, when| match world.stale(Duration::from_secs(3)) {
        0 => Ok(()),
        _ => Err(when),
    };
    world.run(9_000);
    fresh(&world, "before the outage")?;
    for node in 0..hosts {
        if world.rng.random_bool(0.3) {
            let when = world.rng.random_range(0..9_000);
            world.plan(when, node, Event::Restart);
        }
    }
    world.run(AWAY.end - 1);
    world.document = text(2, bytes);
    for node in 0..hosts {
        let when = world.rng.random_range(1..700);
        world.plan(when, node, Event::Regained);
    }
    world.run(AWAY.end + 2_000 + passing);
    fresh(&world, "soon after the outage")?;
    world.run(AWAY.end + 30_000);
    fresh(&world, "long after the outage")
}

/// Guards against an overload of links that outlives the outage which caused it.
#[test]
fn a_fleet_is_fresh_soon_after_the_store_is_back() {
    for seed in 0..100 {
        assert_eq!(play(World::new(seed, 80, 400_000)), Ok(()), "seed {seed}");
    }
}

/// Guards against the same at the size of two years, with the largest document.
#[test]
fn a_large_fleet_is_fresh_soon_after_the_store_is_back() {
    for seed in 0..6 {
        assert_eq!(play(World::new(seed, 300, 1_048_576)), Ok(()), "seed {seed}");
    }
}

/// The checker must see a fleet that throws away what has come after a fixed time.
#[test]
fn a_limit_that_does_not_know_the_size_is_seen() {
    let mut world = World::new(1, 80, 1_048_576);
    world.patience = 700;
    assert_eq!(play(world), Err("before the outage"));
}
