//! Starting, stopping and releasing attempts.
//!
//! Invariant: an attempt counts as placed, both for capacity and for quotas, from the moment
//! its start is decided until it is proven that the machine does not run the attempt.

use crate::coordination::scheduler::job::{AttemptId, Name, TaskId};
use crate::coordination::scheduler::machine::Attempt;
use crate::coordination::scheduler::resources::Resources;
use crate::coordination::scheduler::state::Scheduler;

impl Scheduler {
    /// Adds an attempt to run the task on the machine and schedules a direct call with the start
    /// command. From now on the task counts as placed.
    pub(crate) fn start_attempt(&mut self, machine_name: &Name, task: TaskId, now: f64) {
        let number = self.next_attempt();
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(machine_name) else {
            job.requeue(task.index);
            return;
        };
        let zone = &machine.info.zone;
        if job.set_placed(task.index, machine_name.clone(), zone, number) {
            self.team_usage.add(job.team, &job.spec, 1.0);
        }
        job.note_start(now);
        let attempt = Attempt::new(now, Resources::of_task(&job.spec));
        machine
            .attempts
            .insert(AttemptId::new(task, number), attempt);
        machine.unchanged_task_list = None;
        self.outbox.insert(machine_name.clone());
    }

    /// Requests that an attempt be stopped with a grace period of `grace_s` seconds. If a stop
    /// was requested before, the shorter grace period applies.
    pub(crate) fn stop_attempt(&mut self, machine_name: &str, id: &AttemptId, grace_s: f64) {
        let Some((_, name, machine)) = self.machines.get_full_mut(machine_name) else {
            return;
        };
        let Some(attempt) = machine.attempts.get_mut(id) else {
            return;
        };
        let is_sooner = attempt
            .stop_grace_s
            .is_none_or(|requested_s| grace_s < requested_s);
        if attempt.has_exited() || !is_sooner {
            return;
        }
        attempt.stop_grace_s = Some(grace_s);
        attempt.unsent = true;
        machine.unchanged_task_list = None;
        self.stopping_attempts.insert((name.clone(), id.clone()));
        self.outbox.insert(name.clone());
    }

    /// Handles an attempt that is not on its machine, whether it has ended or never started.
    pub(crate) fn release_attempt(&mut self, id: &AttemptId) {
        let AttemptId { task, number } = id;
        if let Some(job) = self.jobs.get_mut(&task.job) {
            if job.unplaced_tasks() == 0 {
                job.served_at = self.now;
            }
            if job.remove_attempt(task.index, *number) {
                self.team_usage.add(job.team, &job.spec, -1.0);
            }
        }
        self.placement_due = true;
    }

    /// Subtracts an attempt that no longer runs from the number of its job's running tasks, if
    /// that number includes the attempt.
    pub(crate) fn uncount_running(&mut self, id: &AttemptId, attempt: &mut Attempt) {
        if std::mem::take(&mut attempt.counted_as_running) {
            if let Some(job) = self.jobs.get_mut(&id.task.job) {
                job.running = job.running.saturating_sub(1);
            }
        }
    }

    /// Removes from the work list the attempts that have exited or are no longer known.
    pub(crate) fn prune_stopping_attempts(&mut self) {
        let machines = &self.machines;
        self.stopping_attempts.retain(|(machine, id)| {
            machines
                .get(machine)
                .and_then(|machine| machine.attempts.get(id))
                .is_some_and(|attempt| attempt.stop_grace_s.is_some() && !attempt.has_exited())
        });
    }

    /// Grace period, in seconds, in which a task of the job can write a checkpoint; 0 if the job
    /// writes no checkpoints or is unknown.
    pub(crate) fn checkpoint_grace_s(&self, job: &str) -> f64 {
        self.jobs.get(job).map_or(0.0, |job| {
            if job.spec.checkpoint_s > 0.0 {
                job.spec.save_s + self.config.heartbeat_s
            } else {
                0.0
            }
        })
    }
}
