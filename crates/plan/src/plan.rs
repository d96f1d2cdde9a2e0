//! The data of a plan: the predicted effects of a drain, as statistics over many simulations.
//! Plans are saved as JSON.

use crate::order::{Options, Order};
use crate::scenario::Span;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Quantiles of a value over the samples.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Default)]
pub struct Range {
    /// The median.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
}

/// The predicted drain of one machine.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct HostPlan {
    /// The machine's name.
    pub host: String,
    /// The machine's zone.
    pub zone: String,
    /// Attempts on the machine when the snapshot was taken.
    pub tasks: usize,
    /// Seconds from the drain's start until the machine is proven empty, over the samples in
    /// which that happens.
    pub drained_s: Option<Range>,
    /// The proportion of samples in which the machine is not drained within the order's
    /// deadline, or within the horizon if the order has no deadline.
    pub overdue: f64,
}

/// A job that the drain affects, or that is late even without the drain. Proportions are
/// proportions of the samples, from 0 to 1.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct JobPlan {
    /// The job's id.
    pub id: String,
    /// The job's class.
    pub class: String,
    /// Proportion in which some of its tasks are moved.
    pub moved: f64,
    /// Proportion in which the drain delays the job's end by more than 10% of the time until
    /// its end without the drain, and by more than the longest interval between two scheduling
    /// rounds.
    pub waits: f64,
    /// Proportion in which the job misses its deadline only with the drain.
    pub late_because: f64,
    /// Proportion in which the job misses its deadline even without the drain.
    pub late_anyway: f64,
    /// Mean CPU seconds lost because of the drain.
    pub lost_cpu_s: f64,
    /// Mean delay of the job's end because of the drain, in seconds.
    pub later_s: f64,
}

/// Late jobs of a class, as means over the samples.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct ClassPlan {
    /// The name of the class.
    pub class: String,
    /// The number of its live jobs.
    pub jobs: usize,
    /// Mean number of jobs that miss their deadline without the drain.
    pub late_without: f64,
    /// Mean number of jobs that miss their deadline with the drain.
    pub late_with: f64,
}

/// Statistics of one variant of the order: its own start times, other start times, or a failure
/// of another machine during the drain.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Variant {
    /// A description for the operator.
    pub name: String,
    /// Mean number of jobs that miss their deadline because of the drain.
    pub late: f64,
    /// The proportion of samples in which at least one job does.
    pub any_late: f64,
    /// Mean CPU seconds lost because of the drain.
    pub lost_cpu_s: f64,
    /// Seconds from the snapshot until all machines of the order are drained, over the samples
    /// in which that happens.
    pub drained_s: Option<Range>,
    /// The proportion of samples in which not all machines are drained by their deadline.
    pub overdue: f64,
}

/// A time series: pairs of the time in seconds from the snapshot and the value.
pub type Series = Vec<(f64, f64)>;

/// The course of the first sample, for the charts of the report.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Default)]
pub struct SampleTrace {
    /// The periods in which tasks ran on each drained machine.
    pub machines: BTreeMap<String, Vec<Span>>,
    /// When each drained machine is proven empty, in seconds from the snapshot.
    pub drained_s: BTreeMap<String, f64>,
    /// Free CPUs over time: without the drain, and with it.
    pub free: (Series, Series),
}

/// The predicted effects of an order.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Plan {
    /// The leader's term when the snapshot was taken.
    pub term: u64,
    /// The snapshot's revision.
    pub revision: u64,
    /// When the snapshot was taken, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The order that was simulated.
    pub order: Order,
    /// The options of the simulation.
    pub options: Options,
    /// The number of live jobs in the snapshot.
    pub jobs_live: usize,
    /// The number of machines that send heartbeats.
    pub machines: usize,
    /// The machines to be drained.
    pub hosts: Vec<HostPlan>,
    /// Jobs that the drain affects or that are late anyway; the most often late ones first.
    pub jobs: Vec<JobPlan>,
    /// Late jobs of all classes.
    pub classes: Vec<ClassPlan>,
    /// The order with its own start time, and without failures of other machines.
    pub all: Variant,
    /// Upper bound, at a confidence of 95%, of the probability of any event that occurred in no
    /// sample and is therefore not listed.
    pub unnamed_below: f64,
    /// Other start times, best first.
    pub starts: Vec<Variant>,
    /// Failures of other machines during the drain.
    pub failures: Vec<Variant>,
    /// The course of the first sample.
    pub picture: SampleTrace,
}
