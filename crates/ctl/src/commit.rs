//! Reading the configuration from the store and adding changes to it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result, bail, ensure};
use radishstair_core::config::Document;
use radishstair_core::config::change::{self, Entry, LOG_PREFIX, Op, SNAPSHOT_KEY, Snapshot};
use radishstair_core::store::{self, Answer, Call};
use radishstair_wire::platform::Client;

/// Tries of one call that gets no answer.
const TRIES: u32 = 20;
/// Pause between tries.
const PAUSE: Duration = Duration::from_millis(250);
/// Entries read at once.
const BATCH: u32 = 500;
/// Times that a small change is made anew after losing a race.
const RACES: u32 = 8;

/// The newest configuration in the store.
///
/// # Errors
///
/// When the store cannot be read.
pub fn load(client: &Client) -> Result<Snapshot> {
    let entries = read(
        client,
        &Call::Get {
            key: SNAPSHOT_KEY.into(),
        },
    )?;
    let mut snapshot = match entries.first().filter(|entry| entry.version > 0) {
        Some(entry) => serde_json::from_str(&entry.value).context("reading the stored snapshot")?,
        None => Snapshot::default(),
    };
    for entry in log(client, snapshot.version)? {
        if entry.version != snapshot.version + 1 {
            break;
        }
        snapshot.version = entry.version;
        change::apply(&mut snapshot.document, &entry.ops)
            .with_context(|| format!("applying version {}", entry.version))?;
    }
    Ok(snapshot)
}

/// All entries after a version.
///
/// # Errors
///
/// When the store cannot be read.
pub fn log(client: &Client, after: u64) -> Result<Vec<Entry>> {
    let mut all = Vec::new();
    let mut from = change::log_key(after);
    loop {
        let call = Call::Range {
            prefix: LOG_PREFIX.into(),
            after: from.clone(),
            limit: BATCH,
        };
        let entries = read(client, &call)?;
        let Some(last) = entries.last() else {
            return Ok(all);
        };
        from = last.key.clone();
        for entry in &entries {
            all.push(serde_json::from_str(&entry.value).with_context(|| format!("reading {}", entry.key))?);
        }
    }
}

/// Makes a change; what `make` decides is decided anew if another operator
/// was faster and `again` allows it. `None` when there is nothing to change.
///
/// # Errors
///
/// When the race was lost, the change does not pass the checks, or the store
/// gives no answer; the last says that it is not known.
pub fn commit(
    client: &Client,
    who: &str,
    note: &str,
    again: bool,
    make: impl Fn(&Document) -> Result<Vec<Op>>,
) -> Result<Option<Entry>> {
    for _ in 0..RACES {
        let current = load(client)?;
        let ops = make(&current.document)?;
        if ops.is_empty() {
            return Ok(None);
        }
        let mut checked = current.document.clone();
        change::apply(&mut checked, &ops).context("the change does not pass the checks")?;
        let entry = Entry {
            version: current.version + 1,
            id: uuid::Uuid::now_v7().to_string(),
            who: who.to_string(),
            when: now(),
            note: note.to_string(),
            ops,
        };
        match offer(client, &entry)? {
            None => return Ok(Some(entry)),
            Some(other) if !again => bail!(
                "not accepted: {} was faster with version {} ({}); look at it with `diff` and apply again",
                other.who,
                other.version,
                other.note
            ),
            Some(_) => {}
        }
    }
    bail!("not accepted: others were faster {RACES} times in a row")
}

/// Offers an entry; gives back the one that stands there instead, if any.
fn offer(client: &Client, entry: &Entry) -> Result<Option<Entry>> {
    let key = change::log_key(entry.version);
    let value = serde_json::to_string(entry)?;
    ensure!(
        value.len() < 900_000,
        "the change is too large for one value of the store"
    );
    let call = Call::CompareAndSwap {
        key,
        expect: 0,
        value,
    };
    for _ in 0..TRIES {
        match client.call_store(&call, None) {
            Answer::Written(_) => return Ok(None),
            Answer::Conflict(stands) => {
                let stands: Entry =
                    serde_json::from_str(&stands.value).context("reading the entry that stands")?;
                // After a lost answer the entry that stands may be our own.
                return Ok((stands.id != entry.id).then_some(stands));
            }
            Answer::Refused | Answer::Lost | Answer::Found(_) | Answer::Same => std::thread::sleep(PAUSE),
        }
    }
    bail!(
        "not known whether version {} was accepted: the store gives no answer; \
         run the same command again, it changes nothing that already stands",
        entry.version
    )
}

fn read(client: &Client, call: &Call) -> Result<Vec<store::Entry>> {
    for _ in 0..TRIES {
        if let Answer::Found(entries) = client.call_store(call, None) {
            return Ok(entries);
        }
        std::thread::sleep(PAUSE);
    }
    bail!("the store gives no answer")
}

fn now() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
