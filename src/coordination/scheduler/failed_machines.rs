//! A job's memory of the machines on which its tasks failed.
//!
//! A failure makes a machine a later choice for the job, not a forbidden one: while the machine is
//! remembered, the job prefers other machines, and tries this one again if no other has room, after
//! a pause that grows with the failures there. The memory of a machine ends by time, as soon as a
//! task of any job completes there, when the machine begins a new session, and when it is returned.

use foldhash::fast::RandomState;
use indexmap::IndexMap;
use std::rc::Rc;

/// How long a machine is remembered after the last failure on it, in workers' leases.
const MEMORY_LEASES: f64 = 3.0;
/// Pause after the first failure on a machine, in workers' leases. It grows with the number of
/// failures there.
const FIRST_PAUSE_LEASES: f64 = 0.5;
/// Longest pause after a failure on a machine, in workers' leases.
const MAX_PAUSE_LEASES: f64 = 1.0;

/// The failures of a job's tasks on one machine.
#[derive(Debug, Clone, Copy)]
struct Failures {
    count: u32,
    last_at: f64,
    /// When the job may try the machine again, if no other machine has room.
    retry_at: f64,
    /// When the machine is forgotten.
    forgotten_at: f64,
}

impl Failures {
    /// Whether the failures count, on a machine that was last known to be in order at `in_order_at`.
    fn count_at(&self, in_order_at: f64, now: f64) -> bool {
        self.forgotten_at > now && self.last_at > in_order_at
    }
}

/// The machines on which tasks of a job failed.
#[derive(Debug, Default)]
pub struct FailedMachines {
    machines: IndexMap<Rc<str>, Failures, RandomState>,
}

impl FailedMachines {
    /// Records a failure on the machine.
    pub(crate) fn record(&mut self, machine: &Rc<str>, lease_s: f64, now: f64) {
        self.machines
            .retain(|_, failures| failures.forgotten_at > now);
        let failures = self.machines.entry(machine.clone()).or_insert(Failures {
            count: 0,
            last_at: now,
            retry_at: now,
            forgotten_at: now,
        });
        failures.count += 1;
        failures.last_at = now;
        let pause_leases = FIRST_PAUSE_LEASES * f64::from(failures.count);
        failures.retry_at = now + pause_leases.min(MAX_PAUSE_LEASES) * lease_s;
        failures.forgotten_at = now + MEMORY_LEASES * lease_s;
    }

    /// Whether no failure is recent enough for a machine to be remembered.
    pub(crate) fn is_empty(&self, now: f64) -> bool {
        let mut failures = self.machines.values();
        failures.all(|failures| failures.forgotten_at <= now)
    }

    /// Whether the job prefers other machines to this one, which was last known to be in order at
    /// `in_order_at`.
    pub(crate) fn is_remembered(&self, machine: &str, in_order_at: f64, now: f64) -> bool {
        let failures = self.machines.get(machine);
        failures.is_some_and(|failures| failures.count_at(in_order_at, now))
    }

    /// When the job may try the machine again, if no other machine has room; `None` if it may now.
    pub(crate) fn pauses_until(&self, machine: &str, in_order_at: f64, now: f64) -> Option<f64> {
        let failures = self.machines.get(machine)?;
        let pauses = failures.count_at(in_order_at, now) && failures.retry_at > now;
        pauses.then_some(failures.retry_at)
    }
}
