//! What machines are wanted beyond those there are: pure code.

use crate::coordination::scheduler::state::Types;
use crate::protocol::job::JobSpec;
use crate::storage::records::fits_type;
use std::rc::Rc;

/// A kind of rental: type, zone, spot or not.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
}

/// What waits and what there is.
#[derive(Debug, Default)]
pub struct Demand {
    /// Jobs with tasks waiting, and how many.
    pub waiting: Vec<(Rc<JobSpec>, u32)>,
    /// CPUs of the machines up or on their way.
    pub have_cpus: f64,
    /// CPUs in use.
    pub used_cpus: f64,
}

/// How many machines of which offers to ask for, best first.
pub fn wanted(
    demand: &Demand,
    types: &Types,
    headroom: f64,
    open: impl Fn(&Offer) -> bool,
) -> Vec<(Offer, u32)> {
    let waiting: f64 = demand
        .waiting
        .iter()
        .map(|(spec, n)| spec.cpus * f64::from(*n))
        .sum();
    let need = (demand.used_cpus + waiting) * (1.0 + headroom);
    let mut lacking = need - demand.have_cpus;
    if lacking <= 0.0 {
        return Vec::new();
    }
    let mut offers: Vec<(f64, Offer, f64)> = Vec::new();
    for t in types.values() {
        for zone in &t.zones {
            for spot in [false, true] {
                let offer = Offer {
                    kind: t.name.clone(),
                    zone: zone.clone(),
                    spot,
                };
                // Of use to something that waits; with nothing waiting the
                // fleet only keeps its headroom, with any type.
                let of_use = demand.waiting.is_empty()
                    || demand.waiting.iter().any(|(s, _)| {
                        fits_type(s, t)
                            && (s.spot || !spot)
                            && s.zone.as_ref().is_none_or(|z| z == zone)
                    });
                if of_use && open(&offer) {
                    // Ordinary machines stay; a shorter boot serves sooner.
                    let worth = t.boot_s * if spot { 1.2 } else { 1.0 };
                    offers.push((worth, offer, t.cpus.max(0.1)));
                }
            }
        }
    }
    offers.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let mut plan = Vec::new();
    for (_, offer, cpus) in offers {
        if lacking <= 0.0 {
            break;
        }
        let count = (lacking / cpus).ceil().clamp(1.0, 50.0);
        lacking -= count * cpus;
        plan.push((offer, count as u32));
    }
    plan
}
