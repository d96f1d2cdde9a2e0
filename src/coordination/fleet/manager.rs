//! The fleet manager: a loop of the leader that rents machines for waiting tasks, and returns
//! machines that are broken, silent or idle. The modules `scale_out` and `scale_in` make the
//! decisions; this module carries out the decisions.

use super::fleet_state::FleetState;
use super::machine_types::keep_machine_types;
use super::scale_in;
use super::scale_out::{self, Demand, RentalPlan};
use crate::coordination::agents::dispatcher;
use crate::coordination::node::Node;
use crate::protocol::cloud::LaunchRequest;
use crate::transport::clients::ServiceError;
use actix::prelude::*;
use std::rc::Rc;
use std::time::Duration;

/// Pause before each round of the fleet manager.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Pause before each round after a takeover, as long as no task is placed because some machines are
/// not accounted for yet.
const TAKEOVER_ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// The actor that runs the fleet manager.
pub struct FleetManager {
    /// The controller for which the actor manages the fleet.
    pub node: Rc<Node>,
}

impl Actor for FleetManager {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        actix_rt::spawn(keep_machine_types(self.node.clone()));
        actix_rt::spawn(manage_fleet(self.node.clone()));
    }
}

/// Runs the fleet manager's rounds forever, but skips a round if it is not confirmed that this
/// controller leads.
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
        // To a former leader all machines appear silent, so it would return them to the cloud.
        // Rounds therefore run only while no other controller can have taken over the shard.
        let term = scheduler_term(&node).filter(|_| node.is_confirmed_leader());
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

/// Whether tasks may be placed, which requires that all machines have been accounted for since the
/// takeover. `None` if this controller has no scheduler.
fn is_placing(node: &Node) -> Option<bool> {
    let scheduler = node.scheduler.borrow();
    scheduler.as_ref().map(|s| s.fence.placement_allowed)
}

/// Runs one round: compares the fleet with the cloud's list if it is due, scales in, then scales
/// out.
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
    // Calls that rent machines take long, and after a takeover placement may have to wait until the
    // cloud confirms the return of silent machines. Scaling in therefore comes first, and scaling
    // out waits until tasks may be placed.
    if placing {
        scale_out(node, state).await;
    }
}

/// Compares the cloud's machine list with the scheduler's machines: requests the return of broken
/// machines, records booting machines, and removes machines that no longer exist.
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

/// Selects the machines to return to the cloud, and retires them so that no new task starts there.
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

/// Returns machines to the cloud. Only the cloud's confirmation proves that the returned machines
/// no longer run.
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

/// Rents the machines that the demand requires in addition to the present and booting machines.
async fn scale_out(node: &Rc<Node>, state: &mut FleetState) {
    let now = node.now();
    for RentalPlan { offer, count } in plan_rentals(node, state, now) {
        let rental = LaunchRequest {
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
    let mut demand = Demand::of(scheduler, state.booting(), &partitioned_zones, now);
    state.shortfall_ages.update(&mut demand.shortfalls, now);
    let plan = scale_out::plan(&demand, &scheduler.types, node.policy.headroom, |offer| {
        state.is_available(offer, now) && !partitioned_zones.contains(&offer.zone)
    });
    if !demand.waiting.is_empty() {
        tracing::debug!(
            used_cpus = demand.used_cpus,
            waiting_cpus = demand.waiting_cpus(),
            provisioned_cpus = demand.provisioned_cpus,
            booting = state.booting().count(),
            shortfalls = demand.shortfalls.len(),
            rentals = plan.len(),
            "tasks wait"
        );
    }
    plan
}

/// Sends a rental request. Returns the names of the machines that the cloud provided.
async fn rent(node: &Node, rental: &LaunchRequest) -> Vec<String> {
    match node.cloud.scale_out(rental).await {
        Ok(rented) => rented.machines,
        Err(ServiceError::Refused) => {
            tracing::info!(kind = %rental.kind, zone = %rental.zone, spot = rental.spot, asked = rental.count, "rental request refused by the cloud");
            Vec::new()
        }
        Err(error) => {
            // The cloud may still execute the request later. Machines that it then provides are
            // counted once they appear in the cloud's list, and used once they send heartbeats.
            tracing::info!(%error, "rental request failed; its outcome is unknown");
            Vec::new()
        }
    }
}
