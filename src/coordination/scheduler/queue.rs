//! The short queues at machines: what binds, what starts when room comes, and
//! what is drawn again.
//!
//! A place in a queue is no claim: what waits there starts in the order of jobs,
//! on its own machine or wherever else room came free first. When it was a claim,
//! the queues of a large fleet held more tasks than waited, so that room went to
//! whatever stood before it and the smallest job fared like the largest.

use crate::coordination::scheduler::capacity::Resources;
use crate::coordination::scheduler::job::{Name, Names, TaskId};
use crate::coordination::scheduler::machine::QueuedTask;
use crate::coordination::scheduler::placement::PlacementPass;
use crate::coordination::scheduler::quota::within_limit;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::JobSpec;

impl Scheduler {
    /// Half the age at which a bound task is drawn again.
    fn age_s(&self) -> f64 {
        self.config.policy.age_reports * self.config.report_s
    }

    /// Puts a task into a machine's queue.
    pub(crate) fn enqueue(&mut self, machine: &Name, task: TaskId, reserved: bool, now: f64) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let (rank, predicted_s) = (self.precedence(job, now).0, self.predict(job));
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.queued.insert(task.index, machine.clone());
        }
        if let Some(m) = self.machines.get_mut(machine) {
            m.queue.push(QueuedTask {
                task,
                rank,
                predicted_s,
                since: now,
                reserved,
            });
        }
        self.machines_with_queue.insert(machine.clone());
        self.update_capacity(machine);
    }

    /// Takes a task out of whatever queue it is bound to.
    pub(crate) fn dequeue(&mut self, task: &TaskId) {
        let job = self.jobs.get_mut(&task.job);
        let Some(machine) = job.and_then(|j| j.queued.remove(&task.index)) else {
            return;
        };
        if let Some(m) = self.machines.get_mut(&machine) {
            m.queue.retain(|b| b.task != *task);
        }
        self.update_capacity(&machine);
    }

    /// Empties a machine's queue; its tasks wait unbound again.
    pub(crate) fn clear_queue(&mut self, machine: &str) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        for bound in std::mem::take(&mut m.queue) {
            if let Some(job) = self.jobs.get_mut(&bound.task.job) {
                job.queued.remove(&bound.task.index);
                job.requeue(bound.task.index);
            }
        }
        self.machines_with_queue.swap_remove(machine);
        self.update_capacity(machine);
    }

    /// Bound tasks that waited past the age limit are drawn again, those at a
    /// machine that fell silent or leaves at once.
    pub(crate) fn expire_queued(&mut self, now: f64) {
        let age = self.age_s();
        // Ages are in report intervals, so a quarter of one is often enough.
        if now - self.queues_aged_at < self.config.report_s / 4.0 {
            return;
        }
        self.queues_aged_at = now;
        for name in self.machines_with_queue.clone() {
            let Some(m) = self.machines.get(&name) else {
                self.machines_with_queue.swap_remove(&name);
                continue;
            };
            let stuck = !self.usable(m, now);
            // What room is being made for waits for it, while others save.
            let making = m.live_attempts().any(|(_, a)| a.stop_grace_s.is_some());
            let old: Vec<TaskId> = m
                .queue
                .iter()
                .filter(|b| {
                    let young = now - b.since < 2.0 * age;
                    stuck || !(young || b.reserved && making)
                })
                .map(|b| b.task.clone())
                .collect();
            if m.queue.len() == old.len() {
                self.machines_with_queue.swap_remove(&name);
            } else {
                // A limit may have got room meanwhile.
                self.freed_machines.insert(name.clone());
            }
            for task in old {
                self.dequeue(&task);
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.requeue(task.index);
                }
            }
        }
    }

    /// Starts tasks of the job that wait in queues where there is free room
    /// elsewhere, as far as it goes.
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
        let kept = |task: u32, machine: &Name| {
            let m = self.machines.get(machine);
            m.is_some_and(|m| {
                let mut queue = m.queue.iter();
                queue.any(|b| b.reserved && b.task.index == task && b.task.job == *name)
            })
        };
        let bound = job.queued.iter().filter(|(t, m)| !kept(**t, m));
        let bound: Vec<u32> = bound.map(|(task, _)| *task).collect();
        let team = job.team;
        for index in bound {
            if !within_limit(self.team(team), pass.usage.of(team), spec, 1.0) {
                return;
            }
            let task = TaskId {
                index,
                job: name.clone(),
            };
            // Each start may close a zone to the rest of the job.
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

    /// Starts tasks up to this rank for which room was made, where it came free:
    /// by smallest prediction.
    pub(crate) fn start_reserved(
        &mut self,
        rank: u8,
        freed: &Names,
        pass: &mut PlacementPass,
        now: f64,
    ) {
        for name in freed {
            let Some(m) = self.machines.get(name) else {
                continue;
            };
            if m.queue.is_empty() || !self.usable(m, now) {
                continue;
            }
            let mut ready: Vec<QueuedTask> = (m.queue.iter())
                .filter(|b| b.reserved && b.rank <= rank)
                .cloned()
                .collect();
            ready.sort_by(|a, b| {
                a.rank
                    .cmp(&b.rank)
                    .then(a.predicted_s.total_cmp(&b.predicted_s))
                    .then(a.since.total_cmp(&b.since))
            });
            for bound in ready {
                let Some(job) = self.jobs.get(&bound.task.job) else {
                    continue;
                };
                let (spec, team) = (job.spec.clone(), job.team);
                let limit = self.team(team);
                let room = self
                    .machines
                    .get(name)
                    .is_some_and(|m| m.free_capacity.fits(&Resources::of_task(&spec)));
                if !room
                    || !within_limit(limit, pass.usage.of(team), &spec, 1.0)
                    || !self.zone_allows(&bound.task.job, name)
                {
                    continue;
                }
                self.dequeue(&bound.task);
                self.start_task(name, bound.task, &spec, pass, now);
            }
        }
    }

    fn zone_allows(&self, job: &str, machine: &str) -> bool {
        let (Some(job), Some(m)) = (self.jobs.get(job), self.machines.get(machine)) else {
            return false;
        };
        // With no task on a machine any zone is right for the first one.
        if job.spec.one_zone && job.placed.is_empty() {
            return true;
        }
        self.zone_constraint(job).allows(&m.info.zone)
    }
}
