//! The owner's view of its share: jobs, machines and what is wanted of them.

use crate::coordination::fleet::drains::DrainTarget;
use crate::coordination::recent::RecentMap;
use crate::coordination::scheduler::capacity::{CapacityIndex, Resources};
use crate::coordination::scheduler::fair_share::FairShare;
use crate::coordination::scheduler::fence::Fence;
use crate::coordination::scheduler::job::{ByName, Job, Name, Names, TaskCounts, TaskId};
use crate::coordination::scheduler::job_order::JobOrder;
use crate::coordination::scheduler::machine::{Attempt, Machine, MachineStatus};
use crate::coordination::scheduler::quota::TeamUsage;
use crate::coordination::scheduler::run_time_predictor::RunTimePredictor;
use crate::protocol::cloud::MachineType;
use crate::protocol::policy::Policy;
use crate::protocol::settings::{Objective, Settings, Team};
use crate::storage::marks::CompletedTasks;
use crate::storage::records::{LiveJob, MachineInfo, TOKENS};
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

/// What the core needs of the settings.
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
    pub params: SchedulerConfig,
    /// Current term; answers and commands carry it.
    pub term: u64,
    pub fence: Fence,
    pub jobs: ByName<Job>,
    pub machines: ByName<Machine>,
    pub types: Types,
    /// Machines with commands to send straight away.
    pub outbox: Names,
    /// Jobs with marks to write.
    pub unwritten: Names,
    /// Something changed that may let tasks start.
    pub dirty: bool,
    /// The written machine list differs from what it should be.
    pub record_dirty: bool,
    /// Time of day less our steady time, in seconds.
    pub wall_offset_s: f64,
    /// Revision up to which the watch of live jobs has told us everything.
    pub followed: u64,
    /// Jobs known to be over, the latest ones: an older answer, of a submission of
    /// our own say, must not bring one back.
    pub(crate) ended: RecentMap<Name, ()>,
    /// Latest time passed in.
    pub(crate) now: f64,
    /// Since when we listen without a gap: what we did not hear while we stood
    /// still is no silence of the others.
    listening_since: f64,
    /// Usable machines by room.
    pub(crate) index: CapacityIndex,
    /// Machines with tasks in their queue, and some that had.
    pub(crate) queued: Names,
    /// Machines that have an image, and some that had.
    pub(crate) holders: HashMap<String, Vec<Name>, RandomState>,
    /// Room of machines that have more of it than at the last pass.
    pub(crate) grown: Vec<Resources>,
    /// What teams use, kept up with every task that goes on or off a machine
    /// and counted anew at each full pass.
    pub(crate) used: TeamUsage,
    /// Machines that may hold up placing after a takeover, and some that do not
    /// any more; those that do are all here while the fence is closed.
    pub(crate) awaited: Names,
    /// How many of them there were at the last look.
    pub(crate) awaited_before: usize,
    /// Machines that may not hear us, and some that did not.
    pub(crate) doubtful: Names,
    /// Machines that the cloud confirmed as gone, the latest ones: their reports
    /// come late.
    pub(crate) returned: RecentMap<Name, ()>,
    /// Machines with a start in limbo, and some that had.
    pub(crate) limbo: Names,
    /// Machines where a bound task may start now.
    pub(crate) freed: Names,
    /// Attempts being stopped, and some that were.
    pub(crate) stopping: IndexSet<(Name, (TaskId, u64)), RandomState>,
    pub(crate) order: JobOrder,
    /// Who is served less than half, and owed room for it.
    pub fair: FairShare,
    /// When queues were last searched for aged tasks.
    pub(crate) aged_at: f64,
    pub(crate) attempts: u64,
    /// What finished tasks taught.
    pub learned: RunTimePredictor,
    /// Machines that operators set aside (see `drains`).
    pub(crate) wishes: ByName<DrainTarget>,
    pub(crate) rng: SmallRng,
}

impl Scheduler {
    pub fn new(params: SchedulerConfig, term: u64, fence: Fence, seed: u64) -> Scheduler {
        Scheduler {
            params,
            term,
            fence,
            jobs: ByName::default(),
            machines: ByName::default(),
            types: Types::default(),
            outbox: Names::default(),
            unwritten: Names::default(),
            dirty: true,
            record_dirty: false,
            wall_offset_s: 0.0,
            followed: 0,
            ended: RecentMap::new(ENDED_JOBS),
            now: 0.0,
            listening_since: f64::NEG_INFINITY,
            index: CapacityIndex::default(),
            queued: Names::default(),
            holders: HashMap::default(),
            grown: Vec::new(),
            used: TeamUsage::default(),
            awaited: Names::default(),
            awaited_before: 0,
            doubtful: Names::default(),
            returned: RecentMap::new(RETURNED_MACHINES),
            limbo: Names::default(),
            freed: Names::default(),
            stopping: IndexSet::default(),
            order: JobOrder::default(),
            fair: FairShare::default(),
            aged_at: f64::NEG_INFINITY,
            attempts: 0,
            learned: RunTimePredictor::default(),
            wishes: ByName::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Time passes. The clock's beat comes at least every half second, so a gap
    /// of a report interval (and a second, for the shortest) is our own.
    pub(crate) fn passes(&mut self, now: f64) {
        self.listening_since = self.listening_since(now);
        self.now = now;
    }

    /// Since when we listen without a gap, if it is `now`.
    pub(crate) fn listening_since(&self, now: f64) -> f64 {
        if now - self.now > self.params.report_s + 1.0 {
            now
        } else {
            self.listening_since
        }
    }

    /// For how long a machine last heard of at `heard` has been silent, as far
    /// as we listened.
    pub(crate) fn silence(&self, heard: f64, now: f64) -> f64 {
        now - heard.max(self.listening_since(now))
    }

    /// Attempts only grow, also across takeovers: the term is their upper part.
    pub(crate) fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        (self.fence.base_term << 24) + self.attempts
    }

    pub fn set_types(&mut self, types: &[MachineType]) {
        self.types = types.iter().map(|t| (t.name.clone(), t.clone())).collect();
        for name in self.machines.keys().cloned().collect::<Vec<_>>() {
            self.reindex(&name);
        }
        self.dirty = true;
    }

    /// A machine of the record we took over.
    pub fn inherit(&mut self, info: MachineInfo, now: f64) {
        let name = crate::coordination::scheduler::machine::name(&info);
        let held = self.wishes.contains_key(&name);
        // One that was proven empty and set aside since holds up nobody: as long
        // as that record stands no owner starts anything on it, and who learns
        // that it is gone knows by then whether the share is still its own.
        let proven = self.proven_aside(&name);
        if !proven {
            self.awaited.insert(name.clone());
        }
        self.machines.entry(name).or_insert_with(|| Machine {
            held,
            proven,
            ..Machine::new(info, true, now)
        });
    }

    /// A live job, from its record or freshly accepted.
    pub fn job_added(&mut self, record: LiveJob, version: u64, extra: CompletedTasks) {
        let id: Name = record.spec.id.as_str().into();
        if let Some(job) = self.jobs.get_mut(&id) {
            // A record read twice, our own mark seen by the watch, or a mark that
            // a former owner still wrote: its worker may have forgotten the
            // task since, so the mark must not be lost.
            if version > job.version {
                let done = CompletedTasks::from_text(&record.done, job.spec.tasks);
                job.version = version;
                job.written.merge(&done);
                job.merge_done(&done);
            }
            return;
        }
        if version <= self.followed || self.ended.contains(&id) {
            // An answer that came after the watch had already told of this
            // record, and of its end: the job is over and forgotten.
            return;
        }
        let mut done = CompletedTasks::from_text(&record.done, record.spec.tasks);
        done.merge(&extra);
        let at = record.at_ms as f64 / 1000.0 - self.wall_offset_s;
        let team = self.team_at(&record.spec.team);
        let job = Job::new(record.spec, team, at, version, done);
        if job.complete() {
            self.unwritten.insert(id.clone());
        }
        self.jobs.insert(id, job);
        self.order.stale = true;
        self.dirty = true;
    }

    /// The job is over, by the record: nothing of it may start, all of it must go.
    pub fn job_over(&mut self, id: &str) {
        let known = self.jobs.get_key_value(id).map(|(name, _)| name.clone());
        let name = known.unwrap_or_else(|| id.into());
        self.ended.insert(name.clone(), ());
        let Some(job) = self.jobs.get_mut(&name) else {
            return;
        };
        job.over = true;
        let bound: Vec<u32> = job.bound.keys().copied().collect();
        let on: Vec<(u32, (Name, u64))> = job.on.iter().map(|(t, m)| (*t, m.clone())).collect();
        for index in bound {
            self.unbind(&TaskId {
                job: name.clone(),
                index,
            });
        }
        for (index, (machine, attempt)) in on {
            let task = TaskId {
                index,
                job: name.clone(),
            };
            self.stop(&machine, &(task, attempt), 0.0);
        }
        self.unwritten.swap_remove(&name);
        self.order.stale = true;
        self.dirty = true;
    }

    /// All live jobs as of `revision`: others that we know are over, but for
    /// those that were accepted since.
    pub fn jobs_listed(&mut self, live: &HashSet<&str>, revision: u64) {
        let over = |(id, j): &(&Name, &Job)| j.version <= revision && !live.contains(&***id);
        let gone: Vec<Name> = (self.jobs.iter().filter(over))
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.job_over(&id);
        }
    }

    /// Forgets over jobs of which nothing can be anywhere any more. It looks at
    /// every machine, so it is done now and then.
    pub fn sweep(&mut self) {
        self.prune_stopping();
        let over = |j: &Job| j.over && j.on.is_empty();
        let shown: IndexSet<&Name, RandomState> = self
            .machines
            .values()
            .flat_map(|m| m.active.keys().map(|(task, _)| &task.job))
            .collect();
        self.jobs
            .retain(|name, job| !over(job) || shown.contains(name));
        let machines = &self.machines;
        self.holders.retain(|image, names| {
            names.sort();
            names.dedup();
            names.retain(|n| machines.get(n).is_some_and(|m| m.has_image(image)));
            !names.is_empty()
        });
    }

    /// Wants an attempt stopped.
    pub(crate) fn stop(&mut self, machine: &str, key: &(TaskId, u64), grace_s: f64) {
        let Some((name, m)) = self
            .machines
            .get_key_value(machine)
            .map(|(n, _)| n.clone())
            .and_then(|n| self.machines.get_mut(&n).map(|m| (n, m)))
        else {
            return;
        };
        if let Some(active) = m.active.get_mut(key) {
            let sooner = active.stop.is_none_or(|g| grace_s < g);
            if !active.exited() && sooner {
                active.stop = Some(grace_s);
                active.unsent = true;
                m.repeated = None;
                self.stopping.insert((name.clone(), key.clone()));
                self.outbox.insert(name);
            }
        }
    }

    /// Starts a task on a machine: from now on it counts as on.
    pub(crate) fn start(&mut self, machine: &Name, task: TaskId, now: f64) {
        let attempt = self.next_attempt();
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(m) = self.machines.get_mut(machine) else {
            job.push(task.index);
            return;
        };
        if job.set_on(task.index, machine.clone(), attempt) {
            self.used.add(job.team, &job.spec, 1.0);
        }
        job.starts += 1;
        job.passed_s = job.passed_s.max(now - job.served_at);
        job.served_at = now;
        let holds = Resources::of_task(&job.spec);
        m.active.insert((task, attempt), Attempt::new(now, holds));
        m.repeated = None;
        self.outbox.insert(machine.clone());
    }

    /// An attempt is not on its machine any more (or never was).
    pub(crate) fn off(&mut self, key: &(TaskId, u64)) {
        let (task, attempt) = key;
        if let Some(job) = self.jobs.get_mut(&task.job) {
            if job.lacking() == 0 {
                job.served_at = self.now;
            }
            if job.take_off(task.index, *attempt) {
                self.used.add(job.team, &job.spec, -1.0);
            }
        }
        self.dirty = true;
    }

    /// Forgets all that a machine had: it was proven empty or is gone.
    pub(crate) fn clear_machine(&mut self, name: &str) {
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        m.strangers = 0;
        m.repeated = None;
        m.idle_since = self.now;
        let active = std::mem::take(&mut m.active);
        let lost = active.iter().filter(|(_, a)| !a.exited());
        let lost: Vec<String> = lost.map(|((task, _), _)| task.wire()).collect();
        if !lost.is_empty() {
            tracing::info!(
                machine = name,
                tasks = lost.join(" "),
                "lost with its machine"
            );
        }
        for (key, mut active) in active {
            self.not_running(&key, &mut active);
            self.off(&key);
        }
        self.unbind_all(name);
    }

    /// The cloud confirmed the return: what still comes from the machine is old.
    pub fn machine_returned(&mut self, name: &str) {
        self.machine_gone(name);
        self.returned.insert(name.into(), ());
    }

    /// The machine and all on it are gone.
    pub fn machine_gone(&mut self, name: &str) {
        self.clear_machine(name);
        if self.machines.swap_remove(name).is_some_and(|m| m.recorded) {
            self.record_dirty = true;
        }
        self.index.remove(name);
        self.outbox.swap_remove(name);
        self.dirty = true;
    }

    /// Takes a machine out of use; its tasks stop.
    pub fn drain(&mut self, name: &str) {
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        if m.standing != MachineStatus::Up {
            return;
        }
        m.standing = MachineStatus::Draining;
        let keys: Vec<(TaskId, u64)> = m.holding().map(|(k, _)| k.clone()).collect();
        m.repeated = None;
        self.unbind_all(name);
        for key in keys {
            let grace = self.save_grace(&key.0.job);
            self.stop(name, &key, grace);
        }
        self.dirty = true;
    }

    /// Grace with which a task of the job can save, 0 if it never does.
    pub(crate) fn save_grace(&self, job: &str) -> f64 {
        self.jobs.get(job).map_or(0.0, |j| {
            if j.spec.checkpoint_s > 0.0 {
                j.spec.save_s + self.params.report_s
            } else {
                0.0
            }
        })
    }

    /// Wanted machines of the written record.
    pub fn wanted_record(&self) -> Vec<&MachineInfo> {
        self.machines
            .values()
            .filter(|m| m.standing != MachineStatus::Expired)
            .map(|m| &m.info)
            .collect()
    }

    /// The record with these machines is written.
    pub fn record_written(&mut self, written: &[MachineInfo]) {
        for info in written {
            if let Some(m) = self.machines.get_mut(info.id.as_str()) {
                if !m.recorded && m.standing != MachineStatus::Expired {
                    m.recorded = true;
                    if m.holds_up() {
                        self.awaited.insert(info.id.as_str().into());
                    }
                    self.reindex(&info.id);
                    self.dirty = true;
                }
            }
        }
    }

    /// An attempt does not run any more.
    pub(crate) fn not_running(&mut self, key: &(TaskId, u64), active: &mut Attempt) {
        if std::mem::take(&mut active.counted) {
            if let Some(job) = self.jobs.get_mut(&key.0.job) {
                job.running = job.running.saturating_sub(1);
            }
        }
    }

    /// Done and running tasks of a job.
    pub fn progress(&self, id: &str) -> Option<TaskCounts> {
        let job = self.jobs.get(id)?;
        Some(TaskCounts {
            done: job.written.len() as u32,
            running: job.running,
        })
    }

    /// Jobs whose marks differ from what is written: first those that are
    /// complete, for a user waits, then those that were written longest ago.
    pub fn marks_due(&self, most: usize) -> Vec<Name> {
        let mut due: Vec<(bool, f64, &Name)> = self
            .unwritten
            .iter()
            .filter_map(|n| self.jobs.get(n).map(|j| (!j.complete(), j.marked_at, n)))
            .collect();
        due.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(b.2)));
        due.into_iter().take(most).map(|d| d.2.clone()).collect()
    }

    /// These marks of the job are written.
    pub fn marks_written(&mut self, id: &str, marks: &CompletedTasks, version: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.version = version;
        job.marked_at = self.now;
        job.written.merge(marks);
        if job.written.len() == job.done.len() {
            self.unwritten.swap_remove(id);
        }
    }

    /// The record of a job was read anew (after a conflict).
    pub fn job_reread(&mut self, id: &str, version: u64, done: &CompletedTasks) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.version = version;
            job.written.merge(done);
            job.merge_done(done);
            self.unwritten.insert(id.into());
        }
    }

    /// A direct start without an answer stays possible until a higher token is seen:
    /// its machine gets one, for which a write is not needed, and so not waited for in
    /// an outage. An eighth of `cancel_s` leaves time within the deadline of a
    /// cancellation. True where a machine has had all tokens of our term.
    pub fn wants_new_term(&mut self, now: f64) -> bool {
        let patience = self.params.cancel_s / 8.0;
        let (term, last) = (self.term, self.term + TOKENS - 1);
        let machines = &mut self.machines;
        let mut used_up = false;
        self.limbo.retain(|name| {
            let Some(m) = machines.get_mut(name) else {
                return false;
            };
            let token = m.token_under(term);
            let mut limbo = m.active.values().filter_map(|a| a.limbo).peekable();
            let lingers = limbo.peek().is_some();
            if !m.calling && limbo.any(|(t, at)| t >= token && now - at > patience) {
                m.raised = (token + 1).min(last);
                m.repeated = None;
            }
            used_up |= m.raised == last;
            lingers || m.raised == last
        });
        used_up
    }

    /// A higher term was written for this share.
    pub fn raise_term(&mut self, term: u64) {
        self.term = self.term.max(term);
    }
}
