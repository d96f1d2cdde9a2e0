//! The short queues of machines: adding and removing tasks, starting them when capacity becomes
//! free, and removing tasks that have been queued for too long, so that machines are sampled for
//! them again.
//!
//! A place in a queue reserves no capacity. Queued tasks start in the order of precedence of
//! their jobs. A queued task starts on the suitable machine that is the first to have free
//! capacity, which need not be the machine whose queue the task is in. In an earlier design, queue
//! places reserved capacity. On a large fleet more tasks then waited in queues than outside them,
//! free capacity went to whichever task was queued for it, and the smallest job was served no
//! better than the largest.
//!
//! Tasks for which other attempts were preempted are the exception: the freed capacity is
//! reserved for them, and they start only on the machine whose queue they are in.

use crate::coordination::scheduler::job::{Name, Names, TaskId};
use crate::coordination::scheduler::machine::{Machine, QueueReason, QueuedTask};
use crate::coordination::scheduler::placement_pass::PlacementPass;
use crate::coordination::scheduler::resources::Resources;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::JobSpec;

/// Maximum number of times per heartbeat interval that queues are searched for expired tasks. The
/// maximum time in a queue is a multiple of the heartbeat interval, so this rate suffices.
const EXPIRY_CHECKS_PER_HEARTBEAT: f64 = 4.0;

impl Scheduler {
    /// Maximum time that a task stays in a queue, in seconds, before machines are sampled for it
    /// again.
    fn max_queue_time_s(&self) -> f64 {
        2.0 * (self.config.policy.age_reports * self.config.heartbeat_s)
    }

    /// Puts a task into a machine's queue.
    pub(crate) fn enqueue(
        &mut self,
        machine_name: &Name,
        task: TaskId,
        reason: QueueReason,
        now: f64,
    ) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let queued = QueuedTask {
            rank: self.precedence(job, now).rank,
            predicted_s: self.predicted_run_time_s(job),
            queued_at: now,
            reason,
            task,
        };
        if let Some(job) = self.jobs.get_mut(&queued.task.job) {
            job.queued.insert(queued.task.index, machine_name.clone());
        }
        if let Some(machine) = self.machines.get_mut(machine_name) {
            machine.queue.push(queued);
        }
        self.machines_with_queue.insert(machine_name.clone());
        self.update_capacity(machine_name);
    }

    /// Removes a task from its machine's queue; does nothing if the task is not queued.
    pub(crate) fn dequeue(&mut self, task: &TaskId) {
        let job = self.jobs.get_mut(&task.job);
        let Some(machine_name) = job.and_then(|job| job.queued.remove(&task.index)) else {
            return;
        };
        if let Some(machine) = self.machines.get_mut(&machine_name) {
            machine.queue.retain(|queued| queued.task != *task);
        }
        self.update_capacity(&machine_name);
    }

    /// Empties a machine's queue. The removed tasks then wait outside any queue.
    pub(crate) fn clear_queue(&mut self, machine_name: &str) {
        let Some(machine) = self.machines.get_mut(machine_name) else {
            return;
        };
        for queued in std::mem::take(&mut machine.queue) {
            if let Some(job) = self.jobs.get_mut(&queued.task.job) {
                job.queued.remove(&queued.task.index);
                job.requeue(queued.task.index);
            }
        }
        self.machines_with_queue.swap_remove(machine_name);
        self.update_capacity(machine_name);
    }

    /// Removes tasks that have been queued for longer than the maximum time, so that machines
    /// are sampled for them again. The queue of a machine that is no longer usable is emptied
    /// regardless of the time.
    pub(crate) fn expire_queued(&mut self, now: f64) {
        let interval_s = self.config.heartbeat_s / EXPIRY_CHECKS_PER_HEARTBEAT;
        if now - self.queues_checked_at < interval_s {
            return;
        }
        self.queues_checked_at = now;
        for name in self.machines_with_queue.clone() {
            let Some(machine) = self.machines.get(&name) else {
                self.machines_with_queue.swap_remove(&name);
                continue;
            };
            let expired = self.expired_tasks(machine, now);
            if machine.queue.len() == expired.len() {
                self.machines_with_queue.swap_remove(&name);
            } else {
                // A team's usage may have dropped below its limit. The current pass therefore
                // tries to start tasks that have reserved capacity here.
                self.capacity_changes.freed_machines.insert(name);
            }
            for task in expired {
                self.dequeue(&task);
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.requeue(task.index);
                }
            }
        }
    }

    /// The tasks to remove from the machine's queue, so that machines are sampled for them again.
    fn expired_tasks(&self, machine: &Machine, now: f64) -> Vec<TaskId> {
        let max_time_s = self.max_queue_time_s();
        let is_unusable = !self.is_usable(machine, now);
        // A task with reserved capacity keeps its place in the queue while attempts on the
        // machine are stopping, for example while they write checkpoints.
        let has_stopping_attempts = machine
            .live_attempts()
            .any(|(_, attempt)| attempt.stop_grace_s.is_some());
        let is_expired = |queued: &&QueuedTask| {
            let keeps_place = now - queued.queued_at < max_time_s
                || queued.is_reserved() && has_stopping_attempts;
            is_unusable || !keeps_place
        };
        let expired = machine.queue.iter().filter(is_expired);
        expired.map(|queued| queued.task.clone()).collect()
    }

    /// Starts queued tasks of the job on sampled machines with free capacity, until the team's
    /// limit is reached or no machine has enough free capacity. Tasks with reserved capacity stay
    /// in their queue.
    pub(crate) fn start_queued_elsewhere(
        &mut self,
        name: &Name,
        spec: &JobSpec,
        pass: &mut PlacementPass,
        now: f64,
    ) {
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        let team = job.team;
        let queued = job.queued.iter();
        let movable = queued.filter(|(index, machine)| !self.is_reserved(name, **index, machine));
        let movable: Vec<u32> = movable.map(|(index, _)| *index).collect();
        for index in movable {
            if pass.is_at_limit() || !pass.usage.of(team).admits(self.team(team), spec, 1.0) {
                return;
            }
            let task = TaskId {
                index,
                job: name.clone(),
            };
            // Each start may exclude a zone for the remaining tasks of the job.
            let Some(pools) = self.pools_for_job(name) else {
                return;
            };
            let Some(machine) = self.sample_with_capacity(spec, &task, &pools, now) else {
                return;
            };
            self.dequeue(&task);
            self.start_task(&machine, task, spec, pass, now);
        }
    }

    /// Whether capacity on this machine is reserved for the task, because other attempts there
    /// were preempted for it.
    fn is_reserved(&self, job: &Name, index: u32, machine_name: &Name) -> bool {
        self.machines.get(machine_name).is_some_and(|machine| {
            machine.queue.iter().any(|queued| {
                queued.is_reserved() && queued.task.index == index && queued.task.job == *job
            })
        })
    }

    /// On machines where capacity became free, starts the queued tasks that have reserved
    /// capacity and a rank number of at most `rank`. On each machine, tasks with a lower rank
    /// number start first, and within a rank those with the smallest predicted run time (SPJF,
    /// section 4.2 of the paper).
    pub(crate) fn start_reserved(
        &mut self,
        rank: u8,
        freed_machines: &Names,
        pass: &mut PlacementPass,
        now: f64,
    ) {
        for name in freed_machines {
            let Some(machine) = self.machines.get(name) else {
                continue;
            };
            if machine.queue.is_empty() || !self.is_usable(machine, now) {
                continue;
            }
            if pass.is_at_limit() {
                return;
            }
            for queued in reserved_in_order(machine, rank) {
                self.start_reserved_task(name, queued.task, pass, now);
            }
        }
    }

    /// Starts the queued task on its machine if the machine has enough free capacity and the
    /// team's limit and the job's zone constraint allow the start.
    fn start_reserved_task(
        &mut self,
        machine_name: &Name,
        task: TaskId,
        pass: &mut PlacementPass,
        now: f64,
    ) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let (spec, team) = (job.spec.clone(), job.team);
        let machine = self.machines.get(machine_name);
        let need = Resources::of_task(&spec);
        let fits = machine.is_some_and(|machine| machine.free_capacity.fits(&need));
        if fits
            && pass.usage.of(team).admits(self.team(team), &spec, 1.0)
            && self.zone_allows(&task.job, machine_name)
        {
            self.dequeue(&task);
            self.start_task(machine_name, task, &spec, pass, now);
            // The task's capacity is in use now and no longer reserved.
            pass.usage_being_freed = None;
        }
    }

    /// Whether the job's zone constraint allows another task of the job on the machine. False if
    /// the job or the machine does not exist.
    fn zone_allows(&self, job: &str, machine: &str) -> bool {
        let (Some(job), Some(machine)) = (self.jobs.get(job), self.machines.get(machine)) else {
            return false;
        };
        // The first task of a one-zone job may start in any zone and so determines the zone.
        if job.spec.one_zone && job.placed.is_empty() {
            return true;
        }
        self.zone_constraint(job).allows(&machine.info.zone)
    }
}

/// The tasks in the machine's queue that have reserved capacity and a rank number of at most
/// `rank`, in the order in which they start.
fn reserved_in_order(machine: &Machine, rank: u8) -> Vec<QueuedTask> {
    let mut reserved: Vec<QueuedTask> = machine
        .queue
        .iter()
        .filter(|queued| queued.is_reserved() && queued.rank <= rank)
        .cloned()
        .collect();
    reserved.sort_by(|a, b| {
        a.rank
            .cmp(&b.rank)
            .then(a.predicted_s.total_cmp(&b.predicted_s))
            .then(a.queued_at.total_cmp(&b.queued_at))
    });
    reserved
}
