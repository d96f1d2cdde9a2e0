//! A live job as the leader knows it, and the names of tasks and attempts.
//!
//! A task of a job is in exactly one state: completed, placed (on a machine, or possibly
//! so), queued at a machine, or waiting. Large jobs are not enumerated: tasks from
//! `next_untouched` on were never touched and wait.

use crate::protocol::job::{JobSpec, Shape, Urgency};
use crate::storage::completed_tasks::CompletedTasks;
use foldhash::fast::RandomState;
use indexmap::{IndexMap, IndexSet};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Count of machines on which tasks of a job must have failed before the job itself is
/// suspected.
const SUSPECT_MACHINES: usize = 3;

/// Name of a job or machine.
pub type Name = Rc<str>;

/// A map by name. Names share long prefixes (`run-000…`, `m-000…`) that a tree would compare
/// again and again; a hash reads each once. The order of iteration is that of insertion and
/// removal, the same in every run.
pub type ByName<V> = IndexMap<Name, V, RandomState>;

/// A set of names.
pub type Names = IndexSet<Name, RandomState>;

/// Counts of a job's tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Completed tasks.
    pub done: u32,
    /// Running tasks.
    pub running: u32,
}

/// A task: its job and its index within that. The index comes first since it distinguishes
/// most tasks on a machine without comparing names.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// Index within the job, from 0.
    pub index: u32,
    /// The job.
    pub job: Name,
}

impl TaskId {
    /// The name that workers know the task by: `job/index`.
    pub fn wire(&self) -> String {
        format!("{}/{}", self.job, self.index)
    }

    /// Parses such a name.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = Self::split(text)?;
        Some(TaskId {
            index,
            job: job.into(),
        })
    }

    /// Job and index of such a name.
    pub fn split(text: &str) -> Option<(&str, u32)> {
        let (job, index) = text.rsplit_once('/')?;
        Some((job, index.parse().ok()?))
    }
}

/// An attempt to run a task. Numbers only grow, also across takeovers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt, unique among all attempts of all tasks.
    pub number: u64,
}

impl AttemptId {
    /// The attempt of this number of the task.
    pub fn new(task: TaskId, number: u64) -> AttemptId {
        AttemptId { task, number }
    }
}

/// The pools of machines that a job may use, as of a version of the capacity index.
#[derive(Debug)]
pub(crate) struct PoolCache {
    pub index_version: u64,
    pub pools: Rc<[usize]>,
}

impl PoolCache {
    /// A cache that is valid for no version of the index.
    fn empty() -> PoolCache {
        PoolCache {
            index_version: u64::MAX,
            pools: Rc::from([]),
        }
    }
}

/// A further attempt of a task that is placed already.
#[derive(Debug, PartialEq, Eq)]
struct ExtraAttempt {
    task: u32,
    machine: Name,
    number: u64,
}

/// A job's claims to capacity that others use, as of when the order of jobs was last made.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Claims {
    /// The job fits into its team's guarantee (see `quota`).
    pub guaranteed: bool,
    /// It goes first, on the floor that its class or team is owed (see `fair_share`).
    pub on_floor: bool,
    /// It can still meet an objective, or has none.
    pub objective_reachable: bool,
    /// Capacity that becomes free by itself would come too late for it.
    pub preemption_needed: bool,
}

impl Default for Claims {
    /// The claims of a job that has not been in the order yet.
    fn default() -> Claims {
        Claims {
            guaranteed: false,
            on_floor: false,
            objective_reachable: true,
            preemption_needed: true,
        }
    }
}

/// A live job.
#[derive(Debug)]
pub struct Job {
    /// Its description, as submitted.
    pub spec: Rc<JobSpec>,
    /// Its team's index in the settings; `None` if they name no such team.
    pub team: Option<usize>,
    /// When it was accepted, in our monotonic time.
    pub accepted_at: f64,
    /// Version of its record in the state service.
    pub version: u64,
    /// Completed tasks, as reported.
    pub completed: CompletedTasks,
    /// Completed tasks that are saved in the state service.
    pub saved: CompletedTasks,
    /// When completed tasks were last saved.
    pub saved_at: f64,
    /// The job is finished or cancelled, as recorded: no task may start.
    pub finished: bool,
    /// Tasks from this index on were never touched.
    next_untouched: u32,
    /// Waiting tasks below `next_untouched`.
    requeued: BTreeSet<u32>,
    /// A task of it was seen running.
    started: bool,
    /// How many tasks are known to run, for display.
    pub running: u32,
    /// Machine and attempt number of each task that is on a machine, or may be.
    pub placed: BTreeMap<u32, (Name, u64)>,
    /// Further attempts of placed tasks: heartbeats of different ages can show one task on
    /// two machines, and which of them is gone is known only later.
    extra_attempts: Vec<ExtraAttempt>,
    /// Tasks in a machine's queue, and which machine that is.
    pub queued: BTreeMap<u32, Name>,
    /// Machines on which a task of this job failed.
    pub failed_on: Names,
    /// How often tasks of it failed.
    pub failures: u32,
    /// How often, since it is suspect, no task of it was left to run.
    pub retries: u32,
    /// Its first task was started ahead of other jobs, since it had waited for long.
    pub began_late: bool,
    /// Workers refused its last start since they do not know its description.
    pub description_unknown: bool,
    /// Backoff after failures: no start before this time.
    pub not_before: f64,
    /// Pools of machines that it may use.
    pub(crate) pool_cache: PoolCache,
    /// Tasks began to wait since placement last went as far as it could. It is shared with
    /// the order of jobs, which reads it without looking up the job.
    pub has_new_tasks: Rc<Cell<bool>>,
    /// What was determined when the order of jobs was last made.
    pub(crate) claims: Claims,
    /// Its first finishing objective is met or missed, and counted.
    pub outcome_recorded: bool,
    /// How many attempts this leader has started.
    pub starts: u32,
    /// When a task of it last started, or began to wait.
    pub served_at: f64,
    /// The longest time from `served_at` to the next start, in seconds.
    pub longest_wait_s: f64,
    /// How often each task of it was preempted.
    pub preemptions: BTreeMap<u32, u32>,
}

impl Job {
    /// A job from its record, with the tasks that are saved as completed.
    pub fn new(
        spec: Rc<JobSpec>,
        team: Option<usize>,
        accepted_at: f64,
        version: u64,
        saved: CompletedTasks,
    ) -> Job {
        let mut job = Job {
            spec,
            team,
            accepted_at,
            version,
            saved: saved.clone(),
            completed: CompletedTasks::default(),
            saved_at: accepted_at,
            finished: false,
            next_untouched: 0,
            requeued: BTreeSet::new(),
            started: false,
            running: 0,
            placed: BTreeMap::new(),
            extra_attempts: Vec::new(),
            queued: BTreeMap::new(),
            failed_on: Names::default(),
            failures: 0,
            retries: 0,
            began_late: false,
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

    /// From now on the task is counted individually. No task from `next_untouched` on is
    /// completed or placed, so how many of them wait is known without a look at each.
    fn touch(&mut self, task: u32) {
        if task >= self.next_untouched {
            self.requeued.extend(self.next_untouched..task);
            self.next_untouched = task + 1;
        }
    }

    /// A task of it runs; returns whether it is the first one of the job.
    pub fn note_running(&mut self) -> bool {
        self.description_unknown = false;
        !std::mem::replace(&mut self.started, true) && self.completed.is_empty()
    }

    /// An attempt of it starts now.
    pub(crate) fn note_start(&mut self, now: f64) {
        self.starts += 1;
        self.longest_wait_s = self.longest_wait_s.max(now - self.served_at);
        self.served_at = now;
    }

    /// The task is completed.
    pub fn set_completed(&mut self, task: u32) {
        self.touch(task);
        self.completed.insert(task);
        self.requeued.remove(&task);
    }

    /// These tasks are completed.
    pub fn merge_completed(&mut self, completed: &CompletedTasks) {
        for task in completed.iter() {
            self.set_completed(task);
        }
    }

    /// These tasks are completed, and saved as such.
    pub(crate) fn merge_saved(&mut self, saved: &CompletedTasks) {
        self.saved.merge(saved);
        self.merge_completed(saved);
    }

    /// The task is on a machine, or may be; returns whether it was not placed before.
    pub fn set_placed(&mut self, task: u32, machine: Name, attempt: u64) -> bool {
        self.touch(task);
        self.requeued.remove(&task);
        self.placed.insert(task, (machine, attempt)).is_none()
    }

    /// A further attempt of a placed task is on a machine too, or may be; returns whether
    /// it was unknown before.
    pub fn add_extra_attempt(&mut self, task: u32, machine: Name, attempt: u64) -> bool {
        let extra = ExtraAttempt {
            task,
            machine,
            number: attempt,
        };
        let is_new = !self.extra_attempts.contains(&extra);
        if is_new {
            self.extra_attempts.push(extra);
        }
        is_new
    }

    /// An attempt is not on a machine any more; returns whether it counted as placed. As
    /// long as another attempt of the task does, the task stays placed; then it waits.
    pub fn remove_attempt(&mut self, task: u32, attempt: u64) -> bool {
        let extra = self
            .extra_attempts
            .iter()
            .position(|extra| extra.task == task && extra.number == attempt);
        if let Some(at) = extra {
            self.extra_attempts.swap_remove(at);
            return true;
        }
        let placed = self.placed.get(&task);
        if placed.is_none_or(|(_, number)| *number != attempt) {
            return false;
        }
        let other = self
            .extra_attempts
            .iter()
            .position(|extra| extra.task == task);
        if let Some(at) = other {
            let extra = self.extra_attempts.swap_remove(at);
            self.placed.insert(task, (extra.machine, extra.number));
        } else {
            self.placed.remove(&task);
            self.requeue(task);
        }
        true
    }

    /// How many attempts are on machines, or may be.
    pub fn attempts_placed(&self) -> usize {
        self.placed.len() + self.extra_attempts.len()
    }

    /// Takes the next waiting task; the caller places, queues or requeues it.
    pub fn take_waiting(&mut self) -> Option<u32> {
        if self.finished {
            return None;
        }
        loop {
            let task = match self.requeued.pop_first() {
                Some(task) => task,
                None if self.next_untouched < self.spec.tasks => {
                    self.next_untouched += 1;
                    self.next_untouched - 1
                }
                None => return None,
            };
            if !self.completed.contains(task) && !self.placed.contains_key(&task) {
                return Some(task);
            }
        }
    }

    /// Returns a task to the waiting ones, unless it is placed or completed.
    pub fn requeue(&mut self, task: u32) {
        let known = task < self.next_untouched && !self.placed.contains_key(&task);
        if !self.finished && known && !self.completed.contains(task) {
            self.has_new_tasks.set(true);
            self.requeued.insert(task);
        }
    }

    /// How many tasks wait and are in no machine's queue.
    pub fn waiting_tasks(&self) -> u32 {
        if self.finished {
            return 0;
        }
        let untouched = self.spec.tasks - self.next_untouched.min(self.spec.tasks);
        untouched + self.requeued.len() as u32
    }

    /// How many tasks wait, in a machine's queue or not.
    pub fn unplaced_tasks(&self) -> u32 {
        self.waiting_tasks() + self.queued.len() as u32
    }

    /// How many tasks are not completed.
    pub(crate) fn tasks_left(&self) -> u32 {
        self.spec.tasks.saturating_sub(self.completed.len() as u32)
    }

    /// Whether all tasks are completed, as reported.
    pub fn is_complete(&self) -> bool {
        self.spec.shape == Shape::Sweep && self.completed.len() as u32 >= self.spec.tasks
    }

    /// Order of precedence, lowest first: `prod`, `high`, guaranteed jobs, then the rest
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

    /// Whether the job is more likely faulty than its machines: it failed on several of
    /// them and never succeeded, and it is not the case that most of it runs while a few
    /// tasks met faulty machines.
    pub fn is_suspect(&self) -> bool {
        let mostly_fails = self.failures as usize >= self.placed.len();
        self.completed.is_empty() && self.failed_on.len() >= SUSPECT_MACHINES && mostly_fails
    }

    /// Whether a task of it is completed.
    pub fn has_succeeded(&self) -> bool {
        !self.completed.is_empty()
    }

    /// Whether a task of it has run, or is completed.
    pub fn has_started(&self) -> bool {
        self.started || !self.completed.is_empty()
    }

    /// Whether all that runs of it is a first task that was started late, so that
    /// preempting it would undo the start.
    pub fn is_only_late_first_task(&self) -> bool {
        self.began_late && self.placed.len() == 1 && self.completed.is_empty()
    }
}
