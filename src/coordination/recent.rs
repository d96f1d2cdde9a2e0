//! A map of bounded size that forgets its oldest entries first.

use foldhash::fast::RandomState;
use std::borrow::Borrow;
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Remembers the latest `capacity` keys that were inserted, with their values.
#[derive(Debug)]
pub struct RecentMap<K, V> {
    entries: HashMap<K, V, RandomState>,
    /// Keys in the order in which they came, oldest first.
    order: VecDeque<K>,
    capacity: usize,
}

impl<K: Clone + Eq + Hash, V> RecentMap<K, V> {
    /// An empty map for so many entries.
    pub fn new(capacity: usize) -> RecentMap<K, V> {
        RecentMap {
            entries: HashMap::default(),
            order: VecDeque::new(),
            capacity,
        }
    }

    /// Inserts or replaces a value and returns the one before. A key that is replaced keeps
    /// its age; a new one beyond the capacity evicts the oldest.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        let before = self.entries.insert(key.clone(), value);
        if before.is_none() {
            self.order.push_back(key);
            if self.order.len() > self.capacity {
                if let Some(oldest) = self.order.pop_front() {
                    self.entries.remove(&oldest);
                }
            }
        }
        before
    }

    /// The value of a key that is still remembered.
    pub fn get<Q>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.entries.get(key)
    }

    /// Whether the key is still remembered.
    pub fn contains<Q>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.entries.contains_key(key)
    }
}
