//! Saving completed tasks: selecting the job records to write, and handling finished writes.
//!
//! A worker gets the command to forget a completed task only after the completion is saved.

use crate::coordination::scheduler::job::Name;
use crate::coordination::scheduler::state::Scheduler;
use crate::storage::completed_tasks::CompletedTasks;

/// Sort key of a job whose completed tasks are to be saved; the smallest key comes first.
struct SaveOrder<'a> {
    incomplete: bool,
    saved_at: f64,
    job: &'a Name,
}

impl Scheduler {
    /// Jobs with completed tasks that are not saved yet, `limit` jobs at the maximum. Jobs whose
    /// tasks are all completed come first, since users wait for them. Within both groups, the
    /// job whose last save is oldest comes first.
    pub fn completions_due(&self, limit: usize) -> Vec<Name> {
        let unsaved = self.unsaved_jobs.iter().filter_map(|name| {
            self.jobs.get(name).map(|job| SaveOrder {
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
        job.saved_at = self.now;
        job.saved.merge(completed);
        if job.saved.len() == job.completed.len() {
            self.unsaved_jobs.swap_remove(id);
        }
    }

    /// Takes over the contents of a job's record that was read again after a write conflict:
    /// its version, and the tasks that the record lists as completed.
    pub fn reload_job(&mut self, id: &str, version: u64, saved: &CompletedTasks) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.version = version;
            job.merge_saved(saved);
            self.unsaved_jobs.insert(id.into());
        }
    }
}
