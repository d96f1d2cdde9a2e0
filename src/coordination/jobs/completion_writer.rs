//! The actor that writes completed tasks and terminal records in batches.
//!
//! Each write is conditional on the version of the job's live record. A transaction that got
//! no response and is executed late therefore cannot overwrite a newer record.

use super::completed_task_chunks;
use super::completion_batch::{self, BatchLimits, CompletionBatch, JobCompletion};
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

/// Writes completions several times per heartbeat interval.
pub struct CompletionWriter {
    /// The controller whose completions are written.
    pub node: Rc<Node>,
}

/// How much the next batches may contain.
struct WritePace {
    /// Limits the writes for jobs that still have tasks to run.
    partial_write_budget: TokenBucket,
    /// A batch of several jobs was refused. Until all due jobs were written or refused by
    /// themselves, each batch contains one job, which shows which of them is at fault.
    one_job_at_a_time: bool,
}

impl Actor for CompletionWriter {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        let node = self.node.clone();
        let interval = batch_interval(&node.settings.cluster);
        let mut pace = WritePace {
            partial_write_budget: partial_write_budget(&node.settings.cluster),
            one_job_at_a_time: false,
        };
        actix_rt::spawn(async move {
            loop {
                actix_rt::time::sleep(interval).await;
                while write_batch(&node, &mut pace).await {}
            }
        });
    }
}

/// Pause before completions are written again: a quarter of a heartbeat interval, but at least
/// 50 ms and at most 250 ms. A user expects to see the state `done` within 3 s of a job's end. A
/// shorter pause would cause more writes, and all writes count towards the state service's limit.
fn batch_interval(cluster: &Cluster) -> Duration {
    Duration::from_secs_f64((cluster.workers.report_s / 4.0).clamp(0.05, 0.25))
}

/// The budget of writes for jobs that still have tasks to run: a quarter of the allowed writes per
/// second. The other three quarters are left for submissions and terminal records. The more
/// unfinished jobs there are, the less often each of them is written. No completion is lost
/// meanwhile, because workers report a finished task until it is recorded.
fn partial_write_budget(cluster: &Cluster) -> TokenBucket {
    let rate = cluster.state.write_rps / 4.0;
    TokenBucket::new(rate, rate.max(1.0), 0.0)
}

/// Writes one batch. Returns true if the caller must try to write another batch at once.
async fn write_batch(node: &Rc<Node>, pace: &mut WritePace) -> bool {
    let Some((batch, term)) = next_batch(node, pace) else {
        pace.one_job_at_a_time = false;
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
        Err(ServiceError::Status(400..=499)) => {
            handle_refused_batch(node, &completions, pace, term);
            true
        }
        // The transaction may or may not have been executed, and may still be executed later. If
        // it is executed before the next batch, the version conditions of the next batch fail, and
        // the live records are read again.
        Err(_) => false,
    }
}

/// Plans the next batch, and returns it with the base term of the scheduler that it was planned
/// for. Returns `None` if this controller does not lead or there is nothing to write.
fn next_batch(node: &Node, pace: &mut WritePace) -> Option<(CompletionBatch, u64)> {
    let scheduler = node.scheduler.borrow();
    let scheduler = scheduler.as_ref()?;
    let txn_ops = node.settings.cluster.state.txn_ops;
    let limits = BatchLimits {
        txn_ops,
        jobs: if pace.one_job_at_a_time { 1 } else { txn_ops },
        records: node.record_limits(),
    };
    let budget = &mut pace.partial_write_budget;
    let batch = completion_batch::plan(scheduler, &limits, budget, node.now())?;
    Some((batch, scheduler.fence.base_term))
}

/// Handles a batch that the state service refused for good. If the batch contained one job, this job
/// is set apart; otherwise the jobs are written one by one.
fn handle_refused_batch(
    node: &Node,
    completions: &[JobCompletion],
    pace: &mut WritePace,
    term: u64,
) {
    if let [completion] = completions {
        node.with_scheduler(term, |scheduler| scheduler.record_refused(&completion.job));
    } else {
        pace.one_job_at_a_time = true;
    }
}

/// Applies a batch that was written at `version` to the scheduler and to the cache of terminal
/// states, and deletes the chunks of finished jobs.
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
            let chunks = terminal.tasks.div_ceil(node.record_limits().chunk_tasks);
            completed_task_chunks::delete(node.clone(), job, chunks);
        }
    }
}

/// Tells the scheduler which completions of a job were written, and finishes the job if its
/// terminal record was written.
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

/// Reads a job's live record again after a write conflict. If the record no longer exists, the
/// job is done or cancelled, and the scheduler finishes it.
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
