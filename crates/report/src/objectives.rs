//! The report of a day's run as far as it is needed: the service-level objectives, and what
//! was reached of each.

use serde::Deserialize;
use std::collections::BTreeMap;

/// An objective as the report has it, of any kind.
#[derive(Debug, Clone, Deserialize)]
pub struct Target {
    /// `deadline` and `finished` are objectives of this crate; others are passed over.
    pub kind: String,
    /// The class of jobs that it is for.
    pub class: Option<String>,
    /// Multiple of the deadline, for objectives of that kind.
    pub times: Option<f64>,
    /// Seconds from submission.
    pub within_s: Option<f64>,
    /// The proportion reached, for objectives that are proportions.
    pub value: Option<f64>,
}

/// What a class came to, in jobs and tasks.
#[derive(Debug, Clone, Deserialize)]
pub struct ClassReport {
    /// Jobs submitted.
    pub jobs: u64,
    /// Their tasks.
    pub tasks: u64,
    /// Starts of tasks.
    pub started: u64,
    /// Jobs done.
    pub done: u64,
    /// Jobs cancelled.
    #[serde(default)]
    pub cancelled: u64,
}

/// The report of a day's run.
#[derive(Debug, Clone, Deserialize)]
pub struct Report {
    /// Name of the day.
    pub scenario: String,
    /// Seed of the day's arrivals.
    pub seed: u64,
    /// When the run ended, in seconds from its start.
    pub ends_s: f64,
    /// All objectives.
    pub targets: Vec<Target>,
    /// By class.
    pub classes: BTreeMap<String, ClassReport>,
}

/// An objective for the end of a class's jobs.
#[derive(Debug, Clone, PartialEq)]
pub enum Objective {
    /// Done by so many times its deadline.
    Deadline(f64),
    /// Done within so many seconds.
    Finished(f64),
}

impl Objective {
    /// When a job with this deadline is due, in seconds from submission; `None` without a
    /// deadline to go by.
    pub fn due_s(&self, deadline_s: f64) -> Option<f64> {
        match self {
            Objective::Deadline(times) if deadline_s > 0.0 => Some(times * deadline_s),
            Objective::Deadline(_) => None,
            Objective::Finished(within_s) => Some(*within_s),
        }
    }

    /// Its name in tables.
    pub fn name(&self) -> String {
        match self {
            Objective::Deadline(times) => format!("{times}x deadline"),
            Objective::Finished(within_s) => format!("{within_s} s"),
        }
    }
}

impl Target {
    /// The objective for the end of jobs, if it is one.
    fn objective(&self) -> Option<Objective> {
        match self.kind.as_str() {
            "deadline" => Some(Objective::Deadline(self.times.unwrap_or(1.0))),
            "finished" => self.within_s.map(Objective::Finished),
            _ => None,
        }
    }
}

/// An objective and the proportion of jobs that met it by the report.
#[derive(Debug, Clone, PartialEq)]
pub struct Reported {
    /// The objective.
    pub objective: Objective,
    /// From 0 to 1.
    pub proportion: f64,
}

impl Report {
    /// The objectives for the end of jobs of each class, with what was reached.
    pub fn objectives(&self) -> BTreeMap<String, Vec<Reported>> {
        let mut by_class: BTreeMap<String, Vec<Reported>> = BTreeMap::new();
        for target in &self.targets {
            let parts = (target.objective(), &target.class, target.value);
            if let (Some(objective), Some(class), Some(proportion)) = parts {
                let reported = Reported {
                    objective,
                    proportion,
                };
                by_class.entry(class.clone()).or_default().push(reported);
            }
        }
        by_class
    }
}
