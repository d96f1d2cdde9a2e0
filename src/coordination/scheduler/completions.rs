//! Saving completed tasks: selecting the job records to write, and handling finished writes.
//!
//! A worker gets the command to forget a completed task only after the completion is saved.

use crate::coordination::scheduler::job::{Job, Name};
use crate::coordination::scheduler::state::Scheduler;
use crate::storage::completed_tasks::CompletedTasks;

/// Pause before a refused record is written again, in workers' leases.
const REFUSED_PAUSE_LEASES: f64 = 3.0;

/// Sort key of a job whose completed tasks are to be saved; the smallest key comes first.
struct SaveOrder<'a> {
    incomplete: bool,
    saved_at: f64,
    job: &'a Name,
}

impl Scheduler {
    /// Jobs with completed tasks that are not saved yet, `limit` jobs at the maximum. Jobs whose
    /// tasks are all completed come first, since users wait for them. Within both groups, the
    /// job whose last save is oldest comes first. A job whose record the state service refused is
    /// due alone, when no other job is, and only after a pause: a refused record must not hold up
    /// the others.
    pub fn completions_due(&self, limit: usize) -> Vec<Name> {
        let due = self.completions_in_order(limit, |job| job.refused_at.is_none());
        if !due.is_empty() {
            return due;
        }
        let pause_s = REFUSED_PAUSE_LEASES * self.config.lease_s;
        self.completions_in_order(1, |job| {
            job.refused_at
                .is_some_and(|refused_at| self.now - refused_at >= pause_s)
        })
    }

    /// The first `limit` of the jobs with unsaved completed tasks that `is_due` selects.
    fn completions_in_order(&self, limit: usize, is_due: impl Fn(&Job) -> bool) -> Vec<Name> {
        let unsaved = self.unsaved_jobs.iter().filter_map(|name| {
            let job = self.jobs.get(name).filter(|job| is_due(job));
            job.map(|job| SaveOrder {
                incomplete: !job.is_complete(),
                saved_at: job.saved_at,
                job: name,
            })
        });
        let mut due: Vec<SaveOrder> = unsaved.collect();
        due.sort_by(|a, b| {
            a.incomplete
                .cmp(&b.incomplete)
                .then(a.saved_at.total_cmp(&b.saved_at))
                .then(a.job.cmp(b.job))
        });
        due.into_iter()
            .take(limit)
            .map(|entry| entry.job.clone())
            .collect()
    }

    /// Handles a successful write of the tasks `completed` to the job's record; `version` is the
    /// new version of the record.
    pub fn completions_written(&mut self, id: &str, completed: &CompletedTasks, version: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.version = version;
        job.refused_at = None;
        job.saved_at = self.now;
        job.saved.merge(completed);
        if job.saved.len() == job.completed.len() {
            self.unsaved_jobs.swap_remove(id);
        }
    }

    /// Handles a write of the job's completed tasks alone that the state service refused for good.
    /// The job's workers keep listing the tasks, and the write is repeated after a pause.
    pub fn record_refused(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.refused_at = Some(self.now);
        tracing::error!(
            job = id,
            record_bytes = job.record_bytes,
            tasks = job.spec.tasks,
            completed = job.completed.len(),
            "the state service refuses the record of the job's completed tasks"
        );
    }

    /// How many live jobs have a record that the state service refused when it was last written.
    pub fn refused_records(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|job| !job.finished && job.refused_at.is_some())
            .count()
    }

    /// Takes over the contents of a job's record that was read again after a write conflict:
    /// its version, and the tasks that the record lists as completed.
    pub fn reload_job(&mut self, id: &str, version: u64, saved: &CompletedTasks) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.version = version;
            job.merge_record(saved);
            self.unsaved_jobs.insert(id.into());
        }
    }
}
