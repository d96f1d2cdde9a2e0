//! Statistics of finished tasks: how long those of a class run, by how much their estimates
//! are off, and how long jobs wait for their first task.

use hdrhistogram::Histogram;
use std::collections::HashMap;

/// Bound on the classes remembered, at some 30 KB each: users choose their names. It need
/// not grow with the fleet; for any more the distribution of all classes is used.
const MAX_CLASSES: usize = 256;

/// Count of values after which a class's distribution begins anew, so that old ones fade.
const MAX_RECENT_VALUES: u64 = 500;

/// Largest value that a distribution distinguishes: a day in milliseconds.
const MAX_VALUE: u64 = 86_400_000;

/// Significant decimal digits of the values.
const PRECISION_DIGITS: u8 = 2;

/// Name of the distribution over all classes.
pub(crate) const ALL_CLASSES: &str = "";

/// A distribution for each class, and one for all of them under the empty name.
#[derive(Debug, Default)]
pub struct ClassHistograms(HashMap<String, Histogram<u32>>);

impl ClassHistograms {
    /// Adds a value to the distribution of the class and to that of all classes.
    fn add(&mut self, class: &str, value: f64) {
        for class in [class, ALL_CLASSES] {
            let Some(histogram) = self.find_or_add(class) else {
                continue;
            };
            if histogram.len() > MAX_RECENT_VALUES {
                histogram.reset();
            }
            histogram.saturating_record(value.max(1.0) as u64);
        }
    }

    /// The distribution of the class; `None` if there are too many classes already.
    fn find_or_add(&mut self, class: &str) -> Option<&mut Histogram<u32>> {
        if !self.0.contains_key(class) {
            if self.0.len() >= MAX_CLASSES {
                return None;
            }
            let fresh = Histogram::new_with_bounds(1, MAX_VALUE, PRECISION_DIGITS).ok()?;
            self.0.insert(class.to_string(), fresh);
        }
        self.0.get_mut(class)
    }

    /// The distribution of a class, if anything is known of it.
    pub fn of(&self, class: &str) -> Option<&Histogram<u32>> {
        self.0.get(class).filter(|histogram| !histogram.is_empty())
    }

    /// All distributions with values, sorted by class.
    pub fn classes(&self) -> Vec<(&str, &Histogram<u32>)> {
        let known = self.0.iter().filter(|(_, h)| !h.is_empty());
        let mut classes: Vec<_> = known.map(|(name, h)| (name.as_str(), h)).collect();
        classes.sort_by_key(|(name, _)| *name);
        classes
    }
}

/// Statistics of finished tasks and begun jobs.
#[derive(Debug, Default)]
pub struct RunTimePredictor {
    /// Run times of tasks, in milliseconds.
    pub run_ms: ClassHistograms,
    /// Run times over estimates, in thousandths.
    pub ratio: ClassHistograms,
    /// Times from a job's acceptance until its first task was seen running, in milliseconds.
    pub wait_ms: ClassHistograms,
}

impl RunTimePredictor {
    /// Records how long a task of the class ran; an estimate of 0 is none.
    pub(crate) fn ran(&mut self, class: &str, run_s: f64, estimate_s: f64) {
        self.run_ms.add(class, run_s * 1000.0);
        if estimate_s > 0.0 {
            self.ratio.add(class, run_s / estimate_s * 1000.0);
        }
    }

    /// Records how long a job of the class waited for its first task.
    pub(crate) fn waited(&mut self, class: &str, wait_s: f64) {
        self.wait_ms.add(class, wait_s * 1000.0);
    }

    /// Recent median run time, in seconds, of tasks of the class, else of all classes.
    pub(crate) fn median_s(&self, class: &str) -> Option<f64> {
        let histogram = self.run_ms.of(class);
        let histogram = histogram.or_else(|| self.run_ms.of(ALL_CLASSES))?;
        Some(histogram.value_at_quantile(0.5) as f64 / 1000.0)
    }
}
