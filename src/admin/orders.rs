//! Orders of operators: drains begun and ended. An order is carried out by its
//! record in the state service alone; whoever owns the share reads it there.
//! The write is conditional on the share's record, so it belongs to one term,
//! and on the drain's own, so that of two operators at once one is told.

use super::{problem, Shared, MAX_BODY};
use crate::coordination::node::Node;
use crate::protocol::admin::{Drain, DrainOrder, UndrainOrder};
use crate::protocol::state::Txn;
use crate::storage::chunks::MachineRecord;
use crate::storage::records;
use crate::transport::clients::{Failure, Lane};
use actix_web::web::Bytes;
use actix_web::HttpResponse;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::rc::Rc;

/// Drains at most, a fleet and a half of 6,000 machines and more: all controllers keep them
/// in memory, and read them at a start.
const MOST: usize = 10_000;
/// Longest text of an order, and longest name.
const TEXT: usize = 500;
const NAME: usize = 150;
/// Longest time to a deadline, in seconds: a month.
const LONGEST_S: f64 = 31.0 * 86_400.0;
/// Tries against changes by others: the share changes hands, drains end.
pub(super) const TRIES: usize = 4;

/// Why an order was not carried out.
#[derive(Debug, PartialEq)]
pub enum Refused {
    /// The field is wrong.
    Field(&'static str, String),
    /// Something that is named does not exist.
    Unknown(String),
    /// It goes against what stands.
    Against(String),
    /// Not now.
    Later(&'static str),
}

impl Refused {
    pub(super) fn response(&self) -> HttpResponse {
        match self {
            Refused::Field(field, why) => problem(400, Some(field), &format!("{field}: {why}")),
            Refused::Unknown(why) => problem(404, Some("hosts"), why),
            Refused::Against(why) => problem(409, None, why),
            Refused::Later(why) => problem(503, None, why),
        }
    }
}

/// The state service did not answer, so nothing is known.
pub(super) const NOT_NOW: Refused =
    Refused::Later("the state service does not answer now: nothing was ordered");
/// It may have been written all the same.
pub(super) const UNSURE: Refused =
    Refused::Later("no answer from the state service: give the same order again to be sure");

pub(super) fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refused> {
    let mut json = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let at = e.path().to_string();
        let at = if at == "." {
            String::new()
        } else {
            format!("{at}: ")
        };
        Refused::Field("body", format!("{at}{}", e.inner()))
    })
}

pub(super) fn named(field: &'static str, text: &str) -> Result<(), Refused> {
    if text.trim().is_empty() || text.len() > NAME || text.chars().any(char::is_control) {
        return Err(Refused::Field(field, "is empty or too long".into()));
    }
    Ok(())
}

/// The machines named, each once.
fn hosts(named: &[String]) -> Result<BTreeSet<String>, Refused> {
    let bad = |why: String| Err(Refused::Field("hosts", why));
    if named.is_empty() || named.len() > MOST {
        return bad(format!("names none or more than {MOST} machines"));
    }
    let odd = |h: &&String| h.is_empty() || h.len() > NAME || h.contains([' ', '/']);
    if let Some(host) = named.iter().find(odd) {
        return bad(format!("{host:?} is no machine's name"));
    }
    Ok(named.iter().cloned().collect())
}

/// Checks what can be told from the order alone.
pub fn check(order: &DrainOrder) -> Result<BTreeSet<String>, Refused> {
    named("order", &order.order)?;
    named("by", &order.by)?;
    if order.why.trim().is_empty() || order.why.len() > TEXT {
        return Err(Refused::Field("why", "is empty or too long".into()));
    }
    if let Some(s) = order.deadline_s {
        if !s.is_finite() || s <= 0.0 || s > LONGEST_S {
            return Err(Refused::Field(
                "deadline_s",
                "is not within 0 and a month".into(),
            ));
        }
    }
    hosts(&order.hosts)
}

/// Drains as they stand, each with its version.
async fn standing(node: &Node) -> Result<BTreeMap<String, (Option<Drain>, u64)>, Refused> {
    let (listed, _) =
        (node.state.list(records::DRAINS_PREFIX, Lane::Data).await).map_err(|_| NOT_NOW)?;
    let drains = listed.iter().filter_map(|entry| {
        let host = entry.key.strip_prefix(records::DRAINS_PREFIX)?;
        Some((host.to_string(), (entry.read().ok(), entry.version)))
    });
    Ok(drains.collect())
}

/// Version and term of the share's record.
pub(super) async fn share(node: &Node) -> Result<(u64, u64), Refused> {
    let entry = node.state.get(records::SHARD_KEY, Lane::Data).await;
    let entry = entry.map_err(|_| NOT_NOW)?;
    let entry = entry.ok_or(Refused::Later("nobody has owned the share yet"))?;
    let share: records::ShardRecord = entry.read().map_err(|_| NOT_NOW)?;
    Ok((entry.version, share.term))
}

/// Records the drains that an order wants.
async fn record(node: &Rc<Node>, order: &DrainOrder) -> Result<Vec<String>, Refused> {
    let wanted = check(order)?;
    for _ in 0..TRIES {
        let (version, term) = share(node).await?;
        if let Some(planned) = order.term.filter(|t| *t != term) {
            let why =
                format!("the plan was made under term {planned}, now it is {term}: plan anew");
            return Err(Refused::Against(why));
        }
        let machines = node.state.list(records::MACHINES_PREFIX, Lane::Data).await;
        let machines = MachineRecord::read(&machines.map_err(|_| NOT_NOW)?.0);
        let known: HashSet<&str> = machines.machines().map(|m| m.id.as_str()).collect();
        if let Some(host) = wanted.iter().find(|h| !known.contains(h.as_str())) {
            return Err(Refused::Unknown(format!("no machine {host} is in use")));
        }
        let drains = standing(node).await?;
        let mut left = Vec::new();
        for host in &wanted {
            match drains.get(host) {
                None => left.push(host),
                Some((Some(drain), _)) if drain.order == order.order => {}
                Some((drain, _)) => {
                    let by = drain.as_ref().map_or("somebody", |d| &d.by);
                    return Err(Refused::Against(format!(
                        "{host} is drained already, by {by}"
                    )));
                }
            }
        }
        if drains.len() + left.len() > MOST {
            let why = format!("more than {MOST} drains stand already");
            return Err(Refused::Against(why));
        }
        let now_ms = node.wall_ms();
        let mut again = false;
        for batch in left.chunks(node.settings.cluster.state.txn_ops) {
            let mut txn = Txn::default().when(records::SHARD_KEY, version);
            for host in batch {
                let drain = Drain {
                    host: host.to_string(),
                    order: order.order.clone(),
                    by: order.by.clone(),
                    why: order.why.clone(),
                    at_ms: now_ms,
                    deadline_ms: order.deadline_s.map(|s| now_ms + (s * 1000.0) as u64),
                    rest: order.rest,
                    drained: None,
                    roll: None,
                };
                let key = records::drain_key(host);
                txn = txn.when(&key, 0).put(&key, &drain);
            }
            match node.state.txn(&txn, Lane::Data).await {
                Ok(_) => {}
                Err(Failure::Conflict(_)) => {
                    again = true;
                    break;
                }
                Err(_) => return Err(UNSURE),
            }
        }
        if !again {
            tracing::info!(order = %order.order, by = %order.by, machines = ?wanted, "drain ordered");
            return Ok(wanted.into_iter().collect());
        }
    }
    Err(Refused::Later("others change the same: try again"))
}

/// Ends drains.
async fn erase(node: &Rc<Node>, order: &UndrainOrder) -> Result<Vec<String>, Refused> {
    named("by", &order.by)?;
    let wanted = hosts(&order.hosts)?;
    let mut ended: BTreeSet<String> = BTreeSet::new();
    for _ in 0..TRIES {
        let (version, _) = share(node).await?;
        let drains = standing(node).await?;
        let missing = wanted
            .iter()
            .find(|h| !drains.contains_key(*h) && !ended.contains(*h));
        if let Some(host) = missing {
            return Err(Refused::Unknown(format!("{host} is not drained")));
        }
        let left: Vec<&String> = wanted.iter().filter(|h| drains.contains_key(*h)).collect();
        let mut again = false;
        for batch in left.chunks(node.settings.cluster.state.txn_ops) {
            let mut txn = Txn::default().when(records::SHARD_KEY, version);
            for host in batch {
                let key = records::drain_key(host);
                txn = txn.when(&key, drains[*host].1).delete(&key);
            }
            match node.state.txn(&txn, Lane::Data).await {
                Ok(_) => ended.extend(batch.iter().map(|h| h.to_string())),
                Err(Failure::Conflict(_)) => {
                    again = true;
                    break;
                }
                Err(_) => return Err(UNSURE),
            }
        }
        if !again {
            tracing::info!(by = %order.by, machines = ?wanted, "drain ended");
            return Ok(wanted.into_iter().collect());
        }
    }
    Err(Refused::Later("others change the same: try again"))
}

fn respond(result: Result<Vec<String>, Refused>) -> HttpResponse {
    match result {
        Ok(hosts) => HttpResponse::Ok().json(serde_json::json!({ "hosts": hosts })),
        Err(refused) => refused.response(),
    }
}

pub(super) async fn drain(node: Shared, body: Bytes) -> HttpResponse {
    debug_assert!(body.len() <= MAX_BODY);
    match read::<DrainOrder>(&body) {
        Ok(order) => respond(record(&node, &order).await),
        Err(refused) => refused.response(),
    }
}

pub(super) async fn undrain(node: Shared, body: Bytes) -> HttpResponse {
    match read::<UndrainOrder>(&body) {
        Ok(order) => respond(erase(&node, &order).await),
        Err(refused) => refused.response(),
    }
}
