//! The owner's view of its share: jobs, machines and what is wanted of them.

use crate::coordination::fleet::drains::DrainTarget;
use crate::coordination::recent::RecentMap;
use crate::coordination::scheduler::capacity::{CapacityIndex, Resources};
use crate::coordination::scheduler::fair_share::FairShare;
use crate::coordination::scheduler::fence::Fence;
use crate::coordination::scheduler::job::{
    AttemptId, ByName, Job, Name, Names, TaskCounts, TaskId,
};
use crate::coordination::scheduler::job_order::JobOrder;
use crate::coordination::scheduler::machine::{Attempt, Machine, MachineStatus};
use crate::coordination::scheduler::quota::TeamUsage;
use crate::coordination::scheduler::run_time_predictor::RunTimePredictor;
use crate::protocol::cloud::MachineType;
use crate::protocol::policy::Policy;
use crate::protocol::settings::{Objective, Settings, Team};
use crate::storage::marks::CompletedTasks;
use crate::storage::records::{LiveJob, MachineInfo, TOKENS_PER_TERM};
use foldhash::fast::RandomState;
use indexmap::IndexSet;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::{HashMap, HashSet};

/// Lease margin: twice the clocks' drift, and the steps in which timers fire.
pub fn with_margin(lease_s: f64) -> f64 {
    lease_s * 1.002 + 0.1
}

/// Names of returned machines that are remembered: one and a half fleets of 6,000 machines.
const RETURNED_MACHINES: usize = 9_000;

/// Names of jobs that are over and remembered: an answer overtaken by as many ends is of
/// minutes ago and was given up.
const ENDED_JOBS: usize = 8_192;

/// Machine types by name.
pub type Types = HashMap<String, MachineType, RandomState>;

/// How long a worker that none of so many controllers answers takes to come round:
/// 4 s of waiting and 1 s of pause at each, and a fifth for slow packets.
pub fn round_s(nodes: usize) -> f64 {
    nodes as f64 * 6.0
}

/// What the scheduler needs of the settings.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    pub lease_s: f64,
    pub report_s: f64,
    pub cancel_s: f64,
    /// How long a worker that no controller answers takes to come round to the same
    /// one again.
    pub round_s: f64,
    pub teams: Vec<Team>,
    pub objectives: Vec<Objective>,
    pub policy: Policy,
}

impl SchedulerConfig {
    pub fn new(settings: &Settings, policy: &Policy) -> SchedulerConfig {
        let workers = &settings.cluster.workers;
        SchedulerConfig {
            lease_s: workers.lease_s,
            report_s: workers.report_s,
            cancel_s: workers.cancel_s,
            round_s: round_s(settings.cluster.nodes),
            teams: settings.cluster.teams.clone(),
            objectives: settings.cluster.objectives.clone(),
            policy: policy.clone(),
        }
    }
    /// A machine silent for this long gets no new tasks: reports come within
    /// 1.25 `report_s`; twice that is a miss, with time for one retry.
    pub fn silent_s(&self) -> f64 {
        2.5 * self.report_s + 0.5
    }
}

/// The owner's view.
pub struct Scheduler {
    pub config: SchedulerConfig,
    /// Current term; answers and commands carry it.
    pub term: u64,
    pub fence: Fence,
    pub jobs: ByName<Job>,
    pub machines: ByName<Machine>,
    pub types: Types,
    /// Machines with commands to send straight away.
    pub outbox: Names,
    /// Jobs with marks to write.
    pub unsaved_jobs: Names,
    /// Something changed that may let tasks start.
    pub placement_due: bool,
    /// The written machine list differs from what it should be.
    pub machine_record_dirty: bool,
    /// Time of day less our steady time, in seconds.
    pub wall_clock_offset_s: f64,
    /// Revision up to which the watch of live jobs has told us everything.
    pub watched_revision: u64,
    /// Jobs known to be over, the latest ones: an older answer, of a submission of
    /// our own say, must not bring one back.
    pub(crate) finished_jobs: RecentMap<Name, ()>,
    /// Latest time passed in.
    pub(crate) now: f64,
    /// Since when we listen without a gap: what we did not hear while we stood
    /// still is no silence of the others.
    listening_since: f64,
    /// Usable machines by room.
    pub(crate) capacity_index: CapacityIndex,
    /// Machines with tasks in their queue, and some that had.
    pub(crate) machines_with_queue: Names,
    /// Machines that have an image, and some that had.
    pub(crate) image_holders: HashMap<String, Vec<Name>, RandomState>,
    /// Room of machines that have more of it than at the last pass.
    pub(crate) grown_capacity: Vec<Resources>,
    /// What teams use, kept up with every task that goes on or off a machine
    /// and counted anew at each full pass.
    pub(crate) team_usage: TeamUsage,
    /// Machines that may hold up placing after a takeover, and some that do not
    /// any more; those that do are all here while the fence is closed.
    pub(crate) unfenced: Names,
    /// How many of them there were at the last look.
    pub(crate) unfenced_before: usize,
    /// Machines that may not hear us, and some that did not.
    pub(crate) suspects: Names,
    /// Machines that the cloud confirmed as gone, the latest ones: their reports
    /// come late.
    pub(crate) returned_machines: RecentMap<Name, ()>,
    /// Machines with a start in limbo, and some that had.
    pub(crate) unresolved_starts: Names,
    /// Machines where a bound task may start now.
    pub(crate) freed_machines: Names,
    /// Attempts being stopped, and some that were.
    pub(crate) stopping_attempts: IndexSet<(Name, AttemptId), RandomState>,
    pub(crate) job_order: JobOrder,
    /// Who is served less than half, and owed room for it.
    pub fair_share: FairShare,
    /// When queues were last searched for aged tasks.
    pub(crate) queues_aged_at: f64,
    pub(crate) last_attempt: u64,
    /// What finished tasks taught.
    pub predictor: RunTimePredictor,
    /// Machines that operators set aside (see `drains`).
    pub(crate) drains: ByName<DrainTarget>,
    pub(crate) rng: SmallRng,
}

impl Scheduler {
    pub fn new(params: SchedulerConfig, term: u64, fence: Fence, seed: u64) -> Scheduler {
        Scheduler {
            config: params,
            term,
            fence,
            jobs: ByName::default(),
            machines: ByName::default(),
            types: Types::default(),
            outbox: Names::default(),
            unsaved_jobs: Names::default(),
            placement_due: true,
            machine_record_dirty: false,
            wall_clock_offset_s: 0.0,
            watched_revision: 0,
            finished_jobs: RecentMap::new(ENDED_JOBS),
            now: 0.0,
            listening_since: f64::NEG_INFINITY,
            capacity_index: CapacityIndex::default(),
            machines_with_queue: Names::default(),
            image_holders: HashMap::default(),
            grown_capacity: Vec::new(),
            team_usage: TeamUsage::default(),
            unfenced: Names::default(),
            unfenced_before: 0,
            suspects: Names::default(),
            returned_machines: RecentMap::new(RETURNED_MACHINES),
            unresolved_starts: Names::default(),
            freed_machines: Names::default(),
            stopping_attempts: IndexSet::default(),
            job_order: JobOrder::default(),
            fair_share: FairShare::default(),
            queues_aged_at: f64::NEG_INFINITY,
            last_attempt: 0,
            predictor: RunTimePredictor::default(),
            drains: ByName::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Time passes. The clock's beat comes at least every half second, so a gap
    /// of a report interval (and a second, for the shortest) is our own.
    pub(crate) fn advance_clock(&mut self, now: f64) {
        self.listening_since = self.listening_since(now);
        self.now = now;
    }

    /// Since when we listen without a gap, if it is `now`.
    pub(crate) fn listening_since(&self, now: f64) -> f64 {
        if now - self.now > self.config.report_s + 1.0 {
            now
        } else {
            self.listening_since
        }
    }

    /// For how long a machine last heard of at `heard` has been silent, as far
    /// as we listened.
    pub(crate) fn silent_for(&self, heard: f64, now: f64) -> f64 {
        now - heard.max(self.listening_since(now))
    }

    /// Attempts only grow, also across takeovers: the term is their upper part.
    pub(crate) fn next_attempt(&mut self) -> u64 {
        self.last_attempt += 1;
        (self.fence.base_term << 24) + self.last_attempt
    }

    pub fn set_types(&mut self, types: &[MachineType]) {
        self.types = types.iter().map(|t| (t.name.clone(), t.clone())).collect();
        for name in self.machines.keys().cloned().collect::<Vec<_>>() {
            self.update_capacity(&name);
        }
        self.placement_due = true;
    }

    /// A machine of the record we took over.
    pub fn add_recorded_machine(&mut self, info: MachineInfo, now: f64) {
        let name = crate::coordination::scheduler::machine::name(&info);
        let held = self.drains.contains_key(&name);
        // One that was proven empty and set aside since holds up nobody: as long
        // as that record stands no owner starts anything on it, and who learns
        // that it is gone knows by then whether the share is still its own.
        let proven = self.is_drained(&name);
        if !proven {
            self.unfenced.insert(name.clone());
        }
        self.machines.entry(name).or_insert_with(|| Machine {
            cordoned: held,
            drained: proven,
            ..Machine::new(info, true, now)
        });
    }

    /// A live job, from its record or freshly accepted.
    pub fn add_job(&mut self, record: LiveJob, version: u64, extra: CompletedTasks) {
        let id: Name = record.spec.id.as_str().into();
        if let Some(job) = self.jobs.get_mut(&id) {
            // A record read twice, our own mark seen by the watch, or a mark that
            // a former owner still wrote: its worker may have forgotten the
            // task since, so the mark must not be lost.
            if version > job.version {
                let done = CompletedTasks::from_text(&record.done, job.spec.tasks);
                job.version = version;
                job.saved.merge(&done);
                job.merge_completed(&done);
            }
            return;
        }
        if version <= self.watched_revision || self.finished_jobs.contains(&id) {
            // An answer that came after the watch had already told of this
            // record, and of its end: the job is over and forgotten.
            return;
        }
        let mut done = CompletedTasks::from_text(&record.done, record.spec.tasks);
        done.merge(&extra);
        let at = record.at_ms as f64 / 1000.0 - self.wall_clock_offset_s;
        let team = self.team_index(&record.spec.team);
        let job = Job::new(record.spec, team, at, version, done);
        if job.is_complete() {
            self.unsaved_jobs.insert(id.clone());
        }
        self.jobs.insert(id, job);
        self.job_order.is_stale = true;
        self.placement_due = true;
    }

    /// The job is over, by the record: nothing of it may start, all of it must go.
    pub fn finish_job(&mut self, id: &str) {
        let known = self.jobs.get_key_value(id).map(|(name, _)| name.clone());
        let name = known.unwrap_or_else(|| id.into());
        self.finished_jobs.insert(name.clone(), ());
        let Some(job) = self.jobs.get_mut(&name) else {
            return;
        };
        job.finished = true;
        let bound: Vec<u32> = job.queued.keys().copied().collect();
        let on: Vec<(u32, (Name, u64))> = job.placed.iter().map(|(t, m)| (*t, m.clone())).collect();
        for index in bound {
            self.dequeue(&TaskId {
                job: name.clone(),
                index,
            });
        }
        for (index, (machine, attempt)) in on {
            let task = TaskId {
                index,
                job: name.clone(),
            };
            self.stop_attempt(&machine, &AttemptId::new(task, attempt), 0.0);
        }
        self.unsaved_jobs.swap_remove(&name);
        self.job_order.is_stale = true;
        self.placement_due = true;
    }

    /// All live jobs as of `revision`: others that we know are over, but for
    /// those that were accepted since.
    pub fn reconcile_live_jobs(&mut self, live: &HashSet<&str>, revision: u64) {
        let over = |(id, j): &(&Name, &Job)| j.version <= revision && !live.contains(&***id);
        let gone: Vec<Name> = (self.jobs.iter().filter(over))
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.finish_job(&id);
        }
    }

    /// Forgets over jobs of which nothing can be anywhere any more. It looks at
    /// every machine, so it is done now and then.
    pub fn collect_garbage(&mut self) {
        self.prune_stopping_attempts();
        let over = |j: &Job| j.finished && j.placed.is_empty();
        let shown: IndexSet<&Name, RandomState> = self
            .machines
            .values()
            .flat_map(|m| m.attempts.keys().map(|id| &id.task.job))
            .collect();
        self.jobs
            .retain(|name, job| !over(job) || shown.contains(name));
        let machines = &self.machines;
        self.image_holders.retain(|image, names| {
            names.sort();
            names.dedup();
            names.retain(|n| machines.get(n).is_some_and(|m| m.has_image(image)));
            !names.is_empty()
        });
    }

    /// Wants an attempt stopped.
    pub(crate) fn stop_attempt(&mut self, machine: &str, key: &AttemptId, grace_s: f64) {
        let Some((name, m)) = self
            .machines
            .get_key_value(machine)
            .map(|(n, _)| n.clone())
            .and_then(|n| self.machines.get_mut(&n).map(|m| (n, m)))
        else {
            return;
        };
        if let Some(active) = m.attempts.get_mut(key) {
            let sooner = active.stop_grace_s.is_none_or(|g| grace_s < g);
            if !active.has_exited() && sooner {
                active.stop_grace_s = Some(grace_s);
                active.unsent = true;
                m.repeatable_tasks = None;
                self.stopping_attempts.insert((name.clone(), key.clone()));
                self.outbox.insert(name);
            }
        }
    }

    /// Starts a task on a machine: from now on it counts as on.
    pub(crate) fn start_attempt(&mut self, machine: &Name, task: TaskId, now: f64) {
        let attempt = self.next_attempt();
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(m) = self.machines.get_mut(machine) else {
            job.requeue(task.index);
            return;
        };
        if job.set_placed(task.index, machine.clone(), attempt) {
            self.team_usage.add(job.team, &job.spec, 1.0);
        }
        job.starts += 1;
        job.longest_wait_s = job.longest_wait_s.max(now - job.served_at);
        job.served_at = now;
        let holds = Resources::of_task(&job.spec);
        m.attempts
            .insert(AttemptId::new(task, attempt), Attempt::new(now, holds));
        m.repeatable_tasks = None;
        self.outbox.insert(machine.clone());
    }

    /// An attempt is not on its machine any more (or never was).
    pub(crate) fn release_attempt(&mut self, key: &AttemptId) {
        let AttemptId { task, number } = key;
        if let Some(job) = self.jobs.get_mut(&task.job) {
            if job.unplaced_tasks() == 0 {
                job.served_at = self.now;
            }
            if job.remove_attempt(task.index, *number) {
                self.team_usage.add(job.team, &job.spec, -1.0);
            }
        }
        self.placement_due = true;
    }

    /// Forgets all that a machine had: it was proven empty or is gone.
    pub(crate) fn clear_machine(&mut self, name: &str) {
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        m.unknown_attempts = 0;
        m.repeatable_tasks = None;
        m.idle_since = self.now;
        let active = std::mem::take(&mut m.attempts);
        let lost = active.iter().filter(|(_, a)| !a.has_exited());
        let lost: Vec<String> = lost.map(|(id, _)| id.task.wire()).collect();
        if !lost.is_empty() {
            tracing::info!(
                machine = name,
                tasks = lost.join(" "),
                "lost with its machine"
            );
        }
        for (key, mut active) in active {
            self.uncount_running(&key, &mut active);
            self.release_attempt(&key);
        }
        self.clear_queue(name);
    }

    /// The cloud confirmed the return: what still comes from the machine is old.
    pub fn confirm_machine_returned(&mut self, name: &str) {
        self.remove_machine(name);
        self.returned_machines.insert(name.into(), ());
    }

    /// The machine and all on it are gone.
    pub fn remove_machine(&mut self, name: &str) {
        self.clear_machine(name);
        if self.machines.swap_remove(name).is_some_and(|m| m.recorded) {
            self.machine_record_dirty = true;
        }
        self.capacity_index.remove(name);
        self.outbox.swap_remove(name);
        self.placement_due = true;
    }

    /// Takes a machine out of use; its tasks stop.
    pub fn retire_machine(&mut self, name: &str) {
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        if m.status != MachineStatus::Up {
            return;
        }
        m.status = MachineStatus::Draining;
        let keys: Vec<AttemptId> = m.live_attempts().map(|(k, _)| k.clone()).collect();
        m.repeatable_tasks = None;
        self.clear_queue(name);
        for key in keys {
            let grace = self.save_grace(&key.task.job);
            self.stop_attempt(name, &key, grace);
        }
        self.placement_due = true;
    }

    /// Grace with which a task of the job can save, 0 if it never does.
    pub(crate) fn save_grace(&self, job: &str) -> f64 {
        self.jobs.get(job).map_or(0.0, |j| {
            if j.spec.checkpoint_s > 0.0 {
                j.spec.save_s + self.config.report_s
            } else {
                0.0
            }
        })
    }

    /// Wanted machines of the written record.
    pub fn wanted_machine_record(&self) -> Vec<&MachineInfo> {
        self.machines
            .values()
            .filter(|m| m.status != MachineStatus::Expired)
            .map(|m| &m.info)
            .collect()
    }

    /// The record with these machines is written.
    pub fn machine_record_written(&mut self, written: &[MachineInfo]) {
        for info in written {
            if let Some(m) = self.machines.get_mut(info.id.as_str()) {
                if !m.recorded && m.status != MachineStatus::Expired {
                    m.recorded = true;
                    if m.blocks_placement() {
                        self.unfenced.insert(info.id.as_str().into());
                    }
                    self.update_capacity(&info.id);
                    self.placement_due = true;
                }
            }
        }
    }

    /// An attempt does not run any more.
    pub(crate) fn uncount_running(&mut self, key: &AttemptId, active: &mut Attempt) {
        if std::mem::take(&mut active.counted_as_running) {
            if let Some(job) = self.jobs.get_mut(&key.task.job) {
                job.running = job.running.saturating_sub(1);
            }
        }
    }

    /// Done and running tasks of a job.
    pub fn progress(&self, id: &str) -> Option<TaskCounts> {
        let job = self.jobs.get(id)?;
        Some(TaskCounts {
            done: job.saved.len() as u32,
            running: job.running,
        })
    }

    /// Jobs whose marks differ from what is written: first those that are
    /// complete, for a user waits, then those that were written longest ago.
    pub fn completions_due(&self, most: usize) -> Vec<Name> {
        let mut due: Vec<(bool, f64, &Name)> = self
            .unsaved_jobs
            .iter()
            .filter_map(|n| self.jobs.get(n).map(|j| (!j.is_complete(), j.saved_at, n)))
            .collect();
        due.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(b.2)));
        due.into_iter().take(most).map(|d| d.2.clone()).collect()
    }

    /// These marks of the job are written.
    pub fn completions_written(&mut self, id: &str, marks: &CompletedTasks, version: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.version = version;
        job.saved_at = self.now;
        job.saved.merge(marks);
        if job.saved.len() == job.completed.len() {
            self.unsaved_jobs.swap_remove(id);
        }
    }

    /// The record of a job was read anew (after a conflict).
    pub fn reload_job(&mut self, id: &str, version: u64, done: &CompletedTasks) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.version = version;
            job.saved.merge(done);
            job.merge_completed(done);
            self.unsaved_jobs.insert(id.into());
        }
    }

    /// A direct start without an answer stays possible until a higher token is seen:
    /// its machine gets one, for which a write is not needed, and so not waited for in
    /// an outage. An eighth of `cancel_s` leaves time within the deadline of a
    /// cancellation. True where a machine has had all tokens of our term.
    pub fn needs_higher_term(&mut self, now: f64) -> bool {
        let patience = self.config.cancel_s / 8.0;
        let (term, last) = (self.term, self.term + TOKENS_PER_TERM - 1);
        let machines = &mut self.machines;
        let mut used_up = false;
        self.unresolved_starts.retain(|name| {
            let Some(m) = machines.get_mut(name) else {
                return false;
            };
            let token = m.token_under(term);
            let mut limbo = m
                .attempts
                .values()
                .filter_map(|a| a.unresolved_call)
                .peekable();
            let lingers = limbo.peek().is_some();
            if !m.call_in_flight && limbo.any(|(t, at)| t >= token && now - at > patience) {
                m.raised_token = (token + 1).min(last);
                m.repeatable_tasks = None;
            }
            used_up |= m.raised_token == last;
            lingers || m.raised_token == last
        });
        used_up
    }

    /// A higher term was written for this share.
    pub fn raise_term(&mut self, term: u64) {
        self.term = self.term.max(term);
    }
}
