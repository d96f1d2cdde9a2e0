//! A bounded map that evicts its oldest entry when it is full.

use foldhash::fast::RandomState;
use std::borrow::Borrow;
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// A map that holds at most `capacity` entries. Adding a key to a full map evicts the key that was
/// added first. Replacing the value of a key does not change the order of eviction.
#[derive(Debug)]
pub struct RecentMap<K, V> {
    entries: HashMap<K, V, RandomState>,
    /// Keys in the order in which they were added, oldest first.
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

    /// Inserts or replaces the value of a key. Returns the previous value; `None` if the map did
    /// not hold the key.
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

    /// The value of a key; `None` if the map does not hold the key.
    pub fn get<Q>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.entries.get(key)
    }

    /// Whether the map holds the key.
    pub fn contains<Q>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.entries.contains_key(key)
    }
}
