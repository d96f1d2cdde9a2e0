//! The scheduler's configuration, and upper bounds on durations that the workers' clocks
//! measure.

use crate::protocol::policy::Policy;
use crate::protocol::settings::{Objective, Settings, Team};

/// Time that a worker spends on one controller that does not respond: a time-out of 4 s, a
/// pause of 1 s before the next controller, and 1 s (a fifth of these) for slow packets.
const WORKER_TRY_S: f64 = 6.0;

/// Upper bound on the time, in seconds of this process's clock, after which a worker's lease
/// has ended: the lease plus 0.2 % (twice the bound on clock drift) plus 0.1 s for the
/// granularity of timers.
pub fn lease_with_margin_s(lease_s: f64) -> f64 {
    lease_s * 1.002 + 0.1
}

/// Upper bound on the time, in seconds, in which a worker that gets no response tries all
/// `nodes` controllers once.
pub fn worker_retry_round_s(nodes: usize) -> f64 {
    nodes as f64 * WORKER_TRY_S
}

/// The settings and the policy that the scheduler uses.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// Lease of a worker, in seconds. A worker that gets no reply for this long stops its
    /// tasks.
    pub lease_s: f64,
    /// Interval between heartbeats of a worker, in seconds.
    pub heartbeat_s: f64,
    /// Time, in seconds, within which all tasks of a cancelled job must have stopped.
    pub cancel_s: f64,
    /// Upper bound, in seconds, on the time between two tries of the same controller by a
    /// worker that gets no response from any.
    pub retry_round_s: f64,
    /// Teams with their guarantees and limits.
    pub teams: Vec<Team>,
    /// Service-level objectives of job classes.
    pub objectives: Vec<Objective>,
    /// Tunables of placement and preemption.
    pub policy: Policy,
}

impl SchedulerConfig {
    /// Takes the scheduler's part of the settings.
    pub fn new(settings: &Settings, policy: &Policy) -> SchedulerConfig {
        let workers = &settings.cluster.workers;
        SchedulerConfig {
            lease_s: workers.lease_s,
            heartbeat_s: workers.report_s,
            cancel_s: workers.cancel_s,
            retry_round_s: worker_retry_round_s(settings.cluster.nodes),
            teams: settings.cluster.teams.clone(),
            objectives: settings.cluster.objectives.clone(),
            policy: policy.clone(),
        }
    }

    /// A machine that has been silent for this many seconds gets no new tasks. Heartbeats
    /// come at most 1.25 heartbeat intervals apart. Twice that time means that a heartbeat
    /// was missed; the additional 0.5 s leaves time for one retry.
    pub fn silent_s(&self) -> f64 {
        2.5 * self.heartbeat_s + 0.5
    }
}
