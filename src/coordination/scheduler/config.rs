//! The scheduler's configuration, and the margins that are added to durations measured by
//! other machines' clocks.

use crate::protocol::policy::Policy;
use crate::protocol::settings::{Objective, Settings, Team};

/// How long a worker waits for an answer of a controller before it tries another one, and
/// pauses until it does, with a fifth for slow packets: 4 s, 1 s, and 1 s.
const WORKER_ATTEMPT_S: f64 = 6.0;

/// A lease with its safety margin: twice the bound on clock drift, and the granularity of
/// timers.
pub fn lease_with_margin_s(lease_s: f64) -> f64 {
    lease_s * 1.002 + 0.1
}

/// Upper bound on the time, in seconds, in which a worker that no controller answers has
/// tried all of them once.
pub fn round_s(nodes: usize) -> f64 {
    nodes as f64 * WORKER_ATTEMPT_S
}

/// What the scheduler needs of the settings.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// Lease of a worker, in seconds: without an answer for this long it stops its tasks.
    pub lease_s: f64,
    /// Interval of heartbeats, in seconds.
    pub heartbeat_s: f64,
    /// Deadline, in seconds, by which nothing of a cancelled job may run any more.
    pub cancel_s: f64,
    /// Upper bound, in seconds, on the time after which a worker that no controller
    /// answers tries the same controller again.
    pub retry_round_s: f64,
    /// Teams with their guarantees and limits.
    pub teams: Vec<Team>,
    /// Service-level objectives of job classes.
    pub objectives: Vec<Objective>,
    /// Tunables of placement and preemption.
    pub policy: Policy,
}

impl SchedulerConfig {
    /// The scheduler's part of the settings, with this policy.
    pub fn new(settings: &Settings, policy: &Policy) -> SchedulerConfig {
        let workers = &settings.cluster.workers;
        SchedulerConfig {
            lease_s: workers.lease_s,
            heartbeat_s: workers.report_s,
            cancel_s: workers.cancel_s,
            retry_round_s: round_s(settings.cluster.nodes),
            teams: settings.cluster.teams.clone(),
            objectives: settings.cluster.objectives.clone(),
            policy: policy.clone(),
        }
    }

    /// A machine silent for this many seconds gets no new tasks. Heartbeats come within
    /// 1.25 `report_s`; twice that is a missed heartbeat, with time for one retry.
    pub fn silent_s(&self) -> f64 {
        2.5 * self.heartbeat_s + 0.5
    }
}
