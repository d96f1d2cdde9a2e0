//! Making room: work of lower priority yields, and work that others borrowed
//! yields to a guarantee; what loses least is stopped first.
//!
//! Only a bounded number of machines is weighed for a task: those where work
//! is being stopped already, then some of those that run the work whose loss
//! is cheapest.

use crate::coordination::scheduler::capacity::Resources;
use crate::coordination::scheduler::job::{AttemptId, Job, Name};
use crate::coordination::scheduler::placement::{PlacementPass, TaskRequirements};
use crate::coordination::scheduler::quota::{within_limit, TeamUsage};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::{JobSpec, Urgency};
use rand::Rng;
use std::collections::HashMap;
use std::rc::Rc;

/// Most machines weighed for one task.
const WEIGHED: usize = 16;
/// Most of them for one victim job, so that several jobs are compared.
const PER_JOB: usize = 4;

/// A way to make room: what it loses, the machine, what is stopped.
type PreemptionPlan = (f64, Name, Vec<(AttemptId, f64)>);

/// What stopping the attempt would lose, in CPU seconds, and the grace to stop
/// it with. Work that can save does so unless saving takes longer than what it
/// would keep, or the room is needed at once.
pub(crate) fn loss(spec: &JobSpec, ran_s: f64, at_once: bool) -> (f64, f64) {
    let weight = spec.cpus.max(spec.gpus).max(0.1);
    if spec.checkpoint_s <= 0.0 {
        return (ran_s * weight, 0.0);
    }
    let unsaved_s = ran_s % spec.checkpoint_s;
    if at_once || unsaved_s <= spec.save_s {
        (unsaved_s * weight, 0.0)
    } else {
        // A little more than it needs, since machines differ.
        (spec.save_s * weight, spec.save_s * 1.5)
    }
}

/// How much dearer stopping work of this job is than stopping idle work: a
/// guarantee may take from anyone, but should take from the least urgent, and
/// first from what is late anyway.
pub(crate) fn dearness(victim: &Job) -> f64 {
    let urgency = match victim.spec.urgency {
        Urgency::Idle => 1.0,
        Urgency::Standard => 4.0,
        Urgency::High => 16.0,
        Urgency::Prod => 64.0,
    };
    if victim.objective_reachable {
        urgency
    } else {
        urgency / 16.0
    }
}

impl Scheduler {
    /// Whether `job` may stop a task of `victim`.
    fn may_preempt(&self, job: &Job, victim: &Job, usage: &TeamUsage) -> bool {
        if victim.on_floor && !job.guaranteed && !job.on_floor {
            return false;
        }
        if victim.spec.urgency < job.spec.urgency && job.spec.urgency > Urgency::Idle {
            // What is within a guarantee yields to no borrowed work, not even of
            // its own team: it would take its room from a third one, who took
            // it from the first, and so on in a circle.
            return !victim.guaranteed || job.guaranteed;
        }
        if !job.guaranteed || victim.guaranteed || victim.team == job.team {
            return false;
        }
        let used = usage.of(victim.team);
        self.team(victim.team)
            .is_some_and(|t| used.0 > t.cpus + 1e-6 || used.1 > t.gpus + 1e-6)
    }

    /// Whether `victim` may be stopped; if the team's limit is what lacks, only
    /// the team's own work frees it.
    fn yields(&self, job: &Job, victim: &Job, lacking: bool, usage: &TeamUsage) -> bool {
        if lacking {
            victim.team == job.team && victim.spec.urgency < job.spec.urgency
        } else {
            self.may_preempt(job, victim, usage)
        }
    }

    /// Whether the team's limit leaves no room for one more task, counting
    /// what is being stopped as free and what waits for it as taken.
    fn is_over_limit(&self, team: Option<usize>, spec: &JobSpec, pass: &mut PlacementPass) -> bool {
        let Some(limit) = self.team(team) else {
            return true;
        };
        if limit.cpus_max <= 0.0 && limit.gpus_max <= 0.0 {
            return false;
        }
        if pass.freeing.is_none() {
            pass.freeing = Some(self.resources_being_freed());
        }
        let freed = pass
            .freeing
            .as_ref()
            .and_then(|f| f.get(&team?).copied())
            .unwrap_or_default();
        let used = pass.usage.of(team);
        !within_limit(Some(limit), (used.0 - freed.0, used.1 - freed.1), spec, 1.0)
    }

    /// What each team's stopped work will free, less what waits for it.
    fn resources_being_freed(&self) -> HashMap<usize, (f64, f64)> {
        let mut sums: HashMap<usize, (f64, f64)> = HashMap::new();
        let stopped = self.stopping_attempts.iter().map(|(_, id)| (&id.task, 1.0));
        let bound = self
            .machines_with_queue
            .iter()
            .filter_map(|n| self.machines.get(n))
            .flat_map(|m| m.queue.iter().filter(|b| b.reserved))
            .map(|b| (&b.task, -1.0));
        for (task, sign) in stopped.chain(bound) {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            if let Some(team) = job.team {
                let sum = sums.entry(team).or_default();
                sum.0 += sign * job.spec.cpus;
                sum.1 += sign * job.spec.gpus;
            }
        }
        sums
    }

    /// Forgets stops that have had their effect.
    pub(crate) fn prune_stopping_attempts(&mut self) {
        let machines = &self.machines;
        self.stopping_attempts.retain(|(machine, key)| {
            machines
                .get(machine)
                .and_then(|m| m.attempts.get(key))
                .is_some_and(|a| a.stop_grace_s.is_some() && !a.has_exited())
        });
    }

    /// Stops tasks on a machine so that a task of the job fits, and names that
    /// machine.
    pub(crate) fn preempt_for(
        &mut self,
        name: &str,
        pools: &Rc<[usize]>,
        pass: &mut PlacementPass,
        now: f64,
    ) -> Option<Name> {
        let job = self.jobs.get(name)?;
        if job.spec.urgency == Urgency::Idle && !job.guaranteed
            || !job.objective_reachable
            || !job.preemption_needed
        {
            return None;
        }
        let (spec, team) = (job.spec.clone(), job.team);
        let need = Resources::of_task(&spec);
        let kind: TaskRequirements = (team, spec.urgency, job.guaranteed, pools.clone());
        let hopeless = |(k, least): &(TaskRequirements, Resources)| need.fits(least) && *k == kind;
        if pools.is_empty() || pass.infeasible.iter().any(hopeless) {
            return None;
        }
        if !std::mem::replace(&mut pass.stops_pruned, true) {
            self.prune_stopping_attempts();
        }
        let lacking = self.is_over_limit(team, &spec, pass);
        let Some((_, machine, chosen)) = self.cheapest_preemption(name, lacking, pass, now) else {
            pass.infeasible.push((kind, need));
            return None;
        };
        for (key, grace) in chosen {
            tracing::info!(task = %key.task.wire(), machine = %machine, for_job = name, "stopped to make room");
            if let Some(victim) = self.jobs.get_mut(&key.task.job) {
                *victim.preemptions.entry(key.task.index).or_default() += 1;
            }
            self.stop_attempt(&machine, &key, grace);
        }
        pass.freeing = None;
        Some(machine)
    }

    /// The cheapest of the plans weighed.
    fn cheapest_preemption(
        &mut self,
        name: &str,
        lacking: bool,
        pass: &PlacementPass,
        now: f64,
    ) -> Option<PreemptionPlan> {
        let start: usize = self.rng.random_range(0..1 << 16);
        let job = self.jobs.get(name)?;
        let zones = self.zone_constraint(job);
        let mut seen: Vec<Name> = Vec::new();
        let mut best: Option<PreemptionPlan> = None;
        let weigh = |machine: &Name, seen: &mut Vec<Name>, best: &mut Option<PreemptionPlan>| {
            if seen.contains(machine) {
                return;
            }
            seen.push(machine.clone());
            let plan = self.preemption_on(machine, job, &zones, lacking, pass, now);
            if let Some(plan) = plan {
                if best.as_ref().is_none_or(|b| plan.0 < b.0) {
                    *best = Some(plan);
                }
            }
        };
        for (machine, _) in &self.stopping_attempts {
            if seen.len() >= WEIGHED / 2 {
                break;
            }
            weigh(machine, &mut seen, &mut best);
        }
        if best.as_ref().is_some_and(|b| b.0 <= 0.0) {
            return best;
        }
        let mut dear = 0.0;
        for (dearness, _, victim) in &self.job_order.preemption_candidates {
            // A dearer job is not worth a look once there is a plan.
            if seen.len() >= 2 * WEIGHED || best.is_some() && *dearness > dear {
                break;
            }
            let Some(victim) = self.jobs.get(victim) else {
                continue;
            };
            if victim.placed.is_empty() || !self.yields(job, victim, lacking, &pass.usage) {
                continue;
            }
            dear = *dearness;
            let from = (start % victim.spec.tasks.max(1) as usize) as u32;
            let on = victim
                .placed
                .range(from..)
                .chain(victim.placed.range(..from));
            for (_, (machine, _)) in on.take(PER_JOB) {
                weigh(machine, &mut seen, &mut best);
            }
        }
        best
    }

    /// What would have to be stopped on this machine for a task of the job.
    fn preemption_on(
        &self,
        machine: &Name,
        job: &Job,
        zones: &crate::coordination::scheduler::zone_constraint::Zones,
        lacking: bool,
        pass: &PlacementPass,
        now: f64,
    ) -> Option<PreemptionPlan> {
        let m = self.machines.get(machine)?;
        let spec = &job.spec;
        let open = self.usable(m, now) && self.may_use(spec, m) && zones.allows(&m.info.zone);
        if !open || job.failed_on.contains(machine) {
            return None;
        }
        let at_once = spec.urgency >= Urgency::High || job.guaranteed;
        let need = Resources::of_task(spec);
        // Room that is being made here is spoken for.
        let mut room = m.free_capacity;
        for bound in m.queue.iter().filter(|b| b.reserved) {
            if let Some(j) = self.jobs.get(&bound.task.job) {
                room.subtract(&Resources::of_task(&j.spec));
            }
        }
        let mut victims = Vec::new();
        for (key, active) in m.live_attempts() {
            let Some(victim) = self.jobs.get(&key.task.job) else {
                continue;
            };
            if active.stop_grace_s.is_some() {
                room.add(&active.resources);
                continue;
            }
            let stops = victim
                .preemptions
                .get(&key.task.index)
                .copied()
                .unwrap_or(0);
            if stops >= self.config.policy.max_stops || victim.is_only_late_first_task() {
                continue;
            }
            if self.yields(job, victim, lacking, &pass.usage) {
                let ran = active.running_since.map_or(0.0, |t| now - t);
                let (lost, grace) = loss(&victim.spec, ran, at_once);
                let lost = (lost + victim.spec.cpus) * dearness(victim);
                victims.push((lost, (key.clone(), grace), active.resources));
            }
        }
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut cost = 0.0;
        let mut chosen = Vec::new();
        let mut freed = Resources::default();
        let enough = |room: &Resources, freed: &Resources| {
            room.fits(&need) && (!lacking || freed.cpus >= need.cpus && freed.gpus >= need.gpus)
        };
        for (loss_s, key, held) in victims {
            if enough(&room, &freed) {
                break;
            }
            room.add(&held);
            freed.add(&held);
            cost += loss_s;
            chosen.push(key);
        }
        enough(&room, &freed).then(|| (cost, machine.clone(), chosen))
    }
}
