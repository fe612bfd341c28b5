//! Tests of the versions of streams in the store: who writes them, and what is left of them when all hosts are killed.

use std::net::SocketAddr;
use std::time::Duration;

use radishstair_core::proxy::fleet::Software;
use radishstair_core::proxy::fleet::software::Version;
use radishstair_core::proxy::holders;
use radishstair_core::proxy::origin::segment::{COVERED, Segment, Writer};
use radishstair_core::proxy::origin::{Message, Origins, Record, StreamKey};
use radishstair_core::proxy::readers::Host;
use radishstair_core::store::{Answer, Call, Entry};
use radishstair_core::time::Moment;

const LIFE: Duration = Duration::from_secs(30);
const START_MS: u64 = 1_700_000_000_000;
const ZONES: u64 = 4;

fn at(ms: u64) -> Moment {
    Moment::at_ms(100_000 + ms)
}

fn hosts(count: u16) -> Vec<Host> {
    let host = |number: u16| Host {
        address: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_340)),
        zone: 1 + u64::from(number) % ZONES,
        link_mbps: 1_000,
    };
    (0..count).map(host).collect()
}

fn stream(number: u64) -> StreamKey {
    StreamKey::new(Some("ana"), "notes", &format!("{number:016x}"))
}

fn version(number: u64) -> Version {
    Software::new("engines", if number.is_multiple_of(3) { "v1" } else { "v2" }).version
}

/// A store that takes each write, as it does if nobody else has written the key.
#[derive(Default)]
struct Store(Vec<Entry>);

impl Store {
    fn answer(&mut self, call: &Call) -> Answer {
        let Call::CompareAndSwap { key, expect, value } = call else {
            return Answer::Refused;
        };
        let at = self.0.iter().position(|entry| entry.key == *key);
        let at = at.unwrap_or_else(|| {
            self.0.push(Entry {
                key: key.clone(),
                version: 0,
                value: String::new(),
            });
            self.0.len() - 1
        });
        let entry = &mut self.0[at];
        if entry.version != *expect {
            return Answer::Conflict(entry.clone());
        }
        entry.version += 1;
        entry.value = value.clone();
        Answer::Written(entry.version)
    }

    /// Writes what a writer has, in the calls of one round.
    fn write(&mut self, writer: &mut Writer) {
        for _ in 0..2 {
            if let Some(call) = writer.next_call() {
                let answer = self.answer(&call);
                writer.apply(&answer);
            }
        }
    }

    fn segments(&self) -> Vec<Segment> {
        self.0.iter().filter_map(Segment::parse).collect()
    }

    fn records(&self, unix_ms: u64) -> Vec<Record> {
        let segments = self.segments();
        let records = segments.iter().flat_map(|segment| segment.records(unix_ms));
        records.collect()
    }

    /// What a host that has just started knows.
    fn restored(&self, ms: u64) -> Origins {
        let mut started = Origins::default();
        started.restore(at(ms), START_MS + ms, self.segments());
        started
    }
}

/// Guards against streams that are lost with all hosts while several versions serve: each host tells its zone's keeper,
/// and the keepers' writes are all that is left.
#[test]
fn versions_outlive_all_hosts() {
    const STREAMS: u64 = 600;
    let hosts = hosts(40);
    let mut fleet: Vec<Origins> = vec![Origins::default(); hosts.len()];
    let mut writers: Vec<Writer> = hosts.iter().map(|host| Writer::new("log/", host.zone)).collect();
    let mut store = Store::default();
    let mut writes = 0;
    for number in 0..STREAMS {
        let (ms, from) = (number * 50, number as usize % hosts.len());
        fleet[from].begin(at(ms), stream(number), version(number), LIFE);
        fleet[from].keep(stream(number), version(number), LIFE);
        for (address, message) in fleet[from].take_messages(hosts[from].address, &hosts) {
            let to = hosts.iter().position(|host| host.address == address);
            fleet[to.expect("a known host")].receive(at(ms), &message);
        }
        if number % 10 != 9 {
            continue;
        }
        for (origins, writer) in fleet.iter_mut().zip(&mut writers) {
            writer.add(START_MS + ms, &origins.take_to_store());
            writes += usize::from(writer.next_call().is_some());
            store.write(writer);
        }
    }
    assert!(
        writes as u64 <= ZONES * STREAMS / 10,
        "one host of each zone writes: {writes}"
    );
    let now_ms = STREAMS * 50;
    let started = store.restored(now_ms);
    for number in 0..STREAMS {
        assert_eq!(
            started.find(at(now_ms), stream(number)),
            Some(version(number)),
            "{number}"
        );
    }
}

/// Guards against streams that are lost with all hosts as they had begun when their service had one version, and was
/// then released.
#[test]
fn streams_of_the_former_version_are_kept_once_another_one_comes() {
    let own = SocketAddr::from(([10, 0, 0, 0], 1));
    let mut origins = Origins::default();
    origins.begin(at(0), stream(0), version(0), LIFE);
    origins.begin(at(20_000), stream(1), version(0), LIFE);
    let told = Record {
        stream: 7,
        version: 1,
        life_ms: 30_000,
    };
    origins.receive(
        at(20_000),
        &Message {
            told: vec![told],
            ..Message::default()
        },
    );
    origins.keep_own(at(31_000));
    origins.take_messages(own, &[]);
    let kept = origins.take_to_store();
    assert_eq!(kept.len(), 1, "own streams that may be taken up: {kept:?}");
    assert_eq!((StreamKey(kept[0].stream), kept[0].life_ms), (stream(1), 19_000));
}

/// Guards against versions that are lost as two hosts of a zone take themselves for its keeper, and write the same key.
#[test]
fn two_keepers_of_a_zone_lose_nothing() {
    let mut store = Store::default();
    let mut writers = [Writer::new("log/", 1), Writer::new("log/", 1)];
    for round in 0..80 {
        for (number, writer) in (0..).zip(&mut writers) {
            let mut origins = Origins::default();
            origins.keep(stream(round * 2 + number), version(number), LIFE);
            origins.take_messages(SocketAddr::from(([10, 0, 0, 0], 1)), &[]);
            writer.add(START_MS + round * 500, &origins.take_to_store());
            store.write(writer);
        }
    }
    let started = store.restored(40_000);
    for number in 0..160 {
        let found = started.find(at(40_000), stream(number));
        assert_eq!(found, Some(version(number % 2)), "{number}");
    }
}

/// Guards against a store that grows with time, and against versions of long ago.
#[test]
fn keys_are_used_again_and_old_streams_are_left_out() {
    let mut store = Store::default();
    let mut writer = Writer::new("log/", 1);
    let end_ms = 5 * COVERED.as_millis() as u64;
    for ms in (0..end_ms).step_by(500) {
        let mut origins = Origins::default();
        origins.keep(stream(ms), version(ms), LIFE);
        origins.take_messages(SocketAddr::from(([10, 0, 0, 0], 1)), &[]);
        writer.add(START_MS + ms, &origins.take_to_store());
        store.write(&mut writer);
    }
    assert!(store.0.len() <= 32, "{}", store.0.len());
    let kept = COVERED.as_millis() as usize / 500;
    let records = store.records(START_MS + end_ms).len();
    assert!((kept..=kept + 8).contains(&records), "{records} of {kept}");
    assert!(store.records(START_MS + 3 * end_ms).is_empty());
}

/// Guards against a write that the store has refused or lost, and that is not repeated under the next key.
#[test]
fn what_could_not_be_written_is_written_later() {
    let mut store = Store::default();
    let mut writer = Writer::new("log/", 1);
    let record = Record {
        stream: 1,
        version: 2,
        life_ms: 30_000,
    };
    writer.add(START_MS, &[record]);
    for answer in [Answer::Refused, Answer::Lost] {
        writer.apply(&answer);
    }
    writer.add(START_MS + 10_000, &[]);
    store.write(&mut writer);
    assert_eq!(store.records(START_MS + 10_000), [record]);
    assert_eq!(writer.next_call(), None);
}

/// Guards against a host that stands still, or forgets what it was told, as it reads the streams of a large fleet, and
/// against a stream of which the store has two versions.
#[test]
fn what_is_read_is_bounded_and_merged() {
    const STREAMS: u64 = 40_000;
    let segment = |span, streams: &mut dyn Iterator<Item = u64>| Segment {
        span: START_MS / 2_000 + span,
        streams: streams.map(|number| (number, 1, 30_000)).collect(),
    };
    let segments = (0..8).map(|span| segment(span, &mut (span * STREAMS / 8..(span + 1) * STREAMS / 8)));
    let mut twice = segment(7, &mut std::iter::once(STREAMS - 1));
    twice.streams[0].1 = 2;
    let mut origins = Origins::default();
    origins.begin(at(0), stream(0), version(0), 2 * LIFE);
    origins.restore(at(0), START_MS + 16_000, segments.chain([twice]).collect());
    assert!(origins.len() <= 16_385, "{}", origins.len());
    assert_eq!(origins.find(at(0), stream(0)), Some(version(0)));
    assert_eq!(origins.find(at(0), StreamKey(STREAMS - 1)), None);
    assert_eq!(origins.find(at(0), StreamKey(STREAMS - 2)), Some(Version(1)));
    assert_eq!(origins.find(at(0), StreamKey(0)), None, "the oldest are left out");
}

/// Each host of a zone chooses the same keeper, and a host that does not know a stream asks it.
#[test]
fn keepers_are_asked() {
    let hosts = hosts(200);
    let keepers = holders::keepers(&hosts);
    assert_eq!(keepers.len() as u64, ZONES);
    for host in &hosts {
        let keeper = holders::keeper_for(host.address, &hosts).expect("a keeper");
        assert!(keepers.contains(&keeper));
    }
    let mut mixed = hosts.clone();
    mixed.iter_mut().step_by(3).for_each(|host| host.link_mbps = 10);
    let is_slow = |keeper: &SocketAddr| {
        mixed
            .iter()
            .any(|host| host.address == *keeper && host.link_mbps == 10)
    };
    assert!(!holders::keepers(&mixed).iter().any(is_slow));
    let mut asking = Origins::default();
    asking.ask(stream(1));
    let messages: Vec<(SocketAddr, Message)> = asking.take_messages(hosts[0].address, &hosts);
    let is_asked = |keeper: &SocketAddr| messages.iter().any(|(address, _)| address == keeper);
    assert!(keepers.iter().all(is_asked));
}
