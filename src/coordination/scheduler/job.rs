//! A live job as its owner sees it.

use crate::protocol::job::{JobSpec, Shape, Urgency};
use crate::storage::marks::CompletedTasks;
use foldhash::fast::RandomState;
use indexmap::{IndexMap, IndexSet};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Name of a job or machine.
pub type Name = Rc<str>;

/// By name. Names share long beginnings (`run-000…`, `m-000…`), so that a tree
/// spends its time comparing those; a hash looks at each once. The order is that
/// of insertion and removal, the same in every run.
pub type ByName<V> = IndexMap<Name, V, RandomState>;
/// A set of names.
pub type Names = IndexSet<Name, RandomState>;

/// How many tasks of a job are done and run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskCounts {
    pub done: u32,
    pub running: u32,
}

/// A task: its job and number. The number comes first, for it tells most tasks
/// on a machine apart without a look at the names.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    pub index: u32,
    pub job: Name,
}

impl TaskId {
    /// The name workers know it by.
    pub fn wire(&self) -> String {
        format!("{}/{}", self.job, self.index)
    }
    /// Reads such a name.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = Self::split(text)?;
        Some(TaskId {
            index,
            job: job.into(),
        })
    }
    /// Job and number of such a name.
    pub fn split(text: &str) -> Option<(&str, u32)> {
        let (job, index) = text.rsplit_once('/')?;
        Some((job, index.parse().ok()?))
    }
}

/// One attempt to run a task. Numbers only grow, across takeovers too.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    pub task: TaskId,
    pub number: u64,
}

impl AttemptId {
    /// The attempt of this number of the task.
    pub fn new(task: TaskId, number: u64) -> AttemptId {
        AttemptId { task, number }
    }
}

/// A live job.
#[derive(Debug)]
pub struct Job {
    pub spec: Rc<JobSpec>,
    /// Its team's place in the settings; `None` if they name no such team.
    pub team: Option<usize>,
    /// When it was accepted, in our steady time.
    pub accepted_at: f64,
    /// Version of its record in the state service.
    pub version: u64,
    /// Done tasks, as reported.
    pub completed: CompletedTasks,
    /// Done tasks whose mark is written.
    pub saved: CompletedTasks,
    /// When a mark was last written.
    pub saved_at: f64,
    /// The job is over (done or cancelled, recorded): nothing may start.
    pub finished: bool,
    /// Tasks from this number on were never touched.
    next_untouched: u32,
    /// Tasks to be run (again) below `next`.
    requeued: BTreeSet<u32>,
    /// A task of it was seen running.
    started: bool,
    /// How many tasks are known to run, for display.
    pub running: u32,
    /// Where each task is that may be on a machine, with its attempt.
    pub placed: BTreeMap<u32, (Name, u64)>,
    /// Further attempts of tasks that are on: reports of different ages can show
    /// one task on two machines, and which of them is gone is known only later.
    copies: Vec<(u32, Name, u64)>,
    /// Tasks bound to a machine's queue, and which machine that is.
    pub queued: BTreeMap<u32, Name>,
    /// Machines on which a task of this job failed.
    pub failed_on: Names,
    /// How often tasks of it failed, and how often since it is suspect nothing of it
    /// was left to run.
    pub failures: u32,
    pub retries: u32,
    /// Its first task went ahead of others, since it had waited for long.
    pub began_late: bool,
    /// Workers refused its last start since they do not know its description.
    pub description_unknown: bool,
    /// Not before this time after failures.
    pub not_before: f64,
    /// Whether the job fits into its team's guarantee (see `quota`).
    pub guaranteed: bool,
    /// Pools of machines that it may use, for this version of the index.
    pub pools: (u64, Rc<[usize]>),
    /// Tasks began to wait since it was last placed as far as it went; the
    /// order of jobs looks at this without looking for the job.
    pub has_new_tasks: Rc<Cell<bool>>,
    /// Whether an aim was in reach when the order was last made (see `order`).
    pub objective_reachable: bool,
    /// Its first finishing aim is met or lost, and counted.
    pub outcome_recorded: bool,
    /// It goes first, on the floor that its class or team is owed.
    pub on_floor: bool,
    /// For how long room that comes free by itself is waited for has passed.
    pub preemption_needed: bool,
    /// Starts under this owner.
    pub starts: u32,
    /// When something of it last started, or began to wait, and the longest time
    /// since then.
    pub served_at: f64,
    pub longest_wait_s: f64,
    /// How often tasks of it were stopped to make room for others.
    pub preemptions: BTreeMap<u32, u32>,
}

impl Job {
    /// A job from its record.
    pub fn new(
        spec: Rc<JobSpec>,
        team: Option<usize>,
        at: f64,
        version: u64,
        done: CompletedTasks,
    ) -> Job {
        let mut job = Job {
            spec,
            team,
            accepted_at: at,
            version,
            saved: done.clone(),
            completed: CompletedTasks::default(),
            saved_at: at,
            finished: false,
            next_untouched: 0,
            requeued: BTreeSet::new(),
            started: false,
            running: 0,
            placed: BTreeMap::new(),
            copies: Vec::new(),
            queued: BTreeMap::new(),
            failed_on: Names::default(),
            failures: 0,
            retries: 0,
            began_late: false,
            description_unknown: false,
            not_before: 0.0,
            guaranteed: false,
            pools: (u64::MAX, Rc::from([])),
            has_new_tasks: Rc::new(Cell::new(true)),
            objective_reachable: true,
            outcome_recorded: false,
            on_floor: false,
            preemption_needed: true,
            starts: 0,
            served_at: at,
            longest_wait_s: 0.0,
            preemptions: BTreeMap::new(),
        };
        job.merge_completed(&done);
        job
    }

    /// From now on the task is counted one by one. Nothing from `next` on is
    /// done or on a machine, so what waits is known without looking at each.
    fn touch(&mut self, task: u32) {
        if task >= self.next_untouched {
            self.requeued.extend(self.next_untouched..task);
            self.next_untouched = task + 1;
        }
    }

    /// A task runs; whether it is the first one of the job.
    pub fn note_running(&mut self) -> bool {
        self.description_unknown = false;
        !std::mem::replace(&mut self.started, true) && self.completed.is_empty()
    }

    /// The task is done.
    pub fn set_completed(&mut self, task: u32) {
        self.touch(task);
        self.completed.insert(task);
        self.requeued.remove(&task);
    }

    /// These tasks are done.
    pub fn merge_completed(&mut self, done: &CompletedTasks) {
        for task in done.iter() {
            self.set_completed(task);
        }
    }

    /// The task is on a machine, or may be; whether it was on none before.
    pub fn set_placed(&mut self, task: u32, machine: Name, attempt: u64) -> bool {
        self.touch(task);
        self.requeued.remove(&task);
        self.placed.insert(task, (machine, attempt)).is_none()
    }

    /// Another attempt of a task that is on is, or may be, on a machine too;
    /// whether that is news.
    pub fn add_copy(&mut self, task: u32, machine: Name, attempt: u64) -> bool {
        let copy = (task, machine, attempt);
        let news = !self.copies.contains(&copy);
        if news {
            self.copies.push(copy);
        }
        news
    }

    /// An attempt is not on a machine any more: whether it was counted as on. As
    /// long as another attempt of the task is, the task stays on.
    pub fn remove_attempt(&mut self, task: u32, attempt: u64) -> bool {
        let copy = self
            .copies
            .iter()
            .position(|c| c.0 == task && c.2 == attempt);
        if let Some(at) = copy {
            self.copies.swap_remove(at);
            return true;
        }
        if self.placed.get(&task).is_none_or(|(_, a)| *a != attempt) {
            return false;
        }
        match self.copies.iter().position(|c| c.0 == task) {
            Some(at) => {
                let (_, machine, attempt) = self.copies.swap_remove(at);
                self.placed.insert(task, (machine, attempt));
            }
            None => {
                self.placed.remove(&task);
                self.requeue(task);
            }
        }
        true
    }

    /// How many attempts are on machines, or may be.
    pub fn attempts_placed(&self) -> usize {
        self.placed.len() + self.copies.len()
    }

    /// Takes the next waiting task.
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

    /// Gives a task back to the waiting ones.
    pub fn requeue(&mut self, task: u32) {
        let known = task < self.next_untouched && !self.placed.contains_key(&task);
        if !self.finished && known && !self.completed.contains(task) {
            self.has_new_tasks.set(true);
            self.requeued.insert(task);
        }
    }

    /// How many tasks wait unbound.
    pub fn waiting_tasks(&self) -> u32 {
        if self.finished {
            return 0;
        }
        self.spec.tasks - self.next_untouched.min(self.spec.tasks) + self.requeued.len() as u32
    }

    /// How many tasks wait, bound or not.
    pub fn unplaced_tasks(&self) -> u32 {
        self.waiting_tasks() + self.queued.len() as u32
    }

    /// Whether all tasks are done, as reported.
    pub fn is_complete(&self) -> bool {
        self.spec.shape == Shape::Sweep && self.completed.len() as u32 >= self.spec.tasks
    }

    /// Order of precedence, lowest first: `prod`, `high`, what is within a
    /// guarantee, then the rest by urgency.
    pub fn rank(&self) -> u8 {
        match (self.spec.urgency, self.guaranteed) {
            (Urgency::Prod, _) => 0,
            (Urgency::High, _) => 1,
            (_, true) => 2,
            (Urgency::Standard, _) => 3,
            (Urgency::Idle, _) => 4,
        }
    }

    /// A job that failed on several machines and never succeeded is more likely bad
    /// itself than its machines are; not one of which a few tasks met bad machines
    /// while most of it runs.
    pub fn is_suspect(&self) -> bool {
        let most = self.failures as usize >= self.placed.len();
        self.completed.is_empty() && self.failed_on.len() >= 3 && most
    }

    /// Whether a task of it is done.
    pub fn has_succeeded(&self) -> bool {
        !self.completed.is_empty()
    }

    /// Whether a task of it ran, or is done.
    pub fn has_started(&self) -> bool {
        self.started || !self.completed.is_empty()
    }

    /// Whether stopping what is on would undo a beginning that came late.
    pub fn is_only_late_first_task(&self) -> bool {
        self.began_late && self.placed.len() == 1 && self.completed.is_empty()
    }
}
