//! Changes in a simulated scenario, and the reports that hosts get of them.

use radishstair_core::dispatch::Outcome;
use radishstair_core::id::Incarnation;
use radishstair_core::runner::Listing;

use super::engine::is_in;
use super::{Event, Simulation, US_PER_MS};
use crate::scenario::Change;

impl Simulation<'_> {
    pub(super) fn apply_change(&mut self, at: usize) {
        match self.scenario.events[at].change.clone() {
            Change::Burst { class, factor } => {
                for (traffic, profile) in self.scenario.traffic.iter().enumerate() {
                    if profile.class == class {
                        self.rate_factors[traffic].fill(factor);
                    }
                }
            }
            Change::Flood {
                class,
                customer,
                factor,
            } => {
                for (traffic, profile) in self.scenario.traffic.iter().enumerate() {
                    for (index, (name, _)) in profile.customers.iter().enumerate() {
                        if profile.class == class && *name == customer {
                            self.rate_factors[traffic][index] = factor;
                        }
                    }
                }
            }
            Change::Slow {
                pool,
                runners,
                factor,
            } => {
                let engines = self
                    .engines
                    .iter_mut()
                    .filter(|engine| engine.listing.pool == pool);
                engines
                    .take(runners as usize)
                    .for_each(|engine| engine.slowdown = factor);
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
                    .filter(|engine| is_in(engine, &pool, &zone))
                {
                    engine.stopped = false;
                    engine.started_us = self.now_us;
                    engine.listing.leaving = false;
                    engine.listing.address.push('0');
                }
                self.publish_list();
            }
            Change::Silence { on } => self.partitioned = on,
        }
    }

    /// Gives notice to the hosts with running calls on the engines of a pool in a zone, and
    /// schedules the engines' stop. The platform's list does not show it yet.
    fn reclaim(&mut self, pool: &str, zone: &str, notice_ms: u64) {
        let now = self.moment();
        for at in 0..self.engines.len() {
            if !is_in(&self.engines[at], pool, zone) {
                continue;
            }
            let name = self.engines[at].listing.name.clone();
            let notified: Vec<usize> = self.engines[at]
                .running
                .iter()
                .map(|job| self.jobs[*job].host)
                .collect();
            for host in notified {
                self.hosts[host].runners.mark_leaving(now, &name);
            }
            self.schedule(notice_ms * US_PER_MS, Event::EngineStop(at));
        }
    }

    pub(super) fn stop_engine(&mut self, engine: usize) {
        let item = &mut self.engines[engine];
        item.stopped = true;
        item.uptime_us += self.now_us - item.started_us;
        item.cached_prefixes.clear();
        let running = std::mem::take(&mut item.running);
        let queued = std::mem::take(&mut item.queue);
        let pool = item.listing.pool.clone();
        for job in running {
            let progress =
                (self.now_us - self.jobs[job].started_us) as f64 / self.jobs[job].duration_us as f64;
            let remaining = self.jobs[job].tokens - self.jobs[job].delivered;
            let generated = ((f64::from(remaining) * progress) as u32).min(remaining);
            // The caller keeps the tokens that it received, and the next engine resumes after
            // them. At least one token is left to generate.
            self.jobs[job].delivered += generated.min(remaining.saturating_sub(1));
            self.metrics.record_tokens(&pool, generated);
            self.metrics.broken_by_reclaim += 1;
            self.release(job, &Outcome::Failed { tokens: generated });
            self.resubmit(job);
        }
        for job in queued {
            self.release(job, &Outcome::ConnectionRefused);
            self.resubmit(job);
        }
    }

    /// Sends the platform's list to all hosts. It still contains engines that have stopped.
    pub(super) fn publish_list(&mut self) {
        let listings: Vec<Listing> = self.engines.iter().map(|engine| engine.listing.clone()).collect();
        for host in &mut self.hosts {
            host.runners.set_listings(listings.clone());
        }
    }

    /// Sends a host's load, notices of leaving runners and waiting calls to its zone peers.
    pub(super) fn report_to_peers(&mut self, host: usize) {
        if self.partitioned {
            return;
        }
        let now = self.moment();
        let load = self.hosts[host].runners.local_load();
        let leaving = self.hosts[host].runners.leaving_names(now);
        self.reported_waiting[host] = self.hosts[host].waiting_by_pool();
        for other in 0..self.hosts.len() {
            if other == host || self.host_zones[other] != self.host_zones[host] {
                continue;
            }
            let runners = &mut self.hosts[other].runners;
            runners.set_peer_load(now, Incarnation(host as u64), &load);
            for name in &leaving {
                runners.mark_leaving(now, name);
            }
            let (zones, waiting) = (&self.host_zones, &self.reported_waiting);
            let peers = (0..zones.len()).filter(|peer| *peer != other && zones[*peer] == zones[other]);
            let pools = peers
                .flat_map(|peer| &waiting[peer])
                .map(|(pool, _)| pool.as_str());
            self.hosts[other].set_waiting_peers(pools);
        }
    }
}
