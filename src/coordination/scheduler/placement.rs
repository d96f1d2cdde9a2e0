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
    pub hopeless: Vec<(TaskRequirements, Resources)>,
    /// Stops that had their effect were forgotten in this pass.
    pub pruned: bool,
    /// What each team's stopped work will free, less what waits for it.
    pub freeing: Option<HashMap<usize, (f64, f64)>>,
    /// Whether a team has work on machines less urgent than this.
    less_urgent: HashMap<(Option<usize>, Urgency), bool>,
}

impl Scheduler {
    /// Whether placing is allowed yet. Asked after every report of a takeover,
    /// so each machine that turned out accounted for is looked at once.
    pub fn gate_open(&mut self) -> bool {
        if self.fence.open {
            return true;
        }
        while let Some(name) = self.awaited.last() {
            if self.machines.get(name).is_some_and(Machine::holds_up) {
                return false;
            }
            self.awaited.pop();
        }
        tracing::info!(term = self.term, "all machines accounted for: placing");
        self.fence.open = true;
        true
    }

    /// How many machines hold up placing after a takeover, while any do.
    pub fn unaccounted(&self) -> Option<usize> {
        let machines = self.awaited.iter().filter_map(|n| self.machines.get(n));
        (!self.fence.open).then(|| machines.filter(|m| m.holds_up()).count())
    }

    pub(crate) fn usable(&self, m: &Machine, now: f64) -> bool {
        m.usable(now, self.params.silent_s())
    }

    /// Brings a machine's free room and its place in the index up to date.
    pub(crate) fn reindex(&mut self, name: &str) {
        let silent_s = self.params.silent_s();
        let depth = self.params.policy.queue_depth;
        let Some((_, key, m)) = self.machines.get_full_mut(name) else {
            self.index.remove(name);
            return;
        };
        let kind = self.types.get(&m.info.kind);
        let mut free = kind.map_or(Resources::default(), Resources::of_type);
        if kind.is_some() {
            for (_, active) in m.holding() {
                free.take(&active.holds);
            }
        }
        let usable = kind.is_some() && m.usable(self.now, silent_s);
        if usable {
            let short = m.queue.len() < depth;
            self.index.put(key, &m.info, free.cpus, short);
        } else {
            self.index.remove(key);
        }
        if usable && (!m.indexed || !m.free.holds(&free)) {
            self.index.grew(&free);
            self.grown.push(free);
            if !m.queue.is_empty() {
                self.freed.insert(key.clone());
            }
        }
        m.free = free;
        m.indexed = usable;
    }

    /// A pass over what may be placed since the last one: jobs with tasks that
    /// began to wait, and those that fit where room came free. What was passed
    /// over for other reasons (a limit, no victims) waits for the next full
    /// pass, a part of a report interval later.
    pub fn place_news(&mut self, now: f64) {
        self.pass(now, false);
    }

    /// One pass over all that waits.
    pub fn place(&mut self, now: f64) {
        self.pass(now, true);
    }

    fn pass(&mut self, now: f64, full: bool) {
        self.now = now;
        if !self.gate_open() {
            // All jobs are news to the first pass.
            self.grown.clear();
            return;
        }
        self.dirty = false;
        self.unbind_aged(now);
        self.make_order(now);
        if full {
            self.used = self.usage();
        }
        let mut pass = PlacementPass {
            usage: self.used.clone(),
            ..PlacementPass::default()
        };
        let freed: Names = std::mem::take(&mut self.freed);
        let grown = std::mem::take(&mut self.grown);
        let order = std::mem::take(&mut self.order.jobs);
        let mut at = 0;
        let mut again = AGAIN;
        while at < order.len() {
            let rank = order[at].rank;
            self.start_bound(rank, &freed, &mut pass, now);
            while at < order.len() && order[at].rank == rank {
                let entry = &order[at];
                let fresh = full || entry.fresh.get();
                if fresh || grown.iter().any(|g| g.holds(&entry.need)) {
                    let thorough = fresh || again > 0;
                    again -= usize::from(!fresh && again > 0);
                    if !entry.first {
                        self.place_job(&entry.name, u32::MAX, thorough, &mut pass, now);
                    } else if self.jobs.get(&entry.name).is_some_and(|j| j.on.is_empty()) {
                        self.place_job(&entry.name, 1, thorough, &mut pass, now);
                    }
                }
                at += 1;
            }
        }
        self.start_bound(u8::MAX, &freed, &mut pass, now);
        self.order.jobs = order;
    }

    /// Starts the task on the machine.
    pub(crate) fn begin(
        &mut self,
        machine: &Name,
        task: TaskId,
        spec: &JobSpec,
        pass: &mut PlacementPass,
        now: f64,
    ) {
        tracing::debug!(job = %task.job, task = task.index, machine = %machine, term = self.term, "start");
        let team = self.team_at(&spec.team);
        pass.usage.add(team, spec, 1.0);
        self.start(machine, task, now);
        self.reindex(machine);
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
            job.fresh.set(false);
        }
        if job.lacking() == 0 {
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
            let tried = job.suspect() && !job.on.is_empty();
            if job.lacking() == 0 || placed >= most || tried {
                return;
            }
            let limit = self.team(team);
            let allowed = within_limit(limit, pass.usage.of(team), &spec, 1.0);
            let yields = |core: &Scheduler, pass: &mut PlacementPass| {
                thorough && core.team_has_less_urgent(team, spec.urgency, pass)
            };
            if !allowed && !yields(self, pass) {
                return;
            }
            let Some(pools) = self.pools_of(name) else {
                return;
            };
            let open = allowed && !self.index.is_full(&pools, &need);
            if !open && !thorough {
                return;
            }
            let Some(index) = self.jobs.get_mut(name).and_then(Job::pop) else {
                if open {
                    self.leave_queues(name, &spec, pass, now);
                }
                return;
            };
            let task = TaskId {
                index,
                job: name.clone(),
            };
            if open {
                if let Some(machine) = self.draw_open(&spec, &task, &pools, now) {
                    if most == 1 {
                        if let Some(job) = self.jobs.get_mut(name) {
                            job.began_late = true;
                        }
                    }
                    self.begin(&machine, task, &spec, pass, now);
                    placed += 1;
                    continue;
                }
            }
            let made = thorough
                .then(|| self.make_room(name, &pools, pass, now))
                .flatten();
            let reserved = made.is_some();
            let joined = made.or_else(|| {
                (allowed && thorough)
                    .then(|| self.draw_short(&task, &pools, now))
                    .flatten()
            });
            let Some(machine) = joined else {
                if let Some(job) = self.jobs.get_mut(name) {
                    job.push(index);
                    job.fresh.set(false);
                }
                return;
            };
            if reserved {
                pass.freeing = None;
            }
            self.bind(&machine, task, reserved, now);
            placed += 1;
        }
    }

    /// The pools that a task of the job may use now.
    pub(crate) fn pools_of(&mut self, name: &Name) -> Option<Rc<[usize]>> {
        let job = self.jobs.get(name)?;
        let spec = &job.spec;
        let by_zone = spec.one_zone || spec.spread;
        if !by_zone && job.pools.0 == self.index.version {
            return Some(job.pools.1.clone());
        }
        let zones = self.zones(job);
        let zone_ok = |z: &str| zones.allows(z);
        let pools: Rc<[usize]> = self.index.pools_for(spec, &self.types, zone_ok).into();
        if let Some(job) = self.jobs.get_mut(name) {
            job.pools = (self.index.version, pools.clone());
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
                .any(|j| j.team == team && j.spec.urgency < urgency && !j.on.is_empty())
        })
    }

    /// Samples among the machines with room, first among those that have the
    /// image, and takes the best of the sample: one that has the image, then
    /// the one with fewer bound waiting tasks, then the tighter one, which
    /// leaves whole machines to large tasks.
    pub(crate) fn draw_open(
        &mut self,
        spec: &JobSpec,
        task: &TaskId,
        pools: &[usize],
        now: f64,
    ) -> Option<Name> {
        let need = Resources::of_task(spec);
        let n = self.index.roomy(pools, spec.cpus);
        let mut picks = Vec::new();
        if n > 0 {
            let holders = self.holders.remove(&spec.image).unwrap_or_default();
            picks = self.sample(holders.len(), task, pools, false, |core, at| {
                let name = holders.get(at)?;
                let m = core.machines.get(name)?;
                let pool = core.index.pool_of(name)?;
                let fits = m.free.holds(&need) && m.has_image(&spec.image);
                let open = pools.contains(&pool) && core.usable(m, now) && !m.knows(task);
                (fits && open).then(|| name.clone())
            });
            if !holders.is_empty() {
                self.holders.insert(spec.image.clone(), holders);
            }
        }
        if let Some(best) = self.best(picks, spec) {
            return Some(best);
        }
        let mut room = false;
        let picks = self.sample(n, task, pools, true, |core, at| {
            let name = core.index.roomy_at(pools, spec.cpus, at)?;
            let m = core.machines.get(name)?;
            // An attempt that is not forgotten yet would refuse it.
            let fits = m.free.holds(&need);
            room |= fits;
            (fits && core.usable(m, now) && !m.knows(task)).then(|| name.clone())
        });
        if !room {
            // Every one was looked at: not again before one has more room.
            self.index.set_full(pools, need);
        }
        self.best(picks, spec)
    }

    fn best(&self, picks: Vec<Name>, spec: &JobSpec) -> Option<Name> {
        picks.into_iter().min_by(|a, b| {
            let (a, b) = (&self.machines[a], &self.machines[b]);
            b.has_image(&spec.image)
                .cmp(&a.has_image(&spec.image))
                .then(a.queue.len().cmp(&b.queue.len()))
                .then(a.free.cpus.total_cmp(&b.free.cpus))
        })
    }

    /// Samples among the machines with a place in their queue, and takes the
    /// shorter queue.
    fn draw_short(&mut self, task: &TaskId, pools: &[usize], now: f64) -> Option<Name> {
        let n = self.index.short(pools);
        let picks = self.sample(n, task, pools, true, |core, at| {
            let name = core.index.short_at(pools, at)?;
            let m = core.machines.get(name)?;
            core.usable(m, now).then(|| name.clone())
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
        let want = self.params.policy.sample.min(n);
        let mut picks: Vec<Name> = Vec::with_capacity(want);
        if want == 0 {
            return picks;
        }
        let failed = self.jobs.get(&task.job).map(|j| &j.failed_on).filter(|f| {
            let usable: usize = pools.iter().map(|&p| self.index.pool(p).usable()).sum();
            !f.is_empty() && f.len() < usable
        });
        let mut good = |core: &Scheduler, at: usize, picks: &[Name]| {
            accept(core, at).filter(|m| !picks.contains(m) && failed.is_none_or(|f| !f.contains(m)))
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
