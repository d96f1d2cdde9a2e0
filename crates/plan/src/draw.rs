//! How long tasks really run: drawn from what estimates of their class turned
//! out to be worth, the same for a task in every run of one sample.

use foxspur::coordination::scheduler::snapshot::Snapshot;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Finished tasks from which on a class speaks for itself.
const KNOWN: u64 = 20;
/// What an estimate is taken for where nothing is known: off by up to a factor
/// of two either way, every factor as likely as its inverse.
const UNKNOWN: f64 = 2.0;

/// Draws of one sample.
pub struct Draws {
    seed: u64,
    ratios: HashMap<String, Vec<f64>>,
}

/// A point of the distribution that these evenly spaced quantiles describe.
fn at(ratios: &[f64], u: f64) -> f64 {
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

    pub fn new(snapshot: &Snapshot, seed: u64) -> Draws {
        let known = snapshot.errors.iter();
        let known = known.filter(|e| e.tasks >= KNOWN && !e.ratios.is_empty());
        Draws {
            seed,
            ratios: known.map(|e| (e.class.clone(), e.ratios.clone())).collect(),
        }
    }

    /// A number in 0..1 that belongs to this name in this sample.
    pub fn unit(&self, what: &str, job: &str, index: u32) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, what, job, index).hash(&mut hasher);
        SmallRng::seed_from_u64(hasher.finish()).random()
    }

    fn ratio(&self, class: &str, u: f64) -> f64 {
        let known = self.ratios.get(class).or_else(|| self.ratios.get(""));
        match known {
            Some(ratios) => at(ratios, u).max(1e-3),
            None => UNKNOWN.powf(2.0 * u - 1.0),
        }
    }

    /// How long the task runs in all, of which it has run `ran_s` already: drawn
    /// among the times longer than that, if there are any.
    pub fn run_s(&self, class: &str, job: &str, index: u32, predicted_s: f64, ran_s: f64) -> f64 {
        let u = self.unit("run", job, index);
        let first = predicted_s * self.ratio(class, u);
        if first > ran_s {
            return first;
        }
        // The part of the distribution above what it has run, by bisection.
        let (mut low, mut high) = (0.0, 1.0);
        for _ in 0..24 {
            let mid = (low + high) / 2.0;
            if predicted_s * self.ratio(class, mid) > ran_s {
                high = mid;
            } else {
                low = mid;
            }
        }
        let rest = predicted_s * self.ratio(class, high + (1.0 - high) * u);
        if rest > ran_s {
            rest
        } else {
            // Longer than any known one: as long again, more or less.
            ran_s * (1.0 + 2.0 * u).max(1.05)
        }
    }
}
