//! In which zones another task of a job may start, given where its others are or may be.

use crate::coordination::scheduler::capacity::Resources;
use crate::coordination::scheduler::job::{Job, Name};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::JobSpec;

/// Where tasks of a job may go, given its other tasks.
#[derive(Debug, Clone, Default)]
pub(crate) struct Zones {
    /// Only this zone.
    only: Option<String>,
    /// Tasks in each zone.
    count: Vec<(String, u32)>,
    /// At most this many in one.
    most: Option<u32>,
}

impl Zones {
    /// Whether another task of the job may start in this zone.
    pub fn allows(&self, zone: &str) -> bool {
        if let Some(only) = &self.only {
            // Guards against an old report that shows tasks in another zone than where they
            // are: as long as either may be so, none may start in any. (A machine that was
            // proven empty holds up no takeover; an old report of it arrived first, and a
            // job whose tasks must be together was started beside what was gone.)
            let elsewhere = self.count.iter().any(|(z, _)| z != only);
            if zone != only || elsewhere {
                return false;
            }
        }
        let here = self
            .count
            .iter()
            .find(|(z, _)| z == zone)
            .map_or(0, |z| z.1);
        self.most.is_none_or(|most| here < most)
    }
}

impl Scheduler {
    pub(crate) fn zone_constraint(&self, job: &Job) -> Zones {
        let spec = &job.spec;
        if !spec.one_zone && !spec.spread {
            return Zones::default();
        }
        let mut count: Vec<(String, u32)> = Vec::new();
        for (machine, _) in job.placed.values() {
            if let Some(m) = self.machines.get(machine) {
                match count.iter_mut().find(|(z, _)| *z == m.info.zone) {
                    Some(c) => c.1 += 1,
                    None => count.push((m.info.zone.clone(), 1)),
                }
            }
        }
        let only = if !spec.one_zone {
            None
        } else if let Some((zone, _)) = count.first() {
            Some(zone.clone())
        } else {
            self.roomiest_zone(spec)
        };
        Zones {
            only,
            count,
            most: spec.spread.then(|| spec.tasks.div_ceil(2)),
        }
    }

    /// The zone with most room for the job, which decides for all of its tasks. Only
    /// machines that a task fits on count: with free CPUs beside tasks that take all
    /// memory a zone was the roomiest for ever, and the job waited while another had room.
    fn roomiest_zone(&self, spec: &JobSpec) -> Option<String> {
        let mut room: Vec<(&str, f64)> = Vec::new();
        let need = Resources::of_task(spec);
        for p in self.capacity_index.pools_for(spec, &self.types, |_| true) {
            let zone = self.capacity_index.pool(p).zone.as_str();
            let roomy = self.capacity_index.with_cpus(p, spec.cpus).iter();
            let fits = |name: &Name| {
                let m = self.machines.get(name);
                m.is_some_and(|m| m.free_capacity.fits(&need))
            };
            let free: f64 = roomy.filter(|(_, n)| fits(n)).map(|(cpus, _)| cpus).sum();
            match room.iter_mut().find(|(z, _)| *z == zone) {
                Some(z) => z.1 += free,
                None => room.push((zone, free)),
            }
        }
        let best = room.into_iter().max_by(|a, b| a.1.total_cmp(&b.1));
        best.map(|(zone, _)| zone.to_string())
    }
}
