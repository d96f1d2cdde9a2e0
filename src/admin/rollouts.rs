//! Operators' orders that begin, halt, resume, cancel (`back`) and forget rollouts.
//!
//! A rollout drains its machines step by step. An order only writes or deletes the rollout's
//! record; the shard's leader reads the record and executes the rollout.

use super::error::{OrderError, OUTCOME_UNKNOWN, STATE_UNAVAILABLE, TOO_MANY_CONFLICTS};
use super::orders::{check_name, parse_order, recorded_machines, shard_version, MAX_ATTEMPTS};
use super::reply::answer;
use super::SharedNode;
use crate::coordination::fleet::rollout::round_robin_by_zone;
use crate::coordination::node::Node;
use crate::protocol::rollout::{
    MachineSelector, MaxOutOfUse, Rollout, RolloutAction, RolloutActionOrder, RolloutOrder,
    RolloutState,
};
use crate::protocol::state::Txn;
use crate::storage::records::{self, MachineInfo};
use crate::transport::clients::{Priority, ServiceError};
use actix_web::web::Bytes;
use actix_web::HttpResponse;
use std::rc::Rc;

/// Maximum number of rollouts at a time.
const MAX_ROLLOUTS: usize = 100;
/// Maximum size of a new rollout's record, as a fraction of the maximum size of a value in the
/// state service. The rest is left for data that are added to the record as the rollout proceeds.
const MAX_RECORD_FRACTION: f64 = 0.9;

fn invalid<T>(field: &'static str, reason: &str) -> Result<T, OrderError> {
    Err(OrderError::invalid(field, reason))
}

/// Checks the fields of an order by themselves, without the recorded state.
///
/// # Errors
/// A field is invalid. The error names the first such field.
pub fn check(order: &RolloutOrder) -> Result<(), OrderError> {
    check_name("name", &order.name)?;
    if order.name.contains(['/', ' ']) {
        return invalid("name", "holds a slash or a space");
    }
    check_name("by", &order.by)?;
    check_name("why", &order.why)?;
    match order.at_most {
        MaxOutOfUse::Machines(0) => {
            return invalid("at_most", "is 0: nothing would ever be drained")
        }
        MaxOutOfUse::Share(s) if !(s > 0.0 && s <= 1.0) => {
            return invalid("at_most", "is no share above 0 and up to 1")
        }
        _ => {}
    }
    for (name, seconds) in [
        ("deadline_s", order.deadline_s),
        ("promise.step_s", order.promise.step_s),
        ("promise.back_s", order.promise.back_s),
    ] {
        if seconds.is_some_and(|s| !s.is_finite() || s <= 0.0) {
            return invalid(name, "is not above 0");
        }
    }
    let MachineSelector { hosts, kind, zone } = &order.among;
    if hosts.is_empty() && kind.is_none() && zone.is_none() {
        return invalid("among", "names neither machines nor a type nor a zone");
    }
    Ok(())
}

/// The names of the machines that the order selects, in the sequence in which the rollout drains
/// them.
fn selected_hosts(
    among: &MachineSelector,
    machines: &[&MachineInfo],
) -> Result<Vec<String>, OrderError> {
    let is_recorded = |host: &&String| machines.iter().any(|m| m.id == **host);
    if let Some(host) = among.hosts.iter().find(|host| !is_recorded(host)) {
        return Err(OrderError::NotFound(format!("no machine {host} is in use")));
    }
    let is_selected = |m: &&&MachineInfo| {
        (among.hosts.is_empty() || among.hosts.contains(&m.id))
            && among.kind.as_ref().is_none_or(|kind| *kind == m.kind)
            && among.zone.as_ref().is_none_or(|zone| *zone == m.zone)
    };
    let selected: Vec<(String, String)> = machines
        .iter()
        .filter(is_selected)
        .map(|m| (m.id.clone(), m.zone.clone()))
        .collect();
    if selected.is_empty() {
        let reason = "among: no machine in use is like that";
        return Err(OrderError::NotFound(reason.into()));
    }
    Ok(round_robin_by_zone(&selected))
}

/// A rollout's record.
struct RecordedRollout {
    rollout: Rollout,
    version: u64,
}

/// Reads the record of the rollout with this name, if there is one.
async fn recorded_rollout(node: &Node, name: &str) -> Result<Option<RecordedRollout>, OrderError> {
    let key = records::rollout_key(name);
    let entry = node.state.get(&key, Priority::Data).await;
    let Some(entry) = entry.map_err(|_| STATE_UNAVAILABLE)? else {
        return Ok(None);
    };
    let unreadable = |_| OrderError::Conflict("a record that this version cannot read".into());
    Ok(Some(RecordedRollout {
        rollout: entry.read().map_err(unreadable)?,
        version: entry.version,
    }))
}

/// The rollout that an order begins, with those of the currently recorded machines that the order
/// selects.
async fn new_rollout(node: &Node, order: &RolloutOrder) -> Result<Rollout, OrderError> {
    let record = recorded_machines(node).await?;
    let machines: Vec<&MachineInfo> = record.machines().collect();
    let rollout = Rollout {
        name: order.name.clone(),
        by: order.by.clone(),
        why: order.why.clone(),
        at_ms: node.wall_ms(),
        hosts: selected_hosts(&order.among, &machines)?,
        at_most: order.at_most,
        rest: order.rest,
        deadline_s: order.deadline_s,
        promise: order.promise,
        state: RolloutState::Running,
        reason: String::new(),
        next: 0,
        late_before: None,
    };
    let bytes = serde_json::to_vec(&rollout).map_or(usize::MAX, |json| json.len());
    if bytes as f64 > node.settings.cluster.state.value_kb * 1024.0 * MAX_RECORD_FRACTION {
        let reason = "too many machines for one record: roll zone by zone";
        return invalid("among", reason);
    }
    Ok(rollout)
}

/// The result of a write that the caller may retry after a conflict.
enum WriteOutcome {
    Written,
    Conflict,
}

async fn write(node: &Node, txn: &Txn) -> Result<WriteOutcome, OrderError> {
    match node.state.txn(txn, Priority::Data).await {
        Ok(_) => Ok(WriteOutcome::Written),
        Err(ServiceError::Conflict(_)) => Ok(WriteOutcome::Conflict),
        Err(_) => Err(OUTCOME_UNKNOWN),
    }
}

async fn begin_rollout(node: &Rc<Node>, order: &RolloutOrder) -> Result<Rollout, OrderError> {
    check(order)?;
    for _ in 0..MAX_ATTEMPTS {
        let shard = shard_version(node).await?;
        if let Some(RecordedRollout { rollout, .. }) = recorded_rollout(node, &order.name).await? {
            // The operator repeated the order, for example because the answer was lost.
            if rollout.by == order.by && rollout.why == order.why {
                return Ok(rollout);
            }
            let reason = format!("a roll {} stands already, by {}", rollout.name, rollout.by);
            return Err(OrderError::Conflict(reason));
        }
        if node.leadership.borrow().view.rollouts.len() >= MAX_ROLLOUTS {
            let reason = format!("{MAX_ROLLOUTS} rolls stand already");
            return Err(OrderError::Conflict(reason));
        }
        let rollout = new_rollout(node, order).await?;
        let key = records::rollout_key(&rollout.name);
        let txn = Txn::default()
            .when(records::SHARD_KEY, shard.version)
            .when(&key, 0)
            .put(&key, &rollout);
        if matches!(write(node, &txn).await?, WriteOutcome::Written) {
            return Ok(rollout);
        }
    }
    Err(TOO_MANY_CONFLICTS)
}

/// Applies an order to halt, resume, cancel (`back`) or forget a rollout. Returns the changed
/// rollout; `None` if the rollout's record must be deleted.
///
/// # Errors
/// The order is not allowed in the rollout's current state.
pub fn apply_turn(
    rollout: &Rollout,
    order: &RolloutActionOrder,
) -> Result<Option<Rollout>, OrderError> {
    let mut next = rollout.clone();
    match (order.turn, rollout.state) {
        (RolloutAction::Halt, RolloutState::Running) => {
            next.state = RolloutState::Halted;
            next.reason = format!("halted by {}", order.by);
        }
        (RolloutAction::Resume, RolloutState::Halted) => {
            next.state = RolloutState::Running;
            next.reason = String::new();
            // The operator who resumes the rollout accepts the number of jobs that are late now.
            // `None` makes the leader count the late jobs again.
            next.late_before = None;
        }
        (RolloutAction::Back, RolloutState::Running | RolloutState::Halted) => {
            next.state = RolloutState::Back;
            next.reason = format!("taken back by {}", order.by);
        }
        (RolloutAction::Forget, RolloutState::Done) => return Ok(None),
        (turn, state) => {
            let reason = format!("cannot {turn:?} a roll that is {state:?}").to_lowercase();
            return Err(OrderError::Conflict(reason));
        }
    }
    Ok(Some(next))
}

async fn change_rollout(
    node: &Rc<Node>,
    order: &RolloutActionOrder,
) -> Result<Option<Rollout>, OrderError> {
    check_name("name", &order.name)?;
    check_name("by", &order.by)?;
    for _ in 0..MAX_ATTEMPTS {
        let shard = shard_version(node).await?;
        let Some(recorded) = recorded_rollout(node, &order.name).await? else {
            let reason = format!("there is no roll {}", order.name);
            return Err(OrderError::NotFound(reason));
        };
        let next = apply_turn(&recorded.rollout, order)?;
        let key = records::rollout_key(&order.name);
        let condition = Txn::default()
            .when(records::SHARD_KEY, shard.version)
            .when(&key, recorded.version);
        let txn = match &next {
            Some(next) => condition.put(&key, next),
            None => condition.delete(&key),
        };
        if matches!(write(node, &txn).await?, WriteOutcome::Written) {
            return Ok(next);
        }
    }
    Err(TOO_MANY_CONFLICTS)
}

fn respond<T: serde::Serialize>(result: Result<T, OrderError>) -> HttpResponse {
    match result {
        Ok(rollout) => HttpResponse::Ok().json(rollout),
        Err(error) => error.response(),
    }
}

/// `GET /admin/v1/rolls`: lists all rollouts, sorted by name.
pub(super) async fn list(node: SharedNode) -> HttpResponse {
    let (rollouts, term) = {
        let leadership = node.leadership.borrow();
        let view = &leadership.view;
        let mut rollouts: Vec<Rollout> = view.rollouts.values().map(|(r, _)| r.clone()).collect();
        rollouts.sort_by(|a, b| a.name.cmp(&b.name));
        (rollouts, view.shard.as_ref().map_or(0, |(s, _)| s.term))
    };
    answer(&node, term, 0.0, rollouts)
}

/// `POST /admin/v1/rolls`: begins a rollout.
pub(super) async fn begin(node: SharedNode, body: Bytes) -> HttpResponse {
    match parse_order::<RolloutOrder>(&body) {
        Ok(order) => respond(begin_rollout(&node, &order).await),
        Err(error) => error.response(),
    }
}

/// `POST /admin/v1/rolls/turn`: halts, resumes, cancels (`back`) or forgets a rollout.
pub(super) async fn change(node: SharedNode, body: Bytes) -> HttpResponse {
    match parse_order::<RolloutActionOrder>(&body) {
        Ok(order) => respond(change_rollout(&node, &order).await),
        Err(error) => error.response(),
    }
}
