//! Scaling out: pure functions that decide which additional machines to rent.
//!
//! Machines are rented for two reasons: the CPUs of the whole fleet do not suffice for all placed and
//! waiting tasks and a reserve, or some waiting tasks fit on no machine that they may use (see
//! `shortfall`). In the second case the wait is bounded: if no machine that the job may use is up or
//! booting, one is requested in the next round; otherwise after the job has waited as long as the
//! machine takes to boot, since running tasks may end before that.

use super::shortfall::{shortfalls, Shortfall};
use crate::coordination::scheduler::machine::MachineStatus;
use crate::coordination::scheduler::resources::Resources;
use crate::coordination::scheduler::state::{MachineTypes, Scheduler};
use crate::protocol::cloud::MachineType;
use crate::protocol::job::JobSpec;
use crate::storage::records::{fits_type, MachineInfo};
use std::rc::Rc;

/// Assumed boot time of a machine of an unknown type, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;
/// Factor by which the boot time of spot machines is multiplied when offers are compared. An
/// ordinary machine is preferred, because the cloud does not take it away, unless its boot time is
/// longer than that of the spot machine by more than this factor.
const SPOT_BOOT_PENALTY: f64 = 1.2;
/// Maximum number of machines of one offer in one request.
const MAX_MACHINES_PER_OFFER: usize = 50;
/// Lower bound for the CPUs of a machine, which guards against a division by zero.
const MIN_MACHINE_CPUS: f64 = 0.1;

/// A kind of machine that the cloud offers for rent: a machine type in a zone, spot or ordinary.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    /// The machine type's name.
    pub kind: String,
    /// The zone's name.
    pub zone: String,
    /// Whether the cloud may take the machines away at short notice.
    pub spot: bool,
}

/// A job with tasks that have not been placed.
#[derive(Debug)]
pub struct WaitingJob {
    /// The job's specification, with the resources that each task needs.
    pub spec: Rc<JobSpec>,
    /// Number of the job's tasks that have not been placed.
    pub tasks: u32,
}

/// The CPUs that jobs need, and the CPUs that the fleet provides.
#[derive(Debug, Default)]
pub struct Demand {
    /// Jobs with tasks that have not been placed.
    pub waiting: Vec<WaitingJob>,
    /// CPUs of all machines that are up or booting.
    pub provisioned_cpus: f64,
    /// CPUs in use by all teams.
    pub used_cpus: f64,
    /// Waiting tasks that fit on no machine that is up or booting.
    pub shortfalls: Vec<Shortfall>,
}

/// Machines of one offer to request from the cloud.
#[derive(Debug, PartialEq)]
pub struct RentalPlan {
    /// The offer to request.
    pub offer: Offer,
    /// Number of machines to request.
    pub count: u32,
}

/// An offer that the cloud may have machines of now.
struct Candidate<'a> {
    offer: Offer,
    /// Boot time, including the penalty for spot machines, in seconds. Lower is better.
    weighted_boot_s: f64,
    machine_type: &'a MachineType,
}

/// Boot time of a machine of the type with this name, in seconds.
pub(super) fn boot_s(types: &MachineTypes, kind: &str) -> f64 {
    types.get(kind).map_or(DEFAULT_BOOT_S, |t| t.boot_s)
}

impl Demand {
    /// The demand of this scheduler's jobs. The CPUs of `booting` machines count as provisioned.
    /// The CPUs of machines in `partitioned_zones` do not, because these machines are unreachable.
    pub fn of<'a>(
        scheduler: &'a Scheduler,
        booting: impl Iterator<Item = &'a MachineInfo> + Clone,
        partitioned_zones: &[String],
        now: f64,
    ) -> Demand {
        let max_silence_s = scheduler.config.silent_s();
        let up = scheduler.machines.values().filter(|m| {
            m.status == MachineStatus::Up && !m.cordoned && !m.is_unreachable(now, max_silence_s)
        });
        let waiting = scheduler.jobs.values().filter_map(|job| {
            let tasks = job.unplaced_tasks();
            (!job.finished && tasks > 0).then(|| WaitingJob {
                spec: job.spec.clone(),
                tasks,
            })
        });
        Demand {
            waiting: waiting.collect(),
            shortfalls: shortfalls(scheduler, booting.clone(), partitioned_zones, now),
            provisioned_cpus: up
                .map(|m| &m.info)
                .chain(booting)
                .filter(|info| !partitioned_zones.contains(&info.zone))
                .filter_map(|info| scheduler.types.get(&info.kind))
                .map(|t| t.cpus)
                .sum(),
            used_cpus: scheduler.usage().cpus(),
        }
    }

    /// CPUs that the waiting tasks require.
    pub fn waiting_cpus(&self) -> f64 {
        let required = |job: &WaitingJob| job.spec.cpus * f64::from(job.tasks);
        self.waiting.iter().map(required).sum()
    }

    /// Number of CPUs that must be added so that the fleet can run all placed and waiting tasks and
    /// has a reserve of `headroom`, a fraction of the CPUs of these tasks. Negative if the fleet
    /// has more CPUs than needed.
    fn missing_cpus(&self, headroom: f64) -> f64 {
        (self.used_cpus + self.waiting_cpus()) * (1.0 + headroom) - self.provisioned_cpus
    }

    /// Whether any waiting task could run on a machine of the offer. If no task waits, returns
    /// true: machines are then rented only for the headroom, and every offer can be used.
    fn can_use(&self, candidate: &Candidate) -> bool {
        let mut waiting = self.waiting.iter();
        self.waiting.is_empty() || waiting.any(|job| candidate.fits(&job.spec))
    }
}

impl Candidate<'_> {
    /// Whether a task of the job could run on a machine of the offer.
    fn fits(&self, spec: &JobSpec) -> bool {
        fits_type(spec, self.machine_type)
            && (spec.spot || !self.offer.spot)
            && spec
                .zone
                .as_ref()
                .is_none_or(|zone| *zone == self.offer.zone)
    }

    /// Whether a machine of the offer should be rented for the shortfall now.
    fn helps(&self, shortfall: &Shortfall) -> bool {
        let has_waited = !shortfall.has_machines || shortfall.waited_s >= self.machine_type.boot_s;
        has_waited && self.fits(&shortfall.spec) && shortfall.allows_zone(&self.offer.zone)
    }

    /// CPUs of a machine of the offer.
    fn cpus(&self) -> f64 {
        self.machine_type.cpus.max(MIN_MACHINE_CPUS)
    }
}

/// The `available` offers, sorted by boot time (with the penalty for spot machines), shortest
/// first.
fn candidates(types: &MachineTypes, available: impl Fn(&Offer) -> bool) -> Vec<Candidate<'_>> {
    let mut candidates = Vec::new();
    for machine_type in types.values() {
        for zone in &machine_type.zones {
            for spot in [false, true] {
                let offer = Offer {
                    kind: machine_type.name.clone(),
                    zone: zone.clone(),
                    spot,
                };
                if available(&offer) {
                    candidates.push(Candidate {
                        offer,
                        weighted_boot_s: machine_type.boot_s
                            * if spot { SPOT_BOOT_PENALTY } else { 1.0 },
                        machine_type,
                    });
                }
            }
        }
    }
    candidates.sort_by(|a, b| {
        let by_boot_time = a.weighted_boot_s.total_cmp(&b.weighted_boot_s);
        by_boot_time.then_with(|| a.offer.cmp(&b.offer))
    });
    candidates
}

/// The machines to request of each candidate, and the capacity that they will have left.
struct RentalPlanner<'a> {
    candidates: Vec<Candidate<'a>>,
    /// For each candidate, the capacity left on each machine to request.
    planned: Vec<Vec<Resources>>,
}

impl RentalPlanner<'_> {
    /// Plans up to `count` more machines of the candidate, as far as one request allows. Returns
    /// how many.
    fn add_machines(&mut self, candidate: usize, count: usize) -> usize {
        let planned = &mut self.planned[candidate];
        let added = count.min(MAX_MACHINES_PER_OFFER - planned.len());
        let capacity = Resources::of_type(self.candidates[candidate].machine_type);
        planned.extend(std::iter::repeat_n(capacity, added));
        added
    }

    /// Plans machines until they have the missing CPUs.
    fn cover_cpus(&mut self, demand: &Demand, headroom: f64) {
        let mut missing_cpus = demand.missing_cpus(headroom);
        for index in 0..self.candidates.len() {
            if missing_cpus <= 0.0 {
                return;
            }
            let candidate = &self.candidates[index];
            if !demand.can_use(candidate) {
                continue;
            }
            let cpus = candidate.cpus();
            let count = (missing_cpus / cpus).ceil().max(1.0) as usize;
            missing_cpus -= self.add_machines(index, count) as f64 * cpus;
        }
    }

    /// Plans machines until the tasks of the shortfall fit on planned machines.
    fn cover_shortfall(&mut self, shortfall: &Shortfall) {
        let need = Resources::of_task(&shortfall.spec);
        let mut left = shortfall.tasks;
        let helpful = |candidate: &Candidate| candidate.helps(shortfall);
        let usable: Vec<usize> = (0..self.candidates.len())
            .filter(|&index| helpful(&self.candidates[index]))
            .collect();
        for &index in &usable {
            for free in &mut self.planned[index] {
                left -= free.take(&need, left);
            }
        }
        for &index in &usable {
            let capacity = Resources::of_type(self.candidates[index].machine_type);
            let per_machine = capacity.count_of(&need, left);
            if per_machine == 0 {
                continue;
            }
            let first = self.planned[index].len();
            self.add_machines(index, left.div_ceil(per_machine) as usize);
            for free in &mut self.planned[index][first..] {
                left -= free.take(&need, left);
            }
        }
    }

    fn into_plan(self) -> Vec<RentalPlan> {
        let requested = self.candidates.into_iter().zip(self.planned);
        requested
            .filter(|(_, planned)| !planned.is_empty())
            .map(|(candidate, planned)| RentalPlan {
                offer: candidate.offer,
                count: planned.len() as u32,
            })
            .collect()
    }
}

/// The machines to request from the cloud, of the `available` offers, those with the shortest boot
/// time first: enough for the missing CPUs and for all shortfalls that have lasted long enough.
/// `headroom` is the reserve as a fraction of the needed CPUs.
pub fn plan(
    demand: &Demand,
    types: &MachineTypes,
    headroom: f64,
    available: impl Fn(&Offer) -> bool,
) -> Vec<RentalPlan> {
    if demand.missing_cpus(headroom) <= 0.0 && demand.shortfalls.is_empty() {
        return Vec::new();
    }
    let candidates = candidates(types, available);
    let mut planner = RentalPlanner {
        planned: vec![Vec::new(); candidates.len()],
        candidates,
    };
    planner.cover_cpus(demand, headroom);
    for shortfall in &demand.shortfalls {
        planner.cover_shortfall(shortfall);
    }
    planner.into_plan()
}
