//! The best that any scheduler could have done with a day's arrivals and machines,
//! relaxed so that it can be computed: a bound from above, never reached in full.
//!
//! What is relaxed: the fleet is one pool of CPUs (no machine sizes, memory, zones,
//! images or boots beyond what the log counts as in use), a job may be split and
//! resumed at no cost, its tasks run as long as their owner estimated, the future is
//! known, a part of a job counts as that part of a job done, and the seconds of a
//! takeover count as served. What is kept: arrivals, CPUs over time with all that was
//! lost, the teams' limits, and that a job cannot use more CPUs than its tasks have
//! or end before a task's run time is over.
//!
//! Work is sent from jobs through their team's limit into slots of time that the
//! job may use. The work that can be served of a set of jobs is then a flow, so
//! taking the jobs in the order of their work and pushing what goes maximises the
//! number of jobs done (a greedy choice is the best one over a polymatroid).

use crate::flow::Network;
use std::collections::BTreeMap;

/// Length of a slot, in seconds.
const SLOT_S: f64 = 5.0;

/// A job to be served.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    pub team: String,
    /// Submission and due time, in seconds of the day.
    pub from_s: f64,
    pub due_s: f64,
    pub tasks: u32,
    pub cpus: f64,
    pub run_s: f64,
}

impl Job {
    /// CPU seconds.
    pub fn work(&self) -> f64 {
        f64::from(self.tasks) * self.cpus * self.run_s
    }
    fn possible(&self) -> bool {
        self.due_s - self.from_s >= self.run_s && self.work() > 0.0
    }
}

/// CPUs there were, and limits of teams (none: as much as there is).
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// CPUs from each time on, in order.
    pub cpus: Vec<(f64, f64)>,
    pub limits: BTreeMap<String, f64>,
}

impl Fleet {
    /// CPU seconds between two times.
    fn between(&self, from_s: f64, to_s: f64) -> f64 {
        let mut sum = 0.0;
        for (at, (start, cpus)) in self.cpus.iter().enumerate() {
            let end = self.cpus.get(at + 1).map_or(f64::INFINITY, |n| n.0);
            // Before the first look there is what it saw.
            let start = if at == 0 { f64::NEG_INFINITY } else { *start };
            sum += (end.min(to_s) - start.max(from_s)).max(0.0) * cpus;
        }
        sum
    }
}

/// The network of a set of jobs; supply is let in job by job.
struct Plan {
    network: Network,
    source: usize,
    sink: usize,
    supply: Vec<(usize, usize)>,
}

impl Plan {
    fn new(jobs: &[&Job], fleet: &Fleet) -> Plan {
        let end_s = jobs.iter().map(|j| j.due_s).fold(0.0, f64::max);
        let slots = (end_s / SLOT_S).ceil().max(0.0) as usize;
        let mut network = Network::default();
        let (source, sink) = (network.node(), network.node());
        let times: Vec<usize> = (0..slots)
            .map(|slot| {
                let node = network.node();
                let from_s = slot as f64 * SLOT_S;
                let most = fleet.between(from_s, from_s + SLOT_S);
                network.join(node, sink, most.ceil() as u64);
                node
            })
            .collect();
        // A team with a limit has slots of its own in front of those of all.
        let mut teams: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (team, limit) in &fleet.limits {
            let own = times.iter().map(|&slot| {
                let node = network.node();
                network.join(node, slot, (limit * SLOT_S).ceil() as u64);
                node
            });
            teams.insert(team, own.collect());
        }
        let mut supply = Vec::new();
        for job in jobs {
            let node = network.node();
            supply.push(network.join(source, node, 0));
            let wide = f64::from(job.tasks) * job.cpus;
            let to = teams.get(job.team.as_str()).unwrap_or(&times);
            for (slot, &target) in to.iter().enumerate() {
                let from_s = slot as f64 * SLOT_S;
                let usable_s = (from_s + SLOT_S).min(job.due_s) - from_s.max(job.from_s);
                if usable_s > 0.0 {
                    network.join(node, target, (wide * usable_s).ceil() as u64);
                }
            }
        }
        Plan {
            network,
            source,
            sink,
            supply,
        }
    }

    /// Serves what goes of one job's work; the part of it.
    fn serve(&mut self, job: usize, work: f64) -> f64 {
        let want = work.ceil().max(1.0) as u64;
        self.network.widen(self.supply[job], want);
        let served = self.network.push(self.source, self.sink);
        served as f64 / want as f64
    }
}

/// Jobs by their work, smallest first.
fn smallest<'a>(jobs: impl Iterator<Item = &'a Job>) -> Vec<&'a Job> {
    let mut jobs: Vec<&Job> = jobs.filter(|j| j.possible()).collect();
    jobs.sort_by(|a, b| a.work().total_cmp(&b.work()));
    jobs
}

/// The largest share of these jobs that could have been done in time if the
/// fleet had served nothing else.
pub fn alone(jobs: &[Job], fleet: &Fleet) -> f64 {
    let order = smallest(jobs.iter());
    let mut plan = Plan::new(&order, fleet);
    let served: f64 = (0..order.len())
        .map(|at| plan.serve(at, order[at].work()))
        .sum();
    served / jobs.len().max(1) as f64
}

/// The largest share that each group could have had at the same time, if each is
/// served the same share and the smallest jobs of each are served. (Others than
/// the smallest may go together better by a little, so this is a plan, and a bound
/// only nearly.)
pub fn together(groups: &[Vec<Job>], fleet: &Fleet) -> f64 {
    // A share of 1/64 is finer than the classes' counts tell apart.
    let (mut fits, mut too_much) = (0.0, 1.0 + 1.0 / 64.0);
    while too_much - fits > 1.0 / 64.0 {
        let share: f64 = (fits + too_much) / 2.0;
        let chosen: Vec<Vec<&Job>> = groups
            .iter()
            .map(|jobs| {
                let most = (share.min(1.0) * jobs.len() as f64).floor() as usize;
                smallest(jobs.iter()).into_iter().take(most).collect()
            })
            .collect();
        // Those that no fleet could serve are not among the smallest possible.
        let enough = groups.iter().zip(&chosen).all(|(jobs, chosen)| {
            chosen.len() >= (share.min(1.0) * jobs.len() as f64).floor() as usize
        });
        let all: Vec<&Job> = chosen.into_iter().flatten().collect();
        let mut plan = Plan::new(&all, fleet);
        let served = (0..all.len()).all(|at| plan.serve(at, all[at].work()) > 0.999);
        if enough && served {
            fits = share;
        } else {
            too_much = share;
        }
    }
    // In whole jobs, of the group that this rounds down most.
    let whole = |jobs: &Vec<Job>| (fits.min(1.0) * jobs.len() as f64).floor() / jobs.len() as f64;
    let shares = groups.iter().filter(|jobs| !jobs.is_empty()).map(whole);
    shares.min_by(f64::total_cmp).unwrap_or(1.0)
}
