//! The state that the fleet manager keeps between rounds while this controller leads.

use super::scale_out::{boot_s, Offer};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::cloud::{Listed, ListedState};
use crate::storage::records::MachineInfo;
use std::collections::{BTreeSet, HashMap};

/// Most machines that are returned in one call.
const MAX_RETURN_BATCH: usize = 100;
/// A booting machine that has not reported after this many times the boot time of its type no
/// longer counts as capacity to come.
const COUNTED_FOR_BOOT_TIMES: f64 = 2.0;
/// Factor by which the pause grows each time an offer is sold out again.
const SOLD_OUT_BACKOFF: f64 = 1.5;
/// Upper bound of the pause, as a multiple of the first pause.
const MAX_SOLD_OUT_PAUSES: f64 = 4.0;

/// A machine that was rented and has not reported yet.
struct BootingMachine {
    info: MachineInfo,
    booting_since: f64,
}

/// When to request a sold-out offer again.
struct SoldOut {
    retry_at: f64,
    pause_s: f64,
}

/// The state that the fleet manager keeps between rounds.
#[derive(Default)]
pub(super) struct FleetState {
    booting: HashMap<String, BootingMachine>,
    sold_out: HashMap<Offer, SoldOut>,
    /// Machines to return, until the cloud has confirmed their return.
    pending_returns: BTreeSet<String>,
    /// Number of the last rental request. A number is never used twice.
    last_request_number: u64,
    listed_at: f64,
    cloud_list: Vec<Listed>,
}

impl FleetState {
    /// Clears the state when a new term begins. The numbering of rental requests continues.
    pub(super) fn reset(&mut self) {
        *self = FleetState {
            last_request_number: self.last_request_number,
            ..FleetState::default()
        };
    }

    /// Whether the cloud's list was received more than `age_s` seconds ago.
    pub(super) fn list_is_older_than(&self, age_s: f64, now: f64) -> bool {
        now - self.listed_at > age_s
    }

    /// Replaces the cloud's list of machines.
    pub(super) fn record_list(&mut self, list: Vec<Listed>, now: f64) {
        self.listed_at = now;
        self.cloud_list = list;
    }

    /// The cloud's list of machines, without machines returned since it was received.
    pub(super) fn cloud_list(&self) -> &[Listed] {
        &self.cloud_list
    }

    /// Adds the listed machines that are booting and have not reported, whichever controller rented
    /// them.
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
            let booting_since = now - listed.age_s;
            self.booting
                .entry(listed.id.clone())
                .or_insert(BootingMachine {
                    info,
                    booting_since,
                });
        }
    }

    /// Adds a machine that was just rented to the booting machines.
    pub(super) fn add_rented(&mut self, id: String, offer: &Offer, now: f64) {
        let info = MachineInfo {
            id: id.clone(),
            addr: String::new(),
            kind: offer.kind.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
        };
        self.booting.insert(
            id,
            BootingMachine {
                info,
                booting_since: now,
            },
        );
    }

    /// Removes the booting machines that have reported or take too long.
    pub(super) fn prune_booting(&mut self, scheduler: &Scheduler, now: f64) {
        self.booting.retain(|id, machine| {
            let max_boot_s = COUNTED_FOR_BOOT_TIMES * boot_s(&scheduler.types, &machine.info.kind);
            !scheduler.machines.contains_key(id.as_str())
                && now - machine.booting_since < max_boot_s
        });
    }

    /// Rented machines that have not reported yet.
    pub(super) fn booting(&self) -> impl Iterator<Item = &MachineInfo> {
        self.booting.values().map(|machine| &machine.info)
    }

    /// Adds machines to be returned to the cloud.
    pub(super) fn request_return(&mut self, machines: impl IntoIterator<Item = String>) {
        self.pending_returns.extend(machines);
    }

    /// All machines whose return is not confirmed yet.
    pub(super) fn pending_returns(&self) -> impl Iterator<Item = &String> {
        self.pending_returns.iter()
    }

    /// The machines to return in the next call.
    pub(super) fn next_return_batch(&self) -> Vec<String> {
        let batch = self.pending_returns.iter().take(MAX_RETURN_BATCH);
        batch.cloned().collect()
    }

    /// Removes machines whose return the cloud has confirmed.
    pub(super) fn record_returned(&mut self, machines: &[String]) {
        for name in machines {
            self.pending_returns.remove(name);
            self.booting.remove(name);
            self.cloud_list.retain(|listed| listed.id != *name);
        }
    }

    /// A new number for a rental request.
    pub(super) fn next_request_number(&mut self) -> u64 {
        self.last_request_number += 1;
        self.last_request_number
    }

    /// Whether the offer may be requested now; false during the pause after it was sold out.
    pub(super) fn is_available(&self, offer: &Offer, now: f64) -> bool {
        self.sold_out
            .get(offer)
            .is_none_or(|sold_out| now >= sold_out.retry_at)
    }

    /// Notes that the cloud provided fewer machines of the offer than were requested. The offer is
    /// requested again after `first_pause_s`; the pause grows each time it is sold out again.
    pub(super) fn record_sold_out(&mut self, offer: &Offer, first_pause_s: f64, now: f64) {
        let max_pause_s = first_pause_s * MAX_SOLD_OUT_PAUSES;
        let pause_s = self.sold_out.get(offer).map_or(first_pause_s, |previous| {
            (previous.pause_s * SOLD_OUT_BACKOFF).min(max_pause_s)
        });
        let retry_at = now + pause_s;
        self.sold_out
            .insert(offer.clone(), SoldOut { retry_at, pause_s });
    }

    /// Notes that the cloud provided all machines of the offer that were requested.
    pub(super) fn clear_sold_out(&mut self, offer: &Offer) {
        self.sold_out.remove(offer);
    }
}
