//! The report of a played day, as far as it is needed: the aims, and what each
//! class reached.

use serde::Deserialize;
use std::collections::BTreeMap;

/// An aim and what was reached of it.
#[derive(Debug, Clone, Deserialize)]
pub struct Target {
    pub kind: String,
    pub class: Option<String>,
    /// Of the deadline, for aims of that kind.
    pub times: Option<f64>,
    /// Seconds from submission.
    pub within_s: Option<f64>,
    /// The share reached, for aims that are shares.
    pub value: Option<f64>,
}

/// What a class came to.
#[derive(Debug, Clone, Deserialize)]
pub struct ClassReport {
    pub jobs: u64,
    pub tasks: u64,
    pub started: u64,
    pub done: u64,
    #[serde(default)]
    pub cancelled: u64,
}

/// A day.
#[derive(Debug, Clone, Deserialize)]
pub struct Report {
    pub scenario: String,
    pub seed: u64,
    pub ends_s: f64,
    pub targets: Vec<Target>,
    pub classes: BTreeMap<String, ClassReport>,
}

/// A finishing aim of a class.
#[derive(Debug, Clone, PartialEq)]
pub enum Aim {
    /// Done by so many times its deadline.
    Deadline(f64),
    /// Done within so many seconds.
    Finished(f64),
}

impl Aim {
    /// When a job with this deadline is due, in seconds from submission; `None`
    /// without a deadline to go by.
    pub fn due_s(&self, deadline_s: f64) -> Option<f64> {
        match self {
            Aim::Deadline(times) if deadline_s > 0.0 => Some(times * deadline_s),
            Aim::Deadline(_) => None,
            Aim::Finished(within_s) => Some(*within_s),
        }
    }
    /// How it is called in tables.
    pub fn name(&self) -> String {
        match self {
            Aim::Deadline(times) => format!("{times}x deadline"),
            Aim::Finished(within_s) => format!("{within_s} s"),
        }
    }
}

impl Report {
    /// The finishing aims of each class with the share reached.
    pub fn aims(&self) -> BTreeMap<String, Vec<(Aim, f64)>> {
        let mut all: BTreeMap<String, Vec<(Aim, f64)>> = BTreeMap::new();
        for target in &self.targets {
            let aim = match target.kind.as_str() {
                "deadline" => Aim::Deadline(target.times.unwrap_or(1.0)),
                "finished" => match target.within_s {
                    Some(within_s) => Aim::Finished(within_s),
                    None => continue,
                },
                _ => continue,
            };
            if let (Some(class), Some(value)) = (&target.class, target.value) {
                all.entry(class.clone()).or_default().push((aim, value));
            }
        }
        all
    }
}
