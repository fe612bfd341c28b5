//! The software versions that began streams: told to other hosts, and asked of them.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use radishstair_core::error::{Kind, Refusal};
use radishstair_core::proxy::fleet::software::Version;
use radishstair_core::proxy::origin::{self, Message, Origin, StreamKey};
use radishstair_core::proxy::route::Mode;
use radishstair_core::time::Moment;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

use super::client::Client;
use super::gossip::ORIGIN;
use super::job::Job;
use super::reply::retry_after;
use super::slot::Slot;
use super::{Shared, versions};

pub(super) mod stored;

/// Longest search for the version of a stream, and the share of the caller's time left that it may take. It
/// covers several questions, and a read of the list of runners.
const MAX_SEARCH: Duration = Duration::from_millis(900);
const MAX_SEARCH_SHARE: f64 = 0.2;
/// Time after which the other hosts are asked again, as datagrams may be lost.
const ASK_INTERVAL: Duration = Duration::from_millis(80);

/// Longest time for which the first event of a stream waits until the other hosts are told of its version.
const MAX_TELL_TIME: Duration = Duration::from_millis(20);

/// Rounds of sending messages, each of which sends all that are pending.
#[derive(Debug)]
pub struct Rounds {
    begun: AtomicU64,
    ended: watch::Sender<u64>,
}

impl Default for Rounds {
    fn default() -> Self {
        Self {
            begun: AtomicU64::new(0),
            ended: watch::Sender::new(0),
        }
    }
}

impl Rounds {
    /// Begins a round; returns its number.
    fn begin(&self) -> u64 {
        self.begun.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Ends a round.
    fn end(&self, round: u64) {
        self.ended.send_replace(round);
    }

    /// Waits until the messages that are pending now were sent, for a short time at most.
    async fn flush(&self) {
        let next = self.begun.load(Ordering::SeqCst) + 1;
        let mut ended = self.ended.subscribe();
        // After that time the messages are most probably still sent before the host can end.
        let _ = timeout(MAX_TELL_TIME, ended.wait_for(|round| *round >= next)).await;
    }
}

/// How the version of a stream that a caller takes up was learnt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// This host remembers it.
    Own,
    /// Another host has answered.
    Peer,
    /// The service had no other version while the stream can have begun.
    Only,
    /// It was not learnt.
    None,
}

impl Source {
    /// Name in log lines and metrics.
    fn name(self) -> &'static str {
        match self {
            Source::Own => "own",
            Source::Peer => "peer",
            Source::Only => "only",
            Source::None => "none",
        }
    }
}

/// Sends the pending messages to the other hosts, until the process ends.
pub(super) async fn send(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    loop {
        shared.origins_pending.notified().await;
        let round = shared.origin_rounds.begin();
        let (own, hosts) = (shared.own_host().address, shared.hosts());
        let messages = shared.state().origins.take_messages(own, &hosts);
        for (peer, message) in messages {
            let bytes = message.to_datagram();
            // A lost message is made up for by those to the other hosts.
            let _ = socket.send_to(&bytes, peer).await;
            shared.metrics.count_datagrams(ORIGIN, "sent", 1, bytes.len());
        }
        shared.origin_rounds.end(round);
    }
}

/// Applies a message from another host; returns the answer to it, if there is one.
pub(super) fn receive(shared: &Shared, message: &Message) -> Option<Message> {
    let now = shared.now();
    let answer = shared.state().origins.receive(now, message);
    if !message.told.is_empty() {
        shared.origin_told.notify_waiters();
    }
    if answer.told.len() < message.asked.len() {
        stored::request(shared);
    }
    (!answer.is_empty()).then_some(answer)
}

/// Whether a request takes up a stream that another attempt has begun, perhaps when its route was configured otherwise.
pub(super) fn is_take_up(job: &Job) -> bool {
    job.is_stream() && job.metadata.last_event.is_some()
}

fn is_resumable(job: &Job) -> bool {
    job.admission.route.mode == Mode::Stream { resumable: true }
}

/// Decides the version of a stream whose first event has come from this runner, and tells the other hosts before the
/// caller gets the event: this host may be killed right after it.
pub(super) async fn begin(shared: &Shared, job: &Job, slot: &Slot) -> Origin {
    let origin = decide(shared, job, slot);
    if origin != Origin::Unknown && is_resumable(job) {
        shared.origins_pending.notify_one();
        shared.origin_rounds.flush().await;
    }
    origin
}

fn decide(shared: &Shared, job: &Job, slot: &Slot) -> Origin {
    let now = shared.now();
    let mut state = shared.state();
    let runner = state.fleet.get(slot.key);
    let version = runner.and_then(|runner| runner.known_version());
    let Some(version) = version.filter(|version| *version == slot.software.version) else {
        return Origin::Unknown;
    };
    // No other host takes up a stream that cannot be resumed; this one may continue it from its KV cache.
    if is_resumable(job) {
        let life = origin::life(job.admission.route.timeout);
        let stream = stream_key(job, &job.metadata.id);
        state.origins.begin(now, stream, version, life);
        if !state.fleet.has_one_version(&job.admission.service) {
            state.origins.keep(stream, version, life);
        }
    }
    Origin::Version(version)
}

/// Finds the version of the stream that a request takes up, and moves the request to the service of that
/// version if its route is split over several.
///
/// # Errors
///
/// The refusal for the caller, if the version is not learnt or the route no longer uses its service.
pub(super) async fn find(shared: &Shared, store: &Client, job: &mut Job) -> Result<Origin, Refusal> {
    let (version, source) = search(shared, store, job).await;
    shared.metrics.count_take_up(source.name());
    let now = shared.now();
    let state = shared.state();
    let software = version.and_then(|version| state.fleet.software(version));
    tracing::info!(
        event = "stream-taken-up",
        request = job.metadata.id,
        first_attempt = job.metadata.first_attempt,
        source = source.name(),
        software = software.map(|(_, label)| label),
        after_ms = now.since(job.arrived).as_millis() as u64
    );
    let Some(version) = version else {
        let refusal = Refusal::new(Kind::OriginUnknown);
        return Err(refusal.retry_after(retry_after(job.time_left(now), rand::random())));
    };
    let Some((service, _)) = software else {
        return Err(Kind::VersionGone.into());
    };
    if *service != *job.admission.service {
        job.admission = state
            .admission_to(&job.admission, service)
            .ok_or(Kind::VersionGone)?;
    }
    Ok(Origin::Version(version))
}

/// Version of the stream that a request takes up, and how it was learnt.
async fn search(shared: &Shared, store: &Client, job: &Job) -> (Option<Version>, Source) {
    let attempt = job.metadata.first_attempt.as_ref();
    let stream = attempt.map(|attempt| stream_key(job, attempt));
    let now = shared.now();
    let remembered = stream.and_then(|stream| shared.state().origins.find(now, stream));
    match remembered {
        Some(_) => (remembered, Source::Own),
        None => learn(shared, store, job, stream).await,
    }
}

/// Asks the other hosts for a stream's version, if the caller names the stream, and waits for an answer, or for a
/// register or a list of runners that shows that there is only one.
async fn learn(
    shared: &Shared,
    store: &Client,
    job: &Job,
    stream: Option<StreamKey>,
) -> (Option<Version>, Source) {
    let time_left = job.time_left(shared.now()).unwrap_or(MAX_SEARCH);
    let search_until = Instant::now() + MAX_SEARCH.min(time_left.mul_f64(MAX_SEARCH_SHARE));
    let mut ask_at = Instant::now();
    let mut refresh = pin!(versions::refresh(shared, store, job.arrived));
    let mut is_refreshed = false;
    loop {
        let told = shared.origin_told.notified();
        tokio::pin!(told);
        // Registered before the look, so that no answer is missed in between.
        told.as_mut().enable();
        let now = shared.now();
        let learnt = stream.and_then(|stream| shared.state().origins.find(now, stream));
        if learnt.is_some() {
            return (learnt, Source::Peer);
        }
        let only = only_version(shared, now, job);
        if only.is_some() {
            return (only, Source::Only);
        }
        if Instant::now() >= search_until {
            return (None, Source::None);
        }
        if Instant::now() >= ask_at {
            ask_at = Instant::now() + ASK_INTERVAL;
            if let Some(stream) = stream {
                shared.state().origins.ask(stream);
                shared.origins_pending.notify_one();
                stored::request(shared);
            }
        }
        // Without an answer, the loop looks at the list and asks again.
        tokio::select! {
            () = told => {}
            () = &mut refresh, if !is_refreshed => is_refreshed = true,
            () = sleep_until(ask_at.min(search_until)) => {}
        }
    }
}

/// The only version that can have begun the stream, if there is just one. A stream of a route whose streams may not be
/// taken up goes on only if it is remembered: it began when they might be.
fn only_version(shared: &Shared, now: Moment, job: &Job) -> Option<Version> {
    let unix_ms = shared.wall_clock_ms(now);
    let state = shared.state();
    let only = || state.only_origin(now, unix_ms, job.arrived, &job.admission);
    is_resumable(job).then(only).flatten()
}

fn stream_key(job: &Job, attempt: &str) -> StreamKey {
    StreamKey::new(
        job.admission.customer.as_deref(),
        &job.admission.route.name,
        attempt,
    )
}
