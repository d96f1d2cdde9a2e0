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
    /// Half the age of a bound task, in report intervals, at which it is unbound
    /// and drawn again.
    pub age_reports: f64,
    /// A controller's own lease in the state service, in workers' leases.
    pub member_leases: f64,
    /// For how many workers' leases an owner without contact to the state
    /// service goes on answering its workers.
    pub quiet_leases: f64,
    /// Share of the fleet kept free by renting ahead.
    pub headroom: f64,
    /// For how long a machine may idle before it is returned, in boot times.
    pub idle_boots: f64,
    /// Errors in a row after which a machine is cordoned.
    pub cordon_errors: u32,
    /// How often a task may be stopped to make room for others, by one owner.
    pub max_stops: u32,
    /// Room that comes free by itself is waited for, for this part of the time
    /// that a job has left until it loses an aim; 0: others are stopped at once.
    pub patience: f64,
    /// Part of the fleet on which a class or team that is served too little goes
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
    #[error("operators' settings: {0}")]
    Malformed(String),
    #[error("operators' settings: {0}: {1}")]
    Field(&'static str, &'static str),
}

impl Policy {
    /// Life of a controller's lease in the state service, in seconds, where a
    /// worker's lease is `lease_s`. At least two seconds: five renewals, each
    /// with time for a slow answer.
    pub fn life_s(&self, lease_s: f64) -> f64 {
        (self.member_leases * lease_s).clamp(2.0, 600.0)
    }

    /// Reads and checks the file's text.
    pub fn parse(text: &str) -> Result<Policy, PolicyError> {
        let policy: Policy =
            serde_lexpr::from_str(text).map_err(|e| PolicyError::Malformed(e.to_string()))?;
        if policy.sample == 0 {
            return Err(PolicyError::Field("sample", "is 0"));
        }
        if policy.queue_depth > 1000 {
            return Err(PolicyError::Field("queue-depth", "is above 1000"));
        }
        for (name, value) in [
            ("age-reports", policy.age_reports),
            ("member-leases", policy.member_leases),
            ("quiet-leases", policy.quiet_leases),
            ("idle-boots", policy.idle_boots),
        ] {
            if !value.is_finite() || value <= 0.0 {
                return Err(PolicyError::Field(name, "is not above 0"));
            }
        }
        if !(0.0..=10.0).contains(&policy.headroom) {
            return Err(PolicyError::Field("headroom", "is not within 0 and 10"));
        }
        // All of the fleet would turn the order of urgencies around.
        if !(0.0..=0.5).contains(&policy.floor_share) {
            return Err(PolicyError::Field("floor-share", "is not within 0 and 0.5"));
        }
        if !(0.0..=1.0).contains(&policy.patience) {
            return Err(PolicyError::Field("patience", "is not within 0 and 1"));
        }
        if !policy.begin_s.is_finite() || policy.begin_s < 0.0 {
            return Err(PolicyError::Field("begin-s", "is below 0"));
        }
        if policy.max_stops == 0 {
            // Urgent work could get room from nobody.
            return Err(PolicyError::Field("max-stops", "is 0"));
        }
        if policy.cordon_errors == 0 {
            return Err(PolicyError::Field("cordon-errors", "is 0"));
        }
        Ok(policy)
    }
}
