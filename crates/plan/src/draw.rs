//! Random run times of tasks, drawn from the estimate errors observed for their class. A task
//! has the same run time in every simulation of one sample.

use foxspur::coordination::scheduler::snapshot::Snapshot;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The number of completed tasks from which on a class's own error distribution is used.
const MIN_COMPLETED_TASKS: u64 = 20;
/// Without an error distribution, run times are drawn log-uniformly between the estimate divided
/// by this factor and the estimate times this factor.
const DEFAULT_ERROR_FACTOR: f64 = 2.0;
/// The smallest ratio of run time to estimate.
const MIN_RATIO: f64 = 1e-3;
/// Steps of the bisection for the smallest quantile that exceeds the elapsed run time.
const BISECTION_STEPS: usize = 24;

/// The random numbers of one sample.
pub struct Draws {
    seed: u64,
    ratios: HashMap<String, Vec<f64>>,
}

/// The quantile `u` (0 to 1) of a distribution that is given by evenly spaced quantiles, by
/// linear interpolation.
fn quantile(ratios: &[f64], u: f64) -> f64 {
    let position = u * ratios.len() as f64 - 0.5;
    let low = position.floor().clamp(0.0, (ratios.len() - 1) as f64) as usize;
    let high = (low + 1).min(ratios.len() - 1);
    let fraction = (position - low as f64).clamp(0.0, 1.0);
    ratios[low] + (ratios[high] - ratios[low]) * fraction
}

impl Draws {
    /// Draws run times from these distributions: by class, evenly spaced quantiles of the ratio
    /// of run time to estimate.
    pub fn from_ratios(seed: u64, ratios: HashMap<String, Vec<f64>>) -> Draws {
        Draws { seed, ratios }
    }

    /// Draws run times from the snapshot's error distributions.
    pub fn new(snapshot: &Snapshot, seed: u64) -> Draws {
        let known = snapshot.errors.iter();
        let known =
            known.filter(|error| error.tasks >= MIN_COMPLETED_TASKS && !error.ratios.is_empty());
        Draws {
            seed,
            ratios: known
                .map(|error| (error.class.clone(), error.ratios.clone()))
                .collect(),
        }
    }

    /// A random number from 0 to 1 (exclusive) that depends only on the sample's seed, the
    /// purpose and the task.
    pub fn unit(&self, purpose: &str, job: &str, index: u32) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, purpose, job, index).hash(&mut hasher);
        SmallRng::seed_from_u64(hasher.finish()).random()
    }

    /// The quantile `u` of the class's ratio of run time to estimate. A class without a
    /// distribution uses the one without a class name, if there is one.
    fn ratio(&self, class: &str, u: f64) -> f64 {
        let known = self.ratios.get(class).or_else(|| self.ratios.get(""));
        match known {
            Some(ratios) => quantile(ratios, u).max(MIN_RATIO),
            None => DEFAULT_ERROR_FACTOR.powf(2.0 * u - 1.0),
        }
    }

    /// The total run time of a task that has already run for `ran_s` seconds and for which the
    /// scheduler predicts `predicted_s`. The result exceeds `ran_s`: if the first draw does not,
    /// the run time is drawn again from the part of the distribution above `ran_s`.
    pub fn run_s(&self, class: &str, job: &str, index: u32, predicted_s: f64, ran_s: f64) -> f64 {
        let u = self.unit("run", job, index);
        let run_s = predicted_s * self.ratio(class, u);
        if run_s > ran_s {
            return run_s;
        }
        // Find the smallest quantile that exceeds the elapsed run time.
        let (mut low, mut high) = (0.0, 1.0);
        for _ in 0..BISECTION_STEPS {
            let mid = (low + high) / 2.0;
            if predicted_s * self.ratio(class, mid) > ran_s {
                high = mid;
            } else {
                low = mid;
            }
        }
        let longer_s = predicted_s * self.ratio(class, high + (1.0 - high) * u);
        if longer_s > ran_s {
            longer_s
        } else {
            // The task has run longer than its class's distribution allows. Take 1.05 to 3
            // times the elapsed run time.
            ran_s * (1.0 + 2.0 * u).max(1.05)
        }
    }
}
