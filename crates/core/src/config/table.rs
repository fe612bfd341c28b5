//! Sorted tables of named records.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::{Class, Customer, Key, Pool, Selector, Tier};

/// A record with a name.
pub trait Named {
    /// The name by which it is sorted.
    fn name(&self) -> &str;
}

macro_rules! named {
    ($($kind:ty),*) => {
        $(impl Named for $kind {
            fn name(&self) -> &str {
                &self.name
            }
        })*
    };
}

named!(Tier, Class, Customer, Key, Pool, Selector);

/// Records sorted by name and found by binary search.
#[derive(Clone, Debug, PartialEq)]
pub struct Table<T>(Vec<T>);

impl<T> Default for Table<T> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<T: Named> Table<T> {
    /// Position of the record with a name.
    pub fn position(&self, name: &str) -> Option<usize> {
        self.0.binary_search_by(|item| item.name().cmp(name)).ok()
    }

    /// The record with a name.
    pub fn get(&self, name: &str) -> Option<&T> {
        self.position(name).map(|at| &self.0[at])
    }

    /// Adds or replaces a record.
    pub fn put(&mut self, item: T) {
        match self
            .0
            .binary_search_by(|existing| existing.name().cmp(item.name()))
        {
            Ok(at) => self.0[at] = item,
            Err(at) => self.0.insert(at, item),
        }
    }

    /// Removes a record; returns whether it existed.
    pub fn remove(&mut self, name: &str) -> bool {
        match self.position(name) {
            Some(at) => {
                self.0.remove(at);
                true
            }
            None => false,
        }
    }
}

impl<T> std::ops::Deref for Table<T> {
    type Target = [T];

    fn deref(&self) -> &[T] {
        &self.0
    }
}

impl<T: Serialize> Serialize for Table<T> {
    fn serialize<S: Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        self.0.serialize(ser)
    }
}

impl<'de, T: Named + Deserialize<'de>> Deserialize<'de> for Table<T> {
    fn deserialize<D: Deserializer<'de>>(de: D) -> Result<Self, D::Error> {
        let mut items = Vec::<T>::deserialize(de)?;
        items.sort_by(|a, b| a.name().cmp(b.name()));
        if let Some(pair) = items.windows(2).find(|pair| pair[0].name() == pair[1].name()) {
            return Err(serde::de::Error::custom(format!(
                "the name `{}` occurs twice",
                pair[0].name()
            )));
        }
        Ok(Self(items))
    }
}
