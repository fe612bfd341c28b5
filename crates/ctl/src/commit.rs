//! Reads the configuration from the store and appends changes to its log.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result, bail, ensure};
use radishstair_core::config::Document;
use radishstair_core::config::change::{self, Entry, LOG_PREFIX, Op, SNAPSHOT_KEY, Snapshot};
use radishstair_core::store::{self, Answer, Call};
use radishstair_wire::platform::Client;

/// Attempts of one store call before the store counts as unreachable.
const MAX_ATTEMPTS: u32 = 20;
/// Pause between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Log entries read by one call.
const PAGE_ENTRIES: u32 = 500;
/// Conflicts in a row with other operators' changes after which a change is given up.
const MAX_CONFLICTS: u32 = 8;

/// Newest configuration: the stored snapshot with the later log entries
/// applied.
///
/// # Errors
///
/// When the store does not answer or an entry cannot be read.
pub fn load_snapshot(client: &Client) -> Result<Snapshot> {
    let entries = read_entries(
        client,
        &Call::Get {
            key: SNAPSHOT_KEY.into(),
        },
    )?;
    let mut snapshot = match entries.first().filter(|entry| entry.version > 0) {
        Some(entry) => serde_json::from_str(&entry.value).context("reading the stored snapshot")?,
        None => Snapshot::default(),
    };
    for entry in load_log(client, snapshot.version)? {
        if entry.version != snapshot.version + 1 {
            break;
        }
        snapshot.version = entry.version;
        change::apply(&mut snapshot.document, &entry.ops)
            .with_context(|| format!("applying version {}", entry.version))?;
    }
    Ok(snapshot)
}

/// All log entries after a version, in order.
///
/// # Errors
///
/// When the store does not answer or an entry cannot be read.
pub fn load_log(client: &Client, after: u64) -> Result<Vec<Entry>> {
    let mut all = Vec::new();
    let mut cursor = change::log_key(after);
    loop {
        let call = Call::Range {
            prefix: LOG_PREFIX.into(),
            after: cursor.clone(),
            limit: PAGE_ENTRIES,
        };
        let entries = read_entries(client, &call)?;
        let Some(last) = entries.last() else {
            return Ok(all);
        };
        cursor = last.key.clone();
        for entry in &entries {
            all.push(serde_json::from_str(&entry.value).with_context(|| format!("reading {}", entry.key))?);
        }
    }
}

/// Appends the change that `plan` computes from the current document. If another
/// operator's change is accepted first and `retry` is set, `plan` runs again on
/// the new document. Returns `None` if there is nothing to change.
///
/// # Errors
///
/// When other operators' changes were accepted first, the change does not pass
/// the checks, or the store does not answer. If it does not answer the write,
/// the message says that the outcome is unknown.
pub fn commit(
    client: &Client,
    who: &str,
    note: &str,
    retry: bool,
    plan: impl Fn(&Document) -> Result<Vec<Op>>,
) -> Result<Option<Entry>> {
    for _ in 0..MAX_CONFLICTS {
        let current = load_snapshot(client)?;
        let ops = plan(&current.document)?;
        if ops.is_empty() {
            return Ok(None);
        }
        let mut checked = current.document.clone();
        change::apply(&mut checked, &ops).context("the change does not pass the checks")?;
        let entry = Entry {
            version: current.version + 1,
            id: uuid::Uuid::now_v7().to_string(),
            who: who.to_string(),
            when: unix_millis(),
            note: note.to_string(),
            ops,
        };
        match append(client, &entry)? {
            None => return Ok(Some(entry)),
            Some(other) if !retry => bail!(
                "not accepted: {} applied version {} first ({}); compare with `diff` and apply again",
                other.who,
                other.version,
                other.note
            ),
            Some(_) => {}
        }
    }
    bail!("not accepted: {MAX_CONFLICTS} conflicts in a row with changes by other operators")
}

/// Appends an entry to the log. Returns the other entry if there already is one
/// with this version.
fn append(client: &Client, entry: &Entry) -> Result<Option<Entry>> {
    let key = change::log_key(entry.version);
    let value = serde_json::to_string(entry)?;
    ensure!(
        value.len() < 900_000,
        "the change is too large for one value of the store: 900000 bytes or more"
    );
    let call = Call::CompareAndSwap {
        key,
        expect: 0,
        value,
    };
    for _ in 0..MAX_ATTEMPTS {
        match client.call_store(&call, None) {
            Answer::Written(_) => return Ok(None),
            Answer::Conflict(existing) => {
                let existing: Entry =
                    serde_json::from_str(&existing.value).context("reading the existing entry")?;
                // If an answer was lost, the existing entry may come from an earlier attempt.
                return Ok((existing.id != entry.id).then_some(existing));
            }
            Answer::Refused | Answer::Lost | Answer::Conflicts(_) | Answer::Found(_) | Answer::Same => {
                std::thread::sleep(RETRY_DELAY)
            }
        }
    }
    bail!(
        "not known whether version {} was accepted: the store does not answer; \
         run the same command again, it does not repeat an accepted change",
        entry.version
    )
}

/// Makes a call that reads entries, with retries.
fn read_entries(client: &Client, call: &Call) -> Result<Vec<store::Entry>> {
    for _ in 0..MAX_ATTEMPTS {
        if let Answer::Found(entries) = client.call_store(call, None) {
            return Ok(entries);
        }
        std::thread::sleep(RETRY_DELAY);
    }
    bail!("the store does not answer")
}

/// Wall-clock time, in milliseconds since the Unix epoch.
fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}
