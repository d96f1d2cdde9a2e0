//! Orders about rolls: begun, halted, resumed, taken back. As with drains the
//! record is all that is written here; whoever owns the share carries it on.

use super::orders::{named, read, share, Refused, NOT_NOW, TRIES, UNSURE};
use super::{answer, Shared};
use crate::coordination::fleet::rollout::in_turn;
use crate::coordination::node::Node;
use crate::protocol::roll::{Among, AtMost, Roll, RollOrder, RollState, Turn, TurnOrder};
use crate::protocol::state::Txn;
use crate::storage::chunks::MachineRecord;
use crate::storage::records::{self, MachineInfo};
use crate::transport::clients::{Failure, Lane};
use actix_web::web::Bytes;
use actix_web::HttpResponse;
use std::rc::Rc;

/// Rolls at most.
const MOST: usize = 100;

fn field<T>(field: &'static str, why: &str) -> Result<T, Refused> {
    Err(Refused::Field(field, why.into()))
}

/// Checks what can be told from the order alone.
pub fn check(order: &RollOrder) -> Result<(), Refused> {
    named("name", &order.name)?;
    if order.name.contains(['/', ' ']) {
        return field("name", "holds a slash or a space");
    }
    named("by", &order.by)?;
    named("why", &order.why)?;
    match order.at_most {
        AtMost::Machines(0) => return field("at_most", "is 0: nothing would ever be drained"),
        AtMost::Share(s) if !(s > 0.0 && s <= 1.0) => {
            return field("at_most", "is no share above 0 and up to 1")
        }
        _ => {}
    }
    for (name, value) in [
        ("deadline_s", order.deadline_s),
        ("promise.step_s", order.promise.step_s),
        ("promise.back_s", order.promise.back_s),
    ] {
        if value.is_some_and(|v| !v.is_finite() || v <= 0.0) {
            return field(name, "is not above 0");
        }
    }
    let Among { hosts, kind, zone } = &order.among;
    if hosts.is_empty() && kind.is_none() && zone.is_none() {
        return field("among", "names neither machines nor a type nor a zone");
    }
    Ok(())
}

/// The machines that the order is for, in their turn.
fn chosen(among: &Among, machines: &[&MachineInfo]) -> Result<Vec<String>, Refused> {
    let known = |h: &&String| machines.iter().any(|m| m.id == **h);
    if let Some(host) = among.hosts.iter().find(|h| !known(h)) {
        return Err(Refused::Unknown(format!("no machine {host} is in use")));
    }
    let of = |m: &&&MachineInfo| {
        (among.hosts.is_empty() || among.hosts.contains(&m.id))
            && among.kind.as_ref().is_none_or(|k| *k == m.kind)
            && among.zone.as_ref().is_none_or(|z| *z == m.zone)
    };
    let some = machines.iter().filter(of);
    let some: Vec<(String, String)> = some.map(|m| (m.id.clone(), m.zone.clone())).collect();
    if some.is_empty() {
        return Err(Refused::Unknown(
            "among: no machine in use is like that".into(),
        ));
    }
    Ok(in_turn(&some))
}

async fn standing(node: &Node, name: &str) -> Result<Option<(Roll, u64)>, Refused> {
    let entry = node
        .state
        .get(&records::rollout_key(name), Lane::Data)
        .await;
    let Some(entry) = entry.map_err(|_| NOT_NOW)? else {
        return Ok(None);
    };
    let roll = entry
        .read()
        .map_err(|_| Refused::Against("a record that this version cannot read".into()))?;
    Ok(Some((roll, entry.version)))
}

async fn begin(node: &Rc<Node>, order: &RollOrder) -> Result<Roll, Refused> {
    check(order)?;
    for _ in 0..TRIES {
        let (version, _) = share(node).await?;
        if let Some((roll, _)) = standing(node, &order.name).await? {
            // The same order again: its answer was lost.
            if roll.by == order.by && roll.why == order.why {
                return Ok(roll);
            }
            let why = format!("a roll {} stands already, by {}", roll.name, roll.by);
            return Err(Refused::Against(why));
        }
        if node.leadership.borrow().view.rolls.len() >= MOST {
            return Err(Refused::Against(format!("{MOST} rolls stand already")));
        }
        let machines = node.state.list(records::MACHINES_PREFIX, Lane::Data).await;
        let machines = MachineRecord::read(&machines.map_err(|_| NOT_NOW)?.0);
        let machines: Vec<&MachineInfo> = machines.machines().collect();
        let roll = Roll {
            name: order.name.clone(),
            by: order.by.clone(),
            why: order.why.clone(),
            at_ms: node.wall_ms(),
            hosts: chosen(&order.among, &machines)?,
            at_most: order.at_most,
            rest: order.rest,
            deadline_s: order.deadline_s,
            promise: order.promise,
            state: RollState::Running,
            reason: String::new(),
            next: 0,
            late_before: None,
        };
        // A tenth of a value stays free for what is added to it on the way.
        let bytes = serde_json::to_vec(&roll).map_or(usize::MAX, |b| b.len());
        if bytes as f64 > node.settings.cluster.state.value_kb * 1024.0 * 0.9 {
            return field(
                "among",
                "too many machines for one record: roll zone by zone",
            );
        }
        let key = records::rollout_key(&roll.name);
        let txn = Txn::default()
            .when(records::SHARD_KEY, version)
            .when(&key, 0)
            .put(&key, &roll);
        match node.state.txn(&txn, Lane::Data).await {
            Ok(_) => return Ok(roll),
            Err(Failure::Conflict(_)) => {}
            Err(_) => return Err(UNSURE),
        }
    }
    Err(Refused::Later("others change the same: try again"))
}

/// What becomes of a roll by an order, if it can.
pub fn turned(roll: &Roll, order: &TurnOrder) -> Result<Option<Roll>, Refused> {
    let mut next = roll.clone();
    match (order.turn, roll.state) {
        (Turn::Halt, RollState::Running) => {
            next.state = RollState::Halted;
            next.reason = format!("halted by {}", order.by);
        }
        (Turn::Resume, RollState::Halted) => {
            next.state = RollState::Running;
            next.reason = String::new();
            // What was lost until now is known to whoever resumes it.
            next.late_before = None;
        }
        (Turn::Back, RollState::Running | RollState::Halted) => {
            next.state = RollState::Back;
            next.reason = format!("taken back by {}", order.by);
        }
        (Turn::Forget, RollState::Done) => return Ok(None),
        (turn, state) => {
            let why = format!("cannot {turn:?} a roll that is {state:?}").to_lowercase();
            return Err(Refused::Against(why));
        }
    }
    Ok(Some(next))
}

async fn turn(node: &Rc<Node>, order: &TurnOrder) -> Result<Option<Roll>, Refused> {
    named("name", &order.name)?;
    named("by", &order.by)?;
    for _ in 0..TRIES {
        let (version, _) = share(node).await?;
        let Some((roll, known)) = standing(node, &order.name).await? else {
            return Err(Refused::Unknown(format!("there is no roll {}", order.name)));
        };
        let next = turned(&roll, order)?;
        let key = records::rollout_key(&order.name);
        let txn = Txn::default()
            .when(records::SHARD_KEY, version)
            .when(&key, known);
        let txn = match &next {
            Some(next) => txn.put(&key, next),
            None => txn.delete(&key),
        };
        match node.state.txn(&txn, Lane::Data).await {
            Ok(_) => return Ok(next),
            Err(Failure::Conflict(_)) => {}
            Err(_) => return Err(UNSURE),
        }
    }
    Err(Refused::Later("others change the same: try again"))
}

pub(super) async fn list(node: Shared) -> HttpResponse {
    let tenure = node.leadership.borrow();
    let mut rolls: Vec<Roll> = tenure.view.rolls.values().map(|r| r.0.clone()).collect();
    rolls.sort_by(|a, b| a.name.cmp(&b.name));
    let term = tenure.view.shard.as_ref().map_or(0, |(s, _)| s.term);
    drop(tenure);
    answer(&node, term, 0.0, rolls)
}

pub(super) async fn start(node: Shared, body: Bytes) -> HttpResponse {
    let result = match read::<RollOrder>(&body) {
        Ok(order) => begin(&node, &order).await,
        Err(refused) => Err(refused),
    };
    match result {
        Ok(roll) => HttpResponse::Ok().json(roll),
        Err(refused) => refused.response(),
    }
}

pub(super) async fn change(node: Shared, body: Bytes) -> HttpResponse {
    let result = match read::<TurnOrder>(&body) {
        Ok(order) => turn(&node, &order).await,
        Err(refused) => Err(refused),
    };
    match result {
        Ok(roll) => HttpResponse::Ok().json(roll),
        Err(refused) => refused.response(),
    }
}
