//! Jobs that are suspected of being faulty, since their tasks fail on several machines.
//!
//! A suspect job is retried with one task at a time and at growing intervals, and its failures do
//! not count against the machines. It is no longer suspect once one of its tasks has completed or
//! has run well for a lease: a job that runs on one machine was not at fault when it failed on
//! others. Without the second condition a service, whose tasks never complete, stayed suspect for as
//! long as its leader did.

use crate::coordination::scheduler::job::{AttemptId, Job, Name, TaskId};
use crate::coordination::scheduler::state::Scheduler;

/// How long a task must have run for its job to count as sound, in workers' leases.
const RUNS_WELL_LEASES: f64 = 1.0;
/// Longest time between two attempts of a suspect job, in workers' leases.
const MAX_RETRY_LEASES: f64 = 2.0;

impl Scheduler {
    /// Backs off a job that fails on several machines. The job's failures no longer count against
    /// the machines, since otherwise a broken job of hundreds of tasks would take a part of a
    /// healthy fleet out of use.
    pub(crate) fn back_off_suspect_job(&mut self, machine: &Name, job_name: &Name, now: f64) {
        let max_pause_s = MAX_RETRY_LEASES * self.config.lease_s;
        let Some(job) = self.jobs.get_mut(job_name) else {
            return;
        };
        job.retries += u32::from(job.placed.len() <= 1);
        let tries = f64::from(job.retries + 1);
        let pause_s = self.config.heartbeat_s * tries.powi(2);
        job.not_before = now + pause_s.min(max_pause_s);
        if job.retries <= 1 {
            tracing::warn!(
                job = %job_name,
                machine = %machine,
                "job fails on several machines; retrying it at growing intervals"
            );
        }
        for machine_name in &job.failed_on {
            if let Some(machine) = self.machines.get_mut(machine_name) {
                machine.recent_failures.retain(|failed| failed != job_name);
            }
        }
    }

    /// Ends the suspicion of the job if one of its tasks runs well.
    pub(crate) fn clear_suspicion_if_running_well(&mut self, job_name: &Name, now: f64) {
        let job = self.jobs.get(job_name);
        let runs_well =
            job.is_some_and(|job| job.is_suspect() && self.runs_well(job_name, job, now));
        let Some(job) = self.jobs.get_mut(job_name).filter(|_| runs_well) else {
            return;
        };
        tracing::info!(job = %job_name, failures = job.failures, "a task of a suspect job runs well");
        job.failed_on.clear();
        job.failures = 0;
        job.retries = 0;
    }

    /// Whether a task of the job has run for a lease. Examines the placed tasks of the job, which are
    /// no more than its failures while it is suspect.
    fn runs_well(&self, job_name: &Name, job: &Job, now: f64) -> bool {
        let min_run_s = RUNS_WELL_LEASES * self.config.lease_s;
        job.placed.iter().any(|(index, placement)| {
            let task = TaskId {
                index: *index,
                job: job_name.clone(),
            };
            let machine = self.machines.get(&placement.machine);
            let attempts = machine.map(|machine| &machine.attempts);
            let attempt = attempts.and_then(|a| a.get(&AttemptId::new(task, placement.attempt)));
            attempt
                .filter(|attempt| !attempt.has_exited())
                .and_then(|attempt| attempt.running_since)
                .is_some_and(|since| now - since >= min_run_s)
        })
    }
}
