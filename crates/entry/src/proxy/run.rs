//! The life of an entry host on a platform: start, serve, reload, stop.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use anyhow::{Context, Result};
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

use super::{Shared, accept, admin, document, gossip, sync};

/// How long a stopping host goes on accepting: the balancer asks once a second
/// and turns away after two misses, and its answer may be a moment late.
const LINGER: Duration = Duration::from_millis(2_700);
/// Kept back from the grace period to hand everything back.
const HAND_BACK: Duration = Duration::from_millis(1_100);
/// Longest wait for the platform to take back what was held.
const LAST_CALLS: Duration = Duration::from_millis(900);
/// Time between looks at the settings file, which may change without a signal.
const LOOK: Duration = Duration::from_secs(2);

/// Runs an entry host until it is told to stop.
///
/// # Errors
///
/// When something cannot be read, bound or started.
pub fn run(path: &Path, adapter: Arc<dyn Adapter>) -> Result<()> {
    let settings = load_settings(path)?;
    // Before anything else: a signal that comes early must not end the process.
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).context("setting signal handlers")?;
    let shared = Shared::new(settings.clone(), adapter);
    tracing::info!(event = "starting", host = settings.host, zone = settings.zone, incarnation = %shared.me);
    let pool = Pool::default();
    let forwarder = Arc::new(Forwarder {
        shared: shared.clone(),
        pool: Arc::new(pool),
    });
    let (finish, finished) = start_control(&settings, &shared, forwarder.pool.clone())?;
    let (stop, stopped) = watch::channel(false);
    let traffic = runtime()?;
    let listener = traffic
        .block_on(TcpListener::bind(settings.listen))
        .with_context(|| format!("listen: listening on {}", settings.listen))?;
    spawn("traffic", move || {
        traffic.block_on(async {
            accept::serve(forwarder, listener, stopped).await;
            // Requests that are under way go on until the process ends.
            std::future::pending::<()>().await;
        });
    })?;
    tracing::info!(event = "serving", address = %settings.listen);
    wait(signals, path, &shared);
    wind_down(&shared, &stop);
    let _ = finish.send(());
    let _ = finished.recv_timeout(LAST_CALLS);
    tracing::info!(event = "stopped", in_flight = shared.in_flight());
    Ok(())
}

/// Reads and checks the settings.
///
/// # Errors
///
/// Names the file and the key.
pub fn load_settings(path: &Path) -> Result<Settings> {
    let settings: Settings = radishstair_wire::settings::load(path)?;
    settings
        .check()
        .with_context(|| format!("reading {}", path.display()))?;
    Ok(settings)
}

type Finish = (oneshot::Sender<()>, crossbeam::channel::Receiver<()>);

fn start_control(settings: &Settings, shared: &Arc<Shared>, runners: Arc<Pool>) -> Result<Finish> {
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
    let (finish, told) = oneshot::channel();
    let (done, finished) = crossbeam::channel::bounded(1);
    let shared = shared.clone();
    spawn("control", move || {
        control.block_on(async move {
            tokio::spawn(admin::serve(shared.clone(), ready, Port::Outside));
            tokio::spawn(admin::serve(shared.clone(), metrics, Port::Outside));
            tokio::spawn(admin::serve(shared.clone(), changes, Port::Peers));
            tokio::spawn(gossip::run(shared.clone(), peers));
            let store = Arc::new(Client::default());
            let (own, read) = mpsc::channel(1);
            tokio::spawn(sync::watch_store(shared.clone(), store.clone()));
            tokio::spawn(document::run(shared.clone(), store.clone()));
            tokio::spawn(sync::run(shared.clone(), store.clone(), runners, own));
            Duty::new(shared, store).run(read, told).await;
        });
        let _ = done.send(());
    })?;
    Ok((finish, finished))
}

/// Waits for the signal to stop, and reloads meanwhile.
fn wait(mut signals: Signals, path: &Path, shared: &Arc<Shared>) {
    let watcher = shared.clone();
    let file: PathBuf = path.to_path_buf();
    let watching = spawn("settings", move || {
        let mut seen = modified(&file);
        loop {
            thread::sleep(LOOK);
            let now = modified(&file);
            if now != seen {
                seen = now;
                reload(&file, &watcher, "changed");
            }
        }
    });
    if let Err(err) = watching {
        tracing::warn!(event = "settings-not-watched", reason = %format!("{err:#}"));
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

/// Goes on serving while the balancer learns, then lets requests finish.
fn wind_down(shared: &Shared, stop: &watch::Sender<bool>) {
    let began = Instant::now();
    let grace = Duration::from_secs(shared.settings.load().bounds.grace_s);
    tracing::info!(event = "stopping", in_flight = shared.in_flight());
    shared.stopping.store(true, Ordering::SeqCst);
    thread::sleep(LINGER.min(grace / 2));
    stop.send_replace(true);
    let until = began + grace.saturating_sub(HAND_BACK);
    while shared.in_flight() > 0 && Instant::now() < until {
        thread::sleep(Duration::from_millis(50));
    }
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
