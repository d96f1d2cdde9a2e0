//! A simulated machine. It executes commands as the protocol describes. Its attempts pass
//! through the phases fetching, running, saving (only if stopped with a last checkpoint) and
//! exited.

use crate::cluster::{AttemptKey, Cluster, TaskKey};
use crate::scenario::{Span, TaskStart};
use foxspur::protocol::job::Shape;
use foxspur::protocol::worker::{AttemptStatus, Cause, Command, Phase, Report};
use foxspur::storage::records::MachineInfo;
use std::collections::{BTreeMap, HashSet};

/// The lowest rate at which images are fetched, in gigabytes per second. Avoids a division by 0.
const MIN_FETCH_GB_PER_S: f64 = 1e-3;

/// An attempt on a machine. Times are seconds from the snapshot.
#[derive(Debug, Clone)]
struct Attempt {
    phase: Phase,
    cause: Option<Cause>,
    /// When the attempt entered the present phase.
    since: f64,
    /// When the phase ends unless a command ends it earlier.
    until: f64,
    /// Seconds of the task's work that were done before `since`.
    done_before_s: f64,
}

impl Attempt {
    fn is_open(&self) -> bool {
        self.phase != Phase::Exited
    }
}

pub(crate) struct Machine {
    pub info: MachineInfo,
    session: u64,
    heartbeat_number: u64,
    pub token: u64,
    fetch_gb_per_s: f64,
    /// Images in the machine's cache.
    images: HashSet<String>,
    attempts: BTreeMap<AttemptKey, Attempt>,
    pub failed: bool,
    /// Periods in which a task ran here, without those that have not ended.
    spans: Vec<Span>,
}

impl Machine {
    /// A machine without attempts.
    pub fn new(info: MachineInfo, session: u64, token: u64, fetch_gb_per_s: f64) -> Machine {
        Machine {
            info,
            session,
            heartbeat_number: 0,
            token,
            fetch_gb_per_s,
            images: HashSet::new(),
            attempts: BTreeMap::new(),
            failed: false,
            spans: Vec::new(),
        }
    }

    /// The machine's next heartbeat.
    pub fn heartbeat(&mut self) -> Report {
        self.heartbeat_number += 1;
        let tasks = self.attempts.iter().map(|(key, attempt)| AttemptStatus {
            task: format!("{}/{}", key.task.job, key.task.index),
            attempt: key.number,
            phase: attempt.phase,
            cause: attempt.cause,
            saved: None,
        });
        Report {
            machine: self.info.id.clone(),
            addr: self.info.addr.clone(),
            kind: self.info.kind.clone(),
            zone: self.info.zone.clone(),
            spot: self.info.spot,
            session: self.session,
            seq: self.heartbeat_number,
            token: self.token,
            notice_s: None,
            tasks: tasks.collect(),
        }
    }

    /// Whether the machine still reports attempts that have exited.
    pub fn has_exited_attempts(&self) -> bool {
        self.attempts.values().any(|attempt| !attempt.is_open())
    }

    /// When the next phase of an attempt ends; infinite if no phase ends by itself.
    pub fn next_phase_end(&self) -> f64 {
        let open = self.attempts.values().filter(|attempt| attempt.is_open());
        open.map(|attempt| attempt.until)
            .fold(f64::INFINITY, f64::min)
    }

    /// Takes the periods in which tasks ran here. Those of running tasks end at `end_s`.
    pub fn take_spans(&mut self, end_s: f64) -> Vec<Span> {
        let mut spans = std::mem::take(&mut self.spans);
        let running = self.attempts.iter();
        let running = running.filter(|(_, attempt)| attempt.phase == Phase::Running);
        spans.extend(running.map(|(key, attempt)| Span {
            from_s: attempt.since,
            to_s: end_s,
            job: key.task.job.clone(),
            completed: false,
        }));
        spans
    }

    /// Adds an attempt from the snapshot. `ran_s` is how many seconds it has run, or `None` if it
    /// is still fetching its image.
    pub fn adopt(&mut self, key: AttemptKey, ran_s: Option<f64>, cluster: &mut Cluster) {
        cluster.attempt_added(&key, &self.info);
        let attempt = match ran_s {
            Some(ran_s) => {
                let running = running(&key, 0.0, ran_s, cluster);
                self.images.insert(cluster.spec(&key).image.clone());
                running
            }
            None => self.fetching(&key, 0.0, cluster),
        };
        self.attempts.insert(key, attempt);
    }

    /// Executes commands of the scheduler.
    pub fn execute(&mut self, commands: &[Command], now: f64, cluster: &mut Cluster) {
        for command in commands {
            let (Command::Start { task, attempt }
            | Command::Stop { task, attempt, .. }
            | Command::Forget { task, attempt }) = command;
            let Some(task) = TaskKey::parse(task) else {
                continue;
            };
            let number = *attempt;
            let key = AttemptKey { task, number };
            match command {
                Command::Start { .. } => self.start(key, now, cluster),
                Command::Stop { grace_s, .. } => self.stop(&key, *grace_s, now, cluster),
                Command::Forget { .. } => {
                    if self
                        .attempts
                        .get(&key)
                        .is_some_and(|attempt| !attempt.is_open())
                    {
                        self.attempts.remove(&key);
                    }
                }
            }
        }
    }

    fn start(&mut self, key: AttemptKey, now: f64, cluster: &mut Cluster) {
        if self.attempts.contains_key(&key) || !cluster.jobs.contains_key(&key.task.job) {
            return;
        }
        cluster.starts.push(TaskStart {
            at_s: now,
            machine: self.info.id.clone(),
            job: key.task.job.clone(),
            index: key.task.index,
        });
        cluster.attempt_added(&key, &self.info);
        let attempt = self.fetching(&key, now, cluster);
        self.attempts.insert(key, attempt);
    }

    /// A new attempt in the phase in which it fetches its image.
    fn fetching(&self, key: &AttemptKey, now: f64, cluster: &Cluster) -> Attempt {
        let spec = cluster.spec(key);
        let fetch_s = if self.images.contains(&spec.image) {
            0.0
        } else {
            spec.image_gb / self.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S)
        };
        let checkpoint = cluster.checkpoints.get(&key.task);
        Attempt {
            phase: Phase::Fetching,
            cause: None,
            since: now,
            until: now + fetch_s,
            done_before_s: checkpoint.copied().unwrap_or(0.0),
        }
    }

    /// Stops an attempt. It saves a last checkpoint if the job has checkpoints and the grace
    /// period is long enough. Otherwise, the work since the last periodic checkpoint is lost.
    fn stop(&mut self, key: &AttemptKey, grace_s: f64, now: f64, cluster: &mut Cluster) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        let spec = cluster.spec(key).clone();
        let job = &key.task.job;
        if attempt.phase == Phase::Running {
            let done_s = attempt.done_before_s + now - attempt.since;
            self.spans.push(Span {
                from_s: attempt.since,
                to_s: now,
                job: job.clone(),
                completed: false,
            });
            if spec.checkpoint_s > 0.0 && grace_s >= spec.save_s {
                cluster.checkpoints.insert(key.task.clone(), done_s);
                cluster.add_lost(job, spec.save_s * spec.cpus);
                attempt.phase = Phase::Saving;
                attempt.since = now;
                attempt.until = now + spec.save_s;
                return;
            }
            let kept_s = if spec.checkpoint_s > 0.0 {
                done_s - done_s % spec.checkpoint_s
            } else {
                0.0
            };
            cluster.checkpoints.insert(key.task.clone(), kept_s);
            cluster.add_lost(job, (done_s - kept_s) * spec.cpus);
        }
        if attempt.is_open() {
            attempt.phase = Phase::Exited;
            attempt.cause = Some(Cause::Stopped);
            cluster.attempt_removed(key);
        }
    }

    /// Marks the machine as permanently failed. Its attempts are gone.
    pub fn fail(&mut self, cluster: &mut Cluster) {
        self.failed = true;
        let open = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.is_open());
        open.for_each(|(key, _)| cluster.attempt_removed(key));
        self.attempts.clear();
    }

    /// Advances each attempt whose phase has ended by `now` to its next phase. Returns whether
    /// there was any.
    pub fn advance(&mut self, now: f64, cluster: &mut Cluster) -> bool {
        let due: Vec<AttemptKey> = (self.attempts.iter())
            .filter(|(_, attempt)| attempt.is_open() && attempt.until <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &due {
            let next = self.next_phase(key, cluster);
            if !next.is_open() {
                cluster.attempt_removed(key);
            }
            self.attempts.insert(key.clone(), next);
        }
        !due.is_empty()
    }

    /// The attempt in the phase that follows its present one.
    fn next_phase(&mut self, key: &AttemptKey, cluster: &Cluster) -> Attempt {
        let attempt = self.attempts[key].clone();
        match attempt.phase {
            Phase::Running => {
                self.spans.push(Span {
                    from_s: attempt.since,
                    to_s: attempt.until,
                    job: key.task.job.clone(),
                    completed: true,
                });
                Attempt {
                    phase: Phase::Exited,
                    cause: Some(Cause::Done),
                    ..attempt
                }
            }
            Phase::Saving => Attempt {
                phase: Phase::Exited,
                cause: Some(Cause::Stopped),
                ..attempt
            },
            _ => {
                self.images.insert(cluster.spec(key).image.clone());
                running(key, attempt.until, attempt.done_before_s, cluster)
            }
        }
    }
}

/// An attempt that runs from `from_s` on until the task is completed. Tasks of services never
/// complete.
fn running(key: &AttemptKey, from_s: f64, done_before_s: f64, cluster: &Cluster) -> Attempt {
    let TaskKey { job, index } = &key.task;
    let facts = &cluster.jobs[job];
    let until = if facts.spec.shape == Shape::Service {
        f64::INFINITY
    } else {
        let class = &facts.spec.class;
        let draws = &cluster.draws;
        let total_s = draws.run_s(class, job, *index, facts.predicted_s, done_before_s);
        from_s + total_s - done_before_s
    };
    Attempt {
        phase: Phase::Running,
        cause: None,
        since: from_s,
        until,
        done_before_s,
    }
}
