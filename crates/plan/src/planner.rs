//! Makes a plan: checks the order, simulates, and sums the samples up.

use crate::order::{Options, Order, PlanError};
use crate::plan::{Picture, Plan};
use crate::samples::{Pair, Planner};
use foxspur::coordination::scheduler::snapshot::Snapshot;
use std::collections::HashMap;

/// By the rule of three, what did not happen in n samples has a probability below this
/// divided by n, at 95%.
const RULE_OF_THREE: f64 = 3.0;
/// The shortest time within which failures of other machines are planned.
const MIN_FAILURE_WINDOW_S: f64 = 1.0;

/// Plans the order from the snapshot.
///
/// # Errors
///
/// If the order names no machine, or one that is not there or sends no heartbeats, or a field
/// is out of range.
pub fn plan(snapshot: &Snapshot, order: &Order, options: &Options) -> Result<Plan, PlanError> {
    order.check(snapshot, options)?;
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
    let picture = picture(pairs.swap_remove(0));
    let drained_s = all.drained_s.map_or(options.horizon_s, |range| range.p90);
    let failure_window_s = (drained_s - order.start_s).max(MIN_FAILURE_WINDOW_S);
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
        unnamed_below: (RULE_OF_THREE / f64::from(options.samples)).min(1.0),
        starts: planner.starts(),
        failures: planner.failures(failure_window_s),
        picture,
    })
}

fn picture(pair: Pair) -> Picture {
    let (without, with) = (pair.without.outcome, pair.with.outcome);
    Picture {
        machines: with.spans.into_iter().collect(),
        drained_s: with.drained_s.into_iter().collect(),
        free: (without.free, with.free),
    }
}
