//! The outbox's errors, and its results for the jobs of a batch.

use super::LAYOUT;
use crate::job::{JobId, Key};
use crate::record::Record;

/// Why an operation of the outbox failed. The operation has written nothing.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum OutboxError {
    /// Another process has the file open.
    #[error("outbox: file is open in another process")]
    Taken,
    /// The file is not an outbox.
    #[error("outbox: not an outbox file: differs at byte {offset}")]
    Foreign {
        /// Offset of the first byte that differs.
        offset: u64,
    },
    /// The file is damaged.
    #[error("outbox: damaged near byte {offset}: {what}")]
    Damaged {
        /// Offset of the last read.
        offset: u64,
        /// What is wrong.
        what: String,
    },
    /// Another version of the library wrote the file.
    #[error("outbox: file has layout version {found}, this library supports {LAYOUT}")]
    Layout {
        /// The version of the file's layout.
        found: u64,
    },
    /// The disk is full or a quota is exhausted.
    #[error("outbox: no space left")]
    Full,
    /// Reading or writing failed for another reason.
    #[error("outbox: {0}")]
    Io(String),
    /// The client is closed.
    #[error("outbox: client is closed")]
    Closed,
}

/// The key was already used with another body. A key identifies a single job.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("key {key} already belongs to job {id} with body {known}; it was now used with {other}")]
pub struct KeyTaken {
    /// The key.
    pub key: Key,
    /// The job that the key identifies.
    pub id: JobId,
    /// The body of that job.
    pub known: String,
    /// The body that the key was used with now.
    pub other: String,
}

/// Why one job of a batch was not queued.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum NotQueued {
    /// Its key identifies a job with another body.
    #[error(transparent)]
    KeyTaken(#[from] Box<KeyTaken>),
    /// Its description is invalid, so that every controller would refuse it. The text names the
    /// field.
    #[error("job: {0}")]
    Malformed(String),
}

/// One job of a batch that is in the outbox.
#[derive(Debug, Clone, PartialEq)]
pub enum Queued {
    /// It was added by this call.
    New(Record),
    /// It was in the outbox before.
    Known(Record),
}

impl Queued {
    /// The job's record.
    pub fn record(&self) -> &Record {
        match self {
            Queued::New(record) | Queued::Known(record) => record,
        }
    }
}
