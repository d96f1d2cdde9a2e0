//! The order to be planned, the options of the simulation, and checks of both.

use foxspur::coordination::scheduler::snapshot::Snapshot;
use foxspur::protocol::admin::RemainingWork;
use serde::{Deserialize, Serialize};

/// The longest horizon of a plan, in seconds.
const MAX_HORIZON_S: f64 = 86_400.0;
const MAX_SAMPLES: u32 = 10_000;

/// A drain of one or more machines, to be planned.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Order {
    /// Names of the machines to be drained.
    pub hosts: Vec<String>,
    /// Seconds from the drain's start until it should be complete.
    pub deadline_s: Option<f64>,
    /// What happens to tasks that are still on a machine at the deadline.
    pub rest: RemainingWork,
    /// Seconds from the snapshot until the drain starts.
    pub start_s: f64,
}

/// Options of the simulation.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct Options {
    /// The seed of all random numbers.
    pub seed: u64,
    /// The number of samples. Each is a simulation with the drain and one without it.
    pub samples: u32,
    /// The simulated time, in seconds.
    pub horizon_s: f64,
    /// Seconds after the order's start within which other start times are tried; 0 for none.
    pub window_s: f64,
    /// Whether to simulate failures of other machines during the drain as well.
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

/// Why an order cannot be planned.
#[derive(thiserror::Error, Debug, PartialEq)]
pub enum PlanError {
    /// The snapshot does not contain this machine.
    #[error("hosts: there is no machine {0}")]
    UnknownMachine(String),
    /// This machine sends no heartbeats.
    #[error("hosts: {0} sends no heartbeats, so its tasks are unknown")]
    SilentMachine(String),
    /// The order names no machine.
    #[error("hosts: no machine is given")]
    NoMachines,
    /// A field has an invalid value: its name, and what is wrong with the value.
    #[error("{0}: {1}")]
    InvalidField(&'static str, &'static str),
}

impl Order {
    /// Checks that the order can be planned from the snapshot with these options.
    pub(crate) fn check(&self, snapshot: &Snapshot, options: &Options) -> Result<(), PlanError> {
        self.check_hosts(snapshot)?;
        if self
            .deadline_s
            .is_some_and(|deadline_s| !is_positive(deadline_s))
        {
            return Err(PlanError::InvalidField("deadline", "must be above 0 s"));
        }
        if !is_positive(options.horizon_s) || options.horizon_s > MAX_HORIZON_S {
            return Err(PlanError::InvalidField(
                "horizon",
                "must be above 0 s and at most one day",
            ));
        }
        if options.samples == 0 || options.samples > MAX_SAMPLES {
            return Err(PlanError::InvalidField(
                "samples",
                "must be from 1 to 10000",
            ));
        }
        let latest_s = self.start_s + options.window_s;
        if self.start_s < 0.0 || options.window_s < 0.0 || latest_s >= options.horizon_s {
            return Err(PlanError::InvalidField(
                "start",
                "must be at least 0 s and, with the window, before the horizon",
            ));
        }
        Ok(())
    }

    fn check_hosts(&self, snapshot: &Snapshot) -> Result<(), PlanError> {
        if self.hosts.is_empty() {
            return Err(PlanError::NoMachines);
        }
        for host in &self.hosts {
            match snapshot.machines.iter().find(|m| m.info.id == *host) {
                None => return Err(PlanError::UnknownMachine(host.clone())),
                Some(machine) if !machine.alive => {
                    return Err(PlanError::SilentMachine(host.clone()))
                }
                Some(_) => {}
            }
        }
        Ok(())
    }
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}
