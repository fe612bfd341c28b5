//! Lifecycle of an entry host on a platform: start, serve, reload, stop.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime};

use anyhow::{Context, Result};
use radishstair_core::proxy::stop;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, oneshot, watch};

use super::adapter::Adapter;
use super::admin::Port;
use super::client::Client;
use super::duty::Duty;
use super::forward::Forwarder;
use super::settings::Settings;
use crate::upstream::pool::Pool;

use super::{
    Shared, accept, admin, collector, crashes, document, gossip, origins, paths, sync, task, versions,
};

/// Time without a byte after which relayed connections count as idle.
const RELAY_IDLE_TIME: Duration = Duration::from_secs(1);
/// Time for the last answers to reach their callers.
const ANSWER_TIME: Duration = Duration::from_millis(300);
/// Time between two looks at whether a stopping host has anything left to do.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for the last calls to the platform.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time between checks of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Runs an entry host until it receives a signal to stop.
///
/// # Errors
///
/// If the settings cannot be read, an address cannot be bound or a thread not started.
pub fn run(path: &Path, adapter: Arc<dyn Adapter>) -> Result<()> {
    let settings = load_settings(path)?;
    // Installed first, as an early signal must not end the process.
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).context("setting signal handlers")?;
    let shared = Shared::new(settings.clone(), adapter);
    tracing::info!(event = "starting", host = settings.host, zone = settings.zone, incarnation = %shared.incarnation);
    let pool = Pool::default();
    let forwarder = Arc::new(Forwarder {
        shared: shared.clone(),
        pool: Arc::new(pool),
        store: Arc::default(),
    });
    let traffic = runtime()?;
    shared.traffic.get_or_init(|| traffic.handle().clone());
    let (finish, finished) = start_control(&settings, &shared, forwarder.pool.clone())?;
    let (stop, stopped) = watch::channel(false);
    let listener = traffic
        .block_on(TcpListener::bind(settings.listen))
        .with_context(|| format!("listen: listening on {}", settings.listen))?;
    spawn("traffic", move || {
        traffic.block_on(async {
            tokio::spawn(paths::run(forwarder.clone()));
            accept::serve(forwarder, listener, stopped).await;
            // Requests in flight continue until the process ends.
            std::future::pending::<()>().await;
        });
    })?;
    tracing::info!(event = "serving", address = %settings.listen);
    wait_for_stop(signals, path, &shared);
    let schedule = begin_stop(&shared);
    drain(&shared, schedule, &stop);
    let _ = finish.send(());
    let _ = finished.recv_timeout(RELEASE_TIMEOUT);
    // The last answers may still be on their way to callers.
    while shared.open_connections() > 0 && !shared.now().reached(schedule.end + ANSWER_TIME) {
        thread::sleep(DRAIN_CHECK_INTERVAL);
    }
    tracing::info!(event = "stopped", in_flight = shared.in_flight());
    Ok(())
}

/// Reads and checks the settings.
///
/// # Errors
///
/// If the file cannot be read or a setting is invalid; names the file and the key.
pub fn load_settings(path: &Path) -> Result<Settings> {
    let settings: Settings = radishstair_wire::settings::load(path)?;
    settings
        .check()
        .with_context(|| format!("reading {}", path.display()))?;
    Ok(settings)
}

/// Requests the control thread to finish, and signals that it has.
type ControlHandle = (oneshot::Sender<()>, crossbeam::channel::Receiver<()>);

fn start_control(settings: &Settings, shared: &Arc<Shared>, pool: Arc<Pool>) -> Result<ControlHandle> {
    let control = runtime()?;
    let bind = |name: &str, address| {
        control
            .block_on(TcpListener::bind(address))
            .with_context(|| format!("{name}: listening on {address}"))
    };
    let ready = bind("ready_listen", settings.ready_listen)?;
    let metrics = bind("admin_listen", settings.admin_listen)?;
    let changes = bind("peer_listen", settings.peer_listen)?;
    let peers = control
        .block_on(UdpSocket::bind(settings.peer_listen))
        .with_context(|| format!("peer_listen: binding {}", settings.peer_listen))?;
    let (finish, finish_requested) = oneshot::channel();
    let (done, finished) = crossbeam::channel::bounded(1);
    let shared = shared.clone();
    spawn("control", move || {
        control.block_on(async move {
            tokio::spawn(admin::serve(shared.clone(), ready, Port::Monitoring));
            tokio::spawn(admin::serve(shared.clone(), metrics, Port::Monitoring));
            let (counts, waiting_counts) = collector::queue();
            tokio::spawn(admin::serve(shared.clone(), changes, Port::Peers(counts.clone())));
            tokio::spawn(gossip::run(shared.clone(), peers));
            let store = Arc::new(Client::default());
            let (snapshots, snapshots_read) = mpsc::channel(1);
            tokio::spawn(collector::run(shared.clone(), store.clone(), waiting_counts));
            keep_with_store("store-probe", &shared, &store, sync::probe_store);
            keep_with_store("document", &shared, &store, document::run);
            keep_with_store("crashes", &shared, &store, crashes::publish);
            keep_with_store("versions", &shared, &store, versions::publish);
            keep_with_store("origins-write", &shared, &store, origins::stored::write);
            keep_with_store("origins-read", &shared, &store, origins::stored::read);
            let (own_shared, own_store) = (shared.clone(), store.clone());
            tokio::spawn(task::keep("sync", move || {
                sync::run(
                    own_shared.clone(),
                    own_store.clone(),
                    pool.clone(),
                    snapshots.clone(),
                )
            }));
            let inputs = Arc::new(tokio::sync::Mutex::new((snapshots_read, finish_requested)));
            task::keep("duty", || {
                let duty = Duty::new(shared.clone(), store.clone(), counts.clone());
                let inputs = inputs.clone();
                async move {
                    let (snapshots, finish) = &mut *inputs.lock().await;
                    duty.run(snapshots, finish).await;
                }
            })
            .await;
        });
        let _ = done.send(());
    })?;
    Ok((finish, finished))
}

/// Keeps a task running that calls the store.
fn keep_with_store<F>(
    name: &'static str,
    shared: &Arc<Shared>,
    store: &Arc<Client>,
    run: fn(Arc<Shared>, Arc<Client>) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let (shared, store) = (shared.clone(), store.clone());
    tokio::spawn(task::keep(name, move || run(shared.clone(), store.clone())));
}

/// Waits for the signal to stop; reloads the settings on SIGHUP and when the file changes.
fn wait_for_stop(mut signals: Signals, path: &Path, shared: &Arc<Shared>) {
    let watcher = shared.clone();
    let file: PathBuf = path.to_path_buf();
    let watch_thread = spawn("settings", move || {
        let mut last_modified = modified(&file);
        loop {
            thread::sleep(SETTINGS_POLL_INTERVAL);
            let now = modified(&file);
            if now != last_modified {
                last_modified = now;
                reload(&file, &watcher, "changed");
            }
        }
    });
    if let Err(err) = watch_thread {
        tracing::warn!(event = "settings-watch-failed", reason = %format!("{err:#}"));
    }
    for signal in signals.forever() {
        match signal {
            SIGHUP => reload(path, shared, "signal"),
            _ => return,
        }
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|meta| meta.modified()).ok()
}

fn reload(path: &Path, shared: &Shared, why: &str) {
    let settings = match load_settings(path) {
        Ok(settings) => settings,
        Err(err) => {
            tracing::warn!(event = "settings-kept", why, reason = %format!("{err:#}"));
            return;
        }
    };
    if settings == **shared.settings.load() {
        tracing::info!(event = "settings-same", why);
        return;
    }
    shared.state().bounds = settings.bounds.clone();
    shared.settings.store(Arc::new(settings));
    tracing::info!(event = "settings-reloaded", why);
}

/// Keeps serving until the load balancer has stopped sending callers, then waits until callers have their answers: a
/// connection closes once its last answer is written.
fn drain(shared: &Shared, schedule: stop::Schedule, stop: &watch::Sender<bool>) {
    thread::sleep(shared.now().until(schedule.accept_end));
    stop.send_replace(true);
    let is_busy = || shared.open_connections() > 0 || shared.is_relaying(shared.now(), RELAY_IDLE_TIME);
    while is_busy() && !shared.now().reached(schedule.end) {
        thread::sleep(DRAIN_CHECK_INTERVAL);
    }
    if shared.in_flight() > 0 {
        tracing::warn!(event = "stop-limit-reached", in_flight = shared.in_flight());
    }
}

/// Begins a planned stop.
fn begin_stop(shared: &Shared) -> stop::Schedule {
    let grace = Duration::from_secs(shared.settings.load().bounds.grace_s);
    let schedule = stop::Schedule::new(shared.now(), grace);
    tracing::info!(event = "stopping", in_flight = shared.in_flight());
    shared.stop.send_replace(Some(schedule));
    schedule
}

fn runtime() -> Result<Runtime> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .context("starting a runtime")
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<()> {
    thread::Builder::new()
        .name(name.to_string())
        .stack_size(512 * 1024)
        .spawn(run)
        .with_context(|| format!("starting the {name} thread"))?;
    Ok(())
}
