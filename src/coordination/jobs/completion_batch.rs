//! Plans what to write of completed tasks and terminal records next: one transaction that
//! rests on the version of each job's record. Pure.

use crate::coordination::scheduler::job::{Job, Name};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::JobState;
use crate::protocol::state::Txn;
use crate::storage::completed_tasks::CompletedTasks;
use crate::storage::records::{self, CompletedTasksChunk, LiveJob, TerminalRecord};
use crate::transport::token_bucket::{Priority, TokenBucket};

/// Estimated bytes at which a transaction is full: half of what the protocol allows, which
/// leaves room for the framing.
const FULL_TXN_BYTES: usize = records::MAX_TXN_BYTES / 2;
/// Estimated bytes of a terminal record and the deletion of the live one.
const TERMINAL_RECORD_BYTES: usize = 200;
/// Estimated bytes of a live record beside its completed tasks.
const LIVE_RECORD_BYTES: usize = 800;
/// Estimated bytes of a chunk beside its completed tasks.
const CHUNK_BYTES: usize = 100;

/// A transaction, and what it writes of which job.
pub struct CompletionBatch {
    /// The transaction, conditional on the version of each job's live record.
    pub txn: Txn,
    /// What it writes, by job.
    pub completions: Vec<JobCompletion>,
}

/// One job's part of a batch.
pub struct JobCompletion {
    /// The job.
    pub job: Name,
    /// The completed tasks that the batch puts on record.
    pub completed: CompletedTasks,
    /// The terminal record, where all tasks are completed.
    pub terminal: Option<TerminalRecord>,
    /// The job's completed tasks are kept apart from its record.
    pub chunked: bool,
}

/// The next batch, if anything is due, of at most `txn_ops` changes; jobs of more than
/// `chunk_tasks` tasks keep their completed tasks apart. `partial_writes` limits the writes
/// for jobs that go on.
pub fn plan(
    scheduler: &Scheduler,
    txn_ops: usize,
    chunk_tasks: u32,
    partial_writes: &mut TokenBucket,
    now: f64,
) -> Option<CompletionBatch> {
    let due = scheduler.completions_due(txn_ops);
    if due.is_empty() {
        return None;
    }
    let mut builder = BatchBuilder::new(txn_ops, chunk_tasks, scheduler.wall_clock_offset_s);
    for id in due {
        let Some(job) = scheduler.jobs.get(&id) else {
            continue;
        };
        if !job.is_complete() && partial_writes.take(1.0, Priority::Control, now).is_err() {
            break;
        }
        if builder.is_full() {
            break;
        }
        builder.add(id, job);
    }
    builder.finish()
}

/// A batch in the making, and how large its transaction has grown.
struct BatchBuilder {
    txn: Txn,
    jobs: Vec<JobCompletion>,
    /// Estimated size of the transaction.
    bytes: usize,
    txn_ops: usize,
    chunk_tasks: u32,
    wall_clock_offset_s: f64,
}

impl BatchBuilder {
    fn new(txn_ops: usize, chunk_tasks: u32, wall_clock_offset_s: f64) -> BatchBuilder {
        BatchBuilder {
            txn: Txn::default(),
            jobs: Vec::new(),
            bytes: 0,
            txn_ops,
            chunk_tasks,
            wall_clock_offset_s,
        }
    }

    /// No further job fits: one takes two changes or more.
    fn is_full(&self) -> bool {
        !self.has_room_for(2)
    }

    fn has_room_for(&self, changes: usize) -> bool {
        self.txn.changes.len() + changes <= self.txn_ops && self.bytes <= FULL_TXN_BYTES
    }

    /// Adds a job's part, on condition that its record still has the version we know.
    fn add(&mut self, id: Name, job: &Job) {
        let chunked = job.spec.tasks > self.chunk_tasks;
        let key = records::live_key(&id);
        self.edit(|txn| txn.when(&key, job.version));
        let mut completion = JobCompletion {
            job: id,
            completed: CompletedTasks::default(),
            terminal: None,
            chunked,
        };
        if job.is_complete() {
            completion.completed = job.completed.clone();
            completion.terminal = Some(self.terminal_record(&completion.job, &key, job));
        } else if chunked {
            completion.completed = self.chunks(&completion.job, &key, job);
        } else {
            completion.completed = job.completed.clone();
            self.live_record(&key, job, job.completed.to_text());
        }
        self.jobs.push(completion);
    }

    /// Writes the terminal record in place of the live one.
    fn terminal_record(&mut self, id: &str, live_key: &str, job: &Job) -> TerminalRecord {
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

    /// Writes the chunks that have changed, as far as there is room; the completed tasks
    /// in these.
    ///
    /// The live record is written again with each of them: its version is what the next
    /// write rests on, so that one without an answer, carried out late, cannot overwrite
    /// newer completions by older ones. (Their workers have forgotten those tasks: after a
    /// takeover they would run once more.)
    fn chunks(&mut self, id: &str, live_key: &str, job: &Job) -> CompletedTasks {
        self.live_record(live_key, job, String::new());
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

    /// Writes the live record with these completed tasks.
    fn live_record(&mut self, key: &str, job: &Job, done: String) {
        self.bytes += done.len() + LIVE_RECORD_BYTES;
        let record = record_of(job, self.wall_clock_offset_s, done);
        self.edit(|txn| txn.put(key, &record));
    }

    fn edit(&mut self, change: impl FnOnce(Txn) -> Txn) {
        self.txn = change(std::mem::take(&mut self.txn));
    }

    fn finish(self) -> Option<CompletionBatch> {
        if self.jobs.is_empty() {
            return None;
        }
        Some(CompletionBatch {
            txn: self.txn,
            completions: self.jobs,
        })
    }
}

/// The live record of a job with these completed tasks.
fn record_of(job: &Job, wall_clock_offset_s: f64, done: String) -> LiveJob {
    let accepted_ms = (job.accepted_at + wall_clock_offset_s) * 1000.0;
    LiveJob {
        spec: job.spec.clone(),
        at_ms: accepted_ms.round().max(0.0) as u64,
        done,
    }
}
