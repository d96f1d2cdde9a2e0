//! Checks, in batches, whether the live records in the state service still have the versions that
//! are cached.
//!
//! Every answer to a user is based on a read of the state service that began after the user's
//! request. With one read per poll, the polls of a thousand small jobs would use up the requests
//! that the state service allows. Most polls only need to know that a record read earlier is
//! unchanged, and one transaction without changes can compare the versions of many records.

pub use super::record_cache::{RecordCache, VersionedRecord};

use super::record_cache::VersionQuery;
use crate::coordination::node::Node;
use crate::protocol::state::Txn;
use crate::storage::records;
use crate::transport::clients::{Priority, ServiceError, TimedResult};
use actix_rt::time::Instant;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Minimum time between two checks, in seconds: a twentieth of the 2 s that users wait for the
/// answer to a poll. At this interval, checks use at most ten requests per second.
const MIN_CHECK_INTERVAL_S: f64 = 0.1;

/// Maximum number of jobs in one check, as a multiple of the number of changes that a transaction
/// may hold.
const JOBS_PER_TXN_OP: usize = 4;

/// A cached record that a check found to be current.
#[derive(Debug)]
pub struct CurrentRecord {
    /// The record and its version.
    pub record: VersionedRecord,
    /// When the check was sent. The record was still current at some time after that.
    pub sent_at: Instant,
}

/// Returns the cached record if it is current. `Ok(None)` means that the record must be read:
/// it is not cached, has changed, or changes so often that a check is not worthwhile.
///
/// # Errors
/// The check failed.
pub async fn current_record(
    node: &Rc<Node>,
    id: &str,
) -> Result<Option<CurrentRecord>, ServiceError> {
    let Some(record) = node.record_cache.borrow().record_worth_checking(id) else {
        return Ok(None);
    };
    let reply = enqueue_query(node, id, record.version);
    let check = reply.await.map_err(|_| ServiceError::Refused)?;
    let sent_at = check.sent_at;
    let unchanged = check.result?;
    Ok(unchanged.then_some(CurrentRecord { record, sent_at }))
}

/// Queues a query for the next check, and spawns the background version check if it is not
/// running. The receiver gets true if the job's live record still has the version.
fn enqueue_query(node: &Rc<Node>, id: &str, version: u64) -> oneshot::Receiver<TimedResult<bool>> {
    let (reply, receiver) = oneshot::channel();
    let mut cache = node.record_cache.borrow_mut();
    cache.enqueue(VersionQuery {
        id: id.to_string(),
        version,
        reply,
    });
    if cache.mark_check_running() {
        actix_rt::spawn(check_until_idle(node.clone()));
    }
    receiver
}

/// The background version check: sends checks until no query is pending.
async fn check_until_idle(node: Rc<Node>) {
    let max_jobs = JOBS_PER_TXN_OP * node.settings.cluster.state.txn_ops;
    loop {
        let pause_s = node.record_cache.borrow().checked_at() + MIN_CHECK_INTERVAL_S - node.now();
        if pause_s > 0.0 {
            actix_rt::time::sleep(Duration::from_secs_f64(pause_s)).await;
        }
        let now = node.now();
        let batch = node.record_cache.borrow_mut().start_check(max_jobs, now);
        if batch.is_empty() {
            return;
        }
        let checked = node
            .state
            .timed_txn(&comparison_txn(&batch), Priority::Data)
            .await;
        answer_batch(&node, batch, &checked);
    }
}

/// A transaction without changes that compares the version of each job's live record with the
/// version in the query.
fn comparison_txn(batch: &[VersionQuery]) -> Txn {
    let mut versions: Vec<(&str, u64)> = batch
        .iter()
        .map(|query| (&*query.id, query.version))
        .collect();
    versions.sort_unstable();
    versions.dedup();
    versions
        .into_iter()
        .fold(Txn::default(), |txn, (id, version)| {
            txn.when(&records::live_key(id), version)
        })
}

/// Answers the queries of a check. Queries that the check could not decide are queued again.
fn answer_batch(node: &Node, batch: Vec<VersionQuery>, checked: &TimedResult<u64>) {
    let mut cache = node.record_cache.borrow_mut();
    for query in batch {
        let result = match &checked.result {
            Ok(_) => Ok(true),
            Err(ServiceError::Conflict(keys)) if keys.contains(&records::live_key(&query.id)) => {
                Ok(false)
            }
            Err(ServiceError::Conflict(_)) => {
                // The protocol does not promise that a conflict names every key whose version
                // differs, so a record that is not named is checked again.
                cache.enqueue(query);
                continue;
            }
            Err(error) => Err(error.clone()),
        };
        let sent_at = checked.sent_at;
        // Sending fails only if the poll was abandoned, and then the reply is not needed.
        let _ = query.reply.send(TimedResult { result, sent_at });
    }
}
