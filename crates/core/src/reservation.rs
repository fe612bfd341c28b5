//! Promises: times to come back that any entry host honours.
//!
//! A refused caller gets the time and a token over customer, class and time.
//! When it comes back with the token, whichever host it meets lets it pass the
//! early refusal and start before calls that are new. The hosts share the key,
//! so that no host need remember what another has promised.

use std::time::Duration;

use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};

use crate::time::Moment;

/// How much too early a caller may come; clocks differ.
const MAX_EARLY: Duration = Duration::from_secs(1);
/// How much too late. A token can be used more than once in this time, which
/// bounds what a caller gains by it.
const MAX_LATE: Duration = Duration::from_secs(5);

/// Key for promises, the same at all hosts.
#[derive(Clone, Debug)]
pub struct Secret([u8; 32]);

impl Secret {
    /// Derived from the token that the hosts share.
    pub fn derive(shared: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update(b"radishstair promise");
        hash.update(shared.as_bytes());
        Self(hash.finalize().into())
    }

    /// A token for a customer to come back with.
    pub fn sign(&self, customer: &str, class: &str, due: Moment) -> String {
        let mac: [u8; 32] = self.mac(customer, class, due.wall).finalize().into_bytes().into();
        format!("{}-{}", due.wall, hex::encode(&mac[..16]))
    }

    /// Whether a token is this customer's for this class and it is its time.
    pub fn verify(&self, now: Moment, token: &str, customer: &str, class: &str) -> bool {
        let Some((due, mac)) = token.split_once('-') else {
            return false;
        };
        let (Ok(due), Ok(mac)) = (due.parse::<u64>(), hex::decode(mac)) else {
            return false;
        };
        let early = due.saturating_sub(MAX_EARLY.as_millis() as u64);
        let late = due.saturating_add(MAX_LATE.as_millis() as u64);
        let in_time = (early..=late).contains(&now.wall);
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
