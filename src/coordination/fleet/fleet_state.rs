//! The state that the fleet manager keeps between rounds while this controller leads.

use super::scale_out::{boot_s, Offer};
use super::shortfall::ShortfallAges;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::cloud::{ListedMachine, ListedState};
use crate::storage::records::MachineInfo;
use std::collections::{BTreeSet, HashMap};

/// Maximum number of machines that one call returns to the cloud.
const MAX_RETURN_BATCH: usize = 100;
/// A booting machine counts as future capacity for at most this multiple of the boot time of its
/// type.
const MAX_COUNTED_BOOT_TIMES: f64 = 2.0;
/// Factor by which the pause before the next request of an offer grows each time the offer is sold
/// out again.
const SOLD_OUT_BACKOFF: f64 = 1.5;
/// Upper bound of the pause before the next request of a sold-out offer, as a multiple of the first
/// pause.
const MAX_SOLD_OUT_PAUSES: f64 = 4.0;

/// A rented machine that has not sent a heartbeat yet.
struct BootingMachine {
    info: MachineInfo,
    /// When the machine began to boot, in seconds of [`crate::coordination::node::Node::now`].
    booting_since: f64,
}

/// When to request a sold-out offer again.
struct SoldOut {
    /// When the pause ends, in seconds of [`crate::coordination::node::Node::now`].
    retry_at: f64,
    pause_s: f64,
}

/// The state that the fleet manager keeps between rounds.
#[derive(Default)]
pub(super) struct FleetState {
    /// Booting machines by name.
    booting: HashMap<String, BootingMachine>,
    /// Offers that were sold out when they were last requested.
    sold_out: HashMap<Offer, SoldOut>,
    /// Names of the machines to return. Each stays here until the cloud has confirmed its return.
    pending_returns: BTreeSet<String>,
    /// Number of the last launch request. A number is never used twice.
    last_request_number: u64,
    /// When the cloud's list was received, in seconds of [`crate::coordination::node::Node::now`].
    listed_at: f64,
    /// The cloud's list of machines.
    cloud_list: Vec<ListedMachine>,
    /// Since when jobs have had waiting tasks that fit on no machine.
    pub(super) shortfall_ages: ShortfallAges,
}

impl FleetState {
    /// Clears the state, for the beginning of a new term. The numbering of launch requests
    /// continues.
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
    pub(super) fn record_list(&mut self, list: Vec<ListedMachine>, now: f64) {
        self.listed_at = now;
        self.cloud_list = list;
    }

    /// The cloud's list of machines, without the machines that were returned after the list was
    /// received.
    pub(super) fn cloud_list(&self) -> &[ListedMachine] {
        &self.cloud_list
    }

    /// Adds the machines of the cloud's list that are booting and have not sent a heartbeat yet.
    /// The list also holds machines that other controllers rented.
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

    /// Removes booting machines that have sent a heartbeat or have been booting for too long.
    pub(super) fn prune_booting(&mut self, scheduler: &Scheduler, now: f64) {
        self.booting.retain(|id, machine| {
            let max_boot_s = MAX_COUNTED_BOOT_TIMES * boot_s(&scheduler.types, &machine.info.kind);
            !scheduler.machines.contains_key(id.as_str())
                && now - machine.booting_since < max_boot_s
        });
    }

    /// Rented machines that have not sent a heartbeat yet.
    pub(super) fn booting(&self) -> impl Iterator<Item = &MachineInfo> + Clone {
        self.booting.values().map(|machine| &machine.info)
    }

    /// Adds machines, by name, to those to return to the cloud.
    pub(super) fn request_return(&mut self, machines: impl IntoIterator<Item = String>) {
        self.pending_returns.extend(machines);
    }

    /// Names of the machines whose return the cloud has not confirmed yet.
    pub(super) fn pending_returns(&self) -> impl Iterator<Item = &String> {
        self.pending_returns.iter()
    }

    /// Names of the machines to return in the next call.
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

    /// A new number for a launch request.
    pub(super) fn next_request_number(&mut self) -> u64 {
        self.last_request_number += 1;
        self.last_request_number
    }

    /// Whether the offer may be requested now. Returns false during the pause after the offer was
    /// sold out.
    pub(super) fn is_available(&self, offer: &Offer, now: f64) -> bool {
        self.sold_out
            .get(offer)
            .is_none_or(|sold_out| now >= sold_out.retry_at)
    }

    /// Records that the cloud provided fewer machines of the offer than were requested. The offer
    /// may be requested again after a pause: `first_pause_s` the first time, and longer each time
    /// the offer is sold out again.
    pub(super) fn record_sold_out(&mut self, offer: &Offer, first_pause_s: f64, now: f64) {
        let max_pause_s = first_pause_s * MAX_SOLD_OUT_PAUSES;
        let pause_s = self.sold_out.get(offer).map_or(first_pause_s, |previous| {
            (previous.pause_s * SOLD_OUT_BACKOFF).min(max_pause_s)
        });
        let retry_at = now + pause_s;
        self.sold_out
            .insert(offer.clone(), SoldOut { retry_at, pause_s });
    }

    /// Records that the cloud provided all requested machines of the offer.
    pub(super) fn clear_sold_out(&mut self, offer: &Offer) {
        self.sold_out.remove(offer);
    }
}
