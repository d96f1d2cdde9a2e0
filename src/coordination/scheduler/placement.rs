//! Placement: each task samples fitting machines, starts at once on one with
//! free room, else joins the one with fewer bound waiting tasks; a queue starts
//! the smallest prediction first (see `queue`).
//!
//! A pass is made whenever something may have changed, so it must not look at
//! every machine or every task: samples come from the index of machines by
//! room, and jobs that cannot be served are passed over by a few numbers.

use crate::coordination::scheduler::capacity::{may_use, Resources};
use crate::coordination::scheduler::job::{Job, Name, Names, TaskId};
use crate::coordination::scheduler::machine::Machine;
use crate::coordination::scheduler::quota::{within_limit, TeamUsage};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::{JobSpec, Urgency};
use rand::Rng;
use std::collections::HashMap;
use std::rc::Rc;

/// Draws for each machine of a sample, before a look at all as a last resort:
/// chosen by free CPUs, most have the memory too.
const DRAWS: usize = 4;
/// What decides whether room can be made for a task, apart from how much it
/// takes: team, urgency, whether it is within a guarantee, where it may run.
pub(crate) type TaskRequirements = (Option<usize>, Urgency, bool, Rc<[usize]>);

/// Jobs that are tried thoroughly again after a report that freed room, first
/// in the order; for the others, which may be hundreds, room that came free is
/// all that is looked at, until the next full pass.
const AGAIN: usize = 8;

/// What one pass remembers.
#[derive(Debug, Default)]
pub(crate) struct PlacementPass {
    pub usage: TeamUsage,
    /// Kinds of tasks for which no room can be made, and how little they take:
    /// it can't be made for more either.
    pub infeasible: Vec<(TaskRequirements, Resources)>,
    /// Stops that had their effect were forgotten in this pass.
    pub stops_pruned: bool,
    /// What each team's stopped work will free, less what waits for it.
    pub freeing: Option<HashMap<usize, (f64, f64)>>,
    /// Whether a team has work on machines less urgent than this.
    less_urgent: HashMap<(Option<usize>, Urgency), bool>,
}

impl Scheduler {
    /// Whether placing is allowed yet. Asked after every report of a takeover,
    /// so each machine that turned out accounted for is looked at once.
    pub fn fencing_complete(&mut self) -> bool {
        if self.fence.open {
            return true;
        }
        while let Some(name) = self.unfenced.last() {
            if self
                .machines
                .get(name)
                .is_some_and(Machine::blocks_placement)
            {
                return false;
            }
            self.unfenced.pop();
        }
        tracing::info!(term = self.term, "all machines accounted for: placing");
        self.fence.open = true;
        true
    }

    /// How many machines hold up placing after a takeover, while any do.
    pub fn unfenced_count(&self) -> Option<usize> {
        let machines = self.unfenced.iter().filter_map(|n| self.machines.get(n));
        (!self.fence.open).then(|| machines.filter(|m| m.blocks_placement()).count())
    }

    pub(crate) fn usable(&self, m: &Machine, now: f64) -> bool {
        m.is_usable(now, self.config.silent_s())
    }

    /// Brings a machine's free room and its place in the index up to date.
    pub(crate) fn update_capacity(&mut self, name: &str) {
        let silent_s = self.config.silent_s();
        let depth = self.config.policy.queue_depth;
        let Some((_, key, m)) = self.machines.get_full_mut(name) else {
            self.capacity_index.remove(name);
            return;
        };
        let kind = self.types.get(&m.info.kind);
        let mut free = kind.map_or(Resources::default(), Resources::of_type);
        if kind.is_some() {
            for (_, active) in m.live_attempts() {
                free.subtract(&active.resources);
            }
        }
        let usable = kind.is_some() && m.is_usable(self.now, silent_s);
        if usable {
            let short = m.queue.len() < depth;
            self.capacity_index.put(key, &m.info, free.cpus, short);
        } else {
            self.capacity_index.remove(key);
        }
        if usable && (!m.indexed || !m.free_capacity.fits(&free)) {
            self.capacity_index.capacity_grew(&free);
            self.grown_capacity.push(free);
            if !m.queue.is_empty() {
                self.freed_machines.insert(key.clone());
            }
        }
        m.free_capacity = free;
        m.indexed = usable;
    }

    /// A pass over what may be placed since the last one: jobs with tasks that
    /// began to wait, and those that fit where room came free. What was passed
    /// over for other reasons (a limit, no victims) waits for the next full
    /// pass, a part of a report interval later.
    pub fn place_changed(&mut self, now: f64) {
        self.run_pass(now, false);
    }

    /// One pass over all that waits.
    pub fn place_all(&mut self, now: f64) {
        self.run_pass(now, true);
    }

    fn run_pass(&mut self, now: f64, full: bool) {
        self.now = now;
        if !self.fencing_complete() {
            // All jobs are news to the first pass.
            self.grown_capacity.clear();
            return;
        }
        self.placement_due = false;
        self.expire_queued(now);
        self.refresh_job_order(now);
        if full {
            self.team_usage = self.count_usage();
        }
        let mut pass = PlacementPass {
            usage: self.team_usage.clone(),
            ..PlacementPass::default()
        };
        let freed: Names = std::mem::take(&mut self.freed_machines);
        let grown = std::mem::take(&mut self.grown_capacity);
        let order = std::mem::take(&mut self.job_order.jobs);
        let mut at = 0;
        let mut again = AGAIN;
        while at < order.len() {
            let rank = order[at].rank;
            self.start_reserved(rank, &freed, &mut pass, now);
            while at < order.len() && order[at].rank == rank {
                let entry = &order[at];
                let fresh = full || entry.has_new_tasks.get();
                if fresh || grown.iter().any(|g| g.fits(&entry.requirements)) {
                    let thorough = fresh || again > 0;
                    again -= usize::from(!fresh && again > 0);
                    if !entry.first_task_only {
                        self.place_job(&entry.name, u32::MAX, thorough, &mut pass, now);
                    } else if self
                        .jobs
                        .get(&entry.name)
                        .is_some_and(|j| j.placed.is_empty())
                    {
                        self.place_job(&entry.name, 1, thorough, &mut pass, now);
                    }
                }
                at += 1;
            }
        }
        self.start_reserved(u8::MAX, &freed, &mut pass, now);
        self.job_order.jobs = order;
    }

    /// Starts the task on the machine.
    pub(crate) fn start_task(
        &mut self,
        machine: &Name,
        task: TaskId,
        spec: &JobSpec,
        pass: &mut PlacementPass,
        now: f64,
    ) {
        tracing::debug!(job = %task.job, task = task.index, machine = %machine, term = self.term, "start");
        let team = self.team_index(&spec.team);
        pass.usage.add(team, spec, 1.0);
        self.start_attempt(machine, task, now);
        self.update_capacity(machine);
    }

    /// Places what waits of one job, `most` tasks: by room that is free and, if
    /// `thorough`, by making room and in queues.
    fn place_job(
        &mut self,
        name: &Name,
        most: u32,
        thorough: bool,
        pass: &mut PlacementPass,
        now: f64,
    ) {
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        if job.not_before > now {
            return;
        }
        if most > 1 {
            job.has_new_tasks.set(false);
        }
        if job.unplaced_tasks() == 0 {
            return;
        }
        let (spec, team) = (job.spec.clone(), job.team);
        let need = Resources::of_task(&spec);
        let mut placed = 0;
        loop {
            let Some(job) = self.jobs.get(name) else {
                return;
            };
            // One task tells whether a job that fails everywhere still does.
            let tried = job.is_suspect() && !job.placed.is_empty();
            if job.unplaced_tasks() == 0 || placed >= most || tried {
                return;
            }
            let limit = self.team(team);
            let allowed = within_limit(limit, pass.usage.of(team), &spec, 1.0);
            let yields = |scheduler: &Scheduler, pass: &mut PlacementPass| {
                thorough && scheduler.team_has_less_urgent(team, spec.urgency, pass)
            };
            if !allowed && !yields(self, pass) {
                return;
            }
            let Some(pools) = self.pools_for_job(name) else {
                return;
            };
            let open = allowed && !self.capacity_index.is_exhausted(&pools, &need);
            if !open && !thorough {
                return;
            }
            let Some(index) = self.jobs.get_mut(name).and_then(Job::take_waiting) else {
                if open {
                    self.start_queued_elsewhere(name, &spec, pass, now);
                }
                return;
            };
            let task = TaskId {
                index,
                job: name.clone(),
            };
            if open {
                if let Some(machine) = self.sample_with_capacity(&spec, &task, &pools, now) {
                    if most == 1 {
                        if let Some(job) = self.jobs.get_mut(name) {
                            job.began_late = true;
                        }
                    }
                    self.start_task(&machine, task, &spec, pass, now);
                    placed += 1;
                    continue;
                }
            }
            let made = thorough
                .then(|| self.preempt_for(name, &pools, pass, now))
                .flatten();
            let reserved = made.is_some();
            let joined = made.or_else(|| {
                (allowed && thorough)
                    .then(|| self.sample_queues(&task, &pools, now))
                    .flatten()
            });
            let Some(machine) = joined else {
                if let Some(job) = self.jobs.get_mut(name) {
                    job.requeue(index);
                    job.has_new_tasks.set(false);
                }
                return;
            };
            if reserved {
                pass.freeing = None;
            }
            self.enqueue(&machine, task, reserved, now);
            placed += 1;
        }
    }

    /// The pools that a task of the job may use now.
    pub(crate) fn pools_for_job(&mut self, name: &Name) -> Option<Rc<[usize]>> {
        let job = self.jobs.get(name)?;
        let spec = &job.spec;
        let by_zone = spec.one_zone || spec.spread;
        if !by_zone && job.pools.0 == self.capacity_index.version {
            return Some(job.pools.1.clone());
        }
        let zones = self.zone_constraint(job);
        let zone_ok = |z: &str| zones.allows(z);
        let pools: Rc<[usize]> = self
            .capacity_index
            .pools_for(spec, &self.types, zone_ok)
            .into();
        if let Some(job) = self.jobs.get_mut(name) {
            job.pools = (self.capacity_index.version, pools.clone());
        }
        Some(pools)
    }

    /// Whether the team has work on machines that is less urgent than this.
    fn team_has_less_urgent(
        &self,
        team: Option<usize>,
        urgency: Urgency,
        pass: &mut PlacementPass,
    ) -> bool {
        *pass.less_urgent.entry((team, urgency)).or_insert_with(|| {
            self.jobs
                .values()
                .any(|j| j.team == team && j.spec.urgency < urgency && !j.placed.is_empty())
        })
    }

    /// Samples among the machines with room, first among those that have the
    /// image, and takes the best of the sample: one that has the image, then
    /// the one with fewer bound waiting tasks, then the tighter one, which
    /// leaves whole machines to large tasks.
    pub(crate) fn sample_with_capacity(
        &mut self,
        spec: &JobSpec,
        task: &TaskId,
        pools: &[usize],
        now: f64,
    ) -> Option<Name> {
        let need = Resources::of_task(spec);
        let n = self.capacity_index.count_with_cpus(pools, spec.cpus);
        let mut picks = Vec::new();
        if n > 0 {
            let holders = self.image_holders.remove(&spec.image).unwrap_or_default();
            picks = self.sample(holders.len(), task, pools, false, |scheduler, at| {
                let name = holders.get(at)?;
                let m = scheduler.machines.get(name)?;
                let pool = scheduler.capacity_index.pool_of(name)?;
                let fits = m.free_capacity.fits(&need) && m.has_image(&spec.image);
                let open =
                    pools.contains(&pool) && scheduler.usable(m, now) && !m.has_attempt_of(task);
                (fits && open).then(|| name.clone())
            });
            if !holders.is_empty() {
                self.image_holders.insert(spec.image.clone(), holders);
            }
        }
        if let Some(best) = self.best_candidate(picks, spec) {
            return Some(best);
        }
        let mut room = false;
        let picks = self.sample(n, task, pools, true, |scheduler, at| {
            let name = scheduler
                .capacity_index
                .nth_with_cpus(pools, spec.cpus, at)?;
            let m = scheduler.machines.get(name)?;
            // An attempt that is not forgotten yet would refuse it.
            let fits = m.free_capacity.fits(&need);
            room |= fits;
            (fits && scheduler.usable(m, now) && !m.has_attempt_of(task)).then(|| name.clone())
        });
        if !room {
            // Every one was looked at: not again before one has more room.
            self.capacity_index.set_exhausted(pools, need);
        }
        self.best_candidate(picks, spec)
    }

    fn best_candidate(&self, picks: Vec<Name>, spec: &JobSpec) -> Option<Name> {
        picks.into_iter().min_by(|a, b| {
            let (a, b) = (&self.machines[a], &self.machines[b]);
            b.has_image(&spec.image)
                .cmp(&a.has_image(&spec.image))
                .then(a.queue.len().cmp(&b.queue.len()))
                .then(a.free_capacity.cpus.total_cmp(&b.free_capacity.cpus))
        })
    }

    /// Samples among the machines with a place in their queue, and takes the
    /// shorter queue.
    fn sample_queues(&mut self, task: &TaskId, pools: &[usize], now: f64) -> Option<Name> {
        let n = self.capacity_index.count_short_queues(pools);
        let picks = self.sample(n, task, pools, true, |scheduler, at| {
            let name = scheduler.capacity_index.nth_short_queue(pools, at)?;
            let m = scheduler.machines.get(name)?;
            scheduler.usable(m, now).then(|| name.clone())
        });
        picks.into_iter().min_by_key(|n| {
            let m = &self.machines[n];
            (m.queue.len(), n.clone())
        })
    }

    /// Draws up to `sample` different machines out of `n` candidates that
    /// `accept` lets pass, and looks at all if the draws find none and `all` is
    /// set; a machine on which a task of the job failed only if it has failed
    /// on all.
    fn sample(
        &mut self,
        n: usize,
        task: &TaskId,
        pools: &[usize],
        all: bool,
        mut accept: impl FnMut(&Scheduler, usize) -> Option<Name>,
    ) -> Vec<Name> {
        let want = self.config.policy.sample.min(n);
        let mut picks: Vec<Name> = Vec::with_capacity(want);
        if want == 0 {
            return picks;
        }
        let failed = self.jobs.get(&task.job).map(|j| &j.failed_on).filter(|f| {
            let usable: usize = pools
                .iter()
                .map(|&p| self.capacity_index.pool(p).usable())
                .sum();
            !f.is_empty() && f.len() < usable
        });
        let mut good = |scheduler: &Scheduler, at: usize, picks: &[Name]| {
            accept(scheduler, at)
                .filter(|m| !picks.contains(m) && failed.is_none_or(|f| !f.contains(m)))
        };
        let mut rng = self.rng.clone();
        for _ in 0..want * DRAWS {
            if picks.len() == want {
                break;
            }
            let at = rng.random_range(0..n);
            picks.extend(good(self, at, &picks));
        }
        if picks.is_empty() && all {
            let from = rng.random_range(0..n);
            for step in 0..n {
                picks.extend(good(self, (from + step) % n, &picks));
                if picks.len() == want {
                    break;
                }
            }
        }
        self.rng = rng;
        picks
    }

    pub(crate) fn may_use(&self, spec: &JobSpec, m: &Machine) -> bool {
        may_use(spec, m, &self.types)
    }
}
