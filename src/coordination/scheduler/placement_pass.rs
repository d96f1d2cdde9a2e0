//! What one placement pass works on and remembers.

use crate::coordination::scheduler::job::Names;
use crate::coordination::scheduler::job_order::OrderedJob;
use crate::coordination::scheduler::resources::Resources;
use crate::coordination::scheduler::team_usage::{TeamUsage, Usage};
use crate::protocol::job::Urgency;
use std::collections::HashMap;
use std::rc::Rc;

/// Bound on the jobs, first in the order, that a pass over changes tries thoroughly again
/// because capacity became free. For the others, which may be hundreds, free capacity is
/// all that is examined until the next full pass.
const MAX_THOROUGH_RETRIES: usize = 8;

/// Which jobs a pass goes over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PassKind {
    /// All unfinished jobs.
    Full,
    /// Jobs with newly waiting tasks, and those that fit into capacity that became free.
    Changes,
}

/// How hard a pass tries to place a job's tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Effort {
    /// On free capacity only.
    FreeCapacity,
    /// Also by preempting others and in queues.
    Thorough,
}

/// Where capacity became free since the last pass.
#[derive(Debug, Default)]
pub(crate) struct CapacityChanges {
    /// Machines on which a queued task may start now.
    pub freed_machines: Names,
    /// Free capacity of machines that have more of it than at the last pass.
    pub grown: Vec<Resources>,
}

/// What a pass goes over.
#[derive(Debug)]
pub(crate) struct PassScope {
    kind: PassKind,
    changes: CapacityChanges,
    thorough_retries_left: usize,
}

impl PassScope {
    /// The scope of a pass that begins with these changes.
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

    /// How hard to try for this job; `None` if nothing has changed for it.
    pub fn effort_for(&mut self, job: &OrderedJob) -> Option<Effort> {
        if self.kind == PassKind::Full || job.has_new_tasks.get() {
            return Some(Effort::Thorough);
        }
        let mut grown = self.changes.grown.iter();
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

/// What decides whether others may be preempted for a task, apart from how much the task
/// requires.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct TaskRequirements {
    /// The team whose limit and guarantee apply.
    pub team: Option<usize>,
    pub urgency: Urgency,
    /// Whether its job is within the team's guarantee.
    pub guaranteed: bool,
    /// The pools of machines on which it may run.
    pub pools: Rc<[usize]>,
}

/// A task for which preemption was found to be of no use.
#[derive(Debug)]
struct Infeasible {
    requirements: TaskRequirements,
    resources: Resources,
}

/// What one pass remembers.
#[derive(Debug, Default)]
pub(crate) struct PlacementPass {
    /// Usage of teams, with the starts of this pass.
    pub usage: TeamUsage,
    infeasible: Vec<Infeasible>,
    /// Stop requests that took effect were forgotten in this pass.
    pub stops_pruned: bool,
    /// What each team's stopped attempts will free, less what is reserved by queued tasks;
    /// counted when it is first needed.
    pub freeing: Option<HashMap<usize, Usage>>,
    /// Whether a team has work on machines that is less urgent than this.
    pub less_urgent: HashMap<(Option<usize>, Urgency), bool>,
}

impl PlacementPass {
    /// A pass that begins with this usage.
    pub fn new(usage: TeamUsage) -> PlacementPass {
        PlacementPass {
            usage,
            ..PlacementPass::default()
        }
    }

    /// Remembers that nothing can be preempted for such a task.
    pub fn set_infeasible(&mut self, requirements: TaskRequirements, resources: Resources) {
        self.infeasible.push(Infeasible {
            requirements,
            resources,
        });
    }

    /// Whether it is known that nothing can be preempted for such a task: it was so for one
    /// that requires no more.
    pub fn is_infeasible(&self, requirements: &TaskRequirements, resources: &Resources) -> bool {
        self.infeasible
            .iter()
            .any(|known| resources.fits(&known.resources) && known.requirements == *requirements)
    }
}
