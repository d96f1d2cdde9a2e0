//! Makes a plan: checks the order, simulates it, and summarizes the samples.

use crate::order::{Options, Order, PlanError};
use crate::plan::{Plan, SampleTrace};
use crate::samples::{Pair, Planner};
use foxspur::coordination::scheduler::snapshot::Snapshot;
use std::collections::HashMap;

/// Numerator of the rule of three: an event that occurred in none of n samples has a
/// probability below 3 / n, at a confidence of 95%.
const RULE_OF_THREE: f64 = 3.0;
/// The shortest period in which failures of other machines are simulated, in seconds.
const MIN_FAILURE_WINDOW_S: f64 = 1.0;

/// Predicts the effects of the order, starting from the snapshot.
///
/// # Errors
///
/// If the order names no machine, names a machine that the snapshot does not contain or that
/// sends no heartbeats, or if a field is out of range.
pub fn plan(snapshot: &Snapshot, order: &Order, options: &Options) -> Result<Plan, PlanError> {
    order.check(snapshot, options)?;
    let planner = Planner {
        snapshot,
        order,
        options,
    };
    let starts = HashMap::new();
    let mut pairs = planner.simulate_pairs(options.samples, &starts, &|_| Vec::new());
    let all = planner.variant("the order as it is", &starts, &pairs);
    let hosts = planner.hosts(&pairs);
    let jobs = planner.jobs(&pairs);
    let classes = planner.classes(&pairs);
    let picture = sample_trace(pairs.swap_remove(0));
    let drained_s = all.drained_s.map_or(options.horizon_s, |range| range.p90);
    let failure_window_s = (drained_s - order.start_s).max(MIN_FAILURE_WINDOW_S);
    Ok(Plan {
        term: snapshot.term,
        revision: snapshot.revision,
        at_ms: snapshot.at_ms,
        order: order.clone(),
        options: options.clone(),
        jobs_live: snapshot.jobs.len(),
        machines: snapshot
            .machines
            .iter()
            .filter(|machine| machine.alive)
            .count(),
        hosts,
        jobs,
        classes,
        all,
        unnamed_below: (RULE_OF_THREE / f64::from(options.samples)).min(1.0),
        starts: planner.start_variants(),
        failures: planner.failure_variants(failure_window_s),
        picture,
    })
}

fn sample_trace(pair: Pair) -> SampleTrace {
    let (without, with) = (pair.without.outcome, pair.with.outcome);
    SampleTrace {
        machines: with.spans.into_iter().collect(),
        drained_s: with.drained_s.into_iter().collect(),
        free: (without.free_cpus, with.free_cpus),
    }
}
