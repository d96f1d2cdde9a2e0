//! Scaling out: pure functions that decide which additional machines to rent.

use crate::coordination::scheduler::machine::MachineStatus;
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
const MAX_MACHINES_PER_OFFER: f64 = 50.0;
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
}

/// Machines of one offer to request from the cloud.
#[derive(Debug, PartialEq)]
pub struct RentalPlan {
    /// The offer to request.
    pub offer: Offer,
    /// Number of machines to request.
    pub count: u32,
}

/// An offer that can be used for the demand.
struct Candidate {
    offer: Offer,
    /// Boot time, including the penalty for spot machines, in seconds. Lower is better.
    weighted_boot_s: f64,
    cpus: f64,
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
    fn can_use(&self, offer: &Offer, machine_type: &MachineType) -> bool {
        let fits = |spec: &JobSpec| {
            fits_type(spec, machine_type)
                && (spec.spot || !offer.spot)
                && spec.zone.as_ref().is_none_or(|zone| *zone == offer.zone)
        };
        self.waiting.is_empty() || self.waiting.iter().any(|job| fits(&job.spec))
    }
}

/// The `available` offers that can be used for the demand, sorted by boot time (with the penalty
/// for spot machines), shortest first.
fn candidates(
    demand: &Demand,
    types: &MachineTypes,
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

/// The machines to request from the cloud: takes `available` offers, shortest boot time first,
/// until they cover the missing CPUs. `headroom` is the reserve as a fraction of the needed CPUs.
pub fn plan(
    demand: &Demand,
    types: &MachineTypes,
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
