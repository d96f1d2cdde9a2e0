//! The state service's interface.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key with its value and the revision of its last change.
#[derive(Deserialize, Clone, Debug)]
pub struct Entry {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: Value,
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of a listing.
#[derive(Deserialize, Clone, Debug)]
pub struct Listing {
    #[serde(rename = "entries")]
    pub items: Vec<Entry>,
    #[serde(default)]
    pub more: bool,
    #[serde(rename = "revno")]
    pub revision: u64,
}

/// A condition: the key has this version (0: it does not exist).
#[derive(Serialize, Clone, Debug)]
pub struct Cond {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change.
#[derive(Serialize, Clone, Debug)]
#[serde(untagged)]
pub enum Change {
    Put {
        #[serde(rename = "set")]
        key: String,
        #[serde(rename = "v")]
        value: Value,
        #[serde(rename = "tenancy", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "delete")]
        key: String,
    },
}

/// A transaction.
#[derive(Serialize, Clone, Debug, Default)]
pub struct Txn {
    #[serde(rename = "when")]
    pub conds: Vec<Cond>,
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

impl Txn {
    /// Adds a condition.
    pub fn when(mut self, key: &str, version: u64) -> Self {
        self.conds.push(Cond {
            key: key.into(),
            version,
        });
        self
    }
    /// Adds a put without a lease.
    pub fn put(self, key: &str, value: Value) -> Self {
        self.put_leased(key, value, None)
    }
    /// Adds a put that lives as long as `lease`.
    pub fn put_leased(mut self, key: &str, value: Value, lease: Option<u64>) -> Self {
        self.changes.push(Change::Put {
            key: key.into(),
            value,
            lease,
        });
        self
    }
    /// Adds a deletion.
    pub fn delete(mut self, key: &str) -> Self {
        self.changes.push(Change::Delete { key: key.into() });
        self
    }
}

/// Answer to a transaction that was applied, or a missing key.
#[derive(Deserialize, Clone, Debug)]
pub struct Revision {
    #[serde(rename = "revno")]
    pub revision: u64,
}

/// Answer to a transaction whose conditions failed.
#[derive(Deserialize, Clone, Debug)]
pub struct Conflict {
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A request for a lease.
#[derive(Serialize, Clone, Debug)]
pub struct LeaseRequest {
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// A granted lease.
#[derive(Deserialize, Clone, Debug)]
pub struct Lease {
    #[serde(rename = "tenancy")]
    pub lease: u64,
}

/// One change seen by a watch.
#[derive(Deserialize, Clone, Debug)]
#[serde(untagged)]
pub enum Event {
    Put {
        #[serde(rename = "set")]
        key: String,
        #[serde(rename = "v")]
        value: Value,
        #[serde(rename = "stamp")]
        version: u64,
    },
    Delete {
        #[serde(rename = "delete")]
        key: String,
        #[serde(rename = "stamp")]
        version: u64,
    },
}

/// What a watch returns.
#[derive(Deserialize, Clone, Debug)]
pub struct News {
    #[serde(rename = "revno")]
    pub revision: u64,
    #[serde(rename = "news")]
    pub events: Vec<Event>,
}
