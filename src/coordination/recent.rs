//! A bounded map that evicts the oldest entry first.

use foldhash::fast::RandomState;
use std::borrow::Borrow;
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// A map that holds the `capacity` keys that were inserted last, with their values.
#[derive(Debug)]
pub struct RecentMap<K, V> {
    entries: HashMap<K, V, RandomState>,
    /// Keys in the order of their first insertion, oldest first.
    order: VecDeque<K>,
    capacity: usize,
}

impl<K: Clone + Eq + Hash, V> RecentMap<K, V> {
    /// An empty map that holds up to `capacity` entries.
    pub fn new(capacity: usize) -> RecentMap<K, V> {
        RecentMap {
            entries: HashMap::default(),
            order: VecDeque::new(),
            capacity,
        }
    }

    /// Inserts or replaces a value and returns the previous one. A key that is inserted again
    /// keeps its place in the eviction order. A new key beyond the capacity evicts the oldest.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        let previous = self.entries.insert(key.clone(), value);
        if previous.is_none() {
            self.order.push_back(key);
            if self.order.len() > self.capacity {
                if let Some(oldest) = self.order.pop_front() {
                    self.entries.remove(&oldest);
                }
            }
        }
        previous
    }

    /// The value of a key, if the map still holds it.
    pub fn get<Q>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.entries.get(key)
    }

    /// Whether the map still holds the key.
    pub fn contains<Q>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.entries.contains_key(key)
    }
}
