//! Preemption: stopping running attempts to free capacity for a task. Work of lower urgency may
//! be stopped for work of higher urgency, and work on borrowed capacity may be stopped for work
//! within the guarantee of its team. Attempts with the lowest cost are stopped first.
//!
//! For each task only a bounded number of machines is examined: first machines where attempts
//! are already being stopped, then some of the machines that run the jobs that are cheapest to
//! preempt.
//!
//! Guaranteed work is stopped only for other guaranteed work, so that jobs cannot preempt each
//! other in a cycle.

use crate::coordination::scheduler::job::{AttemptId, Job, Name};
use crate::coordination::scheduler::machine::{Attempt, Machine};
use crate::coordination::scheduler::placement_pass::{PlacementPass, TaskRequirements};
use crate::coordination::scheduler::preemption_cost::{cost_factor, stop_cost, StopMode};
use crate::coordination::scheduler::resources::Resources;
use crate::coordination::scheduler::state::Scheduler;
use crate::coordination::scheduler::team_usage::{TeamUsage, Usage};
use crate::coordination::scheduler::zone_constraint::ZoneConstraint;
use crate::protocol::job::{JobSpec, Urgency};
use rand::Rng;
use std::collections::HashMap;
use std::rc::Rc;

/// Number of machines examined for one task after which no further victim job is considered. A
/// victim job is a job whose attempts may be stopped.
const MAX_EXAMINED_MACHINES: usize = 32;

/// Maximum number of machines with stopping attempts that are examined for one task.
const MAX_STOPPING_MACHINES: usize = 8;

/// Maximum number of machines examined for one victim job, so that several victim jobs are
/// compared.
const MAX_MACHINES_PER_VICTIM: usize = 4;

/// Exclusive upper bound of the random offset that selects the task of a victim job whose machine
/// is examined first.
const MAX_START_OFFSET: usize = 1 << 16;

/// The work lost by stopping an attempt, in CPU or GPU seconds, and the grace period for the stop,
/// in seconds. If `immediate` is true, there is no time to write a checkpoint.
pub(crate) fn stop_loss_and_grace(spec: &JobSpec, ran_s: f64, immediate: bool) -> (f64, f64) {
    let stop_mode = if immediate {
        StopMode::Immediate
    } else {
        StopMode::Checkpoint
    };
    let cost = stop_cost(spec, ran_s, stop_mode);
    (cost.lost_work, cost.grace_s)
}

/// A request to free capacity for one task of a job.
struct PreemptionRequest<'a> {
    job: &'a Job,
    zones: ZoneConstraint,
    /// Whether the team is at its limit, so that some of the team's own work must be stopped
    /// before the limit admits the task.
    over_limit: bool,
    usage: &'a TeamUsage,
    now: f64,
}

impl PreemptionRequest<'_> {
    /// How attempts are stopped for this request: immediately if the job is of at least `High`
    /// urgency or is guaranteed.
    fn stop_mode(&self) -> StopMode {
        if self.job.spec.urgency >= Urgency::High || self.job.claims.guaranteed {
            StopMode::Immediate
        } else {
            StopMode::Checkpoint
        }
    }
}

/// A stop of an attempt that is planned but not yet ordered.
#[derive(Debug)]
struct PlannedStop {
    attempt: AttemptId,
    /// Grace period in seconds; 0 to stop the attempt immediately.
    grace_s: f64,
}

/// An attempt that may be stopped, with the cost of stopping it and the resources freed.
struct Victim {
    /// See `as_victim`.
    cost: f64,
    stop: PlannedStop,
    freed_resources: Resources,
}

/// Attempts to stop on one machine so that a task fits there.
#[derive(Debug)]
struct PreemptionPlan {
    /// Sum of the costs of the victims (see `as_victim`).
    cost: f64,
    machine: Name,
    stops: Vec<PlannedStop>,
}

/// The progress of a search for the cheapest plan.
#[derive(Default)]
struct PlanSearch {
    /// Machines examined so far.
    examined: Vec<Name>,
    /// The cheapest plan so far; `None` if no examined machine has a plan.
    best: Option<PreemptionPlan>,
}

impl PlanSearch {
    /// Computes the machine's plan with `plan` and keeps the plan if it is the cheapest so far.
    /// Machines that were examined before are skipped.
    fn examine(&mut self, machine: &Name, plan: impl FnOnce() -> Option<PreemptionPlan>) {
        if self.examined.contains(machine) {
            return;
        }
        self.examined.push(machine.clone());
        let Some(plan) = plan() else {
            return;
        };
        let is_cheaper = |best: &PreemptionPlan| plan.cost < best.cost;
        if self.best.as_ref().is_none_or(is_cheaper) {
            self.best = Some(plan);
        }
    }

    fn has_zero_cost_plan(&self) -> bool {
        self.best.as_ref().is_some_and(|best| best.cost <= 0.0)
    }
}

impl Scheduler {
    /// Stops attempts on a machine so that a task of the job will fit there, and returns
    /// the machine's name; `None` if preemption is not allowed or cannot free enough capacity.
    pub(crate) fn preempt_for(
        &mut self,
        name: &str,
        pools: &Rc<[usize]>,
        pass: &mut PlacementPass,
        now: f64,
    ) -> Option<Name> {
        let job = self.jobs.get(name)?;
        if !may_request_preemption(job) {
            return None;
        }
        let (spec, team) = (job.spec.clone(), job.team);
        let need = Resources::of_task(&spec);
        let requirements = TaskRequirements {
            team,
            urgency: spec.urgency,
            guaranteed: job.claims.guaranteed,
            pools: pools.clone(),
        };
        if pools.is_empty() || pass.is_infeasible(&requirements, &need) {
            return None;
        }
        if !std::mem::replace(&mut pass.stops_pruned, true) {
            self.prune_stopping_attempts();
        }
        let over_limit = self.is_over_limit(team, &spec, pass);
        let Some(plan) = self.cheapest_preemption(name, over_limit, pass, now) else {
            pass.set_infeasible(requirements, need);
            return None;
        };
        if let Some(being_freed) = &mut pass.usage_being_freed {
            self.add_planned_usage(being_freed, &plan, team, &spec);
        }
        Some(self.execute_plan(plan, name))
    }

    /// Stops the attempts of the plan to free capacity for the job `for_job`. Returns the name of
    /// the machine on which the attempts are stopped.
    fn execute_plan(&mut self, plan: PreemptionPlan, for_job: &str) -> Name {
        let machine = plan.machine;
        for PlannedStop { attempt, grace_s } in plan.stops {
            let task = &attempt.task;
            tracing::info!(task = %task.wire_name(), machine = %machine, for_job, "stopped to make room");
            if let Some(victim) = self.jobs.get_mut(&task.job) {
                *victim.preemptions.entry(task.index).or_default() += 1;
            }
            self.stop_attempt(&machine, &attempt, grace_s);
        }
        machine
    }

    /// Whether `job` may preempt a task of `victim`.
    fn may_preempt(&self, job: &Job, victim: &Job, usage: &TeamUsage) -> bool {
        if victim.claims.underserved && !job.claims.guaranteed && !job.claims.underserved {
            return false;
        }
        if victim.spec.urgency < job.spec.urgency && job.spec.urgency > Urgency::Idle {
            // Guaranteed work is not stopped for borrowed work, not even for work of its own
            // team. Otherwise the stopped job would use its guarantee to preempt a third job,
            // which would preempt the first, and so on in a cycle.
            return !victim.claims.guaranteed || job.claims.guaranteed;
        }
        if !job.claims.guaranteed || victim.claims.guaranteed || victim.team == job.team {
            return false;
        }
        let victim_usage = usage.of(victim.team);
        self.team(victim.team)
            .is_some_and(|team| victim_usage.exceeds_guarantee(team))
    }

    /// Whether a task of `victim` may be stopped for the request. If the requesting team is at
    /// its limit, only work of the same team with a lower urgency may be stopped.
    fn is_valid_victim(&self, request: &PreemptionRequest, victim: &Job) -> bool {
        let job = request.job;
        if request.over_limit {
            victim.team == job.team && victim.spec.urgency < job.spec.urgency
        } else {
            self.may_preempt(job, victim, request.usage)
        }
    }

    /// Whether the team's limit rules out one more task of the job. Attempts that are being
    /// stopped do not count as usage; queued tasks with reserved capacity do. True if the team is
    /// not in the settings.
    fn is_over_limit(&self, team: Option<usize>, spec: &JobSpec, pass: &mut PlacementPass) -> bool {
        let Some(limit) = self.team(team) else {
            return true;
        };
        if limit.cpus_max <= 0.0 && limit.gpus_max <= 0.0 {
            return false;
        }
        let freed_by_team = pass
            .usage_being_freed
            .get_or_insert_with(|| self.usage_being_freed());
        let freed = team
            .and_then(|team| freed_by_team.get(&team).copied())
            .unwrap_or_default();
        !pass
            .usage
            .of(team)
            .minus(freed)
            .admits(Some(limit), spec, 1.0)
    }

    /// The usage that each team's stopping attempts will free, less the usage reserved by its
    /// queued tasks, by team index.
    fn usage_being_freed(&self) -> HashMap<usize, Usage> {
        let mut sums: HashMap<usize, Usage> = HashMap::new();
        let stopped = self.stopping_attempts.iter().map(|(_, id)| (&id.task, 1.0));
        let reserving = self
            .machines_with_queue
            .iter()
            .filter_map(|name| self.machines.get(name))
            .flat_map(|machine| machine.queue.iter().filter(|queued| queued.is_reserved()))
            .map(|queued| (&queued.task, -1.0));
        for (task, count) in stopped.chain(reserving) {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            if let Some(team) = job.team {
                sums.entry(team).or_default().add_tasks(&job.spec, count);
            }
        }
        sums
    }

    /// Adds what the stops of the plan will free, and subtracts the usage that the caller reserves
    /// for a task of the team.
    fn add_planned_usage(
        &self,
        being_freed: &mut HashMap<usize, Usage>,
        plan: &PreemptionPlan,
        team: Option<usize>,
        spec: &JobSpec,
    ) {
        let victims = plan.stops.iter().map(|stop| &stop.attempt.task.job);
        for victim in victims.filter_map(|name| self.jobs.get(name)) {
            if let Some(victim_team) = victim.team {
                let freed = being_freed.entry(victim_team).or_default();
                freed.add_tasks(&victim.spec, 1.0);
            }
        }
        if let Some(team) = team {
            being_freed.entry(team).or_default().add_tasks(spec, -1.0);
        }
    }

    /// The cheapest plan among the examined machines, whose number is bounded; `None` if none of
    /// them has a plan.
    fn cheapest_preemption(
        &mut self,
        name: &str,
        over_limit: bool,
        pass: &PlacementPass,
        now: f64,
    ) -> Option<PreemptionPlan> {
        let start_offset = self.rng.random_range(0..MAX_START_OFFSET);
        let job = self.jobs.get(name)?;
        let request = PreemptionRequest {
            job,
            zones: self.zone_constraint(job),
            over_limit,
            usage: &pass.usage,
            now,
        };
        let mut search = PlanSearch::default();
        for (machine, _) in &self.stopping_attempts {
            if search.examined.len() >= MAX_STOPPING_MACHINES {
                break;
            }
            search.examine(machine, || self.plan_on_machine(machine, &request));
        }
        if !search.has_zero_cost_plan() {
            self.search_victims(&request, start_offset, &mut search);
        }
        let examined = search.examined.iter();
        let attempts: usize = examined
            .filter_map(|name| self.machines.get(name))
            .map(|machine| machine.attempts.len())
            .sum();
        self.work.examined += attempts as u64;
        search.best
    }

    /// Examines machines on which tasks of victim jobs are placed, beginning with the job that is
    /// cheapest to preempt.
    fn search_victims(
        &self,
        request: &PreemptionRequest,
        start_offset: usize,
        search: &mut PlanSearch,
    ) {
        let mut last_cost_factor = 0.0;
        for candidate in &self.job_order.preemption_candidates {
            // Once there is a plan, the search ends at the first job whose cost factor is higher
            // than that of the last examined job.
            let too_expensive = search.best.is_some() && candidate.cost_factor > last_cost_factor;
            if search.examined.len() >= MAX_EXAMINED_MACHINES || too_expensive {
                return;
            }
            let Some(victim) = self.jobs.get(&candidate.job) else {
                continue;
            };
            if victim.placed.is_empty() || !self.is_valid_victim(request, victim) {
                continue;
            }
            last_cost_factor = candidate.cost_factor;
            let first_task = (start_offset % victim.spec.tasks.max(1) as usize) as u32;
            let placed = victim.placed.range(first_task..);
            let placed = placed.chain(victim.placed.range(..first_task));
            for (_, placement) in placed.take(MAX_MACHINES_PER_VICTIM) {
                let machine = &placement.machine;
                search.examine(machine, || self.plan_on_machine(machine, request));
            }
        }
    }

    /// A plan of the attempts to stop on this machine so that the requested task fits; `None` if
    /// the task may not run there, or if stopping every permitted attempt is not enough.
    fn plan_on_machine(
        &self,
        machine_name: &Name,
        request: &PreemptionRequest,
    ) -> Option<PreemptionPlan> {
        let machine = self.machines.get(machine_name)?;
        let job = request.job;
        let is_allowed = self.is_usable(machine, request.now)
            && self.may_use(&job.spec, machine)
            && request.zones.allows(&machine.info.zone);
        let retry_at = machine.pauses_until(&job.failed_machines, request.now);
        if !is_allowed || retry_at.is_some() {
            return None;
        }
        let mut capacity = self.unreserved_capacity(machine);
        let mut victims = Vec::new();
        for (id, attempt) in machine.live_attempts() {
            let Some(victim) = self.jobs.get(&id.task.job) else {
                continue;
            };
            if attempt.stop_grace_s.is_some() {
                capacity.add(&attempt.resources);
            } else {
                victims.extend(self.as_victim(request, victim, id, attempt));
            }
        }
        victims.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        plan_stops(request, machine_name, capacity, victims)
    }

    /// Free capacity of the machine, less the capacity reserved for tasks in its queue.
    fn unreserved_capacity(&self, machine: &Machine) -> Resources {
        let mut capacity = machine.free_capacity;
        for queued in machine.queue.iter().filter(|queued| queued.is_reserved()) {
            if let Some(job) = self.jobs.get(&queued.task.job) {
                capacity.subtract(&Resources::of_task(&job.spec));
            }
        }
        capacity
    }

    /// The attempt as a victim; `None` if the attempt may not be stopped for the request. The cost
    /// is the sum of the lost work and the task's CPUs, multiplied by the cost factor of the job.
    fn as_victim(
        &self,
        request: &PreemptionRequest,
        victim: &Job,
        id: &AttemptId,
        attempt: &Attempt,
    ) -> Option<Victim> {
        let preemptions = victim.preemptions.get(&id.task.index).copied();
        if preemptions.unwrap_or(0) >= self.config.policy.max_stops
            || victim.runs_only_prioritized_first_task()
            || !self.is_valid_victim(request, victim)
        {
            return None;
        }
        let ran_s = attempt
            .running_since
            .map_or(0.0, |since| request.now - since);
        let cost = stop_cost(&victim.spec, ran_s, request.stop_mode());
        Some(Victim {
            cost: (cost.lost_work + victim.spec.cpus) * cost_factor(victim),
            stop: PlannedStop {
                attempt: id.clone(),
                grace_s: cost.grace_s,
            },
            freed_resources: attempt.resources,
        })
    }
}

/// Whether the job may have any other attempts preempted for its tasks.
fn may_request_preemption(job: &Job) -> bool {
    let has_precedence = job.spec.urgency != Urgency::Idle || job.claims.guaranteed;
    has_precedence && job.claims.objective_reachable && job.claims.preemption_needed
}

/// Chooses victims, which are sorted by cost, until the requested task fits into the sum of
/// `capacity` and the resources that they free. If the team is at its limit, the victims must also
/// free as many CPUs and GPUs as the task requires. Returns `None` if all victims together are not
/// enough.
fn plan_stops(
    request: &PreemptionRequest,
    machine: &Name,
    mut capacity: Resources,
    victims: Vec<Victim>,
) -> Option<PreemptionPlan> {
    let need = Resources::of_task(&request.job.spec);
    let mut freed = Resources::default();
    let is_enough = |capacity: &Resources, freed: &Resources| {
        let frees_team_usage = freed.cpus >= need.cpus && freed.gpus >= need.gpus;
        capacity.fits(&need) && (!request.over_limit || frees_team_usage)
    };
    let mut plan = PreemptionPlan {
        cost: 0.0,
        machine: machine.clone(),
        stops: Vec::new(),
    };
    for victim in victims {
        if is_enough(&capacity, &freed) {
            break;
        }
        capacity.add(&victim.freed_resources);
        freed.add(&victim.freed_resources);
        plan.cost += victim.cost;
        plan.stops.push(victim.stop);
    }
    is_enough(&capacity, &freed).then_some(plan)
}
