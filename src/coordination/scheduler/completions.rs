//! Saving completed tasks: which job records are due to be written, and what was written.
//!
//! A worker is sent the command to forget a completed task only after its completion is saved.

use crate::coordination::scheduler::job::Name;
use crate::coordination::scheduler::state::Scheduler;
use crate::storage::completed_tasks::CompletedTasks;

/// Sort key of a job whose completions are to be saved; the smallest comes first.
struct SaveOrder<'a> {
    incomplete: bool,
    saved_at: f64,
    job: &'a Name,
}

impl Scheduler {
    /// At most `limit` jobs with completed tasks that are not saved. Complete jobs come first,
    /// since users wait for them, then the jobs that were saved longest ago.
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

    /// Handles a successful write of these completed tasks to the job's record, which has
    /// this version now.
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

    /// Merges a job's record that was read again after a write conflict.
    pub fn reload_job(&mut self, id: &str, version: u64, saved: &CompletedTasks) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.version = version;
            job.merge_saved(saved);
            self.unsaved_jobs.insert(id.into());
        }
    }
}
