//! What the outbox says of a batch, and why it does not do it.

use super::LAYOUT;
use crate::job::{JobId, Key};
use crate::record::Record;

/// Why the outbox did not do it. Nothing was written then.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum OutboxError {
    #[error("outbox: another process has it open")]
    Taken,
    #[error("outbox: not an outbox's file: differs at byte {offset}")]
    Foreign { offset: u64 },
    #[error("outbox: damaged near byte {offset}: {what}")]
    Damaged { offset: u64, what: String },
    #[error("outbox: of layout {found}, this library knows {LAYOUT}")]
    Layout { found: u64 },
    #[error("outbox: no space left")]
    Full,
    #[error("outbox: {0}")]
    Io(String),
    #[error("outbox: closed")]
    Closed,
}

/// The same key with another body: one key is one job.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("key {key} is job {id} already, submitted as {known}; now it came with {other}")]
pub struct KeyTaken {
    pub key: Key,
    pub id: JobId,
    pub known: String,
    pub other: String,
}

/// Why one job of a batch was not queued.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum NotQueued {
    #[error(transparent)]
    KeyTaken(#[from] Box<KeyTaken>),
    /// No controller would take it; the field is named.
    #[error("job: {0}")]
    Malformed(String),
}

/// One job of a batch, as it is in the outbox now.
#[derive(Debug, Clone, PartialEq)]
pub enum Queued {
    New(Record),
    Known(Record),
}

impl Queued {
    pub fn record(&self) -> &Record {
        match self {
            Queued::New(record) | Queued::Known(record) => record,
        }
    }
}
