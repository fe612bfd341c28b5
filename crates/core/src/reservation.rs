//! Reserved retry times that every entry host accepts.
//!
//! A refused caller gets a retry time and a token that authenticates customer,
//! class and time. When it retries with the token, any host exempts it from early
//! rejection and starts it before new calls. The hosts share the signing key, so
//! that no host has to know the reservations of another.

use std::time::Duration;

use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};

use crate::time::Moment;

/// How much too early a caller may retry, as clocks differ.
const MAX_EARLY: Duration = Duration::from_secs(1);
/// How much too late a caller may retry. A token can be used several times within `MAX_EARLY`
/// and `MAX_LATE`, which limits what a caller gains by reuse.
const MAX_LATE: Duration = Duration::from_secs(5);

/// Key that signs reservations, the same on all hosts.
#[derive(Clone, Debug)]
pub struct Secret([u8; 32]);

impl Secret {
    /// Derives the key from the token that the hosts share.
    pub fn derive(shared: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update(b"radishstair promise");
        hash.update(shared.as_bytes());
        Self(hash.finalize().into())
    }

    /// Creates the token for a customer's retry at a time.
    pub fn sign(&self, customer: &str, class: &str, due: Moment) -> String {
        let mac: [u8; 32] = self
            .mac(customer, class, due.wall_ms)
            .finalize()
            .into_bytes()
            .into();
        format!("{}-{}", due.wall_ms, hex::encode(&mac[..16]))
    }

    /// Whether a token was issued to this customer for this class and its time is now.
    pub fn verify(&self, now: Moment, token: &str, customer: &str, class: &str) -> bool {
        let Some((due, mac)) = token.split_once('-') else {
            return false;
        };
        let (Ok(due), Ok(mac)) = (due.parse::<u64>(), hex::decode(mac)) else {
            return false;
        };
        let early = due.saturating_sub(MAX_EARLY.as_millis() as u64);
        let late = due.saturating_add(MAX_LATE.as_millis() as u64);
        let in_time = (early..=late).contains(&now.wall_ms);
        in_time && mac.len() == 16 && self.mac(customer, class, due).verify_truncated_left(&mac).is_ok()
    }

    fn mac(&self, customer: &str, class: &str, due: u64) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes any key length");
        mac.update(&due.to_le_bytes());
        mac.update(&(customer.len() as u64).to_le_bytes());
        mac.update(customer.as_bytes());
        mac.update(class.as_bytes());
        mac
    }
}
