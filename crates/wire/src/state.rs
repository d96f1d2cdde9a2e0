//! The state service's interface: a key-value store with transactions, leases and watches.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::{to_raw_value, RawValue};

/// A key with its value and version.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Entry {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Its value, as unread JSON.
    #[serde(rename = "v")]
    pub value: Box<RawValue>,
    /// Revision of its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl Entry {
    /// Reads the value.
    ///
    /// # Errors
    ///
    /// If it is not of this type.
    pub fn read<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_str(self.value.get())
    }
}

/// A page of a listing.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Listing {
    /// Entries in the order of their keys.
    #[serde(rename = "entries")]
    pub items: Vec<Entry>,
    /// Whether there are more after these.
    #[serde(default)]
    pub more: bool,
    /// Revision of the store.
    #[serde(rename = "revno")]
    pub revision: u64,
}

/// A condition: the key has this version (0: it does not exist).
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Cond {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The version that it must have.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change.
#[derive(Serialize, Deserialize, Clone, Debug)]
#[serde(untagged, try_from = "AnyChange")]
pub enum Change {
    /// Writes a value.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// The new value.
        #[serde(rename = "v")]
        value: Box<RawValue>,
        /// The lease with which the key ends, if any.
        #[serde(rename = "tenancy", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
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
    /// Conditions; all must hold (compare-and-swap).
    #[serde(rename = "when", default)]
    pub conds: Vec<Cond>,
    /// Changes, made all or none.
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
    /// Revision of the store.
    #[serde(rename = "revno")]
    pub revision: u64,
}

/// Answer to a transaction whose conditions failed.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Conflict {
    /// Keys whose conditions failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A request for a lease.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct LeaseRequest {
    /// How long it lasts without an extension, in milliseconds.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// A granted lease.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Lease {
    /// Its id.
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
    /// A key was written.
    Put(Entry),
    /// A key was deleted.
    Deleted {
        /// The key.
        key: String,
        /// Revision of the deletion.
        version: u64,
    },
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

/// The answer to a watch.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct News {
    /// Revision up to which the events are complete.
    #[serde(rename = "revno")]
    pub revision: u64,
    /// Changes in their order.
    #[serde(rename = "news")]
    pub events: Vec<Event>,
}
