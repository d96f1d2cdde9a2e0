//! The scheduling policy that operators set, in an optional file of S-expressions:
//!
//! ```text
//! ((sample . 2) (queue-depth . 2) (age-reports . 1.0))
//! ```
//!
//! Every field has a default. An unknown field or an invalid value is an error. Unknown fields are
//! not ignored, because only operators write this file, so an unknown field must be a mistake.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Parameters of scheduling and leadership that operators may change.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Policy {
    /// Number of machines sampled for a task. The default is two, because the step from one machine
    /// to two brings most of the gain (section 1 of the paper by Mitzenmacher and Dell'Amico that
    /// the module `coordination::scheduler::placement` names).
    pub sample: usize,
    /// Maximum number of waiting tasks in the queue of a machine.
    pub queue_depth: usize,
    /// Half of the time after which a task is removed from a machine's queue and machines are
    /// sampled for it again, as a multiple of the heartbeat interval.
    pub age_reports: f64,
    /// Time to live of a controller's lease in the state service, as a multiple of the time to
    /// live of a worker's lease.
    pub member_leases: f64,
    /// How long a leader without contact to the state service continues to answer workers, as a
    /// multiple of the time to live of a worker's lease.
    pub quiet_leases: f64,
    /// Capacity that is rented ahead of demand, as a fraction of the capacity that placed and
    /// waiting tasks need.
    pub headroom: f64,
    /// How long a machine may be idle before it is returned to the cloud, as a multiple of the
    /// boot time of its type.
    pub idle_boots: f64,
    /// Number of recent task failures on a machine after which the machine is no longer used. Only
    /// failures since the machine last completed a task count. The failures of a job that has not
    /// completed any task count as one, and the failures of a job that fails on several machines
    /// do not count.
    pub cordon_errors: u32,
    /// Maximum number of times that a task is preempted under the same leader.
    pub max_stops: u32,
    /// How long a job waits for capacity that other tasks free when they end, as a fraction of the
    /// time left until the job misses an objective. Other tasks are preempted for the job only if
    /// too little capacity is predicted to become free within this time. 0: other tasks may be
    /// preempted at once.
    pub patience: f64,
    /// Fraction of the fleet's CPUs on which classes and teams below their fair share take
    /// precedence over others. 0: they take precedence nowhere.
    pub floor_share: f64,
    /// Time within which the first task of every job should start, in seconds. Once half of this
    /// time has passed, the job's first task takes precedence over all other tasks. 0: first tasks
    /// get no such precedence.
    pub begin_s: f64,
    /// Address on which the operators' API listens. Without an address there is no such API.
    pub admin: Option<SocketAddr>,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            sample: 2,
            queue_depth: 2,
            age_reports: 1.0,
            member_leases: 0.25,
            quiet_leases: 6.0,
            headroom: 0.25,
            idle_boots: 20.0,
            cordon_errors: 3,
            max_stops: 4,
            patience: 0.1,
            floor_share: 0.25,
            begin_s: 240.0,
            admin: None,
        }
    }
}

/// Why the policy file is not usable.
#[derive(thiserror::Error, Debug)]
pub enum PolicyError {
    /// The text cannot be parsed.
    #[error("operators' settings: {0}")]
    Malformed(String),
    /// A field has an invalid value. Holds the field's name and what the value must be.
    #[error("operators' settings: {0}: {1}")]
    Field(&'static str, &'static str),
}

/// Minimum time to live of a controller's lease, in seconds. A lease is renewed five times within
/// its time to live, and each renewal needs time for a slow answer.
const MIN_LEASE_TTL_S: f64 = 2.0;
/// Maximum time to live of a controller's lease, in seconds.
const MAX_LEASE_TTL_S: f64 = 600.0;

impl Policy {
    /// Time to live of a controller's lease in the state service, in seconds.
    /// `worker_lease_s` is the time to live of a worker's lease.
    pub fn lease_ttl_s(&self, worker_lease_s: f64) -> f64 {
        (self.member_leases * worker_lease_s).clamp(MIN_LEASE_TTL_S, MAX_LEASE_TTL_S)
    }

    /// Parses and checks the text of the policy file.
    ///
    /// # Errors
    /// The text is malformed, a field is unknown, or a value is invalid.
    pub fn parse(text: &str) -> Result<Policy, PolicyError> {
        let policy: Policy = serde_lexpr::from_str(text)
            .map_err(|error| PolicyError::Malformed(error.to_string()))?;
        policy.check()?;
        Ok(policy)
    }

    /// Checks every value, and reports the first error. The order of the checks therefore decides
    /// which of several errors is reported.
    fn check(&self) -> Result<(), PolicyError> {
        require(self.sample > 0, "sample", "must be at least 1")?;
        require(
            self.queue_depth <= 1000,
            "queue-depth",
            "must be at most 1000",
        )?;
        for (name, value) in [
            ("age-reports", self.age_reports),
            ("member-leases", self.member_leases),
            ("quiet-leases", self.quiet_leases),
            ("idle-boots", self.idle_boots),
        ] {
            require(
                value.is_finite() && value > 0.0,
                name,
                "must be finite and greater than 0",
            )?;
        }
        let headroom_valid = (0.0..=10.0).contains(&self.headroom);
        require(headroom_valid, "headroom", "must be between 0 and 10")?;
        // With the whole fleet, fair shares would override the order by urgency.
        let floor_share_valid = (0.0..=0.5).contains(&self.floor_share);
        require(
            floor_share_valid,
            "floor-share",
            "must be between 0 and 0.5",
        )?;
        let patience_valid = (0.0..=1.0).contains(&self.patience);
        require(patience_valid, "patience", "must be between 0 and 1")?;
        let begin_s_valid = self.begin_s.is_finite() && self.begin_s >= 0.0;
        require(begin_s_valid, "begin-s", "must be finite and at least 0")?;
        // Without preemption, urgent jobs could not get capacity from other jobs.
        require(self.max_stops > 0, "max-stops", "must be at least 1")?;
        require(
            self.cordon_errors > 0,
            "cordon-errors",
            "must be at least 1",
        )
    }
}

/// Returns an error with the field's name and the requirement on its value if `valid` is false.
fn require(valid: bool, field: &'static str, requirement: &'static str) -> Result<(), PolicyError> {
    if valid {
        Ok(())
    } else {
        Err(PolicyError::Field(field, requirement))
    }
}
