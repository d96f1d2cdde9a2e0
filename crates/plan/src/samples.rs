//! Pairs of simulations, without the drain and with it, that use the same random numbers.

use crate::order::{Options, Order};
use crate::scenario::{JobOutcome, Outcome, Scenario};
use crate::simulation::run;
use foxspur::coordination::scheduler::snapshot::{SnapJob, Snapshot};
use foxspur::protocol::admin::Drain;
use rayon::prelude::*;
use std::collections::{BTreeSet, HashMap};

/// The time by which a job must be done, in seconds from the snapshot: the earliest deadline
/// that the service-level objectives of its class set, else the job's own deadline. `None` if
/// there is neither.
pub fn due_s(snapshot: &Snapshot, job: &SnapJob) -> Option<f64> {
    let spec = &job.spec;
    let class = Some(spec.class.as_str());
    let objectives = snapshot.objectives.iter();
    let objectives = objectives.filter(|objective| objective.class.as_deref() == class);
    let deadlines = objectives.filter_map(|objective| match objective.kind.as_str() {
        "deadline" => Some(spec.deadline_s? * objective.times.unwrap_or(1.0)),
        "finished" => objective.within_s,
        _ => None,
    });
    let earliest_s = deadlines.fold(f64::INFINITY, f64::min);
    let due_s = if earliest_s.is_finite() {
        Some(earliest_s)
    } else {
        spec.deadline_s
    };
    due_s.map(|due_s| due_s - job.age_s)
}

/// Jobs of the snapshot that miss their deadline during the simulation. A job that is not done
/// by the horizon counts as late if its deadline is earlier than the horizon. If its deadline
/// is later, whether the job misses it is unknown, and it does not count; the drain mostly
/// makes no difference then. A job whose deadline had passed at the snapshot does not count
/// either.
pub fn late_jobs(snapshot: &Snapshot, outcome: &Outcome, horizon_s: f64) -> BTreeSet<String> {
    let late = snapshot.jobs.iter().filter(|job| {
        let job_outcome = outcome.jobs.get(&job.spec.id);
        let end_s = job_outcome.and_then(|job| job.done_s).unwrap_or(horizon_s);
        due_s(snapshot, job).is_some_and(|due_s| end_s > due_s && due_s > 0.0)
    });
    late.map(|job| job.spec.id.clone()).collect()
}

/// The result of one simulation.
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

    /// CPU seconds lost by all jobs.
    pub fn lost_cpu_s(&self) -> f64 {
        self.outcome.jobs.values().map(|job| job.lost_cpu_s).sum()
    }

    /// The result for a job.
    pub fn job_outcome(&self, job: &str) -> JobOutcome {
        self.outcome.jobs.get(job).cloned().unwrap_or_default()
    }

    /// When the machine was proven empty.
    pub fn drained_s(&self, host: &str) -> Option<f64> {
        self.outcome.drained_s.get(host).copied()
    }
}

/// Two simulations with the same random numbers: without the drain, and with it.
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

/// When the drain of a machine starts, in seconds from the snapshot. Contains only machines
/// whose start time differs from the order's.
pub(crate) type DrainStarts<'a> = HashMap<&'a str, f64>;

/// The machines that fail in the simulations with a given seed, and when they fail.
pub(crate) type MachineFailures<'d> = dyn Fn(u64) -> Vec<(f64, String)> + Sync + 'd;

/// The input of a plan; its methods simulate the order and summarize the samples.
pub(crate) struct Planner<'a> {
    pub snapshot: &'a Snapshot,
    pub order: &'a Order,
    pub options: &'a Options,
}

impl Planner<'_> {
    /// When the drain of a machine starts, in seconds from the snapshot.
    pub fn start_s(&self, starts: &DrainStarts, host: &str) -> f64 {
        starts.get(host).copied().unwrap_or(self.order.start_s)
    }

    /// Simulates each sample without the drain and with it.
    pub fn simulate_pairs(
        &self,
        samples: u32,
        starts: &DrainStarts,
        failures: &MachineFailures,
    ) -> Vec<Pair> {
        let drains = self.drains(starts);
        let numbers = (0..u64::from(samples)).into_par_iter();
        let pairs = numbers.map(|number| {
            let seed = self.options.seed.wrapping_mul(1_000_003);
            let seed = seed.wrapping_add(number);
            let mut scenario = Scenario {
                drains: Vec::new(),
                failures: failures(seed),
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

    /// The drains of the order, each with its start time.
    fn drains(&self, starts: &DrainStarts) -> Vec<(f64, Drain)> {
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
