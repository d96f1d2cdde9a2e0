//! Totals of capacity and load, for decisions by parts of the fleet and for the log.

use crate::coordination::scheduler::state::Scheduler;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Total capacity of the usable machines.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetCapacity {
    /// How many machines are usable.
    pub machines: usize,
    /// Their CPUs.
    pub cpus: f64,
    /// Those of their CPUs that no attempt occupies.
    pub free_cpus: f64,
}

/// Load of one class of jobs.
#[derive(Default)]
struct ClassLoad {
    /// CPUs that its attempts occupy.
    cpus: f64,
    waiting_tasks: u32,
}

impl Scheduler {
    /// Total capacity of the usable machines, counted anew.
    pub(crate) fn fleet_capacity(&self) -> FleetCapacity {
        let mut total = FleetCapacity::default();
        for machine in self.machines.values().filter(|machine| machine.indexed) {
            total.machines += 1;
            total.cpus += self.types.get(&machine.info.kind).map_or(0.0, |t| t.cpus);
            total.free_cpus += machine.free_capacity.cpus;
        }
        total
    }

    /// Usable machines, their CPUs, and how many of these are free.
    pub fn capacity(&self) -> (usize, f64, f64) {
        let total = self.fleet_capacity();
        (total.machines, total.cpus, total.free_cpus)
    }

    /// One log line on load: machines, then for each class the CPUs that it occupies and
    /// its waiting tasks.
    pub fn summary(&self) -> String {
        let mut classes: BTreeMap<&str, ClassLoad> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| !job.finished) {
            let load = classes.entry(&job.spec.class).or_default();
            load.cpus += job.attempts_placed() as f64 * job.spec.cpus;
            load.waiting_tasks += job.unplaced_tasks();
        }
        let total = self.fleet_capacity();
        let mut line = format!(
            "machines={} usable={} cpus={} free={}",
            self.machines.len(),
            total.machines,
            total.cpus,
            total.free_cpus,
        );
        for (class, load) in classes {
            // Writing to a string does not fail.
            let _ = write!(line, " {class}={}+{}", load.cpus, load.waiting_tasks);
        }
        line
    }
}
