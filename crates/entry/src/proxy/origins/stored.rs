//! Versions of streams in the platform's store; see [`segment`].

use std::sync::Arc;
use std::time::Duration;

use radishstair_core::proxy::holders;
use radishstair_core::proxy::origin::segment::{self, Segment, Writer};
use radishstair_core::store::{Answer, Call};

use super::super::Shared;
use super::super::call::{self, PAGE_LIMIT, TRANSFER_TIMEOUTS, WRITE_TIMEOUT};
use super::super::client::Client;

/// Time between two writes of a keeper.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of calls of one write: the first one may find the key in use.
const MAX_CALLS: usize = 2;
/// Pause after the first read of a keeper, and the longest one. Each is twice as long as the one before: after the start,
/// fewer and fewer of the streams that are asked for can have been written since.
const MIN_READ_PAUSE: Duration = Duration::from_millis(250);
const MAX_READ_PAUSE: Duration = Duration::from_secs(8);

/// Writes the versions that this host keeps for its zone, until the process ends.
pub async fn write(shared: Arc<Shared>, store: Arc<Client>) {
    let prefix = shared.adapter.store_keys().unlisted_prefix;
    let mut writer = Writer::new(prefix, shared.own_host().zone);
    loop {
        tokio::time::sleep(WRITE_INTERVAL).await;
        let records = shared.state().origins.take_to_store();
        writer.add(shared.wall_clock_ms(shared.now()), &records);
        for _ in 0..MAX_CALLS {
            let Some(call) = writer.next_call() else {
                break;
            };
            let answer = call::send(&shared, &store, &call, WRITE_TIMEOUT).await.answer;
            writer.apply(&answer);
        }
    }
}

/// Has the versions read from the store, if this host is a keeper and may have lost what it was told.
pub(super) fn request(shared: &Shared) {
    let is_young = shared.now().since(shared.started_at) < segment::COVERED;
    if is_young && shared.knows_hosts() && is_keeper(shared) {
        shared.origins_wanted.notify_one();
    }
}

fn is_keeper(shared: &Shared) -> bool {
    let own = shared.own_host().address;
    holders::keeper_for(own, &shared.hosts()) == Some(own)
}

/// Reads the versions from the store whenever that is requested, until the process ends.
pub async fn read(shared: Arc<Shared>, store: Arc<Client>) {
    let mut pause = MIN_READ_PAUSE;
    loop {
        shared.origins_wanted.notified().await;
        let segments = list(&shared, &store).await;
        let streams: usize = segments.iter().map(|segment| segment.streams.len()).sum();
        tracing::info!(event = "origins-read", streams);
        let now = shared.now();
        let unix_ms = shared.wall_clock_ms(now);
        shared.state().origins.restore(now, unix_ms, segments);
        shared.origin_told.notify_waiters();
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_READ_PAUSE);
    }
}

async fn list(shared: &Shared, store: &Client) -> Vec<Segment> {
    let prefix = shared.adapter.store_keys().unlisted_prefix;
    let mut segments = Vec::new();
    let mut after = String::new();
    loop {
        let call = Call::Range {
            prefix: prefix.to_string(),
            after,
            limit: PAGE_LIMIT,
        };
        let response = call::send_with(shared, store, &call, TRANSFER_TIMEOUTS).await;
        let Answer::Found(entries) = response.answer else {
            return segments;
        };
        segments.extend(entries.iter().filter_map(Segment::parse));
        match entries.into_iter().last().filter(|_| response.has_more) {
            Some(last) => after = last.key,
            None => return segments,
        }
    }
}
