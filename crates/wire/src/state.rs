//! The state service's interface: a key-value store with transactions, leases and watches.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::{to_raw_value, RawValue};

/// A key with its value and the version of that value.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Entry {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Its value, as unparsed JSON.
    #[serde(rename = "v")]
    pub value: Box<RawValue>,
    /// Revision of the store at which the key was last changed.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl Entry {
    /// Parses the value.
    ///
    /// # Errors
    ///
    /// If the value is not of this type.
    pub fn read<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_str(self.value.get())
    }
}

/// A page of a listing.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Listing {
    /// Entries, sorted by key.
    #[serde(rename = "entries")]
    pub items: Vec<Entry>,
    /// Whether more entries follow.
    #[serde(default)]
    pub more: bool,
    /// Revision of the store.
    #[serde(rename = "revno")]
    pub revision: u64,
}

/// A condition of a transaction: the key has this version. Version 0 means that the key does not
/// exist.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Condition {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The version that it must have.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change that a transaction makes.
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
        /// The lease that the key is bound to, if any: the key is deleted when the lease ends.
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

/// A change with the fields of both kinds. A derived `Deserialize` for the untagged enum would
/// buffer the input to try one variant after the other, and a `RawValue` cannot be read from that
/// buffer.
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
    /// Conditions, all of which must hold (compare-and-swap).
    #[serde(rename = "when", default)]
    pub conditions: Vec<Condition>,
    /// Changes. Either all of them are made or none.
    #[serde(rename = "apply", default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change>,
}

impl Txn {
    /// Adds a condition.
    pub fn when(mut self, key: &str, version: u64) -> Self {
        self.conditions.push(Condition {
            key: key.into(),
            version,
        });
        self
    }

    /// Adds a put without a lease.
    pub fn put<T: Serialize>(self, key: &str, value: &T) -> Self {
        self.put_leased(key, value, None)
    }

    /// Adds a put; the key is deleted when `lease` ends.
    pub fn put_leased<T: Serialize>(mut self, key: &str, value: &T, lease: Option<u64>) -> Self {
        // Records are plain structs, whose serialization does not fail.
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

/// The answer to a transaction that was applied, or to a read of a key that does not exist.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Revision {
    /// Revision of the store.
    #[serde(rename = "revno")]
    pub revision: u64,
}

/// The answer to a transaction whose conditions did not hold.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Conflict {
    /// Keys whose conditions did not hold.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A request for a lease.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct LeaseRequest {
    /// How long the lease lasts unless it is extended, in milliseconds.
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

/// One change that a watch reports.
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

/// What a watched change did.
#[derive(Debug)]
pub enum WatchedChange {
    /// A key was written.
    Put(Entry),
    /// A key was deleted.
    Deleted {
        /// The key.
        key: String,
        /// Revision of the store at which it was deleted.
        version: u64,
    },
}

impl Event {
    /// A change of `key` at this version. `value` is the new value; `None` means that the key was
    /// deleted.
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

    /// What the change did; `None` if the event is neither a put nor a deletion.
    pub fn change(self) -> Option<WatchedChange> {
        let version = self.version;
        match (self.set, self.value, self.delete) {
            (Some(key), Some(value), None) => Some(WatchedChange::Put(Entry {
                key,
                value,
                version,
            })),
            (None, _, Some(key)) => Some(WatchedChange::Deleted { key, version }),
            _ => None,
        }
    }
}

/// The answer to a watch.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct WatchReply {
    /// Revision of the store up to which the events are complete.
    #[serde(rename = "revno")]
    pub revision: u64,
    /// Changes, oldest first.
    #[serde(rename = "news")]
    pub events: Vec<Event>,
}
