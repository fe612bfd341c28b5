//! Connections to runners, directly or through a peer, and the watch over them.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use radishstair_core::proxy::State;
use radishstair_core::proxy::fleet::{AttemptResult, Key, Liveness, Way};
use radishstair_core::proxy::reach::{Failure, Phase, Vouch};
use radishstair_core::proxy::readers::Host;
use radishstair_core::retry::Fault;
use radishstair_core::time::Moment;

use super::forward::Forwarder;
use super::gossip::address_hash;
use super::job::Job;
use super::paths;
use super::slot::Slot;
use crate::upstream::connection::{self, Connection};
use crate::upstream::pool;
use crate::upstream::relay;

/// Consecutive connection attempts without an answer after which the path counts as lost.
/// With 3 % packet loss, one attempt in thirty gets no answer.
const MAX_UNANSWERED_CONNECTS: u32 = 2;
/// Peers that are asked to relay one connection.
const MAX_RELAYS: usize = 2;
/// Time limit for a relayed connection: to the peer, and from there to the runner.
pub(super) const RELAY_TIMEOUT: Duration = Duration::from_millis(450);

impl Forwarder {
    /// Completes when the runner can no longer be reached.
    ///
    /// If this were left to the kernel, the connection would end without a reset. The
    /// request would then reach the runner once the path is restored, seconds after its
    /// caller was told that it failed.
    pub(super) async fn wait_for_path_loss(&self, job: &Job, slot: &Slot, relay: Option<SocketAddr>) {
        let sent_at = self.shared.now();
        loop {
            let now = self.shared.now();
            let (liveness, is_suspected) = {
                let mut state = self.shared.state();
                let liveness = state.liveness(now, slot.key, slot.way, sent_at);
                let next_check = state.reach.next_check();
                (liveness, next_check.is_some_and(|at| now.reached(at)))
            };
            if is_suspected {
                self.shared.path_suspected.notify_one();
            }
            match liveness {
                Liveness::Recent(remaining) => tokio::time::sleep(remaining).await,
                Liveness::Silent if self.is_reachable(slot, relay).await => {}
                Liveness::Silent => {
                    self.record_path_loss(slot);
                    break;
                }
                Liveness::PathLost => break,
            }
        }
        tracing::info!(event = "path-lost", request = job.metadata.id, runner = slot.id);
    }

    fn record_path_loss(&self, slot: &Slot) {
        match slot.way {
            Way::Direct => slot.record_unreachable(AttemptResult::PathLost, Failure::Timeout),
            Way::Relayed => slot.record_attempt(AttemptResult::PathLost),
        }
        self.pool.remove_all(&[slot.address], slot.way);
    }

    /// Whether the runner accepts or refuses a new connection; either shows that the path works. A path
    /// through a peer works if the same peer reaches the runner.
    async fn is_reachable(&self, slot: &Slot, relay: Option<SocketAddr>) -> bool {
        if let Some(peer) = relay {
            let relayed = self.relay(slot, peer, RELAY_TIMEOUT).await;
            return relayed.is_ok_and(|connection| {
                self.pool
                    .release(self.shared.now(), slot.address, connection, None);
                true
            });
        }
        for _ in 0..MAX_UNANSWERED_CONNECTS {
            let connected = self.open(slot.key, slot.address, pool::CONNECT_TIMEOUT).await;
            match connected {
                Ok(connection) => {
                    self.pool
                        .release(self.shared.now(), slot.address, connection, None);
                    return true;
                }
                Err(err) if connection::is_connect_timeout(&err) => {}
                Err(_) => return true,
            }
        }
        false
    }

    /// Way on which a request is sent now.
    pub(super) fn way(&self, now: Moment, service: &str) -> Way {
        if self.shared.state().reach.phase(service) == Phase::Direct {
            return Way::Direct;
        }
        let (own, hosts) = (self.shared.own_host(), self.shared.hosts());
        self.shared.state().way(now, service, own, &hosts, rand::random())
    }

    /// Whether a peer may connect to a service's runners for this host.
    pub(super) fn has_relay(&self, state: &State, now: Moment, service: &str) -> bool {
        let (own, hosts) = (self.shared.own_host(), self.shared.hosts());
        state
            .relay(now, service, own, &hosts, &[], rand::random())
            .is_some()
    }

    /// Takes an idle connection to the runner from the pool, or opens a new one.
    ///
    /// # Errors
    ///
    /// The fault, if the runner cannot be reached; no byte of the request was sent then.
    pub(super) async fn connect(&self, job: &Job, slot: &mut Slot) -> Result<Connection, Fault> {
        let now = self.shared.now();
        let demand = job.connection_demand();
        if slot.way == Way::Relayed {
            return self.connect_relayed(now, job, slot).await;
        }
        if let Some(connection) = self.pool.take_idle(now, slot.address, demand, Way::Direct).await {
            return Ok(connection);
        }
        let limit = job.time_left(now).unwrap_or(pool::CONNECT_TIMEOUT);
        let connected = self
            .open(slot.key, slot.address, limit.min(pool::CONNECT_TIMEOUT))
            .await;
        connected.map_err(|err| {
            tracing::info!(event = "runner-unreachable", request = job.metadata.id, runner = slot.id, reason = %format!("{err:#}"));
            slot.record_unreachable(AttemptResult::Unreachable, paths::failure(&err));
            Fault::Unreachable
        })
    }

    /// The same for a runner to which this host has lost its path.
    async fn connect_relayed(&self, now: Moment, job: &Job, slot: &mut Slot) -> Result<Connection, Fault> {
        let demand = job.connection_demand();
        if self.shared.state().reach.keeps_open(&job.admission.service)
            && let Some(connection) = self.pool.take_idle(now, slot.address, demand, Way::Direct).await
        {
            slot.way = Way::Direct;
            return Ok(connection);
        }
        while let Some(connection) = self.pool.take_idle(now, slot.address, demand, Way::Relayed).await {
            if self.is_relay_sound(now, &connection, slot.key, &job.admission.service) {
                return Ok(connection);
            }
        }
        let (own, hosts) = (self.shared.own_host(), self.shared.hosts());
        let mut tried = self.held_off_peers(now, slot.key, &hosts);
        let max_tried = tried.len() + MAX_RELAYS;
        let mut failure = relay::Failure::Peer;
        while tried.len() < max_tried {
            let now = self.shared.now();
            let limit = job.time_left(now).unwrap_or(RELAY_TIMEOUT).min(RELAY_TIMEOUT);
            let peer = {
                let state = self.shared.state();
                state.relay(now, &job.admission.service, own, &hosts, &tried, rand::random())
            };
            let Some(peer) = peer else {
                break;
            };
            tried.push(peer);
            match self.relay(slot, peer, limit).await {
                Ok(connection) => return Ok(connection),
                Err(failed) => failure = failed,
            }
        }
        tracing::info!(
            event = "runner-unreachable",
            request = job.metadata.id,
            runner = slot.id,
            relays = tried.len() + MAX_RELAYS - max_tried,
            fault = failure.name()
        );
        if failure == relay::Failure::Runner {
            slot.record_attempt(AttemptResult::Unreachable);
        }
        Err(Fault::Unreachable)
    }

    /// Whether the peer that relays a connection has neither lost its own path nor been asked to wait since.
    fn is_relay_sound(&self, now: Moment, connection: &Connection, key: Key, service: &str) -> bool {
        let state = self.shared.state();
        connection.relay().is_none_or(|peer| {
            state.reach.vouch(now, peer, service).0 != Vouch::Lost
                && !state.fleet.is_peer_held_off(now, key, address_hash(peer))
        })
    }

    /// Peers from which a runner wants nothing now.
    fn held_off_peers(&self, now: Moment, key: Key, hosts: &[Host]) -> Vec<SocketAddr> {
        let state = self.shared.state();
        let addresses = hosts.iter().map(|host| host.address);
        let held = addresses.filter(|peer| state.fleet.is_peer_held_off(now, key, address_hash(*peer)));
        held.collect()
    }

    /// Has a peer connect to the runner.
    async fn relay(
        &self,
        slot: &Slot,
        peer: SocketAddr,
        limit: Duration,
    ) -> Result<Connection, relay::Failure> {
        let relayed = relay::connect(peer, &slot.id, self.shared.credentials(), limit).await;
        let outcome = relayed.as_ref().map_or_else(|failure| failure.name(), |_| "ok");
        self.shared.metrics.count_relay_request(outcome);
        if relayed
            .as_ref()
            .is_err_and(|failure| *failure == relay::Failure::Peer)
        {
            tracing::info!(event = "relay-unavailable", %peer, runner = slot.id);
            let now = self.shared.now();
            self.shared.state().relays.pause(now, peer);
            self.pool.remove_relayed_by(peer);
        }
        relayed
    }

    /// Opens a connection to a runner.
    pub(super) async fn open(&self, key: Key, address: SocketAddr, limit: Duration) -> Result<Connection> {
        let connected = Connection::connect(address, limit).await;
        self.shared.metrics.count_connection(paths::outcome(&connected));
        if connected.is_ok() {
            paths::on_connection(&self.shared, key);
        }
        connected
    }
}
