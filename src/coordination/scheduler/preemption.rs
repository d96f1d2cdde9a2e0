//! Preemption: work of lower urgency yields, and work on borrowed capacity yields to a
//! guarantee; the attempts that lose least are stopped first.
//!
//! Only a bounded number of machines is examined for a task: those where attempts are being
//! stopped already, then some of those that run the work that is cheapest to stop.
//!
//! Guaranteed work yields to guaranteed work only, so that no circle of preemptions arises.

use crate::coordination::scheduler::job::{AttemptId, Job, Name};
use crate::coordination::scheduler::machine::{Attempt, Machine};
use crate::coordination::scheduler::placement_pass::{PlacementPass, TaskRequirements};
use crate::coordination::scheduler::preemption_cost::{cost_factor, stop_cost, FreedBy};
use crate::coordination::scheduler::resources::Resources;
use crate::coordination::scheduler::state::Scheduler;
use crate::coordination::scheduler::team_usage::{TeamUsage, Usage};
use crate::coordination::scheduler::zone_constraint::ZoneConstraint;
use crate::protocol::job::{JobSpec, Urgency};
use rand::Rng;
use std::collections::HashMap;
use std::rc::Rc;

/// Bound on the machines examined for one task because they run cheap work.
const MAX_VICTIM_MACHINES: usize = 32;

/// Bound on the machines examined for one task because attempts are being stopped there.
const MAX_STOPPING_MACHINES: usize = 8;

/// Bound on the machines examined for one victim job, so that several jobs are compared.
const MAX_MACHINES_PER_VICTIM: usize = 4;

/// Bound of the random offset at which the tasks of a victim job are begun with.
const MAX_START_OFFSET: usize = 1 << 16;

/// What stopping an attempt loses, in CPU or GPU seconds, and the grace to stop it with;
/// `at_once` if there is no time to write a checkpoint.
pub(crate) fn loss(spec: &JobSpec, ran_s: f64, at_once: bool) -> (f64, f64) {
    let freed_by = if at_once {
        FreedBy::AtOnce
    } else {
        FreedBy::Checkpoint
    };
    let cost = stop_cost(spec, ran_s, freed_by);
    (cost.lost, cost.grace_s)
}

/// A task for which capacity is to be freed.
struct PreemptionRequest<'a> {
    job: &'a Job,
    zones: ZoneConstraint,
    /// The team's limit is what the task lacks, so that only the team's own work frees it.
    over_limit: bool,
    usage: &'a TeamUsage,
    now: f64,
}

impl PreemptionRequest<'_> {
    fn freed_by(&self) -> FreedBy {
        if self.job.spec.urgency >= Urgency::High || self.job.claims.guaranteed {
            FreedBy::AtOnce
        } else {
            FreedBy::Checkpoint
        }
    }
}

/// An attempt to stop, and the grace in seconds to stop it with.
#[derive(Debug)]
struct PlannedStop {
    attempt: AttemptId,
    grace_s: f64,
}

/// An attempt that may be stopped.
struct Victim {
    cost: f64,
    stop: PlannedStop,
    frees: Resources,
}

/// A way to free capacity for a task.
#[derive(Debug)]
struct PreemptionPlan {
    /// What it loses, weighted.
    cost: f64,
    machine: Name,
    stops: Vec<PlannedStop>,
}

/// The progress of a search for the cheapest plan.
#[derive(Default)]
struct PlanSearch {
    examined: Vec<Name>,
    best: Option<PreemptionPlan>,
}

impl PlanSearch {
    /// Examines a machine, unless that was done before.
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

    fn found_free_plan(&self) -> bool {
        self.best.as_ref().is_some_and(|best| best.cost <= 0.0)
    }
}

impl Scheduler {
    /// Stops attempts on a machine so that a task of the job will fit there, and returns
    /// that machine.
    pub(crate) fn preempt_for(
        &mut self,
        name: &str,
        pools: &Rc<[usize]>,
        pass: &mut PlacementPass,
        now: f64,
    ) -> Option<Name> {
        let job = self.jobs.get(name)?;
        if !may_ask_for_preemption(job) {
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
        // The stops and the reservation of the caller change it.
        pass.freeing = None;
        Some(self.carry_out(plan, name))
    }

    /// Stops what the plan says, for this job; returns the machine.
    fn carry_out(&mut self, plan: PreemptionPlan, for_job: &str) -> Name {
        let machine = plan.machine;
        for PlannedStop { attempt, grace_s } in plan.stops {
            let task = &attempt.task;
            tracing::info!(task = %task.wire(), machine = %machine, for_job, "stopped to make room");
            if let Some(victim) = self.jobs.get_mut(&task.job) {
                *victim.preemptions.entry(task.index).or_default() += 1;
            }
            self.stop_attempt(&machine, &attempt, grace_s);
        }
        machine
    }

    /// Whether `job` may preempt a task of `victim`.
    fn may_preempt(&self, job: &Job, victim: &Job, usage: &TeamUsage) -> bool {
        if victim.claims.on_floor && !job.claims.guaranteed && !job.claims.on_floor {
            return false;
        }
        if victim.spec.urgency < job.spec.urgency && job.spec.urgency > Urgency::Idle {
            // Guaranteed work yields to no borrowed work, not even of its own team: it would
            // take its capacity from a third job, which took it from the first, and so on in
            // a circle.
            return !victim.claims.guaranteed || job.claims.guaranteed;
        }
        if !job.claims.guaranteed || victim.claims.guaranteed || victim.team == job.team {
            return false;
        }
        let used = usage.of(victim.team);
        self.team(victim.team)
            .is_some_and(|team| used.exceeds_guarantee(team))
    }

    /// Whether a task of `victim` may be stopped for the request; if the team's limit is
    /// what it lacks, only less urgent work of the same team may be.
    fn yields(&self, request: &PreemptionRequest, victim: &Job) -> bool {
        let job = request.job;
        if request.over_limit {
            victim.team == job.team && victim.spec.urgency < job.spec.urgency
        } else {
            self.may_preempt(job, victim, request.usage)
        }
    }

    /// Whether the team's limit does not admit one more task, counting what is being stopped
    /// as free and what is queued for it as used.
    fn is_over_limit(&self, team: Option<usize>, spec: &JobSpec, pass: &mut PlacementPass) -> bool {
        let Some(limit) = self.team(team) else {
            return true;
        };
        if limit.cpus_max <= 0.0 && limit.gpus_max <= 0.0 {
            return false;
        }
        let freeing = pass.freeing.get_or_insert_with(|| self.usage_being_freed());
        let freed = team
            .and_then(|team| freeing.get(&team).copied())
            .unwrap_or_default();
        !pass
            .usage
            .of(team)
            .less(freed)
            .admits(Some(limit), spec, 1.0)
    }

    /// What each team's stopped attempts will free, less what is reserved by queued tasks.
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

    /// The cheapest plan on the machines examined.
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
            search.examine(machine, || self.preemption_on(machine, &request));
        }
        if !search.found_free_plan() {
            self.search_victims(&request, start_offset, &mut search);
        }
        search.best
    }

    /// Examines machines that run tasks of the jobs that are cheapest to preempt.
    fn search_victims(
        &self,
        request: &PreemptionRequest,
        start_offset: usize,
        search: &mut PlanSearch,
    ) {
        let mut last_cost_factor = 0.0;
        for candidate in &self.job_order.preemption_candidates {
            // A more expensive job is not worth a look once there is a plan.
            let too_expensive = search.best.is_some() && candidate.cost_factor > last_cost_factor;
            if search.examined.len() >= MAX_VICTIM_MACHINES || too_expensive {
                return;
            }
            let Some(victim) = self.jobs.get(&candidate.job) else {
                continue;
            };
            if victim.placed.is_empty() || !self.yields(request, victim) {
                continue;
            }
            last_cost_factor = candidate.cost_factor;
            let from = (start_offset % victim.spec.tasks.max(1) as usize) as u32;
            let placed = victim.placed.range(from..);
            let placed = placed.chain(victim.placed.range(..from));
            for (_, (machine, _)) in placed.take(MAX_MACHINES_PER_VICTIM) {
                search.examine(machine, || self.preemption_on(machine, request));
            }
        }
    }

    /// What would have to be stopped on this machine for the request.
    fn preemption_on(
        &self,
        machine_name: &Name,
        request: &PreemptionRequest,
    ) -> Option<PreemptionPlan> {
        let machine = self.machines.get(machine_name)?;
        let job = request.job;
        let is_allowed = self.is_usable(machine, request.now)
            && self.may_use(&job.spec, machine)
            && request.zones.allows(&machine.info.zone);
        if !is_allowed || job.failed_on.contains(machine_name) {
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

    /// Free capacity of the machine less what is reserved by tasks in its queue.
    fn unreserved_capacity(&self, machine: &Machine) -> Resources {
        let mut capacity = machine.free_capacity;
        for queued in machine.queue.iter().filter(|queued| queued.is_reserved()) {
            if let Some(job) = self.jobs.get(&queued.task.job) {
                capacity.subtract(&Resources::of_task(&job.spec));
            }
        }
        capacity
    }

    /// The attempt as a victim, if it may be stopped for the request.
    fn as_victim(
        &self,
        request: &PreemptionRequest,
        victim: &Job,
        id: &AttemptId,
        attempt: &Attempt,
    ) -> Option<Victim> {
        let preemptions = victim.preemptions.get(&id.task.index).copied();
        if preemptions.unwrap_or(0) >= self.config.policy.max_stops
            || victim.is_only_late_first_task()
            || !self.yields(request, victim)
        {
            return None;
        }
        let ran_s = attempt.running_since.map_or(0.0, |t| request.now - t);
        let cost = stop_cost(&victim.spec, ran_s, request.freed_by());
        Some(Victim {
            cost: (cost.lost + victim.spec.cpus) * cost_factor(victim),
            stop: PlannedStop {
                attempt: id.clone(),
                grace_s: cost.grace_s,
            },
            frees: attempt.resources,
        })
    }
}

/// Whether others may be preempted for the job at all.
fn may_ask_for_preemption(job: &Job) -> bool {
    let has_precedence = job.spec.urgency != Urgency::Idle || job.claims.guaranteed;
    has_precedence && job.claims.objective_reachable && job.claims.preemption_needed
}

/// Chooses victims, cheapest first, until a task of the request fits into the capacity; if
/// the team's limit is what it lacks, until they free as much as the task requires.
fn plan_stops(
    request: &PreemptionRequest,
    machine: &Name,
    mut capacity: Resources,
    victims: Vec<Victim>,
) -> Option<PreemptionPlan> {
    let need = Resources::of_task(&request.job.spec);
    let mut freed = Resources::default();
    let is_enough = |capacity: &Resources, freed: &Resources| {
        let frees_limit = freed.cpus >= need.cpus && freed.gpus >= need.gpus;
        capacity.fits(&need) && (!request.over_limit || frees_limit)
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
        capacity.add(&victim.frees);
        freed.add(&victim.frees);
        plan.cost += victim.cost;
        plan.stops.push(victim.stop);
    }
    is_enough(&capacity, &freed).then_some(plan)
}
