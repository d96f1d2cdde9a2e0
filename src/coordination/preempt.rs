//! Making room: work of lower priority yields, and work that others borrowed
//! yields to a guarantee; what loses least is stopped first.

use super::core::Core;
use super::job::{Job, TaskId};
use super::place::Slot;
use super::quota::{within_limit, Usage};
use crate::protocol::job::{JobSpec, Urgency};

/// A way to make room: what it loses, the machine, what is stopped.
type Plan = (f64, usize, Vec<((TaskId, u64), f64)>);

/// What stopping the attempt would lose, in CPU seconds, and the grace to stop
/// it with. Work that can save does so unless saving takes longer than what it
/// would keep, or the room is needed at once.
fn loss(spec: &JobSpec, ran_s: f64, at_once: bool) -> (f64, f64) {
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

impl Core {
    /// How much dearer stopping work of this job is than stopping idle work: a
    /// guarantee may take from anyone, but should take from the least urgent,
    /// and first from what is late anyway.
    fn dearness(&self, victim: &Job, now: f64) -> f64 {
        let urgency = match victim.spec.urgency {
            Urgency::Idle => 1.0,
            Urgency::Standard => 4.0,
            Urgency::High => 16.0,
            Urgency::Prod => 64.0,
        };
        if self.pressed(victim, now) {
            urgency
        } else {
            urgency / 16.0
        }
    }

    /// Whether `job` may stop a task of `victim`.
    fn may_stop(&self, job: &Job, victim: &Job, usage: &Usage) -> bool {
        if victim.spec.urgency < job.spec.urgency && job.spec.urgency > Urgency::Idle {
            // What is within a guarantee yields to no borrowed work, not even of
            // its own team: it would take its room from a third one, who took
            // it from the first, and so on in a circle.
            return !victim.guaranteed || job.guaranteed;
        }
        if !job.guaranteed || victim.guaranteed || victim.spec.team == job.spec.team {
            return false;
        }
        let used = usage.get(&victim.spec.team).copied().unwrap_or_default();
        self.team(&victim.spec.team)
            .is_some_and(|t| used.0 > t.cpus + 1e-6 || used.1 > t.gpus + 1e-6)
    }

    /// Whether the team's limit leaves no room for one more task, counting
    /// what is being stopped as free and what waits for it as taken.
    fn lacking_quota(&self, spec: &JobSpec, usage: &Usage) -> bool {
        let mut used = usage.get(&spec.team).copied().unwrap_or_default();
        for m in self.machines.values() {
            for (key, _) in m.holding().filter(|(_, a)| a.stop.is_some()) {
                if let Some(j) = self.jobs.get(&key.0.job) {
                    if j.spec.team == spec.team {
                        used.0 -= j.spec.cpus;
                        used.1 -= j.spec.gpus;
                    }
                }
            }
            for bound in m.queue.iter().filter(|b| b.reserved) {
                if let Some(j) = self.jobs.get(&bound.task.job) {
                    if j.spec.team == spec.team {
                        used.0 += j.spec.cpus;
                        used.1 += j.spec.gpus;
                    }
                }
            }
        }
        !within_limit(self.team(&spec.team), used, spec, 1.0)
    }

    /// Stops tasks on one of the machines so that a task of the job fits, and
    /// names that machine.
    pub(super) fn make_room(
        &mut self,
        name: &str,
        fitting: &[usize],
        slots: &mut [Slot],
        usage: &mut Usage,
        now: f64,
    ) -> Option<usize> {
        let job = self.jobs.get(name)?;
        if job.spec.urgency == Urgency::Idle && !job.guaranteed {
            return None;
        }
        if !self.pressed(job, now) {
            return None;
        }
        let spec = job.spec.clone();
        let at_once = spec.urgency >= Urgency::High || job.guaranteed;
        let lacking = self.lacking_quota(&spec, usage);
        let mut best: Option<Plan> = None;
        for &i in fitting {
            let Some(m) = self.machines.get(&slots[i].name) else {
                continue;
            };
            // Room that is being made here is spoken for.
            let mut room = slots[i].clone();
            for bound in m.queue.iter().filter(|b| b.reserved) {
                if let Some(j) = self.jobs.get(&bound.task.job) {
                    room.take(&j.spec);
                }
            }
            let mut victims = Vec::new();
            for (key, active) in m.holding() {
                let Some(victim) = self.jobs.get(&key.0.job) else {
                    continue;
                };
                if active.stop.is_some() {
                    room.give(&victim.spec);
                    continue;
                }
                let yields = if lacking {
                    // Only its own team's work frees the team's limit.
                    victim.spec.team == spec.team && victim.spec.urgency < spec.urgency
                } else {
                    self.may_stop(job, victim, usage)
                };
                if yields {
                    let ran = active.running.map_or(0.0, |t| now - t);
                    let (lost, grace) = loss(&victim.spec, ran, at_once);
                    let lost = (lost + victim.spec.cpus) * self.dearness(victim, now);
                    victims.push((lost, (key.clone(), grace), victim.spec.clone()));
                }
            }
            victims.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut cost = 0.0;
            let mut chosen = Vec::new();
            let (mut cpus, mut gpus) = (0.0, 0.0);
            let mut done = |room: &Slot, victim: Option<&JobSpec>| {
                if let Some(v) = victim {
                    cpus += v.cpus;
                    gpus += v.gpus;
                }
                room.fits(&spec) && (!lacking || cpus >= spec.cpus && gpus >= spec.gpus)
            };
            let mut enough = done(&room, None);
            for (loss_s, key, victim) in victims {
                if enough {
                    break;
                }
                room.give(&victim);
                enough = done(&room, Some(&victim));
                cost += loss_s;
                chosen.push(key);
            }
            if enough && best.as_ref().is_none_or(|b| cost < b.0) {
                best = Some((cost, i, chosen));
            }
        }
        let (_, i, chosen) = best?;
        for (key, grace) in chosen {
            tracing::info!(task = %key.0.wire(), machine = %slots[i].name, for_job = name, "stopped to make room");
            self.stop(&slots[i].name.clone(), &key, grace);
        }
        Some(i)
    }
}
