//! The data of the simulated state service: a key-value store with versions, transactions with
//! compare-and-swap conditions, leases, and the log of changes that a watch reads. The caller
//! passes in the current time.

use foxspur_wire::state::{Change, Entry, Txn};
use serde_json::value::RawValue;
use std::collections::BTreeMap;

/// A value and the lease that it is attached to, if any.
struct Value {
    value: Box<RawValue>,
    version: u64,
    lease: Option<u64>,
}

/// One entry of the log of changes: revision, key, and the new value, or none for a deletion.
pub type Logged = (u64, String, Option<Box<RawValue>>);

/// Why a transaction is not applied.
#[derive(Debug, PartialEq)]
pub enum Refusal {
    /// Keys whose versions differ from those in the conditions.
    Conflict(Vec<String>),
    /// A change names a lease that does not exist.
    NoLease,
}

/// A lease. Keys attached to it are deleted when it ends.
struct Lease {
    ttl_s: f64,
    expires_at: f64,
}

/// A key-value store with leases.
#[derive(Default)]
pub struct Store {
    /// Number of the last revision; also the version of the keys written in it.
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

    /// Extends all leases: each expires its full time after `now`. The service does this after an
    /// outage.
    pub fn full_time(&mut self, now: f64) {
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.ttl_s;
        }
    }

    /// Grants a lease that expires after `ttl_s` seconds. Returns its id.
    pub fn grant(&mut self, ttl_s: f64, now: f64) -> u64 {
        self.last_lease += 1;
        let expires_at = now + ttl_s;
        let lease = Lease { ttl_s, expires_at };
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    /// Extends a lease by its full time. Returns false if it does not exist.
    pub fn extend(&mut self, lease: u64, now: f64) -> bool {
        let Some(lease) = self.leases.get_mut(&lease) else {
            return false;
        };
        lease.expires_at = now + lease.ttl_s;
        true
    }

    /// The revision that wrote a key; 0 if the key does not exist.
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

    /// All entries whose keys have this prefix, in the order of their keys.
    pub fn list(&self, prefix: &str) -> Vec<Entry> {
        let keys = self.keys.keys().filter(|k| k.starts_with(prefix));
        keys.filter_map(|k| self.get(k)).collect()
    }

    /// Applies all changes of a transaction or none of them. Returns the new revision.
    ///
    /// # Errors
    ///
    /// If a lease does not exist or a condition fails.
    pub fn apply(&mut self, txn: &Txn) -> Result<u64, Refusal> {
        if !txn
            .changes
            .iter()
            .all(|change| self.named_lease_exists(change))
        {
            return Err(Refusal::NoLease);
        }
        let failed: Vec<String> = (txn.conditions.iter())
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

    /// Whether the lease that a change names exists. True if it names none.
    fn named_lease_exists(&self, change: &Change) -> bool {
        match change {
            Change::Put { lease, .. } => lease.is_none_or(|id| self.leases.contains_key(&id)),
            Change::Delete { .. } => true,
        }
    }

    /// Applies one change at the current revision.
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
