//! The actor that writes completed tasks and terminal records, in batches.
//!
//! Each job's part of a batch rests on the version of its live record, so that a
//! transaction without an answer, carried out late, cannot overwrite a newer one.

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

/// Writes the completions that are due, several times in each heartbeat interval.
pub struct CompletionWriter {
    /// The controller for which it writes.
    pub node: Rc<Node>,
}

impl Actor for CompletionWriter {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        let node = self.node.clone();
        let interval = batch_interval(&node.settings.cluster);
        let mut partial_writes = partial_write_limit(&node.settings.cluster);
        actix_rt::spawn(async move {
            loop {
                actix_rt::time::sleep(interval).await;
                while write_batch(&node, &mut partial_writes).await {}
            }
        });
    }
}

/// Time between batches: a quarter of a heartbeat interval. A user expects `done` within
/// 3 s, and the state service counts every put.
fn batch_interval(cluster: &Cluster) -> Duration {
    Duration::from_secs_f64((cluster.workers.report_s / 4.0).clamp(0.05, 0.25))
}

/// The limit on writes for jobs that go on: a quarter of the writes a second. Each is
/// written more rarely the more there are, and workers repeat finished tasks until then.
/// The rest is left to submissions and terminal records.
fn partial_write_limit(cluster: &Cluster) -> TokenBucket {
    let rate = cluster.state.write_rps / 4.0;
    TokenBucket::new(rate, rate.max(1.0), 0.0)
}

/// Writes one batch; true if there may be more.
async fn write_batch(node: &Rc<Node>, partial_writes: &mut TokenBucket) -> bool {
    let Some((batch, term)) = next_batch(node, partial_writes) else {
        return false;
    };
    let CompletionBatch {
        txn,
        completions: jobs,
    } = batch;
    match node.state.txn(&txn, Priority::Data).await {
        Ok(version) => {
            batch_written(node, jobs, version, term);
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
        // Not executed, or perhaps later: the versions tell next time.
        Err(_) => false,
    }
}

/// The next batch, if anything is due, and the term of the scheduler that it is from.
fn next_batch(node: &Node, partial_writes: &mut TokenBucket) -> Option<(CompletionBatch, u64)> {
    let scheduler = node.scheduler.borrow();
    let scheduler = scheduler.as_ref()?;
    let batch = completion_batch::plan(
        scheduler,
        node.settings.cluster.state.txn_ops,
        node.tasks_per_record(),
        partial_writes,
        node.now(),
    )?;
    Some((batch, scheduler.fence.base_term))
}

fn batch_written(node: &Rc<Node>, jobs: Vec<JobCompletion>, version: u64, term: u64) {
    node.with_scheduler(term, |scheduler| {
        for job in &jobs {
            note_written(scheduler, job, version);
        }
    });
    for JobCompletion {
        job,
        terminal,
        chunked,
        ..
    } in jobs
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

/// Tells the scheduler what was written of a job.
fn note_written(scheduler: &mut Scheduler, written: &JobCompletion, version: u64) {
    scheduler.completions_written(&written.job, &written.completed, version);
    if written.terminal.is_none() {
        return;
    }
    let job = scheduler.jobs.get(&*written.job);
    let (starts, passed_s) = job.map_or((0, 0.0), |j| (j.starts, j.longest_wait_s));
    tracing::info!(job = %written.job, starts, passed_s, "done");
    scheduler.finish_job(&written.job);
}

/// Reads a job's record after a conflict.
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
