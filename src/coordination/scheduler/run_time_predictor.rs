//! What finished tasks teach: how long those of a class run, by how much their
//! estimates are off, and how long jobs wait for their first task.

use crate::coordination::scheduler::job::Job;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::{JobSpec, Shape};
use hdrhistogram::Histogram;
use std::collections::HashMap;

/// Most classes remembered, some 30 KB each; they come from users, so they are bounded. Their
/// number does not grow with the fleet, and for any more the distribution of all classes is
/// used.
const CLASSES: usize = 256;
/// Values after which a class begins anew: "recent", so old ones fade.
const RECENT: u64 = 500;

/// A distribution for each class, and for all of them under the name "".
#[derive(Debug, Default)]
pub struct ClassHistograms(HashMap<String, Histogram<u32>>);

impl ClassHistograms {
    fn add(&mut self, class: &str, value: f64) {
        for class in [class, ""] {
            if self.0.len() >= CLASSES && !self.0.contains_key(class) {
                continue;
            }
            if !self.0.contains_key(class) {
                // A day in milliseconds, to two digits.
                let Ok(fresh) = Histogram::new_with_bounds(1, 86_400_000, 2) else {
                    continue;
                };
                self.0.insert(class.to_string(), fresh);
            }
            let Some(histogram) = self.0.get_mut(class) else {
                continue;
            };
            if histogram.len() > RECENT {
                histogram.reset();
            }
            histogram.saturating_record(value.max(1.0) as u64);
        }
    }

    /// The distribution of a class, if anything is known of it.
    pub fn of(&self, class: &str) -> Option<&Histogram<u32>> {
        self.0.get(class).filter(|h| !h.is_empty())
    }

    /// All classes, by name.
    pub fn classes(&self) -> Vec<(&str, &Histogram<u32>)> {
        let known = self.0.iter().filter(|(_, h)| !h.is_empty());
        let mut all: Vec<_> = known.map(|(n, h)| (n.as_str(), h)).collect();
        all.sort_by_key(|(name, _)| *name);
        all
    }
}

/// What was learnt.
#[derive(Debug, Default)]
pub struct RunTimePredictor {
    /// How long tasks ran, in milliseconds.
    pub run_ms: ClassHistograms,
    /// How long they ran against their estimate, in thousandths.
    pub ratio: ClassHistograms,
    /// From acceptance to the first task seen running, in milliseconds.
    pub wait_ms: ClassHistograms,
}

impl RunTimePredictor {
    /// Remembers how long a job of the class waited for its first task.
    pub(crate) fn waited(&mut self, class: &str, wait_s: f64) {
        self.wait_ms.add(class, wait_s * 1000.0);
    }
}

impl Scheduler {
    /// Prediction for a task: the job's estimate, or the recent median of its
    /// class, or of all, or else a lease.
    pub fn predict(&self, job: &Job) -> f64 {
        if job.spec.estimate_s > 0.0 || job.spec.shape == Shape::Service {
            return job.spec.estimate_s;
        }
        let median = |class: &str| {
            let recent = self.predictor.run_ms.of(class)?;
            Some(recent.value_at_quantile(0.5) as f64 / 1000.0)
        };
        median(&job.spec.class)
            .or_else(|| median(""))
            .unwrap_or(self.config.lease_s)
    }

    /// Remembers how long a task ran.
    pub(crate) fn record_run_time(&mut self, spec: &JobSpec, run_s: f64) {
        self.predictor.run_ms.add(&spec.class, run_s * 1000.0);
        if spec.estimate_s > 0.0 {
            let ratio = run_s / spec.estimate_s;
            self.predictor.ratio.add(&spec.class, ratio * 1000.0);
        }
    }
}
