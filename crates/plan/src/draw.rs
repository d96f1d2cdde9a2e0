//! How long tasks really run: drawn from the errors that estimates of their class turned out
//! to have; the same for a task in every simulation of one sample.

use foxspur::coordination::scheduler::snapshot::Snapshot;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Completed tasks from which on a class has a distribution of its own.
const MIN_KNOWN_TASKS: u64 = 20;
/// Without a distribution, an estimate is taken to be off by up to this factor either way,
/// every factor as likely as its inverse.
const UNKNOWN_FACTOR: f64 = 2.0;
/// The smallest ratio of run time to estimate.
const MIN_RATIO: f64 = 1e-3;
/// Steps of the bisection for the part of a distribution that is still possible.
const BISECTIONS: usize = 24;

/// Draws of one sample.
pub struct Draws {
    seed: u64,
    ratios: HashMap<String, Vec<f64>>,
}

/// The quantile `u` (0 to 1) of the distribution that these evenly spaced quantiles describe.
fn quantile(ratios: &[f64], u: f64) -> f64 {
    let place = u * ratios.len() as f64 - 0.5;
    let low = place.floor().clamp(0.0, (ratios.len() - 1) as f64) as usize;
    let high = (low + 1).min(ratios.len() - 1);
    let part = (place - low as f64).clamp(0.0, 1.0);
    ratios[low] + (ratios[high] - ratios[low]) * part
}

impl Draws {
    /// Draws from these ratios of run time to estimate, by class.
    pub fn from_ratios(seed: u64, ratios: HashMap<String, Vec<f64>>) -> Draws {
        Draws { seed, ratios }
    }

    /// Draws from what the snapshot knows of its classes.
    pub fn new(snapshot: &Snapshot, seed: u64) -> Draws {
        let known = snapshot.errors.iter();
        let known = known.filter(|e| e.tasks >= MIN_KNOWN_TASKS && !e.ratios.is_empty());
        Draws {
            seed,
            ratios: known.map(|e| (e.class.clone(), e.ratios.clone())).collect(),
        }
    }

    /// A number in 0..1 that belongs to this purpose and task in this sample.
    pub fn unit(&self, purpose: &str, job: &str, index: u32) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, purpose, job, index).hash(&mut hasher);
        SmallRng::seed_from_u64(hasher.finish()).random()
    }

    fn ratio(&self, class: &str, u: f64) -> f64 {
        let known = self.ratios.get(class).or_else(|| self.ratios.get(""));
        match known {
            Some(ratios) => quantile(ratios, u).max(MIN_RATIO),
            None => UNKNOWN_FACTOR.powf(2.0 * u - 1.0),
        }
    }

    /// For how many seconds the task runs in all, of which it has run `ran_s` already: drawn
    /// among the times longer than that, if there are any. The scheduler predicts
    /// `predicted_s`.
    pub fn run_s(&self, class: &str, job: &str, index: u32, predicted_s: f64, ran_s: f64) -> f64 {
        let u = self.unit("run", job, index);
        let first = predicted_s * self.ratio(class, u);
        if first > ran_s {
            return first;
        }
        // The part of the distribution above what it has run, by bisection.
        let (mut low, mut high) = (0.0, 1.0);
        for _ in 0..BISECTIONS {
            let mid = (low + high) / 2.0;
            if predicted_s * self.ratio(class, mid) > ran_s {
                high = mid;
            } else {
                low = mid;
            }
        }
        let longer = predicted_s * self.ratio(class, high + (1.0 - high) * u);
        if longer > ran_s {
            longer
        } else {
            // Longer than any known one: as long again, more or less.
            ran_s * (1.0 + 2.0 * u).max(1.05)
        }
    }
}
