//! Placement of tasks on machines. For each task the scheduler samples suitable machines. The
//! task starts at once on a sampled machine with enough free capacity. If no machine has enough,
//! the task joins the shortest of the sampled queues.
//!
//! This follows the paper by Mitzenmacher and Dell'Amico, "The Supermarket Model with Known
//! and Predicted Service Times": a sample of two machines (section 1), the queue with fewer
//! tasks (section 4.2), and the smallest predicted job first within a queue (SPJF, section
//! 4.2; see `queue`). In the paper a server runs one job at a time; a machine here runs many
//! tasks. The paper's idle server therefore corresponds to a machine with enough free
//! capacity, and such machines are sampled first. `docs/design.md` lists the other
//! similarities and differences.
//!
//! A pass runs whenever jobs or capacity may have changed, so it must not examine every machine or
//! every task. A pass therefore ends once it has placed a bounded number of tasks, and the next one
//! continues it (see `placement_pass`). Samples are drawn from the index of machines by free capacity. Jobs that cannot
//! be placed are detected by comparing their requirements with cached results.

use crate::coordination::scheduler::capacity_index::may_use;
use crate::coordination::scheduler::job::{Job, Name, TaskId};
use crate::coordination::scheduler::job_order::OrderedJob;
use crate::coordination::scheduler::machine::{Machine, QueueReason};
use crate::coordination::scheduler::placement_pass::{Effort, PassKind, PassScope, PlacementPass};
use crate::coordination::scheduler::resources::Resources;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::{JobSpec, Urgency};
use std::ops::ControlFlow;
use std::rc::Rc;

/// How many of a job's waiting tasks to place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskLimit {
    /// All waiting tasks.
    All,
    /// One task. It is placed ahead of other jobs, because the job has waited too long for its
    /// first start.
    First,
}

/// A request to place one job's tasks within a pass.
struct JobPlacement<'a> {
    name: &'a Name,
    spec: Rc<JobSpec>,
    /// Index of the job's team in the settings; `None` if the settings have no such team.
    team: Option<usize>,
    /// The resources that one task requires.
    need: Resources,
    limit: TaskLimit,
    effort: Effort,
}

/// Where the next task of a job may be placed, and whether it may start at once.
struct PlacementOptions {
    /// Indexes of the pools of machines on which the task may run.
    pools: Rc<[usize]>,
    /// Whether the team's limit admits another task.
    within_limit: bool,
    /// Whether the team's limit admits another task and, as far as the index remembers, some
    /// machine has enough free capacity for the task.
    may_start: bool,
}

impl Scheduler {
    /// Runs a pass over the jobs that may have become placeable since the last pass: jobs with
    /// newly waiting tasks, and jobs whose tasks fit into capacity that became free. Jobs that
    /// could not be placed for a reason other than capacity (the team's limit, or no attempts that
    /// may be preempted) wait for the next full pass, which follows within a heartbeat interval.
    pub fn place_changed(&mut self, now: f64) {
        self.run_pass(now, PassKind::Changes);
    }

    /// Runs a full pass over all waiting tasks.
    pub fn place_all(&mut self, now: f64) {
        self.run_pass(now, PassKind::Full);
    }

    fn run_pass(&mut self, now: f64, kind: PassKind) {
        self.now = now;
        if !self.allow_placement_if_fenced() {
            // The first pass after fencing treats all jobs as new, so the recorded capacity
            // changes are not needed.
            self.capacity_changes.grown_free_capacity.clear();
            return;
        }
        self.placement_due = false;
        let resumes = std::mem::take(&mut self.pass_unfinished);
        let kind = if resumes { PassKind::Full } else { kind };
        self.expire_queued(now);
        self.refresh_job_order(now);
        if kind == PassKind::Full {
            self.team_usage = self.count_usage();
        }
        let mut pass = PlacementPass::new(self.team_usage.clone());
        let mut scope = PassScope::new(kind, std::mem::take(&mut self.capacity_changes));
        let order = std::mem::take(&mut self.job_order.jobs);
        let examined_before = self.work.examined;
        self.place_in_order(&order, &mut scope, &mut pass, now);
        self.job_order.jobs = order;
        let examined = self.work.examined - examined_before;
        self.work.record_pass(pass.placements, examined);
        if pass.is_at_limit() {
            self.placement_due = true;
            self.pass_unfinished = true;
            let freed_machines = scope.into_freed_machines();
            self.capacity_changes.freed_machines.extend(freed_machines);
        }
    }

    /// Whether the last pass ended at its limit, so that the next one continues it.
    pub fn is_pass_unfinished(&self) -> bool {
        self.pass_unfinished
    }

    /// Places the jobs rank by rank. Within a rank, tasks with reserved capacity start first
    /// (capacity is reserved for a task if other attempts were preempted for it). Ends early if the
    /// pass reaches its limit.
    fn place_in_order(
        &mut self,
        order: &[OrderedJob],
        scope: &mut PassScope,
        pass: &mut PlacementPass,
        now: f64,
    ) {
        for jobs in order.chunk_by(|a, b| a.precedence.rank == b.precedence.rank) {
            let rank = jobs[0].precedence.rank;
            self.start_reserved(rank, scope.freed_machines(), pass, now);
            for entry in jobs {
                if pass.is_at_limit() {
                    return;
                }
                if let Some(effort) = scope.effort_for(entry) {
                    self.place_entry(entry, effort, pass, now);
                }
            }
        }
        self.start_reserved(u8::MAX, scope.freed_machines(), pass, now);
    }

    fn place_entry(
        &mut self,
        entry: &OrderedJob,
        effort: Effort,
        pass: &mut PlacementPass,
        now: f64,
    ) {
        if !entry.first_task_only {
            self.place_job(&entry.name, TaskLimit::All, effort, pass, now);
            return;
        }
        let job = self.jobs.get(&entry.name);
        if job.is_some_and(|job| job.placed.is_empty()) {
            self.place_job(&entry.name, TaskLimit::First, effort, pass, now);
        }
    }

    /// Places waiting tasks of one job until `limit` or the limit of the pass is reached, no task is
    /// left, or the next task cannot be placed.
    fn place_job(
        &mut self,
        name: &Name,
        limit: TaskLimit,
        effort: Effort,
        pass: &mut PlacementPass,
        now: f64,
    ) {
        self.clear_suspicion_if_running_well(name, now);
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        if job.not_before > now {
            return;
        }
        if limit == TaskLimit::All {
            job.has_new_tasks.set(false);
        }
        if job.unplaced_tasks() == 0 {
            return;
        }
        let request = JobPlacement {
            name,
            spec: job.spec.clone(),
            team: job.team,
            need: Resources::of_task(&job.spec),
            limit,
            effort,
        };
        while !pass.is_at_limit() && self.wants_another_task(name) {
            let examined_before = self.work.examined;
            let outcome = self.place_next_task(&request, pass, now);
            if outcome.is_break() || limit == TaskLimit::First {
                return;
            }
            pass.examined += self.work.examined - examined_before;
        }
    }

    /// Whether the job has a waiting task that should be placed. For a suspect job, whose tasks
    /// failed on several machines, one placed task suffices to find out whether tasks still fail.
    fn wants_another_task(&self, name: &Name) -> bool {
        self.jobs.get(name).is_some_and(|job| {
            let is_being_retried = job.is_suspect() && !job.placed.is_empty();
            job.unplaced_tasks() > 0 && !is_being_retried
        })
    }

    /// Starts or queues the job's next waiting task. Returns `Break` if no further task of the
    /// job can be placed in this pass.
    fn place_next_task(
        &mut self,
        request: &JobPlacement,
        pass: &mut PlacementPass,
        now: f64,
    ) -> ControlFlow<()> {
        let Some(options) = self.placement_options(request, pass) else {
            return ControlFlow::Break(());
        };
        let next_index = self.jobs.get_mut(request.name).and_then(Job::take_waiting);
        let Some(index) = next_index else {
            // All unplaced tasks of the job are in queues.
            if options.may_start {
                self.start_queued_elsewhere(request.name, &request.spec, pass, now);
            }
            return ControlFlow::Break(());
        };
        let task = TaskId {
            index,
            job: request.name.clone(),
        };
        if options.may_start && self.start_on_free(&task, request, &options, pass, now) {
            return ControlFlow::Continue(());
        }
        self.preempt_or_queue(task, request, &options, pass, now)
    }

    /// Where the job's next task may be placed; `None` if this pass cannot place the task.
    fn placement_options(
        &mut self,
        request: &JobPlacement,
        pass: &mut PlacementPass,
    ) -> Option<PlacementOptions> {
        let JobPlacement { spec, team, .. } = request;
        let thorough = request.effort == Effort::Thorough;
        let usage = pass.usage.of(*team);
        let within_limit = usage.admits(self.team(*team), spec, 1.0);
        let may_become_admissible =
            within_limit || thorough && self.team_has_less_urgent(*team, spec.urgency, pass);
        if !may_become_admissible {
            return None;
        }
        let pools = self.pools_for_job(request.name)?;
        let may_start = within_limit && !self.capacity_index.is_exhausted(&pools, &request.need);
        (may_start || thorough).then_some(PlacementOptions {
            pools,
            within_limit,
            may_start,
        })
    }

    /// Starts the task on a sampled machine with enough free capacity. Returns false if no
    /// suitable machine has enough.
    fn start_on_free(
        &mut self,
        task: &TaskId,
        request: &JobPlacement,
        options: &PlacementOptions,
        pass: &mut PlacementPass,
        now: f64,
    ) -> bool {
        let spec = &request.spec;
        let Some(machine) = self.sample_with_capacity(spec, task, &options.pools, now) else {
            return false;
        };
        if request.limit == TaskLimit::First {
            if let Some(job) = self.jobs.get_mut(request.name) {
                job.first_task_prioritized = true;
            }
        }
        self.start_task(&machine, task.clone(), spec, pass, now);
        true
    }

    /// Preempts other attempts and reserves their capacity for the task, or puts the task into
    /// the shortest of the sampled queues. If neither is possible, the task keeps waiting, and
    /// `Break` is returned: no further task of the job is placed in this pass.
    fn preempt_or_queue(
        &mut self,
        task: TaskId,
        request: &JobPlacement,
        options: &PlacementOptions,
        pass: &mut PlacementPass,
        now: f64,
    ) -> ControlFlow<()> {
        if request.effort == Effort::Thorough {
            if let Some(machine) = self.preempt_for(request.name, &options.pools, pass, now) {
                self.enqueue(&machine, task, QueueReason::Preemption, now);
                pass.placements += 1;
                return ControlFlow::Continue(());
            }
            if options.within_limit {
                if let Some(machine) = self.sample_queues(&task, &options.pools, now) {
                    self.enqueue(&machine, task, QueueReason::ShortestQueue, now);
                    pass.placements += 1;
                    return ControlFlow::Continue(());
                }
            }
        }
        if let Some(job) = self.jobs.get_mut(request.name) {
            job.requeue(task.index);
            job.has_new_tasks.set(false);
        }
        ControlFlow::Break(())
    }

    /// Starts the task on the machine and adds the task's resources to the team usage of the pass.
    pub(crate) fn start_task(
        &mut self,
        machine: &Name,
        task: TaskId,
        spec: &JobSpec,
        pass: &mut PlacementPass,
        now: f64,
    ) {
        tracing::debug!(
            job = %task.job,
            task = task.index,
            machine = %machine,
            term = self.term,
            "starting task"
        );
        let team = self.team_index(&spec.team);
        pass.usage.add(team, spec, 1.0);
        pass.placements += 1;
        self.start_attempt(machine, task, now);
        self.occupy_capacity(machine, &Resources::of_task(spec));
    }

    /// Indexes of the pools in which a task of the job may start now, regardless of free
    /// capacity; `None` if the job does not exist.
    pub(crate) fn pools_for_job(&mut self, name: &Name) -> Option<Rc<[usize]>> {
        let job = self.jobs.get(name)?;
        let spec = &job.spec;
        let index_version = self.capacity_index.version;
        let depends_on_zones = spec.one_zone || spec.spread;
        if !depends_on_zones && job.pool_cache.index_version == index_version {
            return Some(job.pool_cache.pools.clone());
        }
        let zones = self.zone_constraint(job);
        let pools: Rc<[usize]> = self
            .capacity_index
            .pools_for(spec, &self.types, |zone| zones.allows(zone))
            .into();
        if let Some(job) = self.jobs.get_mut(name) {
            job.pool_cache.index_version = index_version;
            job.pool_cache.pools = pools.clone();
        }
        Some(pools)
    }

    /// Whether any task of the team with an urgency lower than `urgency` is placed. The pass
    /// caches the result.
    fn team_has_less_urgent(
        &self,
        team: Option<usize>,
        urgency: Urgency,
        pass: &mut PlacementPass,
    ) -> bool {
        *pass
            .has_less_urgent_tasks
            .entry((team, urgency))
            .or_insert_with(|| {
                self.jobs.values().any(|job| {
                    job.team == team && job.spec.urgency < urgency && !job.placed.is_empty()
                })
            })
    }

    /// Whether tasks may start on the machine.
    pub(crate) fn is_usable(&self, machine: &Machine, now: f64) -> bool {
        machine.is_usable(now, self.config.silent_s())
    }

    /// Whether the job may use the machine, regardless of free capacity.
    pub(crate) fn may_use(&self, spec: &JobSpec, machine: &Machine) -> bool {
        may_use(spec, &machine.info, &self.types)
    }
}
