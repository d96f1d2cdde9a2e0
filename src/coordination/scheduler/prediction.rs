//! Predicted run times of tasks. In the paper named in `placement`, the prediction comes with
//! the job. Here the prediction is the job's own estimate; if the job has none, the prediction is
//! derived from the run times of finished tasks.

use crate::coordination::scheduler::job::Job;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::{JobSpec, Shape};

impl Scheduler {
    /// Predicted run time of a task in seconds: the job's estimate, else the recent median of
    /// its class, else the recent median over all classes, else the duration of a worker's lease.
    /// For a service, the prediction is always the estimate.
    pub fn predicted_run_time_s(&self, job: &Job) -> f64 {
        if job.spec.estimate_s > 0.0 || job.spec.shape == Shape::Service {
            return job.spec.estimate_s;
        }
        let median_s = self.predictor.median_s(&job.spec.class);
        median_s.unwrap_or(self.config.lease_s)
    }

    /// Records how long a task ran.
    pub(crate) fn record_run_time(&mut self, spec: &JobSpec, run_s: f64) {
        self.predictor
            .record_run(&spec.class, run_s, spec.estimate_s);
    }
}
