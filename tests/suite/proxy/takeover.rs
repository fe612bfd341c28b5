//! Tests of when another runner takes over a stream whose runner is silent.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, quickcheck};
use radishstair_core::proxy::fleet::Fleet;
use radishstair_core::proxy::takeover::{ASK_INTERVAL, Action, Denial, Event, Takeover};
use radishstair_core::retry;
use radishstair_core::time::Moment;

use super::fixtures::runner;

fn at(ms: u64) -> Moment {
    Moment::at_ms(ms)
}

/// Guards against a stream that is ended because another runner may not be asked at the moment.
#[test]
fn a_denied_takeover_is_asked_for_again() {
    let mut takeover = Takeover::new(at(0));
    assert_eq!(takeover.on_event(at(0), Event::Tick), Action::Ask);
    let no_budget = Denial::Retry(retry::Denial::BudgetExhausted);
    assert_eq!(
        takeover.on_event(at(1), Event::OtherDenied(no_budget)),
        Action::Wait
    );
    let ask_at = takeover.next_tick().expect("it is asked again");
    assert_eq!(ask_at, at(1) + ASK_INTERVAL);
    assert_eq!(takeover.on_event(ask_at, Event::Tick), Action::Ask);
    let no_attempt = Denial::Retry(retry::Denial::AttemptsExhausted);
    assert_eq!(
        takeover.on_event(ask_at, Event::OtherDenied(no_attempt)),
        Action::Wait
    );
    assert_eq!(takeover.next_tick(), None, "the first runner is waited for");
}

/// Guards against a stream that waits for a silent runner although a further one may be asked.
#[test]
fn another_runner_that_does_not_begin_makes_way_for_a_further_one() {
    let mut takeover = Takeover::new(at(0));
    takeover.on_event(at(0), Event::Tick);
    takeover.on_event(at(10), Event::OtherSent { is_last: false });
    let end = takeover.next_tick().expect("the wait is limited");
    assert_eq!(takeover.on_event(end, Event::Tick), Action::CloseOther);
    assert_eq!(
        takeover.on_event(end, Event::OtherDenied(Denial::Slow)),
        Action::Wait
    );
    assert_eq!(takeover.next_tick(), Some(end), "a further one is asked at once");
    assert_eq!(takeover.on_event(end, Event::Tick), Action::Ask);
    takeover.on_event(end, Event::OtherSent { is_last: true });
    assert_eq!(
        takeover.next_tick(),
        None,
        "the last one is waited for, like the first one"
    );
    assert_eq!(takeover.on_event(at(60_000), Event::FirstBroken), Action::Wait);
    let failed = Event::OtherDenied(Denial::Failed);
    assert_eq!(takeover.on_event(at(60_001), failed), Action::Broken);
}

/// Guards against a stream that is ended while another runner has it, as the first one has broken off.
#[test]
fn another_runner_keeps_the_stream_once_the_first_one_has_broken_off() {
    let mut takeover = Takeover::new(at(0));
    takeover.on_event(at(0), Event::Tick);
    takeover.on_event(at(10), Event::OtherSent { is_last: false });
    assert_eq!(takeover.on_event(at(500), Event::FirstBroken), Action::Wait);
    assert_eq!(takeover.next_tick(), None);
    assert_eq!(takeover.on_event(at(9_000), Event::Tick), Action::Wait);
}

/// Guards against a silent stream that goes on at a runner which is silent or full as well.
#[test]
fn runners_that_are_silent_or_full_take_no_stream_over() {
    let mut fleet = Fleet::new("a");
    fleet.update(
        at(0),
        ["one", "two", "three"]
            .map(|id| runner(id, "engines", "a"))
            .to_vec(),
    );
    let [one, two, three] = ["one", "two", "three"].map(|id| fleet.find(id).expect("it is listed"));
    let slots = fleet.get(two).expect("it is listed").listed.slots;
    assert!(fleet.busy(at(0), "engines").is_empty());
    fleet.record_stall(at(100), one);
    for _ in 0..slots {
        fleet.start_request(at(100), two, 0, 0);
    }
    assert_eq!(fleet.busy(at(200), "engines"), [one, two]);
    fleet.record_output(one);
    fleet.record_stall(at(300), three);
    assert_eq!(fleet.busy(at(400), "engines"), [two, three]);
    assert_eq!(fleet.busy(at(60_000), "engines"), [two], "a silence is forgotten");
}

/// An event, and the time that passes before it.
#[derive(Clone, Copy, Debug)]
struct Step {
    pause_ms: u64,
    event: Event,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let denials = [
            Denial::Retry(retry::Denial::BudgetExhausted),
            Denial::Retry(retry::Denial::AttemptsExhausted),
            Denial::NoRunner,
            Denial::Retry(retry::Denial::Unreachable),
            Denial::Failed,
            Denial::Refused,
            Denial::VersionUnknown,
            Denial::Stopping,
        ];
        let denied = Event::OtherDenied(*g.choose(&denials).expect("not empty"));
        let events = [
            Event::FirstBroken,
            Event::OtherSent {
                is_last: bool::arbitrary(g),
            },
            denied,
            Event::Tick,
            Event::Tick,
        ];
        Self {
            pause_ms: u64::from(u8::arbitrary(g)),
            event: *g.choose(&events).expect("not empty"),
        }
    }
}

/// State of the two connections, kept by the rules of the protocol alone.
struct Connections {
    now: Moment,
    takeover: Takeover,
    is_asking: bool,
    is_sent: bool,
    /// When another runner may be asked at the earliest; `None` if none may.
    ask_at: Option<Moment>,
}

impl Connections {
    /// Applies an event if it can happen now; false if what follows breaks a rule.
    fn step(&mut self, event: Event) -> bool {
        let can_happen = match event {
            Event::OtherSent { .. } => self.is_asking && !self.is_sent,
            Event::OtherDenied(_) => self.is_asking,
            Event::FirstBroken => self.takeover.has_first(),
            Event::Tick => true,
        };
        if !can_happen {
            return true;
        }
        match event {
            Event::OtherSent { .. } => self.is_sent = true,
            Event::OtherDenied(denial) => {
                (self.is_asking, self.is_sent) = (false, false);
                self.ask_at = denial.ask_after().map(|pause| self.now + pause);
            }
            Event::FirstBroken | Event::Tick => {}
        }
        match self.takeover.on_event(self.now, event) {
            Action::Wait => true,
            Action::Ask => {
                let may_ask = self.ask_at.is_some_and(|at| self.now.reached(at));
                let was_asking = std::mem::replace(&mut self.is_asking, true);
                may_ask && !was_asking
            }
            Action::CloseOther => {
                self.is_sent && self.takeover.has_first() && self.step(Event::OtherDenied(Denial::Slow))
            }
            Action::Broken => !self.takeover.has_first() && !self.is_asking,
        }
    }

    /// Moves to a later time, with all ticks on the way.
    fn advance(&mut self, until: Moment) -> bool {
        while let Some(tick) = self.takeover.next_tick().filter(|tick| until.reached(*tick)) {
            self.now = if tick.reached(self.now) { tick } else { self.now };
            if !self.takeover.has_first() && !self.is_asking {
                break;
            }
            if !self.step(Event::Tick) {
                return false;
            }
        }
        self.now = until;
        true
    }
}

quickcheck! {
    /// In whatever order things happen: the stream ends only if its first runner has broken off and no other one
    /// is asked, one other runner is asked at a time, and none too soon or after a denial for good.
    fn a_silent_stream_keeps_its_runner_until_another_one_answers(steps: Vec<Step>) -> bool {
        let mut connections = Connections {
            now: at(0),
            takeover: Takeover::new(at(0)),
            is_asking: false,
            is_sent: false,
            ask_at: Some(at(0)),
        };
        steps.into_iter().all(|Step { pause_ms, event }| {
            let until = connections.now + Duration::from_millis(pause_ms);
            connections.advance(until) && connections.step(event)
        })
    }
}
