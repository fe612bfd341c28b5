//! Tests of memory: what runners hold of requests, and what a host holds for slow callers.

use quickcheck::quickcheck;
use radishstair_core::id::Incarnation;
use radishstair_core::proxy::State;
use radishstair_core::proxy::gossip::update::Update;
use radishstair_core::proxy::memory::{Memory, Purpose, REQUEST_BYTES};
use radishstair_core::proxy::placement::{Demand, Placement, Segment};
use radishstair_core::time::Moment;

use super::fixtures::{bounds, runner, table};

/// Memory of an engine in the fixtures' document, in tokens.
const ENGINE_TOKENS: u64 = 480_000;
/// Longest prompt that callers send, in tokens.
const LONGEST_PROMPT: u64 = 54_600;

fn at(ms: u64) -> Moment {
    Moment::at_ms(100_000 + ms)
}

/// A host that knows `runners` runners of its zone.
fn host(runners: usize) -> State {
    let mut state = State::new(bounds(), "zone-a");
    state.configure(Moment::default(), table(1, Vec::new()));
    let listed = (0..runners).map(|at| runner(&format!("r{at}"), "engines", "zone-a"));
    state.fleet.update(at(0), listed.collect());
    state
}

/// A long prompt that begins like all others.
fn long_prompt(own: u64) -> Demand {
    Demand {
        random: radishstair_core::id::rendezvous_weight(own, 1),
        service: "engines".into(),
        prompt_tokens: LONGEST_PROMPT,
        output_tokens: 400,
        segments: vec![
            Segment {
                id: 7,
                tokens: LONGEST_PROMPT - 1_000,
            },
            Segment {
                id: own,
                tokens: 1_000,
            },
        ],
        ..Demand::default()
    }
}

/// Tokens that all hosts have sent to each runner.
fn tokens_by_runner(hosts: &[State], runners: usize) -> Vec<u64> {
    let of_runner = |id: String| {
        let load = |host: &State| {
            let key = host.fleet.find(&id).expect("it is listed");
            host.fleet.get(key).expect("it is known").local_load.kv_tokens
        };
        hosts.iter().map(load).sum()
    };
    (0..runners).map(|at| of_runner(format!("r{at}"))).collect()
}

/// Guards against a runner that crashes because the requests of many hosts exceed its memory: 80
/// hosts send the longest prompts of one subject within a second, and hear of each other's loads
/// after 20 ms.
#[test]
fn prompts_of_many_hosts_stay_within_an_engines_memory() {
    for seed in 0..100 {
        fill_engines(seed);
    }
}

fn fill_engines(seed: u64) {
    const HOSTS: usize = 80;
    const RUNNERS: usize = 12;
    const REQUESTS: usize = 240;
    let mut hosts: Vec<State> = (0..HOSTS).map(|_| host(RUNNERS)).collect();
    for (sender, host) in hosts.iter_mut().enumerate() {
        for incarnation in (0..HOSTS).filter(|other| *other != sender) {
            let report = radishstair_core::proxy::gossip::Packet {
                incarnation: incarnation as u64 + 1,
                sequence: 1,
                zone: "zone-a".into(),
                ..Default::default()
            };
            host.receive(at(0), Incarnation(sender as u64 + 1), report);
        }
    }
    let mut in_flight: Vec<(u64, Update)> = Vec::new();
    let mut placed = 0;
    for number in 0..REQUESTS {
        let ms = 1 + number as u64 * 1_000 / REQUESTS as u64;
        let (due, later): (Vec<_>, Vec<_>) = in_flight.into_iter().partition(|(sent, _)| sent + 20 <= ms);
        in_flight = later;
        for (_, update) in due {
            for host in &mut hosts {
                host.receive_update(at(ms), update.clone());
            }
        }
        let sender = number * 37 % HOSTS;
        let host = &mut hosts[sender];
        if let Placement::Placed(_) =
            host.place_in_time(at(ms), &long_prompt(seed * 1_000 + number as u64), &[], None)
        {
            placed += 1;
        }
        let number = number as u32 + 1;
        in_flight.extend(
            host.update(at(ms), Incarnation(sender as u64 + 1), 1, number)
                .map(|update| (ms, update)),
        );
    }
    let tokens = tokens_by_runner(&hosts, RUNNERS);
    let largest = tokens.iter().max().copied().unwrap_or_default();
    assert!(
        largest <= ENGINE_TOKENS,
        "{largest} tokens at one runner, seed {seed}"
    );
    // Half of the memory is used at least.
    assert!(placed >= RUNNERS * 4, "{placed} placed, seed {seed}");
}

/// Guards against a request that is refused everywhere because it is larger than any runner's
/// memory allows beside others: an empty runner gets it and decides itself.
#[test]
fn an_empty_runner_gets_a_request_of_any_size() {
    let mut host = host(1);
    let huge = Demand {
        prompt_tokens: 2 * ENGINE_TOKENS,
        ..long_prompt(1)
    };
    assert!(host.place(at(1), &huge, &[]).is_some());
    assert!(host.place(at(2), &long_prompt(2), &[]).is_none());
}

/// Guards against runners that are never ordered because refused requests were not counted as
/// work.
#[test]
fn a_request_that_no_runner_can_hold_counts_as_work() {
    let mut host = host(1);
    while host.place(at(1), &long_prompt(1), &[]).is_some() {}
    let before = host.prefill_rate(at(1), "engines").total_us;
    assert!(host.place(at(1), &long_prompt(1), &[]).is_none());
    assert!(host.prefill_rate(at(1), "engines").total_us > before);
}

/// Megabytes of a small host.
const HOST_MB: f64 = 120.0;

/// Guards against a host that holds more than its limit, or forgets what it holds.
#[test]
fn memory_held_is_bounded_and_released() {
    fn holds(steps: Vec<(u8, u32, bool)>) -> bool {
        let mut memory = Memory::of_host(HOST_MB);
        let mut reserved: Vec<(Purpose, u64)> = Vec::new();
        for (purpose, bytes, is_release) in steps {
            let purposes = [
                Purpose::Request,
                Purpose::Body,
                Purpose::SmallAnswer,
                Purpose::LargeAnswer,
            ];
            let purpose = purposes[usize::from(purpose) % purposes.len()];
            let bytes = u64::from(bytes % 8_000_000);
            if is_release {
                if let Some((purpose, bytes)) = reserved.pop() {
                    memory.release(purpose, bytes);
                }
            } else if memory.reserve(purpose, bytes) {
                reserved.push((purpose, bytes));
            }
            let sum: u64 = reserved.iter().map(|(_, bytes)| bytes).sum();
            if memory.held() != sum || sum > (HOST_MB * 1e6 / 2.0) as u64 {
                return false;
            }
        }
        true
    }
    quickcheck(holds as fn(Vec<(u8, u32, bool)>) -> bool);
}

/// Guards against callers that do not read large answers, and thereby have the requests of others
/// refused: each purpose keeps its own part.
#[test]
fn large_answers_leave_room_for_requests() {
    let mut memory = Memory::of_host(HOST_MB);
    while memory.reserve(Purpose::LargeAnswer, 1_000_000) {}
    while memory.reserve(Purpose::Body, 1_000_000) {}
    for _ in 0..200 {
        assert!(memory.reserve(Purpose::Request, REQUEST_BYTES));
        assert!(memory.reserve(Purpose::SmallAnswer, 800));
    }
}
