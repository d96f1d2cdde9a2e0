//! What leaders write to the store, and what becomes of their writes.

use super::*;

/// A live job in the store.
pub(crate) struct StoredJob {
    pub(crate) record: LiveJob,
    pub(crate) completed: CompletedTasks,
    pub(crate) version: u64,
}

/// How a job was over.
pub(crate) struct JobEnd {
    pub(crate) at: f64,
    pub(crate) cancelled: bool,
}

/// Completed tasks on their way to the store, carried out late.
pub(crate) struct LateWrite {
    at: f64,
    job: String,
    over_version: u64,
    completed: CompletedTasks,
    /// All tasks of the job are completed.
    finishes_job: bool,
}

/// What becomes of a write.
#[derive(Clone, Copy, PartialEq)]
enum WriteFate {
    /// Not carried out.
    Refused,
    Answered,
    /// Carried out at once, and the answer is lost.
    AnswerLost,
    /// Carried out later, if its condition still holds then.
    Late,
}

impl Simulation {
    fn write_fate(&mut self) -> WriteFate {
        match self.rng.random_range(0..100) {
            0..45 => WriteFate::Refused,
            45..50 => WriteFate::Late,
            50..58 => WriteFate::AnswerLost,
            _ => WriteFate::Answered,
        }
    }

    /// A leader writes what is completed of its jobs. Only the real leader's conditional
    /// writes succeed; completions do anyway.
    pub(crate) fn write_completions(&mut self, leader: usize) {
        for id in self.leaders[leader].scheduler.completions_due(9) {
            let fate = self.write_fate();
            self.write_job_completions(leader, &id, fate);
        }
    }

    /// A leader writes what is completed of a job, on condition of the version it knows.
    fn write_job_completions(&mut self, leader: usize, id: &Name, fate: WriteFate) {
        let held = self.unwritten_until.get(&**id);
        if fate == WriteFate::Refused || held.is_some_and(|until| self.now < *until) {
            return;
        }
        let scheduler = &mut self.leaders[leader].scheduler;
        let Some(stored) = self.live.get(&**id) else {
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
        let write = LateWrite {
            at: self.now + self.rng.random_range(2.0..12.0),
            job: id.to_string(),
            over_version: stored.version,
            completed: job.completed.clone(),
            finishes_job: job.is_complete(),
        };
        if fate == WriteFate::Late {
            self.hold_write(write);
            return;
        }
        let (completed, finishes_job) = (write.completed.clone(), write.finishes_job);
        self.carry_out(write);
        if fate == WriteFate::AnswerLost {
            self.met.add(Meeting::CompletionsAnswerLost, 1);
            return;
        }
        let version = self.version;
        let scheduler = &mut self.leaders[leader].scheduler;
        scheduler.completions_written(id, &completed, version);
        if finishes_job {
            scheduler.finish_job(id);
        }
    }

    /// The write arrives late, some as the next one of their job.
    fn hold_write(&mut self, write: LateWrite) {
        if self.rng.random_bool(0.2) {
            let until = write.at + 2.0 * STEP_S;
            self.unwritten_until.insert(write.job.clone(), until);
        }
        self.late_writes.push(write);
    }

    /// The store carries out a write of completions; false if its condition fails.
    fn carry_out(&mut self, write: LateWrite) -> bool {
        let Some(stored) = self.live.get_mut(&write.job) else {
            return false;
        };
        if stored.version != write.over_version {
            return false;
        }
        self.version += 1;
        stored.version = self.version;
        stored.completed.merge(&write.completed);
        if write.finishes_job {
            self.live.remove(&write.job);
            let end = JobEnd {
                at: self.now,
                cancelled: false,
            };
            self.over.insert(write.job, end);
        }
        true
    }

    /// Writes of completions that were held up arrive at the store.
    pub(crate) fn late_writes_arrive(&mut self) {
        let now = self.now;
        let all = std::mem::take(&mut self.late_writes);
        let (due, later): (Vec<_>, Vec<_>) = all.into_iter().partition(|w| w.at <= now);
        self.late_writes = later;
        for write in due {
            let meeting = match self.carry_out(write) {
                true => Meeting::CompletionsLateWritten,
                false => Meeting::CompletionsLateRefused,
            };
            self.met.add(meeting, 1);
        }
    }

    /// The real leader writes its machine record.
    pub(crate) fn write_machine_record(&mut self, leader: usize) {
        let lags = self.record_lags_until > self.now && self.rng.random_bool(0.97);
        let fate = self.write_fate();
        let scheduler = &mut self.leaders[leader].scheduler;
        let not_written = matches!(fate, WriteFate::Refused | WriteFate::Late);
        if !scheduler.machine_record_dirty || lags || not_written {
            return;
        }
        self.record = scheduler
            .wanted_machine_record()
            .into_iter()
            .cloned()
            .collect();
        if fate == WriteFate::AnswerLost {
            self.met.add(Meeting::RecordAnswerLost, 1);
            return;
        }
        scheduler.machine_record_dirty = false;
        scheduler.machine_record_written(&self.record);
    }

    /// The real leader records machines as drained; they are switched off for a while,
    /// perhaps past their leases.
    pub(crate) fn write_drained(&mut self, leader: usize) {
        let now = self.now;
        for (drain, version) in self.leaders[leader].scheduler.proven_drains(0, 9) {
            let (host, known) = (drain.host.clone(), self.drains.get(&drain.host));
            if !(self.rng.random_bool(0.5) && known.is_some_and(|d| d.1 == version)) {
                continue;
            }
            self.version += 1;
            self.drains.insert(host.clone(), (drain, self.version));
            self.drains_heard_at = now + 0.2;
            self.drained += 1;
            let worker = self.workers.iter_mut().find(|w| w.id == host);
            if let Some(worker) = worker.filter(|_| self.rng.random_bool(0.7)) {
                worker.hung_until = now + self.rng.random_range(1.0..40.0);
            }
        }
    }
}
