//! Plans the next transaction that writes completed tasks and terminal records. The
//! transaction is conditional on the version of each job's live record. Planning has no side
//! effects besides taking tokens from the write budget.

use crate::coordination::scheduler::job::{Job, Name};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::JobState;
use crate::protocol::state::Txn;
use crate::storage::completed_tasks::CompletedTasks;
use crate::storage::records::{self, CompletedTasksChunk, LiveJob, TerminalRecord};
use crate::transport::token_bucket::{Priority, TokenBucket};

/// Estimated bytes above which a transaction takes no further job: half of the protocol's
/// limit, which leaves room for the framing and for the job added last.
const FULL_TXN_BYTES: usize = records::MAX_TXN_BYTES / 2;
/// Estimated bytes of a terminal record and of the deletion of the live record.
const TERMINAL_RECORD_BYTES: usize = 200;
/// Estimated bytes of a live record without its completed tasks.
const LIVE_RECORD_BYTES: usize = 800;
/// Estimated bytes of a chunk without its completed tasks.
const CHUNK_BYTES: usize = 100;

/// A transaction, with what it writes for each job.
pub struct CompletionBatch {
    /// The transaction, conditional on the version of each job's live record.
    pub txn: Txn,
    /// What the transaction writes, one entry per job.
    pub completions: Vec<JobCompletion>,
}

/// What a batch writes for one job.
pub struct JobCompletion {
    /// The job.
    pub job: Name,
    /// The completed tasks that the batch records.
    pub completed: CompletedTasks,
    /// The terminal record, if all tasks are completed.
    pub terminal: Option<TerminalRecord>,
    /// Whether the job's completed tasks are stored in chunks apart from its live record.
    pub chunked: bool,
}

/// Plans the next batch of at most `txn_ops` changes, or returns `None` if nothing is due.
/// Jobs of more than `chunk_tasks` tasks store their completed tasks in chunks.
/// `partial_write_budget` limits the writes for jobs that still have tasks to run.
pub fn plan(
    scheduler: &Scheduler,
    txn_ops: usize,
    chunk_tasks: u32,
    partial_write_budget: &mut TokenBucket,
    now: f64,
) -> Option<CompletionBatch> {
    let due_jobs = scheduler.completions_due(txn_ops);
    if due_jobs.is_empty() {
        return None;
    }
    let mut builder = BatchBuilder::new(txn_ops, chunk_tasks, scheduler.wall_clock_offset_s);
    for id in due_jobs {
        let Some(job) = scheduler.jobs.get(&id) else {
            continue;
        };
        if !job.is_complete()
            && partial_write_budget
                .take(1.0, Priority::Control, now)
                .is_err()
        {
            break;
        }
        if builder.is_full() {
            break;
        }
        builder.add(id, job);
    }
    builder.finish()
}

/// A batch under construction.
struct BatchBuilder {
    txn: Txn,
    completions: Vec<JobCompletion>,
    /// Estimated size of the transaction in bytes.
    bytes: usize,
    txn_ops: usize,
    chunk_tasks: u32,
    wall_clock_offset_s: f64,
}

impl BatchBuilder {
    fn new(txn_ops: usize, chunk_tasks: u32, wall_clock_offset_s: f64) -> BatchBuilder {
        BatchBuilder {
            txn: Txn::default(),
            completions: Vec::new(),
            bytes: 0,
            txn_ops,
            chunk_tasks,
            wall_clock_offset_s,
        }
    }

    /// Whether no further job fits. A job can take two changes or more.
    fn is_full(&self) -> bool {
        !self.has_room_for(2)
    }

    fn has_room_for(&self, changes: usize) -> bool {
        self.txn.changes.len() + changes <= self.txn_ops && self.bytes <= FULL_TXN_BYTES
    }

    /// Adds the changes for a job, conditional on the known version of its live record.
    fn add(&mut self, id: Name, job: &Job) {
        let chunked = job.spec.tasks > self.chunk_tasks;
        let live_key = records::live_key(&id);
        self.edit(|txn| txn.when(&live_key, job.version));
        let mut completion = JobCompletion {
            job: id,
            completed: CompletedTasks::default(),
            terminal: None,
            chunked,
        };
        if job.is_complete() {
            completion.completed = job.completed.clone();
            completion.terminal = Some(self.put_terminal_record(&completion.job, &live_key, job));
        } else if chunked {
            completion.completed = self.put_changed_chunks(&completion.job, &live_key, job);
        } else {
            completion.completed = job.completed.clone();
            self.put_live_record(&live_key, job, job.completed.to_text());
        }
        self.completions.push(completion);
    }

    /// Replaces the live record with the terminal record.
    fn put_terminal_record(&mut self, id: &str, live_key: &str, job: &Job) -> TerminalRecord {
        let terminal = TerminalRecord {
            state: JobState::Done,
            tasks: job.spec.tasks,
            done: job.spec.tasks,
        };
        self.bytes += TERMINAL_RECORD_BYTES;
        let terminal_key = records::terminal_key(id);
        self.edit(|txn| txn.delete(live_key).put(&terminal_key, &terminal));
        terminal
    }

    /// Writes the changed chunks for which there is room, and returns the completed tasks in
    /// them.
    ///
    /// The live record is written as well, which gives it a new version. Writes are
    /// conditional on that version, so a transaction that got no response and is executed
    /// late cannot overwrite newer completions with older ones. (Workers have forgotten the
    /// overwritten tasks by then, so these would run again after a takeover.)
    fn put_changed_chunks(&mut self, id: &str, live_key: &str, job: &Job) -> CompletedTasks {
        self.put_live_record(live_key, job, String::new());
        let mut written = CompletedTasks::default();
        for chunk in 0..job.spec.tasks.div_ceil(self.chunk_tasks) {
            let completed = job.completed.chunk(chunk, self.chunk_tasks);
            if completed == job.saved.chunk(chunk, self.chunk_tasks) {
                continue;
            }
            if !self.has_room_for(1) {
                break;
            }
            let done = completed.to_text();
            self.bytes += done.len() + CHUNK_BYTES;
            let key = records::completed_key(id, chunk);
            self.edit(|txn| txn.put(&key, &CompletedTasksChunk { done }));
            written.merge(&completed);
        }
        written
    }

    /// Writes the live record with the completed tasks `done`.
    fn put_live_record(&mut self, live_key: &str, job: &Job, done: String) {
        self.bytes += done.len() + LIVE_RECORD_BYTES;
        let record = live_record(job, self.wall_clock_offset_s, done);
        self.edit(|txn| txn.put(live_key, &record));
    }

    fn edit(&mut self, change: impl FnOnce(Txn) -> Txn) {
        self.txn = change(std::mem::take(&mut self.txn));
    }

    fn finish(self) -> Option<CompletionBatch> {
        if self.completions.is_empty() {
            return None;
        }
        Some(CompletionBatch {
            txn: self.txn,
            completions: self.completions,
        })
    }
}

/// The live record of a job, with the completed tasks `done`.
fn live_record(job: &Job, wall_clock_offset_s: f64, done: String) -> LiveJob {
    let accepted_ms = (job.accepted_at + wall_clock_offset_s) * 1000.0;
    LiveJob {
        spec: job.spec.clone(),
        accepted_at_ms: accepted_ms.round().max(0.0) as u64,
        done,
    }
}
