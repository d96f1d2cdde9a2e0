//! One task of a report: adopted, counted, ended, or to be stopped.

use crate::coordination::scheduler::capacity::Resources;
use crate::coordination::scheduler::delivery::Evidence;
use crate::coordination::scheduler::job::{AttemptId, Name};
use crate::coordination::scheduler::machine::Attempt;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::worker::{Cause, Phase};

impl Scheduler {
    /// One task of a report; what it takes of the machine if its job is known.
    pub(crate) fn reconcile_task(
        &mut self,
        name: &Name,
        key: &AttemptId,
        phase: Phase,
        cause: Option<Cause>,
        holds: Option<Resources>,
        now: f64,
    ) -> Evidence {
        let Some(m) = self.machines.get_mut(name) else {
            return Evidence::Neutral;
        };
        let mut fresh = false;
        let active = m.attempts.entry(key.clone()).or_insert_with(|| {
            fresh = true;
            let mut adopted = Attempt::new(now, Resources::default());
            adopted.unsent = false;
            adopted
        });
        active.last_shown = m.last_message;
        active.resources = holds.unwrap_or_default();
        let was_exited = active.has_exited();
        let sign = match std::mem::take(&mut active.told_to_end) {
            true if active.phase == Some(phase) => Evidence::Undelivered,
            true => Evidence::Delivered,
            false => Evidence::Neutral,
        };
        active.phase = Some(phase);
        if phase == Phase::Running && active.running_since.is_none() {
            active.running_since = Some(now);
        }
        let started = active.running_since;
        let job = self.jobs.get_mut(&key.task.job).filter(|_| holds.is_some());
        let Some(job) = job else {
            // Its job is over, or was never accepted: it must go.
            if phase != Phase::Exited && active.stop_grace_s.is_none() {
                active.stop_grace_s = Some(0.0);
                active.unsent = true;
                self.outbox.insert(name.clone());
            }
            return sign;
        };
        let index = key.task.index;
        let runs = phase != Phase::Exited && started.is_some();
        if runs != active.counted_as_running {
            active.counted_as_running = runs;
            // One that is shown for the first time began before we knew of it.
            if runs && job.note_running() {
                tracing::info!(job = %key.task.job, waited_s = now - job.accepted_at, "begun");
                if !fresh {
                    self.predictor
                        .waited(&job.spec.class, now - job.accepted_at);
                }
            }
            job.running = if runs {
                job.running + 1
            } else {
                job.running.saturating_sub(1)
            };
        }
        if phase != Phase::Exited {
            let on = job.placed.get(&index).map(|(_, attempt)| *attempt);
            let elsewhere = on.is_some_and(|attempt| attempt != key.number);
            if on.is_none() {
                // A former owner's task: adopted. It need not be the first
                // report that shows it: a job can become known to us after its
                // task did, and while that is being stopped it is still on.
                job.set_placed(index, name.clone(), key.number);
                self.team_usage.add(job.team, &job.spec, 1.0);
            } else if elsewhere && job.add_copy(index, name.clone(), key.number) {
                // One of the two reports is older, and we cannot tell which: as
                // long as either may be on, the task must not start again. (The
                // one seen first went with its session, the task started a third
                // time while the other one ran: ran_twice.)
                self.team_usage.add(job.team, &job.spec, 1.0);
            }
            let unwanted = elsewhere || job.finished || job.completed.contains(index);
            if fresh || phase == Phase::Running && started == Some(now) {
                let spec = &job.spec;
                let cache = self
                    .types
                    .get(&m.info.kind)
                    .map_or(f64::MAX, |t| t.cache_gb);
                if !m.has_image(&spec.image) {
                    match self.image_holders.get_mut(&spec.image) {
                        Some(holders) => holders.push(name.clone()),
                        None => {
                            let first = vec![name.clone()];
                            self.image_holders.insert(spec.image.clone(), first);
                        }
                    }
                }
                m.used_image(&spec.image, spec.image_gb, cache);
            }
            if on.is_none() {
                self.dequeue(&key.task);
            }
            if unwanted {
                self.stop_attempt(name, key, 0.0);
            }
            return sign;
        }
        if was_exited {
            return sign;
        }
        active.cause = cause;
        let spec = job.spec.clone();
        match cause {
            Some(Cause::Done) => {
                job.set_completed(index);
                self.unsaved_jobs.insert(key.task.job.clone());
                self.dequeue(&key.task);
                if let Some(m) = self.machines.get_mut(name) {
                    m.recent_failures.clear();
                }
                if let Some(at) = started {
                    self.record_run_time(&spec, now - at);
                }
            }
            Some(Cause::Error) => {
                job.failed_on.insert(name.clone());
                job.failures += 1;
                // A bad job is tried ever more rarely, and with one task, a good one
                // at once.
                if job.is_suspect() {
                    job.retries += u32::from(job.placed.len() <= 1);
                    let tries = f64::from(job.retries + 1);
                    job.not_before = now + self.config.report_s * tries.powi(2).min(100.0);
                    if job.retries <= 1 {
                        tracing::warn!(job = %key.task.job, machine = %name, "fails everywhere");
                    }
                    // It was not the machines' fault: a job of hundreds of tasks
                    // would take a part of a healthy fleet out of use.
                    for blamed in job.failed_on.iter() {
                        if let Some(m) = self.machines.get_mut(blamed) {
                            m.recent_failures.retain(|j| *j != key.task.job);
                        }
                    }
                } else if let Some(m) = self.machines.get_mut(name) {
                    if job.has_succeeded() || !m.recent_failures.contains(&key.task.job) {
                        m.recent_failures.push(key.task.job.clone());
                    }
                    tracing::info!(job = %key.task.job, task = index, machine = %name, "task failed");
                }
            }
            Some(Cause::NoRoom | Cause::Busy | Cause::Unknown) => {
                tracing::info!(task = %key.task.wire(), machine = %name, cause = ?cause, "start refused");
                job.description_unknown = cause == Some(Cause::Unknown);
                job.not_before = now + self.config.report_s / 2.0;
            }
            _ => {}
        }
        self.release_attempt(key);
        sign
    }
}
