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
    pub fn handle(&mut self, now: Moment, event: &Event, outbox: &mut Outbox) {
        match event {
            Event::Tick => {
                let call = self.inner.tick(now, self.watcher);
                self.request.send(CONFIG, call, outbox);
                self.tell_trust(now, outbox);
            }
            Event::Membership(membership) => self.watcher = membership.watches_store,
            Event::StoreAnswer(token, answer) if self.request.accept(*token) => {
                let (_, call) = self.inner.answer(now, answer);
                self.request.send(CONFIG, call, outbox);
                self.publish(now, outbox);
            }
            Event::Heartbeat(heartbeat) => {
                if let Some(pull) = self.inner.hear(now, heartbeat) {
                    outbox.push_action(Action::Pull(heartbeat.sender.address.clone(), pull));
                }
            }
            Event::Pull(call, pull) => outbox.reply(*call, Reply::Pulled(self.inner.pull(pull))),
            Event::Pulled(pulled) => {
                self.inner.pulled(pulled);
                self.publish(now, outbox);
            }
            _ => {}
        }
    }

    fn publish(&mut self, now: Moment, outbox: &mut Outbox) {
        let view = self.inner.view().clone();
        if view.version == self.told {
            return;
        }
        self.told = view.version;
        for name in [MEMBER, DISPATCH, CALLS, ORDERS, USAGE] {
            outbox.post(name, Event::View(view.clone()));
        }
        outbox.push_action(Action::View(view));
        self.tell_trust(now, outbox);
    }

    fn tell_trust(&mut self, now: Moment, outbox: &mut Outbox) {
        let trusted = self.inner.trusted(now);
        if self.trusted != Some(trusted) {
            self.trusted = Some(trusted);
            outbox.push_action(Action::KeysTrusted(trusted));
        }
    }

    /// Adds to a heartbeat.
    pub fn fill_heartbeat(&mut self, now: Moment, _address: &str, heartbeat: &mut Heartbeat) {
        heartbeat.version = self.inner.view().version;
        heartbeat.store_age_ms = self.inner.age(now).map_or(u64::MAX, |age| age.as_millis() as u64);
    }

    /// Adds to the status.
    pub fn add_status(&self, now: Moment, status: &mut Status) {
        status.version = self.inner.view().version;
        status.trusted = self.inner.trusted(now);
        status.age_ms = self.inner.age(now).map(|age| age.as_millis() as u64);
    }
}
