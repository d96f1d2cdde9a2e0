//! Operators' orders that begin and end drains.
//!
//! An order only writes or deletes the drain's record in the state service; the shard's leader
//! reads it from there. The write is a compare-and-swap on two records. The shard's record ties
//! the order to one term. The drain's own record makes one of two concurrent orders for the same
//! machine conflict, and the operator of that order gets an error. Repeating an order has no
//! further effect.

use super::error::{OrderError, OUTCOME_UNKNOWN, STATE_UNAVAILABLE, TOO_MANY_CONFLICTS};
use super::{SharedNode, MAX_BODY};
use crate::coordination::node::Node;
use crate::protocol::admin::{Drain, DrainOrder, UndrainOrder};
use crate::protocol::state::Txn;
use crate::storage::machine_record::MachineRecord;
use crate::storage::records;
use crate::transport::clients::{Priority, ServiceError};
use actix_web::web::Bytes;
use actix_web::HttpResponse;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::rc::Rc;

/// Maximum number of drains at a time: over 1.5 times the number of machines in a fleet of 6,000.
/// The number is limited because every controller keeps all drains in memory and reads them when
/// it starts.
const MAX_DRAINS: usize = 10_000;
/// Maximum length of the reason (`why`) of an order, in bytes.
const MAX_REASON_BYTES: usize = 500;
/// Maximum length of a name in an order, in bytes.
const MAX_NAME_BYTES: usize = 150;
/// Maximum time from an order to its deadline, in seconds: a month of 31 days.
const MAX_DEADLINE_S: f64 = 31.0 * 86_400.0;
/// Maximum number of attempts to write an order. A write conflicts if a record on which it depends
/// changes concurrently, for example because the leader changes or a drain ends.
pub(super) const MAX_ATTEMPTS: usize = 4;

/// Parses an order.
///
/// # Errors
/// The order is malformed. The error names the path of the invalid field.
pub(super) fn parse_order<T: DeserializeOwned>(body: &[u8]) -> Result<T, OrderError> {
    let mut json = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let path = error.path().to_string();
        let prefix = if path == "." {
            String::new()
        } else {
            format!("{path}: ")
        };
        OrderError::invalid("body", format!("{prefix}{}", error.inner()))
    })
}

/// Checks that the value of a name field is not blank, not too long and without control
/// characters.
pub(super) fn check_name(field: &'static str, text: &str) -> Result<(), OrderError> {
    if text.trim().is_empty() || text.len() > MAX_NAME_BYTES || text.chars().any(char::is_control) {
        return Err(OrderError::invalid(field, "is empty or too long"));
    }
    Ok(())
}

/// Checks the names of the machines, and returns them without duplicates.
fn check_hosts(names: &[String]) -> Result<BTreeSet<String>, OrderError> {
    let invalid = |reason: String| Err(OrderError::invalid("hosts", reason));
    if names.is_empty() || names.len() > MAX_DRAINS {
        return invalid(format!("names none or more than {MAX_DRAINS} machines"));
    }
    let is_malformed = |host: &&String| {
        host.is_empty() || host.len() > MAX_NAME_BYTES || host.contains([' ', '/'])
    };
    if let Some(host) = names.iter().find(is_malformed) {
        return invalid(format!("{host:?} is no machine's name"));
    }
    Ok(names.iter().cloned().collect())
}

/// Checks the fields of an order by themselves, without the recorded state, and returns the names
/// of the order's machines.
///
/// # Errors
/// A field is invalid. The error names the first such field.
pub fn check(order: &DrainOrder) -> Result<BTreeSet<String>, OrderError> {
    check_name("order", &order.order)?;
    check_name("by", &order.by)?;
    if order.why.trim().is_empty() || order.why.len() > MAX_REASON_BYTES {
        return Err(OrderError::invalid("why", "is empty or too long"));
    }
    let in_range = |s: f64| s.is_finite() && s > 0.0 && s <= MAX_DEADLINE_S;
    if order.deadline_s.is_some_and(|s| !in_range(s)) {
        let reason = "is not within 0 and a month";
        return Err(OrderError::invalid("deadline_s", reason));
    }
    check_hosts(&order.hosts)
}

/// A drain's record.
struct RecordedDrain {
    /// `None` if this version of the program cannot read the record.
    drain: Option<Drain>,
    version: u64,
}

/// Reads all recorded drains; the keys are the names of the machines.
async fn recorded_drains(node: &Node) -> Result<BTreeMap<String, RecordedDrain>, OrderError> {
    let listed = node
        .state
        .list(records::DRAINS_PREFIX, Priority::Data)
        .await;
    let (listed, _) = listed.map_err(|_| STATE_UNAVAILABLE)?;
    let drains = listed.iter().filter_map(|entry| {
        let host = entry.key.strip_prefix(records::DRAINS_PREFIX)?;
        let recorded = RecordedDrain {
            drain: entry.read().ok(),
            version: entry.version,
        };
        Some((host.to_string(), recorded))
    });
    Ok(drains.collect())
}

/// The version and the term of the shard's record.
pub(super) struct ShardVersion {
    pub(super) version: u64,
    pub(super) term: u64,
}

/// Reads the current version and term of the shard's record, for a compare-and-swap.
pub(super) async fn shard_version(node: &Node) -> Result<ShardVersion, OrderError> {
    let entry = node.state.get(records::SHARD_KEY, Priority::Data).await;
    let entry = entry.map_err(|_| STATE_UNAVAILABLE)?;
    let entry = entry.ok_or(OrderError::Unavailable("nobody has owned the share yet"))?;
    let shard: records::ShardRecord = entry.read().map_err(|_| STATE_UNAVAILABLE)?;
    Ok(ShardVersion {
        version: entry.version,
        term: shard.term,
    })
}

/// Reads the shard's recorded machines.
pub(super) async fn recorded_machines(node: &Node) -> Result<MachineRecord, OrderError> {
    let listed = node
        .state
        .list(records::MACHINES_PREFIX, Priority::Data)
        .await;
    let (listed, _) = listed.map_err(|_| STATE_UNAVAILABLE)?;
    Ok(MachineRecord::read(&listed))
}

/// The result of writing an order in batches.
enum WriteProgress {
    Complete,
    /// A transaction conflicted. The changes for the first `written` machines are committed.
    Conflict {
        written: usize,
    },
}

/// Writes a change for each machine, in transactions of the maximum size that the state service
/// allows. Every transaction conflicts unless the shard's record has the version
/// `shard_version`. `change` adds the change for a machine to a transaction.
async fn write_in_batches(
    node: &Node,
    shard_version: u64,
    hosts: &[&String],
    change: impl Fn(Txn, &str) -> Txn,
) -> Result<WriteProgress, OrderError> {
    let mut written = 0;
    for batch in hosts.chunks(node.settings.cluster.state.txn_ops) {
        let condition = Txn::default().when(records::SHARD_KEY, shard_version);
        let txn = batch.iter().fold(condition, |txn, host| change(txn, host));
        match node.state.txn(&txn, Priority::Data).await {
            Ok(_) => written += batch.len(),
            Err(ServiceError::Conflict(_)) => return Ok(WriteProgress::Conflict { written }),
            Err(_) => return Err(OUTCOME_UNKNOWN),
        }
    }
    Ok(WriteProgress::Complete)
}

/// If the order carries out a plan, checks that the plan was computed under the current term.
fn check_term(order: &DrainOrder, term: u64) -> Result<(), OrderError> {
    match order.term {
        Some(planned) if planned != term => Err(OrderError::Conflict(format!(
            "the plan was made under term {planned}, now it is {term}: plan anew"
        ))),
        _ => Ok(()),
    }
}

/// Checks that the machines are recorded.
async fn check_machines_recorded(node: &Node, hosts: &BTreeSet<String>) -> Result<(), OrderError> {
    let record = recorded_machines(node).await?;
    let recorded_names: HashSet<&str> = record.machines().map(|m| m.id.as_str()).collect();
    match hosts
        .iter()
        .find(|host| !recorded_names.contains(host.as_str()))
    {
        Some(host) => Err(OrderError::NotFound(format!("no machine {host} is in use"))),
        None => Ok(()),
    }
}

/// The machines of the order whose drains are not recorded yet. An earlier attempt to write the
/// same order may have recorded some drains.
///
/// # Errors
/// A machine is already drained by another order, or the order would raise the number of drains
/// above [`MAX_DRAINS`].
fn hosts_to_drain<'a>(
    order: &DrainOrder,
    wanted: &'a BTreeSet<String>,
    drains: &BTreeMap<String, RecordedDrain>,
) -> Result<Vec<&'a String>, OrderError> {
    let mut hosts = Vec::new();
    for host in wanted {
        match drains.get(host).map(|recorded| &recorded.drain) {
            None => hosts.push(host),
            Some(Some(drain)) if drain.order == order.order => {}
            Some(drain) => {
                let by = drain.as_ref().map_or("somebody", |d| &d.by);
                let reason = format!("{host} is drained already, by {by}");
                return Err(OrderError::Conflict(reason));
            }
        }
    }
    if drains.len() + hosts.len() > MAX_DRAINS {
        let reason = format!("more than {MAX_DRAINS} drains stand already");
        return Err(OrderError::Conflict(reason));
    }
    Ok(hosts)
}

/// The record of the drain that an order begins for one machine.
fn ordered_drain(order: &DrainOrder, host: &str, now_ms: u64) -> Drain {
    Drain {
        host: host.to_string(),
        order: order.order.clone(),
        by: order.by.clone(),
        why: order.why.clone(),
        at_ms: now_ms,
        deadline_ms: order.deadline_s.map(|s| now_ms + (s * 1000.0) as u64),
        rest: order.rest,
        drained: None,
        roll: None,
    }
}

/// Records the drains that an order begins, and returns the names of the order's machines.
async fn begin_drains(node: &Rc<Node>, order: &DrainOrder) -> Result<Vec<String>, OrderError> {
    let wanted = check(order)?;
    for _ in 0..MAX_ATTEMPTS {
        let shard = shard_version(node).await?;
        check_term(order, shard.term)?;
        check_machines_recorded(node, &wanted).await?;
        let drains = recorded_drains(node).await?;
        let hosts = hosts_to_drain(order, &wanted, &drains)?;
        let now_ms = node.wall_ms();
        let add_drain = |txn: Txn, host: &str| {
            let key = records::drain_key(host);
            txn.when(&key, 0)
                .put(&key, &ordered_drain(order, host, now_ms))
        };
        let progress = write_in_batches(node, shard.version, &hosts, add_drain).await?;
        if matches!(progress, WriteProgress::Complete) {
            tracing::info!(order = %order.order, by = %order.by, machines = ?wanted, "drains recorded");
            return Ok(wanted.into_iter().collect());
        }
    }
    Err(TOO_MANY_CONFLICTS)
}

/// Deletes the records of the drains that an order ends, and returns the names of the order's
/// machines.
async fn end_drains(node: &Rc<Node>, order: &UndrainOrder) -> Result<Vec<String>, OrderError> {
    check_name("by", &order.by)?;
    let wanted = check_hosts(&order.hosts)?;
    let mut ended: BTreeSet<String> = BTreeSet::new();
    for _ in 0..MAX_ATTEMPTS {
        let shard = shard_version(node).await?;
        let drains = recorded_drains(node).await?;
        let missing = wanted
            .iter()
            .find(|host| !drains.contains_key(*host) && !ended.contains(*host));
        if let Some(host) = missing {
            return Err(OrderError::NotFound(format!("{host} is not drained")));
        }
        let is_drained = |host: &&String| drains.contains_key(*host);
        let hosts: Vec<&String> = wanted.iter().filter(is_drained).collect();
        let delete_drain = |txn: Txn, host: &str| {
            let key = records::drain_key(host);
            txn.when(&key, drains[host].version).delete(&key)
        };
        match write_in_batches(node, shard.version, &hosts, delete_drain).await? {
            WriteProgress::Complete => {
                tracing::info!(by = %order.by, machines = ?wanted, "drains ended");
                return Ok(wanted.into_iter().collect());
            }
            WriteProgress::Conflict { written } => {
                ended.extend(hosts[..written].iter().map(|host| (*host).clone()));
            }
        }
    }
    Err(TOO_MANY_CONFLICTS)
}

fn respond(result: Result<Vec<String>, OrderError>) -> HttpResponse {
    match result {
        Ok(hosts) => HttpResponse::Ok().json(serde_json::json!({ "hosts": hosts })),
        Err(error) => error.response(),
    }
}

/// `POST /admin/v1/drains`: begins drains.
pub(super) async fn drain(node: SharedNode, body: Bytes) -> HttpResponse {
    debug_assert!(body.len() <= MAX_BODY);
    match parse_order::<DrainOrder>(&body) {
        Ok(order) => respond(begin_drains(&node, &order).await),
        Err(error) => error.response(),
    }
}

/// `POST /admin/v1/undrain`: ends drains.
pub(super) async fn undrain(node: SharedNode, body: Bytes) -> HttpResponse {
    match parse_order::<UndrainOrder>(&body) {
        Ok(order) => respond(end_drains(&node, &order).await),
        Err(error) => error.response(),
    }
}
