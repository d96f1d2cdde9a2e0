//! The scheduling policy that operators set, in an optional file of S-expressions:
//!
//! ```text
//! ((sample . 2) (queue-depth . 2) (age-reports . 1.0))
//! ```
//!
//! Every field has a default. An unknown field or an impossible value is an error: only operators
//! write this file, so anything unknown in it must be a mistake.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Parameters of scheduling and leadership that operators may change.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Policy {
    /// Number of machines sampled for a task. The default is two, because the step from one
    /// choice to two brings most of the gain (paper, section 1).
    pub sample: usize,
    /// Most waiting tasks in the queue of a machine.
    pub queue_depth: usize,
    /// Half the age, in heartbeat intervals, at which a task is taken from a machine's queue and
    /// placed again.
    pub age_reports: f64,
    /// Time to live of a controller's lease in the state service, as a multiple of the time to
    /// live of a worker's lease.
    pub member_leases: f64,
    /// How long a leader without contact to the state service goes on answering its workers, as
    /// a multiple of the time to live of a worker's lease.
    pub quiet_leases: f64,
    /// Fraction of the fleet that is kept free by scaling out ahead of demand.
    pub headroom: f64,
    /// How long a machine may be idle before it is returned to the cloud, as a multiple of the
    /// boot time of its type.
    pub idle_boots: f64,
    /// Number of consecutive errors after which a machine is cordoned.
    pub cordon_errors: u32,
    /// How often a task may be preempted under the same leader.
    pub max_stops: u32,
    /// Fraction of the time left until a job misses an objective. Other tasks are preempted for
    /// the job only if too little capacity is expected to become free by itself within this
    /// fraction. 0: they are preempted at once.
    pub patience: f64,
    /// Fraction of the fleet on which classes and teams below their fair share come first; 0:
    /// none.
    pub floor_share: f64,
    /// Time within which the first task of every job should start, in seconds. After half of it
    /// the task gets precedence over all others. 0: first tasks get no such precedence.
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
    /// A field has an impossible value: the field's name, and what is wrong with the value.
    #[error("operators' settings: {0}: {1}")]
    Field(&'static str, &'static str),
}

/// Shortest time to live of a controller's lease, in seconds. A lease is renewed five times
/// within it, and each renewal needs time for a slow answer.
const MIN_LEASE_TTL_S: f64 = 2.0;
/// Longest time to live of a controller's lease, in seconds.
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
    /// The text is malformed, a field is unknown, or a value is impossible.
    pub fn parse(text: &str) -> Result<Policy, PolicyError> {
        let policy: Policy = serde_lexpr::from_str(text)
            .map_err(|error| PolicyError::Malformed(error.to_string()))?;
        policy.check()?;
        Ok(policy)
    }

    /// Checks every value. The order of the checks decides which of several errors is reported.
    fn check(&self) -> Result<(), PolicyError> {
        require(self.sample > 0, "sample", "is 0")?;
        require(self.queue_depth <= 1000, "queue-depth", "is above 1000")?;
        for (name, value) in [
            ("age-reports", self.age_reports),
            ("member-leases", self.member_leases),
            ("quiet-leases", self.quiet_leases),
            ("idle-boots", self.idle_boots),
        ] {
            require(
                value.is_finite() && value > 0.0,
                name,
                "is not above 0 or not finite",
            )?;
        }
        let headroom_possible = (0.0..=10.0).contains(&self.headroom);
        require(headroom_possible, "headroom", "is not within 0 and 10")?;
        // With the whole fleet, fair shares would override the order by urgency.
        let floor_share_possible = (0.0..=0.5).contains(&self.floor_share);
        require(
            floor_share_possible,
            "floor-share",
            "is not within 0 and 0.5",
        )?;
        let patience_possible = (0.0..=1.0).contains(&self.patience);
        require(patience_possible, "patience", "is not within 0 and 1")?;
        let begin_s_possible = self.begin_s.is_finite() && self.begin_s >= 0.0;
        require(begin_s_possible, "begin-s", "is below 0 or not finite")?;
        // Without preemption, urgent jobs could not get capacity from other jobs.
        require(self.max_stops > 0, "max-stops", "is 0")?;
        require(self.cordon_errors > 0, "cordon-errors", "is 0")
    }
}

/// Fails with the field's name and problem unless its value is possible.
fn require(possible: bool, field: &'static str, problem: &'static str) -> Result<(), PolicyError> {
    if possible {
        Ok(())
    } else {
        Err(PolicyError::Field(field, problem))
    }
}
