//! Total capacity and load of the fleet, for the log and for decisions that depend on the
//! fleet's size.

use crate::coordination::scheduler::state::Scheduler;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Total capacity of the usable machines.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetCapacity {
    /// How many machines are usable.
    pub machines: usize,
    /// CPUs of the usable machines.
    pub cpus: f64,
    /// CPUs of the usable machines, without those that attempts occupy.
    pub free_cpus: f64,
}

/// Load of one class of jobs.
#[derive(Default)]
struct ClassLoad {
    /// CPUs that attempts of the class's tasks occupy.
    cpus: f64,
    /// How many tasks of the class wait, whether or not they are in the queue of a machine.
    waiting_tasks: u32,
}

impl Scheduler {
    /// Computes the total capacity of the usable machines.
    pub(crate) fn fleet_capacity(&self) -> FleetCapacity {
        let mut total = FleetCapacity::default();
        for machine in self.machines.values().filter(|machine| machine.indexed) {
            total.machines += 1;
            total.cpus += self
                .types
                .get(&machine.info.kind)
                .map_or(0.0, |kind| kind.cpus);
            total.free_cpus += machine.free_capacity.cpus;
        }
        total
    }

    /// The number of usable machines, the total number of their CPUs, and the number of these
    /// CPUs that are free.
    pub fn capacity(&self) -> (usize, f64, f64) {
        let total = self.fleet_capacity();
        (total.machines, total.cpus, total.free_cpus)
    }

    /// Describes the load in one log line: the capacity of the machines, then for each class
    /// of jobs the occupied CPUs and the number of waiting tasks.
    pub fn load_summary(&self) -> String {
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
