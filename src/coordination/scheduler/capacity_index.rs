//! An index of usable machines by free capacity, so that placing a task examines a few
//! machines rather than all of them.
//!
//! Machines that are alike to every job (type, zone, spot or not) form a pool. Within a
//! pool they are sorted by free CPUs; drawing the n-th machine with enough free CPUs costs
//! about the same for 20 machines and for 1,200.
//!
//! Invariants: a machine stands in at most one pool, and stays in it; `entries` mirrors the
//! two lists of every pool.

use crate::coordination::scheduler::job::Name;
use crate::coordination::scheduler::resources::{Resources, Types, ROUNDING_TOLERANCE};
use crate::protocol::job::JobSpec;
use crate::storage::records::{fits_type, MachineInfo};
use foldhash::fast::RandomState;
use std::collections::HashMap;

/// Bound on the remembered requirements that no machine has capacity for; any more are
/// searched for again.
const MAX_EXHAUSTED: usize = 64;

/// A machine in a pool's sorted list.
#[derive(Debug)]
pub(crate) struct FreeCpus {
    /// Its free CPUs.
    pub cpus: f64,
    /// Its name.
    pub machine: Name,
}

/// Machines alike to every job: one type, one zone, spot or not.
#[derive(Debug)]
pub(crate) struct MachinePool {
    /// Name of the machine type.
    kind: String,
    /// The zone that all of them are in.
    pub zone: String,
    /// Whether they are spot machines, which the cloud may take back.
    spot: bool,
    /// Usable machines by free CPUs, least first. Task sizes are arbitrary decimals, so
    /// that buckets of whole CPUs would hold many machines that do not fit; moving a few
    /// hundred entries at a change costs less than examining those.
    by_free_cpus: Vec<FreeCpus>,
    /// Usable machines whose queue has a place left.
    short_queue: Vec<Name>,
}

impl MachinePool {
    fn new(info: &MachineInfo) -> MachinePool {
        MachinePool {
            kind: info.kind.clone(),
            zone: info.zone.clone(),
            spot: info.spot,
            by_free_cpus: Vec::new(),
            short_queue: Vec::new(),
        }
    }

    /// Whether the machine belongs into this pool.
    fn matches(&self, info: &MachineInfo) -> bool {
        self.kind == info.kind && self.zone == info.zone && self.spot == info.spot
    }

    /// How many usable machines it has.
    pub fn usable(&self) -> usize {
        self.by_free_cpus.len()
    }

    /// Position of a machine with this many free CPUs: `Ok` if it is listed there, `Err`
    /// with the position to insert it at otherwise.
    fn position(&self, cpus: f64, name: &str) -> Result<usize, usize> {
        self.by_free_cpus.binary_search_by(|entry| {
            let by_cpus = entry.cpus.total_cmp(&cpus);
            by_cpus.then_with(|| (*entry.machine).cmp(name))
        })
    }

    /// Machines with this many CPUs free, the fullest first.
    fn with_cpus(&self, cpus: f64) -> &[FreeCpus] {
        let first = self
            .by_free_cpus
            .partition_point(|entry| entry.cpus < cpus - ROUNDING_TOLERANCE);
        &self.by_free_cpus[first..]
    }
}

/// What of a machine the index depends on, beside its pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Availability {
    pub free_cpus: f64,
    /// Whether its queue has a place left.
    pub has_short_queue: bool,
}

/// Where the index has a machine.
#[derive(Debug, Clone, Copy)]
struct IndexEntry {
    pool: usize,
    free_cpus: f64,
    /// Position in the pool's list of short queues, if it stands there.
    short_queue_position: Option<usize>,
}

/// Requirements for which no machine of some pools has capacity.
#[derive(Debug)]
struct Exhausted {
    pools: Vec<usize>,
    need: Resources,
}

/// The index of usable machines.
#[derive(Debug, Default)]
pub struct CapacityIndex {
    pools: Vec<MachinePool>,
    entries: HashMap<Name, IndexEntry, RandomState>,
    /// Changes whenever a pool gets its first machine or loses its last one.
    pub(crate) version: u64,
    /// Requirements for which an exhaustive search found no machine. Capacity is freed one
    /// machine at a time, so this holds until some machine's grows (see `capacity_grew`).
    exhausted: Vec<Exhausted>,
}

impl IndexEntry {
    fn availability(&self) -> Availability {
        Availability {
            free_cpus: self.free_cpus,
            has_short_queue: self.short_queue_position.is_some(),
        }
    }
}

impl CapacityIndex {
    /// Removes a machine.
    pub(crate) fn remove(&mut self, name: &str) {
        let Some(entry) = self.entries.remove(name) else {
            return;
        };
        let pool = &mut self.pools[entry.pool];
        if let Ok(at) = pool.position(entry.free_cpus, name) {
            pool.by_free_cpus.remove(at);
        }
        if pool.by_free_cpus.is_empty() {
            self.version += 1;
        }
        let Some(at) = entry.short_queue_position else {
            return;
        };
        pool.short_queue.swap_remove(at);
        let moved = pool.short_queue.get(at);
        if let Some(moved) = moved.and_then(|name| self.entries.get_mut(name)) {
            moved.short_queue_position = Some(at);
        }
    }

    /// Inserts a usable machine, or moves it to where it belongs now.
    pub(crate) fn put(&mut self, name: &Name, info: &MachineInfo, availability: Availability) {
        let known = self.entries.get(name).copied();
        if known.is_some_and(|entry| entry.availability() == availability) {
            return;
        }
        let Availability {
            free_cpus,
            has_short_queue,
        } = availability;
        self.remove(name);
        // A machine stays in its pool.
        let at = match known {
            Some(entry) => entry.pool,
            None => self.find_or_add_pool(info),
        };
        let pool = &mut self.pools[at];
        if let Err(position) = pool.position(free_cpus, name) {
            let entry = FreeCpus {
                cpus: free_cpus,
                machine: name.clone(),
            };
            pool.by_free_cpus.insert(position, entry);
        }
        if pool.by_free_cpus.len() == 1 {
            self.version += 1;
        }
        let entry = IndexEntry {
            pool: at,
            free_cpus,
            short_queue_position: has_short_queue.then_some(pool.short_queue.len()),
        };
        if has_short_queue {
            pool.short_queue.push(name.clone());
        }
        self.entries.insert(name.clone(), entry);
    }

    fn find_or_add_pool(&mut self, info: &MachineInfo) -> usize {
        let found = self.pools.iter().position(|pool| pool.matches(info));
        found.unwrap_or_else(|| {
            self.pools.push(MachinePool::new(info));
            self.pools.len() - 1
        })
    }

    /// The pool that has the machine.
    pub(crate) fn pool_of(&self, name: &str) -> Option<usize> {
        self.entries.get(name).map(|entry| entry.pool)
    }

    /// The pool at this index.
    pub(crate) fn pool(&self, at: usize) -> &MachinePool {
        &self.pools[at]
    }

    /// The non-empty pools that the job may use, apart from free capacity.
    pub(crate) fn pools_for(
        &self,
        spec: &JobSpec,
        types: &Types,
        zone_ok: impl Fn(&str) -> bool,
    ) -> Vec<usize> {
        let fits = |pool: &MachinePool| {
            pool.usable() > 0
                && is_allowed(spec, &pool.kind, &pool.zone, pool.spot, types)
                && zone_ok(&pool.zone)
        };
        (0..self.pools.len())
            .filter(|&at| fits(&self.pools[at]))
            .collect()
    }

    /// A machine has this much free capacity now, and had less.
    pub(crate) fn capacity_grew(&mut self, free: &Resources) {
        self.exhausted.retain(|known| !free.fits(&known.need));
    }

    /// No machine of the pools has capacity for this.
    pub(crate) fn set_exhausted(&mut self, pools: &[usize], need: Resources) {
        if self.exhausted.len() < MAX_EXHAUSTED {
            let pools = pools.to_vec();
            self.exhausted.push(Exhausted { pools, need });
        }
    }

    /// Whether it is known that no machine of the pools has capacity for this.
    pub(crate) fn is_exhausted(&self, pools: &[usize], need: &Resources) -> bool {
        self.exhausted
            .iter()
            .any(|known| need.fits(&known.need) && known.pools == pools)
    }

    /// How many machines of the pools have this many CPUs free.
    pub(crate) fn count_with_cpus(&self, pools: &[usize], cpus: f64) -> usize {
        let count = |&at: &usize| self.pools[at].with_cpus(cpus).len();
        pools.iter().map(count).sum()
    }

    /// The `n`-th machine of the pools with this many CPUs free.
    pub(crate) fn nth_with_cpus(&self, pools: &[usize], cpus: f64, mut n: usize) -> Option<&Name> {
        for &at in pools {
            let candidates = self.pools[at].with_cpus(cpus);
            if let Some(entry) = candidates.get(n) {
                return Some(&entry.machine);
            }
            n -= candidates.len();
        }
        None
    }

    /// The pool's machines with this many CPUs free, the fullest first.
    pub(crate) fn with_cpus(&self, pool: usize, cpus: f64) -> &[FreeCpus] {
        self.pools[pool].with_cpus(cpus)
    }

    /// How many machines of the pools have a place in their queue.
    pub(crate) fn count_short_queues(&self, pools: &[usize]) -> usize {
        let count = |&at: &usize| self.pools[at].short_queue.len();
        pools.iter().map(count).sum()
    }

    /// The `n`-th machine of the pools with a place in its queue.
    pub(crate) fn nth_short_queue(&self, pools: &[usize], mut n: usize) -> Option<&Name> {
        for &at in pools {
            let candidates = &self.pools[at].short_queue;
            if let Some(name) = candidates.get(n) {
                return Some(name);
            }
            n -= candidates.len();
        }
        None
    }
}

/// Whether the job may use such a machine at all, apart from free capacity.
fn is_allowed(spec: &JobSpec, kind: &str, zone: &str, spot: bool, types: &Types) -> bool {
    (spec.spot || !spot)
        && spec.zone.as_ref().is_none_or(|required| required == zone)
        && types.get(kind).is_some_and(|t| fits_type(spec, t))
}

/// Whether the job may use the machine at all, apart from free capacity.
pub(crate) fn may_use(spec: &JobSpec, info: &MachineInfo, types: &Types) -> bool {
    is_allowed(spec, &info.kind, &info.zone, info.spot, types)
}
