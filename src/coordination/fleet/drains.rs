//! Drains: machines that operators cordoned, and the graceful eviction of what runs there.
//!
//! A drain is a record in the state service, written before anything is done about it;
//! what is here works out, at each tick, the difference between that record and what is on
//! the machine.
//!
//! - Nothing new starts on a cordoned machine, from the moment its record is known; the
//!   next leader reads the records before it places.
//! - What runs there may finish in time, else it is evicted, least loss first and a
//!   quarter of it at once (see `eviction`).
//! - The machine is *drained* once it is proven empty, as in fencing, and the proof is
//!   recorded. It holds as long as the drain's record stands, since no leader starts
//!   anything there: so a machine that is switched off then holds up no takeover, and is
//!   not returned to the cloud.

use super::eviction::{decide, AttemptOutlook, DrainDecision, Relocation, StopCost};
use crate::coordination::scheduler::drain_target::DrainTarget;
use crate::coordination::scheduler::job::{AttemptId, Job, Name};
use crate::coordination::scheduler::machine::{Attempt, Machine, MachineStatus};
use crate::coordination::scheduler::preemption::loss;
use crate::coordination::scheduler::resources::Resources;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::admin::{Drain, DrainRow, DrainState, Drained, Proof};
use crate::protocol::job::{JobSpec, Shape};
use std::collections::HashMap;

/// One part of the attempts in so many is evicted at once: the next ones are weighed with
/// the room that is left when these have found theirs.
const EVICTION_DIVISOR: usize = 4;
/// Least speed at which a machine fetches images, in GB/s.
const MIN_FETCH_GB_PER_S: f64 = 1e-3;

/// An attempt that is to be evicted.
struct Eviction {
    attempt: AttemptId,
    cost: StopCost,
}

impl Scheduler {
    /// Whether the machine is drained: cordoned and recorded as proven empty.
    pub(crate) fn is_drained(&self, name: &str) -> bool {
        let target = self.drains.get(name);
        target.is_some_and(|t| t.drain.drained.is_some())
    }

    /// Takes in the records of all drains, each with its version.
    pub fn set_drains(&mut self, wanted: &HashMap<String, (Drain, u64)>) {
        let ended: Vec<Name> = self
            .drains
            .keys()
            .filter(|name| !wanted.contains_key(&***name))
            .cloned()
            .collect();
        for name in ended {
            self.uncordon(&name);
        }
        let mut hosts: Vec<&String> = wanted.keys().collect();
        hosts.sort();
        for host in hosts {
            let (drain, version) = &wanted[host];
            let known = self.drains.get(host.as_str()).map(|t| t.version);
            if known == Some(*version) {
                continue;
            }
            let deadline_at = drain
                .deadline_ms
                .map(|ms| ms as f64 / 1000.0 - self.wall_clock_offset_s);
            let target = DrainTarget {
                drain: drain.clone(),
                version: *version,
                deadline_at,
            };
            self.drains.insert(host.as_str().into(), target);
            self.cordon(host);
        }
    }

    /// The machine's drain has ended: it takes tasks again.
    fn uncordon(&mut self, name: &Name) {
        self.drains.swap_remove(name);
        if let Some(machine) = self.machines.get_mut(name) {
            tracing::info!(machine = %name, term = self.term, "uncordoned");
            machine.cordoned = false;
            machine.idle_since = self.now;
        }
        self.update_capacity(name);
        self.placement_due = true;
    }

    /// Nothing new on the machine from now on; what it was told to start but is
    /// not seen to have is stopped, lest a repeated command starts it later.
    fn cordon(&mut self, host: &str) {
        let Some((name, _)) = self.machines.get_key_value(host) else {
            return;
        };
        let name = name.clone();
        let Some(machine) = self.machines.get_mut(&name).filter(|m| !m.cordoned) else {
            return;
        };
        machine.cordoned = true;
        machine.repeatable_tasks = None;
        let unseen: Vec<AttemptId> = machine
            .live_attempts()
            .filter(|(_, a)| a.phase.is_none())
            .map(|(key, _)| key.clone())
            .collect();
        tracing::info!(machine = %name, term = self.term, "cordoned");
        self.clear_queue(&name);
        for key in &unseen {
            self.stop_attempt(&name, key, 0.0);
        }
        self.remove_unstarted(&name);
        self.placement_due = true;
    }

    /// What the decision on an attempt follows from; `None` for one whose job is
    /// over, which is being stopped anyway.
    fn attempt_outlook(
        &self,
        machine: &Machine,
        target: &DrainTarget,
        key: &AttemptId,
        attempt: &Attempt,
    ) -> Option<AttemptOutlook> {
        let job = self.jobs.get(&key.task.job).filter(|job| !job.finished)?;
        let now = self.now;
        let spec = &job.spec;
        let ran_s = attempt.running_since.map_or(0.0, |t| now - t);
        let predicted_s = self.predict(job);
        let (lost_cpu_s, grace_s) = loss(spec, ran_s, false);
        // Elsewhere it fetches its image, and does again what it did not save.
        let remaining_s = (predicted_s - checkpointed_s(spec, ran_s)).max(0.0);
        Some(AttemptOutlook {
            endless: spec.shape == Shape::Service,
            ran_s,
            predicted_s,
            stop_cost: StopCost {
                lost_cpu_s,
                grace_s,
            },
            rerun_s: self.image_fetch_s(machine, spec) + grace_s + remaining_s,
            due_s: self.next_due_times(job, now),
            until_deadline_s: target.deadline_at.map(|d| d - now),
            rest: target.drain.rest,
            relocation: self.relocation(job),
        })
    }

    /// How long fetching the job's image takes on a machine of this type.
    fn image_fetch_s(&self, machine: &Machine, spec: &JobSpec) -> f64 {
        let machine_type = self.types.get(&machine.info.kind);
        machine_type.map_or(0.0, |t| {
            spec.image_gb / t.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S)
        })
    }

    /// Whether a task of the job can run on a machine that is not cordoned.
    fn relocation(&self, job: &Job) -> Relocation {
        let spec = &job.spec;
        let zones = self.zone_constraint(job);
        let pools = self
            .capacity_index
            .pools_for(spec, &self.types, |zone| zones.allows(zone));
        if pools.is_empty() {
            return Relocation::NotAllowed;
        }
        let need = Resources::of_task(spec);
        let has_room = self.capacity_index.count_with_cpus(&pools, spec.cpus) > 0
            && !self.capacity_index.is_exhausted(&pools, &need);
        if has_room {
            Relocation::Possible
        } else {
            Relocation::NoRoom
        }
    }

    /// What becomes of each attempt on the machine that is not being stopped.
    fn drain_decisions(
        &self,
        machine: &Machine,
        target: &DrainTarget,
    ) -> Vec<(AttemptId, DrainDecision)> {
        machine
            .live_attempts()
            .filter(|(_, attempt)| attempt.stop_grace_s.is_none())
            .filter_map(|(key, attempt)| {
                let outlook = self.attempt_outlook(machine, target, key, attempt)?;
                Some((key.clone(), decide(&outlook)))
            })
            .collect()
    }

    /// Evicts what is due on draining machines.
    pub(crate) fn advance_drains(&mut self) {
        if self.drains.is_empty() || !self.fence.open {
            return;
        }
        let names: Vec<Name> = self.drains.keys().cloned().collect();
        for name in names {
            for Eviction { attempt, cost } in self.due_evictions(&name) {
                tracing::info!(task = %attempt.task.wire(), machine = %name, lost = cost.lost_cpu_s, "evicted from a draining machine");
                self.stop_attempt(&name, &attempt, cost.grace_s);
            }
        }
    }

    /// The attempts to evict from the machine now, least loss first.
    fn due_evictions(&self, name: &Name) -> Vec<Eviction> {
        let (Some(machine), Some(target)) = (self.machines.get(name), self.drains.get(name)) else {
            return Vec::new();
        };
        let accountable = machine.status == MachineStatus::Up && machine.fenced;
        if !accountable || machine.attempts.is_empty() {
            return Vec::new();
        }
        let mut evictions: Vec<Eviction> = self
            .drain_decisions(machine, target)
            .into_iter()
            .filter_map(|(attempt, decision)| match decision {
                DrainDecision::Moves(cost) => Some(Eviction { attempt, cost }),
                _ => None,
            })
            .collect();
        evictions.sort_by(|a, b| {
            let by_loss = a.cost.lost_cpu_s.total_cmp(&b.cost.lost_cpu_s);
            by_loss.then_with(|| a.attempt.cmp(&b.attempt))
        });
        let live = machine.live_attempts().count();
        let stopping = machine
            .live_attempts()
            .filter(|(_, attempt)| attempt.stop_grace_s.is_some())
            .count();
        let max_stopping = if target.must_stop_now(self.now) {
            live
        } else {
            live.div_ceil(EVICTION_DIVISOR)
        };
        evictions.truncate(max_stopping.saturating_sub(stopping));
        evictions
    }

    /// What proves the cordoned machine empty now, if anything does.
    fn proof_of_emptiness(&self, machine: &Machine) -> Option<Proof> {
        if !machine.cordoned || !machine.attempts.is_empty() || machine.unknown_attempts > 0 {
            return None;
        }
        match machine.status {
            MachineStatus::Expired => Some(Proof::LeaseOver),
            MachineStatus::Up | MachineStatus::Draining if machine.fenced => Some(Proof::Reported),
            _ => None,
        }
    }

    /// Drains whose machine is proven empty while their record does not say so
    /// yet: the record to write, and the version that it replaces.
    pub fn proven_drains(&self, now_ms: u64, most: usize) -> Vec<(Drain, u64)> {
        if !self.fence.open {
            return Vec::new();
        }
        let proven = self.drains.iter().filter_map(|(name, target)| {
            let machine = self.machines.get(name)?;
            if target.drain.drained.is_some() {
                return None;
            }
            let drained = Some(Drained {
                at_ms: now_ms,
                term: self.term,
                proof: self.proof_of_emptiness(machine)?,
                session: machine.last_message.session,
            });
            let drain = target.drain.clone();
            Some((Drain { drained, ..drain }, target.version))
        });
        // An unreadable record is not ours to overwrite.
        proven
            .filter(|(drain, _)| !drain.order.is_empty())
            .take(most)
            .collect()
    }

    /// All drains with their progress, by machine.
    pub fn drain_rows(&self, now: f64) -> Vec<DrainRow> {
        let mut rows: Vec<DrainRow> = self
            .drains
            .iter()
            .map(|(name, target)| self.drain_row(name, target, now))
            .collect();
        rows.sort_by(|a, b| a.drain.host.cmp(&b.drain.host));
        rows
    }

    fn drain_row(&self, name: &Name, target: &DrainTarget, now: f64) -> DrainRow {
        let machine = self.machines.get(name);
        let tasks = machine.map_or(0, |m| m.live_attempts().count() as u32);
        let decisions = machine.map_or(Vec::new(), |m| self.drain_decisions(m, target));
        let stays = decisions
            .into_iter()
            .find_map(|(key, decision)| match decision {
                DrainDecision::Stays(why) => Some(format!("{}: {why}", key.task.wire())),
                _ => None,
            });
        let overdue = target.deadline_at.is_some_and(|d| now > d);
        let state = match machine {
            None if self.fence.open => DrainState::Gone,
            _ if target.drain.drained.is_some() && tasks == 0 => DrainState::Drained,
            _ if overdue => DrainState::Overdue,
            _ => DrainState::Draining,
        };
        DrainRow {
            drain: target.drain.clone(),
            state,
            tasks,
            stays: stays.unwrap_or_default(),
        }
    }

    /// Until the job's next objectives are due, nearest first: two, since the nearest
    /// is often lost already.
    fn next_due_times(&self, job: &Job, now: f64) -> [Option<f64>; 2] {
        let mut due_times: Vec<f64> = self.due_times(job, now).filter(|d| *d > 0.0).collect();
        due_times.sort_by(f64::total_cmp);
        [due_times.first().copied(), due_times.get(1).copied()]
    }
}

/// How much of the run time is kept by the last checkpoint, in seconds.
fn checkpointed_s(spec: &JobSpec, ran_s: f64) -> f64 {
    if spec.checkpoint_s > 0.0 {
        ran_s - ran_s % spec.checkpoint_s
    } else {
        0.0
    }
}
