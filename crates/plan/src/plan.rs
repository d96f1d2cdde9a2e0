//! A plan: what a drain would do, as probabilities over many runs.

use crate::planner::Planner;
use foxspur::coordination::scheduler::snapshot::{SnapJob, Snapshot};
use foxspur::protocol::admin::Rest;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What is to be planned.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Order {
    pub hosts: Vec<String>,
    /// Seconds from its start until the drain should be over.
    pub deadline_s: Option<f64>,
    pub rest: Rest,
    /// Seconds from the snapshot until it starts.
    pub start_s: f64,
}

/// How it is planned.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Options {
    pub seed: u64,
    /// Runs, each with and without the drain.
    pub samples: u32,
    /// How far ahead is looked.
    pub horizon_s: f64,
    /// Within how many seconds the drain may start; 0 leaves the start as it is.
    pub window_s: f64,
    /// Whether to look at what a second failure changes.
    pub failures: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            seed: 1,
            samples: 60,
            horizon_s: 3600.0,
            window_s: 0.0,
            failures: true,
        }
    }
}

/// Why there is no plan.
#[derive(thiserror::Error, Debug, PartialEq)]
pub enum PlanError {
    #[error("hosts: no machine {0} is in use")]
    Unknown(String),
    #[error("hosts: {0} is not heard of now: what is on it cannot be told")]
    Silent(String),
    #[error("hosts: names no machine")]
    Nothing,
    #[error("{0}: {1}")]
    Field(&'static str, &'static str),
}

/// Where a figure lies over the runs.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Default)]
pub struct Range {
    pub p50: f64,
    pub p90: f64,
}

/// A machine to be drained.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct HostPlan {
    pub host: String,
    pub zone: String,
    /// Attempts on it at the snapshot.
    pub tasks: usize,
    /// From the drain's start until it is proven empty, in runs where it is.
    pub drained_s: Option<Range>,
    /// Share of runs in which it is not drained within its deadline (or the
    /// horizon, without one).
    pub overdue: f64,
}

/// A job for which the drain makes a difference, or that is late anyway.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct JobPlan {
    pub id: String,
    pub class: String,
    /// Shares of runs: tasks are moved; it ends later by a tenth of what it had
    /// left, and by more than a beat; its deadline is missed because of the
    /// drain, and without it just as well.
    pub moved: f64,
    pub waits: f64,
    pub late_because: f64,
    pub late_anyway: f64,
    /// On average: CPU seconds done again, and by how much later it ends.
    pub lost_cpu_s: f64,
    pub later_s: f64,
}

/// A class of jobs, on average over the runs.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct ClassPlan {
    pub class: String,
    pub jobs: usize,
    pub late_without: f64,
    pub late_with: f64,
}

/// A way to do it, or a thing that goes wrong meanwhile.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Variant {
    pub name: String,
    /// Deadlines missed because of the drain, on average, and the share of runs
    /// in which there is any.
    pub late: f64,
    pub any_late: f64,
    pub lost_cpu_s: f64,
    /// From the snapshot until all machines are drained.
    pub drained_s: Option<Range>,
    pub overdue: f64,
}

/// A value over time: seconds, value.
pub type Series = Vec<(f64, f64)>;

/// What one run showed, for pictures.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq, Default)]
pub struct Picture {
    /// What runs on each drained machine: from, to, job, whether it ended done.
    pub machines: BTreeMap<String, Vec<(f64, f64, String, bool)>>,
    pub drained_s: BTreeMap<String, f64>,
    /// Free CPUs over time, without and with the drain.
    pub free: (Series, Series),
}

/// A plan.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Plan {
    /// Term and revision of the state that it was made from, and when.
    pub term: u64,
    pub revision: u64,
    pub at_ms: u64,
    pub order: Order,
    pub options: Options,
    pub jobs_live: usize,
    pub machines: usize,
    pub hosts: Vec<HostPlan>,
    pub jobs: Vec<JobPlan>,
    pub classes: Vec<ClassPlan>,
    pub all: Variant,
    /// What is not named happens with less than this probability, at 95%.
    pub unnamed_below: f64,
    pub starts: Vec<Variant>,
    pub failures: Vec<Variant>,
    pub picture: Picture,
}

/// Due time of a job in a run's time, if it has a deadline: the first of its
/// class's aims that ask for an end, or its own.
pub fn due_s(snapshot: &Snapshot, job: &SnapJob) -> Option<f64> {
    let spec = &job.spec;
    let own = snapshot.objectives.iter();
    let own = own.filter(|o| o.class.as_deref() == Some(spec.class.as_str()));
    let aims = own.filter_map(|o| match o.kind.as_str() {
        "deadline" => Some(spec.deadline_s? * o.times.unwrap_or(1.0)),
        "finished" => o.within_s,
        _ => None,
    });
    let first = aims.fold(f64::INFINITY, f64::min);
    let due = if first.is_finite() {
        Some(first)
    } else {
        spec.deadline_s
    };
    due.map(|d| d - job.age_s)
}

fn check(snapshot: &Snapshot, order: &Order, options: &Options) -> Result<(), PlanError> {
    if order.hosts.is_empty() {
        return Err(PlanError::Nothing);
    }
    for host in &order.hosts {
        match snapshot.machines.iter().find(|m| m.info.id == *host) {
            None => return Err(PlanError::Unknown(host.clone())),
            Some(m) if !m.alive => return Err(PlanError::Silent(host.clone())),
            Some(_) => {}
        }
    }
    let positive = |v: f64| v.is_finite() && v > 0.0;
    if order.deadline_s.is_some_and(|d| !positive(d)) {
        return Err(PlanError::Field("deadline", "is not above 0"));
    }
    if !positive(options.horizon_s) || options.horizon_s > 86_400.0 {
        return Err(PlanError::Field("horizon", "is not within 0 and a day"));
    }
    if options.samples == 0 || options.samples > 10_000 {
        return Err(PlanError::Field("samples", "is not within 1 and 10000"));
    }
    let latest = order.start_s + options.window_s;
    if order.start_s < 0.0 || options.window_s < 0.0 || latest >= options.horizon_s {
        return Err(PlanError::Field("start", "is not within the horizon"));
    }
    Ok(())
}

/// Plans the order from the snapshot.
pub fn plan(snapshot: &Snapshot, order: &Order, options: &Options) -> Result<Plan, PlanError> {
    check(snapshot, order, options)?;
    let planner = Planner {
        snapshot,
        order,
        options,
    };
    let starts = HashMap::new();
    let mut pairs = planner.pairs(options.samples, &starts, &|_| Vec::new());
    let all = planner.variant("the order as it is", &starts, &pairs);
    let hosts = planner.hosts(&pairs);
    let jobs = planner.jobs(&pairs);
    let classes = planner.classes(&pairs);
    let (without, with) = pairs.swap_remove(0);
    let picture = Picture {
        machines: with.outcome.past.into_iter().collect(),
        drained_s: with.outcome.drained_s.into_iter().collect(),
        free: (without.outcome.free, with.outcome.free),
    };
    let ends = all.drained_s.map_or(options.horizon_s, |r| r.p90);
    Ok(Plan {
        term: snapshot.term,
        revision: snapshot.revision,
        at_ms: snapshot.at_ms,
        order: order.clone(),
        options: options.clone(),
        jobs_live: snapshot.jobs.len(),
        machines: snapshot.machines.iter().filter(|m| m.alive).count(),
        hosts,
        jobs,
        classes,
        all,
        // The rule of three: nothing seen in n runs.
        unnamed_below: (3.0 / f64::from(options.samples)).min(1.0),
        starts: planner.starts(),
        failures: planner.failures((ends - order.start_s).max(1.0)),
        picture,
    })
}

/// What a newer plan of the same order says otherwise, in plain lines; nothing
/// if it is made from the same state.
pub fn difference(old: &Plan, new: &Plan) -> Vec<String> {
    let mut lines = Vec::new();
    if old.term != new.term {
        lines.push(format!("term: {} became {}", old.term, new.term));
    }
    if old.revision != new.revision {
        lines.push(format!(
            "revision: {} became {}",
            old.revision, new.revision
        ));
    }
    if lines.is_empty() {
        return lines;
    }
    let figure = |name: &str, a: f64, b: f64| {
        let apart = (a - b).abs() > 0.005 * a.abs().max(1.0);
        apart.then(|| format!("{name}: {a:.2} became {b:.2}"))
    };
    lines.extend(figure(
        "deadlines missed because of the drain",
        old.all.late,
        new.all.late,
    ));
    lines.extend(figure(
        "CPU seconds lost",
        old.all.lost_cpu_s,
        new.all.lost_cpu_s,
    ));
    let end = |p: &Plan| p.all.drained_s.map_or(f64::INFINITY, |r| r.p90);
    lines.extend(figure("drained after, s (p90)", end(old), end(new)));
    let named = |p: &Plan| -> BTreeSet<String> {
        let named = p.jobs.iter().filter(|j| j.late_because > 0.0);
        named.map(|j| j.id.clone()).collect()
    };
    let (a, b) = (named(old), named(new));
    let list = |ids: Vec<&String>| ids.into_iter().cloned().collect::<Vec<_>>().join(" ");
    if a != b {
        lines.push(format!(
            "may now miss their deadline: {}",
            list(b.difference(&a).collect())
        ));
        lines.push(format!("no longer: {}", list(a.difference(&b).collect())));
    }
    lines
}
