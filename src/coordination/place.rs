//! Placement: each task samples fitting machines, starts at once on one with
//! free room, else joins the one with fewer bound waiting tasks; a queue starts
//! the smallest prediction first.

use super::core::Core;
use super::job::{Job, Name, TaskId};
use super::machine::{Bound, Machine, Standing};
use super::quota::within_limit;
use crate::protocol::job::JobSpec;
use rand::seq::index::sample;

/// Free room of a machine during one pass.
#[derive(Debug, Clone)]
pub(super) struct Slot {
    pub name: Name,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub queued: usize,
}

impl Slot {
    pub fn fits(&self, spec: &JobSpec) -> bool {
        const E: f64 = 1e-6;
        spec.cpus <= self.cpus + E
            && spec.gpus <= self.gpus + E
            && spec.memory_gb <= self.memory_gb + E
    }
    pub fn take(&mut self, spec: &JobSpec) {
        self.cpus -= spec.cpus;
        self.gpus -= spec.gpus;
        self.memory_gb -= spec.memory_gb;
    }
    pub fn give(&mut self, spec: &JobSpec) {
        self.cpus += spec.cpus;
        self.gpus += spec.gpus;
        self.memory_gb += spec.memory_gb;
    }
}

/// Where tasks of a job may go, given its other tasks.
#[derive(Debug, Clone, Default)]
pub(super) struct Zones {
    /// Only this zone.
    only: Option<String>,
    /// Tasks in each zone.
    count: Vec<(String, u32)>,
    /// At most this many in one.
    most: Option<u32>,
}

impl Zones {
    fn allows(&self, zone: &str) -> bool {
        if self.only.as_ref().is_some_and(|z| z != zone) {
            return false;
        }
        let here = self
            .count
            .iter()
            .find(|(z, _)| z == zone)
            .map_or(0, |z| z.1);
        self.most.is_none_or(|most| here < most)
    }
}

impl Core {
    /// Whether placing is allowed yet.
    pub fn gate_open(&mut self) -> bool {
        if !self.fence.open {
            let waiting = self.machines.values().any(|m| {
                let unknown = m.recorded && !m.fenced && m.standing != Standing::Expired;
                unknown || m.strangers > 0
            });
            if !waiting {
                tracing::info!(term = self.term, "all machines accounted for: placing");
                self.fence.open = true;
            }
        }
        self.fence.open
    }

    fn usable(&self, m: &Machine, now: f64) -> bool {
        m.recorded
            && m.fenced
            && m.standing == Standing::Up
            && m.strangers == 0
            && m.notice_at.is_none()
            && now - m.heard < self.params.silent_s()
    }

    pub(super) fn slots(&self, now: f64) -> Vec<Slot> {
        let mut slots = Vec::with_capacity(self.machines.len());
        for (name, m) in &self.machines {
            let Some(kind) = self.types.get(&m.info.kind) else {
                continue;
            };
            if !self.usable(m, now) {
                continue;
            }
            let mut slot = Slot {
                name: name.clone(),
                cpus: kind.cpus,
                gpus: kind.gpus,
                memory_gb: kind.memory_gb,
                queued: m.queue.len(),
            };
            for ((task, _), _) in m.holding() {
                if let Some(job) = self.jobs.get(&task.job) {
                    slot.take(&job.spec);
                }
            }
            slots.push(slot);
        }
        slots
    }

    /// Whether the machine is one the job allows at all, apart from room.
    pub(super) fn allowed(&self, spec: &JobSpec, m: &Machine) -> bool {
        (spec.spot || !m.info.spot)
            && spec.zone.as_ref().is_none_or(|z| *z == m.info.zone)
            && spec
                .types
                .as_ref()
                .is_none_or(|types| types.contains(&m.info.kind))
            && self.types.get(&m.info.kind).is_some_and(|t| {
                spec.cpus <= t.cpus && spec.gpus <= t.gpus && spec.memory_gb <= t.memory_gb
            })
    }

    pub(super) fn zones(&self, job: &Job, slots: &[Slot]) -> Zones {
        let spec = &job.spec;
        if !spec.one_zone && !spec.spread {
            return Zones::default();
        }
        let mut count: Vec<(String, u32)> = Vec::new();
        for (machine, _) in job.on.values() {
            if let Some(m) = self.machines.get(machine) {
                match count.iter_mut().find(|(z, _)| *z == m.info.zone) {
                    Some(c) => c.1 += 1,
                    None => count.push((m.info.zone.clone(), 1)),
                }
            }
        }
        let only = if !spec.one_zone {
            None
        } else if let Some((zone, _)) = count.first() {
            Some(zone.clone())
        } else {
            // The zone with most room for the job decides for all of it.
            let mut room: Vec<(String, f64)> = Vec::new();
            for slot in slots {
                let Some(m) = self.machines.get(&slot.name) else {
                    continue;
                };
                if !self.allowed(spec, m) {
                    continue;
                }
                let r = if slot.fits(spec) {
                    slot.cpus + 1.0
                } else {
                    0.0
                };
                match room.iter_mut().find(|(z, _)| *z == m.info.zone) {
                    Some(z) => z.1 += r,
                    None => room.push((m.info.zone.clone(), r)),
                }
            }
            room.into_iter()
                .max_by(|a, b| a.1.total_cmp(&b.1))
                .map(|(z, _)| z)
        };
        Zones {
            only,
            count,
            most: spec.spread.then(|| spec.tasks.div_ceil(2)),
        }
    }

    /// One pass over all that waits.
    pub fn place(&mut self, now: f64) {
        if !self.gate_open() {
            return;
        }
        self.dirty = false;
        self.judge_guarantees();
        self.unbind_aged(now);
        let mut slots = self.slots(now);
        let mut usage = self.usage();
        let mut order: Vec<(u8, f64, Name)> = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.over && (j.waiting() > 0 || j.bound > 0) && j.not_before <= now)
            .map(|(n, j)| {
                let (rank, within) = self.precedence(j, now);
                (rank, within, n.clone())
            })
            .collect();
        order.sort_by(|a, b| {
            a.0.cmp(&b.0)
                .then(a.1.total_cmp(&b.1))
                .then_with(|| a.2.cmp(&b.2))
        });
        let mut at = 0;
        while at < order.len() {
            let rank = order[at].0;
            self.start_bound(rank, &mut slots, &mut usage, now);
            while at < order.len() && order[at].0 == rank {
                let name = order[at].2.clone();
                self.place_job(&name, &mut slots, &mut usage, now);
                at += 1;
            }
        }
    }

    /// Bound tasks that waited past the age limit are drawn again.
    fn unbind_aged(&mut self, now: f64) {
        let age = self.params.policy.age_reports * self.params.report_s;
        let unusable: Vec<Name> = self
            .machines
            .iter()
            .filter(|(_, m)| !m.queue.is_empty() && !self.usable(m, now))
            .map(|(n, _)| n.clone())
            .collect();
        let mut back = Vec::new();
        for (name, m) in &mut self.machines {
            // A queue at a machine that fell silent or leaves is no place to wait.
            let stuck = unusable.contains(name);
            // What room is being made for waits for it, while others save.
            let making = m.holding().any(|(_, a)| a.stop.is_some());
            m.queue.retain(|b| {
                let young = now - b.since < 2.0 * age;
                let keep = !stuck && (young || b.reserved && making);
                if !keep {
                    back.push(b.task.clone());
                }
                keep
            });
        }
        for task in back {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.bound = job.bound.saturating_sub(1);
                job.push(task.index);
            }
        }
    }

    /// Starts bound tasks of this rank where there is room: the aged ones
    /// first, then by smallest prediction.
    fn start_bound(
        &mut self,
        rank: u8,
        slots: &mut [Slot],
        usage: &mut super::quota::Usage,
        now: f64,
    ) {
        let age = self.params.policy.age_reports * self.params.report_s;
        for slot in slots.iter_mut() {
            let Some(m) = self.machines.get(&slot.name) else {
                continue;
            };
            if m.queue.is_empty() {
                continue;
            }
            let mut ready: Vec<Bound> =
                m.queue.iter().filter(|b| b.rank == rank).cloned().collect();
            ready.sort_by(|a, b| {
                let aged = |x: &Bound| now - x.since >= age;
                aged(b)
                    .cmp(&aged(a))
                    .then(b.reserved.cmp(&a.reserved))
                    .then(a.predicted_s.total_cmp(&b.predicted_s))
                    .then(a.since.total_cmp(&b.since))
            });
            for bound in ready {
                let Some(job) = self.jobs.get(&bound.task.job) else {
                    continue;
                };
                let spec = job.spec.clone();
                let used = usage.get(&spec.team).copied().unwrap_or_default();
                if !slot.fits(&spec)
                    || !within_limit(self.team(&spec.team), used, &spec, 1.0)
                    || !self.zone_ok(&bound.task.job, &slot.name)
                {
                    continue;
                }
                self.unqueue(&slot.name.clone(), &bound.task);
                slot.queued = slot.queued.saturating_sub(1);
                self.begin(slot, bound.task, &spec, usage, now);
            }
        }
    }

    fn zone_ok(&self, job: &str, machine: &str) -> bool {
        let (Some(job), Some(m)) = (self.jobs.get(job), self.machines.get(machine)) else {
            return false;
        };
        // With no task on a machine any zone is right for the first one.
        if job.spec.one_zone && job.on.is_empty() {
            return true;
        }
        self.zones(job, &[]).allows(&m.info.zone)
    }

    fn unqueue(&mut self, machine: &Name, task: &TaskId) {
        if let Some(m) = self.machines.get_mut(machine) {
            m.queue.retain(|b| b.task != *task);
        }
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.bound = job.bound.saturating_sub(1);
        }
    }

    fn begin(
        &mut self,
        slot: &mut Slot,
        task: TaskId,
        spec: &JobSpec,
        usage: &mut super::quota::Usage,
        now: f64,
    ) {
        tracing::debug!(job = %task.job, task = task.index, machine = %slot.name, term = self.term, "start");
        slot.take(spec);
        let used = usage.entry(spec.team.clone()).or_insert((0.0, 0.0));
        used.0 += spec.cpus;
        used.1 += spec.gpus;
        self.start(&slot.name, task, now);
    }

    /// Places what waits of one job.
    fn place_job(
        &mut self,
        name: &Name,
        slots: &mut [Slot],
        usage: &mut super::quota::Usage,
        now: f64,
    ) {
        let depth = self.params.policy.queue_depth;
        let Some(spec) = self.jobs.get(name).map(|j| j.spec.clone()) else {
            return;
        };
        loop {
            let Some(job) = self.jobs.get(name) else {
                return;
            };
            if job.waiting() == 0 {
                return;
            }
            let used = usage.get(&spec.team).copied().unwrap_or_default();
            let allowed = within_limit(self.team(&spec.team), used, &spec, 1.0);
            if !allowed && !self.team_has_less_urgent(&spec) {
                return;
            }
            let zones = self.zones(job, slots);
            let fitting: Vec<usize> = (0..slots.len())
                .filter(|&i| {
                    self.machines
                        .get(&slots[i].name)
                        .is_some_and(|m| self.allowed(&spec, m) && zones.allows(&m.info.zone))
                })
                .collect();
            // A failed task should not meet the same machine again at once.
            let fresh: Vec<usize> = fitting
                .iter()
                .copied()
                .filter(|&i| !job.failed_on.contains(&slots[i].name))
                .collect();
            let fitting = if fresh.is_empty() { fitting } else { fresh };
            let open: Vec<usize> = fitting
                .iter()
                .copied()
                .filter(|&i| slots[i].fits(&spec))
                .collect();
            let Some(index) = self.jobs.get_mut(name).and_then(Job::pop) else {
                return;
            };
            let task = TaskId {
                job: name.clone(),
                index,
            };
            let open: Vec<usize> = open
                .into_iter()
                .filter(|&i| {
                    // An attempt that is not forgotten yet would refuse it.
                    self.machines
                        .get(&slots[i].name)
                        .is_some_and(|m| !m.knows(&task))
                })
                .collect();
            let open = if allowed { open } else { Vec::new() };
            if let Some(i) = self.draw(&open, slots, Some(&spec)) {
                self.begin(&mut slots[i], task, &spec, usage, now);
                continue;
            }
            let made = self.make_room(name, &fitting, slots, usage, now);
            let reserved = made.is_some();
            let joined = made.or_else(|| {
                if !allowed {
                    return None;
                }
                let short: Vec<usize> = fitting
                    .iter()
                    .copied()
                    .filter(|&i| slots[i].queued < depth)
                    .collect();
                self.draw(&short, slots, None)
            });
            let Some(i) = joined else {
                if let Some(job) = self.jobs.get_mut(name) {
                    job.push(index);
                }
                return;
            };
            self.bind(&mut slots[i], task, reserved, now);
        }
    }

    /// Whether the team has work on machines that is less urgent than this.
    fn team_has_less_urgent(&self, spec: &JobSpec) -> bool {
        self.jobs
            .values()
            .any(|j| !j.on.is_empty() && j.spec.team == spec.team && j.spec.urgency < spec.urgency)
    }

    fn bind(&mut self, slot: &mut Slot, task: TaskId, reserved: bool, now: f64) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let (rank, predicted_s) = (self.precedence(job, now).0, self.predict(job));
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.bound += 1;
        }
        slot.queued += 1;
        if let Some(m) = self.machines.get_mut(&slot.name) {
            m.queue.push(Bound {
                task,
                rank,
                predicted_s,
                since: now,
                reserved,
            });
        }
    }

    /// Samples among the candidates and takes the best of the sample: one that
    /// has the image, then the one with fewer bound waiting tasks, then the
    /// tighter one, which leaves whole machines to large tasks.
    fn draw(
        &mut self,
        candidates: &[usize],
        slots: &[Slot],
        spec: Option<&JobSpec>,
    ) -> Option<usize> {
        let amount = self.params.policy.sample.min(candidates.len());
        if amount == 0 {
            return None;
        }
        let picks = sample(&mut self.rng, candidates.len(), amount);
        picks.into_iter().map(|p| candidates[p]).min_by(|&a, &b| {
            let image = |i: usize| {
                spec.is_some_and(|s| {
                    self.machines
                        .get(&slots[i].name)
                        .is_some_and(|m| m.has_image(&s.image))
                })
            };
            image(b)
                .cmp(&image(a))
                .then(slots[a].queued.cmp(&slots[b].queued))
                .then(slots[a].cpus.total_cmp(&slots[b].cpus))
        })
    }
}
