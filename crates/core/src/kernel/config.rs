//! Configuration service of the kernel.
//!
//! It publishes each new version to the other services and to the traffic
//! threads.

use super::pending::Pending;
use super::{Action, CALLS, CONFIG, DISPATCH, Event, MEMBER, ORDERS, Outbox, Reply, Status, USAGE};
use crate::config::service;
use crate::peer::Heartbeat;
use crate::time::Moment;

/// Configuration in force, and what of it has been published.
#[derive(Debug, Default)]
pub struct Service {
    configuration: service::Service,
    watches_store: bool,
    published_trust: Option<bool>,
    published_version: u64,
    pending: Pending,
}

impl Service {
    /// Handles an event.
    pub fn handle(&mut self, now: Moment, event: &Event, outbox: &mut Outbox) {
        match event {
            Event::Tick => {
                let call = self.configuration.tick(now, self.watches_store);
                self.pending.send(CONFIG, call, outbox);
                self.publish_trust(now, outbox);
            }
            Event::Membership(membership) => self.watches_store = membership.watches_store,
            Event::StoreAnswer(token, answer) if self.pending.accept(*token) => {
                let (_, call) = self.configuration.on_answer(now, answer);
                self.pending.send(CONFIG, call, outbox);
                self.publish(now, outbox);
            }
            Event::Heartbeat(heartbeat) => {
                if let Some(pull) = self.configuration.on_heartbeat(now, heartbeat) {
                    outbox.push_action(Action::Pull(heartbeat.sender.address.clone(), pull));
                }
            }
            Event::Pull(call, pull) => outbox.reply(*call, Reply::Pulled(self.configuration.on_pull(pull))),
            Event::Pulled(pulled) => {
                self.configuration.on_pulled(pulled);
                self.publish(now, outbox);
            }
            _ => {}
        }
    }

    fn publish(&mut self, now: Moment, outbox: &mut Outbox) {
        let view = self.configuration.view().clone();
        if view.version == self.published_version {
            return;
        }
        self.published_version = view.version;
        for name in [MEMBER, DISPATCH, CALLS, ORDERS, USAGE] {
            outbox.post(name, Event::View(view.clone()));
        }
        outbox.push_action(Action::View(view));
        self.publish_trust(now, outbox);
    }

    fn publish_trust(&mut self, now: Moment, outbox: &mut Outbox) {
        let trusted = self.configuration.trusted(now);
        if self.published_trust != Some(trusted) {
            self.published_trust = Some(trusted);
            outbox.push_action(Action::KeysTrusted(trusted));
        }
    }

    /// Adds the configuration version, and the time since it was last
    /// confirmed as the newest, to a heartbeat.
    pub fn fill_heartbeat(&mut self, now: Moment, _address: &str, heartbeat: &mut Heartbeat) {
        heartbeat.config_version = self.configuration.view().version;
        heartbeat.store_age_ms = self
            .configuration
            .age(now)
            .map_or(u64::MAX, |age| age.as_millis() as u64);
    }

    /// Adds version, trust and age to the status.
    pub fn add_status(&self, now: Moment, status: &mut Status) {
        status.version = self.configuration.view().version;
        status.trusted = self.configuration.trusted(now);
        status.age_ms = self.configuration.age(now).map(|age| age.as_millis() as u64);
    }
}
