//! An upper bound on the proportion of jobs that any scheduler could have done in time, given the
//! arrivals and machines of a day. The problem is relaxed so that the bound can be computed; no
//! scheduler reaches it in full.
//!
//! Relaxed:
//! - The fleet is one pool of CPUs. Machine sizes, memory, zones, images and boots are ignored,
//!   except that only machines that the log counts as in use have capacity.
//! - A job may be split, and stopped and resumed at no cost.
//! - Tasks run as long as their user estimated.
//! - The future is known.
//! - A part of a job counts as the same part of a done job.
//! - The time during which the leader changes counts as usable.
//!
//! Kept:
//! - The arrivals.
//! - The CPUs over time, including all losses.
//! - The CPU limits of the teams.
//! - A job cannot use more CPUs than its tasks have, or end before the run time of a task is over.
//!
//! Work flows from jobs, through the limit of their team, into the time slots that the job may
//! use. The work of a set of jobs that can be served is therefore a maximum flow. Adding the jobs
//! in the order of their work, smallest first, and serving as much of each as possible maximizes
//! the number of jobs done (the greedy choice is optimal over a polymatroid).

use crate::flow::{EdgeId, Network};
use std::collections::BTreeMap;

/// Length of a time slot.
const SLOT_S: f64 = 5.0;
/// Resolution of the search for a proportion: finer than one job in the count of a class.
const RESOLUTION: f64 = 1.0 / 64.0;
/// A job counts as served if at least this part of its work is served; the rest is rounding.
const MIN_SERVED_PART: f64 = 0.999;

/// A job, as input of the bound.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Team of the job.
    pub team: String,
    /// The time from which the job can be served, in seconds since the start of the run.
    pub from_s: f64,
    /// When the job is due, in seconds since the start of the run.
    pub due_s: f64,
    /// Number of tasks.
    pub tasks: u32,
    /// CPUs of one task.
    pub cpus: f64,
    /// Run time of one task, in seconds.
    pub run_s: f64,
}

impl Job {
    /// CPU seconds of all tasks.
    pub fn work(&self) -> f64 {
        f64::from(self.tasks) * self.cpus * self.run_s
    }

    /// Whether a fleet of unlimited size could serve the job in time.
    fn is_feasible(&self) -> bool {
        self.due_s - self.from_s >= self.run_s && self.work() > 0.0
    }
}

/// The capacity of a day.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// The CPUs of the fleet, each with the time from which they apply, in order of time.
    pub cpus: Vec<(f64, f64)>,
    /// The most CPUs that each team may use. A team without an entry has no limit.
    pub limits: BTreeMap<String, f64>,
}

impl Fleet {
    /// The CPU seconds between two times.
    fn cpu_seconds(&self, from_s: f64, to_s: f64) -> f64 {
        let mut sum = 0.0;
        for (index, (start_s, cpus)) in self.cpus.iter().enumerate() {
            let next_record = self.cpus.get(index + 1);
            let end_s = next_record.map_or(f64::INFINITY, |(start_s, _)| *start_s);
            // The first record also applies to the time before it.
            let start_s = if index == 0 {
                f64::NEG_INFINITY
            } else {
                *start_s
            };
            sum += (end_s.min(to_s) - start_s.max(from_s)).max(0.0) * cpus;
        }
        sum
    }
}

/// The flow network of a set of jobs. Edges lead from the source to the jobs, from each job to the
/// time slots that it may use, and from the time slots to the sink. Jobs of a team with a limit
/// reach the time slots through slots of that team. At first the edges from the source have no
/// capacity; `serve` adds it job by job.
struct JobNetwork {
    network: Network,
    source: usize,
    sink: usize,
    /// The edge from the source to each job.
    supply: Vec<EdgeId>,
}

impl JobNetwork {
    fn new(jobs: &[&Job], fleet: &Fleet) -> JobNetwork {
        let mut network = Network::default();
        let (source, sink) = (network.add_node(), network.add_node());
        let mut built = JobNetwork {
            network,
            source,
            sink,
            supply: Vec::new(),
        };
        let end_s = jobs.iter().map(|job| job.due_s).fold(0.0, f64::max);
        let slots = built.add_slots(end_s, fleet);
        let team_slots = built.add_team_slots(&slots, fleet);
        for job in jobs {
            let slots = team_slots.get(job.team.as_str()).unwrap_or(&slots);
            built.add_job(job, slots);
        }
        built
    }

    /// Adds a node for each time slot until `end_s`, with the capacity of the fleet in that slot.
    fn add_slots(&mut self, end_s: f64, fleet: &Fleet) -> Vec<usize> {
        let count = (end_s / SLOT_S).ceil().max(0.0) as usize;
        let mut add = |slot: usize| {
            let node = self.network.add_node();
            let from_s = slot as f64 * SLOT_S;
            let capacity = fleet.cpu_seconds(from_s, from_s + SLOT_S);
            self.network
                .add_edge(node, self.sink, capacity.ceil() as u64);
            node
        };
        (0..count).map(&mut add).collect()
    }

    /// Adds a node for each time slot of each team with a limit, in front of the slots of the
    /// fleet.
    fn add_team_slots<'f>(
        &mut self,
        slots: &[usize],
        fleet: &'f Fleet,
    ) -> BTreeMap<&'f str, Vec<usize>> {
        let mut teams = BTreeMap::new();
        for (team, limit) in &fleet.limits {
            let capacity = (limit * SLOT_S).ceil() as u64;
            let mut add = |&slot: &usize| {
                let node = self.network.add_node();
                self.network.add_edge(node, slot, capacity);
                node
            };
            let team_slots: Vec<usize> = slots.iter().map(&mut add).collect();
            teams.insert(team.as_str(), team_slots);
        }
        teams
    }

    /// Adds a node for a job without supply, and edges to the slots that the job may use.
    fn add_job(&mut self, job: &Job, slots: &[usize]) {
        let node = self.network.add_node();
        self.supply
            .push(self.network.add_edge(self.source, node, 0));
        let cpus = f64::from(job.tasks) * job.cpus;
        for (slot, &target) in slots.iter().enumerate() {
            let from_s = slot as f64 * SLOT_S;
            let usable_s = (from_s + SLOT_S).min(job.due_s) - from_s.max(job.from_s);
            if usable_s > 0.0 {
                let capacity = (cpus * usable_s).ceil() as u64;
                self.network.add_edge(node, target, capacity);
            }
        }
    }

    /// Serves as much as possible of the work of one job. Returns the part of the work served.
    fn serve(&mut self, job: usize, work: f64) -> f64 {
        let wanted = work.ceil().max(1.0) as u64;
        self.network.add_capacity(self.supply[job], wanted);
        let served = self.network.augment(self.source, self.sink);
        served as f64 / wanted as f64
    }
}

/// The feasible jobs in the order of their work, smallest first.
fn feasible_smallest_first<'a>(jobs: impl Iterator<Item = &'a Job>) -> Vec<&'a Job> {
    let mut jobs: Vec<&Job> = jobs.filter(|job| job.is_feasible()).collect();
    jobs.sort_by(|a, b| a.work().total_cmp(&b.work()));
    jobs
}

/// Upper bound of the proportion of these jobs that could have been done in time if the fleet had
/// served nothing else.
pub fn alone(jobs: &[Job], fleet: &Fleet) -> f64 {
    let order = feasible_smallest_first(jobs.iter());
    let mut network = JobNetwork::new(&order, fleet);
    let served: f64 = (0..order.len())
        .map(|index| network.serve(index, order[index].work()))
        .sum();
    served / jobs.len().max(1) as f64
}

/// The largest proportion of jobs that could have been done in time in every group at once, if the
/// same proportion of each group is served, smallest jobs first. Other jobs than the smallest may
/// fit together slightly better, so this is not an exact upper bound.
pub fn together(groups: &[Vec<Job>], fleet: &Fleet) -> f64 {
    let (mut feasible, mut infeasible) = (0.0, 1.0 + RESOLUTION);
    while infeasible - feasible > RESOLUTION {
        let proportion: f64 = (feasible + infeasible) / 2.0;
        if fits_together(groups, proportion, fleet) {
            feasible = proportion;
        } else {
            infeasible = proportion;
        }
    }
    // Each group is rounded down to whole jobs; the smallest resulting proportion counts.
    let whole_jobs = |jobs: &Vec<Job>| count_of(jobs, feasible) as f64 / jobs.len() as f64;
    let groups = groups.iter().filter(|jobs| !jobs.is_empty());
    groups.map(whole_jobs).min_by(f64::total_cmp).unwrap_or(1.0)
}

/// The number of jobs in this proportion of them, rounded down.
fn count_of(jobs: &[Job], proportion: f64) -> usize {
    (proportion.min(1.0) * jobs.len() as f64).floor() as usize
}

/// Whether this proportion of every group can be served at the same time.
fn fits_together(groups: &[Vec<Job>], proportion: f64, fleet: &Fleet) -> bool {
    let mut chosen = Vec::new();
    for jobs in groups {
        let count = count_of(jobs, proportion);
        let smallest = feasible_smallest_first(jobs.iter()).into_iter().take(count);
        let before = chosen.len();
        chosen.extend(smallest);
        // Jobs that are not feasible were left out.
        if chosen.len() - before < count {
            return false;
        }
    }
    let mut network = JobNetwork::new(&chosen, fleet);
    (0..chosen.len()).all(|index| network.serve(index, chosen[index].work()) > MIN_SERVED_PART)
}
