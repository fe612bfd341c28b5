//! Register of software versions in the platform's store; see [`register`](radishstair_core::proxy::fleet::register).

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use radishstair_core::proxy::fleet::register::Register;
use radishstair_core::store::{Answer, Call, Entry};
use radishstair_core::time::Moment;

use super::Shared;
use super::call::{self, WRITE_TIMEOUT};
use super::client::Client;
use super::crashes::to_json;
use super::records::parse;

/// Key of the register.
const KEY: &str = "radishstair/versions";
/// Time limit for reading it alone.
const READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a read that the store has not answered.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time between two looks at whether it has to be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time over which the writes of the hosts that read the store are spread, at each look.
const READER_SPREAD: Duration = Duration::from_millis(150);
/// Time after which one of the other hosts writes, and over which these are spread.
const OTHERS_WAIT: Duration = Duration::from_secs(2);
const OTHERS_SPREAD: Duration = Duration::from_secs(4);

/// Registers the versions of the listed runners, until the process ends.
///
/// The hosts that read the store write first; the others need to only if none of them can.
pub async fn publish(shared: Arc<Shared>, store: Arc<Client>) {
    let mut needed_since = None;
    loop {
        tokio::time::sleep(CHECK_INTERVAL + READER_SPREAD.mul_f64(rand::random())).await;
        let Some(register) = next(&shared) else {
            needed_since = None;
            continue;
        };
        let now = shared.now();
        let since = *needed_since.get_or_insert(now);
        let others_wait = OTHERS_WAIT + OTHERS_SPREAD.mul_f64(rand::random());
        if shared.reads_store.load(Ordering::Relaxed) || now.since(since) >= others_wait {
            write(&shared, &store, &register).await;
        }
    }
}

/// The register as it should be, if it is not.
fn next(shared: &Shared) -> Option<Register> {
    let now = shared.now();
    let unix_ms = shared.wall_clock_ms(now);
    let is_first_start = shared.settings.load().first_start;
    let state = shared.state();
    let services = state.stream_services();
    state.fleet.next_register(now, unix_ms, is_first_start, &services)
}

async fn write(shared: &Shared, store: &Client, register: &Register) {
    let expect = {
        let mirror = shared.mirror();
        let entries = mirror.with_prefix(KEY);
        entries
            .iter()
            .find(|entry| entry.key == KEY)
            .map_or(0, |entry| entry.version)
    };
    let call = Call::CompareAndSwap {
        key: KEY.into(),
        expect,
        value: to_json(register),
    };
    let sent = shared.now();
    // In a conflict, another host has written it; it comes with the next round.
    if let Answer::Written(version) = call::send(shared, store, &call, WRITE_TIMEOUT).await.answer {
        adopt(shared, sent, register.clone());
        tracing::info!(
            event = "versions-registered",
            version,
            services = register.rows.len(),
            versions = register.rows.iter().map(|row| row.versions.len()).sum::<usize>()
        );
    }
}

/// Applies the register among the keys in the store, as of this time.
pub fn apply(shared: &Shared, as_of: Moment, own_entries: &[Entry]) {
    let entry = own_entries.iter().find(|entry| entry.key == KEY);
    if let Some(register) = entry.and_then(parse::<Register>) {
        adopt(shared, as_of, register);
    }
}

fn adopt(shared: &Shared, sent: Moment, register: Register) {
    let now = shared.now();
    let mut state = shared.state();
    if state.fleet.read_register(sent, register) {
        state.origins.keep_own(now);
        shared.origins_pending.notify_one();
    }
}

/// Reads the register by a call that is sent after `since`, unless that was done; tries until the store answers. The
/// requests of a host that need it at the same time share the calls.
pub async fn refresh(shared: &Shared, store: &Client, since: Moment) {
    let _turn = shared.register_turn.lock().await;
    if shared.state().fleet.is_register_read(since) {
        return;
    }
    loop {
        let sent = shared.now();
        let call = Call::Get { key: KEY.into() };
        match call::send(shared, store, &call, READ_TIMEOUT).await.answer {
            Answer::Found(entries) => return apply(shared, sent, &entries),
            _ => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}
