//! Writes the shard's machine record: the durable list of machines that tasks may start on.
//!
//! Each write is conditional on the shard being ours and on each value being the one we
//! know, so a write that was given up and is carried out late changes nothing.

use crate::coordination::leadership::failover::reread_shard;
use crate::coordination::node::Node;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::state::Txn;
use crate::storage::machine_record::{self, Change};
use crate::storage::records;
use crate::transport::clients::{Priority, ServiceError};
use std::rc::Rc;

/// Share of a value that is filled; the rest stays free for framing.
const VALUE_FILL: f64 = 0.9;
/// Bytes of changes in one transaction; a quarter stays free for framing.
const MAX_CHANGE_BYTES: usize = records::MAX_TXN_BYTES * 3 / 4;

/// A write of a part of the record.
struct RecordWrite {
    txn: Txn,
    /// Base term of the scheduler that wanted it.
    base_term: u64,
    changes: Vec<Change>,
    /// More is to be written afterwards.
    more: bool,
}

/// Writes what changed of the machine list; true if there is more.
pub async fn write_machine_record(node: &Rc<Node>) -> bool {
    let Some(write) = plan_write(node) else {
        return false;
    };
    if write.changes.is_empty() {
        record_is_current(node);
        return false;
    }
    match node.state.txn(&write.txn, Priority::Control).await {
        Ok(version) => write_succeeded(node, write, version),
        Err(error) => {
            write_failed(node, &write, error).await;
            false
        }
    }
}

/// What is to be written next; `None` if nothing changed or the shard is not ours.
fn plan_write(node: &Node) -> Option<RecordWrite> {
    let limits = &node.settings.cluster.state;
    let value_bytes = (limits.value_kb * 1024.0 * VALUE_FILL) as usize;
    let mut scheduler = node.scheduler.borrow_mut();
    let scheduler = scheduler.as_mut().filter(|s| s.machine_record_dirty)?;
    // By the record of another leader we would write into its list.
    let shard_version = node.leadership.borrow().own_shard_version()?;
    let written = node.machine_record.borrow();
    let mut changes =
        machine_record::plan(&written, &scheduler.wanted_machine_record(), value_bytes);
    let fitting = machine_record::changes_that_fit(&changes, limits.txn_ops, MAX_CHANGE_BYTES);
    let more = changes.len() > fitting;
    scheduler.machine_record_dirty = more;
    changes.truncate(fitting);
    Some(RecordWrite {
        txn: machine_record::txn(&written, &changes, shard_version),
        base_term: scheduler.fence.base_term,
        changes,
        more,
    })
}

/// All that is wanted stands in the record already: a machine whose session ended and began
/// again before that was written, say.
fn record_is_current(node: &Node) {
    let recorded: Vec<_> = node.machine_record.borrow().machines().cloned().collect();
    if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
        scheduler.machine_record_written(&recorded);
    }
}

/// Takes in what was written; true if there is more.
fn write_succeeded(node: &Node, write: RecordWrite, version: u64) -> bool {
    let mut scheduler = node.scheduler.borrow_mut();
    let scheduler = scheduler.as_mut();
    let Some(scheduler) = scheduler.filter(|s| s.fence.base_term == write.base_term) else {
        return false;
    };
    let mut written = node.machine_record.borrow_mut();
    for (chunk, machines) in write.changes {
        scheduler.machine_record_written(&machines);
        written.set(chunk, machines, version);
    }
    write.more
}

/// Notes that the write is due again, and learns what the record holds if it is not what
/// we know.
async fn write_failed(node: &Rc<Node>, write: &RecordWrite, error: ServiceError) {
    tracing::debug!(%error, "machine record not written");
    let ours = |s: &&mut Scheduler| s.fence.base_term == write.base_term;
    if let Some(scheduler) = node.scheduler.borrow_mut().as_mut().filter(ours) {
        scheduler.machine_record_dirty = true;
    }
    let ServiceError::Conflict(keys) = error else {
        let mut written = node.machine_record.borrow_mut();
        for (chunk, _) in &write.changes {
            written.mark_uncertain(*chunk);
        }
        return;
    };
    reread_shard(node).await;
    // A write that we gave up was carried out after all.
    if keys.iter().any(|k| records::chunk_number(k).is_some()) {
        reread_record(node, write.base_term).await;
    }
}

/// Learns what the record holds now. Nothing but what it holds counts, so what
/// an unanswered write of ours added is used only once it is seen to stand.
async fn reread_record(node: &Rc<Node>, base_term: u64) {
    let Ok((listed, _)) = node
        .state
        .list(records::MACHINES_PREFIX, Priority::Control)
        .await
    else {
        return;
    };
    let ours = |s: &Scheduler| s.fence.base_term == base_term;
    if node.scheduler.borrow().as_ref().is_some_and(ours) {
        node.machine_record.borrow_mut().reload(&listed);
    }
}
