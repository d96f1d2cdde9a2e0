//! The set of jobs: adding jobs, finishing them, reconciling them with the state service,
//! and removing those that are no longer needed.

use crate::coordination::scheduler::job::{AttemptId, Job, Name, Placement, TaskCounts, TaskId};
use crate::coordination::scheduler::state::Scheduler;
use crate::storage::completed_tasks::CompletedTasks;
use crate::storage::records::LiveJob;
use foldhash::fast::RandomState;
use indexmap::IndexSet;
use std::collections::HashSet;

impl Scheduler {
    /// Adds a live job that was read from its record or has just been accepted. `completed`
    /// contains tasks that are known to be completed but may be missing in the record.
    pub fn add_job(&mut self, record: LiveJob, version: u64, completed: CompletedTasks) {
        let id: Name = record.spec.id.as_str().into();
        if let Some(job) = self.jobs.get_mut(&id) {
            // The record was read twice, the watch delivered this leader's own write, or a
            // former leader saved another completed task. In the last case the worker may no
            // longer report that task, so the completion must be taken from the record.
            if version > job.version {
                let saved = CompletedTasks::from_text(&record.done, job.spec.tasks);
                job.version = version;
                job.merge_record(&saved);
            }
            return;
        }
        if version <= self.watched_revision || self.finished_jobs.contains(&id) {
            // The response with this record arrived after the watch had delivered both the
            // record and the end of the job, so the job is finished and no longer in `jobs`.
            return;
        }
        let job = self.job_from_record(record, version, completed);
        if job.is_complete() {
            self.unsaved_jobs.insert(id.clone());
        }
        self.jobs.insert(id, job);
        self.job_order.is_stale = true;
        self.placement_due = true;
    }

    fn job_from_record(&self, record: LiveJob, version: u64, completed: CompletedTasks) -> Job {
        let listed = CompletedTasks::from_text(&record.done, record.spec.tasks);
        let accepted_at = record.accepted_at_ms as f64 / 1000.0 - self.wall_clock_offset_s;
        let team = self.team_index(&record.spec.team);
        let mut job = Job::new(record.spec, team, accepted_at, version, completed);
        job.merge_record(&listed);
        job
    }

    /// Handles a job that the state service records as finished or cancelled: no task of the
    /// job may start any more, and its placed tasks are stopped.
    pub fn finish_job(&mut self, id: &str) {
        let shared_name = self.jobs.get_key_value(id).map(|(name, _)| name.clone());
        let name = shared_name.unwrap_or_else(|| id.into());
        self.finished_jobs.insert(name.clone(), ());
        let Some(job) = self.jobs.get_mut(&name) else {
            return;
        };
        job.finished = true;
        let queued: Vec<u32> = job.queued.keys().copied().collect();
        let placed: Vec<(u32, Placement)> = job
            .placed
            .iter()
            .map(|(index, placement)| (*index, placement.clone()))
            .collect();
        for index in queued {
            self.dequeue(&TaskId {
                job: name.clone(),
                index,
            });
        }
        for (
            index,
            Placement {
                machine, attempt, ..
            },
        ) in placed
        {
            let task = TaskId {
                index,
                job: name.clone(),
            };
            self.stop_attempt(&machine, &AttemptId::new(task, attempt), 0.0);
        }
        self.unsaved_jobs.swap_remove(&name);
        self.job_order.is_stale = true;
        self.placement_due = true;
    }

    /// Finishes the jobs that are not in `live`, the set of all live jobs as of `revision`.
    /// Jobs whose record is newer than that revision are not affected.
    pub fn reconcile_live_jobs(&mut self, live: &HashSet<&str>, revision: u64) {
        let finished = self
            .jobs
            .iter()
            .filter(|(id, job)| job.version <= revision && !live.contains(&***id));
        let finished: Vec<Name> = finished.map(|(id, _)| id.clone()).collect();
        for id in finished {
            self.finish_job(&id);
        }
    }

    /// Removes finished jobs without remaining attempts on machines, and stale entries of the
    /// work lists. This method visits every machine, so it must not run often.
    pub fn collect_garbage(&mut self) {
        self.prune_stopping_attempts();
        let jobs_on_machines: IndexSet<&Name, RandomState> = self
            .machines
            .values()
            .flat_map(|machine| machine.attempts.keys().map(|id| &id.task.job))
            .collect();
        self.jobs.retain(|name, job| {
            let finished_and_unplaced = job.finished && job.placed.is_empty();
            !finished_and_unplaced || jobs_on_machines.contains(name)
        });
        let machines = &self.machines;
        self.image_holders.retain(|image, names| {
            names.sort();
            names.dedup();
            names.retain(|name| {
                let machine = machines.get(name);
                machine.is_some_and(|machine| machine.has_image(image))
            });
            !names.is_empty()
        });
    }

    /// How many tasks of the job are saved as completed and how many were reported as running;
    /// `None` if the job is unknown.
    pub fn progress(&self, id: &str) -> Option<TaskCounts> {
        let job = self.jobs.get(id)?;
        Some(TaskCounts {
            done: job.saved.len() as u32,
            running: job.running,
        })
    }
}
