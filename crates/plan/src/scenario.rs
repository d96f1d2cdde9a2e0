//! What a simulation is given and what comes of it. Times are seconds from the snapshot.

use foxspur::protocol::admin::Drain;
use foxspur::protocol::job::JobSpec;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// What happens in a simulation, with its times.
#[derive(Debug, Clone, Default)]
pub struct Scenario {
    /// Drains, and when each is ordered.
    pub drains: Vec<(f64, Drain)>,
    /// Machines that die, and when.
    pub deaths: Vec<(f64, String)>,
    /// Jobs that arrive, and when.
    pub arrivals: Vec<(f64, JobSpec)>,
    /// How long is simulated.
    pub horizon_s: f64,
}

/// What came of a job.
#[derive(Debug, Clone, Default)]
pub struct JobEnd {
    /// When all its tasks were completed, if within the horizon.
    pub done_s: Option<f64>,
    /// Starts, beyond one for each task that was not on a machine.
    pub starts: u32,
    /// CPU seconds that were done again.
    pub lost_cpu_s: f64,
}

/// What came of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    /// By job id.
    pub jobs: HashMap<String, JobEnd>,
    /// When each drained machine was proven empty.
    pub drained_s: HashMap<String, f64>,
    /// Free CPUs of machines in use, at each scheduling round.
    pub free: Vec<(f64, f64)>,
    /// What ran on the drained machines.
    pub spans: HashMap<String, Vec<Span>>,
    /// All starts, in their order.
    pub starts: Vec<TaskStart>,
    /// Violations of the scheduler's rules: none, or the simulation is worth nothing.
    pub violations: Vec<String>,
}

/// A time in which a task ran on a machine. Saved as an array in the order of its fields.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
#[serde(from = "(f64, f64, String, bool)", into = "(f64, f64, String, bool)")]
pub struct Span {
    /// When it began; before 0 if it ran already at the snapshot.
    pub from_s: f64,
    /// When it ended.
    pub to_s: f64,
    /// The task's job.
    pub job: String,
    /// Whether the task was completed.
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
    /// When.
    pub at_s: f64,
    /// The machine's name.
    pub machine: String,
    /// The job's id.
    pub job: String,
    /// The task's index in the job.
    pub index: u32,
}
