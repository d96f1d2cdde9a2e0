//! An upper bound of what any scheduler could have done with a day's arrivals and machines:
//! relaxed so that it can be computed, and never reached in full.
//!
//! What is relaxed: the fleet is one pool of CPUs (no machine sizes, memory, zones,
//! images or boots beyond what the log counts as in use), a job may be split and
//! resumed at no cost, its tasks run as long as their user estimated, the future is
//! known, a part of a job counts as that part of a job done, and the seconds of a
//! takeover count as served. What is kept: arrivals, CPUs over time with all that was
//! lost, the teams' limits, and that a job cannot use more CPUs than its tasks have
//! or end before a task's run time is over.
//!
//! Work is sent from jobs through their team's limit into slots of time that the
//! job may use. The work that can be served of a set of jobs is then a flow, so
//! taking the jobs in the order of their work and pushing what goes maximises the
//! number of jobs done (a greedy choice is the best one over a polymatroid).

use crate::flow::{EdgeId, Network};
use std::collections::BTreeMap;

/// Length of a slot, in seconds.
const SLOT_S: f64 = 5.0;
/// Proportions are searched to this resolution, finer than the classes' counts tell apart.
const RESOLUTION: f64 = 1.0 / 64.0;
/// A job is served if this part of its work is; the rest is rounding.
const SERVED: f64 = 0.999;

/// A job to be served.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// Its team.
    pub team: String,
    /// When it is submitted, in seconds of the day.
    pub from_s: f64,
    /// When it is due, in seconds of the day.
    pub due_s: f64,
    /// How many tasks it has.
    pub tasks: u32,
    /// CPUs of a task.
    pub cpus: f64,
    /// Run time of a task, in seconds.
    pub run_s: f64,
}

impl Job {
    /// CPU seconds of all tasks.
    pub fn work(&self) -> f64 {
        f64::from(self.tasks) * self.cpus * self.run_s
    }

    /// Whether any fleet could serve it in time.
    fn possible(&self) -> bool {
        self.due_s - self.from_s >= self.run_s && self.work() > 0.0
    }
}

/// The capacity that there was.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// CPUs from each time on, in order.
    pub cpus: Vec<(f64, f64)>,
    /// The most CPUs that a team may use; a team that is not here may use all.
    pub limits: BTreeMap<String, f64>,
}

impl Fleet {
    /// CPU seconds between two times.
    fn cpu_seconds(&self, from_s: f64, to_s: f64) -> f64 {
        let mut sum = 0.0;
        for (index, (start_s, cpus)) in self.cpus.iter().enumerate() {
            let next = self.cpus.get(index + 1);
            let end_s = next.map_or(f64::INFINITY, |(start_s, _)| *start_s);
            // Before the first record there is what it tells.
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

/// The flow network of a set of jobs: from the source over jobs (and slots of teams with a
/// limit) into slots of time, and to the sink. Jobs are supplied one after the other.
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

    /// A node for each slot until then, with the fleet's capacity in it.
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

    /// A team with a limit has slots of its own in front of those of all.
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
            let own: Vec<usize> = slots.iter().map(&mut add).collect();
            teams.insert(team.as_str(), own);
        }
        teams
    }

    /// A node for the job, without supply, with edges to the slots that it may use.
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

    /// Serves as much as possible of one job's work; the part of it.
    fn serve(&mut self, job: usize, work: f64) -> f64 {
        let wanted = work.ceil().max(1.0) as u64;
        self.network.add_capacity(self.supply[job], wanted);
        let served = self.network.augment(self.source, self.sink);
        served as f64 / wanted as f64
    }
}

/// Possible jobs by their work, smallest first.
fn smallest_first<'a>(jobs: impl Iterator<Item = &'a Job>) -> Vec<&'a Job> {
    let mut jobs: Vec<&Job> = jobs.filter(|job| job.possible()).collect();
    jobs.sort_by(|a, b| a.work().total_cmp(&b.work()));
    jobs
}

/// The largest proportion of these jobs that could have been done in time if the fleet had
/// served nothing else.
pub fn alone(jobs: &[Job], fleet: &Fleet) -> f64 {
    let order = smallest_first(jobs.iter());
    let mut network = JobNetwork::new(&order, fleet);
    let served: f64 = (0..order.len())
        .map(|index| network.serve(index, order[index].work()))
        .sum();
    served / jobs.len().max(1) as f64
}

/// The largest proportion that each group could have had at the same time, if each is served
/// the same proportion and the smallest jobs of each are served. (Others than the smallest may
/// go together better by a little, so this is a plan, and a bound only nearly.)
pub fn together(groups: &[Vec<Job>], fleet: &Fleet) -> f64 {
    let (mut fits, mut too_much) = (0.0, 1.0 + RESOLUTION);
    while too_much - fits > RESOLUTION {
        let proportion: f64 = (fits + too_much) / 2.0;
        if fits_together(groups, proportion, fleet) {
            fits = proportion;
        } else {
            too_much = proportion;
        }
    }
    // In whole jobs, of the group that this rounds down most.
    let whole = |jobs: &Vec<Job>| count_of(jobs, fits) as f64 / jobs.len() as f64;
    let groups = groups.iter().filter(|jobs| !jobs.is_empty());
    groups.map(whole).min_by(f64::total_cmp).unwrap_or(1.0)
}

/// This proportion of the jobs, in whole jobs.
fn count_of(jobs: &[Job], proportion: f64) -> usize {
    (proportion.min(1.0) * jobs.len() as f64).floor() as usize
}

/// Whether this proportion of each group can be served at the same time.
fn fits_together(groups: &[Vec<Job>], proportion: f64, fleet: &Fleet) -> bool {
    let mut chosen = Vec::new();
    for jobs in groups {
        let count = count_of(jobs, proportion);
        let smallest = smallest_first(jobs.iter()).into_iter().take(count);
        let before = chosen.len();
        chosen.extend(smallest);
        // Jobs that no fleet could serve are not among them.
        if chosen.len() - before < count {
            return false;
        }
    }
    let mut network = JobNetwork::new(&chosen, fleet);
    (0..chosen.len()).all(|index| network.serve(index, chosen[index].work()) > SERVED)
}
