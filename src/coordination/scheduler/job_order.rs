//! The data types of the job order, which lists jobs by precedence. `order_refresh` builds it.

use crate::coordination::scheduler::job::{Job, Name};
use crate::coordination::scheduler::resources::Resources;
use std::cell::Cell;
use std::rc::Rc;

/// A job's place in the order. The order is ascending by rank, then by key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Precedence {
    /// Jobs with a lower rank number come first.
    pub rank: u8,
    /// Sort key within the rank: predicted work or a time, see `Scheduler::precedence`.
    pub key: f64,
}

/// An entry of the order: a job, or only its first task.
#[derive(Debug)]
pub(crate) struct OrderedJob {
    pub precedence: Precedence,
    pub name: Name,
    /// The resources that one task of the job requires.
    pub requirements: Resources,
    /// See `Job::has_new_tasks`.
    pub has_new_tasks: Rc<Cell<bool>>,
    /// Whether the entry stands for the job's first task only.
    pub first_task_only: bool,
}

impl OrderedJob {
    /// An entry for all tasks of the job.
    pub fn new(name: Name, job: &Job, precedence: Precedence) -> OrderedJob {
        OrderedJob {
            precedence,
            name,
            requirements: Resources::of_task(&job.spec),
            has_new_tasks: job.has_new_tasks.clone(),
            first_task_only: false,
        }
    }

    /// An entry for the job's first task only, with rank 0; the caller inserts the
    /// entry in front of the order.
    pub fn first_task(entry: &OrderedJob, accepted_at: f64) -> OrderedJob {
        OrderedJob {
            precedence: Precedence {
                rank: 0,
                key: accepted_at,
            },
            name: entry.name.clone(),
            requirements: entry.requirements,
            has_new_tasks: entry.has_new_tasks.clone(),
            first_task_only: true,
        }
    }
}

/// A job whose tasks may be preempted.
#[derive(Debug)]
pub(crate) struct PreemptionCandidate {
    /// Factor by which preempting the job is more expensive than preempting work of urgency
    /// `idle` (see `preemption_cost`).
    pub cost_factor: f64,
    /// Estimated remaining work, in CPU or GPU seconds.
    pub work_left: f64,
    pub job: Name,
}

/// The order of jobs, rebuilt periodically and after jobs are added or removed.
#[derive(Debug, Default)]
pub struct JobOrder {
    /// Unfinished jobs by precedence, preceded by entries for prioritized first tasks.
    pub(crate) jobs: Vec<OrderedJob>,
    /// The unfinished jobs, cheapest to preempt first.
    pub(crate) preemption_candidates: Vec<PreemptionCandidate>,
    /// Whether jobs were added or removed since the order was built.
    pub(crate) is_stale: bool,
    /// Time at which the order was built, in seconds of the leader's monotonic clock.
    pub(crate) refreshed_at: f64,
}

impl JobOrder {
    /// Sorts the jobs by precedence; names break ties.
    pub(crate) fn sort_jobs(&mut self) {
        self.jobs.sort_by(|a, b| {
            a.precedence
                .rank
                .cmp(&b.precedence.rank)
                .then(a.precedence.key.total_cmp(&b.precedence.key))
                .then_with(|| a.name.cmp(&b.name))
        });
    }

    /// Sorts the candidates by cost factor, lowest first, then by remaining work, largest first;
    /// names break ties.
    pub(crate) fn sort_preemption_candidates(&mut self) {
        self.preemption_candidates.sort_by(|a, b| {
            a.cost_factor
                .total_cmp(&b.cost_factor)
                .then(b.work_left.total_cmp(&a.work_left))
                .then_with(|| a.job.cmp(&b.job))
        });
    }
}
