//! The set of jobs: accepting, finishing, reconciling with the state service, and
//! forgetting them.

use crate::coordination::scheduler::job::{AttemptId, Job, Name, TaskCounts, TaskId};
use crate::coordination::scheduler::state::Scheduler;
use crate::storage::completed_tasks::CompletedTasks;
use crate::storage::records::LiveJob;
use foldhash::fast::RandomState;
use indexmap::IndexSet;
use std::collections::HashSet;

impl Scheduler {
    /// Adds a live job, from its record or freshly accepted; `completed` are tasks known
    /// to be completed beside those of the record.
    pub fn add_job(&mut self, record: LiveJob, version: u64, completed: CompletedTasks) {
        let id: Name = record.spec.id.as_str().into();
        if let Some(job) = self.jobs.get_mut(&id) {
            // A record read twice, our own write seen by the watch, or a completion that
            // a former leader still wrote: its worker may have forgotten the task since,
            // so the completion must not be lost.
            if version > job.version {
                let saved = CompletedTasks::from_text(&record.done, job.spec.tasks);
                job.version = version;
                job.merge_saved(&saved);
            }
            return;
        }
        if version <= self.watched_revision || self.finished_jobs.contains(&id) {
            // An answer that came after the watch had already told of this record and of
            // its end: the job is finished and forgotten.
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
        let mut saved = CompletedTasks::from_text(&record.done, record.spec.tasks);
        saved.merge(&completed);
        let accepted_at = record.at_ms as f64 / 1000.0 - self.wall_clock_offset_s;
        let team = self.team_index(&record.spec.team);
        Job::new(record.spec, team, accepted_at, version, saved)
    }

    /// The job is finished or cancelled, as recorded: none of its tasks may start, and all
    /// attempts must stop.
    pub fn finish_job(&mut self, id: &str) {
        let known = self.jobs.get_key_value(id).map(|(name, _)| name.clone());
        let name = known.unwrap_or_else(|| id.into());
        self.finished_jobs.insert(name.clone(), ());
        let Some(job) = self.jobs.get_mut(&name) else {
            return;
        };
        job.finished = true;
        let queued: Vec<u32> = job.queued.keys().copied().collect();
        let placed: Vec<(u32, (Name, u64))> = job
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
        for (index, (machine, number)) in placed {
            let task = TaskId {
                index,
                job: name.clone(),
            };
            self.stop_attempt(&machine, &AttemptId::new(task, number), 0.0);
        }
        self.unsaved_jobs.swap_remove(&name);
        self.job_order.is_stale = true;
        self.placement_due = true;
    }

    /// Finishes the jobs that a listing of all live jobs as of `revision` does not name,
    /// except those accepted since.
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

    /// Forgets finished jobs that no machine can have attempts of any more, and stale
    /// entries of the work lists. It goes over every machine, so it runs only now and then.
    pub fn collect_garbage(&mut self) {
        self.prune_stopping_attempts();
        let shown: IndexSet<&Name, RandomState> = self
            .machines
            .values()
            .flat_map(|machine| machine.attempts.keys().map(|id| &id.task.job))
            .collect();
        self.jobs.retain(|name, job| {
            let is_gone = job.finished && job.placed.is_empty();
            !is_gone || shown.contains(name)
        });
        let machines = &self.machines;
        self.image_holders.retain(|image, names| {
            names.sort();
            names.dedup();
            names.retain(|n| machines.get(n).is_some_and(|m| m.has_image(image)));
            !names.is_empty()
        });
    }

    /// Counts of completed and running tasks of a job.
    pub fn progress(&self, id: &str) -> Option<TaskCounts> {
        let job = self.jobs.get(id)?;
        Some(TaskCounts {
            done: job.saved.len() as u32,
            running: job.running,
        })
    }
}
