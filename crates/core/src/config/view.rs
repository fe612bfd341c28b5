//! The compiled configuration that traffic threads read.

use std::sync::Arc;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::{Class, Document, Mode, Pool, Selector, Tier};
use crate::error::{Kind, Refusal};

arena_key! {
    /// A customer of the current view.
    CustomerKey(u16)
}

plain! {
    /// A caller, identified by its key.
    pub struct Caller {
        /// Position of the key in the document.
        pub key: usize,
        /// Customer that the key belongs to.
        pub customer: CustomerKey,
    }
}

plain! {
    /// Class, tier and pools of one request, as the selectors decided.
    pub struct Route {
        /// Name of its class.
        pub class: String,
        /// How it is run.
        pub mode: Mode,
        /// Name of its tier; a position would not survive a change of the view.
        pub tier: String,
        /// Names of the pools that may run it.
        pub pools: Arc<[String]>,
    }
}

/// One version of the document, indexed for lookups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Version of the configuration; 0 before the first.
    pub version: u64,
    /// The document itself.
    pub document: Document,
    /// Hashes of the keys with their positions, sorted.
    hashes: Vec<([u8; 32], usize)>,
    /// Positions of the selectors, by rank.
    selector_order: Vec<usize>,
}

impl View {
    /// Compiles a document.
    pub fn new(version: u64, document: Document) -> Self {
        let mut hashes: Vec<([u8; 32], usize)> = document
            .keys
            .iter()
            .enumerate()
            .filter_map(|(at, key)| {
                let mut hash = [0; 32];
                hex::decode_to_slice(&key.hash, &mut hash).ok()?;
                Some((hash, at))
            })
            .collect();
        hashes.sort_unstable();
        let mut order: Vec<usize> = (0..document.selectors.len()).collect();
        order.sort_by_key(|&at| document.selectors[at].rank);
        Self {
            version,
            document,
            hashes,
            selector_order: order,
        }
    }

    /// Identifies a caller by the key that it presents.
    ///
    /// The presented key is hashed first, so that the search compares only
    /// hashes and its timing reveals nothing about a key. The last comparison
    /// is in constant time nevertheless.
    ///
    /// # Errors
    ///
    /// Refuses keys that are unknown or withdrawn.
    pub fn authenticate(&self, presented: &str) -> Result<Caller, Refusal> {
        let hash: [u8; 32] = Sha256::digest(presented.as_bytes()).into();
        let at = self
            .hashes
            .binary_search_by(|(stored, _)| stored.cmp(&hash))
            .map_err(|_| Refusal::new(Kind::UnknownKey))?;
        let (stored, key) = self.hashes[at];
        if !bool::from(stored.ct_eq(&hash)) {
            return Err(Kind::UnknownKey.into());
        }
        let record = &self.document.keys[key];
        if record.withdrawn {
            return Err(Kind::KeyWithdrawn.into());
        }
        let customer = self
            .document
            .customers
            .position(&record.customer)
            .ok_or(Kind::UnknownKey)?;
        Ok(Caller {
            key,
            customer: CustomerKey(customer as u16),
        })
    }

    /// The caller with a key of this name, for calls that a peer has admitted.
    pub fn caller_by_name(&self, key: &str) -> Option<Caller> {
        let at = self.document.keys.position(key)?;
        let customer = self
            .document
            .customers
            .position(&self.document.keys[at].customer)?;
        Some(Caller {
            key: at,
            customer: CustomerKey(customer as u16),
        })
    }

    /// Whether the key of this name exists and is not withdrawn.
    pub fn is_key_valid(&self, name: &str) -> bool {
        self.document.keys.get(name).is_some_and(|key| !key.withdrawn)
    }

    /// The class of plain calls for a path.
    pub fn class_for_path(&self, path: &str) -> Option<&Class> {
        self.document
            .classes
            .iter()
            .find(|class| class.mode != Mode::Generate && class.path == path)
    }

    /// Decides the tier and pools of a request.
    ///
    /// # Errors
    ///
    /// Refuses requests of an unknown class or model, requests that no selector matches, and
    /// those for which there is no pool.
    pub fn route(&self, caller: &Caller, class: &str, model: Option<&str>) -> Result<Route, Refusal> {
        let class = self
            .document
            .classes
            .get(class)
            .ok_or_else(|| Refusal::new(Kind::UnknownClass).detail(class))?;
        let selector = self
            .selector_order
            .iter()
            .map(|&at| &self.document.selectors[at])
            .find(|selector| self.matches(selector, caller, class))
            .ok_or(Kind::NotSelected)?;
        let tier = self.document.tiers.get(&selector.tier).ok_or(Kind::NotSelected)?;
        let pools = self.pools(selector, tier, model);
        if pools.is_empty() {
            return Err(match model {
                Some(model) => Refusal::new(Kind::UnknownModel).detail(model),
                None => Kind::NoRunner.into(),
            });
        }
        Ok(Route {
            class: class.name.clone(),
            mode: class.mode.clone(),
            tier: tier.name.clone(),
            pools,
        })
    }

    fn pools(&self, selector: &Selector, tier: &Tier, model: Option<&str>) -> Arc<[String]> {
        self.document
            .pools
            .iter()
            .filter(|pool| tier.reclaimable || !pool.reclaimable)
            .filter(|pool| selector.matches_pool(pool))
            .filter(|pool| model.is_none_or(|model| serves(pool, model)))
            .map(|pool| pool.name.clone())
            .collect()
    }

    fn matches(&self, selector: &Selector, caller: &Caller, class: &Class) -> bool {
        let key = &self.document.keys[caller.key];
        let customer = &self.document.customers[caller.customer.index()];
        selector.when.iter().all(|(name, expected)| {
            let actual = match name.split_once('.') {
                None if name == "class" => Some(&class.name),
                None if name == "customer" => Some(&customer.name),
                None => Some(&key.name),
                Some(("class", label)) => class.labels.get(label),
                Some(("customer", label)) => customer.labels.get(label),
                Some((_, label)) => key.labels.get(label),
            };
            actual == Some(expected)
        })
    }
}

fn serves(pool: &Pool, model: &str) -> bool {
    pool.models.iter().any(|name| name == model)
}
