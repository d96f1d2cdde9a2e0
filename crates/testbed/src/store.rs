//! A state service by the protocol, in passed-in time: versions, conditions,
//! leases, the history that a watch reads.

use foxspur_wire::state::{Change, Entry, Txn};
use serde_json::value::RawValue;
use std::collections::BTreeMap;

struct Value {
    value: Box<RawValue>,
    version: u64,
    lease: Option<u64>,
}

/// One change of the history: revision, key, and the value unless deleted.
pub type Logged = (u64, String, Option<Box<RawValue>>);

#[derive(Debug, PartialEq)]
pub enum Refusal {
    Conflict(Vec<String>),
    NoLease,
}

#[derive(Default)]
pub struct Store {
    pub revision: u64,
    keys: BTreeMap<String, Value>,
    /// Leases: life and end.
    leases: BTreeMap<u64, (f64, f64)>,
    next_lease: u64,
    pub log: Vec<Logged>,
}

impl Store {
    /// Ends leases that ran out.
    pub fn tick(&mut self, now: f64) {
        let over: Vec<u64> = (self.leases.iter())
            .filter(|(_, l)| l.1 <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.end(id);
        }
    }

    pub fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let gone: Vec<String> = (self.keys.iter())
            .filter(|(_, v)| v.lease == Some(lease))
            .map(|(k, _)| k.clone())
            .collect();
        for key in gone {
            self.revision += 1;
            self.keys.remove(&key);
            self.log.push((self.revision, key, None));
        }
    }

    /// After an outage every lease has its full time again.
    pub fn full_time(&mut self, now: f64) {
        for (life, end) in self.leases.values_mut() {
            *end = now + *life;
        }
    }

    pub fn grant(&mut self, life: f64, now: f64) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, (life, now + life));
        self.next_lease
    }

    pub fn extend(&mut self, lease: u64, now: f64) -> bool {
        let found = self.leases.get_mut(&lease);
        found.map(|l| l.1 = now + l.0).is_some()
    }

    pub fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |v| v.version)
    }

    pub fn get(&self, key: &str) -> Option<Entry> {
        let found = self.keys.get(key)?;
        Some(Entry {
            key: key.into(),
            value: found.value.clone(),
            version: found.version,
        })
    }

    pub fn list(&self, prefix: &str) -> Vec<Entry> {
        let keys = self.keys.keys().filter(|k| k.starts_with(prefix));
        keys.filter_map(|k| self.get(k)).collect()
    }

    pub fn apply(&mut self, txn: &Txn) -> Result<u64, Refusal> {
        let leased = |c: &Change| match c {
            Change::Put { lease, .. } => *lease,
            Change::Delete { .. } => None,
        };
        let known = |id: u64| self.leases.contains_key(&id);
        if !txn.changes.iter().filter_map(leased).all(known) {
            return Err(Refusal::NoLease);
        }
        let failed: Vec<String> = (txn.conds.iter())
            .filter(|c| self.version(&c.key) != c.version)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return Err(Refusal::Conflict(failed));
        }
        self.revision += 1;
        let version = self.revision;
        for change in &txn.changes {
            match change {
                Change::Put { key, value, lease } => {
                    let stored = Value {
                        value: value.clone(),
                        version,
                        lease: *lease,
                    };
                    self.keys.insert(key.clone(), stored);
                    self.log.push((version, key.clone(), Some(value.clone())));
                }
                Change::Delete { key } => {
                    self.keys.remove(key);
                    self.log.push((version, key.clone(), None));
                }
            }
        }
        Ok(version)
    }
}
