//! Making room: work of lower priority yields, and work that others borrowed
//! yields to a guarantee; what loses least is stopped first.

use super::core::Core;
use super::job::{Job, TaskId};
use super::place::Slot;
use super::quota::Usage;
use crate::protocol::job::{JobSpec, Urgency};

/// A way to make room: what it loses, the machine, what is stopped.
type Plan = (f64, usize, Vec<(TaskId, u64)>);

/// What stopping the attempt at once would lose, in seconds of work.
fn loss(spec: &JobSpec, ran_s: f64) -> f64 {
    if spec.checkpoint_s > 0.0 {
        ran_s % spec.checkpoint_s
    } else {
        ran_s
    }
}

impl Core {
    /// Whether `job` may stop a task of `victim`.
    fn may_stop(&self, job: &Job, victim: &Job, usage: &Usage) -> bool {
        if victim.spec.urgency < job.spec.urgency && job.spec.urgency > Urgency::Idle {
            // What is within another team's guarantee yields to no borrowed work.
            return !victim.guaranteed || victim.spec.team == job.spec.team || job.guaranteed;
        }
        if !job.guaranteed || victim.guaranteed || victim.spec.team == job.spec.team {
            return false;
        }
        let used = usage.get(&victim.spec.team).copied().unwrap_or_default();
        self.team(&victim.spec.team)
            .is_some_and(|t| used.0 > t.cpus + 1e-6 || used.1 > t.gpus + 1e-6)
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
        let spec = job.spec.clone();
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
                if self.may_stop(job, victim, usage) {
                    let ran = active.running.map_or(0.0, |t| now - t);
                    victims.push((loss(&victim.spec, ran), key.clone(), victim.spec.clone()));
                }
            }
            victims.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut cost = 0.0;
            let mut chosen = Vec::new();
            for (loss_s, key, victim) in victims {
                if room.fits(&spec) {
                    break;
                }
                room.give(&victim);
                cost += loss_s;
                chosen.push(key);
            }
            if room.fits(&spec) && best.as_ref().is_none_or(|b| cost < b.0) {
                best = Some((cost, i, chosen));
            }
        }
        let (_, i, chosen) = best?;
        for key in chosen {
            tracing::info!(task = %key.0.wire(), machine = %slots[i].name, for_job = name, "stopped to make room");
            self.stop(&slots[i].name.clone(), &key, 0.0);
        }
        Some(i)
    }
}
