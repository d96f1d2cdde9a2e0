//! A bounded cache of live records, and the queue of users' polls that wait for a version check.
//! A cached record may be stale: only [`super::version_check`] can tell whether it is current.

use crate::coordination::recent::RecentMap;
use crate::storage::records::LiveJob;
use crate::transport::clients::TimedResult;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Maximum number of cached records, of a few hundred bytes each. A job whose record was
/// evicted is read from the state service again.
const CAPACITY: usize = 8_192;

/// A job's live record and the version of that record.
#[derive(Debug, Clone)]
pub struct VersionedRecord {
    /// The live record.
    pub record: Rc<LiveJob>,
    /// The revision of the state service at which the record was written.
    pub version: u64,
}

/// A live record as it was last read or written.
#[derive(Debug)]
struct CachedRecord {
    latest: VersionedRecord,
    /// Whether the version changed between the last two insertions of the record. Completed tasks
    /// are then being written, so a version check would usually find another change.
    changing: bool,
}

/// The question of a waiting poll: does the job's live record still have this version?
#[derive(Debug)]
pub(super) struct VersionQuery {
    pub(super) id: String,
    pub(super) version: u64,
    /// Receives true if the record still has this version, and when the check was sent.
    pub(super) reply: oneshot::Sender<TimedResult<bool>>,
}

/// Live records as they were last read or written, and the queries that wait for a version check.
#[derive(Debug)]
pub struct RecordCache {
    cached: RecentMap<String, CachedRecord>,
    /// Queries that the next checks will answer, in order of arrival.
    pending: Vec<VersionQuery>,
    /// Whether the background version check is running.
    check_running: bool,
    /// When the last check was sent, in seconds of [`crate::coordination::node::Node::now`].
    checked_at: f64,
}

impl Default for RecordCache {
    fn default() -> RecordCache {
        RecordCache {
            cached: RecentMap::new(CAPACITY),
            pending: Vec::new(),
            check_running: false,
            checked_at: 0.0,
        }
    }
}

impl RecordCache {
    /// Caches a record that was read or written.
    pub fn insert(&mut self, record: &Rc<LiveJob>, version: u64) {
        let id = &record.spec.id;
        let previous_version = self.cached.get(id).map(|cached| cached.latest.version);
        let cached = CachedRecord {
            latest: VersionedRecord {
                record: record.clone(),
                version,
            },
            changing: previous_version.is_some_and(|previous| previous != version),
        };
        self.cached.insert(id.clone(), cached);
    }

    /// The live record as it was last read or written; `None` if it is not cached.
    pub fn get(&self, id: &str) -> Option<VersionedRecord> {
        self.cached.get(id).map(|cached| cached.latest.clone())
    }

    /// The cached record; `None` if a version check is unlikely to save a read, because the record
    /// is not cached or keeps changing.
    pub(super) fn record_worth_checking(&self, id: &str) -> Option<VersionedRecord> {
        let cached = self.cached.get(id).filter(|cached| !cached.changing)?;
        Some(cached.latest.clone())
    }

    /// Adds a query to the queue for the next checks.
    pub(super) fn enqueue(&mut self, query: VersionQuery) {
        self.pending.push(query);
    }

    /// Marks the background version check as running. Returns true if the caller must spawn it.
    pub(super) fn mark_check_running(&mut self) -> bool {
        !std::mem::replace(&mut self.check_running, true)
    }

    /// When the last check was sent, in seconds of [`crate::coordination::node::Node::now`].
    pub(super) fn checked_at(&self) -> f64 {
        self.checked_at
    }

    /// Removes from the queue and returns the queries for the check that the caller sends now, for
    /// at most `max_jobs` jobs. If there are none, marks the background version check as ended.
    pub(super) fn start_check(&mut self, max_jobs: usize, now: f64) -> Vec<VersionQuery> {
        self.checked_at = now;
        let batch = self.take_batch(max_jobs);
        self.check_running = !batch.is_empty();
        batch
    }

    /// Removes and returns the oldest queries, for at most `max_jobs` jobs and one version of each
    /// job.
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
