//! Configuration as a service of the kernel.

use super::pending::Pending;
use super::{Action, CALLS, CONFIG, DISPATCH, Event, MEMBER, ORDERS, Outbox, Reply, Status, USAGE};
use crate::config::service;
use crate::peer::Heartbeat;
use crate::time::Moment;

/// The configuration in force.
#[derive(Debug, Default)]
pub struct Service {
    inner: service::Service,
    watcher: bool,
    trusted: Option<bool>,
    told: u64,
    request: Pending,
}

impl Service {
    /// Takes an event in.
    pub fn handle(&mut self, now: Moment, event: &Event, out: &mut Outbox) {
        match event {
            Event::Tick => {
                let call = self.inner.tick(now, self.watcher);
                self.request.send(CONFIG, call, out);
                self.tell_trust(now, out);
            }
            Event::Membership(standing) => self.watcher = standing.watches_store,
            Event::StoreAnswer(token, answer) if self.request.accept(*token) => {
                let (_, call) = self.inner.on_answer(now, answer);
                self.request.send(CONFIG, call, out);
                self.publish(now, out);
            }
            Event::Heartbeat(beat) => {
                if let Some(pull) = self.inner.on_heartbeat(now, beat) {
                    out.push_action(Action::Pull(beat.sender.address.clone(), pull));
                }
            }
            Event::Pull(call, pull) => out.reply(*call, Reply::Pulled(self.inner.on_pull(pull))),
            Event::Pulled(pulled) => {
                self.inner.on_pulled(pulled);
                self.publish(now, out);
            }
            _ => {}
        }
    }

    fn publish(&mut self, now: Moment, out: &mut Outbox) {
        let view = self.inner.view().clone();
        if view.version == self.told {
            return;
        }
        self.told = view.version;
        for name in [MEMBER, DISPATCH, CALLS, ORDERS, USAGE] {
            out.post(name, Event::View(view.clone()));
        }
        out.push_action(Action::View(view));
        self.tell_trust(now, out);
    }

    fn tell_trust(&mut self, now: Moment, out: &mut Outbox) {
        let trusted = self.inner.trusted(now);
        if self.trusted != Some(trusted) {
            self.trusted = Some(trusted);
            out.push_action(Action::KeysTrusted(trusted));
        }
    }

    /// Adds to a heartbeat.
    pub fn compose(&mut self, now: Moment, _address: &str, beat: &mut Heartbeat) {
        beat.version = self.inner.view().version;
        beat.store_age_ms = self.inner.age(now).map_or(u64::MAX, |age| age.as_millis() as u64);
    }

    /// Adds to the status.
    pub fn describe(&self, now: Moment, status: &mut Status) {
        status.version = self.inner.view().version;
        status.trusted = self.inner.trusted(now);
        status.age_ms = self.inner.age(now).map(|age| age.as_millis() as u64);
    }
}
