//! Numbers out of any range in what hosts read from the store and from each other.

use std::time::Duration;

use prost::Message;
use quickcheck::quickcheck;
use radishstair_core::id::{Incarnation, digest};
use radishstair_core::lease::{Grant, Lease, Timing};
use radishstair_core::proxy::State;
use radishstair_core::proxy::gossip::update::Update;
use radishstair_core::proxy::gossip::{self, Load, Packet, PrefillRate};
use radishstair_core::proxy::mirror::{Mirror, Page};
use radishstair_core::proxy::report::{Reporter, Schedule};
use radishstair_core::proxy::usage::{Ledger, Record, Window};
use radishstair_core::store::{Answer, Call, Entry};
use radishstair_core::time::Moment;

use super::fixtures::{bounds, runner};

const RUNNERS: [&str; 3] = ["r-0", "r-1", "r-2"];

fn at(ms: u64) -> Moment {
    Moment::at_ms(100_000 + ms)
}

fn state() -> State {
    let mut state = State::new(bounds(), "zone-a");
    let zones = ["zone-a", "zone-b", "zone-b"];
    let listed = RUNNERS.iter().zip(zones);
    let listed = listed.map(|(id, zone)| runner(id, "engines", zone));
    state.fleet.update(at(0), listed.collect());
    state
}

/// A report with these numbers for each runner.
fn packet(host: u64, running: u32, number: u64, summary: bool) -> Packet {
    let load = |id: &&str| Load {
        runner: digest(id.as_bytes()),
        running,
        prefill_us: number,
        kv_tokens: number,
    };
    Packet {
        incarnation: host,
        sequence: 1,
        zone: "zone-b".into(),
        loads: RUNNERS.iter().map(load).collect(),
        prefill_rates: vec![PrefillRate {
            service: digest(b"engines"),
            total_us: number,
            long_us: number,
        }],
        summary,
        next_ms: running,
        link_mbps: running,
        relayed: running,
        ..Packet::default()
    }
}

/// Has a host read a message, and everything be read that depends on it.
fn receive(state: &mut State, packet: Packet) {
    let report: Vec<Load> = packet.loads.clone();
    let order = (packet.incarnation, packet.sequence);
    state.receive(at(1), Incarnation(1), packet);
    state.receive_update(
        at(2),
        Update {
            incarnation: order.0,
            report: order.1,
            number: u32::MAX,
            loads: report,
            ..Update::default()
        },
    );
    let _ = state.prefill_rate(at(3), "engines");
    let _ = state.summary(at(3), u64::MAX);
    for (_, runner) in state.fleet.runners() {
        let _ = (runner.running(), runner.backlog(), runner.kv_tokens());
    }
}

/// Guards against a host that ends, or takes a busy runner for an idle one, as the sum of loads overflows.
#[test]
fn loads_out_of_range_stay_the_largest() {
    let mut state = state();
    for host in 2..5 {
        receive(&mut state, packet(host, u32::MAX, u64::MAX, host == 4));
    }
    for (_, runner) in state.fleet.runners() {
        assert_eq!((runner.running(), runner.kv_tokens()), (u32::MAX, u64::MAX));
    }
    assert_eq!(state.prefill_rate(at(3), "engines").total_us, u64::MAX);
}

quickcheck! {
    /// Guards against a host that ends as another one sends it something else than a message.
    fn any_datagram_is_borne(bytes: Vec<u8>, running: u32, number: u64, summary: bool) -> bool {
        let mut state = state();
        let sound = packet(2, running, number, summary).encode_to_vec();
        let cut = bytes.first().map_or(0, |first| usize::from(*first) % sound.len());
        let texts = [bytes.clone(), [&sound[..cut], &bytes[..]].concat(), [&sound[..], &bytes[..]].concat()];
        for text in texts {
            if let Ok(packet) = Packet::decode(&text[..]) {
                receive(&mut state, packet);
            }
            if let Some(update) = Update::from_datagram(&text) {
                state.receive_update(at(4), update);
            }
        }
        gossip::uses_summaries(running);
        true
    }
}

/// Guards against a holder of the duty that ends as the sum of counts overflows.
#[test]
fn counts_out_of_range_are_added() {
    let mut ledger = Ledger::default();
    for run in 0..3 {
        let window = Window {
            number: 19,
            counts: vec![("ana".into(), u64::MAX)],
        };
        ledger.load(
            at(0),
            Record {
                host: format!("host-{run}"),
                incarnation: Incarnation(run),
                began: 0,
                peer: "127.0.0.1:70000".into(),
                until: u64::MAX,
                ended: false,
                windows: vec![window],
            },
        );
    }
    let mut reporter = Reporter::default();
    let odd = Entry {
        key: "radishstair/sealed/odd".into(),
        version: 1,
        value: format!("{{\"number\":{},\"counts\":[]}}", u64::MAX),
    };
    reporter.load_sealed(&[odd]);
    let grant = Grant {
        fence: 1,
        expires_at: at(5_000),
        max_send: Duration::from_secs(1),
    };
    let schedule = Schedule {
        length_s: 5,
        due_s: 10,
    };
    for step in 0..40 {
        let now = at(step * 1_000);
        let _ = reporter.tick(now, 100_000 + step * 1_000, schedule, grant, &ledger);
        let _ = reporter.answer(now, &Answer::Written(1));
        reporter.record_result(now, true);
    }
}

/// Guards against a duty that nobody takes over, or takes over with a lower fencing number, after another program has
/// written its record.
#[test]
fn a_duty_is_taken_over_from_a_record_that_cannot_be_read() {
    let max = u64::MAX;
    for value in [
        "[[[[".to_string(),
        "null".into(),
        format!("{{\"holder\":\"0000000000000009\",\"fence\":{max},\"renewal\":1}}"),
        format!("{{\"holder\":\"0000000000000009\",\"fence\":1,\"renewal\":{max}}}"),
    ] {
        let entry = |version| Entry {
            key: "duty".into(),
            version,
            value: value.clone(),
        };
        let timing = Timing::fenced(Duration::from_secs(3));
        let mut lease = Lease::with_timing(Incarnation(1), "duty".into(), timing);
        lease.observe_read(at(0), Some(&entry(70)));
        assert_eq!(lease.tick(at(100), true), None, "a holder may still act: {value}");
        let later = at(60_000);
        lease.observe_read(later, Some(&entry(70)));
        let Some(Call::CompareAndSwap { expect, .. }) = lease.tick(later, true) else {
            panic!("nobody takes over: {value}");
        };
        assert_eq!(expect, 70);
        lease.on_answer(later, &Answer::Written(90));
        let fence = lease.grant(later).map(|grant| grant.fence);
        assert!(
            fence.is_some_and(|fence| fence > 70 && fence < max),
            "{fence:?} {value}"
        );
    }
}

/// Guards against a host that ends at a page that goes backwards.
#[test]
fn a_page_that_goes_backwards_is_borne() {
    let entry = |key: &str, version| Entry {
        key: key.into(),
        version,
        value: String::new(),
    };
    let page = |after: &str, keys: &[&str], has_more| Page {
        after: after.into(),
        entries: keys.iter().map(|key| entry(key, u64::MAX)).collect(),
        has_more,
        revision: u64::MAX,
        sent: at(0),
    };
    let mut mirror = Mirror::default();
    mirror.add_page(page("", &["a", "b", "c"], false));
    mirror.add_page(page("", &["a", "b"], true));
    mirror.add_page(page("b", &["a"], true));
    mirror.add_page(page("b", &["c"], false));
    assert!(mirror.find("c").is_some());
}

/// Guards against a time far ahead that is taken for one that has passed.
#[test]
fn a_time_far_ahead_is_not_reached() {
    let far = [
        Duration::MAX,
        Duration::from_millis(u64::MAX),
        Duration::from_millis(18_446_744_073_709_552),
    ];
    for wait in far {
        assert!(!at(1_000).reached(at(0) + wait), "{wait:?}");
    }
}
