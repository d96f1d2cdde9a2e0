//! The operators' own settings, an optional file of S-expressions:
//!
//! ```text
//! ((sample . 2) (queue-depth . 2) (age-reports . 1.0))
//! ```
//!
//! Every field has a default; an unknown or impossible one is an error, since
//! nobody but the operator writes this file.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Open points of the design, as settings.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Policy {
    /// Machines sampled for a task. Two: the step from one to two choices is
    /// the large one (paper, section 1).
    pub sample: usize,
    /// Waiting tasks bound to a machine at most.
    pub queue_depth: usize,
    /// Half the age of a bound task, in heartbeat intervals, at which it is unbound
    /// and placed again.
    pub age_reports: f64,
    /// Time to live of a controller's lease in the state service, in workers' leases.
    pub member_leases: f64,
    /// For how many workers' leases a leader without contact to the state
    /// service goes on answering its workers.
    pub quiet_leases: f64,
    /// Part of the fleet kept free by scaling out ahead of demand.
    pub headroom: f64,
    /// For how long a machine may idle before the fleet is scaled in, in boot times.
    pub idle_boots: f64,
    /// Errors in a row after which a machine is cordoned.
    pub cordon_errors: u32,
    /// How often a task may be preempted, under one leader.
    pub max_stops: u32,
    /// Room that comes free by itself is waited for, for this part of the time
    /// that a job has left until it misses an objective; 0: others are preempted at once.
    pub patience: f64,
    /// Part of the fleet on which a class or team below its fair share goes
    /// first; 0: none.
    pub floor_share: f64,
    /// Within this many seconds the first task of every job should start; half of it
    /// before, the task goes ahead of others. 0: none does.
    pub begin_s: f64,
    /// Where the operators' API listens; without it there is none.
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

/// Why the operators' file is not usable.
#[derive(thiserror::Error, Debug)]
pub enum PolicyError {
    /// The file cannot be read as settings.
    #[error("operators' settings: {0}")]
    Malformed(String),
    /// A field has an impossible value: its name, and what is wrong with it.
    #[error("operators' settings: {0}: {1}")]
    Field(&'static str, &'static str),
}

/// Shortest time to live of a controller's lease, in seconds: five renewals, each with time
/// for a slow answer.
const MIN_LEASE_TTL_S: f64 = 2.0;
/// Longest time to live of a controller's lease, in seconds.
const MAX_LEASE_TTL_S: f64 = 600.0;

impl Policy {
    /// Time to live of a controller's lease in the state service, in seconds, where that of
    /// a worker's lease is `lease_s`.
    pub fn lease_ttl_s(&self, lease_s: f64) -> f64 {
        (self.member_leases * lease_s).clamp(MIN_LEASE_TTL_S, MAX_LEASE_TTL_S)
    }

    /// Reads and checks the file's text.
    ///
    /// # Errors
    /// It is malformed, or a field is unknown or impossible.
    pub fn parse(text: &str) -> Result<Policy, PolicyError> {
        let policy: Policy =
            serde_lexpr::from_str(text).map_err(|e| PolicyError::Malformed(e.to_string()))?;
        policy.check()?;
        Ok(policy)
    }

    /// The order of the checks decides which of several errors is named.
    fn check(&self) -> Result<(), PolicyError> {
        require(self.sample > 0, "sample", "is 0")?;
        require(self.queue_depth <= 1000, "queue-depth", "is above 1000")?;
        for (name, value) in [
            ("age-reports", self.age_reports),
            ("member-leases", self.member_leases),
            ("quiet-leases", self.quiet_leases),
            ("idle-boots", self.idle_boots),
        ] {
            require(value.is_finite() && value > 0.0, name, "is not above 0")?;
        }
        let headroom = (0.0..=10.0).contains(&self.headroom);
        require(headroom, "headroom", "is not within 0 and 10")?;
        // All of the fleet would turn the order of urgencies around.
        let floor_share = (0.0..=0.5).contains(&self.floor_share);
        require(floor_share, "floor-share", "is not within 0 and 0.5")?;
        let patience = (0.0..=1.0).contains(&self.patience);
        require(patience, "patience", "is not within 0 and 1")?;
        let begin_s = self.begin_s.is_finite() && self.begin_s >= 0.0;
        require(begin_s, "begin-s", "is below 0")?;
        // Without a preemption urgent work could get room from nobody.
        require(self.max_stops > 0, "max-stops", "is 0")?;
        require(self.cordon_errors > 0, "cordon-errors", "is 0")
    }
}

/// Fails with the field's name unless its value is possible.
fn require(possible: bool, field: &'static str, problem: &'static str) -> Result<(), PolicyError> {
    if possible {
        Ok(())
    } else {
        Err(PolicyError::Field(field, problem))
    }
}
