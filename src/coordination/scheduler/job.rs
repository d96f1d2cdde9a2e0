//! A live job on the leader, and the identifiers of tasks and attempts.
//!
//! A task of a job is in exactly one state: completed, placed (an attempt of it is or may be
//! on a machine), in the queue of a machine, or waiting. The tasks of large jobs are not
//! enumerated: all tasks from the index `next_untracked` on are waiting, and only tasks with a
//! smaller index are tracked individually.

use crate::coordination::scheduler::failed_machines::FailedMachines;
use crate::protocol::job::{JobSpec, Shape, Urgency};
use crate::storage::completed_tasks::CompletedTasks;
use crate::storage::record_limits::live_record_bytes;
use foldhash::fast::RandomState;
use indexmap::{IndexMap, IndexSet};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Minimum number of machines on which tasks of a job must have failed before the job itself
/// is suspected to be faulty.
const MIN_FAILED_MACHINES_OF_SUSPECT: usize = 3;

/// Name of a job or machine.
pub type Name = Rc<str>;

/// A map with names as keys. Names share long prefixes (`run-000…`, `m-000…`). A tree would
/// compare the prefixes at every level; hashing reads each name once. The iteration order
/// depends only on the insertions and removals, so it is the same in every run.
pub type ByName<V> = IndexMap<Name, V, RandomState>;

/// A set of names.
pub type Names = IndexSet<Name, RandomState>;

/// How many tasks of a job are completed and running.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// How many tasks are completed.
    pub done: u32,
    /// How many tasks are running.
    pub running: u32,
}

/// Identifies a task by its job and its index within the job. The index is compared first:
/// tasks on one machine usually differ in the index, and the names need not be compared then.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// Index within the job, from 0.
    pub index: u32,
    /// The job.
    pub job: Name,
}

impl TaskId {
    /// The task's name in the worker protocol: `job/index`.
    pub fn wire_name(&self) -> String {
        format!("{}/{}", self.job, self.index)
    }

    /// Parses a name of the form `job/index`. Returns `None` for other texts.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = Self::split(text)?;
        Some(TaskId {
            index,
            job: job.into(),
        })
    }

    /// Splits a name of the form `job/index` into job and index. Returns `None` for other
    /// texts.
    pub fn split(text: &str) -> Option<(&str, u32)> {
        let (job, index) = text.rsplit_once('/')?;
        Some((job, index.parse().ok()?))
    }
}

/// Identifies an attempt to run a task. Attempt numbers only increase, also across
/// takeovers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt, unique among all attempts of all tasks.
    pub number: u64,
}

impl AttemptId {
    /// The identifier of the task's attempt with this number.
    pub fn new(task: TaskId, number: u64) -> AttemptId {
        AttemptId { task, number }
    }
}

/// Cached indexes of the machine pools that a job may use, valid for one version of the
/// capacity index.
#[derive(Debug)]
pub(crate) struct PoolCache {
    pub index_version: u64,
    pub pools: Rc<[usize]>,
}

impl PoolCache {
    /// A cache entry that is valid for no version of the capacity index.
    fn empty() -> PoolCache {
        PoolCache {
            index_version: u64::MAX,
            pools: Rc::from([]),
        }
    }
}

/// Where an attempt of a task is or may be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The machine.
    pub machine: Name,
    /// The attempt's number.
    pub attempt: u64,
    /// Index of the machine's zone in `Job::zones`.
    zone: usize,
}

/// An additional attempt of a task that is already placed.
#[derive(Debug, PartialEq, Eq)]
struct ExtraAttempt {
    task: u32,
    placement: Placement,
}

/// How many tasks of a job are placed in one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ZoneCount {
    pub zone: String,
    pub tasks: u32,
}

/// Conditions that decide whether a job is placed ahead of other jobs or may preempt them, as of
/// the last refresh of the job order.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Claims {
    /// The job fits into its team's guarantee (see `quota`).
    pub guaranteed: bool,
    /// The job's class or team is underserved, and its guaranteed minimum of CPUs (the floor)
    /// covers this job. The job is then placed ahead of others (see `fair_share`).
    pub underserved: bool,
    /// The job can still meet at least one of its objectives, or has no objectives.
    pub objective_reachable: bool,
    /// Capacity that becomes free without preemption would come too late for the job.
    pub preemption_needed: bool,
}

impl Default for Claims {
    /// The claims of a job that is not yet in the job order.
    fn default() -> Claims {
        Claims {
            guaranteed: false,
            underserved: false,
            objective_reachable: true,
            preemption_needed: true,
        }
    }
}

/// A live job.
#[derive(Debug)]
pub struct Job {
    /// The job description, as submitted.
    pub spec: Rc<JobSpec>,
    /// Index of the job's team in the settings; `None` if the settings do not name the team.
    pub team: Option<usize>,
    /// When the job was accepted, in seconds of this process's monotonic time.
    pub accepted_at: f64,
    /// Version of the job's record in the state service.
    pub version: u64,
    /// Completed tasks, as reported by workers.
    pub completed: CompletedTasks,
    /// Completed tasks that are saved in the state service.
    pub saved: CompletedTasks,
    /// Completed tasks that the job's live record lists, as last read. They are a part of `saved`.
    pub saved_in_record: CompletedTasks,
    /// Upper bound on the size of the job's live record without completed tasks, in bytes.
    pub record_bytes: usize,
    /// When completed tasks were last saved; before the first save, when the job was accepted.
    pub saved_at: f64,
    /// When the state service last refused to write the job's completed tasks; `None` if it has
    /// written them since, or never refused.
    pub refused_at: Option<f64>,
    /// The state service records the job as finished or cancelled, so no task of it may start.
    pub finished: bool,
    /// The smallest index from which on all tasks are waiting without being tracked
    /// individually.
    next_untracked: u32,
    /// Waiting tasks with an index smaller than `next_untracked`.
    requeued: BTreeSet<u32>,
    /// At least one task of the job was reported as running.
    started: bool,
    /// How many tasks were last reported as running, for display only.
    pub running: u32,
    /// Where each task is that is or may be on a machine.
    pub placed: BTreeMap<u32, Placement>,
    /// The zones in which a task of the job has been placed, with the number of tasks in `placed`
    /// there now. Counted as tasks come and go, since a job may have 100,000 of them.
    zones: Vec<ZoneCount>,
    /// Additional attempts of placed tasks. Heartbeats of different ages can list the same task
    /// on two machines. Only later heartbeats then show which of the two attempts has ended.
    extra_attempts: Vec<ExtraAttempt>,
    /// Tasks in the queue of a machine, with the name of the machine.
    pub queued: BTreeMap<u32, Name>,
    /// Machines on which a task of this job failed, as evidence that the job is faulty.
    pub failed_on: Names,
    /// Machines on which a task of this job failed recently, and which it avoids for a while.
    pub failed_machines: FailedMachines,
    /// How many attempts of the job's tasks failed.
    pub failures: u32,
    /// How many attempts failed while the job was suspect and at most one of its tasks was
    /// placed.
    pub retries: u32,
    /// The job's first task was started ahead of other jobs because the job had waited too
    /// long.
    pub first_task_prioritized: bool,
    /// A worker refused the latest start because the worker did not have the job description.
    pub description_unknown: bool,
    /// No task of the job starts before this time, which is a back-off after failed attempts
    /// and refused starts.
    pub not_before: f64,
    /// The machine pools that the job may use, as last determined.
    pub(crate) pool_cache: PoolCache,
    /// A task of the job began to wait after placement had last tried to place all waiting
    /// tasks of the job. The flag is shared with the job order, which reads the flag without
    /// looking up the job.
    pub has_new_tasks: Rc<Cell<bool>>,
    /// The job's claims as of the last refresh of the job order.
    pub(crate) claims: Claims,
    /// The outcome of the job's first objective on its finishing time, met or missed, was
    /// counted.
    pub outcome_recorded: bool,
    /// How many attempts of the job's tasks this leader has started.
    pub starts: u32,
    /// The latest of three times: when the job was accepted, when a task of it last started, and
    /// when a task last began to wait while no other task of the job was waiting.
    pub served_at: f64,
    /// The longest time from `served_at` to the next start, in seconds.
    pub longest_wait_s: f64,
    /// How often each task was preempted.
    pub preemptions: BTreeMap<u32, u32>,
}

impl Job {
    /// Creates a job from its record; `saved` are the tasks that the record lists as completed.
    pub fn new(
        spec: Rc<JobSpec>,
        team: Option<usize>,
        accepted_at: f64,
        version: u64,
        saved: CompletedTasks,
    ) -> Job {
        let record_bytes = live_record_bytes(&spec);
        let mut job = Job {
            spec,
            team,
            accepted_at,
            version,
            saved: saved.clone(),
            saved_in_record: CompletedTasks::default(),
            record_bytes,
            completed: CompletedTasks::default(),
            saved_at: accepted_at,
            refused_at: None,
            finished: false,
            next_untracked: 0,
            requeued: BTreeSet::new(),
            started: false,
            running: 0,
            placed: BTreeMap::new(),
            zones: Vec::new(),
            extra_attempts: Vec::new(),
            queued: BTreeMap::new(),
            failed_on: Names::default(),
            failed_machines: FailedMachines::default(),
            failures: 0,
            retries: 0,
            first_task_prioritized: false,
            description_unknown: false,
            not_before: 0.0,
            pool_cache: PoolCache::empty(),
            has_new_tasks: Rc::new(Cell::new(true)),
            claims: Claims::default(),
            outcome_recorded: false,
            starts: 0,
            served_at: accepted_at,
            longest_wait_s: 0.0,
            preemptions: BTreeMap::new(),
        };
        job.merge_completed(&saved);
        job
    }

    /// Starts tracking the task, and all tasks with a smaller index, individually. This keeps
    /// every task from `next_untracked` on neither completed nor placed, so that these tasks
    /// are counted as waiting without examining each one.
    fn track(&mut self, task: u32) {
        if task >= self.next_untracked {
            self.requeued.extend(self.next_untracked..task);
            self.next_untracked = task + 1;
        }
    }

    /// Records that a task of the job runs. Returns true if no task of the job was reported as
    /// running or completed before.
    pub fn record_running(&mut self) -> bool {
        self.description_unknown = false;
        !std::mem::replace(&mut self.started, true) && self.completed.is_empty()
    }

    /// Records that an attempt of one of the job's tasks starts now.
    pub(crate) fn note_start(&mut self, now: f64) {
        self.starts += 1;
        self.longest_wait_s = self.longest_wait_s.max(now - self.served_at);
        self.served_at = now;
    }

    /// Marks the task as completed.
    pub fn set_completed(&mut self, task: u32) {
        self.track(task);
        self.completed.insert(task);
        self.requeued.remove(&task);
    }

    /// Marks the tasks in `completed` as completed.
    pub fn merge_completed(&mut self, completed: &CompletedTasks) {
        for task in completed.iter() {
            self.set_completed(task);
        }
    }

    /// Marks the tasks that the job's live record lists as completed and as saved in the state
    /// service.
    pub(crate) fn merge_record(&mut self, listed: &CompletedTasks) {
        self.saved.merge(listed);
        self.merge_completed(listed);
        self.saved_in_record = listed.clone();
    }

    /// Index in `zones` of this zone.
    fn zone_index(&mut self, zone: &str) -> usize {
        let known = self.zones.iter().position(|count| count.zone == zone);
        known.unwrap_or_else(|| {
            self.zones.push(ZoneCount {
                zone: zone.into(),
                tasks: 0,
            });
            self.zones.len() - 1
        })
    }

    /// Sets the placement of the task, and counts it in its zone. Returns true if the task was not
    /// placed before.
    fn insert_placement(&mut self, task: u32, placement: Placement) -> bool {
        self.zones[placement.zone].tasks += 1;
        let Some(previous) = self.placed.insert(task, placement) else {
            return true;
        };
        self.zones[previous.zone].tasks -= 1;
        false
    }

    /// Records that this attempt of the task is or may be on the machine in this zone. Returns true
    /// if the task was not placed before.
    pub fn set_placed(&mut self, task: u32, machine: Name, zone: &str, attempt: u64) -> bool {
        self.track(task);
        self.requeued.remove(&task);
        let zone = self.zone_index(zone);
        let placement = Placement {
            machine,
            attempt,
            zone,
        };
        self.insert_placement(task, placement)
    }

    /// Records that an additional attempt of a placed task is or may be on a machine in this zone.
    /// Returns true if this additional attempt was not recorded before.
    pub fn add_extra_attempt(
        &mut self,
        task: u32,
        machine: Name,
        zone: &str,
        attempt: u64,
    ) -> bool {
        let zone = self.zone_index(zone);
        let placement = Placement {
            machine,
            attempt,
            zone,
        };
        let extra = ExtraAttempt { task, placement };
        let is_new = !self.extra_attempts.contains(&extra);
        if is_new {
            self.extra_attempts.push(extra);
        }
        is_new
    }

    /// Removes an attempt that is no longer on a machine. If the task has another attempt, the
    /// task stays placed; otherwise it waits again. Returns true if the attempt was recorded.
    pub fn remove_attempt(&mut self, task: u32, attempt: u64) -> bool {
        let extra = self
            .extra_attempts
            .iter()
            .position(|extra| extra.task == task && extra.placement.attempt == attempt);
        if let Some(position) = extra {
            self.extra_attempts.swap_remove(position);
            return true;
        }
        let placed = self.placed.get(&task);
        let Some(placed) = placed.filter(|placed| placed.attempt == attempt) else {
            return false;
        };
        let zone = placed.zone;
        let other = self
            .extra_attempts
            .iter()
            .position(|extra| extra.task == task);
        if let Some(position) = other {
            let extra = self.extra_attempts.swap_remove(position);
            self.insert_placement(task, extra.placement);
        } else {
            self.placed.remove(&task);
            self.zones[zone].tasks -= 1;
            self.requeue(task);
        }
        true
    }

    /// The zones in which tasks of the job are placed.
    pub(crate) fn placed_by_zone(&self) -> impl Iterator<Item = &ZoneCount> {
        self.zones.iter().filter(|count| count.tasks > 0)
    }

    /// How many attempts of the job's tasks are or may be on machines.
    pub fn attempts_placed(&self) -> usize {
        self.placed.len() + self.extra_attempts.len()
    }

    /// Removes the next task from the waiting tasks and returns its index; `None` if no task
    /// waits. The caller must place, queue or requeue the task.
    pub fn take_waiting(&mut self) -> Option<u32> {
        if self.finished {
            return None;
        }
        loop {
            let task = match self.requeued.pop_first() {
                Some(task) => task,
                None if self.next_untracked < self.spec.tasks => {
                    self.next_untracked += 1;
                    self.next_untracked - 1
                }
                None => return None,
            };
            if !self.completed.contains(task) && !self.placed.contains_key(&task) {
                return Some(task);
            }
        }
    }

    /// Makes a task wait again, unless the task is placed or completed or the job is finished.
    pub fn requeue(&mut self, task: u32) {
        let can_wait = task < self.next_untracked && !self.placed.contains_key(&task);
        if !self.finished && can_wait && !self.completed.contains(task) {
            self.has_new_tasks.set(true);
            self.requeued.insert(task);
        }
    }

    /// How many tasks wait outside the queues of machines.
    pub fn waiting_tasks(&self) -> u32 {
        if self.finished {
            return 0;
        }
        let untracked = self.spec.tasks - self.next_untracked.min(self.spec.tasks);
        untracked + self.requeued.len() as u32
    }

    /// How many tasks wait, whether or not they are in the queue of a machine.
    pub fn unplaced_tasks(&self) -> u32 {
        self.waiting_tasks() + self.queued.len() as u32
    }

    /// How many tasks are not completed.
    pub(crate) fn tasks_left(&self) -> u32 {
        self.spec.tasks.saturating_sub(self.completed.len() as u32)
    }

    /// Whether all tasks of a sweep are reported as completed; services never complete.
    pub fn is_complete(&self) -> bool {
        self.spec.shape == Shape::Sweep && self.completed.len() as u32 >= self.spec.tasks
    }

    /// Rank in the order of precedence; lower ranks come first. The order is: jobs of urgency
    /// `prod`, jobs of urgency `high`, jobs within their team's guarantee, then the other jobs
    /// by urgency.
    pub fn rank(&self) -> u8 {
        match (self.spec.urgency, self.claims.guaranteed) {
            (Urgency::Prod, _) => 0,
            (Urgency::High, _) => 1,
            (_, true) => 2,
            (Urgency::Standard, _) => 3,
            (Urgency::Idle, _) => 4,
        }
    }

    /// Whether the job itself, not the machines, is probably faulty: its tasks failed on several
    /// machines, no task is completed, and at least as many attempts failed as tasks are placed.
    /// The last condition excludes a job most of whose tasks run while a few failed on faulty
    /// machines.
    pub fn is_suspect(&self) -> bool {
        let mostly_fails = self.failures as usize >= self.placed.len();
        self.completed.is_empty()
            && self.failed_on.len() >= MIN_FAILED_MACHINES_OF_SUSPECT
            && mostly_fails
    }

    /// Whether at least one task of the job is completed.
    pub fn has_completed_task(&self) -> bool {
        !self.completed.is_empty()
    }

    /// Whether at least one task of the job was reported as running or is completed.
    pub fn has_started(&self) -> bool {
        self.started || !self.completed.is_empty()
    }

    /// Whether the job's first task was started ahead of other jobs because the job had waited
    /// too long, one task is placed and no task is completed. Preempting the placed task would
    /// undo that start.
    pub fn runs_only_prioritized_first_task(&self) -> bool {
        self.first_task_prioritized && self.placed.len() == 1 && self.completed.is_empty()
    }
}
