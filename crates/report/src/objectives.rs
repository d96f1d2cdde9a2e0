//! The parts of a day's report that this crate uses: the service-level objectives and the
//! proportion that met each of them.

use serde::Deserialize;
use std::collections::BTreeMap;

/// An entry of the report for an objective of any kind.
#[derive(Debug, Clone, Deserialize)]
pub struct Target {
    /// Kind of the objective. Kinds other than `deadline` and `finished` are ignored.
    pub kind: String,
    /// The class of jobs that the objective applies to.
    pub class: Option<String>,
    /// Multiple of the deadline, for objectives of kind `deadline`; 1 if it is missing.
    pub times: Option<f64>,
    /// Seconds from submission, for objectives of kind `finished`.
    pub within_s: Option<f64>,
    /// The proportion of jobs that met the objective, if the objective is a proportion.
    pub value: Option<f64>,
}

/// Counts of the jobs and tasks of a class.
#[derive(Debug, Clone, Deserialize)]
pub struct ClassReport {
    /// Jobs submitted.
    pub jobs: u64,
    /// Tasks of these jobs.
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
    /// Counts by class.
    pub classes: BTreeMap<String, ClassReport>,
}

/// An objective for the completion time of jobs.
#[derive(Debug, Clone, PartialEq)]
pub enum Objective {
    /// A job is done within this multiple of its deadline.
    Deadline(f64),
    /// A job is done within this many seconds.
    Finished(f64),
}

impl Objective {
    /// When a job with this deadline is due, in seconds from submission. A deadline of 0 means that
    /// the job has none; then an objective by the deadline returns `None`.
    pub fn due_s(&self, deadline_s: f64) -> Option<f64> {
        match self {
            Objective::Deadline(times) if deadline_s > 0.0 => Some(times * deadline_s),
            Objective::Deadline(_) => None,
            Objective::Finished(within_s) => Some(*within_s),
        }
    }

    /// The name of the objective in tables.
    pub fn name(&self) -> String {
        match self {
            Objective::Deadline(times) => format!("{times}x deadline"),
            Objective::Finished(within_s) => format!("{within_s} s"),
        }
    }
}

impl Target {
    /// The completion-time objective of this entry, if its kind is one.
    fn objective(&self) -> Option<Objective> {
        match self.kind.as_str() {
            "deadline" => Some(Objective::Deadline(self.times.unwrap_or(1.0))),
            "finished" => self.within_s.map(Objective::Finished),
            _ => None,
        }
    }
}

/// An objective and the proportion of jobs that met it according to the report.
#[derive(Debug, Clone, PartialEq)]
pub struct Reported {
    /// The objective.
    pub objective: Objective,
    /// From 0 to 1.
    pub proportion: f64,
}

impl Report {
    /// The completion-time objectives of each class, with the reported proportions.
    pub fn objectives(&self) -> BTreeMap<String, Vec<Reported>> {
        let mut by_class: BTreeMap<String, Vec<Reported>> = BTreeMap::new();
        for target in &self.targets {
            let fields = (target.objective(), &target.class, target.value);
            if let (Some(objective), Some(class), Some(proportion)) = fields {
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
