//! Batched version checks. Every answer to a user rests on a read of the state service
//! that began after the user's request; with one read for each poll, a thousand small
//! jobs would use up the service's requests. A transaction without changes compares many
//! versions at once, and that a record read earlier still has its version is all that
//! most polls need to know.

pub use super::record_cache::{RecordCache, VersionedRecord};

use super::record_cache::VersionQuestion;
use crate::coordination::node::Node;
use crate::protocol::state::Txn;
use crate::storage::records;
use crate::transport::clients::{Priority, ServiceError, TimedResult};
use actix_rt::time::Instant;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time between two checks at least: a twentieth of what a user waits for an answer to a
/// poll, so ten requests a second at most.
const MIN_INTERVAL_S: f64 = 0.1;

/// Jobs compared by one check, for each change that a transaction may hold.
const JOBS_PER_TXN_OP: usize = 4;

/// A cached record that a check found to be current.
#[derive(Debug)]
pub struct CurrentRecord {
    /// The record and its version.
    pub read: VersionedRecord,
    /// When the check was sent: the record was current then or later.
    pub sent_at: Instant,
}

/// The cached record if it is current: `Ok(None)` if there is none to check or it has
/// changed, so that it must be read.
///
/// # Errors
/// The check could not be made.
pub async fn current_record(
    node: &Rc<Node>,
    id: &str,
) -> Result<Option<CurrentRecord>, ServiceError> {
    let Some(read) = node.record_cache.borrow().worth_checking(id) else {
        return Ok(None);
    };
    let answer = ask(node, id, read.version);
    let check = answer.await.map_err(|_| ServiceError::Refused)?;
    let sent_at = check.sent_at;
    let unchanged = check.result?;
    Ok(unchanged.then_some(CurrentRecord { read, sent_at }))
}

/// Queues a question for the next check, and starts the checking task if none runs.
fn ask(node: &Rc<Node>, id: &str, version: u64) -> oneshot::Receiver<TimedResult<bool>> {
    let (answer, receiver) = oneshot::channel();
    let mut cache = node.record_cache.borrow_mut();
    cache.enqueue(VersionQuestion {
        id: id.to_string(),
        version,
        answer,
    });
    if cache.begin_checking() {
        actix_rt::spawn(check_until_idle(node.clone()));
    }
    receiver
}

/// Runs checks until no poll waits.
async fn check_until_idle(node: Rc<Node>) {
    let max_jobs = JOBS_PER_TXN_OP * node.settings.cluster.state.txn_ops;
    loop {
        let pause_s = node.record_cache.borrow().checked_at() + MIN_INTERVAL_S - node.now();
        if pause_s > 0.0 {
            actix_rt::time::sleep(Duration::from_secs_f64(pause_s)).await;
        }
        let now = node.now();
        let batch = node.record_cache.borrow_mut().next_check(max_jobs, now);
        if batch.is_empty() {
            return;
        }
        let checked = node
            .state
            .timed_txn(&comparison(&batch), Priority::Data)
            .await;
        answer_batch(&node, batch, &checked);
    }
}

/// A transaction that only compares: each job's record with the version asked for.
fn comparison(batch: &[VersionQuestion]) -> Txn {
    let mut versions: Vec<(&str, u64)> = batch.iter().map(|q| (&*q.id, q.version)).collect();
    versions.sort_unstable();
    versions.dedup();
    versions
        .into_iter()
        .fold(Txn::default(), |txn, (id, version)| {
            txn.when(&records::live_key(id), version)
        })
}

/// Answers the questions of a check; those that it leaves open go into the next one.
fn answer_batch(node: &Node, batch: Vec<VersionQuestion>, checked: &TimedResult<u64>) {
    let mut cache = node.record_cache.borrow_mut();
    for question in batch {
        let result = match &checked.result {
            Ok(_) => Ok(true),
            Err(ServiceError::Conflict(keys))
                if keys.contains(&records::live_key(&question.id)) =>
            {
                Ok(false)
            }
            Err(ServiceError::Conflict(_)) => {
                // Nothing says that every key that differs is named: check it once more.
                cache.enqueue(question);
                continue;
            }
            Err(error) => Err(error.clone()),
        };
        let sent_at = checked.sent_at;
        // The poll may have been given up.
        let _ = question.answer.send(TimedResult { result, sent_at });
    }
}
