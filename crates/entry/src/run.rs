//! The lifecycle of an entry host: start, serve, and a graceful stop.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use crossbeam::channel::{Receiver, bounded, unbounded};
use radishstair_core::id::Incarnation;
use radishstair_core::kernel::{Event, Kernel, Setup};
use radishstair_core::member::Identity;
use radishstair_core::reservation::Secret;
use radishstair_wire::platform::Client;
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, watch};

use crate::admin;
use crate::clock::Clock;
use crate::control::{Control, Outputs};
use crate::front::{self, Front, call, chat};
use crate::handle::Handle;
use crate::peers::dialer::{Dialer, Token};
use crate::peers::{self, Message};
use crate::platform::{self, RecordLease, WORKER_THREADS};
use crate::settings::Settings;
use crate::upstream::pool::Pool;

/// Longest wait at a stop until the control thread has stored the tombstone.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs an entry host until SIGTERM or SIGINT.
///
/// # Errors
///
/// When an address cannot be bound or a thread cannot be started.
pub fn run(settings: &Settings) -> Result<()> {
    let clock = Clock::default();
    let incarnation = Incarnation(rand::random());
    let (sender, inputs) = unbounded();
    let reservation_secret = Secret::derive(&settings.peer_token);
    let handle = Handle::new(incarnation, clock, reservation_secret, sender);
    tracing::info!(event = "starting", host = settings.host, zone = settings.zone, incarnation = %incarnation);

    let token = Token::new(&settings.peer_token)?;
    let (messages, outbox) = mpsc::unbounded_channel();
    let exit = start_control(settings, &handle, inputs, messages)?;
    let traffic = start_runtime(settings.threads, "traffic")?;
    let pool = Arc::new(Pool::default());
    let calls = Arc::new(call::Service {
        handle: handle.clone(),
        pool: pool.clone(),
        dialer: Dialer::new(token.clone()),
    });
    start_peers(settings, &handle, token, outbox, &traffic, calls.clone())?;
    admin::start(handle.clone(), settings.admin_listen)?;
    let front = Arc::new(Front {
        chats: chat::Service {
            handle: handle.clone(),
            pool,
        },
        handle: handle.clone(),
        calls,
    });
    let (stop, stopped) = watch::channel(false);
    let listener = traffic
        .block_on(tokio::net::TcpListener::bind(settings.listen))
        .with_context(|| format!("listen: listening on {}", settings.listen))?;
    traffic.spawn(front::serve(front, listener, settings.connections, stopped));
    tracing::info!(event = "serving", address = %settings.listen);

    radishstair_wire::settings::wait_for_stop_signal()?;
    shut_down(settings, &handle, &stop, &exit);
    traffic.shutdown_timeout(Duration::from_secs(1));
    tracing::info!(event = "stopped");
    Ok(())
}

/// Stops gracefully: accepts requests until the load balancer has noticed, waits
/// for requests in flight, then stores the tombstone.
fn shut_down(settings: &Settings, handle: &Handle, stop: &watch::Sender<bool>, exit: &Receiver<()>) {
    tracing::info!(event = "stopping", in_flight = handle.in_flight());
    handle.stopping.store(true, Ordering::SeqCst);
    handle.notify(Event::Stop);
    thread::sleep(settings.linger);
    let _ = stop.send(true);
    let deadline = Instant::now() + settings.drain;
    while handle.in_flight() > 0 && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(20));
    }
    if handle.in_flight() > 0 {
        tracing::warn!(event = "drain-limit-reached", in_flight = handle.in_flight());
    }
    handle.notify(Event::Drained);
    let _ = exit.recv_timeout(EXIT_TIMEOUT);
    // Allows one more heartbeat, which contains the last usage and the tombstone.
    thread::sleep(Duration::from_millis(100));
}

fn start_control(
    settings: &Settings,
    handle: &Arc<Handle>,
    inputs: Receiver<crate::handle::Input>,
    peers: mpsc::UnboundedSender<Message>,
) -> Result<Receiver<()>> {
    let setup = Setup {
        identity: Identity {
            incarnation: handle.incarnation,
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            address: settings.advertised_address().to_string(),
        },
        seeds: settings.peers.iter().map(ToString::to_string).collect(),
        secret: rand::random(),
        seed: rand::random(),
        policy: settings.policy,
    };
    let kernel = Kernel::new(handle.clock.now(), setup);
    let (jobs, job_queue) = unbounded();
    let (watches, watch_queue) = unbounded();
    let (exit, exited) = bounded(1);
    let outputs = Outputs {
        jobs,
        watches,
        peers,
        exit,
    };
    let control = Control::new(handle.clone(), kernel, outputs);
    spawn_thread("control", move || control.run(&inputs))?;
    let client = Client::new(&settings.platform.to_string());
    let record_lease = Arc::new(RecordLease::default());
    for _ in 0..WORKER_THREADS {
        let (handle, client, record_lease, queue) = (
            handle.clone(),
            client.clone(),
            record_lease.clone(),
            job_queue.clone(),
        );
        spawn_thread("platform", move || {
            platform::run_worker(&handle, &client, &record_lease, &queue)
        })?;
    }
    let (watcher, watch_client) = (handle.clone(), client.clone());
    spawn_thread("watch", move || {
        platform::run_worker(&watcher, &watch_client, &record_lease, &watch_queue)
    })?;
    let handle = handle.clone();
    spawn_thread("list", move || platform::poll_runners(&handle, &client))?;
    Ok(exited)
}

fn start_peers(
    settings: &Settings,
    handle: &Arc<Handle>,
    token: Token,
    outbox: mpsc::UnboundedReceiver<Message>,
    traffic: &Runtime,
    calls: Arc<call::Service>,
) -> Result<()> {
    let runtime = start_runtime(1, "peers")?;
    let dialer = Arc::new(Dialer::new(token));
    let (listen, token_text) = (settings.peer_listen, settings.peer_token.clone());
    let (handle, traffic) = (handle.clone(), traffic.handle().clone());
    let server = peers::serve::run(handle.clone(), listen, token_text, traffic, calls);
    spawn_thread("peers", move || {
        runtime.spawn(peers::run_sender(handle, dialer, outbox));
        if let Err(err) = runtime.block_on(server) {
            tracing::error!(event = "peers-not-served", reason = %format!("{err:#}"));
            std::process::exit(1);
        }
    })
}

fn start_runtime(threads: usize, name: &str) -> Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .with_context(|| format!("starting the {name} threads"))
}

fn spawn_thread(name: &str, run: impl FnOnce() + Send + 'static) -> Result<()> {
    thread::Builder::new()
        .name(name.to_string())
        .spawn(run)
        .with_context(|| format!("starting the {name} thread"))?;
    Ok(())
}
