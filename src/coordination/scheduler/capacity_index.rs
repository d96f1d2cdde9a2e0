//! An index of usable machines by free capacity, so that placing a task examines a few
//! machines rather than all of them.
//!
//! Machines that are interchangeable for every job (same type, same zone, all spot or all not)
//! form a pool. Within a pool, machines are sorted by free CPUs. Drawing the n-th machine with
//! enough free CPUs costs about the same for 20 machines and for 1,200.
//!
//! Invariants: a machine is in at most one pool and never changes pools while it is indexed;
//! `CapacityIndex::entries` holds each machine's position in the two lists of its pool.

use crate::coordination::scheduler::job::Name;
use crate::coordination::scheduler::resources::{MachineTypes, Resources, ROUNDING_TOLERANCE};
use crate::protocol::job::JobSpec;
use crate::storage::records::{fits_type, MachineInfo};
use foldhash::fast::RandomState;
use std::collections::HashMap;

/// Maximum number of entries in `CapacityIndex::exhausted`. Further requirements are not
/// remembered, so each placement of a task with such requirements searches again.
const MAX_EXHAUSTED_ENTRIES: usize = 64;

/// Free CPUs of a machine on which no task may start, not even one that takes no CPUs.
const NO_FREE_CPUS: f64 = -1.0;

/// An entry in a pool's list of machines sorted by free CPUs.
#[derive(Debug)]
pub(crate) struct FreeCpus {
    /// Free CPUs of the machine.
    pub cpus: f64,
    pub machine: Name,
}

/// Machines that are interchangeable for every job: of one type, in one zone, and either all
/// spot machines or none.
#[derive(Debug)]
pub(crate) struct MachinePool {
    /// Name of the machine type.
    kind: String,
    /// The zone that all machines of the pool are in.
    pub zone: String,
    /// Whether the pool's machines are spot machines, which the cloud may reclaim.
    spot: bool,
    /// Usable machines by free CPUs, fewest first. Task sizes are arbitrary decimals, so
    /// buckets of whole CPUs would contain many machines on which a task does not fit. Moving
    /// a few hundred list entries on each change costs less than examining those machines.
    by_free_cpus: Vec<FreeCpus>,
    /// Usable machines whose queue is not full, in no particular order.
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

    /// Whether the machine belongs in this pool.
    fn matches(&self, info: &MachineInfo) -> bool {
        self.kind == info.kind && self.zone == info.zone && self.spot == info.spot
    }

    /// Number of usable machines in the pool.
    pub fn usable_count(&self) -> usize {
        self.by_free_cpus.len()
    }

    /// Position in `by_free_cpus` of the machine with this name and this number of free CPUs: `Ok`
    /// if the machine is listed, otherwise `Err` with the position at which to insert it.
    fn position(&self, cpus: f64, name: &str) -> Result<usize, usize> {
        self.by_free_cpus.binary_search_by(|entry| {
            let by_cpus = entry.cpus.total_cmp(&cpus);
            by_cpus.then_with(|| (*entry.machine).cmp(name))
        })
    }

    /// Machines with at least `cpus` free CPUs, sorted by free CPUs, fewest first.
    fn with_cpus(&self, cpus: f64) -> &[FreeCpus] {
        let first = self
            .by_free_cpus
            .partition_point(|entry| entry.cpus < cpus - ROUNDING_TOLERANCE);
        &self.by_free_cpus[first..]
    }
}

/// The properties of a machine that determine its place in the index, apart from its pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Availability {
    pub free_cpus: f64,
    /// Whether the machine's queue has room for another task.
    pub has_queue_room: bool,
}

impl Availability {
    /// The availability of a machine with this free capacity. A machine that may hold no further
    /// attempt counts as having no free CPUs, so it is not drawn for any task.
    pub fn new(free: &Resources, has_queue_room: bool) -> Availability {
        Availability {
            free_cpus: if free.attempts > 0 {
                free.cpus
            } else {
                NO_FREE_CPUS
            },
            has_queue_room,
        }
    }
}

/// The position of a machine in the index.
#[derive(Debug, Clone, Copy)]
struct IndexEntry {
    pool: usize,
    free_cpus: f64,
    /// Position in the pool's `short_queue` list; `None` if the machine's queue is full.
    short_queue_position: Option<usize>,
}

/// Requirements for which no machine of `pools` has capacity.
#[derive(Debug)]
struct ExhaustedRequirements {
    /// Indexes of the pools.
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
    /// Requirements for which an exhaustive search found no machine. An entry stays valid until
    /// the free capacity of some machine grows enough for the requirements (see `capacity_grew`).
    exhausted: Vec<ExhaustedRequirements>,
}

impl IndexEntry {
    fn availability(&self) -> Availability {
        Availability {
            free_cpus: self.free_cpus,
            has_queue_room: self.short_queue_position.is_some(),
        }
    }
}

impl CapacityIndex {
    /// Removes a machine, if it is indexed.
    pub(crate) fn remove(&mut self, name: &str) {
        let Some(entry) = self.entries.remove(name) else {
            return;
        };
        let pool = &mut self.pools[entry.pool];
        if let Ok(position) = pool.position(entry.free_cpus, name) {
            pool.by_free_cpus.remove(position);
        }
        if pool.by_free_cpus.is_empty() {
            self.version += 1;
        }
        let Some(position) = entry.short_queue_position else {
            return;
        };
        pool.short_queue.swap_remove(position);
        let moved = pool.short_queue.get(position);
        if let Some(moved) = moved.and_then(|name| self.entries.get_mut(name)) {
            moved.short_queue_position = Some(position);
        }
    }

    /// Inserts a usable machine, or moves the machine to its new position if it is already
    /// indexed.
    pub(crate) fn insert_or_move(
        &mut self,
        name: &Name,
        info: &MachineInfo,
        availability: Availability,
    ) {
        let previous = self.entries.get(name).copied();
        if previous.is_some_and(|entry| entry.availability() == availability) {
            return;
        }
        let Availability {
            free_cpus,
            has_queue_room,
        } = availability;
        self.remove(name);
        // An indexed machine stays in its pool.
        let pool_index = match previous {
            Some(entry) => entry.pool,
            None => self.find_or_add_pool(info),
        };
        let pool = &mut self.pools[pool_index];
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
            pool: pool_index,
            free_cpus,
            short_queue_position: has_queue_room.then_some(pool.short_queue.len()),
        };
        if has_queue_room {
            pool.short_queue.push(name.clone());
        }
        self.entries.insert(name.clone(), entry);
    }

    fn find_or_add_pool(&mut self, info: &MachineInfo) -> usize {
        let existing = self.pools.iter().position(|pool| pool.matches(info));
        existing.unwrap_or_else(|| {
            self.pools.push(MachinePool::new(info));
            self.pools.len() - 1
        })
    }

    /// Index of the pool that contains the machine; `None` if the machine is not indexed.
    pub(crate) fn pool_of(&self, name: &str) -> Option<usize> {
        self.entries.get(name).map(|entry| entry.pool)
    }

    /// The pool at this index.
    pub(crate) fn pool(&self, index: usize) -> &MachinePool {
        &self.pools[index]
    }

    /// Indexes of the non-empty pools that the job may use, regardless of free capacity.
    pub(crate) fn pools_for(
        &self,
        spec: &JobSpec,
        types: &MachineTypes,
        allows_zone: impl Fn(&str) -> bool,
    ) -> Vec<usize> {
        let is_usable = |pool: &MachinePool| {
            pool.usable_count() > 0
                && is_allowed(spec, &pool.kind, &pool.zone, pool.spot, types)
                && allows_zone(&pool.zone)
        };
        (0..self.pools.len())
            .filter(|&index| is_usable(&self.pools[index]))
            .collect()
    }

    /// Updates the index after the free capacity of a machine grew to `free`: forgets the exhausted
    /// requirements that fit into this capacity.
    pub(crate) fn capacity_grew(&mut self, free: &Resources) {
        self.exhausted.retain(|entry| !free.fits(&entry.need));
    }

    /// Remembers that no machine of the pools has enough free capacity for these requirements.
    pub(crate) fn set_exhausted(&mut self, pools: &[usize], need: Resources) {
        if self.exhausted.len() < MAX_EXHAUSTED_ENTRIES {
            let pools = pools.to_vec();
            self.exhausted.push(ExhaustedRequirements { pools, need });
        }
    }

    /// Whether the index remembers that no machine of these pools has enough free capacity for
    /// these requirements, or for equal or smaller ones.
    pub(crate) fn is_exhausted(&self, pools: &[usize], need: &Resources) -> bool {
        self.exhausted
            .iter()
            .any(|entry| need.fits(&entry.need) && entry.pools == pools)
    }

    /// Number of machines in the pools with at least `cpus` free CPUs.
    pub(crate) fn count_with_cpus(&self, pools: &[usize], cpus: f64) -> usize {
        let count = |&index: &usize| self.pools[index].with_cpus(cpus).len();
        pools.iter().map(count).sum()
    }

    /// The machine at index `n`, counted from 0, among the machines of the pools with at least
    /// `cpus` free CPUs; `None` if there are not so many.
    pub(crate) fn nth_with_cpus(&self, pools: &[usize], cpus: f64, mut n: usize) -> Option<&Name> {
        for &index in pools {
            let candidates = self.pools[index].with_cpus(cpus);
            if let Some(entry) = candidates.get(n) {
                return Some(&entry.machine);
            }
            n -= candidates.len();
        }
        None
    }

    /// The pool's machines with at least `cpus` free CPUs, sorted by free CPUs, fewest first.
    pub(crate) fn with_cpus(&self, pool: usize, cpus: f64) -> &[FreeCpus] {
        self.pools[pool].with_cpus(cpus)
    }

    /// Number of machines in the pools whose queue is not full.
    pub(crate) fn count_short_queues(&self, pools: &[usize]) -> usize {
        let count = |&index: &usize| self.pools[index].short_queue.len();
        pools.iter().map(count).sum()
    }

    /// The machine at index `n`, counted from 0, among the machines of the pools whose queue is
    /// not full; `None` if there are not so many.
    pub(crate) fn nth_short_queue(&self, pools: &[usize], mut n: usize) -> Option<&Name> {
        for &index in pools {
            let candidates = &self.pools[index].short_queue;
            if let Some(name) = candidates.get(n) {
                return Some(name);
            }
            n -= candidates.len();
        }
        None
    }
}

/// Whether the job may use machines of the type `kind` in this zone, regardless of free capacity.
/// Spot machines are only for jobs that accept them.
pub(crate) fn is_allowed(
    spec: &JobSpec,
    kind: &str,
    zone: &str,
    spot: bool,
    types: &MachineTypes,
) -> bool {
    (spec.spot || !spot)
        && spec.zone.as_ref().is_none_or(|required| required == zone)
        && types
            .get(kind)
            .is_some_and(|machine_type| fits_type(spec, machine_type))
}

/// Whether the job may use the machine, regardless of free capacity.
pub(crate) fn may_use(spec: &JobSpec, info: &MachineInfo, types: &MachineTypes) -> bool {
    is_allowed(spec, &info.kind, &info.zone, info.spot, types)
}
