//! The fleet manager: a loop of the leader. It rents machines for waiting tasks, and returns
//! machines that are broken, silent or idle. `scale_out` and `scale_in` make the decisions; this
//! module carries them out.

use super::fleet_state::FleetState;
use super::machine_types::keep_machine_types;
use super::scale_in;
use super::scale_out::{self, Demand, RentalPlan};
use crate::coordination::agents::dispatcher;
use crate::coordination::node::Node;
use crate::protocol::cloud::Rental;
use crate::transport::clients::ServiceError;
use actix::prelude::*;
use std::rc::Rc;
use std::time::Duration;

/// Pause between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Pause between two rounds after a takeover, while no task is placed because some machines have
/// not been accounted for yet.
const TAKEOVER_ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// The actor that runs the fleet manager.
pub struct FleetManager {
    /// The controller whose fleet it manages.
    pub node: Rc<Node>,
}

impl Actor for FleetManager {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        actix_rt::spawn(keep_machine_types(self.node.clone()));
        actix_rt::spawn(manage_fleet(self.node.clone()));
    }
}

/// Runs rounds forever, but only while this controller is certain to lead.
async fn manage_fleet(node: Rc<Node>) {
    let mut state = FleetState::default();
    let mut state_term = 0;
    loop {
        let scheduler_term = |node: &Node| {
            let scheduler = node.scheduler.borrow();
            scheduler.as_ref().map(|s| s.fence.base_term)
        };
        let pause = if is_placing(&node).unwrap_or(true) {
            ROUND_INTERVAL
        } else {
            TAKEOVER_ROUND_INTERVAL
        };
        actix_rt::time::sleep(pause).await;
        // A deposed leader would see all machines go silent and return them to the cloud. So
        // rounds run only while no other controller can have taken the shard.
        let term = scheduler_term(&node).filter(|_| node.is_certain_leader());
        let Some(term) = term else {
            continue;
        };
        if term != state_term {
            state_term = term;
            state.reset();
        }
        run_round(&node, &mut state).await;
    }
}

/// Whether tasks are being placed, which requires that all machines have been accounted for since
/// the takeover. `None` without a scheduler.
fn is_placing(node: &Node) -> Option<bool> {
    let scheduler = node.scheduler.borrow();
    scheduler.as_ref().map(|s| s.fence.placement_allowed)
}

async fn run_round(node: &Rc<Node>, state: &mut FleetState) {
    let list_lag_s = node.settings.cluster.cloud.list_lag_s;
    let placing = is_placing(node).unwrap_or(false);
    if placing && state.list_is_older_than(list_lag_s / 2.0, node.now()) {
        if let Ok(list) = node.cloud.machines().await {
            state.record_list(list, node.now());
            compare_with_list(node, state);
        }
    }
    scale_in(node, state).await;
    // Scaling in comes first, and scaling out waits until tasks are placed: calls that rent
    // machines take long, and after a takeover the shard waits for the returns to be confirmed.
    if placing {
        scale_out(node, state).await;
    }
}

/// Compares the cloud's machine list with the scheduler's machines: requests the return of broken
/// machines, notes machines that are booting, and removes machines that no longer exist.
fn compare_with_list(node: &Node, state: &mut FleetState) {
    let now = node.now();
    let mut scheduler = node.scheduler.borrow_mut();
    let Some(scheduler) = scheduler.as_mut() else {
        return;
    };
    let broken = scale_in::broken_machines(scheduler, state.cloud_list(), now);
    state.request_return(broken);
    state.add_listed_booting(scheduler, now);
    let list_lag_s = node.settings.cluster.cloud.list_lag_s;
    for name in scale_in::vanished_machines(scheduler, state.cloud_list(), list_lag_s, now) {
        scheduler.remove_machine(&name);
    }
}

/// Selects the machines to return to the cloud and takes them out of use.
fn retire_machines(node: &Node, state: &mut FleetState) {
    let now = node.now();
    let mut scheduler = node.scheduler.borrow_mut();
    let Some(scheduler) = scheduler.as_mut() else {
        return;
    };
    if let Some(name) = scale_in::idle_machine(scheduler, &node.policy, now) {
        scheduler.retire_machine(&name);
    }
    state.request_return(scheduler.machines_presumed_dead(now));
    state.request_return(scale_in::retired_machines(scheduler, now));
    for name in state.pending_returns() {
        scheduler.retire_machine(name);
    }
}

/// Returns machines to the cloud. Only the cloud's confirmation proves that they are gone.
async fn scale_in(node: &Rc<Node>, state: &mut FleetState) {
    if node.scheduler.borrow().is_none() {
        return;
    }
    retire_machines(node, state);
    let names = state.next_return_batch();
    if names.is_empty() || node.cloud.scale_in(names.clone()).await.is_err() {
        return;
    }
    tracing::info!(machines = ?names, "scaled in");
    if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
        for name in &names {
            scheduler.confirm_machine_returned(name);
        }
    }
    state.record_returned(&names);
    dispatcher::send_due_calls(node);
}

/// Rents the machines that are missing to serve the demand.
async fn scale_out(node: &Rc<Node>, state: &mut FleetState) {
    let now = node.now();
    for RentalPlan { offer, count } in plan_rentals(node, state, now) {
        let rental = Rental {
            request: format!(
                "{}-{:x}-{}",
                node.settings.host_name,
                node.leadership.borrow().incarnation(),
                state.next_request_number()
            ),
            kind: offer.kind.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
            count,
        };
        let rented = rent(node, &rental).await;
        if (rented.len() as u32) < count {
            let first_pause_s = node.settings.cluster.cloud.list_lag_s;
            state.record_sold_out(&offer, first_pause_s, now);
        } else {
            state.clear_sold_out(&offer);
        }
        if !rented.is_empty() {
            tracing::info!(kind = %offer.kind, zone = %offer.zone, spot = offer.spot, asked = count, got = rented.len(), "scaled out");
        }
        for id in rented {
            state.add_rented(id, &offer, now);
        }
    }
}

/// Decides which machines to rent now.
fn plan_rentals(node: &Node, state: &mut FleetState, now: f64) -> Vec<RentalPlan> {
    let scheduler = node.scheduler.borrow();
    let Some(scheduler) = scheduler.as_ref().filter(|s| !s.types.is_empty()) else {
        return Vec::new();
    };
    state.prune_booting(scheduler, now);
    let partitioned_zones = scheduler.partitioned_zones(now);
    let demand = Demand::of(scheduler, state.booting(), &partitioned_zones, now);
    scale_out::plan(&demand, &scheduler.types, node.policy.headroom, |offer| {
        state.is_available(offer, now) && !partitioned_zones.contains(&offer.zone)
    })
}

/// Rents machines; returns the names of those that the cloud provided.
async fn rent(node: &Node, rental: &Rental) -> Vec<String> {
    match node.cloud.scale_out(rental).await {
        Ok(rented) => rented.machines,
        Err(ServiceError::Refused) => Vec::new(),
        Err(error) => {
            // The cloud may still carry out the request later. Machines that appear unexpectedly
            // are adopted.
            tracing::info!(%error, "no answer to a rental request");
            Vec::new()
        }
    }
}
