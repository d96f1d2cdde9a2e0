//! The state of one placement pass: the jobs that the pass covers, the effort made to place each
//! of them, and the results that the pass caches.
//!
//! The process has one thread, so a pass delays all answers. A pass over a job of 100,000 tasks must
//! not take longer than one over a small job: it ends at a limit, and the next heartbeat or tick
//! continues with a full pass. Jobs keep their order, since a pass always begins with the first.

use crate::coordination::scheduler::job::Names;
use crate::coordination::scheduler::job_order::OrderedJob;
use crate::coordination::scheduler::resources::{Resources, MAX_ATTEMPTS_PER_MACHINE};
use crate::coordination::scheduler::team_usage::{TeamUsage, Usage};
use crate::protocol::job::Urgency;
use std::collections::HashMap;
use std::rc::Rc;

/// Maximum number of jobs that a `Changes` pass retries with `Effort::Thorough` because capacity
/// became free. The jobs that come first in the order of precedence are retried. Until the next
/// full pass, all other waiting jobs (there may be hundreds) are placed on free capacity only.
const MAX_THOROUGH_RETRIES: usize = 8;

/// Maximum number of tasks that one pass places. Each heartbeat triggers a pass, and no machine may
/// hold more attempts, so the whole fleet can be filled within one heartbeat interval.
pub const MAX_PLACEMENTS_PER_PASS: usize = MAX_ATTEMPTS_PER_MACHINE as usize;

/// A pass ends when the searches for the tasks that it placed have examined this number of machines
/// and attempts. Searches that fail do not count: each job has at most one in a pass, and a pass
/// that ended with them would never reach the jobs behind.
pub const MAX_EXAMINED_PER_PASS: u64 = 500_000;

/// Which jobs a pass tries to place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PassKind {
    /// All unfinished jobs.
    Full,
    /// Jobs with newly waiting tasks, and jobs whose tasks fit into capacity that became free.
    Changes,
}

/// The means that a pass uses to place a job's tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Effort {
    /// Use free capacity only.
    FreeCapacity,
    /// Also preempt other attempts and use queues.
    Thorough,
}

/// Where capacity became free since the last pass.
#[derive(Debug, Default)]
pub(crate) struct CapacityChanges {
    /// Machines on which a queued task may start now.
    pub freed_machines: Names,
    /// For each machine whose free capacity has grown since the last pass: its free capacity
    /// after the growth.
    pub grown_free_capacity: Vec<Resources>,
}

/// Selects the jobs of a pass, and the effort for each.
#[derive(Debug)]
pub(crate) struct PassScope {
    kind: PassKind,
    changes: CapacityChanges,
    thorough_retries_left: usize,
}

impl PassScope {
    /// The scope of a pass; `changes` are the capacity changes since the previous pass.
    pub fn new(kind: PassKind, changes: CapacityChanges) -> PassScope {
        PassScope {
            kind,
            changes,
            thorough_retries_left: MAX_THOROUGH_RETRIES,
        }
    }

    /// Machines on which a queued task may start now.
    pub fn freed_machines(&self) -> &Names {
        &self.changes.freed_machines
    }

    /// Ends the pass. Returns the machines on which a queued task may start now.
    pub fn into_freed_machines(self) -> Names {
        self.changes.freed_machines
    }

    /// The effort to place this job with; `None` if the pass skips the job, because it has no new
    /// tasks and its tasks fit into none of the capacity that became free.
    pub fn effort_for(&mut self, job: &OrderedJob) -> Option<Effort> {
        if self.kind == PassKind::Full || job.has_new_tasks.get() {
            return Some(Effort::Thorough);
        }
        let mut grown = self.changes.grown_free_capacity.iter();
        if !grown.any(|free| free.fits(&job.requirements)) {
            return None;
        }
        if self.thorough_retries_left == 0 {
            return Some(Effort::FreeCapacity);
        }
        self.thorough_retries_left -= 1;
        Some(Effort::Thorough)
    }
}

/// The properties of a task that decide which attempts may be preempted for it, apart from the
/// amount of resources that it requires.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct TaskRequirements {
    /// The team whose limit and guarantee apply.
    pub team: Option<usize>,
    pub urgency: Urgency,
    /// Whether the task's job is within the team's guarantee.
    pub guaranteed: bool,
    /// Indexes of the pools of machines on which the task may run.
    pub pools: Rc<[usize]>,
}

/// Requirements and resources of a task for which preemption cannot free enough capacity.
#[derive(Debug)]
struct Infeasible {
    requirements: TaskRequirements,
    resources: Resources,
}

/// Team usage and cached results during one pass.
#[derive(Debug, Default)]
pub(crate) struct PlacementPass {
    /// Usage of teams, including the tasks started in this pass.
    pub usage: TeamUsage,
    infeasible: Vec<Infeasible>,
    /// How many tasks this pass placed: started, queued, or queued after a preemption.
    pub placements: usize,
    /// How many machines and attempts were examined for the tasks that this pass placed.
    pub examined: u64,
    /// Whether exited attempts were already removed from `Scheduler::stopping_attempts` in this
    /// pass.
    pub stops_pruned: bool,
    /// The usage that each team's stopping attempts will free, less the usage reserved by its
    /// queued tasks, by team index. `None` if the value has not been computed or is stale.
    pub usage_being_freed: Option<HashMap<usize, Usage>>,
    /// Cached results of `Scheduler::team_has_less_urgent`.
    pub has_less_urgent_tasks: HashMap<(Option<usize>, Urgency), bool>,
}

impl PlacementPass {
    /// The state at the start of a pass, with the current usage of teams.
    pub fn new(usage: TeamUsage) -> PlacementPass {
        PlacementPass {
            usage,
            ..PlacementPass::default()
        }
    }

    /// Whether the pass has placed as many tasks, or examined as much for them, as one pass may.
    pub fn is_at_limit(&self) -> bool {
        self.placements >= MAX_PLACEMENTS_PER_PASS || self.examined >= MAX_EXAMINED_PER_PASS
    }

    /// Remembers for the rest of the pass that preemption cannot free enough capacity for a task
    /// with these requirements and resources.
    pub fn set_infeasible(&mut self, requirements: TaskRequirements, resources: Resources) {
        self.infeasible.push(Infeasible {
            requirements,
            resources,
        });
    }

    /// Whether preemption is known to be infeasible for a task with these requirements and
    /// resources: in this pass it was infeasible for a task with the same requirements and equal
    /// or smaller resource needs.
    pub fn is_infeasible(&self, requirements: &TaskRequirements, resources: &Resources) -> bool {
        self.infeasible
            .iter()
            .any(|entry| resources.fits(&entry.resources) && entry.requirements == *requirements)
    }
}
