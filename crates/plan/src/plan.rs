//! A plan: what a drain would do, as statistics over many simulations. Data only; saved as
//! JSON.

use crate::order::{Options, Order};
use crate::scenario::Span;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Quantiles of a figure over the samples.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Default)]
pub struct Range {
    /// The median.
    pub p50: f64,
    /// Nine in ten are at most this.
    pub p90: f64,
}

/// A machine to be drained.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct HostPlan {
    /// Its name.
    pub host: String,
    /// Its zone.
    pub zone: String,
    /// Attempts on it at the snapshot.
    pub tasks: usize,
    /// Seconds from the drain's start until it is proven empty, in samples where it is.
    pub drained_s: Option<Range>,
    /// The proportion of samples in which it is not drained within its deadline (or the
    /// horizon, without one).
    pub overdue: f64,
}

/// A job for which the drain makes a difference, or that is late anyway. Proportions are of
/// the samples, from 0 to 1.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct JobPlan {
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Proportion in which tasks of it are moved.
    pub moved: f64,
    /// Proportion in which it ends later by a tenth of what it had left, and by more than a
    /// scheduling round.
    pub waits: f64,
    /// Proportion in which its deadline is missed because of the drain.
    pub late_because: f64,
    /// Proportion in which its deadline is missed without the drain as well.
    pub late_anyway: f64,
    /// CPU seconds that are done again, on average.
    pub lost_cpu_s: f64,
    /// By how many seconds it ends later, on average.
    pub later_s: f64,
}

/// A class of jobs, on average over the samples.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct ClassPlan {
    /// Its name.
    pub class: String,
    /// How many live jobs it has.
    pub jobs: usize,
    /// Jobs that miss their deadline without the drain.
    pub late_without: f64,
    /// Jobs that miss their deadline with the drain.
    pub late_with: f64,
}

/// A way to carry an order out, or a failure meanwhile.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Variant {
    /// What it is, for people.
    pub name: String,
    /// Deadlines missed because of the drain, on average.
    pub late: f64,
    /// The proportion of samples in which there is any.
    pub any_late: f64,
    /// CPU seconds that are done again, on average.
    pub lost_cpu_s: f64,
    /// Seconds from the snapshot until all machines are drained, in samples where they are.
    pub drained_s: Option<Range>,
    /// The proportion of samples in which not all machines are drained in time.
    pub overdue: f64,
}

/// A value over time: seconds, value.
pub type Series = Vec<(f64, f64)>;

/// The first sample, for pictures.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Default)]
pub struct Picture {
    /// What runs on each drained machine.
    pub machines: BTreeMap<String, Vec<Span>>,
    /// When each drained machine is proven empty, in seconds.
    pub drained_s: BTreeMap<String, f64>,
    /// Free CPUs over time, without and with the drain.
    pub free: (Series, Series),
}

/// A plan.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Plan {
    /// The leader's term when the snapshot was made.
    pub term: u64,
    /// The snapshot's revision.
    pub revision: u64,
    /// When the snapshot was made, in milliseconds of the time of day.
    pub at_ms: u64,
    /// What was planned.
    pub order: Order,
    /// How it was planned.
    pub options: Options,
    /// Live jobs of the snapshot.
    pub jobs_live: usize,
    /// Machines that send heartbeats.
    pub machines: usize,
    /// The machines to be drained.
    pub hosts: Vec<HostPlan>,
    /// Jobs that the drain affects, worst first.
    pub jobs: Vec<JobPlan>,
    /// All classes.
    pub classes: Vec<ClassPlan>,
    /// The order as it is.
    pub all: Variant,
    /// What is not named happens with less than this probability, at 95%.
    pub unnamed_below: f64,
    /// Other starts, best first.
    pub starts: Vec<Variant>,
    /// Failures of other machines meanwhile.
    pub failures: Vec<Variant>,
    /// One sample in pictures.
    pub picture: Picture,
}
