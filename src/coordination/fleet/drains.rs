//! Drains: operators cordon machines, and the leader gracefully evicts the tasks on them.
//!
//! A drain is a record in the state service, which is written before the leader acts on the
//! drain. At each tick the scheduler compares the record with the attempts on the machine and
//! evicts the attempts that are due for eviction.
//!
//! - No new task starts on a cordoned machine once the leader knows the drain record. A new
//!   leader reads the drain records before it places any task.
//! - An attempt that is expected to end before the drain's deadline may finish. Any other attempt
//!   is evicted unless there is a reason to keep it (see `eviction`). Attempts that lose the least
//!   work are evicted first, and at most a quarter of the machine's attempts, rounded up, are
//!   being stopped at a time. All attempts are stopped at once when the deadline has passed, if
//!   the operator ordered this.
//! - The machine is *drained* once it is proven empty, by the same proofs as in fencing, and the
//!   proof is recorded. The proof holds as long as the drain record exists, because until then no
//!   leader starts a task on the machine. If a drained machine is switched off, it delays no
//!   takeover and is not returned to the cloud.

use super::eviction::{decide, AttemptOutlook, DrainDecision, Relocation, StopCost};
use crate::coordination::scheduler::active_drain::ActiveDrain;
use crate::coordination::scheduler::job::{AttemptId, Job, Name};
use crate::coordination::scheduler::machine::{Attempt, Machine, MachineStatus};
use crate::coordination::scheduler::preemption::stop_loss_and_grace;
use crate::coordination::scheduler::resources::Resources;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::admin::{Drain, DrainRow, DrainState, Drained, Proof};
use crate::protocol::job::{JobSpec, Shape};
use std::collections::HashMap;

/// The number of attempts of a machine that are being stopped at a time is at most the number of
/// its live attempts divided by this number, rounded up. The limit spreads evictions over time:
/// later evictions are decided with the capacity that is left on other machines after the tasks
/// evicted earlier are placed.
const EVICTION_DIVISOR: usize = 4;
/// Lower bound for the speed at which a machine fetches images, in GB/s, which guards against a
/// division by zero.
const MIN_FETCH_GB_PER_S: f64 = 1e-3;

/// An attempt that is to be evicted.
struct Eviction {
    attempt: AttemptId,
    cost: StopCost,
}

impl Scheduler {
    /// Whether the machine is drained: cordoned and recorded as proven empty.
    pub(crate) fn is_drained(&self, name: &str) -> bool {
        let active_drain = self.drains.get(name);
        active_drain.is_some_and(|active| active.drain.drained.is_some())
    }

    /// Replaces the drains with the complete set of drain records. The map holds each record with
    /// its version, under the machine's name.
    pub fn set_drains(&mut self, records: &HashMap<String, (Drain, u64)>) {
        let ended: Vec<Name> = self
            .drains
            .keys()
            .filter(|name| !records.contains_key(&***name))
            .cloned()
            .collect();
        for name in ended {
            self.uncordon(&name);
        }
        let mut hosts: Vec<&String> = records.keys().collect();
        hosts.sort();
        for host in hosts {
            let (drain, version) = &records[host];
            let known_version = self.drains.get(host.as_str()).map(|t| t.version);
            if known_version == Some(*version) {
                continue;
            }
            let deadline_at = drain
                .deadline_ms
                .map(|ms| ms as f64 / 1000.0 - self.wall_clock_offset_s);
            let active_drain = ActiveDrain {
                drain: drain.clone(),
                version: *version,
                deadline_at,
            };
            self.drains.insert(host.as_str().into(), active_drain);
            self.cordon(host);
        }
    }

    /// Ends the machine's drain: tasks may start on it again.
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

    /// Cordons the machine: no new task starts on it from now on. Attempts that the machine has not
    /// reported are stopped even if their start command was sent, because a repetition of the
    /// command could otherwise start them later.
    fn cordon(&mut self, host: &str) {
        let Some((name, _)) = self.machines.get_key_value(host) else {
            return;
        };
        let name = name.clone();
        let Some(machine) = self.machines.get_mut(&name).filter(|m| !m.cordoned) else {
            return;
        };
        machine.cordoned = true;
        machine.unchanged_task_list = None;
        let unreported: Vec<AttemptId> = machine
            .live_attempts()
            .filter(|(_, a)| a.phase.is_none())
            .map(|(key, _)| key.clone())
            .collect();
        tracing::info!(machine = %name, term = self.term, "cordoned");
        self.clear_queue(&name);
        for key in &unreported {
            self.stop_attempt(&name, key, 0.0);
        }
        self.remove_unstarted(&name);
        self.placement_due = true;
    }

    /// The facts on which the decision about an attempt is based. `None` if the attempt's job has
    /// finished, because the attempts of such a job are being stopped anyway.
    fn attempt_outlook(
        &self,
        machine: &Machine,
        active_drain: &ActiveDrain,
        key: &AttemptId,
        attempt: &Attempt,
    ) -> Option<AttemptOutlook> {
        let job = self.jobs.get(&key.task.job).filter(|job| !job.finished)?;
        let now = self.now;
        let spec = &job.spec;
        let ran_s = attempt.running_since.map_or(0.0, |t| now - t);
        let predicted_s = self.predicted_run_time_s(job);
        let (lost_cpu_s, grace_s) = stop_loss_and_grace(spec, ran_s, false);
        // On another machine the task must fetch its image and repeat the work that this attempt
        // has done since its last checkpoint.
        let remaining_s = (predicted_s - checkpointed_s(spec, ran_s)).max(0.0);
        Some(AttemptOutlook {
            runs_indefinitely: spec.shape == Shape::Service,
            ran_s,
            predicted_s,
            stop_cost: StopCost {
                lost_cpu_s,
                grace_s,
            },
            rerun_s: self.image_fetch_s(machine, spec) + grace_s + remaining_s,
            due_in_s: self.next_due_times(job, now),
            until_deadline_s: active_drain.deadline_at.map(|d| d - now),
            deadline_action: active_drain.drain.rest,
            relocation: self.relocation(job),
        })
    }

    /// Time to fetch the job's image on a machine of the same type as `machine`, in seconds; 0 if
    /// the type is unknown.
    fn image_fetch_s(&self, machine: &Machine, spec: &JobSpec) -> f64 {
        let machine_type = self.types.get(&machine.info.kind);
        machine_type.map_or(0.0, |t| {
            spec.image_gb / t.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S)
        })
    }

    /// Whether a task of the job can run on another machine that is not cordoned.
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

    /// The decisions about the machine's live attempts, without attempts that are already being
    /// stopped and without attempts of finished jobs.
    fn drain_decisions(
        &self,
        machine: &Machine,
        active_drain: &ActiveDrain,
    ) -> Vec<(AttemptId, DrainDecision)> {
        machine
            .live_attempts()
            .filter(|(_, attempt)| attempt.stop_grace_s.is_none())
            .filter_map(|(key, attempt)| {
                let outlook = self.attempt_outlook(machine, active_drain, key, attempt)?;
                Some((key.clone(), decide(&outlook)))
            })
            .collect()
    }

    /// Stops the attempts that are due for eviction, on all machines with a drain.
    pub(crate) fn advance_drains(&mut self) {
        if self.drains.is_empty() || !self.fence.placement_allowed {
            return;
        }
        let names: Vec<Name> = self.drains.keys().cloned().collect();
        for name in names {
            for Eviction { attempt, cost } in self.due_evictions(&name) {
                tracing::info!(task = %attempt.task.wire_name(), machine = %name, lost_cpu_s = cost.lost_cpu_s, "evicted from a draining machine");
                self.stop_attempt(&name, &attempt, cost.grace_s);
            }
        }
    }

    /// The attempts to evict from the machine now, sorted by the work that is lost, least first.
    fn due_evictions(&self, name: &Name) -> Vec<Eviction> {
        let (Some(machine), Some(active_drain)) = (self.machines.get(name), self.drains.get(name))
        else {
            return Vec::new();
        };
        let reports_under_term = machine.status == MachineStatus::Up && machine.fenced;
        if !reports_under_term || machine.attempts.is_empty() {
            return Vec::new();
        }
        let mut evictions: Vec<Eviction> = self
            .drain_decisions(machine, active_drain)
            .into_iter()
            .filter_map(|(attempt, decision)| match decision {
                DrainDecision::Evict(cost) => Some(Eviction { attempt, cost }),
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
        let max_stopping = if active_drain.must_stop_now(self.now) {
            live
        } else {
            live.div_ceil(EVICTION_DIVISOR)
        };
        evictions.truncate(max_stopping.saturating_sub(stopping));
        evictions
    }

    /// The proof that the machine is empty; `None` if there is no proof yet or the machine is not
    /// cordoned.
    fn proof_of_emptiness(&self, machine: &Machine) -> Option<Proof> {
        if !machine.cordoned || !machine.attempts.is_empty() || machine.unknown_attempts > 0 {
            return None;
        }
        match machine.status {
            MachineStatus::Expired => Some(Proof::LeaseOver),
            MachineStatus::Up | MachineStatus::Draining
                if machine.fenced && machine.incarnation_check.is_none() =>
            {
                Some(Proof::Reported)
            }
            _ => None,
        }
    }

    /// Finds drains whose machine is proven empty although the drain record does not say so yet.
    /// Returns at most `max_drains` of them, each as the drain record to write and the version of
    /// the record that it replaces.
    pub fn proven_drains(&self, now_ms: u64, max_drains: usize) -> Vec<(Drain, u64)> {
        if !self.fence.placement_allowed {
            return Vec::new();
        }
        let proven = self.drains.iter().filter_map(|(name, active_drain)| {
            let machine = self.machines.get(name)?;
            if active_drain.drain.drained.is_some() {
                return None;
            }
            let drained = Some(Drained {
                at_ms: now_ms,
                term: self.term,
                proof: self.proof_of_emptiness(machine)?,
                session: machine.last_message.session,
            });
            let drain = active_drain.drain.clone();
            Some((Drain { drained, ..drain }, active_drain.version))
        });
        // An empty order name marks a drain record that could not be parsed. Such a record is not
        // overwritten.
        proven
            .filter(|(drain, _)| !drain.order.is_empty())
            .take(max_drains)
            .collect()
    }

    /// The drains and their progress, as rows of the operators' view, sorted by machine name.
    pub fn drain_rows(&self, now: f64) -> Vec<DrainRow> {
        let mut rows: Vec<DrainRow> = self
            .drains
            .iter()
            .map(|(name, active_drain)| self.drain_row(name, active_drain, now))
            .collect();
        rows.sort_by(|a, b| a.drain.host.cmp(&b.drain.host));
        rows
    }

    /// The row for the drain of this machine.
    fn drain_row(&self, name: &Name, active_drain: &ActiveDrain, now: f64) -> DrainRow {
        let machine = self.machines.get(name);
        let tasks = machine.map_or(0, |m| m.live_attempts().count() as u32);
        let decisions = machine.map_or(Vec::new(), |m| self.drain_decisions(m, active_drain));
        let keep_reason = decisions
            .into_iter()
            .find_map(|(key, decision)| match decision {
                DrainDecision::Keep(why) => Some(format!("{}: {why}", key.task.wire_name())),
                _ => None,
            });
        let overdue = active_drain.deadline_at.is_some_and(|d| now > d);
        let state = match machine {
            None if self.fence.placement_allowed => DrainState::Gone,
            _ if active_drain.drain.drained.is_some() && tasks == 0 => DrainState::Drained,
            _ if overdue => DrainState::Overdue,
            _ => DrainState::Draining,
        };
        DrainRow {
            drain: active_drain.drain.clone(),
            state,
            tasks,
            stays: keep_reason.unwrap_or_default(),
        }
    }

    /// Seconds until the job's next two objectives are due, nearest first. The nearest objective
    /// alone is not enough, because often it can no longer be met.
    fn next_due_times(&self, job: &Job, now: f64) -> [Option<f64>; 2] {
        let mut due_times: Vec<f64> = self.due_times(job, now).filter(|d| *d > 0.0).collect();
        due_times.sort_by(f64::total_cmp);
        [due_times.first().copied(), due_times.get(1).copied()]
    }
}

/// The part of an attempt's run time that its last checkpoint has saved, in seconds. `ran_s` is the
/// time for which the attempt has run.
fn checkpointed_s(spec: &JobSpec, ran_s: f64) -> f64 {
    if spec.checkpoint_s > 0.0 {
        ran_s - ran_s % spec.checkpoint_s
    } else {
        0.0
    }
}
