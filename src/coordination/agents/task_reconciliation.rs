//! Reconciles one attempt of a worker's report: adopts it, counts it as running, records its
//! end, or stops it as unwanted.
//!
//! As long as the newest message of any machine shows a task, the task counts as placed and
//! must not start elsewhere. This also holds if the messages of two machines show the task.

use crate::coordination::scheduler::delivery::Evidence;
use crate::coordination::scheduler::job::{AttemptId, Job, Name, TaskId};
use crate::coordination::scheduler::machine::{Attempt, MessageId};
use crate::coordination::scheduler::resources::Resources;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::worker::{Cause, Phase};

/// An attempt as a report shows it.
pub(crate) struct ShownTask {
    pub(crate) attempt: AttemptId,
    pub(crate) phase: Phase,
    pub(crate) cause: Option<Cause>,
    /// The resources that the attempt takes of the machine; `None` if its job is not known or has
    /// no such task.
    pub(crate) resources: Option<Resources>,
}

/// The leader's state of an attempt that a report shows.
struct KnownAttempt {
    /// Whether the attempt is new to this leader: no earlier message has shown it, and this leader
    /// did not start it.
    adopted: bool,
    running_since: Option<f64>,
}

/// An attempt that a former leader started. Its start may have been sent in a direct call with any
/// token below `base_term`, the term in which this leader took over.
fn adopted_attempt(now: f64, base_term: u64) -> Attempt {
    let mut attempt = Attempt::new(now, Resources::default());
    attempt.unsent = false;
    attempt.called_with_token = base_term.checked_sub(1);
    attempt
}

/// Records the attempt's state as the message shows it. Returns the evidence on whether an
/// answer with the command to stop or forget the attempt was delivered.
fn record_shown(
    attempt: &mut Attempt,
    shown: &ShownTask,
    message: MessageId,
    now: f64,
) -> Evidence {
    attempt.last_shown = message;
    attempt.resources = shown.resources.unwrap_or_default();
    let end_command_sent = std::mem::take(&mut attempt.end_command_sent);
    let evidence = match end_command_sent {
        true if attempt.phase == Some(shown.phase) => Evidence::Undelivered,
        true => Evidence::Delivered,
        false => Evidence::Neutral,
    };
    if shown.phase != Phase::Exited {
        // A late copy of its start may have started an attempt again that had exited.
        attempt.release_deferred = false;
        attempt.cause = None;
    }
    attempt.phase = Some(shown.phase);
    if shown.phase == Phase::Running && attempt.running_since.is_none() {
        attempt.running_since = Some(now);
    }
    evidence
}

/// Updates the job's number of running tasks. Returns whether the job's first task began to run.
fn update_running_count(job: &mut Job, attempt: &mut Attempt) -> bool {
    let runs = !attempt.has_exited() && attempt.running_since.is_some();
    if runs == attempt.counted_as_running {
        return false;
    }
    attempt.counted_as_running = runs;
    let is_first = runs && job.record_running();
    job.running = if runs {
        job.running + 1
    } else {
        job.running.saturating_sub(1)
    };
    is_first
}

impl Scheduler {
    /// Reconciles one attempt of a report. The report must already be recorded as the machine's
    /// newest message.
    pub(crate) fn reconcile_task(&mut self, name: &Name, shown: &ShownTask, now: f64) -> Evidence {
        let base_term = self.fence.base_term;
        let Some(machine) = self.machines.get_mut(name) else {
            return Evidence::Neutral;
        };
        let mut adopted = false;
        let attempt = machine
            .attempts
            .entry(shown.attempt.clone())
            .or_insert_with(|| {
                adopted = true;
                adopted_attempt(now, base_term)
            });
        let exited_before = attempt.has_exited();
        let evidence = record_shown(attempt, shown, machine.last_message, now);
        let job_name = &shown.attempt.task.job;
        let job = self.jobs.get_mut(job_name);
        let Some(job) = job.filter(|_| shown.resources.is_some()) else {
            // The attempt's job is unknown: it has ended or was never accepted. So the attempt is
            // stopped.
            if shown.phase != Phase::Exited && attempt.stop_grace_s.is_none() {
                attempt.stop_grace_s = Some(0.0);
                attempt.unsent = true;
                self.outbox.insert(name.clone());
            }
            return evidence;
        };
        let first_start = update_running_count(job, attempt);
        let newly_exited = attempt.has_exited() && !exited_before;
        if newly_exited {
            attempt.cause = shown.cause;
        }
        let known = KnownAttempt {
            adopted,
            running_since: attempt.running_since,
        };
        if first_start {
            self.record_first_start(job_name, &known, now);
        }
        if newly_exited {
            self.reconcile_exited_attempt(name, shown, &known, now);
        } else if shown.phase != Phase::Exited {
            self.reconcile_live_attempt(name, shown, &known, now);
        }
        evidence
    }

    /// Records that the first task of the job runs.
    fn record_first_start(&mut self, job_name: &Name, known: &KnownAttempt, now: f64) {
        let Some(job) = self.jobs.get(job_name) else {
            return;
        };
        let waited_s = now - job.accepted_at;
        tracing::info!(job = %job_name, waited_s, "begun");
        // An adopted task began before this leader knew of it, so its wait is not known.
        if !known.adopted {
            self.predictor.record_wait(&job.spec.class, waited_s);
        }
    }

    /// Reconciles an attempt that is on the machine: records that its task is placed on this
    /// machine, in addition to another machine if the task is already placed there. Stops the
    /// attempt if it is not wanted.
    fn reconcile_live_attempt(
        &mut self,
        name: &Name,
        shown: &ShownTask,
        known: &KnownAttempt,
        now: f64,
    ) {
        let AttemptId { task, number } = &shown.attempt;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(zone) = self.machines.get(name).map(|machine| &machine.info.zone) else {
            return;
        };
        let placed_attempt = job.placed.get(&task.index).map(|placed| placed.attempt);
        let placed_elsewhere = placed_attempt.is_some_and(|attempt| attempt != *number);
        if placed_attempt.is_none() {
            // A former leader started the task, so the attempt is adopted. An earlier report may
            // have shown the task already: a job can become known after its task did, and a task
            // of an unknown job stays on the machine while it is being stopped.
            job.set_placed(task.index, name.clone(), zone, *number);
            self.team_usage.add(job.team, &job.spec, 1.0);
        } else if placed_elsewhere && job.add_extra_attempt(task.index, name.clone(), zone, *number)
        {
            // One of the two reports is outdated, but we do not know which one. As long as either
            // attempt may be on its machine, the task must not start again. (If only the first
            // attempt counted and ended with its session, the task would start a third time
            // while the second attempt runs.)
            self.team_usage.add(job.team, &job.spec, 1.0);
        }
        let unwanted = placed_elsewhere || job.finished || job.completed.contains(task.index);
        let just_began = shown.phase == Phase::Running && known.running_since == Some(now);
        if known.adopted || just_began {
            self.record_image_use(name, &task.job);
        }
        if placed_attempt.is_none() {
            self.dequeue(task);
        }
        if unwanted {
            self.stop_attempt(name, &shown.attempt, 0.0);
        }
    }

    /// Records that the machine holds the job's image, as its most recently used one.
    fn record_image_use(&mut self, name: &Name, job: &Name) {
        let (Some(machine), Some(job)) = (self.machines.get_mut(name), self.jobs.get(job)) else {
            return;
        };
        let spec = &job.spec;
        let machine_type = self.types.get(&machine.info.kind);
        let cache_gb = machine_type.map_or(f64::MAX, |t| t.cache_gb);
        if !machine.has_image(&spec.image) {
            match self.image_holders.get_mut(&spec.image) {
                Some(holders) => holders.push(name.clone()),
                None => {
                    let holders = vec![name.clone()];
                    self.image_holders.insert(spec.image.clone(), holders);
                }
            }
        }
        machine.record_image_use(&spec.image, spec.image_gb, cache_gb);
    }

    /// Reconciles an attempt that has ended since the previous message.
    fn reconcile_exited_attempt(
        &mut self,
        name: &Name,
        shown: &ShownTask,
        known: &KnownAttempt,
        now: f64,
    ) {
        let task = &shown.attempt.task;
        match shown.cause {
            Some(Cause::Done) => self.task_completed(name, task, known.running_since, now),
            Some(Cause::Error) => self.task_failed(name, task, now),
            Some(cause @ (Cause::NoRoom | Cause::Busy | Cause::Unknown)) => {
                self.start_refused(name, task, cause, now);
            }
            _ => {}
        }
        let may_release = self.machines.get_mut(name).is_none_or(|machine| {
            let seen_token = machine.seen_token;
            let attempt = machine.attempts.get_mut(&shown.attempt);
            attempt.is_none_or(|attempt| attempt.may_release_after_exit(seen_token))
        });
        if may_release {
            self.release_attempt(&shown.attempt);
        }
    }

    fn task_completed(&mut self, name: &Name, task: &TaskId, running_since: Option<f64>, now: f64) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.set_completed(task.index);
        let spec = job.spec.clone();
        self.unsaved_jobs.insert(task.job.clone());
        self.dequeue(task);
        if let Some(machine) = self.machines.get_mut(name) {
            machine.recent_failures.clear();
            machine.in_order_at = now;
        }
        if let Some(since) = running_since {
            self.record_run_time(&spec, now - since);
        }
    }

    /// Records a failed task; either its job or its machine may be at fault.
    fn task_failed(&mut self, name: &Name, task: &TaskId, now: f64) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.failed_machines.record(name, self.config.lease_s, now);
        job.failed_on.insert(name.clone());
        job.failures += 1;
        self.clear_suspicion_if_running_well(&task.job, now);
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        if job.is_suspect() {
            self.back_off_suspect_job(name, &task.job, now);
            return;
        }
        if let Some(machine) = self.machines.get_mut(name) {
            if job.has_completed_task() || !machine.recent_failures.contains(&task.job) {
                machine.recent_failures.push(task.job.clone());
            }
            tracing::info!(job = %task.job, task = task.index, machine = %name, "task failed");
        }
    }

    /// Records that the worker refused to start the task: it had no room, was busy, or did
    /// not know the job's description. `cause` says which.
    fn start_refused(&mut self, name: &Name, task: &TaskId, cause: Cause, now: f64) {
        tracing::info!(
            task = %task.wire_name(),
            machine = %name,
            cause = ?Some(cause),
            "worker refused to start task"
        );
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.description_unknown = cause == Cause::Unknown;
            job.not_before = now + self.config.heartbeat_s / 2.0;
        }
    }
}
