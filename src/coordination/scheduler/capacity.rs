//! Room on machines, and an index of them by it, so that placing a task looks
//! at a few machines and not at all of them.

use crate::coordination::scheduler::job::Name;
use crate::coordination::scheduler::machine::Machine;
use crate::coordination::scheduler::state::Types;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::JobSpec;
use crate::storage::records::{fits_type, MachineInfo};
use foldhash::fast::RandomState;
use std::collections::HashMap;

/// Amounts of what tasks take.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

impl Resources {
    /// All of a machine of this type.
    pub fn of_type(kind: &MachineType) -> Resources {
        Resources {
            cpus: kind.cpus,
            gpus: kind.gpus,
            memory_gb: kind.memory_gb,
        }
    }
    /// What a task of the job takes.
    pub fn of_task(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }
    /// Whether `need` fits into it; sums of decimals are off by a little.
    pub fn fits(&self, need: &Resources) -> bool {
        const E: f64 = 1e-6;
        need.cpus <= self.cpus + E
            && need.gpus <= self.gpus + E
            && need.memory_gb <= self.memory_gb + E
    }
    pub fn subtract(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }
}

/// Machines alike to every job: one type, zone and kind of rental.
#[derive(Debug)]
pub(crate) struct MachinePool {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    /// Usable machines by free CPUs, least first. Sizes of tasks are any
    /// decimals, so that classes by whole CPUs would hold many that do not fit;
    /// moving a few hundred entries at a change costs less than looking at them.
    by_free_cpus: Vec<(f64, Name)>,
    /// Usable machines with a place in their queue.
    short_queue: Vec<Name>,
}

impl MachinePool {
    pub fn usable(&self) -> usize {
        self.by_free_cpus.len()
    }

    /// Where in the order a machine with this much room stands.
    fn place(&self, cpus: f64, name: &str) -> Result<usize, usize> {
        self.by_free_cpus
            .binary_search_by(|(c, n)| c.total_cmp(&cpus).then_with(|| (**n).cmp(name)))
    }

    /// The first machine with this many CPUs free; sums are off by a little.
    fn first(&self, cpus: f64) -> usize {
        self.by_free_cpus.partition_point(|(c, _)| *c < cpus - 1e-6)
    }
}

/// Where the index has a machine.
#[derive(Debug, Clone, Copy)]
struct Place {
    pool: usize,
    cpus: f64,
    short: Option<usize>,
}

/// The index.
#[derive(Debug, Default)]
pub struct CapacityIndex {
    pools: Vec<MachinePool>,
    places: HashMap<Name, Place, RandomState>,
    /// Changes whenever a pool gets its first machine or loses its last one.
    pub(crate) version: u64,
    /// Needs for which no machine of these pools has room, as found by a look
    /// at all of them. Room only comes free one machine at a time, so this
    /// holds until one of them does (see `grew`).
    exhausted: Vec<(Vec<usize>, Resources)>,
}

/// Most such needs remembered; any more are looked up again.
const FULL: usize = 64;

impl CapacityIndex {
    /// Takes a machine out.
    pub(crate) fn remove(&mut self, name: &str) {
        let Some(place) = self.places.remove(name) else {
            return;
        };
        let pool = &mut self.pools[place.pool];
        if let Ok(at) = pool.place(place.cpus, name) {
            pool.by_free_cpus.remove(at);
        }
        if pool.by_free_cpus.is_empty() {
            self.version += 1;
        }
        if let Some(at) = place.short {
            pool.short_queue.swap_remove(at);
            if let Some(p) = pool
                .short_queue
                .get(at)
                .and_then(|n| self.places.get_mut(n))
            {
                p.short = Some(at);
            }
        }
    }

    /// Puts a usable machine where it belongs now.
    pub(crate) fn put(&mut self, name: &Name, info: &MachineInfo, free_cpus: f64, short: bool) {
        if let Some(place) = self.places.get(name) {
            if place.cpus == free_cpus && place.short.is_some() == short {
                return;
            }
        }
        // A machine stays in its pool.
        let known = self.places.get(name).map(|p| p.pool);
        self.remove(name);
        let alike =
            |p: &MachinePool| p.kind == info.kind && p.zone == info.zone && p.spot == info.spot;
        let found = known.or_else(|| self.pools.iter().position(alike));
        let at = found.unwrap_or_else(|| {
            self.pools.push(MachinePool {
                kind: info.kind.clone(),
                zone: info.zone.clone(),
                spot: info.spot,
                by_free_cpus: Vec::new(),
                short_queue: Vec::new(),
            });
            self.pools.len() - 1
        });
        let pool = &mut self.pools[at];
        if let Err(to) = pool.place(free_cpus, name) {
            pool.by_free_cpus.insert(to, (free_cpus, name.clone()));
        }
        if pool.by_free_cpus.len() == 1 {
            self.version += 1;
        }
        let place = Place {
            pool: at,
            cpus: free_cpus,
            short: short.then_some(pool.short_queue.len()),
        };
        if short {
            pool.short_queue.push(name.clone());
        }
        self.places.insert(name.clone(), place);
    }

    /// The pool that has the machine.
    pub(crate) fn pool_of(&self, name: &str) -> Option<usize> {
        self.places.get(name).map(|p| p.pool)
    }

    /// The pools that the job may use at all.
    pub(crate) fn pools_for(
        &self,
        spec: &JobSpec,
        types: &Types,
        zone_ok: impl Fn(&str) -> bool,
    ) -> Vec<usize> {
        let fits = |p: &MachinePool| {
            p.usable() > 0 && allowed(spec, &p.kind, &p.zone, p.spot, types) && zone_ok(&p.zone)
        };
        (0..self.pools.len())
            .filter(|&i| fits(&self.pools[i]))
            .collect()
    }

    pub(crate) fn pool(&self, at: usize) -> &MachinePool {
        &self.pools[at]
    }

    /// A machine has this much room now, and had less.
    pub(crate) fn capacity_grew(&mut self, free: &Resources) {
        self.exhausted.retain(|(_, need)| !free.fits(need));
    }

    /// No machine of the pools has room for this.
    pub(crate) fn set_exhausted(&mut self, pools: &[usize], need: Resources) {
        if self.exhausted.len() < FULL {
            self.exhausted.push((pools.to_vec(), need));
        }
    }

    /// Whether it is known that no machine of the pools has room for this.
    pub(crate) fn is_exhausted(&self, pools: &[usize], need: &Resources) -> bool {
        self.exhausted
            .iter()
            .any(|(p, full)| need.fits(full) && p == pools)
    }

    /// How many machines of the pools have this many CPUs free.
    pub(crate) fn count_with_cpus(&self, pools: &[usize], cpus: f64) -> usize {
        let roomy = |p: &MachinePool| p.by_free_cpus.len() - p.first(cpus);
        pools.iter().map(|&p| roomy(&self.pools[p])).sum()
    }

    /// The `n`th of those.
    pub(crate) fn nth_with_cpus(&self, pools: &[usize], cpus: f64, mut n: usize) -> Option<&Name> {
        for &p in pools {
            let pool = &self.pools[p];
            let roomy = &pool.by_free_cpus[pool.first(cpus)..];
            if n < roomy.len() {
                return roomy.get(n).map(|r| &r.1);
            }
            n -= roomy.len();
        }
        None
    }

    /// The pool's machines with as many CPUs free, the fullest first.
    pub(crate) fn with_cpus(&self, pool: usize, cpus: f64) -> &[(f64, Name)] {
        let pool = &self.pools[pool];
        &pool.by_free_cpus[pool.first(cpus)..]
    }

    /// How many machines of the pools have a place in their queue.
    pub(crate) fn count_short_queues(&self, pools: &[usize]) -> usize {
        pools.iter().map(|&p| self.pools[p].short_queue.len()).sum()
    }

    /// The `n`th of those.
    pub(crate) fn nth_short_queue(&self, pools: &[usize], mut n: usize) -> Option<&Name> {
        for &p in pools {
            let short = &self.pools[p].short_queue;
            if n < short.len() {
                return short.get(n);
            }
            n -= short.len();
        }
        None
    }
}

/// Whether the job may use such a machine at all, apart from room.
fn allowed(spec: &JobSpec, kind: &str, zone: &str, spot: bool, types: &Types) -> bool {
    (spec.spot || !spot)
        && spec.zone.as_ref().is_none_or(|z| z == zone)
        && types.get(kind).is_some_and(|t| fits_type(spec, t))
}

/// Whether the job may use the machine at all, apart from room.
pub(crate) fn may_use(spec: &JobSpec, m: &Machine, types: &Types) -> bool {
    allowed(spec, &m.info.kind, &m.info.zone, m.info.spot, types)
}
