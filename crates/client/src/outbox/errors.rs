//! What the outbox answers to a batch, and its errors.

use super::LAYOUT;
use crate::job::{JobId, Key};
use crate::record::Record;

/// Why the outbox failed. Nothing was written then.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum OutboxError {
    #[error("outbox: another process has it open")]
    /// Another process has the file open.
    Taken,
    /// The file is no outbox.
    #[error("outbox: not an outbox's file: differs at byte {offset}")]
    Foreign {
        /// Where it differs first.
        offset: u64,
    },
    /// The file cannot be trusted.
    #[error("outbox: damaged near byte {offset}: {what}")]
    Damaged {
        /// Where the last read began.
        offset: u64,
        /// What is wrong.
        what: String,
    },
    /// Another version of the library wrote the file.
    #[error("outbox: of layout {found}, this library knows {LAYOUT}")]
    Layout {
        /// The layout of the file.
        found: u64,
    },
    /// The disk or a quota is full.
    #[error("outbox: no space left")]
    Full,
    /// Reading or writing failed otherwise.
    #[error("outbox: {0}")]
    Io(String),
    /// The client is closed.
    #[error("outbox: closed")]
    Closed,
}

/// The same key with another body: one key is one job.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("key {key} is job {id} already, submitted as {known}; now it came with {other}")]
pub struct KeyTaken {
    /// The key.
    pub key: Key,
    /// The job that it names.
    pub id: JobId,
    /// The body of that job.
    pub known: String,
    /// The body that came with it now.
    pub other: String,
}

/// Why one job of a batch was not queued.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum NotQueued {
    /// Its key names another job.
    #[error(transparent)]
    KeyTaken(#[from] Box<KeyTaken>),
    /// No controller would take it; the field is named.
    #[error("job: {0}")]
    Malformed(String),
}

/// One job of a batch, as it is in the outbox now.
#[derive(Debug, Clone, PartialEq)]
pub enum Queued {
    /// It is new.
    New(Record),
    /// It was there before.
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
