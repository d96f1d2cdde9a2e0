//! The types of the client's interface: a caller's keys and jobs, and the results that the client
//! reports. Each result enum has a variant for every case, so that no case can be mistaken for
//! another.

use foxspur_wire::job::{JobSpec, JobState};
use serde::{Deserialize, Serialize};
use std::fmt;

/// A job's id, allocated by the outbox. Its text form is the protocol's: `run-` followed by digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId(pub(crate) u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "run-{}", self.0)
    }
}

/// The caller's own name for a job, such as `evening-batch-2026-12-01/clinic-7`. A key identifies
/// the same job permanently.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(String);

/// Why a text is not a valid key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("key: {0}")]
pub struct BadKey(&'static str);

impl Key {
    /// Maximum length of a key, in bytes.
    pub const MOST: usize = 512;

    /// Creates a key of 1 to 512 bytes without control characters.
    ///
    /// # Errors
    ///
    /// If the text is empty, too long, or contains a control character.
    pub fn new(text: impl Into<String>) -> Result<Key, BadKey> {
        let text = text.into();
        if text.is_empty() {
            return Err(BadKey("is empty"));
        }
        if text.len() > Key::MOST {
            return Err(BadKey("is longer than 512 bytes"));
        }
        if text.chars().any(char::is_control) {
            return Err(BadKey("contains a control character"));
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

/// One job to submit. The id in `spec` is ignored: the outbox allocates one.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The caller's key.
    pub key: Key,
    /// The job's description.
    pub spec: JobSpec,
}

/// A permanent refusal: the job does not exist and no attempt to submit it will be made again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// 400 (malformed) or 422 (can never run).
    pub status: u16,
    /// The controller's explanation, for a person.
    pub reason: String,
}

/// The final status of a job that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All of its tasks are completed.
    Done,
    /// It was cancelled.
    Withdrawn,
}

/// What is known of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// A controller accepted it as a new job.
    Accepted(JobId),
    /// It had been accepted before, by an earlier attempt or an earlier call with this key.
    KnownAlready(JobId),
    /// It was refused and does not exist.
    Refused(JobId, Refused),
    /// It may or may not have been accepted. It stays in the outbox and is submitted again under
    /// the same id. `Client::outcome` reports the result later.
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

/// What is known of a job's outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// Its final status.
    Final(Outcome),
    /// It never existed: its submission was refused.
    Refused(Refused),
    /// Accepted and not closed yet, with the state that was last reported, for display.
    Open(JobState),
    /// It is not known whether it was accepted.
    NotKnownYet,
}

/// What is known of a cancellation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// The job is cancelled: none of its tasks will start any more.
    Withdrawn,
    /// All of its tasks were completed before the cancellation.
    DoneAlready,
    /// It never existed: its submission was refused.
    NeverWas(Refused),
    /// The cancellation is recorded in the outbox but not answered yet. It is requested again until
    /// a controller answers.
    NotKnownYet,
}
