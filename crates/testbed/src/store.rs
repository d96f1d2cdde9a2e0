//! The data of the state service: a key-value store with versions, transactions with
//! compare-and-swap conditions, leases, and the log of changes that a watch reads. All times
//! are passed in.

use foxspur_wire::state::{Change, Entry, Txn};
use serde_json::value::RawValue;
use std::collections::BTreeMap;

/// A value and the lease that deletes it.
struct Value {
    value: Box<RawValue>,
    version: u64,
    lease: Option<u64>,
}

/// One change of the history: revision, key, and the value unless deleted.
pub type Logged = (u64, String, Option<Box<RawValue>>);

/// Why a transaction is not applied.
#[derive(Debug, PartialEq)]
pub enum Refusal {
    /// Keys whose versions are not those of its conditions.
    Conflict(Vec<String>),
    /// A change names a lease that is not held.
    NoLease,
}

/// A lease: keys attached to it are deleted when it ends.
struct Lease {
    ttl_s: f64,
    expires_at: f64,
}

/// The store.
#[derive(Default)]
pub struct Store {
    /// Number of the last change; also the version of the keys that it wrote.
    pub revision: u64,
    keys: BTreeMap<String, Value>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    /// All changes, oldest first.
    pub log: Vec<Logged>,
}

impl Store {
    /// Ends the leases that have expired at `now`.
    pub fn tick(&mut self, now: f64) {
        let expired: Vec<u64> = (self.leases.iter())
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.end(id);
        }
    }

    /// Ends a lease and deletes its keys.
    pub fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached: Vec<String> = (self.keys.iter())
            .filter(|(_, value)| value.lease == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in attached {
            self.revision += 1;
            self.keys.remove(&key);
            self.log.push((self.revision, key, None));
        }
    }

    /// After an outage every lease has its full time again.
    pub fn full_time(&mut self, now: f64) {
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.ttl_s;
        }
    }

    /// Grants a lease of so many seconds; its id.
    pub fn grant(&mut self, ttl_s: f64, now: f64) -> u64 {
        self.last_lease += 1;
        let expires_at = now + ttl_s;
        let lease = Lease { ttl_s, expires_at };
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    /// Gives a lease its full time again; false if it is not held.
    pub fn extend(&mut self, lease: u64, now: f64) -> bool {
        let Some(lease) = self.leases.get_mut(&lease) else {
            return false;
        };
        lease.expires_at = now + lease.ttl_s;
        true
    }

    /// The revision that wrote a key; 0 if there is none.
    pub fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |v| v.version)
    }

    /// A key with its value and version.
    pub fn get(&self, key: &str) -> Option<Entry> {
        let found = self.keys.get(key)?;
        Some(Entry {
            key: key.into(),
            value: found.value.clone(),
            version: found.version,
        })
    }

    /// All keys under a prefix, in their order.
    pub fn list(&self, prefix: &str) -> Vec<Entry> {
        let keys = self.keys.keys().filter(|k| k.starts_with(prefix));
        keys.filter_map(|k| self.get(k)).collect()
    }

    /// Applies a transaction as a whole, or not at all; the revision that it makes.
    ///
    /// # Errors
    ///
    /// If a lease is not held, or a condition fails.
    pub fn apply(&mut self, txn: &Txn) -> Result<u64, Refusal> {
        if !txn.changes.iter().all(|change| self.holds_lease_of(change)) {
            return Err(Refusal::NoLease);
        }
        let failed: Vec<String> = (txn.conds.iter())
            .filter(|cond| self.version(&cond.key) != cond.version)
            .map(|cond| cond.key.clone())
            .collect();
        if !failed.is_empty() {
            return Err(Refusal::Conflict(failed));
        }
        self.revision += 1;
        for change in &txn.changes {
            self.write(change);
        }
        Ok(self.revision)
    }

    /// Whether the lease that a change names is held, if it names one.
    fn holds_lease_of(&self, change: &Change) -> bool {
        match change {
            Change::Put { lease, .. } => lease.is_none_or(|id| self.leases.contains_key(&id)),
            Change::Delete { .. } => true,
        }
    }

    /// Writes one change at the present revision.
    fn write(&mut self, change: &Change) {
        let version = self.revision;
        let (key, written) = match change {
            Change::Put { key, value, lease } => {
                let stored = Value {
                    value: value.clone(),
                    version,
                    lease: *lease,
                };
                self.keys.insert(key.clone(), stored);
                (key, Some(value.clone()))
            }
            Change::Delete { key } => {
                self.keys.remove(key);
                (key, None)
            }
        };
        self.log.push((version, key.clone(), written));
    }
}
