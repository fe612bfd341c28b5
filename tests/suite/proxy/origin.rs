//! Tests of the memory of which software version began a stream, across hosts that die, lose messages and
//! disagree about who is alive.

use std::net::SocketAddr;
use std::time::Duration;

use quickcheck::{TestResult, quickcheck};
use radishstair_core::proxy::fleet::Software;
use radishstair_core::proxy::fleet::software::Version;
use radishstair_core::proxy::origin::{self, Message, Origins, Record, StreamKey};
use radishstair_core::proxy::readers::Host;
use radishstair_core::time::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const LIFE: Duration = Duration::from_secs(30);
/// Bytes of the headers of a datagram.
const HEADER_BYTES: usize = 28;
/// Times that a host asks for a version.
const QUESTIONS: usize = 3;

fn at(ms: u64) -> Moment {
    Moment::at_ms(100_000 + ms)
}

fn host(number: usize, zones: usize) -> Host {
    Host {
        address: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_340)),
        zone: 1 + (number % zones) as u64,
        link_mbps: 1_000,
    }
}

fn version(text: &str) -> Version {
    Software::new("engines", text).version
}

fn stream(number: u64) -> StreamKey {
    StreamKey::new(Some("ana"), "notes", &format!("{number:016x}"))
}

/// What happens to the messages and the hosts of a simulated fleet.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    /// Probability that a datagram is lost.
    loss: f64,
    /// Probability that a host does not know another one.
    unknown: f64,
    /// Whether all hosts of the first host's zone are killed right after it has told the version.
    zone_dies: bool,
    /// Whether no message passes between zones.
    zones_cut: bool,
}

const CALM: Trouble = Trouble {
    loss: 0.0,
    unknown: 0.0,
    zone_dies: false,
    zones_cut: false,
};

/// Ways of remembering versions that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Told to a few hosts of all zones, which are asked.
    Rendezvous,
    /// Told to all hosts of the zone, and not asked for.
    Zone,
}

/// Hosts in memory, whose messages are delivered at once or lost.
struct World {
    hosts: Vec<Host>,
    origins: Vec<Origins>,
    trouble: Trouble,
    way: Way,
    random: ChaCha8Rng,
    messages: usize,
    bytes: usize,
}

impl World {
    fn new(count: usize, zones: usize, trouble: Trouble, seed: u64) -> Self {
        Self {
            hosts: (0..count).map(|number| host(number, zones)).collect(),
            origins: vec![Origins::default(); count],
            trouble,
            way: Way::Rendezvous,
            random: ChaCha8Rng::seed_from_u64(seed),
            messages: 0,
            bytes: 0,
        }
    }

    /// The hosts that one of them knows.
    fn view(&mut self, own: usize) -> Vec<Host> {
        let unknown = self.trouble.unknown;
        let hosts = self.hosts.clone().into_iter().enumerate();
        let known = hosts.filter(|(number, _)| *number == own || !self.random.random_bool(unknown));
        known.map(|(_, host)| host).collect()
    }

    fn arrives(&mut self, from: usize, to: usize, message: &Message) -> bool {
        self.messages += 1;
        self.bytes += HEADER_BYTES + message.to_datagram().len();
        let is_cut = self.trouble.zones_cut && self.hosts[from].zone != self.hosts[to].zone;
        !is_cut && !self.random.random_bool(self.trouble.loss)
    }

    /// Delivers what a host has to send, and the answers to it.
    fn send(&mut self, from: usize) {
        let view = self.view(from);
        let own = self.hosts[from].address;
        for (address, message) in self.origins[from].take_messages(own, &view) {
            let to = self.hosts.iter().position(|host| host.address == address);
            let to = to.expect("a known host");
            if !self.arrives(from, to, &message) {
                continue;
            }
            let answer = self.origins[to].receive(at(1), &message);
            if !answer.is_empty() && self.arrives(to, from, &answer) {
                self.origins[from].receive(at(2), &answer);
            }
        }
    }

    fn begin(&mut self, host: usize, stream: StreamKey, version: Version) {
        self.origins[host].begin(at(0), stream, version, LIFE);
        match self.way {
            Way::Rendezvous => self.send(host),
            Way::Zone => self.tell_zone(host, stream, version),
        }
    }

    fn tell_zone(&mut self, from: usize, stream: StreamKey, version: Version) {
        let record = Record {
            stream: stream.0,
            version: version.0,
            life_ms: LIFE.as_millis() as u32,
        };
        let message = Message {
            told: vec![record],
            asked: Vec::new(),
            ..Message::default()
        };
        for known in self.view(from) {
            let to = self.hosts.iter().position(|host| host.address == known.address);
            let to = to.expect("a known host");
            let is_told = to != from && known.zone == self.hosts[from].zone;
            if is_told && self.arrives(from, to, &message) {
                self.origins[to].receive(at(1), &message);
            }
        }
    }

    /// Kills a host, and starts it again with nothing in memory.
    fn kill(&mut self, host: usize) {
        self.origins[host] = Origins::default();
    }

    /// Version that a host finds for a stream.
    fn find(&mut self, host: usize, stream: StreamKey) -> Option<Version> {
        let questions = if self.way == Way::Zone { 0 } else { QUESTIONS };
        for _ in 0..questions {
            let found = self.origins[host].find(at(3), stream);
            if found.is_some() {
                return found;
            }
            self.origins[host].ask(stream);
            self.send(host);
        }
        self.origins[host].find(at(3), stream)
    }

    /// Begins streams, kills their hosts, and takes them up at other hosts; returns the share whose version
    /// is found, and the number found wrongly.
    fn take_ups(&mut self, streams: u64) -> (f64, u64) {
        let (mut found, mut wrong) = (0, 0);
        for number in 0..streams {
            let first = self.random.random_range(0..self.hosts.len());
            let began = version(["v1", "v1.1", "v1.2"][number as usize % 3]);
            self.begin(first, stream(number), began);
            self.kill(first);
            let zone = self.hosts[first].zone;
            if self.trouble.zone_dies {
                let of_zone: Vec<usize> = (0..self.hosts.len())
                    .filter(|host| self.hosts[*host].zone == zone)
                    .collect();
                of_zone.into_iter().for_each(|host| self.kill(host));
            }
            // Callers come to hosts of their zone, and to another one while these are down.
            let is_next = |host: &usize| {
                let is_same_zone = self.hosts[*host].zone == zone;
                *host != first && is_same_zone != self.trouble.zone_dies
            };
            let next: Vec<usize> = (0..self.hosts.len()).filter(is_next).collect();
            let second = next[self.random.random_range(0..next.len())];
            match self.find(second, stream(number)) {
                Some(version) if version == began => found += 1,
                Some(_) => wrong += 1,
                None => {}
            }
        }
        (found as f64 / streams as f64, wrong)
    }
}

/// The host of a stream may die right after the first event, while datagrams are lost and the lists of hosts
/// differ. Nine tenths of the streams must go on, none at another version, in small and large fleets.
#[test]
fn versions_are_found_after_the_first_host_has_died() {
    let troubles = [
        CALM,
        Trouble { loss: 0.1, ..CALM },
        Trouble {
            loss: 0.05,
            unknown: 0.1,
            ..CALM
        },
        Trouble {
            loss: 0.05,
            zone_dies: true,
            ..CALM
        },
        Trouble {
            zones_cut: true,
            ..CALM
        },
    ];
    for (hosts, zones) in [(8, 4), (9, 3), (80, 3), (80, 1), (1_000, 6)] {
        for trouble in troubles {
            if trouble.zone_dies && zones == 1 {
                continue;
            }
            let mut world = World::new(hosts, zones, trouble, 7);
            let (share, wrong) = world.take_ups(200);
            let what = format!("{hosts} hosts in {zones} zones, {trouble:?}: {share}");
            assert_eq!(wrong, 0, "{what}");
            assert!(share >= 0.9, "{what}");
        }
    }
}

/// The way that was not chosen: a zone that is told everything forgets everything when it loses power, and its
/// cost grows with its hosts.
#[test]
fn telling_the_zone_loses_what_the_zone_forgets() {
    let trouble = Trouble {
        loss: 0.05,
        zone_dies: true,
        ..CALM
    };
    for (hosts, zones) in [(8, 4), (80, 3), (1_000, 6)] {
        let run = |way, trouble| {
            let mut world = World::new(hosts, zones, trouble, 7);
            world.way = way;
            let (share, _) = world.take_ups(200);
            (share, world.bytes / 200)
        };
        let lossy = Trouble { loss: 0.05, ..CALM };
        let figures = [Way::Rendezvous, Way::Zone].map(|way| (way, run(way, lossy), run(way, trouble)));
        println!("{hosts} hosts in {zones} zones: {figures:?}");
        let [(_, _, rendezvous), (_, _, zone)] = figures;
        assert!(zone.0 < 0.1 && rendezvous.0 >= 0.9, "{figures:?}");
    }
}

/// What a host sends for one stream must not grow with the fleet.
#[test]
fn telling_a_version_costs_a_few_datagrams() {
    for (hosts, zones, most) in [(8, 4, 4), (80, 3, 4), (1_000, 6, 6), (2_000, 6, 6)] {
        let mut world = World::new(hosts, zones, CALM, 7);
        for number in 0..100 {
            world.begin(number as usize % hosts, stream(number), version("v1"));
        }
        assert!(world.messages <= 100 * most, "{hosts} hosts: {}", world.messages);
        assert!(
            world.bytes <= world.messages * 64,
            "{hosts} hosts: {} bytes",
            world.bytes
        );
    }
}

/// Two hosts could tell different versions of one stream, if a caller used an id twice. Nobody may then go on
/// with it.
#[test]
fn a_stream_with_two_versions_does_not_go_on() {
    let mut origins = Origins::default();
    for text in ["v1", "v2", "v1"] {
        origins.begin(at(0), stream(1), version(text), LIFE);
    }
    assert_eq!(origins.find(at(1), stream(1)), None);
    let asked = Message {
        told: Vec::new(),
        asked: vec![stream(1).0],
        ..Message::default()
    };
    assert!(origins.receive(at(1), &asked).is_empty());
}

/// A caller names the stream that it takes up, and could name one of another customer or route.
#[test]
fn a_stream_of_another_customer_is_unknown() {
    let own = StreamKey::new(Some("ana"), "notes", "1");
    for (customer, route, attempt) in [
        (Some("ben"), "notes", "1"),
        (None, "notes", "1"),
        (Some("ana"), "talk", "1"),
        (Some("ana"), "notes", ""),
        (Some("anan"), "otes", "1"),
        (Some(""), "notes", "1"),
    ] {
        assert_ne!(
            StreamKey::new(customer, route, attempt),
            own,
            "{customer:?} {route} {attempt}"
        );
    }
    assert_ne!(
        StreamKey::new(None, "notes", "1"),
        StreamKey::new(Some(""), "notes", "1")
    );
    let huge = "x".repeat(1 << 20);
    assert_eq!(StreamKey::new(None, "r", &huge), StreamKey::new(None, "r", &huge));
}

/// The memory is bounded in number and time, whatever other hosts send.
#[test]
fn memory_of_versions_is_bounded() {
    let mut origins = Origins::default();
    for number in 0..40_000 {
        origins.begin(at(0), stream(number), version("v1"), LIFE);
    }
    assert_eq!(origins.len(), 32_768);
    let record = Record {
        stream: 5,
        version: 6,
        life_ms: u32::MAX,
    };
    let many = Message {
        told: vec![record; 1_000],
        asked: vec![5; 1_000],
        ..Message::default()
    };
    let answer = origins.receive(at(31_000), &many);
    assert_eq!(answer.told.len(), 64);
    assert_eq!(origins.len(), 1, "the others are outdated");
    origins.receive(at(31_000 + 601_000), &Message::default());
    assert_eq!(origins.find(at(31_000 + 601_000), StreamKey(5)), None);
}

/// The time for which a version is remembered follows the route's timeout, within limits.
#[test]
fn versions_are_remembered_as_long_as_callers_come_back() {
    let life = |seconds| origin::life(Some(Duration::from_secs(seconds)));
    assert_eq!(life(15), Duration::from_secs(30));
    assert_eq!(life(1), Duration::from_secs(10));
    assert_eq!(life(100_000), Duration::from_secs(600));
    assert_eq!(origin::life(None), Duration::from_secs(60));
}

quickcheck! {
    /// Whatever is lost, unknown, cut or killed, no stream goes on at a version that did not begin it.
    fn no_stream_is_found_at_another_version(seed: u64, hosts: u8, zones: u8, loss: u8, unknown: u8, cut: bool) -> TestResult {
        let (hosts, zones) = (2 + usize::from(hosts % 30), 1 + usize::from(zones % 4));
        if hosts < zones * 2 {
            return TestResult::discard();
        }
        let trouble = Trouble {
            loss: f64::from(loss) / 255.0,
            unknown: f64::from(unknown) / 255.0,
            zone_dies: seed.is_multiple_of(2) && zones > 1,
            zones_cut: cut,
        };
        let (_, wrong) = World::new(hosts, zones, trouble, seed).take_ups(20);
        TestResult::from_bool(wrong == 0)
    }

    /// Bytes that are no message of this kind are ignored.
    fn odd_datagrams_are_borne(bytes: Vec<u8>) -> bool {
        let message = Message::from_datagram(&bytes);
        message.is_none_or(|message| Message::from_datagram(&message.to_datagram()) == Some(message))
    }
}
