//! Tickets: idempotency keys that name the only process that may run the call.
//!
//! A ticket contains the incarnation of its issuer and a number whose record only
//! the issuer keeps. No write to shared storage is needed, so calls run at most
//! once during any network partition, freeze or outage; after a crash the answer
//! is "unknown". The MAC covers number and customer with a secret that never
//! leaves the issuer's memory, so a ticket cannot be forged or used by another
//! customer.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::id::Incarnation;

/// First characters of every ticket.
pub const PREFIX: &str = "rst1-";
/// Length of the truncated MAC in a ticket, in bytes.
const MAC_BYTES: usize = 16;

/// Secret of one incarnation.
pub type Secret = [u8; 32];

plain! {
    /// A ticket that was parsed but not verified.
    #[derive(Eq)]
    pub struct Ticket {
        /// The only process that may run the call.
        pub owner: Incarnation,
        /// Number among the owner's tickets.
        pub number: u64,
        mac: [u8; MAC_BYTES],
    }
}

impl Ticket {
    /// Issues a ticket to a customer.
    pub fn issue(secret: &Secret, owner: Incarnation, number: u64, customer: &str) -> Self {
        let full: [u8; 32] = mac(secret, number, customer).finalize().into_bytes().into();
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&full[..MAC_BYTES]);
        Self { owner, number, mac }
    }

    /// Parses a ticket; `None` if the text is not one.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.strip_prefix(PREFIX)?.split('-');
        let owner = parts.next()?.parse().ok()?;
        let number = u64::from_str_radix(parts.next()?, 16).ok()?;
        let mut mac = [0; MAC_BYTES];
        hex::decode_to_slice(parts.next()?, &mut mac).ok()?;
        match parts.next() {
            None => Some(Self { owner, number, mac }),
            Some(_) => None,
        }
    }

    /// Whether the owner issued it to this customer, compared in constant time.
    pub fn verify(&self, secret: &Secret, customer: &str) -> bool {
        mac(secret, self.number, customer)
            .verify_truncated_left(&self.mac)
            .is_ok()
    }
}

impl std::fmt::Display for Ticket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{PREFIX}{}-{:x}-{}",
            self.owner,
            self.number,
            hex::encode(self.mac)
        )
    }
}

fn mac(secret: &Secret, number: u64, customer: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes any key length");
    mac.update(&number.to_le_bytes());
    mac.update(customer.as_bytes());
    mac
}
