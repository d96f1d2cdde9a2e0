//! The state service's interface.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::{to_raw_value, RawValue};

/// A key with its value, unread as yet, and the revision of its last change.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Entry {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: Box<RawValue>,
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl Entry {
    /// Reads the value.
    pub fn read<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_str(self.value.get())
    }
}

/// A page of a listing.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Listing {
    #[serde(rename = "entries")]
    pub items: Vec<Entry>,
    #[serde(default)]
    pub more: bool,
    #[serde(rename = "revno")]
    pub revision: u64,
}

/// A condition: the key has this version (0: it does not exist).
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Cond {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change.
#[derive(Serialize, Deserialize, Clone, Debug)]
#[serde(untagged, try_from = "AnyChange")]
pub enum Change {
    Put {
        #[serde(rename = "set")]
        key: String,
        #[serde(rename = "v")]
        value: Box<RawValue>,
        #[serde(rename = "tenancy", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "delete")]
        key: String,
    },
}

/// A change with the fields of both kinds: an unread value cannot be told from
/// others by trying, as an untagged enum would.
#[derive(Deserialize)]
struct AnyChange {
    #[serde(default)]
    set: Option<String>,
    #[serde(rename = "v", default)]
    value: Option<Box<RawValue>>,
    #[serde(rename = "tenancy", default)]
    lease: Option<u64>,
    #[serde(default)]
    delete: Option<String>,
}

impl TryFrom<AnyChange> for Change {
    type Error = &'static str;
    fn try_from(any: AnyChange) -> Result<Change, Self::Error> {
        match (any.set, any.value, any.delete) {
            (Some(key), Some(value), None) => Ok(Change::Put {
                key,
                value,
                lease: any.lease,
            }),
            (None, None, Some(key)) => Ok(Change::Delete { key }),
            _ => Err("a change is either set with v, or delete"),
        }
    }
}

/// A transaction.
#[derive(Serialize, Deserialize, Clone, Debug, Default)]
pub struct Txn {
    #[serde(rename = "when", default)]
    pub conds: Vec<Cond>,
    #[serde(rename = "apply", default, skip_serializing_if = "Vec::is_empty")]
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
    pub fn put<T: Serialize>(self, key: &str, value: &T) -> Self {
        self.put_leased(key, value, None)
    }
    /// Adds a put that lives as long as `lease`.
    pub fn put_leased<T: Serialize>(mut self, key: &str, value: &T, lease: Option<u64>) -> Self {
        // Our records are plain structs, which always serialise.
        let value = to_raw_value(value).unwrap_or_else(|_| RawValue::NULL.to_owned());
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
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Revision {
    #[serde(rename = "revno")]
    pub revision: u64,
}

/// Answer to a transaction whose conditions failed.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Conflict {
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A request for a lease.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct LeaseRequest {
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// A granted lease.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Lease {
    #[serde(rename = "tenancy")]
    pub lease: u64,
}

/// One change seen by a watch.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Event {
    #[serde(rename = "set", default, skip_serializing_if = "Option::is_none")]
    set: Option<String>,
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    value: Option<Box<RawValue>>,
    #[serde(rename = "delete", default, skip_serializing_if = "Option::is_none")]
    delete: Option<String>,
    #[serde(rename = "stamp")]
    version: u64,
}

/// What a change did.
#[derive(Debug)]
pub enum Seen {
    Put(Entry),
    Deleted { key: String, version: u64 },
}

impl Event {
    /// A change of the key at this version: its value, or none if it was deleted.
    pub fn new(key: String, value: Option<Box<RawValue>>, version: u64) -> Event {
        let (set, delete) = match value {
            Some(_) => (Some(key), None),
            None => (None, Some(key)),
        };
        Event {
            set,
            value,
            delete,
            version,
        }
    }

    /// What it did, if it is either of the two.
    pub fn seen(self) -> Option<Seen> {
        let version = self.version;
        match (self.set, self.value, self.delete) {
            (Some(key), Some(value), None) => Some(Seen::Put(Entry {
                key,
                value,
                version,
            })),
            (None, _, Some(key)) => Some(Seen::Deleted { key, version }),
            _ => None,
        }
    }
}

/// What a watch returns.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct News {
    #[serde(rename = "revno")]
    pub revision: u64,
    #[serde(rename = "news")]
    pub events: Vec<Event>,
}
