//! The input and the result of a simulation. Times are seconds from the snapshot.

use foxspur::protocol::admin::Drain;
use foxspur::protocol::job::JobSpec;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// The external events of a simulation.
#[derive(Debug, Clone, Default)]
pub struct Scenario {
    /// Drains, and when each of them is ordered.
    pub drains: Vec<(f64, Drain)>,
    /// Names of machines that fail permanently, and when.
    pub failures: Vec<(f64, String)>,
    /// Jobs that are accepted, and when.
    pub arrivals: Vec<(f64, JobSpec)>,
    /// The simulated time, in seconds.
    pub horizon_s: f64,
}

/// The result for one job.
#[derive(Debug, Clone, Default)]
pub struct JobOutcome {
    /// When all its tasks were completed, if that was within the horizon.
    pub done_s: Option<f64>,
    /// Starts of its tasks during the simulation. A task that the snapshot shows on a machine
    /// counts only if it is started again.
    pub starts: u32,
    /// CPU seconds lost because attempts were stopped.
    pub lost_cpu_s: f64,
}

/// The result of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    /// The results for jobs, by job id.
    pub jobs: HashMap<String, JobOutcome>,
    /// When each drained machine was proven empty.
    pub drained_s: HashMap<String, f64>,
    /// The time of each scheduling round, and the free CPUs of machines in use then.
    pub free_cpus: Vec<(f64, f64)>,
    /// The periods in which tasks ran on each drained machine.
    pub spans: HashMap<String, Vec<Span>>,
    /// All starts of tasks, in chronological order.
    pub starts: Vec<TaskStart>,
    /// Violations of the scheduler's rules. If there are any, the result is invalid.
    pub violations: Vec<String>,
}

/// A period in which a task ran on a machine. Serialized as an array in the order of the fields.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
#[serde(from = "(f64, f64, String, bool)", into = "(f64, f64, String, bool)")]
pub struct Span {
    /// When the period began; 0 for a task that already ran when the snapshot was taken.
    pub from_s: f64,
    /// When the period ended.
    pub to_s: f64,
    /// The task's job.
    pub job: String,
    /// Whether the task was completed at the end of the period.
    pub completed: bool,
}

impl From<(f64, f64, String, bool)> for Span {
    fn from((from_s, to_s, job, completed): (f64, f64, String, bool)) -> Span {
        Span {
            from_s,
            to_s,
            job,
            completed,
        }
    }
}

impl From<Span> for (f64, f64, String, bool) {
    fn from(span: Span) -> Self {
        (span.from_s, span.to_s, span.job, span.completed)
    }
}

/// A start of a task.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskStart {
    /// When the task started.
    pub at_s: f64,
    /// The name of the machine.
    pub machine: String,
    /// The job's id.
    pub job: String,
    /// The task's index in the job.
    pub index: u32,
}
