//! Tests of the lifecycle of a stream's runs, and of the choice of the runner that holds a stream's copy.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, quickcheck};
use radishstair_core::id::{Incarnation, digest};
use radishstair_core::proxy::fleet::{Fleet, Key, Listed, Software, Stage, Way};
use radishstair_core::proxy::gossip;
use radishstair_core::proxy::route::{Engine, Limits, Mode, Table};
use radishstair_core::proxy::run::copy::{self, Denial, Stream};
use radishstair_core::proxy::run::{Action, Answer, Event, MAX_CONTINUATIONS, Run, State, Stop};
use radishstair_core::proxy::{Admission, RequestHead, State as Host};
use radishstair_core::time::Moment;

use super::fixtures::{bounds, route, runner, service};

const HOLDER: Key = Key(7);
const NEXT_HOLDER: Key = Key(8);

fn stopped(stop: Stop, may_continue: bool) -> Event {
    Event::Stopped {
        stop,
        last_event: Some(5),
        may_continue,
    }
}

/// Guards against a stream that is cut although another runner holds its copy, as its runner crashes.
#[test]
fn a_copied_stream_continues_after_its_last_event_when_its_runner_crashes() {
    let mut run = Run::new(Some(HOLDER));
    let continues = Action::Continue {
        holder: HOLDER,
        last_event: 5,
    };
    assert_eq!(run.on_event(stopped(Stop::Broken, true)), continues);
    assert_eq!(run.state(), State::Continuing(HOLDER));
    let answer = Event::Answered(Answer::Continued(None));
    assert_eq!(run.on_event(answer), Action::Wait);
    assert_eq!(run.state(), State::Begun, "the next run has no copy");
    assert_eq!(run.on_event(stopped(Stop::Broken, true)), Action::Resume);
}

/// Guards against a request that is sent to a runner which has left, crashed, or wants nothing now.
#[test]
fn a_stream_whose_holder_may_not_be_sent_requests_ends_as_without_a_copy() {
    let mut run = Run::new(Some(HOLDER));
    assert_eq!(run.on_event(stopped(Stop::Broken, false)), Action::Resume);
    assert_eq!(run.state(), State::Resuming);
    assert_eq!(run.on_event(Event::Over), Action::End);
}

/// Guards against a resumed stream that hangs when its next runner breaks off as well.
#[test]
fn a_resumed_stream_is_resumed_again() {
    let mut run = Run::new(None);
    for _ in 0..2 {
        assert_eq!(run.on_event(stopped(Stop::Broken, true)), Action::Resume);
        assert_eq!(run.on_event(Event::Resumed(None)), Action::Wait);
        assert_eq!(run.state(), State::Begun);
    }
}

/// Guards against a stream that is asked for twice, or waits for ever, when both runners have crashed.
#[test]
fn a_stream_ends_as_without_a_copy_when_its_holder_fails_as_well() {
    let mut run = Run::new(Some(HOLDER));
    run.on_event(stopped(Stop::Broken, true));
    assert_eq!(run.on_event(Event::Answered(Answer::Failed)), Action::Resume);
    assert_eq!(run.on_event(Event::Answered(Answer::Failed)), Action::Wait);
}

/// Guards against a stream that continues from a copy which never arrived.
#[test]
fn a_stream_ends_as_without_a_copy_when_its_holder_has_none() {
    let mut run = Run::new(Some(HOLDER));
    run.on_event(stopped(Stop::Broken, true));
    assert_eq!(run.on_event(Event::Answered(Answer::Refused)), Action::Resume);
    assert_eq!(run.state(), State::Resuming);
}

/// Guards against events that are repeated or left out, as no event tells where to continue.
#[test]
fn a_stream_without_an_event_does_not_continue() {
    let mut run = Run::new(Some(HOLDER));
    let no_event = Event::Stopped {
        stop: Stop::Broken,
        last_event: None,
        may_continue: true,
    };
    assert_eq!(run.on_event(no_event), Action::Resume);
}

/// Guards against a silent stream whose connection is closed although no other runner can continue it, and against
/// one that is never continued as its holder was busy once.
#[test]
fn a_silent_stream_waits_until_its_holder_may_be_sent_the_request() {
    let mut run = Run::new(Some(HOLDER));
    assert_eq!(run.on_event(stopped(Stop::Silent, false)), Action::Wait);
    assert_eq!(run.state(), State::Copied(HOLDER));
    assert!(matches!(
        run.on_event(stopped(Stop::Silent, true)),
        Action::Continue { holder: HOLDER, .. }
    ));
    let mut without_copy = Run::new(None);
    assert_eq!(without_copy.on_event(stopped(Stop::Silent, true)), Action::Wait);
}

/// Guards against a request that crashes one runner after the other, as it continues each time.
#[test]
fn a_stream_continues_from_copies_of_its_own_runs_a_few_times() {
    let mut run = Run::new(Some(HOLDER));
    for _ in 0..MAX_CONTINUATIONS {
        let action = run.on_event(stopped(Stop::Broken, true));
        assert!(matches!(action, Action::Continue { .. }));
        run.on_event(Event::Answered(Answer::Continued(Some(NEXT_HOLDER))));
        assert_eq!(run.state(), State::Copied(NEXT_HOLDER));
    }
    assert_eq!(run.holder(), None);
    assert_eq!(run.on_event(stopped(Stop::Broken, true)), Action::Resume);
}

/// Guards against a second run of a stream that is complete, or whose caller has left.
#[test]
fn a_stream_that_has_ended_does_not_continue() {
    for end in [Event::Complete, Event::Over] {
        let mut run = Run::new(Some(HOLDER));
        assert_eq!(run.on_event(end), Action::End);
        assert_eq!(run.on_event(stopped(Stop::Broken, true)), Action::End);
        assert_eq!(run.state(), State::Ended);
    }
}

#[derive(Clone, Copy, Debug)]
struct AnyEvent(Event);

impl Arbitrary for AnyEvent {
    fn arbitrary(g: &mut Gen) -> Self {
        let stop = *g.choose(&[Stop::Broken, Stop::Silent]).expect("not empty");
        let holder = bool::arbitrary(g).then_some(NEXT_HOLDER);
        let events = [
            Event::Stopped {
                stop,
                last_event: Option::arbitrary(g),
                may_continue: bool::arbitrary(g),
            },
            Event::Answered(Answer::Continued(holder)),
            Event::Answered(Answer::Refused),
            Event::Answered(Answer::Failed),
            Event::Resumed(holder),
        ];
        Self(*g.choose(&events).expect("not empty"))
    }
}

quickcheck! {
    /// Guards against two runs of a request at a time, and against a continuation without a copy or without a retry.
    fn a_stream_has_one_run_at_a_time(events: Vec<AnyEvent>) -> bool {
        let mut run = Run::new(Some(HOLDER));
        let (mut holder, mut is_open, mut continuations) = (Some(HOLDER), true, 0);
        for AnyEvent(event) in events {
            let was_waiting = matches!(run.state(), State::Continuing(_));
            let was_resuming = run.state() == State::Resuming;
            let action = run.on_event(event);
            if let Event::Answered(Answer::Continued(next)) = event && was_waiting {
                (holder, is_open) = (next, true);
            }
            if let Event::Resumed(next) = event && was_resuming {
                (holder, is_open) = (next, true);
            }
            if action == Action::Resume {
                (holder, is_open) = (None, false);
            }
            if let Action::Continue { holder: at, last_event } = action {
                let Event::Stopped { last_event: last, may_continue, .. } = event else {
                    return false;
                };
                let is_sound = is_open && may_continue && holder == Some(at) && last == Some(last_event);
                if !is_sound {
                    return false;
                }
                (holder, is_open) = (None, false);
                continuations += 1;
            }
        }
        continuations <= MAX_CONTINUATIONS
    }
}

/// The engine of deployment A of the design page, with 16 slots.
fn engine() -> Engine {
    let engine = service("engines", Some(16)).engine.expect("it has an engine");
    Engine {
        token_bytes: 35_136.0,
        link_mbps: 740_000.0,
        offers_copies: true,
        ..engine
    }
}

/// Guards against copies that occupy the links of engines for longer than streams may pause.
#[test]
fn short_prompts_are_copied_and_long_ones_are_not() {
    let gap = Duration::from_millis(200);
    assert!(copy::is_affordable(&engine(), 900, gap));
    assert!(!copy::is_affordable(&engine(), 12_000, gap));
    assert!(copy::is_affordable(&engine(), 1_300, gap), "7.9 of 8 ms");
    assert!(!copy::is_affordable(&engine(), 1_400, gap), "8.5 of 8 ms");
    let unknown = Engine {
        link_mbps: 0.0,
        ..engine()
    };
    assert!(!copy::is_affordable(&unknown, 900, gap), "the link is unknown");
}

fn at(ms: u64) -> Moment {
    Moment::at_ms(ms)
}

/// A host whose document has a route of streams that cannot be resumed and one of those that can.
fn host(engine: Engine, runners: Vec<Listed>) -> Host {
    let mut fixed = route("short", "/short/", Mode::Stream { resumable: false }, "engines");
    fixed.max_event_gap = Some(Duration::from_millis(200));
    let resumable = route("long", "/long/", Mode::Stream { resumable: true }, "engines");
    let mut engines = service("engines", None);
    engines.engine = Some(engine);
    let table = Table::new(
        1,
        1,
        vec![fixed, resumable],
        vec![engines],
        None,
        Limits::default(),
    );
    let mut host = Host::new(bounds(), "a");
    host.configure(Moment::default(), table);
    host.freshness.renew(at(0));
    host.update_runners(at(0), at(0), runners);
    host
}

fn admission(host: &Host, path: &str) -> Admission {
    let head = RequestHead {
        host: "books.example",
        path,
        key: None,
        random: 0,
    };
    host.admit(at(0), &head).expect("the route is public")
}

fn stream(fleet: &Fleet, source: &str, hash: u64) -> Stream {
    Stream {
        source: fleet.find(source).expect("it is listed"),
        version: Software::new("engines", "v1").version,
        way: Way::Direct,
        prompt_tokens: 900,
        kv_tokens: 1_000,
        hash,
    }
}

fn runners(ids: &[(&str, &str)]) -> Vec<Listed> {
    ids.iter().map(|(id, zone)| runner(id, "engines", zone)).collect()
}

/// Guards against copies where the operator or the route has none.
#[test]
fn only_streams_that_cannot_be_resumed_are_copied_where_the_engine_offers_it() {
    let listed = runners(&[("one", "a"), ("two", "b")]);
    let mut with_copies = host(engine(), listed.clone());
    let (short, long) = (
        admission(&with_copies, "/short/1"),
        admission(&with_copies, "/long/1"),
    );
    let request = stream(&with_copies.fleet, "one", 1);
    assert!(with_copies.place_copy(at(0), &short, &request).is_ok());
    assert_eq!(
        with_copies.place_copy(at(0), &long, &request),
        Err(Denial::NotOffered)
    );
    let long_prompt = Stream {
        prompt_tokens: 12_000,
        ..request
    };
    assert_eq!(
        with_copies.place_copy(at(0), &short, &long_prompt),
        Err(Denial::TooLarge)
    );
    let no_copies = Engine {
        offers_copies: false,
        ..engine()
    };
    let mut without = host(no_copies, listed);
    assert_eq!(
        without.place_copy(at(0), &short, &request),
        Err(Denial::NotOffered)
    );
}

/// Guards against a copy that is lost together with its run, as the runners of a zone leave together.
#[test]
fn a_copy_goes_to_another_zone_if_a_runner_there_has_room() {
    let mut host = host(engine(), runners(&[("one", "a"), ("two", "a"), ("three", "b")]));
    let short = admission(&host, "/short/1");
    let [two, three] = ["two", "three"].map(|id| host.fleet.find(id).expect("it is listed"));
    let request = stream(&host.fleet, "one", 1);
    for hash in 0..20 {
        let holder = copy::choose(
            &host.fleet,
            at(0),
            "engines",
            480_000,
            &Stream { hash, ..request },
        );
        assert_eq!(holder.map(|holder| holder.key), Some(three));
    }
    host.fleet.start_request(at(0), three, 0, 239_500);
    let nearby = host.place_copy(at(0), &short, &request);
    assert_eq!(
        nearby.map(|holder| holder.key),
        Ok(two),
        "over half of the other one is full"
    );
    host.fleet.start_request(at(0), two, 0, 239_500);
    assert_eq!(host.place_copy(at(0), &short, &request), Err(Denial::NoRoom));
}

/// Guards against a copy at a runner of another version, or at one that is leaving: the stream could not continue there.
#[test]
fn a_copy_goes_to_a_runner_that_may_be_sent_the_request() {
    let mut listed = runners(&[("one", "a"), ("two", "b"), ("three", "b"), ("four", "b")]);
    listed[1].software = Software::new("engines", "v2");
    listed[2].stage = Stage::Draining;
    let mut host = host(engine(), listed);
    let short = admission(&host, "/short/1");
    let four = host.fleet.find("four").expect("it is listed");
    let request = stream(&host.fleet, "one", 1);
    let holder = host.place_copy(at(0), &short, &request);
    assert_eq!(holder.map(|holder| holder.key), Ok(four));
    let version = request.version;
    let may_continue =
        |fleet: &Fleet, key| fleet.may_continue_at(at(1), key, "engines", version, Way::Direct);
    assert!(may_continue(&host.fleet, four));
    host.fleet.record_leaving(four);
    assert!(
        !may_continue(&host.fleet, four),
        "it leaves before the runner of the stream crashes"
    );
    assert_eq!(host.place_copy(at(1), &short, &request), Err(Denial::NoRoom));
}

/// Guards against runners that other hosts fill, as they do not hear of the copies there.
#[test]
fn a_copy_counts_in_the_load_that_hosts_report_until_it_is_released() {
    let mut host = host(engine(), runners(&[("one", "a"), ("two", "b")]));
    let short = admission(&host, "/short/1");
    let request = stream(&host.fleet, "one", 1);
    let holder = host.place_copy(at(0), &short, &request).expect("there is room");
    let report = |host: &Host| gossip::packet(Incarnation(1), 1, &host.fleet, Vec::new()).loads;
    let loads = report(&host);
    assert_eq!(loads.len(), 1);
    assert_eq!((loads[0].runner, loads[0].kv_tokens), (digest(b"two"), 1_000));
    host.fleet.finish_copy(holder.key, holder.kv_tokens);
    assert!(report(&host).is_empty());
}

/// Guards against many hosts that copy to the same runner before they hear of each other's copies.
#[test]
fn hosts_spread_their_copies_without_hearing_of_each_other() {
    for (hosts, count, copies) in [(3, 90, 10), (80, 90, 10), (1_000, 1_700, 4)] {
        let zones = ["a", "b", "c"];
        let ids: Vec<(String, &str)> = (0..count).map(|at| (format!("r{at}"), zones[at % 3])).collect();
        let listed = ids.iter().map(|(id, zone)| runner(id, "engines", zone));
        let mut fleet = Fleet::new("a");
        fleet.update(at(0), listed.collect());
        let mut held = vec![0u32; count];
        for host in 0..hosts {
            for number in 0..copies {
                let source = format!("r{}", (host * 7 + number * 13) % count);
                let id = format!("{host}-{number}");
                let request = stream(&fleet, &source, digest(id.as_bytes()));
                let holder =
                    copy::choose(&fleet, at(0), "engines", 480_000, &request).expect("there is room");
                assert_ne!(holder.key, request.source);
                held[holder.key.index()] += 1;
            }
        }
        let mean = (hosts * copies) as f64 / count as f64;
        let most = f64::from(held.into_iter().max().unwrap_or_default());
        assert!(
            most <= mean + 5.0 * mean.sqrt() + 2.0,
            "{hosts} hosts: {most} copies at one runner, {mean} on average"
        );
    }
}
