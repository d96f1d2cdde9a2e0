//! What the fleet manager remembers from round to round while this controller leads.

use super::scale_out::{boot_s, Offer};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::cloud::{Listed, ListedState};
use crate::storage::records::MachineInfo;
use std::collections::{BTreeSet, HashMap};

/// Machines returned in one call at most.
const MAX_RETURNED_AT_ONCE: usize = 100;
/// A machine that has not reported after so many boot times is no help to count on.
const MAX_BOOT_TIMES: f64 = 2.0;
/// By how much the pause grows each time an offer is sold out again, and its bound as a
/// multiple of the first pause.
const SOLD_OUT_BACKOFF: f64 = 1.5;
const MAX_SOLD_OUT_PAUSE: f64 = 4.0;

/// A machine that was rented and has not reported yet.
struct BootingMachine {
    info: MachineInfo,
    since: f64,
}

/// An offer that was sold out.
struct SoldOut {
    retry_at: f64,
    pause_s: f64,
}

/// What the fleet manager remembers.
#[derive(Default)]
pub(super) struct FleetState {
    booting: HashMap<String, BootingMachine>,
    sold_out: HashMap<Offer, SoldOut>,
    /// To be returned until the cloud confirms it.
    returning: BTreeSet<String>,
    /// Rental requests made so far; their numbers are never used again.
    rental_requests: u64,
    listed_at: f64,
    cloud_list: Vec<Listed>,
}

impl FleetState {
    /// Forgets everything but the numbers of rental requests: a new term began.
    pub(super) fn reset(&mut self) {
        *self = FleetState {
            rental_requests: self.rental_requests,
            ..FleetState::default()
        };
    }

    /// Whether the cloud's list is older than this.
    pub(super) fn list_is_older_than(&self, age_s: f64, now: f64) -> bool {
        now - self.listed_at > age_s
    }

    /// Takes in the cloud's list of machines.
    pub(super) fn list_received(&mut self, list: Vec<Listed>, now: f64) {
        self.listed_at = now;
        self.cloud_list = list;
    }

    /// The cloud's list of machines, without those that were returned since.
    pub(super) fn cloud_list(&self) -> &[Listed] {
        &self.cloud_list
    }

    /// Counts listed machines that boot and have not reported, whoever rented them.
    pub(super) fn add_listed_booting(&mut self, scheduler: &Scheduler, now: f64) {
        for listed in &self.cloud_list {
            let known = scheduler.machines.contains_key(listed.id.as_str());
            if listed.state != ListedState::Booting || known {
                continue;
            }
            let info = MachineInfo {
                id: listed.id.clone(),
                addr: String::new(),
                kind: listed.kind.clone(),
                zone: listed.zone.clone(),
                spot: listed.spot,
            };
            let since = now - listed.age_s;
            self.booting
                .entry(listed.id.clone())
                .or_insert(BootingMachine { info, since });
        }
    }

    /// Counts a machine that was just rented.
    pub(super) fn add_rented(&mut self, id: String, offer: &Offer, now: f64) {
        let info = MachineInfo {
            id: id.clone(),
            addr: String::new(),
            kind: offer.kind.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
        };
        self.booting.insert(id, BootingMachine { info, since: now });
    }

    /// Counts booting machines no more that have reported or take too long.
    pub(super) fn drop_booted(&mut self, scheduler: &Scheduler, now: f64) {
        self.booting.retain(|id, machine| {
            let max_boot_s = MAX_BOOT_TIMES * boot_s(&scheduler.types, &machine.info.kind);
            !scheduler.machines.contains_key(id.as_str()) && now - machine.since < max_boot_s
        });
    }

    /// Machines on their way.
    pub(super) fn booting(&self) -> impl Iterator<Item = &MachineInfo> {
        self.booting.values().map(|machine| &machine.info)
    }

    /// Machines to be returned to the cloud.
    pub(super) fn request_return(&mut self, machines: impl IntoIterator<Item = String>) {
        self.returning.extend(machines);
    }

    /// All machines to be returned.
    pub(super) fn returning(&self) -> impl Iterator<Item = &String> {
        self.returning.iter()
    }

    /// The machines to name in the next call that returns some.
    pub(super) fn next_returns(&self) -> Vec<String> {
        let batch = self.returning.iter().take(MAX_RETURNED_AT_ONCE);
        batch.cloned().collect()
    }

    /// The cloud confirmed that these are returned.
    pub(super) fn returns_confirmed(&mut self, machines: &[String]) {
        for name in machines {
            self.returning.remove(name);
            self.booting.remove(name);
            self.cloud_list.retain(|listed| listed.id != *name);
        }
    }

    /// A number for a rental request.
    pub(super) fn next_rental_request(&mut self) -> u64 {
        self.rental_requests += 1;
        self.rental_requests
    }

    /// Whether the offer may be asked for, as far as it was not sold out just now.
    pub(super) fn is_available(&self, offer: &Offer, now: f64) -> bool {
        self.sold_out
            .get(offer)
            .is_none_or(|sold_out| now >= sold_out.retry_at)
    }

    /// The offer gave fewer machines than were asked for: it is asked for again after
    /// `first_pause_s`, then more rarely.
    pub(super) fn offer_sold_out(&mut self, offer: &Offer, first_pause_s: f64, now: f64) {
        let max_pause_s = first_pause_s * MAX_SOLD_OUT_PAUSE;
        let pause_s = self.sold_out.get(offer).map_or(first_pause_s, |before| {
            (before.pause_s * SOLD_OUT_BACKOFF).min(max_pause_s)
        });
        let retry_at = now + pause_s;
        self.sold_out
            .insert(offer.clone(), SoldOut { retry_at, pause_s });
    }

    /// The offer gave all machines that were asked for.
    pub(super) fn offer_fulfilled(&mut self, offer: &Offer) {
        self.sold_out.remove(offer);
    }
}
