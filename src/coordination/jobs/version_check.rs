//! Batched version checks. Every answer to a user rests on a read of the state service
//! that began after the user's request; with one read for each poll, a thousand small
//! jobs would use up the service's requests. A transaction without changes compares many
//! versions at once, and that a record read earlier still has its version is all that
//! most polls need to know.

use crate::coordination::node::Node;
use crate::coordination::recent::RecentMap;
use crate::protocol::state::Txn;
use crate::storage::records::{self, LiveJob};
use crate::transport::clients::{Failure, Lane, Timed};
use actix_rt::time::Instant;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Live records remembered, some hundred bytes each; others are read again.
const CACHED_RECORDS: usize = 8_192;
/// Time between two checks at least: a twentieth of what a user waits for an answer to a
/// poll, so ten requests a second at most.
const INTERVAL_S: f64 = 0.1;

/// A job's live record with its version.
#[derive(Debug, Clone)]
pub struct VersionedRecord {
    pub record: Rc<LiveJob>,
    pub version: u64,
}

/// A live job as it was last read.
#[derive(Debug)]
struct Cached {
    read: VersionedRecord,
    /// The version differed at the read before: done marks come in, and a check would
    /// mostly fail.
    changing: bool,
}

/// A poll that waits to hear whether a record still has its version.
#[derive(Debug)]
struct Question {
    id: String,
    version: u64,
    answer: oneshot::Sender<Timed<bool>>,
}

/// Live records as they were read, and the polls that wait for a check of them.
#[derive(Debug)]
pub struct RecordCache {
    cached: RecentMap<String, Cached>,
    waiting: Vec<Question>,
    /// Whether the checking task runs.
    checking: bool,
    checked_at: f64,
}

impl Default for RecordCache {
    fn default() -> RecordCache {
        RecordCache {
            cached: RecentMap::new(CACHED_RECORDS),
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
        let cached = Cached {
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
    fn worth_checking(&self, id: &str) -> Option<VersionedRecord> {
        let cached = self.cached.get(id).filter(|c| !c.changing)?;
        Some(cached.read.clone())
    }

    /// Takes the questions of the next check: at most `most` jobs, each under one version.
    fn take_batch(&mut self, most: usize) -> Vec<Question> {
        let mut jobs: Vec<(&str, u64)> = Vec::new();
        let mut taken = 0;
        for question in &self.waiting {
            let (id, version) = (question.id.as_str(), question.version);
            if !jobs.contains(&(id, version)) {
                // A job asked for under two versions waits for the check after this.
                if jobs.len() >= most || jobs.iter().any(|j| j.0 == id) {
                    break;
                }
                jobs.push((id, version));
            }
            taken += 1;
        }
        self.waiting.drain(..taken).collect()
    }
}

/// Whether the record that was read earlier still stands: `Ok(None)` if there is none to
/// check or it has changed, so that it must be read.
pub async fn unchanged(
    node: &Rc<Node>,
    id: &str,
) -> Result<Option<(VersionedRecord, Instant)>, Failure> {
    let Some(read) = node.record_cache.borrow().worth_checking(id) else {
        return Ok(None);
    };
    let (answer, told) = oneshot::channel();
    let start = {
        let mut records = node.record_cache.borrow_mut();
        records.waiting.push(Question {
            id: id.to_string(),
            version: read.version,
            answer,
        });
        !std::mem::replace(&mut records.checking, true)
    };
    if start {
        actix_rt::spawn(check_until_idle(node.clone()));
    }
    let check = told.await.map_err(|_| Failure::Refused)?;
    let stands = check.result?;
    Ok(stands.then_some((read, check.sent_at)))
}

/// Runs checks until no poll waits.
async fn check_until_idle(node: Rc<Node>) {
    let most = 4 * node.settings.cluster.state.txn_ops;
    loop {
        let pause_s = node.record_cache.borrow().checked_at + INTERVAL_S - node.now();
        if pause_s > 0.0 {
            actix_rt::time::sleep(Duration::from_secs_f64(pause_s)).await;
        }
        let batch = {
            let mut records = node.record_cache.borrow_mut();
            records.checked_at = node.now();
            let batch = records.take_batch(most);
            records.checking = !batch.is_empty();
            batch
        };
        if batch.is_empty() {
            return;
        }
        let checked = node.state.timed_txn(&comparison(&batch), Lane::Data).await;
        answer_batch(&node, batch, &checked);
    }
}

/// A transaction that only compares: each job's record with the version asked for.
fn comparison(batch: &[Question]) -> Txn {
    let mut keys: Vec<(&str, u64)> = batch.iter().map(|q| (&*q.id, q.version)).collect();
    keys.sort_unstable();
    keys.dedup();
    let when = |txn: Txn, (id, version): (&str, u64)| txn.when(&records::live_key(id), version);
    keys.into_iter().fold(Txn::default(), when)
}

fn answer_batch(node: &Node, batch: Vec<Question>, checked: &Timed<u64>) {
    let mut records = node.record_cache.borrow_mut();
    for question in batch {
        let result = match &checked.result {
            Ok(_) => Ok(true),
            Err(Failure::Conflict(keys)) if keys.contains(&records::live_key(&question.id)) => {
                Ok(false)
            }
            Err(Failure::Conflict(_)) => {
                // Nothing says that every key that differs is named: check it once more.
                records.waiting.push(question);
                continue;
            }
            Err(error) => Err(error.clone()),
        };
        let sent_at = checked.sent_at;
        // The poll may have been given up.
        let _ = question.answer.send(Timed { result, sent_at });
    }
}
