//! Precedence among jobs, and the service-level objectives that determine it. Jobs are ranked by
//! urgency and guarantee. Sweeps that can no longer meet any of their objectives come after all
//! other jobs.
//!
//! Within a rank the job with the smallest predicted remaining work comes first. This order
//! applies the rule "smallest predicted job first" (section 4.2 of the paper by Mitzenmacher and
//! Dell'Amico that `placement` names) to jobs of many tasks.

use crate::coordination::scheduler::job::Job;
use crate::coordination::scheduler::job_order::Precedence;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::Shape;
use crate::protocol::settings::Objective;

/// Rank of sweeps that can no longer meet any of their objectives, behind all other ranks.
pub(crate) const LATE_RANK: u8 = 5;

/// Rank to which jobs within a fair-share floor are raised, directly behind `prod` and `high`.
pub(crate) const FLOOR_RANK: u8 = 2;

/// Offset added to the sort keys of jobs without a reachable objective. The offset is larger than
/// any predicted work, so within a rank these jobs come after all jobs with a reachable objective.
const NO_OBJECTIVE_KEY_OFFSET: f64 = 1e12;

/// The time since a job was accepted and the predicted run time of one of its tasks, in seconds.
#[derive(Clone, Copy)]
struct JobTimes {
    age_s: f64,
    predicted_s: f64,
}

/// Seconds until the job can no longer meet the objective; negative if the job can already no
/// longer meet it; `None` if the objective does not apply to the job.
fn time_left_s(objective: &Objective, job: &Job, times: JobTimes) -> Option<f64> {
    if objective.class.as_deref() != Some(job.spec.class.as_str()) {
        return None;
    }
    let JobTimes { age_s, predicted_s } = times;
    match objective.kind.as_str() {
        "deadline" => {
            let due_s = job.spec.deadline_s?;
            Some(due_s * objective.times.unwrap_or(1.0) - age_s - predicted_s)
        }
        "finished" => Some(objective.within_s? - age_s - predicted_s),
        "wait" => Some(objective.within_s? - age_s),
        _ => None,
    }
}

impl Scheduler {
    fn job_times(&self, job: &Job, now: f64) -> JobTimes {
        JobTimes {
            age_s: now - job.accepted_at,
            predicted_s: self.predicted_run_time_s(job),
        }
    }

    /// Seconds until the job can no longer meet the most pressing of its reachable objectives,
    /// which include the job's own deadline; `None` if no objective is reachable.
    pub(crate) fn slack_s(&self, job: &Job, now: f64) -> Option<f64> {
        let times = self.job_times(job, now);
        let JobTimes { age_s, predicted_s } = times;
        self.config
            .objectives
            .iter()
            .filter_map(|objective| {
                if objective.kind == "guarantee" && job.claims.guaranteed {
                    return Some(objective.within_s? - age_s);
                }
                time_left_s(objective, job, times)
            })
            .chain(job.spec.deadline_s.map(|due_s| due_s - age_s - predicted_s))
            .filter(|left_s| *left_s >= 0.0)
            .min_by(f64::total_cmp)
    }

    /// For the job's own deadline and each objective for the job's completion: the seconds until
    /// the due time, negative if the due time has passed.
    pub(crate) fn due_times<'a>(
        &'a self,
        job: &'a Job,
        now: f64,
    ) -> impl Iterator<Item = f64> + 'a {
        let times = JobTimes {
            age_s: now - job.accepted_at,
            predicted_s: 0.0,
        };
        let objectives = self.config.objectives.iter();
        let finishing = objectives.filter(|objective| objective.kind != "wait");
        finishing
            .filter_map(move |objective| time_left_s(objective, job, times))
            .chain(job.spec.deadline_s.map(|due_s| due_s - times.age_s))
    }

    /// Whether preempting other jobs for this job is still useful: the job can meet an objective,
    /// or has no objectives. Preemption is not postponed until shortly before an objective is due:
    /// postponing it made short jobs miss their deadlines and did not help other jobs (see
    /// `docs/measurements.md`).
    pub(crate) fn has_reachable_objective(&self, job: &Job, now: f64) -> bool {
        let mut objectives = self.config.objectives.iter();
        let has_objective = job.spec.deadline_s.is_some()
            || objectives
                .any(|objective| objective.class.as_deref() == Some(job.spec.class.as_str()));
        !has_objective || self.slack_s(job, now).is_some()
    }

    /// Whether the job is a sweep with objectives and can no longer meet any of them.
    fn is_late(&self, job: &Job, times: JobTimes) -> bool {
        let JobTimes { age_s, predicted_s } = times;
        let mut left = self
            .config
            .objectives
            .iter()
            .filter_map(|objective| time_left_s(objective, job, times))
            .chain(job.spec.deadline_s.map(|due_s| due_s - age_s - predicted_s))
            .peekable();
        let has_objective = left.peek().is_some();
        has_objective && job.spec.shape == Shape::Sweep && left.all(|left_s| left_s < 0.0)
    }

    /// The job's place in the order of precedence.
    pub(crate) fn precedence(&self, job: &Job, now: f64) -> Precedence {
        let times = self.job_times(job, now);
        let late = self.is_late(job, times);
        let mut rank = if late { LATE_RANK } else { job.rank() };
        if job.claims.underserved && !late {
            rank = rank.min(FLOOR_RANK);
        }
        // The job with the smallest predicted remaining work comes first: if not all jobs can
        // finish in time, this order lets the largest number of jobs do so. Jobs without a
        // reachable objective come last. Their key is the acceptance time plus the predicted
        // run time, so that short jobs come early and no job starves.
        let key = if self.slack_s(job, now).is_some() {
            let tasks_left = f64::from(job.tasks_left());
            tasks_left * times.predicted_s * job.spec.cpus.max(job.spec.gpus)
        } else {
            NO_OBJECTIVE_KEY_OFFSET + job.accepted_at + times.predicted_s
        };
        Precedence { rank, key }
    }
}
