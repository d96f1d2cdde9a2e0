//! Plans the next transaction that writes completed tasks and terminal records. The
//! transaction is conditional on the version of each job's live record. Planning has no side
//! effects besides taking tokens from the write budget.

use crate::coordination::scheduler::job::{Job, Name};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::JobState;
use crate::protocol::state::Txn;
use crate::storage::completed_tasks::CompletedTasks;
use crate::storage::record_limits::RecordLimits;
use crate::storage::records::{self, CompletedTasksChunk, LiveJob, TerminalRecord};
use crate::transport::token_bucket::{Priority, TokenBucket};

/// Size, in bytes, up to which a transaction is filled. The rest of the protocol's limit is left for
/// the JSON syntax and for the conditions.
const FULL_TXN_BYTES: usize = records::MAX_TXN_BYTES - 8 * 1024;
/// Estimated size, in bytes, of the two changes that write a job's terminal record and delete its
/// live record.
const TERMINAL_RECORD_BYTES: usize = 200;
/// Estimated size of a chunk without its completed tasks, in bytes.
const CHUNK_BYTES: usize = 100;

/// A transaction, and the completions that it writes for each job.
pub struct CompletionBatch {
    /// The transaction, conditional on the version of each job's live record.
    pub txn: Txn,
    /// The completions that the transaction writes, one entry per job.
    pub completions: Vec<JobCompletion>,
}

/// The completions that a batch writes for one job.
pub struct JobCompletion {
    /// The job.
    pub job: Name,
    /// The completed tasks that the batch records.
    pub completed: CompletedTasks,
    /// The job's terminal record; `None` if some of its tasks are not completed yet.
    pub terminal: Option<TerminalRecord>,
    /// Whether the job's completed tasks are stored in chunks apart from its live record.
    pub chunked: bool,
}

/// The limits on one batch.
#[derive(Debug, Clone, Copy)]
pub struct BatchLimits {
    /// Maximum number of changes.
    pub txn_ops: usize,
    /// Maximum number of jobs.
    pub jobs: usize,
    /// Which jobs store their completed tasks in chunks.
    pub records: RecordLimits,
}

/// Plans the next batch within the limits. Returns `None` if there is nothing to write
/// or if `partial_write_budget`, which limits the writes for jobs that still have tasks to run,
/// is used up before the first job is added.
pub fn plan(
    scheduler: &Scheduler,
    limits: &BatchLimits,
    partial_write_budget: &mut TokenBucket,
    now: f64,
) -> Option<CompletionBatch> {
    let due_jobs = scheduler.completions_due(limits.jobs.min(limits.txn_ops));
    if due_jobs.is_empty() {
        return None;
    }
    let mut builder = BatchBuilder::new(limits, scheduler.wall_clock_offset_s);
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
        if !builder.has_room_for_job(job) {
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
    limits: RecordLimits,
    wall_clock_offset_s: f64,
}

impl BatchBuilder {
    fn new(limits: &BatchLimits, wall_clock_offset_s: f64) -> BatchBuilder {
        BatchBuilder {
            txn: Txn::default(),
            completions: Vec::new(),
            bytes: 0,
            txn_ops: limits.txn_ops,
            limits: limits.records,
            wall_clock_offset_s,
        }
    }

    /// Whether the job can be added. A job is added only if two changes fit: a finished job takes
    /// two, and a chunked job takes one, plus one for each changed chunk that fits. The first job is
    /// always added.
    fn has_room_for_job(&self, job: &Job) -> bool {
        self.completions.is_empty() || self.has_room_for(2, self.bytes_of(job))
    }

    /// Upper bound on the bytes of the changes for the job, with one chunk if it has any.
    fn bytes_of(&self, job: &Job) -> usize {
        if job.is_complete() {
            TERMINAL_RECORD_BYTES
        } else if self.is_chunked(job) {
            job.record_bytes + CHUNK_BYTES + self.limits.value_bytes / 2
        } else {
            job.record_bytes + job.completed.to_text().len()
        }
    }

    /// Whether this number of changes with this number of bytes can still be added.
    fn has_room_for(&self, changes: usize, bytes: usize) -> bool {
        self.txn.changes.len() + changes <= self.txn_ops && self.bytes + bytes <= FULL_TXN_BYTES
    }

    /// Whether the job's completed tasks are stored in chunks.
    fn is_chunked(&self, job: &Job) -> bool {
        self.limits.stores_chunks(job.spec.tasks, job.record_bytes)
    }

    /// Adds the changes for a job, conditional on the version of its live record that the
    /// scheduler knows.
    fn add(&mut self, id: Name, job: &Job) {
        let chunked = self.is_chunked(job);
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

    /// Replaces the job's live record with its terminal record, and returns the latter.
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

    /// Adds writes of the job's changed chunks, as many as there is room for. Returns the
    /// completed tasks in the chunks that were added.
    ///
    /// The live record is written as well, because this gives it a new version. Every write of
    /// chunks is conditional on the version of the live record, so a transaction that got no
    /// response and is executed late cannot overwrite newer completions with older ones. (Such an
    /// overwrite would lose completions: workers no longer report these tasks, so a new leader
    /// would run them again.) It keeps the completed tasks that it lists, which an earlier version
    /// of the program may have written there, and no more are added, so that it does not grow.
    fn put_changed_chunks(&mut self, id: &str, live_key: &str, job: &Job) -> CompletedTasks {
        self.put_live_record(live_key, job, job.saved_in_record.to_text());
        let chunk_tasks = self.limits.chunk_tasks;
        let mut written = CompletedTasks::default();
        for chunk in 0..job.spec.tasks.div_ceil(chunk_tasks) {
            let completed = job.completed.chunk(chunk, chunk_tasks);
            if completed == job.saved.chunk(chunk, chunk_tasks) {
                continue;
            }
            let done = completed.to_text();
            if !self.has_room_for(1, done.len() + CHUNK_BYTES) {
                break;
            }
            self.bytes += done.len() + CHUNK_BYTES;
            let key = records::completed_key(id, chunk);
            self.edit(|txn| txn.put(&key, &CompletedTasksChunk { done }));
            written.merge(&completed);
        }
        written
    }

    /// Adds a write of the job's live record that lists the tasks `done` as completed.
    fn put_live_record(&mut self, live_key: &str, job: &Job, done: String) {
        self.bytes += done.len() + job.record_bytes;
        let record = live_record(job, self.wall_clock_offset_s, done);
        self.edit(|txn| txn.put(live_key, &record));
    }

    /// Replaces the transaction with the result of `change`.
    fn edit(&mut self, change: impl FnOnce(Txn) -> Txn) {
        self.txn = change(std::mem::take(&mut self.txn));
    }

    /// The finished batch; `None` if no job was added.
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

/// The live record of a job, listing the tasks `done` as completed.
fn live_record(job: &Job, wall_clock_offset_s: f64, done: String) -> LiveJob {
    let accepted_ms = (job.accepted_at + wall_clock_offset_s) * 1000.0;
    LiveJob {
        spec: job.spec.clone(),
        accepted_at_ms: accepted_ms.round().max(0.0) as u64,
        done,
    }
}
