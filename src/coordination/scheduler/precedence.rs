//! Precedence among jobs, and the service-level objectives that it follows from: urgency
//! first, and jobs that can meet none of their objectives any more after everything that
//! still can.
//!
//! Within a rank the job with the smallest predicted work left comes first: the paper's
//! smallest predicted job first (Mitzenmacher, Dell'Amico, section 4.2), one level up.

use crate::coordination::scheduler::job::Job;
use crate::coordination::scheduler::job_order::Precedence;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::Shape;
use crate::protocol::settings::Objective;

/// Rank of jobs that can meet none of their objectives any more.
pub(crate) const LATE_RANK: u8 = 5;

/// Lowest rank of jobs on a fair-share floor: behind `prod` and `high`.
pub(crate) const FLOOR_RANK: u8 = 2;

/// Offset of the keys of jobs without an objective in reach, larger than any predicted work:
/// they come after those with one.
const NO_OBJECTIVE_KEY: f64 = 1e12;

/// How long a job has existed and how long a task of it is predicted to run, in seconds.
#[derive(Clone, Copy)]
struct JobTimes {
    age_s: f64,
    predicted_s: f64,
}

/// Seconds until the job cannot meet the objective any more, if the objective applies.
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
            predicted_s: self.predict(job),
        }
    }

    /// Seconds until the first objective that the job can still meet is missed; `None`
    /// without one.
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

    /// Seconds until each objective by which the job should be finished is due.
    pub(crate) fn due_times<'a>(
        &'a self,
        job: &'a Job,
        now: f64,
    ) -> impl Iterator<Item = f64> + 'a {
        let times = JobTimes {
            age_s: now - job.accepted_at,
            predicted_s: 0.0,
        };
        let finishing = self.config.objectives.iter().filter(|o| o.kind != "wait");
        finishing
            .filter_map(move |objective| time_left_s(objective, job, times))
            .chain(job.spec.deadline_s.map(|due_s| due_s - times.age_s))
    }

    /// Whether preempting others for the job still serves a purpose: it can meet an
    /// objective, or has none to tell by. (Waiting until an objective was close cost short
    /// jobs their deadlines and saved others nothing: see `docs/measurements.md`.)
    pub(crate) fn has_reachable_objective(&self, job: &Job, now: f64) -> bool {
        let mut objectives = self.config.objectives.iter();
        let has_objective = job.spec.deadline_s.is_some()
            || objectives.any(|o| o.class.as_deref() == Some(job.spec.class.as_str()));
        !has_objective || self.slack_s(job, now).is_some()
    }

    /// Whether the job has objectives and can meet none of them any more.
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

    /// The job's place in the order.
    pub(crate) fn precedence(&self, job: &Job, now: f64) -> Precedence {
        let times = self.job_times(job, now);
        let late = self.is_late(job, times);
        let mut rank = if late { LATE_RANK } else { job.rank() };
        if job.claims.on_floor && !late {
            rank = rank.min(FLOOR_RANK);
        }
        // The smallest predicted work left comes first, as in a queue: if not all can be
        // served in time, most are. Jobs without an objective in reach come after; there a
        // longer prediction counts as a later arrival, so that the smallest goes first and
        // none is passed over for ever.
        let key = if self.slack_s(job, now).is_some() {
            let left = f64::from(job.tasks_left());
            left * times.predicted_s * job.spec.cpus.max(job.spec.gpus)
        } else {
            NO_OBJECTIVE_KEY + job.accepted_at + times.predicted_s
        };
        Precedence { rank, key }
    }
}
