//! What to write of done marks and final states next: one transaction that rests on
//! the version of each job's record. Pure.

use crate::coordination::scheduler::job::{Job, Name};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::JobState;
use crate::protocol::state::Txn;
use crate::storage::marks::CompletedTasks;
use crate::storage::records::{self, CompletedTasksChunk, LiveJob, TerminalRecord};
use crate::transport::budget::Budget;

/// A transaction, and what it writes of which job.
pub struct CompletionBatch {
    pub txn: Txn,
    pub jobs: Vec<JobCompletion>,
}

/// One job's part of a batch.
pub struct JobCompletion {
    pub job: Name,
    pub completed: CompletedTasks,
    pub terminal: Option<TerminalRecord>,
    /// The job's marks are kept apart from its record.
    pub chunked: bool,
}

/// The record of a live job with these marks.
fn record_of(job: &Job, wall_offset_s: f64, done: String) -> LiveJob {
    LiveJob {
        spec: job.spec.clone(),
        at_ms: ((job.accepted_at + wall_offset_s) * 1000.0)
            .round()
            .max(0.0) as u64,
        done,
    }
}

/// The next batch, if anything is due, of at most `txn_ops` changes; jobs of more than
/// `chunk_tasks` tasks keep their marks apart. `partial` bounds the writes for jobs that
/// go on.
pub fn plan(
    scheduler: &Scheduler,
    txn_ops: usize,
    chunk_tasks: u32,
    partial: &mut Budget,
    now: f64,
) -> Option<CompletionBatch> {
    let due = scheduler.completions_due(txn_ops);
    if due.is_empty() {
        return None;
    }
    let mut txn = Txn::default();
    let mut parts = Vec::new();
    let mut bytes = 0;
    for id in due {
        let Some(job) = scheduler.jobs.get(&id) else {
            continue;
        };
        if !job.is_complete() && partial.take(1.0, true, now).is_err() {
            break;
        }
        // 64 KiB a transaction; half leaves room for the framing.
        if txn.changes.len() + 2 > txn_ops || bytes > 32 * 1024 {
            break;
        }
        let chunked = job.spec.tasks > chunk_tasks;
        let mut part = JobCompletion {
            job: id.clone(),
            completed: job.completed.clone(),
            terminal: None,
            chunked,
        };
        let key = records::live_key(&id);
        txn = txn.when(&key, job.version);
        if job.is_complete() {
            let last = TerminalRecord {
                state: JobState::Done,
                tasks: job.spec.tasks,
                done: job.spec.tasks,
            };
            part.terminal = Some(last);
            txn = txn.delete(&key).put(&records::terminal_key(&id), &last);
            bytes += 200;
        } else if chunked {
            part.completed = CompletedTasks::default();
            // The record is written again with each of them: its version is what the
            // next write rests on, so that one without an answer, carried out late,
            // cannot put older marks in the place of newer ones. (Their workers have
            // forgotten those tasks: after a takeover they would run once more.)
            let record = record_of(job, scheduler.wall_clock_offset_s, String::new());
            bytes += 800;
            txn = txn.put(&key, &record);
            for chunk in 0..job.spec.tasks.div_ceil(chunk_tasks) {
                let marks = job.completed.chunk(chunk, chunk_tasks);
                if marks == job.saved.chunk(chunk, chunk_tasks) {
                    continue;
                }
                if txn.changes.len() + 1 > txn_ops || bytes > 32 * 1024 {
                    break;
                }
                let done = marks.to_text();
                bytes += done.len() + 100;
                txn = txn.put(
                    &records::completed_key(&id, chunk),
                    &CompletedTasksChunk { done },
                );
                part.completed.merge(&marks);
            }
        } else {
            let record = record_of(job, scheduler.wall_clock_offset_s, job.completed.to_text());
            bytes += record.done.len() + 800;
            txn = txn.put(&key, &record);
        }
        parts.push(part);
    }
    if parts.is_empty() {
        return None;
    }
    Some(CompletionBatch { txn, jobs: parts })
}
