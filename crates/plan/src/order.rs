//! What is to be planned, and which orders can be.

use foxspur::coordination::scheduler::snapshot::Snapshot;
use foxspur::protocol::admin::Rest;
use serde::{Deserialize, Serialize};

/// The longest horizon of a plan: a day.
const MAX_HORIZON_S: f64 = 86_400.0;
/// The most samples of a plan.
const MAX_SAMPLES: u32 = 10_000;

/// A drain to be planned.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Order {
    /// Names of the machines.
    pub hosts: Vec<String>,
    /// Seconds from its start until the drain should be over.
    pub deadline_s: Option<f64>,
    /// What happens to work that is left at the deadline.
    pub rest: Rest,
    /// Seconds from the snapshot until it starts.
    pub start_s: f64,
}

/// How it is planned.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Options {
    /// Decides all random draws.
    pub seed: u64,
    /// Samples, each a simulation with the drain and one without.
    pub samples: u32,
    /// How many seconds are simulated.
    pub horizon_s: f64,
    /// Within how many seconds the drain may start; 0 leaves the start as it is.
    pub window_s: f64,
    /// Whether to plan what the failure of another machine changes.
    pub failures: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            seed: 1,
            samples: 60,
            horizon_s: 3600.0,
            window_s: 0.0,
            failures: true,
        }
    }
}

/// Why there is no plan.
#[derive(thiserror::Error, Debug, PartialEq)]
pub enum PlanError {
    /// The snapshot does not have this machine.
    #[error("hosts: no machine {0} is in use")]
    Unknown(String),
    /// This machine sends no heartbeats.
    #[error("hosts: {0} is not heard of now: what is on it cannot be told")]
    Silent(String),
    /// The order names no machine.
    #[error("hosts: names no machine")]
    Nothing,
    /// A field, and what is wrong with it.
    #[error("{0}: {1}")]
    Field(&'static str, &'static str),
}

impl Order {
    /// Checks that it can be planned from the snapshot.
    pub(crate) fn check(&self, snapshot: &Snapshot, options: &Options) -> Result<(), PlanError> {
        self.check_hosts(snapshot)?;
        if self.deadline_s.is_some_and(|deadline| !positive(deadline)) {
            return Err(PlanError::Field("deadline", "is not above 0"));
        }
        if !positive(options.horizon_s) || options.horizon_s > MAX_HORIZON_S {
            return Err(PlanError::Field("horizon", "is not within 0 and a day"));
        }
        if options.samples == 0 || options.samples > MAX_SAMPLES {
            return Err(PlanError::Field("samples", "is not within 1 and 10000"));
        }
        let latest_s = self.start_s + options.window_s;
        if self.start_s < 0.0 || options.window_s < 0.0 || latest_s >= options.horizon_s {
            return Err(PlanError::Field("start", "is not within the horizon"));
        }
        Ok(())
    }

    fn check_hosts(&self, snapshot: &Snapshot) -> Result<(), PlanError> {
        if self.hosts.is_empty() {
            return Err(PlanError::Nothing);
        }
        for host in &self.hosts {
            match snapshot.machines.iter().find(|m| m.info.id == *host) {
                None => return Err(PlanError::Unknown(host.clone())),
                Some(machine) if !machine.alive => return Err(PlanError::Silent(host.clone())),
                Some(_) => {}
            }
        }
        Ok(())
    }
}

fn positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}
