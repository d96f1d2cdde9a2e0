//! Pairs of simulations, with the drain and without, under the same random numbers.

use crate::order::{Options, Order};
use crate::scenario::{JobEnd, Outcome, Scenario};
use crate::simulation::run;
use foxspur::coordination::scheduler::snapshot::{SnapJob, Snapshot};
use foxspur::protocol::admin::Drain;
use rayon::prelude::*;
use std::collections::{BTreeSet, HashMap};

/// When a job must be done, in seconds from the snapshot, if it has a deadline: the first
/// service-level objective of its class that asks for an end, or its own deadline.
pub fn due_s(snapshot: &Snapshot, job: &SnapJob) -> Option<f64> {
    let spec = &job.spec;
    let class = Some(spec.class.as_str());
    let objectives = snapshot.objectives.iter();
    let objectives = objectives.filter(|objective| objective.class.as_deref() == class);
    let ends = objectives.filter_map(|objective| match objective.kind.as_str() {
        "deadline" => Some(spec.deadline_s? * objective.times.unwrap_or(1.0)),
        "finished" => objective.within_s,
        _ => None,
    });
    let first = ends.fold(f64::INFINITY, f64::min);
    let due = if first.is_finite() {
        Some(first)
    } else {
        spec.deadline_s
    };
    due.map(|due| due - job.age_s)
}

/// Jobs of the snapshot that miss their deadline. One that is not done by the horizon is late
/// if its deadline is before that; else it cannot be told, and is mostly the same with the
/// drain and without.
pub fn late_jobs(snapshot: &Snapshot, outcome: &Outcome, horizon_s: f64) -> BTreeSet<String> {
    let late = snapshot.jobs.iter().filter(|job| {
        let end = outcome.jobs.get(&job.spec.id);
        let end_s = end.and_then(|end| end.done_s).unwrap_or(horizon_s);
        due_s(snapshot, job).is_some_and(|due| end_s > due && due > 0.0)
    });
    late.map(|job| job.spec.id.clone()).collect()
}

/// A simulation as far as plans look at it.
#[derive(Default)]
pub(crate) struct Sample {
    /// Jobs that miss their deadline.
    pub late: BTreeSet<String>,
    pub outcome: Outcome,
}

impl Sample {
    fn simulate(snapshot: &Snapshot, scenario: &Scenario, seed: u64) -> Sample {
        let outcome = run(snapshot, scenario, seed);
        Sample {
            late: late_jobs(snapshot, &outcome, scenario.horizon_s),
            outcome,
        }
    }

    /// CPU seconds lost, of all jobs.
    pub fn lost_cpu_s(&self) -> f64 {
        self.outcome.jobs.values().map(|end| end.lost_cpu_s).sum()
    }

    /// What came of a job.
    pub fn end(&self, job: &str) -> JobEnd {
        self.outcome.jobs.get(job).cloned().unwrap_or_default()
    }

    /// When the machine was proven empty.
    pub fn drained_s(&self, host: &str) -> Option<f64> {
        self.outcome.drained_s.get(host).copied()
    }
}

/// The same random numbers without the drain and with it.
pub(crate) struct Pair {
    pub without: Sample,
    pub with: Sample,
}

impl Pair {
    /// How many jobs miss their deadline because of the drain.
    pub fn late_because(&self) -> usize {
        self.with.late.difference(&self.without.late).count()
    }
}

/// When the drain of each machine starts, where that differs from the order's start.
pub(crate) type Starts<'a> = HashMap<&'a str, f64>;

/// Which machines die when, in the simulations of this seed.
pub(crate) type Deaths<'d> = dyn Fn(u64) -> Vec<(f64, String)> + Sync + 'd;

/// What a plan is made from.
pub(crate) struct Planner<'a> {
    pub snapshot: &'a Snapshot,
    pub order: &'a Order,
    pub options: &'a Options,
}

impl Planner<'_> {
    /// When the drain of a machine starts.
    pub fn start_s(&self, starts: &Starts, host: &str) -> f64 {
        starts.get(host).copied().unwrap_or(self.order.start_s)
    }

    /// Simulates without and with the drain.
    pub fn pairs(&self, samples: u32, starts: &Starts, deaths: &Deaths) -> Vec<Pair> {
        let drains = self.drains(starts);
        let numbers = (0..u64::from(samples)).into_par_iter();
        let pairs = numbers.map(|number| {
            let seed = self.options.seed.wrapping_mul(1_000_003);
            let seed = seed.wrapping_add(number);
            let mut scenario = Scenario {
                drains: Vec::new(),
                deaths: deaths(seed),
                arrivals: Vec::new(),
                horizon_s: self.options.horizon_s,
            };
            let without = Sample::simulate(self.snapshot, &scenario, seed);
            scenario.drains = drains.clone();
            let with = Sample::simulate(self.snapshot, &scenario, seed);
            Pair { without, with }
        });
        pairs.collect()
    }

    /// The drains of the order, each with its start.
    fn drains(&self, starts: &Starts) -> Vec<(f64, Drain)> {
        let drain = |host: &String| {
            let start_s = self.start_s(starts, host);
            let deadline_s = self.order.deadline_s.map(|deadline| start_s + deadline);
            let drain = Drain {
                host: host.clone(),
                order: "plan".into(),
                by: "plan".into(),
                why: "plan".into(),
                at_ms: 0,
                deadline_ms: deadline_s.map(|deadline| (deadline * 1000.0) as u64),
                rest: self.order.rest,
                drained: None,
                roll: None,
            };
            (start_s, drain)
        };
        self.order.hosts.iter().map(drain).collect()
    }
}
