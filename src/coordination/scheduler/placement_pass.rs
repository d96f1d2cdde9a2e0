//! The state of one placement pass: which jobs it covers, how hard it tries to place them, and
//! the results that it caches.

use crate::coordination::scheduler::job::Names;
use crate::coordination::scheduler::job_order::OrderedJob;
use crate::coordination::scheduler::resources::Resources;
use crate::coordination::scheduler::team_usage::{TeamUsage, Usage};
use crate::protocol::job::Urgency;
use std::collections::HashMap;
use std::rc::Rc;

/// Bound on the jobs that a `Changes` pass retries with `Effort::Thorough` because capacity
/// became free; the first jobs in the order of precedence are retried. Hundreds of other jobs
/// may wait: these are placed on free capacity only until the next full pass.
const MAX_THOROUGH_RETRIES: usize = 8;

/// Which jobs a pass tries to place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PassKind {
    /// All unfinished jobs.
    Full,
    /// Jobs with newly waiting tasks, and jobs whose tasks fit into capacity that became free.
    Changes,
}

/// How hard a pass tries to place a job's tasks.
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
    /// The free capacity of each machine on which it has grown since the last pass.
    pub grown: Vec<Resources>,
}

/// Selects the jobs of a pass, and the effort for each.
#[derive(Debug)]
pub(crate) struct PassScope {
    kind: PassKind,
    changes: CapacityChanges,
    thorough_retries_left: usize,
}

impl PassScope {
    /// The scope of a pass, given the capacity changes since the last one.
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

    /// How hard to try to place this job; `None` if nothing has changed for it since the last
    /// pass.
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

/// The properties of a task that decide which attempts may be preempted for it, apart from the
/// amount of resources that it requires.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct TaskRequirements {
    /// The team whose limit and guarantee apply.
    pub team: Option<usize>,
    pub urgency: Urgency,
    /// Whether its job is within the team's guarantee.
    pub guaranteed: bool,
    /// The pools of machines on which the task may run.
    pub pools: Rc<[usize]>,
}

/// A kind of task for which no preemption was found that frees enough capacity.
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
    /// Whether `stopping_attempts` was pruned in this pass: attempts that have exited were
    /// removed.
    pub stops_pruned: bool,
    /// The usage that each team's stopping attempts will free, less the usage reserved by its
    /// queued tasks. Computed when first needed; `None` if it is not up to date.
    pub usage_being_freed: Option<HashMap<usize, Usage>>,
    /// Cached results of `Scheduler::team_has_less_urgent`.
    pub less_urgent: HashMap<(Option<usize>, Urgency), bool>,
}

impl PlacementPass {
    /// A pass that begins with this usage of teams.
    pub fn new(usage: TeamUsage) -> PlacementPass {
        PlacementPass {
            usage,
            ..PlacementPass::default()
        }
    }

    /// Remembers that preemption cannot free enough capacity for such a task.
    pub fn set_infeasible(&mut self, requirements: TaskRequirements, resources: Resources) {
        self.infeasible.push(Infeasible {
            requirements,
            resources,
        });
    }

    /// Whether preemption is known to be infeasible for such a task: it was infeasible for a
    /// task with the same requirements that needs no more resources.
    pub fn is_infeasible(&self, requirements: &TaskRequirements, resources: &Resources) -> bool {
        self.infeasible
            .iter()
            .any(|known| resources.fits(&known.resources) && known.requirements == *requirements)
    }
}
