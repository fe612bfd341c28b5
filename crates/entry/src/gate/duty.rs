//! What one host does for all: usage reports and orders for runners.
//!
//! The duty is a record in the store that its holder renews. Each host also
//! publishes its own counts, which tell the others that it lives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use radishstair_core::gate::report::{self, Host, Reporter};
use radishstair_core::gate::supply::Planner;
use radishstair_core::gate::tally::Record;
use radishstair_core::lease::{Grant, Lease, Terms};
use radishstair_core::store::{Answer, Call, Entry};
use radishstair_core::time::Moment;
use tokio::sync::{mpsc, oneshot};

use super::Shared;
use super::store::{Asked, Asker};
use super::sync::{self, Own, PREFIX};

/// Time between looks at what is due.
const TICK: Duration = Duration::from_millis(250);
/// Longest wait for a write to the store.
const WRITE: Duration = Duration::from_millis(800);
/// Time after its last change for which a host counts as alive: its records
/// come every half window, and one may be lost.
const ALIVE: Duration = Duration::from_secs(8);
/// Time after which the record of a host that is gone is removed.
const GONE: Duration = Duration::from_secs(60);
/// Civil time of which the counts are not yet whole.
const OPEN_MS: u64 = 30;
/// Wait after half a window before the record is written, so that the counts
/// up to its end are whole.
const SETTLE_MS: u64 = 120;
/// Time over which the hosts' records are spread, so that they do not come at
/// the store together.
const SPREAD_MS: u64 = 400;
/// A process does not seek the duty in its first seconds: its former run may
/// have held it, and two changes of the holder within a lease are one too many.
const SETTLED: Duration = Duration::from_secs(4);

/// A host's record as last read.
#[derive(Debug)]
struct Known {
    name: String,
    version: u64,
    changed: Moment,
    record: Record,
}

/// State of the duties.
#[derive(Debug)]
pub struct Duty {
    shared: Arc<Shared>,
    store: Arc<Asker>,
    desk: Asker,
    began: Moment,
    lease: Lease,
    reporter: Reporter,
    planner: Planner,
    hosts: Vec<Known>,
    own_version: u64,
    inherited: bool,
    published: u64,
    holds: bool,
}

impl Duty {
    /// A host that holds nothing yet.
    pub fn new(shared: Arc<Shared>, store: Arc<Asker>) -> Self {
        let terms = Terms::fenced(Duration::from_millis(shared.settings.load().bounds.lease_ms));
        Self {
            began: shared.now(),
            lease: Lease::with(shared.me, format!("{PREFIX}duty"), terms),
            shared,
            store,
            desk: Asker::default(),
            reporter: Reporter::default(),
            planner: Planner::default(),
            hosts: Vec::new(),
            own_version: 0,
            inherited: false,
            published: 0,
            holds: false,
        }
    }

    /// Runs until `stop` is told; then gives everything back.
    pub async fn run(mut self, mut own: mpsc::Receiver<Own>, mut stop: oneshot::Receiver<()>) {
        loop {
            tokio::select! {
                read = own.recv() => match read {
                    Some(read) => self.take(read),
                    None => return,
                },
                () = tokio::time::sleep(TICK) => {}
                _ = &mut stop => break,
            }
            self.step().await;
        }
        self.publish(true).await;
        self.hand_back().await;
    }

    async fn step(&mut self) {
        if self.shared.is_stopping() {
            self.hand_back().await;
        } else {
            self.renew().await;
        }
        if self.is_due() {
            self.publish(false).await;
        }
        let Some(grant) = self.grant() else {
            let now = self.shared.now();
            self.reporter.tick(now, 0, 1, None, &[]);
            return;
        };
        if self.shared.settings.load().duties.usage {
            self.report(grant).await;
        }
        if self.shared.settings.load().duties.orders {
            self.order(grant).await;
        }
        self.clean().await;
    }

    fn take(&mut self, own: Own) {
        let now = self.shared.now();
        let duty = format!("{PREFIX}duty");
        let duty = own.entries.iter().find(|entry| entry.key == duty);
        self.lease.show(now, duty);
        let sealed: Vec<Entry> = own
            .entries
            .iter()
            .filter(|entry| entry.key.starts_with(report::SEALED))
            .cloned()
            .collect();
        self.reporter.adopt(&sealed);
        self.take_hosts(now, &own.entries);
    }

    fn take_hosts(&mut self, now: Moment, entries: &[Entry]) {
        let prefix = format!("{PREFIX}host/");
        let mut hosts = Vec::new();
        for entry in entries {
            let Some(name) = entry.key.strip_prefix(&prefix) else {
                continue;
            };
            let Ok(record) = serde_json::from_str::<Record>(&entry.value) else {
                tracing::warn!(
                    event = "entry-not-read",
                    key = entry.key,
                    revision = entry.version
                );
                continue;
            };
            let before = self.hosts.iter().find(|known| known.name == name);
            let changed = match before {
                Some(known) if known.version == entry.version => known.changed,
                _ => now,
            };
            hosts.push(Known {
                name: name.to_string(),
                version: entry.version,
                changed,
                record,
            });
        }
        let me = &self.shared.settings.load().host;
        if let Some(own) = hosts.iter().find(|known| known.name == *me) {
            let (version, record) = (own.version, own.record.clone());
            self.take_own(version, &record);
        } else {
            self.inherited = true;
        }
        self.hosts = hosts;
        let alive = self.hosts.iter().filter(|known| self.is_alive(now, known));
        let peers: Vec<SocketAddr> = alive.filter_map(|known| known.record.peer.parse().ok()).collect();
        self.shared.state().hosts = (peers.len() as u32).max(1);
        self.shared.peers.store(Arc::new(peers));
    }

    /// Adds what a former run under this name had counted.
    fn take_own(&mut self, version: u64, record: &Record) {
        self.own_version = self.own_version.max(version);
        if !self.inherited && record.incarnation != self.shared.me {
            self.shared.state().tally.inherit(record);
        }
        self.inherited = true;
    }

    fn is_alive(&self, now: Moment, known: &Known) -> bool {
        !known.record.ended && now.since(known.changed) < ALIVE
    }

    fn grant(&self) -> Option<Grant> {
        self.lease.grant(self.shared.now())
    }

    async fn renew(&mut self) {
        let now = self.shared.now();
        let candidate = now.since(self.began) >= SETTLED && self.inherited;
        let mut call = self.lease.tick(now, candidate);
        while let Some(next) = call {
            let (answer, _) = sync::ask(&self.shared, &self.store, &next, WRITE).await;
            call = self.lease.answer(self.shared.now(), &answer);
        }
        self.tell();
    }

    async fn hand_back(&mut self) {
        let now = self.shared.now();
        self.lease.stop(now);
        while let Some(call) = self.lease.tick(self.shared.now(), false) {
            let (answer, _) = sync::ask(&self.shared, &self.store, &call, WRITE).await;
            self.lease.answer(self.shared.now(), &answer);
        }
        self.tell();
    }

    fn tell(&mut self) {
        let grant = self.grant();
        if grant.is_some() != self.holds {
            self.holds = grant.is_some();
            tracing::info!(
                event = "duty",
                held = self.holds,
                fence = grant.map(|grant| grant.fence)
            );
        }
    }

    /// Whether half a window has passed since the last record.
    fn is_due(&self) -> bool {
        self.inherited && self.half() != self.published
    }

    fn half(&self) -> u64 {
        let settings = self.shared.settings.load();
        let spread = radishstair_core::id::digest(settings.host.as_bytes()) % SPREAD_MS;
        let civil = self.shared.civil(self.shared.now());
        let half_ms = (settings.bounds.usage_window_s * 500).max(1);
        civil.saturating_sub(SETTLE_MS + spread) / half_ms
    }

    async fn publish(&mut self, ended: bool) {
        let settings = self.shared.settings.load_full();
        let until = self.shared.civil(self.shared.now()).saturating_sub(OPEN_MS);
        let half = self.half();
        let peer = settings.peer_listen.to_string();
        let record = {
            let state = self.shared.state();
            state.tally.record(self.shared.me, &peer, until, ended)
        };
        let Ok(value) = serde_json::to_string(&record) else {
            return;
        };
        let call = Call::Swap {
            key: format!("{PREFIX}host/{}", settings.host),
            expect: self.own_version,
            value,
        };
        match sync::ask(&self.shared, &self.store, &call, WRITE).await.0 {
            Answer::Written(version) => {
                self.own_version = version;
                self.published = half;
            }
            Answer::Conflict(entry) => {
                // An earlier write whose answer was lost, or a former run.
                self.own_version = entry.version;
            }
            Answer::Refused | Answer::Lost | Answer::Found(_) => {}
        }
    }

    async fn report(&mut self, grant: Grant) {
        let now = self.shared.now();
        let civil = self.shared.civil(now);
        let length = self.shared.settings.load().bounds.usage_window_s;
        let hosts: Vec<Host> = self
            .hosts
            .iter()
            .map(|known| Host {
                record: known.record.clone(),
                alive: self.is_alive(now, known),
            })
            .collect();
        let mut step = self.reporter.tick(now, civil, length, Some(grant), &hosts);
        while let Some(next) = step {
            step = match next {
                report::Step::Store(call) => {
                    let (answer, _) = sync::ask(&self.shared, &self.store, &call, WRITE).await;
                    self.reporter.answer(self.shared.now(), &answer)
                }
                report::Step::Report(grant, window) => {
                    let accepted = self.send_report(grant, &window).await;
                    self.reporter.reported(self.shared.now(), accepted);
                    None
                }
            };
        }
    }

    async fn send_report(&mut self, grant: Grant, window: &radishstair_core::gate::tally::Window) -> bool {
        let host = self.shared.settings.load().host.clone();
        let request = self.shared.dialect.report(&host, grant.fence, window);
        let status = self.send(grant, request).await;
        tracing::info!(
            event = "usage-reported",
            window = window.number,
            customers = window.counts.len(),
            fence = grant.fence,
            status
        );
        status == Some(StatusCode::OK.as_u16())
    }

    async fn order(&mut self, grant: Grant) {
        let now = self.shared.now();
        let order = {
            let state = self.shared.state();
            let Some(table) = state.table.clone() else {
                return;
            };
            self.planner.tick(now, Some(grant), &table, &state.fleet)
        };
        let Some(order) = order else {
            return;
        };
        let host = self.shared.settings.load().host.clone();
        let request = self.shared.dialect.order(&host, grant.fence, &order);
        let status = self.send(grant, request).await;
        tracing::info!(
            event = "ordered",
            service = order.service,
            zone = order.zone,
            reclaimable = order.reclaimable,
            count = order.count,
            fence = grant.fence,
            status
        );
        let accepted = status == Some(StatusCode::OK.as_u16());
        self.planner.ordered(self.shared.now(), &order, accepted);
    }

    /// Sends under the duty; the status, if one came.
    ///
    /// The process may have been frozen since the grant was looked at: the last
    /// look is right before the bytes leave, and the send ends with the grant.
    async fn send(&mut self, grant: Grant, request: hyper::Request<bytes::Bytes>) -> Option<u16> {
        if !grant.covers(self.shared.now()) {
            return None;
        }
        let address = self.shared.settings.load().desk;
        let asked = self.desk.ask(address, request, grant.send).await;
        let (outcome, status) = match asked {
            Asked::Answer(status, _) if status.is_success() => ("ok", Some(status.as_u16())),
            Asked::Answer(status, _) => ("refused", Some(status.as_u16())),
            Asked::Never => ("refused", None),
            Asked::Lost => ("lost", None),
        };
        self.shared.metrics.platform_call("duty", outcome);
        if status == Some(StatusCode::CONFLICT.as_u16()) {
            tracing::warn!(event = "duty-refused", fence = grant.fence);
        }
        status
    }

    /// Removes the record of one host that is long gone.
    async fn clean(&mut self) {
        let now = self.shared.now();
        let gone = |known: &&Known| now.since(known.changed) >= GONE;
        let Some(known) = self.hosts.iter().find(gone) else {
            return;
        };
        let call = Call::Remove {
            key: format!("{PREFIX}host/{}", known.name),
            expect: known.version,
        };
        let name = known.name.clone();
        let (answer, _) = sync::ask(&self.shared, &self.store, &call, WRITE).await;
        tracing::info!(event = "host-forgotten", host = name, answer = ?answer);
        self.hosts.retain(|known| known.name != name);
    }
}
