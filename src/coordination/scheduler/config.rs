//! The scheduler's configuration, and upper bounds on durations that the workers' clocks
//! measure.

use crate::protocol::policy::Policy;
use crate::protocol::settings::{Objective, Settings, Team};

/// Time, in seconds, that a worker spends on one controller that does not respond: a time-out
/// of 4 s, a pause of 1 s before the next controller, and a fifth of this sum (1 s) for slow
/// packets.
const WORKER_TRY_S: f64 = 6.0;

/// Upper bound on the duration of a worker's lease of `lease_s` seconds, in seconds of this
/// process's clock: the lease plus 0.2 % (twice the bound on clock drift) plus 0.1 s for the
/// granularity of timers.
pub fn lease_with_margin_s(lease_s: f64) -> f64 {
    lease_s * 1.002 + 0.1
}

/// Upper bound on the time, in seconds, that a worker needs to try each of `nodes` controllers
/// once while none of them responds.
pub fn worker_retry_round_s(nodes: usize) -> f64 {
    nodes as f64 * WORKER_TRY_S
}

/// The settings and the policy that the scheduler uses.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// Duration of a worker's lease, in seconds. A worker that gets no reply for this duration
    /// stops its tasks.
    pub lease_s: f64,
    /// Interval between heartbeats of a worker, in seconds.
    pub heartbeat_s: f64,
    /// Time, in seconds, within which all tasks of a cancelled job must have stopped.
    pub cancel_s: f64,
    /// Upper bound, in seconds, on the time that a worker needs to try each controller once
    /// while none of them responds.
    pub retry_round_s: f64,
    /// Teams with their guarantees and limits.
    pub teams: Vec<Team>,
    /// Service-level objectives of job classes.
    pub objectives: Vec<Objective>,
    /// Tunables of placement and preemption.
    pub policy: Policy,
}

impl SchedulerConfig {
    /// Creates the scheduler's configuration from the settings and the policy.
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

    /// Duration of silence, in seconds, after which no new tasks start on a machine. Two
    /// heartbeats are at most 1.25 heartbeat intervals apart, so a silence of 2.5 intervals
    /// means that a heartbeat was missed. The additional 0.5 s leave time for one retry.
    pub fn silent_s(&self) -> f64 {
        2.5 * self.heartbeat_s + 0.5
    }
}
