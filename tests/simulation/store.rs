//! The leaders' writes to the store, which may fail, be delayed, or lose their answers.

use super::*;

/// A live job in the store.
pub(crate) struct StoredJob {
    pub(crate) record: LiveJob,
    pub(crate) completed: CompletedTasks,
    pub(crate) version: u64,
}

/// The end of a job.
pub(crate) struct JobEnd {
    pub(crate) ended_at: f64,
    pub(crate) cancelled: bool,
}

/// A write of a job's completed tasks, on condition that the stored job still has the expected
/// version.
pub(crate) struct CompletionsWrite {
    /// When the store applies the write, if the write is delayed.
    applied_at: f64,
    job: String,
    expected_version: u64,
    completed: CompletedTasks,
    /// Whether all tasks of the job are completed.
    finishes_job: bool,
}

/// The outcome of a write.
#[derive(Clone, Copy, PartialEq)]
enum WriteOutcome {
    /// Not applied.
    Refused,
    /// Applied at once and answered.
    Answered,
    /// Applied at once, and the answer is lost.
    AnswerLost,
    /// Applied later, if its condition still holds then.
    Delayed,
}

impl Simulation {
    fn draw_write_outcome(&mut self) -> WriteOutcome {
        match self.rng.random_range(0..100) {
            0..45 => WriteOutcome::Refused,
            45..50 => WriteOutcome::Delayed,
            50..58 => WriteOutcome::AnswerLost,
            _ => WriteOutcome::Answered,
        }
    }

    /// Lets a leader write the completed tasks of its jobs. Such a write is conditional only on the
    /// job's version, so it also succeeds for a stale leader, unlike writes that are conditional on
    /// leadership.
    pub(crate) fn write_completions(&mut self, leader: usize) {
        for id in self.leaders[leader].scheduler.completions_due(9) {
            let outcome = self.draw_write_outcome();
            self.write_job_completions(leader, &id, outcome);
        }
    }

    /// Lets a leader write the completed tasks of a job, on condition that the stored job still
    /// has the version that the leader knows.
    fn write_job_completions(&mut self, leader: usize, id: &Name, outcome: WriteOutcome) {
        let held_until = self.completions_held_until.get(&**id);
        if outcome == WriteOutcome::Refused || held_until.is_some_and(|until| self.now < *until) {
            return;
        }
        let scheduler = &mut self.leaders[leader].scheduler;
        let Some(stored) = self.live_jobs.get(&**id) else {
            scheduler.finish_job(id);
            return;
        };
        let Some(job) = scheduler.jobs.get(id) else {
            return;
        };
        if job.version != stored.version {
            scheduler.reload_job(id, stored.version, &stored.completed);
            return;
        }
        let write = CompletionsWrite {
            applied_at: self.now + self.rng.random_range(2.0..12.0),
            job: id.to_string(),
            expected_version: stored.version,
            completed: job.completed.clone(),
            finishes_job: job.is_complete(),
        };
        if outcome == WriteOutcome::Delayed {
            self.delay_write(write);
            return;
        }
        let (completed, finishes_job) = (write.completed.clone(), write.finishes_job);
        self.apply_write(write);
        if outcome == WriteOutcome::AnswerLost {
            self.coincidences.add(Coincidence::CompletionsAnswerLost, 1);
            return;
        }
        let version = self.version;
        let scheduler = &mut self.leaders[leader].scheduler;
        scheduler.completions_written(id, &completed, version);
        if finishes_job {
            scheduler.finish_job(id);
        }
    }

    /// Delays the write. With some probability no other completions of the same job are written
    /// before the delayed write is applied.
    fn delay_write(&mut self, write: CompletionsWrite) {
        if self.rng.random_bool(0.2) {
            let until = write.applied_at + 2.0 * STEP_S;
            self.completions_held_until.insert(write.job.clone(), until);
        }
        self.delayed_writes.push(write);
    }

    /// Applies a write of completions to the store. Returns false if its condition fails.
    fn apply_write(&mut self, write: CompletionsWrite) -> bool {
        let Some(stored) = self.live_jobs.get_mut(&write.job) else {
            return false;
        };
        if stored.version != write.expected_version {
            return false;
        }
        self.version += 1;
        stored.version = self.version;
        stored.completed.merge(&write.completed);
        if write.finishes_job {
            self.live_jobs.remove(&write.job);
            let end = JobEnd {
                ended_at: self.now,
                cancelled: false,
            };
            self.ended_jobs.insert(write.job, end);
        }
        true
    }

    /// Applies the delayed writes of completions that are due.
    pub(crate) fn apply_delayed_writes(&mut self) {
        let now = self.now;
        let all = std::mem::take(&mut self.delayed_writes);
        let (due, later): (Vec<_>, Vec<_>) = all.into_iter().partition(|w| w.applied_at <= now);
        self.delayed_writes = later;
        for write in due {
            let coincidence = match self.apply_write(write) {
                true => Coincidence::LateCompletionsWritten,
                false => Coincidence::LateCompletionsRefused,
            };
            self.coincidences.add(coincidence, 1);
        }
    }

    /// Lets the current leader write its machine record.
    pub(crate) fn write_machine_record(&mut self, leader: usize) {
        let delayed = self.machine_record_delayed_until > self.now && self.rng.random_bool(0.97);
        let outcome = self.draw_write_outcome();
        let scheduler = &mut self.leaders[leader].scheduler;
        let not_written = matches!(outcome, WriteOutcome::Refused | WriteOutcome::Delayed);
        if !scheduler.machine_record_dirty || delayed || not_written {
            return;
        }
        self.machine_record = scheduler
            .wanted_machine_record()
            .into_iter()
            .cloned()
            .collect();
        if outcome == WriteOutcome::AnswerLost {
            self.coincidences
                .add(Coincidence::MachineRecordAnswerLost, 1);
            return;
        }
        scheduler.machine_record_dirty = false;
        scheduler.machine_record_written(&self.machine_record);
    }

    /// Lets the current leader record machines as drained. Most of these machines are then
    /// switched off for a while, possibly for longer than their leases.
    pub(crate) fn write_drained_machines(&mut self, leader: usize) {
        let now = self.now;
        for (drain, version) in self.leaders[leader].scheduler.proven_drains(0, 9) {
            let (host, stored) = (drain.host.clone(), self.drains.get(&drain.host));
            if !(self.rng.random_bool(0.5) && stored.is_some_and(|d| d.1 == version)) {
                continue;
            }
            self.version += 1;
            self.drains.insert(host.clone(), (drain, self.version));
            self.drains_announced_at = now + 0.2;
            self.drained += 1;
            let worker = self.workers.iter_mut().find(|w| w.id == host);
            if let Some(worker) = worker.filter(|_| self.rng.random_bool(0.7)) {
                worker.hung_until = now + self.rng.random_range(1.0..40.0);
            }
        }
    }
}
