//! Names and answers: what a caller says and is told. Each enum names every case
//! there is, so that no answer can be read for another.

use foxspur_wire::job::{JobSpec, JobState};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A job's id in the protocol's form, allocated by the outbox: `run-` and digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId(pub(crate) u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "run-{}", self.0)
    }
}

/// The caller's own name for a job, such as `evening-batch-2026-12-01/clinic-7`:
/// one key is one job for ever.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(String);

/// A text that is no key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("key: {0}")]
pub struct BadKey(&'static str);

impl Key {
    /// Longest key, in bytes.
    pub const MOST: usize = 512;

    /// A key of 1 to 512 bytes without control characters.
    ///
    /// # Errors
    ///
    /// If the text is no such key.
    pub fn new(text: impl Into<String>) -> Result<Key, BadKey> {
        let text = text.into();
        if text.is_empty() {
            return Err(BadKey("is empty"));
        }
        if text.len() > Key::MOST {
            return Err(BadKey("is longer than 512 bytes"));
        }
        if text.chars().any(char::is_control) {
            return Err(BadKey("holds a control character"));
        }
        Ok(Key(text))
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Key {
    type Error = BadKey;
    fn try_from(text: String) -> Result<Key, BadKey> {
        Key::new(text)
    }
}

impl From<Key> for String {
    fn from(key: Key) -> String {
        key.0
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One job to submit. The id in `spec` does not count: the outbox gives it one.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The caller's key.
    pub key: Key,
    /// The job's description.
    pub spec: JobSpec,
}

/// Why a job was refused for good: nothing of it exists or ever will.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// 400 (malformed) or 422 (can never run).
    pub status: u16,
    /// In the controller's words, meant for a person.
    pub reason: String,
}

/// The one final answer of a job that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All of its tasks are done.
    Done,
    /// It was cancelled.
    Withdrawn,
}

/// What is known of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// A controller accepted it just now: it will run.
    Accepted(JobId),
    /// It was accepted before, by an earlier attempt or call with this key.
    KnownAlready(JobId),
    /// It was refused, and does not exist.
    Refused(JobId, Refused),
    /// It may have been accepted or not. It stays in the outbox, is tried again
    /// under the same id, and `outcome` tells later.
    NotKnownYet(JobId),
}

impl Submitted {
    /// The job's id.
    pub fn id(&self) -> JobId {
        match self {
            Submitted::Accepted(id)
            | Submitted::KnownAlready(id)
            | Submitted::Refused(id, _)
            | Submitted::NotKnownYet(id) => *id,
        }
    }
}

/// What is known of a job's end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// Its one final answer.
    Final(Outcome),
    /// It never existed: its submission was refused.
    Refused(Refused),
    /// Accepted and not over; as last seen, for display.
    Open(JobState),
    /// Not even known whether it was accepted.
    NotKnownYet,
}

/// What is known of a cancellation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// The job is cancelled: nothing of it will start any more.
    Withdrawn,
    /// It was done before.
    DoneAlready,
    /// It never existed: its submission was refused.
    NeverWas(Refused),
    /// Asked for and recorded; it is asked for again until it is answered.
    NotKnownYet,
}
