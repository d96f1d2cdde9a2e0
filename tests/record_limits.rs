//! The records of completed tasks stay within the limits of the state service for any job that was
//! accepted, and a record that is refused all the same does not hold up those of other jobs.

mod common;

use common::*;
use foxspur::coordination::jobs::completion_batch::{self, BatchLimits, CompletionBatch};
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::job::{JobSpec, Urgency, MAX_TASKS};
use foxspur::protocol::state::Txn;
use foxspur::storage::completed_tasks::CompletedTasks;
use foxspur::storage::record_limits::RecordLimits;
use foxspur::storage::records::{self, CompletedTasksChunk, LiveJob, MAX_TXN_BYTES};
use foxspur::transport::token_bucket::TokenBucket;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use std::collections::BTreeMap;

const VALUE_KB: f64 = 16.0;
const TXN_OPS: usize = 32;
/// The longest job id: 20 digits.
const LONGEST_ID_DIGITS: usize = 20;

/// A job with a list of machine types that makes its live record `record_bytes` long, as far as
/// possible.
fn job_with_record_of(number: usize, tasks: u32, record_bytes: usize) -> JobSpec {
    let id = format!("run-{number:0LONGEST_ID_DIGITS$}");
    let mut job = spec(&id, "t", Urgency::Standard, tasks, 0.01);
    job.types = Some(vec!["small".into()]);
    let bytes = serde_json::to_vec(&live(job.clone(), 1e9)).unwrap().len();
    let missing = record_bytes.saturating_sub(bytes);
    let names = (0..missing / 17).map(|n| format!("t5-{n:04}-large0"));
    job.types.as_mut().unwrap().extend(names);
    job
}

/// A stand-in for the state service, with its limits on values and transactions.
#[derive(Default)]
struct Store {
    values: BTreeMap<String, Value>,
}

impl Store {
    /// Applies the changes of a transaction. `Err` if the service would refuse it with 400.
    fn apply(&mut self, txn: &Txn) -> Result<(), String> {
        let txn_bytes = serde_json::to_vec(txn).unwrap().len();
        let txn: Value = serde_json::to_value(txn).unwrap();
        let changes = txn["apply"].as_array().cloned().unwrap_or_default();
        if txn_bytes > MAX_TXN_BYTES || changes.len() > TXN_OPS {
            return Err(format!("{txn_bytes} bytes, {} changes", changes.len()));
        }
        for change in &changes {
            let value_bytes = serde_json::to_vec(&change["v"]).unwrap().len();
            if value_bytes > (VALUE_KB * 1024.0) as usize {
                return Err(format!("a value of {value_bytes} bytes: {}", change["set"]));
            }
        }
        for change in changes {
            if let Some(key) = change["set"].as_str() {
                self.values.insert(key.into(), change["v"].clone());
            } else if let Some(key) = change["delete"].as_str() {
                self.values.remove(key);
            }
        }
        Ok(())
    }

    /// The completed tasks that the records of the job list.
    fn completed(&self, job: &JobSpec) -> CompletedTasks {
        let live: LiveJob =
            serde_json::from_value(self.values[&records::live_key(&job.id)].clone()).unwrap();
        let mut completed = CompletedTasks::from_text(&live.done, job.tasks);
        let prefix = records::completed_prefix(&job.id);
        let chunks = self.values.range(prefix.clone()..);
        for (_, value) in chunks.take_while(|(key, _)| key.starts_with(&prefix)) {
            let chunk: CompletedTasksChunk = serde_json::from_value(value.clone()).unwrap();
            completed.merge(&CompletedTasks::from_text(&chunk.done, job.tasks));
        }
        completed
    }
}

fn limits(jobs: usize) -> BatchLimits {
    BatchLimits {
        txn_ops: TXN_OPS,
        jobs,
        records: RecordLimits::new(VALUE_KB),
    }
}

fn next_batch(scheduler: &Scheduler, jobs: usize) -> Option<CompletionBatch> {
    let mut budget = TokenBucket::new(1e6, 1e6, 0.0);
    completion_batch::plan(scheduler, &limits(jobs), &mut budget, 1.0)
}

fn complete(scheduler: &mut Scheduler, id: &str, tasks: impl Iterator<Item = u32>) {
    let job = scheduler.jobs.get_mut(id).expect("a job");
    tasks.for_each(|task| job.set_completed(task));
    scheduler.unsaved_jobs.insert(id.into());
}

/// Writes batches until nothing is due. Returns the number of batches.
fn write_all(scheduler: &mut Scheduler, store: &mut Store, seed: u64) -> usize {
    for batches in 0..2000 {
        let Some(batch) = next_batch(scheduler, TXN_OPS) else {
            return batches;
        };
        let applied = store.apply(&batch.txn);
        assert_eq!(applied, Ok(()), "seed {seed}, batch {batches}");
        for completion in &batch.completions {
            let version = 2 + batches as u64;
            scheduler.completions_written(&completion.job, &completion.completed, version);
        }
    }
    panic!("seed {seed}: the writes do not end");
}

/// Guards against a record that grows past the limit of the state service as its tasks complete. The
/// service answered 400 to every batch with it, and finished jobs of other teams stayed pending for
/// as long as that job lived (`docs/incidents/2026-12-one-large-record.md`).
#[test]
fn completed_tasks_of_any_accepted_job_fit_into_its_records() {
    let value_bytes = (VALUE_KB * 1024.0) as usize;
    for seed in seeds(25) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &[]);
        let mut store = Store::default();
        let mut jobs = Vec::new();
        for number in 0..rng.random_range(1..12) {
            let drawn = [2, 400, 1024, 1025, 5000][rng.random_range(0..5)];
            let is_largest = seed == 0 && number == 0;
            let tasks = if is_largest { MAX_TASKS as u32 } else { drawn };
            let bytes = [0, 9_000, 12_000, value_bytes - 20][rng.random_range(0..4)];
            let job = job_with_record_of(number, tasks, bytes);
            let record = live(job.clone(), 1e9);
            let txn = Txn::default().put(&records::live_key(&job.id), &record);
            store.apply(&txn).expect("the submission is accepted");
            scheduler.add_job(record, 1, CompletedTasks::default());
            jobs.push(job);
        }
        for round in 0..3 {
            for job in &jobs {
                // Ranges of two tasks with a gap of one take the most bytes for each task.
                let density = [3, 2, 1][rng.random_range(0..3)];
                let last = job.tasks - 1;
                let drawn = (0..last).filter(|task| task % 3 < density.min(2 + round % 2));
                complete(&mut scheduler, &job.id, drawn);
            }
            write_all(&mut scheduler, &mut store, seed);
            for job in &jobs {
                let recorded = store.completed(job);
                let known = &scheduler.jobs[job.id.as_str()].completed;
                assert!(recorded == *known, "seed {seed}, {}", job.id);
            }
        }
        for job in &jobs {
            complete(&mut scheduler, &job.id, 0..job.tasks);
        }
        write_all(&mut scheduler, &mut store, seed);
        for job in &jobs {
            let terminal_key = records::terminal_key(&job.id);
            assert!(store.values.contains_key(&terminal_key), "seed {seed}");
        }
    }
}

/// Guards against losing completed tasks that the live record of a job lists although its completed
/// tasks are stored in chunks now: an earlier version of the program or another setting of the
/// largest value decided differently. A write leaves out the chunks that have not changed, and must
/// not remove their tasks from the live record.
#[test]
fn completed_tasks_in_a_live_record_stay_there_when_chunks_are_written() {
    let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &[]);
    let mut store = Store::default();
    let job = job_with_record_of(1, 3000, 0);
    let mut record = live(job.clone(), 1e9);
    record.done = "0-9,20".into();
    let txn = Txn::default().put(&records::live_key(&job.id), &record);
    store.apply(&txn).expect("the record fits");
    scheduler.add_job(record, 1, CompletedTasks::default());
    for range in [2000..2400, 2800..3000] {
        complete(&mut scheduler, &job.id, range);
        write_all(&mut scheduler, &mut store, 0);
    }
    let completed = store.completed(&job);
    assert_eq!(completed.len(), 11 + 400 + 200);
    assert!(completed.contains(9) && completed.contains(20) && completed.contains(2399));
}

/// Guards against a refused write that is repeated for ever with the records of all other jobs in
/// it. The job is set apart once its record was refused alone, is written alone and rarely from then
/// on, and returns to the others when a write of it succeeds.
#[test]
fn a_refused_record_does_not_hold_up_the_others() {
    let mut scheduler = scheduler(vec![team("t", 0.0, 0.0)], 5, &[]);
    for number in 1..=3 {
        let job = job_with_record_of(number, 10, 0);
        let id = job.id.clone();
        add(&mut scheduler, job, 0.0);
        complete(&mut scheduler, &id, 0..5);
    }
    let jobs_of = |batch: &Option<CompletionBatch>| -> Vec<String> {
        let completions = batch.iter().flat_map(|batch| &batch.completions);
        completions.map(|done| done.job.to_string()).collect()
    };
    assert_eq!(jobs_of(&next_batch(&scheduler, TXN_OPS)).len(), 3);
    let alone = jobs_of(&next_batch(&scheduler, 1));
    assert_eq!(alone.len(), 1);
    let refused = alone[0].clone();
    scheduler.record_refused(&refused);
    assert_eq!(scheduler.refused_records(), 1);
    let others = next_batch(&scheduler, TXN_OPS).expect("the others are due");
    assert!(others.completions.iter().all(|done| *done.job != *refused));
    for done in &others.completions {
        scheduler.completions_written(&done.job, &done.completed, 2);
    }
    assert!(next_batch(&scheduler, TXN_OPS).is_none(), "written at once");
    scheduler.tick(3.0 * LEASE_S, 3.0 * LEASE_S);
    let again = next_batch(&scheduler, TXN_OPS).expect("the refused record is due");
    assert!(again.completions.iter().all(|done| *done.job == *refused));
    assert_eq!(again.completions.len(), 1);
    let completed = scheduler.jobs[refused.as_str()].completed.clone();
    scheduler.completions_written(&refused, &completed, 3);
    assert_eq!(scheduler.refused_records(), 0);
}
