//! The cost of preempting a task, by which the cheapest victims are chosen.

use crate::coordination::scheduler::job::Job;
use crate::protocol::job::{JobSpec, Urgency};

/// Lower bound on the weight of a task, for tasks that require hardly any CPU or GPU.
const MIN_TASK_WEIGHT: f64 = 0.1;

/// Ratio of the grace period to the expected time to write a checkpoint. The ratio is above 1
/// because writing takes longer on slow machines.
const GRACE_MARGIN: f64 = 1.5;

/// Divisor that reduces the cost factor of jobs that can no longer meet any objective.
const LATE_JOB_DISCOUNT: f64 = 16.0;

/// How attempts are stopped, depending on how soon their capacity is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopMode {
    /// The capacity is needed immediately, so no checkpoint is written.
    Immediate,
    /// The task gets time to write a checkpoint.
    Checkpoint,
}

/// The work lost by stopping an attempt, and the grace period for the stop.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct StopCost {
    /// Work lost, in CPU or GPU seconds.
    pub lost_work: f64,
    /// Grace period in seconds; 0 to stop the attempt immediately.
    pub grace_s: f64,
}

/// The cost of stopping a task that has run for `ran_s` seconds. A task that supports
/// checkpoints writes a checkpoint before it stops, unless the capacity is needed immediately or
/// writing the checkpoint would take at least as long as repeating the unsaved work.
pub(crate) fn stop_cost(spec: &JobSpec, ran_s: f64, stop_mode: StopMode) -> StopCost {
    let weight = spec.cpus.max(spec.gpus).max(MIN_TASK_WEIGHT);
    if spec.checkpoint_s <= 0.0 {
        return StopCost {
            lost_work: ran_s * weight,
            grace_s: 0.0,
        };
    }
    let unsaved_s = ran_s % spec.checkpoint_s;
    if stop_mode == StopMode::Immediate || unsaved_s <= spec.save_s {
        return StopCost {
            lost_work: unsaved_s * weight,
            grace_s: 0.0,
        };
    }
    StopCost {
        lost_work: spec.save_s * weight,
        grace_s: spec.save_s * GRACE_MARGIN,
    }
}

/// Factor by which stopping work of this job is more expensive than stopping work of urgency
/// `idle`. A guaranteed job may preempt any borrowed work, but should first preempt the work of
/// lowest urgency and jobs that can no longer meet any of their objectives.
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
