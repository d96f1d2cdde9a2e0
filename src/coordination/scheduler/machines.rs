//! The set of machines: adding, retiring and removing them, and the written machine record.
//!
//! No task starts on a machine before the record that lists the machine is written: the next
//! leader reads the record to learn which machines may run tasks.

use crate::coordination::scheduler::capacity_index::Availability;
use crate::coordination::scheduler::empty_proof::EmptyProof;
use crate::coordination::scheduler::job::AttemptId;
use crate::coordination::scheduler::machine::{self, Attempt, Machine, MachineStatus};
use crate::coordination::scheduler::resources::Resources;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::cloud::MachineType;
use crate::storage::records::MachineInfo;

/// Removes from the machine, and returns, the attempts that the proof rules out.
fn take_ruled_out_attempts(machine: &mut Machine, proof: EmptyProof) -> Vec<(AttemptId, Attempt)> {
    let attempts = std::mem::take(&mut machine.attempts);
    let (ruled_out, kept): (Vec<_>, Vec<_>) = attempts
        .into_iter()
        .partition(|(_, attempt)| proof.rules_out(machine, attempt));
    machine.attempts = kept.into_iter().collect();
    ruled_out
}

/// Logs the direct starts that the machine may still execute, as far as the leader knows: those
/// without an answer, and those of which a late copy may arrive. For each one the log line tells
/// whether its attempt was ruled out or still counts as running.
fn log_open_starts(
    machine: &Machine,
    ruled_out: &[(AttemptId, Attempt)],
    proof: EmptyProof,
    now: f64,
) {
    let ruled_out = ruled_out.iter().map(|(id, attempt)| (id, attempt, true));
    let kept = machine
        .attempts
        .iter()
        .map(|(id, attempt)| (id, attempt, false));
    for (id, attempt, is_ruled_out) in ruled_out.chain(kept) {
        if !attempt.has_open_start(machine.seen_token) {
            continue;
        }
        tracing::info!(
            machine = %machine.info.id,
            task = %id.task.wire_name(),
            ?proof,
            is_ruled_out,
            answered = !attempt.has_unanswered_call(),
            start_token = ?attempt.called_with_token,
            seen_token = machine.seen_token,
            start_age_s = now - attempt.start_decided_at,
            last_message = ?machine.last_message,
            "start that the machine may still execute"
        );
    }
}

impl Scheduler {
    /// Replaces the machine types that the cloud offers.
    pub fn set_types(&mut self, types: &[MachineType]) {
        self.types = types
            .iter()
            .map(|kind| (kind.name.clone(), kind.clone()))
            .collect();
        for name in self.machines.keys().cloned().collect::<Vec<_>>() {
            self.update_capacity(&name);
        }
        self.placement_due = true;
    }

    /// Adds a machine that the machine record listed at the takeover.
    pub fn add_recorded_machine(&mut self, info: MachineInfo, now: f64) {
        let name = machine::machine_name(&info);
        let cordoned = self.drains.contains_key(&name);
        // A machine that was drained and proven empty does not block placement. No leader
        // starts tasks on such a machine while its drain record exists. A controller that
        // learns of the deletion of a drain record knows by then whether it still leads.
        let drained = self.is_drained(&name);
        if !drained {
            self.unfenced.insert(name.clone());
        }
        self.machines.entry(name).or_insert_with(|| Machine {
            cordoned,
            drained,
            ..Machine::new(info, true, now)
        });
    }

    /// Updates a machine's free capacity and its entry in the capacity index.
    pub(crate) fn update_capacity(&mut self, name: &str) {
        let silent_s = self.config.silent_s();
        let queue_depth = self.config.policy.queue_depth;
        let Some((_, key, machine)) = self.machines.get_full_mut(name) else {
            self.capacity_index.remove(name);
            return;
        };
        let kind = self.types.get(&machine.info.kind);
        self.work.examined += machine.attempts.len() as u64;
        let free = kind.map_or(Resources::default(), |kind| machine.unoccupied(kind));
        let usable = kind.is_some() && machine.is_usable(self.now, silent_s);
        if usable {
            let has_queue_room = machine.queue.len() < queue_depth;
            let availability = Availability::new(&free, has_queue_room);
            self.capacity_index
                .insert_or_move(key, &machine.info, availability);
        } else {
            self.capacity_index.remove(key);
        }
        let has_grown = !machine.indexed || free.admits_more_than(&machine.free_capacity);
        if usable && has_grown {
            self.capacity_index.capacity_grew(&free);
            self.capacity_changes.grown_free_capacity.push(free);
            if !machine.queue.is_empty() {
                self.capacity_changes.freed_machines.insert(key.clone());
            }
        }
        machine.free_capacity = free;
        machine.indexed = usable;
    }

    /// Subtracts the resources of an attempt that was just added to an indexed machine. Unlike
    /// `update_capacity`, this takes the same time however many attempts the machine has.
    pub(crate) fn occupy_capacity(&mut self, name: &str, resources: &Resources) {
        let queue_depth = self.config.policy.queue_depth;
        let Some((_, key, machine)) = self.machines.get_full_mut(name) else {
            return;
        };
        machine.free_capacity.subtract(resources);
        if machine.indexed {
            let has_queue_room = machine.queue.len() < queue_depth;
            let availability = Availability::new(&machine.free_capacity, has_queue_room);
            self.capacity_index
                .insert_or_move(key, &machine.info, availability);
        }
    }

    /// Removes the queued tasks of a machine and all attempts that the proof rules out. Tasks
    /// without another attempt wait again.
    pub(crate) fn clear_machine(&mut self, name: &str, proof: EmptyProof) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.unknown_attempts = 0;
        machine.unchanged_task_list = None;
        machine.idle_since = self.now;
        let attempts = take_ruled_out_attempts(machine, proof);
        log_open_starts(machine, &attempts, proof, self.now);
        let live_attempts = attempts.iter().filter(|(_, attempt)| !attempt.has_exited());
        let lost_tasks: Vec<String> = live_attempts.map(|(id, _)| id.task.wire_name()).collect();
        if !lost_tasks.is_empty() {
            tracing::info!(
                machine = name,
                ?proof,
                tasks = lost_tasks.join(" "),
                "lost with its machine"
            );
        }
        for (id, mut attempt) in attempts {
            self.uncount_running(&id, &mut attempt);
            self.release_attempt(&id);
        }
        self.clear_queue(name);
    }

    /// Removes a machine whose return the cloud confirmed, and remembers its name, so that
    /// delayed heartbeats of the machine are refused.
    pub fn confirm_machine_returned(&mut self, name: &str) {
        self.remove_machine(name);
        self.returned_machines.insert(name.into(), ());
    }

    /// Removes a machine that does not exist any more, with its attempts and queue.
    pub fn remove_machine(&mut self, name: &str) {
        self.clear_machine(name, EmptyProof::MachineGone);
        let removed = self.machines.swap_remove(name);
        if removed.is_some_and(|machine| machine.recorded) {
            self.machine_record_dirty = true;
        }
        self.capacity_index.remove(name);
        self.outbox.swap_remove(name);
        self.placement_due = true;
    }

    /// Takes a machine out of use permanently. Its tasks are stopped and wait again.
    pub fn retire_machine(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.status != MachineStatus::Up {
            return;
        }
        machine.status = MachineStatus::Draining;
        machine.unchanged_task_list = None;
        let attempts: Vec<AttemptId> = machine.live_attempts().map(|(id, _)| id.clone()).collect();
        self.clear_queue(name);
        for id in attempts {
            let grace_s = self.checkpoint_grace_s(&id.task.job);
            self.stop_attempt(name, &id, grace_s);
        }
        self.placement_due = true;
    }

    /// The machines that the machine record should list.
    pub fn wanted_machine_record(&self) -> Vec<&MachineInfo> {
        self.machines
            .values()
            .filter(|machine| !machine.is_proven_empty())
            .map(|machine| &machine.info)
            .collect()
    }

    /// Handles a successful write of the machine record; `written` lists the machines that are
    /// now in the record.
    pub fn machine_record_written(&mut self, written: &[MachineInfo]) {
        for info in written {
            let Some(machine) = self.machines.get_mut(info.id.as_str()) else {
                continue;
            };
            if machine.recorded || machine.status == MachineStatus::Expired {
                continue;
            }
            machine.recorded = true;
            if machine.blocks_placement() {
                self.unfenced.insert(machine::machine_name(info));
            }
            self.update_capacity(&info.id);
            self.placement_due = true;
        }
    }
}
