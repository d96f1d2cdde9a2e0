//! Statistics by job class: run times of tasks, ratios of run times to estimates, and the time
//! that jobs wait until their first task runs.

use hdrhistogram::Histogram;
use std::collections::HashMap;

/// Maximum number of distributions, including the one over all classes, at about 30 KB each. Users
/// choose the names of classes, so the number of classes has no other limit. For classes without a
/// distribution the one over all classes is used, so the maximum need not grow with the fleet.
const MAX_CLASSES: usize = 256;

/// Number of values above which a distribution is reset, so that old values lose their influence.
const MAX_RECENT_VALUES: u64 = 500;

/// Largest value that a distribution records: a day in milliseconds. Larger values are recorded as
/// this value.
const MAX_HISTOGRAM_VALUE: u64 = 86_400_000;

/// Number of significant decimal digits to which a distribution records values.
const PRECISION_DIGITS: u8 = 2;

/// Name of the distribution over all classes.
pub(crate) const ALL_CLASSES: &str = "";

/// A distribution for each class, and one over all classes under the empty name.
#[derive(Debug, Default)]
pub struct ClassHistograms(HashMap<String, Histogram<u32>>);

impl ClassHistograms {
    /// Adds a value to the distribution of the class and to the distribution over all classes.
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

    /// The distribution of the class, added if there is none yet; `None` if it would have to be
    /// added and the maximum number of distributions is reached.
    fn find_or_add(&mut self, class: &str) -> Option<&mut Histogram<u32>> {
        if !self.0.contains_key(class) {
            if self.0.len() >= MAX_CLASSES {
                return None;
            }
            let empty =
                Histogram::new_with_bounds(1, MAX_HISTOGRAM_VALUE, PRECISION_DIGITS).ok()?;
            self.0.insert(class.to_string(), empty);
        }
        self.0.get_mut(class)
    }

    /// The distribution of a class; `None` if it has no values.
    pub fn of(&self, class: &str) -> Option<&Histogram<u32>> {
        self.0.get(class).filter(|histogram| !histogram.is_empty())
    }

    /// All distributions with values, sorted by class.
    pub fn classes(&self) -> Vec<(&str, &Histogram<u32>)> {
        let non_empty = self.0.iter().filter(|(_, histogram)| !histogram.is_empty());
        let mut classes: Vec<_> = non_empty
            .map(|(name, histogram)| (name.as_str(), histogram))
            .collect();
        classes.sort_by_key(|(name, _)| *name);
        classes
    }
}

/// Statistics of finished tasks and started jobs, from which run times are predicted.
#[derive(Debug, Default)]
pub struct RunTimePredictor {
    /// Run times of tasks, in milliseconds.
    pub run_ms: ClassHistograms,
    /// Run times of tasks divided by the estimates of their jobs, in thousandths.
    pub ratio: ClassHistograms,
    /// Times from a job's acceptance until its first task was seen running, in milliseconds.
    pub wait_ms: ClassHistograms,
}

impl RunTimePredictor {
    /// Records how long a task of the class ran. An `estimate_s` of 0 means that the job has no
    /// estimate.
    pub(crate) fn record_run(&mut self, class: &str, run_s: f64, estimate_s: f64) {
        self.run_ms.add(class, run_s * 1000.0);
        if estimate_s > 0.0 {
            self.ratio.add(class, run_s / estimate_s * 1000.0);
        }
    }

    /// Records how long a job of the class waited until its first task was seen running.
    pub(crate) fn record_wait(&mut self, class: &str, wait_s: f64) {
        self.wait_ms.add(class, wait_s * 1000.0);
    }

    /// Recent median run time of tasks of the class, in seconds, or the recent median over all
    /// classes if the class has no values; `None` if no run time is recorded.
    pub(crate) fn median_s(&self, class: &str) -> Option<f64> {
        let histogram = self.run_ms.of(class);
        let histogram = histogram.or_else(|| self.run_ms.of(ALL_CLASSES))?;
        Some(histogram.value_at_quantile(0.5) as f64 / 1000.0)
    }
}
