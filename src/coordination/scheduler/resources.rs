//! Amounts of CPU, GPU and memory, as required by tasks and provided by machines.

use crate::protocol::cloud::MachineType;
use crate::protocol::job::JobSpec;
use foldhash::fast::RandomState;
use std::collections::HashMap;

/// Machine types by name.
pub type MachineTypes = HashMap<String, MachineType, RandomState>;

/// Tolerance when comparing amounts, since sums of decimal fractions have rounding errors.
pub(crate) const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Maximum number of attempts on a machine, including exited ones that the worker has not been
/// told to forget. A worker's report names all of them, an answer to it has at most one command
/// for each, and neither may exceed 64 KiB. An entry of a report takes up to 121 bytes, a command
/// up to 123.
pub const MAX_ATTEMPTS_PER_MACHINE: i32 = 512;

/// An amount of each resource that placement takes into account.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    /// CPU cores; fractions are allowed.
    pub cpus: f64,
    /// GPUs; fractions are allowed.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub memory_gb: f64,
    /// Number of attempts; negative if a machine has more than `MAX_ATTEMPTS_PER_MACHINE`.
    pub attempts: i32,
}

impl Resources {
    /// The total capacity of a machine of this type.
    pub fn of_type(kind: &MachineType) -> Resources {
        Resources {
            cpus: kind.cpus,
            gpus: kind.gpus,
            memory_gb: kind.memory_gb,
            attempts: MAX_ATTEMPTS_PER_MACHINE,
        }
    }

    /// The amount that one task of the job requires.
    pub fn of_task(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
            attempts: 1,
        }
    }

    /// Whether `need` fits into this amount, up to `ROUNDING_TOLERANCE`.
    pub fn fits(&self, need: &Resources) -> bool {
        need.cpus <= self.cpus + ROUNDING_TOLERANCE
            && need.gpus <= self.gpus + ROUNDING_TOLERANCE
            && need.memory_gb <= self.memory_gb + ROUNDING_TOLERANCE
            && need.attempts <= self.attempts
    }

    /// Whether some task may fit into this amount that does not fit into `other`. Each task takes
    /// one attempt, so it makes no difference by how much more than one the attempts exceed.
    pub fn admits_more_than(&self, other: &Resources) -> bool {
        self.cpus > other.cpus + ROUNDING_TOLERANCE
            || self.gpus > other.gpus + ROUNDING_TOLERANCE
            || self.memory_gb > other.memory_gb + ROUNDING_TOLERANCE
            || self.attempts > 0 && other.attempts <= 0
    }

    /// Subtracts `other` from this amount; the result may be negative.
    pub fn subtract(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
        self.attempts -= other.attempts;
    }

    /// How many times `need` fits into this amount, up to `limit` times.
    pub fn count_of(&self, need: &Resources, limit: u32) -> u32 {
        let count = |available: f64, needed: f64| {
            if needed <= 0.0 {
                f64::INFINITY
            } else {
                ((available + ROUNDING_TOLERANCE) / needed).floor()
            }
        };
        let by_amounts = count(self.cpus, need.cpus)
            .min(count(self.gpus, need.gpus))
            .min(count(self.memory_gb, need.memory_gb))
            .min(count(f64::from(self.attempts), f64::from(need.attempts)));
        by_amounts.clamp(0.0, f64::from(limit)) as u32
    }

    /// Subtracts `need` as often as it fits, up to `limit` times. Returns how often.
    pub fn take(&mut self, need: &Resources, limit: u32) -> u32 {
        let count = self.count_of(need, limit);
        let times = f64::from(count);
        self.cpus -= times * need.cpus;
        self.gpus -= times * need.gpus;
        self.memory_gb -= times * need.memory_gb;
        self.attempts -= count as i32 * need.attempts;
        count
    }

    /// Adds `other` to this amount.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
        self.attempts += other.attempts;
    }
}
