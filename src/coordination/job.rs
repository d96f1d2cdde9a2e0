//! A live job as its owner sees it.

use crate::protocol::job::{JobSpec, Shape, Urgency};
use crate::storage::marks::Marks;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;

/// Name of a job or machine.
pub type Name = Rc<str>;

/// A task: its job and number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    pub job: Name,
    pub index: u32,
}

impl TaskId {
    /// The name workers know it by.
    pub fn wire(&self) -> String {
        format!("{}/{}", self.job, self.index)
    }
    /// Reads such a name.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.rsplit_once('/')?;
        Some(TaskId {
            job: job.into(),
            index: index.parse().ok()?,
        })
    }
}

/// A live job.
#[derive(Debug)]
pub struct Job {
    pub spec: Rc<JobSpec>,
    /// When it was accepted, in our steady time.
    pub at: f64,
    /// Version of its record in the state service.
    pub version: u64,
    /// Done tasks, as reported.
    pub done: Marks,
    /// Done tasks whose mark is written.
    pub written: Marks,
    /// The job is over (done or cancelled, recorded): nothing may start.
    pub over: bool,
    /// Tasks from this number on were never touched.
    next: u32,
    /// Tasks to be run (again) below `next`.
    back: BTreeSet<u32>,
    /// Where each task is that may be on a machine, with its attempt.
    pub on: HashMap<u32, (Name, u64)>,
    /// Tasks bound to a machine's queue.
    pub bound: u32,
    /// Machines on which a task of this job failed.
    pub failed_on: HashSet<Name>,
    /// Not before this time after failures.
    pub not_before: f64,
    /// Whether the job fits into its team's guarantee (see `quota`).
    pub guaranteed: bool,
}

impl Job {
    /// A job from its record.
    pub fn new(spec: JobSpec, at: f64, version: u64, done: Marks) -> Job {
        Job {
            spec: Rc::new(spec),
            at,
            version,
            written: done.clone(),
            done,
            over: false,
            next: 0,
            back: BTreeSet::new(),
            on: HashMap::new(),
            bound: 0,
            failed_on: HashSet::new(),
            not_before: 0.0,
            guaranteed: false,
        }
    }

    /// Takes the next waiting task.
    pub fn pop(&mut self) -> Option<u32> {
        if self.over {
            return None;
        }
        loop {
            let task = match self.back.pop_first() {
                Some(task) => task,
                None if self.next < self.spec.tasks => {
                    self.next += 1;
                    self.next - 1
                }
                None => return None,
            };
            if !self.done.contains(task) && !self.on.contains_key(&task) {
                return Some(task);
            }
        }
    }

    /// Gives a task back to the waiting ones.
    pub fn push(&mut self, task: u32) {
        if !self.over && task < self.next && !self.done.contains(task) {
            self.back.insert(task);
        }
    }

    /// How many tasks wait unbound, at most.
    pub fn waiting(&self) -> u32 {
        if self.over {
            return 0;
        }
        let untouched_known = self.on.keys().filter(|t| **t >= self.next).count() as u32;
        let fresh = self.spec.tasks - self.next;
        (fresh + self.back.len() as u32).saturating_sub(untouched_known)
    }

    /// Whether all tasks are done, as reported.
    pub fn complete(&self) -> bool {
        self.spec.shape == Shape::Sweep && self.done.len() as u32 >= self.spec.tasks
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

    /// A job that failed on several machines and never succeeded is more
    /// likely bad itself than its machines are.
    pub fn suspect(&self) -> bool {
        self.done.is_empty() && self.failed_on.len() >= 3
    }
}
