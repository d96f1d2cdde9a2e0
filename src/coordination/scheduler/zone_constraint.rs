//! In which zones another task of a job may start, given where its other tasks are or may
//! be: all in one zone, or spread over several.

use crate::coordination::scheduler::job::Job;
use crate::coordination::scheduler::resources::Resources;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::JobSpec;

/// Tasks of a job in one zone.
#[derive(Debug, Clone)]
struct ZoneCount {
    zone: String,
    tasks: u32,
}

/// The zones in which another task of a job may start. The default allows any.
#[derive(Debug, Clone, Default)]
pub(crate) struct ZoneConstraint {
    /// The only zone for the job.
    only: Option<String>,
    /// Where its placed tasks are.
    placed: Vec<ZoneCount>,
    /// Bound on its tasks in any one zone.
    max_per_zone: Option<u32>,
}

impl ZoneConstraint {
    /// Whether another task of the job may start in this zone.
    pub fn allows(&self, zone: &str) -> bool {
        if let Some(only) = &self.only {
            // Guards against an old heartbeat that shows tasks in another zone than where they
            // are: as long as either may be true, none may start in any zone. (A machine that
            // was proven empty blocks no placement after a takeover; an old heartbeat of it
            // arrived first, and a job whose tasks must be together was started beside
            // what was gone.)
            let any_elsewhere = self.placed.iter().any(|count| count.zone != *only);
            if zone != only || any_elsewhere {
                return false;
            }
        }
        let here = self.placed.iter().find(|count| count.zone == zone);
        let tasks_here = here.map_or(0, |count| count.tasks);
        self.max_per_zone.is_none_or(|max| tasks_here < max)
    }
}

impl Scheduler {
    /// The zones in which another task of the job may start.
    pub(crate) fn zone_constraint(&self, job: &Job) -> ZoneConstraint {
        let spec = &job.spec;
        if !spec.one_zone && !spec.spread {
            return ZoneConstraint::default();
        }
        let placed = self.placed_by_zone(job);
        let only = if !spec.one_zone {
            None
        } else if let Some(first) = placed.first() {
            Some(first.zone.clone())
        } else {
            self.zone_with_most_capacity(spec)
        };
        ZoneConstraint {
            only,
            placed,
            max_per_zone: spec.spread.then(|| spec.tasks.div_ceil(2)),
        }
    }

    fn placed_by_zone(&self, job: &Job) -> Vec<ZoneCount> {
        let mut counts: Vec<ZoneCount> = Vec::new();
        let machines = job.placed.values();
        for machine in machines.filter_map(|(name, _)| self.machines.get(name)) {
            let zone = &machine.info.zone;
            match counts.iter_mut().find(|count| count.zone == *zone) {
                Some(count) => count.tasks += 1,
                None => counts.push(ZoneCount {
                    zone: zone.clone(),
                    tasks: 1,
                }),
            }
        }
        counts
    }

    /// The zone with most free CPUs for the job, which decides for all of its tasks. Only
    /// machines that a task fits on count. (When free CPUs beside tasks that occupy all memory
    /// counted, such a zone came first for ever, and the job waited while another zone had
    /// capacity.)
    fn zone_with_most_capacity(&self, spec: &JobSpec) -> Option<String> {
        let mut free_cpus: Vec<(&str, f64)> = Vec::new();
        for at in self.capacity_index.pools_for(spec, &self.types, |_| true) {
            let zone = self.capacity_index.pool(at).zone.as_str();
            let free = self.fitting_free_cpus(at, spec);
            match free_cpus.iter_mut().find(|(known, _)| *known == zone) {
                Some((_, sum)) => *sum += free,
                None => free_cpus.push((zone, free)),
            }
        }
        let best = free_cpus.into_iter().max_by(|a, b| a.1.total_cmp(&b.1));
        best.map(|(zone, _)| zone.to_string())
    }

    /// Free CPUs of the pool's machines that a task of the job fits on.
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
