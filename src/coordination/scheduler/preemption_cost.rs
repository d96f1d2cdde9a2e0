//! What preempting a task costs, so that the cheapest victims are chosen.

use crate::coordination::scheduler::job::Job;
use crate::protocol::job::{JobSpec, Urgency};

/// Weight of a task that requires hardly any CPU or GPU.
const LEAST_WEIGHT: f64 = 0.1;

/// A grace is a little longer than writing a checkpoint takes, since machines differ.
const GRACE_MARGIN: f64 = 1.5;

/// Divisor of the cost of jobs that can meet no objective any more.
const LATE_JOB_DISCOUNT: f64 = 16.0;

/// When the capacity that a preemption frees is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FreedBy {
    /// Straight away: no checkpoint is written.
    AtOnce,
    /// After the task has had time to write a checkpoint.
    Checkpoint,
}

/// What stopping an attempt costs, and the grace to stop it with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct StopCost {
    /// Work lost, in CPU or GPU seconds.
    pub lost: f64,
    /// Grace in seconds; 0 to stop at once.
    pub grace_s: f64,
}

/// The cost of stopping a task that has run for `ran_s`. A task that writes checkpoints
/// does so, unless that takes longer than the work it would keep, or the capacity is
/// needed at once.
pub(crate) fn stop_cost(spec: &JobSpec, ran_s: f64, freed_by: FreedBy) -> StopCost {
    let weight = spec.cpus.max(spec.gpus).max(LEAST_WEIGHT);
    if spec.checkpoint_s <= 0.0 {
        return StopCost {
            lost: ran_s * weight,
            grace_s: 0.0,
        };
    }
    let unsaved_s = ran_s % spec.checkpoint_s;
    if freed_by == FreedBy::AtOnce || unsaved_s <= spec.save_s {
        return StopCost {
            lost: unsaved_s * weight,
            grace_s: 0.0,
        };
    }
    StopCost {
        lost: spec.save_s * weight,
        grace_s: spec.save_s * GRACE_MARGIN,
    }
}

/// How much more expensive stopping work of this job is than stopping idle work: a
/// guaranteed job may preempt any borrowed work, but should preempt the least urgent, and
/// jobs that are late anyway first.
pub(crate) fn cost_factor(victim: &Job) -> f64 {
    let by_urgency = match victim.spec.urgency {
        Urgency::Idle => 1.0,
        Urgency::Standard => 4.0,
        Urgency::High => 16.0,
        Urgency::Prod => 64.0,
    };
    if victim.claims.objective_reachable {
        by_urgency
    } else {
        by_urgency / LATE_JOB_DISCOUNT
    }
}
