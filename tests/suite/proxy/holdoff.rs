//! Tests of runners that ask a host to wait, in all orders of what may come after it.

use std::time::Duration;

use quickcheck::{TestResult, quickcheck};
use radishstair_core::id::{Incarnation, digest};
use radishstair_core::proxy::State;
use radishstair_core::proxy::fleet::holdoff::{Change, Notice, Wait};
use radishstair_core::proxy::fleet::notice::{Answer, Notices};
use radishstair_core::proxy::fleet::rate;
use radishstair_core::proxy::fleet::{AttemptResult, Clearance, Key, Listed, Way};
use radishstair_core::proxy::placement::Demand;
use radishstair_core::time::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fixtures::{bounds, runner};

const SERVICE: &str = "ledger";
const WAYS: [Way; 2] = [Way::Direct, Way::Relayed];
/// Time after the end of all pauses and of all spreading.
const LONG_MS: u64 = 20_000;

fn at(ms: u64) -> Moment {
    Moment::at_ms(100_000 + ms)
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn asking(ms: u64) -> Notices {
    Notices {
        hold_off: Notice::For(Wait::new(millis(ms))),
        ..Notices::default()
    }
}

fn entry(started_ms: u64) -> Listed {
    Listed {
        started_ms,
        ..runner("r0", SERVICE, "zone-a")
    }
}

/// One host and one runner, and until when the runner wants nothing from the host.
struct World {
    host: State,
    ms: u64,
    started_ms: u64,
    is_listed: bool,
    until: Option<u64>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            host: State::new(bounds(), "zone-a"),
            ms: 0,
            started_ms: 1,
            is_listed: true,
            until: None,
        };
        world.list();
        world
    }

    fn now(&self) -> Moment {
        at(self.ms)
    }

    fn key(&self) -> Key {
        self.host.fleet.find("r0").expect("listed before")
    }

    fn list(&mut self) {
        let entries = if self.is_listed {
            vec![entry(self.started_ms)]
        } else {
            Vec::new()
        };
        self.host.fleet.update(self.now(), entries);
    }

    fn answer(&mut self, sent_ms: u64, answer: Answer, notices: &Notices) {
        let (now, key) = (self.now(), self.key());
        self.host
            .fleet
            .record_notices(now, key, at(sent_ms), answer, notices);
    }

    /// Lets one event happen; the second number tells how much of it.
    fn step(&mut self, kind: u8, amount: u16) {
        self.ms += u64::from(amount % 400);
        let (now, key) = (self.now(), self.key());
        let amount = u64::from(amount);
        match kind % 10 {
            0 => {
                self.answer(self.ms, Answer::Rejected, &asking(amount % 4_000));
                self.host.fleet.record_attempt(now, key, AttemptResult::Full);
                self.until = self
                    .until
                    .max((amount % 4_000 > 0).then_some(self.ms + amount % 4_000));
            }
            1 => {
                self.answer(self.ms, Answer::Rejected, &Notices::default());
                self.host.fleet.record_attempt(now, key, AttemptResult::Full);
            }
            2 => {
                let sent_ms = self.ms.saturating_sub(amount % 3_000);
                self.answer(sent_ms, Answer::Other, &Notices::default());
                self.host.fleet.record_attempt(now, key, AttemptResult::Succeeded);
                self.until = self.until.filter(|until| sent_ms < *until);
            }
            3 => self
                .host
                .fleet
                .record_attempt(now, key, AttemptResult::Unreachable),
            4 => self
                .host
                .fleet
                .record_relayed_attempt(now, key, now, AttemptResult::Full),
            5 => self.host.fleet.record_attempt(now, key, AttemptResult::Broken),
            6 => {
                self.is_listed = !self.is_listed;
                self.list();
            }
            7 => {
                self.is_listed = true;
                self.started_ms += 1;
                self.until = None;
                self.list();
            }
            8 => {
                let (ms, started_ms) = (self.ms, self.started_ms);
                *self = Self::new();
                (self.ms, self.started_ms) = (ms, started_ms);
                self.list();
            }
            _ => self.answer(self.ms, Answer::Misdirected, &asking(amount)),
        }
    }

    /// Whether the host would send anything to the runner now.
    fn may_send(&self) -> bool {
        let (now, key) = (self.now(), self.key());
        let runner = self.host.fleet.get(key).expect("known");
        let is_placed = |way| self.host.fleet.clearance(now, runner, way) == Clearance::Granted;
        WAYS.into_iter().any(is_placed)
            || self.host.fleet.may_send(now, key, now)
            || self.host.relay_target(now, "r0").is_some()
            || self.host.fleet.has_cached(now, key, now, Way::Direct)
    }
}

quickcheck! {
    /// Guards against a time to wait that anything but a new process or its end cuts short, on any way.
    fn the_latest_end_binds_whatever_comes_after_it(events: Vec<(u8, u16)>) -> TestResult {
        let mut world = World::new();
        for (kind, amount) in events {
            world.step(kind, amount);
            let is_held = world.until.is_some_and(|until| world.ms < until);
            if is_held && world.may_send() {
                return TestResult::failed();
            }
        }
        // Nothing keeps the runner out for good.
        world.is_listed = true;
        world.ms += LONG_MS;
        world.list();
        world.ms += LONG_MS;
        TestResult::from_bool(world.may_send())
    }

    /// Guards against a request that was placed before the runner spoke and is sent after it.
    fn a_request_placed_before_is_not_sent_after(placed: u16, wait: u16, late: u16) -> bool {
        let mut world = World::new();
        let placed_ms = u64::from(placed);
        world.ms = placed_ms + 1;
        world.answer(placed_ms, Answer::Rejected, &asking(u64::from(wait) + 1));
        world.ms += u64::from(late);
        !world.host.fleet.may_send(world.now(), world.key(), at(placed_ms))
    }
}

/// Guards against the same for a limit of requests a second that a runner names after a request was placed.
#[test]
fn a_request_placed_before_a_limit_is_not_sent_under_it() {
    let mut world = World::new();
    world.host.fleet.set_hosts(at(0), 1, vec![1, 2]);
    assert!(world.host.fleet.may_send(at(5), world.key(), at(0)));
    let key = world.key();
    world
        .host
        .fleet
        .record_rate(at(10), key, rate::Notice::PerSecond(1.0));
    assert!(!world.host.fleet.may_send(at(20), key, at(0)));
    assert!(world.host.fleet.may_send(at(5_000), key, at(4_000)));
}

/// Guards against changes that are not told, or told twice.
#[test]
fn changes_of_a_hold_off_are_told() {
    let mut world = World::new();
    let key = world.key();
    let mut record = |ms, notice| world.host.fleet.record_hold_off(at(ms), key, notice);
    let for_ms = |ms| Notice::For(Wait::new(millis(ms)));
    assert_eq!(record(0, for_ms(0)), None);
    assert_eq!(record(0, for_ms(3_000)), Some(Change::Begun(millis(3_000))));
    assert_eq!(record(10, for_ms(1_000)), None, "an earlier end");
    assert_eq!(record(20, for_ms(3_000)), Some(Change::Extended(millis(3_000))));
    assert_eq!(record(30, Notice::Malformed), Some(Change::Malformed));
    assert_eq!(record(40, Notice::Malformed), None, "one line in a while");
    let hour = millis(3_600_000);
    assert_eq!(
        record(50, Notice::For(Wait::new(Duration::MAX))),
        Some(Change::Extended(hour))
    );
    assert_eq!(world.host.fleet.count_held_off(at(60)), 1);
    assert_eq!(
        world.host.fleet.record_acceptance(key, at(60)),
        None,
        "sent before the end"
    );
    let after = at(50 + 3_600_000);
    assert_eq!(
        world.host.fleet.record_acceptance(key, after),
        Some(Change::Ended)
    );
    assert_eq!(world.host.fleet.record_acceptance(key, after), None);
}

/// Hosts that share runners.
fn hosts(count: usize, runners: usize) -> Vec<State> {
    let mut ids: Vec<u64> = (0..count).map(|host| digest(&host.to_le_bytes())).collect();
    ids.sort_unstable();
    let start = |own: &u64| {
        let mut state = State::new(bounds(), "zone-a");
        let listed = (0..runners).map(|number| runner(&format!("r{number:03}"), SERVICE, "zone-a"));
        state.fleet.update(at(0), listed.collect());
        state.hosts = count as u32;
        state.fleet.set_hosts(at(0), *own, ids.clone());
        state
    };
    ids.iter().map(start).collect()
}

fn place(host: &mut State, ms: u64, random: u64) -> Option<Key> {
    let demand = Demand {
        service: SERVICE.into(),
        random,
        ..Demand::default()
    };
    Some(host.place(at(ms), &demand, &[])?.key)
}

/// Guards against hosts that all return to a runner at the moment when their times end.
#[test]
fn hosts_do_not_return_to_a_runner_together() {
    const SLOTS: usize = 32;
    const WINDOW_MS: u64 = 50;
    for count in [8, 80, 986] {
        let mut hosts = hosts(count, 1);
        for host in &mut hosts {
            let key = host.fleet.find("r000").expect("listed");
            host.fleet
                .record_hold_off(at(0), key, Notice::For(Wait::new(millis(3_000))));
        }
        let mut sends: Vec<u64> = Vec::new();
        for ms in (0..6_000).step_by(10) {
            for host in &mut hosts {
                sends.extend(place(host, ms, ms).map(|_| ms));
            }
        }
        assert!(sends.iter().all(|ms| *ms >= 3_000), "{count} hosts");
        let first: Vec<u64> = sends.iter().copied().filter(|ms| *ms < 3_100).collect();
        let in_window = |from: &u64| {
            first
                .iter()
                .filter(|ms| (*from..from + WINDOW_MS).contains(*ms))
                .count()
        };
        let most = first.iter().map(in_window).max().unwrap_or_default();
        println!("{count} hosts: {most} in {WINDOW_MS} ms after the end");
        assert!(most <= SLOTS, "{count} hosts: {most}");
    }
}

/// Most requests of one host at one runner in a time that it had asked the host to wait, half a second after it on, while
/// each of half of the runners turns each host away at random; also how many were placed.
fn most_while_held_off(count: usize, seed: u64) -> (usize, usize) {
    const RUNNERS: usize = 20;
    const REACTION_MS: u64 = 500;
    let mut hosts = hosts(count, RUNNERS);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut held = vec![vec![(0u64, 0u64, 0usize); RUNNERS]; count];
    let (mut most, mut placed) = (0, 0);
    for ms in 0..12_000 {
        for _ in 0..count.div_ceil(40) {
            let host = rng.random_range(0..count);
            let Some(key) = place(&mut hosts[host], ms, rng.random()) else {
                continue;
            };
            placed += 1;
            hosts[host].fleet.finish_request(key, 0, 0);
            let (asked_ms, until_ms, arrived) = &mut held[host][key.index()];
            if ms < *until_ms {
                *arrived += usize::from(ms >= *asked_ms + REACTION_MS);
                most = most.max(*arrived);
            } else if key.index() < RUNNERS / 2 && rng.random::<f64>() < 0.3 {
                let wait_ms = rng.random_range(500..4_000);
                (*asked_ms, *until_ms, *arrived) = (ms, ms + wait_ms, 0);
                let fleet = &mut hosts[host].fleet;
                fleet.record_notices(at(ms + 2), key, at(ms), Answer::Rejected, &asking(wait_ms));
                fleet.record_attempt(at(ms + 2), key, AttemptResult::Full);
                continue;
            }
            let fleet = &mut hosts[host].fleet;
            fleet.record_notices(at(ms), key, at(ms), Answer::Other, &Notices::default());
            fleet.record_attempt(at(ms), key, AttemptResult::Succeeded);
        }
    }
    (most, placed)
}

/// Guards against requests in the time that a runner has asked a host to wait, in fleets of all sizes.
#[test]
fn hosts_of_fleets_of_all_sizes_wait_as_long_as_runners_ask() {
    for count in [8, 80, 986] {
        for seed in 0..3 {
            let (most, placed) = most_while_held_off(count, seed);
            assert!(placed > 0);
            assert_eq!(most, 0, "{count} hosts, seed {seed}, {placed} placed");
        }
    }
}

/// Guards against a peer that is asked to wait on behalf of another host and does not know, and against a host that
/// sends through a peer which has been asked to wait.
#[test]
fn hosts_and_peers_tell_each_other_of_hold_offs() {
    let mut hosts = hosts(3, 1);
    let ids: Vec<u64> = {
        let mut ids: Vec<u64> = (0..3usize).map(|host| digest(&host.to_le_bytes())).collect();
        ids.sort_unstable();
        ids
    };
    let key = hosts[0].fleet.find("r000").expect("listed");
    let (asker, peer, other) = (0, 1, 2);
    // The runner turns the peer away, to which the asker has sent a request.
    hosts[asker]
        .fleet
        .record_peer_hold_off(at(0), key, ids[peer], Notice::For(Wait::new(millis(3_000))));
    assert!(hosts[asker].fleet.is_peer_held_off(at(2_900), key, ids[peer]));
    let update = hosts[asker].update(at(10), Incarnation(1), 1, 1).expect("news");
    assert!(update.concerns_all_zones());
    assert_eq!(
        hosts[asker].update(at(20), Incarnation(1), 1, 2),
        None,
        "told once"
    );
    let packet = hosts[asker].packet(at(200), Incarnation(1), 2);
    assert_eq!(
        packet.hold_offs.len(),
        1,
        "told again in case that the update is lost"
    );
    hosts[peer].receive_update(at(11), update.clone());
    assert!(hosts[peer].fleet.get(key).expect("listed").is_held_off(at(2_900)));
    assert_eq!(hosts[peer].relay_target(at(2_900), "r000"), None);
    hosts[other].receive(at(201), Incarnation(3), packet);
    assert!(!hosts[other].fleet.get(key).expect("listed").is_held_off(at(300)));
    assert!(hosts[other].fleet.is_peer_held_off(at(300), key, ids[peer]));
    // The runner turns the peer away by itself.
    let alone = hosts[other]
        .fleet
        .record_hold_off(at(5_000), key, Notice::For(Wait::new(millis(3_000))));
    assert!(alone.is_some());
    assert_eq!(
        hosts[other].update(at(5_010), Incarnation(3), 2, 1),
        None,
        "it connects for nobody"
    );
    hosts[peer].fleet.set_relaying(true);
    hosts[peer]
        .fleet
        .record_hold_off(at(5_000), key, Notice::For(Wait::new(millis(3_000))));
    let update = hosts[peer].update(at(5_010), Incarnation(2), 1, 1).expect("news");
    hosts[asker].receive_update(at(5_011), update);
    assert!(hosts[asker].fleet.is_peer_held_off(at(7_900), key, ids[peer]));
    assert!(!hosts[asker].fleet.is_peer_held_off(at(8_100), key, ids[peer]));
    assert!(
        !hosts[asker]
            .fleet
            .get(key)
            .expect("listed")
            .is_held_off(at(5_020))
    );
}

/// Guards against a peer that is avoided for longer than it waits itself: neither the host that has read the notice nor
/// one that was told of it keeps to more than an hour.
#[test]
fn a_peer_is_avoided_for_no_longer_than_it_waits() {
    let mut hosts = hosts(3, 1);
    let mut ids: Vec<u64> = (0..3usize).map(|host| digest(&host.to_le_bytes())).collect();
    ids.sort_unstable();
    let key = hosts[0].fleet.find("r000").expect("listed");
    let (asker, peer, other) = (0, 1, 2);
    let endless = Notice::For(Wait::new(Duration::MAX));
    hosts[asker]
        .fleet
        .record_peer_hold_off(at(0), key, ids[peer], endless);
    let update = hosts[asker].update(at(0), Incarnation(1), 1, 1).expect("news");
    hosts[peer].receive_update(at(0), update.clone());
    hosts[other].receive_update(at(0), update);
    let (before, after) = (at(3_599_000), at(3_600_000));
    for host in [asker, other] {
        assert!(hosts[host].fleet.is_peer_held_off(before, key, ids[peer]));
        assert!(!hosts[host].fleet.is_peer_held_off(after, key, ids[peer]));
    }
    let is_held = |now| hosts[peer].fleet.get(key).expect("listed").is_held_off(now);
    assert!(is_held(before) && !is_held(after));
}

/// Guards against reports of one hold-off that go round among hosts and prolong it.
#[test]
fn a_hold_off_that_hosts_tell_each_other_ends_in_time() {
    const DELAY_MS: u64 = 5;
    let mut hosts = hosts(3, 1);
    let ids = {
        let mut ids: Vec<u64> = (0..3usize).map(|host| digest(&host.to_le_bytes())).collect();
        ids.sort_unstable();
        ids
    };
    let key = hosts[0].fleet.find("r000").expect("listed");
    hosts.iter_mut().for_each(|host| host.fleet.set_relaying(true));
    hosts[0]
        .fleet
        .record_peer_hold_off(at(0), key, ids[1], Notice::For(Wait::new(millis(3_000))));
    let mut updates = 0;
    for ms in (0..4_000).step_by(200) {
        for from in 0..3 {
            let me = Incarnation(1 + from as u64);
            let packet = hosts[from].packet(at(ms), me, 1 + ms);
            updates += usize::from(hosts[from].update(at(ms), me, 1 + ms, 1).is_some());
            for to in (0..3).filter(|to| *to != from) {
                hosts[to].receive(at(ms + DELAY_MS), Incarnation(1 + to as u64), packet.clone());
            }
        }
    }
    assert!(updates <= 2, "{updates} updates");
    assert!(hosts[1].fleet.get(key).expect("listed").is_held_off(at(2_900)));
    assert!(!hosts[1].fleet.get(key).expect("listed").is_held_off(at(3_110)));
    assert!(!hosts[2].fleet.is_peer_held_off(at(3_210), key, ids[1]));
}
