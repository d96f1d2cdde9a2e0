//! The actor that writes completed tasks and terminal records in batches.
//!
//! Each write is conditional on the version of the job's live record. A transaction that got
//! no response and is executed late therefore cannot overwrite a newer record.

use super::completed_task_chunks;
use super::completion_batch::{self, CompletionBatch, JobCompletion};
use crate::coordination::node::Node;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::settings::Cluster;
use crate::storage::completed_tasks::CompletedTasks;
use crate::storage::records::{self, LiveJob};
use crate::transport::clients::{Priority, ServiceError};
use crate::transport::token_bucket::TokenBucket;
use actix::prelude::*;
use std::rc::Rc;
use std::time::Duration;

/// Writes the completions that are due, several times per heartbeat interval.
pub struct CompletionWriter {
    /// The controller whose completions are written.
    pub node: Rc<Node>,
}

impl Actor for CompletionWriter {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        let node = self.node.clone();
        let interval = batch_interval(&node.settings.cluster);
        let mut partial_write_budget = partial_write_budget(&node.settings.cluster);
        actix_rt::spawn(async move {
            loop {
                actix_rt::time::sleep(interval).await;
                while write_batch(&node, &mut partial_write_budget).await {}
            }
        });
    }
}

/// Time between batches: a quarter of a heartbeat interval, between 50 ms and 250 ms. A user
/// expects the state `done` within 3 s. Shorter intervals cost more puts, all of which count
/// towards the state service's write limit.
fn batch_interval(cluster: &Cluster) -> Duration {
    Duration::from_secs_f64((cluster.workers.report_s / 4.0).clamp(0.05, 0.25))
}

/// The budget for writes for jobs that still have tasks to run: a quarter of the allowed
/// writes per second. The more such jobs there are, the less often each is written, and
/// workers report a finished task until it is recorded. The other three quarters are left to
/// submissions and terminal records.
fn partial_write_budget(cluster: &Cluster) -> TokenBucket {
    let rate = cluster.state.write_rps / 4.0;
    TokenBucket::new(rate, rate.max(1.0), 0.0)
}

/// Writes one batch. Returns true if another batch may be due.
async fn write_batch(node: &Rc<Node>, partial_write_budget: &mut TokenBucket) -> bool {
    let Some((batch, term)) = next_batch(node, partial_write_budget) else {
        return false;
    };
    let CompletionBatch { txn, completions } = batch;
    match node.state.txn(&txn, Priority::Data).await {
        Ok(version) => {
            handle_written_batch(node, completions, version, term);
            true
        }
        Err(ServiceError::Conflict(keys)) => {
            for key in keys {
                if let Some(id) = key.strip_prefix(records::LIVE_PREFIX) {
                    reload_job(node, id, term).await;
                }
            }
            true
        }
        // The transaction was not executed, or may still be. If it is executed before the next
        // batch, that batch fails its version conditions, and the records are read again.
        Err(_) => false,
    }
}

/// Plans the next batch, if anything is due. Also returns the base term of the scheduler that
/// the batch comes from.
fn next_batch(
    node: &Node,
    partial_write_budget: &mut TokenBucket,
) -> Option<(CompletionBatch, u64)> {
    let scheduler = node.scheduler.borrow();
    let scheduler = scheduler.as_ref()?;
    let batch = completion_batch::plan(
        scheduler,
        node.settings.cluster.state.txn_ops,
        node.tasks_per_record(),
        partial_write_budget,
        node.now(),
    )?;
    Some((batch, scheduler.fence.base_term))
}

/// Updates the scheduler and the cache of terminal states, and deletes the chunks of finished
/// jobs.
fn handle_written_batch(node: &Rc<Node>, completions: Vec<JobCompletion>, version: u64, term: u64) {
    node.with_scheduler(term, |scheduler| {
        for completion in &completions {
            apply_written(scheduler, completion, version);
        }
    });
    for JobCompletion {
        job,
        terminal,
        chunked,
        ..
    } in completions
    {
        let Some(terminal) = terminal else {
            continue;
        };
        node.terminal_states.borrow_mut().put(&job, terminal);
        if chunked {
            completed_task_chunks::delete(node.clone(), job, terminal.tasks);
        }
    }
}

/// Tells the scheduler what was written for a job.
fn apply_written(scheduler: &mut Scheduler, written: &JobCompletion, version: u64) {
    scheduler.completions_written(&written.job, &written.completed, version);
    if written.terminal.is_none() {
        return;
    }
    let job = scheduler.jobs.get(&*written.job);
    let (starts, longest_wait_s) = job.map_or((0, 0.0), |job| (job.starts, job.longest_wait_s));
    tracing::info!(job = %written.job, starts, passed_s = longest_wait_s, "done");
    scheduler.finish_job(&written.job);
}

/// Reads a job's live record again after a write conflict. If the record is gone, the job is
/// finished or cancelled.
async fn reload_job(node: &Rc<Node>, id: &str, term: u64) {
    let Ok(entry) = node.state.get(&records::live_key(id), Priority::Data).await else {
        return;
    };
    node.with_scheduler(term, |scheduler| match entry {
        Some(entry) => {
            if let Ok(record) = entry.read::<LiveJob>() {
                let completed = CompletedTasks::from_text(&record.done, record.spec.tasks);
                scheduler.reload_job(id, entry.version, &completed);
            }
        }
        None => scheduler.finish_job(id),
    });
}
