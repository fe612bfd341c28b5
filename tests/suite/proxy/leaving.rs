//! Tests of runners that shut down, as told by the store, by their answers and by other hosts.

use quickcheck::quickcheck;
use radishstair_core::id::Incarnation;
use radishstair_core::proxy::State;
use radishstair_core::proxy::fleet::notice::{Answer, Notices};
use radishstair_core::proxy::fleet::{Listed, Stage};
use radishstair_core::time::Moment;

use super::fixtures::{bounds, runner};

const SERVICE: &str = "ledger";

fn at(ms: u64) -> Moment {
    Moment::at_ms(100_000 + ms)
}

fn entry(started_ms: u64, version: u64, stage: Stage) -> Listed {
    Listed {
        started_ms,
        version,
        stage,
        ..runner("r0", SERVICE, "zone-a")
    }
}

fn host() -> State {
    let mut host = State::new(bounds(), "zone-a");
    host.fleet.update(at(0), vec![entry(1, 1, Stage::Ready)]);
    host
}

fn hear(host: &mut State, ms: u64, answer: Answer) -> bool {
    let key = host.fleet.find("r0").expect("listed before");
    let notices = Notices {
        is_leaving: true,
        ..Notices::default()
    };
    host.fleet
        .record_notices(at(ms), key, at(ms), answer, &notices)
        .has_begun_to_leave
}

fn count(host: &State, ms: u64) -> usize {
    host.fleet.count_listed(at(ms), SERVICE)
}

/// Guards against an entry that is older than the answer and brings a leaving runner back.
#[test]
fn only_a_new_process_takes_back_that_a_runner_leaves() {
    let mut host = host();
    assert!(!hear(&mut host, 10, Answer::Misdirected), "another process");
    assert!(hear(&mut host, 20, Answer::Rejected));
    assert!(!hear(&mut host, 30, Answer::Other), "known");
    assert_eq!(count(&host, 30), 0);
    host.fleet.update(at(40), vec![entry(1, 2, Stage::Ready)]);
    assert_eq!(count(&host, 40), 0, "an entry that was written before");
    host.fleet.update(at(50), Vec::new());
    host.fleet.update(at(60), vec![entry(1, 3, Stage::Ready)]);
    assert_eq!(count(&host, 60), 0, "an entry that had lapsed");
    host.fleet.update(at(70), vec![entry(2, 4, Stage::Ready)]);
    assert_eq!(count(&host, 70), 1, "a new process");
}

/// Guards against hosts that are not told, told twice, or told of a former process.
#[test]
fn other_hosts_are_told_once_that_a_runner_leaves() {
    let mut first = host();
    let mut other = host();
    hear(&mut first, 10, Answer::Other);
    let update = first.update(at(15), Incarnation(1), 1, 1).expect("news");
    assert!(update.concerns_all_zones());
    assert_eq!(first.update(at(15), Incarnation(1), 1, 2), None, "told once");
    other.receive_update(at(20), update.clone());
    assert_eq!(count(&other, 20), 0);
    assert_eq!(
        other.update(at(25), Incarnation(2), 1, 1),
        None,
        "what was told is not passed on"
    );
    let mut restarted = host();
    restarted.fleet.update(at(5), vec![entry(2, 2, Stage::Ready)]);
    restarted.receive_update(at(20), update);
    assert_eq!(count(&restarted, 20), 1, "the report is about its former process");
}

quickcheck! {
    /// Guards against any order of entries, answers, reports and lapses in which a process that has said once that it
    /// leaves gets requests again.
    fn a_process_that_leaves_gets_nothing_again(events: Vec<u8>) -> bool {
        let (mut host, mut teller) = (host(), host());
        let (mut started_ms, mut has_left) = (1, false);
        for (index, event) in events.into_iter().enumerate() {
            let ms = 10 * (1 + index as u64);
            let mut list = |stage, started_ms| {
                host.fleet.update(at(ms), vec![entry(started_ms, ms, stage)]);
                teller.fleet.update(at(ms), vec![entry(started_ms, ms, stage)]);
            };
            match event % 6 {
                0 => list(Stage::Ready, started_ms),
                1 => {
                    started_ms += 1;
                    has_left = false;
                    list(Stage::Ready, started_ms);
                }
                2 => host.fleet.update(at(ms), Vec::new()).clear(),
                3 => {
                    hear(&mut host, ms, Answer::Other);
                    has_left = true;
                }
                4 => {
                    hear(&mut teller, ms, Answer::Rejected);
                    if let Some(update) = teller.update(at(ms), Incarnation(2), ms, 1) {
                        host.receive_update(at(ms), update);
                        has_left = true;
                    }
                }
                _ => {}
            }
            if has_left && count(&host, ms) > 0 {
                return false;
            }
        }
        true
    }
}
