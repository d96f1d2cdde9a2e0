//! Handles machines that the cloud will terminate, and machines that keep failing tasks.

use crate::coordination::scheduler::job::{AttemptId, Name};
use crate::coordination::scheduler::machine::{Attempt, MachineStatus};
use crate::coordination::scheduler::state::Scheduler;

/// An attempt that is to be stopped.
struct DueStop {
    machine: Name,
    attempt: AttemptId,
    /// The time that the task has to save a checkpoint, in seconds.
    grace_s: f64,
}

impl Scheduler {
    /// Acts on the cloud's termination notices for spot machines. Tasks that have not begun
    /// to run are stopped. Running tasks that save checkpoints are stopped unless they are
    /// predicted to end before the termination. All other tasks run on.
    pub(crate) fn handle_termination_notices(&mut self, now: f64) {
        let mut stops = Vec::new();
        for (name, machine) in &self.machines {
            let Some(terminated_at) = machine.notice_at else {
                continue;
            };
            for (key, attempt) in machine.live_attempts() {
                if self.stops_before_termination(key, attempt, terminated_at, now) {
                    stops.push(DueStop {
                        machine: name.clone(),
                        attempt: key.clone(),
                        grace_s: self.checkpoint_grace_s(&key.task.job),
                    });
                }
            }
        }
        for stop in stops {
            self.stop_attempt(&stop.machine, &stop.attempt, stop.grace_s);
        }
    }

    fn stops_before_termination(
        &self,
        key: &AttemptId,
        attempt: &Attempt,
        terminated_at: f64,
        now: f64,
    ) -> bool {
        let Some(job) = self.jobs.get(&key.task.job) else {
            return false;
        };
        let Some(running_since) = attempt.running_since else {
            return true;
        };
        let ran_s = now - running_since;
        let remaining_s = (self.predicted_run_time_s(job) - ran_s).max(0.0);
        let ends_in_time = remaining_s <= terminated_at - now;
        let saves_checkpoints = job.spec.checkpoint_s > 0.0;
        !ends_in_time && saves_checkpoints
    }

    /// Takes out of use the machines whose number of recent failures has reached the policy's
    /// limit.
    pub(crate) fn retire_failing_machines(&mut self) {
        let limit = self.config.policy.cordon_errors as usize;
        let failing: Vec<Name> = self
            .machines
            .iter()
            .filter(|(_, machine)| {
                machine.status == MachineStatus::Up
                    && !machine.cordoned
                    && machine.recent_failures.len() >= limit
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in failing {
            tracing::warn!(machine = %name, "too many task failures; retiring machine");
            self.retire_machine(&name);
        }
    }
}
