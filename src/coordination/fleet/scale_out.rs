//! Scaling out: what machines are wanted beyond those there are. Pure code.

use crate::coordination::scheduler::machine::MachineStatus;
use crate::coordination::scheduler::state::{Scheduler, Types};
use crate::protocol::cloud::MachineType;
use crate::protocol::job::JobSpec;
use crate::storage::records::{fits_type, MachineInfo};
use std::rc::Rc;

/// Boot time of a machine whose type is not known, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;
/// How much longer a spot machine may boot before an ordinary one is preferred: ordinary
/// machines stay.
const SPOT_PENALTY: f64 = 1.2;
/// Machines of one offer asked for at once.
const MAX_MACHINES_PER_OFFER: f64 = 50.0;
/// Fewest CPUs that a machine counts for.
const MIN_MACHINE_CPUS: f64 = 0.1;

/// What the cloud rents: machines of a type in a zone, spot or not.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    /// The machine type's name.
    pub kind: String,
    /// The zone's name.
    pub zone: String,
    /// Whether the cloud may take the machines away at short notice.
    pub spot: bool,
}

/// A job with tasks that wait for room.
#[derive(Debug)]
pub struct WaitingJob {
    /// What each task needs.
    pub spec: Rc<JobSpec>,
    /// How many of its tasks wait.
    pub tasks: u32,
}

/// What waits and what there is.
#[derive(Debug, Default)]
pub struct Demand {
    /// Jobs with tasks waiting.
    pub waiting: Vec<WaitingJob>,
    /// CPUs of the machines up or on their way.
    pub have_cpus: f64,
    /// CPUs in use.
    pub used_cpus: f64,
}

/// Machines to ask the cloud for.
#[derive(Debug, PartialEq)]
pub struct RentalPlan {
    /// What to ask for.
    pub offer: Offer,
    /// How many machines of it.
    pub count: u32,
}

/// An offer that serves the demand.
struct Candidate {
    offer: Offer,
    /// Boot time with the penalty of spot machines, in seconds; lower is better.
    cost_s: f64,
    cpus: f64,
}

/// Boot time of a machine of this type, in seconds.
pub(super) fn boot_s(types: &Types, kind: &str) -> f64 {
    types.get(kind).map_or(DEFAULT_BOOT_S, |t| t.boot_s)
}

impl Demand {
    /// The demand of this scheduler's jobs, given machines that boot and zones that do not
    /// count since they are cut off.
    pub fn of<'a>(
        scheduler: &'a Scheduler,
        booting: impl Iterator<Item = &'a MachineInfo>,
        partitioned_zones: &[String],
        now: f64,
    ) -> Demand {
        let max_doubt_s = scheduler.config.silent_s();
        let up = scheduler.machines.values().filter(|m| {
            m.status == MachineStatus::Up && !m.cordoned && !m.is_unreachable(now, max_doubt_s)
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
            have_cpus: up
                .map(|m| &m.info)
                .chain(booting)
                .filter(|info| !partitioned_zones.contains(&info.zone))
                .filter_map(|info| scheduler.types.get(&info.kind))
                .map(|t| t.cpus)
                .sum(),
            used_cpus: scheduler.usage().cpus(),
        }
    }

    /// CPUs that are lacking for what runs and waits, with this share of headroom.
    fn lacking_cpus(&self, headroom: f64) -> f64 {
        let waiting: f64 = self
            .waiting
            .iter()
            .map(|job| job.spec.cpus * f64::from(job.tasks))
            .sum();
        (self.used_cpus + waiting) * (1.0 + headroom) - self.have_cpus
    }

    /// Whether a machine of the offer is of use to something that waits; with nothing
    /// waiting the fleet only keeps its headroom, with any type.
    fn can_use(&self, offer: &Offer, machine_type: &MachineType) -> bool {
        let fits = |spec: &JobSpec| {
            fits_type(spec, machine_type)
                && (spec.spot || !offer.spot)
                && spec.zone.as_ref().is_none_or(|zone| *zone == offer.zone)
        };
        self.waiting.is_empty() || self.waiting.iter().any(|job| fits(&job.spec))
    }
}

/// The offers of all types that serve the demand and are `available`, best first: a
/// shorter boot serves sooner.
fn candidates(
    demand: &Demand,
    types: &Types,
    available: impl Fn(&Offer) -> bool,
) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for machine_type in types.values() {
        for zone in &machine_type.zones {
            for spot in [false, true] {
                let offer = Offer {
                    kind: machine_type.name.clone(),
                    zone: zone.clone(),
                    spot,
                };
                if demand.can_use(&offer, machine_type) && available(&offer) {
                    candidates.push(Candidate {
                        offer,
                        cost_s: machine_type.boot_s * if spot { SPOT_PENALTY } else { 1.0 },
                        cpus: machine_type.cpus.max(MIN_MACHINE_CPUS),
                    });
                }
            }
        }
    }
    candidates.sort_by(|a, b| {
        let by_cost = a.cost_s.total_cmp(&b.cost_s);
        by_cost.then_with(|| a.offer.cmp(&b.offer))
    });
    candidates
}

/// How many machines of which offers to ask for, best first.
pub fn plan(
    demand: &Demand,
    types: &Types,
    headroom: f64,
    available: impl Fn(&Offer) -> bool,
) -> Vec<RentalPlan> {
    let mut lacking = demand.lacking_cpus(headroom);
    if lacking <= 0.0 {
        return Vec::new();
    }
    let mut plan = Vec::new();
    for Candidate { offer, cpus, .. } in candidates(demand, types, available) {
        if lacking <= 0.0 {
            break;
        }
        let count = (lacking / cpus).ceil().clamp(1.0, MAX_MACHINES_PER_OFFER);
        lacking -= count * cpus;
        plan.push(RentalPlan {
            offer,
            count: count as u32,
        });
    }
    plan
}
