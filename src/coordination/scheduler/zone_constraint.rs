//! Zone constraints: the zones in which another task of a job may start, which depend on the zones
//! of the job's placed tasks. The tasks of a job may have to be in one zone, or spread over
//! several.

use crate::coordination::scheduler::job::{Job, ZoneCount};
use crate::coordination::scheduler::resources::Resources;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::JobSpec;

/// The zones in which another task of a job may start. The default allows any.
#[derive(Debug, Clone, Default)]
pub(crate) struct ZoneConstraint {
    /// The only zone allowed, for a job whose tasks must be in one zone; `None` if the job has no
    /// such constraint or if no zone has a machine that it may use.
    only_zone: Option<String>,
    /// The job's placed tasks by zone.
    placed: Vec<ZoneCount>,
    /// Maximum number of the job's tasks in any one zone; `None` if the job need not be spread.
    max_per_zone: Option<u32>,
}

impl ZoneConstraint {
    /// Whether another task of the job may start in this zone.
    pub fn allows(&self, zone: &str) -> bool {
        if let Some(only_zone) = &self.only_zone {
            // An outdated heartbeat may report a task in a zone where the task no longer is. If
            // the placed tasks seem to be in different zones, the right zone is unknown, so no
            // task may start in any zone. This can happen after a takeover: a machine that was
            // proven empty does not block placement, so a delayed heartbeat from it can be the
            // first one received and make exited attempts look as if they were running in its
            // zone.
            let any_in_other_zone = self.placed.iter().any(|count| count.zone != *only_zone);
            if zone != only_zone || any_in_other_zone {
                return false;
            }
        }
        let in_zone = self.placed.iter().find(|count| count.zone == zone);
        let tasks_in_zone = in_zone.map_or(0, |count| count.tasks);
        self.max_per_zone.is_none_or(|max| tasks_in_zone < max)
    }
}

impl Scheduler {
    /// The zones in which another task of the job may start.
    pub(crate) fn zone_constraint(&self, job: &Job) -> ZoneConstraint {
        let spec = &job.spec;
        if !spec.one_zone && !spec.spread {
            return ZoneConstraint::default();
        }
        let placed: Vec<ZoneCount> = job.placed_by_zone().cloned().collect();
        let only_zone = if !spec.one_zone {
            None
        } else if let Some(first) = placed.first() {
            Some(first.zone.clone())
        } else {
            self.zone_with_most_capacity(spec)
        };
        ZoneConstraint {
            only_zone,
            placed,
            max_per_zone: spec.spread.then(|| spec.tasks.div_ceil(2)),
        }
    }

    /// The zone with the largest sum of free CPUs on machines that a task of the job fits on;
    /// `None` if no zone has a machine that the job may use. Machines without enough free memory
    /// must not count: otherwise a zone without room for the task could be chosen again and
    /// again, and the job would wait for ever while another zone has capacity.
    fn zone_with_most_capacity(&self, spec: &JobSpec) -> Option<String> {
        let mut free_cpus: Vec<(&str, f64)> = Vec::new();
        for pool in self.capacity_index.pools_for(spec, &self.types, |_| true) {
            let zone = self.capacity_index.pool(pool).zone.as_str();
            let free = self.fitting_free_cpus(pool, spec);
            match free_cpus.iter_mut().find(|(name, _)| *name == zone) {
                Some((_, sum)) => *sum += free,
                None => free_cpus.push((zone, free)),
            }
        }
        let best = free_cpus.into_iter().max_by(|a, b| a.1.total_cmp(&b.1));
        best.map(|(zone, _)| zone.to_string())
    }

    /// The sum of free CPUs of the pool's machines that a task of the job fits on.
    fn fitting_free_cpus(&self, pool: usize, spec: &JobSpec) -> f64 {
        let need = Resources::of_task(spec);
        let candidates = self.capacity_index.with_cpus(pool, spec.cpus).iter();
        let fitting = candidates.filter(|entry| {
            let machine = self.machines.get(&entry.machine);
            machine.is_some_and(|machine| machine.free_capacity.fits(&need))
        });
        fitting.map(|entry| entry.cpus).sum()
    }
}
