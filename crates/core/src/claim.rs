//! Claims: owners of idempotency keys that callers have chosen themselves.
//!
//! A claim is one store entry, created by compare-and-swap before any byte is
//! sent upstream, and never changed. If the store's answer is lost, the claim is
//! read back and its owner compared. A process that finds another's claim
//! forwards the call to its owner, which keeps the record in its [`Records`].
//!
//! Time-stamped keys (UUID version 7) are refused from a certain age, so their
//! claims can be deleted without making a key usable again. The bound on time
//! stamps in the future follows Goodson et al., CMU-CS-02-180, section 6.2.
//! Claims of other keys are never deleted.

use sha2::{Digest, Sha256};
use std::time::Duration;

use crate::at_most_once::{Claim, Records, Verdict};
use crate::error::{Kind, Refusal};
use crate::id::{CallId, Incarnation};
use crate::store::{Answer, Call as StoreCall, Entry, Token};
use crate::time::Moment;

/// Store prefix of claims that are never deleted.
pub const PREFIX: &str = "claim/k/";
/// Store prefix of claims of time-stamped keys. They are written with a store lease longer than
/// `MAX_KEY_AGE`, so that the store deletes them once their key is refused anyway.
pub const TIMESTAMPED_PREFIX: &str = "claim/t/";
/// Lifetime of the store lease of these claims.
pub const LEASE_TTL: Duration = Duration::from_secs(26 * 3_600);
/// Maximum age of a time-stamped key.
pub const MAX_KEY_AGE: Duration = Duration::from_secs(24 * 3_600);
/// Maximum time by which a key's time stamp may be ahead of this host's clock.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(300);
/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;
/// Maximum reads after a lost answer before the caller gets a refusal.
const MAX_READ_BACKS: u32 = 3;
/// Maximum pending claims; beyond it calls are refused immediately.
const MAX_PENDING: usize = 256;

record! {
    /// Content of a claim.
    pub struct Record {
        /// The only process that may run the call.
        pub owner: Incarnation,
        /// Distinguishes attempts of the same owner.
        pub nonce: u64,
    }
}

plain! {
    struct Pending {
        call: CallId,
        claim: Claim,
        store_key: String,
        customer: String,
        body_hash: u64,
        nonce: u64,
        read_backs: u32,
    }
}

/// Claims that wait for the store's answer.
#[derive(Debug)]
pub struct Registry {
    incarnation: Incarnation,
    nonce: u64,
    pending: Vec<(Token, Pending)>,
}

/// Digest that identifies the claim of a customer's key. The length prefix keeps the keys of
/// different customers apart.
pub fn digest(customer: &str, key: &str) -> Claim {
    let mut hash = Sha256::new();
    hash.update((customer.len() as u64).to_le_bytes());
    hash.update(customer.as_bytes());
    hash.update(key.as_bytes());
    let full: [u8; 32] = hash.finalize().into();
    let mut claim = [0; 16];
    claim.copy_from_slice(&full[..16]);
    claim
}

/// Store key of the claim of an idempotency key.
pub fn store_key(key: &str, claim: &Claim) -> String {
    let prefix = if timestamp_ms(key).is_some() {
        TIMESTAMPED_PREFIX
    } else {
        PREFIX
    };
    format!("{prefix}{}", hex::encode(claim))
}

/// Checks an idempotency key that a caller has chosen.
///
/// # Errors
///
/// Refuses keys that are malformed, too old or too far in the future.
pub fn validate_key(now: Moment, key: &str) -> Result<(), Refusal> {
    let printable = key.bytes().all(|c| (0x21..0x7f).contains(&c));
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !printable || key.starts_with(crate::ticket::PREFIX) {
        return Err(Kind::BadIdempotencyKey.into());
    }
    let Some(stamp) = timestamp_ms(key) else {
        return Ok(());
    };
    if stamp > now.wall_ms + MAX_CLOCK_SKEW.as_millis() as u64 {
        return Err(Refusal::new(Kind::BadIdempotencyKey).detail("its time stamp lies ahead"));
    }
    if stamp + (MAX_KEY_AGE.as_millis() as u64) < now.wall_ms {
        return Err(Kind::KeyExpired.into());
    }
    Ok(())
}

fn timestamp_ms(key: &str) -> Option<u64> {
    let id = uuid::Uuid::try_parse(key).ok()?;
    let (secs, nanos) = id
        .get_timestamp()
        .filter(|_| id.get_version_num() == 7)?
        .to_unix();
    Some(secs * 1_000 + u64::from(nanos) / 1_000_000)
}

impl Registry {
    /// Creates a registry without pending claims; nonces count up from `seed`.
    pub fn new(incarnation: Incarnation, seed: u64) -> Self {
        Self {
            incarnation,
            nonce: seed,
            pending: Vec::new(),
        }
    }

    /// Begins a call by its claim.
    ///
    /// # Errors
    ///
    /// If the claim is not decided yet, returns the store call that decides it.
    pub fn begin(
        &mut self,
        now: Moment,
        records: &mut Records,
        token: Token,
        (call, key): (CallId, &str),
        (customer, body_hash): (&str, u64),
    ) -> Result<Verdict, StoreCall> {
        let claim = digest(customer, key);
        if records.contains(&claim) {
            return Ok(records.begin_claim(now, call, claim, customer, body_hash));
        }
        if !records.has_capacity() || self.pending.len() >= MAX_PENDING {
            let refusal = Refusal::new(Kind::ClaimUnsettled).retry_after(Duration::from_secs(1));
            return Ok(Verdict::Refuse(refusal));
        }
        self.nonce = self.nonce.wrapping_add(1);
        let pending = Pending {
            call,
            claim,
            store_key: store_key(key, &claim),
            customer: customer.to_string(),
            body_hash,
            nonce: self.nonce,
            read_backs: 0,
        };
        let record = Record {
            owner: self.incarnation,
            nonce: self.nonce,
        };
        let store_key = pending.store_key.clone();
        self.pending.push((token, pending));
        Err(StoreCall::CompareAndSwap {
            key: store_key,
            expect: 0,
            value: serde_json::to_string(&record).unwrap_or_default(),
        })
    }

    /// Handles the store's answer: returns the call with its verdict, or with a further store
    /// call to send under `next_token`.
    pub fn on_answer(
        &mut self,
        now: Moment,
        records: &mut Records,
        token: Token,
        next_token: Token,
        answer: &Answer,
    ) -> Option<(CallId, Result<Verdict, StoreCall>)> {
        let at = self.pending.iter().position(|(existing, _)| *existing == token)?;
        let (_, mut pending) = self.pending.swap_remove(at);
        let call = pending.call;
        let result = match answer {
            Answer::Written(_) => Ok(self.begin_own(now, records, &pending)),
            Answer::Conflict(entry) => Ok(self.on_entry(now, records, &pending, entry)),
            Answer::Found(entries) => match entries.first() {
                Some(entry) => Ok(self.on_entry(now, records, &pending, entry)),
                None => Ok(unsettled()),
            },
            Answer::Refused | Answer::Conflicts(_) | Answer::Same => Ok(unsettled()),
            // The write may have succeeded. Without the read, this process's own claim would be
            // taken for another's and the call would never run.
            Answer::Lost if pending.read_backs < MAX_READ_BACKS => {
                pending.read_backs += 1;
                let key = pending.store_key.clone();
                self.pending.push((next_token, pending));
                Err(StoreCall::Get { key })
            }
            Answer::Lost => Ok(unsettled()),
        };
        Some((call, result))
    }

    fn on_entry(&self, now: Moment, records: &mut Records, pending: &Pending, entry: &Entry) -> Verdict {
        match serde_json::from_str::<Record>(&entry.value) {
            // Every claim under this incarnation is its own, also one whose answer was lost in an
            // earlier attempt. No other process can have run the call, and the records show
            // whether this one has.
            Ok(record) if record.owner == self.incarnation => self.begin_own(now, records, pending),
            Ok(record) => Verdict::Forward(record.owner),
            Err(_) => unsettled(),
        }
    }

    fn begin_own(&self, now: Moment, records: &mut Records, pending: &Pending) -> Verdict {
        records.begin_claim(
            now,
            pending.call,
            pending.claim,
            &pending.customer,
            pending.body_hash,
        )
    }
}

fn unsettled() -> Verdict {
    Verdict::Refuse(Refusal::new(Kind::ClaimUnsettled).retry_after(Duration::from_secs(1)))
}
