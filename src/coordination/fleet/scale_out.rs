//! Scaling out: decides which machines to rent in addition to the present ones. Pure functions.

use crate::coordination::scheduler::machine::MachineStatus;
use crate::coordination::scheduler::state::{Scheduler, Types};
use crate::protocol::cloud::MachineType;
use crate::protocol::job::JobSpec;
use crate::storage::records::{fits_type, MachineInfo};
use std::rc::Rc;

/// Assumed boot time of a machine of an unknown type, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;
/// Factor on the boot time of spot machines when offers are compared. An ordinary machine is
/// preferred unless it boots longer by more than this factor, because the cloud does not take it
/// away.
const SPOT_BOOT_PENALTY: f64 = 1.2;
/// Most machines of one offer that are requested at once.
const MAX_MACHINES_PER_OFFER: f64 = 50.0;
/// Lower bound for the CPUs of a machine, which guards against a division by zero.
const MIN_MACHINE_CPUS: f64 = 0.1;

/// A kind of machine that the cloud rents: a machine type in a zone, spot or ordinary.
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
    /// Number of its tasks that have not been placed.
    pub tasks: u32,
}

/// The resources that jobs need, compared with those of the fleet.
#[derive(Debug, Default)]
pub struct Demand {
    /// Jobs with tasks that have not been placed.
    pub waiting: Vec<WaitingJob>,
    /// CPUs of all machines that are up or booting.
    pub provisioned_cpus: f64,
    /// CPUs in use by all teams.
    pub used_cpus: f64,
}

/// Machines of one offer to request from the cloud.
#[derive(Debug, PartialEq)]
pub struct RentalPlan {
    /// The offer to request.
    pub offer: Offer,
    /// Number of machines to request.
    pub count: u32,
}

/// An offer that serves the demand.
struct Candidate {
    offer: Offer,
    /// Boot time, including the penalty for spot machines, in seconds. Lower is better.
    weighted_boot_s: f64,
    cpus: f64,
}

/// Boot time of a machine of this type, in seconds.
pub(super) fn boot_s(types: &Types, kind: &str) -> f64 {
    types.get(kind).map_or(DEFAULT_BOOT_S, |t| t.boot_s)
}

impl Demand {
    /// The demand of this scheduler's jobs. Machines in `booting` count as present, machines in
    /// `partitioned_zones` do not, because they cannot be reached.
    pub fn of<'a>(
        scheduler: &'a Scheduler,
        booting: impl Iterator<Item = &'a MachineInfo>,
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

    /// CPUs that are missing to run all placed and waiting tasks, plus `headroom` as a fraction of
    /// their CPUs.
    fn missing_cpus(&self, headroom: f64) -> f64 {
        let waiting_cpus: f64 = self
            .waiting
            .iter()
            .map(|job| job.spec.cpus * f64::from(job.tasks))
            .sum();
        (self.used_cpus + waiting_cpus) * (1.0 + headroom) - self.provisioned_cpus
    }

    /// Whether any waiting task could run on a machine of the offer. If no task waits, machines are
    /// rented only for the headroom, and every type serves.
    fn can_use(&self, offer: &Offer, machine_type: &MachineType) -> bool {
        let fits = |spec: &JobSpec| {
            fits_type(spec, machine_type)
                && (spec.spot || !offer.spot)
                && spec.zone.as_ref().is_none_or(|zone| *zone == offer.zone)
        };
        self.waiting.is_empty() || self.waiting.iter().any(|job| fits(&job.spec))
    }
}

/// The offers of all types that serve the demand and are `available`, sorted by boot time (with
/// the penalty for spot machines), shortest first.
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
                        weighted_boot_s: machine_type.boot_s
                            * if spot { SPOT_BOOT_PENALTY } else { 1.0 },
                        cpus: machine_type.cpus.max(MIN_MACHINE_CPUS),
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

/// The machines to request from the cloud, best offer first, until the missing CPUs are covered.
pub fn plan(
    demand: &Demand,
    types: &Types,
    headroom: f64,
    available: impl Fn(&Offer) -> bool,
) -> Vec<RentalPlan> {
    let mut missing_cpus = demand.missing_cpus(headroom);
    if missing_cpus <= 0.0 {
        return Vec::new();
    }
    let mut plan = Vec::new();
    for Candidate { offer, cpus, .. } in candidates(demand, types, available) {
        if missing_cpus <= 0.0 {
            break;
        }
        let count = (missing_cpus / cpus)
            .ceil()
            .clamp(1.0, MAX_MACHINES_PER_OFFER);
        missing_cpus -= count * cpus;
        plan.push(RentalPlan {
            offer,
            count: count as u32,
        });
    }
    plan
}
