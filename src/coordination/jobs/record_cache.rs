//! A bounded cache of live records, and the polls that wait for a check of their versions.
//! A cached record may be stale: only [`super::version_check`] tells whether it is current.

use crate::coordination::recent::RecentMap;
use crate::storage::records::LiveJob;
use crate::transport::clients::TimedResult;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Live records remembered, some hundred bytes each; others are read again.
const CAPACITY: usize = 8_192;

/// A job's live record with its version.
#[derive(Debug, Clone)]
pub struct VersionedRecord {
    /// The record.
    pub record: Rc<LiveJob>,
    /// The revision of the state service at which the record was written.
    pub version: u64,
}

/// A live job as it was last read.
#[derive(Debug)]
struct CachedRecord {
    read: VersionedRecord,
    /// The version differed at the read before: completed tasks are being written, and a
    /// check would mostly fail.
    changing: bool,
}

/// A poll that waits to hear whether a record still has its version.
#[derive(Debug)]
pub(super) struct VersionQuestion {
    pub(super) id: String,
    pub(super) version: u64,
    pub(super) answer: oneshot::Sender<TimedResult<bool>>,
}

/// Live records as they were read, and the polls that wait for a check of them.
#[derive(Debug)]
pub struct RecordCache {
    cached: RecentMap<String, CachedRecord>,
    waiting: Vec<VersionQuestion>,
    /// Whether the checking task runs.
    checking: bool,
    /// When the last check was sent, in seconds of [`crate::coordination::node::Node::now`].
    checked_at: f64,
}

impl Default for RecordCache {
    fn default() -> RecordCache {
        RecordCache {
            cached: RecentMap::new(CAPACITY),
            waiting: Vec::new(),
            checking: false,
            checked_at: 0.0,
        }
    }
}

impl RecordCache {
    /// Remembers a record that was read or written.
    pub fn insert(&mut self, record: &Rc<LiveJob>, version: u64) {
        let id = &record.spec.id;
        let before = self.cached.get(id).map(|c| c.read.version);
        let cached = CachedRecord {
            read: VersionedRecord {
                record: record.clone(),
                version,
            },
            changing: before.is_some_and(|v| v != version),
        };
        self.cached.insert(id.clone(), cached);
    }

    /// The record as it was last read.
    pub fn get(&self, id: &str) -> Option<VersionedRecord> {
        self.cached.get(id).map(|c| c.read.clone())
    }

    /// The record to check, if a check is likely to spare a read.
    pub(super) fn worth_checking(&self, id: &str) -> Option<VersionedRecord> {
        let cached = self.cached.get(id).filter(|c| !c.changing)?;
        Some(cached.read.clone())
    }

    /// Queues a question for the next check.
    pub(super) fn enqueue(&mut self, question: VersionQuestion) {
        self.waiting.push(question);
    }

    /// Marks the checking task as running; true if it has to be started.
    pub(super) fn begin_checking(&mut self) -> bool {
        !std::mem::replace(&mut self.checking, true)
    }

    /// When the last check was sent.
    pub(super) fn checked_at(&self) -> f64 {
        self.checked_at
    }

    /// Takes the questions of the check that is sent now. Without any, the checking task
    /// counts as ended.
    pub(super) fn next_check(&mut self, max_jobs: usize, now: f64) -> Vec<VersionQuestion> {
        self.checked_at = now;
        let batch = self.take_batch(max_jobs);
        self.checking = !batch.is_empty();
        batch
    }

    /// Takes questions about at most `max_jobs` jobs, each under one version.
    fn take_batch(&mut self, max_jobs: usize) -> Vec<VersionQuestion> {
        let mut jobs: Vec<(&str, u64)> = Vec::new();
        let mut taken = 0;
        for question in &self.waiting {
            let (id, version) = (question.id.as_str(), question.version);
            if !jobs.contains(&(id, version)) {
                // A job asked for under two versions waits for the check after this.
                if jobs.len() >= max_jobs || jobs.iter().any(|j| j.0 == id) {
                    break;
                }
                jobs.push((id, version));
            }
            taken += 1;
        }
        self.waiting.drain(..taken).collect()
    }
}
