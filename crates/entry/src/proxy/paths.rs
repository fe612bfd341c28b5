//! Probes of the paths from this host to the runners.
//!
//! A connection is opened to a runner when something indicates that its service can no longer be reached,
//! and at intervals while the path is lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use radishstair_core::proxy::fleet::{Key, Runner, Way};
use radishstair_core::proxy::reach::{Change, Failure, Phase};
use radishstair_core::time::Moment;

use super::Shared;
use super::forward::Forwarder;
use crate::upstream::connection;
use crate::upstream::pool;

/// Time between two checks while nothing is to be probed; a check is also requested on each failure.
const IDLE_INTERVAL: Duration = Duration::from_secs(60);

/// Probes paths when that is due, until the process ends.
pub async fn run(forwarder: Arc<Forwarder>) {
    let shared = forwarder.shared.clone();
    loop {
        let now = shared.now();
        let (ended, due, next) = {
            let mut state = shared.state();
            let ended = state.reach.advance(now);
            let due = state.reach.take_probes(now);
            (ended, due, state.reach.next_check())
        };
        for (service, change) in ended {
            log_change(&shared, now, &service, change);
            close_relayed(&forwarder, &service);
        }
        for service in due {
            close_silent(&forwarder, &service);
            tokio::spawn(probe(forwarder.clone(), service));
        }
        let pause = next.map_or(IDLE_INTERVAL, |next| now.until(next));
        tokio::select! {
            () = shared.path_suspected.notified() => {}
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Closes the idle connections to a service's runners that may be dead: if the path is lost, those to
/// silent runners, unless new connections were only refused.
fn close_silent(forwarder: &Forwarder, service: &str) {
    let now = forwarder.shared.now();
    let silent: Vec<SocketAddr> = {
        let state = forwarder.shared.state();
        let is_lost = matches!(state.reach.phase(service), Phase::Lost { .. });
        if !is_lost || state.reach.keeps_open(service) {
            return;
        }
        let is_silent = |runner: &Runner| runner.listed.service == service && runner.is_silent(now);
        let runners = state.fleet.runners().map(|(_, runner)| runner);
        let silent = runners.filter(|runner| is_silent(runner));
        silent.map(|runner| runner.listed.address).collect()
    };
    forwarder.pool.remove_all(&silent, Way::Direct);
}

/// Closes the idle connections to a service's runners that peers relay, as the path is in use again.
fn close_relayed(forwarder: &Forwarder, service: &str) {
    let addresses: Vec<SocketAddr> = {
        let state = forwarder.shared.state();
        let listed = state.fleet.runners().map(|(_, runner)| &runner.listed);
        let of_service = listed.filter(|listed| listed.service == service);
        of_service.map(|listed| listed.address).collect()
    };
    forwarder.pool.remove_all(&addresses, Way::Relayed);
}

/// Opens a connection to some runners of a service; those that accept it keep it for the next request.
async fn probe(forwarder: Arc<Forwarder>, service: String) {
    let now = forwarder.shared.now();
    let targets = forwarder
        .shared
        .state()
        .probe_targets(now, &service, rand::random());
    for key in targets {
        tokio::spawn(probe_runner(forwarder.clone(), key));
    }
}

async fn probe_runner(forwarder: Arc<Forwarder>, key: Key) {
    let shared = &forwarder.shared;
    let Some(address) = shared.state().fleet.get(key).map(|runner| runner.listed.address) else {
        return;
    };
    let connected = forwarder.open(key, address, pool::CONNECT_TIMEOUT).await;
    let now = shared.now();
    match connected {
        Ok(connection) => forwarder.pool.release(now, address, connection, None),
        Err(err) => {
            let change = shared.state().record_probe_failure(now, key, failure(&err));
            on_failure(shared, key, change);
        }
    }
}

/// How a connection failed.
pub fn failure(err: &anyhow::Error) -> Failure {
    match connection::is_connect_timeout(err) {
        true => Failure::Timeout,
        false => Failure::Refused,
    }
}

/// Outcome of a connection in metrics.
pub fn outcome<T>(connected: &Result<T>) -> &'static str {
    match connected.as_ref().map_err(failure) {
        Ok(_) => "ok",
        Err(Failure::Timeout) => "timeout",
        Err(Failure::Refused) => "refused",
    }
}

/// Records a new connection to a runner.
pub fn on_connection(shared: &Shared, key: Key) {
    let now = shared.now();
    let change = shared.state().record_connection(now, key);
    on_change(shared, now, key, change);
}

/// Logs what a failure at a runner has changed, and has the path probed if that is due.
pub fn on_failure(shared: &Shared, key: Key, change: Option<Change>) {
    on_change(shared, shared.now(), key, change);
    shared.path_suspected.notify_one();
}

fn on_change(shared: &Shared, now: Moment, key: Key, change: Option<Change>) {
    let Some(change) = change else {
        return;
    };
    let service = shared
        .state()
        .fleet
        .get(key)
        .map(|runner| runner.listed.service.clone());
    if let Some(service) = service {
        log_change(shared, now, &service, change);
    }
    shared.path_suspected.notify_one();
}

fn log_change(shared: &Shared, now: Moment, service: &str, change: Change) {
    let (peers_reached, peers_lost, heard_ms) = {
        let state = shared.state();
        let (reached, lost) = state.reach.count_peers(now, service);
        let heard_at = state.reach.heard_at(service);
        (reached, lost, heard_at.map(|at| now.since(at).as_millis() as u64))
    };
    match change {
        Change::Lost => {
            tracing::warn!(
                event = "service-lost",
                service,
                heard_ms,
                peers_reached,
                peers_lost
            );
        }
        Change::Returning => {
            tracing::info!(event = "service-returning", service, peers_reached, peers_lost);
        }
        Change::Regained { after } => {
            let away_ms = after.as_millis() as u64;
            tracing::info!(event = "service-regained", service, away_ms);
        }
    }
}
