//! Shortfalls: waiting tasks that fit on no machine that is up or booting. The sum of all CPUs does
//! not show them. Machines may be idle in another zone, of another type or spot only, or have CPUs
//! but no memory left, and none of them may run the task.
//!
//! The waiting tasks are placed on a copy of the fleet's free capacity, the most restricted jobs
//! first. What is left over is the shortfall. Each job is looked at once; machines are searched once
//! for each distinct requirement that does not fit, so the work does not grow with the tasks.

use crate::coordination::scheduler::capacity_index::is_allowed;
use crate::coordination::scheduler::job::{Job, Name};
use crate::coordination::scheduler::machine::{Machine, MachineStatus};
use crate::coordination::scheduler::resources::Resources;
use crate::coordination::scheduler::state::{MachineTypes, Scheduler};
use crate::coordination::scheduler::zone_constraint::ZoneConstraint;
use crate::protocol::job::JobSpec;
use crate::storage::records::MachineInfo;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// Tasks of one job that fit on no machine that is up or booting.
#[derive(Debug)]
pub struct Shortfall {
    /// The job.
    pub job: Name,
    /// The job's specification.
    pub spec: Rc<JobSpec>,
    /// How many tasks fit nowhere, without those that the team's limit holds back.
    pub tasks: u32,
    /// Whether a machine that is up or booting could run a task of the job if it were empty.
    pub has_machines: bool,
    /// For how long the job has had a shortfall, in seconds.
    pub waited_s: f64,
    zones: ZoneConstraint,
}

impl Shortfall {
    /// Whether the tasks may start in this zone.
    pub fn allows_zone(&self, zone: &str) -> bool {
        self.zones.allows(zone)
    }
}

/// Since when jobs have had a shortfall.
#[derive(Debug, Default)]
pub struct ShortfallAges {
    since: HashMap<Name, f64>,
}

impl ShortfallAges {
    /// Sets how long each job has had its shortfall, and forgets the jobs that have none any more.
    pub fn update(&mut self, shortfalls: &mut [Shortfall], now: f64) {
        let mut since = HashMap::with_capacity(shortfalls.len());
        for shortfall in shortfalls {
            let began = self.since.get(&shortfall.job).copied().unwrap_or(now);
            if began == now && !shortfall.has_machines {
                tracing::info!(job = %shortfall.job, tasks = shortfall.tasks, "no machine that the job may use is up or booting");
            }
            shortfall.waited_s = now - began;
            since.insert(shortfall.job.clone(), began);
        }
        self.since = since;
    }
}

/// What makes machines interchangeable for every job: type, zone, and whether they are spot
/// machines.
type PoolKey<'a> = (&'a str, &'a str, bool);

/// The free capacity of interchangeable machines, an entry for each machine.
struct PoolCapacity<'a> {
    key: PoolKey<'a>,
    free: Vec<Resources>,
}

/// A job with waiting tasks that its team's limit admits.
struct WaitingTasks<'a> {
    name: &'a Name,
    job: &'a Job,
    tasks: u32,
    zones: ZoneConstraint,
    /// Indexes of the pools that the job may use.
    pools: Vec<usize>,
}

/// Pools on which no task with these requirements fits any more.
struct Exhausted {
    pools: Vec<usize>,
    need: Resources,
}

/// The zones in which another task of the job may start. Any zone will do for the first task of a
/// one-zone job, since the job then goes to the zone that has room for it.
fn allowed_zones(scheduler: &Scheduler, job: &Job) -> ZoneConstraint {
    if job.spec.one_zone && job.placed.is_empty() {
        ZoneConstraint::default()
    } else {
        scheduler.zone_constraint(job)
    }
}

/// Whether tasks start on the machine, now or as soon as its controller knows enough about it.
fn counts_as_capacity(machine: &Machine, max_silence_s: f64, now: f64) -> bool {
    machine.status == MachineStatus::Up
        && !machine.cordoned
        && machine.notice_at.is_none()
        && !machine.is_unreachable(now, max_silence_s)
}

/// The free capacity of the machines that are up, and the capacity of the `booting` ones. Machines
/// in partitioned zones do not count.
fn pools_of<'a>(
    scheduler: &'a Scheduler,
    booting: impl Iterator<Item = &'a MachineInfo>,
    partitioned_zones: &[String],
    now: f64,
) -> Vec<PoolCapacity<'a>> {
    let max_silence_s = scheduler.config.silent_s();
    let mut pools: BTreeMap<PoolKey, Vec<Resources>> = BTreeMap::new();
    let mut add = |info: &'a MachineInfo, free: Resources| {
        if !partitioned_zones.contains(&info.zone) {
            let key = (info.kind.as_str(), info.zone.as_str(), info.spot);
            pools.entry(key).or_default().push(free);
        }
    };
    for machine in scheduler.machines.values() {
        let kind = scheduler.types.get(&machine.info.kind);
        let Some(kind) = kind.filter(|_| counts_as_capacity(machine, max_silence_s, now)) else {
            continue;
        };
        let free = if machine.indexed {
            machine.free_capacity
        } else {
            machine.unoccupied(kind)
        };
        add(&machine.info, free);
    }
    for info in booting {
        if let Some(kind) = scheduler.types.get(&info.kind) {
            add(info, Resources::of_type(kind));
        }
    }
    let pools = pools.into_iter();
    pools
        .map(|(key, free)| PoolCapacity { key, free })
        .collect()
}

/// Indexes of the pools that the job may use in these zones.
fn allowed_pools(
    pools: &[PoolCapacity],
    spec: &JobSpec,
    zones: &ZoneConstraint,
    types: &MachineTypes,
) -> Vec<usize> {
    let is_usable = |pool: &PoolCapacity| {
        let (kind, zone, spot) = pool.key;
        is_allowed(spec, kind, zone, spot, types) && zones.allows(zone)
    };
    (0..pools.len())
        .filter(|&index| is_usable(&pools[index]))
        .collect()
}

/// How many waiting tasks of the job should start as soon as there is room: none while the job backs
/// off, one of a job whose tasks fail everywhere.
fn wanted_tasks(job: &Job, now: f64) -> u32 {
    let unplaced = job.unplaced_tasks();
    if job.finished || job.not_before > now || job.is_suspect() && !job.placed.is_empty() {
        0
    } else if job.is_suspect() {
        unplaced.min(1)
    } else {
        unplaced
    }
}

/// The jobs with waiting tasks that the limits of their teams admit.
fn waiting_tasks<'a>(
    scheduler: &'a Scheduler,
    pools: &[PoolCapacity],
    now: f64,
) -> Vec<WaitingTasks<'a>> {
    let mut usage = scheduler.usage().clone();
    let mut waiting = Vec::new();
    for (name, job) in &scheduler.jobs {
        let wanted = wanted_tasks(job, now);
        if wanted == 0 {
            continue;
        }
        let team = scheduler.team(job.team);
        let tasks = usage.of(job.team).admitted_tasks(team, &job.spec, wanted);
        if tasks == 0 {
            continue;
        }
        usage.add(job.team, &job.spec, f64::from(tasks));
        let zones = allowed_zones(scheduler, job);
        waiting.push(WaitingTasks {
            name,
            job,
            tasks,
            pools: allowed_pools(pools, &job.spec, &zones, &scheduler.types),
            zones,
        });
    }
    // The most restricted jobs take their capacity first, so that no other job seems to take it.
    waiting.sort_by_key(|entry| entry.pools.len());
    waiting
}

/// Places up to `tasks` tasks on the pools. Returns how many do not fit.
fn place_on(pools: &mut [PoolCapacity], allowed: &[usize], need: &Resources, tasks: u32) -> u32 {
    let mut left = tasks;
    for &index in allowed {
        for free in &mut pools[index].free {
            if left == 0 {
                return 0;
            }
            left -= free.take(need, left);
        }
    }
    left
}

/// The shortfalls of the scheduler's jobs, without their ages. `booting` machines count as capacity;
/// machines in `partitioned_zones` do not.
pub fn shortfalls<'a>(
    scheduler: &'a Scheduler,
    booting: impl Iterator<Item = &'a MachineInfo>,
    partitioned_zones: &[String],
    now: f64,
) -> Vec<Shortfall> {
    let mut pools = pools_of(scheduler, booting, partitioned_zones, now);
    let mut exhausted: Vec<Exhausted> = Vec::new();
    let mut shortfalls = Vec::new();
    for waiting in waiting_tasks(scheduler, &pools, now) {
        let need = Resources::of_task(&waiting.job.spec);
        let is_known = exhausted
            .iter()
            .any(|entry| need.fits(&entry.need) && entry.pools == waiting.pools);
        let left = if is_known {
            waiting.tasks
        } else {
            place_on(&mut pools, &waiting.pools, &need, waiting.tasks)
        };
        if left == 0 {
            continue;
        }
        shortfalls.push(Shortfall {
            job: waiting.name.clone(),
            spec: waiting.job.spec.clone(),
            tasks: left,
            has_machines: !waiting.pools.is_empty(),
            waited_s: 0.0,
            zones: waiting.zones,
        });
        if !is_known {
            let pools = waiting.pools;
            exhausted.push(Exhausted { pools, need });
        }
    }
    shortfalls
}
