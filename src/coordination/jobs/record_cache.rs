//! A bounded cache of live records, and the queue of polls that wait for a version check.
//! A cached record may be stale: only [`super::version_check`] tells whether it is current.

use crate::coordination::recent::RecentMap;
use crate::storage::records::LiveJob;
use crate::transport::clients::TimedResult;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Maximum number of cached records, of a few hundred bytes each. A job whose record was
/// evicted is read from the state service again.
const CAPACITY: usize = 8_192;

/// A job's live record and its version.
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
    current: VersionedRecord,
    /// Whether the version changed between the last two reads. Completed tasks are then being
    /// written, and a version check would mostly fail.
    changing: bool,
}

/// A query by a waiting poll: does the job's record still have this version?
#[derive(Debug)]
pub(super) struct VersionQuery {
    pub(super) id: String,
    pub(super) version: u64,
    pub(super) reply: oneshot::Sender<TimedResult<bool>>,
}

/// Live records as they were last read, and the queries that wait for a version check.
#[derive(Debug)]
pub struct RecordCache {
    cached: RecentMap<String, CachedRecord>,
    /// Queries for the next checks, in order of arrival.
    pending: Vec<VersionQuery>,
    /// Whether the checking task is running.
    checking: bool,
    /// When the last check was sent, in seconds of [`crate::coordination::node::Node::now`].
    checked_at: f64,
}

impl Default for RecordCache {
    fn default() -> RecordCache {
        RecordCache {
            cached: RecentMap::new(CAPACITY),
            pending: Vec::new(),
            checking: false,
            checked_at: 0.0,
        }
    }
}

impl RecordCache {
    /// Caches a record that was read or written.
    pub fn insert(&mut self, record: &Rc<LiveJob>, version: u64) {
        let id = &record.spec.id;
        let previous_version = self.cached.get(id).map(|cached| cached.current.version);
        let cached = CachedRecord {
            current: VersionedRecord {
                record: record.clone(),
                version,
            },
            changing: previous_version.is_some_and(|previous| previous != version),
        };
        self.cached.insert(id.clone(), cached);
    }

    /// The record as it was last read.
    pub fn get(&self, id: &str) -> Option<VersionedRecord> {
        self.cached.get(id).map(|cached| cached.current.clone())
    }

    /// The cached record, if a version check is likely to save a read.
    pub(super) fn record_worth_checking(&self, id: &str) -> Option<VersionedRecord> {
        let cached = self.cached.get(id).filter(|cached| !cached.changing)?;
        Some(cached.current.clone())
    }

    /// Queues a query for the next check.
    pub(super) fn enqueue(&mut self, query: VersionQuery) {
        self.pending.push(query);
    }

    /// Marks the checking task as running. Returns true if the caller must start it.
    pub(super) fn mark_checking(&mut self) -> bool {
        !std::mem::replace(&mut self.checking, true)
    }

    /// When the last check was sent, in seconds of [`crate::coordination::node::Node::now`].
    pub(super) fn checked_at(&self) -> f64 {
        self.checked_at
    }

    /// Takes the queries for the check that is sent now. If there are none, the checking task
    /// is marked as ended.
    pub(super) fn start_check(&mut self, max_jobs: usize, now: f64) -> Vec<VersionQuery> {
        self.checked_at = now;
        let batch = self.take_batch(max_jobs);
        self.checking = !batch.is_empty();
        batch
    }

    /// Takes the oldest queries, about at most `max_jobs` jobs and one version of each job.
    fn take_batch(&mut self, max_jobs: usize) -> Vec<VersionQuery> {
        let mut jobs: Vec<(&str, u64)> = Vec::new();
        let mut taken = 0;
        for query in &self.pending {
            let (id, version) = (query.id.as_str(), query.version);
            if !jobs.contains(&(id, version)) {
                // A query for another version of the same job waits for the following check.
                if jobs.len() >= max_jobs || jobs.iter().any(|(job, _)| *job == id) {
                    break;
                }
                jobs.push((id, version));
            }
            taken += 1;
        }
        self.pending.drain(..taken).collect()
    }
}
