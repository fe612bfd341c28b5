//! What goes wrong in a played scenario, and what hosts hear of it.

use radishstair_core::dispatch::Outcome;
use radishstair_core::id::Incarnation;
use radishstair_core::runner::Listing;

use super::engine::belongs;
use super::{Event, MS, Simulation};
use crate::scenario::Change;

impl Simulation<'_> {
    pub(super) fn change(&mut self, at: usize) {
        match self.scenario.events[at].change.clone() {
            Change::Burst { class, factor } => {
                for (traffic, plan) in self.scenario.traffic.iter().enumerate() {
                    if plan.class == class {
                        self.rates[traffic].fill(factor);
                    }
                }
            }
            Change::Flood {
                class,
                customer,
                factor,
            } => {
                for (traffic, plan) in self.scenario.traffic.iter().enumerate() {
                    for (which, (name, _)) in plan.customers.iter().enumerate() {
                        if plan.class == class && *name == customer {
                            self.rates[traffic][which] = factor;
                        }
                    }
                }
            }
            Change::Slow {
                pool,
                runners,
                factor,
            } => {
                let of_pool = self
                    .engines
                    .iter_mut()
                    .filter(|engine| engine.listed.pool == pool);
                of_pool
                    .take(runners as usize)
                    .for_each(|engine| engine.slow = factor);
            }
            Change::Reclaim {
                pool,
                zone,
                notice_ms,
            } => self.reclaim(&pool, &zone, notice_ms),
            Change::Restore { pool, zone } => {
                for engine in self
                    .engines
                    .iter_mut()
                    .filter(|engine| belongs(engine, &pool, &zone))
                {
                    engine.gone = false;
                    engine.since = self.now;
                    engine.listed.leaving = false;
                    engine.listed.address.push('0');
                }
                self.relist();
            }
            Change::Silence { on } => self.silent = on,
        }
    }

    /// The notice is seen by the hosts that have calls there; the list says
    /// nothing yet.
    fn reclaim(&mut self, pool: &str, zone: &str, notice: u64) {
        let now = self.moment();
        for at in 0..self.engines.len() {
            if !belongs(&self.engines[at], pool, zone) {
                continue;
            }
            let name = self.engines[at].listed.name.clone();
            let seen: Vec<usize> = self.engines[at]
                .running
                .iter()
                .map(|job| self.jobs[*job].host)
                .collect();
            for host in seen {
                self.hosts[host].runners.mark_leaving(now, &name);
            }
            self.plan(notice * MS, Event::Gone(at));
        }
    }

    pub(super) fn vanish(&mut self, engine: usize) {
        let item = &mut self.engines[engine];
        item.gone = true;
        item.on_time += self.now - item.since;
        item.cache.clear();
        let running = std::mem::take(&mut item.running);
        let queued = std::mem::take(&mut item.queue);
        let pool = item.listed.pool.clone();
        for job in running {
            let spent = (self.now - self.jobs[job].started) as f64 / self.jobs[job].span as f64;
            let left = self.jobs[job].tokens - self.jobs[job].done;
            let made = ((f64::from(left) * spent) as u32).min(left);
            // What the caller has stays its own; the next runner goes on.
            self.jobs[job].done += made.min(left.saturating_sub(1));
            self.metrics.record_tokens(&pool, made);
            self.metrics.broken_by_reclaim += 1;
            self.release(job, &Outcome::Failed { tokens: made });
            self.again(job);
        }
        for job in queued {
            self.release(job, &Outcome::ConnectionRefused);
            self.again(job);
        }
    }

    /// The list, which does not know yet who has just gone.
    pub(super) fn relist(&mut self) {
        let all: Vec<Listing> = self.engines.iter().map(|engine| engine.listed.clone()).collect();
        for host in &mut self.hosts {
            host.runners.set_listings(all.clone());
        }
    }

    /// A host's calls and first-hand news reach its zone mates.
    pub(super) fn tell(&mut self, host: usize) {
        if self.silent {
            return;
        }
        let now = self.moment();
        let shares = self.hosts[host].runners.shares();
        let news = self.hosts[host].runners.leaving_names(now);
        self.waiting[host] = self.hosts[host].waiting_by_pool();
        for other in 0..self.hosts.len() {
            if other == host || self.zones[other] != self.zones[host] {
                continue;
            }
            let runners = &mut self.hosts[other].runners;
            runners.set_peer_shares(now, Incarnation(host as u64), &shares);
            for name in &news {
                runners.mark_leaving(now, name);
            }
            let (zones, waiting) = (&self.zones, &self.waiting);
            let mates = (0..zones.len()).filter(|mate| *mate != other && zones[*mate] == zones[other]);
            let pools = mates
                .flat_map(|mate| &waiting[mate])
                .map(|(pool, _)| pool.as_str());
            self.hosts[other].set_waiting_peers(pools);
        }
    }
}
